"""Replication of the acknowledged store to every daemon by long polling (design 5.7).

The updater sends a core the version that it holds. The core answers as soon as it holds a newer version, at the latest after
`ask_wait`. An answer carries the items that this daemon lacks, the age of the core's last proof that the primary was still primary,
and soft state (design 4.3). When the proof held here becomes too old, hedged requests are sent to other cores.
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
    Event,
    ItemsReceived,
    MembershipChanged,
    MessageReceived,
    ProcessPaused,
    ProofRenewed,
    QueriedCoreChanged,
    SeedsChanged,
    SoftStateDeltaReceived,
    StoreUpdated,
    TablePositionReported,
    TimerFired,
    UpdateRequestReady,
    UpdateSourceChanged,
)
from .core_selection import CoreSelector
from .messages import Item, UpdateAnswer, UpdateRequest, Version

MAX_UNANSWERED_REQUESTS = 8
"""Number of requests whose answers are still accepted: over a slow link an answer may arrive after the next request was sent."""

REQUEST_NUMBER_BITS = 48
"""Size of the random number that identifies a request."""

MAX_LOGGED_KEYS_LENGTH = 200
"""Longest list of keys in a log line, in characters."""

NO_PROOF = -1
"""Stands for the age in milliseconds of a proof where no proof is held."""

Store = dict[str, tuple[Version, Any]]
"""Key to (version, value)."""


class PendingRequest(NamedTuple):
    """The latest request, while it has no answer.

    :ivar number: identifies the request; its answer carries the same number.
    :ivar core: the daemon that was queried: a core, a zone relay or a seed.
    """

    number: int
    core: str
    sent_at: timedelta


class UnansweredRequest(NamedTuple):
    """A request whose answer is still accepted.

    :ivar position: how far the table of soft state was synchronized when the request was sent.
    """

    sent_at: timedelta
    position: Any


class Updater:
    """Requests updates and applies them to this daemon's copy of the replicated store.

    It broadcasts `StoreUpdated` when the store has changed, and `ProofRenewed` when the store is proved to be up to date at a later
    time than before. The soft state in an answer is passed to membership, which then reports the position of its table.

    :ivar store: this daemon's copy of what control has acknowledged.
    :ivar store_version: the version of the store.
    :ivar proved_at: the last time at which the store was proved to be up to date; None without a proof.
    :ivar pending_request: the latest request if it has no answer yet, or None.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MessageReceived,
        MembershipChanged,
        TablePositionReported,
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

        :param own_address: the address at which this daemon accepts peer connections, HOST:PORT.
        :param seeds: addresses to query while no core is available.
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
        self._position: Any = ()  # up to which the table of soft state is synchronized
        self._unanswered: dict[int, UnansweredRequest] = {}
        self._next_request_at = ZERO
        # when this process started, and since when the daemon has held no proof
        self._started_at = ZERO
        self._unproved_since = ZERO
        # end of the last pause of this process, until a proof from after it
        self._paused_until: timedelta | None = None
        # whether answers may be applied, because they are not older than what an earlier process of this daemon held (design 5.7)
        self._has_passed_startup_check = False
        self._first_answer_at: timedelta | None = None
        # the delay before the next hedged request, and the network time of the last request and its answer
        self._hedge_delay: timedelta = tuning["hedge_gap"]
        self._transit_time = ZERO

    def on_start(self, now: timedelta) -> None:
        """Record when this process started."""
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
            case TablePositionReported():
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
        """Send the next request when it is due; send a hedged request if the pending one takes too long."""
        if self.pending_request is None and now >= self._next_request_at:
            self._request_updates(now)
        elif self.pending_request and now > self._next_attempt_at(self.pending_request):
            self._hedge(self.pending_request, now)
        pending = self.pending_request
        self._effects.append(WakeAt(self._next_attempt_at(pending) if pending else max(self._next_request_at, now)))

    def _on_position_reported(self, event: TablePositionReported, now: timedelta) -> None:
        """Send the next request after membership has applied the soft state of an answer."""
        if event.position is not None:
            self._position = event.position
        if self.pending_request is not None or now < self._next_request_at:
            return
        if type(self._position) is tuple:  # a version vector: the tables do not agree yet; the next request is not urgent
            self._next_request_at = now + self._tuning["beat"] / 2
        else:
            self._request_updates(now)

    def _on_process_paused(self, now: timedelta) -> None:
        """Drop the proof, because an answer from before the pause proves nothing about the present, and request a new one at once."""
        self.proved_at, self._unproved_since = None, now
        self._paused_until = now
        self._effects.append(Broadcast(ProofRenewed(None)))
        self._request_updates(now, urgent=True)

    def _on_message(self, event: MessageReceived, now: timedelta) -> None:
        """Handle the answer to a request of this process; ignore all other messages."""
        answer = UpdateAnswer.decode(event.body)
        request = self._unanswered.pop(answer.number, None) if answer is not None else None
        if answer is not None and request is not None:
            self._on_answer(event.sender, answer, request, now)

    # --- requests

    def _request_updates(self, now: timedelta, *, urgent: bool = False) -> None:
        """Request updates from the daemon that the selector chooses: a zone relay, a core or a seed; do nothing if there is none.

        The request gives the version of the store held here. The queried daemon holds the request until it has a newer version or
        other soft state, or until the wait is over.

        :param urgent: give the version just before the one held instead, so that a core which has the version held here answers at
            once: to it, that version is newer than the one given.
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
            self._effects.append(Post(Component.ZONE_RELAY, UpdateSourceChanged(core, self._selector.is_core_member(core))))
        version = version_before(self.store_version) if urgent else self.store_version
        # The request is not sent here but when this event comes back to the updater. Membership handles `QueriedCoreChanged` before that
        # and sends a newly selected core this daemon's record, which contains its address.
        self._effects.append(Post(Component.UPDATER, UpdateRequestReady(core, number, version)))

    def _hedge(self, pending: PendingRequest, now: timedelta) -> None:
        """Send an urgent request to another core as well: the core queried first may be outdated, partitioned or down."""
        answer_timeout = self._answer_timeout()
        is_timed_out = now - pending.sent_at > answer_timeout
        self._selector.avoid(pending.core, now + self._tuning["gone" if is_timed_out else "settle"])
        if not is_timed_out:
            age_ms = to_milliseconds(now - self.proved_at) if self.proved_at is not None else NO_PROOF
            self._effects.append(log_record("updates-overdue", core=pending.core, age_ms=age_ms))
        self._hedge_delay = min(self._hedge_delay * 2, answer_timeout)
        self._request_updates(now, urgent=True)

    def _answer_timeout(self) -> timedelta:
        """Return how long a core may take to answer."""
        wait: timedelta = self._tuning["ask_wait"] + self._tuning["beat"] * 2
        return wait

    def _next_attempt_at(self, pending: PendingRequest) -> timedelta:
        """Return when another core is queried instead of or in addition to the one of the pending request."""
        return min(pending.sent_at + self._answer_timeout(), self._hedge_at(pending))

    def _hedge_at(self, pending: PendingRequest) -> timedelta:
        """Return when a hedged request is due because the proof held has become too old.

        It is due no earlier than the hedge delay, or twice the network time of the last answer, after the pending request was sent:
        over a slow link a late answer does not mean a faulty core.
        """
        proved_at = self._unproved_since if self.proved_at is None else self.proved_at
        due: timedelta = proved_at + self._tuning["hedge_after"]
        return max(due, pending.sent_at + max(self._hedge_delay, 2 * self._transit_time))

    # --- answers

    def _on_answer(self, sender: str, answer: UpdateAnswer, request: UnansweredRequest, now: timedelta) -> None:
        """Apply an answer: soft state, items and proof."""
        self._transit_time = max(ZERO, now - request.sent_at - milliseconds(answer.held_ms))
        is_late = self.pending_request is None or answer.number != self.pending_request.number
        if not is_late:
            self.pending_request = None
        if request.position == self._position:  # a late delta may start from a position that the table has left
            self._effects.append(Post(Component.MEMBERSHIP, SoftStateDeltaReceived(sender, answer.delta)))
        if answer.version < self.store_version:
            self._reject_outdated(sender, answer, is_late, now)
            return
        answered_at = request.sent_at + milliseconds(min(answer.held_ms, to_milliseconds(now - request.sent_at)))
        proved_at = answered_at - milliseconds(answer.proof_age_ms)
        is_proof_stale = answer.proof_age_ms < 0 or answer.proof_age_ms > to_milliseconds(self._tuning["aged"])
        self._check_startup(answer.proof_age_ms, proved_at, now)
        if not self._has_passed_startup_check:
            self._next_request_at = now + self._tuning["beat" if self._tuning["trust"] else "pulse"]
        else:
            self._apply_items(answer)
            if self._covers_pause(request, is_proof_stale=is_proof_stale):
                self._renew_proof(answer.proof_age_ms, proved_at)
        if is_proof_stale:  # another core may have a more recent proof
            self._selector.avoid(sender, now + self._tuning["settle"])

    def _reject_outdated(self, sender: str, answer: UpdateAnswer, is_late: bool, now: timedelta) -> None:
        """Avoid a core whose store is older than this daemon's; a late answer was overtaken and is no evidence against its core."""
        if is_late:
            return
        self._effects.append(log_record("update-outdated", core=sender, held=self.store_version, received=answer.version))
        self._selector.avoid(sender, now + self._tuning["settle"])

    def _check_startup(self, proof_age_ms: int, proved_at: timedelta, now: timedelta) -> None:
        """Decide whether answers may be applied: an earlier process of this daemon may have held a newer store than an outdated core.

        With the setting `trust`, a proof not older than `aged` is sufficient, and from `settle` after the first answer any answer is.
        Without `trust`, the proof must be more recent than the start of this process.
        """
        self._first_answer_at = self._first_answer_at or now
        if self._has_passed_startup_check:
            return
        if self._tuning["trust"]:
            # also true without a proof, whose age is negative: that core has been restarted
            is_proof_recent = proof_age_ms <= to_milliseconds(self._tuning["aged"])
            self._has_passed_startup_check = is_proof_recent or now - self._first_answer_at >= self._tuning["settle"]
        else:
            self._has_passed_startup_check = proof_age_ms >= 0 and proved_at >= self._started_at

    def _apply_items(self, answer: UpdateAnswer) -> None:
        """Merge the items of an answer into the store, each by its version."""
        newer = [item for item in answer.items if is_newer(item, self.store)]
        if not newer and answer.version <= self.store_version:
            return
        self.store = merge_items(self.store, newer)
        self.store_version = max(self.store_version, answer.version)
        self._effects.append(Broadcast(StoreUpdated(self.store, self.store_version)))
        self._effects.append(Post(Component.ZONE_RELAY, ItemsReceived(answer.items, self.store_version)))
        if newer:  # items of some records are sent to cores only: a version without a newer item here is not advertised
            self._effects.append(Post(Component.MEMBERSHIP, AttributeSet("news", self.store_version)))
        keys = [key for key, _, _ in newer]
        if any(key == "config" or key.startswith("evac/") for key in keys):
            epoch, number = self.store_version
            self._effects.append(log_record("update-applied", version=f"{epoch}.{number}", keys=",".join(keys)[:MAX_LOGGED_KEYS_LENGTH]))

    def _covers_pause(self, request: UnansweredRequest, *, is_proof_stale: bool) -> bool:
        """Return whether an answer proves something about the time since the last pause; if so, the pause is over.

        An answer to a request from before it may have waited here all the while, and a core whose proof is stale may have been cut off.
        """
        if self._paused_until is None:
            return True
        if request.sent_at < self._paused_until or is_proof_stale:
            return False
        self._paused_until = None
        return True

    def _renew_proof(self, proof_age_ms: int, proved_at: timedelta) -> None:
        """Adopt a proof that is more recent than the one held."""
        if proof_age_ms < 0 or self.proved_at is not None and proved_at <= self.proved_at:
            return
        self.proved_at = proved_at
        self._hedge_delay = self._tuning["hedge_gap"]
        self._effects.append(Broadcast(ProofRenewed(proved_at)))


def version_before(version: Version) -> Version:
    """Return the version just before an acknowledged one; a version with number 0 is returned unchanged."""
    epoch, number = version
    return (epoch, number - 1) if number else version


def is_newer(item: Item, store: Mapping[str, tuple[Version, Any]]) -> bool:
    """Return whether an item is newer than the entry that the store holds under its key."""
    key, version, _ = item
    held_version, _ = store.get(key, (INITIAL_VERSION, None))
    return version > held_version


def merge_items(store: Store, items: list[Item]) -> Store:
    """Return the store with these items applied; a dropped role, whose value is None, is removed."""
    changed = {**store, **{key: (version, value) for key, version, value in items}}
    return {key: entry for key, entry in changed.items() if entry[1] is not None}
