"""The I/O of forwarded requests (design 15.3): the router makes the decisions, this module carries them out.

Each request has a task that takes the router's instructions from the request's queue (client_request.py) and runs one attempt at a
time (attempt_runner.py). An instruction to start another attempt or to end the request cancels the current attempt.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, ClassVar, Protocol

import anyio

from ..http.connection_pool import SECOND, ConnectionPool
from ..http.dialect import Dialect
from ..routing.graceful_shutdown import RETRY_ELSEWHERE_S
from ..runtime import result_codes
from ..runtime.effects import (
    AbortResponse,
    AnswerClient,
    CancelAttempt,
    CloseReplicaConnections,
    ExpireIdleConnections,
    ForwardResponse,
    SetClientLimits,
    StartAttempt,
)
from ..runtime.errors import SilvergladeError
from ..runtime.events import AttemptProgressed, Event, ForwardingRequested
from .attempt import AttemptTarget, Outcome
from .attempt_runner import AttemptRunner
from .client_request import ClientLimits, ClientRequest, RequestEnd
from .cut_responses import CutReason, CutResponses
from .fault_containment import FaultLog
from .priority_queues import Queue

DEADLINE_MARGIN = timedelta(seconds=0.2)
"""Time after its deadline at which a request is ended if the router has not ended it."""

DEFAULT_DEADLINE = timedelta(seconds=60)
"""Time limit of a request without a deadline of its own, until the router sets one."""

RETRY_WHEN_BUSY_S = 1.0


class EventQueues(Protocol):
    """The part of the daemon machine's event queues that the forwarder uses (priority_queues.py)."""

    async def send(self, event: Event, queue: Queue, /) -> None:
        """Queue an event; waits while the queue is full."""

    def admit(self, event: Event, /) -> None:
        """Queue a client's request, or raise `OverloadedError` if the queue is full."""


class ForwardingDaemon(Protocol):
    """The part of the daemon that the forwarder uses."""

    faults: FaultLog
    logger: logging.Logger
    draining: bool
    buffered_body_bytes: int

    @property
    def queues(self) -> EventQueues:
        """The queues of the daemon machine."""

    async def call(self, operation: str, arguments: tuple[Any, ...], /) -> tuple[int, Mapping[str, Any]]:
        """Call an operation of the daemon machine; return its result code and fields."""


class RequestForwarder:
    """Runs the forwarded requests of a daemon.

    :param local: local IP address from which to connect to replicas, or None.
    :param reuse: whether connections to replicas are kept for further requests (docs/measures.md).
    :ivar limits: limits for clients.
    :ivar requests: requests in progress, by id.
    :ivar cut_responses: responses to clients that were broken off, by reason.
    """

    REQUEST_EFFECTS: ClassVar[Mapping[str, Callable[..., Any]]] = {
        effect.TAG: effect for effect in (StartAttempt, ForwardResponse, CancelAttempt, AnswerClient, AbortResponse)
    }
    """Tag -> class of the effects that apply to a single request; their first field is its id."""

    TAGS: ClassVar[frozenset[str]] = frozenset(
        (*REQUEST_EFFECTS, *[effect.TAG for effect in (CloseReplicaConnections, ExpireIdleConnections, SetClientLimits)])
    )
    """Tags of all effects that the forwarder carries out."""

    def __init__(
        self,
        *,
        daemon: ForwardingDaemon,
        dialect: Dialect,
        local: str | None = None,
        pool: ConnectionPool | None = None,
        reuse: bool = True,
    ) -> None:
        self.daemon = daemon
        self.dialect = dialect
        self.pool = pool or ConnectionPool(local=local)
        self.limits = ClientLimits()
        self.cut_responses = CutResponses(daemon.logger)
        self.requests: dict[str, ClientRequest] = {}
        self.attempts = AttemptRunner(pool=self.pool, dialect=dialect, reuse=reuse, report=self.report, report_silence=self._report_silence)
        self._request_count = 0

    def carry_out(self, effect: tuple[Any, ...]) -> None:
        """Carry out an effect of the router, given as a tuple; effects for requests that have ended are ignored."""
        tag, subject, *_ = effect
        request_effect = self.REQUEST_EFFECTS.get(tag)
        if request_effect:
            request = self.requests.get(subject)
            if request:
                request.put(request_effect(*effect[1:]))
        elif tag == CloseReplicaConnections.TAG:
            self.pool.remove_replica(subject)
        elif tag == ExpireIdleConnections.TAG:
            self.pool.close_idle(subject)
        elif tag == SetClientLimits.TAG:
            self.limits = ClientLimits.from_configuration(subject)

    async def is_configuration_certain(self) -> bool:
        """Return whether the configuration was proved recently enough to refuse a request by its limits."""
        _, fields = await self.daemon.call("certain", ())
        return bool(fields.get("certain"))

    def is_draining(self) -> bool:
        """Return whether the daemon is shutting down."""
        return self.daemon.draining

    def new_request_id(self) -> str:
        """Return a request id that is unique within the daemon's process."""
        self._request_count += 1
        return f"r{self._request_count}"

    async def report(self, request: ClientRequest, attempt: int, outcome: str, *details: Any) -> None:
        """Report the progress or the result of an attempt to the router."""
        await self.daemon.queues.send(AttemptProgressed(request.request_id, attempt, outcome, details), Queue.WORK)

    async def _report_silence(self, request: ClientRequest, attempt: int) -> None:
        await self.report(request, attempt, Outcome.SILENT, request.last_event_id)

    def answer_before_shutdown(self) -> None:
        """Answer each request for which no response has been started, as the daemon is about to exit (design 15.9)."""
        for request in list(self.requests.values()):
            if not request.is_response_started:
                request.put(RequestEnd.SHUTDOWN)

    async def run(self, request: ClientRequest, facts: Mapping[str, Any]) -> None:
        """Run one request from arrival to end.

        :param facts: properties of the request that are given to the router (http/request_facts.py).
        """
        self.requests[request.request_id] = request
        deadline_ms = facts["deadline_ms"]
        self.set_deadline_timer(request, DEFAULT_DEADLINE if deadline_ms is None else timedelta(milliseconds=deadline_ms))
        router_informed = False
        try:
            try:
                self.daemon.queues.admit(ForwardingRequested(request.request_id, facts))
            except SilvergladeError as error:
                router_informed = True
                await request.respond_with_code(503, error.code, retry_after=RETRY_WHEN_BUSY_S)
                return
            router_informed = await self._follow_instructions(request)
        except Exception as error:  # noqa: BLE001  a program error ends only this request
            self.daemon.faults.record("forwarded-request", error)
            self.cut_responses.cut(request, CutReason.FAULT)
        finally:
            if request.deadline_timer:
                request.deadline_timer.cancel()
            del self.requests[request.request_id]
            if not router_informed:
                with anyio.CancelScope(shield=True):
                    await self.report(request, request.attempt_number, Outcome.GONE)

    def set_deadline_timer(self, request: ClientRequest, remaining: timedelta) -> None:
        """End a request `DEADLINE_MARGIN` after its deadline even if the router no longer has it; replaces an earlier timer."""
        if request.deadline_timer:
            request.deadline_timer.cancel()
        loop = asyncio.get_running_loop()
        request.deadline_timer = loop.call_later((remaining + DEADLINE_MARGIN) / SECOND, request.put, RequestEnd.DEADLINE_EXPIRED)

    async def _follow_instructions(self, request: ClientRequest) -> bool:
        """Follow the router's instructions until the request has ended; return whether the router knows that it has."""
        while True:
            match await request.next_instruction():
                case StartAttempt(attempt=number, target=target):
                    router_informed = await self._run_attempt(request, number, AttemptTarget(**target))
                    if router_informed is not None:
                        return router_informed
                case ForwardResponse(attempt=number):
                    await self._pass_held_response(request, number)
                    return True
                case AnswerClient(status=status, retry_after=retry_after, code=code):
                    if request.is_response_started:
                        self.cut_responses.cut(request, CutReason.RESPONSE_STARTED)
                    else:
                        await request.respond_with_code(status, code, retry_after=retry_after)
                    return True
                case AbortResponse():
                    await self._abort(request)
                    return True
                case RequestEnd.CLIENT_DISCONNECTED:
                    return False
                case RequestEnd() as why:
                    await self._end(request, why)
                    return False

    async def _run_attempt(self, request: ClientRequest, number: int, target: AttemptTarget) -> bool | None:
        """Run an attempt; return whether the router knows that the request has ended, or None if it has not ended."""
        request.attempt_number, request.held_response = number, None
        if not self.may_attempt(request, target):
            self.cut_responses.cut(request, CutReason.NOT_RESUMED)
            return False
        self.set_deadline_timer(request, timedelta(milliseconds=target.deadline_ms))
        with anyio.CancelScope() as scope:
            request.attempt_scope = scope
            result = await self.attempts.run(request, number, target)
        request.attempt_scope = None
        if scope.cancelled_caught:
            return None
        await self.report(request, number, result.outcome, *result.details)
        return True if result.outcome is Outcome.DONE else None

    def may_attempt(self, request: ClientRequest, target: AttemptTarget) -> bool:
        """Return whether an attempt may run: once a part of a response was sent, only a stream can be resumed."""
        return target.resume or not request.is_response_started

    async def _pass_held_response(self, request: ClientRequest, number: int) -> None:
        """Send the client the held response of the latest attempt; 502 if there is none or the attempt is another one."""
        if request.is_response_started:
            self.cut_responses.cut(request, CutReason.RESPONSE_STARTED)
        elif request.held_response and number == request.attempt_number:
            await request.respond(*request.held_response)
        else:
            await request.respond_with_code(502, result_codes.LOST_ANSWER)

    async def _abort(self, request: ClientRequest) -> None:
        """Break off a response; if the client was sent nothing of it, answer 502 in its place."""
        if request.is_response_started:
            self.cut_responses.cut(request, CutReason.ABORTED)
        else:
            await request.respond_with_code(502, result_codes.LOST_ANSWER)

    async def _end(self, request: ClientRequest, why: RequestEnd) -> None:
        """End a request without the router; it is answered as not run only if no byte of it was sent to a replica."""
        if request.is_response_started:
            self.cut_responses.cut(request, CutReason.SHUTDOWN if why is RequestEnd.SHUTDOWN else CutReason.DEADLINE_EXPIRED)
        elif request.was_sent:
            await request.respond_with_code(502, result_codes.REPLICA_SILENT)
        elif why is RequestEnd.SHUTDOWN:
            await request.respond_with_code(503, result_codes.LEAVING, retry_after=RETRY_ELSEWHERE_S, close=True)
        else:
            await request.respond_with_code(503, result_codes.BUSY, retry_after=RETRY_WHEN_BUSY_S)

    async def get(self, *, replica: str, addr: str, path: str) -> bytes | None:
        """Send a GET to a replica and return the body of a response with status 200, otherwise None."""
        return await self.attempts.get(replica=replica, addr=addr, path=path)
