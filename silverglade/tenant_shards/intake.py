"""Intake of grant requests at a shard owner (design 6.2, 7.5): validity checks, retry budget, queue limit."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from ..configuration.schema import key_digest
from ..runtime import result_codes
from ..runtime.effects import milliseconds
from .admission import Admission
from .context import OwnerContext
from .messages import Denial, GrantRequest, GrantRequestFacts, OwnerMoved, RunStatus
from .queued_request import QueuedRequest, RequestStep
from .request_queue import RequestQueue
from .shard import Shard

NOT_READY_RETRY_MS = 500
RETRY_BUDGET_RETRY_MS = 2000
QUEUE_FULL_RETRY_MS = 1000
"""Retry-after for clients, by cause of the denial."""


class RequestIntake:
    """Queues requests, or denies them immediately."""

    __slots__ = ("_context", "_queue", "_admission")

    def __init__(self, context: OwnerContext, queue: RequestQueue, admission: Admission) -> None:
        self._context = context
        self._queue = queue
        self._admission = admission

    def on_grant_request(self, sender: str, message: GrantRequest, now: timedelta) -> None:
        """Handle a grant request: the first one, a repeated one, or one for a redispatch."""
        context = self._context
        facts = GrantRequestFacts.of(message.facts)
        shard = context.shards.get(message.tenant)
        if context.configuration and not context.has_class(message.tenant, facts.request_class):
            self._refuse(sender, message, result_codes.UNKNOWN_CLASS)
        elif not context.configuration or shard is None or message.epoch != shard.epoch:
            context.send(sender, OwnerMoved(message.request_id, message.attempt))
        elif not self._is_up_to_date(now):
            self._refuse(sender, message, result_codes.STALE)
        elif not self._is_duplicate(message, now):
            self._enqueue(sender, message, facts, shard, context.configuration, now)

    def _refuse(self, sender: str, message: GrantRequest, code: int) -> None:
        """Deny a grant request that was not queued; nothing is known of its key."""
        self._context.send(sender, Denial(message.request_id, message.attempt, code, RunStatus.UNKNOWN.value, NOT_READY_RETRY_MS))

    def _is_up_to_date(self, now: timedelta) -> bool:
        """Whether the store was confirmed to be current within `alone`; otherwise no request is started."""
        if self._context.proved_at is None or now - self._context.proved_at > self._context.tuning["alone"]:
            return False
        return True

    def _is_duplicate(self, message: GrantRequest, now: timedelta) -> bool:
        """Whether this attempt, or a later one, is already queued; if this attempt was granted, the grant is sent again."""
        known = self._context.requests.get(message.request_id)
        if known is None or known.attempt < message.attempt:
            return False
        if known.step is RequestStep.GRANTED and known.attempt == message.attempt and known.replica in self._context.replicas:
            self._admission.grant(known, now)
        return True

    def _enqueue(
        self,
        sender: str,
        message: GrantRequest,
        facts: GrantRequestFacts,
        shard: Shard,
        configuration: Mapping[str, Any],
        now: timedelta,
    ) -> None:
        """Queue a request, and look for a slot immediately unless earlier requests wait for the same kind of replica."""
        waiting = self._queue.waiting(message.tenant)
        earlier = self._context.requests.get(message.request_id)
        request = self._build_request(sender, message, facts, configuration, now)
        if earlier is not None:
            request.holds_claim, request.is_retry, request.refused_by = earlier.holds_claim, earlier.is_retry, earlier.refused_by
        self._context.requests[message.request_id] = request
        if self._admission.refuse_if_claimed(shard, request):
            return
        if not self._is_within_retry_budget(shard, request, earlier, facts.client_attempt, now):
            self._queue.deny(request, result_codes.RETRY_BUDGET, retry_after_ms=RETRY_BUDGET_RETRY_MS)
            return
        if len(waiting) >= self._context.tuning["queue"]:
            self._queue.deny(request, result_codes.QUEUE_FULL, retry_after_ms=QUEUE_FULL_RETRY_MS)
            return
        is_first_of_kind = not any([other.kind == request.kind for other in waiting])
        if is_first_of_kind or (not shard.is_open and not request.is_resumable):
            self._admission.advance(request, now)

    def _build_request(
        self, sender: str, message: GrantRequest, facts: GrantRequestFacts, configuration: Mapping[str, Any], now: timedelta
    ) -> QueuedRequest:
        settings = configuration["tenants"][message.tenant]["classes"][facts.request_class]
        time_left = milliseconds(facts.time_left_ms)
        return QueuedRequest(
            request_id=message.request_id,
            attempt=message.attempt,
            ingress=sender,
            tenant=message.tenant,
            request_class=facts.request_class,
            key_digest=key_digest(f"{message.tenant}\0{facts.key}"),
            prefix=facts.prefix,
            kind=settings["kind"],
            is_resumable=settings["resumable"],
            received_at=now,
            time_left=time_left,
            deadline=now + time_left,
            next_attempt_at=now,
        )

    def _is_within_retry_budget(
        self, shard: Shard, request: QueuedRequest, earlier: QueuedRequest | None, client_attempt: int, now: timedelta
    ) -> bool:
        """Count the request, and charge it to the retry budget if it is a retry (design 7.5).

        The owner sees every request of its tenants, so it detects a repeated key even without the attempt header.

        :returns: whether the request may go on.
        """
        budget, tuning, owned_fraction = self._context.budget, self._context.tuning, self._context.owned_fraction
        first_request: str = shard.first_requests.setdefault(request.key_digest, request.request_id)
        if request.attempt > 1:  # a redispatch; not charged if the earlier attempt was never sent
            was_not_sent = earlier is not None and earlier.was_not_sent
            return was_not_sent or budget.take_retry(now, tuning["retry_share"], owned_fraction)
        if earlier is not None:
            return True
        if client_attempt > 1 or first_request != request.request_id:
            request.is_retry = True
            return budget.take_retry(now, tuning["retry_stop"], owned_fraction)
        budget.count_first_request(now)
        return True
