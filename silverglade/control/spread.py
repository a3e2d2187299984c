"""Which cores are witnesses and backups (design 5.9): so that any loss within the tolerance is borne.

places: {core: (zone, region)}. tolerance = (machines, zones, regions) that may be lost at once.
"""

from collections import Counter
from itertools import combinations

from . import register as rg

NOWHERE = ("", "")


def bears(names, *, need, places, tolerance):
    """-> how many machines, zones, regions may go, up to the tolerance, with `need` names left.

    -1: even without a loss there are too few.
    """

    def most(sizes, top):
        left = len(names)
        for k in range(top + 1):
            if left < need:
                return k - 1
            left -= sizes[k] if k < len(sizes) else 0
        return top

    zones, regions = (sorted(Counter(places.get(n, NOWHERE)[i:] for n in names).values(), reverse=True) for i in (0, 1))
    return (most([1] * len(names), tolerance[0]), most(zones, tolerance[1]), most(regions, tolerance[2]))


def count(tolerance):
    """Backups wanted: one member is left whatever of the tolerance is lost."""
    return max(1, *tolerance)


def backups(*, me, names, was, places, tolerance):
    """The best backups for primary `me` among `names` (live witnesses), those of `was` by preference.

    -> a tuple, or None where there is nobody.
    """
    pool = sorted(set(names) - {me}, key=lambda n: (n not in was, n))
    k = min(count(tolerance), len(pool))
    if not k:
        return None
    return max(
        combinations(pool, k), key=lambda c: (sum(bears((me, *c), need=1, places=places, tolerance=tolerance)), sum(n in was for n in c))
    )


def witnesses(*, was, live, gone, places, tolerance):
    """The best set of witnesses out of those there were and the live cores.

    Nobody who is silent leaves unless a live core takes its place or it is `gone` for long; a live
    core comes in where that makes the set bear no less. Fewer changes go before more.
    """

    def worth(s):
        here = [n for n in s if n in live]
        return (
            sum(bears(here, need=rg.majority(len(s)), places=places, tolerance=tolerance)),
            len(here),
            -len(s),
            sum(n in was for n in s),
        )

    kept = [n for n in was if n not in gone]
    least = max(3, len(kept)) if len([n for n in kept if n in live]) >= 2 else len(was)
    pool = sorted(set(kept) | set(live))[: rg.MOST + 3]
    best = max((c for k in range(least, min(rg.MOST, len(pool)) + 1) for c in combinations(pool, k)), key=worth, default=None)
    return best if best and worth(best) > worth(tuple(was)) else tuple(was)
