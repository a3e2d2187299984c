"""Selection of the watchers that receive a daemon's heartbeats (design 4.2): pure functions over the live members."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable, Mapping

from .records import MemberRecord, MemberState
from .rendezvous import hash_score

RING = "ring"
"""Key with which names are hashed to positions on the ring."""


def ring_order(name: str, names: Iterable[str]) -> list[str]:
    """Return the other names in the order in which they follow `name` on the hash ring."""
    positions = sorted((hash_score(RING, other), other) for other in names if other != name)
    start = bisect(positions, (hash_score(RING, name), name))
    return [other for _, other in positions[start:] + positions[:start]]


def watchers_of(name: str, members: Mapping[str, MemberRecord], count: int) -> tuple[str, ...]:
    """Return the watchers of a daemon: half from its own zone and half from other zones, at least two of these if possible.

    :param name: one of `members`.
    :param members: by name; those that have left are ignored.
    :param count: the number of watchers of a daemon if there are enough candidates.
    """
    zone = members[name].zone
    present = [other for other, record in members.items() if record.state != MemberState.LEFT]
    same_zone = ring_order(name, [other for other in present if members[other].zone == zone])
    other_zones = ring_order(name, [other for other in present if members[other].zone != zone])
    other_zones = _two_zones_first(other_zones, members)
    same_zone_count = max(count // 2, count - len(other_zones))
    chosen = same_zone[:same_zone_count]
    return tuple(chosen + other_zones[: count - len(chosen)])


def _two_zones_first(names: list[str], members: Mapping[str, MemberRecord]) -> list[str]:
    """Move the first name of a second zone, if there is one, to the second place."""
    if not names:
        return names
    first = names[0]
    second = next((other for other in names if members[other].zone != members[first].zone), None)
    if second is None:
        return names
    return [first, second, *[other for other in names[1:] if other != second]]
