"""A simulated fleet whose cores hold duties, with a stand-in platform and an oracle of who called it with what (design 18).

The daemons are the real ones (`DaemonMachine`) on the simulator's clock, network and disks; only the sockets of calls are played here.
"""

import random
from collections import Counter
from datetime import timedelta
from typing import Any, NamedTuple

from silverglade.configuration.schema import key_digest
from silverglade.duties.lease_times import LeaseTimes
from silverglade.runtime.effects import milliseconds
from silverglade.runtime.events import TenantRequestStarted
from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.daemons import World
from silverglade.testbed.sites import TOWNS

SECOND = timedelta(seconds=1)
WALL_START = timedelta(days=20000, seconds=3)
WAY = milliseconds(40)
THAW = milliseconds(300)
WINDOW, LATE = 5 * SECOND, 10 * SECOND
TENANTS = ("t1", "t2", "t3")


class Arrival(NamedTuple):
    """A call as the platform got it.

    :ivar excused: its sender was just thawed, or the way to the platform just healed, or the platform was in trouble.
    """

    at: timedelta
    duty: str
    holder: str
    token: int
    body: Any
    accepted: bool
    excused: bool


class Call:
    """A call on its way: bytes that a cut holds up arrive when it heals, unless the sender has reset the connection."""

    def __init__(self, *, node, life, fields, started):
        self.node, self.life, self.fields, self.started = node, life, fields, started
        self.is_over = self.is_written = self.is_held = self.was_frozen = False


class DutyWorld(World):
    """A world that carries out the effects of duties.

    :ivar mode: of the platform: "ok", "slow", "down", "busy" (429), "error" (500) or "reset".
    :ivar away: daemons whose way to the platform is cut.
    :ivar unheard: daemons that get an error where the platform has taken their call.
    :ivar on_call: called once, with the next call of each stage: "asked", "written" or "taken".
    """

    def __init__(self, *, seed, fenced=False, town="navrang"):
        site = TOWNS[town]()
        self.arrivals, self.fenced, self.highest, self.mode, self.away = [], fenced, Counter(), "ok", set()
        self.leases, self.truth, self.thawed_at, self.healed_at = {}, {}, {}, {}
        self.unheard, self.on_call = set(), {}
        self.trouble_at, self.call_count, self.skews, self.counted = -SECOND, 0, {}, Counter()
        self.times = LeaseTimes.of(3 * SECOND)
        super().__init__(
            seed=seed,
            daemons=site["daemons"],
            config={**site["config"], "callers": {tenant: {"keys": [key_digest(tenant)]} for tenant in TENANTS}},
            delay_ms=site["delay"],
            replicas=(),
            fronts=True,
            opt=tuning(duties=["usage"], duty_lease=3.0, duty_rate=10.0, usage_window=5, usage_late=10),
            tolerance=site.get("tolerance", (1, 1, 1)),
        )
        self.faults = random.Random(f"duties/{seed}")
        self.after(4 * SECOND, self.configure)
        self.after(16 * SECOND, self.request)

    # operators and clients

    def configure(self):
        up = [n.name for n in self.nodes.values() if n.hub and n.frozen is None]
        self.call(up[0], "config-put", ((0, 0), "first", self.config), self.configured)

    def configured(self, code, _):
        if code in (503, 504, 705):
            self.after(SECOND / 2, self.configure)

    def request(self):
        """A request begins to run somewhere."""
        edges = [n for n in self.nodes.values() if not n.core and n.hub and n.frozen is None]
        if edges:
            n, tenant = self.faults.choice(edges), self.faults.choices(TENANTS, (8, 3, 1))[0]
            n.hub.queue.append(("usage_counter", TenantRequestStarted(tenant)))
            n.feed(("call-gone", "nobody"))
            self.truth.setdefault((WALL_START + self.now) // WINDOW, Counter())[tenant] += 1
        self.after(milliseconds(50), self.request)

    # effects

    def effect(self, n, e):
        match e:
            case ("wall",):
                self.after(timedelta(0), self.tell_time, n, n.life)
            case ("lease", duty, token, until):
                self.leases[n.name, n.life, duty] = (token, until)
            case ("call-platform", *fields):
                self.call_count += 1
                call = Call(node=n, life=n.life, fields=fields, started=self.now)
                self.stage("asked", call)
                self.after(2 * WAY, self.connected, call)
                self.after(self.times.call_timeout, self.time_out, call)
            case _:
                super().effect(n, e)

    def stage(self, name, call):
        """A call has come so far: whatever waits for that happens now."""
        then = self.on_call.pop(name, None)
        if then:
            self.after(timedelta(0), then, call.node.name)

    def tell_time(self, n, life):
        if n.life == life and n.hub:
            n.feed(("wall", WALL_START + self.now + self.skews.get(n.name, timedelta(0))))

    def may_write(self, n, duty, token):
        held, until = self.leases.get((n.name, n.life, duty), (None, None))
        return held == token and until is not None and self.now + n.skew < until

    def is_dead(self, call):
        return call.node.hub is None or call.node.life != call.life

    def connected(self, call):
        """The connection is there: look at the lease, and write. A frozen sender goes on when it thaws."""
        n, (_, duty, token, _, _) = call.node, call.fields
        if call.is_over or self.is_dead(call):
            return None
        if n.frozen is not None or n.name in self.away:
            return self.after(milliseconds(10), self.connected, call)
        if not self.may_write(n, duty, token):
            return self.end(call, None)
        call.is_written = True
        self.travel(call)
        return self.stage("written", call)

    def travel(self, call):
        if self.is_dead(call) and call.is_held or call.is_over:
            return
        if call.node.name in self.away:
            call.is_held = True
            self.after(milliseconds(10), self.travel, call)
        else:
            self.after(WAY, self.arrive_call, call)

    def arrive_call(self, call):
        if call.node.name in self.away:
            return self.travel(call)
        if self.mode in ("down", "reset"):
            return self.end(call, None) if self.mode == "reset" else None
        status = {"busy": 429, "error": 500}.get(self.mode) or self.take(call)
        self.stage("taken", call)
        if call.node.name in self.unheard:
            status = 500
        back = WAY + (2 * SECOND if self.mode == "slow" else timedelta(0))
        return self.after(back, self.end, call, status)

    def take(self, call):
        """The platform reads a call; returns the status."""
        _, duty, token, _, body = call.fields
        name = call.node.name
        lately = max(self.thawed_at.get(name, -SECOND), self.healed_at.get(name, -SECOND))
        excused = self.now - lately <= THAW + WAY or call.is_held or self.now - self.trouble_at < SECOND or self.mode != "ok"
        accepted = not (self.fenced and token < self.highest[duty])
        self.arrivals.append(Arrival(self.now, duty, name, token, body, accepted, excused))
        self.highest[duty] = max(self.highest[duty], token)
        return 200 if accepted else 409

    def time_out(self, call):
        if call.node.frozen is not None and not self.is_dead(call):
            call.was_frozen = True
            return self.after(milliseconds(10), self.time_out, call)
        if call.was_frozen:  # the worse order: what was ready to be written goes first
            call.was_frozen = False
            return self.after(milliseconds(30), self.time_out, call)
        return self.end(call, None)

    def end(self, call, status):
        if call.is_over or self.is_dead(call):
            return None
        if call.node.frozen is not None and status is not None:
            return self.after(milliseconds(10), self.end, call, status)
        call.is_over = True
        return call.node.feed(("platform-called", call.fields[0], status, b""))

    # troubles

    def holder(self):
        """The newest holder that any daemon knows of."""
        rows = [n.store.get("duty/platform/usage") for n in self.nodes.values() if n.hub]
        return max((row for row in rows if row), default=((0, 0), (0, "", "")))[1][1]

    def freeze_for(self, name, seconds):
        n = self.nodes[name]
        if n.hub is None or n.frozen is not None:
            return
        n.freeze(True)

        def thaw(life=n.life):
            if n.hub and n.life == life:
                n.freeze(False)
                self.thawed_at[name] = self.now

        self.after(timedelta(seconds=seconds), thaw)

    def kill_for(self, name, seconds):
        n = self.nodes[name]
        if n.hub is not None:
            n.kill()
            self.after(timedelta(seconds=seconds), n.boot)

    def cut_for(self, name, seconds, *, platform=True, fleet=True):
        if self.cuts or self.away:
            return
        others = [n for n in self.nodes if n != name]
        if fleet:
            self.cut([name], others)
        if platform:
            self.away.add(name)

        def heal():
            self.cuts.clear()
            self.away.discard(name)
            self.healed_at[name] = self.now

        self.after(timedelta(seconds=seconds), heal)

    def platform_for(self, mode, seconds):
        self.mode = mode

        def well():
            self.mode, self.trouble_at = "ok", self.now

        self.after(timedelta(seconds=seconds), well)

    def trouble(self):
        """One trouble, mostly of the holder."""
        pick, name = self.faults, self.holder()
        if not name or pick.random() < 0.2:
            name = pick.choice(sorted(self.nodes))
        seconds = pick.choice((0.3, 0.8, 1.3, 2.0, 3.1, 4.5, 7.0))
        kind = pick.choice(("kill", "freeze", "cut", "cut-fleet", "cut-platform", "platform"))
        self.note("duty-trouble", kind, name, seconds)
        match kind:
            case "kill":
                self.kill_for(name, seconds)
            case "freeze":
                self.freeze_for(name, seconds)
            case "cut":
                self.cut_for(name, seconds)
            case "cut-fleet":
                self.cut_for(name, seconds, platform=False)
            case "cut-platform":
                self.cut_for(name, seconds, fleet=False)
            case "platform" if self.mode == "ok":
                self.platform_for(pick.choice(("slow", "down", "busy", "error", "reset")), seconds)

    def play(self, *, seconds=120, gap=(2, 9), until=None):
        """Run a day with troubles; the last 20 seconds are calm."""
        self.run(25)
        while self.now < timedelta(seconds=(until or seconds) - 20):
            self.run(self.faults.uniform(*gap))
            self.trouble()
        self.run(seconds - self.now / SECOND)


def breaches(world):
    """What the platform saw that breaks ONE, each as (rule, arrivals)."""
    lower = () if world.fenced else falling_tokens(world.arrivals)
    return [*two_contents(world.arrivals), *shared_tokens(world.arrivals), *turns(world), *lower]


def two_contents(arrivals):
    """Two reports of one window with different counts, both accepted."""
    first = {}
    for arrival in arrivals:
        if arrival.duty == "usage" and arrival.accepted:
            held = first.setdefault(arrival.body["window"], arrival)
            if held.body["counts"] != arrival.body["counts"]:
                yield "two contents", held, arrival


def shared_tokens(arrivals):
    """One fence of two holders."""
    first = {}
    for arrival in arrivals:
        held = first.setdefault((arrival.duty, arrival.token), arrival)
        if held.holder != arrival.holder:
            yield "shared fence", held, arrival


def falling_tokens(arrivals, *, strict=False):
    """A lower fence after a higher one.

    :param strict: also where the rule excuses it.
    """
    highest = None
    for arrival in arrivals:
        if highest is not None and arrival.token < highest.token and (strict or not arrival.excused):
            yield "lower fence", highest, arrival
        if highest is None or arrival.token > highest.token:
            highest = arrival


def turns(world):
    """Holders that act as A, B, A within the lease; refused calls do not count."""
    acts = [arrival for arrival in world.arrivals if arrival.accepted and not arrival.excused]
    for index, last in enumerate(acts):
        before = [act for act in acts[:index] if last.at - act.at < 3 * SECOND]
        for number, first in enumerate(before):
            if first.holder == last.holder and any(act.holder != last.holder for act in before[number:]):
                yield "in turn", first, last


def reported(world):
    """Window to (counts, how long after its end) of the first accepted report."""
    found = {}
    for arrival in world.arrivals:
        if arrival.accepted:
            end = (arrival.body["window"] + 1) * WINDOW - WALL_START
            found.setdefault(arrival.body["window"], (arrival.body["counts"], arrival.at - end))
    return found
