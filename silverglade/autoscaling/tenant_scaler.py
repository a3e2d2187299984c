"""The scaler for tenants' requests (design 9), the component "tenant_scaler" of every daemon.

Each daemon estimates how many replicas of each kind its region requires, and publishes its share, which is that number divided by
the number of the region's daemons, in its member record. Every daemon sums up the shares.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta
from math import ceil
from typing import Any, ClassVar, NamedTuple

from ..control.replicated_state import value_of
from ..membership.records import MemberRecord, members_of
from ..replicas.records import ReplicaEntry, ReplicaState
from ..runtime.components import Component
from ..runtime.effects import ZERO, Broadcast, Effect, Post, WakeAt, log_record
from ..runtime.events import (
    AttributeSet,
    Event,
    MembershipChanged,
    ReplicasChanged,
    RequiredReplicasChanged,
    StoreUpdated,
    TenantRequestObserved,
    TenantRequestServed,
    TenantRetryObserved,
    TimerFired,
)
from .load_measurement import SECOND, LoadMeasurement
from .markov_chain import RequiredReplicas

PARTS_ATTRIBUTE = "parts"
"""Attribute of the member record that holds the daemon's `ScalerPart` rows."""

DEFAULT_KIND = "model"
"""The kind of replicas whose regional minimum applies even if the region has none."""

MS_PER_SECOND = 1000
ROUNDING_TOLERANCE = 1e-6
"""Floating-point error that a sum of shares may have without being rounded up."""


class ScalerPart(NamedTuple):
    """A daemon's contribution for one kind of replicas; in the member record an array of its fields in this order.

    :ivar required: the number that this daemon requires for the whole region by its own measurements.
    :ivar share: `required` divided by the number of the region's daemons.
    :ivar arrival_rate: requests per second in the region.
    :ivar service_time: in seconds; 0 if unknown.
    :ivar meets_target: whether the required number meets the latency target.
    """

    kind: str
    required: int
    share: float
    arrival_rate: float
    service_time: float
    meets_target: bool

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> ScalerPart:
        """Return the part that an array encodes; fields added by later versions are dropped."""
        return cls(*row[: len(cls._fields)])


class TenantScaler:
    """The state machine of the scaler.

    :ivar measurements: of each kind of requests seen.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MembershipChanged,
        StoreUpdated,
        ReplicasChanged,
        TenantRequestObserved,
        TenantRetryObserved,
        TenantRequestServed,
    )

    def __init__(self, *, region: str, tuning: Mapping[str, Any]) -> None:
        self._region = region
        self._tuning = tuning
        self.measurements: dict[str, LoadMeasurement] = {}
        self._members: tuple[MemberRecord, ...] = ()
        self._configuration: Mapping[str, Any] | None = None
        self._replicas: Mapping[str, tuple[Any, ...]] = {}
        self._next_run = ZERO
        self._effects: list[Effect] = []
        self._handlers: dict[type[Event], Callable[[timedelta, Any], None]] = {
            TimerFired: self._on_timer,
            MembershipChanged: self._on_membership_changed,
            StoreUpdated: self._on_store_updated,
            ReplicasChanged: self._on_replicas_changed,
            TenantRequestObserved: self._on_request_observed,
            TenantRetryObserved: self._on_retry_observed,
            TenantRequestServed: self._on_request_served,
        }

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event; return its effects in their order."""
        self._handlers[type(event)](now, event)
        effects = self._effects
        self._effects = []
        return effects

    def _on_membership_changed(self, now: timedelta, event: MembershipChanged) -> None:
        self._members = members_of(event.members)
        self._effects.append(Broadcast(RequiredReplicasChanged(self._sum_of_parts())))

    def _on_store_updated(self, now: timedelta, event: StoreUpdated) -> None:
        self._configuration = value_of(event.store, "config")

    def _on_replicas_changed(self, now: timedelta, event: ReplicasChanged) -> None:
        self._replicas = event.replicas

    def _on_request_observed(self, now: timedelta, event: TenantRequestObserved) -> None:
        self._measurement(event.kind).arrivals.append(now)

    def _on_retry_observed(self, now: timedelta, event: TenantRetryObserved) -> None:
        """Remove the last arrival: the shard owner recognised its key as that of a retry."""
        measurement = self.measurements.get(event.kind)
        if measurement is not None and measurement.arrivals:
            measurement.arrivals.pop()

    def _on_request_served(self, now: timedelta, event: TenantRequestServed) -> None:
        self._measurement(event.kind).completions.append((now, event.service_time / SECOND))

    def _on_timer(self, now: timedelta, event: TimerFired) -> None:
        if now >= self._next_run:
            self._next_run = now + self._tuning["scale_every"]
            if self._configuration:
                self._publish_parts(now, self._configuration)
        self._effects.append(WakeAt(self._next_run))

    def _measurement(self, kind: str) -> LoadMeasurement:
        if kind not in self.measurements:
            self.measurements[kind] = LoadMeasurement(self._tuning)
        return self.measurements[kind]

    def _sum_of_parts(self) -> dict[tuple[str, str], int]:
        """Return the sum of all daemons' shares, by (region, kind)."""
        totals: dict[tuple[str, str], float] = {}
        for member in self._members:
            for row in member.attribute(PARTS_ATTRIBUTE, ()):
                part = ScalerPart.of(row)
                key = (member.region, part.kind)
                totals[key] = totals.get(key, 0.0) + part.share
        return {key: ceil(total - ROUNDING_TOLERANCE) for key, total in totals.items()}

    def _publish_parts(self, now: timedelta, configuration: Mapping[str, Any]) -> None:
        """Compute this daemon's part of each kind and publish the parts in its member record."""
        zones = {name: zone for name, zone in configuration["zones"].items() if zone["region"] == self._region}
        zone_minimum = sum(zone["least"] for zone in zones.values())
        daemons = max(1, sum(member.region == self._region and member.is_ready for member in self._members))
        entries = [entry for entry in map(ReplicaEntry.of, self._replicas.values()) if entry.record.zone in zones]
        parts = []
        for kind, latency_target in sorted(latency_targets(configuration).items()):
            here = [entry for entry in entries if entry.record.kind == kind]
            minimum = zone_minimum if here or kind == DEFAULT_KIND else 0
            parts.append(self._part(now, kind=kind, latency_target=latency_target, entries=here, daemons=daemons, minimum=minimum))
        self._effects.append(Post(Component.MEMBERSHIP, AttributeSet(PARTS_ATTRIBUTE, tuple([tuple(part) for part in parts]))))
        summary = ";".join(f"{part.kind}:{part.required}:{part.share:.2f}:{part.arrival_rate:.2f}" for part in parts)
        self._effects.append(log_record("tenant-scaler", region=self._region, daemons=daemons, parts=summary))

    def _part(
        self, now: timedelta, *, kind: str, latency_target: float, entries: list[ReplicaEntry], daemons: int, minimum: int
    ) -> ScalerPart:
        """Compute this daemon's part of one kind.

        :param latency_target: in seconds.
        :param entries: the region's replicas of this kind.
        :param minimum: lower limit of the required number.
        """
        measurement = self._measurement(kind)
        utilizations = [entry.status.use for entry in entries if entry.status and entry.status.state == ReplicaState.READY]
        rates = measurement.rates(now, self._tuning["scale_every"])
        arrival_rate = measurement.projected_rate(now, rates.arrivals * daemons)
        utilization = sum(utilizations) / len(utilizations) if utilizations else 0.0
        service_time = measurement.update_service_time(
            utilization=utilization, ready=len(utilizations), daemons=daemons, completions=rates.completions
        )
        required = RequiredReplicas(0, True)
        if arrival_rate > 0 and service_time:
            required = measurement.required_replicas(
                arrival_rate=arrival_rate,
                service_time=service_time,
                replicas=len(entries),
                latency_target=latency_target,
                room=self._tuning["scale_room"],
            )
        count = max(measurement.hold(now, required.replicas), minimum)
        return ScalerPart(kind, count, count / daemons, round(arrival_rate, 3), round(service_time or 0.0, 6), required.meets_target)


def latency_targets(configuration: Mapping[str, Any]) -> dict[str, float]:
    """Return the strictest latency target, in seconds, among the request classes served by each kind of replicas."""
    targets_ms: dict[str, int] = {}
    for tenant in configuration["tenants"].values():
        for request_class in tenant["classes"].values():
            kind, target_ms = request_class["kind"], request_class["aim_ms"]
            targets_ms[kind] = min(targets_ms.get(kind, target_ms), target_ms)
    return {kind: target_ms / MS_PER_SECOND for kind, target_ms in targets_ms.items()}
