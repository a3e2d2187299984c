"""HTTP/1.1 calls to replicas that serve tenants and to the platform (design 7.6, 9.6): dispatches, health checks, region orders."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

import anyio
import httpcore

from ..runtime.errors import InvalidInputError
from ..runtime.outside_input import MAX_INTEGER, MAX_LENGTH_DIGITS, bounded_integer, bounded_number, is_whole_number, parse_json

TIMEOUTS = {"connect": 1.0, "read": None, "write": 10.0, "pool": None}
"""In seconds. Reading has no timeout of its own: the duration of the whole call is limited instead."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Largest response that is buffered until it is complete, and largest event of a stream."""

MAX_EVENT_ID_DIGITS = 11
DISPATCH_MARGIN_S = 1.0
"""Time after its deadline at which a dispatch is ended, whatever the replica does."""

HEALTH_CHECK_TIMEOUT_S = 1.0
PLATFORM_TIMEOUT_S = 2.0
REPLICA_STATES = ("starting", "ready", "leaving")

NETWORK_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, TimeoutError)


class DispatchOutcome(StrEnum):
    """Progress and results of a dispatch as reported to the daemon machine; details in parentheses."""

    COMPLETE = "whole"  # (body)
    PIECE = "piece"  # (number, data)
    DONE = "done"  # the final event that marks the stream as successful (number of the last piece)
    REFUSED = "refused"  # the replica certainly did not run it
    FAILED = "fault"  # (whether it ran: "maybe" or "yes")


ReportOutcome = Callable[..., Awaitable[None]]
"""Reports a `DispatchOutcome` and its details."""

WaitForClient = Callable[[], Awaitable[None]]
"""Waits until the client has consumed enough of the results delivered to it (backpressure)."""


class ServerSentEvent(NamedTuple):
    """An event of a stream.

    :ivar number: the event id, or -1 if it is not a number.
    """

    name: str
    number: int
    data: bytes


class DispatchRequest(NamedTuple):
    """A tenant's request as it is sent to a replica.

    :ivar due_ms: milliseconds from now for which the client will wait.
    """

    dispatch_id: str
    address: str
    tenant: str
    request_class: str
    due_ms: int
    prefix: str
    is_stream: bool
    body: bytes

    @classmethod
    def from_facts(cls, dispatch_id: str, address: str, facts: Mapping[str, Any], body: bytes) -> DispatchRequest:
        """Create the request from the fields of a `Dispatch` effect."""
        return cls(
            dispatch_id=dispatch_id,
            address=address,
            tenant=facts["tenant"],
            request_class=facts["cls"],
            due_ms=facts["due"],
            prefix=facts["prefix"],
            is_stream=facts["stream"],
            body=body,
        )

    def headers(self) -> list[tuple[str, str]]:
        """Return the HTTP headers of the request."""
        headers = [
            ("Host", self.address),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(self.body))),
            ("Silverglade-Dispatch", self.dispatch_id),
            ("Silverglade-Tenant", self.tenant),
            ("Silverglade-Class", self.request_class),
            ("Silverglade-Due", str(self.due_ms)),
        ]
        if self.prefix:
            headers.append(("Silverglade-Prefix", self.prefix))
        return headers


class HealthReport(NamedTuple):
    """State that a replica reports about itself; passed on to the daemon machine as a plain tuple."""

    incarnation: int
    state: str
    use: float
    served: float
    running: int
    warm: bool


def new_pool(*, local: str | None = None) -> httpcore.AsyncConnectionPool:
    """Return a pool that reuses no connections, so that a dispatch that cannot connect was certainly not received."""
    return httpcore.AsyncConnectionPool(max_connections=None, max_keepalive_connections=0, local_address=local)


def header_value(response: httpcore.Response, name: bytes) -> str:
    """Return the value of a header given in lower case, or an empty string."""
    return next((value.decode("latin-1") for key, value in response.headers if key.lower() == name), "")


class EventParser:
    """Incremental parser of server-sent events."""

    def __init__(self, *, max_bytes: int = MAX_RESPONSE_BYTES) -> None:
        self._buffer = b""
        self._max_bytes = max_bytes

    def feed(self, data: bytes) -> tuple[ServerSentEvent, ...]:
        """Add bytes of the stream and return the events that they complete.

        :raises ValueError: an incomplete event exceeds the size limit.
        """
        self._buffer = (self._buffer + data).replace(b"\r\n", b"\n")
        events = []
        while b"\n\n" in self._buffer:
            text, self._buffer = self._buffer.split(b"\n\n", 1)
            events.append(_parse_event(text))
        if len(self._buffer) > self._max_bytes:
            raise ValueError(f"event exceeds {self._max_bytes} bytes")
        return tuple(events)


def _parse_event(text: bytes) -> ServerSentEvent:
    name, event_id, data = "", "", []
    for line in text.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value[1:] if value.startswith(b" ") else value
        if field == b"event":
            name = value.decode("utf-8", "replace")
        elif field == b"id":
            event_id = value.decode("utf-8", "replace")
        elif field == b"data":
            data.append(value)
    number = int(event_id) if is_whole_number(event_id, max_digits=MAX_EVENT_ID_DIGITS) else -1
    return ServerSentEvent(name, number, b"\n".join(data))


async def dispatch(
    *, pool: httpcore.AsyncConnectionPool, request: DispatchRequest, report: ReportOutcome, wait_for_client: WaitForClient
) -> None:
    """Run one dispatch and report its progress and its outcome."""
    try:
        with anyio.fail_after(request.due_ms / 1000 + DISPATCH_MARGIN_S):
            async with pool.stream(
                "POST",
                f"http://{request.address}/v1/run",
                headers=request.headers(),
                content=request.body,
                extensions={"timeout": TIMEOUTS},
            ) as response:
                await _handle_response(request, response, report, wait_for_client)
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        await report(DispatchOutcome.REFUSED)
    except (*NETWORK_ERRORS, ValueError):
        await report(DispatchOutcome.FAILED, "maybe")


async def _handle_response(
    request: DispatchRequest, response: httpcore.Response, report: ReportOutcome, wait_for_client: WaitForClient
) -> None:
    if response.status == 503 and header_value(response, b"silverglade-ran") == "no":
        await report(DispatchOutcome.REFUSED)
    elif response.status != 200 or header_value(response, b"silverglade-dispatch") != request.dispatch_id:
        await report(DispatchOutcome.FAILED, "maybe")
    elif request.is_stream:
        await _forward_stream(response, report, wait_for_client)
    else:
        await _forward_complete(response, report)


async def _forward_complete(response: httpcore.Response, report: ReportOutcome) -> None:
    """Read a response that is not a stream; it is a success only if its size equals the stated Content-Length."""
    stated_length, pieces, size = header_value(response, b"content-length"), [], 0
    async for piece in response.aiter_stream():
        size += len(piece)
        if size > MAX_RESPONSE_BYTES:
            await report(DispatchOutcome.FAILED, "yes")
            return
        pieces.append(piece)
    if is_whole_number(stated_length, max_digits=MAX_LENGTH_DIGITS) and int(stated_length) == size:
        await report(DispatchOutcome.COMPLETE, b"".join(pieces))
    else:
        await report(DispatchOutcome.FAILED, "yes")


async def _forward_stream(response: httpcore.Response, report: ReportOutcome, wait_for_client: WaitForClient) -> None:
    """Report the pieces of a stream as they arrive; it is a success only if it ends with a `done` event."""
    parser = EventParser()
    async for data in response.aiter_stream():
        for event in parser.feed(data):
            await wait_for_client()
            if event.name == "done":
                await report(DispatchOutcome.DONE, event.number)
                return
            if event.name == "fault":
                await report(DispatchOutcome.FAILED, "yes")
                return
            await report(DispatchOutcome.PIECE, event.number, event.data)
    await report(DispatchOutcome.FAILED, "yes")


async def put_region_orders(*, pool: httpcore.AsyncConnectionPool, address: str, orders: object) -> bool:
    """Report the replicas that a region wants to the platform; return whether it accepted them (design 9.6)."""
    body = json.dumps(orders).encode()
    headers = [("Host", address), ("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    try:
        with anyio.fail_after(PLATFORM_TIMEOUT_S):
            response = await pool.request("PUT", f"http://{address}/v1/orders", content=body, headers=headers)
        return response.status < 300
    except NETWORK_ERRORS:
        return False


async def get(*, pool: httpcore.AsyncConnectionPool, address: str, path: str, timeout_s: float = 1.0) -> tuple[int, bytes]:
    """Send a GET and return status and body, or (0, b"") if no complete response arrives in time."""
    try:
        with anyio.fail_after(timeout_s):
            response = await pool.request("GET", f"http://{address}{path}", headers=[("Host", address)], extensions={"timeout": TIMEOUTS})
        return response.status, response.content
    except NETWORK_ERRORS:
        return 0, b""


async def check_health(*, pool: httpcore.AsyncConnectionPool, address: str) -> HealthReport | None:
    """Run a health check of a replica; return None without a valid response."""
    status, body = await get(pool=pool, address=address, path="/v1/state", timeout_s=HEALTH_CHECK_TIMEOUT_S)
    try:
        table = parse_json(body)
        if status != 200 or table["state"] not in REPLICA_STATES:
            return None
        return HealthReport(
            incarnation=bounded_integer(table["incarnation"], most=MAX_INTEGER),
            state=table["state"],
            use=float(bounded_number(table["use"], most=1)),
            served=float(bounded_number(table["served"])),
            running=bounded_integer(table["running"]),
            warm=table.get("warm") is True,
        )
    except (InvalidInputError, ValueError, KeyError, TypeError):
        return None
