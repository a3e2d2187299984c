"""Rules of the tenant scaler around the Markov chain (design 9).

Each test fails if the rule that it checks is removed.
"""

from datetime import timedelta

import pytest

from silverglade.autoscaling.load_measurement import LoadMeasurement
from silverglade.autoscaling.tenant_scaler import TenantScaler
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.testbed.sites import hamlet

SECOND = timedelta(seconds=1)
TUNING = tuning()


def test_the_increase_over_ten_seconds_is_projected_ten_seconds_ahead():
    measurement, projected = LoadMeasurement(TUNING), []
    for i, lam in enumerate([2, 2, 2, 2, 2, 2, 5, 5, 5, 5, 5, 5, 3]):
        projected.append(measurement.projected_rate(i * 2 * SECOND, float(lam)))
    assert projected[:6] == [2.0] * 6
    assert projected[6:11] == [8.0] * 5  # 5 now, 2 ten seconds ago
    assert projected[11] == 5.0  # the increase is over
    assert projected[12] == 3.0  # a decrease is not projected


def test_the_held_count_increases_at_once_and_decreases_after_six_seconds():
    measurement = LoadMeasurement(TUNING)
    steps = [(0, 2), (2, 5), (4, 3), (6, 4), (8, 3), (10, 3), (12, 3)]
    assert [measurement.hold(t * SECOND, m) for t, m in steps] == [2, 5, 5, 5, 5, 4, 4]
    measurement = LoadMeasurement(TUNING)
    steps = [(0, 5), (2, 3), (4, 3), (6, 5), (8, 3), (10, 3), (12, 3), (14, 3)]
    assert [measurement.hold(t * SECOND, m) for t, m in steps] == [5, 5, 5, 5, 5, 5, 5, 3]  # 5 was required again meanwhile


def test_the_service_time_follows_from_utilization_or_else_from_latency():
    measurement = LoadMeasurement(TUNING)
    assert abs(measurement.update_service_time(utilization=0.6, ready=4, daemons=3, completions=2.0) - 0.4) < 1e-12
    assert measurement.update_service_time(utilization=0.0, ready=4, daemons=3, completions=0.0) == measurement.service_time  # held
    measurement.completions.append((0 * SECOND, 0.3))
    assert measurement.update_service_time(utilization=0.4, ready=4, daemons=3, completions=0.0) == 0.3  # mean latency
    measurement.completions.append((0 * SECOND, 0.9))
    assert measurement.update_service_time(utilization=0.6, ready=4, daemons=3, completions=0.0) == 0.3  # not while busy


def run(*, arrivals, daemons=2, least=1, secs=18, use=0.5):
    """Run a scaler in region m with one ready replica; return its last published part of the kind "model"."""
    configuration = hamlet()["config"]
    configuration["zones"]["middle"]["least"] = least
    scaler = MachineComponent(TenantScaler(region="m", tuning=TUNING))
    members = tuple((f"d{i}", "l", 1, 1, "middle", "m", "", "", False, "ready", (), ()) for i in range(daemons))
    scaler.send((0 * SECOND, ("book", {"config": ((1, 1), configuration)}, (1, 1))))
    scaler.send((0 * SECOND, ("roll", members)))
    record = ("r", 1, 1, "", "middle", "model", ("middle",), (), 4, False)
    scaler.send((0 * SECOND, ("replicas", {"r": (record, ("r", 1, 1, 1, "ready", use, 0.0, 1, 4, 1), 0 * SECOND)})))
    last = {}
    for t in range(0, secs * 20):
        now = t * SECOND / 20
        if t and t % 20 == 0:
            for _ in range(arrivals):
                scaler.send((now, ("arrived", "model")))
                scaler.send((now, ("served", "model", SECOND / 4, SECOND / 4)))
        for effect in scaler.send((now, ("pulse",))):
            if effect[0] == "post" and effect[2][1] == "parts":
                last = {part[0]: part for part in effect[2][2]}
    return last["model"]


def test_the_arrival_rate_is_that_of_two_seconds_times_the_daemon_count():
    _, m, part, lam, sv, met = run(arrivals=2, daemons=2)
    assert (lam, sv, met) == (4.0, 0.125, True)  # 2 per second here, two daemons; 0.5*1/(2*2)
    assert part == m / 2


def test_the_regional_minimum_applies_without_requests():
    assert run(arrivals=0, least=3)[1:3] == (3, 1.5)
    assert run(arrivals=0, least=0)[1] == 0


@pytest.mark.parametrize("town", ["hamlet", "navrang", "borough"])
def test_replicas_registered_at_one_daemon_are_soon_known_to_all(town):
    from silverglade.testbed.simulator.scenario import Scene
    from silverglade.testbed.simulator.tenant_replicas import Replica

    scene = Scene(town=town)
    scene.settle(5)
    zone = scene.t["daemons"][0][1]
    for n in (0, 1, 2):
        r = scene.w.replicas[f"new-{n}"] = Replica(world=scene.w, rid=f"new-{n}", zone=zone)
        r.boot()  # registers at one daemon
        scene.w.run(0.4)
        assert all(r.rid in n.replica_records for n in scene.w.nodes.values())
