"""Days of changes, losses and restarts (design 5.7): what a machine that has just started again holds for in force.

Each day is judged by `ProofOracle`. Daemons have clocks of their own, which stand elsewhere in each life.
"""

from datetime import timedelta
from functools import partial
from typing import NamedTuple

from ...runtime.settings import tuning
from ..checkers.proof_oracle import ProofOracle
from ..sites import TOWNS
from .scenario import SEC, Scene

APPLY_S, CONTACT_S = 3.0, 4.0
BOUNDS = dict(trust=True, alone=86400.0, aged=0.6 * APPLY_S, hedge_after=0.7 * APPLY_S, certain=0.9 * APPLY_S)
"""The tuning of a platform with `apply_ms` 3000."""
HOUR_S = 3600
SETTLED_S = 6
BRIEF_S = (0.2, 2.0)
LONG_S = (2.0, 9.0)
EMPTY_AGAIN_S = 25  # between two lost disks


def routed(town):
    """A town whose configuration has routes, so that routers hold it."""
    services = {"roster": {}}
    route = dict(host="rota.example", kind="pure", due_ms=4000, shares=[dict(service="roster", weight=1.0)])
    routes = [dict(route, name=f"r{i}", prefix=f"/{i}/") for i in range(3)]
    town["config"].update(services=services, routes=routes, limits={})
    return town


class Size(NamedTuple):
    """Edges in each zone with a core; zones without a core, and edges in each of these."""

    edges: int = 2
    far_zones: int = 0
    far_edges: int = 0


AS_IN_THE_RECORD = Size()
RELAYED = Size(far_zones=1, far_edges=8)
GROWN = Size(edges=10, far_zones=3, far_edges=10)


def of_size(size):
    """Banyan-rota with routes, of another size."""
    town = routed(TOWNS["banyan"]())
    zones = town["config"]["zones"]
    near = [(zone, facts["region"]) for zone, facts in zones.items()]
    town["daemons"] += [(f"edge-{zone}-{i}", zone, region, False) for zone, region in near for i in range(2, size.edges)]
    for zone, region in near[: size.far_zones]:
        zones[f"{zone}-far"] = dict(zones[zone])
        town["daemons"] += [(f"edge-{zone}-far-{i}", f"{zone}-far", region, False) for i in range(size.far_edges)]
    return town


class StaleConnections:
    """Connections to machines that lost power: what is sent on one first after the machine has started again is lost.

    No machine without power ends its connections; its next process answers the first segment with a reset.
    """

    def __init__(self, world):
        self.world, self.deliver = world, world.deliver
        self.lost_lives = set()  # processes whose machine lost power
        self.reached = {}  # (sender's process, receiver) -> the receiver's process that the connection led to
        world.deliver = self.send

    def send(self, sender, to, body):
        """Deliver a message, unless it is the first on a stale connection."""
        node = self.world.by_addr.get(to[1:]) if to.startswith("@") else self.world.nodes.get(to)
        if node is None:
            return
        way = (sender.life, node.name)
        before, self.reached[way] = self.reached.get(way, node.life), node.life
        if before == node.life or before not in self.lost_lives:
            self.deliver(sender, to, body)


class Day:
    """A settled scene under a proof oracle, with operators that change the configuration all along."""

    def __init__(self, *, seed, size=AS_IN_THE_RECORD, loss=0.0):
        name = f"restart-day-{size}"
        TOWNS[name] = partial(of_size, size)
        self.s = Scene(town=name, seed=seed, opt=tuning(**BOUNDS))
        self.w, self.rng, self.emptied_at = self.s.w, self.s.w.rng, -EMPTY_AGAIN_S * SEC
        for node in self.w.nodes.values():
            self.own_clock(node)
        self.stale = StaleConnections(self.w)
        self.o = ProofOracle(world=self.w, contact=SEC * CONTACT_S, apply=SEC * APPLY_S)
        self.s.settle(SETTLED_S)
        self.w.loss = loss

    def own_clock(self, node):
        """Let the node's clock stand elsewhere in each life from its next one on."""
        boot = node.boot

        def booted():
            node.skew = timedelta(seconds=self.rng.uniform(0, HOUR_S))
            boot()

        node.boot = booted

    def after(self, seconds, do, *arguments):
        """Do something so many seconds from now."""
        self.w.after(timedelta(seconds=seconds), do, *arguments)

    # operators
    def change(self, *, gap):
        """Change the configuration again and again; now and then two operators race on one base."""
        up = self.s.live()
        if up:
            base = None
            if self.rng.random() < 0.3:
                holder = self.w.nodes[self.rng.choice(up)].store.get("config")
                base = holder and holder[0]
            for _ in range(2 if base else 1):
                self.s.put(base=base, at=self.rng.choice(up))
            if self.rng.random() < 0.1:
                self.s.empty(self.rng.choice(sorted(self.w.region)), self.rng.random() < 0.5)
        self.after(gap() if callable(gap) else gap, lambda: self.change(gap=gap))

    # troubles
    def kill(self, name, seconds):
        """The process ends, and starts again after so many seconds."""
        node = self.w.nodes[name]
        if node.hub is not None:
            self.o.trouble(*self.of(node))
            node.kill()
            self.after(seconds, self.start, name)

    def start(self, name):
        """Start a daemon unless it runs."""
        node = self.w.nodes[name]
        if node.hub is None:
            node.boot()
            self.o.trouble(*self.of(node))

    def of(self, node):
        """Trouble of a core unsettles all; trouble of another daemon is its own."""
        return () if node.core else (node.name,)

    def freeze(self, name, seconds):
        """Pause a process for so long."""
        node = self.w.nodes[name]
        if node.hub is not None and node.frozen is None:
            self.o.trouble(*self.of(node))
            node.freeze(True)
            self.after(seconds, self.thaw, node, node.life)

    def thaw(self, node, life):
        """Let a paused process go on, unless it has ended meanwhile."""
        if node.hub is not None and node.frozen is not None and node.life == life:
            self.o.trouble(*self.of(node))
            node.freeze(False)

    def cut(self, inside, seconds, *, both=True):
        """Cut these daemons off from all others, or only what they send."""
        self.o.trouble()
        self.w.cut(inside, [name for name in self.w.nodes if name not in inside], both=both)
        self.after(seconds, self.heal)

    def heal(self):
        """End all cuts."""
        self.o.trouble()
        self.w.heal()

    def empty_disk(self, name, seconds):
        """A core loses its disk, and starts again after so many seconds; never two within a while."""
        if self.w.now - self.emptied_at > EMPTY_AGAIN_S * SEC and all(self.w.nodes[core].hub for core in self.w.cores):
            self.emptied_at = self.w.now
            self.o.trouble()
            self.w.empty_disk(name)
            self.after(seconds, self.start, name)

    def lose(self, zones, seconds):
        """These zones lose power; each machine starts again within a second after so long."""
        for node in self.w.nodes.values():
            if node.zone in zones:
                self.stale.lost_lives.add(node.life)
                self.kill(node.name, seconds + self.rng.choice((0, self.rng.random())))


def as_in_the_record(seed, **options):
    """The users' day: a region without power for six seconds, edges elsewhere started again beside its return, changes all along."""
    day = Day(seed=seed, loss=(0.0, 0.0, 0.002)[seed % 3], **options)
    rng, w = day.rng, day.w
    zones = sorted(w.region)
    region = rng.choice(sorted(set(w.region.values())))
    lost = [zone for zone in zones if w.region[zone] == region]
    elsewhere = [node.name for node in w.nodes.values() if not node.core and node.zone not in lost]
    day.change(gap=0.9)
    w.run(rng.uniform(3, 5))
    day.lose(lost, rng.uniform(5, 7))
    for name in rng.sample(elsewhere, max(2, len(elsewhere) // 8)):
        day.after(rng.uniform(1, 4), day.kill, name, rng.uniform(0.5, 2.5))
    w.run(6)
    day.change(gap=lambda: rng.choice((0.05, 0.5, 1.4)))
    w.run(16)
    return day


def started_while_a_core_is_away(seed):
    """An edge is started, far from trouble of its own, while the core of another region has no power."""
    day = Day(seed=seed)
    rng, w = day.rng, day.w
    lost, zone = rng.sample(sorted(w.region), 2)
    edge = rng.choice([node.name for node in w.nodes.values() if node.zone == zone and not node.core])
    day.change(gap=0.9)
    day.lose([lost], 60)
    w.run(rng.uniform(4, 6))
    day.kill(edge, 1)
    w.run(6)
    return day, edge


def stormy(seed, *, seconds=40, **options):
    """Any trouble upon any other, changes all along."""
    day = Day(seed=seed, loss=(0.0, 0.01, 0.05)[seed % 3], **options)
    rng, w = day.rng, day.w
    names, zones = sorted(w.nodes), sorted(w.region)

    def trouble():
        name = rng.choice((rng.choice(w.cores), rng.choice(names)))
        zone, length = rng.choice(zones), rng.uniform(*rng.choice((BRIEF_S, LONG_S)))
        inside = [node.name for node in w.nodes.values() if node.zone == zone]
        rng.choice(
            (
                lambda: day.kill(name, length),
                lambda: day.kill(name, BRIEF_S[0]),
                lambda: day.lose([zone], length),
                lambda: day.freeze(name, length),
                lambda: day.cut([name], length, both=rng.random() < 0.5),
                lambda: day.cut(inside, length, both=rng.random() < 0.7),
                lambda: day.empty_disk(rng.choice(w.cores), length),
            )
        )()
        day.after(rng.choice((0.3, 1.5, 5.0)), trouble)

    day.change(gap=lambda: rng.choice((0.05, 0.4, 0.9)))
    trouble()
    w.run(seconds)
    return day
