"""Attempts of the router (design 15.3): the choice of the next replica for a request, and the answer if there is none.

At-most-once execution: each attempt of a client has an id of its own, so this daemon decides alone. A request that must not be
repeated is sent to a second replica only if the first one reported that it did not run it, or was sent no byte of it.
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
from .replica_selection import SelectionContext, eligible_replicas, order
from .replicas import ReplicaState
from .request import Request, attempt_target, work_of
from .route_table import Route, ServiceConfiguration, choose_service, find_route

MAX_UNSENT_ATTEMPTS = 4
"""Maximum number of replicas per request that could not be reached."""
MAX_CONNECT_TIMEOUTS = 3
"""Maximum number of connect time-outs per request; each one costs the full time-out."""
RESPONSE_MARGIN = milliseconds(15)
"""Part of the deadline reserved for the return of the response."""
RETRY_WHEN_PROVED_S = 0.5
"""Seconds until the configuration is likely to be proved again."""
RETRY_WHEN_SERVING_S = 1.0
"""Seconds until a daemon that has just started is likely to be ready."""
RETRY_AFTER_ATTEMPTS_S = 0.25
"""Retry delay in seconds after a request has used up its attempts."""
RETRY_AFTER_BUDGET_S = 0.5
"""Retry delay in seconds after a retry that the retry budget did not allow."""
RETRY_WHEN_BUSY_S = 0.5
"""Retry delay in seconds if no replica may take the request now."""
RETRY_WITHOUT_REPLICA_S = 1.0
"""Retry delay in seconds if there is no replica at all."""


class Refusal(NamedTuple):
    """Answer to a request that is sent to no replica.

    :ivar retry_after: seconds after which the client may retry, or None.
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
UNCERTAIN_CONFIGURATION = Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, RETRY_WHEN_PROVED_S, result_codes.UNCERTAIN_CONFIGURATION)
MISSING_ATTEMPT_ID = Refusal(HTTPStatus.BAD_REQUEST.value, None, result_codes.NO_ATTEMPT)


def attempts_exhausted(retry_after: float) -> Refusal:
    """Return the refusal to use after the last replica reported that it did not run the request.

    :param retry_after: seconds, as given by that replica.
    """
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE.value, retry_after, result_codes.FULL)


class Attempts:
    """Starts attempts, or answers the client if there can be none."""

    __slots__ = ("context",)

    def __init__(self, context: RouterContext) -> None:
        self.context = context

    def begin(self, request: Request, now: timedelta) -> None:
        """Set the route, caller, service and deadline of a new request, and send it to a replica or answer it."""
        context, facts = self.context, request.facts
        if context.configuration is None or not context.has_endpoint_list:
            context.answer(request, *NOT_SERVING)
            return
        route = find_route(context.routes, facts["host"], facts["path"])
        if route is None:
            context.record_refused_route(now)
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
        longest, stated = route["due_ms"], facts["deadline_ms"]
        request.client_deadline = request.received_at + milliseconds(longest if stated is None else min(longest, stated))
        request.deadline = context.shutdown.deadline(request.client_deadline, route)
        context.effects.append(Post(Component.SERVICE_SCALER, ServiceRequestObserved(request.service, False)))
        context.retry_budget.on_request(now, request.service)
        context.placement.on_request(request)
        self.send_next(request, now)

    def identify_caller(self, request: Request, route: Route, now: timedelta) -> Refusal | None:
        """Set the caller that holds the request's key, and the regions where the request may be served (design 17).

        :returns: the refusal if the route requires a valid key; None if the request is accepted.
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
        """Send a request to the next replica, or give it up immediately."""
        refusal = self.try_next(request, now)
        if refusal is not None:
            self.give_up(request, refusal, now)

    def try_next(self, request: Request, now: timedelta) -> Refusal | None:
        """Send a request to the next replica if there is one and deadline, limits and retry budget permit.

        :returns: the refusal if it was not sent; None if it was, or will be once prefill backlogs are known.
        """
        refusal = self.refusal_before_choice(request, now)
        if refusal is not None:
            return refusal
        context = self.context
        service = context.services.get(request.service)
        if service is None:
            return NO_REPLICA
        candidates = eligible_replicas(
            context.replicas.values(),
            service=request.service,
            homes=request.homes,
            drained_zones=context.drained_zones,
            tried=request.tried_replicas,
        )
        selection = self.selection_context(request, context.ejection.avoided(now, candidates))
        on_trial = context.ejection.replica_to_try(now, candidates) if request.is_repeatable else None
        groups = context.reachability.groups(candidates, request.unreachable_by_region)
        if request.prompt and not request.arrivals and groups and self.query_backlogs(request, groups[0], selection, now):
            return None  # it is sent once the replies arrive or time out
        replica = self.first_choice(request, groups, service, selection, on_trial, now)
        if replica is None:
            return REPLICAS_BUSY if candidates else NO_REPLICA
        if request.arrivals and not context.retry_budget.spend(now, request.service, daemons=context.daemons):
            return OVER_BUDGET
        self.start(request, replica, service, now)
        return None

    def refusal_before_choice(self, request: Request, now: timedelta) -> Refusal | None:
        """Return the refusal that applies whichever replicas there are, or None."""
        if self.context.proof.is_dropped and not request.arrivals and not request.open_attempts:
            return UNCERTAIN_CONFIGURATION  # its route, homes or caller may no longer be what they were before the pause
        if self.context.shutdown.has_begun and not request.response_begun and not self.can_end_before_shutdown(request, now):
            return LEAVING
        if request.deadline - now - RESPONSE_MARGIN <= ZERO:
            return DEADLINE_PASSED
        unsent = len(request.tried_replicas) - request.counted_attempts
        if request.counted_attempts >= request.route["tries"] or unsent >= MAX_UNSENT_ATTEMPTS:
            return ATTEMPTS_USED
        if request.unreachable_by_region and request.unreachable_by_region.total() >= MAX_CONNECT_TIMEOUTS:
            return ATTEMPTS_USED
        return None

    def can_end_before_shutdown(self, request: Request, now: timedelta) -> bool:
        """Return whether the request can be expected to end before this daemon's shutdown."""
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
        """Return the inputs of the replica order for this request."""
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

    def query_backlogs(self, request: Request, candidates: Sequence[ReplicaState], selection: SelectionContext, now: timedelta) -> bool:
        """Query prefill backlogs where useful; return whether the request must wait for replies."""
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
        """Return the replica for the request, or None; if it is in slow start, count the request.

        :param on_trial: a replica that this daemon must test after an ejection; preferred over all others.
        """
        per_second = service["cold_per_s"]
        for candidates in groups:
            if on_trial in candidates and on_trial and not on_trial.attempts and self.take_slow_start_quota(on_trial, per_second, now):
                return on_trial
            for replica in self.context.placement.preferred(request, order(candidates, selection, now)):
                if self.take_slow_start_quota(replica, per_second, now):
                    return replica
        return None

    def take_slow_start_quota(self, replica: ReplicaState, per_second: float, now: timedelta) -> bool:
        """Return whether the replica's slow start allows one more request; if so, count it.

        :param per_second: limit in requests per second of the service's replicas in slow start; 0 for no limit.
        """
        if not per_second:
            return True
        bears = per_second if now < replica.slow_start_until else None
        return self.context.slow_start.take(now, replica.id, per_second=bears)

    def start(self, request: Request, replica: ReplicaState, service: ServiceConfiguration, now: timedelta) -> None:
        """Start an attempt of the request at the replica."""
        context = self.context
        for attempt, silent_replica in list(request.open_attempts.items()):
            context.close_attempt(request, attempt)
            request.last_failure = AttemptOutcome.LOST  # the silent replica may have run the request
            request.silent_replica = silent_replica
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

    def abort(self, request: Request, refusal: Refusal) -> None:
        """Break off a response that has begun, and log what had happened to the request."""
        context = self.context
        context.log(
            "response-aborted",
            rid=request.id,
            route=request.route["name"],
            code=refusal.code,
            last=request.last_failure or "",
            tries=request.arrivals,
            silent=request.silent_replica or "",
        )
        context.finish(request)
        context.effects.append(AbortResponse(request.id))

    def may_leave_silent_replica(self, request: Request, now: timedelta) -> bool:
        """Return whether a request may be sent to another replica while its replica is silent.

        A stream that has begun may have to return to the silent replica, so the retry budget must allow two more arrivals.
        """
        context = self.context
        arrivals = 2 if request.response_begun else 1
        return context.retry_budget.allows(now, request.service, daemons=context.daemons, arrivals=arrivals)

    def return_to_silent_replica(self, request: Request, now: timedelta) -> bool:
        """Resume a stream at the replica that was left when it was silent, as no other one takes it; return whether it was sent.

        The replica may only have been slow, and the silence of a replica is no reason to break off its response. This is done once.
        """
        context = self.context
        silent = context.replicas.get(request.silent_replica or "")
        service = context.services.get(request.service)
        if silent is None or service is None or request.deadline - now - RESPONSE_MARGIN <= ZERO:
            return False
        if not eligible_replicas([silent], service=request.service, homes=request.homes, drained_zones=context.drained_zones):
            return False
        if not self.take_slow_start_quota(silent, service["cold_per_s"], now):
            return False
        if not context.retry_budget.spend(now, request.service, daemons=context.daemons):
            return False
        request.silent_replica = None
        self.start(request, silent, service, now)
        return True

    def give_up(self, request: Request, refusal: Refusal, now: timedelta) -> None:
        """Answer the client without a further attempt; a stream that has begun may resume at a replica that was left when silent.

        A request that may have run is never answered with a status that says that it did not.
        """
        context = self.context
        if request.response_begun:
            if not self.return_to_silent_replica(request, now):
                self.abort(request, refusal)
            return
        promises_not_run = refusal.status == HTTPStatus.SERVICE_UNAVAILABLE
        if request.may_have_run and (promises_not_run or not request.is_repeatable):
            refusal = RESPONSE_LOST
        context.answer(request, *refusal)
