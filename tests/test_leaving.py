"""How a daemon leaves (design 1.4, 15.3): no request that it has read is cut off while there is time."""

from datetime import timedelta

import anyio
import anyio.lowlevel
import pytest

from silverglade.daemon import run

from .test_lanes import daemon

SEC = timedelta(seconds=1)


def leave(monkeypatch, step, *, grace=8 * SEC, linger=0 * SEC, most=400, core=False):
    """Drains on a clock that goes on with each wait; `step(daemon, seconds)` -> when it shut its door, and ended."""
    now = [0.0]

    async def wait(t):
        now[0] += t
        step(d, now[0])
        assert now[0] < most
        await anyio.lowlevel.checkpoint()

    class Door:
        def set(self):
            self.at = now[0]

    d = daemon()
    d.closing, d.store = Door(), core
    d.outer = type("Outer", (), {"grace": grace, "linger": linger, "front": "x"})() if grace else None
    monkeypatch.setattr(run.anyio, "sleep", wait)
    monkeypatch.setattr(run, "clock", lambda: timedelta(seconds=now[0]))
    step(d, 0)
    anyio.run(d.drain)
    assert d.draining and d.stopping.is_set()
    return d.closing.at, now[0]


def test_what_is_idle_leaves_at_once(monkeypatch):
    closing, stopping = leave(monkeypatch, lambda d, t: None)
    assert stopping < 1


def test_the_door_stays_open_for_as_long_as_clients_hold_the_address(monkeypatch):
    closing, stopping = leave(monkeypatch, lambda d, t: None, linger=5 * SEC)
    assert 5 <= closing <= stopping < 6.5
    closing, stopping = leave(monkeypatch, lambda d, t: None, linger=50 * SEC)  # but not beyond the grace
    assert 5 <= closing < stopping + 0.1 < 7.2


def test_requests_under_way_end_first(monkeypatch):
    def step(d, t):
        d.shell.asks = {"r1": 1} if t < 2 else {}

    closing, stopping = leave(monkeypatch, step)
    assert 2 <= closing < stopping + 0.1 < 3


def test_the_door_shuts_half_way_and_the_rest_still_ends(monkeypatch):
    def step(d, t):
        d.shell.asks = {"r1": 1} if t < 6 else {}
        d.open = {1} if t < 6.5 else set()  # an answer still on its way out

    closing, stopping = leave(monkeypatch, step)
    assert 3.5 <= closing < 5 and 6.5 <= stopping < 7


def test_the_time_given_is_kept(monkeypatch):
    def step(d, t):
        d.shell.asks, d.open = {"r1": 1}, {1}

    assert leave(monkeypatch, step)[1] == pytest.approx(7, abs=0.2)
    assert leave(monkeypatch, step, grace=None)[1] == pytest.approx(30, abs=0.7)


def test_orders_hold_the_door_open(monkeypatch):
    def step(d, t):
        d.jobs = {"o.1": 1} if t < 20 else {}

    closing, _ = leave(monkeypatch, step, grace=None)
    assert closing >= 20


@pytest.mark.parametrize("grace,end", [(8 * SEC, 7), (None, 30)])
def test_a_core_stays_until_the_others_can_do_without_it_or_its_grace_runs_out(monkeypatch, grace, end):
    def step(d, t):
        if t > 2:
            d.act(("released",))

    assert 2 <= leave(monkeypatch, step, grace=grace, core=True)[1] < 3
    assert leave(monkeypatch, lambda d, t: None, grace=grace, core=True)[1] == pytest.approx(end, abs=0.5)
