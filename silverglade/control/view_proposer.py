"""Proposes a new view (design 5.4): seal the epoch, copy the store to the recruits, then run a round of the register.

The proposer is a state machine of its own. The core advances it at each timer event and passes it each answer of a witness. It
returns typed actions, which the core runs, and does no I/O itself.
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
"""Minimum delay before the next attempt after a failed one."""

COPY_TIMEOUT_TAKEOVERS = 8
"""How long an attempt waits for recruits that are up to sync their copy of the store, in multiples of the setting `takeover`."""

BALLOT_RANDOM_BITS = 20
"""Ballot numbers increase by a random step of this many bits. Two successive processes of a core, of which the first left nothing on
disk, must not use the same ballot, or a late acceptance for the first would count for the second."""


class ViewProposal(NamedTuple):
    """The view to propose as the successor of `base`. Its recruits get a copy of the store first."""

    base: View | None
    view: View
    recruits: tuple[str, ...]


class ProposalStage(Enum):
    """The stage of an attempt."""

    IDLE = "rest"
    SEAL = "seal"
    COPY = "copy"
    ROUND = "round"


class Seal(NamedTuple):
    """Action: seal the epoch on disk, then call `ViewProposer.seal_written` with this nonce."""

    proposal: ViewProposal
    nonce: int


class SendSnapshot(NamedTuple):
    """Action: send a snapshot of the store to these recruits."""

    recruits: tuple[str, ...]
    epoch: int
    nonce: int


class SendToWitnesses(NamedTuple):
    """Action: send this message to these witnesses."""

    witnesses: tuple[str, ...]
    message: Prepare | Accept


class AdoptView(NamedTuple):
    """Action: adopt this view, which is chosen."""

    view: View


Action = Seal | SendSnapshot | SendToWitnesses | AdoptView


@dataclass(slots=True)
class ViewProposer:
    """One member's attempts to have a new view chosen. It exists only while the member tries to change the view.

    `proposal` is set in every stage but IDLE; `round` is set in ROUND once the prepare request was sent.

    :ivar next_attempt_at: the earliest time of the next attempt.
    :ivar started_at: when this attempt started, or its round once that has started.
    :ivar nonce: identifies the seal and the copies of this attempt.
    :ivar sealed: whether the seal with that nonce is on disk.
    :ivar copied_at: when the store was last sent to the recruits.
    :ivar highest: the highest ballot seen.
    """

    next_attempt_at: timedelta
    stage: ProposalStage = ProposalStage.IDLE
    proposal: ViewProposal | None = None
    started_at: timedelta | None = None
    nonce: int = 0
    sealed: bool = False
    copied_at: timedelta | None = None
    round: Round | None = None
    highest: Ballot = NO_BALLOT

    def may_begin(self, now: timedelta) -> bool:
        """Return whether a new attempt may start."""
        return self.stage is ProposalStage.IDLE and now >= self.next_attempt_at

    def begin(self, proposal: ViewProposal, now: timedelta, rng: random.Random) -> list[Action]:
        """Start an attempt; return its first actions."""
        self.proposal, self.started_at, self.nonce, self.round, self.sealed = proposal, now, rng.getrandbits(48), None, False
        if not proposal.recruits:
            self.stage = ProposalStage.ROUND
            return []
        self.stage = ProposalStage.SEAL
        return [Seal(proposal, self.nonce)]

    def awaits_copy(self, epoch: int, nonce: int) -> bool:
        """Return whether a confirmation of a synced copy, with this epoch and nonce, belongs to the current attempt.

        Others are late and are dropped.
        """
        return self.proposal is not None and (epoch, nonce) == (self.proposal.view.epoch, self.nonce)

    def seal_written(self, nonce: int) -> None:
        """Record that a seal is on disk; only the seal of the current attempt counts."""
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
        """Continue the attempt as far as possible, and end it when it times out.

        :param recruits_synced: maps (core, epoch, nonce) of each synced copy to the disk that holds it.
        :param is_up: returns whether a core is up.
        """
        if self.proposal is None or self.started_at is None:
            return []
        actions: list[Action] = []
        if self.stage is ProposalStage.SEAL and self.sealed:
            self.stage, self.copied_at = ProposalStage.COPY, None
        if self.stage is ProposalStage.COPY:
            actions += self.copy_to_recruits(self.proposal, now, recruits_synced, tuning)
        if self.stage is ProposalStage.ROUND and self.round is None:
            number = self.highest.number + 1 + rng.getrandbits(BALLOT_RANDOM_BITS)
            self.started_at = now
            self.round = Round(ballot=Ballot(number, own_name), base=self.proposal.base, preferred=self.proposal.view)
            actions.append(self.request_to_voters(self.proposal, self.round.begin()))
        if (
            self.stage is ProposalStage.COPY
            and now - self.started_at <= COPY_TIMEOUT_TAKEOVERS * tuning["takeover"]
            and all(map(is_up, self.proposal.recruits))
        ):
            return actions  # a large copy on a slow link would not arrive sooner if it were restarted
        if self.stage is not ProposalStage.IDLE and now - self.started_at > tuning["takeover"]:
            self.retry_later(now, tuning, rng)
        return actions

    def copy_to_recruits(
        self, proposal: ViewProposal, now: timedelta, recruits_synced: Mapping[tuple[str, int, int], str], tuning: Mapping[str, Any]
    ) -> list[Action]:
        """Send the store, repeatedly, to the recruits that have not synced it; once all have, proceed to the round."""
        epoch, wanted_disks = proposal.view.epoch, disks(proposal.view)
        missing = tuple(name for name in proposal.recruits if recruits_synced.get((name, epoch, self.nonce)) != wanted_disks[name])
        if not missing:
            self.stage = ProposalStage.ROUND
        elif self.copied_at is None or now - self.copied_at >= tuning["takeover"] / 2:
            self.copied_at = now
            return [SendSnapshot(missing, epoch, self.nonce)]
        return []

    def answer(
        self, sender: str, message: Promise | Accepted | Rejected, now: timedelta, tuning: Mapping[str, Any], rng: random.Random
    ) -> list[Action]:
        """Handle a witness's answer to the round; return the next actions."""
        if self.stage is not ProposalStage.ROUND or self.round is None or self.proposal is None:
            return []
        if isinstance(message, Rejected):
            self.highest = max(self.highest, message.promised)
        match self.round.answer(sender, message):
            case Accept() as accept:
                return [self.request_to_voters(self.proposal, accept)]
            case Chosen(view) | Superseded(view):
                self.stage, self.next_attempt_at = ProposalStage.IDLE, now + tuning["settle"]
                return [AdoptView(view)]
            case Preempted():
                self.retry_later(now, tuning, rng)
        return []

    def retry_later(self, now: timedelta, tuning: Mapping[str, Any], rng: random.Random) -> None:
        """End the attempt and back off for a random time, so that two proposers do not pre-empt each other forever."""
        self.stage, self.next_attempt_at = ProposalStage.IDLE, now + tuning["settle"] * rng.random() + MIN_RETRY_DELAY

    @staticmethod
    def request_to_voters(proposal: ViewProposal, message: Prepare | Accept) -> SendToWitnesses:
        """Return the action that sends a message to the voters: the witnesses of the base, or of the view itself if there is no base."""
        return SendToWitnesses(tuple(sorted(disks(proposal.base or proposal.view))), message)
