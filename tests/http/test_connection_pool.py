"""Pools of connections to replicas (design 15.3): when a connection is reused, and when it must not be."""

import asyncio
import contextlib
import socket
from datetime import timedelta

import pytest

from silverglade.http import connection_pool
from silverglade.http.connection_pool import ConnectionPool, RequestNotSentError, StaleConnectionError

from ..support.scripted_replicas import ID, SEC, answer, play, replica, scene, stream

MS = timedelta(milliseconds=1)


class FakeClock:
    """Replaces the time module."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


async def read_until_closed(c):
    await c.closed()


def run_with_pool(go, script=read_until_closed, **kw):
    """Run `go` with a pool and a scripted replica, and return its result."""

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


def test_the_most_recently_used_idle_connection_is_taken_first():
    async def go(pool, take, rep):
        a, b, c = await take(), await take(), await take()
        for x in (a, b, c):
            pool.release(x, keep=5)
        assert [await take(), await take(), await take()] == [c, b, a]
        assert pool.idle_count == 0
        d = await take("i2")  # another replica at the same address shares none
        return d not in (a, b, c) and len(pool.connections) == 2

    assert run_with_pool(go)


def test_no_more_connections_than_the_cap():
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

    assert run_with_pool(go)


def test_a_connection_is_reused_only_within_its_keep_alive_time(monkeypatch):
    async def go(pool, take, rep):
        clock = FakeClock()
        monkeypatch.setattr(connection_pool, "time", clock)
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
        pool.sweep()  # closed although it is not requested again
        return b.stream.transport.is_closing() and pool.connections == {} == pool.idle and pool.sweep_timer is None

    assert run_with_pool(go)


@pytest.mark.parametrize(
    "headers,connect_s,expected",
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
def test_reuse_time_follows_from_headers_and_connect_time(headers, connect_s, expected):
    got = ConnectionPool(keep=timedelta(seconds=20)).reuse_time(headers, connect_s)
    assert got == (expected if expected is None else pytest.approx(expected))


def test_a_keep_alive_time_within_the_margin_closes_the_connection():
    async def go(pool, take, rep):
        a = await take()
        pool.release(a, keep=pool.reuse_time({b"keep-alive": b"timeout=0"}, 0))
        return a.stream.transport.is_closing() and pool.connections == {}

    assert run_with_pool(go)


@pytest.mark.parametrize("what", ["close", "reset", "bytes"])
def test_any_activity_on_an_idle_connection_closes_it(what):
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
    assert run_with_pool(go, script)


def take_with_socket(pool, lis):
    """Return a connection of the pool, and the plain blocking socket at its other end."""

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


def reuses_with_unread_kernel_bytes(is_usable=None, flush=None):
    """Return whether an idle connection is reused when bytes have arrived since the last iteration of the event loop."""

    async def go():
        with listener() as lis:
            pool = ConnectionPool()
            if is_usable:
                connection_pool.ReplicaStream.is_usable = is_usable
            try:
                a, far = await take_with_socket(pool, lis)
                pool.release(a, keep=5)
                far.sendall(b"x")
                b, far2 = (
                    await take_with_socket(pool, lis)
                    if not is_usable
                    else (await pool.take(addr=a.key[0], replica="i1", cap=4, timeout=SEC), None)
                )
                for s in (far, far2):
                    if s:
                        s.close()
                return b is a
            finally:
                pool.close()

    was = connection_pool.ReplicaStream.is_usable
    try:
        return play(go)
    finally:
        connection_pool.ReplicaStream.is_usable = was


def test_unread_bytes_in_the_kernel_prevent_reuse():
    assert not reuses_with_unread_kernel_bytes()
    assert reuses_with_unread_kernel_bytes(
        is_usable=lambda stream: not stream.has_ended and not stream.received
    )  # planted defect: only bytes that the event loop has read count


def test_a_connection_that_ends_before_the_first_byte_is_stale_not_lost():
    async def go():
        with listener() as lis:
            pool = ConnectionPool()
            a, far = await take_with_socket(pool, lis)
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


def test_a_connection_that_carried_this_attempt_is_not_reused_for_it():
    async def go(pool, take, rep):
        a = await take()
        pool.release(a, keep=5, last=b"x1")
        b = await take(attempt=b"x1")
        assert b is not a and not a.stream.transport.is_closing()
        assert await take(attempt=b"x2") is a
        pool.release(a, keep=5, last=b"x1")
        pool.release(b, keep=5, last=b"x1")
        c = await take(attempt=b"x1", cap=2)  # at the cap: an idle one is closed
        return c not in (a, b) and a.stream.transport.is_closing() != b.stream.transport.is_closing()

    assert run_with_pool(go)


def test_connections_to_a_removed_replica_are_closed():
    async def go(pool, take, rep):
        a, b, c = await take(), await take(), await take("i2")
        pool.release(a, keep=5)
        pool.release(c, keep=5)
        pool.remove_replica("i1")
        assert a.stream.transport.is_closing() and not b.stream.transport.is_closing() and not c.stream.transport.is_closing()
        pool.release(b, keep=5)  # it was in use until now
        return b.stream.transport.is_closing() and set(pool.connections) == {c.key}

    assert run_with_pool(go)


def test_idle_connections_are_bounded_over_all_replicas():
    async def go(pool, take, rep):
        got = [await take(f"i{n}") for n in range(4)]
        for c in got:
            pool.release(c, keep=5)
        return [c.stream.transport.is_closing() for c in got]

    assert run_with_pool(go, max_idle=3) == [False, False, False, True]


def test_a_connect_timeout_is_unsent_and_leaves_no_connection(monkeypatch):
    async def go(pool, take, rep):
        async def never(s, at):
            await asyncio.Event().wait()

        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "sock_connect", never, raising=False)
        with pytest.raises(RequestNotSentError) as e:
            await pool.take(addr=rep.addr, replica="i1", cap=1, timeout=10 * MS)
        return e.value.reason, pool.connections

    assert run_with_pool(go) == ("connect-timeout", {})


def test_a_cancelled_take_leaves_no_connection(monkeypatch):
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

    assert run_with_pool(go) == {}


def test_socket_options_and_local_address_of_a_connection():
    async def go(pool, take, rep):
        c = await take()
        assert 0 < c.stream.connect_s < 1
        s = c.stream.transport.get_extra_info("socket")
        assert s.getsockname()[0] == "127.0.0.2"
        assert s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        return all(s.getsockopt(lv, o) == v for lv, o, v in connection_pool.SOCKET_OPTIONS)

    assert run_with_pool(go, local="127.0.0.2")


# over the whole forwarding path


def responding(*rounds):
    """A replica that answers several requests on a connection; each round is a function from the attempt id to the response."""

    async def script(c):
        for r in rounds:
            *_, i = await c.request()
            await c.say(r(i))
        await c.closed()

    return script


async def ask_twice(c, d, rep, client):
    got = []
    for i in ("a1", "a2"):
        await c.ask(i)
        got.append((await c.answer())[2])
    return got, len(rep.conns)


REUSE_CASES = [
    (answer, 1),
    (lambda i: answer(i, more=("Keep-Alive: timeout=5",)), 1),
    (lambda i: answer(i, more=("Keep-Alive: timeout=0",)), 2),
    (lambda i: answer(i, more=("Connection: close",)), 2),
    (lambda i: stream(i, "data: ok\n\n"), 1),
    (lambda i: answer(i, status="503 Full", more=("Silverglade-Not-Run: 1",)), 1),
    (lambda i: answer(i, status="500 No"), 1),
    (lambda i: answer(i, seal=""), 2),
    (lambda i: answer(i) + "surplus", 2),  # bytes after a complete response
    (lambda i: answer(i) + answer(i), 2),
    (lambda i: answer("old") + answer(i), 1),  # skipped, without an effect on reuse
    (lambda i: answer(i).replace("HTTP/1.1", "HTTP/1.0"), 2),
]


@pytest.mark.parametrize("i", range(len(REUSE_CASES)))
def test_when_a_connection_is_reused_for_a_second_request(i):
    say, conns = REUSE_CASES[i]
    (got, n), d, rep = scene(responding(say, say), ask_twice)
    assert n == conns and len(rep.raw) == 2 and len({f[ID] for _, f, _ in rep.seen}) == 2


def send_late_surplus():
    """Send a second response to the first request while the connection is idle; return the bodies and the number of connections."""

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


def test_a_late_surplus_response_is_not_used_for_the_next_request():
    assert send_late_surplus() == ([b"one", b"two"], 2)


def test_a_connection_closed_before_the_first_byte_loses_no_request():
    async def script(c):
        *_, i = await c.request()
        await c.say(answer(i, "%d" % c.n, more=("Keep-Alive: timeout=9",)))
        if c.n == 0:
            return  # closes although it announced a keep-alive time of 9 s
        await c.closed()

    async def talk(c, d, rep, client):
        got = await ask_twice(c, d, rep, client)
        return got, d.words()

    ((got, n), words), d, rep = scene(script, talk)
    assert got == [b"0", b"1"] and n == 2
    assert words == [(1, "began", 200), (1, "done")] * 2


def test_a_replica_that_resets_new_connections_gets_no_request():
    async def script(c):
        c.reset()

    async def ask(c, d, rep, client):
        await c.ask()
        return (await c.answer())[0]

    status, d, rep = scene(script, ask)
    what = d.words()[-1]
    assert rep.seen == [] and status in (502, 503) and what[1] in ("unsent", "lost")


def test_an_address_that_accepts_or_refuses_a_connection_is_reachable():
    async def go():
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        up = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        pool = connection_pool.ConnectionPool()
        reached = await pool.is_reachable(addr=up, timeout=SEC)
        server.close()
        refused = await pool.is_reachable(addr=up, timeout=SEC)  # nothing listens, but the refusal came from that address
        return reached, refused, pool.connections

    assert asyncio.run(go()) == (True, True, {})


def test_an_address_whose_connection_times_out_is_not_reachable(monkeypatch):
    async def never(**_):
        raise TimeoutError

    monkeypatch.setattr(connection_pool, "connect", never)
    assert asyncio.run(connection_pool.ConnectionPool().is_reachable(addr="127.0.0.1:9", timeout=SEC)) is False
