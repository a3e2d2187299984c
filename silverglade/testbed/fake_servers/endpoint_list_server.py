"""A stand-in of the list of replicas that somebody else keeps (design 15); its names come from a table."""

import json
import time

import anyio

from ...runtime.effects import ZERO, to_milliseconds
from .http_exchange import CLOSED, Names, Talk, clock, reset
from .request_format import SEC


class Listing:
    """A stand-in of the list of replicas: pages, lag, a rate, and its troubles: slow, part, down."""

    def __init__(self, *, names=None, lag=0.8 * SEC, rate=50, size=50):
        self.names, self.lag, self.rate, self.size = names or Names(), lag, rate, size
        self.servers, self.mode, self.calls, self.seen, self.addr = [], "", [], [(ZERO, [])], ""

    def row(self, s, now):
        n = self.names
        left = {n.left: max(0, to_milliseconds(s.e.gone - now))} if s.e.gone is not None else {}
        return {
            n.id: s.id,
            n.service: s.service,
            n.address: s.addr,
            n.zone: s.zone,
            n.slots: s.spec.capacity,
            n.state: n.leaving if s.e.going is not None else n.ready,
            n.cold: to_milliseconds(s.e.cold(now)),
            **left,
        }

    def glance(self):
        now = clock()
        self.seen = [x for x in self.seen if now - x[0] < 10 * SEC] + [(now, [self.row(s, now) for s in self.servers if s.e.up])]

    def shown(self):
        return next((r for t, r in reversed(self.seen) if clock() - t >= self.lag), self.seen[0][1])

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        lis = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.addr = "127.0.0.1:%d" % lis.extra(anyio.abc.SocketAttribute.local_port)
        async with lis, anyio.create_task_group() as tg:
            tg.start_soon(self.watch)
            task_status.started(self.addr)
            await lis.serve(self.talk)

    async def watch(self):
        while True:
            self.glance()
            await anyio.sleep(0.05)

    async def talk(self, stream):
        async with stream:
            if self.mode == "down":
                return reset(stream)
            t = Talk(stream)
            try:
                while (got := await t.request(5)) and (await self.answer(t, got[0]) or t.again()):
                    pass
            except CLOSED:
                pass

    async def answer(self, t, req):
        n, now = self.names, time.monotonic()
        path, _, query = req.target.decode("latin-1").partition("?")
        q = dict(x.partition("=")[::2] for x in query.split("&") if x)
        self.calls = [c for c in self.calls if now - c < 1] + [now]
        if self.mode == "slow":
            await anyio.sleep(2)
        at, rows = int(q.get(n.page, "0") or 0), self.shown()
        if len(self.calls) > self.rate:
            return await t.whole(429, [])
        if req.method != b"GET" or path != n.list:
            return await t.whole(404, [])
        if self.mode == "part" and (at or len(rows) <= self.size):
            return await t.whole(500, [])
        rows = [r for r in rows if q.get(n.within) in (None, r[n.zone])]
        more = str(at + self.size) if at + self.size < len(rows) else None
        b = json.dumps({n.replicas: rows[at : at + self.size], n.next: more}).encode()
        return await t.whole(200, [(b"content-type", b"application/json")], b)
