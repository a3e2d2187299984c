"""What operators of real daemons saw, and whether it can be right (design 10.4, 10.6). No processes here.

A change is known by its id: its attempts, at whichever daemons, are one operation. Reads come from what a daemon holds, which
may be old by the bound on updates, or older at a daemon that was partitioned or stopped; they are given that much room before
they are placed by linearizability.py.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple, Protocol

from .linearizability import Action, Operation, Specification, Verdict, Zone, check_history

IN_FORCE_S = 3.0  # an acknowledged change is held wherever control can be reached
WORK_ENDS_S = 5.0  # the last new work in a drained zone, also by a daemon that is partitioned
ALWAYS, NEVER = float("-inf"), float("inf")
Version = tuple[int, ...]
NO_VERSION: Version = (0, 0)
ANY_TURN = None  # of a call without a version: without a clear answer, or refused
MOST_STATES = 200_000
Breach = tuple[str, str]  # the rule, and what broke it


class Configuration(NamedTuple):
    """The configuration in force, by its mark: a change is taken on the one that it names."""

    mark: Any

    def after(self, action: Action, result: Any) -> Configuration | None:
        """Return the state behind this call, or None where its answer would be wrong."""
        match action, result:
            case ("read",), mark:
                return self if mark == self.mark else None
            case ("put", base, mark), "ok" | None:
                return Configuration(mark) if base == self.mark else None
            case ("put", base, _), "refused":
                return self if base != self.mark else None
        return None


class InTurn(NamedTuple):
    """An object whose settled calls have versions, and so one order.

    :ivar held: the object's state.
    :ivar turn: the position of the next of these calls.
    """

    held: Specification
    turn: int = 0

    def after(self, action: Action, result: Any) -> InTurn | None:
        """Return the state behind this call, or None where it is not its turn or its answer would be wrong."""
        turn, *inner = action
        if turn not in (ANY_TURN, self.turn):
            return None
        held = self.held.after(tuple(inner), result)
        return None if held is None else InTurn(held, self.turn + (turn is not ANY_TURN))


@dataclass(slots=True)
class Attempt:
    """A change sent to one daemon; times are seconds of one clock.

    :ivar change: id of the change.
    :ivar daemon: to which it was sent.
    :ivar action: ("put", mark of the base, mark) or ("set", zone, emptied).
    :ivar invoked: when it was sent.
    :ivar answered: when it was answered.
    :ivar result: "ok", "refused", "not run", or None while nothing clear is known.
    :ivar version: of the change, if it was acknowledged.
    :ivar given_up: when the operator stopped waiting.
    """

    change: str
    daemon: str
    action: Action
    invoked: float
    answered: float | None = None
    result: str | None = None
    version: Version = NO_VERSION
    given_up: float | None = None


@dataclass(slots=True)
class Reading:
    """What one daemon said that it holds; times are seconds of one clock.

    :ivar daemon: which one.
    :ivar invoked: when it was asked.
    :ivar answered: when it answered.
    :ivar news: the version of all that it holds, if it said so.
    :ivar config: the version of its configuration.
    :ivar mark: of its configuration, if that was read.
    :ivar emptied: the drained zones, if those were read.
    :ivar clear_since: from when on it could reach control without a break.
    """

    daemon: str
    invoked: float
    answered: float
    news: Version | None
    config: Version
    mark: Any = None
    emptied: frozenset[str] | None = None
    clear_since: float = ALWAYS

    @property
    def earliest(self) -> float:
        """The earliest moment of which this may be the state."""
        held_from = self.invoked - IN_FORCE_S
        return held_from if held_from >= self.clear_since else ALWAYS

    def version(self, of_all: bool) -> Version | None:
        """Return the version of all that the daemon held, or that of its configuration."""
        return self.news if of_all else self.config

    def operation(self, number: int, shown: object, start: float) -> Operation:
        """Return it as an operation on one object.

        :param number: among the readings.
        :param shown: what it said of the object.
        :param start: of the history, as this clock has it.
        """
        name = f"read {number} at {self.daemon}"
        return Operation(name, ("read",), _since(start, self.earliest), _since(start, self.answered), shown)


@dataclass(slots=True)
class Change:
    """All attempts of one change."""

    attempts: list[Attempt]

    @property
    def action(self) -> Action:
        """What it asks for."""
        return self.attempts[0].action

    @property
    def name(self) -> str:
        """Its id."""
        return self.attempts[0].change

    @property
    def invoked(self) -> float:
        """When it was first sent."""
        return min(attempt.invoked for attempt in self.attempts)

    def with_result(self, result: str | None) -> list[Attempt]:
        """Return the attempts that had this result."""
        return [attempt for attempt in self.attempts if attempt.result == result]

    @property
    def acknowledged(self) -> float | None:
        """When it was first acknowledged."""
        return min((attempt.answered for attempt in self.with_result("ok") if attempt.answered is not None), default=None)

    @property
    def versions(self) -> list[Version]:
        """The versions under which it was acknowledged, in order."""
        return sorted({attempt.version for attempt in self.with_result("ok")})

    def operation(self, start: float) -> Operation | None:
        """Return it as an operation on one object; None if every daemon said that it was not run.

        :param start: of the history, as this clock has it.
        """
        clear = self.with_result("refused") or self.with_result("ok")
        unclear = self.with_result(None)
        if not clear and not unclear:
            return None
        action = self.action if self.action[0] == "put" else ("set", self.action[2])
        invoked = _since(start, self.invoked)
        if clear:
            answered = min(attempt.answered for attempt in clear if attempt.answered is not None)
            return Operation(self.name, action, invoked, _since(start, answered), clear[0].result)
        waits = [attempt.given_up for attempt in unclear]
        over = [wait for wait in waits if wait is not None]
        given_up = _since(start, max(over)) if len(over) == len(waits) else None
        return Operation(self.name, action, invoked, None, None, given_up)


class Acknowledged(NamedTuple):
    """A change that was acknowledged: when first, and the lowest version that was named."""

    change: Change
    at: float
    version: Version

    @property
    def name(self) -> str:
        """Its id."""
        return self.change.name

    @property
    def action(self) -> Action:
        """What it asks for."""
        return self.change.action


class Span(NamedTuple):
    """A time during which a zone was surely drained."""

    since: float
    until: float


class _ReadOperation(NamedTuple):
    """A reading as an operation on one object, with the version that it read."""

    version: Version | None
    operation: Operation


class _Object(NamedTuple):
    """An object with its operations, and its state at the start."""

    name: str
    operations: list[Operation]
    start: InTurn


class _ActionTest(Protocol):
    """Whether an action is one on an object."""

    def __call__(self, action: Action) -> bool:
        """Return whether it is."""


@dataclass(slots=True)
class CallHistory:
    """All that operators did and saw; times are seconds of one clock.

    :ivar start: when it began.
    :ivar mark: of the configuration in force then.
    :ivar zones: that are drained and opened.
    """

    start: float
    mark: Any
    zones: tuple[str, ...]
    attempts: list[Attempt] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)

    def changes(self) -> list[Change]:
        """Return the changes, by their first attempt."""
        by_id: dict[str, list[Attempt]] = {}
        for attempt in self.attempts:
            by_id.setdefault(attempt.change, []).append(attempt)
        return [Change(attempts) for attempts in by_id.values()]

    def acknowledged(self) -> list[Acknowledged]:
        """Return the acknowledged changes, by the time of their acknowledgement."""
        pairs = [(change, change.acknowledged) for change in self.changes()]
        done = [Acknowledged(change, at, change.versions[0]) for change, at in pairs if at is not None]
        return sorted(done, key=lambda acknowledged: acknowledged.at)

    def broken(self) -> list[Breach]:
        """Return what cannot be right."""
        return [*self._clashes(), *self._shared_versions(), *self._versions_out_of_turn(), *self._old_readings(), *self._unplaced()]

    def _clashes(self) -> Iterator[Breach]:
        for change in self.changes():
            if change.with_result("ok") and change.with_result("refused"):
                yield "both acknowledged and refused", change.name
            if len(change.versions) > 1:
                yield "acknowledged under two versions", f"{change.name}: {change.versions}"

    def _shared_versions(self) -> Iterator[Breach]:
        first: dict[Version, str] = {}
        for done in self.acknowledged():
            if first.setdefault(done.version, done.name) != done.name:
                yield "two changes under one version", f"{done.version}: {first[done.version]}, {done.name}"

    def _versions_out_of_turn(self) -> Iterator[Breach]:
        """A change that was made after another was acknowledged has the higher version."""
        every = self.acknowledged()
        for done in every:
            earlier = (other for other in every if other.at < done.change.invoked)
            before = max(earlier, key=lambda other: other.version, default=None)
            if before and before.version > done.version:
                yield "versions against the acknowledgements", f"{before.name} {before.version}, then {done.name} {done.version}"

    def _old_readings(self) -> Iterator[Breach]:
        for of_all in (True, False):
            yield from self._went_back(of_all)
            yield from self._late_updates(of_all)

    def _versions_read(self, of_all: bool) -> list[tuple[Reading, Version]]:
        """Return each reading with the version that its daemon held; those that did not say it are left out."""
        by_time = sorted(self.readings, key=lambda reading: reading.invoked)
        return [(reading, held) for reading in by_time if (held := reading.version(of_all)) is not None]

    def _went_back(self, of_all: bool) -> Iterator[Breach]:
        """A daemon that was read twice, one time after the other, holds no less the second time."""
        earlier: dict[str, list[tuple[float, Version]]] = {}
        for reading, held in self._versions_read(of_all):
            before = earlier.setdefault(reading.daemon, [])
            newest = max((version for answered, version in before if answered < reading.invoked), default=NO_VERSION)
            if held < newest:
                yield "went back", f"{reading.daemon}: {newest}, then {held}"
            before.append((reading.answered, held))

    def _late_updates(self, of_all: bool) -> Iterator[Breach]:
        """A daemon that could reach control for so long holds what was acknowledged before."""
        every = [done for done in self.acknowledged() if of_all or done.action[0] == "put"]
        for reading, held in self._versions_read(of_all):
            in_force_by = reading.invoked - IN_FORCE_S
            missing = [done for done in every if max(reading.clear_since, done.at) <= in_force_by and held < done.version]
            if missing:
                first = missing[0]
                late = reading.invoked - max(reading.clear_since, first.at)
                yield "not in force in time", f"{reading.daemon} holds {held}, not {first.name} {first.version} after {late:.1f} s"

    def _unplaced(self) -> Iterator[Breach]:
        """No order of the calls explains what was answered and read."""
        for checked in self._objects():
            try:
                verdict = check_history(checked.operations, checked.start, MOST_STATES)
            except RuntimeError as error:
                yield "not judged", f"{checked.name}: {error}"
                continue
            if verdict.order is None:
                yield "no order fits", f"{checked.name}: {_describe_stuck(verdict)}"

    def _objects(self) -> Iterator[_Object]:
        numbered = list(enumerate(self.readings))
        reads = [_ReadOperation(r.config, r.operation(i, r.mark, self.start)) for i, r in numbered if r.mark is not None]
        operations = self._in_turn(lambda action: action[0] == "put", reads)
        yield _Object("the configuration", operations, InTurn(Configuration(self.mark)))
        for zone in self.zones:
            reads = [_ReadOperation(r.news, r.operation(i, zone in r.emptied, self.start)) for i, r in numbered if r.emptied is not None]
            operations = self._in_turn(lambda action, zone=zone: action[:2] == ("set", zone), reads)
            yield _Object(zone, operations, InTurn(Zone()))

    def _in_turn(self, concerns: _ActionTest, reads: Iterable[_ReadOperation]) -> list[Operation]:
        """Return the operations of one object: in turn the acknowledged changes, behind each the reads of its version."""
        known = [((read.version, True, read.operation.answered, read.operation.name), read.operation) for read in reads]
        free = []
        for change in self.changes():
            operation = change.operation(self.start) if concerns(change.action) else None
            if operation and operation.result == "ok":
                known.append(((change.versions[0], False, operation.answered, operation.name), operation))
            elif operation:
                free.append(operation._replace(action=(ANY_TURN, *operation.action)))
        known.sort(key=lambda keyed: keyed[0])
        return [*free, *(operation._replace(action=(turn, *operation.action)) for turn, (_, operation) in enumerate(known))]

    def emptied_spans(self, zone: str) -> list[Span]:
        """Return when a zone was surely drained: from an acknowledgement until another call about it was made."""
        changes = [change for change in self.changes() if change.action[:2] == ("set", zone)]
        openings = [change for change in changes if change.action[2] is False]
        spans = []
        for change in changes:
            since = change.acknowledged
            if since is None or not change.action[2]:
                continue
            if any(self._overlaps(opening, change, since) for opening in openings):
                continue  # one that was under way may stand behind it
            spans.append(Span(since, min((opening.invoked for opening in openings if opening.invoked >= since), default=NEVER)))
        return spans

    def _overlaps(self, opening: Change, change: Change, acknowledged: float) -> bool:
        if opening.operation(self.start) is None:
            return False
        return opening.invoked < acknowledged and (opening.acknowledged or NEVER) > change.invoked

    def late_work(self, began: Iterable[tuple[float, str]]) -> list[Breach]:
        """Return the runs in drained zones.

        :param began: when each run began, and its zone.
        """
        runs = list(began)
        return [
            ("work in an emptied zone", f"{zone}: {at - span.since:.1f} s after its acknowledgement")
            for zone in self.zones
            for span in self.emptied_spans(zone)
            for at, where in runs
            if where == zone and span.since + WORK_ENDS_S < at < span.until
        ]

    def longest_silence(self, since: float, until: float) -> float:
        """Return the longest time in between, in seconds, without a change that was acknowledged."""
        times = [since, *(done.at for done in self.acknowledged() if since < done.at < until), until]
        return max(later - earlier for earlier, later in zip(times, times[1:]))


def _since(start: float, at: float) -> timedelta:
    """Return the time since the start of the history; zero before it."""
    return timedelta(seconds=max(at - start, 0.0))


def _describe_stuck(verdict: Verdict) -> str:
    return "; ".join(
        f"{operation.name} {operation.action} -> {operation.result} [{operation.invoked}, {operation.answered}]"
        for operation in verdict.stuck
    )
