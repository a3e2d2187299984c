"""End of a shutdown (design 15.9), over real sockets: requests whose response has not started are answered rather than broken off."""

import asyncio

import pytest

from silverglade.runtime.effects import AnswerClient, StartAttempt
from silverglade.server.client_request import RequestEnd

from ..http.test_forwarding import says
from ..support.scripted_replicas import answer, event, one, scene, stream


async def answer_before_shutdown_after(c, d, word):
    """Send a request, wait for the outcome `word` unless it is None, and call `answer_before_shutdown`.

    Return the response and whether the connection was closed.
    """
    d.draining = True
    await c.ask()
    while not d.forwarder.requests:
        await d.news.wait()
    if word:
        await d.heard(word)
    d.forwarder.answer_before_shutdown()
    return await c.answer(), await c.closed()


def test_a_request_not_yet_sent_to_a_replica_may_be_retried_elsewhere():
    async def talk(c, d, rep, client):
        return await answer_before_shutdown_after(c, d, None)

    (got, closed), d, rep = scene(says(answer("a1")), talk, part=lambda addr: lambda ev: ())
    status, headers, body, whole = got
    assert (status, whole, closed, headers["connection"]) == (503, True, True, "close")
    assert float(headers["retry-after"]) > 0 and b"811" in body and rep.conns == []


def test_a_request_sent_to_a_replica_is_answered_as_possibly_run():
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


def test_a_started_stream_is_not_interrupted():
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
    """Guards against a request that runs although it was ended in the same iteration of the event loop in which its attempt was queued."""

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
    """Guards against a request that reaches a replica after its client has disconnected (GONE), and runs there to its end."""

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
