"""Orders replicas while this daemon holds the lease of that duty (design 16.5), the component "replica_orders".

How many is decided in `replica_orders.py`; here stand what that follows from, and the calls to the platform.
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
from .replica_orders import Scaling, ServiceOrders, Situation, homes_of_service
from .requirement_rows import RequirementRow, is_requirement_row, scalable_services, split_requirement_key
from .service_scaler import ServiceRequirement

STATUS_OK = 200
STATUS_REFUSED = 400
STATUS_FENCED = 409
STATUS_TOO_MANY = 429

FIRST_PAUSE = timedelta(seconds=1)
"""Before a call that failed is made again; doubled each time up to `LONGEST_PAUSE`."""

LONGEST_PAUSE = timedelta(seconds=32)
MOST_DOUBLINGS = 5
MOST_CALLS = 4
"""Calls under way at once: the platform takes few a second from all daemons."""

Subject = tuple[str, str]
"""A service and a zone: what one order is about."""


class CallUnderWay(NamedTuple):
    """A call that has not ended, about so many replicas."""

    call_id: str
    replicas: int


class OrderCalls:
    """The calls about one service and zone under the present lease.

    :ivar confirmed: the number that the platform has taken last; None where it is not known.
    :ivar refused: the number that it will not take; None for none.
    :ivar under_way: the call that has not ended.
    :ivar failures: calls that failed, in a row.
    :ivar not_before: when the next call may be made.
    """

    __slots__ = ("confirmed", "failures", "not_before", "refused", "under_way")

    def __init__(self) -> None:
        self.confirmed: int | None = None
        self.refused: int | None = None
        self.under_way: CallUnderWay | None = None
        self.failures = 0
        self.not_before = ZERO

    def may_call(self, now: timedelta) -> bool:
        """Whether the platform may be called now."""
        return self.under_way is None and now >= self.not_before

    def is_settled(self, count: int) -> bool:
        """Whether the platform has answered for good for this number."""
        return self.under_way is None and count in (self.confirmed, self.refused)

    def succeed(self, count: int) -> None:
        """The platform has taken this number."""
        self.confirmed, self.refused, self.failures = count, None, 0

    def refuse(self, count: int) -> None:
        """The platform will not take this number, ever."""
        self.refused, self.failures = count, 0

    def fail(self, now: timedelta) -> None:
        """The call, which may have been taken, is to be made again with the newest number after a pause that grows."""
        self.confirmed = None
        self.not_before = now + min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** min(self.failures, MOST_DOUBLINGS))
        self.failures += 1


class ReplicaOrderer:
    """The state machine that orders replicas.

    :ivar services: the orders of each service with scaling.
    :ivar calls: by service and zone.
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
        self.calls: dict[Subject, OrderCalls] = {}
        self._configuration: Mapping[str, Any] = {}
        self._drained_zones: frozenset[str] = frozenset()
        self._replicas: dict[str, EndpointRecord] = {}
        self._requirements: dict[str, RequirementRow] = {}  # by the row's key
        self._ready_daemons: frozenset[str] = frozenset()
        self._token: int | None = None
        self._usable_until: timedelta | None = None
        self._is_fenced = False
        self._calls_made = 0
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

    # what the orders follow from

    def _on_membership_changed(self, now: timedelta, event: MembershipChanged) -> None:
        self._ready_daemons = frozenset(member.name for member in members_of(event.members) if member.is_ready)

    def _on_store_updated(self, now: timedelta, event: StoreUpdated) -> None:
        self._configuration = value_of(event.store, "config") or {}
        self._drained_zones = evacuated_zones(event.store)

    def _on_soft_state_changed(self, now: timedelta, event: SoftStateChanged) -> None:
        if event.kind == LISTED:
            self._take_listed(event.rows)
        elif event.kind == REQUIREMENT_ROW:
            self._requirements.update(
                {key: RequirementRow.of(value) for key, (_, value) in event.rows.items() if is_requirement_row(value)}
            )

    def _take_listed(self, rows: Mapping[str, tuple[Any, Any]]) -> None:
        for name, (_, value) in rows.items():
            if value is None:
                self._replicas.pop(name, None)
            elif is_endpoint_row(value):
                self._replicas[name] = EndpointRecord.of(value)

    def _known_requirements(self, service: str) -> dict[str, ServiceRequirement]:
        """Region to what it requires, as far as the daemon that said so is alive; a dead one's word may be old."""
        known = {}
        for key, row in self._requirements.items():
            named, region = split_requirement_key(key)
            if named == service and row.publisher in self._ready_daemons:
                known[region] = ServiceRequirement(row.required, row.ready, row.is_short)
        return known

    # the lease

    def _on_lease_changed(self, now: timedelta, event: LeaseChanged) -> None:
        """Take the lease; under another token nothing that was ordered before is known to stand."""
        if event.duty != Duty.SCALE:
            return
        if event.token != self._token:
            self._token = event.token
            self._is_fenced = False
            self.calls.clear()
            for orders in self.services.values():
                orders.release()
        self._usable_until = event.usable_until

    def _may_act(self, now: timedelta) -> bool:
        if self._token is None or self._usable_until is None or self._is_fenced:
            return False
        return now < self._usable_until

    # time

    def _on_timer(self, now: timedelta, event: TimerFired) -> None:
        if now >= self._next_run:
            self._run(now)
            again_at = [calls.not_before for calls in self.calls.values() if calls.not_before > now]
            self._next_run = min([now + self._tuning["scale_every"], *again_at])
        self._effects.append(WakeAt(self._next_run if self._configuration else NEVER))

    def _run(self, now: timedelta) -> None:
        """Look at all services; order where this daemon may."""
        scalable = scalable_services(self._configuration)
        for service in self.services.keys() - scalable.keys():
            del self.services[service]
        for service, scaling in sorted(scalable.items()):
            orders = self.services.setdefault(service, ServiceOrders())
            orders.note_listed(now, self._listed(service))
            if self._may_act(now):
                self._decide(now, service, orders, Scaling.of(scaling))
        self._call_where_due(now)

    def _listed(self, service: str) -> Counter[tuple[str, str]]:
        """How many replicas of a service are listed and do not leave, by (zone, region)."""
        return Counter(
            (record.zone, record.region) for record in self._replicas.values() if record.service == service and not record.is_leaving
        )

    def _decide(self, now: timedelta, service: str, orders: ServiceOrders, scaling: Scaling) -> None:
        before = {zone: order.ordered for zone, order in orders.zones.items()}
        requirements = self._known_requirements(service)
        homes = homes_of_service(self._configuration, service)
        hold, step_share = self._tuning["scale_hold"], self._tuning["scale_step"]
        orders.decide(now, Situation(scaling, requirements, self._drained_zones, homes, hold, step_share))
        for zone, order in sorted(orders.zones.items()):
            if order.ordered != before[zone]:
                requirement = requirements.get(order.region)
                required = requirement.required if requirement else -1
                self._effects.append(
                    log_record("replica-order", service=service, zone=zone, count=order.ordered, before=before[zone], required=required)
                )

    # calls

    def _call_where_due(self, now: timedelta) -> None:
        """Tell the platform the orders that it has not taken yet, those that add replicas first."""
        if self._token is None or not self._may_act(now):
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
            elif calls.may_call(now) and self._calls_under_way() < MOST_CALLS:
                self._calls_made += 1
                calls.under_way = CallUnderWay(f"{Duty.SCALE}-{self._token}-{self._calls_made}", count)
                body = {"service": service, "zone": zone, "count": count}
                self._effects.append(CallPlatform(calls.under_way.call_id, Duty.SCALE, self._token, Duty.SCALE, body))

    def _calls_under_way(self) -> int:
        return sum(calls.under_way is not None for calls in self.calls.values())

    def _on_call_ended(self, now: timedelta, event: PlatformCallEnded) -> None:
        """Take the answer to a call under the present lease; others say nothing any more."""
        for subject, calls in self.calls.items():
            if calls.under_way is not None and calls.under_way.call_id == event.call_id:
                count = calls.under_way.replicas
                calls.under_way = None
                self._on_answer(now, subject, calls, count, event.status)
                self._next_run = min(self._next_run, max(now, calls.not_before))  # others may wait for their turn
                return

    def _on_answer(self, now: timedelta, subject: Subject, calls: OrderCalls, count: int, status: int | None) -> None:
        service, zone = subject
        if status == STATUS_OK:
            calls.succeed(count)
            return
        self._effects.append(log_record("replica-order-failed", service=service, zone=zone, count=count, status=status))
        if status == STATUS_FENCED:
            self._is_fenced = True
        elif status is not None and STATUS_REFUSED <= status < 500 and status != STATUS_TOO_MANY:
            calls.refuse(count)
        else:
            calls.fail(now)
