"""What the fake servers on loopback share: field names, one connection's requests, the answers to one of them (design 15)."""

from __future__ import annotations

import math
import socket
import struct
import time
from datetime import timedelta
from typing import NamedTuple

import anyio
import anyio.abc
import h11

from .replica_answers import RequestAnswer

CLOSED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, h11.ProtocolError)
LOOPBACK = "127.0.0.1"
Header = tuple[bytes, bytes]


class FieldNames(NamedTuple):
    """Names in the endpoint list and in a replica's report; the defaults are the product's own.

    :ivar list: path of the endpoint list.
    :ivar page: in its query, which page.
    :ivar within: in its query, one zone alone.
    """

    list: str = "/v1/list"
    replicas: str = "replicas"
    next: str = "next"
    page: str = "page"
    within: str = "zone"
    id: str = "id"
    service: str = "service"
    address: str = "address"
    zone: str = "zone"
    slots: str = "slots"
    state: str = "state"
    ready: str = "ready"
    leaving: str = "leaving"
    cold: str = "cold_ms"
    left: str = "left_ms"
    waiting: str = "waiting"
    running: str = "running"
    used: str = "used"
    memory: str = "memory"


class ReceivedRequest(NamedTuple):
    """A request with all of its body."""

    request: h11.Request
    body: bytes

    @property
    def path(self) -> str:
        """Path and query."""
        return self.request.target.decode("latin-1")


def clock() -> timedelta:
    """Return the time of the monotonic clock."""
    return timedelta(seconds=time.monotonic())


def reset(stream: anyio.abc.ByteStream) -> None:
    """Let the connection end with a reset once it is closed."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def listen() -> tuple[anyio.abc.Listener[anyio.abc.SocketStream], str]:
    """Listen on a free port of the loopback address; return the listener and its address."""
    listener = await anyio.create_tcp_listener(local_host=LOOPBACK, local_port=0)
    return listener, f"{LOOPBACK}:{listener.extra(anyio.abc.SocketAttribute.local_port)}"


class AnswerQueue:
    """What the engine says of one request, on its way to the connection."""

    def __init__(self) -> None:
        """Begin empty."""
        self._sender, self._receiver = anyio.create_memory_object_stream[RequestAnswer](math.inf)
        self._peeked: RequestAnswer | None = None

    def put(self, answer: RequestAnswer) -> None:
        """Add an answer."""
        self._sender.send_nowait(answer)

    async def next(self) -> RequestAnswer:
        """Wait for the next answer and take it."""
        answer, self._peeked = self._peeked, None
        return answer or await self._receiver.receive()

    async def peek(self) -> RequestAnswer:
        """Wait for the next answer and leave it."""
        self._peeked = await self.next()
        return self._peeked

    def next_nowait(self) -> RequestAnswer | None:
        """Take the next answer; None if there is none yet."""
        try:
            return self._receiver.receive_nowait()
        except anyio.WouldBlock:
            return None


class ServerConnection:
    """The server's end of one connection, with requests one after another."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        """Begin with the first request.

        :param stream: the connection.
        """
        self.stream, self.http = stream, h11.Connection(h11.SERVER)

    async def receive_request(self, idle_s: float) -> ReceivedRequest | None:
        """Read the next request.

        :param idle_s: how many seconds to wait for bytes.
        :returns: None when the connection is over.
        """
        request, body = None, b""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if not await self._receive_data(idle_s):
                    return None
            elif isinstance(event, h11.Request):
                request = event
                if self.http.they_are_waiting_for_100_continue:
                    await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return ReceivedRequest(request, body)
            else:
                return None

    async def _receive_data(self, idle_s: float) -> bool:
        """Hand the library the next bytes, or the end; return False if none came in time."""
        with anyio.move_on_after(idle_s) as scope:
            try:
                self.http.receive_data(await self.stream.receive())
            except anyio.EndOfStream:
                self.http.receive_data(b"")
        return not scope.cancelled_caught

    async def send(self, *events: h11.Event) -> None:
        """Send parts of an answer."""
        data = b"".join(self.http.send(event) or b"" for event in events)
        if data:
            await self.stream.send(data)

    async def respond(self, status: int, headers: list[Header], body: bytes = b"") -> None:
        """Send a whole answer."""
        await self.send(
            h11.Response(status_code=status, headers=[*headers, (b"content-length", b"%d" % len(body))]),
            *([h11.Data(data=body)] if body else []),
            h11.EndOfMessage(),
        )

    def next_cycle(self) -> bool:
        """Get ready for the next request; return whether there may be one."""
        if self.http.our_state is h11.MUST_CLOSE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True
