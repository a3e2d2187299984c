"""Long simulated days of the scaler (design 9.7): a platform follows its orders after a start delay."""

from datetime import timedelta
from math import pi, sin

from ...runtime.effects import milliseconds
from ...runtime.settings import tuning
from ..simulator.scenario import Scene
from ..simulator.tenant_replicas import Replica

SEC = timedelta(seconds=1)


class Platform:
    """Lists, starts and stops replicas as the regions' orders say; reads them every two seconds."""

    def __init__(self, scene, *, delay=8.0):
        self.s, self.w, self.delay, self.n = scene, scene.w, delay, 0
        self.seconds, self.up, self.down, self.under, self.wanted = 0.0, 0, 0, 0, []
        self.w.after(2 * SEC, self.turn)

    def turn(self):
        self.w.after(2 * SEC, self.turn)
        at = self.s.live()
        for z, d in self.s.t["config"]["zones"].items():
            if at:
                self.w.call(
                    self.s.rng.choice(at),
                    "orders",
                    (d["region"],),
                    lambda code, kw, z=z, d=d: self.follow(z, kw.get("kinds", {}).get("model", {}), d["least"]),
                )

    def follow(self, z, k, least):
        here = [
            r for r in self.w.replicas.values() if r.zone == z and r.up and r.state != "leaving" and (r.rid, r.inc) not in self.s.o.left
        ]
        self.seconds += 2 * len(here)
        want = k.get("wanted", 0)
        self.wanted.append((self.w.now, z, want))
        self.under += want < least
        if want > len(here):
            for _ in range(want - len(here)):
                self.start(z)
        elif want < len(here) and len(here) > least:
            self.stop(here[-1])

    def start(self, z):
        self.n += 1
        self.up += 1
        r = self.w.replicas[f"more-{z}-{self.n}"] = Replica(world=self.w, rid=f"more-{z}-{self.n}", zone=z)
        r.boot()
        r.state, inc = "starting", r.inc
        self.w.after(self.delay * SEC, lambda: r.inc == inc and r.state == "starting" and setattr(r, "state", "ready"))

    def stop(self, r):
        self.down += 1
        self.s.leave(r.rid)

        def end():
            if r.runs:
                return self.w.after(SEC, end)
            r.kill()
            return self.w.replicas.pop(r.rid, None)

        self.w.after(6 * SEC, end)


def day(*, secs=600, seed=1, peak=20.0, flow="printed", trouble=True):
    """A day, as a curve with a crowd, a swing of lengths and restarts of daemons -> figures."""
    s = Scene(town="hamlet", seed=seed, opt=tuning(scale_flow=flow, forget=60))
    s.settle()
    p, t0 = Platform(s), s.w.now
    s.w.run(2)

    def flow_(cls):
        x = (s.w.now - t0) / SEC / secs
        rate = peak * (0.06 + max(0.0, sin(pi * min(1, x))) ** 2) / 2
        if 0.55 < x < 0.6 and trouble:
            rate *= 2  # a crowd
        if x < 1:
            s.w.after(timedelta(seconds=s.rng.expovariate(rate)), flow_, cls)
            s.order(tenant="pair", cls=cls, retry=False, old=0)

    for c in ("lookup", "chat"):
        flow_(c)
    if trouble:
        s.w.after(secs * SEC * 0.4, s.w.nodes["edge-middle-0"].kill)
        s.w.after(secs * SEC * 0.4 + 3 * SEC, s.w.nodes["edge-middle-0"].boot)

        def swing(k):
            for r in s.w.replicas.values():
                r.step = int(r.pace[1] * k)

        s.w.after(secs * SEC * 0.7, swing, 3)
        s.w.after(secs * SEC * 0.8, swing, 1)
    s.w.run(secs + 40)
    os = [o for o in s.o.orders.values() if o["at"] >= t0]
    aim = {c: d["aim_ms"] * milliseconds(1) for c, d in s.t["config"]["tenants"]["pair"]["classes"].items()}
    ok = [o for o in os if o["told"] == ("ok",)]
    met = sum(o["when"] - o["at"] <= aim[o["cls"]] for o in ok)
    falls = {}
    for t, z, m in p.wanted:
        falls.setdefault(z, []).append((t, m))
    return dict(
        orders=len(os),
        served=len(ok),
        in_aim=met,
        replica_hours=round(p.seconds / 3600, 2),
        up=p.up,
        down=p.down,
        under_least=p.under,
        most=max(m for _, _, m in p.wanted),
        spills=sum(n.tenant_context.overflow_count for n in s.w.nodes.values() if n.hub),
        faults=s.o.faults,
        wanted=falls,
    )


def main(seeds, secs):
    for flow in ("printed", "served"):
        for seed in seeds:
            d = day(seed=seed, flow=flow, secs=secs)
            print(f"W by {flow}, seed {seed}:", {k: v for k, v in d.items() if k != "wanted"})
    return 0
