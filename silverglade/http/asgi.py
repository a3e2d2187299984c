"""Helpers for ASGI apps: headers, bodies of bounded size, JSON responses."""

from __future__ import annotations

import json
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

import anyio

from ..runtime.errors import BodyTooLargeError, SlowBodyError, TruncatedBodyError, error_body, http_status
from ..runtime.outside_input import MAX_LENGTH_DIGITS, is_whole_number

Scope = Mapping[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = Iterable[tuple[bytes, bytes]]
HeaderTable = Mapping[str, str]
"""Header name in lower case -> value."""

MAX_BODY_BYTES = 4 * 1024 * 1024 + 1024
"""Limit for calls that set no other."""

BODY_TIMEOUT_S: float = 20

RETRY_AFTER_JITTER = (0.8, 1.6)
"""Range of the random factor of `Retry-After`, which prevents many clients from retrying at the same time."""


def header_table(scope: Scope) -> dict[str, str]:
    """Return a request's headers by name; of repeated headers, the last one counts."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]}


def has_repeated_header(scope: Scope, names: frozenset[bytes]) -> bool:
    """Return whether a request has any of these headers more than once.

    :param names: in lower case.
    """
    found = [name for raw_name, _ in scope["headers"] if (name := raw_name.lower()) in names]
    return len(found) > len(set(found))


def bearer_key(headers: HeaderTable) -> str:
    """Return the bearer key of a request, or an empty string."""
    value = headers.get("authorization", "")
    return value[len("bearer ") :].strip() if value[: len("bearer ")].lower() == "bearer " else ""


async def read_body(receive: Receive, headers: HeaderTable, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Read a whole body.

    :raises BodyTooLargeError: it is larger than `max_bytes`, or its stated length is.
    :raises TruncatedBodyError: the client disconnected before the end of the body.
    :raises SlowBodyError: it did not arrive within `BODY_TIMEOUT_S`.
    """
    stated_length = headers.get("content-length", "")
    if is_whole_number(stated_length, max_digits=MAX_LENGTH_DIGITS) and int(stated_length) > max_bytes:
        raise BodyTooLargeError(f"{max_bytes} bytes at most")
    pieces, size = [], 0
    with anyio.move_on_after(BODY_TIMEOUT_S):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise TruncatedBodyError()
            piece = message.get("body", b"")
            pieces.append(piece)
            size += len(piece)
            if size > max_bytes:
                raise BodyTooLargeError(f"{max_bytes} bytes at most")
            if not message.get("more_body"):
                return b"".join(pieces)
    raise SlowBodyError()


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the client has disconnected. Its body must have been read before."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_response(send: Send, status: int, content_type: bytes, body: bytes, extra_headers: Headers = ()) -> None:
    """Send a complete response."""
    headers = [(b"content-type", content_type), (b"content-length", str(len(body)).encode()), *extra_headers]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, status: int, data: Any, extra_headers: Headers = ()) -> None:
    """Send a complete JSON response."""
    await send_response(send, status, b"application/json", json.dumps(data).encode() + b"\n", extra_headers)


async def send_error(
    send: Send,
    code: int,
    *,
    ran: str = "no",
    wait_ms: float | None = None,
    detail: str = "",
    extra_headers: Headers = (),
) -> None:
    """Send an error response for a result code.

    :param ran: whether the request with this key may have run (docs/faults.md).
    :param wait_ms: after how long the client may retry, before jitter.
    """
    retry_after = None
    if wait_ms:
        retry_after = max(1, round(wait_ms / 1000 * random.uniform(*RETRY_AFTER_JITTER) + 0.5))
        extra_headers = (*extra_headers, (b"retry-after", str(retry_after).encode()))
    body = error_body(code=code, ran=ran, retry_after=retry_after, detail=detail)
    await send_json(send, http_status(code), body, extra_headers)
