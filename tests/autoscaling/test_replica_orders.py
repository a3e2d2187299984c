"""Decisions on how many replicas to order (design 16.5).

Each test fails if the rule that it checks is removed. A simulated platform follows the orders: added replicas are listed
after the boot time, removed ones disappear at once.
"""

from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from silverglade.autoscaling.replica_orders import (
    ADOPTION_DELAY,
    REVERSAL_SPAN,
    SPARE_REPLICAS,
    DecisionInputs,
    Scaling,
    ServiceOrders,
    homes_of_service,
)
from silverglade.autoscaling.service_scaler import ServiceRequirement

SECOND = timedelta(seconds=1)
BOOT_S, HOLD_S, TICK_S = 8, 6, 2
WAIT_S = BOOT_S + HOLD_S
SCALING = Scaling(1, 9, BOOT_S * SECOND)
REGION_OF = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}


class Platform:
    """A platform that follows orders, and the policy that issues them.

    `changes`: (seconds, zone, old count, new count) of every order.
    """

    def __init__(self, initial=None, *, scaling=SCALING, homes=()):
        self.orders = ServiceOrders()
        self.scaling, self.homes = scaling, homes
        self.now = 0
        self.held = dict(initial or dict.fromkeys(REGION_OF, 3))  # the accepted count by zone
        self.listed_times = {zone: [0] * count for zone, count in self.held.items()}  # zone -> when each replica is listed
        self.crashed = dict.fromkeys(self.held, 0)
        self.drained = set()
        self.is_unreachable = False
        self.step_share = 0.1
        self.changes = []

    def listed(self):
        return {
            (zone, REGION_OF[zone]): sum(at <= self.now for at in listed_times) - self.crashed[zone]
            for zone, listed_times in self.listed_times.items()
        }

    def accept(self, zone, count):
        assert self.scaling.min_replicas <= count <= self.scaling.max_replicas
        listed_times = self.listed_times[zone]
        listed_times.sort()
        del listed_times[count:]
        listed_times += [self.now + self.scaling.boot_time // SECOND] * (count - len(listed_times))
        self.held[zone] = count

    def tick(self, **required):
        """Run one decision. Requirements by region are numbers or (required, is_short); a region left out is unknown."""
        now = self.now * SECOND
        self.orders.update_listed(now, {place: count for place, count in self.listed().items() if count > 0})
        before = self.ordered()
        requirements = {
            region: ServiceRequirement(*((value, 0, False) if isinstance(value, int) else (value[0], 0, value[1])))
            for region, value in required.items()
        }
        self.orders.decide(now, DecisionInputs(self.scaling, requirements, self.drained, self.homes, HOLD_S * SECOND, self.step_share))
        for zone, order in self.orders.zones.items():
            if order.ordered != before[zone]:
                self.changes.append((self.now, zone, before[zone], order.ordered))
            if order.is_pending and not self.is_unreachable:
                self.accept(zone, order.ordered)
                order.confirm(now)
        self.now += TICK_S

    def run(self, seconds, **required):
        for _ in range(seconds // TICK_S):
            self.tick(**required)
        return self.ordered()

    def ordered(self):
        return {zone: order.ordered for zone, order in self.orders.zones.items()}

    def total(self, region):
        return sum(count for zone, count in self.ordered().items() if REGION_OF[zone] == region)

    def directions(self, region):
        """Return the changes of a region's orders as increases (True) and decreases (False), runs merged into one entry."""
        signs = [to > before for _, zone, before, to in self.changes if REGION_OF[zone] == region]
        return [sign for i, sign in enumerate(signs) if i == 0 or sign != signs[i - 1]]


def test_orders_equal_the_listed_replicas_until_the_requirement_changes():
    simulation = Platform()
    simulation.run(60, a=5, b=5)  # with one spare: the six replicas listed
    assert simulation.changes == []


def test_an_increase_is_ordered_at_once_with_a_spare_and_spread_over_zones():
    simulation = Platform()
    simulation.run(10, a=5, b=5)
    simulation.tick(a=8, b=5)
    assert simulation.ordered() == {"a1": 5, "a2": 4, "b1": 3, "b2": 3} and simulation.total("a") == 8 + SPARE_REPLICAS


def test_booting_replicas_are_not_ordered_again():
    simulation = Platform()
    simulation.run(BOOT_S + 10, a=8, b=5)
    assert len(simulation.changes) == 2


def test_an_unconfirmed_order_counts_as_supply_without_a_time_limit():
    simulation = Platform()
    simulation.is_unreachable = True
    simulation.run(120, a=6, b=5)
    assert len(simulation.changes) == 1 and simulation.held["a1"] == 3  # and the other zone is not increased instead
    simulation.run(120, a=8, b=5)
    assert simulation.ordered() == {"a1": 5, "a2": 4, "b1": 3, "b2": 3}
    simulation.is_unreachable = False
    simulation.run(60, a=8, b=5)
    assert simulation.held["a1"] == 5 and len(simulation.changes) == 3


def test_no_zone_exceeds_the_maximum():
    simulation = Platform()
    assert simulation.run(60, a=50, b=5) == {"a1": 9, "a2": 9, "b1": 3, "b2": 3}


def test_a_short_region_that_requires_none_gets_one_replica_and_a_spare():
    simulation = Platform({"a1": 1, "b1": 3})
    simulation.tick(a=(0, True), b=2)
    assert simulation.total("a") == 2


def test_orders_decrease_stepwise_after_a_boot_time_and_the_hold():
    simulation = Platform(dict.fromkeys(REGION_OF, 9))
    simulation.run(WAIT_S + TICK_S, a=3, b=17)
    assert simulation.changes == []
    simulation.tick(a=3, b=17)
    assert simulation.changes and simulation.total("a") == 17  # a tenth of 18, at least one
    simulation.run(WAIT_S + TICK_S, a=3, b=17)
    assert simulation.total("a") == 17
    simulation.run(600, a=3, b=17)
    assert simulation.total("a") == 3 + SPARE_REPLICAS and simulation.total("b") == 18
    assert simulation.directions("a") == [False] and {simulation.ordered()["a1"], simulation.ordered()["a2"]} == {2}


def test_the_largest_target_during_the_hold_is_kept():
    simulation = Platform()
    for i in range(40):
        simulation.tick(a=4 if i % 5 == 0 else 1, b=5)
    assert simulation.total("a") == 4 + SPARE_REPLICAS
    simulation = Platform({"a1": 20, "a2": 20}, scaling=Scaling(1, 30, BOOT_S * SECOND))
    for i in range(40):
        simulation.tick(a=37 if i % 5 == 0 else 1)
    assert simulation.total("a") == 37 + SPARE_REPLICAS and simulation.directions("a") == [False]  # not the full step of four


def test_no_zone_falls_below_the_minimum():
    simulation = Platform(scaling=Scaling(2, 9, BOOT_S * SECOND))
    assert simulation.run(900, a=0, b=0) == dict.fromkeys(REGION_OF, 2)
    simulation = Platform({"a1": 1, "b1": 3}, scaling=Scaling(3, 9, BOOT_S * SECOND))
    simulation.tick(a=1)
    assert simulation.ordered() == {"a1": 3, "b1": 3}


def lowers_after(simulation, **required):
    simulation.run(20 * WAIT_S, **required)
    return simulation.total("a") < 6


def test_no_decrease_while_the_region_is_short():
    assert lowers_after(Platform(), a=2, b=5)
    assert not lowers_after(Platform(), a=(2, True), b=5)


def test_no_decrease_while_the_requirement_is_unknown():
    simulation = Platform()
    simulation.run(8, a=2, b=5)
    assert not lowers_after(simulation, b=5)
    simulation.tick(a=2, b=5)  # and the delay starts anew
    assert simulation.changes == []


def test_no_decrease_while_a_zone_of_the_region_is_drained():
    simulation = Platform()
    simulation.drained = {"a1"}
    assert not lowers_after(simulation, a=1, b=5)
    simulation.drained = {"b1"}
    assert lowers_after(simulation, a=1, b=5)


def test_no_decrease_while_replicas_are_missing():
    simulation = Platform()
    simulation.tick(a=5, b=5)
    simulation.orders.zones["a1"].is_ordered_here = True  # the count is an order, not adopted from the listed replicas
    simulation.crashed["a1"] = 1
    assert not lowers_after(simulation, a=2, b=5)
    simulation.crashed["a1"] = 0
    assert lowers_after(simulation, a=2, b=5)


def test_no_decrease_with_a_zero_step_share():
    simulation = Platform()
    simulation.step_share = 0
    assert not lowers_after(simulation, a=1, b=5)
    simulation.run(10, a=8, b=5)
    assert simulation.total("a") == 9


def test_no_further_decrease_until_the_platform_confirms_the_last():
    simulation = Platform()
    simulation.tick(a=5, b=5)
    simulation.is_unreachable = True
    simulation.run(20 * WAIT_S, a=1, b=5)
    assert len(simulation.changes) == 1
    simulation.is_unreachable = False
    simulation.run(20 * WAIT_S, a=1, b=5)
    assert simulation.total("a") == 2


def test_no_decrease_within_a_boot_time_of_an_increase():
    for raised_at, gives in ((0, True), (WAIT_S, False)):
        simulation = Platform()
        simulation.tick(a=2, b=5)
        simulation.orders.zones["a1"].raised_at = raised_at * SECOND
        simulation.run(2 * WAIT_S, a=2, b=5)
        assert (simulation.total("a") < 6) is gives


def test_a_drained_zone_is_compensated_in_other_zones_of_the_region():
    simulation = Platform()
    simulation.run(10, a=5, b=5)
    simulation.drained = {"a1"}
    simulation.tick(a=5, b=5)
    assert simulation.ordered() == {"a1": 3, "a2": 6, "b1": 3, "b2": 3}
    simulation.drained = set()
    simulation.run(600, a=5, b=5)
    assert simulation.total("a") == 6 and simulation.directions("a") == [True, False]


def test_a_drained_region_is_compensated_in_other_home_regions():
    for homes, total in (((), 12), (("a", "b"), 12), (("a",), 6)):
        simulation = Platform(homes=homes)
        simulation.run(10, a=5, b=5)
        simulation.drained = {"a1", "a2"}
        simulation.run(100, a=5, b=5)
        assert simulation.total("b") == total and simulation.total("a") == 6


def test_the_surplus_of_home_regions_reduces_the_compensation():
    simulation = Platform({"a1": 3, "a2": 3, "b1": 5, "b2": 5})
    simulation.drained = {"a1", "a2"}
    simulation.run(8, a=5, b=5)
    assert simulation.total("b") == 12
    simulation.run(300, a=5, b=5)  # and not given back while it compensates for the other region
    assert simulation.total("b") == 12 and len(simulation.changes) == 2


def test_only_a_long_crash_is_compensated_in_another_zone():
    simulation = Platform()
    simulation.run(10, a=5, b=5)
    simulation.crashed["a1"] = 2
    simulation.run(10, a=5, b=5)
    assert simulation.changes == []
    simulation.run(30, a=5, b=5)
    assert simulation.ordered() == {"a1": 3, "a2": 5, "b1": 3, "b2": 3}
    simulation.crashed["a1"] = 0
    simulation.run(600, a=5, b=5)
    assert simulation.total("a") == 6 and simulation.directions("a") == [True, False]


def test_replicas_that_crash_repeatedly_change_orders_less_and_less_often():
    simulation = Platform()
    for _ in range(30):
        simulation.run(20, a=5, b=5)
        simulation.crashed["a1"] = 2
        simulation.run(20, a=5, b=5)
        simulation.crashed["a1"] = 0
    assert len(simulation.changes) <= 4
    simulation = Platform()
    for _ in range(12):  # with time for decreases in between: the delay is doubled each time
        simulation.run(60, a=5, b=5)
        simulation.crashed["a1"] = 2
        simulation.run(20, a=5, b=5)
        simulation.crashed["a1"] = 0
    assert len(simulation.directions("a")) <= 10


def test_a_zone_whose_last_increase_added_no_replicas_is_not_increased_again():
    simulation = Platform({"a1": 3, "b1": 3})
    simulation.run(10, a=2, b=2)
    simulation.crashed["a1"] = 2
    simulation.run(30, a=2, b=2)
    assert simulation.ordered()["a1"] == 5
    simulation.crashed["a1"] = 4  # every new replica crashes at once
    simulation.run(300, a=2, b=2)
    assert simulation.ordered()["a1"] == 5
    simulation.crashed["a1"] = 0
    simulation.run(10, a=6, b=2)
    assert simulation.ordered()["a1"] == 7  # the replicas have returned


def test_orders_for_lost_replicas_count_as_supply_again():
    simulation = Platform({"a1": 3, "b1": 3})
    simulation.run(10, a=2, b=2)
    simulation.crashed["a1"] = 2
    while simulation.ordered()["a1"] == 3 and simulation.now < 100:
        simulation.tick(a=2, b=2)
    simulation.tick(a=2, b=2)
    assert simulation.ordered()["a1"] == 5
    simulation.tick(a=4, b=2)
    assert simulation.ordered()["a1"] == 5  # five ordered, five needed
    simulation.tick(a=5, b=2)
    assert simulation.ordered()["a1"] == 6


def test_a_new_holder_adopts_the_listed_count_and_a_lower_one_only_after_a_delay():
    simulation = Platform()
    simulation.run(10, a=5, b=5)
    simulation.crashed["a1"] = 3
    simulation.run(10, a=3, b=5)
    simulation.orders.release()
    simulation.tick(a=8, b=5)
    assert simulation.total("a") == 9 and simulation.ordered()["a1"] >= 3  # not below the count before the crash
    simulation = Platform()
    simulation.tick()
    simulation.crashed["a1"] = 1
    simulation.run(ADOPTION_DELAY // SECOND - 10)
    assert simulation.ordered()["a1"] == 3
    simulation.run(20)
    assert simulation.ordered()["a1"] == 2
    simulation.crashed["a1"] = 3  # no replica left: the zone has failed
    simulation.run(200)
    assert simulation.ordered()["a1"] == 2


def test_orders_of_another_holder_are_adopted_after_the_lease_is_lost():
    simulation = Platform()
    simulation.run(20, a=8, b=5)
    simulation.orders.release()
    simulation.accept("a1", 7)
    simulation.run(BOOT_S + 10)
    assert simulation.ordered()["a1"] == 7


def test_a_reversed_decrease_doubles_the_delay():
    def seconds_until_lower(simulation):
        since = simulation.now
        while simulation.total("a") == 6 and simulation.now < since + 1000:
            simulation.tick(a=4, b=5)
        return simulation.now - since

    simulation = Platform()
    simulation.tick(a=5, b=5)
    waits = []
    for _ in range(3):
        waits.append(seconds_until_lower(simulation))
        simulation.run(BOOT_S + 20, a=5, b=5)
    assert waits[1] >= waits[0] + WAIT_S - 2 * TICK_S and waits[2] >= waits[1] + 2 * WAIT_S - 2 * TICK_S


def test_the_delay_is_reset_after_a_decrease_that_was_not_reversed():
    simulation = Platform()
    simulation.orders.regions.clear()
    simulation.tick(a=5, b=5)
    simulation.orders.regions["a"].reversals = 2
    simulation.run(4 * WAIT_S + 10, a=4, b=5)
    assert simulation.total("a") == 5
    simulation.run(REVERSAL_SPAN * 4 * WAIT_S + 10, a=4, b=5)
    simulation.tick(a=6, b=5)
    assert simulation.orders.regions["a"].reversals == 0


LEVEL = st.integers(0, 17)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(levels=st.lists(st.tuples(LEVEL, st.integers(1, 30)), min_size=1, max_size=12))
def test_orders_follow_any_increase_at_once_and_stay_within_limits(levels):
    simulation = Platform()
    for level, ticks in levels:
        for _ in range(ticks):
            simulation.tick(a=level, b=5)
            assert simulation.total("a") >= min(18, level + SPARE_REPLICAS) and simulation.total("b") == 6
            assert all(1 <= count <= 9 for count in simulation.ordered().values())


@settings(max_examples=60, deadline=None, derandomize=True)
@given(rise=st.lists(LEVEL, min_size=1, max_size=30), fall=st.lists(LEVEL, min_size=1, max_size=60), slope=st.integers(1, 4))
def test_one_wave_of_demand_changes_direction_once(rise, fall, slope):
    """The orders of one wave increase, then decrease: each replica is ordered and given back at most once."""
    simulation = Platform()
    simulation.run(8, a=5, b=5)
    rise, fall = sorted(rise), sorted(fall, reverse=True)
    top = max(rise[-1], fall[0], 5)
    for level in [5, *(max(5, level) for level in rise), top, *fall]:
        simulation.run(slope * TICK_S, a=level, b=5)
    simulation.run(1500, a=fall[-1], b=5)
    assert simulation.directions("a") in ([], [True], [False], [True, False])
    assert len(simulation.changes) <= 2 * (top + 1)
    assert simulation.total("a") == max(fall[-1] + SPARE_REPLICAS, 2)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(noise=st.lists(st.integers(0, 6), min_size=200, max_size=200), middle=st.integers(2, 9))
def test_noise_within_the_delay_changes_nothing_once_its_peak_is_ordered(noise, middle):
    simulation = Platform()
    for index, offset in enumerate(noise):
        simulation.tick(a=middle + (6 if index % 6 == 0 else offset), b=5)
    assert simulation.directions("a") in ([], [True])
    assert len(simulation.changes) <= 7


def test_homes_of_a_service_are_those_of_its_routes():
    def route(*services, homes=()):
        return {"homes": homes, "shares": [{"service": service, "weight": 1.0} for service in services]}

    routes = [route("s", "t", homes=("a",)), route("s", homes=("b",)), route("u", homes=("a",)), route("u")]
    found = {service: homes_of_service({"routes": routes}, service) for service in "stu"}
    assert found == {"s": {"a", "b"}, "t": {"a"}, "u": frozenset()}
