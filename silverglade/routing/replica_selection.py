"""Choice of a replica (design 15.5): pure functions over one snapshot.

Home region first; within it the replica on which the longest run of the prompt's parts is kept. All daemons
agree on that one without talking, by rendezvous on the parts that are shared; what is overloaded passes work to the
next, by the work that stands at each. Another region only where the own one cannot take the request.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence, Set
from datetime import timedelta
from typing import NamedTuple

from ..membership.rendezvous import rank_nodes
from .replicas import ReplicaState

OVERLOADED = 1.35
"""Of the mean work, before a prompt goes to the next replica in order (bounded load)."""
SPARE_REQUESTS = 4
"""Requests of this size above that, before a prompt goes on."""
FULL = 0.85
"""Of the slots, before another region is asked."""
MOST_PEERS = 4
"""A daemon counts its own attempts as often as it has peers, up to so many."""


class SelectionContext(NamedTuple):
    """What the order of replicas for one request rests on besides the replicas.

    :ivar region: this daemon's own.
    :ivar prefix: the prompt's parts, (id, tokens) each.
    :ivar by_prefix: whether the route's prompts go where their shared parts are kept.
    :ivar short_regions: regions that have fewer ready replicas of the service than they need.
    :ivar peers: daemons of the own region.
    :ivar work: of the request, in tokens.
    :ivar avoided: ids of replicas that are ejected.
    :ivar switched_off: mechanisms that are switched off (runtime/settings.py).
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
    """Name the longest run of parts that other requests share: all but the last."""
    return ",".join(part for part, _ in prefix[:-1])


def usable(
    replicas: Iterable[ReplicaState],
    *,
    service: str,
    homes: Collection[str],
    drained_zones: Set[str],
    tried: Set[str] = frozenset(),
) -> list[ReplicaState]:
    """Who may get the request at all: rules before preference."""
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
    """Part of the slots that is taken, as far as this daemon can tell: what was probed, else its own times its peers."""
    taken = len(replica.attempts)
    if taken > 1:
        taken *= min(peers, MOST_PEERS)
    if replica.active:
        taken = max(taken, replica.active + replica.queued)
    return taken / (replica.slots if replica.slots > 1 else 1)


def by_region(replicas: Iterable[ReplicaState], context: SelectionContext) -> list[list[ReplicaState]]:
    """The replicas of each region, in the order in which regions are asked: the own one first unless it is full or short."""
    regions: dict[str, list[ReplicaState]] = {}
    for replica in replicas:
        regions.setdefault(replica.region, []).append(replica)
    peers = context.peers
    loads = {region: sum([load(replica, peers) for replica in members]) / len(members) for region, members in regions.items()}
    overflows = "spill" not in context.switched_off
    full = {
        region: overflows and (loads[region] > FULL or (region in context.short_regions and loads[region] > FULL / 2)) for region in regions
    }
    order = sorted(regions, key=lambda region: (full[region], region != context.region, loads[region], region))
    return [regions[region] for region in order]


def order_by_prefix(key: str, replicas: list[ReplicaState], context: SelectionContext) -> list[ReplicaState]:
    """Replicas of one region by rendezvous on the shared parts; those with much more than the mean work go last."""
    by_id = {replica.id: replica for replica in replicas}
    ranked = [by_id[replica_id] for replica_id in rank_nodes(key, by_id)]
    if "hot-bound" in context.switched_off:
        return ranked
    mean = sum([replica.work for replica in ranked]) / len(ranked)
    most_work, peers = OVERLOADED * mean + SPARE_REQUESTS * context.work, context.peers
    overloaded = [replica for replica in ranked if replica.work > most_work or load(replica, peers) > FULL]
    if not overloaded:
        return ranked
    return [replica for replica in ranked if replica not in overloaded] + sorted(overloaded, key=lambda replica: replica.work)


def order(replicas: Sequence[ReplicaState], context: SelectionContext, now: timedelta) -> list[ReplicaState]:
    """The replicas in the order in which they are to get the request."""
    ordered: list[ReplicaState] = []
    any_health, avoided = "holds" in context.switched_off, context.avoided
    preferred = [replica for replica in replicas if (replica.is_healthy(now) or any_health) and replica.id not in avoided]
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
