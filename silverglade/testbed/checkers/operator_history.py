"""What operators of real daemons saw, and whether it can be right (design 10.4, 10.6). No processes here.

A change is known by its id: its attempts, at whichever daemons, are one operation. Reads come from what a daemon holds, which
may be old by the bound on news, or older at a daemon that was cut off or stopped; they are given that much room before they
are placed by linearizable.py.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple

from .linearizability import Operation, Verdict, Zone, judged

IN_FORCE_S = 3.0  # an acknowledged change is held wherever control can be reached
WORK_ENDS_S = 5.0  # the last new work in an emptied zone, also by a daemon that is cut off
ALWAYS, NEVER = float("-inf"), float("inf")
NO_VERSION = (0, 0)
ANY_TURN = None  # of a call without a version: without a clear answer, or refused
MOST_STATES = 200_000


class Configuration(NamedTuple):
    """The configuration in force, by its mark: a change is taken on the one that it names."""

    mark: Any

    def after(self, action, result):
        """-> the state behind this call, or None where its answer would be wrong."""
        match action, result:
            case ("read",), mark:
                return self if mark == self.mark else None
            case ("put", base, mark), "ok" | None:
                return Configuration(mark) if base == self.mark else None
            case ("put", base, _), "refused":
                return self if base != self.mark else None
        return None


class InTurn(NamedTuple):
    """An object whose settled calls have versions, and so one order: `turn` is the place of the next of them."""

    held: Any  # the object's state
    turn: int = 0

    def after(self, action, result):
        turn, *inner = action
        if turn not in (ANY_TURN, self.turn):
            return None
        held = self.held.after(tuple(inner), result)
        return None if held is None else InTurn(held, self.turn + (turn is not ANY_TURN))


@dataclass(slots=True)
class Attempt:
    """A change sent to one daemon. `result`: "ok", "refused", "not run", or None while nothing clear is known."""

    change: str
    daemon: str
    action: tuple  # ("put", mark of the base, mark) or ("set", zone, emptied)
    invoked: float
    answered: float | None = None
    result: str | None = None
    version: tuple = NO_VERSION
    given_up: float | None = None


@dataclass(slots=True)
class Reading:
    """What one daemon said that it holds. `clear_since`: from when on it could reach control without a break."""

    daemon: str
    invoked: float
    answered: float
    news: tuple | None  # the version of all that it holds, if it said so
    config: tuple  # the version of its configuration
    mark: Any = None  # of its configuration, if that was read
    emptied: frozenset | None = None
    clear_since: float = ALWAYS

    @property
    def earliest(self):
        """The earliest moment of which this may be the state."""
        fresh_from = self.invoked - IN_FORCE_S
        return fresh_from if fresh_from >= self.clear_since else ALWAYS


@dataclass(slots=True)
class Change:
    """All attempts of one change."""

    attempts: list[Attempt]

    @property
    def action(self):
        return self.attempts[0].action

    @property
    def name(self):
        return self.attempts[0].change

    @property
    def invoked(self):
        return min(a.invoked for a in self.attempts)

    def answers(self, result):
        return [a for a in self.attempts if a.result == result]

    @property
    def acknowledged(self):
        return min((a.answered for a in self.answers("ok")), default=None)

    @property
    def version(self):
        return min((a.version for a in self.answers("ok")), default=None)

    def operation(self, start: float) -> Operation | None:
        """None if every daemon said that it was not run."""
        clear = self.answers("refused") or self.answers("ok")
        unclear = self.answers(None)
        if not clear and not unclear:
            return None
        action = self.action if self.action[0] == "put" else ("set", self.action[2])
        if clear:
            return Operation(self.name, action, moment(self.invoked, start), moment(min(a.answered for a in clear), start), clear[0].result)
        waits = [a.given_up for a in unclear]
        given_up = None if None in waits else moment(max(waits), start)
        return Operation(self.name, action, moment(self.invoked, start), None, None, given_up)


def moment(at: float, start: float) -> timedelta:
    return timedelta(seconds=max(at - start, 0.0))


@dataclass(slots=True)
class CallHistory:
    start: float
    mark: Any  # of the configuration in force at the start
    zones: tuple[str, ...]
    attempts: list[Attempt] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)

    def changes(self) -> list[Change]:
        by_id: dict[str, list[Attempt]] = {}
        for a in self.attempts:
            by_id.setdefault(a.change, []).append(a)
        return [Change(attempts) for attempts in by_id.values()]

    def acknowledged(self) -> list[Change]:
        return sorted((c for c in self.changes() if c.acknowledged is not None), key=lambda c: c.acknowledged)

    def broken(self) -> list[tuple[str, str]]:
        """What cannot be right: (rule, detail)."""
        return [*self.clashes(), *self.shared_versions(), *self.versions_out_of_turn(), *self.old_readings(), *self.unplaced()]

    def clashes(self):
        for c in self.changes():
            if c.answers("ok") and c.answers("refused"):
                yield "both acknowledged and refused", c.name
            if len({a.version for a in c.answers("ok")}) > 1:
                yield "acknowledged under two versions", f"{c.name}: {sorted({a.version for a in c.answers('ok')})}"

    def shared_versions(self):
        first: dict[tuple, str] = {}
        for c in self.acknowledged():
            if first.setdefault(c.version, c.name) != c.name:
                yield "two changes under one version", f"{c.version}: {first[c.version]}, {c.name}"

    def versions_out_of_turn(self):
        """A change that was made after another was acknowledged has the higher version."""
        done = self.acknowledged()
        for c in done:
            before = max((b for b in done if b.acknowledged < c.invoked), key=lambda b: b.version, default=None)
            if before and before.version > c.version:
                yield "versions against the acknowledgements", f"{before.name} {before.version}, then {c.name} {c.version}"

    def old_readings(self):
        for of_all in (True, False):
            yield from self.slipped_back(of_all)
            yield from self.late_news(of_all)

    def versions_read(self, of_all: bool) -> list[tuple[Reading, tuple]]:
        """Each reading with the version of all that its daemon held, or of its configuration; those that did not say it are left out."""
        by_time = sorted(self.readings, key=lambda r: r.invoked)
        return [(r, held) for r in by_time if (held := r.news if of_all else r.config) is not None]

    def slipped_back(self, of_all):
        """A daemon that was read twice, one time after the other, holds no less the second time."""
        newest: dict[str, list[tuple[float, tuple]]] = {}
        for r, held in self.versions_read(of_all):
            before = newest.setdefault(r.daemon, [])
            was = max((v for answered, v in before if answered < r.invoked), default=NO_VERSION)
            if held < was:
                yield "went back", f"{r.daemon}: {was}, then {held}"
            before.append((r.answered, held))

    def late_news(self, of_all):
        done = [c for c in self.acknowledged() if of_all or c.action[0] == "put"]
        for r, held in self.versions_read(of_all):
            told = [c for c in done if max(r.clear_since, c.acknowledged) <= r.invoked - IN_FORCE_S and held < c.version]
            if told:
                c = told[0]
                late = r.invoked - max(r.clear_since, c.acknowledged)
                yield "not in force in time", f"{r.daemon} holds {held}, not {c.name} {c.version} after {late:.1f} s"

    def unplaced(self):
        for what, operations, start in self.objects():
            try:
                verdict = judged(operations, start, MOST_STATES)
            except RuntimeError as e:
                yield "not judged", f"{what}: {e}"
                continue
            if verdict.order is None:
                yield "no order fits", f"{what}: {stuck(verdict)}"

    def objects(self):
        """Each with its operations, and its state at the start."""
        reads = [(r.config, self.read(r, i, r.mark)) for i, r in enumerate(self.readings) if r.mark is not None]
        yield "the configuration", self.in_turn(lambda action: action[0] == "put", reads), InTurn(Configuration(self.mark))
        for zone in self.zones:
            reads = [(r.news, self.read(r, i, zone in r.emptied)) for i, r in enumerate(self.readings) if r.emptied is not None]
            yield zone, self.in_turn(lambda action, zone=zone: action[:2] == ("set", zone), reads), InTurn(Zone())

    def in_turn(self, which, reads) -> list[Operation]:
        """The operations of one object: a change that was acknowledged, and behind it the reads of its version."""
        known, free = [((version, True, o.answered, o.name), o) for version, o in reads], []
        for c in self.changes():
            o = c.operation(self.start) if which(c.action) else None
            if o and o.result == "ok":
                known.append(((c.version, False, o.answered, o.name), o))
            elif o:
                free.append(o._replace(action=(ANY_TURN, *o.action)))
        known.sort()
        return [*free, *(o._replace(action=(turn, *o.action)) for turn, (_, o) in enumerate(known))]

    def read(self, r: Reading, number: int, shown) -> Operation:
        name = f"read {number} at {r.daemon}"
        return Operation(name, ("read",), moment(r.earliest, self.start), moment(r.answered, self.start), shown)

    def emptied_spans(self, zone: str) -> list[tuple[float, float]]:
        """(acknowledged, until another call about it was made): it was surely emptied then."""
        changes = [c for c in self.changes() if c.action[:2] == ("set", zone)]
        out = []
        for c in changes:
            if c.acknowledged is None or not c.action[2]:
                continue
            others = [o for o in changes if o.action[2] is False]
            if any(o.invoked < c.acknowledged and (o.acknowledged or NEVER) > c.invoked for o in others if o.operation(self.start)):
                continue  # one that was under way may stand behind it
            out.append((c.acknowledged, min((o.invoked for o in others if o.invoked >= c.acknowledged), default=NEVER)))
        return out

    def late_work(self, began: list[tuple[float, str]]) -> list[tuple[str, str]]:
        """began: when each run began, and its zone."""
        return [
            ("work in an emptied zone", f"{zone}: {at - since:.1f} s after its acknowledgement")
            for zone in self.zones
            for since, until in self.emptied_spans(zone)
            for at, where in began
            if where == zone and since + WORK_ENDS_S < at < until
        ]

    def longest_silence(self, since: float, until: float) -> float:
        """The longest time in between without a change that was acknowledged."""
        at = [since, *(c.acknowledged for c in self.acknowledged() if since < c.acknowledged < until), until]
        return max(b - a for a, b in zip(at, at[1:]))


def stuck(verdict: Verdict) -> str:
    return "; ".join(f"{o.name} {o.action} -> {o.result} [{o.invoked}, {o.answered}]" for o in verdict.stuck)
