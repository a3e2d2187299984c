"""Recording of windows that ended before a new holder took over (design 18.2, 18.4)."""

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
    """A reporter that becomes holder at second 2 of window 201, while window 200 is unreported."""

    def __init__(self, names=("e0", "e1")):
        self.reporter = UsageReporter(tuning=tuning(duties=[Duty.USAGE], duty_rate=50.0))
        self.now = 102 * SECOND
        self.reporter.step(self.now, WallClockRead((WINDOW + 1) * 5 * SECOND + 2 * SECOND))
        self.reporter.step(self.now, StoreUpdated({"config": ((1, 1), {"callers": {}})}, (1, 1)))
        self.reporter.step(self.now, MembershipChanged(tuple(member(name) for name in names)))
        self.reporter.step(self.now, LeaseChanged(Duty.USAGE, TOKEN, None))

    def report_counts(self, name, requests):
        body = WindowUsage("p1", TOKEN, WINDOW, (("ann", requests),)).encode()
        return self.reporter.step(self.now, MessageReceived(name, body))

    def requested_records(self, seconds):
        """Advance the clock; return the operations requested from the control store."""
        self.now += timedelta(seconds=seconds)
        return [effect.event.operation for effect in self.reporter.step(self.now, TimerFired()) if hasattr(effect, "event")]

    def make_lease_usable(self):
        self.reporter.step(self.now, LeaseChanged(Duty.USAGE, TOKEN, self.now + 60 * SECOND))


# Guards against: a restarted holder records the previous window as empty before the daemons have sent it their counts, which are lost.
def test_nothing_is_recorded_before_the_lease_is_usable():
    successor = Successor()
    assert successor.requested_records(0.1) == []
    successor.report_counts("e0", 50)
    assert successor.requested_records(2.8) == []
    successor.report_counts("e1", 7)
    successor.make_lease_usable()
    assert [operation[2:] for operation in successor.requested_records(0.1)] == [(WINDOW, (("ann", 57),))]


def test_a_new_holder_waits_for_daemons_that_were_live_before_it():
    successor = Successor()
    successor.make_lease_usable()
    successor.report_counts("e0", 50)
    assert successor.requested_records(0.1) == []
    successor.report_counts("e1", 7)
    assert [operation[2:] for operation in successor.requested_records(0.1)] == [(WINDOW, (("ann", 57),))]


def test_a_new_holder_waits_for_a_silent_daemon_half_of_the_allowed_lateness():
    successor = Successor()
    successor.make_lease_usable()
    successor.report_counts("e0", 50)
    assert successor.requested_records(2.9) == []
    assert [operation[2:] for operation in successor.requested_records(0.2)] == [(WINDOW, (("ann", 50),))]
