"""The component that tracks which duties this daemon holds and until when it may act on them (design 18.1).

The control store names one holder of each duty (role kind `DUTY_ROLE`). The epoch of the role is the fencing token: it increases
with every change of holder. The holder may act for a limited time after its store was last proved to be up to date. A new holder
first waits until the previous holder's time has certainly run out.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..control.replicated_state import DUTY_ROLE, role_assignment
from ..runtime.components import Component
from ..runtime.effects import NEVER, Effect, Post, SetLease, WakeAt, log_record, to_milliseconds
from ..runtime.events import Event, LeaseChanged, ProcessPaused, ProofRenewed, StoreUpdated, TimerFired
from ..runtime.record import Record
from .duty import Duty
from .lease_times import LeaseTimes

ACTING_COMPONENTS: Mapping[str, Component] = {Duty.USAGE: Component.USAGE_REPORTER, Duty.SCALE: Component.REPLICA_ORDERS}
"""The component that acts on each duty."""


def _short_lease(lease: timedelta, least: timedelta) -> dict[str, int] | None:
    """Return the log fields of a lease that ends before the next proof usually arrives, so that it can seldom be used; else None."""
    return {"lease_ms": to_milliseconds(lease), "least_ms": to_milliseconds(least)} if lease < least else None


class HeldDuty(Record):
    """A duty assigned to this daemon.

    :ivar token: the epoch of the role, used as fencing token.
    :ivar usable_from: end of the takeover wait; the lease may not be used before this time.
    """

    token: int
    usable_from: timedelta


class DutyLeases:
    """Publishes the state of each lease to the acting component and to the writer of platform calls.

    :ivar held: the duties assigned to this daemon, by name.
    :ivar proved_at: when the store was last proved to be up to date; None without a proof.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (StoreUpdated, ProofRenewed, ProcessPaused, TimerFired)

    def __init__(self, *, own_name: str, tuning: Mapping[str, Any]) -> None:
        self._own_name = own_name
        self._duties: tuple[str, ...] = tuple(tuning["duties"])
        self._times = LeaseTimes.of(tuning["duty_lease"])
        self.held: dict[str, HeldDuty] = {}
        self.proved_at: timedelta | None = None
        self._published_leases: dict[str, LeaseChanged] = {}
        # the fields of a log line that is still to be written: the lease is shorter than the usual age of a proof
        self._short_lease = _short_lease(tuning["duty_lease"], LeaseTimes.shortest_lease(tuning))

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event; return its effects."""
        effects: list[Effect] = []
        if self._short_lease is not None:
            effects.append(log_record("duty-lease-short", **self._short_lease))
            self._short_lease = None
        match event:
            case StoreUpdated():
                effects += self._on_store_updated(event, now)
            case ProofRenewed():
                self.proved_at = event.proved_at
            case ProcessPaused():
                self.proved_at = None
        for duty in self._duties:
            effects += self._publish_lease(duty, now)
        waits = [held.usable_from for held in self.held.values() if held.usable_from > now]
        return [*effects, WakeAt(min(waits, default=NEVER))]

    def _on_store_updated(self, event: StoreUpdated, now: timedelta) -> list[Effect]:
        """Update the held duties from the holders that the control store names."""
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
        """Return the time before which calls may be written; None if none may be written now."""
        if now < held.usable_from or self.proved_at is None:
            return None
        return self.proved_at + self._times.proof_lifetime

    def _publish_lease(self, duty: str, now: timedelta) -> list[Effect]:
        """Return the effects that publish the lease of a duty, if it differs from the lease published last."""
        held = self.held.get(duty)
        lease = LeaseChanged(duty, held.token, self._usable_until(held, now)) if held else LeaseChanged(duty, None, None)
        if lease == self._published_leases.get(duty, LeaseChanged(duty, None, None)):
            return []
        self._published_leases[duty] = lease
        return [SetLease(duty, lease.token, lease.usable_until), Post(ACTING_COMPONENTS[duty], lease)]
