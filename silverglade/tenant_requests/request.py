"""One tenant's request at a daemon in its home zones (design 6.5): get a grant from the shard's owner, dispatch, relay the answer.

A state machine without I/O. Each attempt requests a grant and is dispatched to the granted replica. If an attempt certainly did
not run, or failed before the first piece of a resumable request's answer, another attempt follows while there is time.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import timedelta
from enum import Enum
from typing import Any, Final

from ..runtime import result_codes
from ..runtime.effects import ZERO, AbortDispatch, Broadcast, Dispatch, Effect, log_record, milliseconds, to_milliseconds
from ..runtime.events import TenantRequestServed, TenantRetryObserved
from .admission import RequestFacts, is_surely_first
from .dispatch_outcomes import (
    DispatchFailed,
    DispatchOutcome,
    NotRun,
    PieceReceived,
    StreamEnded,
    WholeAnswerReceived,
    decode_outcome,
)
from .execution import RAN_KEY_NOT_CHECKED, RAN_MAYBE, RAN_NO, RAN_UNKNOWN_TO_OWNER, RAN_YES
from .messages import (
    OUTCOME_DONE,
    OUTCOME_MAY_HAVE_RAN,
    OUTCOME_NOT_RUN,
    OUTCOME_NOT_SENT,
    Denial,
    Grant,
    GrantRequest,
    GrantRequestFacts,
    OwnerMessage,
    OwnerMoved,
    RequestAbandoned,
    RunEnded,
    send,
)
from .request_context import RequestContext, ShardOwner
from .request_traces import RequestTrace
from .results import RETRY_AFTER_MS, done_result, fault_result, piece_result, whole_result

OWNER_WAITS_WITHOUT_OWNER = 3
"""A request fails after this multiple of `owner_wait` without a reachable owner."""

MIN_TIME_FOR_RETRY = milliseconds(50)
"""No further attempt is begun with less time than this before the deadline."""


class Stage(Enum):
    """The stages of a request."""

    AWAITING_GRANT = "asking"
    DISPATCHED = "dispatched"
    FINISHED = "finished"


class AttemptEnd(Enum):
    """How an attempt ended."""

    NOT_SENT = "barred"
    NOT_RUN = "not run"
    DONE = "done"
    FAILED = "failed"
    DEADLINE_PASSED = "deadline passed"
    CLIENT_DISCONNECTED = "client left"


REPORTED_OUTCOMES: Final = {
    AttemptEnd.NOT_SENT: OUTCOME_NOT_SENT,
    AttemptEnd.NOT_RUN: OUTCOME_NOT_RUN,
    AttemptEnd.DONE: OUTCOME_DONE,
    AttemptEnd.FAILED: OUTCOME_MAY_HAVE_RAN,
    AttemptEnd.DEADLINE_PASSED: OUTCOME_MAY_HAVE_RAN,
    AttemptEnd.CLIENT_DISCONNECTED: OUTCOME_MAY_HAVE_RAN,
}
"""The outcome reported to the shard's owner for each way an attempt can end."""

ABORTED_ENDS: Final = frozenset((AttemptEnd.FAILED, AttemptEnd.DEADLINE_PASSED, AttemptEnd.CLIENT_DISCONNECTED))
"""Ends after which the dispatch is aborted and the rest of the replica's answer is not read."""

NOT_RUN_ENDS: Final = frozenset((AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN))
"""Ends after which the request certainly did not run in this attempt."""


class TenantRequest:
    """A request in progress. Every event handler returns its effects in order.

    :ivar stage: the current stage.
    """

    __slots__ = (
        "_arrived_at",
        "_queried_at",
        "_queried_owner",
        "_seeking_since",
        "_attempt",
        "_body",
        "_context",
        "_counts_as_arrival",
        "_deadline",
        "_dispatch_id",
        "_dispatched_at",
        "_effects",
        "_facts",
        "_last_failure",
        "_must_resend",
        "_owner_moved_at",
        "_pieces",
        "_ran",
        "_request_id",
        "_trace",
        "_tuning",
        "stage",
    )

    def __init__(
        self,
        *,
        request_id: str,
        facts: RequestFacts,
        body: bytes,
        now: timedelta,
        tuning: Mapping[str, Any],
        context: RequestContext,
        counts_as_arrival: bool,
        trace: RequestTrace | None,
    ) -> None:
        self._request_id = request_id
        self._facts = facts
        self._body = body
        self._tuning = tuning
        self._context = context
        self._counts_as_arrival = counts_as_arrival  # it was reported to the scaler as an arrival
        self._trace = trace
        self._arrived_at = now
        self._deadline = now + facts.time_left
        self.stage = Stage.AWAITING_GRANT
        self._effects: list[Effect] = []
        # over all attempts: their number, whether any may have run, pieces relayed to the client, (code, ran) of the last failure
        self._attempt = 0
        self._ran = RAN_NO
        self._pieces = 0
        self._last_failure: tuple[int, str] = (result_codes.NO_SLOT, RAN_NO)
        # of this attempt: the owner last queried, when, and whether to query it again although it is unchanged
        self._queried_owner: ShardOwner | None = None
        self._queried_at = now
        self._must_resend = False
        self._seeking_since = now
        self._owner_moved_at: timedelta | None = None  # when the queried daemon reported that it does not own the shard
        self._dispatch_id = ""
        self._dispatched_at = now

    @property
    def is_finished(self) -> bool:
        """Whether the request has ended."""
        return self.stage is Stage.FINISHED

    def start(self, now: timedelta) -> Sequence[Effect]:
        """Begin the first attempt."""
        self._begin_attempt(now)
        return self._drain_effects()

    def on_timer(self, now: timedelta) -> Sequence[Effect]:
        """Check deadlines and resend the grant request if it is due."""
        if self.stage is Stage.AWAITING_GRANT:
            self._seek_grant(now)
        else:
            self._end_if_overdue(now)
        return self._drain_effects()

    def on_owner_message(self, now: timedelta, message: OwnerMessage) -> Sequence[Effect]:
        """Handle an owner's answer; an answer to an earlier attempt only triggers the checks of a timer."""
        if self.stage is Stage.DISPATCHED:
            self._end_if_overdue(now)
        elif message.attempt != self._attempt:
            self._seek_grant(now)
        elif isinstance(message, Grant):
            self._on_grant(now, message)
        elif isinstance(message, OwnerMoved) or self._may_still_find_owner(now, message):
            self._must_resend = True
            self._owner_moved_at = now
            self._seek_grant(now)
        else:
            self._on_denial(now, message)
        return self._drain_effects()

    def on_dispatch_progress(self, now: timedelta, outcome: tuple[Any, ...]) -> Sequence[Effect]:
        """Handle progress of the dispatch at the replica."""
        if self.stage is Stage.AWAITING_GRANT:
            self._seek_grant(now)
        elif not self._end_if_overdue(now):
            self._on_outcome(now, decode_outcome(outcome, is_streamed=self._facts.is_streamed))
        return self._drain_effects()

    def on_client_disconnected(self, now: timedelta) -> Sequence[Effect]:
        """End the request, since its client no longer waits for the answer."""
        if self.stage is Stage.AWAITING_GRANT:
            self._abandon()
            self.stage = Stage.FINISHED
        elif not self._end_if_overdue(now):
            self._end_attempt(now, AttemptEnd.CLIENT_DISCONNECTED, RAN_MAYBE)
        return self._drain_effects()

    def _drain_effects(self) -> Sequence[Effect]:
        if not self._effects:
            return ()
        effects = self._effects
        self._effects = []
        return effects

    def _record(self, now: timedelta, step: str) -> None:
        if self._trace is not None:
            self._trace.record(now, step)

    # --- requesting a grant

    def _begin_attempt(self, now: timedelta) -> None:
        self.stage = Stage.AWAITING_GRANT
        self._attempt += 1
        self._queried_owner = None
        self._must_resend = False
        self._seeking_since = now
        self._owner_moved_at = None
        self._seek_grant(now)

    def _seek_grant(self, now: timedelta) -> None:
        """Send the shard's owner a grant request if one is due; fail the request if it is too late or no owner is reachable."""
        owner = self._context.reachable_owner(self._facts.tenant, now)
        if owner is not None and self._should_request_grant(owner, now):
            self._request_grant(owner, now)
        if now >= self._deadline:
            self._abandon()
            code = result_codes.DUE_PASSED if self._attempt == 1 else result_codes.REPLICA_SILENT
            self._fail(now, code, RAN_KEY_NOT_CHECKED, RETRY_AFTER_MS)
        elif owner is None and now - self._seeking_since > self._tuning["owner_wait"] * OWNER_WAITS_WITHOUT_OWNER:
            self._fail(now, result_codes.NO_OWNER, RAN_KEY_NOT_CHECKED, RETRY_AFTER_MS)

    def _should_request_grant(self, owner: ShardOwner, now: timedelta) -> bool:
        """Whether a grant request is due: the owner is new, did not answer in time, or must be queried again.

        After a daemon reported that it does not own the shard, no request is sent for half a `beat`.
        """
        if self._owner_moved_at is not None and now - self._owner_moved_at <= self._tuning["beat"] / 2:
            return False
        return self._must_resend or owner != self._queried_owner or now - self._queried_at > self._tuning["owner_wait"]

    def _request_grant(self, owner: ShardOwner, now: timedelta) -> None:
        facts = self._facts
        left_ms = max(1, to_milliseconds(self._deadline - now))
        grant_facts = GrantRequestFacts(facts.class_name, facts.key, facts.prefix, left_ms, facts.client_attempt)
        grant_request = GrantRequest(self._request_id, self._attempt, facts.tenant, owner.epoch, grant_facts)
        self._effects.append(send(owner.name, grant_request))
        self._record(now, f"asked {owner.name}")
        self._queried_owner = owner
        self._must_resend = False
        self._queried_at = now
        self._seeking_since = now

    def _abandon(self) -> None:
        """Notify the owner last queried that the request will not be sent."""
        if self._queried_owner is not None:
            self._effects.append(send(self._queried_owner.name, RequestAbandoned(self._request_id)))

    def _may_still_find_owner(self, now: timedelta, denial: Denial) -> bool:
        """Whether the queried daemon knows no owner, and there is still time to find one."""
        return denial.code == result_codes.NO_OWNER and now - self._seeking_since < self._tuning["owner_wait"]

    def _on_grant(self, now: timedelta, grant: Grant) -> None:
        if grant.is_retry:
            self._retract_arrival()
        self._context.overflow_count += bool(grant.is_overflow)
        self._dispatch(now, grant)

    def _on_denial(self, now: timedelta, denial: Denial) -> None:
        code, ran = denial.code, denial.ran
        if self._attempt == 1 and code in (result_codes.RETRY_BUDGET, result_codes.SEEN):
            self._retract_arrival()
        if code == result_codes.RETRY_BUDGET and self._attempt > 1:  # no further attempt is allowed: report the failure of the last one
            code, ran = self._last_failure
        if ran == RAN_UNKNOWN_TO_OWNER and code in (result_codes.UNKNOWN_CLASS, result_codes.STALE):
            ran = RAN_KEY_NOT_CHECKED
        self._fail(now, code, ran, denial.retry_after_ms)

    def _retract_arrival(self) -> None:
        """Report to the scaler that the request was a retry, not an arrival: its owner knew the key (design 9.3)."""
        if self._counts_as_arrival:
            self._counts_as_arrival = False
            self._effects.append(Broadcast(TenantRetryObserved(self._facts.kind)))

    # --- dispatch to a replica

    def _dispatch(self, now: timedelta, grant: Grant) -> None:
        """Send the request to the granted replica, unless the replica has become unusable since the grant (design 7.2)."""
        self.stage = Stage.DISPATCHED
        self._dispatched_at = now
        self._dispatch_id = f"{self._request_id}.{self._attempt}"
        blocker = self._context.dispatch_blocker(grant.replica, grant.incarnation, self._facts, now)
        if blocker is not None:
            self._effects.append(log_record("dispatch-barred", request=self._request_id, replica=grant.replica, why=blocker.value))
            self._end_attempt(now, AttemptEnd.NOT_SENT, RAN_NO)
            return
        facts = self._facts
        dispatch_facts = {
            "tenant": facts.tenant,
            "cls": facts.class_name,
            "stream": facts.is_streamed,
            "prefix": facts.prefix,
            "kind": facts.kind,
            "due": to_milliseconds(self._deadline - now),
        }
        self._effects.append(Dispatch(self._dispatch_id, grant.replica, grant.address, dispatch_facts, self._body))
        self._record(now, f"dispatched {self._dispatch_id} to {grant.replica}")

    def _end_if_overdue(self, now: timedelta) -> bool:
        """End the attempt if the deadline has passed, and return whether it has."""
        if now < self._deadline:
            return False
        self._end_attempt(now, AttemptEnd.DEADLINE_PASSED, RAN_MAYBE)
        return True

    def _on_outcome(self, now: timedelta, outcome: DispatchOutcome) -> None:
        match outcome:
            case PieceReceived(number, data):
                self._on_piece(now, number, data)
            case StreamEnded(pieces):
                is_complete = pieces == self._pieces and pieces > 0
                self._end_attempt(now, AttemptEnd.DONE if is_complete else AttemptEnd.FAILED, RAN_YES)
            case WholeAnswerReceived(data):
                self._effects.append(whole_result(self._request_id, data))
                self._record(now, "told done")
                self._end_attempt(now, AttemptEnd.DONE, RAN_YES)
            case NotRun():
                self._end_attempt(now, AttemptEnd.NOT_RUN, RAN_NO)
            case DispatchFailed(ran):
                self._end_attempt(now, AttemptEnd.FAILED, ran)

    def _on_piece(self, now: timedelta, number: int, data: bytes) -> None:
        if number != self._pieces + 1:  # lost, duplicated or of another answer: never relayed
            self._end_attempt(now, AttemptEnd.FAILED, RAN_YES)
            return
        self._pieces = number
        self._effects.append(piece_result(self._request_id, number, data))
        if number == 1:
            self._record(now, "first piece")

    def _end_attempt(self, now: timedelta, end: AttemptEnd, ran: str) -> None:
        """End the attempt: notify the replica and the owner, then answer the client or begin another attempt."""
        if end in ABORTED_ENDS:
            self._effects.append(AbortDispatch(self._dispatch_id))
        if self._queried_owner is not None:
            self._effects.append(send(self._queried_owner.name, RunEnded(self._request_id, self._attempt, REPORTED_OUTCOMES[end])))
        if end is AttemptEnd.DONE:
            self._complete(now)
            return
        self._record_failure(end, ran)
        if end is AttemptEnd.CLIENT_DISCONNECTED:
            self.stage = Stage.FINISHED
        elif self._may_run_again(end) and self._deadline - now > MIN_TIME_FOR_RETRY:
            self._begin_attempt(now)
        else:
            if self._ran == RAN_NO:
                self._abandon()
            code, reported_ran = self._last_failure
            self._fail(now, code, reported_ran, RETRY_AFTER_MS)

    def _complete(self, now: timedelta) -> None:
        served = TenantRequestServed(self._facts.kind, now - self._dispatched_at, now - self._arrived_at)
        self._effects.append(Broadcast(served))
        if self._facts.is_streamed:
            self._effects.append(done_result(self._request_id, self._pieces))
            self._record(now, "told done")
        self.stage = Stage.FINISHED

    def _may_run_again(self, end: AttemptEnd) -> bool:
        """Whether another attempt is safe: it neither runs a non-resumable request twice nor joins parts of two answers."""
        is_safe = end in NOT_RUN_ENDS or (end is AttemptEnd.FAILED and self._facts.is_resumable)
        return is_safe and not self._pieces

    def _record_failure(self, end: AttemptEnd, ran: str) -> None:
        """Record the failure of this attempt, to be reported to the client if no attempt follows."""
        if self._ran == RAN_NO and ran == RAN_NO:
            self._ran = RAN_NO
        elif RAN_YES in (ran, self._ran) or self._pieces:
            self._ran = RAN_YES
        else:
            self._ran = RAN_MAYBE
        if self._pieces:
            code = result_codes.BROKEN_STREAM
        elif end is AttemptEnd.DEADLINE_PASSED:
            code = result_codes.REPLICA_SILENT
        elif self._ran != RAN_NO:
            code = result_codes.REPLICA_FAULT
        else:
            code = result_codes.NO_SLOT
        is_unclaimed = self._facts.is_resumable or self._ran != RAN_NO
        self._last_failure = (code, RAN_KEY_NOT_CHECKED if is_unclaimed else RAN_NO)

    # --- final answer

    def _fail(self, now: timedelta, code: int, ran: str, retry_after_ms: Any) -> None:
        """Answer the client with a fault and end the request.

        :param ran: whether the request ran according to the owner; RAN_NO is reported only if it is certain.
        """
        reported_ran = self._ran if self._ran != RAN_NO else self._reportable_ran(now, ran)
        self._effects.append(fault_result(self._request_id, code, reported_ran, retry_after_ms))
        self._record(now, f"told {code} ran={reported_ran}")
        self.stage = Stage.FINISHED

    def _reportable_ran(self, now: timedelta, ran: str) -> str:
        """Return the `ran` value to report for a request that no attempt from here has run.

        If some time has passed, or no owner has checked the key, the client may have sent the request through another daemon too.
        """
        facts = self._facts
        if ran in (RAN_UNKNOWN_TO_OWNER, RAN_KEY_NOT_CHECKED):
            max_age = self._tuning["settle"] if ran == RAN_UNKNOWN_TO_OWNER else ZERO
            is_soon = facts.key_is_generated or now - self._arrived_at <= max_age
            ran = RAN_NO if is_soon and is_surely_first(facts) else RAN_MAYBE
        is_late = now > self._deadline + self._tuning["beat"]
        if ran == RAN_NO and is_late and not facts.key_is_generated:
            return RAN_MAYBE  # this process was paused in between, so the owner's answer is outdated
        return ran
