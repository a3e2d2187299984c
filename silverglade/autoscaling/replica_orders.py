"""How many replicas of a service to order in each zone (design 16.5): state without I/O.

Up at once; down one small step at a time, after a smaller number was enough for long. A replica too few costs far more than one too
many, so whatever is not known leaves the orders as they are.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from ..runtime.effects import milliseconds
from .service_scaler import ServiceRequirement

SPARE_REPLICAS = 1
"""Replicas of a region beyond what it requires: it bears the loss of one."""

LIST_DELAY = timedelta(seconds=4)
"""How much later than it serves a replica may be listed."""

STANDING_MEMORY = timedelta(seconds=60)
"""How long a zone must have had fewer replicas before these count as its order, where the order is not known."""

MOST_DOUBLINGS = 4
"""The time before a step down is doubled at most so often."""

REVERSAL_SPAN = 4
"""A raise within so many times the wait for a step after the last step down took that step back."""


class Scaling(NamedTuple):
    """How a service may be scaled.

    :ivar least: replicas in each zone.
    :ivar most: replicas in each zone.
    :ivar boot_time: from an order until the replica serves.
    """

    least: int
    most: int
    boot_time: timedelta

    @classmethod
    def of(cls, scaling: Mapping[str, Any]) -> Scaling:
        """A record from the `scaling` of a service in the configuration."""
        return cls(scaling["least"], scaling["most"], milliseconds(scaling["boot_ms"]))


class Situation(NamedTuple):
    """What the orders of a service follow from, at one time.

    :ivar requirements: region to what it requires; regions of which nothing is known now are left out.
    :ivar drained_zones: zones where nothing new is started.
    :ivar homes: the regions where the service may run; empty: all.
    :ivar hold: how long a smaller number must have been enough, beside the time of a boot.
    :ivar step_share: share of a region's replicas that is given back in one step, at least one; 0: none ever.
    """

    scaling: Scaling
    requirements: Mapping[str, ServiceRequirement]
    drained_zones: Collection[str]
    homes: Collection[str]
    hold: timedelta
    step_share: float

    def wanted(self, region: str) -> int:
        """How many replicas a region is to have, the spare ones included."""
        requirement = self.requirements[region]
        return max(requirement.required, int(requirement.is_short)) + SPARE_REPLICAS

    @property
    def arrival_time(self) -> timedelta:
        """How long after an order its replicas are listed at the latest."""
        return self.scaling.boot_time + LIST_DELAY


class ZoneOrder:
    """The order of one zone, and what became of it.

    :ivar ordered: the number of replicas ordered; what stands listed while nobody here has ordered.
    :ivar listed: replicas listed that are not leaving.
    :ivar is_own: this daemon has ordered, under the lease that it holds.
    :ivar is_pending: the platform has not confirmed the order yet.
    :ivar raised_at: when the order was last raised.
    :ivar missing_since: since when fewer are listed than ordered, counted anew from a confirmed order.
    """

    __slots__ = ("_listed_at_raise", "is_own", "is_pending", "listed", "missing_since", "ordered", "raised_at", "region", "zone")

    def __init__(self, *, zone: str, region: str) -> None:
        self.zone = zone
        self.region = region
        self.ordered = 0
        self.listed = 0
        self.is_own = False
        self.is_pending = False
        self.raised_at: timedelta | None = None
        self.missing_since: timedelta | None = None
        self._listed_at_raise: int | None = None

    def note_listed(self, now: timedelta, listed: int) -> None:
        """Take how many are listed.

        Where the order is not known it follows that number: up at once, down after `STANDING_MEMORY`, but not to none, which says
        that the zone has failed.
        """
        self.listed = listed
        if not self.is_own and (listed > self.ordered or listed > 0 and self.is_missing_for(now, STANDING_MEMORY)):
            self.ordered = listed
        if listed >= self.ordered:
            self.missing_since = None
        elif self.missing_since is None:
            self.missing_since = now

    def is_missing_for(self, now: timedelta, duration: timedelta) -> bool:
        """Whether replicas have been missing for longer than this."""
        return self.missing_since is not None and now - self.missing_since > duration

    def order(self, now: timedelta, count: int) -> None:
        """Order another number of replicas."""
        if count > self.ordered:
            self.raised_at = now
            self._listed_at_raise = self.listed
        self.ordered = count
        self.is_own = True
        self.is_pending = True

    def confirm(self, now: timedelta) -> None:
        """The platform has taken the order: the boot begins no later than now."""
        self.is_pending = False
        if self.listed < self.ordered:
            self.missing_since = now

    def release(self) -> None:
        """Another daemon may order from here on."""
        self.is_own = self.is_pending = False
        self.raised_at = self._listed_at_raise = None

    def has_lost(self, now: timedelta, arrival_time: timedelta) -> bool:
        """Whether replicas are missing that are not on their way."""
        return not self.is_pending and self.is_missing_for(now, arrival_time)

    def supply(self, now: timedelta, arrival_time: timedelta) -> int:
        """Replicas that are there or on their way."""
        return self.listed if self.has_lost(now, arrival_time) else self.ordered

    def may_take_more(self, now: timedelta, situation: Situation) -> bool:
        """Whether another order may help: not in a drained zone, and not where the last raise brought nothing."""
        if self.zone in situation.drained_zones:
            return False
        brought_nothing = self._listed_at_raise is not None and self.listed <= self._listed_at_raise
        return not (brought_nothing and self.has_lost(now, situation.arrival_time))


class LowerNumber(NamedTuple):
    """Fewer replicas would be enough: since when, and the most that were wanted since."""

    since: timedelta
    largest: int


class RegionOrders:
    """How a region's orders have moved of late."""

    __slots__ = ("lower", "lowered_at", "reversals")

    def __init__(self) -> None:
        self.lower: LowerNumber | None = None
        self.lowered_at: timedelta | None = None
        self.reversals = 0

    def wait(self, situation: Situation) -> timedelta:
        """How long fewer must be enough before a step down; longer after steps that were taken back."""
        wait: timedelta = (situation.scaling.boot_time + situation.hold) * 2**self.reversals
        return wait

    def note_raise(self, now: timedelta, situation: Situation) -> None:
        """The region's orders go up."""
        self.lower = None
        if self.lowered_at is not None:
            is_reversal = now - self.lowered_at < REVERSAL_SPAN * self.wait(situation)
            self.reversals = min(self.reversals + 1, MOST_DOUBLINGS) if is_reversal else 0
            self.lowered_at = None

    def lower_number(self, now: timedelta, wanted: int, situation: Situation) -> int | None:
        """Note that `wanted` would be enough; returns what was enough all through the wait, once it is over."""
        since, largest = self.lower or LowerNumber(now, wanted)
        self.lower = LowerNumber(since, max(largest, wanted))
        return self.lower.largest if now - since > self.wait(situation) else None

    def note_step_down(self, now: timedelta) -> None:
        """The region's orders went down a step."""
        self.lower = None
        self.lowered_at = now


class ServiceOrders:
    """The orders of one service.

    :ivar zones: the zones where replicas of it were listed, by name.
    :ivar regions: by name.
    """

    __slots__ = ("regions", "zones")

    def __init__(self) -> None:
        self.zones: dict[str, ZoneOrder] = {}
        self.regions: dict[str, RegionOrders] = {}

    def note_listed(self, now: timedelta, listed: Mapping[tuple[str, str], int]) -> None:
        """Take how many replicas are listed: (zone, region) to their number."""
        for zone, region in listed:
            if zone not in self.zones:
                self.zones[zone] = ZoneOrder(zone=zone, region=region)
        for order in self.zones.values():
            order.note_listed(now, listed.get((order.zone, order.region), 0))

    def release(self) -> None:
        """Another daemon may order from here on: nothing that was ordered here is known to stand."""
        self.regions.clear()
        for order in self.zones.values():
            order.release()

    def decide(self, now: timedelta, situation: Situation) -> None:
        """Set the orders anew."""
        elsewhere = sum(self._raise_region(now, region, situation) for region in sorted(situation.requirements))
        if elsewhere:
            self._make_up_elsewhere(now, elsewhere, situation)
        for region in sorted({order.region for order in self.zones.values()}):
            if elsewhere or not self._may_lower(now, region, situation):
                self._region(region).lower = None
            else:
                self._lower_region(now, region, situation)

    def _region(self, region: str) -> RegionOrders:
        return self.regions.setdefault(region, RegionOrders())

    def _zones_of(self, region: str) -> list[ZoneOrder]:
        return [order for order in self.zones.values() if order.region == region]

    def _supply(self, now: timedelta, zones: Iterable[ZoneOrder], situation: Situation) -> int:
        """Replicas that may be used, there or on their way."""
        return sum(order.supply(now, situation.arrival_time) for order in zones if order.zone not in situation.drained_zones)

    # up

    def _raise_region(self, now: timedelta, region: str, situation: Situation) -> int:
        """Order what a region lacks; returns what it cannot have since a zone of it is drained."""
        zones = self._zones_of(region)
        lacking = situation.wanted(region) - self._supply(now, zones, situation)
        if lacking <= 0:
            return 0
        rest = self._raise_zones(now, zones, lacking, situation)
        return rest if any(order.zone in situation.drained_zones for order in zones) else 0

    def _make_up_elsewhere(self, now: timedelta, lacking: int, situation: Situation) -> None:
        """Order in the other regions of the homes what drained zones cannot give, less what these have to spare."""
        zones = []
        for region in sorted(situation.requirements):
            if situation.homes and region not in situation.homes:
                continue
            zones += self._zones_of(region)
            lacking -= max(0, self._supply(now, self._zones_of(region), situation) - situation.wanted(region))
        self._raise_zones(now, zones, lacking, situation)

    def _raise_zones(self, now: timedelta, zones: Iterable[ZoneOrder], count: int, situation: Situation) -> int:
        """Order `count` more replicas in these zones, one by one where there are fewest; returns how many found no room.

        Zones that have lost replicas come last.
        """
        zones = list(zones)
        raised = {order.zone: order.ordered for order in zones}
        for rest in range(count, 0, -1):
            free = [order for order in zones if raised[order.zone] < situation.scaling.most and order.may_take_more(now, situation)]
            if not free:
                self._place(now, zones, raised, situation)
                return rest
            fewest = min(free, key=lambda order: (order.has_lost(now, situation.arrival_time), raised[order.zone], order.zone))
            raised[fewest.zone] += 1
        self._place(now, zones, raised, situation)
        return 0

    def _place(self, now: timedelta, zones: Iterable[ZoneOrder], raised: Mapping[str, int], situation: Situation) -> None:
        for order in zones:
            if raised[order.zone] > order.ordered:
                order.order(now, max(raised[order.zone], situation.scaling.least))
                self._region(order.region).note_raise(now, situation)

    # down

    def _may_lower(self, now: timedelta, region: str, situation: Situation) -> bool:
        """Whether the region is calm: known, not short, no zone drained, all there that was ordered, nothing raised within a boot."""
        requirement = situation.requirements.get(region)
        if requirement is None or requirement.is_short or not situation.step_share:
            return False
        return not any(
            order.zone in situation.drained_zones
            or order.is_pending
            or order.listed < order.ordered
            or (order.raised_at is not None and now - order.raised_at < situation.scaling.boot_time)
            for order in self._zones_of(region)
        )

    def _lower_region(self, now: timedelta, region: str, situation: Situation) -> None:
        """Give back a step of what was too many for long, from the zones that have most."""
        state, zones, wanted = self._region(region), self._zones_of(region), situation.wanted(region)
        ordered = sum(order.ordered for order in zones)
        if ordered <= wanted:
            state.lower = None
            return
        enough = state.lower_number(now, wanted, situation)
        if enough is None:
            return
        step = min(ordered - enough, max(1, int(ordered * situation.step_share)))
        lowered = {order.zone: order.ordered for order in zones}
        for _ in range(step):
            most = max(zones, key=lambda order: (lowered[order.zone], order.zone))
            if lowered[most.zone] > situation.scaling.least:
                lowered[most.zone] -= 1
        for order in zones:
            if lowered[order.zone] < order.ordered:
                order.order(now, lowered[order.zone])
                state.note_step_down(now)


def homes_of_service(configuration: Mapping[str, Any], service: str) -> frozenset[str]:
    """The regions where a service may run, by the routes that lead to it; empty: all."""
    routes = [route for route in configuration["routes"] if any(share["service"] == service for share in route["shares"])]
    if any(not route["homes"] for route in routes):
        return frozenset()
    return frozenset(home for route in routes for home in route["homes"])
