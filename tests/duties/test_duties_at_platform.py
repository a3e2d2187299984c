"""Calls that the platform receives while the holder of a duty is killed, frozen and partitioned (design 18).

Complete daemons run on the simulator's clock, network and disks against a simulated platform (tests/support/duty_world.py). To try
more seeds, call `play` of a `DutyWorld` with each.
"""

from datetime import timedelta

import pytest

from silverglade.duties import leases, usage_reporter
from silverglade.duties.lease_times import LeaseTimes
from silverglade.duties.usage_reporter import UsageReporter
from tests.support.duty_world import LATE, SECOND, WALL_START, WINDOW, DutyWorld, decreasing_tokens, first_reports, violations

SEEDS = (1, 2)


def due_windows(world):
    """Return the windows with requests whose reports are due by now."""
    return [window for window in world.request_counts if (window + 1) * WINDOW + LATE - WALL_START < world.now]


def test_without_faults_every_request_is_reported_within_a_second_of_its_window():
    world = DutyWorld(seed=3)
    world.run(60)
    found = first_reports(world)
    assert len(due_windows(world)) >= 6
    for window in due_windows(world):
        counts, after_end = found[window]
        assert counts == dict(world.request_counts[window]) and after_end < SECOND
    assert world.call_count == len(world.arrivals) == len(found)  # exactly one call for each window


def interrupted(seed, stage, inject_fault, *, fenced=False, seconds=22):
    """Run a day on which a fault hits the holder when its call reaches a stage; return the world and that holder's name."""
    world = DutyWorld(seed=seed, fenced=fenced)
    world.run(22)
    holders = []

    def on_stage_reached(name):
        holders.append(name)
        inject_fault(world, name)

    world.on_stage[stage] = on_stage_reached
    world.run(seconds)
    assert holders
    return world, holders[0]


FAULTS = {
    "kill": lambda world, name: world.kill_for(name, 3),
    "restart": lambda world, name: world.kill_for(name, 0.3),
    "freeze": lambda world, name: world.freeze_for(name, 6),
    "cut": lambda world, name: world.cut_for(name, 6),
    "cut from the fleet": lambda world, name: world.cut_for(name, 8, platform=False),
    "cut from the platform": lambda world, name: world.cut_for(name, 4, fleet=False),
}


@pytest.mark.parametrize("stage", ["requested", "written", "processed"])
@pytest.mark.parametrize("name", FAULTS)
def test_no_rule_is_violated_when_the_holder_fails_during_a_call(name, stage):
    world, holder = interrupted(5, stage, FAULTS[name], fenced=stage == "processed")
    assert violations(world) == []
    missing = [window for window in due_windows(world) if window not in first_reports(world)]
    assert missing == []
    if name in ("kill", "freeze", "cut", "cut from the fleet"):
        assert world.holder() != holder


@pytest.mark.parametrize("mode", ["slow", "down", "busy", "error", "reset"])
def test_reports_are_retried_with_limited_frequency_while_the_platform_fails(mode):
    world = DutyWorld(seed=6)
    world.run(30)
    before = world.call_count
    world.platform_for(mode, 12)
    world.run(12)
    assert 2 <= world.call_count - before <= 8
    world.run(20)
    assert violations(world) == []
    assert max(first_reports(world)) >= max(due_windows(world))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_violated_under_random_faults(seed):
    world = DutyWorld(seed=seed, fenced=bool(seed % 2))
    world.play(seconds=100)
    assert violations(world) == []
    assert len({arrival.token for arrival in world.arrivals}) > 1


# --- the oracle detects violations if a guard is removed


def lose_answers_and_messages(world, name):
    """Make the holder retry without end: its answers are replaced by errors, it announces that it leaves, and receives no more messages."""
    world.failing_answers.add(name)
    world.cut([other for other in world.nodes if other != name], [name], both=False)
    world.nodes[name].feed(("state", "leaving"))


def test_an_isolated_former_holder_stops_before_its_successor_acts(monkeypatch):
    override_lease_times(monkeypatch)
    world, holder = interrupted(7, "requested", lose_answers_and_messages)
    assert len({arrival.holder for arrival in world.arrivals}) == 2 and world.holder() != holder
    assert violations(world) == []


def override_lease_times(monkeypatch, **changed):
    """Override lease times, and shorten the backoff between calls, so that two holders are sure to overlap."""
    monkeypatch.setattr(usage_reporter, "INITIAL_BACKOFF", SECOND / 10)
    monkeypatch.setattr(usage_reporter, "MAX_BACKOFF", SECOND / 10)
    times = type("Times", (LeaseTimes,), {"of": staticmethod(lambda lease: LeaseTimes.of(lease)._replace(**changed))})
    monkeypatch.setattr(leases, "LeaseTimes", times)


def test_the_oracle_detects_a_holder_that_acts_on_an_expired_proof(monkeypatch):
    override_lease_times(monkeypatch, proof_lifetime=timedelta(days=1))
    world, _ = interrupted(7, "requested", lose_answers_and_messages)
    assert "decreasing token" in [rule for rule, *_ in violations(world)]


def test_the_oracle_detects_a_new_holder_that_skips_the_takeover_wait(monkeypatch):
    override_lease_times(monkeypatch, takeover_wait=timedelta(0))
    world, _ = interrupted(7, "requested", lose_answers_and_messages)
    assert "decreasing token" in [rule for rule, *_ in violations(world)]


# Guards against: a call decided before the process was frozen is written after it resumes, later than a call of the next holder.
def test_the_oracle_detects_a_call_written_without_checking_the_lease(monkeypatch):
    world, _ = interrupted(8, "requested", lambda world, name: world.freeze_for(name, 12))
    assert list(decreasing_tokens(world.arrivals, strict=True)) == []
    monkeypatch.setattr(DutyWorld, "may_write", lambda *_: True)
    world, _ = interrupted(8, "requested", lambda world, name: world.freeze_for(name, 12))
    assert list(decreasing_tokens(world.arrivals, strict=True)) != []


def lose_answer_holder_and_an_edge(world, name):
    """The report has arrived, and its sender fails before the answer; a daemon that counted fails too, and its counts are lost."""
    world.kill_for(name, 20)
    world.kill_for(next(n.name for n in world.nodes.values() if not n.core), 20)


def test_a_successor_resends_the_recorded_counts_unchanged(monkeypatch):
    world, _ = interrupted(9, "processed", lose_answer_holder_and_an_edge)
    windows = [arrival.body["window"] for arrival in world.arrivals]
    assert len(windows) > len(set(windows)) and violations(world) == []  # sent again, unchanged
    send = UsageReporter._send_report
    send_recomputed_sum = lambda self, recorded, now: send(self, recorded._replace(counts=self._total_counts(recorded.window)), now)  # noqa: E731
    monkeypatch.setattr(UsageReporter, "_send_report", send_recomputed_sum)
    world, _ = interrupted(9, "processed", lose_answer_holder_and_an_edge)
    assert "conflicting reports" in [rule for rule, *_ in violations(world)]
