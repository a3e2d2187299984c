"""The rules of the forwarding path, judged as things happen (design 15): what clients, replicas and operators saw.

Whoever drives it says what was sent, arrived, ran, came back; `bad` collects what was broken. Each rule has a
planted breach in tests/testbed/test_forwarding_rules.py. Times are timedeltas on one clock, bounds are parameters.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict, deque
from datetime import timedelta
from typing import NamedTuple

from ...runtime.effects import ZERO
from ..fake_servers.request_format import event_count, plain_answer
from .configuration_history import ConfigHistory

SEC, MS = timedelta(seconds=1), timedelta(milliseconds=1)
PROMISES = (408, 421, 429, 503)


class Bounds(NamedTuple):
    """By when and by how much; the sizes are those of a small deployment."""

    contact: timedelta = 5 * SEC
    drain: timedelta = 5 * SEC
    lost: timedelta = 200 * MS  # after its last byte, a whole request that was read has to be answered
    grace: timedelta = 8 * SEC  # from a SIGTERM to the kill
    cut_streams_for: timedelta = 3 * SEC  # what is sent later after a SIGTERM ends whole, or is answered by the daemon
    apply: timedelta = 3 * SEC
    revert: timedelta = 250 * MS
    ratio: float = 0.2
    window: timedelta = 10 * SEC
    slack: float = 50.0
    cold_excess: float = 1.5
    cold_slack: float = 5.0
    evacuate: timedelta = 5 * SEC
    recovery: timedelta = 12 * SEC
    due: timedelta = 450 * MS  # what a replica is told to have may be older by a connection's coming up


class Sent(NamedTuple):
    """A client's try: each has an id of its own."""

    attempt: str
    at: timedelta
    life: str  # of the daemon that it reached
    host: str
    path: str
    body: bytes
    method: str = "POST"
    stream: bool = True
    again: bool = False  # may it run more than once?
    due: timedelta = 10 * SEC
    tokens: tuple = (100, 80)
    last: int = 0
    service: str = ""  # for which the client means it: what budgets count it under


class Rules:
    def __init__(self, *, bounds=None):
        self.b, self.faults, self.configs = bounds or Bounds(), [], ConfigHistory()
        self.sent, self.runs = {}, {}  # attempt -> Sent; run -> dict(attempt, seal, status, stride, at, service)
        self.by, self.reached = defaultdict(list), defaultdict(list)  # attempt -> its runs; replicas it reached
        self.offered = defaultdict(list)  # attempt -> replicas that it reached and that were meant
        self.got = {}  # attempt -> what its client has: status, seal, events, body, ended
        self.asks, self.extras = defaultdict(list), defaultdict(list)  # service -> times
        self.cold = defaultdict(deque)  # replica -> (sent, arrived) of a second
        self.left, self.emptied, self.down = {}, [], []  # replica -> when listed as leaving; zones; list out of order
        self.floor = {}  # daemon's life -> (number seen in effect, since when)
        self.said = defaultdict(list)  # attempt -> failures and refusals of its replicas
        self.broke = set()  # attempts whose replica broke off
        self.stopped = {}  # daemon's life -> when it was told to stop
        self.denied = 0

    def bad(self, now, rule, *what):
        self.faults.append((round(now / SEC, 3), rule, *what))

    # clients
    def asked(self, s):
        self.sent[s.attempt] = s
        self.got[s.attempt] = dict(status=None, seal=None, events=[], body=b"", ended=None)
        self.asks[s.service].append(s.at)

    def head(self, now, attempt, status, seal, touch=True):
        g, s = self.got.get(attempt), self.sent.get(attempt)
        if g is None or g["status"] is not None:
            return self.bad(now, "MIXED", attempt, "an answer that nobody waits for", status)
        g["status"], g["seal"] = status, seal
        if 200 <= status < 300 and seal not in self.seals(attempt):
            self.bad(now, "MIXED", attempt, "success without the replica's seal", status)
        if status in PROMISES and not s.again and self.by[attempt]:
            self.bad(now, "REFUSED", attempt, status, *self.by[attempt])
        if status == 404:
            self.handled(now, s, None, touch=touch)
        return None

    def seals(self, attempt):
        return [self.runs[r]["seal"] for r in self.by[attempt] if self.runs[r]["seal"] and self.runs[r]["status"] == 200]

    def event(self, now, attempt, n, data):
        """One event of a stream reached its client."""
        g, s = self.got[attempt], self.sent[attempt]
        run = bytes(data).split()[0].decode(errors="replace") if data else ""
        if bytes(data) != f"{run} {n}".encode() or self.runs.get(run, {"attempt": None})["attempt"] != attempt:
            return self.bad(now, "MIXED", attempt, "another's event", data)
        was, of = g["events"][-1] if g["events"] else (s.last, run)
        if n != was + 1:
            self.bad(now, "ORDER", attempt, "lacks or repeats a piece", was, n)
        if run != of and not (s.again and self.runs[run]["last"] == was):
            self.bad(now, "ORDER", attempt, "joins runs", of, run)
        g["events"].append((n, run))
        return None

    def data(self, attempt, data):
        self.got[attempt]["body"] += data

    def ended(self, now, attempt, *, whole, calm=False, own=False):
        """The client's answer ended: whole, or its connection closed. calm: nothing unplanned, see RULES' words.

        own: an answer of the system itself, not a replica's.
        """
        g, s = self.got[attempt], self.sent[attempt]
        if g["ended"] is not None:
            return self.bad(now, "MIXED", attempt, "ended twice")  # no request waits there
        g["ended"] = (now, whole)
        if not whole:
            if calm and now < s.at + s.due and attempt not in self.broke and (self.reached[attempt] or now > s.at + self.b.lost):
                if not self.outlived(now, s):
                    self.bad(now, "LOST", attempt, s.life, round((now - s.at) / SEC, 3))
            return None
        if not 200 <= g["status"] < 300:
            if (
                own
                and g["status"] < 500
                and g["status"] not in PROMISES
                and all(self.configs.allows(p, s.host, s.path) for p in self.configs.sound())
            ):
                self.denied += 1
            if not own and (g["status"], g["body"]) not in self.said[attempt]:
                self.bad(now, "MIXED", attempt, "no failure of its replicas", g["status"], g["body"][:60])
            return None
        if s.stream and not any(self.runs[r]["plain"] for r in self.by[attempt]):
            return self.complete(now, g, s)
        if g["body"] not in [self.runs[r]["body"] for r in self.by[attempt] if self.runs[r]["seal"] == g["seal"]]:
            self.bad(now, "MIXED", attempt, "not the replica's whole body", g["body"][:60])
        return None

    def outlived(self, now, s):
        """Was a replica still at work on it in the last sixth of the daemon's grace, for a request sent soon after the stop?"""
        told_at = self.stopped.get(s.life)
        if told_at is None or not self.by[s.attempt]:
            return False
        return s.at <= told_at + self.b.cut_streams_for and now >= told_at + self.b.grace * 5 / 6

    def complete(self, now, g, s):
        stride = max((self.runs[r]["stride"] for r in self.by[s.attempt]), default=1)
        most = max(event_count(s.body, s.tokens[1], stride), s.last)
        if (g["events"][-1][0] if g["events"] else s.last) < most:
            self.bad(now, "ORDER", s.attempt, "complete before its last piece", len(g["events"]), most)

    # replicas
    def arrived(self, now, attempt, *, rep, service, zone, region, sent, touch, status=None, cold_per_s=0.0, left=None):
        """A request reached a replica: sent by a daemon then; touch: that daemon was in touch.

        status: 421 when it was meant for another life. cold_per_s: what the replica bears, 0 while it is warm.
        left: the time that the replica was told it has.
        """
        s = self.sent.get(attempt)
        if s is None:
            return self.bad(now, "UNASKED", attempt, rep)
        if self.reached[attempt]:
            self.extras[service].append(now)
            self.budget(now, service)
        self.reached[attempt].append(rep)
        if status != 421:  # the word of another life: the most tries bound what may run
            self.offered[attempt].append(rep)
        if len(self.offered[attempt]) > self.configs.tries(s.host, s.path):
            self.bad(now, "TRIES", attempt, *self.offered[attempt])
        if left is not None and touch and left > s.due - (sent - s.at) + self.b.due:
            self.bad(now, "DUE", attempt, left / SEC, (s.due - (sent - s.at)) / SEC)
        homes = self.configs.homes(s.host, s.path, self.configs.newest(s.at - self.b.apply) if touch else None)
        if homes is not None and homes and region not in homes:
            self.bad(now, "HOME", attempt, rep, region)
        if status == 421:
            return None
        if cold_per_s:
            self.chilled(now, rep, sent, cold_per_s)
        t = self.left.get(rep)
        if t is not None and touch and now > t + self.b.drain + self.platform(t, now):
            self.bad(now, "DRAIN", attempt, rep, round((now - t) / SEC, 2))
        for z, a, back in self.emptied:
            if z == zone and touch and now > a + self.b.evacuate and (back is None or now < back):
                self.bad(now, "EVAC", attempt, rep, z, round((now - a) / SEC, 2))
        return None

    def ran(
        self,
        now,
        attempt,
        *,
        run,
        rep,
        service,
        seal,
        stride=1,
        last=0,
        method=None,
        path=None,
        body=None,
        touch=True,
        status=200,
        plain=False,
    ):
        """A replica began to work on it. What it was given is compared with what the client sent."""
        s = self.sent.get(attempt)
        if s is None:
            return self.bad(now, "UNASKED", attempt, rep, "of no client")
        had = (s.method if method is None else method, s.path if path is None else path, s.body if body is None else body)
        if had != (s.method, s.path, s.body):
            self.bad(now, "UNASKED", attempt, rep, "changed", had[:2])
        a = dict(attempt=attempt, seal=seal, status=status, stride=stride, at=now, service=service, last=last, plain=plain)
        a["body"] = plain_answer(run, s)
        self.runs[run] = a
        self.by[attempt].append(run)
        if not s.again and len(self.by[attempt]) > 1:
            self.bad(now, "TWICE", attempt, *self.by[attempt])
        if not s.again and self.got[attempt]["status"] in PROMISES:
            self.bad(now, "REFUSED", attempt, self.got[attempt]["status"], run)
        self.handled(now, s, service, touch=touch)
        return None

    def failed(self, attempt, run, status, said):
        """A run ended as a failure of the replica's own."""
        self.runs[run]["status"] = status
        self.said[attempt].append((status, said))

    def turned(self, attempt, status, said=b""):
        """A replica said that it did not run it."""
        self.said[attempt].append((status, said))

    # operators
    def put(self, now, cfg, *, base, valid=True, number=None):
        return self.configs.asked(now, cfg, base=base, valid=valid, number=number)

    def told(self, now, p, ok):
        why = self.configs.told(now, p, ok)
        if why:
            self.bad(now, "CONFIG", why, p["number"])

    def read(self, now, number, cfg=None):
        """The configuration as it is read back at the end; number None: it did not come."""
        newest = self.configs.newest(now)
        if number is None or newest is not None and number < newest:
            return self.bad(now, "CONFIG", "acknowledged one forgotten", number, newest)
        of = [p for p in self.configs.puts if p["number"] == number]
        if all(p not in self.configs.sound() for p in of):
            self.bad(now, "CONFIG", "invalid or refused one is in force", number)
        elif cfg is not None and all(p["cfg"] != cfg for p in of):
            self.bad(now, "CONFIG", "not as it was sent", number)
        return None

    def empty(self, now, zone, on):
        """An evacuation was acknowledged (on), or its end was sent."""
        if on:
            self.emptied.append((zone, now, None))
        else:
            self.emptied = [(z, a, now if z == zone and b is None else b) for z, a, b in self.emptied]

    def leaving(self, now, rep):
        """The platform's list shows it as draining, or as gone."""
        self.left.setdefault(rep, now)

    def listing(self, now, ok):
        """The platform's list is out of order from now on, or answers again."""
        if not ok:
            self.down.append([now, None])
        elif self.down and self.down[-1][1] is None:
            self.down[-1][1] = now

    def platform(self, a, b):
        """How long the list was out of order between two moments."""
        return sum((max(ZERO, min(b, y or b) - max(a, x)) for x, y in self.down), ZERO)

    # worked out
    def handled(self, now, s, service, *, touch):
        """Under which configurations a request may have been handled so; service None: refused for want of a route."""
        ok, ever = self.configs.handled(s.host, s.path, service)
        if not ok:
            if service is not None and not ever:
                return self.bad(now, "ROUTE", s.attempt, service, s.host, s.path)
            if self.configs.puts and (service is not None or any(p["acked"] for p in self.configs.puts)):
                self.bad(now, "CONFIG", "as only an invalid or refused one allows" if ever else "as none allows", s.attempt, service)
            return None
        newest = self.configs.newest(s.at - self.b.apply)
        if touch and newest is not None and max(ok) < newest:
            self.bad(now, "CONFIG", "as only an older one allows", s.attempt, service, max(ok), newest)
        number, since = self.floor.get(s.life, (None, None))
        if number is not None and max(ok) < number and s.at > since + self.b.revert:
            self.bad(now, "CONFIG", "went back", s.life, s.attempt, max(ok), number)
        if number is None or min(ok) > number:
            self.floor[s.life] = (min(ok), now)
        return None

    def chilled(self, now, rep, sent, per_s):
        d = self.cold[rep]
        d.append((sent, now))
        while now - d[0][1] >= SEC:
            d.popleft()
        n = sum(1 for a, _ in d if now - a < SEC)  # sent and arrived inside that second
        if n > per_s * self.b.cold_excess + self.b.cold_slack:
            self.bad(now, "FAILBACK", rep, n, per_s)

    def budget(self, now, service):
        """Windows that end with this arrival beyond the first, and those that began with an earlier one."""
        w, xs, asks = self.b.window, self.extras[service], self.asks[service]

        def asked(a, b):
            return bisect_right(asks, b) - bisect_left(asks, a)

        for end in {now, *(x + w for x in xs[-400:] if x + w <= now and x + w > now - w / 4)}:
            n = bisect_right(xs, end) - bisect_left(xs, end - w)
            most = max(asked(end - w, end), asked(end - 2 * w, end - w), asked(end - 1.5 * w, end - w / 2))
            if n > self.b.ratio * most + self.b.slack:
                self.bad(now, "BUDGET", service, n, most)
                break

    # the end of a run
    def served(self, a, b):
        """-> (served, sent) of what was sent in that time."""
        ss = [s for s in self.sent.values() if a <= s.at < b]
        return sum(1 for s in ss if self.whole(s.attempt)), len(ss)

    def whole(self, attempt):
        g = self.got[attempt]
        return g["ended"] is not None and g["ended"][1] and 200 <= g["status"] < 300

    def recover(self, now, *, before, back):
        """After a loss: before, (from, to) of a time before it; back: when everything had returned."""
        (n, of), (m, all_) = self.served(*before), self.served(back + self.b.recovery, now)
        if of and all_ and 4 * n >= of and 4 * m < all_:
            self.bad(now, "RECOVER", m, all_)

    def close(self, now):
        """The last counts."""
        if self.denied > 5 + len(self.sent) / 500:
            self.bad(now, "DENIED", self.denied, len(self.sent))
        return self.faults

    def forgotten(self, now, attempt):
        """The client's deadline has passed, its daemon lived all the while, and nothing is under way for it."""
        if self.got[attempt]["ended"] is None:
            self.bad(now, "SILENT", attempt, self.sent[attempt].life)
