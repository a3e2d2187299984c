"""The product's own HTTP API (design 2), as one ASGI app: tenants' requests, and the calls of replicas, platform and operators.

There are two paths of a client's request through a daemon. *Tenants' requests* (`POST /v1/orders/{class}`, design 6) are handled
here: their results come from the tenants' ingress. *Forwarded requests* (design 15), with any method and path, come in on an address
of their own and are handled in forwarding_protocol.py. All other calls of the API are in handlers.py.
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

ACKNOWLEDGE_EVERY = 32
"""So many pieces of a stream are acknowledged at a time."""

SINGLE_HEADERS = frozenset(
    (b"authorization", b"idempotency-key", b"silverglade-attempt", b"silverglade-due", b"silverglade-prefix", b"content-length")
)
"""A request that has one of them twice could be read in two ways."""


async def handle_tenant_request(daemon: Daemon, request_class: str, scope: Scope, receive: Receive, send: Send) -> None:
    """Handle one request of a tenant: its head is checked, then there must be room for its body, then the body is read."""
    headers = header_table(scope)
    key, attempt = headers.get("idempotency-key", ""), headers.get("silverglade-attempt", "")
    due, prefix = headers.get("silverglade-due", ""), headers.get("silverglade-prefix", "")
    head = (bearer_key(headers), request_class, key, due, prefix, attempt)
    ran = "no" if not key or attempt == "1" else "maybe"  # no owner has looked (design 6.5)
    try:
        if has_repeated_header(scope, SINGLE_HEADERS):
            raise InvalidHeaderError("a header stands twice")
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
    """Return how long a body will be at most."""
    length = headers.get("content-length", "")
    return min(int(length), max_bytes) if is_whole_number(length, max_digits=MAX_LENGTH_DIGITS) else max_bytes


class TenantResponse:
    """The response to one request of a tenant, made of its results as they come.

    A stream's status waits for its first piece. A stream that breaks off ends with a fault event and an unclean close.
    """

    def __init__(self, daemon: Daemon, request_id: str, send: Send) -> None:
        self._daemon = daemon
        self._request_id = request_id
        self._send = send
        self._key = ""
        self._has_begun = False
        self._has_ended = False

    async def run(self, results: AsyncIterable[tuple[Any, ...]], receive: Receive) -> None:
        """Pass all results on; given up when the client leaves, or when passing them on fails."""
        try:
            await self._pass_on_all(results, receive)
        finally:
            with anyio.CancelScope(shield=True):
                await self._daemon.tenant_requests.abandon(self._request_id)

    async def _pass_on_all(self, results: AsyncIterable[tuple[Any, ...]], receive: Receive) -> None:
        async with anyio.create_task_group() as task_group:

            async def watch_client() -> None:
                await wait_for_disconnect(receive)
                task_group.cancel_scope.cancel()

            task_group.start_soon(watch_client)
            async for result in results:
                await self._pass_on(result)
            if not self._has_ended and not self._has_begun:
                await send_error(self._send, result_codes.LINK_LOST, ran="maybe")
            task_group.cancel_scope.cancel()

    async def _pass_on(self, result: tuple[Any, ...]) -> None:
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
        if number % ACKNOWLEDGE_EVERY == 0:
            await self._daemon.tenant_requests.acknowledge(self._request_id, number)

    async def _send_fault(self, code: int, ran: str, wait_ms: float | None, detail: str) -> None:
        if self._has_begun:
            data = json.dumps(error_body(code=code, ran=ran)).encode()
            await self._send(event_message("fault", -1, data))
        else:
            await send_error(self._send, code, ran=ran, wait_ms=wait_ms, detail=detail, more_headers=self._key_header())
        self._has_ended = True


def event_message(name: str, number: int, data: bytes) -> dict[str, Any]:
    """Return the ASGI message that sends one server-sent event.

    :param number: its id; below 0: none.
    """
    lines = [b"event: " + name.encode()] if name else []
    if number >= 0:
        lines.append(b"id: " + str(number).encode())
    lines += [b"data: " + line for line in data.split(b"\n")]
    return {"type": "http.response.body", "body": b"\n".join(lines) + b"\n\n", "more_body": True}


def app(daemon: Daemon) -> App:
    """Return the product's own API of a daemon."""

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
