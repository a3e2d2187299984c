"""Calls to the platform that one daemon at a time makes (design 18.3): written only while the duty's lease may be used.

A call has a connection of its own. The lease is looked at between the opening of the connection and the first byte, without a
pause between the look and the write, and again before each further piece. Without a whole answer the connection is reset, so that
what a cut holds up never arrives.
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
"""Of an answer; a longer head is no answer."""

MAX_BODY_BYTES = 1024
"""Of an answer's body that is handed on."""

READ_BYTES = 4096
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([2-5]\d\d)(?: [^\r\n]*)?\r\n")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER: what was not sent is dropped, and the peer sees a reset."""


class PlatformRequest(NamedTuple):
    """A call in the platform's own words.

    :ivar address: IP:PORT.
    """

    address: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        fields = (("Host", self.address), *self.headers, ("Content-Length", str(len(self.body))), ("Connection", "close"))
        head = "".join([f"POST {self.path} HTTP/1.1\r\n", *(f"{name}: {value}\r\n" for name, value in fields), "\r\n"])
        return head.encode("latin-1") + self.body


class PlatformAnswer(NamedTuple):
    """What a call brought; status None: no whole head of an answer."""

    status: int | None
    body: bytes = b""


NO_ANSWER = PlatformAnswer(None)


class Lease(NamedTuple):
    """What `SetLease` said last of a duty."""

    token: int | None
    usable_until: timedelta | None


class PlatformCaller:
    """Writes calls while their leases allow it.

    :ivar leases: duty to its lease.
    """

    def __init__(self, *, clock: Callable[[], timedelta], local: str | None, timeout: timedelta) -> None:
        """Start without a lease.

        :param clock: the steady clock that leases are told in.
        :param local: the IP number from which to connect, or None.
        :param timeout: of a whole call.
        """
        self.leases: dict[str, Lease] = {}
        self._clock = clock
        self._local = local
        self._timeout = timeout

    def set_lease(self, duty: str, token: int | None, usable_until: timedelta | None) -> None:
        """Take what the daemon machine says of a lease."""
        self.leases[duty] = Lease(token, usable_until)

    def may_write(self, duty: str, token: int) -> bool:
        """Tell whether a byte of a call with this fencing token may be written now."""
        lease = self.leases.get(duty)
        return lease is not None and lease.token == token and lease.usable_until is not None and self._clock() < lease.usable_until

    async def call(self, *, duty: str, token: int, request: PlatformRequest) -> PlatformAnswer:
        """Make one call; without a whole answer in time, or without the lease, the status is None."""
        if not self.may_write(duty, token):
            return NO_ANSWER
        ip, port = split_address(request.address)
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        connection = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # the kernel gives up too: a process that is stopped can't reset what a cut holds up
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, to_milliseconds(self._timeout))
            if self._local:
                connection.bind((self._local, 0))
            with anyio.move_on_after(self._timeout.total_seconds()):
                await asyncio.get_running_loop().sock_connect(connection, (ip.strip("[]"), int(port)))
                if await self._write(connection, duty, token, request.encode()):
                    return await read_answer(connection)
        except OSError:
            pass
        finally:
            connection.close()
        return NO_ANSWER

    async def _write(self, connection: socket.socket, duty: str, token: int, data: bytes) -> bool:
        """Write a request, each piece only while the lease may be used; returns whether all was written."""
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


async def read_answer(connection: socket.socket) -> PlatformAnswer:
    """Read the head of an answer, and what came with it of its body."""
    received = b""
    while b"\r\n\r\n" not in received and len(received) <= MAX_HEAD_BYTES:
        piece = await asyncio.get_running_loop().sock_recv(connection, READ_BYTES)
        if not piece:
            return NO_ANSWER
        received += piece
    head, end, body = received.partition(b"\r\n\r\n")
    status = STATUS_LINE.match(head + b"\r\n")
    if not end or status is None:
        return NO_ANSWER
    return PlatformAnswer(int(status[1]), body[:MAX_BODY_BYTES])
