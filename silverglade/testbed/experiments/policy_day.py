"""How well the fleet decides: many forwarding parts before few replicas, without control, links or sockets between them.

Each front is the very part that decides in a daemon (`forward/part.py`); each replica is the model of `engine.py`. What daemons
tell each other (loads, accusations) reaches the others after a fixed time. So a day takes seconds, and one mechanism can be
switched off (`without`) to see what it is worth. Left out: the need of replicas (`short`), evacuations, changes, memory, bytes.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from datetime import timedelta
from math import cos, pi

from ...routing.outlier_ejection import SUSPECT
from ...runtime.effects import to_milliseconds
from ...runtime.settings import tuning
from ..fake_servers.replica_answers import Crashed, Cut, Ended, Head, Refused, StreamEvent
from ..fake_servers.request_format import MS, SEC, ReplicaRequest
from .policy_actors import Client, Front, Replica, Trip
from .policy_figures import Figures
from .policy_sites import DAYS, Prompts, configuration, two_regions

TOLD_AFTER = 0.25 * SEC  # until soft state of one daemon is known to the others
MESSAGE = 2 * MS  # what a message between daemons takes beside its way
PROBE_EVERY = 2 * SEC
CONNECTION_KEPT = 4 * SEC
CLIENT = 3 * MS
LOOK_EVERY = 0.1 * SEC  # how often the shell looks for silent replicas
WINDOW = 2  # seconds of a window of the day


class PolicyDay:
    """One day: `run` plays it and returns its figures."""

    def __init__(self, *, site, seed, seconds, pace=1.0, troubles=(), without=()):
        self.site, self.seconds, self.pace, self.troubles = site, seconds, pace, troubles
        self.rng, self.now, self.queue, self.order = random.Random(seed), 100 * SEC, [], itertools.count()
        self.opt, self.seed, self.figures, self.numbers = tuning(without=list(without)), seed, Figures(), itertools.count(1)
        self.bursts, self.seen, self.prompts = Counter(), set(), Prompts(self.rng)
        self.regions = {z: region for z, (region, _) in site.zones.items()}
        self.fronts = [
            Front(name=f"front-{z}-{i}", zone=z, region=region, opt=self.opt) for z, (region, n) in site.zones.items() for i in range(n)
        ]
        self.named = {f.name: f for f in self.fronts}
        self.replicas = {}  # address -> Replica
        for service, counts in site.seats.items():
            for z, n in zip(site.zones, counts):
                for i in range(n):
                    self.start(f"{service}-{z}{i}", 1, service, z, warm=True)
        self.trips = {}  # request, number -> Trip

    # time
    def after(self, span, fn, *args):
        heapq.heappush(self.queue, (self.now + span, next(self.order), fn, args))

    def play(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, fn, args = heapq.heappop(self.queue)
            fn(*args)
        self.now = until

    def hop(self, a, b):
        if a == b:
            return 0.2 * MS
        return self.site.between if self.regions[a] == self.regions[b] else self.site.far

    # set-up
    def start(self, name, life, service, zone, *, warm):
        r = Replica(
            name=name,
            life=life,
            service=service,
            zone=zone,
            region=self.regions[zone],
            spec=self.site.specs[service],
            seed=self.seed,
            now=self.now,
            warm=warm,
        )
        self.replicas[r.addr] = r
        return r

    def settle(self):
        book = {"config": ((1, 1), configuration(self.site))}
        roll = tuple((f.name, "", 1, 1, f.zone, f.region, "", "", False, "ready", (), ()) for f in self.fronts)
        for f in self.fronts:
            self.feed(f, "book", book, (1, 1))
            self.feed(f, "roll", roll)
            self.feed(f, "fresh", self.now + timedelta(days=1))
        self.list_all()
        self.now += 30 * SEC
        for f in self.fronts:
            self.feed(f, "roll", roll)
        self.pulse()
        self.probe()

    def list_all(self):
        records = tuple(r.record(self.now) for r in self.replicas.values() if r.engine.up)
        for f in self.fronts:
            self.feed(f, "listed", records, True)

    # what goes on all the time
    def pulse(self):
        for f in self.fronts:
            self.feed(f, "pulse")
        self.after(SEC, self.pulse)

    def probe(self):
        loads = defaultdict(dict)
        for r in self.replicas.values():
            waiting = r.engine.report(self.now).waiting
            loads[r.region][r.id] = (len(r.engine.running), waiting, r.spec.capacity) if r.engine.up else (-1, -1, r.spec.capacity)
        for f in self.fronts:
            self.after(TOLD_AFTER, self.feed, f, "loads", dict(loads[f.region]))
        self.after(PROBE_EVERY, self.probe)

    def arrive(self, kind, zone):
        second = (self.now - self.began) / SEC
        swing = 1 + 0.4 * cos(2 * pi * (second / 26 + (0 if self.regions[zone] == self.regions[next(iter(self.regions))] else 0.5)))
        rate = kind.per_s * self.pace * swing * (1 + self.bursts[kind.name]) / len(self.regions)
        self.after(timedelta(seconds=self.rng.expovariate(rate)), self.arrive, kind, zone)
        if second < self.seconds:
            self.ask(self.request(kind, zone))

    def request(self, kind, zone):
        parts, own = self.prompts.draw(kind)
        self.figures.least += own + sum(t for p, t in parts[:-1] if p not in self.seen)
        self.seen.update(p for p, _ in parts[:-1])
        return Client(
            kind=kind,
            zone=zone,
            parts=parts,
            tokens=(sum(t for _, t in parts), 2 * kind.out_tokens),
            at=self.now,
            tries=2,
            body=b"%d" % next(self.numbers),
        )

    # clients
    def ask(self, c):
        c.tries -= 1
        c.rid, c.sent, c.first, c.late = f"q{next(self.numbers)}", self.now, None, False
        c.front = self.rng.choice([f for f in self.fronts if f.zone == c.zone])
        facts = dict(
            host="h",
            path=f"/{c.kind.name}/x",
            method="POST",
            attempt=c.rid,
            deadline_ms=to_milliseconds(c.kind.due - (self.now - c.at)),
            prefix=c.parts,
            tokens=c.tokens if c.kind.chain else None,
            model="",
            last_event=None,
            size=0,
        )
        self.after(CLIENT, self.feed, c.front, "request", c.rid, facts, c)
        self.after(c.kind.due - (self.now - c.at), self.give_up, c, c.rid)

    def give_up(self, c, rid):
        if not c.over and c.rid == rid:
            self.figures.deadlines += 1
            self.done(c, "deadline")
            self.feed(c.front, "tried", rid, 99, "gone")

    def done(self, c, outcome):
        if c.over:
            return
        c.over = True
        self.figures.ended[c.kind.name, self.regions[c.zone], outcome] += 1
        self.figures.seconds[int((c.at - self.began) / SEC) // WINDOW][outcome] += 1
        self.figures.owed += c.kind.worth
        self.figures.earned += {"in-aim": c.kind.worth, "late": c.kind.late_worth}.get(outcome, 0.0)

    def answered(self, c, rid, status, wait):
        """An answer of the front's own."""
        if c.over or c.rid != rid:
            return
        promise = status in (408, 421, 429, 503)
        left = c.kind.due - (self.now - c.at)
        if c.tries and (promise or c.kind.again) and left > 50 * MS:
            return self.after(min(timedelta(seconds=wait or 0.05), left / 3), self.ask, c)
        return self.done(c, f"failed-{status}")

    def whole(self, c, rid):
        if c.rid == rid:
            first = c.first if c.first is not None else self.now
            self.done(c, "late" if c.late or first - c.at > c.kind.aim else "in-aim")

    # fronts
    def feed(self, front, *ev):
        client = ev[3] if ev[0] == "request" else None
        if client:
            self.trips[client.rid, 0] = Trip(client=client, n=0, effect={})
            ev = ev[:3]
        for e in front.part.send((self.now, ev)):
            self.act(front, e)

    def act(self, front, e):
        match e:
            case ("post", "membership", ("publish", kind, key, rank, value)) if kind == SUSPECT:
                for f in self.fronts:
                    self.after(TOLD_AFTER if f is not front else 0 * SEC, self.feed, f, "told", SUSPECT, {key: (rank, value)})
            case ("send", to, body):
                peer = self.named[to]
                self.after(self.hop(front.zone, peer.zone) + MESSAGE, self.feed, peer, "msg", front.name, body)
            case ("try", rid, n, effect):
                c = self.trips[rid, 0].client
                for old in [t for t in self.trips.values() if t.client is c and t.n and not t.over and t.client.rid == rid]:
                    self.drop(old)
                trip = self.trips[rid, n] = Trip(client=c, n=n, effect=effect, since=self.now)
                self.connect(front, trip)
            case ("answer", rid, status, wait, _):
                self.after(CLIENT, self.answered, self.trips[rid, 0].client, rid, status, wait)
            case ("pass", rid, n):
                self.after(CLIENT, self.answered, self.trips[rid, 0].client, rid, self.trips[rid, n].status, None)
            case ("break", rid):
                self.after(CLIENT, self.answered, self.trips[rid, 0].client, rid, 502, None)
            case ("renew" | "forget", replica):
                front.idle.pop(replica, None)

    def drop(self, trip):
        trip.over = True
        if trip.replica and trip.key in trip.replica.trips:
            del trip.replica.trips[trip.key]
            self.said(trip.replica, trip.replica.engine.disconnect(self.now, trip.key))

    def tell(self, front, trip, *what):
        if trip.over:
            return
        trip.over = what[0] not in ("began", "first", "silent")
        self.feed(front, "tried", trip.client.rid, trip.n, *what)

    def connect(self, front, trip):
        replica = self.replicas.get(trip.effect["addr"])
        there = self.hop(front.zone, replica.zone)
        idle = front.idle[trip.effect["replica"]]
        while idle and idle[-1] <= self.now:
            idle.pop()
        if idle and "reuse" not in self.opt["without"]:
            idle.pop()
            return self.after(there, self.reach, front, trip, replica)
        if not replica.engine.up:
            return self.after(2 * there, self.tell, front, trip, "unsent", "refused")
        self.figures.connections += 1
        return self.after(3 * there + MS, self.reach, front, trip, replica)

    def reach(self, front, trip, replica):
        if trip.over:
            return
        if not replica.engine.up:
            return self.after(self.hop(front.zone, replica.zone), self.tell, front, trip, "lost", "ReadError")
        c, trip.replica, trip.key = trip.client, replica, next(replica.count)
        replica.trips[trip.key] = (front, trip)
        self.after(LOOK_EVERY, self.look, front, trip)
        self.figures.arrivals[replica.name] += 1
        if replica.hung:
            return
        request = ReplicaRequest(
            attempt=c.rid,
            body=c.body,
            parts=c.parts,
            tokens=c.tokens if c.kind.chain else (1, 40),
            urgency=trip.effect["urgency"],
            left=trip.effect["deadline_ms"] * MS,
            expect=trip.effect["replica"],
        )
        self.said(replica, replica.engine.submit(self.now, trip.key, request))

    def look(self, front, trip):
        """The shell's watch over silent replicas."""
        if trip.over or trip.client.over:
            return
        begun = trip.client.first is not None
        longest = trip.effect["pause"] if begun and trip.effect["pause"] else trip.effect["patience"]
        if longest is None:
            return
        if self.now - max(trip.since, front.heard[trip.effect["replica"]]) > longest:
            trip.since = self.now
            self.tell(front, trip, "silent", None)
        self.after(LOOK_EVERY, self.look, front, trip)

    # replicas
    def said(self, replica, effects):
        for e in effects:
            if isinstance(e, Crashed):
                continue
            row = replica.trips.get(e.key)
            if row is None:
                continue
            front, trip = row
            if isinstance(e, (Ended, Refused, Cut)):
                replica.trips.pop(e.key)
            self.after(self.hop(front.zone, replica.zone), self.heard, front, trip, e)
        due = replica.engine.next_wakeup()
        if due is not None and (replica.wake_at is None or due < replica.wake_at):
            replica.wake_at = due
            self.after(max(timedelta(0), due - self.now), self.tick, replica, due)

    def tick(self, replica, due):
        if replica.wake_at == due:
            replica.wake_at = None
            if not replica.hung:
                self.said(replica, replica.engine.tick(self.now))

    def heard(self, front, trip, e):
        if trip.over:
            return
        c, replica = trip.client, trip.effect["replica"]
        front.heard[replica] = self.now
        match e:
            case Refused(_, status, wait):
                self.kept(front, replica)
                self.tell(front, trip, "not-run", status, wait)
            case Head(_, status):
                trip.status = status
                if status == 200:
                    self.tell(front, trip, "began", 200)
            case StreamEvent():
                self.event(c, c.rid)
                self.tell(front, trip, "first")
            case Ended():
                self.kept(front, replica)
                if trip.status != 200:
                    return self.tell(front, trip, "failed", trip.status)
                self.after(CLIENT, self.whole, c, c.rid)
                self.tell(front, trip, "done")
            case Cut():
                self.tell(front, trip, "cut" if c.first is not None else "lost", None)
        return None

    def event(self, c, rid):
        at = self.now + CLIENT
        if c.first is None:
            c.first = at
        elif c.kind.gap_ms and at - c.last > c.kind.gap_ms * MS:
            c.late = True
        c.last = at

    def kept(self, front, replica):
        front.idle[replica].append(self.now + CONNECTION_KEPT)

    # troubles
    def strike(self, t):
        if t.what == "burst":
            self.bursts[t.name] += t.share - 1
            return self.after(timedelta(seconds=t.lasts), self.bursts.subtract, {t.name: t.share - 1})
        those = sorted((r for r in self.replicas.values() if r.service == t.name), key=lambda r: r.addr)
        for r in self.rng.sample(those, max(1, round(t.share * len(those)))):
            if t.what == "hang":
                r.hung = True
                self.after(timedelta(seconds=t.lasts), self.unhang, r)
            else:
                self.end(r)
                self.after(timedelta(seconds=t.lasts), self.again, r)
                if t.what == "crash":
                    self.after(4 * SEC, self.list_all)
        return None

    def end(self, replica):
        """It crashes: what it ran breaks off."""
        self.figures.read += replica.engine.prefilled_tokens
        self.said(replica, replica.engine.crash())
        for front, trip in list(replica.trips.values()):
            self.after(self.hop(front.zone, replica.zone), self.tell, front, trip, "lost", "ReadError")
        replica.trips.clear()

    def unhang(self, replica):
        replica.hung = False
        if replica.engine.up:
            self.said(replica, replica.engine.tick(self.now))

    def again(self, old):
        """Another life at the same address: the list shows it a while later."""
        self.start(old.name, old.life + 1, old.service, old.zone, warm=False)
        self.after(1.8 * SEC, self.list_all)

    def run(self):
        self.settle()
        self.began = self.now
        for k in self.site.kinds:
            for z in self.regions:
                self.after(timedelta(0), self.arrive, k, z)
        for t in self.troubles:
            self.after(timedelta(seconds=t.at), self.strike, t)
        self.play(self.began + (self.seconds + 14) * SEC)
        self.figures.read += sum(r.engine.prefilled_tokens for r in self.replicas.values() if r.engine.up)
        return self.figures


def play(*, day, seed, seconds=26, without=()):
    pace, troubles = DAYS[day]
    return PolicyDay(site=two_regions(), seed=seed, seconds=seconds, pace=pace, troubles=troubles, without=without).run()
