"""Pressure on one daemon (design 1.3): lanes, bodies, the disk; its own tasks, no socket, no clock."""

import anyio
import anyio.lowlevel
import pytest

from silverglade.http import asgi
from silverglade.runtime import structured_logging as log
from silverglade.runtime.errors import SilvergladeError
from silverglade.runtime.events import ShutdownStarted
from silverglade.runtime.settings import checked
from silverglade.server import priority_queues as lanes
from silverglade.server import supervisor as tree
from silverglade.server.daemon import EVENTS_PER_TURN, Daemon
from silverglade.server.disk_writer import QUEUE_LENGTH as DISK_QUEUE_LENGTH
from silverglade.server.limits import MAX_BUFFERED_BODY_BYTES
from silverglade.testbed.simulator import daemons as world
from silverglade.testbed.simulator.scenario import Scene
from silverglade.testbed.simulator.tenant_replicas import SEC

from ..http.test_http_app import http
from .test_replica_calls import META as DISPATCH_FACTS

META = dict(DISPATCH_FACTS, stream=True)


class Quiet:
    def info(self, *a):
        pass

    warning = error = info


def daemon(**kw):
    return Daemon(
        logger=Quiet(),
        settings=checked(
            {
                **dict(
                    name="e", zone="z", region="r", listen="127.0.0.1:1", http="127.0.0.1:2", seeds=["127.0.0.1:3"], cores=["a", "b", "c"]
                ),
                **kw,
            }
        ),
    )


def test_a_crowd_at_the_door_holds_up_no_pulse_and_no_heartbeat():
    async def go():
        q, refused = lanes.PriorityQueues(), 0
        for i in range(1000):
            try:
                q.admit(("order", i, ()))
            except SilvergladeError as e:
                refused += e.code == 310
        for i in range(500):
            await q.on_message("x", ("ask", i))
        await q.on_message("x", ("hb", 1))
        q.fire_timer()
        q.fire_timer()
        got = [await q.take() for _ in range(60)]
        assert refused == 1000 - lanes.QUEUE_LENGTHS[lanes.Queue.ADMISSION]
        assert got[:2] == [("pulse",), ("msg", "x", ("hb", 1))]
        kinds = [e[0] for e in got[2:]]
        assert 8 <= kinds.count("order") <= 15 and kinds.count("pulse") == 0  # each has its share
        return [e[1] for e in got if e[0] == "order"] == list(range(kinds.count("order")))

    assert anyio.run(go)


def test_a_full_lane_holds_up_its_own_senders_alone():
    async def go():
        q, done = lanes.PriorityQueues(), []

        async def fill():
            for i in range(lanes.QUEUE_LENGTHS[lanes.Queue.WORK] + 1):
                await q.on_message("x", ("res", i))
            done.append("work")

        async with anyio.create_task_group() as tg:
            tg.start_soon(fill)
            await anyio.wait_all_tasks_blocked()
            assert done == []
            await q.on_message("x", ("ping", 1))  # does not wait
            assert await q.take() == ("msg", "x", ("ping", 1))
            await q.take()
            await anyio.wait_all_tasks_blocked()
            assert done == ["work"]

    anyio.run(go)


def test_a_write_for_which_the_queue_has_no_room_is_told_as_failed():
    async def go():
        d = daemon()
        async with anyio.create_task_group() as d.task_group:
            for i in range(DISK_QUEUE_LENGTH + 1):
                d.carry_out(("disk", ("claim_follower", i), ()))
            await anyio.wait_all_tasks_blocked()
        return d.queues.next_event()

    assert anyio.run(go) == ("disk", ("claim_follower", DISK_QUEUE_LENGTH), False, None)


def test_bodies_are_held_up_to_a_bound_and_refused_beyond_it():
    async def go():
        d = daemon()
        with d.reserve_body(MAX_BUFFERED_BODY_BYTES - 10), pytest.raises(SilvergladeError) as e:
            with d.reserve_body(11):
                pass
        assert e.value.code == 310
        with d.reserve_body(11):
            return d.buffered_body_bytes

    assert anyio.run(go) == 11


class Door:
    """A daemon whose door refuses a head."""

    def __init__(self, *answer):
        self.settings, self.answer, self.read = {"operator_key": "", "name": "d"}, answer, 0

    async def call(self, op, args):
        return self.answer


def test_an_unknown_key_is_refused_before_its_body_is_read():
    d = Door(202, {"ran": "no"})
    got = http(d, "POST", "/v1/orders/chat", b"x" * 10, more=[{"type": "http.disconnect"}])
    assert got[0] == 401  # a body that was read would have ended in 205


def test_a_body_half_sent_is_given_up_in_bounded_time(monkeypatch):
    monkeypatch.setattr(asgi, "BODY_TIMEOUT_S", 0)
    with pytest.raises(SilvergladeError) as e:
        anyio.run(asgi.read_body, anyio.sleep_forever, {})
    assert e.value.code == 311


def slow_disk():
    s = Scene(town="hamlet")
    s.settle()
    fol = s.w.nodes["edge-north-0"].store["duty/shard/pair"][1][2]
    s.w.nodes[fol].disk.slow = 0.3 * SEC
    for i in range(24):
        s.w.after(i * SEC / 24, lambda: s.order(tenant="pair", cls="chat", retry=False, at="edge-middle-0"))
    s.w.run(6)
    assert s.o.faults == []
    return s.told().get("ok", 0)


def test_what_waits_for_a_slow_disk_is_synced_together(monkeypatch):
    assert slow_disk() >= 20
    turn = world.World.turn
    monkeypatch.setattr(world.World, "turn", lambda w, d, n: turn(w, d, 1))
    assert slow_disk() <= 10  # one sync for each write


def large(own_way, monkeypatch):
    """A large configuration, which travels compressed, over links of 8 kB a second, with and without a connection for what is bulky."""
    if not own_way:
        monkeypatch.setattr(world, "queue_for", lambda kind: "bulk")
    s = Scene(town="hamlet")
    s.settle()
    s.w.rate, n = 8e3, dict(s.o.events)
    s.put(grow=2000)
    s.w.run(5)
    return sum(s.o.events[k] - n.get(k, 0) for k in ("daemon-dead", "seek", "process-paused")), s.o.acked[-1][2]


def test_a_large_configuration_holds_up_no_heartbeat(monkeypatch):
    assert large(True, monkeypatch) == (0, 100)
    assert large(False, monkeypatch)[0] > 0


def test_a_log_that_cannot_be_written_does_not_end_the_daemon():
    class Full:
        def write(self, s=""):
            raise OSError(27, "File too large")

        flush = write

    h = log.LossyStream(Full())
    h.write("x")
    lg = log.setup(stream=Full())
    for _ in range(3):
        lg.info("event=x")
    assert h.lost == 1


def test_a_fallen_child_is_started_again_and_one_that_keeps_falling_goes_up(monkeypatch):
    async def at_once(t):
        await anyio.lowlevel.checkpoint()

    monkeypatch.setattr(tree.anyio, "sleep", at_once)
    runs = []

    async def child(falls):
        runs.append(1)
        if len(runs) <= falls:
            raise OSError("fell")

    anyio.run(lambda: tree.supervise(name="x", run=lambda: child(3), logger=Quiet()))
    assert len(runs) == 4
    runs.clear()
    with pytest.raises(OSError):
        anyio.run(lambda: tree.supervise(name="x", run=lambda: child(99), logger=Quiet()))
    assert len(runs) == tree.MAX_FAILURES


def test_a_slow_visitor_of_a_handed_on_stream_holds_up_its_replica():
    s = Scene(town="hamlet")
    s.settle()
    for r in s.w.replicas.values():
        r.pieces, r.step = 400, 4
    eased, was = [], s.w.effect
    s.w.effect = lambda n, e: eased.append((n.zone, *e)) if e[0] == "ease" else was(n, e)
    oid = s.order(tenant="pair", cls="lookup", at="edge-north-0", retry=False, old=0)
    s.w.run(1)
    assert [e[1:] for e in eased] == [("ease", oid, False)] and eased[0][0] in ("middle", "south")
    s.w.nodes["edge-north-0"].feed(("drained", oid, 64))
    s.w.run(0.1)
    assert len(eased) == 1  # still too much is on its way
    s.w.nodes["edge-north-0"].feed(("drained", oid, 230))
    s.w.run(0.1)
    assert [e[1:] for e in eased[1:]] == [("ease", oid, True)]


def test_a_dispatch_whose_visitor_is_slow_reads_no_further(monkeypatch):
    async def go():
        d, read = daemon(), []

        async def replica(*, wait_for_client, **kw):
            for i in range(3):
                await wait_for_client()
                read.append(i)

        monkeypatch.setattr("silverglade.server.replica_calls.dispatch", replica)
        d.carry_out(("ease", "o", False))
        async with anyio.create_task_group() as tg:
            tg.start_soon(d.tenant_requests.dispatch, "o.1", "x", META, b"")
            for _ in range(5):
                await anyio.lowlevel.checkpoint()
            held = len(read)
            d.carry_out(("ease", "o", True))
        return held, len(read)

    assert anyio.run(go) == (0, 3)


def test_the_word_of_a_stop_overtakes_requests_that_came_before_it_and_is_not_lost_in_a_crowd():
    """Guards against a router that takes requests because the word that the daemon stops waits behind them, or for room."""

    async def go():
        q = lanes.PriorityQueues()
        for i in range(200):
            q.admit(("request", i, {}))
        for i in range(lanes.QUEUE_LENGTHS[lanes.Queue.CONTROL]):
            await q.send(("msg", "x", ("hb", i)))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(q.send, ShutdownStarted(1 * SEC, 2 * SEC, 3 * SEC))  # waits for room
            await anyio.lowlevel.checkpoint()
            got = []
            while not got or got[-1] != ShutdownStarted.TAG:
                got.append((await q.take())[0])
                if len(got) % EVENTS_PER_TURN == 0:  # as run_machine does
                    await anyio.lowlevel.checkpoint()
        assert "request" not in got

    anyio.run(go)
