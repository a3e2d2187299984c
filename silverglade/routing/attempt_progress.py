"""Handling of attempt outcomes (design 15.3)."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

from ..duties.duty import Duty
from ..runtime.components import Component
from ..runtime.effects import CloseReplicaConnections, ForwardResponse, Post, milliseconds
from ..runtime.events import AttemptProgressed, ServiceRequestServed, TenantRequestStarted
from .attempt_outcomes import READ_ERROR, AttemptOutcome, UnsentReason
from .attempts import RESPONSE_LOST, RETRY_AFTER_ATTEMPTS_S, Attempts, attempts_exhausted
from .context import RouterContext
from .replica_feedback import ReplicaFeedback
from .replicas import ReplicaState
from .request import Request

Details = tuple[Any, ...]
Handler = Callable[[Request, ReplicaState | None, AttemptProgressed, timedelta], None]

REFUSAL_BACKOFF = milliseconds(200)
"""For how long other replicas are preferred after a replica has refused a request."""

OUTCOMES_OF_SUPERSEDED_ATTEMPTS = frozenset({AttemptOutcome.DONE, AttemptOutcome.GONE})
"""Outcomes that are also handled for an attempt that a later one has superseded."""
ONGOING_OUTCOMES = frozenset({AttemptOutcome.BEGAN, AttemptOutcome.FIRST, AttemptOutcome.SILENT})
"""Outcomes after which the attempt stays open."""
ANSWERED_OUTCOMES = frozenset(
    {AttemptOutcome.BEGAN, AttemptOutcome.FIRST, AttemptOutcome.DONE, AttemptOutcome.NOT_RUN, AttemptOutcome.FAILED}
)
"""Outcomes that show that the replica was reached."""


class AttemptProgress:
    """Handles reports of the request forwarder.

    :ivar counts_usage: whether the usage counter is notified when a caller's request starts to run (design 18.4).
    """

    __slots__ = ("attempts", "context", "counts_usage", "feedback", "handlers")

    def __init__(self, context: RouterContext, attempts: Attempts) -> None:
        self.context = context
        self.attempts = attempts
        self.feedback = ReplicaFeedback(context)
        self.counts_usage = Duty.USAGE in context.tuning["duties"]
        self.handlers: dict[str, Handler] = {
            AttemptOutcome.BEGAN: self.on_response_began,
            AttemptOutcome.FIRST: self.on_response_began,
            AttemptOutcome.DONE: self.on_done,
            AttemptOutcome.UNSENT: self.on_unsent,
            AttemptOutcome.NOT_RUN: self.on_not_run,
            AttemptOutcome.FAILED: self.on_failed,
            AttemptOutcome.LOST: self.on_lost,
            AttemptOutcome.CUT: self.on_cut,
            AttemptOutcome.SILENT: self.on_silent,
            AttemptOutcome.GONE: self.on_client_gone,
        }

    def on_progress(self, request: Request, progress: AttemptProgressed, now: timedelta) -> None:
        """Handle one report of the request forwarder."""
        outcome = progress.outcome
        if progress.attempt != request.attempt_number and outcome not in OUTCOMES_OF_SUPERSEDED_ATTEMPTS:
            return  # a superseded attempt
        replica = self.context.replica_of(request, progress.attempt)
        if outcome not in ONGOING_OUTCOMES:
            self.context.close_attempt(request, progress.attempt)
        if replica and outcome in ANSWERED_OUTCOMES:
            self.context.reachability.on_answer(now, replica.region)
        handler = self.handlers.get(outcome)
        if handler is not None:
            handler(request, replica, progress, now)

    def on_response_began(self, request: Request, replica: ReplicaState | None, progress: AttemptProgressed, now: timedelta) -> None:
        """Handle the head of a response, or its first token."""
        message = self.context.placement.end_prefill(request)
        if message is not None:
            self.context.effects.append(message)
        request.response_begun = request.response_begun or request.is_streaming
        if request.caller and self.counts_usage and not request.is_counted:
            request.is_counted = True
            self.context.effects.append(Post(Component.USAGE_COUNTER, TenantRequestStarted(request.caller.name)))
        if replica:
            self.feedback.on_served(replica, now)

    def on_done(self, request: Request, replica: ReplicaState | None, progress: AttemptProgressed, now: timedelta) -> None:
        """Handle a complete response."""
        if replica:
            self.feedback.on_served(replica, now)
        seconds = (now - request.sent_at).total_seconds()
        self.context.effects.append(Post(Component.SERVICE_SCALER, ServiceRequestServed(request.service, seconds)))
        took = now - request.received_at
        self.context.shutdown.response_times.add(now, request.route["name"], took, request.work)
        self.context.finish(request)

    def on_unsent(self, request: Request, replica: ReplicaState | None, progress: AttemptProgressed, now: timedelta) -> None:
        """Handle an attempt of which nothing was sent: send the request to the next replica."""
        request.counted_attempts -= 1
        request.arrivals -= 1
        reason = progress.details[0] if progress.details else ""
        if replica and reason != UnsentReason.POOL_FULL:
            replica.on_failure(now)
            self.feedback.accuse(replica, now)
        if replica and reason == UnsentReason.CONNECT_TIMEOUT:
            self.context.reachability.on_connect_failure(now, replica.region, replica.id, since=request.sent_at)
            request.unreachable_by_region[replica.region] += 1
            self.context.test_unreachable_regions(now)
        self.attempts.send_next(request, now)

    def on_not_run(self, request: Request, replica: ReplicaState | None, progress: AttemptProgressed, now: timedelta) -> None:
        """Handle a replica's report that it did not run the request: send it to the next replica while attempts are left."""
        if replica:
            self.record_refusal(request, replica, progress.details[0], now)
        details = progress.details
        retry_after = details[1] if len(details) > 1 and details[1] else RETRY_AFTER_ATTEMPTS_S
        if not request.may_have_run:
            request.last_failure = AttemptOutcome.NOT_RUN
        if request.counted_attempts >= request.route["tries"]:
            self.attempts.give_up(request, attempts_exhausted(retry_after), now)
            return
        self.attempts.send_next(request, now)

    def record_refusal(self, request: Request, replica: ReplicaState, status: int, now: timedelta) -> None:
        """Update the replica's state after a refusal."""
        if status != HTTPStatus.MISDIRECTED_REQUEST:  # full, until the next health check or response shows otherwise
            replica.active = max(replica.active, replica.slots)
            replica.extend_backoff(now + REFUSAL_BACKOFF)
            return
        request.counted_attempts -= 1
        if request.facts.get("version") is not None:  # another incarnation or other weights: the response does not tell which
            replica.extend_backoff(now + REFUSAL_BACKOFF)
            return
        # another incarnation has the address: the request reached no known replica, but is still charged to the retry budget
        replica.gone_since = now
        self.feedback.accuse(replica, now)
        self.context.effects.append(CloseReplicaConnections(replica.id))

    def on_failed(self, request: Request, replica: ReplicaState | None, progress: AttemptProgressed, now: timedelta) -> None:
        """Handle an error response: retry if possible, else pass it on to the client."""
        is_server_error = progress.details[0] >= HTTPStatus.INTERNAL_SERVER_ERROR
        if replica and is_server_error:
            self.feedback.accuse(replica, now)
        attempts_left = request.counted_attempts < request.route["tries"]
        if request.is_repeatable and is_server_error and attempts_left and not request.response_begun:
            request.last_failure = AttemptOutcome.LOST
            self.attempts.send_next(request, now)
            return
        if request.response_begun:  # the continuation of a stream was refused: the stream is broken off
            self.attempts.give_up(request, RESPONSE_LOST, now)
            return
        self.context.effects.append(ForwardResponse(request.id, progress.attempt))
        self.context.finish(request)

    def on_lost(self, request: Request, replica: ReplicaState | None, progress: AttemptProgressed, now: timedelta) -> None:
        """Handle a connection that broke before a response."""
        if replica:
            self.feedback.on_suspected(replica, now, may_be_down=progress.details[:1] == (READ_ERROR,))
            self.feedback.accuse(replica, now)
        self.after_loss(request, replica, progress, now)

    def on_cut(self, request: Request, replica: ReplicaState | None, progress: AttemptProgressed, now: timedelta) -> None:
        """Handle a response that ended prematurely."""
        if replica:
            self.feedback.on_suspected(replica, now, may_be_down=False)
            self.feedback.accuse(replica, now)
        self.record_last_event(request, progress.details)
        self.after_loss(request, replica, progress, now)

    def after_loss(self, request: Request, replica: ReplicaState | None, progress: AttemptProgressed, now: timedelta) -> None:
        """Retry a request that may have run if it is repeatable; else report it as lost."""
        request.last_failure = AttemptOutcome(progress.outcome)
        if request.is_repeatable:
            self.attempts.send_next(request, now)
            return
        self.context.log(
            "request-lost",
            rid=request.id,
            replica=replica.id if replica else "",
            tries=request.arrivals,
            why=progress.details[0] if progress.details else "",
        )
        self.attempts.give_up(request, RESPONSE_LOST, now)

    def on_silent(self, request: Request, replica: ReplicaState | None, progress: AttemptProgressed, now: timedelta) -> None:
        """Handle a silent replica: retry a repeatable request elsewhere if possible; otherwise keep waiting."""
        self.record_last_event(request, progress.details)
        if replica:
            self.feedback.on_suspected(replica, now, may_be_down=True)
        if request.is_repeatable and self.attempts.may_leave_silent_replica(request, now):
            self.attempts.try_next(request, now)

    def on_client_gone(self, request: Request, replica: ReplicaState | None, progress: AttemptProgressed, now: timedelta) -> None:
        """Drop a request whose client has disconnected."""
        self.context.finish(request)

    @staticmethod
    def record_last_event(request: Request, details: Details) -> None:
        """Record the id of the last forwarded event, if there was any."""
        if details and details[0] is not None:
            request.last_event_id = details[0]
