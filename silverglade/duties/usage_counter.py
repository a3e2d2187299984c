"""The component that counts requests of each tenant by window and sends the counts to the holder of the usage duty (design 18.4).

It runs in every daemon that serves clients.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, ClassVar, NamedTuple

from ..control.replicated_state import CONFIGURATION_KEY, DUTY_ROLE, role_assignment, value_of
from ..membership.records import members_of
from ..runtime.effects import NEVER, ZERO, Effect, ReadWallClock, Send, WakeAt, log_record
from ..runtime.events import (
    Event,
    MembershipChanged,
    MessageReceived,
    ShutdownStarted,
    StoreUpdated,
    TenantRequestStarted,
    TimerFired,
    WallClockRead,
)
from ..runtime.record import Record
from .duty import Duty
from .messages import TenantCounts, WindowUsage, WindowUsageAck
from .wall_clock import WindowClock

RESEND_INTERVAL = timedelta(seconds=1)
"""Counts that the holder has not acknowledged are sent again after this."""

WALL_CLOCK_RETRY_INTERVAL = timedelta(milliseconds=500)
"""How often the wall clock is requested until the first reading arrives."""


class Holder(NamedTuple):
    """The holder of the duty.

    The process id is part of it, because a restarted holder has lost the counts sent to its previous process.
    """

    name: str
    token: int
    process_id: str


class FinishedWindow(Record):
    """A window that has ended.

    :ivar acknowledged_by: the holder that acknowledged the counts; None if none has.
    :ivar sent_at: when the counts were last sent.
    """

    counts: TenantCounts
    acknowledged_by: Holder | None = None
    sent_at: timedelta | None = None


class UsageCounter:
    """Counts requests, and sends each finished window until the holder acknowledges it or it can no longer be reported.

    :ivar window: the number of the window being counted; None until the wall clock has been read.
    :ivar finished: finished windows by number, as long as they may still be reported.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TenantRequestStarted,
        StoreUpdated,
        MembershipChanged,
        MessageReceived,
        WallClockRead,
        ShutdownStarted,
        TimerFired,
    )

    def __init__(self, *, process_id: str, tuning: Mapping[str, Any]) -> None:
        self._process_id = process_id
        self._allowed_lateness: timedelta = tuning["usage_late"]
        self._clock = WindowClock(length=tuning["usage_window"])
        self.window: int | None = None
        self.finished: dict[int, FinishedWindow] = {}
        self._counts: Counter[str] = Counter()
        self._has_tenants = False
        self._assignment: tuple[str, int] | None = None
        self._process_ids: dict[str, str] = {}
        self._is_shutting_down = False
        self._next_partial_send_at = self._wake_at = ZERO

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event; return its effects."""
        match event:
            case TenantRequestStarted():
                return self._on_request_started(event.tenant, now)
            case StoreUpdated():
                self._on_store_updated(event)
            case MembershipChanged():
                self._process_ids = {member.name: member.process_id for member in members_of(event.members)}
            case MessageReceived():
                self._on_message(event)
            case WallClockRead():
                self._clock.update_offset(event.since_1970, now)
            case ShutdownStarted():
                self._is_shutting_down = True
            case TimerFired():
                return self._on_timer(now)
        return []

    def _on_request_started(self, tenant: str, now: timedelta) -> list[Effect]:
        """Count a request, and let the timer fire no later than the end of its window."""
        effects = self._close_windows(now)
        self._counts[tenant] += 1
        if effects or self.window is None:
            return effects
        self._wake_at = min(self._wake_at, self._clock.window_end(self.window))
        return [WakeAt(self._wake_at)]

    def _on_store_updated(self, event: StoreUpdated) -> None:
        """Update the holder of the duty and whether any tenants are configured."""
        assignment = role_assignment(event.store, DUTY_ROLE, Duty.USAGE)
        self._assignment = (assignment.holder, assignment.epoch) if assignment else None
        self._has_tenants = bool((value_of(event.store, CONFIGURATION_KEY) or {}).get("callers"))

    def _holder(self) -> Holder | None:
        """Return the holder of the usage duty, to which the counts are sent; None if none is assigned.

        Its name and token are the holder and the epoch of the duty's assignment in the local store. Its process id is from the member
        list, and empty if the holder is not in that list.
        """
        if self._assignment is None:
            return None
        name, token = self._assignment
        return Holder(name, token, self._process_ids.get(name, ""))

    def _on_message(self, event: MessageReceived) -> None:
        """Mark a window as acknowledged if the message comes from the current holder."""
        ack, holder = WindowUsageAck.decode(event.body), self._holder()
        if ack and holder and event.sender == holder.name and ack.token == holder.token and ack.window in self.finished:
            self.finished[ack.window].acknowledged_by = holder

    def _close_windows(self, now: timedelta) -> list[Effect]:
        """Close the windows that have ended. If the clock steps back, closed windows stay closed and the newest window continues."""
        if self._clock.offset is None:
            return []
        window = self._clock.window_at(now)
        if self.window is None:
            self.window = window
        if window <= self.window:
            return []
        oldest = self._clock.window_at(now - self._allowed_lateness)
        for number in range(max(self.window, oldest - 1), window):
            counted = self._counts if number == self.window else {}
            if counted or self._has_tenants:
                self.finished[number] = FinishedWindow(tuple(sorted(counted.items())))
        if self.window < oldest - 1 and self._counts:
            effects: list[Effect] = [log_record("usage-lost", window=self.window, requests=self._counts.total())]
        else:
            effects = []
        self.window, self._counts = window, Counter()
        for number in [number for number in self.finished if number < oldest - 1]:
            del self.finished[number]
        return [*effects, ReadWallClock()]

    def _on_timer(self, now: timedelta) -> list[Effect]:
        """Close windows and send the counts that the holder has not acknowledged."""
        if self._clock.offset is None:
            return [ReadWallClock(), WakeAt(now + WALL_CLOCK_RETRY_INTERVAL)]
        effects, holder = self._close_windows(now), self._holder()
        if holder is not None:
            for number, window in self.finished.items():
                if window.acknowledged_by != holder and (window.sent_at is None or now - window.sent_at >= RESEND_INTERVAL):
                    window.sent_at = now
                    effects.append(Send(holder.name, WindowUsage(self._process_id, holder.token, number, window.counts).encode()))
            if self._is_shutting_down and self._counts and self.window is not None and now >= self._next_partial_send_at:
                self._next_partial_send_at = now + RESEND_INTERVAL  # this process may exit before the window ends
                counts = tuple(sorted(self._counts.items()))
                effects.append(Send(holder.name, WindowUsage(self._process_id, holder.token, self.window, counts).encode()))
        self._wake_at = self._next_wakeup(now, holder)
        return [*effects, WakeAt(self._wake_at)]

    def _next_wakeup(self, now: timedelta, holder: Holder | None) -> timedelta:
        """Return when the timer must fire next."""
        if not (self._has_tenants or self._counts or self.finished):
            return NEVER
        waits = [self._clock.window_end(self._clock.window_at(now))]
        waits += [
            window.sent_at + RESEND_INTERVAL
            for window in self.finished.values()
            if window.acknowledged_by != holder and window.sent_at is not None
        ]
        if self._is_shutting_down:
            waits.append(now + RESEND_INTERVAL)
        return max(min(waits), now)
