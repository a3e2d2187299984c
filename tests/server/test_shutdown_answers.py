"""The last moment of a daemon that leaves (design 15.9), over real sockets: an answer, not a cut, for what has begun nothing."""

import asyncio

import pytest

from silverglade.runtime.effects import AnswerClient, StartAttempt
from silverglade.server.client_request import RequestEnd

from ..http.test_forwarding import says
from ..support.scripted_replicas import answer, event, one, scene, stream


async def conclude_after(c, d, word):
    """Ask, wait until the part was told `word` (None: not at all), conclude, and read what comes."""
    d.draining = True
    await c.ask()
    while not d.forwarder.requests:
        await d.news.wait()
    if word:
        await d.heard(word)
    d.forwarder.answer_before_shutdown()
    return await c.answer(), await c.closed()


def test_a_request_that_no_replica_has_is_told_to_go_elsewhere():
    async def talk(c, d, rep, client):
        return await conclude_after(c, d, None)

    (got, closed), d, rep = scene(says(answer("a1")), talk, part=lambda addr: lambda ev: ())
    status, headers, body, whole = got
    assert (status, whole, closed, headers["connection"]) == (503, True, True, "close")
    assert float(headers["retry-after"]) > 0 and b"811" in body and rep.conns == []


def test_a_request_that_a_replica_has_is_answered_without_a_promise():
    async def script(c):
        await c.request()
        c.replica.at_work.set()
        await c.closed()

    async def talk(c, d, rep, client):
        rep.at_work = asyncio.Event()
        d.draining = True
        await c.ask()
        await rep.at_work.wait()
        d.forwarder.answer_before_shutdown()
        return await c.answer(), await c.closed()

    (got, closed), d, _ = scene(script, talk)
    assert (got[0], got[3], closed, got[1]["connection"]) == (502, True, True, "close") and d.words() == [(1, "gone")]


def test_a_stream_that_has_begun_is_not_touched():
    async def script(c):
        await c.request()
        await c.say(stream("a1", event(1), last=False))
        await c.replica.go_on.wait()
        await c.say(f"{len(event(2)):x}\r\n{event(2)}\r\n0\r\n\r\n")

    async def talk(c, d, rep, client):
        rep.go_on = asyncio.Event()
        await c.ask()
        await d.heard("first")
        d.forwarder.answer_before_shutdown()
        rep.go_on.set()
        return await c.answer()

    got, d, _ = scene(script, talk)
    assert got[2] == (event(1) + event(2)).encode() and got[3]


@pytest.mark.parametrize("end, status", [(RequestEnd.SHUTDOWN, 503), (AnswerClient("r1", 503, 0.1, 811), 503)])
def test_an_attempt_that_has_not_begun_does_not_run_once_its_request_is_over(end, status):
    """Guards against a request that runs although it was given up in the turn of the loop in which it was sent on."""

    async def script(c):
        await c.request()
        await c.closed()

    def part(addr):
        return lambda event: ()

    async def talk(c, d, rep, client):
        d.draining = True
        await c.ask()
        while not d.forwarder.requests:
            await d.news.wait()
        [request] = d.forwarder.requests.values()
        request.put(StartAttempt(request.request_id, 1, one(rep.addr)))
        request.put(end)
        return await c.answer()

    got, d, rep = scene(script, talk, part=part)
    assert (got[0], got[3]) == (status, True) and rep.seen == []


def test_an_attempt_does_not_begin_for_a_client_that_left_in_the_same_turn_of_the_loop():
    """Guards against a request that reaches a replica after its client has gone (GONE), and runs there to its end."""

    async def script(c):
        await c.request()
        await c.closed()

    async def talk(c, d, rep, client):
        await c.ask()
        while not d.forwarder.requests:
            await d.news.wait()
        [request] = d.forwarder.requests.values()
        request.put(StartAttempt(request.request_id, 1, one(rep.addr)))
        request.put(RequestEnd.CLIENT_DISCONNECTED)
        await d.heard("gone")

    _, d, rep = scene(script, talk, part=lambda addr: lambda event: ())
    assert rep.seen == [] and d.words() == [(0, "gone")] and d.forwarder.requests == {}
