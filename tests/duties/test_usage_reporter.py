"""Recording and sending of usage by the holder, and its reactions to the platform's answers (design 18.2, 18.4)."""

from datetime import timedelta

import pytest

from silverglade.duties.usage_reporter import UsageReporter
from silverglade.membership.records import MemberRecord
from silverglade.runtime.effects import CallPlatform, Post, Send
from silverglade.runtime.events import (
    LeaseChanged,
    MembershipChanged,
    MessageReceived,
    PlatformCallEnded,
    StoreUpdated,
    TimerFired,
    WallClockRead,
)
from silverglade.runtime.settings import tuning

SECOND = timedelta(seconds=1)
DAY = timedelta(days=1)
FIRST = DAY // (5 * SECOND)
CONFIGURATION = {"config": ((1, 1), {"callers": {"t": {}}})}


def edge(name, process):
    return MemberRecord(name, process, 1, 1, "z", "r", "", "", False, "ready", (), (("front", "1.2.3.4:5"),))


def holder():
    machine = UsageReporter(tuning=tuning(duties=["usage"]))
    machine.step(SECOND, MembershipChanged((edge("e1", "p1"), edge("e2", "p2"))))
    machine.step(SECOND, StoreUpdated(CONFIGURATION, (1, 1)))
    machine.step(SECOND, LeaseChanged("usage", 4, 100 * SECOND))
    machine.step(SECOND, WallClockRead(DAY + SECOND))
    machine.step(SECOND, TimerFired())
    return machine


def report(machine, now, *, name="e1", process="p1", window=FIRST, counts=(("a", 2),), token=4):
    effects = machine.step(now, MessageReceived(name, ("usage-put", process, token, window, counts)))
    return [effect.body for effect in effects if isinstance(effect, Send)]


def recorded(machine, now):
    """Return the operations that the holder requests from the control store."""
    effects = machine.step(now, TimerFired())
    return [effect.event.operation for effect in effects if isinstance(effect, Post)]


def calls(machine, now):
    return [effect for effect in machine.step(now, TimerFired()) if isinstance(effect, CallPlatform)]


def record(machine, now, window=FIRST, counts=(("a", 5),)):
    machine.step(now, StoreUpdated({**CONFIGURATION, "usage": ((1, 2), (window, counts))}, (1, 2)))


# Guards against: counts that are repeated, for example by a daemon that was frozen, are added twice; the counts of a restarted daemon
# replace those of its previous process.
def test_the_counts_of_each_process_are_added_once():
    machine = holder()
    for _ in range(2):
        assert report(machine, 5 * SECOND) == [("usage-got", 4, FIRST)]
    report(machine, 5 * SECOND, process="p1b", counts=(("a", 1),))
    assert recorded(machine, 5 * SECOND) == []  # e2 has not reported
    report(machine, 6 * SECOND, name="e2", process="p2", counts=(("b", 7),))
    assert recorded(machine, 6 * SECOND) == [("usage", 4, FIRST, (("a", 3), ("b", 7)))]
    assert recorded(machine, 6.5 * SECOND) == [] and len(recorded(machine, 7 * SECOND)) == 1


def test_a_missing_report_is_waited_for_during_half_of_the_allowed_lateness():
    machine = holder()
    report(machine, 5 * SECOND)
    assert recorded(machine, 9.9 * SECOND) == [] and len(recorded(machine, 10 * SECOND)) == 1


def test_exactly_the_record_that_was_read_back_is_sent():
    machine = holder()
    report(machine, 5 * SECOND)
    assert calls(machine, 10 * SECOND) == []
    record(machine, 10 * SECOND)
    (call,) = calls(machine, 10 * SECOND)
    assert (call.token, call.body) == (4, {"window": FIRST, "counts": {"a": 5}})
    assert calls(machine, 10.5 * SECOND) == []  # one at a time
    machine.step(11 * SECOND, PlatformCallEnded(call.call_id, 503, b""))
    assert calls(machine, 11.5 * SECOND) == []
    (again,) = calls(machine, 12 * SECOND)
    assert again.body == call.body
    machine.step(12 * SECOND, PlatformCallEnded(again.call_id, 200, b""))
    assert calls(machine, 14 * SECOND) == [] and machine.last_closed == FIRST


# Guards against: a holder whose token the platform has fenced off continues to call.
def test_after_409_nothing_is_sent_until_the_token_changes():
    machine = holder()
    record(machine, 6 * SECOND)
    (call,) = calls(machine, 6 * SECOND)
    machine.step(6 * SECOND, PlatformCallEnded(call.call_id, 409, b""))
    assert calls(machine, 12 * SECOND) == []
    machine.step(12 * SECOND, LeaseChanged("usage", 6, 100 * SECOND))
    assert [call.token for call in calls(machine, 12 * SECOND)] == [6]


@pytest.mark.parametrize("status, is_closed", [(400, True), (404, True), (408, False), (429, False), (302, False), (None, False)])
def test_a_window_is_closed_by_final_statuses_only(status, is_closed):
    machine = holder()
    record(machine, 6 * SECOND)
    (call,) = calls(machine, 6 * SECOND)
    machine.step(7 * SECOND, PlatformCallEnded(call.call_id, status, b""))
    assert (machine.last_closed == FIRST) is is_closed


def test_an_overdue_report_is_abandoned():
    machine = holder()
    record(machine, 6 * SECOND)
    assert calls(machine, 15.1 * SECOND) == [] and machine.last_closed == FIRST


@pytest.mark.parametrize("lease", [LeaseChanged("usage", 4, None), LeaseChanged("usage", 4, 6 * SECOND), LeaseChanged("usage", None, None)])
def test_without_the_lease_nothing_is_sent(lease):
    machine = holder()
    record(machine, 6 * SECOND)
    machine.step(6 * SECOND, lease)
    assert calls(machine, 6 * SECOND) == []


def test_counts_for_another_token_or_a_distant_window_are_ignored():
    machine = holder()
    assert report(machine, 5 * SECOND, token=3) == [] and report(machine, 5 * SECOND, window=FIRST + 9) == []
    assert report(machine, 5 * SECOND, window=FIRST - 9) == [] and machine.reports == {}
