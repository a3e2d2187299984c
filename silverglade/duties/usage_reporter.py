"""The component of a core that reports usage to the platform while the core holds the usage duty (design 18.2, 18.4).

It collects the counts of each window from the daemons, records their sum in the control store, reads the record back, and sends
exactly the recorded sum until the platform answers or the report is overdue. Windows are handled one after the other: recording
a window closes the one before it.
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
from .messages import TenantCounts, WindowUsage, WindowUsageAck
from .wall_clock import WindowClock

POLL_INTERVAL = timedelta(milliseconds=200)
"""How often the holder checks for work."""

RECORD_RETRY_INTERVAL = timedelta(seconds=1)
"""A record operation whose result has not been read back is requested again after this."""

LONGEST_CALL_INTERVAL_S = 3600.0

INITIAL_BACKOFF = timedelta(seconds=1)
MAX_BACKOFF = timedelta(seconds=4)
"""Delay between calls that got no conclusive answer; doubled after each."""

COLLECTION_TIMEOUT_SHARE = 0.5
"""Share of the allowed lateness after which daemons that have not reported are no longer waited for."""

MAX_HELD_REPORTS = 16384
"""Limit for the stored counts, one for each process and window. Counts above it are not acknowledged, so that they are sent again."""

RETRYABLE_STATUSES = frozenset({HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_EARLY, HTTPStatus.TOO_MANY_REQUESTS})
"""4xx statuses after which the same call may succeed later."""


class CountingProcess(NamedTuple):
    """A process of a daemon that counts usage."""

    daemon: str
    process_id: str


def _call_interval(duties: int, rate: float) -> timedelta:
    """Return the time between two calls of a duty, if this many duties share `rate` calls per second."""
    return timedelta(seconds=min(duties / rate, LONGEST_CALL_INTERVAL_S)) if rate else INITIAL_BACKOFF


class UsageReporter:
    """Collects counts, records their sums and sends the reports.

    :ivar lease: the lease published last by `DutyLeases`.
    :ivar recorded: the newest window record in the control store.
    :ivar last_closed: the newest window that this process no longer has to send.
    :ivar reports: window number to the counts of each process.
    :ivar call: (call id, token, window) of the call in flight.
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
        self._allowed_lateness: timedelta = tuning["usage_late"]
        self._min_call_interval = _call_interval(len(tuning["duties"]), tuning["duty_rate"])
        self._clock = WindowClock(length=tuning["usage_window"])
        self.lease = LeaseChanged(Duty.USAGE, None, None)
        self.recorded: UsageRecord | None = None
        self.last_closed = -1
        self.reports: dict[int, dict[CountingProcess, TenantCounts]] = {}
        self.call: tuple[str, int, int] | None = None
        self._fenced_token: int | None = None  # rejected by the platform, which has seen a higher one
        self._has_tenants = False
        self._first_window: int | None = None
        self._counting_processes: dict[CountingProcess, timedelta] = {}  # live processes that serve clients, and when each was first seen
        self._last_record_request: tuple[int, timedelta] | None = None  # (window, time)
        self._call_count = 0
        self._next_call_at = ZERO
        self._backoff = INITIAL_BACKOFF

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
                self._clock.update_offset(event.since_1970, now)
            case TimerFired():
                return self._on_timer(now)
        return []

    # --- input from other components and daemons

    def _on_lease_changed(self, event: LeaseChanged) -> None:
        """Update the lease. Under a new token, the counts collected before are discarded."""
        if event.token != self.lease.token:
            self.reports.clear()
            self._last_record_request = None
            self._backoff = INITIAL_BACKOFF
        self.lease = event

    def _on_membership_changed(self, event: MembershipChanged, now: timedelta) -> None:
        """Update the processes that count usage."""
        processes = [CountingProcess(member.name, member.process_id) for member in members_of(event.members) if member.attribute("front")]
        known_since = now if self._counting_processes else ZERO  # processes in the first member list may have been live long before
        self._counting_processes = {process: self._counting_processes.get(process, known_since) for process in processes}

    def _on_message(self, event: MessageReceived, now: timedelta) -> list[Effect]:
        """Store and acknowledge the counts of a process.

        Counts of a window that is already recorded are acknowledged too, so that they are not sent again.
        """
        usage = WindowUsage.decode(event.body)
        if usage is None or usage.token != self.lease.token or self._clock.offset is None:
            return []
        window = usage.window
        if self.recorded is None or window > self.recorded.window:
            has_capacity = sum(map(len, self.reports.values())) < MAX_HELD_REPORTS
            if not has_capacity or not self._oldest_reportable_window(now) - 1 <= window <= self._clock.window_at(now) + 1:
                return []
            reports = self.reports.setdefault(window, {})
            process = CountingProcess(event.sender, usage.process_id)
            if total_requests(usage.counts) >= total_requests(reports.get(process, ())):  # a process that shuts down sends partial counts
                reports[process] = usage.counts
        return [Send(event.sender, WindowUsageAck(usage.token, window).encode())]

    # --- recording and sending

    def _on_timer(self, now: timedelta) -> list[Effect]:
        """Send the recorded window, or request that the next one be recorded."""
        if self.lease.token is None:
            return [WakeAt(NEVER)]
        if self._clock.offset is None:
            return [ReadWallClock(), WakeAt(now + POLL_INTERVAL)]
        if self._has_tenants and self._first_window is None:
            self._first_window = self._clock.window_at(now)
        effects: list[Effect] = []
        recorded = self.recorded
        if recorded is not None and recorded.window > self.last_closed and now > self._report_deadline(recorded.window):
            effects.append(log_record("usage-late", window=recorded.window))
            self.last_closed = recorded.window
        if recorded is not None and recorded.window > self.last_closed:
            effects += self._send_report(recorded, now)
        elif self.call is None and self._is_lease_usable(now):  # the takeover wait gives all daemons time to send their counts
            effects += self._request_next_record(now)
        return [*effects, WakeAt(now + POLL_INTERVAL)]

    def _is_lease_usable(self, now: timedelta) -> bool:
        """Return whether this daemon may use its lease now."""
        return self.lease.token is not None and self.lease.usable_until is not None and now < self.lease.usable_until

    def _report_deadline(self, window: int) -> timedelta:
        """Return the time after which the report of a window is overdue."""
        return self._clock.window_end(window) + self._allowed_lateness

    def _oldest_reportable_window(self, now: timedelta) -> int:
        """Return the oldest window whose report is not overdue."""
        window = self._clock.window_at(now - self._allowed_lateness)
        return window if now <= self._report_deadline(window) else window + 1

    def _request_next_record(self, now: timedelta) -> list[Effect]:
        """Request that the control store record the next window, once its counts are complete or the collection time is over."""
        window = self._next_window_to_record(now)
        if window is None or not self._is_collection_complete(window, now):
            return []
        if (
            self._last_record_request is not None
            and self._last_record_request[0] == window
            and now - self._last_record_request[1] < RECORD_RETRY_INTERVAL
        ):
            return []
        self._last_record_request = (window, now)
        assert self.lease.token is not None
        operation = RecordUsage(self.lease.token, window, self._total_counts(window))
        effects: list[Effect] = [Post(Component.OPERATOR_API, OwnOperationRequested(operation.encode())), ReadWallClock()]
        self.reports = {number: reports for number, reports in self.reports.items() if number >= window}
        return effects

    def _next_window_to_record(self, now: timedelta) -> int | None:
        """Return the oldest window that has ended, is not recorded and can still be reported on time; None if there is none."""
        reported = min((number for number in self.reports if self.recorded is None or number > self.recorded.window), default=None)
        candidates = [number for number in (reported, self._first_window if self._has_tenants else None) if number is not None]
        if not candidates:
            return None
        first = min(candidates) if self.recorded is None else self.recorded.window + 1
        window = max(first, self._oldest_reportable_window(now))
        return window if self._clock.window_end(window) <= now else None

    def _is_collection_complete(self, window: int, now: timedelta) -> bool:
        """Return whether every process that was live in the window has reported it, or the collection time is over."""
        end = self._clock.window_end(window)
        if now >= end + self._allowed_lateness * COLLECTION_TIMEOUT_SHARE:
            return True
        reports = self.reports.get(window, {})
        return all(process in reports for process, since in self._counting_processes.items() if since < end)

    def _total_counts(self, window: int) -> TenantCounts:
        """Return the counts of a window summed over all processes."""
        summed: Counter[str] = Counter()
        for counts in self.reports.get(window, {}).values():
            summed.update(dict(counts))
        return tuple(sorted(summed.items()))

    def _send_report(self, recorded: UsageRecord, now: timedelta) -> list[Effect]:
        """Send the recorded counts if the lease is usable and the backoff is over."""
        token = self.lease.token
        if (
            self.call is not None
            or now < self._next_call_at
            or token is None
            or token == self._fenced_token
            or not self._is_lease_usable(now)
        ):
            return []
        self._call_count += 1
        call_id = f"usage-{token}-{self._call_count}"
        self.call = (call_id, token, recorded.window)
        body = {"window": recorded.window, "counts": dict(recorded.counts)}
        return [CallPlatform(call_id, Duty.USAGE, token, Duty.USAGE, body)]

    def _on_call_ended(self, event: PlatformCallEnded, now: timedelta) -> list[Effect]:
        """Handle the result of a platform call."""
        if self.call is None or event.call_id != self.call[0]:
            return []
        (_, token, window), self.call, status = self.call, None, event.status
        if status == HTTPStatus.OK:
            self.last_closed = max(self.last_closed, window)
            self._backoff, self._next_call_at = INITIAL_BACKOFF, now + self._min_call_interval
            return []
        if status == HTTPStatus.CONFLICT:
            self._fenced_token = token
            return [log_record("duty-fenced", duty=str(Duty.USAGE), token=token)]
        if status is not None and status // 100 == 4 and status not in RETRYABLE_STATUSES:
            self.last_closed = max(self.last_closed, window)
            return [log_record("usage-refused", window=window, status=status)]
        self._next_call_at = now + max(self._backoff, self._min_call_interval)
        self._backoff = min(self._backoff * 2, MAX_BACKOFF)
        return []


def total_requests(counts: TenantCounts) -> int:
    """Return the number of requests of all tenants."""
    return sum(requests for _, requests in counts)
