"""Which replicas an order may go to, in order of preference (design 7.2)."""

from ..configuration import schema as config
from ..membership.rendezvous import hash_score
from .registry import PREFIXES, S_CAP, S_USED, ZONE, is_usable


def select_candidates(*, reps, cfg, tenant, kind, prefix, now, opt, evac, extra):
    """-> (home ids, other ids): homes[0]'s region first, then the rest of the homes.

    extra: leases of our own that no status shows yet, by replica.
    """
    homes = [z for z in config.homes_of_tenant(cfg, tenant) if z in cfg["zones"]]
    if not homes:
        return [], []
    region = {z: d["region"] for z, d in cfg["zones"].items()}
    fit = {i: e for i, e in reps.items() if is_usable(e, now=now, opt=opt, evac=evac, homes=homes, kind=kind)}
    by = {}
    for i, (r, s, _) in fit.items():
        by.setdefault(region[r[ZONE]], []).append(i)

    def arranged(ids):
        burden = {i: max(fit[i][1][S_USED], extra.get(i, 0)) for i in ids}
        full = opt["hot"] * (sum(burden.values()) + 1) / max(1, len(ids))

        def key(i):
            hot = burden[i] >= max(1, full) or burden[i] >= fit[i][1][S_CAP]
            if not prefix:
                return (hot, burden[i] / max(1, fit[i][1][S_CAP]), hash_score(tenant, i))
            k = int.from_bytes(hash_score(f"{tenant}/{prefix}", i), "big")
            return (hot, prefix not in fit[i][0][PREFIXES], -k)

        return sorted(ids, key=key)

    home = region[homes[0]]
    rest = []
    for z in homes[1:]:
        g = region[z]
        if g != home:
            rest += [i for i in arranged(by.get(g, [])) if i not in rest]
    return arranged(by.get(home, [])), rest
