"""Connections between daemons (design 3.1): frames over TCP.

Each peer has three connections for sending, so that a heartbeat waits neither behind a request's body nor behind a snapshot of the
store: one for what keeps the fleet together, one for what concerns requests, one for bulk messages. A task owns each connection.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import SocketAttribute

from ..runtime.errors import SilvergladeError
from ..runtime.outside_input import is_address
from ..runtime.structured_logging import format_line
from ..server.priority_queues import queue_for
from .framing import BULK_MESSAGES, Body, FrameSplitter, decode_frame, encode_frame

if TYPE_CHECKING:
    from anyio.abc import AnyByteStream, ByteStream, TaskGroup
    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

QUEUE_LENGTH = 4096
"""Messages that wait for one connection; more are dropped."""

MAX_WAIT_S = 2.0
"""How long a message waits for a peer that takes no connection."""

CONNECT_TIMEOUT_S = 0.5

FIRST_PAUSE_S, MAX_PAUSE_S = 0.05, 0.25
"""Between two attempts to connect."""

SEND_TIMEOUT_S = 5
"""How long one frame may take to be handed to the kernel."""

UNACKNOWLEDGED_TIMEOUT_MS = 2000
"""A connection whose bytes the peer's machine does not acknowledge for this long ends, and a new one is tried.

A peer behind a network partition, or without power, ends no connection, and the kernel sends again what was not acknowledged at ever
longer intervals: it would stay silent for seconds after the partition has healed.
"""

KEEPALIVE_OPTIONS = ((socket.TCP_KEEPIDLE, 30), (socket.TCP_KEEPINTVL, 5), (socket.TCP_KEEPCNT, 3))
"""Seconds, seconds, number of probes."""

MAX_QUEUED_WHILE_UNREACHABLE = 64
"""Messages kept for a peer that takes no connection; the oldest go first."""

CLOSED_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
CONNECTION_ERRORS = (*CLOSED_ERRORS, TimeoutError)

QueuedFrame = tuple[float, bytes]
"""When it was queued, in seconds of the monotonic clock, and the frame."""

MessageHandler = Callable[[str, Body], Awaitable[None]]
"""Takes a sender's name and a message's body."""


def raw_socket(stream: AnyByteStream) -> socket.socket:
    """Return the operating system's socket of a stream."""
    return stream.extra(SocketAttribute.raw_socket)


def enable_keepalive(connection: socket.socket) -> None:
    """Let the kernel probe an idle connection: a peer that lost its power does not end it."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE_OPTIONS:
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


def split_address(address: str) -> tuple[str, int]:
    """Return IP number and port of "IP:PORT"."""
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


class PeerConnections:
    """All connections of a daemon to and from its peers.

    :param own_name: this daemon's name, which each frame carries.
    :param process_id: the id of this process, which each frame carries.
    :param address: where this daemon listens for its peers.
    :param on_message: called with each message that arrives; it may wait for room.
    :ivar addresses: daemon's name -> address, as far as it is known.
    :ivar dropped: how many messages were dropped because their queue was full.
    :ivar listening: set once messages can be sent.
    """

    def __init__(self, *, own_name: str, process_id: str, address: str, on_message: MessageHandler, logger: logging.Logger) -> None:
        self.own_name = own_name
        self.process_id = process_id
        self.address = address
        self.on_message = on_message
        self.logger = logger
        self.addresses: dict[str, str] = {}
        self.dropped = 0
        self.listening = anyio.Event()
        self.task_group: TaskGroup | None = None
        self._queues: dict[tuple[str, str], MemoryObjectSendStream[QueuedFrame]] = {}
        self._reachable: dict[str, anyio.Event] = {}
        """Address of a peer that takes no connection -> set once the peer is heard."""

    def set_address(self, name: str, address: str) -> None:
        """Note where a daemon listens; what is no address is not noted."""
        if is_address(address):
            self.addresses[name] = address

    def send(self, to: str, body: Body) -> None:
        """Queue a message to a daemon, given by its name or as "@address".

        Never waits: a message to an unknown daemon, or for a full queue, is dropped, which every protocol here survives.
        """
        address = self._address_of(to)
        if address is None or self.task_group is None:
            return
        try:
            queue = self._queue(address, body[0], self.task_group)
            queue.send_nowait((time.monotonic(), encode_frame(sender=self.own_name, process_id=self.process_id, body=body)))
        except anyio.WouldBlock:
            self.dropped += 1
        except SilvergladeError as error:
            self.logger.warning(format_line("frame-not-sent", [("to", to), ("kind", body[0]), ("code", error.code)]))

    def _address_of(self, to: str) -> str | None:
        """Return the address of a daemon, given by its name or as "@address"; None if it is not known, or is no address."""
        if not to.startswith("@"):
            return self.addresses.get(to)
        address = to[1:]
        return address if is_address(address) else None

    def _queue(self, address: str, kind: str, task_group: TaskGroup) -> MemoryObjectSendStream[QueuedFrame]:
        """Return the queue for messages of this kind to an address; the first use starts the task that empties it."""
        key = (address, "bulk" if kind in BULK_MESSAGES else queue_for(kind))
        queue = self._queues.get(key)
        if queue is None:
            queue, frames = anyio.create_memory_object_stream[QueuedFrame](QUEUE_LENGTH)
            self._queues[key] = queue
            task_group.start_soon(self._send_queued, address, frames)
        return queue

    async def _send_queued(self, address: str, frames: MemoryObjectReceiveStream[QueuedFrame]) -> None:
        """Send what is queued for an address, over one connection after the other.

        A message that waited long for a peer which took no connection is not sent: whoever is there by then, another process of the
        peer or another daemon with its address, is not whom it was meant for. Every protocol here sends it again.
        """
        was_unreachable = False
        while True:
            queued_at, frame = await frames.receive()
            stream = await self._connect(address, frames, timeout_s=MAX_WAIT_S - (time.monotonic() - queued_at))
            if stream is None:
                was_unreachable = True
                continue
            oldest = time.monotonic() - MAX_WAIT_S if was_unreachable else 0.0
            was_unreachable = False
            async with stream, anyio.create_task_group() as task_group:
                task_group.start_soon(self._cancel_at_end, stream, task_group.cancel_scope)
                with contextlib.suppress(*CONNECTION_ERRORS):
                    while True:
                        if queued_at >= oldest:
                            with anyio.fail_after(SEND_TIMEOUT_S):
                                await stream.send(frame)
                        queued_at, frame = await frames.receive()
                task_group.cancel_scope.cancel()
            self.logger.info(format_line("connection-closed", [("to", address)]))

    async def _connect(self, address: str, frames: MemoryObjectReceiveStream[QueuedFrame], *, timeout_s: float) -> ByteStream | None:
        """Open a connection, trying for so many seconds and once at least; None if none came up."""
        pause, give_up_at = FIRST_PAUSE_S, time.monotonic() + timeout_s
        while True:
            with contextlib.suppress(OSError, TimeoutError), anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(*split_address(address), local_host=split_address(self.address)[0])
                raw_socket(stream).setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
                return stream
            while frames.statistics().current_buffer_used > MAX_QUEUED_WHILE_UNREACHABLE:
                frames.receive_nowait()
            if time.monotonic() >= give_up_at:
                return None
            await self._pause(address, pause)
            pause = min(MAX_PAUSE_S, pause * 2)

    async def _pause(self, address: str, seconds: float) -> None:
        """Wait for the next attempt, or until the peer is heard, as after a network partition."""
        reachable = self._reachable.setdefault(address, anyio.Event())
        with anyio.move_on_after(seconds):
            await reachable.wait()

    def on_peer_heard(self, name: str) -> None:
        """Try a peer at once that takes no connection: it was heard."""
        reachable = self._reachable.pop(self.addresses.get(name, ""), None)
        if reachable:
            reachable.set()

    async def _cancel_at_end(self, stream: ByteStream, scope: anyio.CancelScope) -> None:
        """Cancel the scope once the peer ends a connection; a peer sends nothing on it.

        A new connection is opened for the next message. An idle one to a daemon that was restarted would lose a message or two.
        """
        with contextlib.suppress(anyio.EndOfStream, *CONNECTION_ERRORS):
            await stream.receive(1)
        scope.cancel()

    async def receive(self, stream: AnyByteStream) -> None:
        """Handle one inbound connection; a malformed frame closes it and nothing else."""
        splitter, sender_known = FrameSplitter(), False
        async with stream:
            try:
                enable_keepalive(raw_socket(stream))
                async for data in stream:
                    for payload in splitter.feed(data):
                        sender, _, body = decode_frame(payload)
                        if not sender_known:
                            sender_known = True
                            self.on_peer_heard(sender)
                        await self.on_message(sender, body)
            except SilvergladeError as error:
                self.logger.warning(format_line("frame-refused", [("code", error.code), ("why", error.detail)]))
            except CLOSED_ERRORS:
                pass
            except Exception as error:  # noqa: BLE001  a fault in here ends this connection alone
                self.logger.error(format_line("connection-failed", [("why", repr(error))]))

    async def run(self) -> Any:
        """Listen for peers, and send to them, until cancelled."""
        ip, port = split_address(self.address)
        listener = await anyio.create_tcp_listener(local_host=ip, local_port=port, reuse_port=False)
        async with anyio.create_task_group() as self.task_group, listener:
            self.listening.set()
            await listener.serve(self.receive)
