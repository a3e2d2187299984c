"""Connection pools to replicas (design 15). An idle connection is kept no longer than the replica's keep-alive time-out allows.

Opening a connection is expensive, but a stale one may lose a request that cannot be repeated. A connection is therefore reused only
while it is certain to be idle: within the keep-alive time that the replica gave, less a margin for the time in transit, and with no
unread bytes. Bytes that arrive on an idle connection belong to no request, and close it.
"""

from __future__ import annotations

import asyncio
import select
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta

import httpcore

from ..runtime.outside_input import is_address, is_whole_number

SECOND = timedelta(seconds=1)

SAME_REGION_CONNECT_S = 0.01
"""Upper bound of the connect time within a region; a connection that took longer leads to another region."""

MIN_MARGIN_S, MAX_MARGIN_S = 0.05, 0.5
"""An idle connection is closed this long before the replica's own keep-alive time-out."""

HIGH_WATER_BYTES = 64 * 1024
"""Reading from the replica pauses while more received bytes than this are unread. Larger requests are written in several pieces."""

OTHER_REGION_KEEP_S = 4.0
"""How long an idle connection to another region is kept if the replica gave no keep-alive time-out."""

MAX_IDLE_CONNECTIONS = 512
"""Idle connections of the daemon, over all replicas."""

MIN_SWEEP_INTERVAL_S = 0.05

MAX_KEEP_ALIVE_DIGITS = 7

SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 8000),
)
"""A machine that has failed sends nothing: these options end the wait for it (units: s, s, a count, ms).

asyncio sets TCP_NODELAY on sockets that were created with an explicit protocol number.
"""

PoolKey = tuple[str, str]
"""(address, replica)."""


class RequestNotSentError(Exception):
    """Not one byte of the request was written.

    :ivar reason: reported to the router.
    """

    def __init__(self, reason: str, /) -> None:
        self.reason = reason
        super().__init__(reason)


class StaleConnectionError(RequestNotSentError):
    """A connection turned out to be closed, or to have unread bytes, before any byte of the request was written on it."""


class ReplicaActivity:
    """When a replica last sent bytes on any of its connections, in seconds of the monotonic clock."""

    __slots__ = ("received_at",)

    def __init__(self) -> None:
        self.received_at = 0.0


class ReplicaStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """A network stream for httpcore that records whether any byte of the current request was written.

    Writes are buffered until the first read and then sent in one piece. While `discards_writes` is set, writes are dropped: after a
    surplus response was read in place of the request's own, the next response can be read without sending the request twice.

    :ivar has_ended: the replica has closed its side, or the connection is lost.
    :ivar was_written: a byte of the current request was written.
    :ivar on_idle_activity: called when anything happens on an idle connection; None while it is in use.
    :ivar before_read: awaited before each read.
    :ivar received_at: when bytes last arrived, in seconds of the monotonic clock; `replica_activity`: on any connection to this replica.
    :ivar connect_s: how long it took to connect, in seconds: one round trip.
    """

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.received: deque[bytes] = deque()
        self.has_ended = False
        self.was_written = False
        self.discards_writes = False
        self.on_idle_activity: Callable[[], None] | None = None
        self.before_read: Callable[[], Awaitable[None]] | None = None
        self.received_at = 0.0
        self.replica_activity = ReplicaActivity()
        self.connect_s = 0.0
        self._received_bytes = 0
        self._unwritten: list[bytes] = []
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._reading_paused = False

    def begin_request(self) -> None:
        """Reset the state that belongs to one request."""
        self.was_written = False
        self.discards_writes = False
        self.on_idle_activity = None
        self.before_read = None

    # called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes for the reader; on an idle connection, where they belong to no request, call `on_idle_activity` instead."""
        self.received_at = self.replica_activity.received_at = time.monotonic()
        if self.on_idle_activity:
            return self.on_idle_activity()
        self.received.append(data)
        self._received_bytes += len(data)
        if self._received_bytes > HIGH_WATER_BYTES and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()
        self._wake_reader()
        return None

    def eof_received(self) -> bool:
        """Record that the replica has closed its side; the connection stays open for writing."""
        self.has_ended = True
        if self.on_idle_activity:
            self.on_idle_activity()
        self._wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is lost, and the error if there is one."""
        self.has_ended = True
        self._error = self._error or exc
        if self.on_idle_activity:
            self.on_idle_activity()
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    # called by httpcore

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer bytes until the first read."""
        if buffer and not self.discards_writes:
            self._unwritten.append(buffer)

    def _flush(self) -> None:
        """Write the buffered bytes.

        :raises StaleConnectionError: before the first byte of the request, the connection was closed or had unread bytes.
        """
        pieces, self._unwritten = self._unwritten, []
        if not self.was_written and (self.has_ended or self.received or self.transport.is_closing()):
            raise StaleConnectionError("ended before the request")
        self.was_written = True
        if sum(map(len, pieces)) <= HIGH_WATER_BYTES:
            pieces = [b"".join(pieces)]
        for piece in pieces:
            self.transport.write(piece)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes; empty at the end of the stream.

        :raises httpcore.ReadError: the connection was lost.
        """
        if self._unwritten:
            self._flush()
        if self.before_read:
            await self.before_read()
        while not self.received:
            if self._error:
                raise httpcore.ReadError(str(self._error))
            if self.has_ended or self.transport.is_closing():
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = self.received.popleft()
        self._received_bytes -= len(data)
        if self._reading_paused and self._received_bytes <= HIGH_WATER_BYTES // 2:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    async def aclose(self) -> None:
        """Close the connection at once; httpcore calls this."""
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        self.on_idle_activity = None
        if hasattr(self, "transport"):
            self.transport.abort()

    def is_usable(self) -> bool:
        """Return whether the connection is open without unread bytes, including those in the kernel's receive buffer."""
        if self.has_ended or self.received or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)


async def connect(*, addr: str, local: str | None, timeout: timedelta) -> ReplicaStream:
    """Open a connection.

    :param local: the IP address from which to connect, or None.
    :raises TimeoutError: it was not established in time.
    :raises OSError: it was refused, the address is unreachable, or `addr` is not a valid address.
    """
    if not is_address(addr):
        raise OSError(f"not a valid address: {addr!r}")
    ip, port = addr.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        connection.setblocking(False)
        for level, option, value in SOCKET_OPTIONS:
            connection.setsockopt(level, option, value)
        if local:
            connection.bind((local, 0))
        began = time.monotonic()
        async with asyncio.timeout(timeout / SECOND):
            await loop.sock_connect(connection, (ip.strip("[]"), int(port)))
        connect_s = time.monotonic() - began
        _, stream = await loop.create_connection(ReplicaStream, sock=connection)
        stream.connect_s = connect_s
        return stream
    except BaseException:
        connection.close()
        raise


class PooledConnection:
    """A connection of a pool, in use from `take` to `release`.

    :ivar stream: the network stream; unset until the connection is open, as is `http`, the HTTP/1.1 client connection on it.
    :ivar reusable_until: in seconds of the monotonic clock; 0 for a new one.
    :ivar last_attempt: id of the attempt that it carried last.
    :ivar closes_on_release: its replica has left the endpoint list, so that it is not reused.
    """

    __slots__ = ("key", "activity", "stream", "http", "reusable_until", "last_attempt", "closes_on_release", "is_open")

    stream: ReplicaStream
    http: httpcore.AsyncHTTP11Connection

    def __init__(self, key: PoolKey, activity: ReplicaActivity) -> None:
        self.key = key
        self.activity = activity
        self.is_open = False
        self.reusable_until = 0.0
        self.last_attempt: bytes | None = None
        self.closes_on_release = False

    def attach(self, stream: ReplicaStream) -> None:
        """Attach an open stream, and set up HTTP/1.1 on it."""
        ip, port = self.key[0].rsplit(":", 1)
        self.stream = stream
        self.is_open = True
        stream.replica_activity = self.activity
        self.http = httpcore.AsyncHTTP11Connection(origin=httpcore.Origin(b"http", ip.encode(), int(port)), stream=stream)

    def has_surplus(self) -> bool:
        """Return whether bytes were received after a complete response."""
        return bool(self.stream.received or self.http._h11_state.trailing_data[0])


class ConnectionPool:
    """Connections to all replicas.

    :param local: the IP address from which to connect, or None.
    :param keep: how long an idle connection within the region is kept if the replica gave no keep-alive time-out.
    :param max_idle: the most idle connections, over all replicas.
    :ivar connections: all connections, by address and replica.
    :ivar idle: connections not in use, by address and replica, the most recently used one last.
    :ivar activity: when each replica last sent bytes.
    """

    def __init__(self, *, local: str | None = None, keep: timedelta = timedelta(seconds=15), max_idle: int = MAX_IDLE_CONNECTIONS) -> None:
        self.local = local
        self.keep_s = keep / SECOND
        self.max_idle = max_idle
        self.connections: dict[PoolKey, set[PooledConnection]] = {}
        self.idle: dict[PoolKey, list[PooledConnection]] = {}
        self.idle_count = 0
        self.activity: dict[PoolKey, ReplicaActivity] = {}
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def take(self, *, addr: str, replica: str, cap: int, timeout: timedelta, attempt: bytes | None = None) -> PooledConnection:
        """Return a usable connection: the most recently used idle one, or else a new one.

        A connection that has carried this same attempt before is skipped: a second response to the earlier request could not be told
        apart from the response to this one.

        :param cap: the most connections to this replica.
        :param attempt: id of the attempt that is to be sent.
        :raises RequestNotSentError: the pool is full, or no connection could be opened.
        """
        key = (addr, replica)
        connection = self._take_idle(key, attempt)
        if connection:
            return connection
        idle, existing = self.idle.get(key, ()), self.connections.setdefault(key, set())
        if len(existing) >= cap and idle and len(existing) - len(idle) < cap:
            self._close(idle[0])
        if len(existing) >= cap:
            self._drop_if_empty(key)
            raise RequestNotSentError("pool-full")
        connection = PooledConnection(key, self.activity.setdefault(key, ReplicaActivity()))
        self.connections.setdefault(key, existing).add(connection)
        try:
            connection.attach(await connect(addr=addr, local=self.local, timeout=timeout))
        except (OSError, TimeoutError) as error:
            raise RequestNotSentError("connect-timeout" if isinstance(error, TimeoutError) else "refused") from error
        finally:
            if not connection.is_open:
                self._close(connection)
        return connection

    def _take_idle(self, key: PoolKey, attempt: bytes | None) -> PooledConnection | None:
        """Return the most recently used idle connection that is usable; close those found unusable."""
        idle, now = self.idle.get(key, ()), time.monotonic()
        for position in range(len(idle) - 1, -1, -1):
            connection = idle[position]
            if connection.reusable_until <= now or not connection.stream.is_usable():
                self._close(connection)
            elif not attempt or connection.last_attempt != attempt:
                self._remove_idle(connection)
                return connection
        return None

    async def is_reachable(self, *, addr: str, timeout: timedelta) -> bool:
        """Return whether an address is reachable, by a TCP connection that is closed at once.

        A refused connection counts as reachable, since the refusal came from that address.
        """
        try:
            stream = await connect(addr=addr, local=self.local, timeout=timeout)
        except ConnectionError:
            return True
        except (OSError, TimeoutError):
            return False
        stream.close()
        return True

    def release(self, connection: PooledConnection, *, keep: float | None = None, last: bytes | None = None) -> None:
        """Return a connection to the pool.

        :param keep: seconds for which it may be reused; if None or 0, it is closed.
        :param last: id of the attempt that it carried.
        """
        if (
            not keep
            or connection.closes_on_release
            or self.idle_count >= self.max_idle
            or connection.stream.has_ended
            or connection.key not in self.connections
        ):
            self._close(connection)
            return
        connection.reusable_until = time.monotonic() + keep
        connection.last_attempt = last
        connection.stream.on_idle_activity = lambda: self._close(connection)
        self.idle.setdefault(connection.key, []).append(connection)
        self.idle_count += 1
        if self.sweep_timer is None:
            self.sweep_timer = asyncio.get_running_loop().call_later(keep, self.sweep)

    def _remove_idle(self, connection: PooledConnection) -> None:
        idle = self.idle.get(connection.key)
        if idle and connection in idle:
            idle.remove(connection)
            self.idle_count -= 1
            connection.stream.on_idle_activity = None
            if not idle:
                del self.idle[connection.key]

    def _close(self, connection: PooledConnection) -> None:
        self._remove_idle(connection)
        if connection.is_open:
            connection.stream.close()
        self.connections.get(connection.key, set()).discard(connection)
        self._drop_if_empty(connection.key)

    def _drop_if_empty(self, key: PoolKey) -> None:
        if key in self.connections and not self.connections[key]:
            del self.connections[key]

    def sweep(self) -> None:
        """Close the idle connections that have expired, and schedule the next sweep."""
        self.sweep_timer, now = None, time.monotonic()
        for connection in [each for idle in self.idle.values() for each in idle if each.reusable_until <= now]:
            self._close(connection)
        if self.idle:
            next_end = min(connection.reusable_until for idle in self.idle.values() for connection in idle)
            delay = max(MIN_SWEEP_INTERVAL_S, next_end - now)
            self.sweep_timer = asyncio.get_running_loop().call_later(delay, self.sweep)

    def remove_replica(self, replica: str) -> None:
        """Close all connections to a replica that has left the endpoint list: idle ones now, those in use when they are released."""
        for key in [key for key in self.activity if key[1] == replica]:
            del self.activity[key]
        for key in [key for key in self.connections if key[1] == replica]:
            for connection in list(self.connections[key]):
                if connection in self.idle.get(key, ()):
                    self._close(connection)
                else:
                    connection.closes_on_release = True

    def close_idle(self, replica: str) -> None:
        """Close the idle connections to a suspected replica, so that the next request opens a new one."""
        for key in [key for key in self.idle if key[1] == replica]:
            for connection in list(self.idle[key]):
                self._close(connection)

    def close(self) -> None:
        """Close all connections."""
        if self.sweep_timer:
            self.sweep_timer.cancel()
        for connection in [each for connections in self.connections.values() for each in connections]:
            self._close(connection)

    def reuse_time(self, headers: Mapping[bytes, bytes], connect_s: float) -> float | None:
        """Return for how many seconds an idle connection may be reused, according to the response's headers; None if not at all.

        The margin covers both directions: the response was in transit to this daemon, and the next request will be in transit to the
        replica. Where the headers state no keep-alive time-out, the replica may have none, or one below a second; in that case only a
        close that is already in transit does harm.
        """
        if b"close" in headers.get(b"connection", b"").lower():
            return None
        for parameter in headers.get(b"keep-alive", b"").lower().split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name.strip() == b"timeout":
                return _keep_alive_time(value.strip(), connect_s)
        return self.keep_s if connect_s < SAME_REGION_CONNECT_S else min(self.keep_s, OTHER_REGION_KEEP_S)


def _keep_alive_time(value: bytes, connect_s: float) -> float | None:
    """Return a keep-alive time-out in seconds, less a margin for both directions; None if the value is invalid."""
    if not is_whole_number(value, max_digits=MAX_KEEP_ALIVE_DIGITS):
        return None
    margin: float = min(MAX_MARGIN_S, MIN_MARGIN_S + 2 * connect_s)
    return max(0.0, int(value) - margin)
