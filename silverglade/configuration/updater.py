"""How a daemon learns what control has acknowledged (design 5.7): it asks a core with the version that it holds.

A core answers when it knows more, at the latest after `ask_wait`. An answer brings the items that this daemon lacks, the age of the
core's last proof that the primary was still primary, and soft state (design 4.3). While the proof held here grows old, other cores
are asked besides: hedged requests.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, ClassVar, NamedTuple

from ..control.replicated_state import INITIAL_VERSION
from ..membership.records import members_of
from ..runtime.components import Component
from ..runtime.effects import ZERO, Broadcast, Effect, Post, Send, WakeAt, log_record, milliseconds, to_milliseconds
from ..runtime.events import (
    AttributeSet,
    DeltaReceived,
    Event,
    ItemsReceived,
    MembershipChanged,
    MessageReceived,
    PositionReported,
    ProcessPaused,
    ProofRenewed,
    QueriedCoreChanged,
    RelayedCoreChanged,
    SeedsChanged,
    StoreUpdated,
    TimerFired,
    UpdateRequestReady,
)
from .core_selection import CoreSelector
from .messages import Item, UpdateAnswer, UpdateRequest, Version

MAX_UNANSWERED_REQUESTS = 8
"""Requests whose answers are still taken: over a slow link one may come after another request was sent."""

REQUEST_NUMBER_BITS = 48
"""Of the random number that names a request."""

MAX_LOGGED_KEYS_LENGTH = 200
"""Characters of the keys that a log line names."""

NO_PROOF = -1
"""In place of an age in milliseconds where no proof is held."""

Store = dict[str, tuple[Version, Any]]
"""Key to (version, value)."""


class PendingRequest(NamedTuple):
    """The newest request, which has no answer yet.

    :ivar number: names the request in its answer.
    :ivar core: which daemon was asked.
    """

    number: int
    core: str
    sent_at: timedelta


class UnansweredRequest(NamedTuple):
    """A request whose answer would be taken.

    :ivar position: where the table of soft state stood then.
    """

    sent_at: timedelta
    position: Any


class Updater:
    """Asks for updates and keeps the store that they make.

    It broadcasts `StoreUpdated` when the store is newer, and `ProofRenewed` when the store is proved to be the newest at a later
    time than before. What an answer says of soft state goes to membership, which then reports where its table stands.

    :ivar store: what control has acknowledged, as known here.
    :ivar store_version: the version of the store.
    :ivar proved_at: when the store was last proved to be the newest; None without a proof.
    :ivar pending_request: the request that has no answer yet, or None.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MessageReceived,
        MembershipChanged,
        PositionReported,
        ProcessPaused,
        SeedsChanged,
        UpdateRequestReady,
    )

    def __init__(
        self,
        *,
        own_name: str,
        zone: str,
        region: str,
        is_core: bool,
        own_address: str,
        seeds: tuple[str, ...],
        tuning: Mapping[str, Any],
        rng: random.Random,
    ) -> None:
        """Start with an empty store.

        :param own_address: where this daemon listens for others, HOST:PORT.
        :param seeds: addresses to ask while no core is known.
        """
        self.store: Store = {}
        self.store_version: Version = INITIAL_VERSION
        self.proved_at: timedelta | None = None
        self.pending_request: PendingRequest | None = None
        self._tuning = tuning
        self._rng = rng
        self._selector = CoreSelector(
            own_name=own_name, zone=zone, region=region, is_core=is_core, own_address=own_address, seeds=seeds, rng=rng
        )
        self._effects: list[Effect] = []
        self._queried_core: str | None = None
        self._position: Any = ()  # of the table of soft state
        self._unanswered: dict[int, UnansweredRequest] = {}
        self._next_request_at = ZERO
        # when this process started, and since when no proof is held
        self._started_at = ZERO
        self._unproved_since = ZERO
        # whether the store may be trusted not to be older than what an earlier process of this daemon held (design 5.7)
        self._is_start_proved = False
        self._first_answer_at: timedelta | None = None
        # the pause before the next hedged request, and how long the last answer was on its way
        self._hedge_gap: timedelta = tuning["hedge_gap"]
        self._transit_time = ZERO

    def on_start(self, now: timedelta) -> None:
        """Note when this process started."""
        self._started_at = self._unproved_since = now

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects."""
        match event:
            case TimerFired():
                self._on_timer(now)
            case MessageReceived():
                self._on_message(event, now)
            case UpdateRequestReady():
                request = UpdateRequest(event.number, event.version, self._position)
                self._effects.append(Send(event.core, request.encode()))
            case PositionReported():
                self._on_position_reported(event, now)
            case MembershipChanged():
                self._selector.members = members_of(event.members)
            case SeedsChanged():
                self._selector.replace_seeds(event.seeds)
            case ProcessPaused():
                self._on_process_paused(now)
        effects, self._effects = self._effects, []
        return effects

    # --- events

    def _on_timer(self, now: timedelta) -> None:
        """Ask when it is time to; ask another core when the one that was asked takes too long."""
        if self.pending_request is None and now >= self._next_request_at:
            self._ask(now)
        elif self.pending_request and now > self._give_up_at(self.pending_request):
            self._hedge(self.pending_request, now)
        pending = self.pending_request
        self._effects.append(WakeAt(self._give_up_at(pending) if pending else max(self._next_request_at, now)))

    def _on_position_reported(self, event: PositionReported, now: timedelta) -> None:
        """Ask on once membership has taken the soft state of an answer."""
        if event.position is not None:
            self._position = event.position
        if self.pending_request is not None or now < self._next_request_at:
            return
        if type(self._position) is tuple:  # a version vector: the tables are not in agreement yet, and there is no hurry
            self._next_request_at = now + self._tuning["beat"] / 2
        else:
            self._ask(now)

    def _on_process_paused(self, now: timedelta) -> None:
        """Drop the proof: what was heard before the pause says nothing of now."""
        self.proved_at, self._unproved_since = None, now
        self._effects.append(Broadcast(ProofRenewed(None)))
        self._ask(now)

    def _on_message(self, event: MessageReceived, now: timedelta) -> None:
        """Take the answer to a request of this process."""
        answer = UpdateAnswer.decode(event.body)
        request = self._unanswered.pop(answer.number, None) if answer is not None else None
        if answer is not None and request is not None:
            self._on_answer(event.sender, answer, request, now)

    # --- requests

    def _ask(self, now: timedelta, *, urgent: bool = False) -> None:
        """Ask a core for updates.

        :param urgent: ask as a daemon that lacks the last change, so that a core which has it answers at once.
        """
        core = self._selector.select(now, last_queried=self._queried_core)
        if core is None:
            return
        number = self._rng.getrandbits(REQUEST_NUMBER_BITS)
        self.pending_request = PendingRequest(number, core, now)
        self._unanswered[number] = UnansweredRequest(now, self._position)
        while len(self._unanswered) > MAX_UNANSWERED_REQUESTS:
            self._unanswered.pop(next(iter(self._unanswered)))
        if core != self._queried_core:
            self._queried_core = core
            self._effects.append(Post(Component.MEMBERSHIP, QueriedCoreChanged(core)))
            self._effects.append(Post(Component.ZONE_RELAY, RelayedCoreChanged(core, self._selector.is_core_member(core))))
        version = version_before(self.store_version) if urgent else self.store_version
        # sent after membership has told a new core who asks
        self._effects.append(Post(Component.UPDATER, UpdateRequestReady(core, number, version)))

    def _hedge(self, pending: PendingRequest, now: timedelta) -> None:
        """Ask another core besides, urgently: the one that was asked may be behind, cut off or silent."""
        answer_time = self._longest_answer_time()
        is_silent = now - pending.sent_at > answer_time
        self._selector.avoid(pending.core, now + self._tuning["gone" if is_silent else "settle"])
        if not is_silent:
            age_ms = to_milliseconds(now - self.proved_at) if self.proved_at is not None else NO_PROOF
            self._effects.append(log_record("updates-overdue", core=pending.core, age_ms=age_ms))
        self._hedge_gap = min(self._hedge_gap * 2, answer_time)
        self._ask(now, urgent=True)

    def _longest_answer_time(self) -> timedelta:
        """How long a core may take for its answer."""
        wait: timedelta = self._tuning["ask_wait"] + self._tuning["beat"] * 2
        return wait

    def _give_up_at(self, pending: PendingRequest) -> timedelta:
        """When the core that was asked is passed over for another."""
        return min(pending.sent_at + self._longest_answer_time(), self._hedge_at(pending))

    def _hedge_at(self, pending: PendingRequest) -> timedelta:
        """When another core is asked besides, since the proof held has grown old. Not while answers are long on their way."""
        proved_at = self._unproved_since if self.proved_at is None else self.proved_at
        due: timedelta = proved_at + self._tuning["hedge_after"]
        return max(due, pending.sent_at + max(self._hedge_gap, 2 * self._transit_time))

    # --- answers

    def _on_answer(self, sender: str, answer: UpdateAnswer, request: UnansweredRequest, now: timedelta) -> None:
        """Take what an answer brought."""
        self._transit_time = max(ZERO, now - request.sent_at - milliseconds(answer.held_ms))
        is_late = self.pending_request is None or answer.number != self.pending_request.number
        if not is_late:
            self.pending_request = None
        if request.position == self._position:  # a late delta may begin where the table does not stand any more
            self._effects.append(Post(Component.MEMBERSHIP, DeltaReceived(sender, answer.delta)))
        if answer.version < self.store_version:
            self._reject_older(sender, answer, is_late, now)
            return
        answered_at = request.sent_at + milliseconds(min(answer.held_ms, to_milliseconds(now - request.sent_at)))
        proved_at = answered_at - milliseconds(answer.proof_age_ms)
        is_aged = answer.proof_age_ms < 0 or answer.proof_age_ms > to_milliseconds(self._tuning["aged"])
        self._check_start(answer.proof_age_ms, proved_at, now)
        if not self._is_start_proved:
            self._next_request_at = now + self._tuning["beat" if self._tuning["trust"] else "pulse"]
        else:
            self._apply_items(answer)
            self._renew_proof(answer.proof_age_ms, proved_at)
        if is_aged:  # another core may hold a newer proof
            self._selector.avoid(sender, now + self._tuning["settle"])

    def _reject_older(self, sender: str, answer: UpdateAnswer, is_late: bool, now: timedelta) -> None:
        """Pass over a core that knows less than this daemon; a late answer was overtaken, which says nothing of the core."""
        if is_late:
            return
        self._effects.append(log_record("update-outdated", core=sender, held=self.store_version, told=answer.version))
        self._selector.avoid(sender, now + self._tuning["settle"])

    def _check_start(self, proof_age_ms: int, proved_at: timedelta, now: timedelta) -> None:
        """Decide whether answers may be taken: an earlier process of this daemon may have held more than a core that is behind.

        With `trust`, a proof that is young enough will do, or `settle` after the first answer any; without, the proof must be newer
        than this process.
        """
        self._first_answer_at = self._first_answer_at or now
        if self._is_start_proved:
            return
        if self._tuning["trust"]:
            is_young = proof_age_ms <= to_milliseconds(self._tuning["aged"])  # none at all too: that core has begun anew
            self._is_start_proved = is_young or now - self._first_answer_at >= self._tuning["settle"]
        else:
            self._is_start_proved = proof_age_ms >= 0 and proved_at >= self._started_at

    def _apply_items(self, answer: UpdateAnswer) -> None:
        """Merge the items of an answer into the store, each by its version."""
        newer = [item for item in answer.items if is_newer(item, self.store)]
        if not newer and answer.version <= self.store_version:
            return
        self.store = merged(self.store, newer)
        self.store_version = max(self.store_version, answer.version)
        self._effects.append(Broadcast(StoreUpdated(self.store, self.store_version)))
        self._effects.append(Post(Component.ZONE_RELAY, ItemsReceived(answer.items, self.store_version)))
        if newer:  # a change that no item told here speaks of is no news to anybody
            self._effects.append(Post(Component.MEMBERSHIP, AttributeSet("news", self.store_version)))
        keys = [key for key, _, _ in newer]
        if any(key == "config" or key.startswith("evac/") for key in keys):
            epoch, number = self.store_version
            self._effects.append(log_record("update-applied", version=f"{epoch}.{number}", keys=",".join(keys)[:MAX_LOGGED_KEYS_LENGTH]))

    def _renew_proof(self, proof_age_ms: int, proved_at: timedelta) -> None:
        """Take a proof that is newer than the one held."""
        if proof_age_ms < 0 or self.proved_at is not None and proved_at <= self.proved_at:
            return
        self.proved_at = proved_at
        self._hedge_gap = self._tuning["hedge_gap"]
        self._effects.append(Broadcast(ProofRenewed(proved_at)))


def version_before(version: Version) -> Version:
    """The version just before one that was acknowledged."""
    epoch, number = version
    return (epoch, number - 1) if number else version


def is_newer(item: Item, store: Mapping[str, tuple[Version, Any]]) -> bool:
    """Whether an item is newer than what the store holds under its key."""
    key, version, _ = item
    held_version, _ = store.get(key, (INITIAL_VERSION, None))
    return version > held_version


def merged(store: Store, items: list[Item]) -> Store:
    """The store with these items; a role that was dropped, of the value None, is not kept."""
    changed = {**store, **{key: (version, value) for key, version, value in items}}
    return {key: entry for key, entry in changed.items() if entry[1] is not None}
