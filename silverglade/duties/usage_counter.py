"""The component of a daemon that clients reach which counts tenants' requests by windows, and tells the holder (design 18.4)."""

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
from .messages import Counts, UsageCounted, UsageTaken
from .wall_clock import WindowClock

RESEND = timedelta(seconds=1)
"""Counts that the holder has not confirmed are sent again after this."""

FIRST_READ = timedelta(milliseconds=500)
"""The time of day is asked for again after this, while it is not known."""


class Holder(NamedTuple):
    """Who holds the duty: another process of the same daemon knows nothing of what was sent to the one before."""

    name: str
    token: int
    process_id: str


class FinishedWindow(Record):
    """A window that has ended.

    :ivar taken_by: the holder that confirmed the counts; None for none.
    :ivar sent_at: when they were last sent.
    """

    counts: Counts
    taken_by: Holder | None = None
    sent_at: timedelta | None = None


class UsageCounter:
    """Counts, and sends each finished window until the holder has it or it is too old.

    :ivar window: the one that is counted; None until the time of day is known.
    :ivar finished: window to what was counted in it, as long as it may still be reported.
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
        self._late: timedelta = tuning["usage_late"]
        self._clock = WindowClock(length=tuning["usage_window"])
        self.window: int | None = None
        self.finished: dict[int, FinishedWindow] = {}
        self._counts: Counter[str] = Counter()
        self._has_tenants = False
        self._assignment: tuple[str, int] | None = None
        self._process_ids: dict[str, str] = {}
        self._is_leaving = False
        self._next_at = self._wake_at = ZERO

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event; return its effects."""
        match event:
            case TenantRequestStarted():
                return self._on_started(event.tenant, now)
            case StoreUpdated():
                self._on_store_updated(event)
            case MembershipChanged():
                self._process_ids = {member.name: member.process_id for member in members_of(event.members)}
            case MessageReceived():
                self._on_message(event)
            case WallClockRead():
                self._clock.on_read(event.since_1970, now)
            case ShutdownStarted():
                self._is_leaving = True
            case TimerFired():
                return self._on_timer(now)
        return []

    def _on_started(self, tenant: str, now: timedelta) -> list[Effect]:
        """Count a request; the timer is wanted no earlier for that than at the end of the window."""
        effects = self._roll(now)
        self._counts[tenant] += 1
        if effects or self.window is None:
            return effects
        self._wake_at = min(self._wake_at, self._clock.end_of(self.window))
        return [WakeAt(self._wake_at)]

    def _on_store_updated(self, event: StoreUpdated) -> None:
        """Take who holds the duty, and whether there are tenants."""
        assignment = role_assignment(event.store, DUTY_ROLE, Duty.USAGE)
        self._assignment = (assignment.holder, assignment.epoch) if assignment else None
        self._has_tenants = bool((value_of(event.store, CONFIGURATION_KEY) or {}).get("callers"))

    def _holder(self) -> Holder | None:
        """Return who holds the duty, as far as this daemon knows."""
        if self._assignment is None:
            return None
        name, token = self._assignment
        return Holder(name, token, self._process_ids.get(name, ""))

    def _on_message(self, event: MessageReceived) -> None:
        """The holder has a window."""
        taken, holder = UsageTaken.decode(event.body), self._holder()
        if taken and holder and event.sender == holder.name and taken.token == holder.token and taken.window in self.finished:
            self.finished[taken.window].taken_by = holder

    def _roll(self, now: timedelta) -> list[Effect]:
        """Finish the windows that have ended. A clock that steps back reopens none: the newest goes on."""
        if self._clock.offset is None:
            return []
        window = self._clock.window_at(now)
        if self.window is None:
            self.window = window
        if window <= self.window:
            return []
        oldest = self._clock.window_at(now - self._late)
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
        """Finish windows and send what the holder lacks."""
        if self._clock.offset is None:
            return [ReadWallClock(), WakeAt(now + FIRST_READ)]
        effects, holder = self._roll(now), self._holder()
        if holder is not None:
            for number, window in self.finished.items():
                if window.taken_by != holder and (window.sent_at is None or now - window.sent_at >= RESEND):
                    window.sent_at = now
                    effects.append(Send(holder.name, UsageCounted(self._process_id, holder.token, number, window.counts).encode()))
            if self._is_leaving and self._counts and self.window is not None and now >= self._next_at:
                self._next_at = now + RESEND  # this process may end before the window does
                counts = tuple(sorted(self._counts.items()))
                effects.append(Send(holder.name, UsageCounted(self._process_id, holder.token, self.window, counts).encode()))
        self._wake_at = self._next_timer(now, holder)
        return [*effects, WakeAt(self._wake_at)]

    def _next_timer(self, now: timedelta, holder: Holder | None) -> timedelta:
        """Return when something is to be done again."""
        if not (self._has_tenants or self._counts or self.finished):
            return NEVER
        waits = [self._clock.end_of(self._clock.window_at(now))]
        waits += [window.sent_at + RESEND for window in self.finished.values() if window.taken_by != holder and window.sent_at is not None]
        if self._is_leaving:
            waits.append(now + RESEND)
        return max(min(waits), now)
