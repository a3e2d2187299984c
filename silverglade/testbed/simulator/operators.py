"""Operators and the daemons that take their calls, beside the simulated cores (design 10.6).

A front-end runs the product's own `Calls`. What it says to the cores and hears from them may be held up for seconds, come
twice, overtake or be lost; it may stand still. Sessions are operators: each makes one call after another, sends it again to
another front-end after a second of silence or an unclear answer, and at last gives it up. The histories of all of them are
judged by linearizable.py.
"""

import random
from dataclasses import dataclass, field
from datetime import timedelta

from ...configuration.operator_calls import Calls
from ...runtime.effects import ZERO, milliseconds
from ..checkers.linearizability import Operation, Table, Verdict, Zone, check_history
from .control_cluster import SEC, Council

ZONES = ("za", "zb")
RAW = {"zones": {z: {"region": "x"} for z in ZONES}, "tenants": {}}
SILENCE = SEC  # after so much of it a caller goes elsewhere
PATIENCE = (1.5, 6.0)  # seconds for which an operator sends a call again
CLEAR = {100: "ok", 501: "refused"}


@dataclass(slots=True)
class Attempt:
    """A call at one front-end, as its caller sees it."""

    name: str
    action: tuple
    invoked: timedelta
    answered: timedelta | None = None
    result: object = None
    left: timedelta | None = None


@dataclass(slots=True)
class Trouble:
    """How badly the messages of front-ends fare."""

    turn: float = 1.5  # seconds for which one front-end after another is the one in trouble
    cut: float = 0.3  # its messages with which a cut begins: they and all that follow arrive when it is over
    at: tuple = ("op", "fence", "opr", "fenced")  # kinds of message with which it may begin
    alone: float = 0.03  # anyone's messages that are held up by themselves, so that others overtake
    unseen: float = 0.5  # connections closed by callers of which the front-end does not learn
    twice: float = 0.05
    lost: float = 0.02
    answers_lost: float = 0.1  # on the way to the operator
    hold: tuple = (1.0, 4.0)
    old_words: float = 0.1  # of the times that a front-end asks who is primary it is told of the one before


class FrontEnd:
    """A daemon that takes operators' calls: the product's Calls, with a network and a clock that are simulated."""

    def __init__(self, council: Council, name: str, trouble: Trouble):
        self.c, self.name, self.trouble = council, name, trouble
        self.rng = random.Random(f"{name}/{council.rng.getrandbits(40)}")
        self.calls = Calls(opt=council.opt, rng=self.rng, primary=self.believed)
        self.waiting, self.frozen, self.held, self.known = {}, False, [], ("", "")
        self.troubled, self.blocked = False, {self.reach: ZERO, self.hear: ZERO}  # each way: nothing arrives before then
        council.clients[name] = self
        council.after(ZERO, self.pulse)

    def believed(self):
        """Who is primary by what has come round."""
        newest = self.c.primary()
        if newest and newest != self.known[-1]:
            self.known = (self.known[-1], newest)
        return self.known[0 if self.rng.random() < self.trouble.old_words else -1] or self.known[-1]

    def pulse(self):
        if not self.frozen:
            self.act(self.calls.pulse)
        self.c.after(self.c.opt["beat"] / 5, self.pulse)

    def act(self, step, *args):
        """A step of the calls, and what it has for the cores or the callers."""
        out = []
        step(*args, self.c.now, out)
        for effect in out:
            match effect:
                case ("send", to, body):
                    self.carry(self.reach, to, body)
                case ("reply", call_id, code, fields) if call_id in self.waiting:
                    told = self.waiting.pop(call_id)
                    if self.rng.random() >= self.trouble.answers_lost:
                        self.c.after(self.near(), told, code, fields)

    def near(self):
        return milliseconds(1) * (1 + self.rng.random())

    def carry(self, then, *args):
        """On the way: some messages are lost, come twice, or are held up, which lets later ones overtake."""
        t = self.trouble
        if self.troubled and args[1][0] in t.at and self.rng.random() < t.cut:
            self.blocked[then] = max(self.blocked[then], self.c.now + SEC * self.rng.uniform(*t.hold))
        for _ in range(1 + (self.rng.random() < t.twice)):
            if self.rng.random() >= t.lost:
                late = SEC * self.rng.uniform(*t.hold) if self.rng.random() < t.alone else ZERO
                late = max(late, self.blocked[then] - self.c.now)
                self.c.after(late + milliseconds(1) + milliseconds(60) * self.rng.random(), then, *args)

    def reach(self, to, body):
        core = self.c.cores.get(to)
        if core is not None and core.gen and (self.name, to) not in self.c.cuts:
            core.feed(("msg", self.name, body))

    def told(self, core, body):
        """From a core, which says it to the network at once."""
        self.carry(self.hear, core, body)

    def hear(self, core, body):
        if self.frozen:
            self.held.append((self.hear, core, body))
        elif body[0] == "fenced":
            self.act(self.calls.fenced, *body[1:])
        elif body[0] == "opr":
            self.act(self.calls.answered, body[1], core, body[2])

    def call(self, call_id, change, op, told):
        """An operator's call; while the front-end stands still it waits in the kernel."""
        self.waiting[call_id] = told
        if self.frozen:
            self.held.append((self.call, call_id, change, op, told))
        else:
            self.act(lambda now, out: self.calls.begin(call_id, change, op, now, out))

    def leave(self, call_id):
        """The caller closes its connection."""
        self.waiting.pop(call_id, None)
        if self.rng.random() < self.trouble.unseen:
            return
        if self.frozen:
            self.held = [h for h in self.held if not (h[0] == self.call and h[1] == call_id)]
            self.held.append((self.leave, call_id))
        else:
            self.calls.left(call_id)

    def freeze(self, on):
        if on == self.frozen:
            return
        self.frozen = on
        if not on:
            self.act(self.calls.froze)
            held, self.held = self.held, []
            for step, *args in held:
                step(*args)


@dataclass(slots=True)
class History:
    """What all sessions saw."""

    attempts: list = field(default_factory=list)
    refused: set = field(default_factory=set)

    def of(self, *, table: bool, zone: str = "") -> list:
        """The calls that concern one object, as operations."""
        if not table:
            return [operation(a) for a in self.attempts if a.action[:2] == ("set", zone)]
        out = [operation(a) for a in self.attempts if a.action[0] == "read"]
        for name in sorted({a.name for a in self.attempts if a.action[0] == "put"}):
            out.append(merged([a for a in self.attempts if a.name == name]))
        return out


def operation(a: Attempt) -> Operation:
    action = (a.action[0], *a.action[2:]) if a.action[0] == "set" else a.action
    return Operation(f"{a.name}@{a.invoked / SEC:.3f}", action, a.invoked, a.answered, a.result, a.left)


def merged(attempts: list) -> Operation:
    """A change that is known by its text, sent several times: it is taken once."""
    first, clear = attempts[0], [a for a in attempts if a.result is not None]
    refused = [a for a in clear if a.result == "refused"]
    if refused:
        return operation(refused[0])
    answered = min((a.answered for a in clear), default=None)
    left = None if clear else max((a.left for a in attempts if a.left is not None), default=None)
    return Operation(first.name, first.action, first.invoked, answered, "ok" if clear else None, left)


class Session:
    """An operator: one call after another, each sent until it is clear or given up."""

    def __init__(self, play, name):
        self.play, self.c, self.name = play, play.c, name
        self.rng = random.Random(f"{name}/{play.c.rng.getrandbits(40)}")
        self.n, self.number, self.mine, self.busy, self.emptied, self.front = 0, 0, [], False, {}, None

    def next(self):
        if not self.play.open:
            return
        self.n, self.busy = self.n + 1, True
        name, kind = f"{self.name}.{self.n}", self.rng.random()
        table = self.play.table_share
        if kind < table / 2:
            self.begin(name, ("read",), "", ("read",))
        elif kind < table and self.mine and self.rng.random() < 0.3:  # an old one, long acknowledged
            change = self.rng.choice(self.mine)
            self.begin(change[0], change[1], change[0], self.table_op(change[1]))
        elif kind < table:
            number = self.number + self.rng.randint(1, 3)
            action = ("put", self.number, number, f"{number}/{name}")
            self.begin(name, action, name, self.table_op(action))
        else:
            zone = self.rng.choice(self.play.zones)
            on = self.emptied[zone] = not self.emptied.get(zone, self.rng.random() < 0.5)  # what it wants next, in turn
            self.begin(name, ("set", zone, on), "", ("evac", zone, on))

    def table_op(self, action):
        _, base, number, text = action
        return ("table", base, number, dict(RAW, number=number), text)

    def begin(self, name, action, change, op):
        until = self.c.now + SEC * self.rng.uniform(*PATIENCE)
        self.attempt(name, action, change, op, until, SEC * 0.1)

    def attempt(self, name, action, change, op, until, pause):
        """At some front-end. An evacuation has no id of its own: each front-end mints one."""
        a = Attempt(name, action, self.c.now)
        self.play.history.attempts.append(a)
        call_id = f"{name}:{self.rng.getrandbits(40):x}"
        self.front = front = self.rng.choice([f for f in self.play.fronts if f is not self.front])  # it goes on to another
        over = []

        def told(code, fields):
            if over:
                return
            over.append(True)
            a.answered = self.c.now
            if code == 100 and action[0] == "read":
                a.result = fields["source"]
            else:
                a.result = CLEAR.get(code)
            if a.result is None:
                a.answered, a.left = None, self.c.now
                return again()
            self.clear(a, fields)

        def silent():
            if not over:
                over.append(True)
                a.left = self.c.now
                front.leave(call_id)
                again()

        def again():
            if self.c.now < until:
                self.c.after(pause * (0.5 + self.rng.random()), self.attempt, name, action, change, op, until, pause * 2)
            else:
                self.done()

        self.c.after(front.near(), front.call, call_id, change or call_id, op, told)
        self.c.after(SILENCE, silent)

    def clear(self, a, fields):
        if a.result == "ok":
            self.c.acks.append(self.c.now)
        match a.action, a.result:
            case ("read",), text:
                self.number = int(text.split("/")[0]) if text else 0
            case ("put", _, number, _), "ok":
                self.number = max(self.number, number)
                self.mine.append((a.name, a.action))
            case ("put", *_), "refused":
                self.number = int(fields["detail"].rsplit(" ", 1)[1])
        self.done()

    def done(self):
        self.busy = False
        self.c.after(SEC * self.play.pace * self.rng.random(), self.next)


class Play:
    """Cores that serve, front-ends, sessions; after each round all falls quiet and is read."""

    def __init__(self, *, seed, sessions=8, fronts=3, trouble=None, table_share=0.5, zones=ZONES, pace=1.0, **kw):
        self.c, self.history, self.open = Council(seed=seed, **kw), History(), False
        self.c.may_change = False
        self.trouble, self.table_share, self.zones, self.pace = trouble or Trouble(), table_share, zones, pace
        self.fronts = [FrontEnd(self.c, f"front{i}", self.trouble) for i in range(fronts)]
        self.sessions = [Session(self, f"op{i}") for i in range(sessions)]
        if self.c.run(30, until=self.c.sound) is None:
            self.c.bad("not-formed", self.c.view())
        self.first()
        self.turn()
        self.watch()

    def turn(self):
        """Another front-end is in trouble."""
        for f in self.fronts:
            f.troubled = False
        self.c.rng.choice(self.fronts).troubled = True
        self.c.after(SEC * self.trouble.turn * (0.5 + self.c.rng.random()), self.turn)

    def watch(self):
        """Often: what control acknowledges of the zones. A primary that is open shows all that was ever acknowledged."""
        if self.c.sound():
            shown = self.c.cores[self.c.primary()].state.shown_items
            for zone in self.zones:
                self.saw("seen", zone, bool(shown.get(f"evac/{zone}", (None, False))[1]))
        self.c.after(SEC * 0.1, self.watch)

    def saw(self, name, zone, emptied):
        self.history.attempts.append(Attempt(name, ("set", zone, "read"), self.c.now, self.c.now, emptied))

    def first(self):
        """The first configuration, so that the zones are known."""
        s, number = self.sessions[0], 1
        self.open = True
        action = ("put", 0, number, f"{number}/first")
        s.begin("first", action, "first", s.table_op(action))
        self.c.run(20, until=lambda: any(a.result for a in self.history.attempts))
        for x in self.sessions[1:]:
            x.number = number
            x.done()

    def resume(self):
        self.open = True
        for s in self.sessions:
            if not s.busy:
                s.next()

    def round(self, secs, meanwhile=lambda: None):
        self.resume()
        self.c.run(secs / 2)
        meanwhile()
        self.c.run(secs / 2)
        self.quiet()

    def freeze_one(self):
        front = self.c.rng.choice(self.fronts)
        self.c.after(SEC * self.c.rng.random(), front.freeze, True)
        self.c.after(SEC * (1 + 3 * self.c.rng.random()), front.freeze, False)

    def quiet(self):
        """No new calls; all that was held up arrives; then the state is read."""
        self.open = False
        self.c.run(12)
        if self.c.run(30, until=lambda: self.c.sound() and not any(s.busy for s in self.sessions)) is None:
            return self.c.bad("not-whole", self.c.view(), [s.name for s in self.sessions if s.busy])
        self.c.run(2)
        store = self.c.cores[self.c.primary()].disk.data["book"]
        for zone in ZONES:
            self.saw("end", zone, bool(store.get(f"evac/{zone}", (None, False))[1]))
        text = store.get("source", (None, ""))[1]
        self.history.attempts.append(Attempt("end", ("read",), self.c.now, self.c.now, text))
        return self.c.run(0.1)

    def verdicts(self) -> dict[str, Verdict]:
        out = {"table": check_history(self.history.of(table=True), Table())}
        for zone in ZONES:
            ops = self.history.of(table=False, zone=zone)
            ops = [o._replace(action=("read",)) if o.action == ("set", "read") else o for o in ops]
            out[zone] = check_history(ops, Zone())
        return out

    def broken(self) -> list:
        """What was broken, in words: by the cores' own oracle, by answers that clash, by histories that fit no order."""
        out = [str(f) for f in self.c.faults]
        answers = {}
        for a in self.history.attempts:
            if a.action[0] == "put" and a.result:
                answers.setdefault(a.name, set()).add(a.result)
        out += [f"both acknowledged and refused: {name}" for name, results in answers.items() if len(results) > 1]
        out += [f"no order fits {what}: {v.stuck}" for what, v in self.verdicts().items() if v.order is None]
        return out


def played(*, seed, rounds=3, secs=5.0, meanwhile=None, **kw) -> Play:
    """meanwhile: trouble with the cores in the midst of each round, given the council; it returns what ends it."""
    p = Play(seed=seed, **kw)
    for _ in range(rounds):
        ends = []

        def trouble(ends=ends):
            p.freeze_one()
            if meanwhile:
                ends.append(meanwhile(p.c))
                p.c.after(SEC * 2, lambda: [end() for end in ends])

        p.round(secs, trouble)
    return p
