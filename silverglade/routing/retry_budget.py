"""Retry budget of the fleet without coordination between daemons (design 16.1).

The rule, summed over all daemons: in every sliding window the arrivals beyond the first of
each request are at most ratio times the requests, plus slack. The requests may be counted in that
window, in the one before it, or in the one half a window earlier, whichever has the most. A single
daemon cannot know which one that is. So each daemon limits, for every window still open, its
own retries to ratio times a fixed weighted mean of its own three counts. The mean is linear: summed
over daemons it never exceeds the largest of the three sums. A restarted daemon needs no memory
for that part; it spends its share of the slack only after one window of uptime,
when no window can contain retries of an earlier process.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from ..runtime.record import Record

SLOTS_PER_WINDOW = 40
"""Number of time slots per window."""
SLOTS_PER_HALF_WINDOW = SLOTS_PER_WINDOW // 2
RETAINED_SLOTS = 3 * SLOTS_PER_WINDOW
SETTLING_SLOTS = 3
"""Additional slots after its first window during which a daemon spends no slack."""


class WindowMix(NamedTuple):
    """Weights of a daemon's three request counts; they sum to 1."""

    window_before: float
    half_a_window_before: float
    window: float


MIX = WindowMix(0.5, 0.25, 0.25)


class SlotCount(Record):
    """Number of events counted in one time slot."""

    slot: int
    count: int


class FleetSize(NamedTuple):
    """Number of edge daemons known at a given time."""

    at: timedelta
    daemons: int


SlotCounts = dict[str, deque[SlotCount]]
"""Service to its counts, oldest first."""


class CumulativeCounts:
    """Prefix sums that give the count of any range of slots."""

    __slots__ = ("slots", "sums")

    def __init__(self, counts: Iterable[SlotCount]) -> None:
        self.slots: list[int] = []
        self.sums = [0]
        for entry in counts:
            self.slots.append(entry.slot)
            self.sums.append(self.sums[-1] + entry.count)

    def between(self, first: int, last: int) -> int:
        """Return the count of the slots from `first` to `last`, both included."""
        if last < first:
            return 0
        end = bisect_left(self.slots, max(first, last + 1))
        return self.sums[end] - self.sums[bisect_left(self.slots, first)]

    def weighted_mean(self, slot: int) -> float:
        """Return the weighted mean of the three counts for windows that begin within this slot."""
        return (
            MIX.window_before * self.between(slot - SLOTS_PER_WINDOW + 2, slot - 1)
            + MIX.half_a_window_before * self.between(slot - SLOTS_PER_HALF_WINDOW + 2, slot + SLOTS_PER_HALF_WINDOW - 1)
            + MIX.window * self.between(slot + 2, slot + SLOTS_PER_WINDOW - 1)
        )


class RetryBudget:
    """Limits the arrivals beyond the first that this daemon sends.

    Counts are kept per time slot and rounded to the daemon's disadvantage, with one slot allowed for network delay.

    :ivar started_at: when this process of the daemon started; None before the first event.
    :ivar slot_length: duration of a time slot.
    :ivar requests: counts of client requests, by service.
    :ivar retries: counts of arrivals beyond the first, by service.
    :ivar fleet_sizes: numbers of edge daemons known recently, oldest first, in decreasing order.
    """

    def __init__(self, *, tuning: Mapping[str, Any], started_at: timedelta | None = None) -> None:
        self.tuning = tuning
        self.started_at = started_at
        self.slot_length: timedelta = tuning["budget_window"] / SLOTS_PER_WINDOW
        self.requests: SlotCounts = {}
        self.retries: SlotCounts = {}
        self.fleet_sizes: deque[FleetSize] = deque()

    def slot(self, now: timedelta) -> int:
        """Return the number of the slot that contains this time."""
        if self.started_at is None:
            self.started_at = now
        return now // self.slot_length

    def on_request(self, now: timedelta, service: str) -> None:
        """Count a client request for the service; called once per request, however often it is sent."""
        increment_count(self.requests, service, self.slot(now))

    def largest_fleet(self, now: timedelta, daemons: int) -> int:
        """Return the largest number of edge daemons known recently.

        :param daemons: number of edge daemons known now.
        """
        while self.fleet_sizes and self.fleet_sizes[-1].daemons <= daemons:
            self.fleet_sizes.pop()
        self.fleet_sizes.append(FleetSize(now, daemons))
        while now - self.fleet_sizes[0].at > self.tuning["budget_recall"]:
            self.fleet_sizes.popleft()
        return self.fleet_sizes[0].daemons

    def share(self, now: timedelta, daemons: int) -> float:
        """Return this daemon's share of the slack: 0 during its first window, and 0 if no edge daemon is known."""
        largest = self.largest_fleet(now, daemons)
        settling = self.tuning["budget_window"] + SETTLING_SLOTS * self.slot_length
        if largest < 1 or self.started_at is None or now - self.started_at < settling:
            return 0.0
        slack: float = self.tuning["budget_slack"] * self.tuning["budget_slack_part"]
        return slack / largest

    def spend(self, now: timedelta, service: str, *, daemons: int) -> bool:
        """Return whether one arrival beyond the first may be sent now; if so, count it.

        :param daemons: number of edge daemons known now.
        """
        if not self.allows(now, service, daemons=daemons):
            return False
        increment_count(self.retries, service, self.slot(now))
        return True

    def allows(self, now: timedelta, service: str, *, daemons: int, arrivals: int = 1) -> bool:
        """Return whether this many arrivals beyond the first may be sent now.

        :param daemons: number of edge daemons known now.
        """
        slot = self.slot(now)
        ratio = self.tuning["budget_ratio"] * self.tuning["budget_ratio_part"]
        share = self.share(now, daemons)
        requests = CumulativeCounts(self.requests.get(service, ()))
        earlier = list(self.retries.get(service, ()))
        retries = arrivals
        for window_start in range(slot + 1, slot - SLOTS_PER_WINDOW - 1, -1):  # windows that begin within this slot
            while earlier and earlier[-1].slot >= window_start - 1:
                retries += earlier.pop().count
            if retries > ratio * requests.weighted_mean(window_start) + share:
                return False
        return True


def increment_count(counts: SlotCounts, service: str, slot: int) -> None:
    """Increment the count of this slot, and drop slots older than any window still open."""
    entries = counts.setdefault(service, deque())
    if entries and entries[-1].slot == slot:
        entries[-1].count += 1
    else:
        entries.append(SlotCount(slot, 1))
    while entries[0].slot < slot - RETAINED_SLOTS:
        entries.popleft()
