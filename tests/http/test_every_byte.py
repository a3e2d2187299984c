"""Requests are sent at most once and get only their own responses (docs/control-safety.md 5): connections that end, and surplus
responses, at every byte position."""

import asyncio

import anyio.lowlevel
import pytest

from ..support.scripted_replicas import ID, NOT, SEAL, answer, event, one, scene, stream

PLAIN = answer("a1", "whole body")
REFUSED = answer("a1", "full", status="503 Full", seal="", more=(f"{NOT}: 1", "Retry-After: 0.5"))
MOVED = answer("a1", "", status="421 Misdirected", seal="")
EVENTS = [event(1, "first"), event(2, "second")]
STREAM = stream("a1", *EVENTS)
SURPLUS = answer("old", "late", more=(f"{SEAL}: other",))
ENDS = ("close", "reset")


def end_connection(c, how):
    if how == "reset":
        c.reset()


async def ask_and_read(c, d, rep, client):
    await c.ask(body="x" * 20)
    return await c.answer()


@pytest.mark.parametrize("how", ENDS)
def test_a_request_cut_off_at_any_byte_is_sent_once_and_not_reported_as_not_run(how):
    size, k = 1, 0
    while k <= size:

        async def script(c, k=k):
            c.replica.got = await c.r.readexactly(k)
            end_connection(c, how)

        got, d, rep = scene(script, ask_and_read)
        if not k:
            size = len(request_bytes())
        assert len(rep.conns) == 1, k
        (word,) = d.words()
        assert word[1] == "lost" and got[0] == 502 or k == 0 and word[1] == "unsent", (k, word, got)
        k += 1
    assert k > 100


def request_bytes():
    """Return the bytes of the request as the replica receives it."""

    async def script(c):
        await c.request()

    return scene(script, ask_and_read)[2].raw[0]


def respond_with_prefix(text, k, how):
    async def script(c):
        await c.request()
        await c.say(text[:k])
        end_connection(c, how)

    return script


@pytest.mark.parametrize("how", ENDS)
def test_a_plain_response_that_ends_at_any_byte_is_complete_or_does_not_look_complete(how):
    for k in range(len(PLAIN) + 1):
        got, d, rep = scene(respond_with_prefix(PLAIN, k, how), ask_and_read)
        words = [w[1] for w in d.words()]
        assert len(rep.seen) == 1
        if k == len(PLAIN):
            assert got[0] == 200 and got[2] == b"whole body" and got[3] and words == ["began", "done"]
        else:
            assert got is None or got[0] == 502, (k, got)
            assert words in (["lost"], ["began", "cut"])


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("text, status", [(REFUSED, 503), (MOVED, 421)], ids=["503", "421"])
def test_a_refusal_counts_exactly_from_the_end_of_its_head(text, status, how):
    head = text.index("\r\n\r\n") + 4
    for k in range(len(text) + 1):
        got, d, rep = scene(respond_with_prefix(text, k, how), ask_and_read)
        (word,) = d.words()
        assert len(rep.seen) == 1
        assert word[1:3] == ("not-run", status) if k >= head else word[1] == "lost" and got[0] == 502, (k, word)


@pytest.mark.parametrize("how", ENDS)
def test_a_stream_that_ends_at_any_byte_has_complete_events_and_does_not_look_complete(how):
    for k in range(len(STREAM) + 1):
        got, d, rep = scene(respond_with_prefix(STREAM, k, how), ask_and_read)
        whole = k >= len(STREAM)
        assert len(rep.seen) == 1
        if got is not None and got[0] == 200:
            assert got[2].decode() in ("", EVENTS[0], "".join(EVENTS)), (k, got)
            assert got[3] == whole, k
        else:
            assert not whole and (got is None or got[0] == 502)
        assert (d.words()[-1][1] == "done") == whole


def respond_with_surplus(i, j):
    """Send a surplus response in three pieces: with the first response, while the connection is idle, and before the second response."""

    async def script(c):
        *_, first = await c.request()
        if c.n:  # a new connection, without a surplus response
            await c.say(answer(first, "two"))
            return await c.closed()
        await c.say(answer(first, "one") + SURPLUS[:i])
        await c.replica.idle.wait()
        if i < j:
            await c.say(SURPLUS[i:j])
        c.replica.told.set()
        *_, second = await c.request()
        await c.say(SURPLUS[j:])
        if (i + j) % 2 == 0:  # in a separate packet that is read before the response arrives
            for _ in range(9):
                await anyio.lowlevel.checkpoint()
        await c.say(answer(second, "two"))
        await c.closed()

    async def talk(c, d, rep, client):
        rep.idle, rep.told = asyncio.Event(), asyncio.Event()
        await c.ask("a1")
        got = [await c.answer()]
        rep.idle.set()
        if i < j:
            await rep.told.wait()
        await c.ask("a2")
        got.append(await c.answer())
        return [(g[0], g[2]) for g in got]

    return scene(script, talk)


def test_a_surplus_response_at_any_position_answers_no_request():
    n = len(SURPLUS)
    places = {(0, j) for j in range(n + 1)} | {(i, i) for i in range(n + 1)} | {(i, n) for i in range(n + 1)}
    for i, j in sorted(places):
        got, d, rep = respond_with_surplus(i, j)
        assert got[0] == (200, b"one"), (i, j, got)
        assert got[1] == (200, b"two") or got[1][0] == 502 and b"late" not in got[1][1], (i, j, got)
        assert [f[ID] for _, f, _ in rep.seen].count("a2") == 1 and not rep.rest, (i, j)  # never sent twice


@pytest.mark.parametrize("at", range(0, len(PLAIN) + 1, 3))
def test_a_response_with_a_corrupted_byte_is_not_taken_for_the_original(at):
    async def script(c):
        await c.request()
        await c.say(PLAIN[:at] + "\x00" + PLAIN[at + 1 :])

    got, d, rep = scene(script, ask_and_read)
    assert len(rep.seen) == 1
    head = PLAIN.index("\r\n\r\n") + 4
    if got is not None and got[0] == 200:  # in the body, in a header name without effect, or in the seal: the client can detect it
        assert got[2] != b"whole body" or "\x00" not in got[1].get(SEAL, "") or at < head
    else:
        assert got is None or got[0] == 502


def test_the_response_of_a_disconnected_client_reaches_no_other_client():
    """A client disconnects during its request, and another client sends one; tried after each seventh byte of the response."""
    for k in range(0, len(PLAIN), 7):

        async def script(c, k=k):
            *_, i = await c.request()
            text = answer(i, f"for {i}")
            if i == "a1":
                await c.say(text[:k])
                c.replica.part.set()
                await c.replica.go.wait()
                await c.say(text[k:])
            else:
                await c.say(text)
            await c.closed()

        async def talk(c, d, rep, client):
            rep.part, rep.go = asyncio.Event(), asyncio.Event()
            await c.ask("a1")
            await rep.part.wait()
            c.close()
            other = await client()
            await other.ask("a2")
            rep.go.set()
            got = await other.answer()
            await d.heard("gone")
            return got[0], got[2], d.words()

        (status, body, words), d, rep = scene(script, talk)
        assert (status, body) == (200, b"for a2"), k
        assert [f[ID] for _, f, _ in rep.seen] == ["a1", "a2"] and len(rep.conns) == 2
        assert d.forwarder.requests == {} and words.count((1, "gone")) == 1


def test_another_replica_at_the_same_address_gets_its_own_connection():
    async def script(c):
        while True:
            _, h, _, i = await c.request()
            meant = h["silverglade-replica"] == ("i1" if c.n == 0 else "i2")
            await c.say(answer(i, f"{c.n}") if meant else answer(i, "", status="421 Misdirected", seal=""))

    def part(addr):
        def feed(ev):
            if ev[0] == "request":
                return (("try", ev[1], 1, one(addr[0], replica="i1" if ev[2]["attempt"] == "a1" else "i2")),)

        return feed

    async def talk(c, d, rep, client):
        got = []
        for i in ("a1", "a2"):
            await c.ask(i)
            got.append((await c.answer())[2])
        return got

    got, d, rep = scene(script, talk, part=part)
    assert got == [b"0", b"1"]


def test_a_machine_that_failed_and_came_back_is_reached_on_a_new_connection():
    """The daemon has not seen its old connections end; data written on them is reset. After the restart, it answers 421 on a new one."""

    async def script(c):
        *_, i = await c.request()
        if c.n == 0:
            await c.say(answer(i, "one", more=("Keep-Alive: timeout=9",)))
            await c.r.readexactly(1)
            return c.reset()
        await c.say(answer(i, "", status="421 Misdirected", seal=""))
        await c.closed()

    async def talk(c, d, rep, client):
        await c.ask("a1")
        await c.answer()
        if renewed:
            d.forwarder.carry_out(("renew", "i1"))
        await c.ask("a2")
        return (await c.answer())[0], d.words()[-1][1:3]

    renewed = False
    assert scene(script, talk)[0] == (502, ("lost", "ReadError"))
    renewed = True
    assert scene(script, talk)[0] == (421, ("not-run", 421))


def test_an_exception_after_a_response_does_not_affect_the_next_request():
    """Reporting the end of the first request to the router fails while the second one, on the same connection, is in progress."""

    async def script(c):
        for _ in range(2):
            *_, i = await c.request()
            await c.say(answer(i, f"for {i}"))
        await c.closed()

    async def talk(c, d, rep, client):
        real, fell = d.send, []

        async def send(event, queue="first"):
            if event.outcome == "done" and not fell:
                fell.append(event)
                raise RuntimeError("no room")
            await real(event, queue)

        d.send = send
        await c.ask("a1")
        await c.ask("a2")
        return [(await c.answer() or (0, 0, b"nothing"))[2] for _ in range(2)], len(fell)

    (got, fell), d, rep = scene(script, talk)
    assert got == [b"for a1", b"for a2"] and fell == 1
