"""The scaler for replicas that nobody orders (design 16.3): each test fails without its rule."""

from datetime import timedelta

import pytest

from silverglade.autoscaling import service_scaler as module
from silverglade.autoscaling.service_scaler import ServiceScaler, count_client_facing_daemons, latency_targets
from silverglade.membership.records import members_of
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.testbed.experiments.demand_day import day

SEC = timedelta(seconds=1)


def rec(i, region="m", core=False, state="ready"):
    return (i, "l", 1, 1, "z", region, "", "", core, state, (), ())


def route(aim, *services, weight=1.0):
    return dict(name="r", kind="pure", aim_ms=aim, shares=[dict(service=s, weight=weight) for s in services])


CFG = {"routes": [route(600, "s", "t"), route(200, "t"), route(50, "s", weight=0.0)], "services": {"s": {}, "t": {}}}


class Daemon:
    """One part, driven; what it cast and logged."""

    def __init__(self, *, daemons=2, cfg=CFG, **opts):
        self.p = MachineComponent(ServiceScaler(region="m", tuning=tuning(**opts)))
        self.short, self.logs, self.now = None, [], 0.0
        self.tell(("roll", tuple(rec(f"d{i}") for i in range(daemons))))
        if cfg:
            self.configure(cfg)

    def configure(self, cfg):
        self.tell(("book", {"config": ((1, 1), cfg)}, (1, 1)))

    def tell(self, ev):
        for e in self.p.send((self.now * SEC, ev)):
            if e[0] == "cast":
                self.short = e[1][1]
                assert e[1][0] == "short"
            elif e[0] == "log":
                self.logs.append(dict(e[2]))

    def loads(self, *active, capacity=10, ready=True, region="m"):
        self.tell(("loads", {f"r{region}{i}": ("s", region, a, capacity, ready) for i, a in enumerate(active)}))

    def run(self, secs, *, came=0, served=0, took=0.5, repeats=0):
        """came, served, repeats: in each second."""
        for _ in range(int(secs * 20)):
            self.now = round(self.now + 0.05, 2)
            if abs(self.now - round(self.now)) < 0.01:
                for _ in range(came):
                    self.tell(("arrived", "s", False))
                for _ in range(repeats):
                    self.tell(("arrived", "s", True))
                for _ in range(served):
                    self.tell(("served", "s", took))
            self.tell(("pulse",))
        return self.short and self.short.get(("m", "s"))


def test_the_aim_is_the_tightest_goal_of_the_routes_that_lead_to_the_service():
    assert latency_targets(CFG) == {"s": 0.6, "t": 0.2}


def test_the_daemons_are_the_regions_ready_ones_that_clients_call():
    roll = (rec("a"), rec("b"), rec("c", core=True), rec("d", region="n"), rec("e", state="leaving"))
    assert count_client_facing_daemons(members_of(roll), "m") == 2
    assert count_client_facing_daemons(members_of((rec("a", core=True), rec("b", core=True))), "m") == 2
    assert count_client_facing_daemons((), "m") == 1


def test_arrivals_times_daemons_over_the_rate_of_a_replica_at_most_at_the_top_load():
    d = Daemon(daemons=3)
    d.loads(5, 5)  # half used: 2 replicas, 3 daemons, 2 ends a second
    assert d.run(30, came=2, served=2) == (2, 2, False)
    assert (d.logs[-1]["service_s"], d.logs[-1]["use"], d.logs[-1]["arrival_rate"]) == ("0.1667", "0.5", "6")
    d.loads(9, 9)  # 1/mu of 0.3: 6 * 0.3 / 0.8 = 2.25
    assert d.run(10, came=2, served=2) == (3, 2, True)


def test_a_wrong_count_of_daemons_cancels_out_of_the_offered_load():
    got = []
    for n in (1, 3, 9):
        d = Daemon(daemons=n)
        d.loads(6, 6, 6)
        got.append(d.run(20, came=2, served=2))
    assert got == [(3, 3, False)] * 3


def test_a_region_without_a_ready_replica_is_short_of_them():
    d = Daemon()
    d.loads(5, 5, ready=False)
    assert d.run(4, came=2)[1:] == (0, True)
    d.loads(5, 5, region="n")
    assert d.run(4, came=2)[1:] == (0, True)


def test_a_service_of_which_nothing_is_known_or_asked_is_not_short():
    d = Daemon()
    d.loads(0, 0)
    assert d.run(4) == (0, 2, False)
    assert d.run(4, came=3) == (0, 2, False)  # nothing was served yet: no m is worked out


def test_the_dispatchers_cap_that_misses_the_aim_marks_the_region_short():
    d = Daemon(daemons=1, scale_fan=1)
    d.loads(9)
    assert d.run(10, came=3, served=3, took=4.0) == (1, 1, True)  # 1/mu 0.3, W above 0.6 at the cap of 1
    d = Daemon(daemons=1, scale_fan=1)
    d.loads(1)
    assert d.run(10, came=3, served=3) == (1, 1, False)


def test_repeats_are_counted_apart():
    d = Daemon()
    d.loads(5, 5)
    calm = d.run(20, came=2, served=2)
    d.run(20, came=2, served=2, repeats=40)
    assert d.short["m", "s"] == calm


def test_repeats_taken_for_arrivals_would_be_found():
    d = Daemon()
    d.loads(5, 5)
    calm = d.run(20, came=2, served=2)
    assert d.run(4, came=42, served=2) != calm


def test_while_use_is_low_latency_stands_for_one_place_of_a_replica():
    for how, m in (("place", 1), ("whole", 7)):
        d = Daemon(daemons=1, need_latency=how)
        d.loads(0, 0)
        assert d.run(30, came=4, served=4, took=1.0)[0] == m, how  # 4 a second for a second each; 4 / 0.65


def test_latency_is_not_taken_once_use_is_known():
    d = Daemon(daemons=1)
    d.loads(8, 8)
    d.run(10, came=2, served=2, took=5.0)
    assert d.logs[-1]["service_s"] == "0.8"


def test_more_is_said_at_once_and_less_only_after_six_seconds():
    d = Daemon(daemons=1)
    d.loads(5, 5)
    d.run(20, came=2, served=2)
    low = d.short["m", "s"][0]
    d.run(2.2, came=20, served=2)
    high = d.short["m", "s"][0]
    assert high > low
    d.loads(1, 1)
    t0 = d.now
    while d.short["m", "s"][0] == high:
        d.run(0.1)
        assert d.now - t0 < 12
    assert 6 <= d.now - t0 <= 10.2  # six seconds after it was first enough, looked at every two


def test_it_speaks_only_when_something_changed():
    d = Daemon()
    d.loads(5, 5)
    d.run(30, came=2, served=2)
    n = len(d.logs)
    d.run(30, came=2, served=2)
    assert len(d.logs) == n and n <= 6


def test_a_service_that_left_the_configuration_leaves_nothing():
    d = Daemon()
    d.loads(5, 5)
    d.run(10, came=2, served=2)
    d.configure({"routes": [route(100, "t")], "services": {"t": {}}})
    d.run(4)
    assert set(d.short) == {("m", "t")}
    assert set(d.p.machine.measurements) <= {"t"}


def test_the_configuration_may_come_as_the_book_brings_it():
    d = Daemon(cfg=None)
    d.tell(("book", {"config": ((1, 1), CFG)}, (1, 1)))
    d.loads(0)
    d.run(4)
    assert set(d.short) == {("m", "s"), ("m", "t")}
    d.tell(("book", {"config": ((1, 2), {"services": {}, "routes": []})}, (1, 2)))
    d.run(4)
    assert set(d.short) == {("m", "s"), ("m", "t")}


@pytest.mark.parametrize("capacity", [6, 64])
def test_over_a_day_of_swings_what_the_region_cannot_take_is_said_and_a_calm_day_is_not_short(capacity):
    d = day(capacity=capacity, secs=300)
    assert d["missed"] < 0.15 and d["false"] < 0.3 and d["crowd_s"] < 6
    d = day(capacity=capacity, secs=200, peak=2.0, work=0.1)
    assert d["false"] == 0 and d["mean"] <= 1


def test_a_day_finds_a_scaler_that_holds_nothing_back_or_sees_no_crowd(monkeypatch):
    well = day(capacity=16, secs=200)

    plain = module.LoadMeasurement

    class Blind(plain):
        def projected_rate(self, now, rate):
            return rate / 3

    monkeypatch.setattr(module, "LoadMeasurement", Blind)
    assert day(capacity=16, secs=200)["missed"] > 3 * well["missed"]

    class Hasty(plain):
        def hold(self, now, required):
            return required

    monkeypatch.setattr(module, "LoadMeasurement", Hasty)
    assert day(capacity=16, secs=200)["lines"] > 1.3 * well["lines"]
