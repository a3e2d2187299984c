"""How a daemon leaves (design 1.4, 15.3): no request that it has read is cut off while there is time."""

from datetime import timedelta

import anyio
import anyio.lowlevel
import pytest

from silverglade.runtime.shutdown_timetable import timetable
from silverglade.server import shutdown as departure
from silverglade.server.client_request import RequestEnd
from silverglade.server.daemon import PendingCall

from .test_priority_queues import daemon

SEC = timedelta(seconds=1)


class Request:
    """A client's request under way, as the forwarder holds it."""

    def __init__(self, *, started=True):
        self.request_id, self.was_started, self.told, self.received_at = "r1", started, [], 0 * SEC

    def put(self, effect):
        self.told.append(effect)


def leave(monkeypatch, step, *, grace=8 * SEC, linger=0 * SEC, most=400, core=False, told_at=None, before=lambda d: None):
    """Leaves on a clock that goes on with each wait; `step(daemon, seconds)` -> when it shut its door, and ended."""
    now = [0.0 if told_at is None else 20.0]
    begun = now[0]

    async def wait(t):
        now[0] += t
        step(d, now[0] - begun)
        assert now[0] < most
        await anyio.lowlevel.checkpoint()

    class Door:
        def set(self):
            self.at = now[0] - begun

    async def go():
        await departure.shut_down(d, told_at=told_at)

    d = daemon()
    d.closing, d.data_folder = Door(), core
    d.adapter = (
        type("Outer", (), {"grace": grace, "linger": linger, "client_address": "x", "cut_streams_for": 3 * SEC})() if grace else None
    )
    monkeypatch.setattr(departure.anyio, "sleep", wait)
    monkeypatch.setattr(departure, "clock", lambda: timedelta(seconds=now[0]))
    before(d)
    step(d, 0)
    anyio.run(go)
    assert d.draining and d.stopping.is_set()
    return d.closing.at, now[0] - begun


def test_what_is_idle_leaves_at_once(monkeypatch):
    closing, stopping = leave(monkeypatch, lambda d, t: None)
    assert stopping < 1


def test_the_door_stays_open_for_as_long_as_clients_hold_the_address(monkeypatch):
    closing, stopping = leave(monkeypatch, lambda d, t: None, linger=5 * SEC)
    assert 5 <= closing <= stopping < 6.5
    closing, stopping = leave(monkeypatch, lambda d, t: None, linger=50 * SEC)  # but not events_after the grace
    assert 5 <= closing < stopping + 0.1 < 7.2


def test_requests_under_way_end_first(monkeypatch):
    def step(d, t):
        d.forwarder.requests = {"r1": Request()} if t < 2 else {}

    closing, stopping = leave(monkeypatch, step)
    assert 2 <= closing < stopping + 0.1 < 3


def test_the_door_shuts_half_way_and_the_rest_still_ends(monkeypatch):
    def step(d, t):
        d.forwarder.requests = {"r1": Request()} if t < 6 else {}
        d.open_connections = {1} if t < 6.5 else set()  # an answer still on its way out

    closing, stopping = leave(monkeypatch, step)
    assert 3.5 <= closing < 5 and 6.5 <= stopping < 7


def test_the_time_given_is_kept(monkeypatch):
    def step(d, t):
        d.forwarder.requests, d.open_connections = {"r1": Request()}, {1}

    assert leave(monkeypatch, step)[1] == pytest.approx(7, abs=0.2)
    assert leave(monkeypatch, step, grace=None)[1] == pytest.approx(30, abs=0.7)


def test_orders_hold_the_door_open(monkeypatch):
    def step(d, t):
        d.tenant_requests.dispatches = {"o.1": 1} if t < 20 else {}

    closing, _ = leave(monkeypatch, step, grace=None)
    assert closing >= 20


@pytest.mark.parametrize("grace,end", [(8 * SEC, 7), (None, 30)])
def test_a_core_stays_until_the_others_can_do_without_it_or_its_grace_runs_out(monkeypatch, grace, end):
    def step(d, t):
        if t > 2:
            d.carry_out(("released",))

    assert 2 <= leave(monkeypatch, step, grace=grace, core=True)[1] < 3
    assert leave(monkeypatch, lambda d, t: None, grace=grace, core=True)[1] == pytest.approx(end, abs=0.5)


def test_what_has_given_its_client_nothing_is_answered_before_the_end(monkeypatch):
    waiting, begun = Request(started=False), Request()

    def step(d, t):
        d.forwarder.requests = {"r1": waiting, "r2": begun}

    _, stopping = leave(monkeypatch, step, linger=6 * SEC)
    assert waiting.told == [RequestEnd.SHUTDOWN] and begun.told == []
    assert stopping == pytest.approx(7, abs=0.1)


def test_orders_and_calls_that_still_wait_are_answered_before_the_end(monkeypatch):
    results, call = [], PendingCall()

    def before(d):
        d.deliver_result = lambda order, kind, rest: results.append((order, kind, *rest))
        d.tenant_requests.result_streams, d.pending_calls = {"o1": 1}, {"c1": call}

    leave(monkeypatch, lambda d, t: None, before=before)
    assert results == [("o1", "fault", 405, "maybe", 1000)]
    assert call.result == (503, {}) and call.done.is_set()


def test_the_grace_runs_from_the_signal_not_from_the_time_at_which_the_loop_got_to_it(monkeypatch):
    def step(d, t):
        d.forwarder.requests, d.open_connections = {"r1": Request()}, {1}

    assert leave(monkeypatch, step, told_at=timedelta(seconds=18.5))[1] == pytest.approx(5.5, abs=0.2)


def test_a_stop_logs_how_late_its_signal_was_noticed_and_what_was_cut(monkeypatch):
    """Guards against a stop that nothing can be said of afterwards: was the signal noticed late, was a request taken late?"""
    lines = []

    def before(d):
        d.logger.info = d.logger.warning = lambda line: lines.append(line)

    def step(d, t):
        begun, late = Request(), Request(started=False)
        begun.received_at, late.received_at = 18 * SEC, 22.5 * SEC
        d.forwarder.requests, d.open_connections = {"r1": begun, "r2": late}, {1}

    leave(monkeypatch, step, told_at=timedelta(seconds=18.5), before=before)
    assert lines[0].endswith(" event=drain noticed_ms=1500 requests=2")
    assert lines[-1].endswith(" event=cut-at-shutdown requests=2 begun=1 last_after_ms=4000")


def test_a_second_signal_changes_nothing(monkeypatch):
    async def go():
        d = daemon()
        d.draining = True
        await departure.shut_down(d)
        return d.stopping.is_set()

    assert anyio.run(go) is False


def test_the_time_of_a_signal_is_noted_while_the_loop_is_busy():
    import os
    import signal
    import time

    async def go():
        times = departure.SignalTimes()
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            times.watch()
            at = time.monotonic()
            os.kill(os.getpid(), signal.SIGTERM)
            while time.monotonic() - at < 0.3:  # a turn of the loop that takes long
                pass
            async for _ in signals:
                return times.told_at.total_seconds() - at

    assert 0 <= anyio.run(go) < 0.1


def test_the_timetable_is_in_order_and_ends_in_the_last_sixth_of_any_grace():
    for grace in (2, 4, 8, 30):
        for linger in (0, 3, 6, 60):
            t = timetable(stop_requested_at=5 * SEC, grace=grace * SEC, linger=linger * SEC, cut_streams_for=3 * SEC)
            assert 5 * SEC <= t.linger_until <= t.close_by < t.answer_at < t.end_at <= (5 + grace) * SEC
            assert t.end_at - 5 * SEC >= grace * SEC * 5 / 6
            assert t.streams_until < 8 * SEC
