"""The cores alone (design 10.6): their control parts on a seeded clock, network and disks, with operators.

Much faster than a whole town, so that many seeds can be played for every fault of the core.
"""

import heapq
import random
from datetime import timedelta

from ...control.core import control_component
from ...control.register import disks
from ...runtime.effects import ZERO, milliseconds, prime_generator
from ...runtime.settings import tuning

SEC = timedelta(seconds=1)
SITES = {
    3: (("a", "za", "x"), ("b", "zb", "y"), ("c", "zc", "z")),
    4: (("a", "za", "x"), ("b", "zb", "y"), ("c", "zc", "z"), ("d", "zd", "x")),
    5: (("a", "za", "x"), ("b", "zb", "y"), ("c", "zc", "z"), ("d", "zd", "x"), ("e", "ze", "y")),
    7: (("a", "za", "x"), ("b", "zb", "y"), ("c", "zc", "z"), ("d", "zd", "x"), ("e", "ze", "y"), ("f", "zc", "z"), ("g", "za", "x")),
    9: tuple((n, f"z{n}", "xyz"[i % 3]) for i, n in enumerate("abcdefghi")),
}
BASE = {"zones": {"za": {"region": "x"}}, "tenants": {}}


class Disk:
    """What is synced; what waits is lost with power, the write under way by a coin (design 5.1)."""

    def __init__(self, rng):
        self.id, self.data, self.queue, self.busy = f"{rng.getrandbits(60):x}", {}, [], False
        self.slow, self.stall, self.full = ZERO, False, False

    def apply(self, ops):
        for op in ops:
            match op:
                case ("put", t, k, v):
                    self.data.setdefault(t, {})[k] = v
                case ("del", t, k):
                    self.data.get(t, {}).pop(k, None)
                case ("wipe", t):
                    self.data[t] = {}


class Core:
    def __init__(self, *, council, name, zone, region, late=False):
        self.c, self.name, self.zone, self.region, self.late = council, name, zone, region, late
        self.disk, self.gen, self.life, self.frozen, self.held = Disk(council.rng), None, 0, None, []
        self.daemon_state, self.released = "ready", False  # as the roll has it; was it said that it may end?

    def boot(self):
        c = self.c
        self.life += 1
        self.frozen, self.held, self.daemon_state, self.released = None, [], "ready", False
        self.gen = prime_generator(
            control_component(
                name=self.name,
                disk=self.disk.id,
                cores=c.named,
                saved={t: dict(d) for t, d in self.disk.data.items()},
                tuning=c.opt,
                rng=random.Random(c.rng.getrandbits(64)),
                place=(self.zone, self.region),
                tolerance=c.tolerance,
                first=self.life == 1 and not self.late,
            )
        )
        c.after(milliseconds(c.rng.randrange(50)), self.pulse, self.life)
        c.rolled()

    @property
    def state(self):
        """The state of its control part, while it is up: to be read alone."""
        return self.gen.state

    def power(self):
        """Power is lost: what was not synced is gone, but for the write under way."""
        q, self.disk.queue, self.disk.busy = self.disk.queue, [], False
        if q and not self.disk.stall and not self.disk.full and self.c.rng.random() < 0.5:
            self.disk.apply(q[0][1])
        self.gen, self.frozen = None, None
        self.c.rolled()

    def empty(self):
        self.power()
        self.disk = Disk(self.c.rng)

    def freeze(self, on):
        if on and self.gen:
            self.frozen = self.c.now
        elif not on and self.frozen is not None:
            late, (self.frozen, held, self.held) = self.c.now - self.frozen, (None, self.held, [])
            for ev in held:
                self.feed(ev)
            if late > self.c.opt["late"]:
                self.feed(("froze",))

    def pulse(self, life):
        if self.gen is None or life != self.life:
            return
        if self.frozen is None:
            self.feed(("pulse",))
        self.c.after(self.c.opt["pulse"], self.pulse, life)

    def feed(self, ev):
        if self.gen is None:
            return
        if self.frozen is not None:
            self.held.append(ev)
            return
        queue = [ev]
        while queue:
            for f in self.gen.send((self.c.now, queue.pop(0))):
                match f:
                    case ("send", to, body) if to == self.name:
                        queue.append(("msg", self.name, body))
                    case ("post", "control", e):
                        queue.append(e)
                    case ("send", to, body):
                        self.c.deliver(self, to, body)
                    case ("disk", token, ops):
                        self.disk.queue.append((token, ops))
                        self.spin(self.disk)
                    case ("released",):
                        self.released = True
                    case ("log", what, kw):
                        self.c.logged(self.name, what, kw)

    def spin(self, d):
        if not d.busy:
            d.busy = True
            self.c.after(d.slow + timedelta(milliseconds=1 + 4 * self.c.rng.random()), self.synced, d, self.life)

    def synced(self, d, life):
        if self.gen is None or life != self.life or d is not self.disk:
            return
        if d.stall or self.frozen is not None:
            return self.c.after(milliseconds(50), self.synced, d, life)
        token, ops = d.queue.pop(0)
        if not d.full:
            d.apply(ops)
        d.busy = False
        if d.queue:
            self.spin(d)
        return self.feed(("disk", token, not d.full, None))


class Council:
    core_type, named = Core, ("a", "b", "c")  # named: those that form the first view

    def __init__(self, *, seed, size=5, tolerance=(2, 1, 1), opt=None, loss=0.0):
        self.rng, self.now, self.heap, self.num = random.Random(seed), ZERO, [], 0
        self.opt, self.tolerance, self.loss = opt or tuning(), tolerance, loss
        self.links, self.cuts, self.trace, self.bytes = {}, set(), [], {}
        self.cores = {n: self.core_type(council=self, name=n, zone=z, region=r) for n, z, r in SITES[size]}
        self.clients, self.faults, self.acks = {}, [], []
        self.may_change = True  # may the checks themselves change the table? not where every change is judged
        self.acked, self.bases, self.views, self.sources, self.reads = {}, {}, {}, {}, 0
        for x in self.cores.values():
            x.boot()

    # clock
    def after(self, t, fn, *a):
        self.num += 1
        heapq.heappush(self.heap, (self.now + t, self.num, fn, a))

    def run(self, secs, until=None):
        """-> seconds that it took, or None when `until` never came true."""
        begun, end = self.now, self.now + timedelta(seconds=secs)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, fn, a = heapq.heappop(self.heap)
            fn(*a)
            if until and until():
                return (self.now - begun) / SEC
        self.now = end
        return None if until else secs

    # network
    def place(self, n):
        x = self.cores.get(n)
        return (x.zone, x.region) if x else ("za", "x")

    def deliver(self, frm, to, body):
        if (frm.name, to) in self.cuts or self.rng.random() < self.loss:
            return None
        if to in self.clients:  # beside the core that it asks: what is said is heard at once
            return self.arrive(frm.name, to, None, body)
        (za, ra), (zb, rb) = self.place(frm.name), self.place(to)
        ms = (0.2 if za == zb else 1.4 if ra == rb else 55) * (1 + 0.2 * self.rng.random())
        way = (frm.name, frm.life, to, body[0] in ("snap", "repl", "items"))
        at = self.links[way] = max(self.now + timedelta(milliseconds=ms), self.links.get(way, ZERO))
        x = self.cores.get(to)
        return self.after(at - self.now, self.arrive, frm.name, to, x and x.life, body)

    def arrive(self, frm, to, life, body):
        if (frm, to) in self.cuts:
            return
        if to in self.clients:
            self.clients[to].told(frm, body)
        elif to in self.cores and self.cores[to].life == life:
            self.cores[to].feed(("msg", frm, body))

    def cut(self, a, b, both=True):
        self.cuts |= {(x, y) for x in a for y in b} | ({(y, x) for x in a for y in b} if both else set())

    def rolled(self):
        """What the roster would say, a second later (design 4.3)."""

        def tell():
            roll = tuple(
                (n, str(x.life), 1, 0, x.zone, x.region, "", "", True, x.daemon_state, (), ())
                for n, x in sorted(self.cores.items())
                if x.gen
            )
            for x in self.cores.values():
                x.feed(("roll", roll))

        self.after(SEC * (0.5 + self.rng.random()), tell)

    # what is known from outside
    def view(self):
        """The newest view that a core which is up holds."""
        return max((x.state.view for x in self.cores.values() if x.gen and x.state.view), key=lambda v: v[0], default=None)

    def primary(self):
        v = self.view()
        return v and v[1]

    def sound(self):
        """Is everything admitted, with as many members as wanted, and open?"""
        v = self.view()
        up = {n: x.disk.id for n, x in self.cores.items() if x.gen and x.frozen is None}
        return bool(
            v
            and up.keys() == self.cores.keys()
            and disks(v) == up
            and len(v[2]) == max(1, *self.tolerance)
            and self.cores[v[1]].state.open_epoch == v[0]
            and all(x.gen and x.state.view == v and x.state.writes.is_eligible for x in self.cores.values())
        )

    def bad(self, rule, *what):
        self.faults.append((round(self.now / SEC, 3), rule, *what))

    def logged(self, name, what, kw):
        self.trace.append((self.now, name, what, kw))
        if what == "view" and self.views.setdefault(kw[0][1], kw) != kw:
            self.bad("two-views", kw, self.views[kw[0][1]])

    def answered(self, client, frm, job, res):
        """The oracle: every answer of control, as its caller hears it."""
        match res:
            case ("ok", _, source):
                self.reads += 1
                n = int(source.split("/")[0]) if source else 0
                if n < job["floor"]:
                    self.bad("read-old", n, job["floor"])
                if n and source not in self.sources.get(n, ()):
                    self.bad("read-foreign", source)
            case ("ok", _):
                n, base = job["number"], job["base"]
                if self.acked.setdefault(n, job["change"]) != job["change"]:
                    self.bad("both-won", n, job["change"], self.acked[n])
                if self.bases.setdefault(base, job["change"]) != job["change"]:
                    self.bad("same-base", base, job["change"], self.bases[base])
                self.acks.append(self.now)

    def newest(self):
        return max(self.acked, default=0)


class Operator:
    """Changes the table again and again, each on the newest number it knows; asks until it is settled."""

    def __init__(self, council, name, gap=0.4, reads=0.3, at=""):
        self.c, self.name, self.gap, self.reads, self.at = council, name, gap, reads, at
        council.clients[name] = self
        self.n, self.known, self.job, self.open = 0, 0, None, True
        council.after(ZERO, self.next)

    def next(self):
        if self.job is None and self.open:
            c = self.c
            self.n += 1
            if c.rng.random() < self.reads:
                self.job = dict(op=("read",), change="", floor=c.newest())
            else:
                n = self.known + 1
                src = f"{n}/{self.name}.{self.n}"
                c.sources.setdefault(n, set()).add(src)
                self.job = dict(
                    op=("table", self.known, n, dict(BASE, number=n), src), number=n, base=self.known, change=f"{self.name}.{self.n}"
                )
            self.job.update(id=c.rng.getrandbits(40), born=c.now)
            self.push(self.job["id"])

    def push(self, i):
        """Sent to whoever is primary by what can be known; again each quarter of a second."""
        j, c = self.job, self.c
        if j is None or j["id"] != i:
            return
        to = self.at or c.primary()
        if to in c.cores and (self.name, to) not in c.cuts:
            x = c.cores[to]
            c.after(
                timedelta(milliseconds=1 + 50 * c.rng.random()), x.feed, ("msg", self.name, ("op", i, j["change"], j["op"], str(j["op"])))
            )
        c.after(SEC / 4, self.push, i)

    def told(self, frm, body):
        j = self.job
        if body[0] != "opr" or j is None or body[1] != j["id"] or body[2][0] in ("unknown", "elsewhere"):
            return
        res, self.job = body[2], None
        self.c.answered(self, frm, j, res)
        match res:
            case ("ok", _, source) if source:
                self.known = max(self.known, int(source.split("/")[0]))
            case ("ok", _):
                self.known = max(self.known, j["number"])
            case ("refuse", 501, said):
                self.known = int(said.rsplit(" ", 1)[1])
        self.c.after(SEC * self.gap * self.c.rng.random(), self.next)


class Lead:
    """No two cores answer in one epoch: looks at every core each time one answers."""

    def __init__(self, council):
        self.c, self.seen = council, {}
        was = council.deliver

        def deliver(frm, to, body):
            if body[0] == "opr" and body[2][0] == "ok":
                e = frm.state.view[0]
                if self.seen.setdefault(e, frm.name) != frm.name:
                    council.bad("two-primaries", e, frm.name, self.seen[e])
            was(frm, to, body)

        council.deliver = deliver


def settled(*, seed, secs=30, operators=2, **kw):
    """A council whose cores are all admitted, with operators at work."""
    c = Council(seed=seed, **kw)
    Lead(c)
    for i in range(operators):
        Operator(c, f"op{i}")
    if c.run(secs, until=c.sound) is None:
        c.bad("not-formed", c.view())
    return c


def closing(c, lost, *, back=(0.5, 3.0)):
    """The disks of `lost` are gone in the very instant of an acknowledgement; all others lose power."""
    n = len(c.acks)
    if c.run(10, until=lambda: len(c.acks) > n) is None:
        return c.bad("no-service-before")
    for name, x in c.cores.items():
        x.empty() if name in lost else x.power()
        c.after(SEC * c.rng.uniform(*back), x.boot)
    return None


def served(c, secs):
    """Seconds until a change that was begun from now on is acknowledged; a fault if it takes longer. So that one is begun, an
    operator does nothing else meanwhile: the others may happen to read, or to build on a number that is gone."""
    changer = None
    if c.may_change:
        changer = Operator(c, f"changer{c.num}", gap=0.05, reads=0.0)
        changer.known = c.newest()
    since, n = c.now, len(c.acks)

    def done():
        return len(c.acks) > n and c.acks[-1] > since

    t = c.run(secs, until=done)
    if t is None:
        c.bad(
            "not-back",
            c.view(),
            [(x.name, x.state.view, x.state.open_epoch, x.state.sealed, x.state.writes.is_eligible) for x in c.cores.values() if x.gen],
        )
    if changer:
        changer.open = False
    return t


def losses(c):
    """Every set of cores whose disks the tolerance lets go at once."""
    from itertools import combinations

    names = sorted(c.cores)
    for k in combinations(names, c.tolerance[0]):
        yield set(k)
    for i, top in ((0, c.tolerance[1]), (1, c.tolerance[2])):
        spots = sorted({c.place(n)[i] for n in names})
        for k in combinations(spots, top):
            yield {n for n in names if c.place(n)[i] in k}
