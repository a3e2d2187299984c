"""The product's own HTTP API (design 2) as one ASGI app: tenants' requests, and calls by replicas, the platform and operators.

A daemon handles two kinds of client requests. *Tenants' requests* (`POST /v1/orders/{class}`, design 6) are handled here; their
results come from the tenants' ingress. *Forwarded requests* (design 15), with any method and path, arrive on a separate address and
are handled in forwarding_protocol.py. All other calls of the API are in handlers.py.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterable, Iterable
from typing import TYPE_CHECKING, Any

import anyio

from ..runtime import result_codes
from ..runtime.errors import InvalidHeaderError, SilvergladeError, error_body
from ..runtime.outside_input import MAX_LENGTH_DIGITS, is_whole_number
from .asgi import (
    App,
    HeaderTable,
    Receive,
    Scope,
    Send,
    bearer_key,
    has_repeated_header,
    header_table,
    read_body,
    send_error,
    wait_for_disconnect,
)
from .handlers import ApiRequest, handle

if TYPE_CHECKING:
    from ..server.daemon import Daemon

TENANT_REQUESTS_PATH = "/v1/orders/"

RETRY_WHEN_BUSY_MS = 1000

PIECES_PER_ACKNOWLEDGEMENT = 32
"""How many pieces of a stream are acknowledged together."""

NON_REPEATABLE_HEADERS = frozenset(
    (b"authorization", b"idempotency-key", b"silverglade-attempt", b"silverglade-due", b"silverglade-prefix", b"content-length")
)
"""Headers that a request must not repeat: it would be ambiguous which value counts."""


async def handle_tenant_request(daemon: Daemon, request_class: str, scope: Scope, receive: Receive, send: Send) -> None:
    """Handle one request of a tenant: check its head, reserve memory for its body, then read the body and send the response."""
    headers = header_table(scope)
    key, attempt = headers.get("idempotency-key", ""), headers.get("silverglade-attempt", "")
    deadline, prefix = headers.get("silverglade-due", ""), headers.get("silverglade-prefix", "")
    head = (bearer_key(headers), request_class, key, deadline, prefix, attempt)
    ran = "no" if not key or attempt == "1" else "maybe"  # no shard owner has checked the key yet (design 6.5)
    try:
        if has_repeated_header(scope, NON_REPEATABLE_HEADERS):
            raise InvalidHeaderError("a header that must not be repeated occurs more than once")
        code, answer = await daemon.call("head", head)
        if code != result_codes.OK:
            await send_error(send, code, ran=answer.get("ran", ran), wait_ms=answer.get("wait"), detail=answer.get("detail", ""))
            return
        with daemon.reserve_body(_expected_length(headers, answer["cap"])):
            body = await read_body(receive, headers, answer["cap"])
            request_id = daemon.new_request_id()
            results = daemon.tenant_requests.submit(request_id, (*head, body))
            await TenantResponse(daemon, request_id, send).run(results, receive)
    except SilvergladeError as error:
        wait_ms = RETRY_WHEN_BUSY_MS if error.code == result_codes.BUSY else None
        await send_error(send, error.code, ran=ran, wait_ms=wait_ms, detail=error.detail)


def _expected_length(headers: HeaderTable, max_bytes: int) -> int:
    """Return an upper bound of the body's length in bytes: its stated length, at most `max_bytes`."""
    length = headers.get("content-length", "")
    return min(int(length), max_bytes) if is_whole_number(length, max_digits=MAX_LENGTH_DIGITS) else max_bytes


class TenantResponse:
    """The response to one request of a tenant, sent as its results arrive.

    The status of a stream is sent with its first piece. A stream that fails ends with a fault event and an unclean close.
    """

    def __init__(self, daemon: Daemon, request_id: str, send: Send) -> None:
        self._daemon = daemon
        self._request_id = request_id
        self._send = send
        self._key = ""
        self._has_begun = False
        self._has_ended = False

    async def run(self, results: AsyncIterable[tuple[Any, ...]], receive: Receive) -> None:
        """Send all results to the client. If the client disconnects or sending fails, the request is abandoned."""
        try:
            await self._forward_results(results, receive)
        finally:
            with anyio.CancelScope(shield=True):
                await self._daemon.tenant_requests.abandon(self._request_id)

    async def _forward_results(self, results: AsyncIterable[tuple[Any, ...]], receive: Receive) -> None:
        async with anyio.create_task_group() as task_group:

            async def watch_client() -> None:
                await wait_for_disconnect(receive)
                task_group.cancel_scope.cancel()

            task_group.start_soon(watch_client)
            async for result in results:
                await self._forward_result(result)
            if not self._has_ended and not self._has_begun:
                await send_error(self._send, result_codes.LINK_LOST, ran="maybe")
            task_group.cancel_scope.cancel()

    async def _forward_result(self, result: tuple[Any, ...]) -> None:
        match result:
            case ("key", key, _):
                self._key = key
            case ("whole", body):
                await self._send_complete(body)
            case ("piece", number, data):
                await self._send_piece(number, data)
            case ("done", number, *_):
                await self._send(event_message("done", number, b""))
                await self._send({"type": "http.response.body", "body": b""})
                self._has_ended = True
            case ("fault", code, ran, *more):
                wait_ms, detail = (*more, None, "")[:2]
                await self._send_fault(code, ran, wait_ms, detail or "")

    def _key_header(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"idempotency-key", self._key.encode("latin-1", "replace")),) if self._key else ()

    async def _start(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        await self._send({"type": "http.response.start", "status": 200, "headers": list(headers)})

    async def _send_complete(self, body: bytes) -> None:
        length = str(len(body)).encode()
        await self._start([(b"content-type", b"application/json"), *self._key_header(), (b"content-length", length)])
        await self._send({"type": "http.response.body", "body": body})
        self._has_ended = True

    async def _send_piece(self, number: int, data: bytes) -> None:
        if not self._has_begun:
            self._has_begun = True
            await self._start([(b"content-type", b"text/event-stream"), *self._key_header()])
        await self._send(event_message("", number, data))
        if number % PIECES_PER_ACKNOWLEDGEMENT == 0:
            await self._daemon.tenant_requests.acknowledge(self._request_id, number)

    async def _send_fault(self, code: int, ran: str, wait_ms: float | None, detail: str) -> None:
        if self._has_begun:
            data = json.dumps(error_body(code=code, ran=ran)).encode()
            await self._send(event_message("fault", -1, data))
        else:
            await send_error(self._send, code, ran=ran, wait_ms=wait_ms, detail=detail, extra_headers=self._key_header())
        self._has_ended = True


def event_message(name: str, number: int, data: bytes) -> dict[str, Any]:
    """Return the ASGI message that sends one server-sent event.

    :param number: the event's id; no id is sent if negative.
    """
    lines = [b"event: " + name.encode()] if name else []
    if number >= 0:
        lines.append(b"id: " + str(number).encode())
    lines += [b"data: " + line for line in data.split(b"\n")]
    return {"type": "http.response.body", "body": b"\n".join(lines) + b"\n\n", "more_body": True}


def app(daemon: Daemon) -> App:
    """Return the ASGI app of a daemon's own API."""

    async def run(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        path, method = scope["path"], scope["method"]
        if path.startswith(TENANT_REQUESTS_PATH) and method == "POST":
            await handle_tenant_request(daemon, path[len(TENANT_REQUESTS_PATH) :], scope, receive, send)
            return
        try:
            await handle(daemon, ApiRequest(method, path, header_table(scope), receive, send))
        except SilvergladeError as error:
            await send_error(send, error.code, detail=error.detail)

    return run
