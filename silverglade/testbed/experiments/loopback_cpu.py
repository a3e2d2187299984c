"""Processor time of forwarded requests over loopback sockets (design 15.3).

    python -m silverglade.testbed.experiments.loopback_cpu [requests]

A second process plays clients and replica; the router is a stub that makes one attempt.
"""

import asyncio
import logging
import multiprocessing
import os
import resource
import sys
import time
from datetime import timedelta

import uvicorn
from uvicorn.server import ServerState

from ...http.dialect import DEFAULT_DIALECT
from ...http.forwarding_protocol import ForwardingProtocol
from ...runtime.structured_logging import LOGGER_NAME
from ...server.priority_queues import PriorityQueues
from ...server.request_forwarding import RequestForwarder

ID, SEAL = DEFAULT_DIALECT.attempt, DEFAULT_DIALECT.seal
EVENTS = 36
HEADS = (
    b"Content-Type: application/octet-stream",
    b"User-Agent: loopback/1",
    b"Accept: */*",
    DEFAULT_DIALECT.deadline + b": 5000",
    DEFAULT_DIALECT.model + b": m",
    DEFAULT_DIALECT.tokens + b": 1460,80",
    DEFAULT_DIALECT.prefix + b": 5c1e07a2:800,91bd3f06:410,e4402b7d:250",
)


class Daemon:
    """The lanes and a task that takes from them, as the daemon has; one try for each request."""

    def __init__(self, addr):
        self.addr, self.buffered_body_bytes, self.draining, self.faults = addr, 0, False, None
        self.logger = logging.getLogger(LOGGER_NAME)
        self.queues, self.forwarder = PriorityQueues(), RequestForwarder(daemon=self, dialect=DEFAULT_DIALECT)

    async def think(self):
        while True:
            ev = await self.queues.take()
            match ev:
                case ("request", rid, _):
                    self.forwarder.carry_out(
                        (
                            "try",
                            rid,
                            1,
                            dict(
                                replica="i1",
                                addr=self.addr,
                                service="s",
                                expect=True,
                                urgency=4,
                                deadline_ms=4900,
                                last_event=None,
                                connect=timedelta(seconds=1),
                                cap=64,
                                stream=True,
                                resume=False,
                            ),
                        )
                    )
                case ("tried", rid, _, ("failed" | "not-run" | "unsent" | "lost" | "cut"), *_):
                    self.forwarder.carry_out(("answer", rid, 502, None, 808))


async def replica(r, w):
    """Plain answers, and streams by path."""
    try:
        while True:
            head = await r.readuntil(b"\r\n\r\n")
            f = {k.lower(): v for k, _, v in (x.partition(b": ") for x in head.split(b"\r\n")[1:])}
            await r.readexactly(int(f.get(b"content-length", 0)))
            w.write(b"HTTP/1.1 200 OK\r\n" + ID + b": " + f[ID] + b"\r\n" + SEAL + b": 3e1b.07\r\nKeep-Alive: timeout=5\r\n")
            if b"/stream" in head[:40]:
                w.write(b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                for n in range(EVENTS):
                    e = b"id: %d\ndata: %s\n\n" % (n, b"t" * 60)
                    w.write(b"%x\r\n%s\r\n" % (len(e), e))
                    await w.drain()
                    await asyncio.sleep(0.002)  # an event comes alone
                w.write(b"0\r\n\r\n")
            else:
                w.write(b"Content-Length: 600\r\n\r\n" + b"b" * 600)
    except (EOFError, OSError, asyncio.CancelledError):
        w.close()


async def client(port, path, n, who):
    r, w = await asyncio.open_connection("127.0.0.1", port)
    for i in range(n):
        w.write(
            b"POST "
            + path
            + b" HTTP/1.1\r\nHost: h.example\r\n"
            + ID
            + b": %x.%x\r\n" % (who, i)
            + b"\r\n".join(HEADS)
            + b"\r\nContent-Length: 200\r\n\r\n"
            + b"q" * 200
        )
        head = await r.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        if b"chunked" in head:
            await r.readuntil(b"0\r\n\r\n")
        else:
            await r.readexactly(600)
    w.close()


async def others(pipe, plain, streams):
    srv = await asyncio.start_server(replica, "127.0.0.1", 0)
    pipe.send(srv.sockets[0].getsockname()[1])
    port = await asyncio.to_thread(pipe.recv)
    for path, n in ((b"/plain", plain), (b"/stream", streams)):
        await asyncio.gather(*[client(port, path, 10, i) for i in range(16)])  # warm
        pipe.send("go")
        await asyncio.to_thread(pipe.recv)
        at = time.monotonic()
        await asyncio.gather(*[client(port, path, n // 16, 100 + i) for i in range(16)])
        pipe.send((path.decode(), n // 16 * 16, time.monotonic() - at))
        await asyncio.to_thread(pipe.recv)


def used():
    u = resource.getrusage(resource.RUSAGE_SELF)
    return u.ru_utime + u.ru_stime


def resident():
    with open("/proc/self/statm") as f:
        return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measured(pipe, face, out):
    d = Daemon(f"127.0.0.1:{pipe.recv()}")
    cfg = uvicorn.Config(None, log_config=None, access_log=False, log_level="critical", date_header=False, ws="none")
    cfg.load()
    state = ServerState()
    srv = await asyncio.get_running_loop().create_server(lambda: face(cfg, state, {}, forwarder=d.forwarder), "127.0.0.1", 0)
    task = asyncio.ensure_future(d.think())
    out.append(("idle", resident()))
    pipe.send(srv.sockets[0].getsockname()[1])
    for _ in range(2):
        await asyncio.to_thread(pipe.recv)
        at = used()
        pipe.send(1)
        path, n, took = await asyncio.to_thread(pipe.recv)
        out.append((path, n, (used() - at) / n * 1000, took))
        pipe.send(1)
    out.append(("after", resident()))
    task.cancel()


def main(plain=16000, streams=1600, face=ForwardingProtocol):
    here, there = multiprocessing.Pipe()
    p = multiprocessing.get_context("fork").Process(target=lambda: asyncio.run(others(there, plain, streams)), daemon=True)
    p.start()
    out = []
    asyncio.run(measured(here, face, out))
    p.join(5)
    return out


if __name__ == "__main__":
    n = int(sys.argv[1]) if len(sys.argv) > 1 else 16000
    for kind, *x in main(n, n // 10):
        if len(x) == 1:
            print(f"memory={kind} mb={x[0]:.1f}")
        else:
            print(f"path={kind} requests={x[0]} cpu_ms_each={x[1]:.3f} seconds={x[2]:.2f}")
