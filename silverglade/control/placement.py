"""Placement of witnesses and backups (design 5.9), so that control survives any loss within the tolerance.

`places` maps a core to (zone, region). `tolerance` is the number of (machines, zones, regions) that may be lost at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache
from itertools import combinations

from . import register
from .view import MAX_WITNESSES, MIN_WITNESSES

Place = tuple[str, str]
Places = Mapping[str, Place]
Tolerance = tuple[int, int, int]

UNKNOWN_PLACE: Place = ("", "")
MAX_CANDIDATES = MAX_WITNESSES + 3
"""The most cores considered when sets of witnesses are compared."""


def losses_tolerated(names: Collection[str], *, need: int, places: Places, tolerance: Tolerance) -> tuple[int, int, int]:
    """Return how many machines, zones and regions may be lost, up to the tolerance, such that `need` of the names remain.

    -1 means that there are too few even without a loss.
    """

    def max_losses(sizes: Sequence[int], limit: int) -> int:
        left = len(names)
        for lost in range(limit + 1):
            if left < need:
                return lost - 1
            left -= sizes[lost] if lost < len(sizes) else 0
        return limit

    zones, regions = (sorted(Counter(places.get(name, UNKNOWN_PLACE)[level:] for name in names).values(), reverse=True) for level in (0, 1))
    return (max_losses([1] * len(names), tolerance[0]), max_losses(zones, tolerance[1]), max_losses(regions, tolerance[2]))


def backup_count(tolerance: Tolerance) -> int:
    """Return the number of backups with which one member remains after any loss within the tolerance."""
    return max(1, *tolerance)


def choose_backups(
    *, own_name: str, names: Iterable[str], current: Collection[str], places: Places, tolerance: Tolerance
) -> tuple[str, ...] | None:
    """Return the best backups for primary `own_name`; None if there is no candidate.

    :param names: the live witnesses.
    :param current: the present members, which are preferred.
    """
    pool = sorted(set(names) - {own_name}, key=lambda name: (name not in current, name))
    wanted = min(backup_count(tolerance), len(pool))
    if not wanted:
        return None

    def score(chosen: tuple[str, ...]) -> tuple[int, int]:
        return sum(losses_tolerated((own_name, *chosen), need=1, places=places, tolerance=tolerance)), sum(
            name in current for name in chosen
        )

    return max(combinations(pool, wanted), key=score)


def choose_witnesses(
    *,
    current: tuple[str, ...],
    live: Collection[str],
    gone: Collection[str],
    leaving: Collection[str] = (),
    places: Places,
    tolerance: Tolerance,
) -> tuple[str, ...]:
    """Return the best set of witnesses, chosen from the current ones and the live cores.

    A silent witness is removed only if a live core replaces it, if it is in `gone` (silent for long), or if the live witnesses
    provide the full tolerance without it but not with it. A live core is added if the set then tolerates no fewer losses. It is
    removed only if the full tolerance is not provided with it and every witness is live, except those in `leaving` and
    those whose zone has another live core, which may be their replacement. Sets with fewer changes are preferred.
    """
    known = tuple(sorted((name, places[name]) for name in {*current, *live} if name in places))
    return best_witnesses(current, frozenset(live), frozenset(gone), frozenset(leaving), known, tolerance)


@lru_cache(maxsize=64)
def best_witnesses(
    current: tuple[str, ...],
    live: frozenset[str],
    gone: frozenset[str],
    leaving: frozenset[str],
    known_places: tuple[tuple[str, Place], ...],
    tolerance: Tolerance,
) -> tuple[str, ...]:
    """Implement `choose_witnesses`; hundreds of sets are compared, so the result is cached while the arguments stay the same."""
    places = dict(known_places)

    def tolerated(names: tuple[str, ...]) -> int:
        live_names = [name for name in names if name in live]
        return sum(losses_tolerated(live_names, need=register.majority(len(names)), places=places, tolerance=tolerance))

    def score(names: tuple[str, ...]) -> tuple[int, int, int, int]:
        return tolerated(names), sum(name in live for name in names), -len(names), sum(name in current for name in names)

    kept = [name for name in current if name not in gone]
    enough_live = len([name for name in kept if name in live]) >= 2
    min_size = max(MIN_WITNESSES, len(kept)) if enough_live else len(current)
    pool = sorted(set(kept) | set(live))[:MAX_CANDIDATES]
    sizes = range(min_size, min(MAX_WITNESSES, len(pool)) + 1)
    best = max((names for size in sizes for names in combinations(pool, size)), key=score, default=None)
    full_tolerance = sum(tolerance)
    if tolerated(best or current) < full_tolerance:
        covered_places = {places[name] for name in live if name in places}
        away = {name for name in current if name not in live and name not in leaving and places.get(name) not in covered_places}
        staying = set(kept) & set(live) if away else set()
        fewer = (names for size in range(MIN_WITNESSES, min_size) for names in combinations([n for n in pool if n in live], size))
        best = max((names for names in fewer if staying <= set(names) and tolerated(names) == full_tolerance), key=score, default=best)
    return best if best and score(best) > score(current) else current
