"""`storm`: every failure of the brief on real processes, seeded, judged as the minute is (design 10.4)."""

import random
import resource
import shutil
import signal
import time

import anyio

from .long_partitions import LongCuts
from .short_run import BACK, Minute


class Storm(Minute):
    def __init__(self, *, long_cuts_only=False, **kw):
        super().__init__(**kw)
        self.long_cuts_only, self.seed = long_cuts_only, kw["seed"]
        self.rng, self.done, self.n = random.Random(kw["seed"]), [], 0

    def some(self, core=None):
        """A daemon that runs."""
        return self.rng.choice([n for n in self.f.up() if core is None or self.f.daemons[n]["core"] == core])

    def note(self, *what):
        self.done.append((round(time.monotonic() - self.t0, 1), *what))

    def begin(self, name):
        d = self.f.daemons.get(name)
        self.f.start_daemon(name) if d else self.f.start_replica(name)

    # failures; each ends with its place back
    async def kill(self):
        n = self.some()
        self.note("kill", n)
        self.f.kill(n)
        await anyio.sleep(self.rng.uniform(0.5, 4))
        self.begin(n)

    async def kill_primary(self):
        n = (await self.f.ask(self.some(), "GET", "/v1/status"))[1].get("view", [0, ""])[1]
        if n in self.f.up():
            self.note("kill-primary", n)
            self.f.kill(n)
            await anyio.sleep(self.rng.uniform(1, 5))
            self.begin(n)

    async def freeze(self):
        ns = self.rng.sample(self.f.up(), self.rng.choice([1, 1, 3]))
        self.note("freeze", *ns)
        for n in ns:
            self.f.kill(n, signal.SIGSTOP)
        await anyio.sleep(self.rng.choice([0.5, 2, 5]))
        for n in ns:
            self.f.kill(n, signal.SIGCONT)

    async def cut(self):
        rs = sorted(set(self.f.relay.region.values()))
        r = self.rng.choice(rs)
        self.note("cut", r)
        self.f.relay.cut_regions = {p for x in rs if x != r for p in ((x, r), (r, x))}
        await anyio.sleep(self.rng.uniform(2, 6))
        self.f.relay.cut_regions = set()

    async def slow_links(self):
        self.note("slow-links")
        self.f.relay.delay_ms, was = self.f.relay.delay_ms * 5, self.f.relay.delay_ms
        await anyio.sleep(self.rng.uniform(2, 5))
        self.f.relay.delay_ms = was

    async def lose_disk(self):
        n = self.some(core=True)
        self.note("lose-disk", n)
        self.f.kill(n)
        shutil.rmtree(self.f.data(n))
        await anyio.sleep(self.rng.uniform(0.5, 3))
        self.begin(n)

    async def full_disk(self):
        """The kernel lets this daemon's files grow no more."""
        n = self.some(core=True)
        self.note("full-disk", n)
        pid = self.f.procs[n].pid
        soft, hard = resource.prlimit(pid, resource.RLIMIT_FSIZE)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, hard))
        await anyio.sleep(self.rng.uniform(2, 5))
        if self.f.procs[n].poll() is None:
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (soft, hard))

    async def slow_disk(self):
        n = self.some(core=True)
        self.note("slow-disk", n)
        self.f.retune(n, drill_disk=0.4)
        await anyio.sleep(self.rng.uniform(2, 5))
        self.f.retune(n, drill_disk=0.0)

    async def lose_region(self):
        z, empty = self.rng.choice(sorted(self.f.t["config"]["zones"])), self.rng.random() < 0.5
        self.note("lose-region", z, "empty" if empty else "")
        names = [n for n, d in {**self.f.daemons, **self.f.reps}.items() if d["zone"] == z]
        for n in names:
            self.f.kill(n)
            if empty and n in self.f.cores:
                shutil.rmtree(self.f.data(n))
        await anyio.sleep(self.rng.uniform(1, 5))
        for n in names:
            self.begin(n)

    async def blackout(self):
        self.note("blackout")
        names = [*self.f.daemons, *self.f.reps]
        for n in names:
            self.f.kill(n)
        await anyio.sleep(self.rng.uniform(0.5, 2))
        for n in names:
            self.begin(n)
        took = await self.f.until(self.served, BACK + 8)
        self.times["served after the blackout (starting the processes included)"] = took
        self.rule(took is not None, "not back after the blackout")

    async def replica(self):
        r = self.rng.choice(sorted(self.f.reps))
        self.note("replica", r)
        self.f.kill(r)
        await anyio.sleep(self.rng.uniform(0.5, 3))
        self.begin(r)

    async def marked(self):
        r = self.rng.choice(sorted(self.f.reps))
        self.note("marked-leaving", r)
        await self.leaving(r)

    async def emptied(self):
        z = self.rng.choice(sorted(self.f.t["config"]["zones"]))
        self.note("emptied", z)
        await self.zone(z)

    async def changed(self):
        self.n += 1
        self.note("changed")
        await self.change(f"change {self.n}", self.n)

    async def crowd(self):
        t = self.rng.choice(sorted(self.f.t["config"]["tenants"]))
        self.note("crowd", t)
        async with anyio.create_task_group() as tg:
            for _ in range(150):
                for c in list(self.f.t["config"]["tenants"][t]["classes"])[:1]:
                    tg.start_soon(lambda c=c: self.v.order(tenant=t, cls=c))
                await anyio.sleep(0.005)

    async def events(self):
        self.t0 = time.monotonic()
        if not self.long_cuts_only:
            await self.short_events()
        await LongCuts(self, seed=self.seed).run()
        await self.changed()
        for row in self.done:
            print("  at", *row)

    async def short_events(self):
        """One place after another, a second's peace between, with replicas, operators and crowds beside."""
        places = [
            self.kill,
            self.kill_primary,
            self.freeze,
            self.cut,
            self.slow_links,
            self.lose_disk,
            self.full_disk,
            self.slow_disk,
            self.lose_region,
        ]
        beside = [self.replica, self.marked, self.emptied, self.changed, self.crowd]
        self.rng.shuffle(places)
        half = False
        while places:
            one = places.pop()
            await one()
            await anyio.sleep(6)  # until this place is whole again (one at a time)
            if not half and len(places) < 5:
                half = True
                await self.blackout()
            await self.rng.choice(beside)()
        await self.changed()


def storm(*, town, seed, folder, long_cuts_only=False):
    m = Storm(town=town, secs=0, seed=seed, folder=folder, long_cuts_only=long_cuts_only)
    print(f"logs and data: {folder}")
    anyio.run(m.run)
    for b in m.bad[:20]:
        print("BROKEN", *b)
    return 1 if m.bad else 0
