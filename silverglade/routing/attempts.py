"""Attempts of the router (design 15.3): which replica gets a request next, and what its client is told when none does.

At most once: each attempt of a client has an id of its own, so this daemon decides alone. A request that may not be repeated
goes to a second replica only if the first said that it did not run it, or was sent not one byte.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple

from ..runtime import result_codes
from ..runtime.components import Component
from ..runtime.effects import ZERO, AbortResponse, Post, StartAttempt, milliseconds
from ..runtime.events import ServiceRequestObserved
from .attempt_outcomes import AttemptOutcome
from .callers import effective_homes
from .context import RouterContext
from .graceful_shutdown import RETRY_ELSEWHERE_S
from .replica_selection import SelectionContext, order, usable
from .replicas import ReplicaState
from .request import Request, attempt_target, work_of
from .route_table import Route, ServiceConfiguration, choose_service, find_route

MOST_UNSENT = 4
"""Replicas that could not be reached, for one request."""
MOST_UNREACHABLE = 3
"""Of these such that took no connection in time: each costs that time."""
RESPONSE_MARGIN = milliseconds(15)
"""What is left of a deadline for the way back."""
RETRY_WHEN_PROVED_S = 0.5
"""Seconds until the configuration is likely to be proved anew."""
RETRY_WHEN_SERVING_S = 1.0
"""Seconds until a daemon that has just started is likely to serve."""
RETRY_AFTER_ATTEMPTS_S = 0.25
"""Seconds until a request may come back whose attempts are used up."""
RETRY_AFTER_BUDGET_S = 0.5
"""Seconds until a request may come back that the retry budget did not allow."""
RETRY_WHEN_BUSY_S = 0.5
"""Seconds until a request may come back that no replica may get now."""
RETRY_WITHOUT_REPLICA_S = 1.0
"""Seconds until a request may come back for which there is no replica at all."""


class Refusal(NamedTuple):
    """Why a request goes to no replica now.

    :ivar retry_after: seconds until the client may come back, or None.
    :ivar code: a result code.
    """

    status: int
    retry_after: float | None
    code: int


LEAVING = Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, RETRY_ELSEWHERE_S, result_codes.LEAVING)
DEADLINE_PASSED = Refusal(HTTPStatus.GATEWAY_TIMEOUT.value, None, result_codes.LATE)
ATTEMPTS_USED = Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, RETRY_AFTER_ATTEMPTS_S, result_codes.TRIES_USED)
OVER_BUDGET = Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, RETRY_AFTER_BUDGET_S, result_codes.REPEAT_BUDGET)
REPLICAS_BUSY = Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, RETRY_WHEN_BUSY_S, result_codes.NO_REPLICA)
NO_REPLICA = Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, RETRY_WITHOUT_REPLICA_S, result_codes.NO_REPLICA)
RESPONSE_LOST = Refusal(HTTPStatus.BAD_GATEWAY.value, None, result_codes.LOST_ANSWER)
NOT_SERVING = Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, RETRY_WHEN_SERVING_S, result_codes.NOT_SERVING)
UNKNOWN_ROUTE = Refusal(HTTPStatus.NOT_FOUND.value, None, result_codes.NO_ROUTE)
UNCERTAIN_ROUTE = Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, RETRY_WHEN_PROVED_S, result_codes.UNCERTAIN_ROUTE)
MISSING_KEY = Refusal(HTTPStatus.UNAUTHORIZED.value, None, result_codes.NO_KEY)
UNKNOWN_KEY = Refusal(HTTPStatus.UNAUTHORIZED.value, None, result_codes.UNKNOWN_KEY)
UNCERTAIN_KEY = Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, RETRY_WHEN_PROVED_S, result_codes.UNCERTAIN_KEY)
MISSING_ATTEMPT_ID = Refusal(HTTPStatus.BAD_REQUEST.value, None, result_codes.NO_ATTEMPT)


def attempts_exhausted(retry_after: float) -> Refusal:
    """The refusal after the last replica said that it did not run the request.

    :param retry_after: seconds, as that replica says.
    """
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, retry_after, result_codes.FULL)


class Attempts:
    """Starts attempts, or tells the client that there is none."""

    __slots__ = ("context",)

    def __init__(self, context: RouterContext) -> None:
        self.context = context

    def begin(self, request: Request, now: timedelta) -> None:
        """Set the route, service and deadline of a new request, and send it to a replica."""
        context, facts = self.context, request.facts
        if context.configuration is None or not context.has_endpoint_list:
            context.answer(request, *NOT_SERVING)
            return
        route = find_route(context.routes, facts["host"], facts["path"])
        if route is None:
            context.note_refused_route(now)
            context.answer(request, *(UNKNOWN_ROUTE if context.is_configuration_certain(now) else UNCERTAIN_ROUTE))
            return
        refusal = self.identify_caller(request, route, now)
        if refusal is not None:
            context.answer(request, *refusal)
            return
        if not facts["attempt"]:
            context.answer(request, *MISSING_ATTEMPT_ID)
            return
        request.route = route
        request.service = choose_service(route, facts["attempt"])
        request.work = work_of(facts)
        longest = route["due_ms"]
        request.client_deadline = request.received_at + milliseconds(min(longest, facts["deadline_ms"] or longest))
        request.deadline = context.shutdown.deadline(request.client_deadline, route)
        context.effects.append(Post(Component.SERVICE_SCALER, ServiceRequestObserved(request.service, False)))
        context.retry_budget.on_request(now, request.service)
        context.placement.on_request(request)
        self.send_next(request, now)

    def identify_caller(self, request: Request, route: Route, now: timedelta) -> Refusal | None:
        """Set who holds the request's key, and with it where it may be served (design 17).

        :returns: why it is refused, if its route wants a key; None where it may go on.
        """
        context = self.context
        request.homes = route["homes"]
        if context.callers is None:
            return None
        key = request.facts.get("key")
        caller = context.callers.get(key) if key else None
        if not route.get("public"):
            if not context.are_keys_certain(now):
                return UNCERTAIN_KEY
            if caller is None and not context.is_configuration_certain(now):
                return UNCERTAIN_KEY
            if caller is None:
                return UNKNOWN_KEY if key else MISSING_KEY
        request.caller = caller
        request.homes = effective_homes(route["homes"], caller)
        return None

    def send_next(self, request: Request, now: timedelta) -> None:
        """Send a request to the next replica, or give it up at once."""
        refusal = self.try_next(request, now)
        if refusal is not None:
            self.give_up(request, refusal)

    def try_next(self, request: Request, now: timedelta) -> Refusal | None:
        """Send a request to the next replica, if there is one and everything allows.

        :returns: why it was not sent; None where it was, or will be once prefill backlogs are known.
        """
        refusal = self.refusal_before_choice(request, now)
        if refusal is not None:
            return refusal
        context = self.context
        service = context.services.get(request.service)
        if service is None:
            return NO_REPLICA
        candidates = usable(
            context.replicas.values(),
            service=request.service,
            homes=request.homes,
            drained_zones=context.drained_zones,
            tried=request.tried_replicas,
        )
        selection = self.selection_context(request, context.ejection.avoided(now, candidates))
        on_trial = context.ejection.replica_to_try(now, candidates) if request.is_repeatable else None
        groups = context.reachability.groups(candidates, request.unreachable_by_region)
        if request.prompt and not request.arrivals and groups and self.asks_for_backlogs(request, groups[0], selection, now):
            return None  # the answers, or the time for them, send it on
        replica = self.first_choice(request, groups, service, selection, on_trial, now)
        if replica is None:
            return REPLICAS_BUSY if candidates else NO_REPLICA
        if request.arrivals and not context.retry_budget.spend(now, request.service, daemons=context.daemons):
            return OVER_BUDGET
        self.start(request, replica, service, now)
        return None

    def refusal_before_choice(self, request: Request, now: timedelta) -> Refusal | None:
        """Why the request may go to no replica, whichever there are."""
        if self.context.shutdown.has_begun and not request.response_begun and not self.can_end_before_shutdown(request, now):
            return LEAVING
        if request.deadline - now - RESPONSE_MARGIN <= ZERO:
            return DEADLINE_PASSED
        unsent = len(request.tried_replicas) - request.counted_attempts
        if request.counted_attempts >= request.route["tries"] or unsent >= MOST_UNSENT:
            return ATTEMPTS_USED
        if request.unreachable_by_region and request.unreachable_by_region.total() >= MOST_UNREACHABLE:
            return ATTEMPTS_USED
        return None

    def can_end_before_shutdown(self, request: Request, now: timedelta) -> bool:
        """Whether the request can be expected to end before this daemon does."""
        name = request.route["name"]
        running = (
            (now - other.received_at, other.work)
            for other in self.context.requests.values()
            if other.open_attempts and other.route["name"] == name
        )
        return self.context.shutdown.may_start(
            now, route=request.route, deadline=request.client_deadline, work=request.work, running=running
        )

    def selection_context(self, request: Request, avoided: frozenset[str]) -> SelectionContext:
        """What the order of replicas for this request rests on."""
        context = self.context
        return SelectionContext(
            region=context.region,
            prefix=request.facts["prefix"],
            by_prefix=request.route["by_prefix"],
            short_regions={region for region, service in context.short_services if service == request.service},
            peers=context.peers,
            work=request.work,
            avoided=avoided,
            switched_off=context.switched_off,
        )

    def asks_for_backlogs(self, request: Request, candidates: Sequence[ReplicaState], selection: SelectionContext, now: timedelta) -> bool:
        """Ask for prefill backlogs where that helps; whether an answer is waited for."""
        messages = self.context.placement.ask(now, request, order(candidates, selection, now))
        self.context.effects.extend(messages)
        return bool(messages)

    def first_choice(
        self,
        request: Request,
        groups: Sequence[Sequence[ReplicaState]],
        service: ServiceConfiguration,
        selection: SelectionContext,
        on_trial: ReplicaState | None,
        now: timedelta,
    ) -> ReplicaState | None:
        """The replica that gets the request, or None; what it takes of a slow start is counted.

        :param on_trial: the replica that this daemon is to try after an ejection; it goes first.
        """
        per_second = service["cold_per_s"]
        for candidates in groups:
            if on_trial in candidates and on_trial and not on_trial.attempts and self.may_get(on_trial, per_second, now):
                return on_trial
            for replica in self.context.placement.preferred(request, order(candidates, selection, now)):
                if self.may_get(replica, per_second, now):
                    return replica
        return None

    def may_get(self, replica: ReplicaState, per_second: float, now: timedelta) -> bool:
        """Whether the replica's slow start allows one more request; counted if so.

        :param per_second: what a replica of the service bears in its slow start; 0: everything.
        """
        if not per_second:
            return True
        bears = per_second if now < replica.slow_start_until else None
        return self.context.slow_start.take(now, replica.id, per_second=bears)

    def start(self, request: Request, replica: ReplicaState, service: ServiceConfiguration, now: timedelta) -> None:
        """Send the request to the replica."""
        context = self.context
        for attempt in list(request.open_attempts):  # a silent one, which may have run it: no promise can be given any more
            context.close_attempt(request, attempt)
            request.last_failure = AttemptOutcome.LOST
        request.attempt_number += 1
        request.counted_attempts += 1
        request.arrivals += 1
        request.tried_replicas.add(replica.id)
        request.open_attempts[request.attempt_number] = replica.id
        request.sent_at = now
        request.hides_key = request.hides_key or context.callers is not None
        replica.attempts[request.id, request.attempt_number] = now
        replica.last_sent_at = now
        replica.work += request.work
        message = context.placement.on_sent(now, request, replica)
        if message is not None:
            context.effects.append(message)
        target = attempt_target(
            request,
            replica,
            service,
            remaining=request.deadline - now - RESPONSE_MARGIN,
            connect_timeout=context.connect_timeout(replica),
            daemons=context.daemons,
            tuning=context.tuning,
        )
        context.effects.append(StartAttempt(request.id, request.attempt_number, target))

    def give_up(self, request: Request, refusal: Refusal) -> None:
        """Answer the client now: nothing more can be done, and no more is promised than is known."""
        context = self.context
        if request.response_begun:
            context.finish(request)
            context.effects.append(AbortResponse(request.id))
            return
        promises_not_run = refusal.status == HTTPStatus.SERVICE_UNAVAILABLE
        if request.may_have_run and (promises_not_run or not request.is_repeatable):
            refusal = RESPONSE_LOST
        context.answer(request, *refusal)
