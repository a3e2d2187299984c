"""What the modules of the shard owner share: its state, and the effects of the present step."""

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

    :ivar shards: tenant to the shard that this daemon owns.
    :ivar requests: the requests of these tenants that were not answered yet, or run, by id, in the order of their arrival.
    :ivar store: what control has acknowledged.
    :ivar lease_holders: replica to the holder of its slot leases.
    :ivar drained_zones: zones in which nothing new is started.
    :ivar proved_at: when the store was last proved to be the newest, or None.
    :ivar replicas: all registered replicas by id.
    :ivar required_replicas: how many replicas must be ready: (region, kind) to count.
    :ivar leases_held: replica to the number of its slots that are leased by this daemon.
    :ivar members: the live daemons.
    :ivar budget: the retry budget.
    :ivar owned_fraction: the part of all shards that this daemon owns.
    :ivar effects: of the present step, in their order.
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
        """The configuration in force, or None before the first."""
        configuration: Mapping[str, Any] | None = value_of(self.store, "config")
        return configuration

    def has_class(self, tenant: str, request_class: str) -> bool:
        """Whether the configuration has that class of that tenant."""
        tenants = (self.configuration or {"tenants": {}})["tenants"]
        return tenant in tenants and request_class in tenants[tenant]["classes"]

    def send(self, to: str, message: Message) -> None:
        """Send a message to a daemon."""
        self.effects.append(Send(to, encode(message)))
