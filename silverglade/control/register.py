"""The view register (design 5.2): which view follows which, chosen by a majority under ballots.

Each view is chosen by the witnesses that the view before it names, its base: an instance of single-value agreement for
every epoch. A witness holds the newest base it knows to be chosen and what it has accepted to follow that one. A vote
counts only while the base names its disk, so an emptied disk cannot vote twice and a new core cannot vote itself in.
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
    """What a witness holds, on disk before it answers.

    `accepted <= promised`, and `view` has the epoch after that of `base`, or is None.

    :ivar promised: no lower ballot is taken any more.
    :ivar base: the newest view known to be chosen.
    :ivar accepted: the ballot last accepted.
    :ivar view: the view that was accepted under it to follow the base.
    """

    promised: Ballot = NO_BALLOT
    base: View | None = None
    accepted: Ballot = NO_BALLOT
    view: View | None = None

    def stored(self) -> dict[str, Any]:
        """Return the register as it is stored on disk."""
        return {
            "promised": to_array(self.promised),
            "base": to_array(self.base),
            "ballot": to_array(self.accepted),
            "view": to_array(self.view),
        }


def read(meta: Mapping[str, Any]) -> Register:
    """Return the register on disk, also one written before views had several backups."""
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
    """Return the register of a witness that learns that `base` is chosen."""
    if epoch(base) <= epoch(register.base):
        return register
    if epoch(register.view) == epoch(base) + 1:
        return replace(register, base=base)
    return Register(promised=register.promised, base=base)


def prepare(register: Register, message: Prepare, /, *, disk: str) -> tuple[Register, Promise | Rejected]:
    """Ask a witness with this disk for a promise; return its register and its answer."""
    ballot = message.ballot
    if ballot <= register.promised:
        return register, Rejected(ballot, disk, register.promised)
    register = replace(register, promised=ballot)
    return register, Promise(ballot, disk, register.accepted, register.view, register.base)


def accept(register: Register, message: Accept, /, *, disk: str) -> tuple[Register, Accepted | Rejected]:
    """Ask a witness with this disk to accept a view; return its register and its answer."""
    ballot, base, view = message
    if ballot < register.promised or epoch(base) < epoch(register.base):
        return register, Rejected(ballot, disk, register.promised)
    return Register(promised=ballot, base=base, accepted=ballot, view=view), Accepted(ballot, disk)


def majority(n: int) -> int:
    """Return the least number that is more than half of n."""
    return n // 2 + 1


class Chosen(NamedTuple):
    """The end of a round: this view is chosen."""

    view: View


class Superseded(NamedTuple):
    """The end of a round: a later view was chosen meanwhile."""

    view: View


class Preempted(NamedTuple):
    """The end of a round: a witness has promised a higher ballot."""

    promised: Ballot


@dataclass(slots=True)
class Round:
    """One proposer's round: prepare, then accept (design 5.2).

    A view that was accepted to follow the base under another ballot is completed in place of `want`. For the first view of all
    there is no base: every witness of `want` must promise.

    :ivar base: the chosen view that `want` would follow.
    :ivar want: the view wanted.
    :ivar value: the view proposed; None until enough witnesses have promised.
    :ivar promises: by core.
    :ivar accepts: the witnesses who accepted, each with the disk that the base names.
    """

    ballot: Ballot
    base: View | None
    want: View
    value: View | None = None
    promises: dict[str, Promise] = field(default_factory=dict)
    accepts: set[str] = field(default_factory=set)

    def begin(self) -> Prepare:
        """Return what to ask the witnesses first."""
        return Prepare(self.ballot)

    def answer(self, sender: str, message: Promise | Accepted | Rejected) -> Accept | Chosen | Superseded | Preempted | None:
        """Take in a witness's answer.

        :returns: what to ask the witnesses now, or how the round ended; None while answers are missing.
        """
        if message.ballot != self.ballot:
            return None
        match message:
            case Rejected():
                return Preempted(message.promised)
            case Promise() if self.value is None:
                return self.promised(sender, message)
            case Accepted() if self.value is not None:
                return self.accepted(sender, message, self.value)
        return None

    def promised(self, sender: str, promise: Promise) -> Accept | Superseded | None:
        """Count a promise; with enough of them propose a value."""
        if promise.base is not None and epoch(promise.base) > epoch(self.base):
            return Superseded(promise.base)
        self.promises[sender] = promise
        highest_accepted = self.highest_accepted()
        voters = disks(self.base or highest_accepted or self.want)
        votes = sum(voters.get(name) == p.disk for name, p in self.promises.items())
        if votes < (majority(len(voters)) if self.base or highest_accepted else len(voters)):
            return None
        self.value = highest_accepted or self.want
        return Accept(self.ballot, self.base, self.value)

    def highest_accepted(self) -> View | None:
        """Return the view accepted under the highest ballot to follow the base, among the promises; None if there is none."""
        follows = [p for p in self.promises.values() if epoch(p.view) == epoch(self.base) + 1]
        return max(follows, key=lambda p: p.accepted).view if follows else None

    def accepted(self, sender: str, message: Accepted, value: View) -> Chosen | None:
        """Count an acceptance; with a majority of the voters the value is chosen."""
        voters = disks(self.base or value)
        if voters.get(sender) == message.disk:
            self.accepts.add(sender)
            if len(self.accepts) >= majority(len(voters)):
                return Chosen(value)
        return None
