"""The forwarding path in the simulator (design 15): replicas that work by the engine, the list of them, clients.

A `Field` stands beside a World: the world moves the daemons' messages and disks, the field what they forward.
"""

from datetime import timedelta

from ...runtime.effects import ZERO, to_milliseconds
from ..checkers.forwarding_records import End
from ..checkers.forwarding_rules import Rules
from ..fake_servers.replica_answers import LAST_ANSWERS, Body, Crashed, Cut, Garbage, Head, Refused, RunBegan, Surplus
from ..fake_servers.replica_engine import ReplicaEngine
from ..fake_servers.request_format import MS, SEC, ReplicaRequest, seal
from .forwarding_io import CLIENT, SimulatedShell

TTL = 2 * SEC  # how long clients hold on to where to go
HELD = 3 * TTL  # how long some of them do
LIST = "platform"  # the place where the list is, for links that are cut
LAG = 0.8 * SEC  # how far the list of replicas trails
PATIENCE = 0.2 * SEC  # a client waits a little longer than it says


class Seat:
    """One life of a replica at one address."""

    def __init__(self, field, *, id, name, service, zone, region, addr, spec, seed, warm):
        self.f, self.w, self.id, self.name, self.service = field, field.w, id, name, service
        self.zone, self.region, self.addr, self.spec = zone, region, addr, spec
        self.e = ReplicaEngine(replica_id=id, spec=spec, seed=seed, warm=warm, now=field.w.now)
        self.conns, self.trips, self.num, self.leaves, self.at, self.ended = {}, {}, 0, None, None, None  # conns in order

    def record(self, now):
        """As the list shows it; see forward/replicas.py."""
        left = -1 if self.e.ends_at is None else max(0, to_milliseconds(self.e.ends_at - now))
        return (
            self.id,
            self.addr,
            self.zone,
            self.region,
            self.service,
            self.spec.capacity,
            self.leaves is not None,
            to_milliseconds(self.e.slow_start_left(now)),
            left,
        )

    def known_bound(self, now):
        """Requests a second that it bears in its slow start; 0 while it is warm, or while no daemon can know that it is not.

        A warm replica may turn cold while it runs. Its answers to requests and its reports do not say so, and the list, which does,
        trails by up to `LAG`: until then every daemon acts as if the replica had stayed warm (docs/proof.md).
        """
        turned_cold_at = self.e.turned_cold_at
        is_unknown = turned_cold_at is not None and now < turned_cold_at + LAG
        return 0.0 if is_unknown or not self.e.slow_start_left(now) else self.spec.cold_per_s

    def take(self, trip):
        f, t, s, now = self.f, trip.t, trip.way.sent, self.w.now
        self.num += 1
        trip.key = self.num
        self.trips[trip.key] = trip
        other = t["expect"] and t["replica"] != self.id
        calm = f.touch(trip.conn.c.n) and now - trip.sent < SEC / 2
        f.rules.arrived(
            now,
            s.attempt,
            rep=self.id,
            service=self.service,
            zone=self.zone,
            region=self.region,
            sent=trip.sent,
            touch=calm,
            status=421 if other else None,
            left=t["deadline_ms"] * MS,
            cold_per_s=self.known_bound(now),
        )
        self.said(
            self.e.submit(
                now,
                trip.key,
                ReplicaRequest(
                    attempt=s.attempt,
                    body=s.body,
                    parts=trip.way.parts,
                    tokens=s.tokens,
                    urgency=t["urgency"],
                    left=t["deadline_ms"] * MS,
                    last=int(t["last_event"] or 0),
                    expect=t["replica"] if t["expect"] else None,
                    method=s.method,
                    path=s.path,
                ),
            )
        )

    def hangup(self, trip):
        if trip.key in self.trips and self.e.up:
            del self.trips[trip.key]
            self.said(self.e.disconnect(self.w.now, trip.key))

    def said(self, es):
        f, now = self.f, self.w.now
        for e in es:
            if isinstance(e, Crashed):
                self.fell()
                continue
            trip = self.trips.get(e.key)
            if trip is None:
                continue
            a = trip.way.sent.attempt
            match e:
                case RunBegan(_, run):
                    trip.run = run
                    f.rules.ran(
                        now,
                        a,
                        run=run,
                        rep=self.id,
                        service=self.service,
                        seal=seal(run, a),
                        plain=bool(self.spec.work),
                        stride=self.spec.stride,
                        last=int(trip.t["last_event"] or 0),
                        touch=f.touch(trip.conn.c.n),
                        tenant=trip.t.get("tenant", trip.way.sent.claims) or None,
                        shown_key=None if "tenant" in trip.t else trip.way.sent.key,
                    )
                    continue
                case Refused(_, status):
                    f.rules.refused(a, status)
                case Head(_, status) if status != 200:
                    trip.fail = status
                case Body(_, data) if getattr(trip, "fail", None):
                    f.rules.failed(a, trip.run, trip.fail, data)
                case Cut() | Garbage() | Head(_, 200, None):
                    if not self.cut_short(trip):
                        f.rules.cut_attempts.add(a)
            if isinstance(e, Surplus) and e.late:
                self.w.after(timedelta(milliseconds=self.w.rng.randrange(30, 400)), trip.conn.down.push, trip, e)
            else:
                trip.conn.down.push(trip, e)
            if isinstance(e, LAST_ANSWERS):
                self.trips.pop(e.key, None)
        self.wake()

    def cut_short(self, trip):
        """Does it break off since a daemon that leaves gave it less time than the request has? A route's own deadline is none of that."""
        given, has = trip.sent + trip.t["deadline_ms"] * MS, trip.way.sent.at + trip.way.sent.due
        leaving = trip.way.sent.life in self.f.rules.stopped
        return leaving and self.w.now >= given and given < has - SEC / 10

    def wake(self):
        due = self.e.next_wakeup()
        if due is not None and (self.at is None or due < self.at):
            self.at = due
            self.w.after(max(ZERO, due - self.w.now), self.turn, due)

    def turn(self, due):
        if self.at == due:
            self.at = None
            self.said(self.e.tick(self.w.now))

    def fell(self):
        self.ended = self.w.now
        for c in self.conns:
            c.stale = True
            c.down.push(None, Crashed())
        self.w.note("replica-fell", self.id)


class Field:
    def __init__(self, *, world, seats, bounds=None, reuse=2 * SEC):
        """seats: keyword tables (name, service, zone, spec)."""
        self.w, self.rules, self.rows, self.reuse = world, Rules(bounds=bounds), seats, reuse
        self.shells, self.seats, self.lives, self.addrs = {}, {}, 0, {}
        self.mode, self.forgets, self.history = "", 0.0, []  # mode of the list: "", slow, part, down, busy
        self.busy, self.planned = [], set()  # places in trouble now, see faults; those by plan
        self.unrest, self.known = ZERO, {}  # the last unplanned trouble; zone -> (when, daemons) that its clients were told, oldest first
        world.field = self
        for r in seats:
            self.start(r, warm=True)
        for n in world.nodes.values():
            self.boot(n)
        self.glance()
        for z in world.region:
            self.resolve(z)

    # replicas
    def start(self, row, *, warm=False, addr=None):
        self.lives += 1
        region = self.w.region[row["zone"]]
        s = Seat(
            self,
            id=f"{row['name']}-{self.lives}",
            name=row["name"],
            service=row["service"],
            zone=row["zone"],
            region=region,
            addr=addr or f"10.9.{self.lives // 250}.{self.lives % 250 + 1}:80",
            spec=row["spec"],
            seed=self.w.seed,
            warm=warm,
        )
        self.seats[s.id] = self.addrs[s.addr] = s
        self.w.note("replica-start", s.id, s.addr)
        return s

    def at(self, addr):
        return self.addrs.get(addr)

    def up(self, service=None, zone=None):
        return [s for s in self.seats.values() if s.e.up and s.service == (service or s.service) and s.zone == (zone or s.zone)]

    def crash(self, s):
        if s.e.up:
            s.said(s.e.crash())

    def leave(self, s, after):
        """It leaves: the list shows it as draining; after so long it is gone, whatever it runs."""
        if s.e.up and s.leaves is None:
            s.leaves = self.w.now
            s.e.drain(self.w.now, left=after)
            s.wake()

    def calm(self):
        """Is nothing in trouble but what was planned?"""
        return all(p in self.planned for p in self.busy)

    def troubled(self, at):
        """Was anything unplanned amiss from a while before that moment on?"""
        return self.unrest > at - self.rules.bounds.contact

    # the list
    def glance(self):
        """The list as it stands now; daemons see it a while later."""
        now = self.w.now
        if not self.calm():
            self.unrest = max(self.unrest, now)
        rows = tuple(
            s.record(now) for s in self.seats.values() if s.e.up or s.leaves is None and now - s.ended < 3 * SEC
        )  # a crashed one stays for some seconds
        self.history = [(t, r) for t, r in self.history if now - t < 5 * SEC] + [(now, rows)]
        seen = next((r for t, r in reversed(self.history) if now - t >= LAG), ())
        shown = {r[0] for r in seen}
        for s in self.seats.values():
            if (
                s.leaves is not None
                and any(r[0] == s.id and r[6] for r in seen)
                or (s.ended is not None and s.id not in shown and now - s.ended > LAG + 3 * SEC)
            ):
                self.rules.leaving(now, s.id)
        self.w.after(SEC / 5, self.glance)

    def listing(self, mode):
        self.mode = mode
        self.rules.listing(self.w.now, mode == "")
        self.w.note("list", mode)

    def read(self, c):
        """A daemon reads the list: whole, or not at all."""
        seen = next((r for t, r in reversed(self.history) if self.w.now - t >= LAG * self.w.rng.random()), ())
        part = self.mode == "part" and self.w.rng.random() < 0.5
        shut = self.mode in ("down", "busy") or not (self.w.open(c.n.name, LIST) and self.w.open(LIST, c.n.name))
        took = SEC if shut else 2 * SEC if self.mode == "slow" else 2 * MS
        self.w.after(took, c.do, c.told, ("read", None if shut or part or not seen else seen))

    def report(self, c, rid, addr):
        """A daemon asks a replica how it does."""
        seat = self.at(addr)
        ok = seat and seat.id == rid and seat.e.up and self.w.open(c.n.name, rid) and self.w.open(rid, c.n.name)
        state = None
        if ok:
            waiting = seat.e.report(self.w.now).waiting
            state = (len(seat.e.running), waiting, seat.spec.capacity)
        self.w.after(2 * self.w.hop(c.n.zone, seat.zone) + MS if ok else SEC, c.do, c.told, ("asked", rid, state))

    # daemons
    def boot(self, n):
        self.shells[n.name] = SimulatedShell(self, n)

    def died(self, n):
        c = self.shells.get(n.name)
        if c is None:
            return
        ways, c.ways = c.ways, {}
        for way in ways.values():
            if way.trip and way.trip.conn:
                way.trip.conn.close()
            way.end(False)
        for pool in c.idle.values():
            for x in pool:
                x.close()

    def effect(self, n, e):
        c = self.shells[n.name]
        if c.alive():
            c.act(e)

    def touch(self, n):
        """Is this daemon in touch: nothing in trouble that concerns it or the core?"""
        return (
            n.hub is not None
            and n.steady(self.w.now - self.rules.bounds.contact)
            and all(p in self.w.nodes and not self.w.nodes[p].core and p != n.name for p in self.busy)
        )

    # the registry
    def resolve(self, zone, turn=0):
        """Clients of a zone ask where to go: near cores first, each has a second; what they know they keep."""
        if turn == 0:
            self.w.after(TTL, self.resolve, zone)
        cores = sorted((n for n in self.w.nodes.values() if n.core), key=lambda n: (n.zone != zone, n.name))
        if turn >= min(3, len(cores)):
            return
        done = []

        def got(code, kw):
            if not done:
                done.append(1)
                if code == 100 and kw.get("fronts"):
                    self.known[zone] = [(t, ns) for t, ns in self.known.get(zone, ()) if self.w.now - t < HELD] + [
                        (self.w.now, tuple(kw["fronts"]))
                    ]
                else:
                    self.resolve(zone, turn + 1)

        self.w.after(SEC, lambda: got(0, {}))
        self.w.call(cores[turn].name, "fronts", ("", self.w.region[zone], zone), got)

    def fronts(self, zone, *, held=False):
        """Daemons that a client of this zone may choose from: it passes over those that take no connection.

        held: it holds on to an answer for three times as long as told.
        """
        answers = self.known.get(zone, ())
        names = answers[-1][1] if answers else ()
        if held and answers and set(answers[0][1]) != set(names):
            names = answers[0][1]
        return [n for n in map(self.w.nodes.get, names) if n.hub is not None]


class Way:
    """One try of a client, at the daemon that it chose."""

    def __init__(self, field, sent, parts, node, over):
        self.f, self.w, self.sent, self.parts, self.node, self.over = field, field.w, sent, parts, node, over
        self.started, self.last, self.trip, self.held, self.rid = False, str(sent.last) if sent.last else None, None, None, ""
        self.status, self.wait, self.ended, self.closing = None, None, False, False  # closing: the end is on its way
        field.rules.asked(sent)
        c = field.shells[node.name]
        if node.hub is None:
            self.end(False)
        else:
            self.w.after(CLIENT, c.do, c.ask, self)
            self.w.after(sent.due + PATIENCE, self.patience, c)

    def later(self, fn, *a, **kw):
        self.w.after(CLIENT, lambda: self.ended or fn(self.w.now, self.sent.attempt, *a, **kw))

    def start(self, status, seal, wait=None):
        self.started, self.status, self.wait = True, status, wait
        self.later(self.f.rules.head, status, seal, touch=self.f.touch(self.node))

    def event(self, n, data):
        self.later(self.f.rules.event, n, data)

    def data(self, b):
        self.w.after(CLIENT, self.f.rules.data, self.sent.attempt, b)

    def end(self, whole, own=False):
        self.closing = True
        self.w.after(CLIENT, self.close, whole, own)

    def close(self, whole, own):
        if self.ended:
            return
        self.ended = True
        calm = self.f.calm() and not self.f.troubled(self.sent.at)
        self.f.rules.ended(self.w.now, self.sent.attempt, whole=whole, calm=calm, own=own)
        self.over(self, whole)

    def patience(self, c):
        """The client waits no longer."""
        if not self.ended and not self.closing:
            left = self.trip is None or self.trip.over  # nothing is under way for it, and no answer came
            if left and c.alive() and not c.box and self.node.steady(self.sent.at):
                self.f.rules.forgotten(self.w.now, self.sent.attempt)
            self.ended = True
            self.f.rules.got[self.sent.attempt].ended = End(self.w.now, False)
            self.w.after(CLIENT, c.do, c.gone, self)
