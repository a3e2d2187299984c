"""The replica registry (design 7.1): at each daemon, the records and statuses of all tenants' replicas.

They are merged monotonically (replica_table.py) and distributed as soft state (design 4.1) of the kinds "replica", "mark" and
"status".
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..configuration import validation
from ..control.replicated_state import value_of
from ..membership.records import members_of
from ..runtime import result_codes
from ..runtime.components import Component
from ..runtime.effects import ZERO, Broadcast, Effect, Post, Reply, WakeAt, log_record
from ..runtime.events import (
    ApiCall,
    Event,
    MembershipChanged,
    ProofRenewed,
    ReplicasChanged,
    ReplicaStatusMeasured,
    ReplicaZonesChanged,
    SoftStateChanged,
    SoftStatePublished,
    StoreUpdated,
    TimerFired,
)
from .lease_holders import LeaseHolder, Store, lease_holders
from .records import READY, ReplicaEntry, ReplicaRecord, ReplicaState, ReplicaStatus
from .replica_table import ReplicaTable
from .status_publisher import StatusPublisher

# positions of fields in the rows of records and statuses, for callers that index the rows directly
INC, ADDR, ZONE, KIND, HOMES, PREFIXES, SLOTS, LEAVING = 1, 3, 4, 5, 6, 7, 8, 9
S_STATE, S_USE, S_RUNNING, S_CAP, S_USED = 4, 5, 7, 8, 9

REPLICA_ROWS, LEAVING_ROWS, STATUS_ROWS = "replica", "mark", "status"
"""Kinds of soft state."""

DRAINED_ZONE_KEY = "evac/"
"""Prefix of the store keys that hold whether a zone is drained."""

ANNOUNCED_BY_PEER = "announced by another daemon"
"""Why a replica counts as leaving: another daemon has published it."""

TOMBSTONE_RANK = 1
"""Appended to the rank of a row to give the rank of its tombstone, which then supersedes the row."""

ANNOTATIONS = validation.record(
    {
        "incarnation": validation.integer(least=1),
        "address": validation.address(),
        "zone": validation.text(),
        "kind": validation.text(default="model"),
        "homes": validation.list_of(validation.text(), least=1, unique=True),
        "prefixes": validation.list_of(validation.text(), default=(), unique=True),
        "slots": validation.integer(least=1, most=1024),
    }
)
"""What a replica declares when it registers."""


MAY_CHANGE_RECORDS = (TimerFired, SoftStateChanged, ReplicaStatusMeasured, ApiCall)
"""Events that may change the set of registered replicas or their zones."""


class ReplicaRegistry:
    """Component "replica_registry": broadcasts all replicas and their zones when they change.

    :ivar table: merged records and statuses of all replicas.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        MembershipChanged,
        ProofRenewed,
        StoreUpdated,
        TimerFired,
        SoftStateChanged,
        ReplicaStatusMeasured,
        ApiCall,
    )

    def __init__(self, *, is_core: bool, tuning: Mapping[str, Any]) -> None:
        self.table = ReplicaTable()
        self._is_core = is_core
        self._tuning = tuning
        self._status_publisher = StatusPublisher(tuning)
        self._effects: list[Effect] = []
        self._replicas_changed = True  # there are changes to broadcast
        self._zones_broadcast: tuple[tuple[str, str], ...] | None = None
        self._next_check = ZERO
        self._last_check = ZERO
        self._live_daemons: frozenset[str] = frozenset()
        self._proved_at: timedelta | None = None
        self._lease_holders: dict[str, LeaseHolder] = {}
        self._configured_zones: set[str] = set()

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects in order."""
        self._effects = []
        self._on_event(event, now)
        if self._replicas_changed:
            self._broadcast_replicas()
            self._replicas_changed = False
        if isinstance(event, MAY_CHANGE_RECORDS):
            self._broadcast_zones()
        return self._effects

    def _on_event(self, event: Event, now: timedelta) -> None:
        match event:
            case MembershipChanged():
                self._live_daemons = frozenset([member.name for member in members_of(event.members)])
            case ProofRenewed():
                self._proved_at = event.proved_at
            case StoreUpdated():
                self._lease_holders = dict(lease_holders(event.store))
                self._configured_zones = set((value_of(event.store, "config") or {"zones": ()})["zones"])
            case TimerFired():
                self._on_timer(now)
            case SoftStateChanged():
                self._on_soft_state(event, now)
            case ReplicaStatusMeasured():
                self._on_status_measured(ReplicaStatus.of(event.status), now)
            case ApiCall():
                self._on_call(event, now)

    # --- timer

    def _on_timer(self, now: timedelta) -> None:
        if now >= self._next_check:
            self._next_check = now + self._tuning["stale"] / 4
            self._forget_unrenewed(now)
            self._refresh_contact_times()
            self._replicas_changed |= bool(self.table.statuses)
        self._effects.append(WakeAt(self._next_check))

    def _forget_unrenewed(self, now: timedelta) -> None:
        """Drop replicas not renewed for the `forget` time, and all memory of them after the same time again.

        Cores publish tombstones for the rows of a dropped replica.
        """
        if now - self._last_check > self._tuning["late"]:  # the process was paused or the clock jumped: renewals were missed meanwhile
            self.table.renew_all(now)
        self._last_check = now
        for name in self.table.not_renewed_for(self._tuning["forget"], now):
            forgotten, status = self.table.forget(name, now)
            self._status_publisher.forget(name)
            if self._is_core:
                incarnation = forgotten.version[0]
                self._publish_tombstone(REPLICA_ROWS, name, forgotten.version)
                self._publish_tombstone(LEAVING_ROWS, name, (incarnation,))
                if status is not None:
                    self._publish_tombstone(STATUS_ROWS, name, status.rank)
            self._effects.append(log_record("replica-forgotten", replica=name))
        self.table.drop_forgotten_before(now - self._tuning["forget"])

    def _refresh_contact_times(self) -> None:
        """Refresh the contact time of each replica whose lease holder is live and has published no other status.

        Statuses are published only when they change. The contact time is that of the last proof held here, never later.
        """
        if self._proved_at is None:
            return
        for name, status in self.table.statuses.items():
            record = self.table.records.get(name)
            holder = self._lease_holders.get(name)
            if (
                holder is not None
                and holder.daemon in self._live_daemons
                and holder.epoch == status.lease_epoch
                and status.incarnation == (record.incarnation if record is not None else 0)
            ):
                self.table.last_contact_at[name] = max(self.table.last_contact_at.get(name, self._proved_at), self._proved_at)

    # --- rows from other daemons, and statuses measured here

    def _on_soft_state(self, event: SoftStateChanged, now: timedelta) -> None:
        if event.kind == LEAVING_ROWS:
            for name, (_, incarnation) in event.rows.items():
                if type(incarnation) is int:
                    self._replicas_changed |= self._mark_leaving(name, incarnation, ANNOUNCED_BY_PEER, now)
        elif event.kind == REPLICA_ROWS:
            for name, (_, row) in event.rows.items():
                record = ReplicaRecord.parse(row)
                if record is not None and record.name == name:
                    self._replicas_changed |= self.table.put(record, now)
        elif event.kind == STATUS_ROWS:
            for name, (_, row) in event.rows.items():
                status = ReplicaStatus.parse(row)
                if status is not None and status.name == name:
                    self.table.put_status(status, now)
                    self._replicas_changed = True

    def _on_status_measured(self, status: ReplicaStatus, now: timedelta) -> None:
        self._replicas_changed |= self.table.put_status(status, now)
        if self._status_publisher.is_due(status, live_daemons=len(self._live_daemons), now=now):
            self._publish(STATUS_ROWS, status.name, status.rank, tuple(status))
        if status.state == ReplicaState.LEAVING:
            self._replicas_changed |= self._mark_leaving(status.name, status.incarnation, "reported by a health check", now)
        self._broadcast_replicas()

    def _mark_leaving(self, name: str, incarnation: int, why: str, now: timedelta) -> bool:
        """Mark a replica as leaving and publish that, unless it came from another daemon; return whether it is new."""
        if not self.table.mark_leaving(name, incarnation, now):
            return False
        if why != ANNOUNCED_BY_PEER:
            self._publish(LEAVING_ROWS, name, (incarnation,), incarnation)
        self._effects.append(log_record("replica-leaving", replica=name, incarnation=incarnation, why=why))
        return True

    # --- API calls

    def _on_call(self, call: ApiCall, now: timedelta) -> None:
        match call.operation, call.arguments:
            case "replica-put", (name, annotations):
                self._register(call.call_id, name, annotations, now)
            case "replica-leave", (name,):
                self._deregister(call.call_id, name, now)
            case "platform", (rows,):
                self._on_platform_report(call.call_id, rows, now)

    def _register(self, call_id: str, name: str, annotations: Any, now: timedelta) -> None:
        """Register a replica, or renew its registration."""
        declared, faults = validation.validate(ANNOTATIONS, annotations)
        if faults:
            detail = "; ".join(f"{path}: {message}" for path, message in faults)
            self._effects.append(Reply(call_id, result_codes.BAD_ANNOTATION, {"detail": detail}))
            return
        refusal = self._refusal(call_id, name, declared)
        if refusal is not None:
            self._effects.append(refusal)
            return
        old = self.table.records.get(name)
        known = self.table.known_version(name)
        record = ReplicaRecord(
            name=name,
            incarnation=declared["incarnation"],
            heartbeat=known[1] + 1 if known is not None else 1,
            address=declared["address"],
            zone=declared["zone"],
            kind=declared["kind"],
            homes=declared["homes"],
            prefixes=declared["prefixes"],
            slots=declared["slots"],
            is_leaving=False,
        )
        is_new = False
        if old is None or record.differs_from(old._replace(is_leaving=False)) or self._is_renewal_due(name, now):
            is_new = self.table.put(record, now)
            held = self.table.records[name]
            self._publish(REPLICA_ROWS, name, held.version, tuple(held))
        self._effects.append(Reply(call_id, result_codes.OK, {"leaving": self.table.records[name].is_leaving}))
        if is_new:
            self._replicas_changed = True
            self._effects.append(
                log_record("replica-registered", replica=name, incarnation=record.incarnation, zone=record.zone, slots=record.slots)
            )

    def _refusal(self, call_id: str, name: str, declared: Mapping[str, Any]) -> Reply | None:
        """Return the reply that refuses a registration, or None if it is acceptable."""
        if self._configured_zones and declared["zone"] not in self._configured_zones:
            return Reply(call_id, result_codes.BAD_ANNOTATION, {"detail": f"zone: unknown zone {declared['zone']}"})
        old = self.table.records.get(name)
        if old is not None and declared["incarnation"] == old.incarnation:
            if (declared["address"], declared["zone"], declared["kind"]) != (old.address, old.zone, old.kind):
                return Reply(call_id, result_codes.NAME_TAKEN, {"held": old.address})
        known = self.table.known_version(name)
        if known is not None and declared["incarnation"] < known[0]:
            return Reply(call_id, result_codes.OLD_INCARNATION, {"held": known[0]})
        return None

    def _is_renewal_due(self, name: str, now: timedelta) -> bool:
        """Whether an unchanged registration must be published again: a quarter of the `forget` time has passed."""
        renewed_at = self.table.renewed_at.get(name, now)
        return bool(now - renewed_at > self._tuning["forget"] / 4)

    def _deregister(self, call_id: str, name: str, now: timedelta) -> None:
        """Mark a replica as leaving at its own request."""
        record = self.table.records.get(name)
        if record is not None:
            self._replicas_changed |= self._mark_leaving(name, record.incarnation, "requested by the replica", now)
        self._effects.append(Reply(call_id, result_codes.OK if record is not None else result_codes.NOT_FOUND, {}))

    def _on_platform_report(self, call_id: str, rows: Iterable[tuple[str, int | None, bool]], now: timedelta) -> None:
        """Mark the replicas that the platform reports as leaving. Without an incarnation, the current one is meant."""
        for name, incarnation, is_leaving in rows:
            if incarnation is None and name in self.table.records:
                incarnation = self.table.records[name].incarnation
            if is_leaving and incarnation is not None:
                self._replicas_changed |= self._mark_leaving(name, incarnation, "reported by the platform", now)
        self._effects.append(Reply(call_id, result_codes.OK, {"known": sorted(self.table.records)}))

    # --- effects

    def _broadcast_replicas(self) -> None:
        self._effects.append(Broadcast(ReplicasChanged(self.table.entries())))

    def _broadcast_zones(self) -> None:
        zones = tuple(sorted([(name, record.zone) for name, record in self.table.records.items()]))
        if zones != self._zones_broadcast:
            self._zones_broadcast = zones
            self._effects.append(Broadcast(ReplicaZonesChanged(zones)))

    def _publish(self, kind: str, key: str, rank: tuple[int, ...], value: Any) -> None:
        self._effects.append(Post(Component.MEMBERSHIP, SoftStatePublished(kind, key, rank, value)))

    def _publish_tombstone(self, kind: str, key: str, rank: tuple[int, ...]) -> None:
        self._publish(kind, key, (*rank, TOMBSTONE_RANK), None)


def is_usable(
    entry: ReplicaEntry,
    *,
    now: timedelta,
    tuning: Mapping[str, Any],
    drained_zones: Collection[str],
    homes: Collection[str] | None = None,
    kind: str | None = None,
) -> bool:
    """Whether this replica may get new work now (design 7.2); checked at selection and again before dispatch.

    :param homes: the zones where the work may run; None for any.
    :param kind: the kind of requests that it must serve; None for any.
    """
    record, status, last_contact_at = entry
    return (
        status is not None
        and status.state == READY
        and not record.is_leaving
        and record.zone not in drained_zones
        and last_contact_at is not None
        and bool(now - last_contact_at <= tuning["stale"])
        and (kind is None or record.kind == kind)
        and (homes is None or record.zone in homes and any(home in homes for home in record.homes))
    )


def evacuated_zones(store: Store) -> set[str]:
    """Return the zones that an operator has drained: no new work is started there."""
    return {key[len(DRAINED_ZONE_KEY) :] for key, (_, on) in store.items() if key.startswith(DRAINED_ZONE_KEY) and on}
