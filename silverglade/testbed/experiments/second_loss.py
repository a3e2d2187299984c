"""A second loss right after a repair or a replacement (design 5.9, 10.6): the cores alone, on slow processors and links.

Steps lose, empty, replace or cut off one core each. `catch_up` seconds after a core is back, or its successor
has started, it counts as whole again, and the next loss that the tolerance names may come.
"""

import random
from datetime import timedelta

import ormsgpack

from ...control.register import disks, majority, members
from ..faults.control_faults import read_back
from ..simulator import control_cluster as council
from ..simulator.control_cluster import SEC, Core, Council, closing, losses, served

GRACE = 8.0  # seconds from SIGTERM to SIGKILL
COPIES = ("snap", "repl", "items")
PACKED_PER_SECOND, WRITTEN_PER_SECOND = 40e6, 120e6  # bytes that a core packs or unpacks, and that its disk takes
PRESSED = 0.125  # of a configuration is left when it travels (design 3.1)


def is_copy(event):
    """Does this event bring the store, or a part of it?"""
    return event[0] == "msg" and event[2][0] in COPIES


class Machine(Core):
    """A core whose processor is at times held up, so that what reaches it waits in a queue."""

    def __init__(self, **kw):
        super().__init__(**kw)
        self.queue, self.working = [], False

    def boot(self):
        self.queue, self.working = [], False
        super().boot()

    def feed(self, ev):
        if not self.c.stalls and not self.c.padding or self.gen is None:
            return super().feed(ev)
        if ev == ("pulse",) and ev in self.queue:
            return None
        self.queue.append(ev)
        return self.work()

    def work(self):
        if not self.working and self.queue:
            self.working = True
            rng = self.c.rng
            takes = rng.uniform(0.05, 0.3) if rng.random() < self.c.stalls else 0.0005
            if self.c.padding and is_copy(self.queue[0]):
                takes += self.c.padding / PACKED_PER_SECOND
            self.c.after(SEC * takes, self.worked, self.life)

    def worked(self, life):
        if life == self.life and self.queue:
            self.working = False
            super().feed(self.queue.pop(0))
            self.work()


class Cluster(Council):
    """stalls: share of the events that hold up a processor by 50 to 300 ms; megabits: of each core's link; padding: bytes of
    the configuration and its text, beside the few that are really sent here."""

    core_type = Machine

    def __init__(self, *, size=5, stalls=0.0, megabits=0.0, padding=0, sync_ms=0, **kw):
        self.stalls, self.megabits, self.padding, self.busy, self.sync = stalls, megabits, padding, {}, sync_ms
        self.named = tuple(n for n, _, _ in council.SITES[size])
        self.sync += 1000 * padding / WRITTEN_PER_SECOND
        super().__init__(size=size, **kw)
        self.whole_in, self.back = [], self.now

    def deliver(self, frm, to, body):
        if not self.megabits or to in self.clients:
            return super().deliver(frm, to, body)
        size = len(ormsgpack.packb(body)) + self.padding * PRESSED if body[0] in COPIES else 100
        lane = frm.name, body[0] in COPIES  # what is small does not wait for what is large
        free = max(self.now, self.busy.get(lane, self.now))
        self.busy[lane] = free + SEC * (size * 8 / (self.megabits * 1e6))
        return self.after(self.busy[lane] - self.now, super().deliver, frm, to, body)

    def holds(self, x):
        """Is the newest acknowledged configuration on this core's disk?"""
        _, cfg = x.disk.data.get("book", {}).get("config", (None, None))
        return (cfg["number"] if cfg else 0) >= self.newest()

    def up(self):
        return {n: x for n, x in self.cores.items() if x.gen and x.frozen is None}

    def lacks(self):
        """What is missing so that any loss of the tolerance would be borne; None if nothing is."""
        v = self.view()
        if v is None:
            return "no view"
        good = {n for n, d in v[3] if n in self.up() and self.cores[n].disk.id == d}
        if sum(self.holds(self.cores[n]) for n in good & set(members(v))) < 1:
            return "no member that holds all"
        for lost in losses(self):
            if len(good - lost) < majority(len(v[3])):
                return f"no majority without {sorted(lost)} of {sorted(disks(v))}, good {sorted(good)}"
            if not [n for n in set(members(v)) & good - lost if self.holds(self.cores[n])]:
                return f"no member without {sorted(lost)} of {members(v)}, good {sorted(good)}"
        return None

    def add(self, old):
        """An empty core at another address, in the zone of `old`."""
        x = self.core_type(council=self, name=f"{old.name}'", zone=old.zone, region=old.region, late=True)
        x.disk.slow = old.disk.slow
        self.cores[x.name] = x
        x.boot()
        return x

    def leave(self, x):
        """SIGTERM: the process ends when it is released, or when its grace runs out."""
        x.daemon_state, life, end = "leaving", x.life, self.now + SEC * GRACE
        x.feed(("state", "leaving"))
        self.rolled()

        def look():
            if x.gen and x.life == life:
                if not x.released and self.now < end:
                    return self.after(SEC / 10, look)
                view = self.view()
                if x.released and view and x.name in members(view) and disks(view)[x.name] == x.disk.id:
                    self.bad("left-its-view", x.name, view)
                for _, operations in x.disk.queue:
                    x.disk.apply(operations)
                x.disk.queue.clear()
                x.power()
            return None

        look()

    def repaired(self, catch_up):
        """Waits for the time that a repair may take; then any loss must be borne."""
        begun = self.now
        took = self.run(catch_up, until=lambda: self.lacks() is None)
        self.whole_in.append(took)
        self.run(catch_up - (self.now - begun) / SEC)
        lacks = self.lacks()
        if lacks:
            self.bad("not-whole", lacks, self.view())


def some(c):
    """The primary, a backup or a witness, with equal chance; by name."""
    v = c.view()
    ready = [n for n, x in c.cores.items() if x.gen and x.daemon_state == "ready" and x.frozen is None]
    kinds = [[n for n in ready if n == v[1]], [n for n in ready if n in v[2]], [n for n in ready if n not in members(v)]]
    return c.cores[c.rng.choice(c.rng.choice([k for k in kinds if k]))]


def lose(c):
    x = some(c)
    x.power()
    c.run(c.rng.uniform(0.7, 3))
    x.boot()


def wipe(c):
    """Right after an acknowledgement: the disk is gone, and it comes back empty."""
    n = len(c.acks)
    c.run(3, until=lambda: len(c.acks) > n)
    x = some(c)
    slow = x.disk.slow
    x.empty()
    x.disk.slow = slow
    c.run(c.rng.uniform(0.7, 2))
    x.boot()


def replace(c):
    x = some(c)
    x.power()
    c.run(c.rng.uniform(0.5, 2))
    del c.cores[x.name]
    c.add(x)


def replace_planned(c):
    """The successor comes first; the old one ends when the successor has had its time."""
    x = some(c)
    c.add(x)
    c.run(c.catch_up)
    c.leave(x)
    c.run(GRACE + 1, until=lambda: x.gen is None)
    del c.cores[x.name]
    c.successor_ready = True


def leave(c):
    x = some(c)
    c.leave(x)
    c.run(GRACE + 1, until=lambda: x.gen is None)
    c.run(c.rng.uniform(0.5, 2))
    x.boot()


def cut(c):
    x = some(c)
    others = [n for n in c.cores if n != x.name]
    ways = c.rng.choice(((x.name,), others)), c.rng.random() < 0.5
    c.cut(*((ways[0], others) if ways[0] == (x.name,) else (others, (x.name,))), both=ways[1])
    c.run(c.rng.uniform(1, 6))
    c.cuts.clear()


def fill(c):
    """Its disk takes no write for a while, or none ever ends."""
    x = some(c)
    x.disk.full, x.disk.stall = c.rng.choice(((True, False), (False, True)))
    c.run(c.rng.uniform(2, 6))
    x.disk.full = x.disk.stall = False


def two_leave(c):
    """Two at once: where nobody can take their places they stay as long as they may, and come back with their disks."""
    xs = [some(c)]
    while len(xs) < 2:
        xs += [x for x in [some(c)] if x not in xs]
    for x in xs:
        c.leave(x)
    c.run(GRACE + 1, until=lambda: not any(x.gen for x in xs))
    c.run(c.rng.uniform(0.5, 2))
    for x in xs:
        x.boot()


STEPS = (lose, wipe, replace, replace_planned, leave, cut, fill)


def formed(*, seed, size=5, tolerance=(2, 1, 1), catch_up=6.0, operators=2, gap=0.4, **kw):
    c = Cluster(seed=seed, size=size, tolerance=tolerance, **kw)
    c.catch_up = catch_up
    for x in c.cores.values():
        x.disk.slow = timedelta(milliseconds=c.sync)
    council.Lead(c)
    for i in range(operators):
        council.Operator(c, f"op{i}", gap=gap)
    if c.run(30, until=lambda: c.lacks() is None and c.acks) is None:
        c.bad("not-formed", c.view(), c.lacks())
    return c


def play(steps, *, seed, catch_up=6.0, at_once=False, **kw):
    """The steps one after another, each when the one before is repaired; then the closing fault. -> (cluster, seconds)

    at_once: the second loss comes before the first is repaired, which a tolerance of two machines bears.
    """
    c = formed(seed=seed, catch_up=catch_up, **kw)
    c.run(c.rng.uniform(0, 2))
    for step in steps:
        c.successor_ready = False
        step(c)
        if c.successor_ready and c.lacks():  # what is replaced as planned leaves no gap at all
            c.bad("gap", c.lacks(), c.view())
        if not at_once or step is steps[-1]:
            c.repaired(catch_up)
    ways = list(losses(c))
    closing(c, c.rng.choice(ways))
    t = served(c, 12)
    read_back(c)
    return c, t


REPLACEMENTS = (replace, wipe, replace_planned, wipe)
"""The day that left six witnesses, one of them gone for good, two emptied."""


def replace_beside_a_full_disk(*, seed, **kw):
    """One disk is full and stays so, another core is replaced; then the tolerance of two names one more."""
    c = formed(seed=seed, **kw)
    full = some(c)
    full.disk.full = True
    c.run(c.rng.uniform(2, 6))
    replace(c)
    c.run(c.catch_up)
    left = [n for n, x in c.cores.items() if x is not full]
    c.cores[c.rng.choice(left)].power()
    return c, served(c, 8)


def mixed(*, seed, size=5, tolerance=(2, 1, 1)):
    """Steps drawn by the seed, on slow processors, links and disks; every third seed the day of replacements."""
    rng = random.Random(seed)
    steps = REPLACEMENTS if seed % 3 == 0 else rng.choices((*STEPS, two_leave), k=3)
    slow = dict(stalls=rng.choice((0, 0.01, 0.02)), megabits=rng.choice((0, 86)), sync_ms=rng.choice((2, 60)))
    return play(steps, seed=seed, size=size, tolerance=tolerance, catch_up=4.0 if max(tolerance) == 1 else 6.0, **slow)
