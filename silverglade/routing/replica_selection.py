"""Selection of a replica (design 15.5): pure functions over one snapshot.

The local region comes first; within it the replica that caches the longest shared prefix of the prompt. All daemons
agree on that replica without communication, by rendezvous hashing of the shared parts; requests overflow from an overloaded
replica to the next one, by the open work at each. Another region is used only where the local one cannot take the request.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence, Set
from datetime import timedelta
from typing import NamedTuple

from ..membership.rendezvous import rank_nodes
from .replicas import ReplicaState

OVERLOAD_FACTOR = 1.35
"""Multiple of the mean work above which prompts overflow to the next replica (bounded load)."""
SPARE_REQUESTS = 4
"""Number of requests of the current size that are allowed above that bound."""
FULL_LOAD = 0.85
"""Fraction of the slots in use above which another region is preferred."""
MAX_PEERS = 4
"""Upper bound of the number of peers by which a daemon multiplies its own attempts to estimate the load."""


class SelectionContext(NamedTuple):
    """Inputs of the replica order for one request, besides the replicas.

    :ivar region: region of this daemon.
    :ivar prefix: the prompt's parts, (id, tokens) each.
    :ivar by_prefix: whether the route's prompts are sent where their shared parts are cached.
    :ivar short_regions: regions with fewer ready replicas of the service than required.
    :ivar peers: number of daemons in the local region.
    :ivar work: work of the request, in tokens.
    :ivar avoided: ids of ejected replicas.
    :ivar switched_off: names of disabled mechanisms (runtime/settings.py).
    """

    region: str
    prefix: Sequence[tuple[str, int]] = ()
    by_prefix: bool = False
    short_regions: Set[str] = frozenset()
    peers: int = 1
    work: float = 1.0
    avoided: Set[str] = frozenset()
    switched_off: Collection[str] = ()


def shared_prefix_key(prefix: Sequence[tuple[str, int]], /) -> str:
    """Return the key of the prompt's shared prefix: all parts but the last."""
    return ",".join(part for part, _ in prefix[:-1])


def eligible_replicas(
    replicas: Iterable[ReplicaState],
    *,
    service: str,
    homes: Collection[str],
    drained_zones: Set[str],
    tried: Set[str] = frozenset(),
) -> list[ReplicaState]:
    """Return the replicas that the request may be sent to at all; preferences are applied later."""
    return [
        replica
        for replica in replicas
        if replica.service == service
        and not replica.is_leaving
        and replica.zone not in drained_zones
        and (not homes or replica.region in homes)
        and replica.id not in tried
        and replica.gone_since is None
    ]


def load(replica: ReplicaState, peers: int, /) -> float:
    """Return the fraction of the slots in use: as reported by health checks, else estimated as own attempts times peers."""
    taken = len(replica.attempts)
    if taken > 1:
        taken *= min(peers, MAX_PEERS)
    if replica.active:
        taken = max(taken, replica.active + replica.queued)
    return taken / (replica.slots if replica.slots > 1 else 1)


def by_region(replicas: Iterable[ReplicaState], context: SelectionContext) -> list[list[ReplicaState]]:
    """Return the replicas of each region in order of preference: the local region first, unless it is full or short of replicas."""
    regions: dict[str, list[ReplicaState]] = {}
    for replica in replicas:
        regions.setdefault(replica.region, []).append(replica)
    peers = context.peers
    loads = {region: sum([load(replica, peers) for replica in members]) / len(members) for region, members in regions.items()}
    overflows = "spill" not in context.switched_off
    full = {
        region: overflows and (loads[region] > FULL_LOAD or (region in context.short_regions and loads[region] > FULL_LOAD / 2))
        for region in regions
    }
    order = sorted(regions, key=lambda region: (full[region], region != context.region, loads[region], region))
    return [regions[region] for region in order]


def order_by_prefix(key: str, replicas: list[ReplicaState], context: SelectionContext) -> list[ReplicaState]:
    """Order replicas of one region by rendezvous hashing of the shared parts; those with much more than the mean work come last."""
    by_id = {replica.id: replica for replica in replicas}
    ranked = [by_id[replica_id] for replica_id in rank_nodes(key, by_id)]
    if "hot-bound" in context.switched_off:
        return ranked
    mean = sum([replica.work for replica in ranked]) / len(ranked)
    most_work, peers = OVERLOAD_FACTOR * mean + SPARE_REQUESTS * context.work, context.peers
    overloaded = [replica for replica in ranked if replica.work > most_work or load(replica, peers) > FULL_LOAD]
    if not overloaded:
        return ranked
    return [replica for replica in ranked if replica not in overloaded] + sorted(overloaded, key=lambda replica: replica.work)


def order(replicas: Sequence[ReplicaState], context: SelectionContext, now: timedelta) -> list[ReplicaState]:
    """Return the replicas in order of preference for the request."""
    ordered: list[ReplicaState] = []
    ignores_health, avoided = "holds" in context.switched_off, context.avoided
    preferred = [replica for replica in replicas if (replica.is_healthy(now) or ignores_health) and replica.id not in avoided]
    uses_prefix = context.by_prefix and "prefix" not in context.switched_off
    key = shared_prefix_key(context.prefix) if uses_prefix else ""
    peers = context.peers
    for members in by_region(preferred or replicas, context):
        if key:
            members = order_by_prefix(key, members, context)
        else:
            members = sorted(members, key=lambda replica: (load(replica, peers), replica.work, replica.last_sent_at))
        starting = [replica for replica in members if now < replica.slow_start_until]
        if starting:
            members = [replica for replica in members if now >= replica.slow_start_until] + starting
        ordered += members
    return ordered
