"""What stand-ins on loopback share: names, one connection's requests, the engine's words on one of them (design 15)."""

import math
import socket
import struct
import time
from datetime import timedelta
from typing import NamedTuple

import anyio
import h11

CLOSED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, h11.ProtocolError)


class Names(NamedTuple):
    """What the list of replicas and a replica's report call things; the product's own words."""

    list: str = "/v1/list"
    replicas: str = "replicas"
    next: str = "next"
    page: str = "page"  # in the query: which page
    within: str = "zone"  # in the query: one zone alone
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


def clock():
    return timedelta(seconds=time.monotonic())


def reset(stream):
    """The connection ends with a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class Box:
    """What the engine says of one request."""

    def __init__(self):
        self.put, self.get = anyio.create_memory_object_stream(math.inf)
        self.ahead = None

    async def next(self):
        e, self.ahead = self.ahead, None
        return e or await self.get.receive()

    async def peek(self):
        self.ahead = await self.next()
        return self.ahead

    def now(self):
        """What is there already, or None."""
        try:
            return self.get.receive_nowait()
        except anyio.WouldBlock:
            return None


class Talk:
    """One connection: requests one after another, by library."""

    def __init__(self, stream):
        self.s, self.h = stream, h11.Connection(h11.SERVER)

    async def request(self, idle):
        """-> (h11.Request, body), or None when it is over."""
        req, body = None, b""
        while True:
            ev = self.h.next_event()
            if ev is h11.NEED_DATA:
                with anyio.move_on_after(idle) as scope:
                    try:
                        self.h.receive_data(await self.s.receive())
                    except anyio.EndOfStream:
                        self.h.receive_data(b"")
                if scope.cancelled_caught:
                    return None
            elif isinstance(ev, h11.Request):
                req = ev
                if self.h.they_are_waiting_for_100_continue:
                    await self.say(h11.InformationalResponse(status_code=100, headers=[]))
            elif isinstance(ev, h11.Data):
                body += ev.data
            elif isinstance(ev, h11.EndOfMessage):
                return req, body
            else:
                return None

    async def say(self, *evs):
        b = b"".join(self.h.send(e) for e in evs)
        if b:
            await self.s.send(b)

    async def whole(self, status, headers, body=b""):
        await self.say(
            h11.Response(status_code=status, headers=[*headers, (b"content-length", b"%d" % len(body))]),
            *([h11.Data(data=body)] if body else []),
            h11.EndOfMessage(),
        )

    def again(self):
        """Ready for the next request?"""
        if self.h.our_state is h11.MUST_CLOSE or self.h.their_state is not h11.DONE:
            return False
        self.h.start_next_cycle()
        return True
