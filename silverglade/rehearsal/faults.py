"""Faults that a seeded run causes (design 10.3). Each is a function of the scene."""
from datetime import timedelta

from ..part import span


def secs(x):
    return timedelta(seconds=x)


class Faults:
    """At most one machine, zone or region at a time, as the brief asks; replicas besides."""

    def __init__(self, scene):
        self.s, self.w, self.rng = scene, scene.w, scene.rng
        self.busy = None                        # the one place that is failing now

    def later(self, t, fn, *a):
        self.w.after(secs(t), fn, *a)

    def places(self):
        return list(self.w.nodes)

    def free(self):
        self.busy = None

    # machines
    def kill(self, name=None):
        name = name or self.rng.choice(self.places())
        n = self.w.nodes[name]
        if self.busy or n.hub is None:
            return
        self.busy = name
        n.kill()
        self.later(self.rng.uniform(0.2, 6), self.back, name)

    def back(self, name):
        n = self.w.nodes[name]
        if n.hub is None:
            n.boot()
        self.later(6, self.free)

    def kill_holder(self):
        """Kill the primary, the backup, an owner, a follower or a ledger holder."""
        names = set()
        for n in self.w.nodes.values():
            if n.hub is None:
                continue
            v = n.peek("desk", "primary")()
            names |= {x for x in v[1:3] if x}
            names |= {h for k, (_, x) in n.peek("desk", "book").items() if k.startswith("duty/") for h in x[1:] if h}
            break
        if names:
            self.kill(self.rng.choice(sorted(names)))

    def primary(self):
        for n in self.w.nodes.values():
            if n.hub is not None:
                return n.peek("desk", "primary")()[1]
        return ""

    def kill_primary(self):
        if self.primary():
            self.kill(self.primary())

    def empty_disk(self):
        cores = [n for n in self.w.nodes.values() if n.core and n.hub is not None]
        if self.busy or len(cores) < 3:
            return
        n = self.rng.choice(cores)
        self.busy = n.name
        self.w.empty_disk(n.name)
        self.later(self.rng.uniform(0.2, 4), self.back, n.name)

    def ack_then_power(self):
        """Power or disk lost just after an acknowledgement."""
        if self.busy:
            return
        p = self.primary()
        at = self.rng.choice(self.s.live())
        before = len(self.s.o.acked)
        self.s.put(at=at)

        def watch(n=60):
            if len(self.s.o.acked) > before:
                if p and not self.busy and self.w.nodes[p].hub is not None:
                    if self.rng.random() < 0.5:
                        self.kill(p)
                    else:
                        self.busy = p
                        self.w.empty_disk(p)
                        self.later(self.rng.uniform(0.2, 4), self.back, p)
            elif n:
                self.w.after(span(10), watch, n - 1)
        watch()

    def freeze(self):
        name = self.rng.choice(self.places())
        n = self.w.nodes[name]
        if self.busy or n.hub is None:
            return
        self.busy = name
        n.freeze(True)
        t = self.rng.choice([0.5, 2, 4, 7])

        def wake():
            n.freeze(False)
            self.later(6, self.free)
        self.later(t, wake)

    def jump(self):
        """A machine's clock leaps ahead. Monotonic clocks never go back; wall clocks decide nothing."""
        name = self.rng.choice(self.places())
        if self.busy or self.w.nodes[name].hub is None:
            return
        self.busy = name
        self.w.nodes[name].skew += secs(self.rng.choice([0.3, 1.0, 3.0, 30.0, 3600.0]))
        self.w.nodes[name].since = self.w.now
        self.w.note("clock-jump", name)
        self.later(6, self.free)

    # disks
    def disk(self):
        cores = [n for n in self.w.nodes.values() if n.core and n.hub is not None]
        if self.busy or not cores:
            return
        n = self.rng.choice(cores)
        self.busy = n.name
        how = self.rng.choice(["slow", "stall", "full"])
        d = n.disk
        if how == "full":
            d.full = True
        else:
            d.slow, d.stall = secs(0.3 if how == "slow" else 0), how == "stall"
        self.w.note("disk", n.name, how)

        def mend():
            d.full, d.stall, d.slow = False, False, timedelta(0)
            self.later(4, self.free)
        self.later(self.rng.uniform(1, 6), mend)

    # links
    def cut_machine(self):
        if self.busy:
            return
        name = self.rng.choice(self.places())
        self.busy = name
        others = [x for x in list(self.w.nodes) + list(self.w.replicas) if x != name]
        both = self.rng.random() < 0.7
        self.w.cut([name], others, both)
        self.w.note("cut", name, both)
        self.later(self.rng.uniform(1, 7), self.mend_links)

    def zone_names(self, z):
        return ([n.name for n in self.w.nodes.values() if n.zone == z]
                + [r.rid for r in self.w.replicas.values() if r.zone == z])

    def cut_region(self):
        if self.busy:
            return
        z = self.rng.choice(sorted(self.w.region))
        self.busy = z
        mine = self.zone_names(z)
        rest = [x for x in list(self.w.nodes) + list(self.w.replicas) if x not in mine]
        self.w.cut(mine, rest)
        self.w.note("cut-region", z)
        self.later(self.rng.uniform(2, 9), self.mend_links)

    def cut_cores(self):
        """The core split: one link between two cores, or one direction of it."""
        if self.busy:
            return
        a, b = self.rng.sample(self.w.cores, 2)
        self.busy = a
        self.w.cut([a], [b], self.rng.random() < 0.5)
        self.w.note("cut-cores", a, b)
        self.later(self.rng.uniform(1, 6), self.mend_links)

    def mend_links(self):
        self.w.heal()
        self.later(5, self.free)

    def lose_region(self):
        """A whole region lost; it comes back empty or as it was."""
        if self.busy:
            return
        z = self.rng.choice(sorted(self.w.region))
        self.busy = z
        empty = self.rng.random() < 0.5
        self.w.note("lose-region", z, empty)
        for n in self.w.nodes.values():
            if n.zone == z and n.hub is not None:
                if empty and n.core:
                    self.w.empty_disk(n.name)
                else:
                    n.kill()
        for r in self.w.replicas.values():
            if r.zone == z and r.up:
                r.kill()

        def back():
            for n in self.w.nodes.values():
                if n.zone == z and n.hub is None:
                    n.boot()
            for r in self.w.replicas.values():
                if r.zone == z and not r.up:
                    r.boot()
            self.later(7, self.free)
        self.later(self.rng.uniform(1, 8), back)

    # replicas
    def replica(self):
        r = self.rng.choice(list(self.w.replicas.values()))
        if not r.up:
            return
        how = self.rng.choice(["crash", "dark", "leave", "notice", "refuse", "fault", "skip"])
        self.w.note("replica", r.rid, how)
        inc = r.inc

        def again():
            if r.inc == inc:
                r.dark, r.sabotage = False, None
                if not r.up or (r.rid, r.inc) in self.s.o.left:
                    if r.up:
                        r.kill()
                    r.boot()
        if how == "crash":
            r.kill()
        elif how == "dark":
            r.dark = True
        elif how in ("leave", "notice"):
            self.s.leave(r.rid)
            if how == "notice":
                self.later(self.rng.uniform(0.2, 2), lambda: r.up and r.inc == inc and r.kill())
        else:
            r.sabotage = how
        self.later(self.rng.uniform(1, 8), again)

    def swing(self):
        """Traffic swings between long prompts and long answers."""
        pre, step = self.rng.choice([(6, 1), (1, 8), (3, 3)])
        for r in self.w.replicas.values():
            r.prefill, r.step = r.prefill * pre, r.step * step
        self.w.note("swing", pre, step)

        def back():
            for r in self.w.replicas.values():
                r.prefill, r.step = r.pace
        self.later(self.rng.uniform(3, 8), back)

    # operators
    def race(self):
        """Two operators over the same version: at most one may win."""
        a, b = self.rng.choice(self.s.live()), self.rng.choice(self.s.live())

        def go(code, kw):
            if code == 100:
                v = tuple(kw["version"])
                self.s.put(at=a, base=v, kind="")
                self.s.put(at=b, base=v, kind="")
        self.w.call(a, "config-get", (), go)

    def quick(self):
        for i in range(4):
            self.later(i * 0.3, lambda: self.s.put(kind=""))

    def change(self):
        """Homes moved, a key revoked, a tenant out and back, a class altered, a zone added."""
        self.s.put(kind="")

    def large(self):
        self.s.put(grow=300)

    def evacuate(self):
        z = self.rng.choice(sorted(self.w.region))
        if any(b is None for _, _, b in self.s.o.emptied):
            return
        self.s.empty(z)
        self.later(self.rng.uniform(7, 10), self.s.empty, z, False)

    # visitors
    def crowd(self):
        ts = sorted(self.s.t["config"]["tenants"])
        t = self.rng.choice(ts)
        for cls in self.s.t["config"]["tenants"][t]["classes"]:
            for i in range(40):
                self.later(self.rng.random(), lambda c=cls: self.s.order(tenant=t, cls=c))

    def repeat(self):
        """A visitor moves zone and repeats its key elsewhere, at once or a little later."""
        ts = self.s.t["config"]["tenants"]
        for _ in range(5):
            t = self.rng.choice(sorted(ts))
            c = self.rng.choice(sorted(ts[t]["classes"]))
            key = f"again{self.rng.getrandbits(40)}"
            for k in range(3):
                self.later(self.rng.random() * k, lambda t=t, c=c, k=key, n=k: self.s.order(
                    tenant=t, cls=c, key=k, attempt=n + 1, retry=False,
                    at=self.rng.choice(self.s.live())))


ALL = ("kill", "kill_holder", "kill_primary", "empty_disk", "ack_then_power", "freeze", "disk",
       "cut_machine", "cut_region", "cut_cores", "lose_region", "replica", "replica", "race", "quick",
       "large", "evacuate", "crowd", "repeat", "jump", "swing", "change", "change")


def storm(scene, *, secs_=40, kinds=ALL, gap=2.5):
    """Faults at seeded times for a while, in seeded order, mixed."""
    f = Faults(scene)
    t = 0.0
    while t < secs_:
        f.later(t, getattr(f, scene.rng.choice(kinds)))
        t += scene.rng.expovariate(1 / gap)
    return f


def run(*, town, seed, kinds=ALL, secs_=40, gap=2.5):
    """One seed: settle, traffic, storm, peace, checks -> (scene, faults found)."""
    from .scene import Scene
    s = Scene(town=town, seed=seed, pace=0.6, loss=0.0 if seed % 3 else 0.005)
    s.settle()
    s.traffic()
    storm(s, secs_=secs_, kinds=kinds, gap=gap)
    s.w.run(secs_)
    return s, s.finish()
