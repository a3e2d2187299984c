"""Slot leases (design 7.3): each replica has one lease holder, which leases out its slots under an epoch."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..membership.records import members_of
from ..runtime.components import Component
from ..runtime.effects import NEVER, Effect, Post, ProbeReplica, WakeAt, log_record
from ..runtime.events import (
    Event,
    MembershipChanged,
    MessageReceived,
    ProcessPaused,
    ProofRenewed,
    ReplicaProbed,
    ReplicasChanged,
    ReplicaStatusMeasured,
    StoreUpdated,
    TimerFired,
)
from ..tenant_shards.messages import (
    LeaseDenied,
    LeaseGranted,
    LeaseOffer,
    LeaseRelease,
    LeaseRenewal,
    LeaseRequest,
    Message,
    decode,
    send,
)
from .lease_holders import lease_holders
from .records import READY, ReplicaEntry, ReplicaState
from .registry import evacuated_zones
from .replica_slots import ReplicaSlots, SlotLease, WaitingTenant, parse_report

WAITING_SETTLE_FACTOR = 2
"""A tenant counts as waiting for this multiple of the `settle` time after its last request."""

NOT_THE_HOLDER, NO_FREE_SLOT = "moved", "full"
"""Reasons for which a lease is denied."""


class SlotLeases:
    """Component "slot_leases": the leases of all replicas whose lease holder this daemon is.

    :ivar slots: slots by replica id.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        ProofRenewed,
        MembershipChanged,
        StoreUpdated,
        ReplicasChanged,
        ProcessPaused,
        TimerFired,
        ReplicaProbed,
        MessageReceived,
    )

    def __init__(self, *, own_name: str, tuning: Mapping[str, Any]) -> None:
        self.slots: dict[str, ReplicaSlots] = {}
        self._own_name = own_name
        self._tuning = tuning
        self._effects: list[Effect] = []
        self._replicas: Mapping[str, ReplicaEntry] = {}
        self._own_epochs: dict[str, int] = {}  # by replica: the epochs under which this daemon is assigned as lease holder
        self._drained_zones: set[str] = set()
        self._live_daemons: set[str] = set()
        self._proved_at: timedelta | None = None

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects in order."""
        self._effects = []
        match event:
            case MessageReceived():
                self._on_message(event.sender, decode(event.body), now)
            case ProofRenewed():
                self._proved_at = event.proved_at
            case MembershipChanged():
                self._live_daemons = {member.name for member in members_of(event.members)}
            case StoreUpdated():
                self._on_store_updated(event, now)
            case ReplicasChanged():
                self._replicas = event.replicas  # type: ignore[assignment]  # the registry broadcasts entries
                self._apply_assignments(now)
            case ProcessPaused():
                self.slots.clear()  # meanwhile leases may have ended and another holder may have leased the slots
                self._apply_assignments(now)
            case TimerFired():
                self._on_timer(now)
            case ReplicaProbed():
                self._on_probed(event, now)
        return self._effects

    # --- assignments

    def _on_store_updated(self, event: StoreUpdated, now: timedelta) -> None:
        self._drained_zones = evacuated_zones(event.store)
        self._own_epochs = {name: holder.epoch for name, holder in lease_holders(event.store) if holder.daemon == self._own_name}
        self._apply_assignments(now)

    def _apply_assignments(self, now: timedelta) -> None:
        """Start managing the replicas assigned to this daemon, and stop managing those that no longer are."""
        wanted = {name: epoch for name, epoch in self._own_epochs.items() if name in self._replicas}
        for name in [name for name in self.slots if name not in wanted]:
            del self.slots[name]
        for name, epoch in wanted.items():
            record, status, _ = self._replicas[name]
            slots = self.slots.get(name)
            if slots is None or slots.incarnation != record.incarnation:
                slots = self.slots[name] = ReplicaSlots(epoch=epoch, incarnation=record.incarnation, opened_at=now)
            slots.epoch = epoch
            slots.resume_sequence(status)

    # --- timer and health checks

    def _on_timer(self, now: timedelta) -> None:
        for name, slots in self.slots.items():
            if now >= slots.probe_at:
                self._probe(name, slots, now)
            slots.end_lost_leases(live_daemons=self._live_daemons, now=now, count_until=now + self._tuning["stale"])
            self._offer_free_slots(name, slots, now)
        if all([slots.is_idle() for slots in self.slots.values()]):
            self._effects.append(WakeAt(min([slots.probe_at for slots in self.slots.values()], default=NEVER)))

    def _probe(self, name: str, slots: ReplicaSlots, now: timedelta) -> None:
        slots.probe_at = now + self._tuning["probe"]
        self._effects.append(ProbeReplica(name, slots.incarnation, self._replicas[name].record.address))
        if slots.last_contact_at and now - slots.last_contact_at > self._tuning["stale"] / 2 and slots.state != ReplicaState.UNRESPONSIVE:
            slots.mark_unresponsive()
            self._effects.append(log_record("replica-unresponsive", replica=name))
            self._report_status(name, slots)

    def _on_probed(self, event: ReplicaProbed, now: timedelta) -> None:
        name = event.replica
        slots = self.slots.get(name)
        report = parse_report(event.report)
        if slots is None or event.incarnation != slots.incarnation:
            return
        if report is None or report.incarnation != slots.incarnation:
            return
        if report.state != slots.state:
            self._effects.append(log_record("replica-state", replica=name, was=slots.state, now=report.state))
        slots.apply_report(report, declared_slots=self._declared_slots(name), now=now)
        self._report_status(name, slots)
        self._offer_free_slots(name, slots, now)

    def _report_status(self, name: str, slots: ReplicaSlots) -> None:
        status = slots.next_status(name, declared_slots=self._declared_slots(name))
        self._effects.append(Post(Component.REPLICA_REGISTRY, ReplicaStatusMeasured(status)))

    # --- leases

    def _on_message(self, sender: str, message: Message | None, now: timedelta) -> None:
        match message:
            case LeaseRequest():
                self._on_request(sender, message, now)
            case LeaseRenewal():
                self._on_renewal(sender, message, now)
            case LeaseRelease():
                self._on_release(message, now)

    def _on_request(self, sender: str, request: LeaseRequest, now: timedelta) -> None:
        name, lease_id = request.replica, request.lease_id
        slots = self.slots.get(name)
        if slots is None or request.epoch != slots.epoch:
            self._effects.append(send(sender, LeaseDenied(lease_id, name, NOT_THE_HOLDER)))
        elif lease_id in slots.leases:
            self._effects.append(send(sender, LeaseGranted(lease_id, name, slots.epoch)))
        elif self._free_slots(name, slots, now) and self._is_fair(slots, request.tenant, now):
            self._lease(slots, lease_id, sender, request.tenant, now)
            self._effects.append(send(sender, LeaseGranted(lease_id, name, slots.epoch)))
        else:
            slots.waiting[request.tenant] = WaitingTenant(sender, now)
            self._effects.append(send(sender, LeaseDenied(lease_id, name, NO_FREE_SLOT)))

    def _on_renewal(self, sender: str, renewal: LeaseRenewal, now: timedelta) -> None:
        """Renew the leases that an owner holds; a new lease holder learns of them in this way."""
        slots = self.slots.get(renewal.replica)
        if slots is not None and renewal.epoch == slots.epoch:
            for lease_id, tenant in renewal.leases:
                self._lease(slots, lease_id, sender, tenant, now)

    def _on_release(self, release: LeaseRelease, now: timedelta) -> None:
        name = release.replica
        slots = self.slots.get(name)
        if slots is None or slots.leases.pop(release.lease_id, None) is None:
            return
        slots.release(succeeded=release.succeeded, declared_slots=self._declared_slots(name), count_until=now + self._tuning["stale"])
        self._offer_free_slots(name, slots, now)

    def _lease(self, slots: ReplicaSlots, lease_id: str, owner: str, tenant: str, now: timedelta) -> None:
        slots.leases[lease_id] = SlotLease(owner, tenant, now + self._tuning["lease"])

    def _free_slots(self, name: str, slots: ReplicaSlots, now: timedelta) -> int:
        """Return how many slots may be leased now."""
        record = self._replicas[name].record
        if (
            slots.state != READY
            or now - slots.opened_at < self._tuning["learn"]  # wait for renewals, to learn of leases granted by the previous holder
            or record.is_leaving
            or record.zone in self._drained_zones
            or self._proved_at is None
            or now - self._proved_at > self._tuning["alone"]
        ):
            return 0
        return max(0, min(slots.capacity, record.slots) - slots.used())

    def _is_fair(self, slots: ReplicaSlots, tenant: str, now: timedelta) -> bool:
        """Whether a tenant may be granted a slot: no waiting tenant holds fewer."""
        slots.drop_stale_waiting(now - self._tuning["settle"] * WAITING_SETTLE_FACTOR)
        return slots.is_fair_to_lease(tenant)

    def _offer_free_slots(self, name: str, slots: ReplicaSlots, now: timedelta) -> None:
        """Offer free slots to the waiting tenants that hold the fewest."""
        while self._free_slots(name, slots, now) and slots.waiting:
            tenant = slots.neediest_tenant()
            waiting = slots.waiting.pop(tenant)
            if now - waiting.requested_at < self._tuning["settle"] * WAITING_SETTLE_FACTOR:
                slots.sequence += 1
                lease_id = f"{name}/{slots.epoch}/{slots.sequence}"
                self._lease(slots, lease_id, waiting.owner, tenant, now)
                self._effects.append(send(waiting.owner, LeaseOffer(name, slots.epoch, lease_id, tenant)))

    def _declared_slots(self, name: str) -> int:
        return self._replicas[name].record.slots
