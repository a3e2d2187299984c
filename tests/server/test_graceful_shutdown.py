"""Graceful shutdown of a daemon (design 1.4, 15.3): no request that it has read is broken off within the grace period."""

from datetime import timedelta

import anyio
import anyio.lowlevel
import pytest

from silverglade.runtime.shutdown_timetable import timetable
from silverglade.server import shutdown
from silverglade.server.client_request import RequestEnd
from silverglade.server.daemon import PendingCall

from .test_priority_queues import daemon

SEC = timedelta(seconds=1)


class Request:
    """Stands in for a client's request in progress at the forwarder."""

    def __init__(self, *, started=True):
        self.request_id, self.is_response_started, self.instructions, self.received_at = "r1", started, [], 0 * SEC

    def put(self, effect):
        self.instructions.append(effect)


def run_shutdown(monkeypatch, step, *, grace=8 * SEC, linger=0 * SEC, most=400, core=False, signalled_at=None, before=lambda d: None):
    """Shut down on a fake clock that advances with each sleep; `step(daemon, seconds)` is called after each.

    Return when the daemon closed and when it stopped, in seconds from the start.
    """
    now = [0.0 if signalled_at is None else 20.0]
    begun = now[0]

    async def wait(t):
        now[0] += t
        step(d, now[0] - begun)
        assert now[0] < most
        await anyio.lowlevel.checkpoint()

    class ClosingEvent:
        def set(self):
            self.at = now[0] - begun

    async def go():
        await shutdown.shut_down(d, signalled_at=signalled_at)

    d = daemon()
    d.closing, d.data_folder = ClosingEvent(), core
    d.adapter = (
        type("Outer", (), {"grace": grace, "linger": linger, "client_address": "x", "cut_streams_for": 3 * SEC})() if grace else None
    )
    monkeypatch.setattr(shutdown.anyio, "sleep", wait)
    monkeypatch.setattr(shutdown, "clock", lambda: timedelta(seconds=now[0]))
    before(d)
    step(d, 0)
    anyio.run(go)
    assert d.draining and d.stopping.is_set()
    return d.closing.at, now[0] - begun


def test_an_idle_daemon_stops_at_once(monkeypatch):
    closing, stopping = run_shutdown(monkeypatch, lambda d, t: None)
    assert stopping < 1


def test_connections_are_accepted_while_clients_may_use_the_address(monkeypatch):
    closing, stopping = run_shutdown(monkeypatch, lambda d, t: None, linger=5 * SEC)
    assert 5 <= closing <= stopping < 6.5
    closing, stopping = run_shutdown(monkeypatch, lambda d, t: None, linger=50 * SEC)  # but not beyond the grace period
    assert 5 <= closing < stopping + 0.1 < 7.2


def test_requests_in_progress_finish_before_the_stop(monkeypatch):
    def step(d, t):
        d.forwarder.requests = {"r1": Request()} if t < 2 else {}

    closing, stopping = run_shutdown(monkeypatch, step)
    assert 2 <= closing < stopping + 0.1 < 3


def test_connections_are_refused_half_way_and_remaining_requests_still_finish(monkeypatch):
    def step(d, t):
        d.forwarder.requests = {"r1": Request()} if t < 6 else {}
        d.open_connections = {1} if t < 6.5 else set()  # a response is still being sent

    closing, stopping = run_shutdown(monkeypatch, step)
    assert 3.5 <= closing < 5 and 6.5 <= stopping < 7


def test_the_stop_is_within_the_grace_period(monkeypatch):
    def step(d, t):
        d.forwarder.requests, d.open_connections = {"r1": Request()}, {1}

    assert run_shutdown(monkeypatch, step)[1] == pytest.approx(7, abs=0.2)
    assert run_shutdown(monkeypatch, step, grace=None)[1] == pytest.approx(30, abs=0.7)


def test_dispatches_in_progress_keep_the_daemon_listening(monkeypatch):
    def step(d, t):
        d.tenant_requests.dispatches = {"o.1": 1} if t < 20 else {}

    closing, _ = run_shutdown(monkeypatch, step, grace=None)
    assert closing >= 20


@pytest.mark.parametrize("grace,end", [(8 * SEC, 7), (None, 30)])
def test_a_core_waits_until_it_may_exit_or_its_grace_period_ends(monkeypatch, grace, end):
    def step(d, t):
        if t > 2:
            d.carry_out(("released",))

    assert 2 <= run_shutdown(monkeypatch, step, grace=grace, core=True)[1] < 3
    assert run_shutdown(monkeypatch, lambda d, t: None, grace=grace, core=True)[1] == pytest.approx(end, abs=0.5)


def test_requests_without_a_started_response_are_answered_before_the_end(monkeypatch):
    waiting, begun = Request(started=False), Request()

    def step(d, t):
        d.forwarder.requests = {"r1": waiting, "r2": begun}

    _, stopping = run_shutdown(monkeypatch, step, linger=6 * SEC)
    assert waiting.instructions == [RequestEnd.SHUTDOWN] and begun.instructions == []
    assert stopping == pytest.approx(7, abs=0.1)


def test_pending_tenant_requests_and_calls_are_answered_before_the_end(monkeypatch):
    results, call = [], PendingCall()

    def before(d):
        d.deliver_result = lambda request_id, kind, details: results.append((request_id, kind, *details))
        d.tenant_requests.result_streams, d.pending_calls = {"o1": 1}, {"c1": call}

    run_shutdown(monkeypatch, lambda d, t: None, before=before)
    assert results == [("o1", "fault", 405, "maybe", 1000)]
    assert call.result == (503, {}) and call.done.is_set()


def test_the_grace_period_starts_when_the_signal_arrives(monkeypatch):
    def step(d, t):
        d.forwarder.requests, d.open_connections = {"r1": Request()}, {1}

    assert run_shutdown(monkeypatch, step, signalled_at=timedelta(seconds=18.5))[1] == pytest.approx(5.5, abs=0.2)


def test_a_shutdown_logs_the_delay_of_its_signal_and_the_interrupted_requests(monkeypatch):
    """Guards against a shutdown whose log does not show whether the signal was handled late or a request was accepted late."""
    lines = []

    def before(d):
        d.logger.info = d.logger.warning = lambda line: lines.append(line)

    def step(d, t):
        begun, late = Request(), Request(started=False)
        begun.received_at, late.received_at = 18 * SEC, 22.5 * SEC
        d.forwarder.requests, d.open_connections = {"r1": begun, "r2": late}, {1}

    run_shutdown(monkeypatch, step, signalled_at=timedelta(seconds=18.5), before=before)
    assert lines[0].endswith(" event=drain noticed_ms=1500 requests=2")
    assert [line.split(" event=")[1] for line in (lines[1], lines[-2])] == [
        "listeners-closing after_ms=3800 requests=2 connections=1",
        "drained after_ms=7000 connections=1",
    ]
    assert lines[-1].endswith(" event=cut-at-shutdown requests=2 begun=1 last_after_ms=4000")


def test_a_second_signal_has_no_effect(monkeypatch):
    async def go():
        d = daemon()
        d.draining = True
        await shutdown.shut_down(d)
        return d.stopping.is_set()

    assert anyio.run(go) is False


def test_the_time_of_a_signal_is_recorded_while_the_event_loop_is_busy():
    import os
    import signal
    import time

    async def go():
        times = shutdown.SigtermRecorder()
        with anyio.open_signal_receiver(signal.SIGTERM) as signals:
            times.watch()
            at = time.monotonic()
            os.kill(os.getpid(), signal.SIGTERM)
            while time.monotonic() - at < 0.3:  # blocks the event loop
                pass
            async for _ in signals:
                return times.signalled_at.total_seconds() - at

    assert 0 <= anyio.run(go) < 0.1


def test_the_timetable_is_in_order_and_ends_in_the_last_sixth_of_the_grace_period():
    for grace in (2, 4, 8, 30):
        for linger in (0, 3, 6, 60):
            t = timetable(stop_requested_at=5 * SEC, grace=grace * SEC, linger=linger * SEC, cut_streams_for=3 * SEC)
            assert 5 * SEC <= t.linger_until <= t.close_by < t.answer_at < t.end_at <= (5 + grace) * SEC
            assert t.end_at - 5 * SEC >= grace * SEC * 5 / 6
            assert t.streams_until < 8 * SEC
