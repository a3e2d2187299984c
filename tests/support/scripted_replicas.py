"""Small scripted replicas, a stand-in for the part and a client that says exact bytes (loopback sockets)."""

import asyncio
import contextlib
from datetime import timedelta

import anyio
import uvicorn
from uvicorn.server import ServerState

from silverglade.http.dialect import DEFAULT_DIALECT
from silverglade.http.forwarding_protocol import ForwardingProtocol
from silverglade.runtime import result_codes
from silverglade.runtime.errors import OverloadedError
from silverglade.runtime.events import event_to_tuple
from silverglade.server.fault_containment import FaultLog
from silverglade.server.request_forwarding import RequestForwarder

SEC = timedelta(seconds=1)
ID = DEFAULT_DIALECT.attempt.decode()
SEAL = DEFAULT_DIALECT.seal.decode()
NOT = DEFAULT_DIALECT.not_run.decode()


class Quiet:
    """A logger that keeps its lines: `said` are warnings and errors, `informed` all others."""

    def __init__(self):
        self.said, self.informed = [], []

    def info(self, line):
        self.informed.append(line)

    def warning(self, *a):
        self.said.append(a)

    error = warning


class Replica:
    """Each connection runs `script(conn)`; `conn.request()` reads one request, `conn.say()` sends bytes."""

    def __init__(self, script):
        self.script, self.seen, self.conns, self.raw, self.rest = script, [], [], [], b""

    async def serve(self, r, w):
        c = Wire(self, r, w, len(self.conns))
        self.conns.append(c)
        try:
            await self.script(c)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            c.over.set()
            w.close()


class Wire:
    def __init__(self, replica, r, w, n):
        self.replica, self.r, self.w, self.n, self.over, self.asked = replica, r, w, n, asyncio.Event(), asyncio.Event()

    async def request(self):
        """-> (first line, headers, body, id)."""
        head = await self.r.readuntil(b"\r\n\r\n")
        first, *rows = head.decode("latin-1")[:-4].split("\r\n")
        fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in rows)}
        body = await self.r.readexactly(int(fields.get("content-length", 0)))
        self.replica.seen.append((first, fields, body))
        self.replica.raw.append(head + body)
        self.asked.set()
        return first, fields, body, fields.get(ID, "")

    async def say(self, *parts):
        for p in parts:
            self.w.write(p if isinstance(p, bytes) else p.encode("latin-1"))
        await self.w.drain()

    async def closed(self):
        """Until the other side has closed; what it still said is kept."""
        with contextlib.suppress(OSError):
            while b := await self.r.read(65536):
                self.replica.rest += b

    def reset(self):
        import socket
        import struct

        s = self.w.get_extra_info("socket")
        s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.w.transport.abort()


def answer(i, body="ok", *, status="200 OK", seal="s", more=()):
    """A whole plain answer."""
    rows = [f"HTTP/1.1 {status}", f"{ID}: {i}", f"Content-Length: {len(body)}", *more]
    return "\r\n".join(rows + ([f"{SEAL}: {seal}"] if seal else [])) + "\r\n\r\n" + body


def stream(i, *events, last=True, seal="s"):
    """A stream of events in chunks, one each."""
    rows = ["HTTP/1.1 200 OK", f"{ID}: {i}", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    head = "\r\n".join(rows + ([f"{SEAL}: {seal}"] if seal else [])) + "\r\n\r\n"
    return head + "".join(map(chunk, events)) + ("0\r\n\r\n" if last else "")


def chunk(s):
    return f"{len(s):x}\r\n{s}\r\n"


def event(n, data="x"):
    return f"id: {n}\ndata: {data}\n\n"


class Daemon:
    """Stands for the daemon: events go to `part`, a function from an event to effects."""

    is_certain = True
    """Whether the configuration was proved recently enough to refuse a request by its limits."""

    def __init__(self, part, **kw):
        self.logger, self.buffered_body_bytes, self.draining, self.full = Quiet(), 0, False, False
        self.faults = FaultLog(self.logger)
        self.part, self.told, self.news = part, [], asyncio.Event()
        self.queues, self.forwarder = self, RequestForwarder(daemon=self, dialect=DEFAULT_DIALECT, **kw)

    def admit(self, event):
        if self.full:
            raise OverloadedError()
        self.feed(event_to_tuple(event))

    async def send(self, event, queue="first"):
        assert queue == "work"
        self.feed(event_to_tuple(event))

    async def call(self, operation, arguments):
        assert (operation, arguments) == ("certain", ())
        return result_codes.OK, {"certain": self.is_certain}

    def feed(self, ev):
        self.told.append(ev)
        self.news.set()
        for e in self.part(ev) or ():
            self.forwarder.carry_out(e)

    async def heard(self, what):
        """Until the part was told `what` (the fourth word of "tried")."""
        while not any(e[0] == "tried" and e[3] == what for e in self.told):
            self.news.clear()
            await self.news.wait()

    def words(self):
        """What the part was told of tries, without their request's id."""
        return [e[2:] for e in self.told if e[0] == "tried"]


def one(addr, **kw):
    """A try's table."""
    return {
        **dict(
            replica="i1",
            addr=addr,
            service="s",
            expect=True,
            urgency=None,
            deadline_ms=5000,
            last_event=None,
            connect=SEC,
            cap=4,
            stream=True,
            resume=False,
        ),
        **kw,
    }


def ends(rid, what):
    """What a careful part does with an end that it cannot mend."""
    match what:
        case ("failed" | "not-run", *_):
            return (("pass", rid, 1),)
        case ("unsent", *_):
            return (("answer", rid, 503, 0.25, 310),)
        case ("lost", *_):
            return (("answer", rid, 502, None, 402),)
        case ("cut", *_):
            return (("break", rid),)
    return ()


def simple(addr, **kw):
    """One try, and whatever comes of it."""

    def part(ev):
        match ev:
            case ("request", rid, _):
                return (("try", rid, 1, one(addr[0], **kw)),)
            case ("tried", rid, 1, *what):
                return ends(rid, tuple(what))

    return part


class Client:
    def __init__(self, r, w):
        self.r, self.w = r, w

    async def say(self, b):
        self.w.write(b if isinstance(b, bytes) else b.encode("latin-1"))
        await self.w.drain()

    async def ask(self, i="a1", path="/p", *, method="POST", body="hi", more=()):
        rows = [f"{method} {path} HTTP/1.1", "Host: h.example:80", *([f"{ID}: {i}"] if i else []), f"Content-Length: {len(body)}", *more]
        await self.say("\r\n".join(rows) + "\r\n\r\n" + body)

    async def head(self):
        """-> (status, headers)."""
        head = (await self.r.readuntil(b"\r\n\r\n")).decode("latin-1")[:-4].split("\r\n")
        if head[0].split()[1] == "100":
            return await self.head()
        return int(head[0].split()[1]), {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:])}

    async def answer(self):
        """-> (status, headers, body, whether it came whole)."""
        try:
            status, h = await self.head()
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        b = b""
        try:
            if status == 204:
                return status, h, b, True
            if "content-length" in h:
                return status, h, await self.r.readexactly(int(h["content-length"])), True
            while n := int(await self.r.readuntil(b"\r\n"), 16):
                b += (await self.r.readexactly(n + 2))[:-2]
            await self.r.readexactly(2)
            return status, h, b, True
        except asyncio.IncompleteReadError as e:
            return status, h, b + e.partial, False
        except ConnectionError:
            return status, h, b, False

    async def closed(self):
        try:
            return await self.r.read() == b""
        except ConnectionError:
            return True

    def close(self):
        self.w.close()


@contextlib.asynccontextmanager
async def replica(script):
    rep = Replica(script)
    srv = await asyncio.start_server(rep.serve, "127.0.0.1", 0)
    rep.addr = "127.0.0.1:%d" % srv.sockets[0].getsockname()[1]
    try:
        yield rep
    finally:
        srv.close()
        for c in rep.conns:
            c.w.transport.abort()


@contextlib.asynccontextmanager
async def front(part, **kw):
    """-> (daemon, a maker of clients)."""
    d, made, state = Daemon(part, **kw), [], ServerState()
    cfg = uvicorn.Config(None, log_config=None, access_log=False, log_level="critical", date_header=False, ws="none")
    cfg.load()
    srv = await asyncio.get_running_loop().create_server(lambda: ForwardingProtocol(cfg, state, {}, forwarder=d.forwarder), "127.0.0.1", 0)

    async def client():
        made.append(Client(*await asyncio.open_connection(*srv.sockets[0].getsockname())))
        return made[-1]

    try:
        yield d, client
    finally:
        srv.close()
        for c in made:
            c.w.transport.abort()
        for c in list(state.connections):
            c.transport.abort()
        d.forwarder.pool.close()


SECS = 10


def play(go):
    """Run a scene; one that hangs fails."""

    async def main():
        with anyio.fail_after(SECS):
            return await go()

    return anyio.run(main)


def scene(script, talk, *, part=None, **kw):
    """A replica, a daemon with a simple part and a client -> (what `talk` returned, the daemon, the replica)."""

    async def go():
        async with replica(script) as rep:
            async with front((part or simple)([rep.addr], **kw)) as (d, client):
                got = await talk(await client(), d, rep, client)
                return got, d, rep

    return play(go)
