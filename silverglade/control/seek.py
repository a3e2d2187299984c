"""Seeking a new view (design 5.4): seal, copy to the recruits, then the register's round.

The seeker is a state machine of its own: it is advanced at each timer event and given each answer, and returns typed actions
for the core to carry out. It never writes or sends itself.
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
from .register import Chosen, Preempted, Round, Superseded
from .view import NO_BALLOT, Ballot, View, disks

MIN_RETRY_DELAY = milliseconds(50)
"""The least wait after an attempt that failed."""

COPY_TIMEOUT_TAKEOVERS = 8
"""For so many times `takeover` an attempt waits for recruits that are heard to sync their copy."""

BALLOT_RANDOM_BITS = 20
"""Ballots rise by a random step: two processes of a core, of which the first left nothing on disk, must not use the same ballot,
or a late acceptance of the first would count for the second."""


class Goal(NamedTuple):
    """The view sought after `base`; its recruits get a copy of the store first."""

    base: View | None
    view: View
    recruits: tuple[str, ...]


class Step(Enum):
    """How far an attempt has come."""

    IDLE = "rest"
    SEAL = "seal"
    COPY = "copy"
    ROUND = "round"


class Seal(NamedTuple):
    """Action: seal the epoch on disk, then confirm it to the seeker by this nonce."""

    goal: Goal
    nonce: int


class SendSnapshot(NamedTuple):
    """Action: send the whole store to these recruits."""

    recruits: tuple[str, ...]
    epoch: int
    nonce: int


class AskWitnesses(NamedTuple):
    """Action: send this message to these witnesses."""

    witnesses: tuple[str, ...]
    message: Prepare | Accept


class AdoptView(NamedTuple):
    """Action: take this view, which is chosen."""

    view: View


Action = Seal | SendSnapshot | AskWitnesses | AdoptView


@dataclass(slots=True)
class Seeker:
    """One member's attempts to have a new view chosen.

    `goal` is set in every step but REST, `round` in ROUND once the witnesses were asked.

    :ivar next_attempt_at: when the next attempt may begin.
    :ivar begun: when this attempt began, or its round.
    :ivar nonce: of the seal and the copies of this attempt.
    :ivar sealed: whether the seal with that nonce is on disk.
    :ivar copied_at: when the store was last sent to the recruits.
    :ivar highest: the highest ballot seen.
    """

    next_attempt_at: timedelta
    step: Step = Step.IDLE
    goal: Goal | None = None
    started_at: timedelta | None = None
    nonce: int = 0
    sealed: bool = False
    copied_at: timedelta | None = None
    round: Round | None = None
    highest: Ballot = NO_BALLOT

    def may_begin(self, now: timedelta) -> bool:
        """Tell whether a new attempt may begin."""
        return self.step is Step.IDLE and now >= self.next_attempt_at

    def begin(self, goal: Goal, now: timedelta, rng: random.Random) -> list[Action]:
        """Begin an attempt; return what is to be done first."""
        self.goal, self.started_at, self.nonce, self.round, self.sealed = goal, now, rng.getrandbits(48), None, False
        if not goal.recruits:
            self.step = Step.ROUND
            return []
        self.step = Step.SEAL
        return [Seal(goal, self.nonce)]

    def awaits(self, epoch: int, nonce: int) -> bool:
        """Tell whether a confirmation of a synced copy belongs to the attempt under way; late ones are dropped."""
        return self.goal is not None and (epoch, nonce) == (self.goal.view.epoch, self.nonce)

    def seal_written(self, nonce: int) -> None:
        """Note that a seal is on disk; only that of the attempt under way counts."""
        self.sealed = self.sealed or nonce == self.nonce

    def advance(
        self,
        *,
        own_name: str,
        now: timedelta,
        recruits_synced: Mapping[tuple[str, int, int], str],
        is_up: Callable[[str], bool],
        tuning: Mapping[str, Any],
        rng: random.Random,
    ) -> list[Action]:
        """Go on with the attempt as far as possible; end it when it has taken too long.

        :param recruits_synced: (core, epoch, nonce) of each copy that was synced, and on which disk.
        :param is_up: whether a core is heard.
        """
        if self.goal is None or self.started_at is None:
            return []
        actions: list[Action] = []
        if self.step is Step.SEAL and self.sealed:
            self.step, self.copied_at = Step.COPY, None
        if self.step is Step.COPY:
            actions += self.copy(self.goal, now, recruits_synced, tuning)
        if self.step is Step.ROUND and self.round is None:
            number = self.highest.number + 1 + rng.getrandbits(BALLOT_RANDOM_BITS)
            self.started_at = now
            self.round = Round(ballot=Ballot(number, own_name), base=self.goal.base, want=self.goal.view)
            actions.append(self.ask(self.goal, self.round.begin()))
        if (
            self.step is Step.COPY
            and now - self.started_at <= COPY_TIMEOUT_TAKEOVERS * tuning["takeover"]
            and all(map(is_up, self.goal.recruits))
        ):
            return actions  # a large copy on a slow link: begun anew it would come no sooner
        if self.step is not Step.IDLE and now - self.started_at > tuning["takeover"]:
            self.retry_later(now, tuning, rng)
        return actions

    def copy(
        self, goal: Goal, now: timedelta, recruits_synced: Mapping[tuple[str, int, int], str], tuning: Mapping[str, Any]
    ) -> list[Action]:
        """Copy the store, again from time to time, to the recruits that have not synced it; when all have, go on to the round."""
        epoch, wanted_disks = goal.view.epoch, disks(goal.view)
        missing = tuple(name for name in goal.recruits if recruits_synced.get((name, epoch, self.nonce)) != wanted_disks[name])
        if not missing:
            self.step = Step.ROUND
        elif self.copied_at is None or now - self.copied_at >= tuning["takeover"] / 2:
            self.copied_at = now
            return [SendSnapshot(missing, epoch, self.nonce)]
        return []

    def answer(
        self, sender: str, message: Promise | Accepted | Rejected, now: timedelta, tuning: Mapping[str, Any], rng: random.Random
    ) -> list[Action]:
        """Take in a witness's answer to the round; return what follows."""
        if self.step is not Step.ROUND or self.round is None or self.goal is None:
            return []
        if isinstance(message, Rejected):
            self.highest = max(self.highest, message.promised)
        match self.round.answer(sender, message):
            case Accept() as accept:
                return [self.ask(self.goal, accept)]
            case Chosen(view) | Superseded(view):
                self.step, self.next_attempt_at = Step.IDLE, now + tuning["settle"]
                return [AdoptView(view)]
            case Preempted():
                self.retry_later(now, tuning, rng)
        return []

    def retry_later(self, now: timedelta, tuning: Mapping[str, Any], rng: random.Random) -> None:
        """End the attempt and wait for a random time, so that two seekers do not overtake each other for ever."""
        self.step, self.next_attempt_at = Step.IDLE, now + tuning["settle"] * rng.random() + MIN_RETRY_DELAY

    @staticmethod
    def ask(goal: Goal, message: Prepare | Accept) -> AskWitnesses:
        """Return the action that asks the witnesses who decide: those of the base, or of the view itself where there is none."""
        return AskWitnesses(tuple(sorted(disks(goal.base or goal.view))), message)
