"""State machine of one shard at its owner (design 6.3, 6.4): holds the claims and keeps them in agreement with the follower.

Requests that are not resumable wait until the shard is open.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from enum import Enum
from typing import Any

from boltons.cacheutils import LRI

from ..runtime.effects import ZERO, Effect, LogRecord, Send, log_record
from .claims import Claim, ClaimState, claims_from_rows, claims_to_rows, expired_keys
from .follower_choice import FollowerAssignment, FollowerCandidates
from .messages import (
    Adopted,
    AdoptionRefused,
    AdoptRequest,
    ClaimRequest,
    ClaimsCopied,
    ClaimsCopy,
    ClaimStateUpdate,
    RefusalReason,
    send,
)

NO_CORE = ""

UNRESPONSIVE_GONE_FACTOR = 2
"""An unresponsive core is not chosen as follower for this multiple of the `gone` time."""

REQUESTS_PER_TAKEOVER = 3
"""Unanswered requests to a follower are repeated this many times per `takeover` time."""


class ShardStep(Enum):
    """The steps by which an owner makes its shard ready for claims."""

    ADOPT = "adopt"  # fetch the claims from the follower under this epoch
    OPEN = "open"  # owner and follower agree: requests may be claimed
    COPY = "copy"  # send all claims to a new follower
    ASSIGN = "assign"  # have the control group record the new follower
    CLAIMS_LOST = "shut"  # the follower lost its claims, and this owner has no copy


class Shard:
    """A shard that this daemon owns.

    :ivar claims: key digest to claim; None until they are fetched from the follower.
    :ivar granted_keys: the most recent resumable keys granted here.
    :ivar first_requests: key digest to the id of the first request that used the key.
    :ivar unresponsive: cores that did not answer in time, and when that was detected.
    """

    __slots__ = (
        "name",
        "epoch",
        "follower",
        "step",
        "claims",
        "granted_keys",
        "first_requests",
        "unresponsive",
        "_owner",
        "_claims_limit",
        "_last_number",
        "_requested_at",
        "_copy_target",
        "_copy_number",
        "_follower_process",
        "_awaited_step",
        "_awaited_since",
    )

    def __init__(self, *, name: str, epoch: int, follower: str, owner: str, claims: dict[str, Claim] | None, claims_limit: int) -> None:
        """:param claims: the claims kept from the previous epoch, if this daemon owned the shard in it; None otherwise."""
        self.name = name
        self.epoch = epoch
        self.follower = follower
        self.step = ShardStep.ADOPT if follower else ShardStep.COPY
        self.claims = claims if follower else {}  # a shard without a follower has never had a claim
        self.granted_keys = LRI(max_size=claims_limit)
        self.first_requests = LRI(max_size=claims_limit)
        self.unresponsive: dict[str, timedelta] = {}
        self._owner = owner
        self._claims_limit = claims_limit
        self._last_number = max([claim.number for claim in (claims or {}).values()], default=0)
        self._requested_at: timedelta | None = None
        self._copy_target = NO_CORE
        self._copy_number = 0
        self._follower_process: str | None = None  # process id last seen in the membership
        self._awaited_step: tuple[ShardStep, str] | None = None  # (step, copy target), to time how long they stay unchanged
        self._awaited_since = ZERO

    @property
    def is_open(self) -> bool:
        """Whether keys may be claimed."""
        return self.step is ShardStep.OPEN

    @property
    def has_lost_claims(self) -> bool:
        """Whether the claims are lost: the shard opens only under another epoch, or once its follower has the claims again."""
        return self.step is ShardStep.CLAIMS_LOST

    def claims_for(self, epoch: int) -> dict[str, Claim] | None:
        """Return the claims if `epoch` directly follows this one, so that no other owner can have added any; None otherwise."""
        return self.claims if epoch == self.epoch + 1 else None

    # --- claims

    def claim_of(self, key_digest: str) -> Claim | None:
        """Return the claim of a key, or None if there is none or the claims are not loaded."""
        return self.claims.get(key_digest) if self.claims is not None else None

    def claim(self, key_digest: str, request_id: str) -> Send:
        """Claim a key for a request, and return the message that has the follower sync the claim. The shard must be open."""
        assert self.claims is not None
        held = self.claims.get(key_digest)
        if held is None:
            self._last_number += 1
        number = held.number if held is not None else self._last_number
        self.claims[key_digest] = Claim(request_id, ClaimState.CLAIMED.value, number)
        for expired_key in expired_keys(self.claims, self._claims_limit):
            del self.claims[expired_key]
        return send(self.follower, ClaimRequest(self.name, self.epoch, request_id, key_digest, request_id, number))

    def set_claim_state(self, key_digest: str, request_id: str, state: str) -> list[Effect]:
        """Change the state of a request's claim, or delete the claim (`ClaimState.FREE`), and notify the follower."""
        claim = self.claim_of(key_digest)
        if self.claims is None or claim is None or claim.request_id != request_id:
            return []
        if state == ClaimState.FREE:
            del self.claims[key_digest]
        else:
            self.claims[key_digest] = claim._replace(state=state)
        return [send(self.follower, ClaimStateUpdate(self.name, self.epoch, key_digest, request_id, state))]

    # --- events that invalidate the agreement with the follower

    def restart_adoption(self) -> None:
        """Fetch the follower's claims again: another daemon may own the shard by now, or the follower may have lost its disk."""
        if self.is_open:
            self._enter_step(ShardStep.ADOPT)

    def observe_follower_process(self, process_id: str | None) -> None:
        """Restart adoption if the follower runs in another process than before: it may have lost its disk (design 6.4)."""
        if process_id is not None and process_id != self._follower_process:
            if self._follower_process is not None:
                self.restart_adoption()
            self._follower_process = process_id

    def on_claim_refused(self, epoch: int, reason: str) -> None:
        """Copy the claims to a follower that has none of this shard, or adopt again from one that follows another epoch."""
        if epoch != self.epoch:
            return
        if reason == RefusalReason.UNKNOWN_SHARD:
            self._enter_step(ShardStep.COPY)
        elif reason == RefusalReason.OTHER_EPOCH:
            self._enter_step(ShardStep.ADOPT)

    def _enter_step(self, step: ShardStep) -> None:
        self.step, self._requested_at = step, None

    # --- responses from the follower

    def on_adopted(self, sender: str, message: Adopted) -> list[LogRecord]:
        """Merge the follower's claims and open the shard; if the follower lacks claims that this owner has, copy them all first."""
        if message.epoch != self.epoch or sender != self.follower or self.step is not ShardStep.ADOPT:
            return []
        received = claims_from_rows(message.claims)
        own = self.claims or {}
        self.claims = {**received, **own}
        self._last_number = max([self._last_number, *[claim.number for claim in received.values()]])
        oldest_kept = self._last_number - self._claims_limit
        if any([key not in received and claim.number > oldest_kept for key, claim in own.items()]):
            self._enter_step(ShardStep.COPY)
            return []
        self.step = ShardStep.OPEN
        return [log_record("shard-open", shard=self.name, epoch=self.epoch, claims=len(received))]

    def on_adoption_refused(self, sender: str, message: AdoptionRefused) -> list[LogRecord]:
        """Copy the claims to a follower that has none of this shard; if this owner has none either, the claims are lost."""
        if message.epoch != self.epoch or self.step is not ShardStep.ADOPT or message.reason != RefusalReason.UNKNOWN_SHARD:
            return []
        if self.claims is not None:
            self._enter_step(ShardStep.COPY)
            return []
        self.step = ShardStep.CLAIMS_LOST
        return [log_record("claims-lost", shard=self.name, follower=sender)]

    def on_copied(self, sender: str, message: ClaimsCopied) -> None:
        """Continue once the copy is synced: adopt if its target already is the follower, else have control assign it."""
        if message.epoch != self.epoch or self.step is not ShardStep.COPY:
            return
        if sender == self._copy_target and message.number == self._copy_number:
            self._enter_step(ShardStep.ADOPT if sender == self.follower else ShardStep.ASSIGN)

    # --- timer

    def advance(self, now: timedelta, cores: FollowerCandidates, tuning: Mapping[str, Any]) -> Send | FollowerAssignment | None:
        """Return what the current step needs now: a message to the follower or copy target, an assignment for control, or None."""
        self._record_unresponsive(now, tuning)
        is_live = self.follower in cores.live
        is_unfit = self.follower in self.unresponsive or self.follower in cores.same_zone
        if self.is_open and is_live and not is_unfit:
            return None
        spare_cores = [core for core in cores.ranked(self.name) if core not in self.unresponsive]
        must_replace = not is_live or (is_unfit and bool(spare_cores))
        self._change_step(must_replace, now, tuning)
        if self.is_open or (self._requested_at is not None and now - self._requested_at < tuning["takeover"] / REQUESTS_PER_TAKEOVER):
            return None
        self._requested_at = now
        if self.step is ShardStep.ADOPT:
            return send(self.follower, AdoptRequest(self.name, self.epoch))
        if self.step is ShardStep.COPY:
            return self._copy_to(self.follower if not must_replace else next(iter(spare_cores), NO_CORE))
        if self.step is ShardStep.ASSIGN:
            return self._assign(cores.live)
        return None

    def _record_unresponsive(self, now: timedelta, tuning: Mapping[str, Any]) -> None:
        """Record the core that has not answered within `claim_wait`, and drop records that have expired."""
        awaited_step = (self.step, self._copy_target)
        if self._awaited_step != awaited_step:
            self._awaited_step, self._awaited_since = awaited_step, now
        if now - self._awaited_since > tuning["claim_wait"]:
            if self.step is ShardStep.COPY and self._copy_target:
                self.unresponsive[self._copy_target] = now
            elif self.step is ShardStep.ADOPT and self.claims is not None:
                self.unresponsive[self.follower] = now
        if self.unresponsive:
            kept_for = tuning["gone"] * UNRESPONSIVE_GONE_FACTOR
            self.unresponsive = {core: seen_at for core, seen_at in self.unresponsive.items() if now - seen_at < kept_for}

    def _change_step(self, must_replace: bool, now: timedelta, tuning: Mapping[str, Any]) -> None:
        """Begin to replace the follower if needed and possible; retry adoption of lost claims once the follower is live again."""
        is_agreed = self.step in (ShardStep.OPEN, ShardStep.ADOPT)
        if is_agreed and self.follower and must_replace and self.claims is not None:
            self._enter_step(ShardStep.COPY)
        if self.step is ShardStep.CLAIMS_LOST and not must_replace:
            if self._requested_at is None or now - self._requested_at > tuning["gone"]:
                self.step = ShardStep.ADOPT

    def _copy_to(self, target: str) -> Send | None:
        self._copy_target = target
        self._copy_number += 1
        if not target:
            return None
        assert self.claims is not None
        return send(target, ClaimsCopy(self.name, self.epoch, self._copy_number, claims_to_rows(self.claims)))

    def _assign(self, live: set[str]) -> FollowerAssignment | None:
        if self._copy_target not in live:
            self.step = ShardStep.COPY
            return None
        return FollowerAssignment("shard", self.name, self.epoch, self._owner, self._copy_target)
