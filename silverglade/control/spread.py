"""Which cores are witnesses and backups (design 5.9): so that any loss within the tolerance is borne.

places: {core: (zone, region)}. tolerance = (machines, zones, regions) that may be lost at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import lru_cache
from itertools import combinations

from . import register
from .view import LEAST_WITNESSES, MOST_WITNESSES

Place = tuple[str, str]
Places = Mapping[str, Place]
Tolerance = tuple[int, int, int]

NOWHERE: Place = ("", "")
MOST_POOL = MOST_WITNESSES + 3
"""Of so many cores at most the sets of witnesses are weighed."""


def bears(names: Collection[str], *, need: int, places: Places, tolerance: Tolerance) -> tuple[int, int, int]:
    """Return how many machines, zones and regions may be lost, up to the tolerance, with `need` of the names left.

    -1 stands for too few even without a loss.
    """

    def most(sizes: Sequence[int], top: int) -> int:
        left = len(names)
        for lost in range(top + 1):
            if left < need:
                return lost - 1
            left -= sizes[lost] if lost < len(sizes) else 0
        return top

    zones, regions = (sorted(Counter(places.get(name, NOWHERE)[level:] for name in names).values(), reverse=True) for level in (0, 1))
    return (most([1] * len(names), tolerance[0]), most(zones, tolerance[1]), most(regions, tolerance[2]))


def count(tolerance: Tolerance) -> int:
    """Return how many backups are wanted: one member is left whatever of the tolerance is lost."""
    return max(1, *tolerance)


def backups(*, me: str, names: Iterable[str], was: Collection[str], places: Places, tolerance: Tolerance) -> tuple[str, ...] | None:
    """Return the best backups for primary `me`; None where there is no candidate.

    :param names: the live witnesses.
    :param was: the members there are, which are preferred.
    """
    pool = sorted(set(names) - {me}, key=lambda name: (name not in was, name))
    wanted = min(count(tolerance), len(pool))
    if not wanted:
        return None

    def worth(chosen: tuple[str, ...]) -> tuple[int, int]:
        return sum(bears((me, *chosen), need=1, places=places, tolerance=tolerance)), sum(name in was for name in chosen)

    return max(combinations(pool, wanted), key=worth)


def witnesses(
    *,
    was: tuple[str, ...],
    live: Collection[str],
    gone: Collection[str],
    leaving: Collection[str] = (),
    places: Places,
    tolerance: Tolerance,
) -> tuple[str, ...]:
    """Return the best set of witnesses out of those there were and the live cores.

    Nobody who is silent leaves unless a live core takes its place, or it is `gone` for long, or the live ones bear the
    whole tolerance without it and not with it. A live core comes in where that makes the set bear no less, and leaves only
    where the whole tolerance is not borne with it and all are live but those `leaving` and those in whose zone another is
    live, which may have come for them. Fewer changes go before more.
    """
    known = tuple(sorted((name, places[name]) for name in {*was, *live} if name in places))
    return best_witnesses(was, frozenset(live), frozenset(gone), frozenset(leaving), known, tolerance)


@lru_cache(maxsize=64)
def best_witnesses(
    was: tuple[str, ...],
    live: frozenset[str],
    gone: frozenset[str],
    leaving: frozenset[str],
    known_places: tuple[tuple[str, Place], ...],
    tolerance: Tolerance,
) -> tuple[str, ...]:
    """Return what `witnesses` does; hundreds of sets are weighed, so the result is cached while nothing changes."""
    places = dict(known_places)

    def borne(names: tuple[str, ...]) -> int:
        here = [name for name in names if name in live]
        return sum(bears(here, need=register.majority(len(names)), places=places, tolerance=tolerance))

    def worth(names: tuple[str, ...]) -> tuple[int, int, int, int]:
        return borne(names), sum(name in live for name in names), -len(names), sum(name in was for name in names)

    kept = [name for name in was if name not in gone]
    enough_live = len([name for name in kept if name in live]) >= 2
    least = max(LEAST_WITNESSES, len(kept)) if enough_live else len(was)
    pool = sorted(set(kept) | set(live))[:MOST_POOL]
    sizes = range(least, min(MOST_WITNESSES, len(pool)) + 1)
    best = max((names for size in sizes for names in combinations(pool, size)), key=worth, default=None)
    whole = sum(tolerance)
    if borne(best or was) < whole:
        taken = {places[name] for name in live if name in places}
        away = {name for name in was if name not in live and name not in leaving and places.get(name) not in taken}
        staying = set(kept) & set(live) if away else set()
        fewer = (names for size in range(LEAST_WITNESSES, least) for names in combinations([n for n in pool if n in live], size))
        best = max((names for names in fewer if staying <= set(names) and borne(names) == whole), key=worth, default=best)
    return best if best and worth(best) > worth(was) else was
