"""The slots of one replica at its lease holder (design 7.3): leases, slow start, waiting tenants."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, NamedTuple

from ..runtime.effects import ZERO
from ..runtime.record import Record, field
from .records import ReplicaState, ReplicaStatus

INITIAL_CAPACITY = 1
"""Slots that may be leased of a replica that is new, cold or unresponsive (slow start); one more after each success."""


class SlotLease(NamedTuple):
    """Permission for a shard owner to use one slot for a tenant's request; `until` is its expiry unless renewed."""

    owner: str
    tenant: str
    until: timedelta


class WaitingTenant(NamedTuple):
    """A tenant whose owner was denied a slot; it is offered one that becomes free."""

    owner: str
    requested_at: timedelta


class ProbeReport(NamedTuple):
    """A replica's answer to a health check.

    :ivar use: utilization of the replica, 0 to 1.
    :ivar served: requests served per second.
    :ivar running: number of requests in progress.
    """

    incarnation: int
    state: str
    use: float
    served: float
    running: int
    is_warm: bool


class ReplicaSlots(Record):
    """The lease holder's state of one replica.

    :ivar epoch: epoch of the lease holder.
    :ivar opened_at: when this daemon became the holder, or learned of the replica's incarnation.
    :ivar sequence: sequence number of the last status or offered lease.
    :ivar ended_lease_expiries: for each lease that ended without a success, until when it counts as used: its request may still run.
    :ivar waiting: tenants that wait for a slot.
    :ivar capacity: number of slots that may be leased.
    :ivar probe_at: when the next health check is due.
    :ivar last_contact_at: when a health check was last answered.
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
        """Return how many slots count as used: the larger of leases and requests in progress."""
        return max(len(self.leases) + len(self.ended_lease_expiries), self.running)

    def held_by(self, tenant: str) -> int:
        """Return how many slots a tenant holds."""
        return sum([lease.tenant == tenant for lease in self.leases.values()])

    def is_idle(self) -> bool:
        """Whether there is no lease and no waiting tenant, so that only the next health check is due."""
        return not (self.leases or self.ended_lease_expiries or self.waiting)

    def drop_stale_waiting(self, cutoff: timedelta) -> None:
        """Remove the tenants that have not requested a slot since that time."""
        self.waiting = {tenant: waiting for tenant, waiting in self.waiting.items() if waiting.requested_at > cutoff}

    def is_fair_to_lease(self, tenant: str) -> bool:
        """Whether no other waiting tenant holds fewer slots than this one."""
        return all([self.held_by(other) >= self.held_by(tenant) for other in self.waiting if other != tenant])

    def neediest_tenant(self) -> str:
        """Return the waiting tenant that holds the fewest slots; among equals, the one that has waited longest."""
        return min(self.waiting, key=lambda tenant: (self.held_by(tenant), self.waiting[tenant].requested_at))

    def end_lost_leases(self, *, live_daemons: set[str], now: timedelta, count_until: timedelta) -> None:
        """End the leases that were not renewed in time or whose owner is not live; they count as used until `count_until`."""
        lost = [lease_id for lease_id, lease in self.leases.items() if now > lease.until or lease.owner not in live_daemons]
        for lease_id in lost:
            del self.leases[lease_id]
            self.ended_lease_expiries.append(count_until)
        self.ended_lease_expiries = [until for until in self.ended_lease_expiries if until > now]

    def release(self, *, succeeded: bool, declared_slots: int, count_until: timedelta) -> None:
        """Account for a released lease: a success frees the slot immediately and raises the capacity by one (slow start).

        A lease released without a success counts as used until `count_until`.
        """
        if not succeeded:
            self.ended_lease_expiries.append(count_until)
        elif self.running > len(self.leases) + len(self.ended_lease_expiries):
            self.running -= 1  # an estimate until the next health check
        if succeeded and self.capacity < declared_slots:
            self.capacity += 1

    def mark_unresponsive(self) -> None:
        """Mark the replica unresponsive and restart its slow start from the initial capacity."""
        self.state = ReplicaState.UNRESPONSIVE.value
        self.is_warm = False
        self.capacity = INITIAL_CAPACITY

    def apply_report(self, report: ProbeReport, *, declared_slots: int, now: timedelta) -> None:
        """Apply the result of a health check. A replica that has become warm gets its full capacity."""
        self.use, self.served, self.running = report.use, report.served, report.running
        self.last_contact_at = now
        self.ended_lease_expiries = self.ended_lease_expiries[: self.running]
        if report.is_warm and not self.is_warm:
            self.capacity = declared_slots
        self.is_warm, self.state = report.is_warm, report.state

    def resume_sequence(self, status: ReplicaStatus | None) -> None:
        """Continue the sequence that an earlier process of this daemon published under the same epoch."""
        if status is not None and status.lease_epoch == self.epoch:
            self.sequence = max(self.sequence, status.sequence)

    def next_status(self, replica: str, *, declared_slots: int) -> ReplicaStatus:
        """Return the current status under the next sequence number."""
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
    """Return the report in the result of a health check; None if there was no answer."""
    return None if answer is None else ProbeReport(*answer)
