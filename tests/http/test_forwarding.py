"""I/O of forwarded requests (design 15): the outcome of one attempt, over real sockets."""

import asyncio

import pytest

from silverglade.server import attempt_runner

from ..support.scripted_replicas import ID, NOT, SEAL, answer, chunk, event, one, scene, stream


async def ask(c, d, rep, client):
    await c.ask()
    return await c.answer()


def says(*parts, close=True, wait=None):
    """A replica that reads one request and sends these bytes, then closes or waits."""

    async def script(c):
        await c.request()
        await c.say(*parts)
        if not close:
            await c.closed()

    return script


def test_a_plain_response_is_forwarded_with_its_status_headers_and_seal():
    got, d, rep = scene(says(answer("a1", "body", more=("X-Kind: y", "Keep-Alive: timeout=5", "Connection: x-hop", "X-Hop: 1"))), ask)
    status, h, body, whole = got
    assert (status, body, whole, h["x-kind"], h[SEAL], h[ID]) == (200, b"body", True, "y", "s", "a1")
    assert not {"keep-alive", "connection", "x-hop", "date", "server"} & set(h)
    assert d.words() == [(1, "began", 200), (1, "done")] and d.forwarder.requests == {} and d.buffered_body_bytes == 0


def test_a_request_is_forwarded_unchanged_except_for_hop_by_hop_headers():
    async def talk(c, d, rep, client):
        await c.ask(
            "a7",
            "/a//b/%2e%2E/%41?x=%20&&y=?",
            method="PURGE",
            body="h\r\n\0i",
            more=(
                "Connection: keep-alive, X-Mine",
                "X-Mine: 1",
                "TE: trailers",
                "Upgrade: x",
                "Proxy-Authorization: z",
                "Keep-Alive: timeout=1",
                "X-Kept: ä".encode().decode("latin-1"),
                "Expect: 100-continue",
                "Silverglade-Due: 9000",
            ),
        )
        await c.answer()
        await c.ask("a8", "/q?", method="GET", body="")
        await c.answer()

    async def script(c):
        while True:
            *_, i = await c.request()
            await c.say(answer(i))

    _, d, rep = scene(script, talk, urgency=3, deadline_ms=4321)
    (first, h, body), (second, h2, _) = rep.seen
    assert first == "PURGE /a//b/%2e%2E/%41?x=%20&&y=? HTTP/1.1" and body == b"h\r\n\0i"
    assert h == {
        "host": "h.example:80",
        ID: "a7",
        "content-length": "5",
        "x-kept": "ä".encode().decode("latin-1"),
        "silverglade-due": h["silverglade-due"],
        "silverglade-replica": "i1",
        "silverglade-urgency": "3",
    }
    assert 4000 < int(h["silverglade-due"]) <= 4321  # the time left when it is sent
    assert second == "GET /q? HTTP/1.1" and len(rep.conns) == 1
    facts = d.told[0][2]
    assert (facts["host"], facts["path"], facts["method"], facts["attempt"], facts["deadline_ms"], facts["size"]) == (
        "h.example",
        "/a//b/%2e%2E/%41",
        "PURGE",
        "a7",
        9000,
        5,
    )


def test_facts_of_a_request_that_the_router_gets():
    async def talk(c, d, rep, client):
        await c.ask(
            more=("Silverglade-Parts: 5c1e07a2:800,91bd:41", "Silverglade-Tokens: 1460,80", "Silverglade-Model: m", "Last-Event-Id: 12")
        )
        await c.answer()

    _, d, rep = scene(says(answer("a1")), talk, last_event="14")
    f = d.told[0][2]
    assert (f["prefix"], f["tokens"], f["model"], f["last_event"]) == ((("5c1e07a2", 800), ("91bd", 41)), (1460, 80), "m", "12")
    assert rep.seen[0][1]["last-event-id"] == "14"


def test_a_chunked_request_is_forwarded_with_its_length():
    async def talk(c, d, rep, client):
        await c.say(f"POST /p HTTP/1.1\r\nHost: h\r\n{ID}: a1\r\nTransfer-Encoding: chunked\r\n\r\n")
        for s in ("ab", "c" * 300, "d"):
            await c.say(chunk(s))
        await c.say("0\r\n\r\n")
        return await c.answer()

    got, d, rep = scene(says(answer("a1")), talk)
    assert got[0] == 200 and rep.seen[0][2] == b"ab" + b"c" * 300 + b"d"
    assert rep.seen[0][1]["content-length"] == "303" and "transfer-encoding" not in rep.seen[0][1]


OTHER = answer("old", "stale")
RESPONSE_CASES = [
    (says(answer("a1", "no", status="500 Oops")), [(1, "failed", 500)], (500, b"no")),
    (says(answer("a1", "no", status="500 Oops", seal="")), [(1, "failed", 500)], (500, b"no")),
    (says(answer("a1", "full", status="503 Full", more=(f"{NOT}: 1", "Retry-After: 0.75"))), [(1, "not-run", 503, 0.75)], (503, b"full")),
    (says(answer("a1", "", status="421 Misdirected")), [(1, "not-run", 421, None)], (421, b"")),
    (says(answer("a1", "no", status="503 Full")), [(1, "failed", 503)], (503, b"no")),  # without the not-run header
    (says(answer("a1", seal="")), [(1, "lost", "no-seal")], (502,)),
    (says(answer("a1", more=(f"{NOT}: 1",))), [(1, "lost", "no-seal")], (502,)),  # both run and not run
    (says(f"HTTP/1.1 200 OK\r\n{SEAL}: s\r\nContent-Length: 2\r\n\r\nok"), [(1, "lost", "not-ours")], (502,)),
    (says(f"HTTP/1.1 200 OK\r\n{ID}: a1\r\n{SEAL}: s\r\n\r\nok"), [(1, "lost", "no-length")], (502,)),
    (says(OTHER), [(1, "lost", "RemoteProtocolError")], (502,)),  # the response of this attempt never arrives
    (says("garbage\r\n\r\n"), [(1, "lost", "RemoteProtocolError")], (502,)),
    (says("HTTP/1.1 200 O"), [(1, "lost", "RemoteProtocolError")], (502,)),
    (says("HTTP/1.1 999 Strange\r\nContent-Length: 0\r\n", f"{ID}: a1\r\n\r\n"), [(1, "lost", "status")], (502,)),
    (says(answer("a1", "body")[:-1]), [(1, "began", 200), (1, "cut", None)], None),
    (
        says(f"HTTP/1.1 200 OK\r\n{ID}: a1\r\n{SEAL}: s\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("ab")),
        [(1, "began", 200), (1, "cut", None)],
        None,
    ),
    (
        says(f"HTTP/1.1 200 OK\r\n{ID}: a1\r\n{SEAL}: s\r\nTransfer-Encoding: chunked\r\n\r\n", chunk("ab"), "zz\r\n"),
        [(1, "began", 200), (1, "cut", None)],
        None,
    ),
    (says(answer("a1", "no!!", status="500 Oops")[:-1]), [(1, "lost", "cut")], (502,)),
    (
        says("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", answer("a1")),
        [(1, "began", 200), (1, "done")],
        (200, b"ok"),
    ),
    (
        says(OTHER, answer("a1"), close=False),
        [(1, "began", 200), (1, "done")],
        (200, b"ok"),
    ),  # skipped; the response of this attempt follows
    (says(OTHER, OTHER, answer("a1"), close=False), [(1, "began", 200), (1, "done")], (200, b"ok")),
    (says(*[OTHER] * attempt_runner.MAX_RESPONSES_READ, answer("a1"), close=False), [(1, "lost", "not-ours")], (502,)),
    (says(OTHER[:-1]), [(1, "lost", "not-ours")], (502,)),
    (says(answer("old", status="503 Full", more=(f"{NOT}: 1",)), answer("a1")), [(1, "began", 200), (1, "done")], (200, b"ok")),
    (says(f"HTTP/1.1 204 Gone\r\n{ID}: a1\r\n{SEAL}: s\r\n\r\n"), [(1, "began", 204), (1, "done")], (204, b"")),
]


@pytest.mark.parametrize("i", range(len(RESPONSE_CASES)))
def test_outcome_of_a_response(i):
    script, words, want = RESPONSE_CASES[i]
    got, d, rep = scene(script, ask)
    assert d.words() == words
    if want:
        assert (got[0], got[2])[: len(want)] == want and got[3]
    assert len(rep.raw) == 1 and rep.rest == b""  # never sent twice
    assert d.logger.said == []
    is_cut = got is None or not got[3]
    assert ["event=response-cut" in line for line in d.logger.informed] == [True] * is_cut


def test_a_reset_after_the_request_was_read_is_lost_and_a_closed_port_is_unsent():
    async def script(c):
        await c.request()
        c.reset()

    got, d, _ = scene(script, ask)
    assert d.words() == [(1, "lost", "ReadError")] and got[0] == 502

    async def dead(c, d, rep, client):
        addr[0] = "127.0.0.1:1"
        return await ask(c, d, rep, client)

    addr = []

    def part(at):
        addr[:] = at
        from ..support.scripted_replicas import simple

        return simple(addr)

    got, d, rep = scene(says(), dead, part=part)
    assert d.words() == [(1, "unsent", "refused")] and (got[0], got[1]["retry-after"]) == (503, "0.25") and rep.seen == []


def test_no_request_is_sent_beyond_the_connection_cap():
    async def script(c):
        await c.request()
        await c.closed()

    async def talk(c, d, rep, client):
        await c.ask()
        while not rep.seen:
            await asyncio.wait_for(replica_asked(rep), 5)
        e = await client()
        await e.ask("a2")
        return await e.answer()

    got, d, rep = scene(script, talk, cap=1)
    assert got[0] == 503 and (1, "unsent", "pool-full") in d.words() and len(rep.conns) == 1


async def replica_asked(rep):
    while not rep.conns:
        await asyncio.sleep(0)
    await rep.conns[0].asked.wait()


def test_a_stream_is_forwarded_event_by_event():
    async def script(c):
        await c.request()
        await c.say(stream("a1", event(1), last=False))
        await go.wait()
        await c.say(chunk(event(2)[:7]), chunk(event(2)[7:] + event(3)))
        await end.wait()
        await c.say("0\r\n\r\n")
        await c.closed()

    async def talk(c, d, rep, client):
        await c.ask()
        status, h = await c.head()
        got = [await c.r.readuntil(b"\n\n")]
        go.set()
        got.append(await c.r.readuntil(b"data: x\n\nid: 3\ndata: x\n\n"))
        end.set()
        rest = await c.r.readuntil(b"0\r\n\r\n")
        return status, h, got, rest

    go, end = asyncio.Event(), asyncio.Event()
    (status, h, got, rest), d, _ = scene(script, talk)
    assert status == 200 and h["content-type"] == "text/event-stream" and h[SEAL] == "s"
    assert got[1].endswith((event(2) + event(3)).encode()) and rest == b"\r\n0\r\n\r\n"
    assert d.words() == [(1, "began", 200), (1, "first"), (1, "done")]


BROKEN_STREAM_CASES = [
    (says(stream("a1", event(1), event(2), event(3)[:5], last=False)), [(1, "cut", "2")], event(1) + event(2)),
    (says(stream("a1", event(1), event(2), event(3)[:5])), [(1, "cut", "2")], event(1) + event(2)),  # ended within an event
    (says(stream("a1", event(1), last=False)), [(1, "cut", "1")], event(1)),
    (says(stream("a1", event(1), last=False), "zz\r\n"), [(1, "cut", "1")], event(1)),
    (says(stream("a1", event(1), last=False), chunk(event(2))[:-9]), [(1, "cut", "1")], event(1)),
]


@pytest.mark.parametrize("i", range(len(BROKEN_STREAM_CASES)))
def test_a_broken_stream_has_complete_events_only_and_does_not_look_complete(i):
    script, words, body = BROKEN_STREAM_CASES[i]
    got, d, rep = scene(script, ask)
    assert d.words() == [(1, "began", 200), (1, "first"), *words]
    assert got[0] == 200 and got[2] == body.encode() and not got[3]


def test_a_stream_with_a_length_is_forwarded_in_chunks():
    body = event(1) + event(2)
    got, d, _ = scene(says(answer("a1", body, more=("Content-Type: text/event-stream; charset=utf-8",))), ask)
    assert got[2] == body.encode() and got[3] and "content-length" not in got[1]
    got, d, _ = scene(says(answer("a1", body, more=("Content-Type: text/event-stream",))[:-1]), ask)
    assert got[2] == event(1).encode() and not got[3] and d.words()[-1] == (1, "cut", "1")


def resuming_router(more):
    def part(addr, **kw):
        def feed(ev):
            match ev:
                case ("request", rid, _):
                    return (("try", rid, 1, one(addr[0])),)
                case ("tried", rid, 1, "cut", last):
                    return (("try", rid, 2, one(addr[0], resume=True, last_event=last, **more)),)
                case ("tried", rid, 2, ("cut" | "lost"), *_):
                    return (("break", rid),)

        return feed

    return part


def test_a_stream_resumes_at_another_replica_under_its_first_head():
    async def script(c):
        await c.request()
        if c.n == 0:
            return await c.say(stream("a1", event(1), event(2), event(3)[:9], last=False, seal="first"))
        await c.say(stream("a1", "version: 2\n" + event(1, "again"), event(2, "again") + event(3), event(4), seal="second"))

    got, d, rep = scene(script, ask, part=resuming_router({}))
    assert got[1][SEAL] == "first" and got[3]
    assert got[2] == (event(1) + event(2) + event(3) + event(4)).encode()
    assert rep.seen[1][1]["last-event-id"] == "2"
    assert d.words() == [(1, "began", 200), (1, "first"), (1, "cut", "2"), (2, "began", 200), (2, "first"), (2, "done")]


@pytest.mark.parametrize(
    "second,word",
    [
        (stream("a1", event(3), seal=""), "lost"),
        (stream("zz", event(3)), "lost"),
        (answer("a1", event(3)), "lost"),
        (answer("a1", event(3), status="500 No"), "failed"),
    ],
)
def test_an_invalid_second_response_adds_nothing_to_a_stream(second, word):
    async def script(c):
        await c.request()
        await c.say(stream("a1", event(1), last=False) if c.n == 0 else second)

    async def talk(c, d, rep, client):
        await c.ask()
        await d.heard(word)
        for rid in list(d.forwarder.requests):
            d.forwarder.carry_out(("break", rid))
        return await c.answer()

    got, d, rep = scene(script, talk, part=resuming_router({}))
    assert got[2] == event(1).encode() and not got[3]


def test_a_break_before_the_first_complete_event_allows_another_attempt():
    def part(addr, **kw):
        def feed(ev):
            match ev:
                case ("request", rid, _):
                    return (("try", rid, 1, one(addr[0])),)
                case ("tried", rid, 1, "cut", None):
                    return (("try", rid, 2, one(addr[0], **kw)),)

        return feed

    async def script(c):
        await c.request()
        await c.say(stream("a1", event(1)[:4], last=False, seal="first") if c.n == 0 else stream("a1", event(1), seal="second"))

    got, d, rep = scene(script, ask, part=part)
    assert (got[1][SEAL], got[2], got[3]) == ("second", event(1).encode(), True)
    got, d, rep = scene(script, ask, part=part, resume=True)
    assert (got[1][SEAL], got[2], got[3]) == ("first", event(1).encode(), True)


def test_a_long_plain_response_is_forwarded_and_truncated_when_it_breaks():
    body = "x" * (attempt_runner.MAX_HELD_BYTES + 70000)
    got, d, rep = scene(says(answer("a1", body)), ask)
    assert got[2] == body.encode() and got[3]
    got, d, rep = scene(says(answer("a1", body)[:-1]), ask)
    assert d.words()[-1] == (1, "cut", None) and len(got[2]) < len(body) and not got[3]


# Guards against non-ASCII event ids that reach the replica as other bytes than the client sent.
def test_the_last_event_id_is_forwarded_byte_for_byte():
    async def talk(c, d, rep, client):
        await c.ask(more=("Last-Event-Id: \xe47\xc3",))
        await c.answer()

    as_told = b"\xe47\xc3".decode("utf-8", "surrogateescape")
    _, d, rep = scene(says(answer("a1")), talk, last_event=as_told)
    assert d.told[0][2]["last_event"] == as_told
    assert rep.seen[0][1]["last-event-id"] == "\xe47\xc3"
