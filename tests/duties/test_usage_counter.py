"""Counting of requests and the transmission of the counts to the holder (design 18.4)."""

from datetime import timedelta

from silverglade.duties.usage_counter import UsageCounter
from silverglade.membership.records import MemberRecord
from silverglade.runtime.effects import Send, WakeAt
from silverglade.runtime.events import (
    MembershipChanged,
    MessageReceived,
    ShutdownStarted,
    StoreUpdated,
    TenantRequestStarted,
    TimerFired,
    WallClockRead,
)
from silverglade.runtime.settings import tuning

SECOND = timedelta(seconds=1)
DAY = timedelta(days=1)
FIRST = DAY // (5 * SECOND)


def store(epoch=1, holder="core"):
    return {"config": ((1, 1), {"callers": {"t": {}}}), "duty/platform/usage": ((1, 2), (epoch, holder, ""))}


def member(name, process):
    return MemberRecord(name, process, 1, 1, "z", "r", "", "", True, "ready")


def counter():
    machine = UsageCounter(process_id="p1", tuning=tuning(duties=["usage"]))
    machine.step(SECOND, StoreUpdated(store(), (1, 2)))
    machine.step(SECOND, MembershipChanged((member("core", "c1"),)))
    machine.step(SECOND, WallClockRead(DAY + SECOND))  # the monotonic clock is a day behind
    machine.step(SECOND, TimerFired())
    return machine


def sent(machine, now, event=None):
    effects = machine.step(now, event or TimerFired())
    return [(effect.to, effect.body) for effect in effects if isinstance(effect, Send)]


def test_a_finished_window_is_resent_until_it_is_acknowledged():
    machine = counter()
    for tenant in ("a", "b", "a"):
        machine.step(2 * SECOND, TenantRequestStarted(tenant))
    assert sent(machine, 4 * SECOND) == []
    message = ("core", ("usage-put", "p1", 1, FIRST, (("a", 2), ("b", 1))))
    assert sent(machine, 5 * SECOND) == [message]
    assert sent(machine, 5.5 * SECOND) == []
    assert sent(machine, 6 * SECOND) == [message]
    machine.step(6 * SECOND, MessageReceived("core", ("usage-got", 1, FIRST)))
    assert sent(machine, 8 * SECOND) == []


# Guards against: a new holder, or the same daemon after a restart, lacks counts that the previous process acknowledged.
def test_a_new_holder_receives_all_windows_that_may_still_be_reported():
    machine = counter()
    machine.step(2 * SECOND, TenantRequestStarted("a"))
    assert len(sent(machine, 5 * SECOND)) == 1
    machine.step(5 * SECOND, MessageReceived("core", ("usage-got", 1, FIRST)))
    machine.step(7 * SECOND, MembershipChanged((member("core", "c2"),)))
    assert [body[2:4] for _, body in sent(machine, 7 * SECOND)] == [(1, FIRST)]
    machine.step(8 * SECOND, StoreUpdated(store(2, "other"), (1, 3)))
    assert [(to, *body[2:4]) for to, body in sent(machine, 8 * SECOND)] == [("other", 2, FIRST)]
    assert [body[3] for _, body in sent(machine, 40 * SECOND)] == [FIRST + 5, FIRST + 6, FIRST + 7]


# Guards against: a request is counted in two windows, or a window is reopened, when the wall clock steps back.
def test_a_wall_clock_step_back_reopens_no_window():
    machine = counter()
    machine.step(6 * SECOND, TenantRequestStarted("a"))
    machine.step(6 * SECOND, WallClockRead(DAY + 2 * SECOND))
    machine.step(7 * SECOND, TenantRequestStarted("a"))
    assert machine.window == FIRST + 1 and list(machine.finished) == [FIRST]
    sent(machine, 15 * SECOND)
    assert machine.finished[FIRST + 1].counts == (("a", 2),)


def test_partial_counts_are_sent_at_shutdown():
    machine = counter()
    machine.step(2 * SECOND, TenantRequestStarted("a"))
    machine.step(3 * SECOND, ShutdownStarted(8 * SECOND, 9 * SECOND, 10 * SECOND))
    assert sent(machine, 3 * SECOND) == [("core", ("usage-put", "p1", 1, FIRST, (("a", 1),)))]
    assert sent(machine, 3.5 * SECOND) == []


def test_without_tenants_nothing_is_sent_and_no_timer_is_set():
    machine = UsageCounter(process_id="p1", tuning=tuning(duties=["usage"]))
    machine.step(SECOND, WallClockRead(DAY + SECOND))
    machine.step(SECOND, StoreUpdated({"duty/platform/usage": ((1, 2), (1, "core", ""))}, (1, 2)))
    (wake,) = machine.step(SECOND, TimerFired())
    assert isinstance(wake, WakeAt) and wake.time > DAY
