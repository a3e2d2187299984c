"""The hub's inbox as bounded lanes (design 1.3): control traffic never waits behind orders.

pulse   at most one waits; it goes before all else
first   what keeps the system together: heartbeats, views, news, claims, slots, the disk, operators
work    what daemons and replicas say of orders
door    orders that visitors bring; full, it refuses at once
A sender waits for room in its own lane only. Four of `work` go for one of `door`.
"""

import contextlib

import anyio

from ..runtime.daemon_machine import MESSAGE_RECEIVERS
from ..runtime.errors import OverloadedError

FIRST, WORK, DOOR = 4096, 4096, 256
SHARE = 4
ORDERS = frozenset(MESSAGE_RECEIVERS["tenant_ingress"] + MESSAGE_RECEIVERS["shard_owner"] + MESSAGE_RECEIVERS["router"])


def queue_for(kind):
    """The lane of a message between daemons; also the link it takes (design 3.1)."""
    return "work" if kind in ORDERS else "first"


class PriorityQueues:
    def __init__(self):
        self.put, self.get = {}, {}
        for k, n in (("first", FIRST), ("work", WORK), ("door", DOOR)):
            self.put[k], self.get[k] = anyio.create_memory_object_stream(n)
        self.due, self.wake, self.turn = False, anyio.Event(), 0

    def pulse(self):
        self.due = True
        self.wake.set()

    async def send(self, ev, lane="first"):
        try:
            self.put[lane].send_nowait(ev)
        except anyio.WouldBlock:
            self.wake.set()
            await self.put[lane].send(ev)
        self.wake.set()

    async def heard(self, frm, body):
        await self.send(("msg", frm, body), queue_for(body[0]))

    def knock(self, ev):
        """An order or its head at the door: taken now or refused now."""
        try:
            self.put["door"].send_nowait(ev)
        except anyio.WouldBlock:
            raise OverloadedError() from None
        self.wake.set()

    def note(self, ev):
        """What may be lost: it never waits."""
        with contextlib.suppress(anyio.WouldBlock):
            self.put["first"].send_nowait(ev)
            self.wake.set()

    def next(self):
        """What comes next, or None."""
        if self.due:
            self.due = False
            return ("pulse",)
        self.turn = (self.turn + 1) % (SHARE + 1)
        for k in ("first", *(("door", "work") if self.turn == 0 else ("work", "door"))):
            try:
                return self.get[k].receive_nowait()
            except anyio.WouldBlock:
                pass
        return None

    async def take(self):
        while (ev := self.next()) is None:
            self.wake = anyio.Event()
            await self.wake.wait()
        return ev
