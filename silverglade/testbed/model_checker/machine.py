"""The real control part as a machine of states that can be kept, compared and gone on from.

States of one core are interned as small numbers: two of the same fingerprint are one state. Each step of each state is
played once and then remembered, which is what makes exploring cheap: there are far fewer states of one core than of all
together.
"""

import copy
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

import ormsgpack

from ...control import core as control
from ...control.state_copy import SHARED_FIELD, canonical_form, mutable_fields

Event = tuple[Any, ...]
Effects = tuple[Any, ...]


DRAWS = 1000  # random numbers of one life, at most
APART = 1_000_000  # two of them are never nearer than this: some are counted on from, in milliseconds


class Origin(NamedTuple):
    """What a core starts from."""

    name: str
    life: int
    disk: str
    saved: int  # number of the disk's contents
    first: bool


class Draws:
    """Random numbers of one life of one core: nonces that never repeat, and a delay that is the core's own."""

    def __init__(self, *, salt: int, delay: float, count: int = 0) -> None:
        self.salt, self.delay, self.count = salt, delay, count

    def getrandbits(self, _: int) -> int:
        """A nonce."""
        self.count += 1
        return (self.salt * DRAWS + self.count) * APART

    def random(self) -> float:
        """A share of a delay."""
        return self.delay

    def getstate(self) -> tuple[int, int]:
        """What the next numbers depend on."""
        return self.salt, self.count

    def __deepcopy__(self, memo: dict[int, Any]) -> "Draws":
        return Draws(salt=self.salt, delay=self.delay, count=self.count)


def first_of(row: tuple[Any, ...]) -> Any:
    """What rows of a map are sorted by."""
    return row[0]


class Machine:
    """All states of the control part that were met, under one set of options.

    compact: turns the effects of a step into what the model keeps of them.
    """

    def __init__(
        self,
        *,
        opt: Mapping[str, Any],
        tolerance: tuple[int, int, int],
        places: Mapping[str, tuple[str, str]],
        formers: tuple[str, ...],
        compact: Callable[[str, Effects], Effects],
    ) -> None:
        self.opt, self.tolerance, self.places, self.formers, self.compact = opt, tolerance, places, formers, compact
        self.disks: list[dict[str, dict[str, Any]]] = []
        self.disk_numbers: dict[bytes, int] = {}
        self.parts: list[tuple[Origin, Any]] = []
        self.numbers: dict[tuple[Origin, Any, Any], int] = {}
        self.texts: dict[int, tuple[Any, str]] = {}  # by id, with the value, so that the id stays its own
        self.steps: dict[tuple[int, timedelta, Any], tuple[int, Effects]] = {}
        self.answers: dict[tuple[int, timedelta], Effects] = {}

    def disk(self, tables: dict[str, dict[str, Any]]) -> int:
        """The number of a disk's contents."""
        rows = [(t, sorted(rows.items())) for t, rows in sorted(tables.items())]
        key = ormsgpack.packb(rows, option=ormsgpack.OPT_SORT_KEYS)
        if key not in self.disk_numbers:
            self.disk_numbers[key] = len(self.disks)
            self.disks.append(tables)
        return self.disk_numbers[key]

    def written(self, number: int, writes: Effects) -> int:
        """The number of the contents once `writes` are on the disk."""
        tables = {t: dict(rows) for t, rows in self.disks[number].items()}
        for write in writes:
            match write:
                case ("put", t, k, v):
                    tables.setdefault(t, {})[k] = v
                case ("del", t, k):
                    tables.get(t, {}).pop(k, None)
                case ("wipe", t):
                    tables[t] = {}
        return self.disk(tables)

    def boot(self, origin: Origin) -> int:
        """The number of a core that has just started."""
        names = sorted(self.places)
        rank = names.index(origin.name)
        part = control.control_component(
            name=origin.name,
            disk=origin.disk,
            cores=self.formers,
            saved={t: dict(rows) for t, rows in self.disks[origin.saved].items()},
            tuning=self.opt,
            rng=Draws(salt=(rank + 1) * 100 + origin.life, delay=(rank + 0.5) / len(names)),
            place=self.places[origin.name],
            tolerance=self.tolerance,
            first=origin.first,
        )
        return self.number(origin, part.machine)

    def number(self, origin: Origin, part: Any) -> int:
        """The number of a core's state; two of the same fingerprint are one."""
        key = (origin, self.mark(part.state), part.rng.getstate())
        number = self.numbers.get(key)
        if number is None:
            number = self.numbers[key] = len(self.parts)
            self.parts.append((origin, part))
        return number

    def mark(self, value: Any) -> Any:
        """A value in a form that is hashable and compares by contents: exact, and quicker than a digest."""
        kind = type(value)
        if kind is dict:
            return tuple(sorted([(k, self.mark(v)) for k, v in value.items()], key=first_of))
        if kind is set:
            return frozenset(value)
        if kind is list:
            return tuple(map(self.mark, value))
        names = mutable_fields(kind)
        if names:
            return tuple([self.mark(getattr(value, name)) for name in names if name != SHARED_FIELD])
        try:
            hash(value)
        except TypeError:  # it holds a dictionary; values are shared by all copies, so each is written out once
            held = self.texts.get(id(value))
            if held is None:
                held = self.texts[id(value)] = value, repr(canonical_form(value))
            return held[1]
        return value

    def play(self, number: int, now: timedelta, event: Event) -> tuple[Origin, Any, Effects]:
        """One event to a copy, with what the core posts and sends to itself -> (its origin, the copy, what leaves it)."""
        origin, held = self.parts[number]
        part, todo, out = copy.deepcopy(held), [event], []
        while todo:
            for effect in control.ControlComponent(part).send((now, todo.pop(0))):
                match effect:
                    case ("send", to, body) if to == origin.name:
                        todo.append(("msg", to, body))
                    case ("post", "control", posted):
                        todo.append(posted)
                    case _:
                        out.append(effect)
        return origin, part, self.compact(origin.name, tuple(out))

    def step(self, number: int, now: timedelta, event: Event, mark: Any = None) -> tuple[int, Effects]:
        """-> (number of the state after it, effects that leave the core). mark: what stands for the event."""
        key = (number, now, event if mark is None else mark)
        known = self.steps.get(key)
        if known is None:
            origin, part, effects = self.play(number, now, event)
            known = self.steps[key] = self.number(origin, part), effects
        return known

    def asked(self, number: int, now: timedelta, event: Event) -> Effects:
        """The effects of a question, asked of a copy that is then let go."""
        key = (number, now)
        effects = self.answers.get(key)
        if effects is None:
            effects = self.answers[key] = self.play(number, now, event)[2]
        return effects

    def read(self, number: int, now: timedelta, event: Event) -> Effects:
        """The effects of an operator's read, asked of a copy, when every backup confirms it at once."""
        origin, held = self.parts[number]
        part, out = copy.deepcopy(held), []
        shell = control.ControlComponent(part)
        questions = shell.send((now, event))
        for effect in questions:
            match effect:
                case ("send", backup, ("repl", epoch, nonce, _, _, ())):
                    out += shell.send((now, ("msg", backup, ("repd", epoch, nonce))))
        return self.compact(origin.name, tuple(out))
