"""The role assigner, which assigns singleton roles to daemons (design 5.6).

Each core runs one. Only the primary accepts the operations that it requests, and only if its backups confirmed recently that it
leads (`replication.queue_internal`). A shard's follower is never changed here, since only the shard's owner can determine whether its
claims have been replicated.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from datetime import timedelta
from typing import Any, ClassVar, NamedTuple

from ..membership.records import MemberRecord, members_of
from ..membership.rendezvous import highest_ranked
from ..runtime.components import Component
from ..runtime.effects import ZERO, Effect, Post, WakeAt
from ..runtime.events import AssignRoles, DropRoles, Event, MembershipChanged, ReplicaZonesChanged, StoreUpdated, TimerFired
from .operations import AssignRole
from .replicated_state import (
    CONFIGURATION_KEY,
    DUTY_ROLE,
    ROLE_PREFIX,
    SHARD_ROLE,
    SLOT_LEASES_ROLE,
    RoleAssignment,
    StoreView,
    role_assignment,
    role_key,
    value_of,
)

MAX_DROPPED_AT_ONCE = 256
"""Maximum number of roles of a kind that one operation drops."""

ROLE_KINDS = (SHARD_ROLE, SLOT_LEASES_ROLE)
"""Kinds of roles that are dropped when they are no longer needed."""

UNASSIGNED = RoleAssignment(0, "", "")


class WantedRole(NamedTuple):
    """A singleton role that must be held by a daemon in one of these zones; a duty may be held by a core in any zone."""

    kind: str
    name: str
    zones: frozenset[str]


class RoleAssigner:
    """A state machine that reconciles the role holders in the store with the wanted ones.

    :ivar members: the live daemons.
    :ivar store: the committed store, as last received by this daemon.
    :ivar replica_zones: every registered replica with its zone.
    :ivar next_round: the time of the next reconciliation.
    :ivar unneeded_since: maps the key of each role that is not needed to the time since when.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (MembershipChanged, StoreUpdated, ReplicaZonesChanged, TimerFired)

    def __init__(self, *, tuning: Mapping[str, Any]) -> None:
        self.tuning = tuning
        self.members: tuple[MemberRecord, ...] = ()
        self.store: StoreView = {}
        self.replica_zones: tuple[tuple[str, str], ...] = ()
        self.next_round = ZERO
        self.unneeded_since: dict[str, timedelta] = {}

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event; return its effects."""
        match event:
            case MembershipChanged():
                self.members = members_of(event.members)
            case StoreUpdated():
                self.store = event.store
            case ReplicaZonesChanged():
                self.replica_zones = event.replicas
            case TimerFired():
                return self.on_timer(now)
        return []

    def on_timer(self, now: timedelta) -> list[Effect]:
        """Once a round, assign roles; if every role has a proper holder, drop roles that are no longer needed."""
        if now < self.next_round:
            return [WakeAt(self.next_round)]
        self.next_round = now + self.tuning["beat"]
        assignments = tuple(assignment.row() for assignment in self.wanted_assignments())
        effects: list[Effect] = []
        if assignments:
            effects.append(Post(Component.CONTROL, AssignRoles(assignments)))
        else:
            effects += [Post(Component.CONTROL, event) for event in self.unneeded_roles(now)]
        effects.append(WakeAt(self.next_round))
        return effects

    def wanted_roles(self) -> Iterator[WantedRole]:
        """Yield every role that must have a holder: each tenant's shard, each replica's slot leases, then each duty."""
        for tenant, settings in self.tenants().items():
            yield WantedRole(SHARD_ROLE, tenant, frozenset(settings["homes"]))
        for replica, zone in self.replica_zones:
            yield WantedRole(SLOT_LEASES_ROLE, replica, frozenset((zone,)))
        for duty in self.tuning["duties"]:
            yield WantedRole(DUTY_ROLE, duty, frozenset())

    def tenants(self) -> Mapping[str, Any]:
        """Return the tenants of the configuration in force."""
        tenants: Mapping[str, Any] = (value_of(self.store, CONFIGURATION_KEY) or {}).get("tenants", {})
        return tenants

    def wanted_assignments(self) -> Iterator[AssignRole]:
        """Yield an assignment for each role whose holder is not live and ready, or is outside the wanted zones."""
        ready = {member.name: member for member in self.members if member.is_ready}
        for role in self.wanted_roles():
            held = role_assignment(self.store, role.kind, role.name) or UNASSIGNED
            candidates = self.candidates(role, ready)
            if held.holder in candidates or not candidates:
                continue
            candidates = outside_follower_zone(candidates, held.follower, ready)
            holder = highest_ranked(f"{role.kind}/{role.name}", candidates)
            if holder is not None:
                yield AssignRole(role.kind, role.name, held.epoch, holder, held.follower)

    def candidates(self, role: WantedRole, ready: Mapping[str, MemberRecord]) -> list[str]:
        """Return the daemons that may hold a role.

        If a replica's zone has no candidate for its slot leases, daemons of its region qualify. A duty may be held by a core in any
        zone: cores are few, and they get proof that their store is current before other daemons do.
        """
        if role.kind == DUTY_ROLE:
            return [name for name, member in ready.items() if member.is_core]
        candidates = [name for name, member in ready.items() if member.zone in role.zones]
        if role.kind == SLOT_LEASES_ROLE and not candidates:
            regions = {member.region for member in self.members if member.zone in role.zones}
            candidates = [name for name, member in ready.items() if member.region in regions]
        return candidates

    def unneeded_roles(self, now: timedelta) -> Iterator[DropRoles]:
        """Yield roles to drop: those of tenants and replicas that have been absent for the setting `forget`."""
        needed = {role_key(SHARD_ROLE, tenant) for tenant in self.tenants()}
        needed |= {role_key(SLOT_LEASES_ROLE, replica) for replica, _ in self.replica_zones}
        unneeded = [key for key in self.store if key.startswith(ROLE_PREFIX) and key not in needed]
        self.unneeded_since = {key: self.unneeded_since.get(key, now) for key in unneeded}
        for kind in ROLE_KINDS:
            names = tuple(self.forgotten_names(role_key(kind, ""), now))
            if names:
                yield DropRoles(kind, names[:MAX_DROPPED_AT_ONCE])

    def forgotten_names(self, prefix: str, now: timedelta) -> Iterator[str]:
        """Yield, sorted, the names of roles under this key prefix that have been unneeded for longer than the setting `forget`."""
        for key, since in sorted(self.unneeded_since.items()):
            if key.startswith(prefix) and now - since > self.tuning["forget"]:
                yield key.removeprefix(prefix)


def outside_follower_zone(candidates: Iterable[str], follower: str, ready: Mapping[str, MemberRecord]) -> list[str]:
    """Return the candidates outside the zone of the follower, which keeps the replica; all candidates if there are none outside."""
    every = list(candidates)
    if follower not in ready:
        return every
    zone = ready[follower].zone
    return [name for name in every if ready[name].zone != zone] or every
