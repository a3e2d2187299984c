"""The scaler for services (design 16.3).

Each test fails if the rule that it checks is removed.
"""

from datetime import timedelta

import pytest

from silverglade.autoscaling import service_scaler as module
from silverglade.autoscaling.service_scaler import ServiceScaler, count_client_facing_daemons, latency_targets
from silverglade.membership.records import members_of
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.testbed.experiments.demand_day import day

SECOND = timedelta(seconds=1)


def member(i, region="m", core=False, state="ready"):
    return (i, "l", 1, 1, "z", region, "", "", core, state, (), ())


def route(target_ms, *services, weight=1.0):
    return dict(name="r", kind="pure", aim_ms=target_ms, shares=[dict(service=s, weight=weight) for s in services])


CONFIGURATION = {"routes": [route(600, "s", "t"), route(200, "t"), route(50, "s", weight=0.0)], "services": {"s": {}, "t": {}}}


class ScalerDriver:
    """Drives one scaler; records what it broadcast and logged."""

    def __init__(self, *, daemons=2, configuration=CONFIGURATION, **options):
        self.scaler = MachineComponent(ServiceScaler(region="m", tuning=tuning(**options)))
        self.requirements, self.logs, self.now = None, [], 0.0
        self.send(("roll", tuple(member(f"d{i}") for i in range(daemons))))
        if configuration:
            self.configure(configuration)

    def configure(self, configuration):
        self.send(("book", {"config": ((1, 1), configuration)}, (1, 1)))

    def send(self, event):
        for effect in self.scaler.send((self.now * SECOND, event)):
            if effect[0] == "cast":
                self.requirements = effect[1][1]
                assert effect[1][0] == "short"
            elif effect[0] == "log":
                self.logs.append(dict(effect[2]))

    def loads(self, *active, capacity=10, ready=True, region="m"):
        self.send(("loads", {f"r{region}{i}": ("s", region, a, capacity, ready) for i, a in enumerate(active)}))

    def run(self, secs, *, arrivals=0, completions=0, duration_s=0.5, retries=0):
        """Run for `secs` seconds; arrivals, completions and retries are per second."""
        for _ in range(int(secs * 20)):
            self.now = round(self.now + 0.05, 2)
            if abs(self.now - round(self.now)) < 0.01:
                for _ in range(arrivals):
                    self.send(("arrived", "s", False))
                for _ in range(retries):
                    self.send(("arrived", "s", True))
                for _ in range(completions):
                    self.send(("served", "s", duration_s))
            self.send(("pulse",))
        return self.requirements and self.requirements.get(("m", "s"))


def test_the_latency_target_is_the_strictest_of_the_routes_to_the_service():
    assert latency_targets(CONFIGURATION) == {"s": 0.6, "t": 0.2}


def test_ready_client_facing_daemons_of_the_region_are_counted():
    members = (member("a"), member("b"), member("c", core=True), member("d", region="n"), member("e", state="leaving"))
    assert count_client_facing_daemons(members_of(members), "m") == 2
    assert count_client_facing_daemons(members_of((member("a", core=True), member("b", core=True))), "m") == 2
    assert count_client_facing_daemons((), "m") == 1


def test_the_requirement_keeps_the_load_per_replica_below_scale_top():
    driver = ScalerDriver(daemons=3)
    driver.loads(5, 5)  # utilization 0.5: 2 replicas, 3 daemons, 2 completions per second
    assert driver.run(30, arrivals=2, completions=2) == (2, 2, False)
    assert (driver.logs[-1]["service_s"], driver.logs[-1]["use"], driver.logs[-1]["arrival_rate"]) == ("0.1667", "0.5", "6")
    driver.loads(9, 9)  # 1/mu of 0.3: 6 * 0.3 / 0.8 = 2.25
    assert driver.run(10, arrivals=2, completions=2) == (3, 2, True)


def test_a_wrong_daemon_count_cancels_out_of_the_offered_load():
    requirements = []
    for n in (1, 3, 9):
        driver = ScalerDriver(daemons=n)
        driver.loads(6, 6, 6)
        requirements.append(driver.run(20, arrivals=2, completions=2))
    assert requirements == [(3, 3, False)] * 3


def test_a_region_without_a_ready_replica_is_short():
    driver = ScalerDriver()
    driver.loads(5, 5, ready=False)
    assert driver.run(4, arrivals=2)[1:] == (0, True)
    driver.loads(5, 5, region="n")
    assert driver.run(4, arrivals=2)[1:] == (0, True)


def test_a_service_without_requests_or_completions_is_not_short():
    driver = ScalerDriver()
    driver.loads(0, 0)
    assert driver.run(4) == (0, 2, False)
    assert driver.run(4, arrivals=3) == (0, 2, False)  # no completions yet, so no requirement is computed


def test_missing_the_target_at_the_dispatcher_limit_marks_the_region_short():
    driver = ScalerDriver(daemons=1, scale_fan=1)
    driver.loads(9)
    assert driver.run(10, arrivals=3, completions=3, duration_s=4.0) == (1, 1, True)  # 1/mu 0.3, W above 0.6 at the limit of 1
    driver = ScalerDriver(daemons=1, scale_fan=1)
    driver.loads(1)
    assert driver.run(10, arrivals=3, completions=3) == (1, 1, False)


def test_retries_are_not_counted_as_arrivals():
    driver = ScalerDriver()
    driver.loads(5, 5)
    calm = driver.run(20, arrivals=2, completions=2)
    driver.run(20, arrivals=2, completions=2, retries=40)
    assert driver.requirements["m", "s"] == calm


def test_retries_counted_as_arrivals_would_change_the_requirement():
    driver = ScalerDriver()
    driver.loads(5, 5)
    calm = driver.run(20, arrivals=2, completions=2)
    assert driver.run(4, arrivals=42, completions=2) != calm


def test_at_low_utilization_latency_is_the_time_of_one_slot():
    for need_latency, required in (("place", 1), ("whole", 7)):
        driver = ScalerDriver(daemons=1, need_latency=need_latency)
        driver.loads(0, 0)
        # 4 per second that take one second each; 4 / 0.65
        assert driver.run(30, arrivals=4, completions=4, duration_s=1.0)[0] == required, need_latency


def test_latency_is_ignored_once_utilization_is_known():
    driver = ScalerDriver(daemons=1)
    driver.loads(8, 8)
    driver.run(10, arrivals=2, completions=2, duration_s=5.0)
    assert driver.logs[-1]["service_s"] == "0.8"


def test_the_requirement_increases_at_once_and_decreases_after_six_seconds():
    driver = ScalerDriver(daemons=1)
    driver.loads(5, 5)
    driver.run(20, arrivals=2, completions=2)
    low = driver.requirements["m", "s"][0]
    driver.run(2.2, arrivals=20, completions=2)
    high = driver.requirements["m", "s"][0]
    assert high > low
    driver.loads(1, 1)
    started = driver.now
    while driver.requirements["m", "s"][0] == high:
        driver.run(0.1)
        assert driver.now - started < 12
    assert 6 <= driver.now - started <= 10.2  # six seconds after it was first sufficient, evaluated every two


def test_the_scaler_logs_only_changes():
    driver = ScalerDriver()
    driver.loads(5, 5)
    driver.run(30, arrivals=2, completions=2)
    n = len(driver.logs)
    driver.run(30, arrivals=2, completions=2)
    assert len(driver.logs) == n and n <= 6


def test_a_service_removed_from_the_configuration_leaves_no_state():
    driver = ScalerDriver()
    driver.loads(5, 5)
    driver.run(10, arrivals=2, completions=2)
    driver.configure({"routes": [route(100, "t")], "services": {"t": {}}})
    driver.run(4)
    assert set(driver.requirements) == {("m", "t")}
    assert set(driver.scaler.machine.measurements) <= {"t"}


@pytest.mark.parametrize("capacity", [6, 64])
def test_shortage_is_detected_on_a_day_of_load_swings_and_not_on_a_calm_day(capacity):
    figures = day(capacity=capacity, secs=300)
    assert figures["missed"] < 0.15 and figures["false"] < 0.3 and figures["crowd_s"] < 6
    figures = day(capacity=capacity, secs=200, peak=2.0, work=0.1)
    assert figures["false"] == 0 and figures["mean"] <= 1


def test_the_simulated_day_detects_a_scaler_without_hold_or_projection(monkeypatch):
    unmodified = day(capacity=16, secs=200)

    plain = module.LoadMeasurement

    class Blind(plain):
        def projected_rate(self, now, rate):
            return rate / 3

    monkeypatch.setattr(module, "LoadMeasurement", Blind)
    assert day(capacity=16, secs=200)["missed"] > 3 * unmodified["missed"]

    class Hasty(plain):
        def hold(self, now, required):
            return required

    monkeypatch.setattr(module, "LoadMeasurement", Hasty)
    assert day(capacity=16, secs=200)["lines"] > 1.3 * unmodified["lines"]


# Guards against incident empty-configuration-not-applied: the requirements of services that are gone stay in force.
@pytest.mark.parametrize("services", [{}, None], ids=["empty", "left out"])
def test_a_configuration_without_services_requires_nothing(services):
    driver = ScalerDriver()
    driver.loads(5, 5)
    assert driver.run(4, arrivals=2, completions=2) is not None
    driver.configure({"routes": [], "services": services})
    driver.run(4, arrivals=2)
    assert driver.requirements == {}
    driver.configure(CONFIGURATION)
    assert driver.run(4, arrivals=2, completions=2) is not None


def test_a_configuration_that_never_had_services_is_passed_over():
    driver = ScalerDriver(configuration={"routes": [], "services": None})
    driver.run(4, arrivals=2)
    assert driver.requirements is None
