"""The tenant ingress (design 6.5, 6.6): handles tenants' requests received from clients or forwarded by other daemons.

Component "tenant_ingress". A request whose home zones include this daemon's zone runs here (request.py); any other request is
forwarded to a daemon in its home zones (forwarding.py).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any, ClassVar

from boltons.cacheutils import LRI

from ..runtime import result_codes
from ..runtime.components import Component
from ..runtime.effects import NEVER, Broadcast, Effect, Post, Reply, TenantResult, WakeAt
from ..runtime.errors import SilvergladeError
from ..runtime.events import (
    ApiCall,
    ClientDisconnected,
    ClientReadProgressed,
    DispatchProgressed,
    DrainStarted,
    Event,
    MembershipChanged,
    MessageReceived,
    ProcessPaused,
    ProofRenewed,
    ReplicasChanged,
    ReportRequested,
    StoreUpdated,
    TenantRequestArrived,
    TenantRequestCounts,
    TenantRequestObserved,
    TimerFired,
)
from .admission import RequestFacts, RequestHead, admit, ran_if_first, ran_if_not_admitted
from .execution import RAN_MAYBE, RAN_NO
from .forwarding import ForwardedRequests, LostRequest, ReceivedRequests
from .messages import (
    Denial,
    ForwardedResult,
    ForwardRequest,
    Grant,
    OwnerMessage,
    OwnerMoved,
    PiecesConsumed,
    RequestAbandoned,
    RequestCancelled,
    decode,
    send,
)
from .request import TenantRequest
from .request_context import RequestContext
from .request_traces import RequestTrace, RequestTraces
from .results import RETRY_AFTER_MS, fault_result, key_result

MAX_KNOWN_KEYS = 4096
"""Number of idempotency keys remembered to detect a retry that has no attempt header."""

MAX_FIRST_ATTEMPT = 1
"""Highest client attempt number, including 0 for none, that may be a first request."""

UNUSED_KEY = "-"
"""Placeholder for a generated key while only the head is validated."""


class TenantIngress:
    """The state machine of the ingress.

    :ivar context: state that requests in progress read.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MessageReceived,
        ApiCall,
        TenantRequestArrived,
        ClientDisconnected,
        ClientReadProgressed,
        DispatchProgressed,
        DrainStarted,
        StoreUpdated,
        ProofRenewed,
        ReplicasChanged,
        MembershipChanged,
        ProcessPaused,
        ReportRequested,
    )

    def __init__(self, *, own_name: str, process_id: str, zone: str, tuning: Mapping[str, Any]) -> None:
        self.context = RequestContext(tuning=tuning)
        self._own_name = own_name
        self._process_id = process_id
        self._zone = zone
        self._tuning = tuning
        self._is_draining = False
        self._arrivals = 0
        self._known_keys: LRI = LRI(max_size=MAX_KNOWN_KEYS)  # of (tenant, key)
        self._traces = RequestTraces()
        self._running: dict[str, TenantRequest] = {}  # by request id
        self._forwarded = ForwardedRequests(tuning=tuning, context=self.context)
        self._received = ReceivedRequests(tuning=tuning, context=self.context)
        self._effects: list[Effect] = []
        self._handlers: dict[type[Event], Callable[[timedelta, Any], None]] = {
            TimerFired: self._on_timer,
            MessageReceived: self._on_message,
            ApiCall: self._on_api_call,
            TenantRequestArrived: self._on_request_arrived,
            ClientDisconnected: self._on_client_disconnected,
            ClientReadProgressed: self._on_client_caught_up,
            DispatchProgressed: self._on_dispatch_progressed,
            DrainStarted: self._on_drain_started,
            StoreUpdated: self._on_store_updated,
            ProofRenewed: self._on_proof_renewed,
            ReplicasChanged: self._on_replicas_changed,
            MembershipChanged: self._on_membership_changed,
            ProcessPaused: self._on_process_paused,
            ReportRequested: self._on_report_requested,
        }

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects in order."""
        self._handlers[type(event)](now, event)
        effects = self._effects
        self._effects = []
        return effects

    # --- updates of the shared state

    def _on_store_updated(self, now: timedelta, event: StoreUpdated) -> None:
        self.context.set_store(event.store)

    def _on_proof_renewed(self, now: timedelta, event: ProofRenewed) -> None:
        self.context.proved_at = event.proved_at

    def _on_replicas_changed(self, now: timedelta, event: ReplicasChanged) -> None:
        self.context.replicas = event.replicas

    def _on_membership_changed(self, now: timedelta, event: MembershipChanged) -> None:
        self.context.set_members(event.members)

    def _on_process_paused(self, now: timedelta, event: ProcessPaused) -> None:
        self.context.proved_at = None

    def _on_drain_started(self, now: timedelta, event: DrainStarted) -> None:
        self._is_draining = True

    # --- calls of the control API, and reports for it

    def _on_api_call(self, now: timedelta, event: ApiCall) -> None:
        match event.operation:
            case "trace":
                (identifier,) = event.arguments
                rows = self._traces.find(identifier, now)
                code = result_codes.OK if rows else result_codes.NOT_FOUND
                self._effects.append(Reply(event.call_id, code, {"orders": rows}))
            case "head":
                code, fields = self._check_head(RequestHead(*event.arguments))
                self._effects.append(Reply(event.call_id, code, fields))

    def _check_head(self, head: RequestHead) -> tuple[int, dict[str, Any]]:
        """Validate the head of a request before its body is read.

        :returns: a result code, and the fields of the reply: details of a refusal, or the maximum body size ("cap").
        """
        configuration = self.context.configuration
        try:
            facts = admit(configuration, head, body_size=0, generated_key=UNUSED_KEY)
        except SilvergladeError as error:
            ran = ran_if_not_admitted(error, head)
            return error.code, {"ran": ran, "detail": error.detail, "wait": _retry_after(error)}
        if self._is_draining:
            return result_codes.DRAINING, {"ran": ran_if_first(facts), "wait": RETRY_AFTER_MS}
        assert configuration is not None  # admit() raises without one
        return result_codes.OK, {"cap": configuration["body_cap"]}

    def _on_report_requested(self, now: timedelta, event: ReportRequested) -> None:
        counts = TenantRequestCounts(len(self._running), len(self._forwarded), self.context.overflow_count)
        self._effects.append(Post(Component.OPERATOR_API, counts))

    # --- requests received from clients

    def _on_request_arrived(self, now: timedelta, event: TenantRequestArrived) -> None:
        *head_texts, body = event.facts
        head = RequestHead(*head_texts)
        request_id = event.request_id
        trace = self._traces.begin(request_id=request_id, key=head.key, class_name=head.class_name, now=now)
        self._arrivals += 1
        generated_key = f"{self._own_name}-{self._process_id}-{self._arrivals}"
        try:
            facts = admit(self.context.configuration, head, body_size=len(body), generated_key=generated_key)
        except SilvergladeError as error:
            ran = ran_if_not_admitted(error, head)
            self._refuse(request_id, now, error.code, ran, _retry_after(error), error.detail)
            return
        trace.key = facts.key
        trace.tenant = facts.tenant
        self._effects.append(key_result(request_id, facts.key, facts.is_streamed))
        self._route(request_id, head, facts, body, now, trace)

    def _route(
        self, request_id: str, head: RequestHead, facts: RequestFacts, body: bytes, now: timedelta, trace: RequestTrace | None
    ) -> None:
        """Run an admitted request here, forward it to a daemon in its home zones, or refuse it."""
        code = self._refusal_code(now)
        if code is None and self._zone in facts.homes:
            self._run(request_id, facts, body, now, trace)
            return
        daemon = self.context.forwarding_target(facts) if code is None else None
        if daemon is None:
            self._refuse(request_id, now, code or result_codes.NO_HOME, ran_if_first(facts), RETRY_AFTER_MS)
            return
        self._effects.append(self._forwarded.forward(request_id, daemon, head, facts, body, now))

    def _refusal_code(self, now: timedelta) -> int | None:
        """Return the result code for why no request may be started here now, or None if it may."""
        if self._is_draining:
            return result_codes.DRAINING
        if not self.context.has_recent_proof(now):
            return result_codes.STALE
        return None

    def _refuse(self, request_id: str, now: timedelta, code: int, ran: str, retry_after_ms: int | None, detail: str = "") -> None:
        """Send a fault to a client of this daemon."""
        self._effects.append(fault_result(request_id, code, ran, retry_after_ms, detail))
        self._traces.record(request_id, now, f"told {code} ran={ran}")

    def _on_client_disconnected(self, now: timedelta, event: ClientDisconnected) -> None:
        request_id = event.request_id
        request = self._running.get(request_id)
        if request is not None:
            self._collect(request_id, request, request.on_client_disconnected(now))
        elif request_id in self._forwarded:
            self._effects.append(self._forwarded.abandon(request_id))

    def _on_client_caught_up(self, now: timedelta, event: ClientReadProgressed) -> None:
        if event.request_id in self._forwarded:
            self._effects.append(self._forwarded.report_consumed(event.request_id, event.position))

    # --- requests that run here

    def _run(self, request_id: str, facts: RequestFacts, body: bytes, now: timedelta, trace: RequestTrace | None) -> None:
        """Start a request here; a retry never counts as an arrival for the scaler (design 9.3)."""
        known_key = (facts.tenant, facts.key)
        counts_as_arrival = facts.client_attempt <= MAX_FIRST_ATTEMPT and known_key not in self._known_keys
        self._known_keys[known_key] = True
        if counts_as_arrival:
            self._effects.append(Broadcast(TenantRequestObserved(facts.kind)))
        request = TenantRequest(
            request_id=request_id,
            facts=facts,
            body=body,
            now=now,
            tuning=self._tuning,
            context=self.context,
            counts_as_arrival=counts_as_arrival,
            trace=trace,
        )
        self._running[request_id] = request
        self._collect(request_id, request, request.start(now))

    def _collect(self, request_id: str, request: TenantRequest, effects: Sequence[Effect]) -> None:
        """Add the effects of a request that runs here, sending its results to the daemon that received it, and remove it if finished."""
        if request_id in self._received:
            for effect in effects:
                if isinstance(effect, TenantResult):
                    self._effects.extend(self._received.send_back(effect))
                else:
                    self._effects.append(effect)
        else:
            self._effects.extend(effects)
        if request.is_finished:
            self._running.pop(request_id, None)
            self._received.remove(request_id)

    def _on_dispatch_progressed(self, now: timedelta, event: DispatchProgressed) -> None:
        request_id = event.dispatch_id.rsplit(".", 1)[0]
        request = self._running.get(request_id)
        if request is not None:
            self._collect(request_id, request, request.on_dispatch_progress(now, event.outcome))

    def _on_timer(self, now: timedelta, event: TimerFired) -> None:
        for request_id, request in list(self._running.items()):
            effects = request.on_timer(now)
            if effects:
                self._collect(request_id, request, effects)
        for request_id in self._received.orphaned(now):
            self._on_sender_gone(now, request_id)
        for request_id, last_effects, lost in self._forwarded.expire(now):
            self._effects.extend(last_effects)
            self._refuse_lost(request_id, now, lost)
        if not self._running and not self._received and not self._forwarded:
            self._effects.append(WakeAt(NEVER))

    def _on_sender_gone(self, now: timedelta, request_id: str) -> None:
        """End a request forwarded here, since its sender is gone or no longer wants the answer."""
        request = self._running.get(request_id)
        if request is not None:
            self._collect(request_id, request, request.on_client_disconnected(now))

    def _refuse_lost(self, request_id: str, now: timedelta, lost: LostRequest) -> None:
        self._refuse(request_id, now, lost.code, lost.ran, RETRY_AFTER_MS)

    # --- messages from other daemons

    def _on_message(self, now: timedelta, event: MessageReceived) -> None:
        message = decode(event.body)
        match message:
            case Grant() | Denial() | OwnerMoved():
                self._on_owner_message(now, event.sender, message)
            case ForwardedResult():
                self._on_forwarded_result(now, event.sender, message)
            case PiecesConsumed():
                self._effects.extend(self._received.on_pieces_consumed(event.sender, message))
            case ForwardRequest():
                self._on_forward(now, event.sender, message)
            case RequestCancelled():
                if message.request_id in self._received:
                    self._on_sender_gone(now, message.request_id)

    def _on_owner_message(self, now: timedelta, sender: str, message: OwnerMessage) -> None:
        request = self._running.get(message.request_id)
        if request is not None:
            self._collect(message.request_id, request, request.on_owner_message(now, message))
        elif isinstance(message, Grant):
            self._effects.append(send(sender, RequestAbandoned(message.request_id)))  # the request has ended meanwhile and will not be sent

    def _on_forwarded_result(self, now: timedelta, sender: str, message: ForwardedResult) -> None:
        if message.request_id not in self._forwarded:
            return
        effects, lost = self._forwarded.on_result(sender, message)
        self._effects.extend(effects)
        if lost is not None:
            self._refuse_lost(message.request_id, now, lost)

    def _on_forward(self, now: timedelta, sender: str, message: ForwardRequest) -> None:
        """Handle a request from a daemon outside its home zones. A forwarded request is never forwarded again."""
        request_id = message.request_id
        if request_id in self._received:
            return
        self._received.add(request_id, sender, now)
        try:
            facts = admit(self.context.configuration, message.head(), body_size=len(message.body), generated_key="")
        except SilvergladeError as error:
            ran = RAN_NO if message.key_is_generated or message.attempt == 1 else RAN_MAYBE
            self._refuse_received(request_id, error.code, ran)
            return
        facts = facts._replace(key_is_generated=message.key_is_generated)
        code = self._refusal_code(now)
        if self._zone not in facts.homes:
            self._refuse_received(request_id, result_codes.NO_HOME, ran_if_first(facts))
        elif code is not None:
            self._refuse_received(request_id, code, ran_if_first(facts))
        else:
            self._run(request_id, facts, message.body, now, trace=None)

    def _refuse_received(self, request_id: str, code: int, ran: str) -> None:
        self._effects.extend(self._received.send_back(fault_result(request_id, code, ran, RETRY_AFTER_MS)))
        self._received.remove(request_id)


def _retry_after(error: SilvergladeError) -> int | None:
    """Return the retry-after of a request that was not admitted, in milliseconds; None if a retry would be refused too."""
    return RETRY_AFTER_MS if error.code == result_codes.NO_CONFIG else None
