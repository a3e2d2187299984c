"""State shared by the modules of the shard owner, and the effects of the current event."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from ..control.replicated_state import value_of
from ..membership.records import MemberRecord
from ..replicas.lease_holders import LeaseHolder
from ..replicas.records import ReplicaEntry
from ..runtime.effects import Effect, Send
from .messages import Message, encode
from .queued_request import QueuedRequest
from .retry_budget import RetryBudget
from .shard import Shard
from .shard_roles import Store


class OwnerContext:
    """State of the shard owner.

    :ivar shards: the shards that this daemon owns, by tenant.
    :ivar requests: requests of these tenants that wait for a grant or are running, by id, in order of arrival.
    :ivar store: the newest known state acknowledged by control.
    :ivar lease_holders: replica id to the holder of its slot leases.
    :ivar drained_zones: zones in which no new work is started.
    :ivar proved_at: when the store was last confirmed to be current, or None.
    :ivar replicas: all registered replicas by id.
    :ivar required_replicas: number of replicas that must be ready, by (region, kind).
    :ivar leases_held: number of slots that this daemon leases, by replica id.
    :ivar members: the live daemons.
    :ivar budget: the retry budget.
    :ivar owned_fraction: fraction of all shards that this daemon owns.
    :ivar effects: effects of the current event, in order.
    """

    __slots__ = (
        "own_name",
        "zone",
        "tuning",
        "shards",
        "requests",
        "store",
        "lease_holders",
        "drained_zones",
        "proved_at",
        "replicas",
        "required_replicas",
        "leases_held",
        "members",
        "budget",
        "owned_fraction",
        "effects",
    )

    def __init__(self, *, own_name: str, zone: str, tuning: Mapping[str, Any], budget: RetryBudget) -> None:
        self.own_name = own_name
        self.zone = zone
        self.tuning = tuning
        self.shards: dict[str, Shard] = {}
        self.requests: dict[str, QueuedRequest] = {}
        self.store: Store = {}
        self.lease_holders: dict[str, LeaseHolder] = {}
        self.drained_zones: set[str] = set()
        self.proved_at: timedelta | None = None
        self.replicas: Mapping[str, ReplicaEntry] = {}
        self.required_replicas: Mapping[tuple[str, str], int] = {}
        self.leases_held: dict[str, int] = {}
        self.members: tuple[MemberRecord, ...] = ()
        self.budget = budget
        self.owned_fraction = 0.0
        self.effects: list[Effect] = []

    @property
    def configuration(self) -> Mapping[str, Any] | None:
        """The configuration in force, or None before the first one is known."""
        configuration: Mapping[str, Any] | None = value_of(self.store, "config")
        return configuration

    def has_class(self, tenant: str, request_class: str) -> bool:
        """Whether the configuration defines this request class for this tenant."""
        tenants = (self.configuration or {"tenants": {}})["tenants"]
        return tenant in tenants and request_class in tenants[tenant]["classes"]

    def send(self, to: str, message: Message) -> None:
        """Add the effect that sends a message to a daemon."""
        self.effects.append(Send(to, encode(message)))
