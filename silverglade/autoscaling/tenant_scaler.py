"""The scaler inside every daemon (design 9): its part of the replicas its region needs."""

from datetime import timedelta
from math import ceil

from ..control import replicated_state as bk
from ..membership.member import extra
from ..replicas.registry import KIND, S_STATE, S_USE, ZONE
from ..runtime.effects import ZERO, log
from .load_measurement import Gauge
from .markov_chain import smallest

SEC = timedelta(seconds=1)


def scaler(*, me, region, opt):
    """Casts ("wanted", {(region, kind): m}); names its own part in its roster record."""
    gauges, roll, book, reps, due, out = {}, (), {}, {}, ZERO, []

    def aims(cfg):
        a = {}
        for t in cfg["tenants"].values():
            for c in t["classes"].values():
                a[c["kind"]] = min(a.get(c["kind"], 1 << 60), c["aim_ms"])
        return a

    def name(now):
        cfg = bk.value_of(book, "config")
        mine = {z: d for z, d in cfg["zones"].items() if d["region"] == region}
        count = max(1, sum(1 for r in roll if r[5] == region and r[9] == "ready"))
        least = sum(d["least"] for d in mine.values())
        parts = []
        for kind, aim in sorted(aims(cfg).items()):
            g = gauges.setdefault(kind, Gauge())
            here = [(r, s) for r, s, _ in reps.values() if r[KIND] == kind and r[ZONE] in mine]
            uses = [s[S_USE] for _, s in here if s and s[S_STATE] == "ready"]
            came, served = g.rates(now, opt["scale_every"])
            lam = g.trend(now, came * count, opt)
            sv = g.service(use=sum(uses) / len(uses) if uses else 0.0, ready=len(uses), count=count, served=served, opt=opt)
            m, met = 0, True
            if lam > 0 and sv:
                m, met = smallest(
                    lam=lam,
                    mu=1 / sv,
                    replicas=len(here),
                    aim=aim / 1000,
                    room=opt["scale_room"],
                    fan=opt["scale_fan"],
                    top=opt["scale_top"],
                    fall=opt["scale_fall"],
                    flow=opt["scale_flow"],
                )
            m = max(g.hold(now, m, opt), least if here or kind == "model" else 0)
            parts.append((kind, m, m / count, round(lam, 3), round(sv or 0.0, 6), met))
        out.append(("post", "membership", ("extra", "parts", tuple(parts))))
        out.append(log("scaler", region=region, daemons=count, parts=";".join(f"{p[0]}:{p[1]}:{p[2]:.2f}:{p[3]:.2f}" for p in parts)))

    def totals():
        t = {}
        for r in roll:
            for p in extra(r, "parts", ()):
                k = (r[5], p[0])
                t[k] = t.get(k, 0.0) + p[2]
        return {k: ceil(v - 1e-6) for k, v in t.items()}

    while True:
        now, ev = yield tuple(out)
        out = []
        match ev:
            case ("roll", r):
                roll = r
                out.append(("cast", ("wanted", totals())))
            case ("book", b, _):
                book = b
            case ("replicas", rs):
                reps = rs
            case ("arrived", kind):
                gauges.setdefault(kind, Gauge()).came.append(now)
            case ("repeat", kind) if kind in gauges and gauges[kind].came:
                gauges[kind].came.pop()  # its owner knew the key: a retry after all
            case ("served", kind, took, _):
                gauges.setdefault(kind, Gauge()).went.append((now, took / SEC))
            case ("pulse",) if now < due:
                out.append(("due", due))
            case ("pulse",):
                due = now + opt["scale_every"]
                if bk.value_of(book, "config"):
                    name(now)
                out.append(("due", due))
