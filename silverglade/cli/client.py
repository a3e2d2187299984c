"""HTTP client of the operator's command line (design 11)."""

from __future__ import annotations

import json
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import httpcore

from ..runtime.errors import RemoteError, SilvergladeError, UnreachableError
from ..runtime.result_codes import BAD_CALL

TIMEOUTS = {"connect": 2.0, "read": 8.0, "write": 5.0, "pool": 5.0}
"""Timeouts of one HTTP call, in seconds."""

MAX_THREADS = 16


class Response(NamedTuple):
    """A daemon's response: HTTP status and decoded JSON body."""

    status: int
    data: Any


def send_request(
    address: str, method: str, path: str, body: Any = None, *, key: str = "", headers: Sequence[tuple[str, str]] = ()
) -> Response:
    """Send one HTTP request to a daemon and return its response, whatever its status.

    :param address: IP:PORT of the daemon's HTTP server.
    :param body: a value to be sent as JSON; None: an empty body.
    :param key: the operator's key, or empty.
    :raises UnreachableError: the daemon gave no valid HTTP response with a JSON body.
    """
    content = json.dumps(body).encode() if body is not None else b""
    all_headers = [("Host", address), ("Content-Length", str(len(content))), *headers]
    if key:
        all_headers.append(("Authorization", f"Bearer {key}"))
    try:
        with httpcore.ConnectionPool(max_keepalive_connections=0) as pool:
            response = pool.request(
                method, f"http://{address}{path}", content=content, headers=all_headers, extensions={"timeout": TIMEOUTS}
            )
            return Response(response.status, json.loads(response.content))
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        httpcore.UnsupportedProtocol,
        ValueError,
        OSError,
    ) as error:
        raise UnreachableError(f"{address}: {type(error).__name__}") from error


def require_success(response: Response) -> Any:
    """Return the data of a successful response.

    :raises RemoteError: the status is not 200; the error has the result code that the daemon gave.
    """
    if response.status == 200:
        return response.data
    if not isinstance(response.data, dict):
        raise RemoteError(BAD_CALL)
    raise RemoteError(response.data.get("code", BAD_CALL), response.data.get("detail", "") or "")


def query_all_daemons(address: str, path: str, *, key: str = "") -> tuple[dict[str, Any], dict[str, Any]]:
    """Send a GET request to every live daemon that is a member in the view of the daemon at `address`.

    :returns: the members by name, and the data of each daemon's response by name; None for a daemon that gave no successful response.
    """
    fleet = require_success(send_request(address, "GET", "/v1/fleet", key=key))["fleet"]

    def query_one(name: str) -> tuple[str, Any]:
        try:
            return name, require_success(send_request(fleet[name]["http"], "GET", path, key=key))
        except SilvergladeError:
            return name, None

    with ThreadPoolExecutor(MAX_THREADS) as pool:
        return fleet, dict(pool.map(query_one, sorted(fleet)))
