"""The I/O shell of the forwarding path (design 15.3): the part decides, this delivers.

A request's task takes the part's effects from the box of its `Ask` and runs one try at a time; a new
try, or an end, that comes meanwhile ends the one that runs.
"""

import asyncio
import time
from datetime import timedelta
from typing import NamedTuple

import anyio
import httpcore

from ..http.connection_pool import SECOND, ConnectionPool, RequestNotSentError, StaleConnectionError
from ..http.event_stream import EventSplitter, beyond, last_id
from ..routing.graceful_shutdown import RETRY_ELSEWHERE_S
from ..runtime.errors import SilvergladeError
from ..runtime.structured_logging import format_line
from .client_request import Limits, end_to_end_headers, seconds, small
from .response_timeouts import SilenceWatch

HOLD = 1024 * 1024  # bytes of an answer held until it is whole
PROBES = 1 << 16  # a probe takes what connection there is
SKIP = 4  # surplus answers read past in the place of ours
SLACK = timedelta(seconds=0.2)  # behind the deadline the shell ends a request that the part forgot
LONGEST = timedelta(seconds=60)  # until the part has named a deadline
BROKEN = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, OSError)


class Try(NamedTuple):
    """One try as the part wants it (design 15.3)."""

    replica: str
    addr: str
    service: str
    expect: bool  # only this replica may run it
    urgency: int | None
    deadline_ms: int
    last_event: str | None
    connect: timedelta
    cap: int  # most connections of this daemon to this replica
    stream: bool  # events are passed on as they come; else the answer is held until it is whole
    resume: bool  # goes on with a stream whose head was passed on
    patience: timedelta | None = None  # silence of the replica, on all connections, that the part is told
    pause: timedelta | None = None  # the same once events come


class RequestForwarder:
    def __init__(self, *, daemon, dialect, local=None, pool=None, reuse=True):
        self.d, self.dialect = daemon, dialect
        self.pool = pool or ConnectionPool(local=local)
        self.limits, self.asks, self.n = Limits(), {}, 0
        self.reuse = reuse  # are connections kept for further requests? (docs/measures.md)
        self.silence = SilenceWatch(tell=self.tell_silence)

    def act(self, e):
        """Effects of the part; one for a request that is gone changes nothing."""
        match e:
            case ("forget", replica):
                self.pool.forget(replica)
            case ("renew", replica):
                self.pool.renew(replica)
            case ("limits", limits):
                self.limits = Limits.of(limits)
            case (_, rid, *_):
                a = self.asks.get(rid)
                if a:
                    a.put(e)

    def closing(self):
        return getattr(self.d, "draining", False)

    def rid(self):
        self.n += 1
        return f"r{self.n}"

    async def tell(self, a, n, *what):
        await self.d.lanes.send(("tried", a.rid, n, *what), "work")

    async def tell_silence(self, a, n):
        await self.tell(a, n, "silent", a.last)

    def conclude(self):
        """The daemon ends soon: each request that has given its client nothing yet is answered now (15.9)."""
        for a in list(self.asks.values()):
            if not a.started:
                a.put(("concluded", a.rid))

    async def run(self, a, facts):
        """One request from its door to its end."""
        self.asks[a.rid] = a
        due = facts["deadline_ms"]
        self.watch(a, LONGEST if due is None else timedelta(milliseconds=due))
        told = False
        try:
            try:
                self.d.lanes.knock(("request", a.rid, facts))
            except SilvergladeError as e:
                told = True
                return await small(a.send, 503, e.code, wait=1.0, close=self.closing())
            told = await self.serve(a)
        except Exception as e:  # noqa: BLE001  a fault in here ends this request alone
            self.d.lg.error(format_line("forward-fell", [("why", repr(e))]))
            a.cut()
        finally:
            a.guard.cancel()
            del self.asks[a.rid]
            if not told:
                with anyio.CancelScope(shield=True):
                    await self.tell(a, a.n, "gone")

    def watch(self, a, left):
        """A request that the part does not know any more still ends."""
        until = time.monotonic() + (left + SLACK) / SECOND
        if until > a.until:
            if a.guard:
                a.guard.cancel()
            a.until = until
            a.guard = asyncio.get_running_loop().call_at(
                asyncio.get_running_loop().time() + (left + SLACK) / SECOND, a.put, ("forgotten", a.rid)
            )

    async def serve(self, a):
        """-> whether the part knows that the request is over."""
        while True:
            match await a.take():
                case ("try", _, n, t):
                    t = Try(**t)
                    a.n, a.held = n, None
                    if not self.may(a, t):
                        a.cut()
                        return False
                    self.watch(a, timedelta(milliseconds=t.deadline_ms))
                    with anyio.CancelScope() as a.scope:
                        what = await self.attempt(a, n, t)
                    dropped, a.scope = a.scope.cancelled_caught, None
                    if dropped:
                        continue
                    await self.tell(a, n, *what)
                    if what[0] == "done":
                        return True
                case ("pass", _, n):
                    if a.started:
                        a.cut()
                    elif a.held and n == a.n:
                        await a.whole(*a.held)
                    else:
                        await small(a.send, 502, 808, close=self.closing())
                    return True
                case ("answer", _, status, wait, code):
                    if a.started:
                        a.cut()
                    else:
                        await small(a.send, status, code, wait=wait, close=self.closing())
                    return True
                case ("forgotten" | "concluded" as why, _):
                    if a.started:
                        a.cut()
                    elif a.tried:
                        await small(a.send, 502, 403, close=self.closing())
                    elif why == "concluded":
                        await small(a.send, 503, 811, wait=RETRY_ELSEWHERE_S, close=True)
                    else:
                        await small(a.send, 503, 310, wait=1.0, close=self.closing())
                    return False
                case ("break", *_):
                    a.cut()
                    return True
                case ("gone",):
                    return False

    def may(self, a, t):
        """Nothing can go on behind a part of an answer but the rest of a stream."""
        return t.resume or not a.started

    async def attempt(self, a, n, t):
        """Run one try; -> the last word on it."""
        due = time.monotonic() + t.deadline_ms / 1000
        while True:
            try:
                c = await self.pool.take(addr=t.addr, replica=t.replica, cap=t.cap, timeout=t.connect, attempt=a.attempt)
            except RequestNotSentError as e:
                return ("unsent", e.why)
            keep = None
            c.tcp.begin()
            self.silence.begin(a, n, t, c)
            try:
                what, keep = await self.exchange(a, n, t, c, due)
                return what
            except StaleConnectionError as e:  # ended between `take` and the first byte
                if not c.until:  # a new one: this replica has no place for it
                    return ("unsent", e.why)
            finally:
                self.silence.end(a)
                self.pool.release(c, keep=keep, last=a.attempt)

    def request(self, a, t, c, due):
        """The request as this try sends it."""
        d = self.dialect
        ours = [(d.deadline, b"%d" % max(1, round((due - time.monotonic()) * 1000)))]
        if t.expect:
            ours.append((d.expect, t.replica.encode()))
        if t.urgency is not None:
            ours.append((d.urgency, b"%d" % t.urgency))
        if t.last_event is not None:
            ours.append((d.last_event, t.last_event.encode()))
        names = {k for k, _ in ours}
        ip, port = c.key[0].rsplit(":", 1)
        return httpcore.Request(
            a.method,
            httpcore.URL(scheme=b"http", host=ip.encode(), port=int(port), target=a.target),
            headers=[h for h in a.headers if h[0] not in names] + ours,
            content=a.body or None,
        )

    async def exchange(self, a, n, t, c, due):
        """-> (the last word, seconds that the connection may be kept or None)."""
        d, req = self.dialect, self.request(a, t, c, due)
        for _ in range(SKIP):
            try:
                r = await c.http.handle_async_request(req)
            except BROKEN as e:
                return (("lost" if c.tcp.wrote else "unsent", type(e).__name__), None)
            finally:
                a.tried = a.tried or c.tcp.wrote
            h = {k.lower(): v for k, v in reversed(r.headers)}
            if self.ours(a, h) and r.status != 101:
                break
            if not h.get(d.attempt) or await self.whole(r) is None or not c.http.is_idle():
                return (("lost", "not-ours"), None)
            c.tcp.mute = True  # a surplus answer; ours comes behind it
        else:
            return (("lost", "not-ours"), None)
        if r.status > 599:
            return (("lost", "status"), None)
        ok, not_run = 200 <= r.status < 300, d.not_run in h or r.status == 421
        if ok:
            if not_run or not h.get(d.seal) or a.method == "CONNECT":
                return (("lost", "no-seal"), None)
            if not self.framed(a, r, h):
                return (("lost", "no-length"), None)
            return await self.success(a, n, t, c, r, h)
        body = await self.whole(r) if self.framed(a, r, h) else None
        if body is not None:
            a.held = (r.status, self.back(a, r, h, body), body)
        if not_run:
            what = ("not-run", r.status, seconds(h.get(b"retry-after", b"")))
        else:
            what = ("lost", "cut") if body is None else ("failed", r.status)
        return (what, self.settle(c, h))

    async def success(self, a, n, t, c, r, h):
        events = t.stream and h.get(b"content-type", b"").lower().startswith(b"text/event-stream")
        if t.resume and not events:
            return (("lost", "no-stream"), None)
        await self.tell(a, n, "began", r.status)
        if not t.resume or not a.head:
            a.head = (r.status, end_to_end_headers(r.headers, h))
        try:
            if events:
                what = await self.stream(a, n, t, c, r)
            else:
                what = await self.plain(a, n, r, h)
        except (*BROKEN, ValueError):
            what = ("cut", a.last)
        return (what, self.settle(c, h) if what[0] == "done" else None)

    async def plain(self, a, n, r, h):
        """Held until it is whole, or passed on once it is too long to hold."""
        got, size = [], 0
        async for b in r.stream:
            if a.started:
                await a.data(b)
                continue
            got.append(b)
            size += len(b)
            if size > HOLD:
                await a.whole(*a.head, b"".join(got), more=True)
                await self.tell(a, n, "first")
                got.clear()
        await r.stream.aclose()
        if a.started:
            await a.end()
        else:
            body = b"".join(got)
            await a.whole(r.status, self.back(a, r, h, body), body)
        return ("done",)

    async def stream(self, a, n, t, c, r):
        """Whole events as they come, and together what came together; the client's own pace is the replica's."""
        cut, skip, got, first = EventSplitter(), a.last if t.resume else None, [], True

        async def push():
            nonlocal first
            if not got:
                return
            block = b"".join(got)
            got.clear()
            if a.started:
                await a.data(block)
            else:
                await a.whole(a.head[0], self.unsized(a.head[1]), block, more=True)
            a.last = last_id(block) or a.last
            if first:
                first = False
                await self.tell(a, n, "first")

        c.tcp.pause = push
        try:
            async for b in r.stream:
                block = cut.feed(b)
                if skip is not None and block:
                    block, found = beyond(block, skip)
                    skip = None if found else skip
                if block:
                    got.append(block)
        except (*BROKEN, ValueError):
            await push()
            raise
        await r.stream.aclose()
        if first or cut.rest:
            await push()
        if cut.rest:
            return ("cut", a.last)
        if a.started:
            await a.end(b"".join(got))
        else:
            await a.whole(a.head[0], self.unsized(a.head[1]), b"")
        return ("done",)

    async def whole(self, r):
        """The body of an answer that is held, or None."""
        got, size = [], 0
        try:
            async for b in r.stream:
                got.append(b)
                size += len(b)
                if size > HOLD:
                    return None
        except BROKEN:
            return None
        finally:
            await r.stream.aclose()
        return b"".join(got)

    async def get(self, *, replica, addr, path, wait=timedelta(seconds=1)):
        """A plain GET of a replica on a connection of its pool -> the body of a 200, else None."""
        ip, port = addr.rsplit(":", 1)
        req = httpcore.Request(
            b"GET", httpcore.URL(scheme=b"http", host=ip.encode(), port=int(port), target=path.encode()), headers=[(b"host", addr.encode())]
        )
        c = keep = None
        try:
            with anyio.fail_after(wait / SECOND):
                c = await self.pool.take(addr=addr, replica=replica, cap=PROBES, timeout=wait)
                c.tcp.begin()
                r = await c.http.handle_async_request(req)
                body = await self.whole(r)
            keep = self.settle(c, {k.lower(): v for k, v in reversed(r.headers)})
            return body if r.status == 200 else None
        except (RequestNotSentError, TimeoutError, *BROKEN):
            return None
        finally:
            if c:
                self.pool.release(c, keep=keep)

    def ours(self, a, h):
        return h.get(self.dialect.attempt, b"") == a.attempt

    def framed(self, a, r, h):
        """Does the answer tell where it ends?"""
        return b"content-length" in h or b"transfer-encoding" in h or a.method == "HEAD" or r.status in (204, 304)

    def back(self, a, r, h, body):
        """Headers of a whole answer for the client."""
        out = end_to_end_headers(r.headers, h)
        if b"content-length" not in h and a.method != "HEAD" and r.status not in (204, 304):
            out.append((b"content-length", b"%d" % len(body)))
        return out

    def unsized(self, headers):
        """A stream may go on at another replica: its length is not known."""
        return [h for h in headers if h[0].lower() != b"content-length"]

    def settle(self, c, h):
        """May the connection be used again, and for how long? Bytes behind a whole answer end it."""
        return self.pool.patience(h, c.tcp.trip) if self.reuse and c.http.is_idle() and not c.surplus() and not c.tcp.ended else None
