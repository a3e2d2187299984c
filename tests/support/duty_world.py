"""A simulated fleet whose cores hold duties, with a simulated platform and an oracle that checks the calls it receives (design 18).

The daemons are real ones (`DaemonMachine`) on the simulator's clock, network and disks. Only the sockets of platform calls are
simulated here.
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
NETWORK_DELAY = milliseconds(40)
THAW_GRACE = milliseconds(300)
WINDOW, LATE = 5 * SECOND, 10 * SECOND
TENANTS = ("t1", "t2", "t3")


class Arrival(NamedTuple):
    """A call as received by the platform.

    :ivar excused: the sender had just been resumed, its connection to the platform had just been restored, or the platform was faulty.
    """

    at: timedelta
    duty: str
    holder: str
    token: int
    body: Any
    accepted: bool
    excused: bool


class Call:
    """A call in progress. Bytes held up by a partition arrive once it heals, unless the sender has reset the connection."""

    def __init__(self, *, node, life, fields, started):
        self.node, self.life, self.fields, self.started = node, life, fields, started
        self.is_over = self.is_written = self.is_held = self.was_frozen = False


class DutyWorld(World):
    """A simulated world that carries out the effects of duties.

    :ivar mode: state of the platform: "ok", "slow", "down", "busy" (429), "error" (500) or "reset".
    :ivar platform_cuts: daemons that cannot reach the platform.
    :ivar failing_answers: daemons that receive status 500 although the platform has processed their call.
    :ivar on_stage: callbacks by stage ("requested", "written" or "processed"), each called once, for the next call that reaches it.
    :ivar request_counts: the requests that really ran, by window and tenant.
    """

    def __init__(self, *, seed, fenced=False, town="navrang"):
        site = TOWNS[town]()
        self.arrivals, self.fenced, self.highest, self.mode, self.platform_cuts = [], fenced, Counter(), "ok", set()
        self.leases, self.request_counts, self.thawed_at, self.healed_at = {}, {}, {}, {}
        self.failing_answers, self.on_stage = set(), {}
        self.platform_recovered_at, self.call_count, self.skews, self.counted = -SECOND, 0, {}, Counter()
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

    # --- operators and clients

    def configure(self):
        running = [node.name for node in self.nodes.values() if node.hub and node.frozen is None]
        self.call(running[0], "config-put", ((0, 0), "first", self.config), self.configured)

    def configured(self, code, _):
        if code in (503, 504, 705):
            self.after(SECOND / 2, self.configure)

    def request(self):
        """Start a request at some daemon."""
        edges = [node for node in self.nodes.values() if not node.core and node.hub and node.frozen is None]
        if edges:
            node, tenant = self.faults.choice(edges), self.faults.choices(TENANTS, (8, 3, 1))[0]
            node.hub.queue.append(("usage_counter", TenantRequestStarted(tenant)))
            node.feed(("call-gone", "nobody"))
            self.request_counts.setdefault((WALL_START + self.now) // WINDOW, Counter())[tenant] += 1
        self.after(milliseconds(50), self.request)

    # --- effects

    def effect(self, node, effect):
        match effect:
            case ("wall",):
                self.after(timedelta(0), self.send_wall_clock, node, node.life)
            case ("lease", duty, token, until):
                self.leases[node.name, node.life, duty] = (token, until)
            case ("call-platform", *fields):
                self.call_count += 1
                call = Call(node=node, life=node.life, fields=fields, started=self.now)
                self.stage("requested", call)
                self.after(2 * NETWORK_DELAY, self.connected, call)
                self.after(self.times.call_timeout, self.time_out, call)
            case _:
                super().effect(node, effect)

    def stage(self, name, call):
        """Run the callback that waits for a call to reach this stage, if any."""
        then = self.on_stage.pop(name, None)
        if then:
            self.after(timedelta(0), then, call.node.name)

    def send_wall_clock(self, node, life):
        if node.life == life and node.hub:
            node.feed(("wall", WALL_START + self.now + self.skews.get(node.name, timedelta(0))))

    def may_write(self, node, duty, token):
        held, until = self.leases.get((node.name, node.life, duty), (None, None))
        return held == token and until is not None and self.now + node.skew < until

    def is_dead(self, call):
        return call.node.hub is None or call.node.life != call.life

    def connected(self, call):
        """Handle the open connection: check the lease and write the call. A frozen sender continues when it is resumed."""
        node, (_, duty, token, _, _) = call.node, call.fields
        if call.is_over or self.is_dead(call):
            return None
        if node.frozen is not None or node.name in self.platform_cuts:
            return self.after(milliseconds(10), self.connected, call)
        if not self.may_write(node, duty, token):
            return self.end(call, None)
        call.is_written = True
        self.transmit(call)
        return self.stage("written", call)

    def transmit(self, call):
        if self.is_dead(call) and call.is_held or call.is_over:
            return
        if call.node.name in self.platform_cuts:
            call.is_held = True
            self.after(milliseconds(10), self.transmit, call)
        else:
            self.after(NETWORK_DELAY, self.receive_call, call)

    def receive_call(self, call):
        if call.node.name in self.platform_cuts:
            return self.transmit(call)
        if self.mode in ("down", "reset"):
            return self.end(call, None) if self.mode == "reset" else None
        status = {"busy": 429, "error": 500}.get(self.mode) or self.process_call(call)
        self.stage("processed", call)
        if call.node.name in self.failing_answers:
            status = 500
        back = NETWORK_DELAY + (2 * SECOND if self.mode == "slow" else timedelta(0))
        return self.after(back, self.end, call, status)

    def process_call(self, call):
        """Process a call at the platform; return the status."""
        _, duty, token, _, body = call.fields
        name = call.node.name
        recovered_at = max(self.thawed_at.get(name, -SECOND), self.healed_at.get(name, -SECOND))
        excused = (
            self.now - recovered_at <= THAW_GRACE + NETWORK_DELAY
            or call.is_held
            or self.now - self.platform_recovered_at < SECOND
            or self.mode != "ok"
        )
        accepted = not (self.fenced and token < self.highest[duty])
        self.arrivals.append(Arrival(self.now, duty, name, token, body, accepted, excused))
        self.highest[duty] = max(self.highest[duty], token)
        return 200 if accepted else 409

    def time_out(self, call):
        if call.node.frozen is not None and not self.is_dead(call):
            call.was_frozen = True
            return self.after(milliseconds(10), self.time_out, call)
        if call.was_frozen:  # the less favourable order: bytes that were ready to be written are sent before the timeout
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

    # --- faults

    def holder(self):
        """Return the newest holder that any daemon knows of."""
        rows = [node.store.get("duty/platform/usage") for node in self.nodes.values() if node.hub]
        return max((row for row in rows if row), default=((0, 0), (0, "", "")))[1][1]

    def freeze_for(self, name, seconds):
        node = self.nodes[name]
        if node.hub is None or node.frozen is not None:
            return
        node.freeze(True)

        def thaw(life=node.life):
            if node.hub and node.life == life:
                node.freeze(False)
                self.thawed_at[name] = self.now

        self.after(timedelta(seconds=seconds), thaw)

    def kill_for(self, name, seconds):
        node = self.nodes[name]
        if node.hub is not None:
            node.kill()
            self.after(timedelta(seconds=seconds), node.boot)

    def cut_for(self, name, seconds, *, platform=True, fleet=True):
        if self.cuts or self.platform_cuts:
            return
        others = [other for other in self.nodes if other != name]
        if fleet:
            self.cut([name], others)
        if platform:
            self.platform_cuts.add(name)

        def heal():
            self.cuts.clear()
            self.platform_cuts.discard(name)
            self.healed_at[name] = self.now

        self.after(timedelta(seconds=seconds), heal)

    def platform_for(self, mode, seconds):
        self.mode = mode

        def recover():
            self.mode, self.platform_recovered_at = "ok", self.now

        self.after(timedelta(seconds=seconds), recover)

    def inject_fault(self):
        """Inject one fault, in most cases at the holder."""
        rng, name = self.faults, self.holder()
        if not name or rng.random() < 0.2:
            name = rng.choice(sorted(self.nodes))
        seconds = rng.choice((0.3, 0.8, 1.3, 2.0, 3.1, 4.5, 7.0))
        kind = rng.choice(("kill", "freeze", "cut", "cut-fleet", "cut-platform", "platform"))
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
                self.platform_for(rng.choice(("slow", "down", "busy", "error", "reset")), seconds)

    def play(self, *, seconds=120, gap=(2, 9), until=None):
        """Run a day with random faults; the last 20 seconds are free of new ones."""
        self.run(25)
        while self.now < timedelta(seconds=(until or seconds) - 20):
            self.run(self.faults.uniform(*gap))
            self.inject_fault()
        self.run(seconds - self.now / SECOND)


def violations(world):
    """Return the violations of the rule that one daemon at a time makes the calls, each as (rule, arrivals...)."""
    lower = () if world.fenced else decreasing_tokens(world.arrivals)
    return [*conflicting_reports(world.arrivals), *shared_tokens(world.arrivals), *alternating_holders(world), *lower]


def conflicting_reports(arrivals):
    """Yield pairs of accepted reports of the same window with different counts."""
    first = {}
    for arrival in arrivals:
        if arrival.duty == "usage" and arrival.accepted:
            held = first.setdefault(arrival.body["window"], arrival)
            if held.body["counts"] != arrival.body["counts"]:
                yield "conflicting reports", held, arrival


def shared_tokens(arrivals):
    """Yield pairs of calls that carry the same token but come from different holders."""
    first = {}
    for arrival in arrivals:
        held = first.setdefault((arrival.duty, arrival.token), arrival)
        if held.holder != arrival.holder:
            yield "shared token", held, arrival


def decreasing_tokens(arrivals, *, strict=False):
    """Yield pairs of calls in which a lower token arrives after a higher one.

    :param strict: also report calls that are excused.
    """
    highest = None
    for arrival in arrivals:
        if highest is not None and arrival.token < highest.token and (strict or not arrival.excused):
            yield "decreasing token", highest, arrival
        if highest is None or arrival.token > highest.token:
            highest = arrival


def alternating_holders(world):
    """Yield calls of holders that act in the order A, B, A within one lease; refused calls do not count."""
    acts = [arrival for arrival in world.arrivals if arrival.accepted and not arrival.excused]
    for index, last in enumerate(acts):
        before = [act for act in acts[:index] if last.at - act.at < 3 * SECOND]
        for number, first in enumerate(before):
            if first.holder == last.holder and any(act.holder != last.holder for act in before[number:]):
                yield "alternating holders", first, last


def first_reports(world):
    """Return (counts, time after the end of the window) of the first accepted report, by window."""
    found = {}
    for arrival in world.arrivals:
        if arrival.accepted:
            end = (arrival.body["window"] + 1) * WINDOW - WALL_START
            found.setdefault(arrival.body["window"], (arrival.body["counts"], arrival.at - end))
    return found
