"""Calls to the platform made by the current holder of a duty (design 18.3); data is sent only while the duty's lease is usable.

Each call opens its own connection. The lease is checked once the connection is open, directly before the first byte is sent, with no
suspension point between check and write, and again before every further write. If no complete response head arrives, the connection
is reset, so that data delayed by a network partition is never delivered.
"""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import anyio

from ..runtime.effects import to_milliseconds
from ..transport.connections import split_address

MAX_HEAD_BYTES = 16 * 1024
"""Largest accepted head of a response; a longer one is treated as no response."""

MAX_BODY_BYTES = 1024
"""Bytes of a response body that are returned; the rest is ignored."""

READ_BYTES = 4096
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([2-5]\d\d)(?: [^\r\n]*)?\r\n")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing the socket drops unsent data and sends a reset to the peer."""


class PlatformRequest(NamedTuple):
    """A call in the format of the platform's API.

    :ivar address: IP:PORT.
    """

    address: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def encode(self) -> bytes:
        """Return the request in HTTP/1.1 wire format."""
        fields = (("Host", self.address), *self.headers, ("Content-Length", str(len(self.body))), ("Connection", "close"))
        head = "".join([f"POST {self.path} HTTP/1.1\r\n", *(f"{name}: {value}\r\n" for name, value in fields), "\r\n"])
        return head.encode("latin-1") + self.body


class PlatformResponse(NamedTuple):
    """Result of a call; `status` is None if no complete, valid response head was received."""

    status: int | None
    body: bytes = b""


NO_RESPONSE = PlatformResponse(None)


class Lease(NamedTuple):
    """State of a duty's lease as set by the latest `SetLease`."""

    token: int | None
    usable_until: timedelta | None


class PlatformCaller:
    """Makes calls to the platform while the leases of their duties allow it.

    :ivar leases: duty -> its lease.
    """

    def __init__(self, *, clock: Callable[[], timedelta], local: str | None, timeout: timedelta) -> None:
        """Create a caller that holds no leases.

        :param clock: the monotonic clock in which the ends of leases are given.
        :param local: local IP address to connect from, or None.
        :param timeout: timeout of a call, from connecting to the response.
        """
        self.leases: dict[str, Lease] = {}
        self._clock = clock
        self._local = local
        self._timeout = timeout

    def set_lease(self, duty: str, token: int | None, usable_until: timedelta | None) -> None:
        """Record the state of a lease as given by the daemon machine."""
        self.leases[duty] = Lease(token, usable_until)

    def may_write(self, duty: str, token: int) -> bool:
        """Return whether data of a call with this fencing token may be sent now."""
        lease = self.leases.get(duty)
        return lease is not None and lease.token == token and lease.usable_until is not None and self._clock() < lease.usable_until

    async def call(self, *, duty: str, token: int, request: PlatformRequest) -> PlatformResponse:
        """Make one call; the status is None if no response arrives in time or the lease is not usable."""
        if not self.may_write(duty, token):
            return NO_RESPONSE
        ip, port = split_address(request.address)
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        connection = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # the kernel has to give up too: a stopped process cannot reset a connection whose data a partition holds back
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, to_milliseconds(self._timeout))
            if self._local:
                connection.bind((self._local, 0))
            with anyio.move_on_after(self._timeout.total_seconds()):
                await asyncio.get_running_loop().sock_connect(connection, (ip.strip("[]"), int(port)))
                if await self._write(connection, duty, token, request.encode()):
                    return await read_response(connection)
        except OSError:
            pass
        finally:
            connection.close()
        return NO_RESPONSE

    async def _write(self, connection: socket.socket, duty: str, token: int, data: bytes) -> bool:
        """Send a request, checking the lease before each write; return whether all of it was sent."""
        while data:
            if not self.may_write(duty, token):
                return False
            try:
                data = data[connection.send(data) :]
            except BlockingIOError:
                pass
            if data:
                await anyio.wait_writable(connection)
        return True


async def read_response(connection: socket.socket) -> PlatformResponse:
    """Read the head of a response and the part of its body received with it."""
    received = b""
    while b"\r\n\r\n" not in received and len(received) <= MAX_HEAD_BYTES:
        piece = await asyncio.get_running_loop().sock_recv(connection, READ_BYTES)
        if not piece:
            return NO_RESPONSE
        received += piece
    head, end, body = received.partition(b"\r\n\r\n")
    status = STATUS_LINE.match(head + b"\r\n")
    if not end or status is None:
        return NO_RESPONSE
    return PlatformResponse(int(status[1]), body[:MAX_BODY_BYTES])
