"""The component of a core that reports usage to the platform while it holds the duty (design 18.2, 18.4).

It gathers what daemons counted in each window, records the sum in control, reads it back, and sends exactly that, until the platform
has answered or the report would be late. One window after the other: the record of the next closes the one before.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from datetime import timedelta
from http import HTTPStatus
from typing import Any, ClassVar, NamedTuple

from ..control.operations import RecordUsage
from ..control.replicated_state import CONFIGURATION_KEY, UsageRecord, usage_record, value_of
from ..membership.records import members_of
from ..runtime.components import Component
from ..runtime.effects import NEVER, ZERO, CallPlatform, Effect, Post, ReadWallClock, Send, WakeAt, log_record
from ..runtime.events import (
    Event,
    LeaseChanged,
    MembershipChanged,
    MessageReceived,
    OwnOperationRequested,
    PlatformCallEnded,
    StoreUpdated,
    TimerFired,
    WallClockRead,
)
from .duty import Duty
from .messages import Counts, UsageCounted, UsageTaken
from .wall_clock import WindowClock

TURN = timedelta(milliseconds=200)
"""How often the holder looks what is to be done."""

RECORD_AGAIN = timedelta(seconds=1)
"""A record that was not read back is asked for again after this."""

FIRST_PAUSE = timedelta(seconds=1)
MAX_PAUSE = timedelta(seconds=4)
"""Between calls without a clear answer; twice as long each time."""

GATHER_SHARE = 0.5
"""Of the time until a report is late: daemons that have not reported by then are waited for no longer."""

MAX_REPORTS = 16384
"""Daemons' counts that are held; further ones are not confirmed, and come again."""

RETRIED_STATUSES = frozenset({HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_EARLY, HTTPStatus.TOO_MANY_REQUESTS})
"""4xx after which the same call may be taken later."""


class Process(NamedTuple):
    """One process of a daemon."""

    daemon: str
    process_id: str


class UsageReporter:
    """Gathers, records and sends.

    :ivar lease: what this daemon may do, as `DutyLeases` said last.
    :ivar recorded: the newest window in control.
    :ivar closed: the newest window that this process need not send any more.
    :ivar reports: window to what each process counted in it.
    :ivar call: (call id, token, window) of the call under way.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        LeaseChanged,
        StoreUpdated,
        MembershipChanged,
        MessageReceived,
        PlatformCallEnded,
        WallClockRead,
        TimerFired,
    )

    def __init__(self, *, tuning: Mapping[str, Any]) -> None:
        self._late: timedelta = tuning["usage_late"]
        self._least_gap = timedelta(seconds=len(tuning["duties"]) / tuning["duty_rate"]) if tuning["duty_rate"] else FIRST_PAUSE
        self._clock = WindowClock(length=tuning["usage_window"])
        self.lease = LeaseChanged(Duty.USAGE, None, None)
        self.recorded: UsageRecord | None = None
        self.closed = -1
        self.reports: dict[int, dict[Process, Counts]] = {}
        self.call: tuple[str, int, int] | None = None
        self._refused_token: int | None = None  # the platform has seen a higher one
        self._has_tenants = False
        self._first_window: int | None = None
        self._counting: dict[Process, timedelta] = {}  # live processes that clients reach, and since when they are known
        self._asked: tuple[int, timedelta] | None = None  # which window's record was asked for last, and when
        self._call_count = 0
        self._next_call_at = ZERO
        self._pause = FIRST_PAUSE

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event; return its effects."""
        match event:
            case LeaseChanged():
                self._on_lease_changed(event)
            case StoreUpdated():
                self.recorded = usage_record(event.store)
                self._has_tenants = bool((value_of(event.store, CONFIGURATION_KEY) or {}).get("callers"))
            case MembershipChanged():
                self._on_membership_changed(event, now)
            case MessageReceived():
                return self._on_message(event, now)
            case PlatformCallEnded():
                return self._on_call_ended(event, now)
            case WallClockRead():
                self._clock.on_read(event.since_1970, now)
            case TimerFired():
                return self._on_timer(now)
        return []

    # --- what others say

    def _on_lease_changed(self, event: LeaseChanged) -> None:
        """Take what this daemon may do; a new holder begins without what it gathered before."""
        if event.token != self.lease.token:
            self.reports.clear()
            self._asked = None
            self._pause = FIRST_PAUSE
        self.lease = event

    def _on_membership_changed(self, event: MembershipChanged, now: timedelta) -> None:
        """Take which processes count usage."""
        processes = [Process(member.name, member.process_id) for member in members_of(event.members) if member.attribute("front")]
        known_since = now if self._counting else ZERO  # the first ones that are heard of may have lived long before
        self._counting = {process: self._counting.get(process, known_since) for process in processes}

    def _on_message(self, event: MessageReceived, now: timedelta) -> list[Effect]:
        """Take what a process counted, and confirm it; also where the window is recorded already, so that it is not sent again."""
        counted = UsageCounted.decode(event.body)
        if counted is None or counted.token != self.lease.token or self._clock.offset is None:
            return []
        window = counted.window
        if self.recorded is None or window > self.recorded.window:
            is_held = sum(map(len, self.reports.values())) < MAX_REPORTS
            if not is_held or not self._oldest_in_time(now) - 1 <= window <= self._clock.window_at(now) + 1:
                return []
            reports = self.reports.setdefault(window, {})
            process = Process(event.sender, counted.process_id)
            if total(counted.counts) >= total(reports.get(process, ())):  # one that leaves sends what it has so far
                reports[process] = counted.counts
        return [Send(event.sender, UsageTaken(counted.token, window).encode())]

    # --- what is to be done

    def _on_timer(self, now: timedelta) -> list[Effect]:
        """Record the next window, or send the one that is recorded."""
        if self.lease.token is None:
            return [WakeAt(NEVER)]
        if self._clock.offset is None:
            return [ReadWallClock(), WakeAt(now + TURN)]
        if self._has_tenants and self._first_window is None:
            self._first_window = self._clock.window_at(now)
        effects: list[Effect] = []
        recorded = self.recorded
        if recorded is not None and recorded.window > self.closed and now > self._late_at(recorded.window):
            effects.append(log_record("usage-late", window=recorded.window))
            self.closed = recorded.window
        if recorded is not None and recorded.window > self.closed:
            effects += self._send(recorded, now)
        elif self.call is None and self._may_act(now):  # by then all have told a new holder what they counted
            effects += self._record_next(now)
        return [*effects, WakeAt(now + TURN)]

    def _may_act(self, now: timedelta) -> bool:
        """Tell whether this daemon may use its lease now."""
        return self.lease.token is not None and self.lease.usable_until is not None and now < self.lease.usable_until

    def _late_at(self, window: int) -> timedelta:
        """Return when the report of a window is late."""
        return self._clock.end_of(window) + self._late

    def _oldest_in_time(self, now: timedelta) -> int:
        """Return the oldest window whose report would not be late."""
        window = self._clock.window_at(now - self._late)
        return window if now <= self._late_at(window) else window + 1

    def _record_next(self, now: timedelta) -> list[Effect]:
        """Ask control to record the next window, once all have reported it or have had time to."""
        window = self._next_window(now)
        if window is None or not self._is_gathered(window, now):
            return []
        if self._asked is not None and self._asked[0] == window and now - self._asked[1] < RECORD_AGAIN:
            return []
        self._asked = (window, now)
        assert self.lease.token is not None
        operation = RecordUsage(self.lease.token, window, self._sum(window))
        effects: list[Effect] = [Post(Component.OPERATOR_API, OwnOperationRequested(operation.encode())), ReadWallClock()]
        self.reports = {number: reports for number, reports in self.reports.items() if number >= window}
        return effects

    def _next_window(self, now: timedelta) -> int | None:
        """Return the oldest window that has ended, is not recorded and is still in time; None for none."""
        reported = min((number for number in self.reports if self.recorded is None or number > self.recorded.window), default=None)
        begins = [number for number in (reported, self._first_window if self._has_tenants else None) if number is not None]
        if not begins:
            return None
        first = min(begins) if self.recorded is None else self.recorded.window + 1
        window = max(first, self._oldest_in_time(now))
        return window if self._clock.end_of(window) <= now else None

    def _is_gathered(self, window: int, now: timedelta) -> bool:
        """Tell whether every process that lived in the window has reported it, or has had time to."""
        end = self._clock.end_of(window)
        if now >= end + self._late * GATHER_SHARE:
            return True
        reports = self.reports.get(window, {})
        return all(process in reports for process, since in self._counting.items() if since < end)

    def _sum(self, window: int) -> Counts:
        """Return the counts of a window of all processes."""
        summed: Counter[str] = Counter()
        for counts in self.reports.get(window, {}).values():
            summed.update(dict(counts))
        return tuple(sorted(summed.items()))

    def _send(self, recorded: UsageRecord, now: timedelta) -> list[Effect]:
        """Send what is recorded, if the lease may be used and the pause is over."""
        token = self.lease.token
        if self.call is not None or now < self._next_call_at or token is None or token == self._refused_token or not self._may_act(now):
            return []
        self._call_count += 1
        call_id = f"usage-{token}-{self._call_count}"
        self.call = (call_id, token, recorded.window)
        body = {"window": recorded.window, "counts": dict(recorded.counts)}
        return [CallPlatform(call_id, Duty.USAGE, token, Duty.USAGE, body)]

    def _on_call_ended(self, event: PlatformCallEnded, now: timedelta) -> list[Effect]:
        """Take the platform's answer."""
        if self.call is None or event.call_id != self.call[0]:
            return []
        (_, token, window), self.call, status = self.call, None, event.status
        if status == HTTPStatus.OK:
            self.closed = max(self.closed, window)
            self._pause, self._next_call_at = FIRST_PAUSE, now + self._least_gap
            return []
        if status == HTTPStatus.CONFLICT:
            self._refused_token = token
            return [log_record("duty-fenced", duty=str(Duty.USAGE), token=token)]
        if status is not None and status // 100 == 4 and status not in RETRIED_STATUSES:
            self.closed = max(self.closed, window)
            return [log_record("usage-refused", window=window, status=status)]
        self._next_call_at = now + max(self._pause, self._least_gap)
        self._pause = min(self._pause * 2, MAX_PAUSE)
        return []


def total(counts: Counts) -> int:
    """Return the requests of all tenants."""
    return sum(requests for _, requests in counts)
