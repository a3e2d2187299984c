"""Calls of the operator's command line to daemons (design 11)."""

import json
from concurrent.futures import ThreadPoolExecutor

import httpcore

from ..runtime.errors import RemoteError, SilvergladeError, UnreachableError

SLOW = {"connect": 2.0, "read": 8.0, "write": 5.0, "pool": 5.0}


def ask(at, verb, path, body=None, *, key="", head=()):
    """-> (HTTP status, decoded answer, headers); Fault 705 when nobody answers there."""
    b = json.dumps(body).encode() if body is not None else b""
    hs = [("Host", at), ("Content-Length", str(len(b))), *head]
    if key:
        hs.append(("Authorization", f"Bearer {key}"))
    try:
        with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
            r = pool.request(verb, f"http://{at}{path}", content=b, headers=hs, extensions={"timeout": SLOW})
            return r.status, json.loads(r.content), dict(r.headers)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        httpcore.UnsupportedProtocol,
        ValueError,
        OSError,
    ) as e:
        raise UnreachableError(f"{at}: {type(e).__name__}") from e


def good(got):
    """The answer of a call that was taken; else a Fault with the daemon's own code."""
    st, d, _ = got
    if st == 200:
        return d
    raise RemoteError(d.get("code", 506) if isinstance(d, dict) else 506, d.get("detail", "") or "")


def everywhere(at, path, *, key=""):
    """Ask every live daemon that `at` knows of -> {name: answer or None when silent}."""
    fleet = good(ask(at, "GET", "/v1/fleet", key=key))["fleet"]

    def one(name):
        try:
            return name, good(ask(fleet[name]["http"], "GET", path, key=key))
        except SilvergladeError:
            return name, None

    with ThreadPoolExecutor(16) as pool:
        return fleet, dict(pool.map(one, sorted(fleet)))
