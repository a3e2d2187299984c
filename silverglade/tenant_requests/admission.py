"""The admit stage (design 6.1): an order's head checked against the configuration."""

from ..configuration import schema as config
from ..runtime.effects import milliseconds, to_milliseconds
from ..runtime.errors import (
    BodyTooLargeError,
    DeadlinePassedError,
    InvalidDeadlineError,
    InvalidHeaderError,
    MissingKeyError,
    NotConfiguredError,
    UnknownClassError,
    UnknownKeyError,
)

WORD = 200


def admit(*, cfg, bearer, cls, key, due, prefix, attempt, size, minted):
    """-> facts of the order, or raises a Fault; nothing was handed on by then."""
    if cfg is None:
        raise NotConfiguredError()
    if not bearer:
        raise MissingKeyError()
    tenant = config.tenant_of_key(cfg, bearer)
    if tenant is None:
        raise UnknownKeyError()
    c = cfg["tenants"][tenant]["classes"].get(cls)
    if c is None:
        raise UnknownClassError(cls[:WORD])
    if size > cfg["body_cap"]:
        raise BodyTooLargeError(f"{cfg['body_cap']} bytes at most")
    if due == "":
        left = c["due_ms"]
    elif due.lstrip("-").isascii() and due.lstrip("-").isdigit() and len(due) < 10:
        left = int(due)
    else:
        raise InvalidDeadlineError(due[:WORD])
    if left <= 0:
        raise (DeadlinePassedError if left < 0 or due.strip("0") == "" and due else InvalidDeadlineError)()
    if len(key) > WORD or len(prefix) > WORD:
        raise InvalidHeaderError("a key or prefix is too long")
    if attempt and not (attempt.isascii() and attempt.isdigit() and 0 < int(attempt) < 1000):
        raise InvalidHeaderError("Silverglade-Attempt")
    n = int(attempt) if attempt else 0
    return dict(
        tenant=tenant,
        cls=cls,
        key=key or minted,
        minted=not key,
        prefix=prefix,
        left=milliseconds(min(left, to_milliseconds(milliseconds(600000)))),
        attempt=n,
        kind=c["kind"],
        stream=c["stream"],
        resumable=c["resumable"],
        homes=cfg["tenants"][tenant]["homes"],
    )


def sure(f):
    """May a refusal of this order promise "not run" with no owner's verdict (6.5)?"""
    return f["minted"] or f["attempt"] == 1 or (f["resumable"] and f["attempt"] == 0)
