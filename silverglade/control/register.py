"""The view register (design 5.2): the sequence of views, each chosen by a majority of witnesses under ballots.

Each epoch is one instance of single-value consensus. A view is chosen by the witnesses of the view before it, its base. A
witness stores the newest base that it knows to be chosen and the view that it has accepted as its successor. A vote counts
only if the base names the voter's disk, so a core with an emptied disk cannot vote twice and a new core cannot vote itself in.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from .messages import Accept, Accepted, Prepare, Promise, Rejected
from .view import NO_BALLOT, Ballot, View, decode_ballot, decode_view, disks, epoch, members, to_array

__all__ = [
    "Superseded",
    "Chosen",
    "Preempted",
    "Register",
    "Round",
    "View",
    "accept",
    "with_base",
    "disks",
    "epoch",
    "majority",
    "members",
    "prepare",
    "read",
]


@dataclass(frozen=True, slots=True)
class Register:
    """The state of a witness; it is on disk before the witness answers.

    `accepted <= promised`. The epoch of `view` is the one after that of `base`, or `view` is None.

    :ivar promised: lower ballots are rejected.
    :ivar base: the newest view known to be chosen.
    :ivar accepted: the ballot accepted last.
    :ivar view: the view accepted under that ballot as the successor of the base.
    """

    promised: Ballot = NO_BALLOT
    base: View | None = None
    accepted: Ballot = NO_BALLOT
    view: View | None = None

    def stored(self) -> dict[str, Any]:
        """Return the register in its form on disk."""
        return {
            "promised": to_array(self.promised),
            "base": to_array(self.base),
            "ballot": to_array(self.accepted),
            "view": to_array(self.view),
        }


def read(meta: Mapping[str, Any]) -> Register:
    """Return the register on disk, also from the earlier format in which a view had a single backup."""
    stored = meta.get("reg")
    if not stored:
        return Register()
    promised, accepted = decode_ballot(stored["promised"]), decode_ballot(stored["ballot"])
    if "base" in stored:
        return Register(promised=promised, base=decode_view(stored["base"]), accepted=accepted, view=decode_view(stored["view"]))

    def with_backups(view: Any) -> View | None:
        return decode_view(view and (*view[:2], (view[2],) if isinstance(view[2], str) else view[2], view[3]))

    base = with_backups((meta.get("view") or (NO_BALLOT, None))[1])
    view = with_backups(stored["view"])
    if epoch(view) != epoch(base) + 1:
        return Register(promised=promised, base=base)
    return Register(promised=promised, base=base, accepted=accepted, view=view)


def with_base(register: Register, base: View | None) -> Register:
    """Return the register after learning that `base` is chosen; unchanged if it has that base or a later one."""
    if epoch(base) <= epoch(register.base):
        return register
    if epoch(register.view) == epoch(base) + 1:
        return replace(register, base=base)
    return Register(promised=register.promised, base=base)


def prepare(register: Register, message: Prepare, /, *, disk: str) -> tuple[Register, Promise | Rejected]:
    """Handle a prepare request at a witness with this disk; return its new register and its answer."""
    ballot = message.ballot
    if ballot <= register.promised:
        return register, Rejected(ballot, disk, register.promised)
    register = replace(register, promised=ballot)
    return register, Promise(ballot, disk, register.accepted, register.view, register.base)


def accept(register: Register, message: Accept, /, *, disk: str) -> tuple[Register, Accepted | Rejected]:
    """Handle an accept request at a witness with this disk; return its new register and its answer."""
    ballot, base, view = message
    if ballot < register.promised or epoch(base) < epoch(register.base):
        return register, Rejected(ballot, disk, register.promised)
    return Register(promised=ballot, base=base, accepted=ballot, view=view), Accepted(ballot, disk)


def majority(n: int) -> int:
    """Return the smallest number greater than half of n."""
    return n // 2 + 1


class Chosen(NamedTuple):
    """Result of a round: this view is chosen."""

    view: View


class Superseded(NamedTuple):
    """Result of a round: a view later than the base has already been chosen."""

    view: View


class Preempted(NamedTuple):
    """Result of a round: a witness has promised a higher ballot."""

    promised: Ballot


@dataclass(slots=True)
class Round:
    """One proposer's round: prepare, then accept (design 5.2).

    If a witness has already accepted a successor of the base under another ballot, the round completes that one instead of
    `preferred`. The very first view has no base: every witness of `preferred` must promise.

    :ivar base: the chosen view that `preferred` would follow.
    :ivar preferred: the view that the proposer prefers.
    :ivar value: the view proposed; None until enough witnesses have promised.
    :ivar promises: the promises received, by core.
    :ivar accepts: the witnesses that accepted with the disk that the base names.
    """

    ballot: Ballot
    base: View | None
    preferred: View
    value: View | None = None
    promises: dict[str, Promise] = field(default_factory=dict)
    accepts: set[str] = field(default_factory=set)

    def begin(self) -> Prepare:
        """Return the request with which the round starts."""
        return Prepare(self.ballot)

    def answer(self, sender: str, message: Promise | Accepted | Rejected) -> Accept | Chosen | Superseded | Preempted | None:
        """Handle a witness's answer.

        :returns: the next request to the witnesses, or the result of the round; None while answers are missing.
        """
        if message.ballot != self.ballot:
            return None
        match message:
            case Rejected():
                return Preempted(message.promised)
            case Promise() if self.value is None:
                return self.on_promise(sender, message)
            case Accepted() if self.value is not None:
                return self.on_accepted(sender, message, self.value)
        return None

    def on_promise(self, sender: str, promise: Promise) -> Accept | Superseded | None:
        """Count a promise; once enough voters have promised, return the request to accept a value."""
        if promise.base is not None and epoch(promise.base) > epoch(self.base):
            return Superseded(promise.base)
        self.promises[sender] = promise
        highest_accepted = self.highest_accepted()
        voters = disks(self.base or highest_accepted or self.preferred)
        votes = sum(voters.get(name) == p.disk for name, p in self.promises.items())
        if votes < (majority(len(voters)) if self.base or highest_accepted else len(voters)):
            return None
        self.value = highest_accepted or self.preferred
        return Accept(self.ballot, self.base, self.value)

    def highest_accepted(self) -> View | None:
        """Return the successor of the base that was accepted under the highest ballot among the promises; None if there is none."""
        follows = [p for p in self.promises.values() if epoch(p.view) == epoch(self.base) + 1]
        return max(follows, key=lambda p: p.accepted).view if follows else None

    def on_accepted(self, sender: str, message: Accepted, value: View) -> Chosen | None:
        """Count an acceptance; the value is chosen once a majority of the voters accepted it."""
        voters = disks(self.base or value)
        if voters.get(sender) == message.disk:
            self.accepts.add(sender)
            if len(self.accepts) >= majority(len(voters)):
                return Chosen(value)
        return None
