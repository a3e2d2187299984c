"""How many replicas of a service to order in each zone (design 16.5): state without I/O.

Orders increase at once, and decrease in small steps after a smaller number was sufficient for long. A missing replica costs far more
than a surplus one, so orders stay as they are while information is missing.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from ..runtime.effects import milliseconds
from .service_scaler import ServiceRequirement

SPARE_REPLICAS = 1
"""Replicas that a region has in addition to its requirement, so that it tolerates the loss of one."""

LISTING_DELAY = timedelta(seconds=4)
"""Longest time between a replica beginning to serve and its being listed."""

ADOPTION_DELAY = timedelta(seconds=60)
"""Where the order is unknown, a lower listed count is adopted as the order after it has lasted this long."""

MAX_DELAY_DOUBLINGS = 4
"""Limit for the number of times that the delay before a decrease is doubled."""

REVERSAL_SPAN = 4
"""An increase counts as the reversal of the last decrease if it follows within this multiple of the decrease delay."""


class Scaling(NamedTuple):
    """Scaling limits of a service.

    :ivar min_replicas: in each zone.
    :ivar max_replicas: in each zone.
    :ivar boot_time: from an order until the replica serves.
    """

    min_replicas: int
    max_replicas: int
    boot_time: timedelta

    @classmethod
    def of(cls, scaling: Mapping[str, Any]) -> Scaling:
        """Return the limits from the `scaling` of a service in the configuration."""
        return cls(scaling["least"], scaling["most"], milliseconds(scaling["boot_ms"]))


class DecisionInputs(NamedTuple):
    """The inputs from which the orders of a service are decided at one time.

    :ivar requirements: by region; regions without a current requirement are left out.
    :ivar drained_zones: zones in which no replicas may be added.
    :ivar homes: the regions where the service may run; empty: all.
    :ivar hold: how long, in addition to the boot time, a smaller number must have been sufficient before a decrease.
    :ivar step_share: share of a region's replicas given back in one step, at least one replica; 0: orders never decrease.
    """

    scaling: Scaling
    requirements: Mapping[str, ServiceRequirement]
    drained_zones: Collection[str]
    homes: Collection[str]
    hold: timedelta
    step_share: float

    def target_replicas(self, region: str) -> int:
        """Return the number of replicas that a region should have, spare ones included."""
        requirement = self.requirements[region]
        return max(requirement.required, int(requirement.is_short)) + SPARE_REPLICAS

    @property
    def listing_timeout(self) -> timedelta:
        """The time after an order within which its replicas should be listed."""
        return self.scaling.boot_time + LISTING_DELAY


class ZoneOrder:
    """The order of one zone and its progress.

    :ivar ordered: the number of replicas ordered; if this daemon has not ordered, derived from the listed count.
    :ivar listed: listed replicas that are not leaving.
    :ivar is_ordered_here: this daemon has ordered under its present lease.
    :ivar is_pending: the platform has not confirmed the order yet.
    :ivar raised_at: when the order was last increased.
    :ivar missing_since: since when fewer replicas are listed than ordered; restarted when an order is confirmed.
    """

    __slots__ = ("_listed_at_raise", "is_ordered_here", "is_pending", "listed", "missing_since", "ordered", "raised_at", "region", "zone")

    def __init__(self, *, zone: str, region: str) -> None:
        self.zone = zone
        self.region = region
        self.ordered = 0
        self.listed = 0
        self.is_ordered_here = False
        self.is_pending = False
        self.raised_at: timedelta | None = None
        self.missing_since: timedelta | None = None
        self._listed_at_raise: int | None = None

    def update_listed(self, now: timedelta, listed: int) -> None:
        """Update the listed count.

        If this daemon has not ordered, the order follows that count: up at once, down after `ADOPTION_DELAY`, but never to 0, which
        means that the zone has failed.
        """
        self.listed = listed
        if not self.is_ordered_here and (listed > self.ordered or listed > 0 and self.is_missing_for(now, ADOPTION_DELAY)):
            self.ordered = listed
        if listed >= self.ordered:
            self.missing_since = None
        elif self.missing_since is None:
            self.missing_since = now

    def is_missing_for(self, now: timedelta, duration: timedelta) -> bool:
        """Return whether replicas have been missing for longer than `duration`."""
        return self.missing_since is not None and now - self.missing_since > duration

    def order(self, now: timedelta, count: int) -> None:
        """Set the order to another number of replicas; the platform has yet to confirm it."""
        if count > self.ordered:
            self.raised_at = now
            self._listed_at_raise = self.listed
        self.ordered = count
        self.is_ordered_here = True
        self.is_pending = True

    def confirm(self, now: timedelta) -> None:
        """Record that the platform has accepted the order: booting starts no later than now."""
        self.is_pending = False
        if self.listed < self.ordered:
            self.missing_since = now

    def release(self) -> None:
        """Forget that this daemon has ordered, as another one may order from now on."""
        self.is_ordered_here = self.is_pending = False
        self.raised_at = self._listed_at_raise = None

    def has_lost_replicas(self, now: timedelta, listing_timeout: timedelta) -> bool:
        """Return whether replicas are missing that cannot be expected to arrive any more."""
        return not self.is_pending and self.is_missing_for(now, listing_timeout)

    def supply(self, now: timedelta, listing_timeout: timedelta) -> int:
        """Return the number of replicas that are listed or expected to arrive."""
        return self.listed if self.has_lost_replicas(now, listing_timeout) else self.ordered

    def can_take_more(self, now: timedelta, inputs: DecisionInputs) -> bool:
        """Return whether increasing the order may help: not in a drained zone, nor where the last increase added no replicas."""
        if self.zone in inputs.drained_zones:
            return False
        was_ineffective = self._listed_at_raise is not None and self.listed <= self._listed_at_raise
        return not (was_ineffective and self.has_lost_replicas(now, inputs.listing_timeout))


class PendingDecrease(NamedTuple):
    """A decrease that is not applied yet: since when it is possible, and the largest target since."""

    since: timedelta
    largest: int


class RegionOrders:
    """Recent changes of a region's orders."""

    __slots__ = ("lowered_at", "pending_decrease", "reversals")

    def __init__(self) -> None:
        self.pending_decrease: PendingDecrease | None = None
        self.lowered_at: timedelta | None = None
        self.reversals = 0

    def decrease_delay(self, inputs: DecisionInputs) -> timedelta:
        """Return how long fewer replicas must be sufficient before a decrease; it grows with decreases that were reversed."""
        delay: timedelta = (inputs.scaling.boot_time + inputs.hold) * 2**self.reversals
        return delay

    def record_raise(self, now: timedelta, inputs: DecisionInputs) -> None:
        """Record an increase of the region's orders, and whether it reverses the last decrease."""
        self.pending_decrease = None
        if self.lowered_at is not None:
            is_reversal = now - self.lowered_at < REVERSAL_SPAN * self.decrease_delay(inputs)
            self.reversals = min(self.reversals + 1, MAX_DELAY_DOUBLINGS) if is_reversal else 0
            self.lowered_at = None

    def observe_lower_target(self, now: timedelta, target_replicas: int, inputs: DecisionInputs) -> int | None:
        """Record that a lower target would be sufficient.

        Returns the largest target since decreases became possible, once the decrease delay is over; None before.
        """
        since, largest = self.pending_decrease or PendingDecrease(now, target_replicas)
        self.pending_decrease = PendingDecrease(since, max(largest, target_replicas))
        return self.pending_decrease.largest if now - since > self.decrease_delay(inputs) else None

    def record_step_down(self, now: timedelta) -> None:
        """Record a decrease of the region's orders."""
        self.pending_decrease = None
        self.lowered_at = now


class ServiceOrders:
    """The orders of one service.

    :ivar zones: by name; zones where replicas of the service have been listed.
    :ivar regions: by name.
    """

    __slots__ = ("regions", "zones")

    def __init__(self) -> None:
        self.zones: dict[str, ZoneOrder] = {}
        self.regions: dict[str, RegionOrders] = {}

    def update_listed(self, now: timedelta, listed: Mapping[tuple[str, str], int]) -> None:
        """Update the number of listed replicas, given by (zone, region)."""
        for zone, region in listed:
            if zone not in self.zones:
                self.zones[zone] = ZoneOrder(zone=zone, region=region)
        for order in self.zones.values():
            order.update_listed(now, listed.get((order.zone, order.region), 0))

    def release(self) -> None:
        """Forget the orders made here, as another daemon may order from now on and they may no longer apply."""
        self.regions.clear()
        for order in self.zones.values():
            order.release()

    def decide(self, now: timedelta, inputs: DecisionInputs) -> None:
        """Update the orders."""
        unplaced = sum(self._raise_region(now, region, inputs) for region in sorted(inputs.requirements))
        if unplaced:
            self._compensate_in_other_regions(now, unplaced, inputs)
        for region in sorted({order.region for order in self.zones.values()}):
            if unplaced or not self._can_lower(now, region, inputs):
                self._region(region).pending_decrease = None
            else:
                self._lower_region(now, region, inputs)

    def _region(self, region: str) -> RegionOrders:
        return self.regions.setdefault(region, RegionOrders())

    def _zones_of(self, region: str) -> list[ZoneOrder]:
        return [order for order in self.zones.values() if order.region == region]

    def _supply(self, now: timedelta, zones: Iterable[ZoneOrder], inputs: DecisionInputs) -> int:
        """Return the number of replicas outside drained zones that are listed or expected to arrive."""
        return sum(order.supply(now, inputs.listing_timeout) for order in zones if order.zone not in inputs.drained_zones)

    # --- increases

    def _raise_region(self, now: timedelta, region: str, inputs: DecisionInputs) -> int:
        """Order the replicas that a region lacks; return how many cannot be placed there because a zone of it is drained."""
        zones = self._zones_of(region)
        lacking = inputs.target_replicas(region) - self._supply(now, zones, inputs)
        if lacking <= 0:
            return 0
        rest = self._raise_zones(now, zones, lacking, inputs)
        return rest if any(order.zone in inputs.drained_zones for order in zones) else 0

    def _compensate_in_other_regions(self, now: timedelta, lacking: int, inputs: DecisionInputs) -> None:
        """Order the replicas that drained zones cannot hold in other home regions, less the surplus of these regions."""
        zones = []
        for region in sorted(inputs.requirements):
            if inputs.homes and region not in inputs.homes:
                continue
            zones += self._zones_of(region)
            lacking -= max(0, self._supply(now, self._zones_of(region), inputs) - inputs.target_replicas(region))
        self._raise_zones(now, zones, lacking, inputs)

    def _raise_zones(self, now: timedelta, zones: Iterable[ZoneOrder], count: int, inputs: DecisionInputs) -> int:
        """Order `count` more replicas in these zones, each in the zone with the fewest; return how many could not be placed.

        Zones that have lost replicas come last.
        """
        zones = list(zones)
        raised = {order.zone: order.ordered for order in zones}
        for rest in range(count, 0, -1):
            free = [order for order in zones if raised[order.zone] < inputs.scaling.max_replicas and order.can_take_more(now, inputs)]
            if not free:
                self._apply_raises(now, zones, raised, inputs)
                return rest
            fewest = min(free, key=lambda order: (order.has_lost_replicas(now, inputs.listing_timeout), raised[order.zone], order.zone))
            raised[fewest.zone] += 1
        self._apply_raises(now, zones, raised, inputs)
        return 0

    def _apply_raises(self, now: timedelta, zones: Iterable[ZoneOrder], raised: Mapping[str, int], inputs: DecisionInputs) -> None:
        for order in zones:
            if raised[order.zone] > order.ordered:
                order.order(now, max(raised[order.zone], inputs.scaling.min_replicas))
                self._region(order.region).record_raise(now, inputs)

    # --- decreases

    def _can_lower(self, now: timedelta, region: str, inputs: DecisionInputs) -> bool:
        """Return whether a decrease is allowed in a region.

        The requirement must be known and not short, no zone drained, all ordered replicas listed, and no order increased within a
        boot time.
        """
        requirement = inputs.requirements.get(region)
        if requirement is None or requirement.is_short or not inputs.step_share:
            return False
        return not any(
            order.zone in inputs.drained_zones
            or order.is_pending
            or order.listed < order.ordered
            or (order.raised_at is not None and now - order.raised_at < inputs.scaling.boot_time)
            for order in self._zones_of(region)
        )

    def _lower_region(self, now: timedelta, region: str, inputs: DecisionInputs) -> None:
        """Decrease the orders by one step, in the zones that have most, if fewer replicas were sufficient for long enough."""
        state, zones, target_replicas = self._region(region), self._zones_of(region), inputs.target_replicas(region)
        ordered = sum(order.ordered for order in zones)
        if ordered <= target_replicas:
            state.pending_decrease = None
            return
        enough = state.observe_lower_target(now, target_replicas, inputs)
        if enough is None:
            return
        step = min(ordered - enough, max(1, int(ordered * inputs.step_share)))
        lowered = {order.zone: order.ordered for order in zones}
        for _ in range(step):
            fullest = max(zones, key=lambda order: (lowered[order.zone], order.zone))
            if lowered[fullest.zone] > inputs.scaling.min_replicas:
                lowered[fullest.zone] -= 1
        for order in zones:
            if lowered[order.zone] < order.ordered:
                order.order(now, lowered[order.zone])
                state.record_step_down(now)


def homes_of_service(configuration: Mapping[str, Any], service: str) -> frozenset[str]:
    """Return the regions where a service may run, by the routes that lead to it; empty: all."""
    routes = [route for route in configuration["routes"] if any(share["service"] == service for share in route["shares"])]
    if any(not route["homes"] for route in routes):
        return frozenset()
    return frozenset(home for route in routes for home in route["homes"])
