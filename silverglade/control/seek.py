"""Seeking a new view (design 5.4): seal, copy to the recruits, then the register's round.

The seeker is a machine of its own: it is asked at each pulse and given each answer, and says in typed actions what the
core is to do. It never writes or sends itself.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any, NamedTuple

from ..runtime.effects import milliseconds
from .messages import Accept, Accepted, Prepare, Promise, Rejected
from .register import Behind, Chosen, Lost, Round
from .view import NO_BALLOT, Ballot, View, disks

PAUSE = milliseconds(50)
"""The least wait after an attempt that failed."""

LONGEST_COPY = 8
"""Times `takeover`: so long an attempt waits for recruits that are heard to sync their copy."""

BALLOT_SPREAD_BITS = 20
"""Ballots rise by a random step: two lives of a core, of which the first left nothing on disk, must not use the same one, or
a late acceptance of the first would count for the second."""


class Goal(NamedTuple):
    """What is sought: `view` after `base`, with a copy of the store to `recruits` first."""

    base: View | None
    view: View
    recruits: tuple[str, ...]


class Step(Enum):
    """How far an attempt has come."""

    REST = "rest"
    SEAL = "seal"
    COPY = "copy"
    ROUND = "round"


class Seal(NamedTuple):
    """To do: note on disk that no more changes are taken in this epoch, then tell the seeker by this nonce."""

    goal: Goal
    nonce: int


class CopyTo(NamedTuple):
    """To do: send the store to these recruits."""

    recruits: tuple[str, ...]
    epoch: int
    nonce: int


class Ask(NamedTuple):
    """To do: send this to these witnesses."""

    witnesses: tuple[str, ...]
    message: Prepare | Accept


class Learn(NamedTuple):
    """To do: take this view, which is chosen."""

    view: View


Action = Seal | CopyTo | Ask | Learn


@dataclass(slots=True)
class Seeker:
    """One member's attempts to have a new view chosen.

    due: when the next attempt begins. begun: when this one did, or its round. nonce: of this attempt's seal and copies; sealed: that the
    seal with it is on disk. highest: the highest ballot seen. `goal` is set in every step but REST, `round` in ROUND once
    the witnesses were asked.
    """

    due: timedelta
    step: Step = Step.REST
    goal: Goal | None = None
    begun: timedelta | None = None
    nonce: int = 0
    sealed: bool = False
    copied_at: timedelta | None = None
    round: Round | None = None
    highest: Ballot = NO_BALLOT

    def is_due(self, now: timedelta) -> bool:
        """May a new attempt begin?"""
        return self.step is Step.REST and now >= self.due

    def begin(self, goal: Goal, now: timedelta, rng: random.Random) -> list[Action]:
        """A new attempt."""
        self.goal, self.begun, self.nonce, self.round, self.sealed = goal, now, rng.getrandbits(48), None, False
        if not goal.recruits:
            self.step = Step.ROUND
            return []
        self.step = Step.SEAL
        return [Seal(goal, self.nonce)]

    def awaits(self, epoch: int, nonce: int) -> bool:
        """Is this word of a synced copy for the present attempt? Others are late, and not kept."""
        return self.goal is not None and (epoch, nonce) == (self.goal.view.epoch, self.nonce)

    def seal_written(self, nonce: int) -> None:
        """A seal is on disk; only that of this attempt counts."""
        self.sealed = self.sealed or nonce == self.nonce

    def advance(
        self,
        *,
        me: str,
        now: timedelta,
        recruits_synced: Mapping[tuple[str, int, int], str],
        is_up: Callable[[str], bool],
        tuning: Mapping[str, Any],
        rng: random.Random,
    ) -> list[Action]:
        """A pulse: go on with the attempt as far as it can; end it when it has taken too long. is_up: is that core heard?"""
        if self.goal is None or self.begun is None:
            return []
        actions: list[Action] = []
        if self.step is Step.SEAL and self.sealed:
            self.step, self.copied_at = Step.COPY, None
        if self.step is Step.COPY:
            actions += self.copy(self.goal, now, recruits_synced, tuning)
        if self.step is Step.ROUND and self.round is None:
            number = self.highest.number + 1 + rng.getrandbits(BALLOT_SPREAD_BITS)
            self.begun = now
            self.round = Round(ballot=Ballot(number, me), base=self.goal.base, want=self.goal.view)
            actions.append(self.ask(self.goal, self.round.begin()))
        if self.step is Step.COPY and now - self.begun <= LONGEST_COPY * tuning["takeover"] and all(map(is_up, self.goal.recruits)):
            return actions  # a large copy on a slow link: begun anew it would come no sooner
        if self.step is not Step.REST and now - self.begun > tuning["takeover"]:
            self.retry_later(now, tuning, rng)
        return actions

    def copy(
        self, goal: Goal, now: timedelta, recruits_synced: Mapping[tuple[str, int, int], str], tuning: Mapping[str, Any]
    ) -> list[Action]:
        """The store to those recruits who have not synced it, from time to time; then on to the round."""
        epoch, wanted_disks = goal.view.epoch, disks(goal.view)
        missing = tuple(name for name in goal.recruits if recruits_synced.get((name, epoch, self.nonce)) != wanted_disks[name])
        if not missing:
            self.step = Step.ROUND
        elif self.copied_at is None or now - self.copied_at >= tuning["takeover"] / 2:
            self.copied_at = now
            return [CopyTo(missing, epoch, self.nonce)]
        return []

    def answer(
        self, sender: str, message: Promise | Accepted | Rejected, now: timedelta, tuning: Mapping[str, Any], rng: random.Random
    ) -> list[Action]:
        """A witness has answered."""
        if self.step is not Step.ROUND or self.round is None or self.goal is None:
            return []
        if isinstance(message, Rejected):
            self.highest = max(self.highest, message.promised)
        match self.round.answer(sender, message):
            case Accept() as accept:
                return [self.ask(self.goal, accept)]
            case Chosen(view) | Behind(view):
                self.step, self.due = Step.REST, now + tuning["settle"]
                return [Learn(view)]
            case Lost():
                self.retry_later(now, tuning, rng)
        return []

    def retry_later(self, now: timedelta, tuning: Mapping[str, Any], rng: random.Random) -> None:
        """Rest for a random time, so that two seekers do not overtake each other for ever."""
        self.step, self.due = Step.REST, now + tuning["settle"] * rng.random() + PAUSE

    @staticmethod
    def ask(goal: Goal, message: Prepare | Accept) -> Ask:
        """The witnesses who decide are those of the base; of the view itself where there is none."""
        return Ask(tuple(sorted(disks(goal.base or goal.view))), message)
