"""Overload of a daemon (design 1.3): queues, request bodies, disk writes, supervision, backpressure; without sockets or real time."""

import anyio
import anyio.lowlevel
import pytest

from silverglade.http import asgi
from silverglade.runtime import structured_logging as log
from silverglade.runtime.errors import SilvergladeError
from silverglade.runtime.events import ShutdownStarted
from silverglade.runtime.settings import checked
from silverglade.server import priority_queues, supervisor
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


def test_a_full_admission_queue_delays_neither_timer_nor_heartbeats():
    async def go():
        queues, refused = priority_queues.PriorityQueues(), 0
        for i in range(1000):
            try:
                queues.admit(("order", i, ()))
            except SilvergladeError as e:
                refused += e.code == 310
        for i in range(500):
            await queues.on_message("x", ("ask", i))
        await queues.on_message("x", ("hb", 1))
        queues.fire_timer()
        queues.fire_timer()
        got = [await queues.take() for _ in range(60)]
        assert refused == 1000 - priority_queues.QUEUE_LENGTHS[priority_queues.Queue.ADMISSION]
        assert got[:2] == [("pulse",), ("msg", "x", ("hb", 1))]
        kinds = [e[0] for e in got[2:]]
        assert 8 <= kinds.count("order") <= 15 and kinds.count("pulse") == 0  # both queues are served
        return [e[1] for e in got if e[0] == "order"] == list(range(kinds.count("order")))

    assert anyio.run(go)


def test_a_full_queue_blocks_only_its_own_senders():
    async def go():
        queues, done = priority_queues.PriorityQueues(), []

        async def fill():
            for i in range(priority_queues.QUEUE_LENGTHS[priority_queues.Queue.WORK] + 1):
                await queues.on_message("x", ("res", i))
            done.append("work")

        async with anyio.create_task_group() as tg:
            tg.start_soon(fill)
            await anyio.wait_all_tasks_blocked()
            assert done == []
            await queues.on_message("x", ("ping", 1))  # does not wait
            assert await queues.take() == ("msg", "x", ("ping", 1))
            await queues.take()
            await anyio.wait_all_tasks_blocked()
            assert done == ["work"]

    anyio.run(go)


def test_a_disk_write_that_does_not_fit_the_queue_is_reported_as_failed():
    async def go():
        d = daemon()
        async with anyio.create_task_group() as d.task_group:
            for i in range(DISK_QUEUE_LENGTH + 1):
                d.carry_out(("disk", ("claim_follower", i), ()))
            await anyio.wait_all_tasks_blocked()
        return d.queues.next_event()

    assert anyio.run(go) == ("disk", ("claim_follower", DISK_QUEUE_LENGTH), False, None)


def test_bodies_are_buffered_up_to_a_limit_and_refused_beyond_it():
    async def go():
        d = daemon()
        with d.reserve_body(MAX_BUFFERED_BODY_BYTES - 10), pytest.raises(SilvergladeError) as e:
            with d.reserve_body(11):
                pass
        assert e.value.code == 310
        with d.reserve_body(11):
            return d.buffered_body_bytes

    assert anyio.run(go) == 11


class RefusingDaemon:
    """A daemon that refuses the head of a request."""

    def __init__(self, *answer):
        self.settings, self.answer, self.read = {"operator_key": "", "name": "d"}, answer, 0

    async def call(self, op, args):
        return self.answer


def test_an_unknown_key_is_refused_before_its_body_is_read():
    d = RefusingDaemon(202, {"ran": "no"})
    got = http(d, "POST", "/v1/orders/chat", b"x" * 10, more=[{"type": "http.disconnect"}])
    assert got[0] == 401  # if the body had been read, its disconnect would have led to result code 205


def test_reading_an_incomplete_body_times_out(monkeypatch):
    monkeypatch.setattr(asgi, "BODY_TIMEOUT_S", 0)
    with pytest.raises(SilvergladeError) as e:
        anyio.run(asgi.read_body, anyio.sleep_forever, {})
    assert e.value.code == 311


def completed_with_slow_disk():
    s = Scene(town="hamlet")
    s.settle()
    follower = s.w.nodes["edge-north-0"].store["duty/shard/pair"][1][2]
    s.w.nodes[follower].disk.slow = 0.3 * SEC
    for i in range(24):
        s.w.after(i * SEC / 24, lambda: s.order(tenant="pair", cls="chat", retry=False, at="edge-middle-0"))
    s.w.run(6)
    assert s.o.faults == []
    return s.told().get("ok", 0)


def test_writes_that_wait_for_a_slow_disk_share_a_sync(monkeypatch):
    assert completed_with_slow_disk() >= 20
    turn = world.World.turn
    monkeypatch.setattr(world.World, "turn", lambda w, d, n: turn(w, d, 1))
    assert completed_with_slow_disk() <= 10  # one sync for each write


def run_with_large_configuration(has_bulk_connection, monkeypatch):
    """Distribute a large (compressed) configuration over links of 8 kB/s, with or without a separate connection for bulk data.

    Return the number of failure and pause events, and the result code of the latest acknowledged change.
    """
    if not has_bulk_connection:
        monkeypatch.setattr(world, "queue_for", lambda kind: "bulk")
    s = Scene(town="hamlet")
    s.settle()
    s.w.rate, n = 8e3, dict(s.o.events)
    s.put(grow=2000)
    s.w.run(5)
    return sum(s.o.events[k] - n.get(k, 0) for k in ("daemon-dead", "seek", "process-paused")), s.o.acked[-1][2]


def test_a_large_configuration_delays_no_heartbeats(monkeypatch):
    assert run_with_large_configuration(True, monkeypatch) == (0, 100)
    assert run_with_large_configuration(False, monkeypatch)[0] > 0


def test_a_log_that_cannot_be_written_does_not_end_the_daemon():
    class Full:
        def write(self, s=""):
            raise OSError(27, "File too large")

        flush = write

    h = log.LossyStream(Full())
    h.write("x")
    logger = log.setup(stream=Full())
    for _ in range(3):
        logger.info("event=x")
    assert h.lost == 1


def test_a_failed_task_is_restarted_and_raises_after_too_many_failures(monkeypatch):
    async def at_once(t):
        await anyio.lowlevel.checkpoint()

    monkeypatch.setattr(supervisor.anyio, "sleep", at_once)
    runs = []

    async def child(failures):
        runs.append(1)
        if len(runs) <= failures:
            raise OSError("failed")

    anyio.run(lambda: supervisor.supervise(name="x", run=lambda: child(3), logger=Quiet()))
    assert len(runs) == 4
    runs.clear()
    with pytest.raises(OSError):
        anyio.run(lambda: supervisor.supervise(name="x", run=lambda: child(99), logger=Quiet()))
    assert len(runs) == supervisor.MAX_FAILURES


def test_a_slow_client_of_a_relayed_stream_pauses_reading_from_the_replica():
    s = Scene(town="hamlet")
    s.settle()
    for r in s.w.replicas.values():
        r.pieces, r.step = 400, 4
    backpressure, apply_effect = [], s.w.effect
    s.w.effect = lambda n, e: backpressure.append((n.zone, *e)) if e[0] == "ease" else apply_effect(n, e)
    request_id = s.order(tenant="pair", cls="lookup", at="edge-north-0", retry=False, old=0)
    s.w.run(1)
    assert [e[1:] for e in backpressure] == [("ease", request_id, False)] and backpressure[0][0] in ("middle", "south")
    s.w.nodes["edge-north-0"].feed(("drained", request_id, 64))
    s.w.run(0.1)
    assert len(backpressure) == 1  # still too many unread results
    s.w.nodes["edge-north-0"].feed(("drained", request_id, 230))
    s.w.run(0.1)
    assert [e[1:] for e in backpressure[1:]] == [("ease", request_id, True)]


def test_a_dispatch_with_a_slow_client_stops_reading(monkeypatch):
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
    """Guards against a router that accepts requests because the shutdown event waits behind them or for room in its queue."""

    async def go():
        queues = priority_queues.PriorityQueues()
        for i in range(200):
            queues.admit(("request", i, {}))
        for i in range(priority_queues.QUEUE_LENGTHS[priority_queues.Queue.CONTROL]):
            await queues.send(("msg", "x", ("hb", i)))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(queues.send, ShutdownStarted(1 * SEC, 2 * SEC, 3 * SEC))  # waits for room in the queue
            await anyio.lowlevel.checkpoint()
            got = []
            while not got or got[-1] != ShutdownStarted.TAG:
                got.append((await queues.take())[0])
                if len(got) % EVENTS_PER_TURN == 0:  # as run_machine does
                    await anyio.lowlevel.checkpoint()
        assert "request" not in got

    anyio.run(go)
