"""The requests at a shard owner: which wait for a slot, whether their keys ran, and how they end (design 6.2, 6.5)."""

from __future__ import annotations

from datetime import timedelta

from ..runtime import result_codes
from .claims import Claim, ClaimState
from .context import OwnerContext
from .messages import Denial, LeaseRelease, RequestAbandoned, RunEnded, RunOutcome, RunStatus
from .queued_request import GRANTED, REFUSED, WAITING, QueuedRequest, RequestStep

NO_HOLDER = ""
"""Destination of a lease release while the replica has no lease holder; the message is dropped."""


def run_status_of_claim(claim: Claim) -> str:
    """Return the `RunStatus` value of a key that another request has claimed."""
    return RunStatus.YES.value if claim.state == ClaimState.DONE else RunStatus.MAYBE.value


class RequestQueue:
    """Queries and ends the requests held in the context."""

    __slots__ = ("_context",)

    def __init__(self, context: OwnerContext) -> None:
        self._context = context

    def waiting(self, tenant: str) -> list[QueuedRequest]:
        """Return the tenant's requests that wait for a slot, in order of arrival."""
        return [request for request in self._context.requests.values() if request.tenant == tenant and request.step is WAITING]

    def run_status(self, request: QueuedRequest) -> str:
        """Return what this owner knows of whether the request's key ran, as a `RunStatus` value."""
        shard = self._context.shards.get(request.tenant)
        for other in self._context.requests.values():
            if other.key_digest == request.key_digest and other is not request:
                return RunStatus.MAYBE.value  # concurrent requests with the same key
        if request.is_resumable:
            was_granted = shard is not None and request.key_digest in shard.granted_keys
            return RunStatus.MAYBE.value if was_granted else RunStatus.UNKNOWN.value
        claim = shard.claim_of(request.key_digest) if shard is not None else None
        if claim is not None and claim.request_id != request.request_id:
            return run_status_of_claim(claim)  # another request claimed the key first
        return RunStatus.NO.value if request.is_key_checked else RunStatus.UNKNOWN.value

    def deny(self, request: QueuedRequest, code: int, *, ran: str | None = None, retry_after_ms: int | None = None) -> None:
        """Deny a request and remove it. Its claim is deleted if its key certainly did not run.

        :param ran: the `RunStatus` value to report; None for the result of `run_status`.
        """
        if ran is None:
            ran = self.run_status(request)
        self._context.requests.pop(request.request_id, None)
        self.release_lease(request, succeeded=False)
        if request.holds_claim and ran == RunStatus.NO:
            self._set_claim_state(request, ClaimState.FREE.value)
        self._context.send(request.ingress, Denial(request.request_id, request.attempt, code, ran, retry_after_ms))

    def drop(self, request: QueuedRequest) -> None:
        """Remove a request without an answer, since nobody waits for one; its claim stays, since it may have run."""
        self.release_lease(request, succeeded=False)
        self._context.requests.pop(request.request_id)

    def release_lease(self, request: QueuedRequest, *, succeeded: bool) -> None:
        """Release the request's slot lease, if it holds one."""
        if not request.lease_id:
            return
        replica, leases_held = request.replica, self._context.leases_held
        leases_held[replica] = max(0, leases_held.get(replica, 0) - 1)
        holder = self._context.lease_holders.get(replica)
        to = holder.daemon if holder is not None else NO_HOLDER
        self._context.send(to, LeaseRelease(replica, request.lease_id, succeeded))
        request.lease_id = ""

    def deny_unconfigured(self) -> None:
        """Deny the requests not granted yet whose tenant or class is no longer in the configuration (design 6.7)."""
        for request in list(self._context.requests.values()):
            is_waiting = request.step not in (GRANTED, REFUSED)
            if is_waiting and not self._context.has_class(request.tenant, request.request_class):
                self.deny(request, result_codes.WITHDRAWN)

    def on_run_ended(self, sender: str, message: RunEnded, now: timedelta) -> None:
        """End a granted request; if its replica did not run it, keep it so that the ingress may redispatch under the same claim."""
        request = self._context.requests.get(message.request_id)
        if request is None or request.attempt != message.attempt or request.ingress != sender:
            return
        self.release_lease(request, succeeded=message.outcome == RunOutcome.DONE)
        if message.outcome in (RunOutcome.REFUSED, RunOutcome.NOT_SENT) and request.replica:
            request.refused_by.add(request.replica)
            request.enter_step(RequestStep.REFUSED, until=now + self._context.tuning["grant"])
            request.was_not_sent = message.outcome == RunOutcome.NOT_SENT
            return
        del self._context.requests[request.request_id]
        if request.holds_claim:
            self._set_claim_state(request, message.outcome)

    def on_request_abandoned(self, sender: str, message: RequestAbandoned) -> None:
        """Remove a request that the ingress will never send, and free its key."""
        request = self._context.requests.pop(message.request_id, None)
        if request is None or request.ingress != sender:
            return
        self.release_lease(request, succeeded=False)
        if request.holds_claim:
            self._set_claim_state(request, ClaimState.FREE.value)

    def _set_claim_state(self, request: QueuedRequest, state: str) -> None:
        shard = self._context.shards.get(request.tenant)
        if shard is not None:
            self._context.effects.extend(shard.set_claim_state(request.key_digest, request.request_id, state))
