"""Admission of requests at a shard owner (design 6.2): lease a slot, claim the key, then grant."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from ..replicas.candidate_selection import select_candidates
from ..replicas.records import READY
from ..runtime import result_codes
from .context import OwnerContext
from .messages import (
    Claimed,
    ClaimRefused,
    Grant,
    LeaseDenied,
    LeaseGranted,
    LeaseOffer,
    LeaseRelease,
    LeaseRequest,
    RefusalReason,
    RunStatus,
)
from .queued_request import QueuedRequest, RequestStep
from .request_queue import RequestQueue, run_status_of_claim
from .shard import Shard

RETRY_SOON_MS = 500
"""Retry-after for clients while the shard's owner or follower is being replaced."""

OVERFLOW_TIME_DIVISOR = 4
"""A request may overflow once it has waited this fraction (one fourth) of its time left, or `spill_wait` if that is shorter."""


def _request_of_lease(lease_id: str) -> str:
    """Return the id of the request that a lease was requested for (see `Admission.ask_next_candidate`)."""
    return lease_id.rsplit("/", 1)[0]


class Admission:
    """Takes queued requests through slot lease and key claim to the grant."""

    __slots__ = ("_context", "_queue", "_last_lease")

    def __init__(self, context: OwnerContext, queue: RequestQueue) -> None:
        self._context = context
        self._queue = queue
        self._last_lease = 0

    # --- slot leases

    def advance(self, request: QueuedRequest, now: timedelta) -> None:
        """Look for a slot for a waiting request; deny it if this daemon no longer owns its shard or its key is already claimed."""
        shard = self._context.shards.get(request.tenant)
        if shard is None:
            self._queue.deny(request, result_codes.NO_OWNER, retry_after_ms=RETRY_SOON_MS)
            return
        if not request.is_resumable and not shard.is_open:
            return  # waits until owner and follower agree; RequestTimeouts ends the wait
        if self.refuse_if_claimed(shard, request):
            return
        request.candidates = self._candidates(request, now)
        self.ask_next_candidate(request, now)

    def ask_next_candidate(self, request: QueuedRequest, now: timedelta) -> None:
        """Request a slot lease for the next candidate; without a candidate the request waits and is retried after a `beat`."""
        replicas = self._context.replicas
        request.candidates = [name for name in request.candidates if name in replicas]
        while request.candidates:
            replica = request.candidates.pop(0)
            holder = self._context.lease_holders.get(replica)
            if holder is None:
                continue
            self._last_lease += 1
            request.enter_step(RequestStep.LEASING, until=now + self._context.tuning["owner_wait"])
            request.replica, request.lease_id = replica, ""
            request.lease_request_id = f"{request.request_id}/{self._last_lease}"
            self._context.send(holder.daemon, LeaseRequest(replica, holder.epoch, request.lease_request_id, request.tenant))
            return
        request.step = RequestStep.WAITING
        request.next_attempt_at = now + self._context.tuning["beat"]

    def on_lease_granted(self, sender: str, message: LeaseGranted, now: timedelta) -> None:
        """Use the granted lease, or release it if its request no longer waits for it."""
        request = self._leasing_request(message.lease_id)
        if request is not None and message.replica in self._context.replicas:
            self._on_slot_leased(request, message.replica, message.lease_id, now)
        else:
            self._context.send(sender, LeaseRelease(message.replica, message.lease_id, False))

    def on_lease_denied(self, message: LeaseDenied, now: timedelta) -> None:
        """Try the next candidate after a lease was denied."""
        request = self._leasing_request(message.lease_id)
        if request is not None:
            self.ask_next_candidate(request, now)

    def on_lease_offer(self, sender: str, message: LeaseOffer, now: timedelta) -> None:
        """Give a freed slot to the waiting request with the earliest deadline that may use it, or release the lease."""
        request = self._request_for_offer(message, now)
        if request is not None:
            self._on_slot_leased(request, message.replica, message.lease_id, now)
        else:
            self._context.send(sender, LeaseRelease(message.replica, message.lease_id, False))

    def _leasing_request(self, lease_id: str) -> QueuedRequest | None:
        request = self._context.requests.get(_request_of_lease(lease_id))
        if request is not None and request.step is RequestStep.LEASING and request.lease_request_id == lease_id:
            return request
        return None

    def _request_for_offer(self, offer: LeaseOffer, now: timedelta) -> QueuedRequest | None:
        shard = self._context.shards.get(offer.tenant)
        if shard is None or offer.replica not in self._context.replicas:
            return None
        for request in sorted(self._queue.waiting(offer.tenant), key=lambda waiting: waiting.deadline):
            if (request.is_resumable or shard.is_open) and offer.replica in self._candidates(request, now):
                return request
        return None

    # --- candidates

    def _candidates(self, request: QueuedRequest, now: timedelta) -> list[str]:
        """Return the replicas that may run the request now, in order of preference (design 7.2, 7.4)."""
        context = self._context
        configuration = context.configuration
        assert configuration is not None  # requests are queued only under a configuration
        home, elsewhere = select_candidates(
            replicas=context.replicas,
            configuration=configuration,
            tenant=request.tenant,
            kind=request.kind,
            prefix=request.prefix,
            now=now,
            tuning=context.tuning,
            drained_zones=context.drained_zones,
            own_leases=context.leases_held,
        )
        if not home and not elsewhere:
            return []
        if not home or (self._is_home_region_short(request, configuration) and self._may_overflow(request, now)):
            request.is_overflow = bool(elsewhere)
            home = home + elsewhere
        return [name for name in home if name not in request.refused_by]

    def _is_home_region_short(self, request: QueuedRequest, configuration: Mapping[str, Any]) -> bool:
        """Whether the home region has fewer ready replicas of this kind than the scaler requires."""
        zones = configuration["zones"]
        home_zone = configuration["tenants"][request.tenant]["homes"][0]
        region = zones[home_zone]["region"]
        ready = 0
        for record, status, _ in self._context.replicas.values():
            is_ready = status is not None and status.state == READY
            if is_ready and record.kind == request.kind and record.zone in zones and zones[record.zone]["region"] == region:
                ready += 1
        return self._context.required_replicas.get((region, request.kind), 0) > ready

    def _may_overflow(self, request: QueuedRequest, now: timedelta) -> bool:
        """Whether the request has waited long enough for a slot in its home region to use another one."""
        overflow_wait: timedelta = min(self._context.tuning["spill_wait"], request.time_left / OVERFLOW_TIME_DIVISOR)
        return now - request.received_at >= overflow_wait

    # --- the claim, and the grant

    def refuse_if_claimed(self, shard: Shard, request: QueuedRequest) -> bool:
        """Deny the request if another one has claimed its key; check once, as soon as the shard is open.

        :returns: whether the request was denied.
        """
        if request.is_resumable or request.is_key_checked or not shard.is_open:
            return False
        request.is_key_checked = True
        claim = shard.claim_of(request.key_digest)
        if claim is None or claim.request_id == request.request_id:
            return False
        self._queue.deny(request, result_codes.SEEN, ran=run_status_of_claim(claim))
        return True

    def _on_slot_leased(self, request: QueuedRequest, replica: str, lease_id: str, now: timedelta) -> None:
        """Grant a request that holds a slot now, or claim its key first if it must not run twice."""
        context = self._context
        request.replica, request.lease_id = replica, lease_id
        context.leases_held[replica] = context.leases_held.get(replica, 0) + 1
        if request.is_resumable:
            context.shards[request.tenant].granted_keys[request.key_digest] = True
            self.grant(request, now)
            return
        shard = context.shards.get(request.tenant)
        if shard is None or not shard.is_open:
            self._queue.deny(request, result_codes.NO_FOLLOWER, retry_after_ms=RETRY_SOON_MS)
            return
        request.is_key_checked = False  # its key may have been claimed by another request while it waited
        if self.refuse_if_claimed(shard, request):
            return
        request.enter_step(RequestStep.CLAIMING, until=now + context.tuning["claim_wait"])
        request.holds_claim = True
        context.effects.append(shard.claim(request.key_digest, request.request_id))

    def on_claimed(self, message: Claimed, now: timedelta) -> None:
        """Grant the request once the follower has synced its claim."""
        request = self._context.requests.get(message.call_id)
        shard = self._context.shards.get(message.shard)
        if request is None or request.step is not RequestStep.CLAIMING:
            return
        if shard is not None and shard.epoch == message.epoch and request.replica in self._context.replicas:
            self.grant(request, now)

    def on_claim_refused(self, message: ClaimRefused) -> None:
        """Deny a request whose claim the follower refused: the key was claimed before, or the follower has no claims of this epoch."""
        request = self._context.requests.get(message.call_id)
        if request is None or request.step is not RequestStep.CLAIMING:
            return
        if message.reason == RefusalReason.ALREADY_CLAIMED:
            request.holds_claim = False
            self._queue.deny(request, result_codes.SEEN, ran=RunStatus.MAYBE.value)
            return
        shard = self._context.shards.get(message.shard)
        if shard is None or message.shard != request.tenant:
            return
        shard.on_claim_refused(message.epoch, message.reason)
        self._queue.deny(request, result_codes.NO_FOLLOWER, retry_after_ms=RETRY_SOON_MS)

    def grant(self, request: QueuedRequest, now: timedelta) -> None:
        """Send the ingress the grant to run the request on its replica."""
        context = self._context
        record = context.replicas[request.replica].record
        request.enter_step(RequestStep.GRANTED, until=now + request.time_left + context.tuning["grant"])
        context.send(
            request.ingress,
            Grant(
                request_id=request.request_id,
                attempt=request.attempt,
                replica=request.replica,
                incarnation=record.incarnation,
                address=record.address,
                epoch=context.shards[request.tenant].epoch,
                is_overflow=request.is_overflow,
                is_retry=request.is_retry,
            ),
        )
