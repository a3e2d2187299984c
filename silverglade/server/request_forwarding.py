"""The I/O of forwarded requests (design 15.3): the router decides, this delivers.

The task of a request takes the router's instructions from its queue (client_request.py) and runs one attempt at a time
(attempt_runner.py). A new attempt, or an end, that comes meanwhile ends the one that runs.
"""

from __future__ import annotations

import asyncio
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
from .fault_containment import FaultLog
from .priority_queues import Queue

FORGET_MARGIN = timedelta(seconds=0.2)
"""So long after its deadline a request ends that the router forgot."""

MAX_TIME_WITHOUT_DEADLINE = timedelta(seconds=60)
"""Until the router has named a deadline."""

RETRY_WHEN_BUSY_S = 1.0


class EventQueues(Protocol):
    """What the forwarder needs of the queues of the daemon machine (priority_queues.py)."""

    async def send(self, event: Event, queue: Queue, /) -> None:
        """Queue an event, waiting for room."""

    def admit(self, event: Event, /) -> None:
        """Queue a client's request, or raise `OverloadedError`."""


class ForwardingDaemon(Protocol):
    """What the forwarder needs of its daemon."""

    faults: FaultLog
    draining: bool
    buffered_body_bytes: int

    @property
    def queues(self) -> EventQueues:
        """The queues of the daemon machine."""


class RequestForwarder:
    """All forwarded requests of a daemon.

    :param local: the IP number from which to connect to replicas, or None.
    :param reuse: whether connections to replicas are kept for further requests (docs/measures.md).
    :ivar limits: what clients may send.
    :ivar requests: those under way, by their ids.
    """

    REQUEST_EFFECTS: ClassVar[Mapping[str, Callable[..., Any]]] = {
        effect.TAG: effect for effect in (StartAttempt, ForwardResponse, CancelAttempt, AnswerClient, AbortResponse)
    }
    """Effects that concern one request, by their tags; the request's id is their first field."""

    TAGS: ClassVar[frozenset[str]] = frozenset(
        (*REQUEST_EFFECTS, *[effect.TAG for effect in (CloseReplicaConnections, ExpireIdleConnections, SetClientLimits)])
    )
    """Tags of all effects that are carried out here."""

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
        self.requests: dict[str, ClientRequest] = {}
        self.attempts = AttemptRunner(pool=self.pool, dialect=dialect, reuse=reuse, report=self.report, report_silence=self._report_silence)
        self._request_count = 0

    def carry_out(self, effect: tuple[Any, ...]) -> None:
        """Carry out an effect of the router, in tuple form; one for a request that is gone changes nothing."""
        tag, subject, *_ = effect
        request_effect = self.REQUEST_EFFECTS.get(tag)
        if request_effect:
            request = self.requests.get(subject)
            if request:
                request.put(request_effect(*effect[1:]))
        elif tag == CloseReplicaConnections.TAG:
            self.pool.forget(subject)
        elif tag == ExpireIdleConnections.TAG:
            self.pool.renew(subject)
        elif tag == SetClientLimits.TAG:
            self.limits = ClientLimits.from_configuration(subject)

    def is_draining(self) -> bool:
        """Whether the daemon is told to stop."""
        return self.daemon.draining

    def new_request_id(self) -> str:
        """Return an id that no other request of this daemon's process has."""
        self._request_count += 1
        return f"r{self._request_count}"

    async def report(self, request: ClientRequest, attempt: int, outcome: str, *details: Any) -> None:
        """Tell the router how an attempt goes on."""
        await self.daemon.queues.send(AttemptProgressed(request.request_id, attempt, outcome, details), Queue.WORK)

    async def _report_silence(self, request: ClientRequest, attempt: int) -> None:
        await self.report(request, attempt, Outcome.SILENT, request.last_event_id)

    def answer_before_shutdown(self) -> None:
        """Answer each request that has given its client nothing yet: the daemon ends soon (design 15.9)."""
        for request in list(self.requests.values()):
            if not request.was_started:
                request.put(RequestEnd.SHUTDOWN)

    async def run(self, request: ClientRequest, facts: Mapping[str, Any]) -> None:
        """Run one request from its arrival to its end.

        :param facts: what the router is told of it (http/forwarding_protocol.py).
        """
        self.requests[request.request_id] = request
        deadline_ms = facts["deadline_ms"]
        self.set_forget_timer(request, MAX_TIME_WITHOUT_DEADLINE if deadline_ms is None else timedelta(milliseconds=deadline_ms))
        router_knows_end = False
        try:
            try:
                self.daemon.queues.admit(ForwardingRequested(request.request_id, facts))
            except SilvergladeError as error:
                router_knows_end = True
                await request.respond_with_code(503, error.code, retry_after=RETRY_WHEN_BUSY_S)
                return
            router_knows_end = await self._follow_instructions(request)
        except Exception as error:  # noqa: BLE001  a fault in here ends this request alone
            self.daemon.faults.note("forwarded-request", error)
            request.cut()
        finally:
            if request.forget_timer:
                request.forget_timer.cancel()
            del self.requests[request.request_id]
            if not router_knows_end:
                with anyio.CancelScope(shield=True):
                    await self.report(request, request.attempt_number, Outcome.GONE)

    def set_forget_timer(self, request: ClientRequest, remaining: timedelta) -> None:
        """End a request a little after its deadline even if the router does not know it any more; the deadline named last counts."""
        if request.forget_timer:
            request.forget_timer.cancel()
        loop = asyncio.get_running_loop()
        request.forget_timer = loop.call_later((remaining + FORGET_MARGIN) / SECOND, request.put, RequestEnd.FORGOTTEN)

    async def _follow_instructions(self, request: ClientRequest) -> bool:
        """Follow the router's instructions until the request is over; returns whether the router knows that it is."""
        while True:
            match await request.next_instruction():
                case StartAttempt(attempt=number, target=target):
                    router_knows_end = await self._run_attempt(request, number, AttemptTarget(**target))
                    if router_knows_end is not None:
                        return router_knows_end
                case ForwardResponse(attempt=number):
                    await self._pass_held_response(request, number)
                    return True
                case AnswerClient(status=status, retry_after=retry_after, code=code):
                    if request.was_started:
                        request.cut()
                    else:
                        await request.respond_with_code(status, code, retry_after=retry_after)
                    return True
                case AbortResponse():
                    request.cut()
                    return True
                case RequestEnd.CLIENT_GONE:
                    return False
                case RequestEnd() as why:
                    await self._end(request, why)
                    return False

    async def _run_attempt(self, request: ClientRequest, number: int, target: AttemptTarget) -> bool | None:
        """Run an attempt; returns whether the router knows that the request is over, or None if it is not over."""
        request.attempt_number, request.held_response = number, None
        if not self.may_attempt(request, target):
            request.cut()
            return False
        self.set_forget_timer(request, timedelta(milliseconds=target.deadline_ms))
        with anyio.CancelScope() as scope:
            request.attempt_scope = scope
            result = await self.attempts.run(request, number, target)
        request.attempt_scope = None
        if scope.cancelled_caught:
            return None
        await self.report(request, number, result.outcome, *result.details)
        return True if result.outcome is Outcome.DONE else None

    def may_attempt(self, request: ClientRequest, target: AttemptTarget) -> bool:
        """Whether an attempt may run: nothing can go on behind a part of a response but the rest of a stream."""
        return target.resume or not request.was_started

    async def _pass_held_response(self, request: ClientRequest, number: int) -> None:
        """Hand the client the response of the last attempt, if this is the one."""
        if request.was_started:
            request.cut()
        elif request.held_response and number == request.attempt_number:
            await request.respond(*request.held_response)
        else:
            await request.respond_with_code(502, result_codes.LOST_ANSWER)

    async def _end(self, request: ClientRequest, why: RequestEnd) -> None:
        """End a request without the router: by what its client may rely on."""
        if request.was_started:
            request.cut()
        elif request.was_sent:
            await request.respond_with_code(502, result_codes.REPLICA_SILENT)
        elif why is RequestEnd.SHUTDOWN:
            await request.respond_with_code(503, result_codes.LEAVING, retry_after=RETRY_ELSEWHERE_S, close=True)
        else:
            await request.respond_with_code(503, result_codes.BUSY, retry_after=RETRY_WHEN_BUSY_S)

    async def get(self, *, replica: str, addr: str, path: str) -> bytes | None:
        """Send a replica a plain GET and return the body of a 200, else None."""
        return await self.attempts.get(replica=replica, addr=addr, path=path)
