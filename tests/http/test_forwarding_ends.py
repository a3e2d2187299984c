"""How forwarded requests end (design 15.3): by the client, the router or the daemon, over real sockets."""

import asyncio
import random
from datetime import timedelta
from types import SimpleNamespace

from silverglade.http import connection_pool
from silverglade.http.dialect import DEFAULT_DIALECT
from silverglade.server import attempt_runner, request_forwarding
from silverglade.server import response_timeouts as silence

from ..support.router_bench import RouterBench, endpoint, route
from ..support.scripted_replicas import ID, NOT, SEAL, Daemon, answer, chunk, event, front, one, play, replica, scene, stream
from .test_event_stream import complete_events, random_pieces, random_stream
from .test_forwarding import ask, replica_asked, says


def resumed_after(request):
    """The id of the event after which a replica was asked to resume, or None."""
    _, fields, _, _ = request
    return fields.get(DEFAULT_DIALECT.last_event.decode())


def retrying_router(addr):
    """A router that starts a second attempt no matter what has been forwarded to the client."""

    def feed(ev):
        match ev:
            case ("request", rid, _):
                return (("try", rid, 1, one(addr[0])),)
            case ("tried", rid, 1, ("cut" | "failed"), *_):
                return (("try", rid, 2, one(addr[0])), ("pass", rid, 1))

    return feed


def test_nothing_is_appended_to_a_partial_plain_response():
    body = "x" * (attempt_runner.MAX_HELD_BYTES + 70000)
    got, d, rep = scene(says(answer("a1", body)[:-1]), ask, part=retrying_router)
    assert len(got[2]) < len(body) and not got[3] and len(rep.raw) == 1 and d.words()[-1] == (2, "gone")


def test_a_held_response_of_another_attempt_is_not_forwarded():
    async def script(c):
        await c.request()
        if c.n:
            return c.reset()
        await c.say(answer("a1", "first", status="500 No", more=("Connection: close",)))

    async def talk(c, d, rep, client):
        await c.ask()
        await d.heard("lost")
        for rid in list(d.forwarder.requests):
            d.forwarder.carry_out(("pass", rid, 1))
        return await c.answer()

    def part(addr):
        return lambda ev: retrying_router(addr)(ev)[:1] if ev[:1] == ("request",) or ev[3:4] == ("failed",) else ()

    got, d, rep = scene(script, talk, part=part)
    assert got[0] == 502 and b"first" not in got[2]


def test_a_disconnect_ends_a_request_with_or_without_an_attempt():
    async def script(c):
        await c.request()
        await c.closed()

    async def talk(c, d, rep, client):
        await c.ask()
        await replica_asked(rep)
        c.close()
        await d.heard("gone")
        await rep.conns[0].over.wait()

    _, d, rep = scene(script, talk)
    assert d.words() == [(1, "gone")] and d.forwarder.requests == {} and d.buffered_body_bytes == 0

    async def waits(c, d, rep, client):
        await c.ask()
        while not d.told:
            await d.news.wait()
        c.close()
        await d.heard("gone")

    _, d, rep = scene(script, waits, part=lambda addr: lambda ev: ())
    assert d.words() == [(0, "gone")] and d.forwarder.requests == {}


def test_a_cancelled_attempt_ends_and_the_next_one_runs():
    async def script(c):
        await c.request()
        if c.n == 0:
            c.replica.first = c
            return await c.closed()
        await c.say(answer("a1", "second"))

    def part(addr):
        def feed(ev):
            match ev:
                case ("request", rid, _):
                    return (("try", rid, 1, one(addr[0])),)

        return feed

    async def talk(c, d, rep, client):
        await c.ask()
        await replica_asked(rep)
        (rid,) = d.forwarder.requests
        d.forwarder.carry_out(("drop", rid, 1))
        await rep.first.over.wait()
        d.forwarder.carry_out(("try", rid, 2, one(rep.addr)))
        return await c.answer()

    got, d, rep = scene(script, talk, part=part)
    assert got[2] == b"second" and d.words() == [(2, "began", 200), (2, "done")]


def test_the_daemons_own_error_responses_and_a_502_for_a_break_before_any_head():
    def part(addr, e):
        return lambda ev: ((e[0], ev[1], *e[1:]),) if ev[0] == "request" else ()

    got, d, rep = scene(says(), ask, part=part, e=("answer", 404, None, 507))
    assert got[0] == 404 and b"507" in got[2] and "retry-after" not in got[1]
    got, d, rep = scene(says(), ask, part=part, e=("break",))
    assert got[0] == 502 and got[3] and rep.conns == []


def test_overload_and_a_deadline_that_the_router_misses_end_in_an_error(monkeypatch):
    async def full(c, d, rep, client):
        d.full = True
        await c.ask()
        return await c.answer()

    got, d, _ = scene(says(), full)
    assert got[0] == 503 and "retry-after" in got[1] and d.told == []
    monkeypatch.setattr(request_forwarding, "DEADLINE_MARGIN", connection_pool.SECOND / 100)

    async def forgot(c, d, rep, client):
        await c.ask(more=("Silverglade-Due: 10",))
        return await c.answer()

    got, d, _ = scene(says(), forgot, part=lambda addr: lambda ev: ())
    assert got[0] == 503 and d.words() == [(0, "gone")]
    got, d, _ = scene(says(close=False), forgot, deadline_ms=20)
    assert got[0] == 502 and d.words() == [(1, "gone")]


def test_responses_of_a_draining_daemon_close_the_connection():
    async def talk(c, d, rep, client):
        d.draining = True
        await c.ask()
        got = await c.answer()
        return got, await c.closed()

    (got, closed), d, _ = scene(says(answer("a1")), talk)
    assert got[0] == 200 and got[1]["connection"] == "close" and closed


def test_a_client_that_does_not_read_stops_the_replica():
    big = event(1, "y" * 16000)

    async def script(c):
        await c.request()
        await c.say(stream("a1", last=False))
        try:
            for c.sent in range(4000):  # 64 MB
                await asyncio.wait_for(c.say(chunk(big)), 0.5)
        except asyncio.TimeoutError:
            held.set()
        await c.closed()

    async def talk(c, d, rep, client):
        c.w.transport.pause_reading()
        await c.ask()
        await held.wait()
        return rep.conns[0].sent

    held = asyncio.Event()
    sent, d, rep = scene(script, talk)
    assert sent < 2000


def test_events_received_together_are_sent_together():
    got, d, _ = scene(says(stream("a1", *[event(n) for n in range(9)])), raw_body)
    assert got == chunk("".join(event(n) for n in range(9))) + "0\r\n\r\n"


async def raw_body(c, d, rep, client):
    await c.ask()
    await c.head()
    return (await c.r.readuntil(b"0\r\n\r\n")).decode()


def test_streams_split_at_random_arrive_complete_or_end_between_events():
    rng = random.Random(7)
    for _ in range(60):
        raw = random_stream(rng) or b"\n"
        pieces, ended = random_pieces(rng, raw), rng.random() < 0.7

        async def script(c, pieces=pieces, ended=ended):
            await c.request()
            await c.say(stream("a1", last=False))
            for p in pieces:
                await c.say(b"%x\r\n%s\r\n" % (len(p), p))
                await asyncio.sleep(0)
            await c.say("0\r\n\r\n" if ended else "")

        got, d, _ = scene(script, ask)
        assert got is not None
        if got[0] == 502:  # broken before anything was forwarded
            assert complete_events(raw) == b"" and got[3]
            continue
        assert got[2] == complete_events(raw) and got[3] == (ended and complete_events(raw) == raw)


SHORT = timedelta(milliseconds=30)


def router_that_retries_silence(addr, **kw):
    """A router that starts a second attempt when a replica is silent."""

    def feed(ev):
        match ev:
            case ("request", rid, _):
                return (("try", rid, 1, one(addr[0], **kw)),)
            case ("tried", rid, 1, "silent", last):
                return (("try", rid, 2, one(addr[0], resume=last is not None, last_event=last)),)

    return feed


def test_a_silent_stream_is_reported_with_its_last_event_and_resumes_elsewhere():
    async def script(c):
        await c.request()
        if c.n == 0:
            await c.say(stream("a1", event(1), event(2), last=False))
            return await c.closed()
        await c.say(stream("a1", event(2), event(3)))

    got, d, rep = scene(script, ask, part=lambda addr: router_that_retries_silence(addr, patience=60 * SHORT, pause=SHORT))
    assert got[2] == (event(1) + event(2) + event(3)).encode() and got[3]
    assert (1, "silent", "2") in d.words() and b"last-event-id: 2" in rep.raw[1].lower()


def test_silence_before_the_head_is_reported():
    async def script(c):
        await c.request()
        if c.n == 0:
            return await c.closed()
        await c.say(answer("a1", "late"))

    got, d, _ = scene(script, ask, part=lambda addr: router_that_retries_silence(addr, patience=SHORT))
    assert got[0] == 200 and (1, "silent", None) in d.words()


class FakeRequest(SimpleNamespace):
    __hash__ = object.__hash__


def test_silence_is_reported_only_on_request_and_only_of_a_replica_silent_on_all_connections(monkeypatch):
    async def go():
        d = Daemon(lambda ev: ())
        now = [100.0]
        monkeypatch.setattr(silence.time, "monotonic", lambda: now[0])

        def row(patience, *, pause=None, started=False):
            request = FakeRequest(request_id="r1", is_response_started=started, last_event_id=None)
            stream = SimpleNamespace(received_at=0.0, replica_activity=activity)
            d.forwarder.attempts.silence.begin(request, 1, SimpleNamespace(patience=patience, pause=pause), SimpleNamespace(stream=stream))
            return request

        activity = connection_pool.ReplicaActivity()
        quiet, other = row(SHORT), row(None)
        stream = row(SHORT * 100, pause=SHORT, started=True)
        assert quiet in d.forwarder.attempts.silence.watched_attempts and other not in d.forwarder.attempts.silence.watched_attempts
        now[0] += 0.02
        d.forwarder.attempts.silence.check()
        assert not d.forwarder.attempts.silence.reports  # not long enough
        now[0], activity.received_at = 100.1, 100.09
        d.forwarder.attempts.silence.check()
        assert not d.forwarder.attempts.silence.reports  # bytes came on another connection
        now[0] = 100.2
        d.forwarder.attempts.silence.check()
        assert len(d.forwarder.attempts.silence.reports) == 2  # the silent request, and the stream by its own time-out
        d.forwarder.attempts.silence.check()
        assert len(d.forwarder.attempts.silence.reports) == 2  # reported once until the same time has passed again
        await asyncio.gather(*d.forwarder.attempts.silence.reports)
        del d.forwarder.attempts.silence.watched_attempts[quiet], d.forwarder.attempts.silence.watched_attempts[stream]
        d.forwarder.attempts.silence.timer.cancel()
        assert [e[3] for e in d.told] == ["silent", "silent"]

    asyncio.run(go())


def test_a_request_that_names_no_deadline_ends_at_its_routes():
    """Guards against a request without its own deadline that a silent replica holds for a minute after the route's deadline."""

    async def talk(c, d, rep, client):
        await c.ask()
        return await c.answer()

    got, d, _ = scene(says(close=False), talk, deadline_ms=100)
    assert got[0] == 502 and d.words() == [(1, "gone")]


def test_a_stream_of_which_nothing_was_sent_ends_with_an_answer():
    """Guards against a client whose connection is closed without any answer, as the replica's stream broke off before its first event."""
    head = f"HTTP/1.1 200 OK\r\n{ID}: a1\r\n{SEAL}: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    for sent in (head, head + chunk(event(1)[:5])):
        got, d, _ = scene(says(sent), ask)
        assert d.words() == [(1, "began", 200), (1, "cut", None)]
        assert got is not None and got[0] == 502 and got[3], got
        assert d.logger.informed == []


def test_a_stream_that_left_a_silent_replica_and_was_refused_elsewhere_goes_on_there():
    """Guards against a stream that is cut although its replica was only slow: it was left, and no other replica took the stream."""

    async def slow(c):
        request = await c.request()
        if resumed_after(request) is None:
            await c.say(stream("a1", event(1), event(2), last=False))
            await c.closed()
        elif resumed_after(request) == "2":
            await c.say(stream("a1", event(3), event(4)))

    async def full(c):
        await c.request()
        await c.say(answer("a1", "full", status="503 Full", more=(f"{NOT}: 1",)))

    async def go():
        async with replica(slow) as first, replica(full) as second:
            bench = RouterBench(
                route(host="h.example", kind="streaming", resumable=True, tries=2, gap_ms=600, aim_ms=300),
                replicas=(endpoint("1", address=first.addr), endpoint("2", address=second.addr)),
            )
            bench.feed("loads", {"2": (3, 0, 8)})  # so that the first one is chosen
            async with front(bench.part()) as (d, client):
                c = await client()
                await c.ask(path="/r/x", more=(f"{DEFAULT_DIALECT.deadline.decode()}: 5000",))
                return await c.answer(), d.words()

    got, words = play(go)
    assert [what[:2] for what in words][:4] == [(1, "began"), (1, "first"), (1, "silent"), (2, "not-run")]
    assert got[0] == 200 and got[3] and got[2].decode() == "".join(event(n) for n in (1, 2, 3, 4))
