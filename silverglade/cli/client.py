"""Calls of the operator's command line to daemons (design 11)."""

from __future__ import annotations

import json
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import httpcore

from ..runtime.errors import RemoteError, SilvergladeError, UnreachableError
from ..runtime.result_codes import BAD_CALL

TIMEOUTS = {"connect": 2.0, "read": 8.0, "write": 5.0, "pool": 5.0}
"""In seconds."""

MAX_THREADS = 16


class Answer(NamedTuple):
    """A daemon's answer."""

    status: int
    data: Any


def ask(at: str, method: str, path: str, body: Any = None, *, key: str = "", headers: Sequence[tuple[str, str]] = ()) -> Answer:
    """Make one call.

    :param at: IP:PORT of a daemon's HTTP address.
    :param key: the operator's key, or empty.
    :raises UnreachableError: nobody answers there.
    """
    content = json.dumps(body).encode() if body is not None else b""
    all_headers = [("Host", at), ("Content-Length", str(len(content))), *headers]
    if key:
        all_headers.append(("Authorization", f"Bearer {key}"))
    try:
        with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
            response = pool.request(method, f"http://{at}{path}", content=content, headers=all_headers, extensions={"timeout": TIMEOUTS})
            return Answer(response.status, json.loads(response.content))
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        httpcore.UnsupportedProtocol,
        ValueError,
        OSError,
    ) as error:
        raise UnreachableError(f"{at}: {type(error).__name__}") from error


def accepted(answer: Answer) -> Any:
    """Return the data of a call that was accepted.

    :raises RemoteError: it was not; with the daemon's own code.
    """
    if answer.status == 200:
        return answer.data
    if not isinstance(answer.data, dict):
        raise RemoteError(BAD_CALL)
    raise RemoteError(answer.data.get("code", BAD_CALL), answer.data.get("detail", "") or "")


def ask_everywhere(at: str, path: str, *, key: str = "") -> tuple[dict[str, Any], dict[str, Any]]:
    """Ask every live daemon that `at` knows of.

    :returns: the fleet as `at` knows it, and each daemon's answer by its name; None of a silent one.
    """
    fleet = accepted(ask(at, "GET", "/v1/fleet", key=key))["fleet"]

    def ask_one(name: str) -> tuple[str, Any]:
        try:
            return name, accepted(ask(fleet[name]["http"], "GET", path, key=key))
        except SilvergladeError:
            return name, None

    with ThreadPoolExecutor(MAX_THREADS) as pool:
        return fleet, dict(pool.map(ask_one, sorted(fleet)))
