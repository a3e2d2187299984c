"""What replicas report bounds what a region is said to require (design 16.5): each test fails without its rule."""

from datetime import timedelta

import pytest

from silverglade.autoscaling.load_bounds import MIN_SATURATION_UTILIZATION, LoadBounds
from silverglade.autoscaling.requirement_rows import publisher_of
from silverglade.autoscaling.service_scaler import ReplicaLoad, ServiceScaler
from silverglade.membership.records import members_of
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent

SECOND = timedelta(seconds=1)


class Region:
    """Ten replicas of ten slots, looked at each 2 s."""

    def __init__(self, *, replicas=10):
        self.bounds = LoadBounds(tuning=tuning())
        self.replicas, self.now = replicas, 0

    def look(self, active, queued=0, times=10):
        """`active`, `queued`: at each replica."""
        for _ in range(times):
            self.now += 2
            self.bounds.add_sample(self.now * SECOND, [ReplicaLoad("s", "m", active, 10, True, queued)] * self.replicas)
        return self

    def bounded(self, required):
        return self.bounds.clamp(self.now * SECOND, required)


@pytest.mark.parametrize("required,bounded", [(0, 7), (7, 7), (8, 8), (9, 8), (500, 8)])
def test_no_less_than_bears_the_load_at_the_top_and_no_more_than_bears_it_at_the_fallback(required, bounded):
    assert Region().look(5).bounded(required) == bounded  # five replicas' work: 5 / 0.8, 5 / 0.65


def test_a_quotient_that_is_whole_but_for_rounding_is_not_rounded_up():
    assert Region(replicas=3).look(8).bounded(0) == 3  # 0.8 * 3 / 0.8 is above 3 in floats


def test_where_nothing_is_ready_the_number_stands():
    assert Region(replicas=0).look(0).bounded(7) == 7
    assert Region().look(0).bounded(7) == 0


def test_full_replicas_may_ask_for_half_as_many_again_and_no_more():
    assert Region().look(10).bounded(500) == 16  # all at work and nothing waits: 10 / 0.65
    r = Region().look(10, queued=1)
    assert r.bounded(500) == 16 and r.bounded(0) == 13
    assert Region().look(1, queued=3).bounded(500) == 15 and Region().look(1).bounded(500) == 2


def test_replicas_that_were_full_with_few_slots_used_are_taken_for_full_there_for_a_while():
    r = Region().look(4, queued=2).look(4, times=5)
    assert r.bounded(0) == 13  # as full as they were: not 4 / 0.8
    saturation_utilization = r.bounds.saturation_utilization
    assert 0.4 < saturation_utilization < 0.43
    r.look(4, times=400)
    assert r.bounds.saturation_utilization == 1.0 and r.bounded(0) == 5


def test_a_queue_at_idle_replicas_says_little():
    assert Region().look(0, queued=5).bounds.saturation_utilization == MIN_SATURATION_UTILIZATION


def test_one_look_with_a_queue_is_not_full():
    r = Region().look(5, times=10).look(5, queued=1, times=1)
    assert r.bounded(500) == 8 and r.bounds.saturation_utilization == 1.0


def test_a_rise_is_carried_ahead():
    r = Region().look(2, times=10)
    assert r.bounded(500) == 4
    r.look(4, times=3)
    assert r.bounded(0) == 8  # four busy and two more to come, at the top load
    r.look(4, times=6)
    assert r.bounded(0) == 5
    assert r.look(2, times=3).bounded(0) == 3  # a fall is not


def test_a_sample_of_requests_does_not_swing_what_is_told():
    """One of twenty daemons meets a burst: its own figure of need says so, what is published does not."""
    members = tuple((name, "l", 1, 1, "z", "m", "", "", False, "ready", (), ()) for name in ("a", *(f"b{i}" for i in range(19))))
    own_name = publisher_of("m", members_of(members))
    scaler = MachineComponent(ServiceScaler(own_name=own_name, region="m", tuning=tuning()))
    scaling = {"least": 1, "most": 9, "boot_ms": 8000}
    routes = [dict(name="r", kind="pure", aim_ms=600, shares=[dict(service="s", weight=1.0)])]
    told, needs = [], []

    def tell(now, event):
        for effect in scaler.send((now * SECOND, event)):
            if effect[0] == "post":
                told.append(effect[2][4])
            elif effect[0] == "cast":
                needs.append(effect[1][1]["m", "s"])

    tell(0, ("roll", members))
    tell(0, ("book", {"config": ((1, 1), {"routes": routes, "services": {"s": {"scaling": scaling}}})}, (1, 1)))
    tell(0, ("loads", {f"r{i}": ("s", "m", 5, 10, True, 0) for i in range(10)}))
    for now in range(60):
        for _ in range(12 if now == 40 else 1):
            tell(now, ("arrived", "s", False))
        tell(now, ("served", "s", 0.5))
        tell(now, ("pulse",))
    assert max(required for required, *_ in needs) > 30
    assert told and all(7 <= required <= 8 and not short for required, _, short, _ in told)
