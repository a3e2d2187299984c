"""The component that knows which duties this daemon holds, and until when it may act on them (design 18.1).

Control names one holder of each duty (role kind `DUTY_ROLE`); the role's epoch is the fencing token, which rises with every change
of holder. The holder may act while its store was lately proved to be the newest; a new one first waits until the old one's time is
surely over.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..control.replicated_state import DUTY_ROLE, role_assignment
from ..runtime.components import Component
from ..runtime.effects import NEVER, Effect, Post, SetLease, WakeAt, log_record
from ..runtime.events import Event, LeaseChanged, ProcessPaused, ProofRenewed, StoreUpdated, TimerFired
from ..runtime.record import Record
from .duty import Duty
from .lease_times import LeaseTimes

ACTING_COMPONENTS: Mapping[str, Component] = {Duty.USAGE: Component.USAGE_REPORTER, Duty.SCALE: Component.REPLICA_ORDERS}
"""Duty -> the component that acts on it."""


class HeldDuty(Record):
    """A duty of which this daemon is named as holder.

    :ivar token: the role's epoch.
    :ivar acts_from: a new holder waits until then.
    """

    token: int
    acts_from: timedelta


class DutyLeases:
    """Tells the acting components and the writer of calls what they may do.

    :ivar held: duty to what is held of it.
    :ivar proved_at: when the store was last proved to be the newest; None without a proof.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (StoreUpdated, ProofRenewed, ProcessPaused, TimerFired)

    def __init__(self, *, own_name: str, tuning: Mapping[str, Any]) -> None:
        self._own_name = own_name
        self._duties: tuple[str, ...] = tuple(tuning["duties"])
        self._times = LeaseTimes.of(tuning["duty_lease"])
        self.held: dict[str, HeldDuty] = {}
        self.proved_at: timedelta | None = None
        self._told: dict[str, LeaseChanged] = {}

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event; return its effects."""
        effects: list[Effect] = []
        match event:
            case StoreUpdated():
                effects += self._on_store_updated(event, now)
            case ProofRenewed():
                self.proved_at = event.proved_at
            case ProcessPaused():
                self.proved_at = None
        for duty in self._duties:
            effects += self._tell(duty, now)
        waits = [held.acts_from for held in self.held.values() if held.acts_from > now]
        return [*effects, WakeAt(min(waits, default=NEVER))]

    def _on_store_updated(self, event: StoreUpdated, now: timedelta) -> list[Effect]:
        """Take the holders that control names."""
        effects: list[Effect] = []
        for duty in self._duties:
            assignment = role_assignment(event.store, DUTY_ROLE, duty)
            held = self.held.get(duty)
            if assignment is None or assignment.holder != self._own_name:
                if held is not None:
                    effects.append(log_record("duty-lost", duty=str(duty), token=held.token))
                self.held.pop(duty, None)
            elif held is None or held.token != assignment.epoch:
                self.held[duty] = HeldDuty(assignment.epoch, now + self._times.takeover_wait)
                effects.append(log_record("duty-held", duty=str(duty), token=assignment.epoch))
        return effects

    def _usable_until(self, held: HeldDuty, now: timedelta) -> timedelta | None:
        """Return until when a call may be written; None for not at all."""
        if now < held.acts_from or self.proved_at is None:
            return None
        return self.proved_at + self._times.proof_lasts

    def _tell(self, duty: str, now: timedelta) -> list[Effect]:
        """Tell who acts on the duty, and who writes its calls, where something has changed for them."""
        held = self.held.get(duty)
        lease = LeaseChanged(duty, held.token, self._usable_until(held, now)) if held else LeaseChanged(duty, None, None)
        if lease == self._told.get(duty, LeaseChanged(duty, None, None)):
            return []
        self._told[duty] = lease
        return [SetLease(duty, lease.token, lease.usable_until), Post(ACTING_COMPONENTS[duty], lease)]
