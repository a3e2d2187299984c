"""Calls of replicas, platform and operators (design 2.2, 2.3)."""

import hmac
import json
import secrets

from ..runtime.effects import milliseconds
from ..runtime.errors import (
    RESULT_CODES,
    InvalidCallError,
    MissingKeyError,
    MissingVersionError,
    NotFoundError,
    UnknownKeyError,
    WrongRoleError,
    http_status,
)
from ..runtime.settings import ROLES
from .operator_changes import portable, settled

DIGITS = 18  # of numbers in a head: they stay within what is sent


def wait(head):
    """How long the caller says that it waits for an answer (design 5.4): (), or a time."""
    v = head.get("silverglade-wait", "")
    if v and not (v.isascii() and v.isdigit() and 0 < len(v) <= 9):
        raise InvalidCallError("Silverglade-Wait wants whole milliseconds")
    return (milliseconds(int(v)),) if v else ()


def parse(b):
    try:
        return json.loads(b)
    except (ValueError, RecursionError) as e:
        raise InvalidCallError("the body is not JSON") from e


def version(head):
    v = head.get("if-match", "").strip().strip('"')
    a, _, b = v.partition(".")
    if not v:
        raise MissingVersionError()
    if not (v.isascii() and a.isdigit() and b.isdigit() and len(a) <= DIGITS and len(b) <= DIGITS):
        raise InvalidCallError("If-Match wants EPOCH.NUMBER")
    return int(a), int(b)


def change(head):
    c = head.get("silverglade-change", "") or secrets.token_hex(8)
    if len(c) > 100:
        raise InvalidCallError("the change id is too long")
    return c


def listed(raw):
    rows = raw.get("replicas") if isinstance(raw, dict) else None
    if not isinstance(rows, list):
        raise InvalidCallError('wants {"replicas": [...]}')
    out = []
    for i, r in enumerate(rows):
        if not (
            isinstance(r, dict)
            and isinstance(r.get("id"), str)
            and type(r.get("incarnation", 0)) is int
            and type(r.get("leaving", False)) is bool
        ):
            raise InvalidCallError(f"replicas[{i}]")
        out.append((r["id"], r.get("incarnation"), r.get("leaving", False)))
    return tuple(out)


def roles(verb, p):
    """Who may make this call (design 8.7)."""
    if p[:2] == ["v1", "replicas"] and verb in ("PUT", "DELETE"):
        return ("replica",)
    if p[:2] == ["v1", "platform"]:
        return ("platform",)
    if p[:2] == ["v1", "regions"]:
        return ("platform", "operator")
    return ("operator",)


def let_in(s, verb, p, key):
    """The caller's key against the roles of the call; a role without a key is open."""
    want = [s[f"{r}_key"] for r in roles(verb, p)]
    if p == ["healthz"] or not all(want) or any(hmac.compare_digest(key.encode(), w.encode()) for w in want):
        return
    if not key:
        raise MissingKeyError("this call wants the key of " + " or ".join(roles(verb, p)))
    other = any(s[f"{r}_key"] and hmac.compare_digest(key.encode(), s[f"{r}_key"].encode()) for r in ROLES)
    raise (WrongRoleError if other else UnknownKeyError)("this call wants the key of " + " or ".join(roles(verb, p)))


CHANGES = frozenset(("config-put", "evac", "reopen"))


async def route(d, verb, path, head, body, receive, send, answer, key):
    p = [x for x in path.split("/") if x]
    let_in(d.s, verb, p, key)
    match (verb, p):
        case ("GET", ["healthz"]):
            return await answer(send, 200, {"daemon": d.s["name"]})
        case ("GET", ["metrics"]):
            from .metrics import exposition

            b = await exposition(d)
            await send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": [(b"content-type", b"text/plain; version=0.0.4"), (b"content-length", str(len(b)).encode())],
                }
            )
            return await send({"type": "http.response.body", "body": b})
        case ("GET", ["v1", "config"]):
            op = ("config-get", ())
        case ("PUT", ["v1", "config"]):
            op = ("config-put", portable((version(head), change(head), parse(await body()))))
        case ("PUT" | "DELETE", ["v1", "zones", zone, "evacuation"]):
            op = ("evac", (zone, verb == "PUT", change(head), *wait(head)))
        case ("GET", ["v1", ("status" | "fleet" | "replicas") as what]):
            op = (what, ())
        case ("GET", ["v1", "regions", region, "orders"]):
            op = ("orders", (region,))
        case ("PUT", ["v1", "shards", name, "reopen"]):
            op = ("reopen", (name, change(head), *wait(head)))
        case ("GET", ["v1", "trace", word]):
            op = ("trace", (word,))
        case ("PUT", ["v1", "replicas", rid]):
            op = ("replica-put", (rid, parse(await body())))
        case ("DELETE", ["v1", "replicas", rid]):
            op = ("replica-leave", (rid,))
        case ("PUT", ["v1", "platform", "replicas"]):
            op = ("platform", (listed(parse(await body())),))
        case _:
            raise NotFoundError(path[:100])
    got = await (settled(d, receive, *op) if op[0] in CHANGES else d.call(*op))
    if got is None:
        return None  # its caller has left
    code, kw = got
    if code == 100:
        extra = ()
        if "version" in kw and p[1] == "config":
            extra = ((b"etag", f'"{kw["version"][0]}.{kw["version"][1]}"'.encode()),)
        return await answer(send, 200, kw, extra)
    ran = "maybe" if code == 503 else "no"
    return await answer(send, http_status(code), {"code": code, "name": RESULT_CODES[code][0], "ran": ran, **kw})
