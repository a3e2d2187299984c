"""Faults that a seeded run causes (design 10.3). Each is a function of the scene."""

from datetime import timedelta

from ...runtime.effects import milliseconds


def secs(x):
    return timedelta(seconds=x)


class Faults:
    """At most `most` places (machine, zone or region) at a time: one, as the brief asks, or more.

    Never two lost disks at a time: what both members of a view held is gone then (design 5.8).
    """

    def __init__(self, scene, *, most=1):
        self.s, self.w, self.rng, self.most = scene, scene.w, scene.rng, most
        self.busy, self.bare = [], secs(0)  # places failing now; until when a disk is missing

    def take(self, place, bare=False):
        """May this place fail now? Takes it if so."""
        if len(self.busy) >= self.most or place in self.busy or bare and self.w.now < self.bare:
            return False
        self.busy.append(place)
        if bare:
            self.bare = self.w.now + secs(20)
        return True

    def later(self, t, fn, *a):
        self.w.after(secs(t), fn, *a)

    def places(self):
        return list(self.w.nodes)

    def free(self, place):
        if place in self.busy:
            self.busy.remove(place)

    # machines
    def kill(self, name=None):
        name = name or self.rng.choice(self.places())
        n = self.w.nodes[name]
        if n.hub is None or not self.take(name):
            return
        n.kill()
        self.later(self.rng.uniform(0.2, 6), self.back, name)

    def back(self, name):
        n = self.w.nodes[name]
        if n.hub is None:
            n.boot()
        self.later(6, self.free, name)

    def kill_holder(self):
        """Kill the primary, the backup, an owner, a follower or a ledger holder."""
        names = set()
        for n in self.w.nodes.values():
            if n.hub is None:
                continue
            v = n.known_view
            names |= {x for x in v[1:] if x}
            names |= {h for k, (_, x) in n.store.items() if k.startswith("duty/") for h in x[1:] if h}
            break
        if names:
            self.kill(self.rng.choice(sorted(names)))

    def primary(self):
        for n in self.w.nodes.values():
            if n.hub is not None:
                return n.known_view[1]
        return ""

    def kill_primary(self):
        if self.primary():
            self.kill(self.primary())

    def empty_disk(self):
        cores = [n for n in self.w.nodes.values() if n.core and n.hub is not None]
        if len(cores) < 3:
            return
        n = self.rng.choice(cores)
        if not self.take(n.name, bare=True):
            return
        self.w.empty_disk(n.name)
        self.later(self.rng.uniform(0.2, 4), self.back, n.name)

    def ack_then_power(self):
        """Power or disk lost just after an acknowledgement."""
        p = self.primary()
        if not p:
            return
        at = self.rng.choice(self.s.live())
        before = len(self.s.o.acked)
        self.s.put(at=at)

        def watch(n=60):
            if len(self.s.o.acked) > before:
                if p and self.w.nodes[p].hub is not None:
                    if self.rng.random() < 0.5:
                        self.kill(p)
                    elif self.take(p, bare=True):
                        self.w.empty_disk(p)
                        self.later(self.rng.uniform(0.2, 4), self.back, p)
            elif n:
                self.w.after(milliseconds(10), watch, n - 1)

        watch()

    def freeze(self):
        name = self.rng.choice(self.places())
        n = self.w.nodes[name]
        if n.hub is None or n.frozen is not None or not self.take(name):
            return
        n.freeze(True)
        t = self.rng.choice([0.5, 2, 4, 7])

        def wake():
            n.freeze(False)
            self.later(6, self.free, name)

        self.later(t, wake)

    def jump(self):
        """A machine's clock leaps ahead. Monotonic clocks never go back; wall clocks decide nothing."""
        name = self.rng.choice(self.places())
        if self.w.nodes[name].hub is None or not self.take(name):
            return
        self.w.nodes[name].skew += secs(self.rng.choice([0.3, 1.0, 3.0, 30.0, 3600.0]))
        self.w.nodes[name].since = self.w.now
        self.w.note("clock-jump", name)
        self.later(6, self.free, name)

    # disks
    def disk(self, how=""):
        cores = [n for n in self.w.nodes.values() if n.core and n.hub is not None]
        if not cores:
            return
        n = self.rng.choice(cores)
        if not self.take(n.name):
            return
        how = how or self.rng.choice(["slow", "stall", "full"])
        d = n.disk
        if how == "full":
            d.full = True
        else:
            d.slow, d.stall = secs(0.3 if how == "slow" else 0), how == "stall"
        self.w.note("disk", n.name, how)

        def mend():
            d.full, d.stall, d.slow = False, False, timedelta(0)
            self.later(4, self.free, n.name)

        self.later(self.rng.uniform(1, 6), mend)

    # links
    def cut_machine(self):
        name = self.rng.choice(self.places())
        if not self.take(name):
            return
        others = [x for x in list(self.w.nodes) + list(self.w.replicas) if x != name]
        both = self.rng.random() < 0.7
        self.w.cut([name], others, both)
        self.w.note("cut", name, both)
        self.later(self.rng.uniform(1, 7), self.mend_links, name)

    def zone_names(self, z):
        return [n.name for n in self.w.nodes.values() if n.zone == z] + [r.rid for r in self.w.replicas.values() if r.zone == z]

    def cut_region(self):
        z = self.rng.choice(sorted(self.w.region))
        if not self.take(z):
            return
        mine = self.zone_names(z)
        rest = [x for x in list(self.w.nodes) + list(self.w.replicas) if x not in mine]
        self.w.cut(mine, rest)
        self.w.note("cut-region", z)
        self.later(self.rng.uniform(2, 9), self.mend_links, z)

    def cut_cores(self):
        """The core split: one link between two cores, or one direction of it."""
        a, b = self.rng.sample(self.w.cores, 2)
        if not self.take(a):
            return
        self.w.cut([a], [b], self.rng.random() < 0.5)
        self.w.note("cut-cores", a, b)
        self.later(self.rng.uniform(1, 6), self.mend_links, a)

    def mend_links(self, place):
        self.w.heal()
        self.later(5, self.free, place)

    def lose_region(self, z="", empty=None):
        """A whole region lost; it comes back empty or as it was."""
        z = z or self.rng.choice(sorted(self.w.region))
        empty = self.rng.random() < 0.5 if empty is None else empty
        if not self.take(z, bare=empty):
            return
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
            self.later(7, self.free, z)

        self.later(self.rng.uniform(1, 8), back)

    # many at once
    def sleep(self):
        """Several machines freeze and wake together."""
        names = [n for n in self.places() if self.w.nodes[n].hub and self.w.nodes[n].frozen is None]
        names = self.rng.sample(names, min(len(names), self.rng.randint(2, 5)))
        if self.busy or not self.take("sleep"):
            return
        for n in names:
            self.w.nodes[n].freeze(True)

        def wake():
            for n in names:
                self.w.nodes[n].freeze(False)
            self.later(6, self.free, "sleep")

        self.later(self.rng.choice([0.5, 2, 4, 7]), wake)

    def blackout(self):
        """Everything loses power while visitors wait; everything returns at once."""
        if self.busy or not self.take("blackout"):
            return
        for x in (*self.w.nodes.values(), *self.w.replicas.values()):
            x.kill()

        def back():
            for x in (*self.w.nodes.values(), *self.w.replicas.values()):
                x.boot()
            self.later(12, self.free, "blackout")

        self.later(self.rng.uniform(0.5, 4), back)

    def lose_emptied(self):
        """A region is lost, and comes back empty, while its zone is emptied."""
        z = self.rng.choice(sorted(self.w.region))
        if self.busy or any(b is None for _, _, b in self.s.o.emptied):
            return
        self.s.empty(z)
        self.later(self.rng.uniform(0.1, 3), lambda: self.lose_region(z, True))
        self.later(self.rng.uniform(10, 14), self.s.empty, z, False)

    def slow_crowd(self):
        """A slow disk under a crowd."""
        self.disk("slow")
        self.crowd()

    def race_takeover(self):
        """Two operators race while the primary is lost."""
        self.race()
        self.later(self.rng.random() * 0.1, self.kill_primary)
        self.later(self.rng.random() * 2, self.race)

    # replicas
    def roll(self):
        """Every replica is replaced, one by one: marked, stopped, started as a new life."""
        for i, r in enumerate(list(self.w.replicas.values())):
            self.later(i * 1.5, self.replace, r)

    def replace(self, r):
        if r.up:
            self.s.leave(r.rid)
            inc = r.inc
            self.later(1.2, lambda: r.inc == inc and (r.kill(), r.boot()))

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
        if not self.s.live():
            return
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
                self.later(
                    self.rng.random() * k,
                    lambda t=t, c=c, k=key, n=k: self.s.order(
                        tenant=t, cls=c, key=k, attempt=n + 1, retry=False, at=self.rng.choice(self.s.live() or [""])
                    ),
                )
