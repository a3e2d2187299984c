"""Selection of the replicas that may run a tenant's request, in order of preference (design 7.2)."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from ..configuration.schema import homes_of_tenant
from ..membership.rendezvous import hash_score
from .records import ReplicaEntry, ReplicaStatus
from .registry import is_usable


class Candidates(NamedTuple):
    """Replica ids in order of preference.

    :ivar home: in the region of the tenant's first home.
    :ivar elsewhere: in the regions of its other homes.
    """

    home: list[str]
    elsewhere: list[str]


def select_candidates(
    *,
    replicas: Mapping[str, ReplicaEntry],
    configuration: Mapping[str, Any],
    tenant: str,
    kind: str,
    prefix: str,
    now: timedelta,
    tuning: Mapping[str, Any],
    drained_zones: Collection[str],
    own_leases: Mapping[str, int],
) -> Candidates:
    """Select the replicas that may run a request of this tenant and kind.

    :param prefix: the prompt prefix that the request declares; empty for none.
    :param own_leases: number of leases that this daemon holds of each replica, since a status may not include them yet.
    """
    homes = [zone for zone in homes_of_tenant(configuration, tenant) if zone in configuration["zones"]]
    if not homes:
        return Candidates([], [])
    regions = {zone: settings["region"] for zone, settings in configuration["zones"].items()}
    by_region: dict[str, list[_Candidate]] = {}
    for name, entry in replicas.items():
        if is_usable(entry, now=now, tuning=tuning, drained_zones=drained_zones, homes=homes, kind=kind) and entry.status is not None:
            candidate = _Candidate(name, entry, entry.status, max(entry.status.used, own_leases.get(name, 0)))
            by_region.setdefault(regions[entry.record.zone], []).append(candidate)

    def ranked(region: str) -> list[str]:
        return _ranked(by_region.get(region, []), tenant=tenant, prefix=prefix, hot_factor=tuning["hot"])

    home_region = regions[homes[0]]
    elsewhere: list[str] = []
    for zone in homes[1:]:
        region = regions[zone]
        if region != home_region:
            elsewhere += [name for name in ranked(region) if name not in elsewhere]
    return Candidates(ranked(home_region), elsewhere)


class _Candidate(NamedTuple):
    """A usable replica; `load` is the number of its leases, by its status or this daemon's own count, whichever is higher."""

    name: str
    entry: ReplicaEntry
    status: ReplicaStatus
    load: int


def _ranked(candidates: list[_Candidate], *, tenant: str, prefix: str, hot_factor: float) -> list[str]:
    """Return the ids of a region's candidates in order of preference: by prefix affinity if there is a prefix, else by load.

    Replicas with a load far above the mean, or without a free slot, come last.
    """
    mean_load = (sum([candidate.load for candidate in candidates]) + 1) / max(1, len(candidates))
    hot_load = max(1, hot_factor * mean_load)

    def is_hot(candidate: _Candidate) -> bool:
        return candidate.load >= hot_load or candidate.load >= candidate.status.capacity

    def by_load(candidate: _Candidate) -> tuple[bool, float, bytes]:
        relative_load = candidate.load / max(1, candidate.status.capacity)
        return is_hot(candidate), relative_load, hash_score(tenant, candidate.name)

    def by_prefix(candidate: _Candidate) -> tuple[bool, bool, int]:
        score = int.from_bytes(hash_score(f"{tenant}/{prefix}", candidate.name), "big")
        return is_hot(candidate), prefix not in candidate.entry.record.prefixes, -score

    ordered = sorted(candidates, key=by_prefix) if prefix else sorted(candidates, key=by_load)
    return [candidate.name for candidate in ordered]
