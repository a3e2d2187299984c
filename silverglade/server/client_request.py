"""A client's request that is being forwarded (design 15.3): its queue of instructions, and the response to the client."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Mapping
from contextlib import AbstractContextManager
from datetime import timedelta
from enum import Enum, auto
from typing import Any, NamedTuple, Protocol

import anyio

from ..runtime.effects import AbortResponse, AnswerClient, CancelAttempt, ForwardResponse, StartAttempt
from ..runtime.result_codes import RESULT_CODES

Headers = list[tuple[bytes, bytes]]
HeaderTable = Mapping[bytes, bytes]
"""Lower-case header name -> value."""

AsgiSend = Callable[[dict[str, Any]], Awaitable[None]]

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-authentication-info",
    )
)
"""Hop-by-hop headers: they apply to a single connection and are not forwarded."""

MAX_SECONDS = 1e6
"""A `Retry-After` header with this value or more is ignored."""


class ClientLimits(NamedTuple):
    """Limits for clients: size of headers and bodies, time to send the headers, idle time of a connection."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=5)
    idle_timeout: timedelta = timedelta(seconds=30)

    @classmethod
    def from_configuration(cls, table: Mapping[str, int] | None) -> ClientLimits:
        """Return the limits from a table of the configuration, or the defaults if there is none."""
        if not table:
            return cls()
        return cls(
            header_bytes=table["header_bytes"],
            body_bytes=table["body_bytes"],
            header_timeout=timedelta(milliseconds=table["header_ms"]),
            idle_timeout=timedelta(milliseconds=table["idle_ms"]),
        )


class RequestEnd(Enum):
    """Why a request ends without an instruction from the router."""

    CLIENT_DISCONNECTED = auto()
    DEADLINE_EXPIRED = auto()
    """Its deadline passed without an instruction from the router."""
    SHUTDOWN = auto()
    """The daemon is about to exit (design 15.9)."""


Instruction = StartAttempt | ForwardResponse | AnswerClient | AbortResponse | RequestEnd


class HeldResponse(NamedTuple):
    """A complete response that is sent to the client only if the router instructs so."""

    status: int
    headers: Headers
    body: bytes


class ClientConnection(Protocol):
    """The part of a client's connection that a request uses (implemented in http/forwarding_protocol.py).

    :ivar request_count: number of forwarded requests read on it so far.
    """

    request_count: int

    def cut(self, cycle: Any) -> None:
        """Close the connection in such a way that the response of this cycle is seen to be incomplete."""

    def joined_writes(self) -> AbstractContextManager[Any]:
        """Return a context in which all writes are combined into one."""


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]], fields: HeaderTable) -> Headers:
    """Return the headers without the hop-by-hop ones.

    :param fields: the same headers keyed by name; headers listed in `Connection` are left out too.
    """
    named = fields.get(b"connection")
    dropped = HOP_BY_HOP_HEADERS | {name.strip().lower() for name in named.split(b",")} if named else HOP_BY_HOP_HEADERS
    return [(name, value) for name, value in headers if name.lower() not in dropped]


class ClientRequest:
    """A request of a client, with the means to send its response.

    :ivar request_id: unique within the daemon's process.
    :ivar attempt_id: id that the client assigned to its attempt; the replica echoes it in the response.
    :ivar connection: the client's connection.
    :ivar cycle: uvicorn's request/response cycle of this request on the connection.
    :ivar attempt_number: number of the current or the latest attempt; 0 before the first.
    :ivar attempt_scope: cancel scope of the current attempt, or None.
    :ivar response_head: status and headers of the first successful response, kept for a stream that resumes at another replica.
    :ivar held_response: a complete response that has not been sent to the client.
    :ivar last_event_id: id of the last event sent to the client.
    :ivar is_response_started: the head of a response was sent to the client.
    :ivar was_sent: at least one byte of the request was sent to a replica.
    :ivar deadline_timer: ends the request shortly after its deadline if the router has not ended it.
    :ivar received_at: when the request was read, on the monotonic clock.
    """

    __slots__ = (
        "request_id",
        "method",
        "target",
        "headers",
        "attempt_id",
        "body",
        "connection",
        "cycle",
        "attempt_number",
        "attempt_scope",
        "response_head",
        "held_response",
        "last_event_id",
        "is_response_started",
        "was_sent",
        "deadline_timer",
        "received_at",
        "_send",
        "_is_draining",
        "_instructions",
        "_waiter",
    )

    def __init__(
        self,
        *,
        request_id: str,
        method: str,
        target: bytes,
        headers: Headers,
        attempt_id: bytes,
        body: bytes,
        send: AsgiSend,
        connection: ClientConnection,
        cycle: Any,
        is_draining: Callable[[], bool],
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.target = target
        self.headers = headers
        self.attempt_id = attempt_id
        self.body = body
        self.connection = connection
        self.cycle = cycle
        self.attempt_number = 0
        self.attempt_scope: anyio.CancelScope | None = None
        self.response_head: tuple[int, Headers] | None = None
        self.held_response: HeldResponse | None = None
        self.last_event_id: str | None = None
        self.is_response_started = False
        self.was_sent = False
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.received_at = timedelta(seconds=time.monotonic())
        self._send = send
        self._is_draining = is_draining
        self._instructions: deque[Instruction] = deque()
        self._waiter: asyncio.Future[None] | None = None

    # instructions

    def put(self, instruction: Instruction | CancelAttempt) -> None:
        """Queue an instruction. All but `PassResponse` cancel the current attempt and discard one that is still queued."""
        if isinstance(instruction, CancelAttempt):
            self._cancel_attempt(instruction.attempt)
            return
        if not isinstance(instruction, ForwardResponse):
            self._instructions = deque(queued for queued in self._instructions if not isinstance(queued, StartAttempt))
            if self.attempt_scope:
                self.attempt_scope.cancel()
        self._instructions.append(instruction)
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    def _cancel_attempt(self, number: int) -> None:
        """Cancel an attempt, whether it is running or still queued."""
        self._instructions = deque(
            queued for queued in self._instructions if not isinstance(queued, StartAttempt) or queued.attempt != number
        )
        if number == self.attempt_number:
            self.held_response = None
            if self.attempt_scope:
                self.attempt_scope.cancel()

    async def next_instruction(self) -> Instruction:
        """Wait for the next instruction."""
        while not self._instructions:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._instructions.popleft()

    # responses to the client

    def cut(self) -> None:
        """Close the client's connection in such a way that the response is seen to be incomplete."""
        self.connection.cut(self.cycle)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the response."""
        self.is_response_started = True
        if self._is_draining():
            headers = [*headers, (b"connection", b"close")]
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body; more follows."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        with self.connection.joined_writes():
            await self._send({"type": "http.response.body", "body": data})

    async def respond(self, status: int, headers: Headers, body: bytes, *, more: bool = False) -> None:
        """Send the head and the body, or its first part, in one write."""
        with self.connection.joined_writes():
            await self.start(status, headers)
            await self._send({"type": "http.response.body", "body": body, "more_body": more})

    async def respond_with_code(self, status: int, code: int, *, retry_after: float | None = None, close: bool | None = None) -> None:
        """Send a response whose body holds a result code of the daemon.

        :param retry_after: seconds after which the client may retry.
        :param close: close the connection afterwards; by default if the daemon is draining.
        """
        await send_result_code(self._send, status, code, retry_after=retry_after, close=self._is_draining() if close is None else close)


async def send_result_code(send: AsgiSend, status: int, code: int, *, retry_after: float | None = None, close: bool = False) -> None:
    """Send a response whose body holds only a result code.

    :param retry_after: seconds after which the client may retry.
    :param close: close the connection afterwards.
    """
    table = {"code": code, "name": RESULT_CODES[code].name} if code in RESULT_CODES else {"code": code}
    body = json.dumps(table).encode()
    headers = [(b"content-type", b"application/json"), (b"content-length", b"%d" % len(body))]
    if retry_after is not None:
        headers.append((b"retry-after", b"%.2f" % max(0.0, retry_after)))
    if close:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def parse_seconds(value: bytes) -> float | None:
    """Return the seconds of a `Retry-After` header, or None if its value is not a number of seconds or is out of range."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0 <= seconds < MAX_SECONDS else None
