"""The shard owner component (design 6): queues tenants' requests, leases slots, claims keys and grants requests.

This module only dispatches events; the other modules of the package do the work on one shared state (context.py).
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..membership.records import members_of
from ..replicas.lease_holders import lease_holders
from ..replicas.registry import evacuated_zones
from ..runtime.components import Component
from ..runtime.effects import NEVER, ZERO, Effect, Post, WakeAt
from ..runtime.events import (
    AttributeSet,
    Event,
    MembershipChanged,
    MessageReceived,
    ProcessPaused,
    ProofRenewed,
    ReplicasChanged,
    ReportRequested,
    RequiredReplicasChanged,
    RetryCounts,
    ShardReport,
    StoreUpdated,
    TimerFired,
)
from .admission import Admission
from .context import OwnerContext
from .intake import RequestIntake
from .messages import (
    Adopted,
    AdoptionRefused,
    Claimed,
    ClaimRefused,
    ClaimsCopied,
    GrantRequest,
    LeaseDenied,
    LeaseGranted,
    LeaseOffer,
    LeaseRenewal,
    Message,
    RequestAbandoned,
    RunEnded,
    decode,
)
from .owned_shards import OwnedShards
from .request_queue import RequestQueue
from .request_timeouts import RequestTimeouts
from .retry_budget import COUNTS_ATTRIBUTE, RetryBudget

ROUNDS_PER_BEAT = 2
"""Leases are renewed and shards are advanced this many times per `beat`."""


class ShardOwner:
    """Component "shard_owner": the shards that this daemon owns, and their requests.

    :ivar context: state shared with the other modules of the package.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        StoreUpdated,
        ReplicasChanged,
        MembershipChanged,
        ProofRenewed,
        RequiredReplicasChanged,
        ProcessPaused,
        TimerFired,
        MessageReceived,
        ReportRequested,
    )

    def __init__(self, *, own_name: str, zone: str, tuning: Mapping[str, Any]) -> None:
        self.context = OwnerContext(own_name=own_name, zone=zone, tuning=tuning, budget=RetryBudget(own_name=own_name, tuning=tuning))
        self._queue = RequestQueue(self.context)
        self._admission = Admission(self.context, self._queue)
        self._intake = RequestIntake(self.context, self._queue, self._admission)
        self._timeouts = RequestTimeouts(self.context, self._queue, self._admission)
        self._owned_shards = OwnedShards(self.context, self._queue)
        self._next_round = ZERO

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects in order."""
        context = self.context
        context.effects = []
        match event:
            case MessageReceived():
                self._on_message(event.sender, decode(event.body), now)
            case TimerFired():
                self._on_timer(now)
            case ReplicasChanged():
                context.replicas = event.replicas  # type: ignore[assignment]  # the registry broadcasts entries
            case ProofRenewed():
                context.proved_at = event.proved_at
            case RequiredReplicasChanged():
                context.required_replicas = event.required
            case StoreUpdated():
                self._on_store_updated(event)
            case MembershipChanged():
                self._on_membership_changed(event, now)
            case ProcessPaused():
                self._on_process_paused()
            case ReportRequested():
                self._report()
        return context.effects

    def _on_store_updated(self, event: StoreUpdated) -> None:
        self.context.store = event.store
        self.context.lease_holders = dict(lease_holders(event.store))
        self.context.drained_zones = evacuated_zones(event.store)
        self._queue.deny_unconfigured()
        self._owned_shards.apply_assignments()

    def _on_membership_changed(self, event: MembershipChanged, now: timedelta) -> None:
        members = members_of(event.members)
        process_ids = {member.name: member.process_id for member in members}
        for shard in self.context.shards.values():
            shard.observe_follower_process(process_ids.get(shard.follower))
        self.context.members = members
        self.context.budget.record_peer_counts(members, now)

    def _on_process_paused(self) -> None:
        """Confirm everything again after a pause of the process, during which other daemons may have become owners."""
        self.context.proved_at = None
        for shard in self.context.shards.values():
            shard.restart_adoption()

    def _on_timer(self, now: timedelta) -> None:
        context = self.context
        live_daemons = {member.name for member in context.members}
        if now >= self._next_round:
            self._next_round = now + context.tuning["beat"] / ROUNDS_PER_BEAT
            self._renew_leases()
            context.budget.expire(now)
            context.effects.append(Post(Component.MEMBERSHIP, AttributeSet(COUNTS_ATTRIBUTE, context.budget.counts)))
            self._owned_shards.advance(live_daemons, now)
        self._timeouts.check(live_daemons, now)
        if not context.requests:
            is_needed = context.shards or context.budget.is_counting
            context.effects.append(WakeAt(self._next_round if is_needed else NEVER))

    def _renew_leases(self) -> None:
        """Renew the slot leases held by requests; lease holders end leases that are not renewed (design 7.3)."""
        held: dict[str, list[tuple[str, str]]] = {}
        for request in self.context.requests.values():
            if request.lease_id:
                held.setdefault(request.replica, []).append((request.lease_id, request.tenant))
        for replica, leases in held.items():
            holder = self.context.lease_holders.get(replica)
            if holder is not None:
                self.context.send(holder.daemon, LeaseRenewal(replica, holder.epoch, tuple(leases)))

    def _on_message(self, sender: str, message: Message | None, now: timedelta) -> None:
        """Dispatch a message from an ingress, a lease holder or a follower."""
        match message:
            case LeaseDenied():
                self._admission.on_lease_denied(message, now)
            case GrantRequest():
                self._intake.on_grant_request(sender, message, now)
            case LeaseGranted():
                self._admission.on_lease_granted(sender, message, now)
            case RunEnded():
                self._queue.on_run_ended(sender, message, now)
            case RequestAbandoned():
                self._queue.on_request_abandoned(sender, message)
            case LeaseOffer():
                self._admission.on_lease_offer(sender, message, now)
            case Claimed():
                self._admission.on_claimed(message, now)
            case ClaimRefused():
                self._admission.on_claim_refused(message)
            case Adopted() | AdoptionRefused() | ClaimsCopied():
                self._on_follower_answer(sender, message)

    def _on_follower_answer(self, sender: str, message: Adopted | AdoptionRefused | ClaimsCopied) -> None:
        shard = self.context.shards.get(message.shard)
        if shard is None:
            return
        match message:
            case Adopted():
                self.context.effects.extend(shard.on_adopted(sender, message))
            case AdoptionRefused():
                self.context.effects.extend(shard.on_adoption_refused(sender, message))
            case ClaimsCopied():
                shard.on_copied(sender, message)

    def _report(self) -> None:
        """Post retry counts and shard states to the operator API."""
        self.context.effects.append(Post(Component.OPERATOR_API, RetryCounts(dict(self.context.budget.totals))))
        rows = [
            (name, shard.epoch, shard.follower, shard.is_open, len(shard.claims or {}), len(self._queue.waiting(name)))
            for name, shard in sorted(self.context.shards.items())
        ]
        self.context.effects.append(Post(Component.OPERATOR_API, ShardReport(tuple(rows))))
