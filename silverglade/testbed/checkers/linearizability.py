"""Is a history of operators' calls linearizable (design 10.6)? A checker in the manner of Wing and Gong, with Lowe's memory.

A history is what callers saw: when each call was made, when and how it was answered. It passes if the calls can be put into
one order, such that each one's answer is right at its place, and a call that was answered before another was made stands
before it. A call without a clear answer may stand anywhere after it was made, or nowhere; but once its caller has given it
up, it may not stand behind a change that was made later and acknowledged (the rule of design 5.4, which is more than
linearizability asks).

Objects are judged one by one, as linearizability is local. The two specifications below are all that is known here of what
control does; nothing of its code is used.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple


class Operation(NamedTuple):
    """One call. `result` is None while no clear answer came; `given_up`: when its caller stopped waiting for one."""

    name: str
    action: tuple
    invoked: timedelta
    answered: timedelta | None = None
    result: Any = None
    given_up: timedelta | None = None

    @property
    def settled(self):
        return self.result is not None

    @property
    def changes(self):
        return self.action[0] != "read" and self.result == "ok"


class Table(NamedTuple):
    """The operator's configuration: a change is taken on the number that it names, and gives another."""

    number: int = 0
    text: str = ""

    def after(self, action, result):
        """-> the state behind this call, or None where its answer would be wrong."""
        match action, result:
            case ("read",), text:
                return self if text == self.text else None
            case ("put", base, number, text), "ok" | None:
                return Table(number, text) if base == self.number < number else None
            case ("put", base, *_), "refused":
                return self if base != self.number else None
        return None


class Zone(NamedTuple):
    """Is it emptied?"""

    emptied: bool = False

    def after(self, action, result):
        match action, result:
            case ("read",), emptied:
                return self if emptied == self.emptied else None
            case ("set", emptied), "ok" | None:
                return Zone(emptied)
        return None


class Verdict(NamedTuple):
    """order: names as they may have happened, or None; `stuck`: calls that fit nowhere behind the longest order found."""

    order: tuple | None
    longest: tuple
    stuck: tuple
    states: int


MOST_STATES = 2_000_000
NEVER = timedelta.max


def judged(history, start: Any, most: int = MOST_STATES) -> Verdict:
    """start: the state before the history, of a specification."""
    ops = sorted(history, key=lambda o: (o.invoked, o.name))
    bits = [1 << i for i in range(len(ops))]
    settled = sum(b for b, o in zip(bits, ops) if o.settled)
    before = [mask(bits, ops, lambda q, p=p: q.settled and q.answered < p.invoked) for p in ops]
    expired = [mask(bits, ops, lambda q, p=p: p.changes and not q.settled and q.given_up and q.given_up < p.invoked) for p in ops]
    seen, longest = set(), ()
    stack = [((1 << len(ops)) - 1, start, ())]
    while stack:
        left, state, order = stack.pop()
        if not left & settled:
            return Verdict(order, order, (), len(seen))
        if (left, state) in seen:
            continue
        seen.add((left, state))
        if len(seen) > most:
            raise RuntimeError(f"a history of {len(ops)} calls is too wide to judge: {most} states")
        longest = max(longest, order, key=len)
        may_be_next = [i for i in range(len(ops)) if left & bits[i] and not left & before[i]]
        for i in reversed(worth_trying(ops, may_be_next, state)):
            after = state.after(ops[i].action, ops[i].result)
            if after is not None:
                stack.append((left & ~bits[i] & ~expired[i], after, (*order, ops[i].name)))
    stuck = tuple(o for o in ops if o.settled and o.name not in longest)
    return Verdict(None, longest, stuck[:4], len(seen))


def worth_trying(ops: list[Operation], may_be_next: list[int], state: Any) -> list[int]:
    """Without those that can't help. A call without a clear answer need not stand where it changes nothing; and of several
    that say the same, the one that was given up first is as good as any, since the others may stand wherever it may, and later.
    """
    first: dict[tuple, int] = {}
    for i in may_be_next:
        if not ops[i].settled and state.after(ops[i].action, None) not in (None, state):
            j = first.setdefault(ops[i].action, i)
            if (ops[i].given_up or NEVER) < (ops[j].given_up or NEVER):
                first[ops[i].action] = i
    return [i for i in may_be_next if ops[i].settled or first.get(ops[i].action) == i]


def mask(bits: list[int], ops: list[Operation], which: Callable) -> int:
    return sum(b for b, o in zip(bits, ops) if which(o))
