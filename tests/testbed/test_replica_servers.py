"""Replicas as real servers on loopback, met by the real forwarding I/O: what they say, their faults, the list of them."""

import json
from datetime import timedelta

import anyio
import pytest

from silverglade.configuration import schema as config
from silverglade.http.dialect import DEFAULT_DIALECT
from silverglade.testbed.checkers.forwarding_records import Sent
from silverglade.testbed.checkers.forwarding_rules import Rules
from silverglade.testbed.fake_servers.endpoint_list_server import EndpointListServer
from silverglade.testbed.fake_servers.http_exchange import FieldNames
from silverglade.testbed.fake_servers.replica_server import ReplicaObserver, ReplicaServer
from silverglade.testbed.fake_servers.request_format import MS, SEC, ReplicaSpec, event_count
from tests.support.scripted_replicas import SEAL, front, play, simple

FAST = ReplicaSpec(step=MS, per_slot=0 * MS, stride=4, cache_tokens=100000)
PLAIN = ReplicaSpec(work=5 * MS, capacity=2, queue=2)
TOKENS = f"{DEFAULT_DIALECT.tokens.decode()}: 20,40"


class Judge(ReplicaObserver):
    """The rules, fed by real servers and a real client."""

    def __init__(self):
        self.r, self.now = Rules(), timedelta(seconds=1)
        cfg, bad = config.parse_configuration(
            dict(
                number=1,
                zones={"z": {"region": "g"}},
                tenants={},
                services={"s": {}},
                routes=[dict(name="p", host="h.example", prefix="/", kind="streaming", due_ms=900, shares=[dict(service="s", weight=1)])],
            )
        )
        assert not bad
        self.r.told(self.now, self.r.put(self.now, cfg, base=0), True)

    def arrived(self, server, request):
        self.r.arrived(self.now, request.attempt, rep=server.id, service="s", zone="z", region="g", sent=self.now, touch=True)

    def ran(self, server, request, run, run_seal):
        self.r.ran(
            self.now,
            request.attempt,
            run=run,
            rep=server.id,
            service="s",
            seal=run_seal,
            stride=server.spec.stride,
            last=request.last,
            method=request.method,
            path=request.path,
            body=request.body,
            plain=bool(server.spec.work),
        )

    def failed(self, server, request, run, status, body):
        self.r.failed(request.attempt, run, status, body)

    def refused(self, server, request, status):
        self.r.refused(request.attempt, status)

    def asked(self, i, body):
        self.r.asked(Sent(attempt=i, at=self.now, life="d", host="h.example", path="/p", body=body, tokens=(20, 40), service="s"))

    def got(self, i, answer, own):
        """What the client has of an answer: (status, headers, body, whole) or None."""
        if answer is None:
            return self.r.ended(self.now, i, whole=False)
        status, h, body, whole = answer
        self.r.head(self.now, i, status, h.get(SEAL))
        if h.get("content-type", "").startswith("text/event-stream"):
            for block in body.split(b"\n\n")[:-1]:
                n, data = (x.split(b": ", 1)[1] for x in block.split(b"\n"))
                self.r.event(self.now, i, int(n), data)
        else:
            self.r.data(i, body)
        return self.r.ended(self.now, i, whole=whole, own=own)


async def one(judge, spec, setup, *, count=6, gap=0.0):
    """Some requests in turn to one server through the real shell; -> their statuses (None: broke off)."""
    out, at = [], []
    async with anyio.create_task_group() as tg:
        s = ReplicaServer(id="i1", service="s", zone="z", spec=spec, observer=judge, close_rate=0.1)
        at.append(await tg.start(s.serve))
        setup(s)
        async with front(simple(at, replica="i1", deadline_ms=900)) as (d, client):
            for k in range(count):
                c, i = await client(), f"a{k}"
                judge.asked(i, b"hi")
                await c.ask(i, more=(TOKENS,))
                got = await c.answer()
                own = bool(got) and b'"code"' in got[2]
                judge.got(i, got, own)
                out.append(got and (got[0] if got[3] else "cut"))
                c.close()
                await anyio.sleep(gap)
        tg.cancel_scope.cancel()
    return out


@pytest.mark.parametrize("spec", [FAST, PLAIN], ids=["model", "plain"])
def test_whole_answers_keep_every_rule(spec):
    j = Judge()
    assert play(lambda: one(j, spec, lambda s: None)) == [200] * 6
    assert j.r.faults == [] and len(j.r.runs) == 6


@pytest.mark.parametrize("spec", [FAST, PLAIN], ids=["model", "plain"])
@pytest.mark.parametrize(
    "kind,want", [("fail", {500}), ("garbage", {502}), ("lost", {502}), ("unsealed", {502}), ("again", {200, 502}), ("late", {200, 502})]
)
def test_troubles_keep_every_rule(spec, kind, want):
    j = Judge()
    got = play(lambda: one(j, spec, lambda s: s.engine.fault_rates.update({kind: 1.0}), gap=0.1 if kind == "late" else 0.0))
    assert set(got) <= want and j.r.faults == []
    assert kind in ("again", "late") or set(got) == want


def test_what_is_cut_does_not_look_complete():
    j = Judge()
    assert set(play(lambda: one(j, FAST, lambda s: s.engine.fault_rates.update(cut=1.0)))) <= {"cut", None}
    assert j.r.faults == []
    j = Judge()
    assert set(play(lambda: one(j, PLAIN, lambda s: s.engine.fault_rates.update(cut=1.0)))) <= {"cut", None, 502}
    assert j.r.faults == []


def test_a_kept_connection_that_the_replica_forgot_runs_nothing_twice():
    j = Judge()
    assert set(play(lambda: one(j, PLAIN, lambda s: setattr(s, "forget_rate", 1.0)))) <= {200, 502}
    assert j.r.faults == []


def test_one_that_is_not_meant_turns_it_away():
    j = Judge()
    assert play(lambda: one(j, PLAIN, lambda s: setattr(s.engine, "replica_id", "another"), count=1)) == [421]
    assert j.r.faults == [] and not j.r.runs


async def get(addr, path):
    """-> (status, headers, body) of a plain request."""
    ip, port = addr.split(":")
    async with await anyio.connect_tcp(ip, int(port)) as s:
        await s.send(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        b = b""
        while b"\r\n\r\n" not in b:
            b += await s.receive()
        head, body = b.split(b"\r\n\r\n", 1)
        h = {k.lower(): v for k, v in (x.split(": ", 1) for x in head.decode().split("\r\n")[1:])}
        while len(body) < int(h["content-length"]):
            body += await s.receive()
        return int(head.split()[1]), h, body


def test_health_and_report_are_told_and_beyond_its_connections_it_resets():
    async def go():
        async with anyio.create_task_group() as tg:
            s = ReplicaServer(id="i1", service="s", zone="z", spec=FAST._replace(conns=1), warm=False)
            addr = await tg.start(s.serve)
            status, h, _ = await get(addr, DEFAULT_DIALECT.health)
            assert status == 200 and h[DEFAULT_DIALECT.replica.decode()] == "i1" and 0 < int(h[DEFAULT_DIALECT.cold_ms.decode()]) <= 3000
            n = FieldNames()
            assert set(json.loads((await get(addr, DEFAULT_DIALECT.report))[2])) == {n.waiting, n.running, n.used, n.memory}
            ip, port = addr.split(":")
            async with await anyio.connect_tcp(ip, int(port)) as a:
                await a.send(b"GET ")
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError, OSError)):
                    await get(addr, DEFAULT_DIALECT.health)
            s.drain(60 * SEC)
            while len(s.open_streams):
                await anyio.sleep(0)
            assert (await get(addr, DEFAULT_DIALECT.health))[0] == 503
            s.crash()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError, OSError)):
                await get(addr, DEFAULT_DIALECT.health)
            tg.cancel_scope.cancel()

    play(go)


def test_the_list_has_pages_a_rate_and_troubles():
    async def go():
        n = FieldNames(replicas="rows", next="then", page="from", id="name", service="of")
        lst = EndpointListServer(names=n, size=2, rate=8, lag=0 * SEC)
        lst.servers = [ReplicaServer(id=f"i{k}", service="s", zone="z%d" % (k % 2), spec=PLAIN) for k in range(3)]
        lst.servers[1].drain(60 * SEC)
        async with anyio.create_task_group() as tg:
            addr = await tg.start(lst.serve)
            lst.take_snapshot()
            _, _, b = await get(addr, n.list)
            d = json.loads(b)
            assert [r["name"] for r in d["rows"]] == ["i0", "i1"] and d["then"] == "2" and d["rows"][0]["of"] == "s"
            assert [r[n.state] for r in d["rows"]] == [n.ready, n.leaving] and 0 < d["rows"][1][n.left] <= 60000
            d = json.loads((await get(addr, n.list + "?from=2"))[2])
            assert [r["name"] for r in d["rows"]] == ["i2"] and d["then"] is None
            d = json.loads((await get(addr, n.list + "?zone=z1"))[2])
            assert [r["name"] for r in d["rows"]] == ["i1"]
            lst.fault = "part"
            assert [(await get(addr, n.list + q))[0] for q in ("", "?from=2")] == [200, 500]
            lst.fault = "down"
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError, OSError)):
                await get(addr, n.list)
            lst.fault, lst.rate = "", 2
            assert (await get(addr, n.list))[0] == 429
            tg.cancel_scope.cancel()

    play(go)


def test_a_stream_has_all_its_events():
    j = Judge()
    play(lambda: one(j, FAST, lambda s: None, count=1))
    assert len(j.r.got["a0"].events) == event_count(b"hi", 40, 4)
