"""The router: chooses a replica for each forwarded request (design 15.3); the request forwarder executes the attempts.

This module only dispatches events; the logic is in the other modules of the package, which share one context (context.py).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

from ..configuration.schema import has_services
from ..control.replicated_state import value_of
from ..membership.records import members_of
from ..replicas.registry import evacuated_zones
from ..runtime import result_codes
from ..runtime.components import Component
from ..runtime.effects import Effect, Post, Reply, SetClientLimits, WakeAt
from ..runtime.events import (
    ApiCall,
    AttemptProgressed,
    AttributeSet,
    EndpointsListed,
    EndpointsRemoved,
    Event,
    ForwardingRequested,
    LoadsReported,
    MembershipChanged,
    MessageReceived,
    ProcessPaused,
    ProofRenewed,
    ReachabilityTested,
    ServiceRequirementsChanged,
    ShutdownStarted,
    SoftStateChanged,
    StoreUpdated,
    TimerFired,
)
from .attempt_progress import AttemptProgress
from .attempts import DEADLINE_PASSED, Attempts
from .callers import build_caller_table
from .context import MIN_DAEMON_COUNT, RouterContext
from .endpoints import Endpoints
from .messages import BacklogReply, BacklogRequest, PrefillEnded, PrefillStarted, decode
from .outlier_ejection import SUSPECT, DaemonLocation
from .replicas import ReplicaState
from .request import Request
from .route_table import build_route_table

DAEMON_RETENTION = timedelta(seconds=60)
"""For how long a daemon is counted after it was last live, as it may still be running behind a partition."""
HOUSEKEEPING_INTERVAL = timedelta(seconds=4)
FIRST_HOUSEKEEPING_INTERVAL = timedelta(seconds=1)
"""The interval until this daemon has announced that it serves."""


class Router:
    """The router of one daemon, as a state machine without I/O."""

    __slots__ = ("attempts", "context", "daemons_known_at", "endpoints", "handlers", "has_announced", "progress")

    def __init__(self, *, own_name: str, region: str, tuning: Mapping[str, Any]) -> None:
        self.context = RouterContext(own_name=own_name, region=region, tuning=tuning)
        self.attempts = Attempts(self.context)
        self.progress = AttemptProgress(self.context, self.attempts)
        self.endpoints = Endpoints(self.context)
        # daemon that forwards requests to when it was last known to be live
        self.daemons_known_at: dict[str, timedelta] = {}
        # whether this daemon has announced in its member record that it serves
        self.has_announced = False
        self.handlers: dict[type[Event], Callable[[Any, timedelta], None]] = {
            ForwardingRequested: self.on_forwarding_requested,
            AttemptProgressed: self.on_attempt_progressed,
            ReachabilityTested: self.on_reachability_tested,
            EndpointsListed: self.on_endpoints_listed,
            EndpointsRemoved: self.on_endpoints_removed,
            LoadsReported: self.on_loads_reported,
            StoreUpdated: self.on_store_updated,
            MembershipChanged: self.on_membership_changed,
            MessageReceived: self.on_message_received,
            SoftStateChanged: self.on_soft_state_changed,
            ProofRenewed: self.on_proof_renewed,
            ShutdownStarted: self.on_shutdown_started,
            ProcessPaused: self.on_process_paused,
            ServiceRequirementsChanged: self.on_services_short,
            ApiCall: self.on_api_call,
            TimerFired: self.on_timer_fired,
        }

    @property
    def handled_events(self) -> tuple[type[Event], ...]:
        """The event classes that the router handles."""
        return tuple(self.handlers)

    def on_start(self, now: timedelta) -> None:
        """Record the start of the daemon for the retry budget."""
        self.context.retry_budget.started_at = now

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects in order of execution."""
        context = self.context
        effects = context.effects = []
        budget = context.retry_budget
        budget.started_at = budget.started_at or now
        self.handlers[type(event)](event, now)
        return effects

    @property
    def requests(self) -> dict[str, Request]:
        """Open requests by id."""
        return self.context.requests

    @property
    def replicas(self) -> dict[str, ReplicaState]:
        """Replicas that are listed or still have open attempts of this daemon, by id."""
        return self.context.replicas

    # requests

    def on_forwarding_requested(self, event: ForwardingRequested, now: timedelta) -> None:
        """Register a client's request, and send it to a replica or answer it."""
        request = self.context.requests[event.request_id] = Request(event.request_id, event.facts, now)
        self.attempts.begin(request, now)

    def on_attempt_progressed(self, event: AttemptProgressed, now: timedelta) -> None:
        """Handle a report about an attempt, unless its request has ended."""
        request = self.context.requests.get(event.request_id)
        if request is not None:
            self.progress.on_progress(request, event, now)

    def on_shutdown_started(self, event: ShutdownStarted, now: timedelta) -> None:
        """Start the shutdown: limit the deadlines of all open requests to the daemon's end."""
        shutdown = self.context.shutdown
        shutdown.begin(streams_until=event.streams_until, answer_at=event.answer_at, end_at=event.end_at)
        for request in self.context.requests.values():
            request.deadline = shutdown.deadline(request.deadline, request.route)

    # replicas

    def on_reachability_tested(self, event: ReachabilityTested, now: timedelta) -> None:
        """Handle the result of a connection test."""
        replica = self.context.replicas.get(event.replica)
        if replica is None:
            return
        reachability = self.context.reachability
        if event.reachable:
            reachability.on_answer(now, replica.region)
        else:
            since = now - self.context.tuning["connect_wait"]
            reachability.on_connect_failure(now, replica.region, event.replica, since=since)

    def on_endpoints_listed(self, event: EndpointsListed, now: timedelta) -> None:
        """Add and update replicas from endpoint records."""
        self.endpoints.on_listed(event.records, event.is_complete, now)

    def on_endpoints_removed(self, event: EndpointsRemoved, now: timedelta) -> None:
        """Drop replicas that are gone."""
        self.endpoints.on_removed(event.replicas, now)

    def on_loads_reported(self, event: LoadsReported, now: timedelta) -> None:
        """Apply health check results."""
        self.endpoints.on_loads(event.loads)

    def on_soft_state_changed(self, event: SoftStateChanged, now: timedelta) -> None:
        """Apply other daemons' accusations of replicas."""
        if event.kind == SUSPECT and "shared-suspicion" not in self.context.switched_off:
            self.context.ejection.on_rows(now, event.rows, self.context.replicas)

    # configuration

    def on_store_updated(self, event: StoreUpdated, now: timedelta) -> None:
        """Apply the configuration and the drained zones of the store."""
        context = self.context
        context.refused_routes.version = event.version
        configuration = value_of(event.store, "config")
        if configuration is not None and configuration is not context.configuration:
            if has_services(configuration) or context.configuration is not None:
                self.set_configuration(configuration)
        drained = frozenset(evacuated_zones(event.store))
        for zone in context.drained_zones - drained:
            self.endpoints.on_zone_returned(zone, now)
        context.drained_zones = drained

    def set_configuration(self, configuration: Mapping[str, Any]) -> None:
        """Put a configuration in force."""
        context = self.context
        context.configuration = configuration
        context.services = configuration.get("services") or {}
        context.routes = build_route_table(configuration)
        context.callers = build_caller_table(configuration)
        context.placement.cache_sizes = {name: service["keeps"] for name, service in context.services.items()}
        context.effects.append(SetClientLimits(configuration.get("limits")))
        self.endpoints.set_slots()

    def on_proof_renewed(self, event: ProofRenewed, now: timedelta) -> None:
        """Record when the configuration was last proved to be the newest, or that this proof was dropped."""
        self.context.proof.renew(event.proved_at)

    def on_services_short(self, event: ServiceRequirementsChanged, now: timedelta) -> None:
        """Record which services have fewer ready replicas than required."""
        self.context.short_services = frozenset(key for key, (_, _, is_short) in event.requirements.items() if is_short)

    # daemons

    def on_membership_changed(self, event: MembershipChanged, now: timedelta) -> None:
        """Apply the live daemons; those without a disk (not cores) forward requests."""
        context = self.context
        members = [member for member in members_of(event.members) if not member.is_core]
        for member in members:
            self.daemons_known_at[member.name] = now
        context.slow_start.update_members(now, [member.name for member in members])
        context.peers = max(1, sum(1 for member in members if member.region == context.region))
        context.ejection.set_daemons({member.name: DaemonLocation(member.zone, member.region) for member in members})
        context.placement.set_live_daemons((member.name, member.region) for member in members if member.is_ready)

    def on_message_received(self, event: MessageReceived, now: timedelta) -> None:
        """Handle another daemon's message about a prefill backlog."""
        context = self.context
        placement = context.placement
        match decode(event.body):
            case BacklogRequest() as message if message.replica in context.replicas:
                context.effects.append(placement.on_backlog_request(now, event.sender, message))
            case BacklogReply() as message:
                self.send_once_answered(placement.on_backlog_reply(event.sender, message), now)
            case PrefillStarted() as message if message.replica in context.replicas:
                placement.on_prefill_started(now, event.sender, message, context.replicas[message.replica])
            case PrefillEnded() as message:
                placement.on_prefill_ended(event.sender, message)

    def send_once_answered(self, request: Request | None, now: timedelta) -> None:
        """Send a request that waited for prefill backlogs, unless it has ended or was sent already."""
        if request and request.id in self.context.requests and not request.open_attempts:
            self.attempts.send_next(request, now)

    def on_process_paused(self, event: ProcessPaused, now: timedelta) -> None:
        """Restart the settling period of slow starts after a pause: other daemons may have forgotten this one."""
        self.context.slow_start.on_process_paused(now)

    def on_api_call(self, event: ApiCall, now: timedelta) -> None:
        """Answer whether this daemon is ready to serve, or whether its configuration is certain enough to refuse a request by it."""
        context = self.context
        if event.operation == "serving":
            is_configured = context.configuration is not None and not context.proof.is_dropped
            ready = is_configured and context.has_endpoint_list and bool(self.daemons_known_at)
            context.effects.append(Reply(event.call_id, result_codes.OK, {"ready": ready}))
        elif event.operation == "certain":
            context.effects.append(Reply(event.call_id, result_codes.OK, {"certain": context.is_configuration_certain(now)}))

    # time

    def on_timer_fired(self, event: TimerFired, now: timedelta) -> None:
        """Run the connection tests, housekeeping and overdue answers, and schedule the next wake-up."""
        context = self.context
        context.test_unreachable_regions(now)
        interval = HOUSEKEEPING_INTERVAL if self.has_announced else FIRST_HOUSEKEEPING_INTERVAL
        context.effects.append(WakeAt(context.reachability.next_test(now + interval)))
        self.announce_if_serving()
        for daemon in [daemon for daemon, known_at in self.daemons_known_at.items() if now - known_at > DAEMON_RETENTION]:
            del self.daemons_known_at[daemon]
        context.daemons = max(len(self.daemons_known_at), MIN_DAEMON_COUNT)
        context.ejection.expire(now, context.replicas)
        context.placement.expire(now, context.replicas)
        for request in context.placement.overdue(now):
            self.send_once_answered(request, now)
        context.publish_accusations()
        context.log_refused_routes()
        self.answer_overdue_requests(now)

    def announce_if_serving(self) -> None:
        """Announce in the member record, once, that this daemon forwards requests."""
        context = self.context
        if not self.has_announced and context.configuration is not None and context.has_endpoint_list:
            self.has_announced = True
            context.effects.append(Post(Component.MEMBERSHIP, AttributeSet("serves", True)))

    def answer_overdue_requests(self, now: timedelta) -> None:
        """Answer the requests whose deadline has passed and that have no open attempt. Called at each timer event.

        An attempt is open from its start until the request forwarder reports its result, or until it is superseded. A request with an
        open attempt is left to the request forwarder, which ends it shortly after the deadline of the attempt unless it has a result
        before. The others are answered with `DEADLINE_PASSED` (status 504). `Attempts.give_up` makes two exceptions: a response that has
        begun is aborted, and a request that may have run and is not repeatable is answered with `RESPONSE_LOST`.
        """
        overdue = [request for request in self.context.requests.values() if now >= request.deadline and not request.open_attempts]
        for request in overdue:
            self.attempts.give_up(request, DEADLINE_PASSED, now)
