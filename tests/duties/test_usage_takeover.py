"""What a holder that has just taken over records of windows that ended before (design 18.2, 18.4)."""

from datetime import timedelta

from silverglade.duties.duty import Duty
from silverglade.duties.messages import WindowUsage
from silverglade.duties.usage_reporter import UsageReporter
from silverglade.membership.records import MemberRecord
from silverglade.runtime.events import LeaseChanged, MembershipChanged, MessageReceived, StoreUpdated, TimerFired, WallClockRead
from silverglade.runtime.settings import tuning

SECOND = timedelta(seconds=1)
WINDOW = 200
TOKEN = 4


def member(name):
    return MemberRecord(name, "p1", 1, 1, "z", "r", "", "", False, "ready", (), (("front", True),))


class Successor:
    """A reporter that learns at second 2 of window 201 that it holds the duty."""

    def __init__(self, names=("e0", "e1")):
        self.part = UsageReporter(tuning=tuning(duties=[Duty.USAGE], duty_rate=50.0))
        self.now = 102 * SECOND
        self.part.step(self.now, WallClockRead((WINDOW + 1) * 5 * SECOND + 2 * SECOND))
        self.part.step(self.now, StoreUpdated({"config": ((1, 1), {"callers": {}})}, (1, 1)))
        self.part.step(self.now, MembershipChanged(tuple(member(name) for name in names)))
        self.part.step(self.now, LeaseChanged(Duty.USAGE, TOKEN, None))

    def count(self, name, requests):
        body = WindowUsage("p1", TOKEN, WINDOW, (("ann", requests),)).encode()
        return self.part.step(self.now, MessageReceived(name, body))

    def recorded(self, seconds):
        """The operations that are asked for by then."""
        self.now += timedelta(seconds=seconds)
        return [effect.event.operation for effect in self.part.step(self.now, TimerFired()) if hasattr(effect, "event")]

    def may_act(self):
        self.part.step(self.now, LeaseChanged(Duty.USAGE, TOKEN, self.now + 60 * SECOND))


# A holder that was killed and back at once recorded the window before as empty; what the daemons told it a moment later was lost.
def test_nothing_is_recorded_before_the_lease_may_be_used():
    successor = Successor()
    assert successor.recorded(0.1) == []
    successor.count("e0", 50)
    assert successor.recorded(2.8) == []
    successor.count("e1", 7)
    successor.may_act()
    assert [operation[2:] for operation in successor.recorded(0.1)] == [(WINDOW, (("ann", 57),))]


def test_daemons_that_were_there_before_the_holder_are_waited_for():
    successor = Successor()
    successor.may_act()
    successor.count("e0", 50)
    assert successor.recorded(0.1) == []
    successor.count("e1", 7)
    assert [operation[2:] for operation in successor.recorded(0.1)] == [(WINDOW, (("ann", 57),))]


def test_one_that_tells_nothing_is_waited_for_half_of_the_time_only():
    successor = Successor()
    successor.may_act()
    successor.count("e0", 50)
    assert successor.recorded(2.9) == []
    assert [operation[2:] for operation in successor.recorded(0.2)] == [(WINDOW, (("ann", 50),))]
