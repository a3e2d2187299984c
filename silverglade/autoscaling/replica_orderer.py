"""Orders replicas while this daemon holds the lease of that duty (design 16.5), the component "replica_orders".

`replica_orders.py` decides how many to order. This module collects the inputs of the decision and makes the calls to the platform.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, ClassVar, NamedTuple

from ..control.replicated_state import evacuated_zones, value_of
from ..duties.duty import Duty
from ..membership.records import REQUIREMENT_ROW, members_of
from ..routing.endpoint_list import LISTED
from ..routing.records import EndpointRecord, is_endpoint_row
from ..runtime.effects import NEVER, ZERO, CallPlatform, Effect, WakeAt, log_record
from ..runtime.events import (
    Event,
    LeaseChanged,
    MembershipChanged,
    PlatformCallEnded,
    SoftStateChanged,
    StoreUpdated,
    TimerFired,
)
from .replica_orders import DecisionInputs, Scaling, ServiceOrders, homes_of_service
from .requirement_rows import RequirementRow, is_requirement_row, scalable_services, split_requirement_key
from .service_scaler import ServiceRequirement

STATUS_OK = 200
STATUS_CLIENT_ERROR = 400
STATUS_FENCED = 409
STATUS_TOO_MANY = 429

INITIAL_BACKOFF = timedelta(seconds=1)
"""Delay before a failed call is retried; doubled after each failure up to `MAX_BACKOFF`."""

MAX_BACKOFF = timedelta(seconds=32)
MAX_BACKOFF_DOUBLINGS = 5
MAX_CONCURRENT_CALLS = 4
"""Limit for concurrent calls, because the platform accepts few calls per second from all daemons together."""

ServiceZone = tuple[str, str]
"""(service, zone): the subject of one order."""


class CallInFlight(NamedTuple):
    """A call that has not ended, and the number of replicas that it orders."""

    call_id: str
    replicas: int


class OrderCalls:
    """State of the platform calls for one service and zone under the present lease.

    :ivar confirmed: the number that the platform accepted last; None if unknown.
    :ivar refused: the number that the platform has refused for good, or None.
    :ivar in_flight: the call that has not ended, or None.
    :ivar failures: consecutive failed calls.
    :ivar not_before: the earliest time of the next call.
    """

    __slots__ = ("confirmed", "failures", "in_flight", "not_before", "refused")

    def __init__(self) -> None:
        self.confirmed: int | None = None
        self.refused: int | None = None
        self.in_flight: CallInFlight | None = None
        self.failures = 0
        self.not_before = ZERO

    def may_call(self, now: timedelta) -> bool:
        """Return whether the platform may be called now."""
        return self.in_flight is None and now >= self.not_before

    def is_settled(self, count: int) -> bool:
        """Return whether the platform has accepted this number, or refused it for good."""
        return self.in_flight is None and count in (self.confirmed, self.refused)

    def record_success(self, count: int) -> None:
        """Record that the platform accepted this number."""
        self.confirmed, self.refused, self.failures = count, None, 0

    def record_refusal(self, count: int) -> None:
        """Record that the platform refused this number for good."""
        self.refused, self.failures = count, 0

    def record_failure(self, now: timedelta) -> None:
        """Record a failed call.

        The platform may have accepted it all the same, so the confirmed number is unknown. The next call carries the newest number after
        an exponential backoff.
        """
        self.confirmed = None
        self.not_before = now + min(MAX_BACKOFF, INITIAL_BACKOFF * 2 ** min(self.failures, MAX_BACKOFF_DOUBLINGS))
        self.failures += 1


class ReplicaOrderer:
    """The state machine that orders replicas.

    :ivar services: the orders of each service with scaling, by service.
    :ivar calls: the state of calls by (service, zone).
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MembershipChanged,
        StoreUpdated,
        SoftStateChanged,
        LeaseChanged,
        PlatformCallEnded,
    )

    def __init__(self, *, tuning: Mapping[str, Any]) -> None:
        self._tuning = tuning
        self.services: dict[str, ServiceOrders] = {}
        self.calls: dict[ServiceZone, OrderCalls] = {}
        self._configuration: Mapping[str, Any] = {}
        self._drained_zones: frozenset[str] = frozenset()
        self._replicas: dict[str, EndpointRecord] = {}
        self._requirements: dict[str, RequirementRow] = {}  # by the row's key
        self._ready_daemons: frozenset[str] = frozenset()
        self._token: int | None = None
        self._usable_until: timedelta | None = None
        self._is_fenced = False
        self._call_count = 0
        self._next_run = ZERO
        self._effects: list[Effect] = []
        self._handlers: dict[type[Event], Callable[[timedelta, Any], None]] = {
            TimerFired: self._on_timer,
            MembershipChanged: self._on_membership_changed,
            StoreUpdated: self._on_store_updated,
            SoftStateChanged: self._on_soft_state_changed,
            LeaseChanged: self._on_lease_changed,
            PlatformCallEnded: self._on_call_ended,
        }

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects in their order."""
        self._handlers[type(event)](now, event)
        effects, self._effects = self._effects, []
        return effects

    # --- inputs of the orders

    def _on_membership_changed(self, now: timedelta, event: MembershipChanged) -> None:
        self._ready_daemons = frozenset(member.name for member in members_of(event.members) if member.is_ready)

    def _on_store_updated(self, now: timedelta, event: StoreUpdated) -> None:
        self._configuration = value_of(event.store, "config") or {}
        self._drained_zones = evacuated_zones(event.store)

    def _on_soft_state_changed(self, now: timedelta, event: SoftStateChanged) -> None:
        if event.kind == LISTED:
            self._update_listed_replicas(event.rows)
        elif event.kind == REQUIREMENT_ROW:
            self._requirements.update(
                {key: RequirementRow.of(value) for key, (_, value) in event.rows.items() if is_requirement_row(value)}
            )

    def _update_listed_replicas(self, rows: Mapping[str, tuple[Any, Any]]) -> None:
        for name, (_, value) in rows.items():
            if value is None:
                self._replicas.pop(name, None)
            elif is_endpoint_row(value):
                self._replicas[name] = EndpointRecord.of(value)

    def _current_requirements(self, service: str) -> dict[str, ServiceRequirement]:
        """Return the requirements by region whose publisher is ready; the rows of other publishers may be outdated."""
        known = {}
        for key, row in self._requirements.items():
            named, region = split_requirement_key(key)
            if named == service and row.publisher in self._ready_daemons:
                known[region] = ServiceRequirement(row.required, row.ready, row.is_short)
        return known

    # --- lease

    def _on_lease_changed(self, now: timedelta, event: LeaseChanged) -> None:
        """Update the lease. Under a new token, no earlier order is known to be still in effect."""
        if event.duty != Duty.SCALE:
            return
        if event.token != self._token:
            self._token = event.token
            self._is_fenced = False
            self.calls.clear()
            for orders in self.services.values():
                orders.release()
        self._usable_until = event.usable_until

    def _is_lease_usable(self, now: timedelta) -> bool:
        if self._token is None or self._usable_until is None or self._is_fenced:
            return False
        return now < self._usable_until

    # --- timer

    def _on_timer(self, now: timedelta, event: TimerFired) -> None:
        if now >= self._next_run:
            self._reconcile_services(now)
            retry_times = [calls.not_before for calls in self.calls.values() if calls.not_before > now]
            self._next_run = min([now + self._tuning["scale_every"], *retry_times])
        self._effects.append(WakeAt(self._next_run if self._configuration else NEVER))

    def _reconcile_services(self, now: timedelta) -> None:
        """Update the listed replicas of all services, and the orders if the lease is usable; call the platform as needed."""
        scalable = scalable_services(self._configuration)
        for service in self.services.keys() - scalable.keys():
            del self.services[service]
        for service, scaling in sorted(scalable.items()):
            orders = self.services.setdefault(service, ServiceOrders())
            orders.update_listed(now, self._listed_counts(service))
            if self._is_lease_usable(now):
                self._update_orders(now, service, orders, Scaling.of(scaling))
        self._send_pending_orders(now)

    def _listed_counts(self, service: str) -> Counter[tuple[str, str]]:
        """Return the number of listed replicas of a service that are not leaving, by (zone, region)."""
        return Counter(
            (record.zone, record.region) for record in self._replicas.values() if record.service == service and not record.is_leaving
        )

    def _update_orders(self, now: timedelta, service: str, orders: ServiceOrders, scaling: Scaling) -> None:
        before = {zone: order.ordered for zone, order in orders.zones.items()}
        requirements = self._current_requirements(service)
        homes = homes_of_service(self._configuration, service)
        hold, step_share = self._tuning["scale_hold"], self._tuning["scale_step"]
        orders.decide(now, DecisionInputs(scaling, requirements, self._drained_zones, homes, hold, step_share))
        for zone, order in sorted(orders.zones.items()):
            if order.ordered != before[zone]:
                requirement = requirements.get(order.region)
                required = requirement.required if requirement else -1
                self._effects.append(
                    log_record("replica-order", service=service, zone=zone, count=order.ordered, before=before[zone], required=required)
                )

    # --- platform calls

    def _send_pending_orders(self, now: timedelta) -> None:
        """Send the orders that the platform has not accepted yet; those that add replicas come first."""
        if self._token is None or not self._is_lease_usable(now):
            return
        pending = [
            (order.ordered <= order.listed, service, zone, order.ordered)
            for service, orders in self.services.items()
            for zone, order in orders.zones.items()
            if order.is_pending
        ]
        for _, service, zone, count in sorted(pending):
            calls = self.calls.setdefault((service, zone), OrderCalls())
            if calls.is_settled(count):
                self.services[service].zones[zone].confirm(now)
            elif calls.may_call(now) and self._calls_in_flight() < MAX_CONCURRENT_CALLS:
                self._call_count += 1
                calls.in_flight = CallInFlight(f"{Duty.SCALE}-{self._token}-{self._call_count}", count)
                body = {"service": service, "zone": zone, "count": count}
                self._effects.append(CallPlatform(calls.in_flight.call_id, Duty.SCALE, self._token, Duty.SCALE, body))

    def _calls_in_flight(self) -> int:
        return sum(calls.in_flight is not None for calls in self.calls.values())

    def _on_call_ended(self, now: timedelta, event: PlatformCallEnded) -> None:
        """Handle the end of a call made under the present lease; others are ignored."""
        for service_zone, calls in self.calls.items():
            if calls.in_flight is not None and calls.in_flight.call_id == event.call_id:
                count = calls.in_flight.replicas
                calls.in_flight = None
                self._on_answer(now, service_zone, calls, count, event.status)
                self._next_run = min(self._next_run, max(now, calls.not_before))  # other orders may be waiting for a free call slot
                return

    def _on_answer(self, now: timedelta, service_zone: ServiceZone, calls: OrderCalls, count: int, status: int | None) -> None:
        service, zone = service_zone
        if status == STATUS_OK:
            calls.record_success(count)
            return
        self._effects.append(log_record("replica-order-failed", service=service, zone=zone, count=count, status=status))
        if status == STATUS_FENCED:
            self._is_fenced = True
        elif status is not None and STATUS_CLIENT_ERROR <= status < 500 and status != STATUS_TOO_MANY:
            calls.record_refusal(count)
        else:
            calls.record_failure(now)
