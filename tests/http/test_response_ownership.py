"""Responses of the product's own API reach the client that asked, also when connections end and others are opened."""

import json
import socket

import anyio
import anyio.lowlevel
import uvicorn

from silverglade.http.app import app


class Daemon:
    """A daemon whose calls return only when the test sets their events."""

    def __init__(self):
        self.settings = {"operator_key": "", "replica_key": "", "platform_key": "", "name": "d"}
        self.open, self.begun = {}, anyio.Event()

    async def call(self, op, args):
        done = anyio.Event()
        self.open[args] = done
        self.begun.set()
        await done.wait()
        return 100, {"trace": args[0]}

    async def asked(self, word):
        while (word,) not in self.open:
            self.begun = anyio.Event()
            await self.begun.wait()


async def answer(stream, rest):
    """Return the body of the next response on a connection."""
    while b"\r\n\r\n" not in rest:
        rest += await stream.receive()
    head, _, body = bytes(rest).partition(b"\r\n\r\n")
    size = next(int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length"))
    while len(body) < size:
        body += await stream.receive()
    rest[:] = body[size:]
    return json.loads(body[:size])["trace"]


def ask(word):
    return f"GET /v1/trace/{word} HTTP/1.1\r\nhost: d\r\n\r\n".encode()


def scene(play):
    """Run `play` with a real server on loopback that serves the product's own API."""

    async def go():
        d, sock = Daemon(), socket.create_server(("127.0.0.1", 0))
        server = uvicorn.Server(uvicorn.Config(app(d), http="h11", lifespan="off", log_level="critical", ws="none"))
        async with anyio.create_task_group() as tg:
            tg.start_soon(lambda: server.serve(sockets=[sock]))
            with anyio.fail_after(20):
                await play(d, lambda: anyio.connect_tcp(*sock.getsockname()))
            server.should_exit = True
            for done in d.open.values():
                done.set()

    anyio.run(go)


def test_the_response_of_a_disconnected_api_client_reaches_no_other_client():
    async def play(d, client):
        first = await client()
        await first.send(ask("first"))
        await d.asked("first")
        await first.aclose()
        second = await client()  # may reuse the resources of the first
        await second.send(ask("second"))
        await d.asked("second")
        d.open[("first",)].set()
        for _ in range(50):
            await anyio.lowlevel.checkpoint()
        d.open[("second",)].set()
        rest = bytearray()
        assert await answer(second, rest) == "second" and not rest
        await second.aclose()

    scene(play)


def test_pipelined_requests_are_answered_in_order():
    async def play(d, client):
        c, rest = await client(), bytearray()
        await c.send(ask("a") + ask("b") + ask("c"))
        for word in "abc":
            await d.asked(word)
            assert set(d.open) == {(w,) for w in "abc"[: "abc".index(word) + 1]}  # the next call begins when this one has ended
            d.open[(word,)].set()
            assert await answer(c, rest) == word
        await c.aclose()

    scene(play)
