"""The scaler for services (design 16.3), the component "service_scaler".

It estimates how many replicas each service requires in the region, and by comparison with the ready replicas whether the region is
short of them. For services whose replicas are ordered (design 16.5), the requirement is published to the daemon that orders them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, ClassVar, NamedTuple

from ..configuration.schema import has_services
from ..control.replicated_state import value_of
from ..membership.records import REQUIREMENT_ROW, MemberRecord, members_of
from ..runtime.components import Component
from ..runtime.effects import NEVER, ZERO, Broadcast, Effect, Post, WakeAt, log_record
from ..runtime.events import (
    Event,
    LoadsReported,
    MembershipChanged,
    ServiceRequestObserved,
    ServiceRequestServed,
    ServiceRequirementsChanged,
    SoftStateChanged,
    StoreUpdated,
    TimerFired,
)
from .load_bounds import LoadBounds
from .load_measurement import SECOND, LoadMeasurement
from .markov_chain import room_of_replica
from .requirement_rows import RequirementPublisher, scalable_services

MS_PER_SECOND = 1000

LATENCY_PER_SLOT = "place"
"""Value of the setting `need_latency`: latency is the time for which a request occupies one slot, not the whole replica."""


class ReplicaLoad(NamedTuple):
    """The load report of a replica.

    :ivar active: running requests.
    :ivar slots: requests that the replica runs concurrently.
    :ivar is_ready: it responds and accepts new requests.
    :ivar queued: queued requests.
    """

    service: str
    region: str
    active: int
    slots: int
    is_ready: bool
    queued: int = 0


class ServiceRequirement(NamedTuple):
    """The number of replicas that a service requires in the region, how many are ready, and whether these are too few."""

    required: int
    ready: int
    is_short: bool


class RequirementInputs(NamedTuple):
    """The inputs of a service's requirement; the field names are those of the log line.

    :ivar arrival_rate: projected requests per second in the region.
    :ivar retry_rate: retries per second at this daemon; they do not count as arrivals.
    :ivar service_s: 1/mu in seconds; 0 if unknown.
    :ivar use: mean utilization of the slots.
    """

    arrival_rate: float
    retry_rate: float
    service_s: float
    use: float


class ServiceMeasurement:
    """Utilization of one service's replicas in the region, as they reported it, and the service's requests at this daemon.

    :ivar load: measurement of the requests other than retries.
    :ivar retries: arrival times of retries.
    """

    __slots__ = ("_started_at", "_tuning", "_utilization_samples", "load", "retries")

    def __init__(self, *, now: timedelta, tuning: Mapping[str, Any]) -> None:
        self._tuning = tuning
        self._started_at = now
        self._utilization_samples: deque[tuple[timedelta, float]] = deque()
        self.load = LoadMeasurement(tuning)
        self.retries: deque[timedelta] = deque()

    def completion_window(self, now: timedelta) -> timedelta:
        """Return the window over which completions are counted."""
        window: timedelta = max(self._tuning["scale_every"], min(self._tuning["need_window"], now - self._started_at))
        return window

    def mean_utilization(self, now: timedelta, loads: list[ReplicaLoad]) -> float:
        """Add a sample of the ready replicas; return the mean over `need_window` of active requests per slot, at most 1."""
        slots = sum(load.slots for load in loads)
        if slots:
            self._utilization_samples.append((now, sum(load.active for load in loads) / slots))
        while self._utilization_samples and now - self._utilization_samples[0][0] >= self._tuning["need_window"]:
            self._utilization_samples.popleft()
        if not self._utilization_samples:
            return 0.0
        return min(1.0, sum(utilization for _, utilization in self._utilization_samples) / len(self._utilization_samples))

    def retry_rate(self, now: timedelta) -> float:
        """Return the retries per second."""
        window: timedelta = self._tuning["scale_every"]
        while self.retries and now - self.retries[0] >= window:
            self.retries.popleft()
        return len(self.retries) / (window / SECOND)


class ServiceScaler:
    """The state machine of the scaler.

    :ivar measurements: by service, for services that have had requests or are the target of a route.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MembershipChanged,
        StoreUpdated,
        LoadsReported,
        SoftStateChanged,
        ServiceRequestObserved,
        ServiceRequestServed,
    )

    def __init__(self, *, region: str, tuning: Mapping[str, Any], own_name: str = "") -> None:
        self._region = region
        self._tuning = tuning
        self._publisher = RequirementPublisher(own_name=own_name, region=region, tuning=tuning)
        self.measurements: dict[str, ServiceMeasurement] = {}
        self._members: tuple[MemberRecord, ...] = ()
        self._configuration: Mapping[str, Any] | None = None
        self._loads: Mapping[str, tuple[Any, ...]] = {}
        self._bounds: dict[str, LoadBounds] = {}  # by service, for services whose replicas are ordered
        self._next_run = ZERO
        self._last_requirements: dict[tuple[str, str], ServiceRequirement] = {}  # by (region, service), as last broadcast
        self._effects: list[Effect] = []
        self._handlers: dict[type[Event], Callable[[timedelta, Any], None]] = {
            TimerFired: self._on_timer,
            MembershipChanged: self._on_membership_changed,
            StoreUpdated: self._on_store_updated,
            LoadsReported: self._on_loads_reported,
            SoftStateChanged: self._on_soft_state_changed,
            ServiceRequestObserved: self._on_request_observed,
            ServiceRequestServed: self._on_request_served,
        }

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event; return its effects in their order."""
        self._handlers[type(event)](now, event)
        effects = self._effects
        self._effects = []
        return effects

    def _on_membership_changed(self, now: timedelta, event: MembershipChanged) -> None:
        self._members = members_of(event.members)

    def _on_store_updated(self, now: timedelta, event: StoreUpdated) -> None:
        configuration = value_of(event.store, "config")
        if configuration is not None and (has_services(configuration) or self._configuration is not None):
            self._configuration = configuration

    def _on_loads_reported(self, now: timedelta, event: LoadsReported) -> None:
        self._loads = event.loads

    def _on_soft_state_changed(self, now: timedelta, event: SoftStateChanged) -> None:
        if event.kind == REQUIREMENT_ROW:
            self._publisher.observe_rows(event.rows)

    def _on_request_observed(self, now: timedelta, event: ServiceRequestObserved) -> None:
        measurement = self._measurement(event.service, now)
        arrivals = measurement.retries if event.is_retry else measurement.load.arrivals
        arrivals.append(now)

    def _on_request_served(self, now: timedelta, event: ServiceRequestServed) -> None:
        self._measurement(event.service, now).load.completions.append((now, event.seconds))

    def _on_timer(self, now: timedelta, event: TimerFired) -> None:
        if now >= self._next_run:
            self._next_run = now + self._tuning["scale_every"]
            if self._configuration is not None:
                self._update_requirements(now, self._configuration)
        self._effects.append(WakeAt(NEVER if self._configuration is None else self._next_run))

    def _measurement(self, service: str, now: timedelta) -> ServiceMeasurement:
        if service not in self.measurements:
            self.measurements[service] = ServiceMeasurement(now=now, tuning=self._tuning)
        return self.measurements[service]

    def _update_requirements(self, now: timedelta, configuration: Mapping[str, Any]) -> None:
        """Compute the requirement of every service; log and broadcast the changes."""
        daemons = count_client_facing_daemons(self._members, self._region)
        loads = [ReplicaLoad(*load) for load in self._loads.values()]
        requirements: dict[tuple[str, str], ServiceRequirement] = {}
        for service, latency_target in sorted(latency_targets(configuration).items()):
            ready = [load for load in loads if load.service == service and load.region == self._region and load.is_ready]
            requirement, inputs = self._requirement(now, service=service, latency_target=latency_target, loads=ready, daemons=daemons)
            key = (self._region, service)
            requirements[key] = requirement
            if requirement != self._last_requirements.get(key):
                self._log(service, requirement, inputs, daemons)
        for service in [service for service in self.measurements if (self._region, service) not in requirements]:
            del self.measurements[service]
        if requirements != self._last_requirements:
            self._last_requirements = requirements
            self._effects.append(Broadcast(ServiceRequirementsChanged(requirements)))
        self._publish(now, requirements, scalable_services(configuration), loads)

    def _publish(
        self,
        now: timedelta,
        requirements: Mapping[tuple[str, str], ServiceRequirement],
        scalable: Mapping[str, Mapping[str, Any]],
        loads: list[ReplicaLoad],
    ) -> None:
        """Publish the region's requirements for services whose replicas are ordered, if this daemon is the publisher."""
        if not scalable:
            return
        bounded_requirements = {}
        for service in [service for service in scalable if (self._region, service) in requirements]:
            ready = [load for load in loads if load.service == service and load.region == self._region and load.is_ready]
            bounds = self._bounds.setdefault(service, LoadBounds(tuning=self._tuning))
            bounds.add_sample(now, ready)
            requirement = requirements[self._region, service]
            required = bounds.clamp(now, requirement.required)
            is_short = required > requirement.ready if ready else requirement.is_short
            bounded_requirements[service] = ServiceRequirement(required, requirement.ready, is_short)
        rows = self._publisher.rows_due(now, services=scalable, required=bounded_requirements, members=self._members)
        self._effects += [Post(Component.MEMBERSHIP, row) for row in rows]

    def _requirement(
        self, now: timedelta, *, service: str, latency_target: float, loads: list[ReplicaLoad], daemons: int
    ) -> tuple[ServiceRequirement, RequirementInputs]:
        """Compute the requirement of one service, and return it with its inputs.

        :param latency_target: in seconds.
        :param loads: loads of the service's ready replicas in the region.
        """
        measurement = self._measurement(service, now)
        ready = len(loads)
        slots = max(1.0, sum(load.slots for load in loads) / ready) if ready else 1.0  # of one replica
        rates = measurement.load.rates(now, self._tuning["scale_every"], measurement.completion_window(now))
        arrival_rate = measurement.load.projected_rate(now, rates.arrivals * daemons)
        utilization = measurement.mean_utilization(now, loads)
        service_time = measurement.load.update_service_time(
            utilization=utilization,
            ready=ready,
            daemons=daemons,
            completions=rates.completions,
            slots=slots if self._tuning["need_latency"] == LATENCY_PER_SLOT else 1,
        )
        required = 0
        is_short = arrival_rate > 0 and not ready
        if arrival_rate > 0 and service_time:
            room = self._tuning["need_room"]
            if not room:
                room = room_of_replica(capacity=round(slots), mu=1 / service_time, latency_target=latency_target)
            required, meets_target = measurement.load.required_replicas(
                arrival_rate=arrival_rate, service_time=service_time, replicas=ready, latency_target=latency_target, room=room
            )
            is_short = is_short or (not meets_target and required >= self._tuning["scale_fan"] * max(1, ready))
        required = measurement.load.hold(now, required)
        inputs = RequirementInputs(arrival_rate, measurement.retry_rate(now), service_time or 0.0, utilization)
        return ServiceRequirement(required, ready, is_short or required > ready), inputs

    def _log(self, service: str, requirement: ServiceRequirement, inputs: RequirementInputs, daemons: int) -> None:
        figures = {name: f"{value:.4g}" for name, value in inputs._asdict().items()}
        self._effects.append(
            log_record(
                "service-scaler",
                region=self._region,
                service=service,
                required=requirement.required,
                ready=requirement.ready,
                short=requirement.is_short,
                daemons=daemons,
                **figures,
            )
        )


def latency_targets(configuration: Mapping[str, Any]) -> dict[str, float]:
    """Return the strictest latency target, in seconds, among the routes that lead to each service."""
    targets_ms: dict[str, int] = {}
    for route in configuration["routes"]:
        for share in route["shares"]:
            if share["weight"] > 0:
                service, target_ms = share["service"], route["aim_ms"]
                targets_ms[service] = min(targets_ms.get(service, target_ms), target_ms)
    return {service: target_ms / MS_PER_SECOND for service, target_ms in targets_ms.items()}


def count_client_facing_daemons(members: tuple[MemberRecord, ...], region: str) -> int:
    """Return how many of the region's ready daemons serve clients, at least 1.

    These are the daemons that are not cores; in a region of cores only, all of them.
    """
    here = [member for member in members if member.region == region and member.is_ready]
    return max(1, sum(not member.is_core for member in here) or len(here))
