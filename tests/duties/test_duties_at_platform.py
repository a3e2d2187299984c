"""What the platform sees of duties while their holder is killed, stopped and cut off (design 18).

Whole daemons on the simulator's clock, network and disks, with a stand-in platform (tests/support/duty_world.py). More seeds by hand:
`play` of a `DutyWorld` with each.
"""

from datetime import timedelta

import pytest

from silverglade.duties import leases, usage_reporter
from silverglade.duties.lease_times import LeaseTimes
from silverglade.duties.usage_reporter import UsageReporter
from tests.support.duty_world import LATE, SECOND, WALL_START, WINDOW, DutyWorld, breaches, falling_tokens, reported

SEEDS = (1, 2)


def due_windows(world):
    """Windows in which requests ran and whose report has fallen due."""
    return [window for window in world.truth if (window + 1) * WINDOW + LATE - WALL_START < world.now]


def test_a_calm_day_is_reported_in_time_to_the_last_request():
    world = DutyWorld(seed=3)
    world.run(60)
    found = reported(world)
    assert len(due_windows(world)) >= 6
    for window in due_windows(world):
        counts, after_end = found[window]
        assert counts == dict(world.truth[window]) and after_end < SECOND
    assert world.call_count == len(world.arrivals) == len(found)  # no call but one a window


def interrupted(seed, stage, trouble, *, fenced=False, seconds=22):
    """A day on which the holder meets a trouble when its call has come so far."""
    world = DutyWorld(seed=seed, fenced=fenced)
    world.run(22)
    holders = []

    def strike(name):
        holders.append(name)
        trouble(world, name)

    world.on_call[stage] = strike
    world.run(seconds)
    assert holders
    return world, holders[0]


TROUBLES = {
    "kill": lambda world, name: world.kill_for(name, 3),
    "blink": lambda world, name: world.kill_for(name, 0.3),
    "freeze": lambda world, name: world.freeze_for(name, 6),
    "cut": lambda world, name: world.cut_for(name, 6),
    "cut from the fleet": lambda world, name: world.cut_for(name, 8, platform=False),
    "cut from the platform": lambda world, name: world.cut_for(name, 4, fleet=False),
}


@pytest.mark.parametrize("stage", ["asked", "written", "taken"])
@pytest.mark.parametrize("name", TROUBLES)
def test_a_holder_that_is_struck_in_a_call_breaks_nothing(name, stage):
    world, holder = interrupted(5, stage, TROUBLES[name], fenced=stage == "taken")
    assert breaches(world) == []
    missing = [window for window in due_windows(world) if window not in reported(world)]
    assert missing == []
    if name in ("kill", "freeze", "cut", "cut from the fleet"):
        assert world.holder() != holder


@pytest.mark.parametrize("mode", ["slow", "down", "busy", "error", "reset"])
def test_a_platform_in_trouble_gets_the_same_again_and_not_too_often(mode):
    world = DutyWorld(seed=6)
    world.run(30)
    before = world.call_count
    world.platform_for(mode, 12)
    world.run(12)
    assert 2 <= world.call_count - before <= 8
    world.run(20)
    assert breaches(world) == []
    assert max(reported(world)) >= max(due_windows(world))


@pytest.mark.parametrize("seed", SEEDS)
def test_days_of_many_troubles(seed):
    world = DutyWorld(seed=seed, fenced=bool(seed % 2))
    world.play(seconds=100)
    assert breaches(world) == []
    assert len({arrival.token for arrival in world.arrivals}) > 1


# --- the same with a guard cut out


def unheard_and_deaf(world, name):
    """The holder gets no clear answer, so it calls again and again; it says that it leaves, and hears no daemon from then on."""
    world.unheard.add(name)
    world.cut([other for other in world.nodes if other != name], [name], both=False)
    world.nodes[name].feed(("state", "leaving"))


def test_a_deposed_holder_that_hears_nothing_stops_before_the_next_one_acts(monkeypatch):
    with_times(monkeypatch)
    world, holder = interrupted(7, "asked", unheard_and_deaf)
    assert len({arrival.holder for arrival in world.arrivals}) == 2 and world.holder() != holder
    assert breaches(world) == []


def with_times(monkeypatch, **changed):
    """Let the lease have other times, and the holder call without a pause, so that two holders are sure to meet."""
    monkeypatch.setattr(usage_reporter, "INITIAL_BACKOFF", SECOND / 10)
    monkeypatch.setattr(usage_reporter, "MAX_BACKOFF", SECOND / 10)
    times = type("Times", (), {"of": staticmethod(lambda lease: LeaseTimes.of(lease)._replace(**changed))})
    monkeypatch.setattr(leases, "LeaseTimes", times)


def test_a_holder_that_acts_on_an_old_proof_is_seen(monkeypatch):
    with_times(monkeypatch, proof_lifetime=timedelta(days=1))
    world, _ = interrupted(7, "asked", unheard_and_deaf)
    assert "lower fence" in [rule for rule, *_ in breaches(world)]


def test_a_new_holder_that_does_not_wait_is_seen(monkeypatch):
    with_times(monkeypatch, takeover_wait=timedelta(0))
    world, _ = interrupted(7, "asked", unheard_and_deaf)
    assert "lower fence" in [rule for rule, *_ in breaches(world)]


# Guards against: a call decided before the process stood still is written when it goes on, after the next holder's.
def test_a_call_written_without_a_look_at_the_lease_is_seen(monkeypatch):
    world, _ = interrupted(8, "asked", lambda world, name: world.freeze_for(name, 12))
    assert list(falling_tokens(world.arrivals, strict=True)) == []
    monkeypatch.setattr(DutyWorld, "may_write", lambda *_: True)
    world, _ = interrupted(8, "asked", lambda world, name: world.freeze_for(name, 12))
    assert list(falling_tokens(world.arrivals, strict=True)) != []


def lose_answer_holder_and_an_edge(world, name):
    """The report has arrived, and its sender dies before it knows; so does a daemon that counted, and what it had is lost."""
    world.kill_for(name, 20)
    world.kill_for(next(n.name for n in world.nodes.values() if not n.core), 20)


def test_a_successor_sends_what_was_recorded_and_no_new_sum(monkeypatch):
    world, _ = interrupted(9, "taken", lose_answer_holder_and_an_edge)
    windows = [arrival.body["window"] for arrival in world.arrivals]
    assert len(windows) > len(set(windows)) and breaches(world) == []  # it was sent again, as it was
    send = UsageReporter._send_report
    summed_anew = lambda self, recorded, now: send(self, recorded._replace(counts=self._total_counts(recorded.window)), now)  # noqa: E731
    monkeypatch.setattr(UsageReporter, "_send_report", summed_anew)
    world, _ = interrupted(9, "taken", lose_answer_holder_and_an_edge)
    assert "two contents" in [rule for rule, *_ in breaches(world)]
