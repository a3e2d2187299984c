"""Connections to replicas (design 15): small pools, kept no longer than the replica says.

A new connection has its price, and a stale one may swallow a request that cannot be repeated. So one
is used again only while it is surely idle: within the time that the replica gave, less a margin for
what is on the way, with nothing to be read on it. Whatever arrives on an idle connection belongs to no request and closes it.
"""

import asyncio
import select
import socket
import time
from collections import deque
from datetime import timedelta

import httpcore

SECOND = timedelta(seconds=1)
NEAR = 0.01  # seconds that a connection takes to come up in the same region, at most
MARGIN, MOST = 0.05, 0.5  # seconds before a replica's own time is up: at least, at most
HIGH = 64 * 1024  # bytes held unread: above it the replica is held up
FAR = 4.0  # seconds that one without a time is kept, elsewhere
IDLE = 512  # idle connections of the daemon in all
# TCP_NODELAY is set by asyncio on sockets that name their protocol. A dead machine says nothing: these end the wait (seconds, and ms)
OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 8000),
)


class RequestNotSentError(Exception):
    """Not one byte of the request was written."""

    def __init__(self, why, /):
        self.why = why
        super().__init__(why)


class StaleConnectionError(RequestNotSentError):
    """A kept connection turned out to be over before anything was written on it."""


class Tcp(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """A connection as httpcore wants it; it knows whether a byte of the request was written.

    What is to be written waits for the first read and leaves in one piece. `mute` swallows it: so a
    request whose place was taken by a surplus answer is read on for, and is never sent twice.
    """

    def __init__(self):
        self.got, self.size, self.out = deque(), 0, []
        self.ended, self.why, self.waits, self.held = False, None, None, False
        self.wrote, self.mute, self.idle = False, False, None
        self.t = self.pause = None  # pause: awaited before more is read
        self.heard, self.peer = 0.0, [0.0]  # when bytes came last: here, from this replica at all
        self.trip = 0.0  # seconds that it took to come up: there and back once

    def begin(self):
        self.wrote, self.mute, self.idle, self.pause = False, False, None, None

    # from the loop
    def connection_made(self, transport):
        self.t = transport

    def data_received(self, data):
        self.heard = self.peer[0] = time.monotonic()
        if self.idle:
            return self.idle()  # belongs to no request
        self.got.append(data)
        self.size += len(data)
        if self.size > HIGH and not self.held:
            self.held = True
            self.t.pause_reading()
        self.wake()

    def eof_received(self):
        self.ended = True
        if self.idle:
            self.idle()
        self.wake()
        return True

    def connection_lost(self, exc):
        self.ended, self.why = True, self.why or exc
        if self.idle:
            self.idle()
        self.wake()

    def wake(self):
        if self.waits and not self.waits.done():
            self.waits.set_result(None)

    # for httpcore
    async def write(self, buffer, timeout=None):
        if buffer and not self.mute:
            self.out.append(buffer)

    def flush(self):
        out, self.out = self.out, []
        if not self.wrote and (self.ended or self.got or self.t.is_closing()):
            raise StaleConnectionError("ended before the request")
        self.wrote = True
        if sum(map(len, out)) <= HIGH:
            out = (b"".join(out),)
        for b in out:
            self.t.write(b)

    async def read(self, max_bytes, timeout=None):
        if self.out:
            self.flush()
        if self.pause:
            await self.pause()
        while not self.got:
            if self.why:
                raise httpcore.ReadError(str(self.why))
            if self.ended or self.t.is_closing():
                return b""
            self.waits = asyncio.get_running_loop().create_future()
            try:
                await self.waits
            finally:
                self.waits = None
        b = self.got.popleft()
        self.size -= len(b)
        if self.held and self.size <= HIGH // 2:
            self.held = False
            self.t.resume_reading()
        return b

    async def aclose(self):
        self.close()

    def close(self):
        self.idle = None
        if self.t:
            self.t.abort()

    def sound(self):
        """Idle, and nothing to be read, also not in the kernel."""
        if self.ended or self.got or self.t.is_closing():
            return False
        p = select.poll()
        p.register(self.t.get_extra_info("socket").fileno(), select.POLLIN)
        return not p.poll(0)


async def connect(*, addr, local, timeout):
    ip, port = addr.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    s = socket.socket(socket.AF_INET6 if ":" in ip else socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        s.setblocking(False)
        for o in OPTIONS:
            s.setsockopt(*o)
        if local:
            s.bind((local, 0))
        at = time.monotonic()
        async with asyncio.timeout(timeout / SECOND):
            await loop.sock_connect(s, (ip.strip("[]"), int(port)))
        took = time.monotonic() - at
        tcp = (await loop.create_connection(Tcp, sock=s))[1]
        tcp.trip = took
        return tcp
    except BaseException:
        s.close()
        raise


class Conn:
    """A connection of a pool: busy from `take` to `release`."""

    __slots__ = ("key", "peer", "tcp", "http", "until", "last", "leaving")

    def __init__(self, key, peer):
        self.key, self.peer = key, peer
        self.tcp, self.http, self.until, self.last, self.leaving = None, None, 0.0, None, False

    def use(self, tcp):
        ip, port = self.key[0].rsplit(":", 1)
        self.tcp = tcp
        tcp.peer = self.peer
        self.http = httpcore.AsyncHTTP11Connection(origin=httpcore.Origin(b"http", ip.encode(), int(port)), stream=tcp)

    def surplus(self):
        """Bytes that came behind a whole answer."""
        return bool(self.tcp.got or self.http._h11_state.trailing_data[0])


class ConnectionPool:
    def __init__(self, *, local=None, keep=timedelta(seconds=15), most=IDLE):
        self.local, self.keep, self.most = local, keep / SECOND, most
        self.all, self.idle, self.waiting, self.timer = {}, {}, 0, None
        self.heard = {}  # (address, replica) -> [when bytes came last]

    async def take(self, *, addr, replica, cap, timeout, attempt=None):
        """A usable connection, the one used last first; raises Unsent. One that carried this very attempt
        before is left alone: a second answer to that could not be told from the answer to this."""
        key, now = (addr, replica), time.monotonic()
        row = self.idle.get(key, ())
        for i in range(len(row) - 1, -1, -1):
            c = row[i]
            if c.until > now and c.tcp.sound():
                if attempt and c.last == attempt:
                    continue
                self.unlist(c)
                return c
            self.close(c)
        have = self.all.setdefault(key, set())
        if len(have) >= cap and row and len(have) - len(row) < cap:
            self.close(row[0])
        if len(have) >= cap:
            self.tidy(key)
            raise RequestNotSentError("pool-full")
        c = Conn(key, self.heard.setdefault(key, [0.0]))
        self.all.setdefault(key, have).add(c)
        try:
            c.use(await connect(addr=addr, local=self.local, timeout=timeout))
        except (OSError, TimeoutError) as e:
            raise RequestNotSentError("connect-timeout" if isinstance(e, TimeoutError) else "refused") from e
        finally:
            if c.tcp is None:
                self.close(c)
        return c

    async def reaches(self, *, addr, timeout):
        """Is there a way to this address? A bare connection, ended at once; a refusal came from there too."""
        try:
            tcp = await connect(addr=addr, local=self.local, timeout=timeout)
        except ConnectionError:
            return True
        except (OSError, TimeoutError):
            return False
        tcp.close()
        return True

    def release(self, c, *, keep=None, last=None):
        """Back to the pool for `keep` seconds; closed without."""
        now = time.monotonic()
        if not keep or c.leaving or self.waiting >= self.most or c.tcp.ended or c.key not in self.all:
            return self.close(c)
        c.until, c.last = now + keep, last
        c.tcp.idle = lambda: self.close(c)
        self.idle.setdefault(c.key, []).append(c)
        self.waiting += 1
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(keep, self.sweep)

    def unlist(self, c):
        row = self.idle.get(c.key)
        if row and c in row:
            row.remove(c)
            self.waiting -= 1
            c.tcp.idle = None
            if not row:
                del self.idle[c.key]

    def close(self, c):
        self.unlist(c)
        if c.tcp:
            c.tcp.close()
        self.all.get(c.key, set()).discard(c)
        self.tidy(c.key)

    def tidy(self, key):
        if not self.all.get(key, True):
            del self.all[key]

    def sweep(self):
        self.timer, now = None, time.monotonic()
        for c in [c for row in self.idle.values() for c in row if c.until <= now]:
            self.close(c)
        if self.idle:
            due = min(c.until for row in self.idle.values() for c in row)
            self.timer = asyncio.get_running_loop().call_later(max(0.05, due - now), self.sweep)

    def forget(self, replica):
        """The replica has left the list: idle connections end now, busy ones with their answers."""
        for key in [k for k in self.heard if k[1] == replica]:
            del self.heard[key]
        for key in [k for k in self.all if k[1] == replica]:
            for c in list(self.all[key]):
                if c in self.idle.get(key, ()):
                    self.close(c)
                else:
                    c.leaving = True

    def renew(self, replica):
        """The replica is in doubt: its idle connections end, and what follows begins with a new one."""
        for key in [k for k in self.idle if k[1] == replica]:
            for c in list(self.idle[key]):
                self.close(c)

    def shut(self):
        if self.timer:
            self.timer.cancel()
        for c in [c for row in self.all.values() for c in row]:
            self.close(c)

    def patience(self, headers, trip):
        """Seconds that an idle connection may be used again, by the answer's headers.

        The answer was on its way to us and the next request will be on its way to the replica. Where no time
        is told there may be none, or one below a second: then only an end that is on its way harms.
        """
        if b"close" in headers.get(b"connection", b"").lower():
            return None
        said = headers.get(b"keep-alive", b"").lower()
        for word in said.split(b","):
            k, _, v = word.strip().partition(b"=")
            if k.strip() == b"timeout":
                v = v.strip()
                return max(0.0, int(v) - min(MOST, MARGIN + 2 * trip)) if v.isdigit() and len(v) < 8 else None
        return self.keep if trip < NEAR else min(self.keep, FAR)
