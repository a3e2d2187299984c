"""The slots of one replica in the hands of its lease holder (design 7.3): leases, slow start, tenants that wait."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, NamedTuple

from ..runtime.effects import ZERO
from ..runtime.record import Record, field
from .records import ReplicaState, ReplicaStatus

INITIAL_CAPACITY = 1
"""Slots that are leased of a replica that is new, cold or dark; one more with each success."""


class SlotLease(NamedTuple):
    """Permission for a shard owner to use one slot for a tenant's request until then."""

    owner: str
    tenant: str
    until: timedelta


class WaitingTenant(NamedTuple):
    """A tenant whose owner was refused a slot; it is offered one that comes free."""

    owner: str
    requested_at: timedelta


class ProbeReport(NamedTuple):
    """What a replica answered to a health check.

    :ivar use: share of its time that is used, 0 to 1.
    :ivar served: requests a second.
    :ivar running: requests that run.
    """

    incarnation: int
    state: str
    use: float
    served: float
    running: int
    is_warm: bool


class ReplicaSlots(Record):
    """What the lease holder knows of one replica.

    :ivar epoch: of the lease holder.
    :ivar opened_at: since when this daemon is the holder, or the replica's incarnation is known.
    :ivar sequence: of the last status or offered lease.
    :ivar ended_lease_expiries: until when leases count on that ended without a success: the request may still run.
    :ivar waiting: tenants that wait for a slot.
    :ivar capacity: slots that may be leased.
    :ivar probe_at: when the next health check is due.
    :ivar last_contact_at: when the last one was answered.
    """

    epoch: int
    incarnation: int
    opened_at: timedelta
    sequence: int = 0
    ended_lease_expiries: list[timedelta] = field(default_factory=list)
    leases: dict[str, SlotLease] = field(default_factory=dict)
    waiting: dict[str, WaitingTenant] = field(default_factory=dict)
    capacity: int = INITIAL_CAPACITY
    state: str = ReplicaState.STARTING.value
    is_warm: bool = False
    running: int = 0
    use: float = 0.0
    served: float = 0.0
    probe_at: timedelta = ZERO
    last_contact_at: timedelta | None = None

    def used(self) -> int:
        """How many slots count as used."""
        return max(len(self.leases) + len(self.ended_lease_expiries), self.running)

    def held_by(self, tenant: str) -> int:
        """How many slots a tenant holds."""
        return sum([lease.tenant == tenant for lease in self.leases.values()])

    def is_idle(self) -> bool:
        """Whether no lease is out and nobody waits: only the next health check is to come."""
        return not (self.leases or self.ended_lease_expiries or self.waiting)

    def drop_stale_waiting(self, time: timedelta) -> None:
        """Drop the tenants that have not asked after that time."""
        self.waiting = {tenant: waiting for tenant, waiting in self.waiting.items() if waiting.requested_at > time}

    def is_fair_to_lease(self, tenant: str) -> bool:
        """Whether no tenant waits that holds fewer slots than this one."""
        return all([self.held_by(other) >= self.held_by(tenant) for other in self.waiting if other != tenant])

    def neediest_tenant(self) -> str:
        """Of the tenants that wait, the one that holds least; among equals the one that asked first."""
        return min(self.waiting, key=lambda tenant: (self.held_by(tenant), self.waiting[tenant].requested_at))

    def end_lost_leases(self, *, live_daemons: set[str], now: timedelta, count_until: timedelta) -> None:
        """End the leases that were not renewed or whose owner is gone."""
        lost = [lease_id for lease_id, lease in self.leases.items() if now > lease.until or lease.owner not in live_daemons]
        for lease_id in lost:
            del self.leases[lease_id]
            self.ended_lease_expiries.append(count_until)
        self.ended_lease_expiries = [until for until in self.ended_lease_expiries if until > now]

    def release(self, *, succeeded: bool, declared_slots: int, count_until: timedelta) -> None:
        """Account for a lease that its owner gave back: a success frees the slot at once and lets the capacity grow."""
        if not succeeded:
            self.ended_lease_expiries.append(count_until)
        elif self.running > len(self.leases) + len(self.ended_lease_expiries):
            self.running -= 1  # until the next health check says
        if succeeded and self.capacity < declared_slots:
            self.capacity += 1

    def mark_unresponsive(self) -> None:
        """The replica answers no health check: it starts again from the initial capacity."""
        self.state = ReplicaState.UNRESPONSIVE.value
        self.is_warm = False
        self.capacity = INITIAL_CAPACITY

    def apply_report(self, report: ProbeReport, *, declared_slots: int, now: timedelta) -> None:
        """Take in what a health check found."""
        self.use, self.served, self.running = report.use, report.served, report.running
        self.last_contact_at = now
        self.ended_lease_expiries = self.ended_lease_expiries[: self.running]
        if report.is_warm and not self.is_warm:
            self.capacity = declared_slots
        self.is_warm, self.state = report.is_warm, report.state

    def resume_sequence(self, status: ReplicaStatus | None) -> None:
        """Go on from the sequence that an earlier process of this daemon published under the same epoch."""
        if status is not None and status.lease_epoch == self.epoch:
            self.sequence = max(self.sequence, status.sequence)

    def next_status(self, replica: str, *, declared_slots: int) -> ReplicaStatus:
        """The status to publish now."""
        self.sequence += 1
        return ReplicaStatus(
            name=replica,
            incarnation=self.incarnation,
            lease_epoch=self.epoch,
            sequence=self.sequence,
            state=self.state,
            use=self.use,
            served=self.served,
            running=self.running,
            capacity=min(self.capacity, declared_slots),
            used=self.used(),
        )


def parse_report(answer: Any) -> ProbeReport | None:
    """The report in a health check's result; None where there was no answer."""
    return None if answer is None else ProbeReport(*answer)
