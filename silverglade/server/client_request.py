"""One forwarded request of a client under way (design 15.3): its instructions, and the way back to the client."""

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
"""Header's name in lower case -> value."""

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
"""Headers that concern one connection only; they are not forwarded."""

MAX_SECONDS = 1e6
"""A header that names more is not believed."""


class ClientLimits(NamedTuple):
    """What a client may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=5)
    idle_timeout: timedelta = timedelta(seconds=30)

    @classmethod
    def from_configuration(cls, table: Mapping[str, int] | None) -> ClientLimits:
        """Return the limits of a configuration's table, or the defaults where there is none."""
        if not table:
            return cls()
        return cls(
            header_bytes=table["header_bytes"],
            body_bytes=table["body_bytes"],
            header_timeout=timedelta(milliseconds=table["header_ms"]),
            idle_timeout=timedelta(milliseconds=table["idle_ms"]),
        )


class RequestEnd(Enum):
    """Why a request ends without a word of the router."""

    CLIENT_GONE = auto()
    FORGOTTEN = auto()
    """The router let its deadline pass."""
    SHUTDOWN = auto()
    """The daemon ends soon (design 15.9)."""


Instruction = StartAttempt | ForwardResponse | AnswerClient | AbortResponse | RequestEnd


class HeldResponse(NamedTuple):
    """A complete response that the client is handed if the router says so."""

    status: int
    headers: Headers
    body: bytes


class ClientConnection(Protocol):
    """What a request needs of the connection on which it came (http/forwarding_protocol.py)."""

    def cut(self, cycle: Any) -> None:
        """End the connection so that this cycle's response does not look complete."""

    def joined_writes(self) -> AbstractContextManager[Any]:
        """Within this context what is written leaves in one piece."""


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]], fields: HeaderTable) -> Headers:
    """Return the headers without those that concern one connection only.

    :param fields: the same headers by name; `Connection` names further ones to be left out.
    """
    named = fields.get(b"connection")
    dropped = HOP_BY_HOP_HEADERS | {name.strip().lower() for name in named.split(b",")} if named else HOP_BY_HOP_HEADERS
    return [(name, value) for name, value in headers if name.lower() not in dropped]


class ClientRequest:
    """One request of a client, and the way back to it.

    :ivar request_id: unique in this daemon's process.
    :ivar attempt_id: the client's own id of its attempt, which the replica echoes.
    :ivar connection: the client's connection; `cycle` is this request's turn on it.
    :ivar attempt_number: of the attempt that runs, or ran last; 0 before the first.
    :ivar attempt_scope: cancels the attempt that runs; None while none does.
    :ivar response_head: status and headers of the first response that was passed on, for a stream that goes on elsewhere.
    :ivar held_response: a complete response that was not passed on yet.
    :ivar last_event_id: of the last event that was passed on.
    :ivar was_started: the client was sent a head.
    :ivar was_sent: a byte of it was sent to some replica.
    :ivar forget_timer: ends the request even without the router.
    :ivar received_at: when it was read, on the monotonic clock.
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
        "was_started",
        "was_sent",
        "forget_timer",
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
        self.was_started = False
        self.was_sent = False
        self.forget_timer: asyncio.TimerHandle | None = None
        self.received_at = timedelta(seconds=time.monotonic())
        self._send = send
        self._is_draining = is_draining
        self._instructions: deque[Instruction] = deque()
        self._waiter: asyncio.Future[None] | None = None

    # instructions

    def put(self, instruction: Instruction | CancelAttempt) -> None:
        """Queue an instruction; all but the handing on of a response end the attempt that runs, or waits for its turn."""
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
        """Give an attempt up, whether it runs or waits for its turn."""
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

    # to the client

    def cut(self) -> None:
        """End the client's connection so that the response does not look complete."""
        self.connection.cut(self.cycle)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of the response."""
        self.was_started = True
        if self._is_draining():
            headers = [*headers, (b"connection", b"close")]
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def send_data(self, data: bytes) -> None:
        """Send a piece of the body; more follows."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self, data: bytes = b"") -> None:
        """Send the last piece of the body."""
        with self.connection.joined_writes():
            await self._send({"type": "http.response.body", "body": data})

    async def respond(self, status: int, headers: Headers, body: bytes, *, more: bool = False) -> None:
        """Send a head and the body that comes with it, in one piece."""
        with self.connection.joined_writes():
            await self.start(status, headers)
            await self._send({"type": "http.response.body", "body": body, "more_body": more})

    async def respond_with_code(self, status: int, code: int, *, retry_after: float | None = None, close: bool | None = None) -> None:
        """Answer with a result code of the daemon's own.

        :param retry_after: seconds until the client may come back.
        :param close: end the connection after it; by default if the daemon is draining.
        """
        await send_result_code(self._send, status, code, retry_after=retry_after, close=self._is_draining() if close is None else close)


async def send_result_code(send: AsgiSend, status: int, code: int, *, retry_after: float | None = None, close: bool = False) -> None:
    """Send a response that says no more than a result code.

    :param retry_after: seconds until the client may come back.
    :param close: end the connection after it.
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
    """Return the seconds of a `Retry-After` header, or None where it cannot be read."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0 <= seconds < MAX_SECONDS else None
