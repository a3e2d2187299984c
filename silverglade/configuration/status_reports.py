"""Reports of a daemon's state to operators and to the platform (design 2.2, 2.3), as JSON values."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from .. import __version__
from ..control.replicated_state import INITIAL_VERSION, value_of
from ..membership.records import MemberRecord
from ..replicas.records import ReplicaEntry, ReplicaState
from ..runtime.effects import to_milliseconds
from ..runtime.record import Record, field
from ..transport.framing import WIRE_VERSION
from .messages import Version
from .store_proof import StoreProof

EVACUATION_PREFIX = "evac/"
ROLE_PREFIX = "duty/"
UNKNOWN_STATE = "unknown"

Report = dict[str, Any]

View = tuple[Any, ...]
"""(epoch, primary, backups...)."""

NO_VIEW: View = (0, "", "")


class ReportedState(Record):
    """The state of the fleet, as the components of this daemon have reported it.

    :ivar store: the replicated store as acknowledged by control: key to (version, value).
    :ivar proof: the last proof that the store is up to date.
    :ivar replicas: id to `ReplicaEntry`, or to a tuple of its fields.
    :ivar required_replicas: number of replicas that must be ready: (region, kind) to count.
    :ivar status_fields: further fields of this daemon's status.
    """

    own_name: str
    store: Mapping[str, tuple[Version, Any]] = field(default_factory=dict)
    store_version: Version = INITIAL_VERSION
    proof: StoreProof = field(default_factory=StoreProof)
    members: tuple[MemberRecord, ...] = ()
    replicas: Mapping[str, tuple[Any, ...]] = field(default_factory=dict)
    required_replicas: Mapping[tuple[str, str], int] = field(default_factory=dict)
    status_fields: Report = field(default_factory=dict)

    @property
    def known_view(self) -> View:
        """The newest view that any member advertises."""
        view: View = max((member.attribute("view", NO_VIEW) for member in self.members), default=NO_VIEW)
        return view


def status_report(state: ReportedState, now: timedelta) -> Report:
    """Return the status of this daemon."""
    own_record = next((member for member in state.members if member.name == state.own_name), None)
    return {
        "daemon": state.own_name,
        "version": __version__,
        "wire": WIRE_VERSION,
        "zone": own_record and own_record.zone,
        "state": own_record and own_record.state,
        "view": list(state.known_view),
        "news": list(state.store_version),
        "age_ms": _age_ms(state.proof.proved_at, now),
        "config": list(state.store.get("config", (INITIAL_VERSION,))[0]),
        "evacuated": _evacuated_zones(state.store),
        **state.status_fields,
    }


def _evacuated_zones(store: Mapping[str, tuple[Version, Any]]) -> list[str]:
    """Return the names of the evacuated zones, sorted."""
    entries = store.items()
    return sorted(key.removeprefix(EVACUATION_PREFIX) for key, (_, value) in entries if key.startswith(EVACUATION_PREFIX) and value)


def fleet_report(members: Iterable[MemberRecord]) -> Report:
    """Return a report of each live daemon, by the daemon's name."""
    return {member.name: _member_report(member) for member in members}


def _member_report(member: MemberRecord) -> Report:
    return {
        "zone": member.zone,
        "region": member.region,
        "wire": member.peer_address,
        "http": member.http_address,
        "core": member.is_core,
        "state": member.state,
        "incarnation": member.incarnation,
        "view": list(member.attribute("view", ())),
        "news": list(member.attribute("news", ())),
        "version": member.attribute("version", ""),
    }


def roles_report(store: Mapping[str, tuple[Version, Any]]) -> Report:
    """Return the epoch, holder and follower of each singleton role, by "KIND/NAME"."""
    return {key.removeprefix(ROLE_PREFIX): list(value) for key, (_, value) in sorted(store.items()) if key.startswith(ROLE_PREFIX)}


def replicas_report(replicas: Mapping[str, tuple[Any, ...]], now: timedelta) -> Report:
    """Return a report of each replica that serves tenants' requests, by the replica's id."""
    entries = [(name, ReplicaEntry.of(entry)) for name, entry in sorted(replicas.items())]
    return {name: _replica_report(entry, now) for name, entry in entries}


def _replica_report(entry: ReplicaEntry, now: timedelta) -> Report:
    record, status = entry.record, entry.status
    return {
        "incarnation": record.incarnation,
        "address": record.address,
        "zone": record.zone,
        "kind": record.kind,
        "homes": list(record.homes),
        "prefixes": list(record.prefixes),
        "slots": record.slots,
        "leaving": record.is_leaving,
        "state": status.state if status else UNKNOWN_STATE,
        "use": status.use if status else None,
        "running": status.running if status else None,
        "cap": status.capacity if status else None,
        "used": status.used if status else None,
        "age_ms": _age_ms(entry.last_contact_at, now),
    }


def capacity_report(state: ReportedState, region: str) -> Report:
    """Return the numbers of replicas that a region requires and has, by kind; read by the platform (design 9.6)."""
    configuration = value_of(state.store, "config") or {"zones": {}}
    zones = {name: zone for name, zone in configuration["zones"].items() if zone["region"] == region}
    entries = [ReplicaEntry.of(entry) for entry in state.replicas.values()]
    kinds = {}
    for (required_region, kind), required in sorted(state.required_replicas.items()):
        if required_region == region:
            here = [entry for entry in entries if entry.record.zone in zones and entry.record.kind == kind]
            kinds[kind] = {
                "wanted": required,
                "ready": _count_in_state(here, ReplicaState.READY),
                "starting": _count_in_state(here, ReplicaState.STARTING),
                "parts": _scaler_shares(state.members, region, kind),
            }
    return {"region": region, "kinds": kinds, "least": sum(zone["least"] for zone in zones.values())}


def _count_in_state(entries: Iterable[ReplicaEntry], replica_state: ReplicaState) -> int:
    return sum(1 for entry in entries if entry.status and entry.status.state == replica_state)


def _scaler_shares(members: Iterable[MemberRecord], region: str, kind: str) -> dict[str, list[Any]]:
    """Return the measurements of a kind that the scalers of the region's daemons advertise, by daemon."""
    return {
        member.name: list(share[1:])
        for member in members
        for share in member.attribute("parts", ())
        if member.region == region and share[0] == kind
    }


def _age_ms(time: timedelta | None, now: timedelta) -> int | None:
    """Return the whole milliseconds since a time; None if there is no such time."""
    return to_milliseconds(now - time) if time is not None else None
