"""The HTTP API (design 2) and the connections between daemons (design 3), without sockets."""

import contextlib
import json

import anyio
import pytest

from silverglade.http.app import app
from silverglade.server import replica_calls
from silverglade.transport import framing
from silverglade.transport.connections import PeerConnections


class Daemon:
    """A daemon with scripted results and replies."""

    def __init__(self, results=(), reply=(100, {}), key=""):
        self.settings = {"operator_key": key, "replica_key": "", "platform_key": "", "name": "d"}
        self.results, self.said, self.reply, self.left = results, [], reply, []

    @property
    def tenant_requests(self):
        return self

    def new_request_id(self):
        return "o1"

    def submit(self, oid, spec):
        self.said.append(spec)
        w, r = anyio.create_memory_object_stream(64)
        for x in self.results:
            w.send_nowait(x)
        w.close()
        return r

    @contextlib.contextmanager
    def reserve_body(self, size):
        yield

    async def acknowledge(self, oid, n):
        self.left.append((oid, n))

    async def abandon(self, oid):
        self.left.append(oid)

    async def call(self, op, args):
        if op == "head":
            return 100, dict(cap=2000000)
        self.said.append((op, args))
        return self.reply


def http(d, verb, path, body=b"", head=(), more=()):
    """Make a call and return (status, headers, body, whether the response ended cleanly)."""
    sent = []

    async def go():
        msgs = [{"type": "http.request", "body": body, "more_body": bool(more)}, *more]

        async def receive():
            if msgs:
                return msgs.pop(0)
            await anyio.sleep_forever()

        async def send(m):
            sent.append(m)

        await app(d)(
            {"type": "http", "method": verb, "path": path, "headers": [(k.lower().encode(), v.encode()) for k, v in head]}, receive, send
        )

    anyio.run(go)
    if not sent:
        return None
    clean = sent[-1]["type"] == "http.response.body" and not sent[-1].get("more_body")
    return (sent[0]["status"], dict(sent[0]["headers"]), b"".join(m.get("body", b"") for m in sent[1:]), clean)


def test_a_plain_response_is_complete_and_has_its_key():
    d = Daemon([("key", "k1", False), ("whole", b'{"a": 1}')])
    st, hs, b, clean = http(
        d, "POST", "/v1/orders/chat", b"{}", [("Authorization", "Bearer t"), ("Silverglade-Due", "50"), ("Silverglade-Prefix", "p")]
    )
    assert (st, b, clean, hs[b"idempotency-key"], hs[b"content-length"]) == (200, b'{"a": 1}', True, b"k1", b"8")
    assert d.said == [("t", "chat", "", "50", "p", "", b"{}")]


def test_a_stream_ends_with_done_or_with_a_fault_and_an_unclean_close():
    st, _, b, clean = http(Daemon([("key", "k", True), ("piece", 1, b"a\nb"), ("done", 1)]), "POST", "/v1/orders/c")
    parser = replica_calls.EventParser()
    assert (st, clean) == (200, True)
    assert parser.feed(b) == (("", 1, b"a\nb"), ("done", 1, b""))
    st, _, b, clean = http(Daemon([("piece", 1, b"a"), ("fault", 404, "yes", None)]), "POST", "/v1/orders/c")
    assert st == 200 and not clean and b"event: done" not in b
    assert json.loads(b.split(b"data: ")[-1]) == {"code": 404, "name": "broken-stream", "ran": "yes", "retry_after": None}


def test_an_error_response_has_ran_and_a_retry_time_with_jitter():
    waits = set()
    for _ in range(40):
        st, hs, b, _ = http(Daemon([("fault", 301, "no", 4000)]), "POST", "/v1/orders/c")
        d = json.loads(b)
        assert (st, d["code"], d["ran"]) == (503, 301, "no") and hs[b"retry-after"] == str(d["retry_after"]).encode()
        waits.add(d["retry_after"])
    assert len(waits) > 1 and min(waits) >= 3
    assert json.loads(http(Daemon([]), "POST", "/v1/orders/c")[2])["ran"] == "maybe"  # the results ended without one


def test_truncated_and_oversized_bodies_are_rejected():
    d = Daemon()
    st, _, b, _ = http(d, "POST", "/v1/orders/c", b"half", more=[{"type": "http.disconnect"}])
    assert json.loads(b)["code"] == 205 and st == 400
    st, _, b, _ = http(d, "POST", "/v1/orders/c", head=[("Content-Length", "99999999")])
    assert json.loads(b)["code"] == 204 and st == 413
    st, _, b, _ = http(d, "POST", "/v1/orders/c", b"x" * (5 << 20))
    assert json.loads(b)["code"] == 204
    assert d.said == []


@pytest.mark.parametrize(
    "verb,path,body,head,code",
    [
        ("PUT", "/v1/config", b"{}", [], 510),
        ("PUT", "/v1/config", b"{}", [("If-Match", "x")], 506),
        ("PUT", "/v1/config", b"{", [("If-Match", "1.2")], 506),
        ("GET", "/v1/nothing", b"", [], 507),
        ("PUT", "/v1/platform/replicas", b"[]", [], 506),
        ("PUT", "/v1/platform/replicas", b'{"replicas": [{"id": 3}]}', [], 506),
        ("PUT", "/v1/config", b"{}", [("If-Match", "1.2"), ("Silverglade-Change", "c" * 101)], 506),
    ],
)
def test_an_invalid_call_gets_its_code_and_reaches_no_component(verb, path, body, head, code):
    d = Daemon()
    assert json.loads(http(d, verb, path, body, head)[2])["code"] == code
    assert d.said == []


def test_calls_carry_version_and_change_and_need_the_operators_key():
    d = Daemon(reply=(100, {"version": [1, 3]}), key="s3cret")
    assert json.loads(http(d, "GET", "/v1/config")[2])["code"] == 201
    assert json.loads(http(d, "GET", "/v1/config", head=[("Authorization", "Bearer no")])[2])["code"] == 202
    st, hs, _, _ = http(
        d, "PUT", "/v1/config", b"{}", [("Authorization", "Bearer s3cret"), ("If-Match", '"1.2"'), ("Silverglade-Change", "me")]
    )
    assert st == 200 and hs[b"etag"] == b'"1.3"' and d.said == [("config-put", ((1, 2), "me", {}))]
    d = Daemon(reply=(503, {"change": "me"}))
    assert json.loads(http(d, "DELETE", "/v1/zones/z/evacuation")[2])["ran"] == "maybe"


class IncomingStream:
    """A byte stream from a peer."""

    def __init__(self, chunks):
        self.chunks, self.shut = list(chunks), False

    def extra(self, attribute):
        return self

    def setsockopt(self, *option):
        pass

    async def __aenter__(self):
        return self

    async def __aexit__(self, *e):
        self.shut = True

    async def __aiter__(self):
        for c in self.chunks:
            yield c


class FakeLogger:
    def __init__(self):
        self.lines = []

    def warning(self, s):
        self.lines.append(s)


def test_a_bad_frame_is_logged_and_only_closes_its_connection():
    good = framing.encode_frame(sender="a", process_id="l", body=("ping", 1, ()))
    later = framing.FRAME_HEADER.pack(len(good) + 9) + framing.ormsgpack.packb(
        (framing.WIRE_VERSION, "a", "l", ("ping", 2, ()), "more from a later version")
    )
    for bad, code in (
        (framing.FRAME_HEADER.pack(1 << 30), 602),
        (framing.FRAME_HEADER.pack(1) + b"\xc1", 601),
        (framing.encode_frame(sender="a", process_id="l", body=("x",), version=7), 603),
    ):
        put, got = anyio.create_memory_object_stream(8)
        ln, lg = IncomingStream([good[:5], good[5:], bad, good]), FakeLogger()
        anyio.run(
            PeerConnections(
                own_name="b", process_id="l", address="x", on_message=lambda frm, body: put.send(("msg", frm, body)), logger=lg
            ).receive,
            ln,
        )
        assert got.receive_nowait() == ("msg", "a", ("ping", 1, ())) and ln.shut
        assert got.statistics().current_buffer_used == 0 and f"code={code}" in lg.lines[0]
    raw = later[4:]
    put, got = anyio.create_memory_object_stream(8)
    ln = IncomingStream([framing.FRAME_HEADER.pack(len(raw)) + raw])
    anyio.run(
        PeerConnections(
            own_name="b", process_id="l", address="x", on_message=lambda frm, body: put.send(("msg", frm, body)), logger=FakeLogger()
        ).receive,
        ln,
    )
    assert got.receive_nowait() == ("msg", "a", ("ping", 2, ()))


def test_each_role_has_its_own_calls():
    d = Daemon()
    d.settings.update(operator_key="op", replica_key="rep", platform_key="plat")
    calls = [
        ("GET", "/v1/config"),
        ("PUT", "/v1/zones/z/evacuation"),
        ("GET", "/metrics"),
        ("PUT", "/v1/replicas/r"),
        ("DELETE", "/v1/replicas/r"),
        ("PUT", "/v1/platform/replicas"),
        ("GET", "/v1/regions/r/orders"),
        ("GET", "/v1/fleet"),
        ("PUT", "/v1/shards/t/reopen"),
    ]
    got = {}
    for verb, path in calls:
        if path == "/metrics":
            continue
        for key in ("op", "rep", "plat", "key-tenant", ""):
            head = [("authorization", f"Bearer {key}")] if key else []
            code = http(d, verb, path, b'{"replicas": []}', head)[0]
            got.setdefault(key, []).append(code)
    assert got["op"] == [200, 200, 403, 403, 403, 200, 200, 200]
    assert got["rep"] == [403, 403, 200, 200, 403, 403, 403, 403]
    assert got["plat"] == [403, 403, 403, 403, 200, 200, 403, 403]
    assert set(got["key-tenant"]) == {401} and set(got[""]) == {401}  # a tenant's client may make none of these calls


class OutgoingStream:
    """An outgoing connection whose peer may close it while it is idle."""

    def __init__(self):
        self.sent, self.over = [], anyio.Event()

    def extra(self, attribute):
        return self

    def setsockopt(self, *option):
        pass

    async def send(self, data):
        self.sent.append(data)  # as a socket does, even after the peer has gone

    async def receive(self, n):
        await self.over.wait()
        raise anyio.EndOfStream

    async def __aenter__(self):
        return self

    async def __aexit__(self, *a):
        pass


def test_a_peer_connection_that_ended_while_idle_loses_no_message(monkeypatch):
    async def go():
        made = []

        async def connect(*a, **kw):
            made.append(OutgoingStream())
            return made[-1]

        monkeypatch.setattr("silverglade.transport.connections.anyio.connect_tcp", connect)
        lg = FakeLogger()
        lg.info = lg.warning
        links = PeerConnections(own_name="a", process_id="l", address="127.0.0.1:1", on_message=None, logger=lg)
        links.set_address("b", "127.0.0.1:2")
        async with anyio.create_task_group() as links.task_group:
            links.send("b", ("get", 1, (0, 0)))
            await anyio.wait_all_tasks_blocked()
            made[0].over.set()  # the peer is killed and restarted
            await anyio.wait_all_tasks_blocked()
            links.send("b", ("get", 2, (0, 0)))
            await anyio.wait_all_tasks_blocked()
            links.task_group.cancel_scope.cancel()
        return [len(p.sent) for p in made]

    assert anyio.run(go) == [1, 1]
