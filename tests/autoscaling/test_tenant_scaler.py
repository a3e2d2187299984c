"""The scaler's rules round the chain (design 9): each fails without its rule."""

from datetime import timedelta

import pytest

from silverglade.autoscaling.load_measurement import LoadMeasurement
from silverglade.autoscaling.tenant_scaler import TenantScaler
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.testbed.sites import hamlet

SEC = timedelta(seconds=1)
TUNING = tuning()


def test_the_rise_of_ten_seconds_is_carried_ten_seconds_ahead():
    measurement, got = LoadMeasurement(TUNING), []
    for i, lam in enumerate([2, 2, 2, 2, 2, 2, 5, 5, 5, 5, 5, 5, 3]):
        got.append(measurement.projected_rate(i * 2 * SEC, float(lam)))
    assert got[:6] == [2.0] * 6
    assert got[6:11] == [8.0] * 5  # 5 now, 2 ten seconds ago
    assert got[11] == 5.0  # the rise is over
    assert got[12] == 3.0  # a fall is not carried


def test_more_is_named_at_once_and_less_only_after_it_was_enough_for_six_seconds():
    measurement = LoadMeasurement(TUNING)
    ms = [(0, 2), (2, 5), (4, 3), (6, 4), (8, 3), (10, 3), (12, 3)]
    assert [measurement.hold(t * SEC, m) for t, m in ms] == [2, 5, 5, 5, 5, 4, 4]
    measurement = LoadMeasurement(TUNING)
    ms = [(0, 5), (2, 3), (4, 3), (6, 5), (8, 3), (10, 3), (12, 3), (14, 3)]
    assert [measurement.hold(t * SEC, m) for t, m in ms] == [5, 5, 5, 5, 5, 5, 5, 3]  # asked for again


def test_service_is_use_times_ready_over_daemons_times_the_served_rate():
    measurement = LoadMeasurement(TUNING)
    assert abs(measurement.update_service_time(utilization=0.6, ready=4, daemons=3, completions=2.0) - 0.4) < 1e-12
    assert measurement.update_service_time(utilization=0.0, ready=4, daemons=3, completions=0.0) == measurement.service_time  # held
    measurement.completions.append((0 * SEC, 0.3))
    assert measurement.update_service_time(utilization=0.4, ready=4, daemons=3, completions=0.0) == 0.3  # mean latency
    measurement.completions.append((0 * SEC, 0.9))
    assert measurement.update_service_time(utilization=0.6, ready=4, daemons=3, completions=0.0) == 0.3  # not while busy


def run(*, came, daemons=2, least=1, secs=18, use=0.5):
    """A scaler part of region m with one ready replica -> its last named parts."""
    configuration = hamlet()["config"]
    configuration["zones"]["middle"]["least"] = least
    scaler = MachineComponent(TenantScaler(region="m", tuning=TUNING))
    members = tuple((f"d{i}", "l", 1, 1, "middle", "m", "", "", False, "ready", (), ()) for i in range(daemons))
    scaler.send((0 * SEC, ("book", {"config": ((1, 1), configuration)}, (1, 1))))
    scaler.send((0 * SEC, ("roll", members)))
    record = ("r", 1, 1, "", "middle", "model", ("middle",), (), 4, False)
    scaler.send((0 * SEC, ("replicas", {"r": (record, ("r", 1, 1, 1, "ready", use, 0.0, 1, 4, 1), 0 * SEC)})))
    last = {}
    for t in range(0, secs * 20):
        now = t * SEC / 20
        if t and t % 20 == 0:
            for _ in range(came):
                scaler.send((now, ("arrived", "model")))
                scaler.send((now, ("served", "model", SEC / 4, SEC / 4)))
        for e in scaler.send((now, ("pulse",))):
            if e[0] == "post" and e[2][1] == "parts":
                last = {p[0]: p for p in e[2][2]}
    return last["model"]


def test_arrivals_over_two_seconds_times_the_daemon_count_feed_the_chain():
    _, m, part, lam, sv, met = run(came=2, daemons=2)
    assert (lam, sv, met) == (4.0, 0.125, True)  # 2 a second here, twice; 0.5*1/(2*2)
    assert part == m / 2


def test_the_regions_least_is_kept_when_nothing_comes():
    assert run(came=0, least=3)[1:3] == (3, 1.5)
    assert run(came=0, least=0)[1] == 0


@pytest.mark.parametrize("town", ["hamlet", "navrang", "borough"])
def test_what_one_daemon_heard_of_replicas_is_known_to_all_in_a_moment(town):
    from silverglade.testbed.simulator.scenario import Scene
    from silverglade.testbed.simulator.tenant_replicas import Replica

    s = Scene(town=town)
    s.settle(5)
    zone = s.t["daemons"][0][1]
    for n in (0, 1, 2):
        r = s.w.replicas[f"new-{n}"] = Replica(world=s.w, rid=f"new-{n}", zone=zone)
        r.boot()  # one daemon is told
        s.w.run(0.4)
        assert all(r.rid in n.replica_records for n in s.w.nodes.values())
