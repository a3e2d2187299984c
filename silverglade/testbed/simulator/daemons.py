"""The simulator (design 10.1): the daemons' own hubs on a seeded clock, network and disk."""

import heapq
import random
from datetime import timedelta

from ...runtime.daemon_machine import DaemonMachine
from ...runtime.effects import ZERO, milliseconds
from ...runtime.settings import tuning
from ...server.priority_queues import queue_for
from ...transport import connections as links
from ...transport import framing as wire
from ...transport.message_schemas import MAX_KNOWN_FIELDS, MESSAGE_SHAPES
from ..checkers.request_oracle import Oracle
from .inspection import DaemonInspection
from .tenant_replicas import Replica

SEC = timedelta(seconds=1)
# effects of the forwarding path (15), which a field settles where there is one
FORWARDING = frozenset(("try", "pass", "drop", "answer", "break", "forget", "renew", "list", "ask", "reach", "limits"))


class Disk:
    """Synced state only; what was not synced is lost with power (design 5.1)."""

    def __init__(self, rng):
        self.id, self.data = f"d{rng.getrandbits(40):x}", {}
        self.slow, self.stall, self.full, self.queue, self.lost = ZERO, False, False, [], set()
        self.busy = False

    def apply(self, ops):
        for op in ops:
            match op:
                case ("put", t, k, v):
                    self.data.setdefault(t, {})[k] = wire.lists_to_tuples(v)
                case ("del", t, k):
                    self.data.get(t, {}).pop(k, None)
                case ("wipe", t):
                    self.data[t] = {}


def later(e):
    """What the next program sends: fields behind those known today, in messages and in records."""
    if e[0] != "send":
        return e
    body = tuple(tuple(row(r) for r in x) if isinstance(x, tuple) and e[2][0] in ("told", "sync") else x for x in e[2])
    if body[0] == "news" and len(body[6]) > 2:
        body = (*body[:6], (*body[6][:2], tuple(row(r) for r in body[6][2]), *body[6][3:], "more"))
    return ("send", e[1], body if MESSAGE_SHAPES[body[0]].endswith("...") and body[0] not in MAX_KNOWN_FIELDS else (*body, "later", 7))


def row(r):
    """A row of soft state whose record has a field more."""
    return (*r[:3], (*r[3], "more"), *r[4:]) if len(r) > 4 and isinstance(r[3], tuple) and len(r[3]) in (10, 12) else r


class StuckLinks:
    """Connections with bytes that a cut holds up: sent again at ever longer intervals, so that they stay stuck beyond the cut.

    Those that the daemons give up on (daemon/links.py) are replaced by new ones soon after it.
    """

    def __init__(self):
        self.links = {}  # way -> [when its bytes were first held up, when last, when it moves again or None]

    def holds(self, way, now, is_open):
        """Is what is sent on this way now held up or lost?"""
        link = self.links.get(way)
        if not is_open:
            if link is None:
                link = self.links[way] = [now, now, None]
            link[1:] = now, None
            return True
        if link is None:
            return False
        if link[2] is None:
            link[2] = self.moves_at(*link[:2])
        if now >= link[2]:
            del self.links[way]
        return way in self.links

    @staticmethod
    def moves_at(since, until):
        """When a connection whose bytes were held up from then until then takes bytes again."""
        untaken = milliseconds(links.UNACKNOWLEDGED_TIMEOUT_MS)
        if until - since >= untaken:  # ended and made anew
            return until + timedelta(seconds=links.CONNECT_TIMEOUT_S + links.MAX_BACKOFF_S)
        again, wait = since, milliseconds(200)
        while again < until:
            again, wait = again + wait, 2 * wait
        return min(again, max(until, since + untaken) + timedelta(seconds=links.CONNECT_TIMEOUT_S + links.MAX_BACKOFF_S))


class Node(DaemonInspection):
    def __init__(self, *, world, name, zone, region, core, n):
        self.w, self.name, self.zone, self.region, self.core = world, name, zone, region, core
        self.addr, self.http = f"10.0.0.{n}:1", f"10.0.0.{n}:2"
        self.hub, self.life, self.frozen, self.lives = None, "", None, 0
        self.disk = Disk(world.rng) if core else None
        self.pulses, self.held, self.skew = 0, [], ZERO
        self.next = False  # does it run the next program (10.5)?

    def boot(self):
        w = self.w
        self.lives += 1
        self.life = f"{self.name}.{self.lives}"
        saved = {t: dict(d) for t, d in self.disk.data.items()} if self.disk else None
        self.hub = DaemonMachine(
            name=self.name,
            process_id=self.life,
            zone=self.zone,
            region=self.region,
            peer_address=self.addr,
            http_address=self.http,
            seeds=w.seeds,
            first_cores=w.named,
            tuning=w.opt,
            rng=random.Random(w.rng.getrandbits(64)),
            disk=self.disk.id if self.disk else "",
            saved=saved,
            tolerance=w.tolerance,
            may_form_first_view=self.lives == 1,
            forwarding_address=self.name if w.fronts and not self.core else "",
            reads_endpoint_list=w.fronts and not self.core,
        )
        self.frozen, self.held, self.since = None, [], w.now
        w.after(milliseconds(w.rng.randrange(50)), self.pulse, self.life)
        w.note("boot", self.name)
        if w.field:
            w.field.boot(self)

    def steady(self, t):
        """Awake, with no leap of its clock, since t."""
        return self.hub is not None and self.frozen is None and self.since <= t

    @property
    def control(self):
        """The state of this core's control part, while it is up: to be read alone."""
        return self.hub.components["control"].state

    def kill(self):
        self.hub, self.frozen = None, None
        self.w.note("kill", self.name)
        self.w.died(self)

    def pulse(self, life):
        if self.hub is None or life != self.life:
            return
        if self.frozen is None and self.hub.next_timer() <= self.w.now + self.skew:
            self.feed(("pulse",))
        self.w.after(self.w.opt["pulse"], self.pulse, life)

    def feed(self, ev):
        if self.hub is None:
            return
        if self.frozen is not None:
            if len(self.held) < 20000:
                self.held.append(ev)
            return
        for e in self.hub.feed(self.w.now + self.skew, ev):
            self.w.effect(self, later(e) if self.next else e)
        if self.next and ev == ("pulse",):
            for n in self.w.nodes:
                self.w.effect(self, ("send", n, ("greeting", "a kind that is not known yet")))

    def freeze(self, on):
        self.w.note("freeze" if on else "wake", self.name)
        self.since = self.w.now
        if on:
            self.frozen = self.w.now
        elif self.frozen is not None:
            self.frozen, held, self.held = None, self.held, []
            for ev in held:  # what the kernel kept comes before the pulse
                self.feed(ev)


class World:
    def __init__(self, *, seed, daemons, config, delay_ms, replicas, opt=None, loss=0.0, fronts=False, tolerance=(1, 1, 1)):
        """daemons: (name, zone, region, core); replicas: keyword tables for Replica."""
        self.rng, self.seed, self.now, self.heap, self.num = random.Random(seed), seed, ZERO, [], 0
        self.opt, self.loss, self.rate = opt or tuning(), loss, 20e6  # bytes a second, for what is bulky
        self.fronts = fronts  # do edge daemons take requests to be forwarded (15)?
        self.cores = tuple(d[0] for d in daemons if d[3])
        self.nodes = {d[0]: Node(world=self, name=d[0], zone=d[1], region=d[2], core=d[3], n=i + 1) for i, d in enumerate(daemons)}
        self.named, self.tolerance = self.cores[:3], tolerance  # as in the settings
        self.seeds = tuple(self.nodes[c].addr for c in self.named)
        self.by_addr = {n.addr: n for n in self.nodes.values()}
        self.delay, self.cuts, self.links, self.trace, self.stuck = delay_ms, set(), {}, [], StuckLinks()
        self.region = {z: d["region"] for z, d in config["zones"].items()}
        self.config, self.calls, self.asked, self.jobs = config, {}, {}, {}
        self.oracle, self.reps, self.field = Oracle(world=self), 0, None  # field: what is forwarded (15)
        self.replicas = {r["rid"]: Replica(world=self, **r) for r in replicas}
        for n in self.nodes.values():
            n.boot()
        for r in self.replicas.values():
            r.boot()
        self.oracle.monitor.check()

    def numbered(self):
        self.reps += 1
        return self.reps

    # clock
    def after(self, t, fn, *a):
        self.num += 1
        heapq.heappush(self.heap, (self.now + t, self.num, fn, a))

    def run(self, secs):
        end = self.now + timedelta(seconds=secs)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, fn, a = heapq.heappop(self.heap)
            fn(*a)
        self.now = end

    def note(self, *what):
        self.trace.append((round(self.now / SEC, 3), *what))

    # network
    def cut(self, a, b, both=True):
        """Cut the links between two sets of places (daemon, replica or zone names)."""
        self.cuts |= {(x, y) for x in a for y in b} | ({(y, x) for x in a for y in b} if both else set())

    def heal(self):
        self.cuts.clear()
        self.note("heal")

    def open(self, a, b):
        return (a, b) not in self.cuts

    def hop(self, za, zb):
        ra, rb = self.region.get(za), self.region.get(zb)
        base = 0.2 if za == zb else 0.6 if ra == rb else self.delay
        return timedelta(milliseconds=base * (1 + 0.3 * self.rng.random()))

    def deliver(self, frm, to, body):
        n = self.by_addr.get(to[1:]) if to.startswith("@") else self.nodes.get(to)
        if n is None:
            return
        if self.num % 16 == 0:  # some go through the codec, all could
            body = wire.decode_frame(wire.encode_frame(sender=frm.name, process_id=frm.life, body=body)[4:])[2]
        self.oracle.monitor.sent(frm, n, body)
        bulk = body[0] in wire.BULK_MESSAGES  # a connection of its own, as in daemons (3.1)
        way = (frm.life, n.name, "bulk" if bulk else queue_for(body[0]))
        if self.stuck.holds(way, self.now, self.open(frm.name, n.name)) or self.rng.random() < self.loss:
            return
        at = max(self.now + self.hop(frm.zone, n.zone), self.links.get(way, ZERO))
        if bulk and self.rate:
            at += timedelta(seconds=len(wire.encode_frame(sender=frm.name, process_id=frm.life, body=body)) / self.rate)
        self.links[way] = at
        self.after(at - self.now, self.arrive, frm.name, n, n.life, body)

    def arrive(self, frm, n, life, body):
        if n.life == life and self.open(frm, n.name):
            n.feed(("msg", frm, body))

    def died(self, n):
        if self.field:
            self.field.died(n)
        for cid in [c for c, name in self.asked.items() if name == n.name]:
            del self.asked[cid]  # its caller sees the connection break
            self.after(ZERO, self.calls.pop(cid), 705, {})
        for did, (owner, r) in list(self.jobs.items()):
            if owner is n:
                self.jobs.pop(did)
                r.hangup(did)

    # effects of a daemon
    def effect(self, n, e):
        match e:
            case ("send", to, body):
                self.deliver(n, to, body)
            case ("disk", token, ops):
                n.disk.queue.append((n, n.life, token, ops))
                if not n.disk.busy:
                    n.disk.busy = True
                    self.spin(n.disk)
            case ("dispatch", did, rid, addr, meta, body):
                r = next((r for r in self.replicas.values() if r.addr == addr), None)
                if r is None or not self.open(n.name, rid):
                    # no connection could be made: nothing was handed over
                    return self.after(SEC if r else ZERO, self.back, n, n.life, did, ("refused",))
                self.jobs[did] = (n, r)
                self.after(self.hop(n.zone, r.zone), r.take, n, n.life, did, meta, body)
            case ("abort", did):
                got = self.jobs.pop(did, None)
                if got:
                    got[1].hangup(did)
            case ("probe", rid, inc, addr):
                r = next((r for r in self.replicas.values() if r.addr == addr), None)
                if r and self.open(n.name, rid):
                    self.after(self.hop(n.zone, r.zone) * 2, r.probe, n, n.life, rid, inc)
            case (kind, *_) if kind in FORWARDING and self.field:
                self.field.effect(n, e)
            case ("result", oid, *r):
                self.oracle.result(oid, r)
            case ("reply", cid, code, kw):
                fn, _ = self.calls.pop(cid, None), self.asked.pop(cid, None)
                if fn:
                    fn(code, kw)
            case ("log", ev, kw):
                self.oracle.log(n, ev, kw)

    def spin(self, d):
        """What waits is synced together, one transaction after another (design 5.1)."""
        self.after(d.slow + timedelta(milliseconds=1 + 5 * self.rng.random()), self.turn, d, len(d.queue))

    def turn(self, d, n):
        if d.stall:
            return self.after(milliseconds(50), self.turn, d, n)
        group, d.queue = d.queue[:n], d.queue[n:]
        lost = self.rng.random() < 0.5  # power went before this sync, or after
        for node, life, token, ops in group:
            self.synced(d, node, life, token, ops, lost)
        d.lost |= {life for n, life, *_ in group if n.life != life or n.hub is None}  # and what waited behind
        d.busy = bool(d.queue)
        if d.busy:
            self.spin(d)
        return None

    def synced(self, d, n, life, token, ops, lost):
        ok = not d.full
        alive = n.life == life and n.hub is not None
        if ok and n.disk is d and (alive or life not in d.lost and not lost):
            d.apply(ops)
        if alive and n.disk is d:
            n.feed(("disk", token, ok, None))

    def back(self, n, life, did, what):
        """A replica's answer reaches the daemon that dispatched."""
        if n.life == life:
            n.feed(("ran", did, *what))

    # calls
    def call(self, name, op, args, then=lambda code, kw: None):
        self.num += 1
        cid = f"c{self.num}"
        self.calls[cid] = then
        self.asked[cid] = name
        n = self.nodes[name]
        if n.hub is None:
            self.asked.pop(cid)
            return self.calls.pop(cid)(705, {})
        return n.feed(("call", cid, op, args))

    def empty_disk(self, name):
        n = self.nodes[name]
        n.kill()
        n.disk = Disk(self.rng)
        self.note("emptied", name)
