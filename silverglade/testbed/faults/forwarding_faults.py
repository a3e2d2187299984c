"""Faults of runs that forward (design 15): of daemons as ever, of replicas, lists, operators and clients."""

from ...runtime.shutdown_timetable import timetable
from ..fake_servers.request_format import ANSWER_FAULTS, MS, SEC
from ..simulator.forwarding_path import HELD, LIST
from .daemon_faults import Faults, secs


class ForwardFaults(Faults):
    def __init__(self, scene, *, most=1):
        super().__init__(scene, most=most)
        self.f, self.planned = scene.f, set()
        self.f.busy, self.f.planned = self.busy, self.planned

    def free(self, place):
        super().free(place)
        self.planned.discard(place)

    def unrest(self, t):
        """Replicas are in unplanned trouble for so long from now on."""
        self.f.unrest = max(self.f.unrest, self.w.now + secs(t))

    def names(self, z=None):
        return [n.name for n in self.w.nodes.values() if z in (None, n.zone)] + [
            s.id for s in self.f.seats.values() if s.e.up and z in (None, s.zone)
        ]

    def some(self):
        ss = [s for s in self.f.up() if s.leaves is None and not s.e.paused]
        return self.rng.choice(ss) if ss else None

    def row(self, s):
        return next(r for r in self.f.rows if r["name"] == s.name)

    def again(self, s, *, same=False):
        """A new life of it, unless there is one; at the old address only when that is free."""
        if not any(x.name == s.name and x.e.up and x.leaves is None for x in self.f.seats.values()):
            self.f.start(self.row(s), addr=s.addr if same and not s.e.up else self.spare(s.zone))

    def spare(self, z):
        """Now and then an address that another replica of the zone had, of whatever service; or None: a new one."""
        old = [
            x.addr
            for x in self.f.seats.values()
            if x.zone == z and x.ended is not None and self.f.at(x.addr) is x and self.w.now - x.ended >= self.f.reuse
        ]
        return self.rng.choice(old) if old and self.rng.random() < 0.6 else None

    # machines and links
    def cut_machine(self):
        name = self.rng.choice(self.places())
        if not self.take(name):
            return
        both = self.rng.random() < 0.7
        self.w.cut([name], [LIST, *(x for x in self.names() if x != name)], both)
        self.w.note("cut", name, both)
        self.later(self.rng.uniform(1, 7), self.mend_links, name)

    def cut_region(self):
        z = self.rng.choice(sorted(self.w.region))
        if self.take(z):
            mine = self.names(z)
            self.w.cut(mine, [LIST, *(x for x in self.names() if x not in mine)])
            self.w.note("cut-region", z)
            self.later(self.rng.uniform(2, 9), self.mend_links, z)

    def cut_replicas(self):
        """Some daemons and some replicas do not reach each other, one way or both."""
        if not self.take("links"):
            return
        ns, ss = self.places(), [s.id for s in self.f.up()]
        a, b = self.rng.sample(ns, max(1, len(ns) // 3)), self.rng.sample(ss, max(1, len(ss) // 3))
        self.w.cut(a, b, self.rng.random() < 0.5)
        self.w.note("cut-replicas", *a, *b)
        self.later(self.rng.uniform(0.3, 9), self.mend_links, "links")

    def lose_region(self, z="", empty=None):
        z = z or self.rng.choice(sorted(self.w.region))
        empty = self.rng.random() < 0.5 if empty is None else empty
        if not self.take(z, bare=empty):
            return
        self.w.note("lose-region", z, empty)
        for n in [n for n in self.w.nodes.values() if n.zone == z and n.hub is not None]:
            self.w.empty_disk(n.name) if empty and n.core else n.kill()
        lost = self.f.up(zone=z)
        for s in lost:
            self.f.crash(s)

        def back():
            for n in self.w.nodes.values():
                if n.zone == z and n.hub is None:
                    n.boot()
            for s in lost:
                self.again(s)
            self.later(7, self.free, z)

        self.later(self.rng.uniform(1, 8), back)

    def blackout(self):
        if self.busy or not self.take("blackout"):
            return
        lost = self.f.up()
        for n in self.w.nodes.values():
            if n.hub is not None:
                n.kill()
        for s in lost:
            self.f.crash(s)

        def back():
            for n in self.w.nodes.values():
                if n.hub is None:
                    n.boot()
            for s in lost:
                self.again(s)
            self.later(12, self.free, "blackout")

        self.later(self.rng.uniform(0.5, 4), back)

    def term(self, name=None):
        """A daemon is stopped in order and started again."""
        name = name or self.rng.choice([n.name for n in self.w.nodes.values() if not n.core])
        n, c = self.w.nodes[name], self.f.shells[name]
        if n.hub is None or n.frozen is not None or not self.take(name):
            return
        self.planned.add(name)
        life, b = n.life, self.f.rules.bounds
        times = timetable(stop_requested_at=self.w.now, grace=b.grace, linger=HELD, cut_streams_for=b.cut_streams_for)
        self.f.rules.stopped[life] = self.w.now
        n.feed(("drain",))
        n.feed(("leaving", times.streams_until, times.answer_at, times.end_at))
        n.feed(("state", "leaving"))
        self.w.note("term", name)

        def look():
            if n.life != life or n.hub is None:
                return self.free(name)
            if self.w.now < times.end_at and (c.ways or self.w.now < times.linger_until):
                if self.w.now >= times.answer_at:
                    c.conclude()
                return self.w.after(50 * MS, look)
            n.feed(("state", "left"))
            n.kill()
            return self.later(0.5, self.back, name)

        look()

    def roll_term(self):
        for i, n in enumerate([n.name for n in self.w.nodes.values() if not n.core][:3]):
            self.later(i * 9.5, self.term, n)

    # replicas
    def crash(self):
        s = self.some()
        if s:
            self.unrest(9)
            self.f.crash(s)
            if self.rng.random() < 0.8:  # else it is lost for good
                self.later(self.rng.uniform(0.5, 6), lambda: self.again(s, same=True))

    def dark(self):
        s = self.some()
        if s:
            t = self.rng.uniform(0.5, 7)
            self.unrest(t + 6)
            s.e.pause()
            self.w.note("dark", s.id)
            self.later(t, lambda: s.said(s.e.resume(self.w.now)))

    def release(self):
        """The replicas of a service are replaced one by one: each drains, then another life starts."""
        svc = self.rng.choice(sorted({r["service"] for r in self.f.rows}))
        for i, s in enumerate(self.f.up(service=svc)):
            self.later(i * 1.5, self.replace, s)

    def replace(self, s):
        t = self.f.rules.bounds.drain / SEC + 2
        self.f.leave(s, secs(t))
        self.later(1, lambda: self.again(s))

    def scale_in(self):
        """Some are taken away, in time or at short notice, and come back much later."""
        for s in [x for x in (self.some(), self.some()) if x]:
            t = self.rng.choice([0.3, 1.5, 3, 7])
            self.f.leave(s, secs(t))
            if t < 7:
                self.unrest(t + 1)
            self.later(t + self.rng.uniform(2, 8), lambda s=s: self.again(s, same=True))

    def cold_return(self):
        """All of a zone are lost at once, or only turn cold; they come back cold."""
        z, how = self.rng.choice(sorted(self.w.region)), self.rng.choice(["crash", "dark", "chill"])
        ss = self.f.up(zone=z)
        t = self.rng.uniform(1, 5)
        self.unrest(t + 6)
        self.w.note("cold-return", z, how)
        for s in ss:
            if how == "crash":
                self.f.crash(s)
                self.later(t, lambda s=s: self.again(s))
            else:
                if how == "dark":
                    s.e.pause()
                self.later(t, lambda s=s: (s.e.begin_slow_start(self.w.now), s.said(s.e.resume(self.w.now)) if s.e.paused else None))

    def spoil(self):
        """A part of some replicas' answers fail, end early, are garbled, doubled, late or lost."""
        for s in [x for x in (self.some(), self.some()) if x]:
            kinds = self.rng.sample(ANSWER_FAULTS, self.rng.randint(1, 3))
            s.e.fault_rates.update(dict.fromkeys(kinds, self.rng.choice([0.1, 0.3, 1.0])))
            s.e.always_healthy = self.rng.random() < 0.5
            t = self.rng.uniform(1, 8)
            self.unrest(t + 6)
            self.w.note("spoil", s.id, *kinds)
            self.later(t, lambda s=s: (s.e.fault_rates.clear(), setattr(s.e, "always_healthy", False)))

    def forget(self):
        """Replicas forget idle connections and do not say so."""
        self.f.forgets = 0.3
        self.unrest(14)
        self.later(6, setattr, self.f, "forgets", 0.0)

    def listing(self):
        if not self.f.mode:
            self.f.listing(self.rng.choice(["down", "slow", "part", "busy"]))
            self.later(self.rng.uniform(1, 8), lambda: self.f.mode and self.f.listing(""))

    # operators
    def ack_then_power(self):
        p = self.primary()

        def lose():
            if self.rng.random() < 0.5:
                self.kill(p)
            elif self.w.nodes[p].hub is not None and self.take(p, bare=True):
                self.w.empty_disk(p)
                self.later(self.rng.uniform(0.2, 4), self.back, p)

        if p:
            self.acknowledged(lose)

    def acknowledged(self, then):
        """A change is sent; in the moment of its acknowledgement something happens."""
        n = len(self.s.taken)
        self.s.change()

        def watch(k=400):
            if len(self.s.taken) > n:
                then()
            elif k:
                self.w.after(5 * MS, watch, k - 1)

        watch()

    def closing(self):
        """Just acknowledged, all lose power, and one core its disk."""

        def lose():
            if not self.busy:
                if self.rng.random() < 0.7 and self.w.now >= self.bare:
                    self.bare = self.w.now + secs(20)
                    self.w.empty_disk(self.rng.choice(self.w.cores))
                self.blackout()

        self.acknowledged(lose)

    def change(self):
        self.s.change()

    def keys(self):
        """Keys of callers are added or taken away, in a scene that has any."""
        self.s.change("keys")

    def race(self):
        self.s.change()
        self.s.change()

    def quick(self):
        for i in range(5):
            self.later(i * 0.4, self.s.change)

    def large(self):
        self.s.change("grow")

    def invalid(self):
        self.s.invalid()

    def evacuate(self):
        z = self.rng.choice(sorted(self.w.region))
        if all(drained.until is not None for drained in self.f.rules.drained_zones) and not any(self.s.emptying.values()):
            self.s.empty(z)
            self.later(self.rng.uniform(7, 10), self.s.empty, z, False)
            if self.rng.random() < 0.5:
                self.later(6.5, lambda: [s.e.begin_slow_start(self.w.now) for s in self.f.up(zone=z)])

    def lose_emptied(self):
        z = self.rng.choice(sorted(self.w.region))
        if not self.busy and all(drained.until is not None for drained in self.f.rules.drained_zones) and not any(self.s.emptying.values()):
            self.s.empty(z)
            self.later(self.rng.uniform(0.1, 3), lambda: self.lose_region(z, True))
            self.later(self.rng.uniform(10, 14), self.s.empty, z, False)

    # clients
    def burst(self):
        self.s.rate = self.rng.choice([2.0, 4.0, 8.0])
        self.later(self.rng.uniform(3, 10), setattr, self.s, "rate", 1.0)

    def shift(self):
        zs = sorted(self.w.region)
        z = self.rng.choice(zs)
        self.s.lean = {x: len(zs) if x == z else 0.1 for x in zs}
        self.later(self.rng.uniform(4, 10), self.s.lean.clear)

    def swing(self):
        self.s.long = self.rng.choice([0.2, 3.0])
        self.later(self.rng.uniform(3, 8), setattr, self.s, "long", 1.0)


ALL = (
    "kill",
    "kill_holder",
    "kill_primary",
    "empty_disk",
    "ack_then_power",
    "freeze",
    "disk",
    "cut_machine",
    "cut_region",
    "cut_cores",
    "cut_replicas",
    "lose_region",
    "sleep",
    "blackout",
    "jump",
    "term",
    "roll_term",
    "crash",
    "crash",
    "dark",
    "dark",
    "release",
    "scale_in",
    "cold_return",
    "spoil",
    "spoil",
    "forget",
    "listing",
    "race",
    "quick",
    "change",
    "change",
    "large",
    "invalid",
    "closing",
    "evacuate",
    "evacuate",
    "lose_emptied",
    "burst",
    "shift",
    "swing",
)
LAST = (
    "closing",
    "closing",
    "closing",
    "blackout",
    "kill_primary",
    "lose_region",
    "sleep",
    "cut_cores",
    "freeze",
    "empty_disk",
    "disk",
    "cut_region",
)


def run(*, town, seed, kinds=ALL, secs_=40, gap=2.0, most=0, stop=False, **scene):
    """One seed: settle, calm traffic, a storm, one last fault, peace, checks -> (scene, what was broken).

    stop: it is enough to know that something was broken.
    """
    from ..simulator.forwarding_scenario import Scene

    s = Scene(town=town, seed=seed, loss=0.0 if seed % 3 else 0.005, **scene)
    s.settle()
    s.traffic()
    s.w.run(4)
    before = (9 * SEC, 12 * SEC)
    m, t = ForwardFaults(s, most=most or 1 + seed % 2), 0.0
    while t < secs_:
        m.later(t, getattr(m, s.rng.choice(kinds)))
        t += s.rng.expovariate(1 / gap)
    last = [k for k in LAST if k in kinds]
    if last:
        m.later(secs_ - 0.3, getattr(m, s.rng.choice(last)))
    for _ in range(secs_):
        s.w.run(1)
        if stop and s.r.faults:
            return s, s.r.faults
    return s, s.finish(before)
