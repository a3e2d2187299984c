"""Calls of tenants' replicas and of the platform (design 7.6, 9.6): dispatches, health checks, reports; HTTP/1.1 by library."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

import anyio
import httpcore

from ..runtime.errors import InvalidInputError
from ..runtime.outside_input import MAX_LENGTH_DIGITS, is_whole_number, parse_json

TIMEOUTS = {"connect": 1.0, "read": None, "write": 10.0, "pool": None}
"""In seconds. How long a response may take is bounded over the whole call."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Of a response that is held until it is complete, and of one event."""

MAX_EVENT_ID_DIGITS = 11
DISPATCH_MARGIN_S = 1.0
"""So long after its due a dispatch ends here, whatever the replica does."""

HEALTH_CHECK_TIMEOUT_S = 1.0
PLATFORM_TIMEOUT_S = 2.0
REPLICA_STATES = ("starting", "ready", "leaving")

NETWORK_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, TimeoutError)


class DispatchOutcome(StrEnum):
    """What the tenants' ingress is told of a dispatch; details in parentheses."""

    COMPLETE = "whole"  # (body)
    PIECE = "piece"  # (number, data)
    DONE = "done"  # the stream's mark of success (number of the last piece)
    REFUSED = "refused"  # the replica surely did not run it
    FAILED = "fault"  # (whether it ran: "maybe" or "yes")


Report = Callable[..., Awaitable[None]]
"""Takes an outcome and its details."""

WaitForClient = Callable[[], Awaitable[None]]
"""Waits until the client has taken enough of what was passed on."""


class ServerSentEvent(NamedTuple):
    """One event of a stream.

    :ivar number: its id, or -1 where it is no number.
    """

    name: str
    number: int
    data: bytes


class DispatchRequest(NamedTuple):
    """A tenant's request on its way to a replica.

    :ivar due_ms: how long the client will wait from here on.
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
        """Return the request of a `Dispatch` effect."""
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
        """Return the headers with which it is sent."""
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
    """What a tenants' replica says of itself; a component reads it as a tuple."""

    incarnation: int
    state: str
    use: float
    served: float
    running: int
    warm: bool


def new_pool(*, local: str | None = None) -> httpcore.AsyncConnectionPool:
    """Return a pool that keeps no connection: a dispatch that cannot connect was surely not received."""
    return httpcore.AsyncConnectionPool(max_connections=None, max_keepalive_connections=0, local_address=local)


def header(response: httpcore.Response, name: bytes) -> str:
    """Return a header of a response, or empty."""
    return next((value.decode("latin-1") for key, value in response.headers if key.lower() == name), "")


class EventParser:
    """Takes bytes of a stream and returns its complete events."""

    def __init__(self, *, max_bytes: int = MAX_RESPONSE_BYTES) -> None:
        self._buffer = b""
        self._max_bytes = max_bytes

    def feed(self, data: bytes) -> tuple[ServerSentEvent, ...]:
        """Take further bytes and return the events that are complete with them.

        :raises ValueError: an event is too long.
        """
        self._buffer = (self._buffer + data).replace(b"\r\n", b"\n")
        events = []
        while b"\n\n" in self._buffer:
            text, self._buffer = self._buffer.split(b"\n\n", 1)
            events.append(_parse_event(text))
        if len(self._buffer) > self._max_bytes:
            raise ValueError("an event is too long")
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


async def dispatch(*, pool: httpcore.AsyncConnectionPool, request: DispatchRequest, report: Report, wait_for_client: WaitForClient) -> None:
    """Run one dispatch, reporting how it goes on."""
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


async def _handle_response(request: DispatchRequest, response: httpcore.Response, report: Report, wait_for_client: WaitForClient) -> None:
    if response.status == 503 and header(response, b"silverglade-ran") == "no":
        await report(DispatchOutcome.REFUSED)
    elif response.status != 200 or header(response, b"silverglade-dispatch") != request.dispatch_id:
        await report(DispatchOutcome.FAILED, "maybe")
    elif request.is_stream:
        await _pass_stream(response, report, wait_for_client)
    else:
        await _pass_complete(response, report)


async def _pass_complete(response: httpcore.Response, report: Report) -> None:
    """Read a plain response; it is a success only with the length that it states."""
    stated_length, pieces, size = header(response, b"content-length"), [], 0
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


async def _pass_stream(response: httpcore.Response, report: Report, wait_for_client: WaitForClient) -> None:
    """Pass a stream's pieces on; it is a success only with its mark."""
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
    """Send a region's wanted replicas to the platform; returns whether it took them (design 9.6)."""
    body = json.dumps(orders).encode()
    headers = [("Host", address), ("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    try:
        with anyio.fail_after(PLATFORM_TIMEOUT_S):
            response = await pool.request("PUT", f"http://{address}/v1/orders", content=body, headers=headers)
        return response.status < 300
    except NETWORK_ERRORS:
        return False


async def get(*, pool: httpcore.AsyncConnectionPool, address: str, path: str, timeout_s: float = 1.0) -> tuple[int, bytes]:
    """Return status and body; (0, b"") where no complete response came in time."""
    try:
        with anyio.fail_after(timeout_s):
            response = await pool.request("GET", f"http://{address}{path}", headers=[("Host", address)], extensions={"timeout": TIMEOUTS})
        return response.status, response.content
    except NETWORK_ERRORS:
        return 0, b""


async def check_health(*, pool: httpcore.AsyncConnectionPool, address: str) -> HealthReport | None:
    """Ask a tenants' replica how it does; None without a valid answer."""
    status, body = await get(pool=pool, address=address, path="/v1/state", timeout_s=HEALTH_CHECK_TIMEOUT_S)
    try:
        table = parse_json(body)
        if status != 200 or table["state"] not in REPLICA_STATES:
            return None
        return HealthReport(
            incarnation=int(table["incarnation"]),
            state=table["state"],
            use=float(table["use"]),
            served=float(table["served"]),
            running=int(table["running"]),
            warm=table.get("warm") is True,
        )
    except (InvalidInputError, ValueError, KeyError, TypeError):
        return None
