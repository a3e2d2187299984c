"""The protocol for clients (design 15.7): limits of heads, bodies and times, refused requests, and several requests on a connection."""

import asyncio
import socket
from datetime import timedelta

import anyio
import pytest

from silverglade.http import forwarding_protocol
from silverglade.http.listener import bound_socket, serve
from silverglade.http.request_facts import host_name, parse_integer, parse_prompt_parts, parse_token_counts
from silverglade.runtime import errors
from silverglade.server.client_request import ClientLimits, send_result_code

from ..support import scripted_replicas as scripted
from ..support.scripted_replicas import ID, SEAL, answer, chunk, event, scene, stream

MS = timedelta(milliseconds=1)
FIRST = f"POST /p HTTP/1.1\r\nHost: h\r\n{ID}: a1\r\n"


async def script(c):
    while True:
        first, *_, i = await c.request()
        await c.say(answer(i, "" if first.startswith("HEAD") else "ok"))


def limits(**kw):
    return ClientLimits()._replace(**kw)


def send_raw(*sent, lim=None, until=None):
    """Send these bytes as a client; return (the response, whether the connection was closed, the daemon, the replica)."""

    async def talk(c, d, rep, client):
        if lim:
            d.forwarder.limits = lim
            c = await client()
        for b in sent:
            await c.say(b)
        got = await c.answer()
        return got, await c.closed() if until != "open" else None

    (got, closed), d, rep = scene(script, talk)
    assert d.buffered_body_bytes == 0 and d.forwarder.requests == {}
    return got, closed, d, rep


@pytest.mark.parametrize(
    "sent,status",
    [
        ((FIRST + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",), 400),
        ((FIRST + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",), 400),
        ((FIRST + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",), 400),
        ((FIRST + "Content-Length: -2\r\n\r\nok",), 400),
        ((FIRST + "Transfer-Encoding: gzip\r\n\r\n",), 501),
        ((FIRST + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",), 400),
        ((FIRST + "Host: g\r\n\r\n",), 400),
        ((FIRST + "Bad : 1\r\n\r\n",), 400),
        ((FIRST + "Bad\0: 1\r\n\r\n",), 400),
        (("POST /p HTTP/1.1\r\n\r\n",), 400),
        (("POST  /p HTTP/1.1\r\nHost: h\r\n\r\n",), 400),
        (("POST /p\r\n\r\n",), 400),
        (("garbage\r\n\r\n",), 400),
        (("CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",), 400),
    ],
)
def test_a_malformed_request_is_refused_and_its_connection_closed(sent, status):
    got, closed, d, rep = send_raw(*sent)
    assert got[0] in (400, status) and closed and rep.conns == [] and d.told == []


def test_a_request_inside_a_body_stays_part_of_the_body():
    inner = "POST /evil HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    for sent in (
        FIRST + f"Content-Length: {len(inner)}\r\n\r\n" + inner,
        FIRST + "Transfer-Encoding: chunked\r\n\r\n" + chunk(inner) + "0\r\n\r\n",
    ):
        got, _, d, rep = send_raw(sent, until="open")
        assert got[0] == 200 and [(f, b) for f, _, b in rep.seen] == [("POST /p HTTP/1.1", inner.encode())]


LOW_LIMITS = limits(header_bytes=400, body_bytes=100)


@pytest.mark.parametrize(
    "sent,status",
    [
        ((FIRST + "X: " + "y" * 400 + "\r\n\r\n",), 431),
        ((FIRST + "X: " + "y" * 390, "y" * 400), 400),  # in several pieces: limited by h11 itself
        ((FIRST + "Content-Length: 101\r\n\r\n",), 413),
        ((FIRST + "Content-Length: 99999999999999999999\r\n\r\n",), 413),
        ((FIRST + "Transfer-Encoding: chunked\r\n\r\n", chunk("x" * 60), chunk("x" * 41)), 413),
        ((FIRST + "Transfer-Encoding: chunked\r\n\r\n" + chunk("x" * 101) + "0\r\n\r\n",), 413),
    ],
)
def test_a_request_over_the_limits_is_refused(sent, status):
    got, closed, d, rep = send_raw(*sent, lim=LOW_LIMITS)
    assert got[0] == status and closed and rep.conns == [] and d.told == []


# Guards against incident served-by-a-dropped-configuration: a proper request is refused for good by limits that were raised meanwhile.
@pytest.mark.parametrize(
    "sent",
    [
        (FIRST + "X: " + "y" * 400 + "\r\n\r\n",),
        (FIRST + "Content-Length: 101\r\n\r\n",),
        (FIRST + "Transfer-Encoding: chunked\r\n\r\n", chunk("x" * 60), chunk("x" * 41)),
    ],
)
def test_limits_that_may_be_out_of_date_refuse_no_request_for_good(sent, monkeypatch):
    monkeypatch.setattr(scripted.Daemon, "is_certain", False)
    got, closed, d, rep = send_raw(*sent, lim=LOW_LIMITS)
    assert got[0] == 503 and got[1]["retry-after"] and closed and rep.conns == [] and d.told == []


def test_a_request_at_the_limits_is_accepted():
    got, _, d, rep = send_raw(FIRST + "Content-Length: 100\r\nX: " + "y" * 290 + "\r\n\r\n" + "x" * 100, lim=LOW_LIMITS, until="open")
    assert got[0] == 200 and len(rep.seen[0][2]) == 100


def test_bodies_are_bounded_over_all_requests(monkeypatch):
    monkeypatch.setattr(forwarding_protocol, "MAX_BUFFERED_BODY_BYTES", 50)
    got, closed, d, rep = send_raw(FIRST + "Content-Length: 60\r\n\r\n", "x" * 30, "x" * 30)
    assert got[0] == 503 and closed and "retry-after" in got[1] and d.told == []


@pytest.mark.parametrize(
    "sent,status",
    [
        ((FIRST,), None),  # an incomplete head
        ((FIRST + "Content-Length: 5\r\n\r\n", "abc"), 408),  # an incomplete body
        ((), None),
    ],
)
def test_incomplete_requests_and_idle_connections_time_out(sent, status):
    got, closed, d, rep = send_raw(*sent, lim=limits(header_timeout=20 * MS, idle_timeout=20 * MS))
    assert (got and got[0]) == status and closed and d.told == []


def test_an_idle_connection_is_closed_and_one_awaiting_its_response_is_not():
    async def talk(c, d, rep, client):
        daemons.append(d)
        d.forwarder.limits = limits(header_timeout=30 * MS, idle_timeout=30 * MS)
        c = await client()
        await c.ask()
        got = await c.answer()
        return got[0], await c.closed()

    async def late(c):
        *_, i = await c.request()
        await c.say(answer(i))
        await c.closed()

    def part(addr):
        simple = scripted.simple(addr)

        def feed(ev):
            if ev[0] == "request":
                (connection,) = (request.connection for request in daemons[0].forwarder.requests.values())
                timers.append((connection.head_timer, connection.timeout_keep_alive_task))  # while it waits for the response
            return simple(ev)

        return feed

    daemons, timers = [], []
    assert scene(late, talk, part=part)[0] == (200, True)
    assert timers == [(None, None)]


def test_sequential_and_pipelined_requests_on_a_connection():
    async def talk(c, d, rep, client):
        out = []
        for i in ("a1", "a2"):
            await c.ask(i, method="GET", body="")
            out.append((await c.answer())[1][ID])
        for i in ("a3", "a4", "a5"):
            await c.ask(i, body=i)
        return out + [(await c.answer())[1][ID] for _ in range(3)]

    got, d, rep = scene(script, talk)
    assert got == ["a1", "a2", "a3", "a4", "a5"] and [b for *_, b in rep.seen] == [b"", b"", b"a3", b"a4", b"a5"]


def test_a_response_to_head_has_no_body():
    async def talk(c, d, rep, client):
        await c.ask("a1", method="HEAD", body="")
        status, h = await c.head()
        await c.ask("a2", method="GET", body="")
        return status, (await c.answer())[2]

    async def heads(c):
        *_, i = await c.request()
        await c.say(f"HTTP/1.1 200 OK\r\n{ID}: {i}\r\n{SEAL}: s\r\nContent-Length: 77\r\n\r\n")
        await script(c)

    assert scene(heads, talk)[0] == (200, b"ok")


def test_a_broken_response_to_an_http_1_0_client_is_reset():
    async def old(c):
        await c.request()
        await c.say(stream("a1", event(1), last=False))

    async def talk(c, d, rep, client):
        await c.say(f"POST /p HTTP/1.0\r\nHost: h\r\n{ID}: a1\r\n\r\n")
        try:
            while await c.r.read(100):
                pass
        except ConnectionResetError:
            return "reset"

    assert scene(old, talk)[0] == "reset"


def test_a_client_that_disconnects_within_its_body_makes_no_request():
    async def talk(c, d, rep, client):
        await c.say(FIRST + "Content-Length: 5\r\n\r\nab")
        while not d.buffered_body_bytes:
            await asyncio.sleep(0)
        c.close()
        while d.buffered_body_bytes:
            await asyncio.sleep(0)

    _, d, rep = scene(script, talk)
    assert d.told == [] and rep.conns == [] and d.logger.said == [] and d.logger.informed == []


def test_an_exception_ends_only_its_own_request():
    async def talk(c, d, rep, client):
        d.forwarder.attempts.outgoing_request = None  # planted defect
        await c.ask()
        got = await c.answer()
        del d.forwarder.attempts.outgoing_request
        e = await client()
        await e.ask("a2")
        return got, (await e.answer())[0]

    (got, status), d, _ = scene(script, talk)
    assert got is None and status == 200 and (1, "gone") in d.words() and len(d.logger.said) == 1
    assert [" why=fault begun=False " in line for line in d.logger.informed] == [True]


def test_parsing_of_header_values():
    assert [host_name(b) for b in (b"Nony24.Example:80", b"a", b"[::1]:8", b"[::1]", b"a:b", b"")] == [
        "nony24.example",
        "a",
        "[::1]",
        "[::1]",
        "a:b",
        "",
    ]
    assert parse_prompt_parts(b"5c:800, 91:410") == (("5c", 800), ("91", 410))
    assert [parse_prompt_parts(b) for b in (None, b"", b"x", b"x:", b":1", b"x:-1", b"x:1,")] == [()] * 7
    assert [parse_token_counts(b) for b in (b"1,2", b"1", b"a,b", None, b"1, 2")] == [(1, 2), None, None, None, (1, 2)]
    assert [parse_integer(b) for b in (b"7", b"", None, b"-1", b"9" * 17, b"1.5")] == [7, None, None, None, None, None]


def test_limits_of_a_configuration():
    lim = ClientLimits.from_configuration({"header_bytes": 1, "body_bytes": 2, "header_ms": 3, "idle_ms": 4})
    assert lim == (1, 2, 3 * MS, 4 * MS) and ClientLimits.from_configuration(None) == ClientLimits()
    assert all(n in errors.RESULT_CODES for n in (204, 208, 310, 311, 403, 810))


def test_accepted_connections_have_tcp_nodelay():
    """Guards against listening sockets without an explicit protocol number; their connections delay small packets until acknowledged."""

    async def go():
        accepted = []
        srv = await asyncio.start_server(lambda r, w: accepted.append(w), sock=bound_socket("127.0.0.1:0"))
        r, w = await asyncio.open_connection(*srv.sockets[0].getsockname())
        while not accepted:
            await asyncio.sleep(0)
        no_delay = accepted[0].get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        for end in (w, accepted[0]):
            end.transport.abort()
        srv.close()
        return no_delay

    assert scripted.play(go)


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as s:
        return "127.0.0.1:%d" % s.getsockname()[1]


def test_each_address_serves_its_own_app():
    async def app(scope, receive, send):
        await send_result_code(send, 404, 507)

    async def say(addr):
        c = scripted.Client(*await asyncio.open_connection(*addr.rsplit(":", 1)))
        await c.ask("a1", "/healthz", method="GET", body="")
        got = await c.answer()
        c.close()
        return got[0], got[2]

    async def go():
        async with scripted.replica(script) as rep:
            d = scripted.Daemon(scripted.simple([rep.addr]))
            d.settings, d.closing = (
                {"http": free_address(), "name": "d", **{f"{r}_key": "" for r in ("operator", "replica", "platform")}},
                anyio.Event(),
            )
            d.adapter, other = type("Outer", (), {"client_address": free_address()}), free_address()
            d.apps = lambda: {other: app}
            async with anyio.create_task_group() as tg:
                tg.start_soon(serve, d)
                got = []
                for a in (d.adapter.client_address, d.settings["http"], other):
                    while True:
                        try:
                            got.append(await say(a))
                            break
                        except ConnectionRefusedError:
                            await asyncio.sleep(0)
                d.closing.set()
            d.forwarder.pool.close()
            return got

    front, own, other = scripted.play(go)
    assert front == (200, b"ok") and own == (200, b'{"daemon": "d"}\n') and other[0] == 404 and b"507" in other[1]
