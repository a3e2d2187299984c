"""Pools of connections to replicas (design 15.3): when one is used again, and when never."""

import asyncio
import contextlib
import socket
from datetime import timedelta

import pytest

from silverglade.http import connection_pool as upstream
from silverglade.http.connection_pool import ConnectionPool, RequestNotSentError, StaleConnectionError

from ..support.scripted_replicas import ID, SEC, answer, play, replica, scene, stream

MS = timedelta(milliseconds=1)


class Clock:
    """Stands for the time module."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


async def quiet(c):
    await c.closed()


def pooled(go, script=quiet, **kw):
    """A pool and a replica."""

    async def main():
        async with replica(script) as rep:
            pool = ConnectionPool(**kw)

            async def take(i="i1", *, cap=4, attempt=None):
                return await pool.take(addr=rep.addr, replica=i, cap=cap, timeout=SEC, attempt=attempt)

            try:
                return await go(pool, take, rep)
            finally:
                pool.close()

    return play(main)


def test_the_one_used_last_goes_first_and_others_wait():
    async def go(pool, take, rep):
        a, b, c = await take(), await take(), await take()
        for x in (a, b, c):
            pool.release(x, keep=5)
        assert [await take(), await take(), await take()] == [c, b, a]
        assert pool.idle_count == 0
        d = await take("i2")  # another life at the address shares none
        return d not in (a, b, c) and len(pool.connections) == 2

    assert pooled(go)


def test_never_beyond_the_most():
    async def go(pool, take, rep):
        a = await take(cap=1)
        with pytest.raises(RequestNotSentError) as e:
            await take(cap=1)
        assert e.value.reason == "pool-full"
        pool.release(a, keep=5)
        assert await take(cap=1) is a
        pool.release(a)
        b = await take(cap=1)
        return b is not a

    assert pooled(go)


def test_one_is_used_again_only_inside_its_time(monkeypatch):
    async def go(pool, take, rep):
        clock = Clock()
        monkeypatch.setattr(upstream, "time", clock)
        a = await take()
        pool.release(a, keep=2)
        clock.now += 1.9
        assert await take() is a
        pool.release(a, keep=2)
        clock.now += 2
        b = await take()
        assert b is not a and a.stream.transport.is_closing()
        pool.release(b, keep=1)
        pool.sweep()
        assert not b.stream.transport.is_closing()
        clock.now += 1
        pool.sweep()  # nobody asks for it: closed all the same
        return b.stream.transport.is_closing() and pool.connections == {} == pool.idle and pool.sweep_timer is None

    assert pooled(go)


@pytest.mark.parametrize(
    "headers,trip,secs",
    [
        ({b"keep-alive": b"timeout=5"}, 0, 4.95),
        ({b"keep-alive": b"max=9, Timeout = 2"}, 0.05, 1.85),
        ({b"keep-alive": b"timeout=0"}, 0, 0),
        ({b"keep-alive": b"timeout=1"}, 0.11, 0.73),
        ({b"keep-alive": b"timeout=1"}, 9, 0.5),
        ({b"keep-alive": b"timeout=soon"}, 0, None),
        ({b"keep-alive": b"max=3"}, 0, 20),
        ({}, 0, 20),
        ({}, 0.05, 4),
        ({b"connection": b"keep-alive"}, 0, 20),
        ({b"connection": b"x, Close", b"keep-alive": b"timeout=5"}, 0, None),
    ],
)
def test_how_long_by_the_replicas_word_and_the_way_there(headers, trip, secs):
    got = ConnectionPool(keep=timedelta(seconds=20)).reuse_time(headers, trip)
    assert got == (secs if secs is None else pytest.approx(secs))


def test_no_margin_or_none_left_closes():
    async def go(pool, take, rep):
        a = await take()
        pool.release(a, keep=pool.reuse_time({b"keep-alive": b"timeout=0"}, 0))
        return a.stream.transport.is_closing() and pool.connections == {}

    assert pooled(go)


@pytest.mark.parametrize("what", ["close", "reset", "bytes"])
def test_whatever_comes_on_an_idle_connection_ends_it(what):
    async def script(c):
        await go_on.wait()
        if what == "reset":
            return c.reset()
        if what == "bytes":
            await c.say(answer("old"))
            await c.closed()

    async def go(pool, take, rep):
        a = await take()
        pool.release(a, keep=5)
        go_on.set()
        while a.key in pool.connections:
            await asyncio.sleep(0)
        assert a.stream.transport.is_closing()
        return await take() is not a

    go_on = asyncio.Event()
    assert pooled(go, script)


def raw_pair(pool, lis):
    """A connection of the pool whose far end is a plain blocking socket."""

    async def make():
        c = await pool.take(addr="127.0.0.1:%d" % lis.getsockname()[1], replica="i1", cap=4, timeout=SEC)
        return c, lis.accept()[0]

    return make()


@contextlib.contextmanager
def listener():
    lis = socket.create_server(("127.0.0.1", 0))
    try:
        yield lis
    finally:
        lis.close()


def surplus_in_the_kernel(sound=None, flush=None):
    """Bytes arrive, and the loop has not turned since -> was that connection used?"""

    async def go():
        with listener() as lis:
            pool = ConnectionPool()
            if sound:
                upstream.ReplicaStream.is_usable = sound
            try:
                a, far = await raw_pair(pool, lis)
                pool.release(a, keep=5)
                far.sendall(b"x")
                b, far2 = (
                    await raw_pair(pool, lis) if not sound else (await pool.take(addr=a.key[0], replica="i1", cap=4, timeout=SEC), None)
                )
                for s in (far, far2):
                    if s:
                        s.close()
                return b is a
            finally:
                pool.close()

    was = upstream.ReplicaStream.is_usable
    try:
        return play(go)
    finally:
        upstream.ReplicaStream.is_usable = was


def test_bytes_that_wait_in_the_kernel_are_seen_before_a_connection_is_used():
    assert not surplus_in_the_kernel()
    assert surplus_in_the_kernel(sound=lambda stream: not stream.has_ended and not stream.received)  # planted: the loop's word alone


def test_what_ends_between_take_and_the_first_byte_is_stale_not_lost():
    async def go():
        with listener() as lis:
            pool = ConnectionPool()
            a, far = await raw_pair(pool, lis)
            pool.release(a, keep=5)
            b, _ = await pool.take(addr=a.key[0], replica="i1", cap=4, timeout=SEC), None
            assert b is a
            a.stream.begin_request()
            await a.stream.write(b"POST")
            far.sendall(b"x")
            while not a.stream.received:
                await asyncio.sleep(0)
            with pytest.raises(StaleConnectionError):
                await a.stream.read(10)
            assert not a.stream.was_written
            far.setblocking(False)
            with pytest.raises(BlockingIOError):
                far.recv(10)
            pool.close()
            far.close()

    play(go)


def test_a_connection_that_carried_this_attempt_is_left_alone():
    async def go(pool, take, rep):
        a = await take()
        pool.release(a, keep=5, last=b"x1")
        b = await take(attempt=b"x1")
        assert b is not a and not a.stream.transport.is_closing()
        assert await take(attempt=b"x2") is a
        pool.release(a, keep=5, last=b"x1")
        pool.release(b, keep=5, last=b"x1")
        c = await take(attempt=b"x1", cap=2)  # no room beside them: one gives way
        return c not in (a, b) and a.stream.transport.is_closing() != b.stream.transport.is_closing()

    assert pooled(go)


def test_a_replica_that_left_keeps_no_connection():
    async def go(pool, take, rep):
        a, b, c = await take(), await take(), await take("i2")
        pool.release(a, keep=5)
        pool.release(c, keep=5)
        pool.remove_replica("i1")
        assert a.stream.transport.is_closing() and not b.stream.transport.is_closing() and not c.stream.transport.is_closing()
        pool.release(b, keep=5)  # busy until now
        return b.stream.transport.is_closing() and set(pool.connections) == {c.key}

    assert pooled(go)


def test_idle_connections_are_bounded_over_all_replicas():
    async def go(pool, take, rep):
        got = [await take(f"i{n}") for n in range(4)]
        for c in got:
            pool.release(c, keep=5)
        return [c.stream.transport.is_closing() for c in got]

    assert pooled(go, max_idle=3) == [False, False, False, True]


def test_a_connection_that_does_not_come_up_is_unsent_and_leaves_no_trace(monkeypatch):
    async def go(pool, take, rep):
        async def never(s, at):
            await asyncio.Event().wait()

        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "sock_connect", never, raising=False)
        with pytest.raises(RequestNotSentError) as e:
            await pool.take(addr=rep.addr, replica="i1", cap=1, timeout=10 * MS)
        return e.value.reason, pool.connections

    assert pooled(go) == ("connect-timeout", {})


def test_a_take_that_is_given_up_frees_its_place(monkeypatch):
    async def go(pool, take, rep):
        begun = asyncio.Event()

        async def never(s, at):
            begun.set()
            await asyncio.Event().wait()

        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "sock_connect", never, raising=False)
        t = asyncio.ensure_future(take(cap=1))
        await begun.wait()
        t.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await t
        return pool.connections

    assert pooled(go) == {}


def test_the_options_and_the_local_address_of_a_connection():
    async def go(pool, take, rep):
        c = await take()
        assert 0 < c.stream.connect_s < 1
        s = c.stream.transport.get_extra_info("socket")
        assert s.getsockname()[0] == "127.0.0.2"
        assert s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        return all(s.getsockopt(lv, o) == v for lv, o, v in upstream.SOCKET_OPTIONS)

    assert pooled(go, local="127.0.0.2")


# over the whole path


def served(*rounds):
    """A replica that answers request after request on a connection; each round is a function of the id."""

    async def script(c):
        for r in rounds:
            *_, i = await c.request()
            await c.say(r(i))
        await c.closed()

    return script


async def twice(c, d, rep, client):
    got = []
    for i in ("a1", "a2"):
        await c.ask(i)
        got.append((await c.answer())[2])
    return got, len(rep.conns)


TWICE = [
    (answer, 1),
    (lambda i: answer(i, more=("Keep-Alive: timeout=5",)), 1),
    (lambda i: answer(i, more=("Keep-Alive: timeout=0",)), 2),
    (lambda i: answer(i, more=("Connection: close",)), 2),
    (lambda i: stream(i, "data: ok\n\n"), 1),
    (lambda i: answer(i, status="503 Full", more=("Silverglade-Not-Run: 1",)), 1),
    (lambda i: answer(i, status="500 No"), 1),
    (lambda i: answer(i, seal=""), 2),
    (lambda i: answer(i) + "surplus", 2),  # bytes behind a whole answer
    (lambda i: answer(i) + answer(i), 2),
    (lambda i: answer("old") + answer(i), 1),  # read past, and no harm done
    (lambda i: answer(i).replace("HTTP/1.1", "HTTP/1.0"), 2),
]


@pytest.mark.parametrize("i", range(len(TWICE)))
def test_when_a_connection_carries_a_second_request(i):
    say, conns = TWICE[i]
    (got, n), d, rep = scene(served(say, say), twice)
    assert n == conns and len(rep.raw) == 2 and len({f[ID] for _, f, _ in rep.seen}) == 2


def surplus_late():
    """A second answer to the first request arrives while the connection is idle -> (bodies, connections)."""

    async def script(c):
        *_, i = await c.request()
        await c.say(answer(i, "one" if c.n == 0 else "two"))
        if c.n == 0:
            await late.wait()
            with contextlib.suppress(OSError):
                await c.say(answer(i, "late"))
            said.set()
        await c.closed()

    async def talk(c, d, rep, client):
        await c.ask("a1")
        got = [(await c.answer())[2]]
        late.set()
        await said.wait()
        await c.ask("a2")
        return [*got, (await c.answer())[2]], len(rep.conns)

    late, said = asyncio.Event(), asyncio.Event()
    return scene(script, talk)[0]


def test_a_late_surplus_answer_is_never_taken_for_the_next():
    assert surplus_late() == ([b"one", b"two"], 2)


def test_a_connection_that_broke_before_the_first_byte_costs_no_request():
    async def script(c):
        *_, i = await c.request()
        await c.say(answer(i, "%d" % c.n, more=("Keep-Alive: timeout=9",)))
        if c.n == 0:
            return  # closes although it said nine seconds
        await c.closed()

    async def talk(c, d, rep, client):
        got = await twice(c, d, rep, client)
        return got, d.words()

    ((got, n), words), d, rep = scene(script, talk)
    assert got == [b"0", b"1"] and n == 2
    assert words == [(1, "began", 200), (1, "done")] * 2


def test_a_replica_that_has_no_place_for_a_connection_got_nothing():
    async def script(c):
        c.reset()

    async def ask(c, d, rep, client):
        await c.ask()
        return (await c.answer())[0]

    status, d, rep = scene(script, ask)
    what = d.words()[-1]
    assert rep.seen == [] and status in (502, 503) and what[1] in ("unsent", "lost")


def test_a_bare_connection_tells_whether_there_is_a_way():
    async def go():
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        up = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        pool = upstream.ConnectionPool()
        reached = await pool.is_reachable(addr=up, timeout=SEC)
        server.close()
        refused = await pool.is_reachable(addr=up, timeout=SEC)  # nobody listens, but that word came from there
        return reached, refused, pool.connections

    assert asyncio.run(go()) == (True, True, {})


def test_a_bare_connection_that_does_not_come_up_in_time_says_that_there_is_none(monkeypatch):
    async def never(**_):
        raise TimeoutError

    monkeypatch.setattr(upstream, "connect", never)
    assert asyncio.run(upstream.ConnectionPool().is_reachable(addr="127.0.0.1:9", timeout=SEC)) is False
