"""Figures for rounds (design 10.5): seeded and simulated, so two commits compare exactly."""

from datetime import timedelta

from ..faults.daemon_faults import Faults
from ..simulator.scenario import Scene

SEC = timedelta(seconds=1)


def spread(xs):
    xs = sorted(xs)
    return f"n {len(xs)}, median {xs[len(xs) // 2]:.3f}, 95th {xs[int(len(xs) * 0.95)]:.3f}, most {xs[-1]:.3f}" if xs else "none"


def waits(s, since, **want):
    return [
        (o["when"] - o["at"]) / SEC
        for o in s.o.orders.values()
        if o["told"] == ("ok",) and o["at"] >= since and all(o[k] == v for k, v in want.items())
    ]


def recovery(town, seeds, what):
    """From a kill until an order of every tenant's unresumable class is served, asked each half second."""
    out = []
    for seed in seeds:
        s = Scene(town=town, seed=seed)
        s.settle()
        cls = next(c for c, d in next(iter(s.t["config"]["tenants"].values()))["classes"].items() if not d["resumable"])
        f, t0 = Faults(s), s.w.now
        names = {
            "primary": f.primary(),
            "owner": next(v[1] for k, (_, v) in sorted(s.w.nodes[s.live()[0]].store.items()) if k.startswith("duty/shard/")),
        }
        s.w.nodes[names[what]].kill()
        left = set(s.t["config"]["tenants"])
        while left and s.w.now - t0 < 20 * SEC:
            asked = {
                t: s.order(
                    tenant=t, cls=cls, retry=False, at=s.rng.choice(s.live(zone=s.t["config"]["tenants"][t]["homes"][0]) or s.live())
                )
                for t in sorted(left)
            }
            s.w.run(0.25)
            now = {t for t, o in asked.items() if s.o.orders[o]["told"] == ("ok",)}
            left -= now
            s.w.run(0.25)
            left -= {t for t, o in asked.items() if s.o.orders[o]["told"] == ("ok",)}
        out.append((s.w.now - t0) / SEC)
    return out


def isolation(town, seed, crowd, rate=60):
    """A quiet tenant's waits while another sends a crowd, and without it."""
    s = Scene(town=town, seed=seed)
    s.settle()
    ts = sorted(s.t["config"]["tenants"])
    homes = s.t["config"]["tenants"]
    loud = ts[0]
    quiet = next(t for t in ts[1:] if set(homes[t]["homes"]) & set(homes[loud]["homes"]))
    cls = next(c for c, d in homes[quiet]["classes"].items() if d["kind"] == "model" and d["stream"])
    t0 = s.w.now
    for i in range(40):
        s.w.after(i * SEC / 2, lambda: s.order(tenant=quiet, cls=cls, retry=False))
    for i in range(20 * rate if crowd else 0):
        s.w.after(i * SEC / rate, lambda: s.order(tenant=loud, cls=cls, retry=False))
    s.w.run(40)
    lost = sum(1 for o in s.o.orders.values() if o["tenant"] == quiet and o["told"] != ("ok",))
    return waits(s, t0, tenant=quiet), lost


def apart(seed, loud, cls="chat", rate=60.0, opt=None, secs=15, slow=1):
    """60 small tenants over few slots; `loud` of them fill the slots -> quiet waits, lost, all asked."""
    s = Scene(town="parish", seed=seed, opt=opt)
    for r in s.w.replicas.values():
        r.step *= slow  # long answers hold their slots
    s.settle()
    ts = sorted(s.t["config"]["tenants"])
    noisy, quiet = ts[:loud], ts[loud:]
    t0 = s.w.now + 2 * SEC
    for i in range(int(2 * secs)):  # two quiet orders a second, each of another tenant
        s.w.after(2 * SEC + i * SEC / 2, lambda t=quiet[i % len(quiet)]: s.order(tenant=t, cls="chat", retry=False))
    for k, t in enumerate(noisy):
        for i in range(int((2 + secs) * rate)):
            s.w.after(i * SEC / rate + k * SEC / 1000, lambda t=t: s.order(tenant=t, cls=cls, retry=False))
    s.w.run(secs + 16)
    mine = [o for o in s.o.orders.values() if o["tenant"] in quiet and o["at"] >= t0]
    ws = sorted((o["when"] - o["at"]) / SEC for o in mine if o["told"] == ("ok",))
    return ws, len(mine) - len(ws), len(mine), s


def day(town, seed, pace):
    """A plain day: waits by class, prefix hits, spills, retries, wanted against ready."""
    s = Scene(town=town, seed=seed, pace=pace)
    hits = [0, 0]
    for r in s.w.replicas.values():

        def take(n, life, did, meta, body, r=r, was=r.take):
            if meta["prefix"]:
                hits[meta["prefix"] in r.cache] += 1
            return was(n, life, did, meta, body)

        r.take = take
    s.settle()
    t0 = s.w.now
    s.traffic()
    s.w.run(60)
    spills = sum(n.tenant_context.overflow_count for n in s.w.nodes.values())
    want = dict(s.w.nodes[s.live()[0]].required_replicas)
    s.open = False
    s.w.run(20)
    classes = sorted({o["cls"] for o in s.o.orders.values()})
    told = s.told()
    return ({c: waits(s, t0, cls=c) for c in classes}, hits, spills, s.o.again, want, told)


def main(town, seeds):
    for what in ("primary", "owner"):
        print(f"{town}: back after the {what} is killed, s: {spread(recovery(town, seeds, what))}")
    for crowd in (False, True):
        ws, lost = [], 0
        for n in seeds:
            w, k = isolation(town, n, crowd)
            ws, lost = ws + w, lost + k
        print(f"{town}: a quiet tenant {'beside a crowd' if crowd else 'alone'}, s: {spread(ws)}; not served {lost}")
    for loud in (0, 1, 6):
        for cls in ("chat", "lookup"):
            ws, lost, n = [], 0, 0
            for seed in list(seeds)[:2]:
                w, k, m, _ = apart(seed, loud, cls)
                ws, lost, n = ws + w, lost + k, n + m
            print(f"parish: quiet tenants beside {loud} loud with {cls}, s: {spread(ws)}; not served {lost} of {n}")
    for pace in (1.0, 4.0):
        w, hits, spills, again, want, told = day(town, seeds[0], pace)
        print(
            f"{town}: a day at {pace:g} times the traffic: prefix hits {hits[1]} of {sum(hits)}, spills {spills},"
            f" runs again {again}, wanted {want}, told {told}"
        )
        for c, ws in w.items():
            print(f"    {c}, s: {spread(ws)}")
    return 0
