"""Connections between daemons (design 3.1): frames over TCP.

Messages to a peer are sent over three connections, so that a heartbeat is delayed neither by the body of a request nor by a snapshot
of the store: one for membership and control, one for requests, one for bulk messages. Each connection is owned by a task.
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
"""Most messages queued for one connection; further messages are dropped."""

MAX_QUEUE_AGE_S = 2.0
"""How long a message stays queued for a peer that accepts no connection."""

CONNECT_TIMEOUT_S = 0.5

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.25
"""Delay between attempts to connect: doubled after each attempt, up to the second value."""

SEND_TIMEOUT_S = 5
"""Time-out for writing one frame to the socket."""

UNACKNOWLEDGED_TIMEOUT_MS = 2000
"""TCP_USER_TIMEOUT: a connection is closed, and a new one is tried, if sent data is not acknowledged for this long.

A peer behind a network partition, or one that has lost power, does not close its connections, and the kernel retransmits
unacknowledged data at ever longer intervals: without this limit nothing would reach the peer for seconds after the partition has healed.
"""

KEEPALIVE_OPTIONS = ((socket.TCP_KEEPIDLE, 30), (socket.TCP_KEEPINTVL, 5), (socket.TCP_KEEPCNT, 3))
"""Idle time in s before the first probe, interval in s between probes, number of unanswered probes that close a connection."""

MAX_QUEUED_WHILE_UNREACHABLE = 64
"""Most messages kept for a peer that accepts no connection; the oldest are dropped first."""

CLOSED_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
CONNECTION_ERRORS = (*CLOSED_ERRORS, TimeoutError)

QueuedFrame = tuple[float, bytes]
"""(time when it was queued, in seconds of the monotonic clock; the frame)."""

MessageHandler = Callable[[str, Body], Awaitable[None]]
"""Called with the sender's name and the message body."""


def raw_socket(stream: AnyByteStream) -> socket.socket:
    """Return the operating-system socket of a stream."""
    return stream.extra(SocketAttribute.raw_socket)


def enable_keepalive(connection: socket.socket) -> None:
    """Enable TCP keepalive probes: a peer that loses power does not close its connections."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE_OPTIONS:
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of "IP:PORT"."""
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


class PeerConnections:
    """All connections of a daemon to and from its peers.

    :param own_name: this daemon's name, which is sent in each frame.
    :param process_id: the id of this process, which is sent in each frame.
    :param address: where this daemon listens for its peers, IP:PORT.
    :param on_message: awaited for each received message; the connection is not read further until it returns.
    :ivar addresses: daemon's name -> known address.
    :ivar dropped: how many messages were dropped because their queue was full.
    :ivar listening: set once this daemon listens and messages can be sent.
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
        """Address of a peer that accepts no connection -> event that is set when the peer connects to this daemon."""

    def set_address(self, name: str, address: str) -> None:
        """Store the address at which a daemon listens; an invalid address is ignored."""
        if is_address(address):
            self.addresses[name] = address

    def send(self, to: str, body: Body) -> None:
        """Queue a message to a daemon, which is given by name or as "@address".

        Never blocks: a message to an unknown daemon or for a full queue is dropped, which every protocol between daemons tolerates.
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
        """Return the address of a daemon, given by name or as "@address", or None if it is unknown or invalid."""
        if not to.startswith("@"):
            return self.addresses.get(to)
        address = to[1:]
        return address if is_address(address) else None

    def _queue(self, address: str, kind: str, task_group: TaskGroup) -> MemoryObjectSendStream[QueuedFrame]:
        """Return the queue for messages of this kind to an address; the first call also starts the task that sends them."""
        key = (address, "bulk" if kind in BULK_MESSAGES else queue_for(kind))
        queue = self._queues.get(key)
        if queue is None:
            queue, frames = anyio.create_memory_object_stream[QueuedFrame](QUEUE_LENGTH)
            self._queues[key] = queue
            task_group.start_soon(self._send_queued, address, frames)
        return queue

    async def _send_queued(self, address: str, frames: MemoryObjectReceiveStream[QueuedFrame]) -> None:
        """Send the frames queued for an address, reconnecting whenever the connection ends.

        After the peer was unreachable, messages older than `MAX_QUEUE_AGE_S` are dropped: the process that listens at the address by
        then may be another process of the peer, or another daemon with its address. Every protocol sends such messages again.
        """
        was_unreachable = False
        while True:
            queued_at, frame = await frames.receive()
            stream = await self._connect(address, frames, timeout_s=MAX_QUEUE_AGE_S - (time.monotonic() - queued_at))
            if stream is None:
                was_unreachable = True
                continue
            oldest = time.monotonic() - MAX_QUEUE_AGE_S if was_unreachable else 0.0
            was_unreachable = False
            async with stream, anyio.create_task_group() as task_group:
                task_group.start_soon(self._cancel_on_close, stream, task_group.cancel_scope)
                with contextlib.suppress(*CONNECTION_ERRORS):
                    while True:
                        if queued_at >= oldest:
                            with anyio.fail_after(SEND_TIMEOUT_S):
                                await stream.send(frame)
                        queued_at, frame = await frames.receive()
                task_group.cancel_scope.cancel()
            self.logger.info(format_line("connection-closed", [("to", address)]))

    async def _connect(self, address: str, frames: MemoryObjectReceiveStream[QueuedFrame], *, timeout_s: float) -> ByteStream | None:
        """Open a connection, retrying for up to `timeout_s`, with at least one attempt. Return None if all attempts fail."""
        backoff_s, give_up_at = INITIAL_BACKOFF_S, time.monotonic() + timeout_s
        while True:
            with contextlib.suppress(OSError, TimeoutError), anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(*split_address(address), local_host=split_address(self.address)[0])
                raw_socket(stream).setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
                return stream
            while frames.statistics().current_buffer_used > MAX_QUEUED_WHILE_UNREACHABLE:
                frames.receive_nowait()
            if time.monotonic() >= give_up_at:
                return None
            await self._wait_to_reconnect(address, backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _wait_to_reconnect(self, address: str, seconds: float) -> None:
        """Wait before the next attempt, at most until the peer connects to this daemon, as it may after a network partition."""
        reachable = self._reachable.setdefault(address, anyio.Event())
        with anyio.move_on_after(seconds):
            await reachable.wait()

    def on_peer_reachable(self, name: str) -> None:
        """Retry the connection to a peer at once, because the peer has connected to this daemon."""
        reachable = self._reachable.pop(self.addresses.get(name, ""), None)
        if reachable:
            reachable.set()

    async def _cancel_on_close(self, stream: ByteStream, scope: anyio.CancelScope) -> None:
        """Cancel the scope when the peer closes an outbound connection, on which a peer never sends data.

        The next message then opens a new connection. On an idle connection to a daemon that has been restarted, the first one or two
        messages would be lost.
        """
        with contextlib.suppress(anyio.EndOfStream, *CONNECTION_ERRORS):
            await stream.receive(1)
        scope.cancel()

    async def receive(self, stream: AnyByteStream) -> None:
        """Read messages from an inbound connection until it ends; a malformed frame closes only this connection."""
        splitter, is_sender_known = FrameSplitter(), False
        async with stream:
            try:
                enable_keepalive(raw_socket(stream))
                async for data in stream:
                    for payload in splitter.feed(data):
                        sender, _, body = decode_frame(payload)
                        if not is_sender_known:
                            is_sender_known = True
                            self.on_peer_reachable(sender)
                        await self.on_message(sender, body)
            except SilvergladeError as error:
                self.logger.warning(format_line("frame-refused", [("code", error.code), ("why", error.detail)]))
            except CLOSED_ERRORS:
                pass
            except Exception as error:  # noqa: BLE001  an unexpected error must close this connection only
                self.logger.error(format_line("connection-failed", [("why", repr(error))]))

    async def run(self) -> Any:
        """Accept connections from peers and send queued messages until cancelled."""
        ip, port = split_address(self.address)
        listener = await anyio.create_tcp_listener(local_host=ip, local_port=port, reuse_port=False)
        async with anyio.create_task_group() as self.task_group, listener:
            self.listening.set()
            await listener.serve(self.receive)
