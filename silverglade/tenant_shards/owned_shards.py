"""Tracks which shards this daemon owns (design 5.6, 6.4) and maintains a follower for each."""

from __future__ import annotations

from datetime import timedelta

from ..membership.records import MemberRecord
from ..runtime.components import Component
from ..runtime.effects import Post, log_record
from ..runtime.events import OwnOperationRequested
from .context import OwnerContext
from .follower_choice import FollowerAssignment, FollowerCandidates
from .messages import OwnerMoved
from .queued_request import RequestStep
from .request_queue import RequestQueue
from .shard import Shard
from .shard_roles import ShardRole, shard_role, shard_roles

NO_FOLLOWER_LOGGED = "none"


class OwnedShards:
    """Applies the shard assignments of the control group to this daemon."""

    __slots__ = ("_context", "_queue")

    def __init__(self, context: OwnerContext, queue: RequestQueue) -> None:
        self._context = context
        self._queue = queue

    def apply_assignments(self) -> None:
        """Take ownership of the shards assigned to this daemon, and hand over those assigned to another one."""
        context = self._context
        for name in [name for name in context.shards if shard_role(context.store, name) is None]:
            del context.shards[name]  # its tenant was removed from the configuration long ago
        assigned = 0
        for name, role in shard_roles(context.store):
            assigned += 1
            held = context.shards.get(name)
            if role.owner == context.own_name:
                if held is None or held.epoch < role.epoch:
                    self._take_ownership(name, role, held)
            elif held is not None:
                self._hand_over(name, role)
        context.owned_fraction = len(context.shards) / max(1, assigned)

    def _take_ownership(self, name: str, role: ShardRole, held: Shard | None) -> None:
        self._context.shards[name] = Shard(
            name=name,
            epoch=role.epoch,
            follower=role.follower,
            owner=self._context.own_name,
            claims=held.claims_for(role.epoch) if held is not None else None,
            claims_limit=self._context.tuning["claims_most"],
        )
        self._context.effects.append(log_record("shard-owned", shard=name, epoch=role.epoch, follower=role.follower or NO_FOLLOWER_LOGGED))

    def _hand_over(self, name: str, role: ShardRole) -> None:
        """Remove a shard that another daemon owns now, and redirect the ingresses of its requests not granted yet."""
        context = self._context
        del context.shards[name]
        context.effects.append(log_record("shard-handed-over", shard=name, epoch=role.epoch, owner=role.owner))
        for request in [request for request in context.requests.values() if request.tenant == name]:
            del context.requests[request.request_id]
            if request.step is not RequestStep.GRANTED:
                self._queue.release_lease(request, succeeded=False)
                context.send(request.ingress, OwnerMoved(request.request_id, request.attempt))

    def advance(self, live_daemons: set[str], now: timedelta) -> None:
        """Advance each shard, and request the follower assignments that they need."""
        context = self._context
        cores = self._follower_candidates(live_daemons)
        assignments: list[FollowerAssignment] = []
        for shard in context.shards.values():
            effect = shard.advance(now, cores, context.tuning)
            if isinstance(effect, FollowerAssignment):
                assignments.append(effect)
            elif effect is not None:
                context.effects.append(effect)
        if assignments:  # in one change, since hundreds of shards may move together
            rows = tuple([tuple(assignment) for assignment in assignments])
            context.effects.append(Post(Component.OPERATOR_API, OwnOperationRequested(("duties", rows))))

    def _follower_candidates(self, live_daemons: set[str]) -> FollowerCandidates:
        """Return the cores that may follow; cores in this daemon's zone are eligible only if there are no others."""
        cores = {member.name: member for member in self._context.members if self._may_follow(member)}
        elsewhere = [name for name, core in cores.items() if core.zone != self._context.zone]
        if not elsewhere:
            return FollowerCandidates(live_daemons, list(cores), set())
        same_zone = {name for name, core in cores.items() if core.zone == self._context.zone}
        return FollowerCandidates(live_daemons, elsewhere, {self._context.own_name} | same_zone)

    def _may_follow(self, member: MemberRecord) -> bool:
        return member.is_ready and member.is_core and member.name != self._context.own_name
