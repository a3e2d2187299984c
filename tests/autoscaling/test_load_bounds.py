"""Bounds for a region's published requirement, from the load reports of its replicas (design 16.5).

Each test fails if the rule that it checks is removed.
"""

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
    """Ten replicas with ten slots each, sampled every 2 s."""

    def __init__(self, *, replicas=10):
        self.bounds = LoadBounds(tuning=tuning())
        self.replicas, self.now = replicas, 0

    def add_samples(self, active, queued=0, times=10):
        """Add `times` samples; `active` and `queued` are per replica."""
        for _ in range(times):
            self.now += 2
            self.bounds.add_sample(self.now * SECOND, [ReplicaLoad("s", "m", active, 10, True, queued)] * self.replicas)
        return self

    def bounded(self, required):
        return self.bounds.clamp(self.now * SECOND, required)


@pytest.mark.parametrize("required,bounded", [(0, 7), (7, 7), (8, 8), (9, 8), (500, 8)])
def test_the_requirement_is_limited_by_the_load_at_scale_top_and_scale_fall(required, bounded):
    assert Region().add_samples(5).bounded(required) == bounded  # five busy replicas: 5 / 0.8, 5 / 0.65


def test_floating_point_errors_are_not_rounded_up():
    assert Region(replicas=3).add_samples(8).bounded(0) == 3  # 0.8 * 3 / 0.8 is above 3 in floats


def test_without_ready_replicas_the_requirement_is_unchanged():
    assert Region(replicas=0).add_samples(0).bounded(7) == 7
    assert Region().add_samples(0).bounded(7) == 0


def test_a_saturated_region_requires_at_most_one_and_a_half_times_its_replicas():
    assert Region().add_samples(10).bounded(500) == 16  # all busy and no queue: 10 / 0.65
    region = Region().add_samples(10, queued=1)
    assert region.bounded(500) == 16 and region.bounded(0) == 13
    assert Region().add_samples(1, queued=3).bounded(500) == 15 and Region().add_samples(1).bounded(500) == 2


def test_saturation_at_low_utilization_is_remembered_for_a_while():
    region = Region().add_samples(4, queued=2).add_samples(4, times=5)
    assert region.bounded(0) == 13  # still taken for saturated, not 4 / 0.8
    saturation_utilization = region.bounds.saturation_utilization
    assert 0.4 < saturation_utilization < 0.43
    region.add_samples(4, times=400)
    assert region.bounds.saturation_utilization == 1.0 and region.bounded(0) == 5


def test_a_queue_at_idle_replicas_lowers_the_saturation_utilization_to_its_minimum():
    assert Region().add_samples(0, queued=5).bounds.saturation_utilization == MIN_SATURATION_UTILIZATION


def test_one_sample_with_a_queue_is_not_saturation():
    region = Region().add_samples(5, times=10).add_samples(5, queued=1, times=1)
    assert region.bounded(500) == 8 and region.bounds.saturation_utilization == 1.0


def test_an_increase_is_projected_ahead_and_a_decrease_is_not():
    region = Region().add_samples(2, times=10)
    assert region.bounded(500) == 4
    region.add_samples(4, times=3)
    assert region.bounded(0) == 8  # four busy and two more projected, at scale_top
    region.add_samples(4, times=6)
    assert region.bounded(0) == 5
    assert region.add_samples(2, times=3).bounded(0) == 3  # a decrease is not projected


def test_a_burst_at_one_daemon_does_not_change_the_published_requirement():
    """A burst of requests at one of twenty daemons changes its own requirement, but not the published one."""
    members = tuple((name, "l", 1, 1, "z", "m", "", "", False, "ready", (), ()) for name in ("a", *(f"b{i}" for i in range(19))))
    own_name = publisher_of("m", members_of(members))
    scaler = MachineComponent(ServiceScaler(own_name=own_name, region="m", tuning=tuning()))
    scaling = {"least": 1, "most": 9, "boot_ms": 8000}
    routes = [dict(name="r", kind="pure", aim_ms=600, shares=[dict(service="s", weight=1.0)])]
    published, computed = [], []

    def send(now, event):
        for effect in scaler.send((now * SECOND, event)):
            if effect[0] == "post":
                published.append(effect[2][4])
            elif effect[0] == "cast":
                computed.append(effect[1][1]["m", "s"])

    send(0, ("roll", members))
    send(0, ("book", {"config": ((1, 1), {"routes": routes, "services": {"s": {"scaling": scaling}}})}, (1, 1)))
    send(0, ("loads", {f"r{i}": ("s", "m", 5, 10, True, 0) for i in range(10)}))
    for now in range(60):
        for _ in range(12 if now == 40 else 1):
            send(now, ("arrived", "s", False))
        send(now, ("served", "s", 0.5))
        send(now, ("pulse",))
    assert max(required for required, *_ in computed) > 30
    assert published and all(7 <= required <= 8 and not short for required, _, short, _ in published)
