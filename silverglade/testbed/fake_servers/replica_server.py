"""Replicas that work by the engine as real servers on loopback, many in one process, and the list of them (design 15).

They speak the names of a `Dialect`; the list and the reports take theirs from a table. `hear` is told what a judge
wants to know: ("arrived", server, Ask), ("ran", server, Ask, run, seal), ("failed", server, Ask, run, status, body),
("turned", server, Ask, status).
"""

import argparse
import json
import math
import random
import sys

import anyio
import h11

from ...http.dialect import OWN
from ..checkers.forwarding_rules import seal
from .endpoint_list_server import Listing
from .http_exchange import CLOSED, Box, Names, Talk, clock, reset
from .replica_engine import Engine
from .request_format import MS, SEC, Ask

GARBAGE = b"\x16\x03\x01 nothing that is an answer\r\n\r\n"


class Server:
    """One life of a replica at one address."""

    def __init__(
        self, *, id, service, zone, spec, seed=1, warm=True, dialect=OWN, names=None, keep=5, forgets=0.0, closes=0.02, hear=lambda *a: None
    ):
        self.id, self.service, self.zone, self.spec, self.d, self.hear = id, service, zone, spec, dialect, hear
        self.names, self.keep, self.forgets, self.closes, self.rng = names or Names(), keep, forgets, closes, random.Random(seed)
        self.e = Engine(rid=id, spec=spec, seed=seed, warm=warm, now=clock())
        self.boxes, self.asks, self.n, self.open, self.news, self.addr = {}, {}, 0, set(), anyio.Event(), ""
        self.leaves = None

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Until it ends; the status is its address."""
        lis = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.addr = "127.0.0.1:%d" % lis.extra(anyio.abc.SocketAttribute.local_port)
        async with lis, anyio.create_task_group() as tg:
            self.group = tg
            tg.start_soon(self.turn)
            task_status.started(self.addr)
            await lis.serve(self.talk)

    async def turn(self):
        """The engine's time."""
        while self.e.up:
            due, self.news = self.e.due(), anyio.Event()
            with anyio.move_on_after(math.inf if due is None else max(0.0, (due - clock()) / SEC)):
                await self.news.wait()
                continue
            self.said(self.e.tick(clock()))

    def said(self, es):
        for e in es:
            if e == ("fell",):
                for s in self.open:
                    reset(s)
                self.group.cancel_scope.cancel()
            elif e[1] in self.boxes:
                if e[0] == "run":
                    self.hear("ran", self, self.asks[e[1]], e[2], seal(e[2], self.asks[e[1]].attempt))
                self.boxes[e[1]].send_nowait(e)
        self.news.set()

    def crash(self):
        self.said(self.e.crash())

    def leave(self, left):
        self.leaves = self.leaves or clock()
        self.e.drain(clock(), left=left)
        self.news.set()

    def wake(self):
        self.said(self.e.wake(clock()))

    async def talk(self, stream):
        async with stream:
            if len(self.open) >= self.spec.conns:
                return reset(stream)
            self.open.add(stream)
            t = Talk(stream)
            try:
                while (got := await t.request(self.keep)) and await self.answer(t, *got) and t.again():
                    if self.rng.random() < self.forgets:  # an idle connection is forgotten: what comes is reset
                        await stream.receive()
                        return reset(stream)
            except CLOSED:
                pass
            finally:
                self.open.discard(stream)

    async def answer(self, t, req, body):
        path = req.target.decode("latin-1")
        if req.method == b"GET" and path == self.d.health:
            if self.e.dark:
                await anyio.sleep_forever()
            well, cold = self.e.health(clock())
            await t.whole(200 if well else 503, [(self.d.replica, self.id.encode()), (self.d.cold_ms, b"%d" % cold)])
            return True
        if req.method == b"GET" and path == self.d.report:
            if self.e.dark:
                await anyio.sleep_forever()
            n = self.names
            b = json.dumps(dict(zip((n.waiting, n.running, n.used, n.memory), self.e.report(clock())))).encode()
            await t.whole(200, [(b"content-type", b"application/json")], b)
            return True
        return await self.work(t, self.read(req, body, path))

    def read(self, req, body, path):
        h, d = {k: v.decode("latin-1") for k, v in req.headers}, self.d

        def num(k):
            return int(h[k]) if h.get(k, "").isdigit() else None

        parts = tuple((p.split(":")[0], int(p.split(":")[1])) for p in h.get(d.prefix, "").split(",") if ":" in p)
        i, _, o = h.get(d.tokens, "100,80").partition(",")
        left = num(d.deadline)
        return Ask(
            attempt=h.get(d.attempt, ""),
            body=body,
            parts=parts,
            tokens=(int(i), int(o)),
            urgency=num(d.urgency),
            left=None if left is None else left * MS,
            last=num(d.last_event) or 0,
            expect=h.get(d.expect),
            method=req.method.decode(),
            path=path,
        )

    async def work(self, t, a):
        """Hand it to the engine; say what that says, as long as the caller is there. -> keep the connection?"""
        self.n += 1
        key, box = self.n, Box()
        self.boxes[key], self.asks[key] = box.put, a
        self.hear("arrived", self, a)
        keep, rest = False, []
        try:
            async with anyio.create_task_group() as tg:

                async def left():
                    try:
                        while True:
                            rest.append(await t.s.receive())
                    except CLOSED:
                        tg.cancel_scope.cancel()

                tg.start_soon(left)
                self.said(self.e.ask(clock(), key, a))
                keep = await self.relay(t, a, box)
                tg.cancel_scope.cancel()
        finally:
            del self.boxes[key], self.asks[key]
            if self.e.up:
                self.said(self.e.hangup(clock(), key))
        for b in rest:
            t.h.receive_data(b)
        return keep

    def headers(self, a, mark=None):
        out = [(self.d.attempt, a.attempt.encode()), (b"keep-alive", b"timeout=%d" % self.keep)]
        if self.e.going is not None or self.rng.random() < self.closes:
            out.append((b"connection", b"close"))
        return out + ([(self.d.seal, mark.encode())] if mark else [])

    async def relay(self, t, a, box):
        """-> may the connection go on?"""
        run, head, sent = None, None, False
        while True:
            match await box.next():
                case ("run", _, run):
                    pass
                case ("refuse", _, status, wait):
                    more = [(b"retry-after", b"%.2f" % wait)] if wait is not None else []
                    self.hear("turned", self, a, status)
                    await t.whole(status, [*self.headers(a), (self.d.not_run, b"1"), *more])
                    return True
                case ("head", _, status, mark):
                    head = (status, self.headers(a, mark))
                case ("event", _, n, data):
                    if not sent:
                        await t.say(
                            h11.Response(
                                status_code=200,
                                headers=[*head[1], (b"content-type", b"text/event-stream"), (b"transfer-encoding", b"chunked")],
                            )
                        )
                    sent = True
                    await t.say(h11.Data(data=b"id: %d\ndata: %s\n\n" % (n, data)))
                case ("body", _, data):
                    status, hs = head
                    if status != 200:
                        self.hear("failed", self, a, run, status, data)
                    size = len(data) * (1 if (await box.peek())[0] == "end" else 2)
                    await t.say(h11.Response(status_code=status, headers=[*hs, (b"content-length", b"%d" % size)]), h11.Data(data=data))
                    sent = True
                case ("end", _):
                    if not sent:
                        await t.say(
                            h11.Response(
                                status_code=200, headers=[*head[1], (b"content-type", b"text/event-stream"), (b"content-length", b"0")]
                            )
                        )
                    await t.say(h11.EndOfMessage())
                    more = box.now()
                    return not more or await self.surplus(t, a, more[2])
                case ("garbage", _):
                    await t.s.send(GARBAGE)
                    return False
                case ("cut", _):
                    if self.rng.random() < 0.5:
                        reset(t.s)
                    return False

    async def surplus(self, t, a, when):
        """A second answer to a request that was answered, at once or late."""
        if when == "late":
            await anyio.sleep(self.rng.uniform(0.03, 0.3))
        await t.s.send(
            b"HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\ncontent-length: 6\r\n\r\nsecond" % (self.d.attempt, a.attempt.encode(), self.d.seal)
        )
        return True


async def town(rows, **kw):
    """A town's replicas and their list, until cancelled; prints where they are."""
    async with anyio.create_task_group() as tg:
        lst = Listing()
        for i, r in enumerate(rows):
            s = Server(id=f"{r['name']}-{i}", service=r["service"], zone=r["zone"], spec=r["spec"], seed=i, **kw)
            await tg.start(s.serve)
            lst.servers.append(s)
            print(s.id, s.addr, flush=True)
        print("list", await tg.start(lst.serve), flush=True)


if __name__ == "__main__":
    from ..sites import SITES

    p = argparse.ArgumentParser(
        prog="python -m silverglade.testbed.fake_servers.replica_server", description="a town's replicas on loopback"
    )
    p.add_argument("--town", choices=SITES, default="hamlet")
    p.add_argument("--seed", type=int, default=1)
    a_ = p.parse_args()
    try:
        anyio.run(town, SITES[a_.town](a_.seed)["seats"])
    except KeyboardInterrupt:
        sys.exit(0)
