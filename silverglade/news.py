"""How a daemon learns what control holds (design 5.7): it asks with the version held."""
from .control import book as bk
from .part import ZERO, log, ms, send, span


def news(*, me, zone, cores, opt, rng):
    """Casts ("book", book, version) and ("fresh", time of the last confirmed news)."""
    book, held, fresh = {}, bk.START, None
    roll, pend, out, bad = (), None, [], {}
    born, sure = None, False         # sure: news was proved newer than this life (5.7)

    def near(now):
        """The nearest core that nothing speaks against; else the one that may be tried again first."""
        z = {r[0]: r[4] for r in roll}
        return min(cores, key=lambda c: (max(bad.get(c, ZERO), now), c != me, c not in z, z.get(c) != zone,
                                         rng.random()))

    def ask(now):
        nonlocal pend
        pend = (rng.getrandbits(48), near(now), now)
        out.append(send(pend[1], "get", pend[0], held))

    while True:
        now, ev = yield tuple(out)
        out = []
        born = born or now
        match ev:
            case ("pulse",):
                if pend is None:
                    ask(now)
                elif now - pend[2] > opt["ask_wait"] + opt["beat"] * 2:
                    bad[pend[1]] = now + opt["gone"]
                    ask(now)
            case ("roll", r):
                roll = r
            case ("froze",):
                fresh = None
                out.append(("cast", ("fresh", None)))
                ask(now)
            case ("msg", frm, ("news", n, v, items, age, held_ms)) if pend and n == pend[0]:
                if not (bk.sound(items) and bk.sound_version(v) and type(age) is int):
                    pend = None
                    continue
                if v < held:
                    out.append(log("news-older", core=frm, held=held, told=v))
                    bad[frm] = now + opt["settle"]
                    ask(now)
                    continue
                f = pend[2] + span(min(held_ms, ms(now - pend[2]))) - span(age)
                sure = sure or age >= 0 and f >= born
                if not sure:                     # an earlier life may have held newer: wait for proof
                    pend = None
                    if age < 0 or age > ms(opt["alone"]) / 2:
                        bad[frm] = now + opt["settle"]
                    continue
                new = [i for i in items if i[1] > book.get(i[0], (bk.START,))[0]]
                if new or v > held:
                    book = {k: v for k, v in {**book, **{k: (iv, x) for k, iv, x in new}}.items()
                            if v[1] is not None}     # a duty dropped is none here
                    held = max(held, v)
                    out += [("cast", ("book", book, held)),
                            ("post", "roster", ("extra", "news", held))]
                    if any(k == "config" or k.startswith("evac/") for k, _, _ in new):
                        out.append(log("news", version=f"{held[0]}.{held[1]}",
                                       keys=",".join(k for k, _, _ in new)[:200]))
                if age >= 0 and (fresh is None or f > fresh):
                    fresh = f
                    out.append(("cast", ("fresh", fresh)))
                if age < 0 or age > ms(opt["alone"]) / 2:
                    bad[frm] = now + opt["settle"]   # its proof is old: perhaps another's is not
                ask(now)


def keeper(*, cores, opt):
    """The primary's duty keeper: holders wanted against holders held (design 5.6).

    A shard's follower is never changed here: only its owner knows that the claims are
    copied. A ledger has no follower.
    """
    from .rank import first
    roll, book, reps, due, out, idle = (), {}, (), ZERO, [], {}

    def needless(now):
        """Duties of replicas and tenants that have been gone for long (design 5.6): -> kind, names."""
        nonlocal idle
        ts = (bk.get(book, "config") or {"tenants": {}})["tenants"]
        need = {f"duty/shard/{t}" for t in ts} | {f"duty/ledger/{r}" for r, _ in reps}
        idle = {k: idle.get(k, now) for k in book if k.startswith("duty/") and k not in need}
        for kind in ("shard", "ledger"):
            p = f"duty/{kind}/"
            names = tuple(k[len(p):] for k, t in sorted(idle.items()) if k.startswith(p) and now - t > opt["forget"])
            if names:
                yield kind, names[:256]

    def want():
        cfg = bk.get(book, "config")
        live = {r[0]: r for r in roll if r[9] == "ready"}
        jobs = [("shard", t, set(d["homes"])) for t, d in (cfg or {}).get("tenants", {}).items()]
        jobs += [("ledger", r, {z}) for r, z in reps]
        for kind, name, zones in jobs:
            old = bk.get(book, f"duty/{kind}/{name}") or (0, "", "")
            fit = [i for i, r in live.items() if r[4] in zones]
            if kind == "ledger" and not fit:
                reg = {r[5] for r in roll if r[4] in zones}
                fit = [i for i, r in live.items() if r[5] in reg]
            if old[1] in fit or not fit:
                continue
            z = live[old[2]][4] if old[2] in live else None     # not beside the claims' copy
            fit = [i for i in fit if live[i][4] != z] or fit
            yield (kind, name, old[0], first(f"{kind}/{name}", fit), old[2])

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
            case ("pulse",) if now >= due:
                due = now + opt["beat"]
                todo = tuple(want())
                if todo:
                    out.append(("post", "control", ("duties", todo)))
                else:
                    out += [("post", "control", ("drop", *d)) for d in needless(now)]
