"""Checks whether a history of operators' calls is linearizable (design 10.6), in the manner of Wing and Gong, with Lowe's cache.

A history is what callers saw: when each call was made, when and how it was answered. It passes if the calls can be put into
one order, such that each one's answer is right at its position, and a call that was answered before another was made stands
before it. A call without a clear answer may stand anywhere after it was made, or nowhere; but once its caller has given it
up, it may not stand behind a change that was made later and acknowledged (the rule of design 5.4, which is more than
linearizability asks).

Objects are checked one by one, as linearizability is local. The two specifications below are all that is known here of what
control does; nothing of its code is used.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple, Protocol

MOST_STATES = 2_000_000
MOST_STUCK = 4  # how many calls that fit nowhere are reported
NEVER = timedelta.max
Action = tuple[Any, ...]  # its kind first: ("read",), ("put", base, ...), ("set", value)


class Operation(NamedTuple):
    """One call.

    :ivar name: of the call, one of its own in the history.
    :ivar action: what was asked for.
    :ivar invoked: when it was made.
    :ivar answered: when it was answered.
    :ivar result: its answer: "ok", "refused", or what was read; None while no clear answer came.
    :ivar given_up: when its caller stopped waiting for an answer.
    """

    name: str
    action: Action
    invoked: timedelta
    answered: timedelta | None = None
    result: Any = None
    given_up: timedelta | None = None

    @property
    def settled(self) -> bool:
        """Whether a clear answer came."""
        return self.result is not None

    @property
    def changes(self) -> bool:
        """Whether it is an acknowledged change."""
        return self.action[0] != "read" and bool(self.result == "ok")

    def answered_before(self, other: Operation) -> bool:
        """Return whether its clear answer came before the other was made."""
        return self.settled and self.answered is not None and self.answered < other.invoked

    def given_up_before(self, other: Operation) -> bool:
        """Return whether its caller gave it up, without a clear answer, before the other was made."""
        return not self.settled and bool(self.given_up and self.given_up < other.invoked)


class Specification(Protocol):
    """The state of an object; hashable."""

    def after(self, action: Action, result: Any) -> Specification | None:
        """Return the state behind this call, or None where its answer would be wrong."""


class Table(NamedTuple):
    """The operator's configuration: a change is taken on the number that it names, and gives another."""

    number: int = 0
    text: str = ""

    def after(self, action: Action, result: Any) -> Table | None:
        """Return the state behind this call, or None where its answer would be wrong."""
        match action, result:
            case ("read",), text:
                return self if text == self.text else None
            case ("put", base, number, text), "ok" | None:
                return Table(number, text) if base == self.number < number else None
            case ("put", base, *_), "refused":
                return self if base != self.number else None
        return None


class Zone(NamedTuple):
    """Whether a zone is drained."""

    emptied: bool = False

    def after(self, action: Action, result: Any) -> Zone | None:
        """Return the state behind this call, or None where its answer would be wrong."""
        match action, result:
            case ("read",), emptied:
                return self if emptied == self.emptied else None
            case ("set", emptied), "ok" | None:
                return Zone(emptied)
        return None


class Verdict(NamedTuple):
    """What a check found.

    :ivar order: names of the calls as they may have happened; None if no order fits.
    :ivar longest: the longest order found.
    :ivar stuck: some calls that fit nowhere behind it.
    :ivar states: how many states were looked at.
    """

    order: tuple[str, ...] | None
    longest: tuple[str, ...]
    stuck: tuple[Operation, ...]
    states: int


def check_history(history: Iterable[Operation], start: Specification, most: int = MOST_STATES) -> Verdict:
    """Look for an order of the calls in which every answer is right.

    :param history: the calls of one object.
    :param start: the object's state before them.
    :param most: states that are looked at.
    :raises RuntimeError: there are more.
    """
    operations = sorted(history, key=lambda operation: (operation.invoked, operation.name))
    bits = [1 << i for i in range(len(operations))]
    settled = _mask(bits, (operation.settled for operation in operations))
    before = [_mask(bits, (other.answered_before(this) for other in operations)) for this in operations]
    # calls that may not stand behind this one
    expired = [_mask(bits, (this.changes and other.given_up_before(this) for other in operations)) for this in operations]
    seen: set[tuple[int, Specification]] = set()
    longest: tuple[str, ...] = ()
    stack: list[tuple[int, Specification, tuple[str, ...]]] = [((1 << len(operations)) - 1, start, ())]
    while stack:
        left, state, order = stack.pop()
        if not left & settled:
            return Verdict(order, order, (), len(seen))
        if (left, state) in seen:
            continue
        seen.add((left, state))
        if len(seen) > most:
            raise RuntimeError(f"a history of {len(operations)} calls is too wide to judge: {most} states")
        longest = max(longest, order, key=len)
        may_be_next = [i for i in range(len(operations)) if left & bits[i] and not left & before[i]]
        for i in reversed(_useful(operations, may_be_next, state)):
            after = state.after(operations[i].action, operations[i].result)
            if after is not None:
                stack.append((left & ~bits[i] & ~expired[i], after, (*order, operations[i].name)))
    stuck = tuple(operation for operation in operations if operation.settled and operation.name not in longest)
    return Verdict(None, longest, stuck[:MOST_STUCK], len(seen))


def _useful(operations: list[Operation], may_be_next: list[int], state: Specification) -> list[int]:
    """Leave out calls that cannot help to find an order.

    A call without a clear answer need not stand where it changes nothing; and of several that say the same, the one that was
    given up first is as good as any, since the others may stand wherever it may, and later.
    """
    first: dict[Action, int] = {}
    for i in may_be_next:
        operation = operations[i]
        if not operation.settled and state.after(operation.action, None) not in (None, state):
            other = operations[first.setdefault(operation.action, i)]
            if (operation.given_up or NEVER) < (other.given_up or NEVER):
                first[operation.action] = i
    return [i for i in may_be_next if operations[i].settled or first.get(operations[i].action) == i]


def _mask(bits: list[int], flags: Iterable[bool]) -> int:
    return sum(bit for bit, flag in zip(bits, flags) if flag)
