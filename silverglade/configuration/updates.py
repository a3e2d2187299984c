"""The primary's role assigner (design 5.6)."""

from ..control import replicated_state as bk
from ..runtime.effects import ZERO


def keeper(*, cores, opt):
    """The primary's duty keeper: holders wanted against holders held (design 5.6).

    A shard's follower is never changed here: only its owner knows that the claims are
    copied. A ledger has no follower.
    """
    from ..membership.rendezvous import highest_ranked

    roll, book, reps, due, out, idle = (), {}, (), ZERO, [], {}

    def needless(now):
        """Duties of replicas and tenants that have been gone for long (design 5.6): -> kind, names."""
        nonlocal idle
        ts = (bk.value_of(book, "config") or {"tenants": {}})["tenants"]
        need = {f"duty/shard/{t}" for t in ts} | {f"duty/ledger/{r}" for r, _ in reps}
        idle = {k: idle.get(k, now) for k in book if k.startswith("duty/") and k not in need}
        for kind in ("shard", "ledger"):
            p = f"duty/{kind}/"
            names = tuple(k[len(p) :] for k, t in sorted(idle.items()) if k.startswith(p) and now - t > opt["forget"])
            if names:
                yield kind, names[:256]

    def want():
        cfg = bk.value_of(book, "config")
        live = {r[0]: r for r in roll if r[9] == "ready"}
        jobs = [("shard", t, set(d["homes"])) for t, d in (cfg or {}).get("tenants", {}).items()]
        jobs += [("ledger", r, {z}) for r, z in reps]
        for kind, name, zones in jobs:
            old = bk.value_of(book, f"duty/{kind}/{name}") or (0, "", "")
            fit = [i for i, r in live.items() if r[4] in zones]
            if kind == "ledger" and not fit:
                reg = {r[5] for r in roll if r[4] in zones}
                fit = [i for i, r in live.items() if r[5] in reg]
            if old[1] in fit or not fit:
                continue
            z = live[old[2]][4] if old[2] in live else None  # not beside the claims' copy
            fit = [i for i in fit if live[i][4] != z] or fit
            yield (kind, name, old[0], highest_ranked(f"{kind}/{name}", fit), old[2])

    while True:
        now, ev = yield tuple(out)
        out = []
        match ev:
            case ("roll", r):
                roll = r
            case ("book", b, _):
                book = b
            case ("ledgers", rs):
                reps = rs
            case ("pulse",) if now < due:
                out.append(("due", due))
            case ("pulse",):
                due = now + opt["beat"]
                todo = tuple(want())
                if todo:
                    out.append(("post", "control", ("duties", todo)))
                else:
                    out += [("post", "control", ("drop", *d)) for d in needless(now)]
                out.append(("due", due))
