"""Choice of a replica (design 15.5): a pure function over one snapshot.

Home region first; within it the replica on which the longest run of the prompt's parts is kept. All daemons
agree on that one without talking, by rendezvous on the parts that are shared; what is hot overflows to the
next, by the work that stands at each. Another region only where the own one cannot take the request.
"""

from ..membership.rendezvous import rank_nodes

HOT = 1.35  # of the mean work, before a prompt goes to the next in order (bounded load)
SPARE = 4  # requests of this size above that, before a prompt goes on
FULL = 0.85  # of the slots, before another region is asked


def shared(prefix, /):
    """The key of the longest run of parts that other requests share: all but the last."""
    return ",".join(p for p, _ in prefix[:-1])


def usable(reps, *, service, homes, evac, tried=()):
    """Who may get it at all: rules before preference."""
    return [
        r
        for r in reps
        if r.service == service
        and not r.leaving
        and r.zone not in evac
        and (not homes or r.region in homes)
        and r.id not in tried
        and r.gone is None
    ]


def busy(r, peers, /):
    """Part of the slots that is taken, as far as this daemon can tell: what was probed, else its own times its peers."""
    mine = len(r.tries)
    return max(r.active + r.queued if r.active else 0, mine * min(peers, 4) if mine > 1 else mine) / max(1, r.slots)


def regions(reps, *, region, short, peers, spill=True):
    """The regions in the order in which they are asked: the own one first unless it is short of ready replicas."""
    by = {}
    for r in reps:
        by.setdefault(r.region, []).append(r)
    load = {g: sum(busy(r, peers) for r in rs) / len(rs) for g, rs in by.items()}
    full = {g: spill and (load[g] > FULL or (g in short and load[g] > FULL / 2)) for g in by}
    return [by[g] for g in sorted(by, key=lambda g: (full[g], g != region, load[g], g))]


def order(reps, *, now, region, prefix=(), by_prefix=False, short=frozenset(), peers=1, weight=1.0, avoid=frozenset(), without=()):
    """The replicas in the order in which they are to get it.

    avoid: ids that others accuse; without: mechanisms that are switched off (options.py).
    """
    out = []
    fit = [r for r in reps if (r.fit(now) or "holds" in without) and r.id not in avoid]
    for rs in regions(fit or reps, region=region, short=short, peers=peers, spill="spill" not in without):
        key = shared(prefix) if by_prefix and "prefix" not in without else ""
        if key:
            by = {r.id: r for r in rs}
            rs = [by[i] for i in rank_nodes(key, by)]
            mean = sum(r.work for r in rs) / len(rs)
            hot = [] if "hot-bound" in without else [r for r in rs if r.work > HOT * mean + SPARE * weight or busy(r, peers) > FULL]
            rs = [r for r in rs if r not in hot] + sorted(hot, key=lambda r: r.work)
        else:
            rs = sorted(rs, key=lambda r: (busy(r, peers), r.work, r.asked))
        out += [r for r in rs if now >= r.cold] + [r for r in rs if now < r.cold]
    return out


def pick(reps, *, may=lambda r: True, **how):
    """The replica that gets it, or None; `may` bounds what cold ones get, and counts it."""
    return next((r for r in order(reps, **how) if may(r)), None)
