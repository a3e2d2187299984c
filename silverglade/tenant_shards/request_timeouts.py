"""Time-outs and retries of the requests at a shard owner (design 6.2)."""

from __future__ import annotations

from datetime import timedelta

from ..runtime import result_codes
from .admission import Admission
from .context import OwnerContext
from .messages import RunStatus
from .queued_request import GRANTED, REFUSED, WAITING, QueuedRequest, RequestStep
from .request_queue import RequestQueue

RETRY_LATER_MS = 1000
"""Retry-after for clients whose request has timed out."""


class RequestTimeouts:
    """Ends the requests that have timed out, and retries the others when they are due."""

    __slots__ = ("_context", "_queue", "_admission")

    def __init__(self, context: OwnerContext, queue: RequestQueue, admission: Admission) -> None:
        self._context = context
        self._queue = queue
        self._admission = admission

    def check(self, live_daemons: set[str], now: timedelta) -> None:
        """Check every request; to be called on each timer event."""
        for request in list(self._context.requests.values()):
            if request.step in (GRANTED, REFUSED):
                self._check_answered(request, live_daemons, now)
            elif request.ingress not in live_daemons:
                self._queue.deny(request, result_codes.LINK_LOST, ran=RunStatus.MAYBE.value)
            elif now >= request.deadline:
                self._queue.deny(request, result_codes.NO_SLOT, retry_after_ms=RETRY_LATER_MS)
            elif request.step is WAITING:
                self._check_waiting(request, now)
            elif request.has_step_timed_out(now):
                if request.step is RequestStep.CLAIMING:
                    self._time_out_claim(request, now)
                else:
                    self._admission.ask_next_candidate(request, now)

    def _check_answered(self, request: QueuedRequest, live_daemons: set[str], now: timedelta) -> None:
        """Drop a granted or refused request once its ingress is gone (granted ones only) or its step has timed out."""
        is_orphaned = request.step is GRANTED and request.ingress not in live_daemons
        if is_orphaned or request.has_step_timed_out(now):
            self._queue.drop(request)

    def _time_out_claim(self, request: QueuedRequest, now: timedelta) -> None:
        """Deny a request whose claim was not synced in time, and mark the follower unresponsive so that it is replaced."""
        shard = self._context.shards.get(request.tenant)
        if shard is not None:
            shard.unresponsive[shard.follower] = now
        self._queue.deny(request, result_codes.NO_FOLLOWER, retry_after_ms=RETRY_LATER_MS)

    def _check_waiting(self, request: QueuedRequest, now: timedelta) -> None:
        waited = now - request.received_at
        if not request.is_resumable and self._is_claim_impossible(request, waited):
            self._queue.deny(request, result_codes.NO_FOLLOWER, retry_after_ms=RETRY_LATER_MS)
        elif waited > self._context.tuning["queue_wait"]:
            self._queue.deny(request, result_codes.NO_SLOT, retry_after_ms=RETRY_LATER_MS)
        elif now >= request.next_attempt_at:
            self._admission.advance(request, now)

    def _is_claim_impossible(self, request: QueuedRequest, waited: timedelta) -> bool:
        """Whether the shard did not open within `claim_wait` of the request, or has lost its claims."""
        shard = self._context.shards.get(request.tenant)
        if shard is not None and shard.is_open:
            return False
        return bool(waited > self._context.tuning["claim_wait"]) or (shard is not None and shard.has_lost_claims)
