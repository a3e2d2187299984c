"""The daemon state that decides whether and where its tenants' requests may run (design 5.7, 6.5, 7.2)."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple

from ..configuration.schema import homes_of_tenant
from ..control.replicated_state import value_of
from ..membership.records import MemberRecord, members_of
from ..membership.rendezvous import rank_nodes
from ..replicas.records import ReplicaEntry
from ..replicas.registry import evacuated_zones, is_usable
from ..runtime.events import Version
from .admission import Configuration, RequestFacts


class DispatchBlocker(StrEnum):
    """Why a request may not be dispatched to a replica now."""

    NO_RECENT_PROOF = "stale"
    OTHER_INCARNATION = "incarnation"
    NO_RECENT_CONTACT = "unheard"
    NOT_USABLE = "unusable"


class ShardOwner(NamedTuple):
    """The owner of a tenant's shard, and the epoch of its assignment."""

    epoch: int
    name: str


class RequestContext:
    """State that requests in progress read; the ingress keeps it up to date.

    :ivar tuning: the settings that all components share.
    :ivar configuration: the configuration in force at this daemon, or None.
    :ivar replicas: `ReplicaEntry` by replica id.
    :ivar members: the live daemons, sorted by name.
    :ivar drained_zones: zones in which no new work is started.
    :ivar proved_at: when the store was last confirmed to be current, or None.
    :ivar overflow_count: number of grants for a replica outside the tenant's first home.
    """

    __slots__ = (
        "_owners",
        "_store",
        "_zones",
        "configuration",
        "drained_zones",
        "members",
        "overflow_count",
        "proved_at",
        "replicas",
        "tuning",
    )

    def __init__(self, *, tuning: Mapping[str, Any]) -> None:
        self.tuning = tuning
        self.configuration: Configuration | None = None
        self.replicas: Mapping[str, tuple[Any, ...]] = {}
        self.members: tuple[MemberRecord, ...] = ()
        self.drained_zones: set[str] = set()
        self.proved_at: timedelta | None = None
        self.overflow_count = 0
        self._store: Mapping[str, tuple[Version, Any]] = {}
        self._owners: dict[str, ShardOwner | None] = {}  # cache by tenant, cleared when the store changes
        self._zones: dict[str, str] = {}

    @property
    def store(self) -> Mapping[str, tuple[Version, Any]]:
        """The state acknowledged by control: key to (version, value)."""
        return self._store

    def set_store(self, store: Mapping[str, tuple[Version, Any]]) -> None:
        """Replace the store, and what is derived from it."""
        self._store = store
        self._owners.clear()
        self.configuration = value_of(store, "config")
        self.drained_zones = evacuated_zones(store)

    def set_members(self, rows: tuple[tuple[Any, ...], ...]) -> None:
        """Replace the list of live daemons."""
        self.members = members_of(rows)
        self._zones = {member.name: member.zone for member in self.members}

    def is_live(self, daemon: str) -> bool:
        """Whether the daemon is live."""
        return daemon in self._zones

    def is_in_home_zone(self, daemon: str, tenant: str) -> bool:
        """Whether a daemon is in one of the tenant's current home zones. After homes change, a shard's owner may not be for a while."""
        return self._zones.get(daemon) in homes_of_tenant(self.configuration, tenant)

    def has_recent_proof(self, now: timedelta) -> bool:
        """Whether the store was confirmed to be current recently enough to start work on it."""
        return self.proved_at is not None and now - self.proved_at <= self.tuning["alone"]

    def shard_owner(self, tenant: str) -> ShardOwner | None:
        """Return the owner of the tenant's shard, in whatever zone it is; None while there is none."""
        if tenant not in self._owners:
            self._owners[tenant] = self._read_shard_owner(tenant)
        return self._owners[tenant]

    def _read_shard_owner(self, tenant: str) -> ShardOwner | None:
        assignment = value_of(self._store, f"duty/shard/{tenant}")
        if not assignment:
            return None
        epoch, name, *_ = assignment
        return ShardOwner(epoch, name) if name else None

    def reachable_owner(self, tenant: str, now: timedelta) -> ShardOwner | None:
        """Return the shard's owner if a grant may be requested from it now, or None.

        A daemon without a recent proof may use outdated home zones, so it sends no grant requests (design 5.7).
        """
        owner = self.shard_owner(tenant)
        if owner is not None and self.has_recent_proof(now) and self.is_in_home_zone(owner.name, tenant):
            return owner
        return None

    def forwarding_target(self, facts: RequestFacts) -> str | None:
        """Return the daemon to forward a request to: the shard's owner if it is in a home zone, else a ready daemon there.

        Home zones are tried in order of preference; None if none of them has a ready daemon.
        """
        owner = self.shard_owner(facts.tenant)
        if owner is not None and self.is_in_home_zone(owner.name, facts.tenant):
            return owner.name
        for home in facts.homes:
            ready = [member.name for member in self.members if member.zone == home and member.is_ready]
            if ready:
                nearest: str = rank_nodes(facts.key, ready)[0]
                return nearest
        return None

    def dispatch_blocker(self, replica: str, incarnation: int, facts: RequestFacts, now: timedelta) -> DispatchBlocker | None:
        """Return why this request may not be dispatched to this replica now, or None if it may (design 7.2)."""
        if not self.has_recent_proof(now):
            return DispatchBlocker.NO_RECENT_PROOF
        entry = self.replicas.get(replica)
        if entry is None:
            return DispatchBlocker.OTHER_INCARNATION
        known = ReplicaEntry.of(entry)
        if known.record.incarnation != incarnation:
            return DispatchBlocker.OTHER_INCARNATION
        if known.last_contact_at is None or now - known.last_contact_at > self.tuning["stale"]:
            return DispatchBlocker.NO_RECENT_CONTACT
        homes = homes_of_tenant(self.configuration, facts.tenant)
        if is_usable(known, now=now, tuning=self.tuning, drained_zones=self.drained_zones, homes=homes, kind=facts.kind):
            return None
        return DispatchBlocker.NOT_USABLE
