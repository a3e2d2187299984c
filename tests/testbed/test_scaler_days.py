"""The scaler over a simulated day with a platform that follows its orders (design 9.7)."""

from silverglade.runtime.settings import tuning
from silverglade.testbed.experiments.scaler_days import day
from silverglade.testbed.simulator.scenario import Scene


def test_over_a_day_the_aim_is_met_with_replicas_ordered_up_and_given_back():
    d = day(secs=120)
    assert d["faults"] == [] and d["under_least"] == 0
    assert d["served"] > 0.98 * d["orders"] and d["in_aim"] > 0.95 * d["orders"]
    assert d["up"] > 3 and d["down"] > 3 and d["most"] > 3
    assert all(rows[-1][1] == 1 for rows in d["wanted"].values())  # in the end, the least


def test_a_repeated_key_feeds_no_lambda_wherever_it_is_asked_and_whatever_its_header_says():
    s = Scene(town="hamlet", opt=tuning(scale_every=500))  # nothing is trimmed meanwhile
    s.settle()
    for i in range(20):
        s.order(tenant="pair", cls="lookup", key=f"f{i}", at="edge-middle-0", retry=False)
        s.w.run(0.3)

    def came():
        g = [n.scaler_gauges.get("model") for n in s.w.nodes.values()]
        return sum(len(x.arrivals) for x in g if x)

    again, n = [], came()
    assert n == 20
    for at in ("edge-middle-0", "edge-south-0", "edge-north-0"):
        for k in range(2):
            again.append(s.order(tenant="pair", cls="lookup", key="f0", at=at, attempt=0, retry=False))
            s.w.run(0.06)
            assert came() == n
    s.w.run(3)
    told = [s.o.orders[o]["told"] for o in again]
    assert ("ok",) in told and {t[1] for t in told if t != ("ok",)} == {305}
