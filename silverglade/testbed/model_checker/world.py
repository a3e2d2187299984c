"""All cores together: their parts, disks, messages in flight, and what was told. One action at a time."""

from collections import Counter, deque
from hashlib import blake2b

import ormsgpack

from ...runtime.effects import milliseconds
from . import invariants
from .machine import Machine, Origin
from .records import (
    ATTEMPTS,
    BUDGETS,
    DAEMON,
    MOST_BEATS,
    OPERATOR,
    Answer,
    InapplicableError,
    Interned,
    Learnt,
    Letter,
    Message,
    News,
    Node,
    Opened,
    State,
    Write,
)


class World:
    """What all explorations of one scenario share."""

    def __init__(self, scenario):
        self.s = scenario
        self.names = tuple(sorted(scenario.places))
        self.machine = Machine(
            opt=scenario.opt, tolerance=scenario.tolerance, places=scenario.places, formers=scenario.formers, compact=self.compact
        )
        self.node, self.message, self.history, self.writes = Interned(), Interned(), Interned(), {}
        self.bodies, self.batches, self.digests = {}, [], {}
        self.roll = tuple((n, "1", 1, 0, *scenario.places[n], "", "", True, "ready", (), ()) for n in self.names)

    def batch(self, writes):
        key = ormsgpack.packb(writes)
        if key not in self.writes:
            self.writes[key] = len(self.batches)
            self.batches.append(writes)
        return self.writes[key]

    def posted(self, sender, to, body):
        """The number of a message."""
        packed = ormsgpack.packb(body, option=ormsgpack.OPT_SORT_KEYS)
        digest = self.digests.get(packed)
        if digest is None:
            digest = self.digests[packed] = blake2b(packed, digest_size=5).hexdigest()
        m = Message(sender, to, body[0], digest)
        i = self.message.number(m)
        self.bodies[i] = body
        return i

    def compact(self, name, effects):
        """Effects of a core as the model keeps them; what does not matter to it is left out."""
        return tuple(c for c in (self.one(name, e) for e in effects) if c is not None)

    def one(self, name, effect):
        match effect:
            case ("send", to, ("opr", attempt, answer)) if to == OPERATOR:
                return Answer(attempt, answer)
            case ("send", to, body) if to in self.s.places:
                return Letter(to, self.posted(name, to, body), body[0] == "hb")
            case ("disk", token, writes):
                return Write(token, self.batch(writes))
            case ("post", "membership", ("extra", "view", (epoch, primary, *backups))):
                return Learnt(epoch, (primary, *backups))
            case ("log", "primary-open", ((_, epoch),)):
                return Opened(epoch)
            case ("post", "core_table", ("answer", _, ("news", _, version, items, age, _), _)):
                config = next((x for k, _, x in items if k == "config"), None) or {}
                return News(version, config.get("number", 0), age)
        return None

    def empty(self):
        """Every core of the first view about to start on an empty disk."""
        nothing = self.machine.disk({})
        nodes = tuple(self.node.number(Node(-1, 0, f"{n}1", nothing)) for n in self.names)
        return State(0, nodes, (), (), (), self.history.number(invariants.History()), (0,) * len(BUDGETS), 0)

    def opened_by(self, state):
        """The core that has opened the newest view that any core says it knows; "" while it is not open."""
        nodes = [(self.node[i], n) for n, i in zip(self.names, state.nodes)]
        newest = max(x.epoch for x, _ in nodes)
        return next((n for x, n in nodes if x.state >= 0 and x.opened == newest > 0), "")

    def apply(self, state, action):
        """-> (state after it, breach or None). Raises InapplicableError."""
        move = Move(self, state)
        getattr(move, type(action).__name__.lower())(*action)
        return move.result(), move.breach


class Move:
    """One action under way: the state, open for changes."""

    def __init__(self, world, state):
        self.w, self.m = world, world.machine
        self.tick_now = state.tick
        self.nodes = {n: world.node[i] for n, i in zip(world.names, state.nodes)}
        self.flight, self.late, self.cuts = set(state.flight), set(state.late), set(state.cuts)
        self.past = world.history[state.history]
        self.spent = list(state.spent)
        self.breach, self.beats, self.touched = None, deque(), 0

    def result(self):
        w = self.w
        return State(
            self.tick_now,
            tuple(w.node.number(self.nodes[n]) for n in w.names),
            tuple(sorted(self.flight)),
            tuple(sorted(self.late, key=str)),
            tuple(sorted(self.cuts)),
            w.history.number(self.past),
            tuple(self.spent),
            self.touched,
        )

    def spend(self, budget):
        self.spent[BUDGETS.index(budget)] += 1

    def change(self, name, **fields):
        self.nodes[name] = self.nodes[name]._replace(**fields)

    def runs(self, name):
        x = self.nodes.get(name)
        return x is not None and x.state >= 0 and x.frozen < 0

    def need(self, true):
        if not true:
            raise InapplicableError

    @property
    def now(self):
        return self.w.s.beat * self.tick_now

    # events
    def feed(self, name, event, mark=None):
        """An event to a core, and everything that comes of it at once."""
        x = self.nodes[name]
        self.touched |= 1 << self.w.names.index(name)
        number, effects = self.m.step(x.state, self.now, event, mark)
        changed, self.nodes[name] = number != x.state or effects, x._replace(state=number)
        for effect in effects:
            match effect:
                case Letter(to, _, True):
                    self.beats.append((name, effect))
                case Letter(to, i, _):
                    if self.nodes[to].state >= 0 and (name, to) not in self.cuts:
                        self.flight.add(i)
                case Answer(attempt, answer):
                    call = self.w.s.calls[attempt // ATTEMPTS]
                    self.judge(invariants.answered(self.past, call, attempt, answer, name, self.nodes[name].epoch, self.tick_now))
                case Write():
                    self.change(name, queue=(*self.nodes[name].queue, effect))
                case Learnt(epoch, members):
                    self.change(name, epoch=epoch)
                    self.judge(invariants.learnt(self.past, epoch, members))
                case Opened(epoch):
                    self.change(name, opened=epoch)
                    self.judge(invariants.opened(self.past, name, epoch, self.reads(name)))
        if changed:
            news = self.tells(name)
            if news is not None:
                self.judge(invariants.told(self.past, name, x.life, news))

    def judge(self, verdict):
        self.past, breach = verdict
        self.breach = self.breach or breach

    def tells(self, name):
        """What a daemon that asked this core now would be told."""
        event = ("msg", DAEMON, ("get", 0, (0, 0), None))
        for effect in self.m.asked(self.nodes[name].state, self.now, event):
            if type(effect) is News:
                version, number, age = effect
                return invariants.Told(version, number, None if age < 0 else self.tick_now - milliseconds(age) / self.w.s.beat)
        return None

    def reads(self, name):
        """The text that a read of this primary would show, or None where it would not answer."""
        event = ("msg", OPERATOR, ("op", 0, "", ("read",), ""))
        for effect in self.m.read(self.nodes[name].state, self.now, event):
            match effect:
                case Answer(0, ("ok", _, text)):
                    return text
        return None

    def settle(self):
        """Heartbeats pass at once between cores that are not cut off; before a frozen one the last of each waits."""
        passed = Counter()
        while self.beats:
            sender, (to, i, _) = self.beats.popleft()
            passed[sender, to] += 1
            if (sender, to) in self.cuts or passed[sender, to] > MOST_BEATS:
                continue
            if self.runs(to):
                self.feed(to, ("msg", sender, self.w.bodies[i]), i)
            elif self.nodes[to].state >= 0:
                self.flight -= {j for j in self.flight if self.w.message[j][:3] == (sender, to, "hb")}
                self.flight.add(i)

    # actions
    def message(self, *what):
        i = self.w.message.numbers.get(Message(*what))
        self.need(i in self.flight)
        return i

    def deliver(self, sender, to, kind, digest, again):
        i = self.message(sender, to, kind, digest)
        self.need(self.runs(to))
        self.late.discard(i)
        if again:
            self.spend("repeats")
            self.late.add(i)
        else:
            self.flight.discard(i)
        self.feed(to, ("msg", sender, self.w.bodies[i]), i)
        self.settle()

    def hold(self, sender, to, kind, digest):
        i = self.message(sender, to, kind, digest)
        self.need(i not in self.late)
        self.spend("holds")
        self.late.add(i)

    def sync(self, core):
        x = self.nodes[core]
        self.need(self.runs(core) and x.queue)
        self.late.discard(core)
        token, batch = x.queue[0]
        self.change(core, queue=x.queue[1:], data=self.m.written(x.data, self.w.batches[batch]))
        self.feed(core, ("disk", token, True, None))
        self.settle()

    def stall(self, core):
        self.need(self.nodes[core].queue and core not in self.late)
        self.spend("holds")
        self.late.add(core)

    def down(self, core, kept):
        x = self.nodes[core]
        self.need(x.state >= 0)
        data = x.data
        for _, batch in x.queue[:kept]:
            data = self.m.written(data, self.w.batches[batch])
        self.late.discard(core)
        self.flight = {i for i in self.flight if self.w.message[i].to != core}
        self.late &= self.flight | set(self.w.names)
        self.nodes[core] = Node(-1, x.life, x.disk, data)

    def crash(self, core, kept):
        self.need(kept <= len(self.nodes[core].queue))
        self.spend("crashes")
        self.down(core, kept)

    def wipe(self, core):
        self.spend("losses")
        if self.nodes[core].state >= 0:
            self.down(core, 0)
        self.change(core, disk=f"{core}{int(self.nodes[core].disk[len(core) :]) + 1}", data=self.m.disk({}))

    def start(self, core):
        x = self.nodes[core]
        self.need(x.state < 0)
        first = x.life == 0 and core in self.w.s.formers
        origin = Origin(core, x.life + 1, x.disk, x.data, first)
        self.nodes[core] = Node(self.m.boot(origin), x.life + 1, x.disk, x.data)
        self.feed(core, ("roll", self.w.roll))
        self.feed(core, ("pulse",))
        self.settle()

    def cut(self, core, peer, way):
        self.spend("cuts")
        for n in self.w.names:
            if n != core and peer in ("", n):
                self.cuts |= ({(n, core)} if way != "out" else set()) | ({(core, n)} if way != "in" else set())

    def heal(self, core):
        self.need(any(core in pair for pair in self.cuts))
        self.cuts = {pair for pair in self.cuts if core not in pair}

    def freeze(self, core):
        self.need(self.runs(core))
        self.spend("freezes")
        self.change(core, frozen=self.tick_now)

    def thaw(self, core):
        x = self.nodes[core]
        self.need(x.state >= 0 and x.frozen >= 0)
        self.change(core, frozen=-1)
        for i in sorted(i for i in self.flight if self.w.message[i].to == core and self.w.message[i].kind == "hb"):
            self.flight.discard(i)
            self.feed(core, ("msg", self.w.message[i].sender, self.w.bodies[i]), i)
        if self.w.s.beat * (self.tick_now - x.frozen) > self.w.s.opt["late"]:
            self.feed(core, ("froze",))
        self.feed(core, ("pulse",))
        self.settle()

    def tick(self, count):
        for _ in range(count):
            self.spend("ticks")
            self.tick_now += 1
            for name in self.w.names:
                if self.runs(name):
                    self.feed(name, ("pulse",))
            self.settle()

    def call(self, call, core):
        self.need(self.runs(core))
        self.spend("calls")
        c = self.w.s.calls[call]
        attempt = call * ATTEMPTS + sum(a // ATTEMPTS == call for a, _ in self.past.floors)
        self.past = invariants.sent(self.past, attempt)
        self.flight.add(self.w.posted(OPERATOR, core, ("op", attempt, c.change, c.op, str(c.op))))
