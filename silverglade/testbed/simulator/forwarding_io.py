"""The simulated shell of the forwarding path (design 15.3): it does what the part decides, over simulated connections."""

from collections import Counter

from ...configuration.schema import key_digest
from ...runtime.effects import ZERO, milliseconds
from ..fake_servers.replica_answers import Body, Crashed, Cut, Ended, Garbage, Head, Refused, StreamEvent, Surplus
from ..fake_servers.request_format import MS, SEC

KEEP, MARGIN = 5 * SEC, 0.5 * SEC  # how long a replica keeps an idle connection; how much sooner a daemon ends it
CLIENT = MS  # between a client and its daemon
STUCK = 8 * SEC  # bytes that nobody takes for so long end a connection


class Pipe:
    """One way of a connection: in order, with the delay of the network; what a cut holds up comes later or never."""

    def __init__(self, *, world, a, b, za, zb, sink):
        self.w, self.ends, self.places, self.sink, self.q, self.on, self.since = world, (a, b), (za, zb), sink, [], False, None

    def push(self, *x):
        at = self.w.now + self.w.hop(*self.places)
        if self.q:
            at = max(at, self.q[-1][0])
        self.q.append((at, x))
        if not self.on:
            self.on = True
            self.w.after(at - self.w.now, self.turn)

    def turn(self):
        if not self.w.open(*self.ends):
            self.since = self.since or self.w.now
            if self.w.now - self.since < STUCK:
                self.w.after(100 * MS, self.turn)
            else:
                self.q, self.on = [], False
            return
        self.since = None
        while self.q and self.q[0][0] <= self.w.now:
            _, x = self.q.pop(0)
            self.sink(*x)
        self.on = bool(self.q)
        if self.on:
            self.w.after(self.q[0][0] - self.w.now, self.turn)


class Conn:
    """A connection of one daemon's life to one life of a replica."""

    def __init__(self, shell, seat, addr):
        w, n = shell.w, shell.n
        self.c, self.seat, self.addr, self.trip, self.until, self.over, self.stale = shell, seat, addr, None, None, False, False
        self.up = Pipe(world=w, a=n.name, b=seat.id, za=n.zone, zb=seat.zone, sink=self.asked)
        self.down = Pipe(world=w, a=seat.id, b=n.name, za=seat.zone, zb=n.zone, sink=self.heard)
        seat.conns[self] = True

    def asked(self, what, trip):
        """At the replica."""
        if what == "close":
            self.seat.conns.pop(self, None)
            if trip is not None:
                self.seat.hangup(trip)
        elif self.stale or not self.seat.e.up:
            self.down.push(trip, Crashed())
        else:
            self.seat.take(trip)

    def heard(self, trip, e):
        """At the daemon."""
        self.c.do(self.c.heard, self, trip, e)

    def close(self):
        if not self.over:
            self.over = True
            self.c.count[self.addr] -= 1
            self.up.push("close", self.trip)
            self.trip = None


class Trip:
    """One try on its way."""

    def __init__(self, rid, n, t, way):
        self.rid, self.n, self.t, self.way, self.conn, self.sent = rid, n, t, way, None, None
        self.head, self.body, self.over, self.run, self.key = None, b"", False, None, None


class SimulatedShell:
    """One life of a daemon's shell."""

    def __init__(self, field, n):
        self.f, self.w, self.n, self.life = field, field.w, n, n.life
        self.ways, self.idle, self.count, self.box, self.num = {}, {}, Counter(), [], 0

    def alive(self):
        return self.n.life == self.life and self.n.hub is not None

    def do(self, fn, *a):
        """Whatever reaches the daemon; held while it is frozen."""
        if self.alive():
            if self.n.frozen is None and not self.box:
                return fn(*a)
            self.box.append((fn, a))
            if len(self.box) == 1:
                self.w.after(20 * MS, self.thaw)
        return None

    def thaw(self):
        if not self.alive():
            return
        if self.n.frozen is not None:
            return self.w.after(20 * MS, self.thaw)
        box, self.box = self.box, []
        for fn, a in box:
            fn(*a)
        return None

    def tell(self, trip, *what):
        if not trip.over or what[0] == "gone":
            trip.over = trip.over or what[0] not in ("began", "first")
            self.w.after(ZERO, self.told, ("tried", trip.rid, trip.n, *what))

    def told(self, ev):
        if self.alive():
            self.n.feed(ev)

    # clients
    def ask(self, way):
        self.num += 1
        rid = way.rid = f"r{self.num}"
        self.ways[rid] = way
        s = way.sent
        self.n.feed(
            (
                "request",
                rid,
                dict(
                    host=s.host,
                    path=s.path,
                    method=s.method,
                    attempt=s.attempt,
                    deadline_ms=int(s.due / MS),
                    prefix=way.parts,
                    tokens=s.tokens,
                    model="m",
                    last_event=str(s.last) if s.last else None,
                    size=len(s.body),
                    **({"key": key_digest(s.key)} if s.key else {}),
                ),
            )
        )

    def gone(self, way):
        """Its client went away."""
        if self.ways.pop(way.rid, None) is way:
            trip = way.trip or Trip(way.rid, 0, {}, way)
            self.hang(way)
            self.tell(trip, "gone")

    def conclude(self):
        """The daemon ends soon: what has given its client nothing is answered, as the shell does it."""
        for way in [w for w in self.ways.values() if not w.started]:
            trip = way.trip or Trip(way.rid, 0, {}, way)
            status = 502 if way.trip and way.trip.sent is not None else 503
            del self.ways[way.rid]
            self.hang(way)
            way.start(status, None, 0.1)
            way.end(True, own=True)
            self.tell(trip, "gone")

    def hang(self, way):
        if way.trip:
            way.trip.over = True
            if way.trip.conn:
                way.trip.conn.close()
            way.trip = None

    # the part
    def act(self, e):
        way = self.ways.get(e[1]) if len(e) > 1 else None
        match e:
            case ("list",):
                self.f.read(self)
            case ("reach", rid, addr, wait):
                self.reach(rid, addr, wait)
            case ("ask", rid, addr):
                self.f.report(self, rid, addr)
            case ("limits", _):
                return
            case ("forget" | "renew", replica):
                for k in [k for k in self.idle if k[1] == replica]:
                    for c in self.idle.pop(k):
                        c.close()
            case _ if way is None:
                return
            case ("try", rid, n, t):
                self.hang(way)
                way.trip = Trip(rid, n, t, way)
                self.attempt(way.trip)
            case ("drop", _, n):
                if way.trip and way.trip.n == n:
                    self.hang(way)
            case ("pass", rid, n):
                del self.ways[rid]
                status, body = way.held
                way.start(status, None)
                way.data(body)
                way.end(True)
            case ("answer", rid, status, wait, _):
                del self.ways[rid]
                self.hang(way)
                if way.started:
                    return way.end(False)
                way.start(status, None, wait)
                way.end(True, own=True)
            case ("break", rid):
                del self.ways[rid]
                self.hang(way)
                if way.started:
                    return way.end(False)
                way.start(502, None)
                way.end(True, own=True)
        return

    def reach(self, rid, addr, wait):
        """A bare connection: there and back, or nothing for so long."""
        seat, w = self.f.at(addr), self.w
        ok = seat is None or w.open(self.n.name, seat.id) and w.open(seat.id, self.n.name)
        w.after(2 * w.hop(self.n.zone, seat.zone if seat else self.n.zone) if ok else wait, self.do, self.told, ("reached", rid, ok))

    def attempt(self, trip):
        t, w = trip.t, self.w
        pool = self.idle.setdefault((t["addr"], t["replica"]), [])
        while pool:
            c = pool.pop()
            if not c.over and w.now < c.until:
                return self.write(c, trip)
            c.close()
        if self.count[t["addr"]] >= t["cap"]:
            return self.tell(trip, "unsent", "pool-full")
        seat = self.f.at(t["addr"])
        if seat is None or not seat.e.up:
            return w.after(2 * w.hop(self.n.zone, seat.zone if seat else self.n.zone), self.do, self.tell, trip, "unsent", "refused")
        if not (w.open(self.n.name, seat.id) and w.open(seat.id, self.n.name)):
            return w.after(t["connect"], self.do, self.tell, trip, "unsent", "connect-timeout")
        self.count[t["addr"]] += 1
        return w.after(2 * w.hop(self.n.zone, seat.zone) + MS, self.do, self.connected, trip, seat)

    def connected(self, trip, seat):
        if trip.over or not seat.e.up or len(seat.conns) >= seat.spec.conns:
            self.count[trip.t["addr"]] -= 1
            if self.w.rng.random() < 0.5:
                return self.tell(trip, "unsent", "reset")
            return self.tell(trip, "lost", "ReadError")  # written before the reset was seen
        return self.write(Conn(self, seat, trip.t["addr"]), trip)

    def write(self, c, trip):
        trip.conn, c.trip, trip.sent = c, trip, self.w.now
        c.up.push("ask", trip)

    def settle(self, c):
        """A whole answer came: the connection is kept, unless the replica ends it."""
        c.trip = None
        if c.seat.e.draining_since is not None or self.w.rng.random() < 0.02:
            return c.close()
        c.until = self.w.now + KEEP - MARGIN
        self.idle.setdefault((c.addr, c.seat.id), []).append(c)
        if self.w.rng.random() < self.f.forgets:
            self.w.after(milliseconds(self.w.rng.randrange(100, 4000)), self.lose, c)
        return None

    def lose(self, c):
        """The replica has forgotten an idle connection, and did not say so."""
        c.stale = c.stale or c.trip is None

    def heard(self, c, trip, e):
        if c.over:
            return None
        if trip is None:  # the replica ended, and its connections with it
            trip = c.trip
            c.close()
            return trip and self.broken(trip, "ReadError")
        if c.trip is not trip:  # bytes that belong to no request, or another's answer
            if c.trip is None:
                return c.close()
            if isinstance(e, Surplus) and self.w.rng.random() < 0.5:
                return None  # read past
            other = c.trip
            c.close()
            return self.broken(other, "not-ours")
        match e:
            case Refused(_, status, wait):
                trip.way.held = (status, b"")
                self.settle(c)
                self.tell(trip, "not-run", status, wait)
            case Head(_, 200, None):
                c.close()
                self.tell(trip, "lost", "no-seal")
            case Head(_, status, seal):
                trip.head = (status, seal)
                if status == 200:
                    self.tell(trip, "began", 200)
            case StreamEvent(_, n, data):
                self.event(trip, n, data)
            case Body(_, data):
                trip.body += data
            case Ended():
                self.whole(c, trip)
            case Cut() | Crashed():
                c.close()
                self.broken(trip, "cut")
            case Garbage():
                c.close()
                self.broken(trip, "garbage")
            case Surplus():
                c.close()
        return None

    def event(self, trip, n, data):
        way, first = trip.way, trip.body == b""
        if trip.over:
            return
        if not way.started:
            way.start(*trip.head)
        way.event(n, data)
        way.last, trip.body = str(n), b"-"
        if first:
            self.tell(trip, "first")

    def broken(self, trip, why):
        if trip.head and trip.head[0] == 200:
            return self.tell(trip, "cut", trip.way.last)
        return self.tell(trip, "lost", why)

    def whole(self, c, trip):
        way, (status, seal) = trip.way, trip.head
        if trip.over:
            return
        self.settle(c)
        if status != 200:
            way.held = (status, trip.body)
            return self.tell(trip, "failed", status)
        if not way.started:
            way.start(status, seal)
        if trip.body != b"-":
            way.data(trip.body)
        self.ways.pop(trip.rid, None)
        way.trip = None
        way.end(True)
        return self.tell(trip, "done")
