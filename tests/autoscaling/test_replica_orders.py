"""How many replicas to order (design 16.5): each test fails without its rule.

A platform follows the orders here: what is added is listed after the time of a boot, what is taken away is gone at once.
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
    """A platform that follows orders, and the policy that gives them.

    `changes`: (seconds, zone, from, to) of every order.
    """

    def __init__(self, standing=None, *, scaling=SCALING, homes=()):
        self.orders = ServiceOrders()
        self.scaling, self.homes = scaling, homes
        self.now = 0
        self.held = dict(standing or dict.fromkeys(REGION_OF, 3))  # what the platform keeps
        self.there = {zone: [0] * count for zone, count in self.held.items()}  # zone -> from when each replica is listed
        self.crashed = dict.fromkeys(self.held, 0)
        self.drained = set()
        self.is_down = False
        self.step_share = 0.1
        self.changes = []

    def listed(self):
        return {(zone, REGION_OF[zone]): sum(at <= self.now for at in there) - self.crashed[zone] for zone, there in self.there.items()}

    def take(self, zone, count):
        assert self.scaling.min_replicas <= count <= self.scaling.max_replicas
        there = self.there[zone]
        there.sort()
        del there[count:]
        there += [self.now + self.scaling.boot_time // SECOND] * (count - len(there))
        self.held[zone] = count

    def tick(self, **required):
        """One look: region=(required, is_short) or a number; a region that is left out is not known."""
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
            if order.is_pending and not self.is_down:
                self.take(zone, order.ordered)
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
        """The orders of a region as ups and downs, one sign for each run of the same."""
        signs = [to > before for _, zone, before, to in self.changes if REGION_OF[zone] == region]
        return [sign for i, sign in enumerate(signs) if i == 0 or sign != signs[i - 1]]


def test_what_stands_is_the_order_until_something_differs():
    p = Platform()
    p.run(60, a=5, b=5)  # and one to spare: the six that stand
    assert p.changes == []


def test_more_is_ordered_at_once_with_one_to_spare_evenly_over_the_zones():
    p = Platform()
    p.run(10, a=5, b=5)
    p.tick(a=8, b=5)
    assert p.ordered() == {"a1": 5, "a2": 4, "b1": 3, "b2": 3} and p.total("a") == 8 + SPARE_REPLICAS


def test_what_is_on_its_way_is_not_ordered_again():
    p = Platform()
    p.run(BOOT_S + 10, a=8, b=5)
    assert len(p.changes) == 2


def test_an_order_that_the_platform_has_not_taken_yet_counts_as_on_its_way_however_long_that_takes():
    p = Platform()
    p.is_down = True
    p.run(120, a=6, b=5)
    assert len(p.changes) == 1 and p.held["a1"] == 3  # nor is the other zone raised for it
    p.run(120, a=8, b=5)
    assert p.ordered() == {"a1": 5, "a2": 4, "b1": 3, "b2": 3}
    p.is_down = False
    p.run(60, a=8, b=5)
    assert p.held["a1"] == 5 and len(p.changes) == 3


def test_a_zone_gets_no_more_than_the_most():
    p = Platform()
    assert p.run(60, a=50, b=5) == {"a1": 9, "a2": 9, "b1": 3, "b2": 3}


def test_a_short_region_without_a_number_gets_one_and_one_to_spare():
    p = Platform({"a1": 1, "b1": 3})
    p.tick(a=(0, True), b=2)
    assert p.total("a") == 2


def test_fewer_only_after_a_boot_and_the_hold_one_step_at_a_time():
    p = Platform(dict.fromkeys(REGION_OF, 9))
    p.run(WAIT_S + TICK_S, a=3, b=17)
    assert p.changes == []
    p.tick(a=3, b=17)
    assert p.changes and p.total("a") == 17  # a tenth of 18, at least one
    p.run(WAIT_S + TICK_S, a=3, b=17)
    assert p.total("a") == 17
    p.run(600, a=3, b=17)
    assert p.total("a") == 3 + SPARE_REPLICAS and p.total("b") == 18
    assert p.directions("a") == [False] and {p.ordered()["a1"], p.ordered()["a2"]} == {2}


def test_what_was_wanted_once_meanwhile_is_kept():
    p = Platform()
    for i in range(40):
        p.tick(a=4 if i % 5 == 0 else 1, b=5)
    assert p.total("a") == 4 + SPARE_REPLICAS
    p = Platform({"a1": 20, "a2": 20}, scaling=Scaling(1, 30, BOOT_S * SECOND))
    for i in range(40):
        p.tick(a=37 if i % 5 == 0 else 1)
    assert p.total("a") == 37 + SPARE_REPLICAS and p.directions("a") == [False]  # no whole step, which would be four


def test_no_zone_gets_fewer_than_the_least():
    p = Platform(scaling=Scaling(2, 9, BOOT_S * SECOND))
    assert p.run(900, a=0, b=0) == dict.fromkeys(REGION_OF, 2)
    p = Platform({"a1": 1, "b1": 3}, scaling=Scaling(3, 9, BOOT_S * SECOND))
    p.tick(a=1)
    assert p.ordered() == {"a1": 3, "b1": 3}


def lowers_after(p, **required):
    p.run(20 * WAIT_S, **required)
    return p.total("a") < 6


def test_a_region_gives_nothing_back_while_it_is_short():
    assert lowers_after(Platform(), a=2, b=5)
    assert not lowers_after(Platform(), a=(2, True), b=5)


def test_a_region_gives_nothing_back_while_nothing_is_known_of_it():
    p = Platform()
    p.run(8, a=2, b=5)
    assert not lowers_after(p, b=5)
    p.tick(a=2, b=5)  # and the wait begins anew
    assert p.changes == []


def test_a_region_gives_nothing_back_while_a_zone_of_it_is_drained():
    p = Platform()
    p.drained = {"a1"}
    assert not lowers_after(p, a=1, b=5)
    p.drained = {"b1"}
    assert lowers_after(p, a=1, b=5)


def test_a_region_gives_nothing_back_while_replicas_are_missing():
    p = Platform()
    p.tick(a=5, b=5)
    p.orders.zones["a1"].is_ordered_here = True  # the number is an order, not what happens to be listed
    p.crashed["a1"] = 1
    assert not lowers_after(p, a=2, b=5)
    p.crashed["a1"] = 0
    assert lowers_after(p, a=2, b=5)


def test_a_region_gives_nothing_back_where_no_step_is_set():
    p = Platform()
    p.step_share = 0
    assert not lowers_after(p, a=1, b=5)
    p.run(10, a=8, b=5)
    assert p.total("a") == 9


def test_a_region_gives_nothing_more_back_until_the_platform_has_taken_the_step():
    p = Platform()
    p.tick(a=5, b=5)
    p.is_down = True
    p.run(20 * WAIT_S, a=1, b=5)
    assert len(p.changes) == 1
    p.is_down = False
    p.run(20 * WAIT_S, a=1, b=5)
    assert p.total("a") == 2


def test_a_region_gives_nothing_back_within_a_boot_of_an_increase():
    for raised_at, gives in ((0, True), (WAIT_S, False)):
        p = Platform()
        p.tick(a=2, b=5)
        p.orders.zones["a1"].raised_at = raised_at * SECOND
        p.run(2 * WAIT_S, a=2, b=5)
        assert (p.total("a") < 6) is gives


def test_a_drained_zones_replicas_are_made_up_in_the_regions_other_zones():
    p = Platform()
    p.run(10, a=5, b=5)
    p.drained = {"a1"}
    p.tick(a=5, b=5)
    assert p.ordered() == {"a1": 3, "a2": 6, "b1": 3, "b2": 3}
    p.drained = set()
    p.run(600, a=5, b=5)
    assert p.total("a") == 6 and p.directions("a") == [True, False]


def test_what_a_drained_region_cannot_have_is_made_up_in_the_homes():
    for homes, total in (((), 12), (("a", "b"), 12), (("a",), 6)):
        p = Platform(homes=homes)
        p.run(10, a=5, b=5)
        p.drained = {"a1", "a2"}
        p.run(100, a=5, b=5)
        assert p.total("b") == total and p.total("a") == 6


def test_what_the_homes_have_to_spare_is_not_ordered_again():
    p = Platform({"a1": 3, "a2": 3, "b1": 5, "b2": 5})
    p.drained = {"a1", "a2"}
    p.run(8, a=5, b=5)
    assert p.total("b") == 12
    p.run(300, a=5, b=5)  # nor given back while it stands in for the others
    assert p.total("b") == 12 and len(p.changes) == 2


def test_a_short_crash_changes_nothing_and_a_long_one_is_made_up_in_another_zone():
    p = Platform()
    p.run(10, a=5, b=5)
    p.crashed["a1"] = 2
    p.run(10, a=5, b=5)
    assert p.changes == []
    p.run(30, a=5, b=5)
    assert p.ordered() == {"a1": 3, "a2": 5, "b1": 3, "b2": 3}
    p.crashed["a1"] = 0
    p.run(600, a=5, b=5)
    assert p.total("a") == 6 and p.directions("a") == [True, False]


def test_replicas_that_crash_and_return_again_and_again_change_less_and_less():
    p = Platform()
    for _ in range(30):
        p.run(20, a=5, b=5)
        p.crashed["a1"] = 2
        p.run(20, a=5, b=5)
        p.crashed["a1"] = 0
    assert len(p.changes) <= 4
    p = Platform()
    for _ in range(12):  # with time to give back in between: the wait is doubled each time
        p.run(60, a=5, b=5)
        p.crashed["a1"] = 2
        p.run(20, a=5, b=5)
        p.crashed["a1"] = 0
    assert len(p.directions("a")) <= 10


def test_a_zone_where_a_raise_brought_nothing_is_not_raised_again():
    p = Platform({"a1": 3, "b1": 3})
    p.run(10, a=2, b=2)
    p.crashed["a1"] = 2
    p.run(30, a=2, b=2)
    assert p.ordered()["a1"] == 5
    p.crashed["a1"] = 4  # whatever comes crashes at once
    p.run(300, a=2, b=2)
    assert p.ordered()["a1"] == 5
    p.crashed["a1"] = 0
    p.run(10, a=6, b=2)
    assert p.ordered()["a1"] == 7  # they came after all


def test_what_was_ordered_for_lost_replicas_is_on_its_way_again():
    p = Platform({"a1": 3, "b1": 3})
    p.run(10, a=2, b=2)
    p.crashed["a1"] = 2
    while p.ordered()["a1"] == 3 and p.now < 100:
        p.tick(a=2, b=2)
    p.tick(a=2, b=2)
    assert p.ordered()["a1"] == 5
    p.tick(a=4, b=2)
    assert p.ordered()["a1"] == 5  # five ordered, five wanted
    p.tick(a=5, b=2)
    assert p.ordered()["a1"] == 6


def test_a_new_holder_takes_what_is_listed_and_remembers_what_was_there_before_a_crash():
    p = Platform()
    p.run(10, a=5, b=5)
    p.crashed["a1"] = 3
    p.run(10, a=3, b=5)
    p.orders.release()
    p.tick(a=8, b=5)
    assert p.total("a") == 9 and p.ordered()["a1"] >= 3  # never below what stood
    p = Platform()
    p.tick()
    p.crashed["a1"] = 1
    p.run(ADOPTION_DELAY // SECOND - 10)
    assert p.ordered()["a1"] == 3
    p.run(20)
    assert p.ordered()["a1"] == 2
    p.crashed["a1"] = 3  # none at all: the zone has failed
    p.run(200)
    assert p.ordered()["a1"] == 2


def test_another_holders_orders_are_followed_after_the_lease_is_lost():
    p = Platform()
    p.run(20, a=8, b=5)
    p.orders.release()
    p.take("a1", 7)
    p.run(BOOT_S + 10)
    assert p.ordered()["a1"] == 7


def test_a_step_that_is_taken_back_doubles_the_wait():
    def seconds_until_lower(p):
        since = p.now
        while p.total("a") == 6 and p.now < since + 1000:
            p.tick(a=4, b=5)
        return p.now - since

    p = Platform()
    p.tick(a=5, b=5)
    waits = []
    for _ in range(3):
        waits.append(seconds_until_lower(p))
        p.run(BOOT_S + 20, a=5, b=5)
    assert waits[1] >= waits[0] + WAIT_S - 2 * TICK_S and waits[2] >= waits[1] + 2 * WAIT_S - 2 * TICK_S


def test_the_wait_is_short_again_after_a_step_that_stood():
    p = Platform()
    p.orders.regions.clear()
    p.tick(a=5, b=5)
    p.orders.regions["a"].reversals = 2
    p.run(4 * WAIT_S + 10, a=4, b=5)
    assert p.total("a") == 5
    p.run(REVERSAL_SPAN * 4 * WAIT_S + 10, a=4, b=5)
    p.tick(a=6, b=5)
    assert p.orders.regions["a"].reversals == 0


LEVEL = st.integers(0, 17)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(levels=st.lists(st.tuples(LEVEL, st.integers(1, 30)), min_size=1, max_size=12))
def test_any_demand_is_followed_up_at_once_and_kept_within_bounds(levels):
    p = Platform()
    for level, ticks in levels:
        for _ in range(ticks):
            p.tick(a=level, b=5)
            assert p.total("a") >= min(18, level + SPARE_REPLICAS) and p.total("b") == 6
            assert all(1 <= count <= 9 for count in p.ordered().values())


@settings(max_examples=60, deadline=None, derandomize=True)
@given(rise=st.lists(LEVEL, min_size=1, max_size=30), fall=st.lists(LEVEL, min_size=1, max_size=60), slope=st.integers(1, 4))
def test_a_wave_goes_up_and_down_once(rise, fall, slope):
    """The orders of one wave rise, then fall: each replica is ordered at most once and given back at most once."""
    p = Platform()
    p.run(8, a=5, b=5)
    rise, fall = sorted(rise), sorted(fall, reverse=True)
    top = max(rise[-1], fall[0], 5)
    for level in [5, *(max(5, level) for level in rise), top, *fall]:
        p.run(slope * TICK_S, a=level, b=5)
    p.run(1500, a=fall[-1], b=5)
    assert p.directions("a") in ([], [True], [False], [True, False])
    assert len(p.changes) <= 2 * (top + 1)
    assert p.total("a") == max(fall[-1] + SPARE_REPLICAS, 2)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(noise=st.lists(st.integers(0, 6), min_size=200, max_size=200), middle=st.integers(2, 9))
def test_noise_that_comes_back_within_the_wait_changes_nothing_once_its_top_is_ordered(noise, middle):
    p = Platform()
    for index, offset in enumerate(noise):
        p.tick(a=middle + (6 if index % 6 == 0 else offset), b=5)
    assert p.directions("a") in ([], [True])
    assert len(p.changes) <= 7


def test_homes_of_a_service_are_those_of_its_routes():
    def route(*services, homes=()):
        return {"homes": homes, "shares": [{"service": service, "weight": 1.0} for service in services]}

    routes = [route("s", "t", homes=("a",)), route("s", homes=("b",)), route("u", homes=("a",)), route("u")]
    found = {service: homes_of_service({"routes": routes}, service) for service in "stu"}
    assert found == {"s": {"a", "b"}, "t": {"a"}, "u": frozenset()}
