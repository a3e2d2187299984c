"""Who hears a daemon's heartbeats (design 4.2): pure functions over the live members."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable, Mapping

from .records import MemberRecord, MemberState
from .rendezvous import hash_score

RING = "ring"
"""Key under which names are hashed for their positions on the ring."""


def ring_order(name: str, names: Iterable[str]) -> list[str]:
    """Return the other names in the order in which they follow `name` on a ring of hashes."""
    positions = sorted((hash_score(RING, other), other) for other in names if other != name)
    start = bisect(positions, (hash_score(RING, name), name))
    return [other for _, other in positions[start:] + positions[:start]]


def watchers_of(name: str, members: Mapping[str, MemberRecord], count: int) -> tuple[str, ...]:
    """Return who hears the heartbeats of a daemon: half of its own zone, half of others, and of two of those where there are two.

    :param name: one of `members`.
    :param members: by name; those that have left are passed over.
    :param count: how many watchers a daemon has where there are enough.
    """
    zone = members[name].zone
    present = [other for other, record in members.items() if record.state != MemberState.LEFT]
    near = ring_order(name, [other for other in present if members[other].zone == zone])
    far = ring_order(name, [other for other in present if members[other].zone != zone])
    far = _two_zones_first(far, members)
    near_count = max(count // 2, count - len(far))
    chosen = near[:near_count]
    return tuple(chosen + far[: count - len(chosen)])


def _two_zones_first(names: list[str], members: Mapping[str, MemberRecord]) -> list[str]:
    """Move the first name of a second zone, if there is one, to the second place."""
    if not names:
        return names
    first = names[0]
    second = next((other for other in names if members[other].zone != members[first].zone), None)
    if second is None:
        return names
    return [first, second, *[other for other in names[1:] if other != second]]
