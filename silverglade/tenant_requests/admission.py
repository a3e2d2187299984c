"""Admission (design 6.1): validation of a tenant's request head against the configuration."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from ..configuration.schema import tenant_of_key
from ..runtime import result_codes
from ..runtime.effects import milliseconds
from ..runtime.errors import (
    BodyTooLargeError,
    DeadlinePassedError,
    InvalidDeadlineError,
    InvalidHeaderError,
    MissingKeyError,
    NotConfiguredError,
    SilvergladeError,
    UnknownClassError,
    UnknownKeyError,
)
from ..runtime.outside_input import is_header_value, is_whole_number
from .execution import RAN_MAYBE, RAN_NO

MAX_HEADER_LENGTH = 200
"""Maximum length of an idempotency key or a prefix, and of the text that an error quotes."""

MAX_DEADLINE_DIGITS = 9
MAX_DEADLINE_MS = 600_000
MAX_ATTEMPT = 999
MAX_ATTEMPT_DIGITS = 9

Configuration = Mapping[str, Any]


class RequestHead(NamedTuple):
    """The head of a tenant's request as received, not validated; absent headers are empty.

    :ivar bearer_key: the tenant's secret key.
    :ivar class_name: the request class, from the path.
    :ivar key: the idempotency key.
    :ivar deadline: in milliseconds from now.
    :ivar prefix: name of the prompt prefix that the request begins with.
    :ivar attempt: number of the attempt by the client's own count, from 1.
    """

    bearer_key: str
    class_name: str
    key: str
    deadline: str
    prefix: str
    attempt: str


class RequestFacts(NamedTuple):
    """The validated facts about an admitted request.

    :ivar key: the idempotency key; generated and unique if the client sent none.
    :ivar key_is_generated: whether the client sent no key.
    :ivar time_left: time until the deadline, at admission.
    :ivar client_attempt: number of the attempt by the client's own count, from 1; 0 if it sent none.
    :ivar kind: kind of the replicas that may run it.
    :ivar is_streamed: whether the answer is sent in pieces.
    :ivar is_resumable: whether it may run again as long as no piece of the answer was sent to the client.
    :ivar homes: zones where it may run, in order of preference.
    """

    tenant: str
    class_name: str
    key: str
    key_is_generated: bool
    prefix: str
    time_left: timedelta
    client_attempt: int
    kind: str
    is_streamed: bool
    is_resumable: bool
    homes: tuple[str, ...]


def admit(configuration: Configuration | None, head: RequestHead, *, body_size: int, generated_key: str) -> RequestFacts:
    """Validate a request's head before anything is sent to another daemon or a replica.

    :param body_size: size of the body in bytes.
    :param generated_key: the idempotency key to use if the client sent none.
    :raises SilvergladeError: the subclass for the reason why the request is refused.
    """
    if configuration is None:
        raise NotConfiguredError()
    tenant = _authenticate(configuration, head.bearer_key)
    tenant_configuration = configuration["tenants"][tenant]
    request_class = tenant_configuration["classes"].get(head.class_name)
    if request_class is None:
        raise UnknownClassError(head.class_name[:MAX_HEADER_LENGTH])
    if body_size > configuration["body_cap"]:
        raise BodyTooLargeError(f"{configuration['body_cap']} bytes at most")
    time_left = _time_left(head.deadline, default_ms=request_class["due_ms"])
    if not all(is_header_value(value, max_length=MAX_HEADER_LENGTH) for value in (head.key, head.prefix) if value):
        raise InvalidHeaderError("a key or prefix is too long, or not of visible ASCII characters")
    return RequestFacts(
        tenant=tenant,
        class_name=head.class_name,
        key=head.key or generated_key,
        key_is_generated=not head.key,
        prefix=head.prefix,
        time_left=time_left,
        client_attempt=_attempt_number(head.attempt),
        kind=request_class["kind"],
        is_streamed=request_class["stream"],
        is_resumable=request_class["resumable"],
        homes=tenant_configuration["homes"],
    )


def _authenticate(configuration: Configuration, bearer_key: str) -> str:
    """Return the tenant that the bearer key belongs to."""
    if not bearer_key:
        raise MissingKeyError()
    tenant: str | None = tenant_of_key(configuration, bearer_key)
    if tenant is None:
        raise UnknownKeyError()
    return tenant


def _time_left(deadline: str, *, default_ms: int) -> timedelta:
    """Return the time until the deadline in a head."""
    if deadline == "":
        left_ms = default_ms
    elif len(deadline) <= MAX_DEADLINE_DIGITS and is_whole_number(deadline.removeprefix("-"), max_digits=MAX_DEADLINE_DIGITS):
        left_ms = int(deadline)
    else:
        raise InvalidDeadlineError(deadline[:MAX_HEADER_LENGTH])
    if left_ms > 0:
        return milliseconds(min(left_ms, MAX_DEADLINE_MS))
    is_zero = deadline != "" and deadline.strip("0") == ""
    if left_ms < 0 or is_zero:
        raise DeadlinePassedError()
    raise InvalidDeadlineError()


def _attempt_number(attempt: str) -> int:
    """Return the number of the attempt by the client's own count; 0 if it sent none."""
    if not attempt:
        return 0
    if not is_whole_number(attempt, max_digits=MAX_ATTEMPT_DIGITS) or not 0 < int(attempt) <= MAX_ATTEMPT:
        raise InvalidHeaderError("Silverglade-Attempt")
    return int(attempt)


def is_surely_first(facts: RequestFacts) -> bool:
    """Whether a refusal may state that the request did not run although no owner has checked its key (design 6.5)."""
    return facts.key_is_generated or facts.client_attempt == 1 or (facts.is_resumable and facts.client_attempt == 0)


def ran_if_first(facts: RequestFacts) -> str:
    """Return the `ran` value of a refusal at this daemon."""
    return RAN_NO if is_surely_first(facts) else RAN_MAYBE


def ran_if_not_admitted(error: SilvergladeError, head: RequestHead) -> str:
    """Return the `ran` value of a request whose head is refused, so that its class is not known."""
    if not head.key:
        return RAN_NO
    is_repeated = is_whole_number(head.attempt, max_digits=MAX_ATTEMPT_DIGITS) and int(head.attempt) > 1
    may_be_repeated = error.code == result_codes.NO_CONFIG and head.attempt != "1"
    return RAN_MAYBE if is_repeated or may_be_repeated else RAN_NO
