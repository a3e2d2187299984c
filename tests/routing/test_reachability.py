"""Unreachable regions are avoided as a whole (design 15.5)."""

from datetime import timedelta
from typing import NamedTuple

import pytest

from silverglade.routing.reachability import FAILURES_UNTIL_UNREACHABLE, FIRST_TEST_INTERVAL, MAX_TEST_INTERVAL, RegionReachability
from silverglade.testbed.fake_servers.request_format import SEC
from silverglade.testbed.simulator.forwarding_scenario import Scene

from ..support.router_bench import RouterBench, endpoint, only_effect, route

CONNECT_TIMEOUT = timedelta(milliseconds=400)


def fail_connection(r, now, replica):
    r.on_connect_failure(now, "b", replica, since=now - CONNECT_TIMEOUT)


def test_a_region_stays_reachable_if_another_replica_answered_meanwhile():
    r = RegionReachability()
    for i in range(9):
        r.on_answer((10 + i) * SEC - CONNECT_TIMEOUT / 2, "b")
        fail_connection(r, (10 + i) * SEC, str(i))
    assert not r.is_unreachable("b")
    fail_connection(r, 30 * SEC, "1")
    fail_connection(r, 30 * SEC, "2")
    assert r.is_unreachable("b")


class Replica(NamedTuple):
    id: str
    region: str = "b"


REPLICAS = [Replica(str(i)) for i in range(1, 6)] + [Replica("9", "c")]


def test_a_region_becomes_unreachable_after_a_few_replicas_and_is_tested_periodically():
    r, now = RegionReachability(), 10 * SEC
    fail_connection(r, now, "1")
    fail_connection(r, now, "1")
    assert not r.is_unreachable("b") and r.due_tests(now, REPLICAS) == [] and r.next_test(None) is None
    fail_connection(r, now, "2")
    assert r.is_unreachable("b") and not r.is_unreachable("c")
    tested, pauses = [], []
    for _ in range(9):
        at = now
        now = r.next_test(None)
        assert r.due_tests(now - CONNECT_TIMEOUT / 99, REPLICAS) == [] or now == at
        chosen = r.due_tests(now, REPLICAS) if now > at or not pauses else []
        pauses.append(now - at)
        tested.append([x.id for x in chosen])
        for x in chosen:
            fail_connection(r, now + CONNECT_TIMEOUT, x.id)
    assert tested[:2] == [["3", "4"], ["5"]]  # replicas not tried yet come first
    assert all(len(x) == 1 for x in tested[1:]) and {x for row in tested[2:] for x in row} == {"1", "2", "3", "4", "5"}
    assert pauses[:2] == [0 * SEC, FIRST_TEST_INTERVAL] and set(pauses[2:]) == {MAX_TEST_INTERVAL}
    r.on_answer(now, "b")
    assert not r.is_unreachable("b") and r.next_test(None) is None


def test_a_new_replica_of_an_unreachable_region_is_tested_at_once():
    r, now = RegionReachability(), 10 * SEC
    fail_connection(r, now, "1")
    fail_connection(r, now, "2")
    r.due_tests(now, REPLICAS)
    assert r.due_tests(now, REPLICAS) == []
    r.on_replica_listed(now, "c")
    assert r.due_tests(now, REPLICAS) == []
    r.on_replica_listed(now, "b")
    assert r.due_tests(now, [*REPLICAS[:4], Replica("new")])[0].id in ("3", "4", "new")


def test_failures_far_apart_or_of_one_replica_do_not_make_a_region_unreachable():
    r = RegionReachability()
    for i in range(5):
        fail_connection(r, 10 * i * SEC, str(i))
        fail_connection(r, 10 * i * SEC + CONNECT_TIMEOUT, str(i))
        assert not r.is_unreachable("b")


def test_later_failures_of_open_connections_do_not_delay_the_first_test():
    r = RegionReachability()
    for i in range(9):
        fail_connection(r, 10 * SEC + i * CONNECT_TIMEOUT / 10, str(i))
    assert r.next_test(None) <= 10 * SEC + CONNECT_TIMEOUT


def requests(effects):
    return [e for e in effects if e[0] != "reach"]


def bare_connections(effects):
    """Return the replicas to which a bare connection is tested."""
    return [e[1] for e in effects if e[0] == "reach"]


def timeouts(b, rid, es):
    """Return the replicas that a request tries while all connections time out, and the final effects."""
    tried, n = [], 1
    while es[0][0] == "try":
        tried.append(es[0][3]["replica"])
        b.advance(CONNECT_TIMEOUT / SEC)
        es, n = b.report(rid, n, "unsent", "connect-timeout"), n + 1
    return tried, es


def test_a_request_tries_few_replicas_of_a_partitioned_region_and_later_ones_are_refused_at_once():
    reps = tuple(endpoint(str(i), "b1") for i in range(1, 9))
    b = RouterBench(route(homes=["b"]), replicas=reps)
    tried, end = timeouts(b, *b.request())
    assert len(tried) == FAILURES_UNTIL_UNREACHABLE and len(bare_connections(end)) == FAILURES_UNTIL_UNREACHABLE
    assert not set(bare_connections(end)) & set(tried)
    assert only_effect(requests(end), "answer")[2] == 503
    for _ in range(20):
        _, _, status, wait, _ = only_effect(b.request()[1], "answer")
        assert status == 503 and wait > 0
    seen = set(bare_connections(end))
    for _ in range(12):  # the region is tested with bare connections, not with requests
        es = b.advance(1)
        assert requests(es) == [] and 1 <= len(bare_connections(es)) <= FAILURES_UNTIL_UNREACHABLE
        seen |= set(bare_connections(es))
        for i in bare_connections(es):
            b.feed("reached", i, False)
        assert only_effect(b.request()[1], "answer")[2] == 503
    assert seen == {r[0] for r in reps}
    b.feed("reached", "5", True)
    assert all(b.request()[1][0][0] == "try" for _ in range(5))


def test_a_reachable_replica_of_an_unreachable_region_is_found():
    """Connections to two of three replicas time out: the third is tested at once and makes the region reachable again."""
    b = RouterBench(route(homes=["b"]), replicas=tuple(endpoint(str(i), "b1") for i in range(1, 4)))
    tried, end = timeouts(b, *b.request())
    (third,) = bare_connections(end)
    assert third not in tried
    b.feed("reached", third, True)
    rid, es = b.request()
    assert only_effect(es, "try")[3]["replica"] not in tried
    b.report(rid, 1, "began", 200)
    assert all(only_effect(b.request()[1], "try")[3]["replica"] not in tried for _ in range(5))


def test_reaching_the_own_connection_limit_is_no_failure_of_the_replica():
    b = RouterBench(route(kind="effectful"), replicas=(endpoint("1"),))
    rid, _ = b.request()
    b.report(rid, 1, "unsent", "pool-full")
    assert all(b.request()[1][0][0] == "try" for _ in range(3))
    b = RouterBench(route(kind="effectful"), replicas=(endpoint("1"), endpoint("2", "b1")))
    rid, es = b.request()
    near = only_effect(es, "try")[3]["replica"]
    b.report(rid, 1, "unsent", "pool-full")
    assert only_effect(b.request()[1], "try")[3]["replica"] == near


def test_after_a_connect_timeout_other_regions_come_first_and_a_refused_connection_does_not_count():
    reps = (*(endpoint(str(i), "b1") for i in range(1, 4)), endpoint("7", "c1"))
    b = RouterBench(route(homes=["b", "c"]), replicas=reps, region="b")
    rid, es = b.request()
    assert only_effect(es, "try")[3]["replica"] in "123"
    b.advance(0.4)
    assert only_effect(b.report(rid, 1, "unsent", "connect-timeout"), "try")[3]["replica"] == "7"  # not another replica of the same region
    b = RouterBench(route(homes=["b"]), replicas=reps)
    rid, es = b.request()
    for n in (1, 2):
        es = b.report(rid, n, "unsent", "refused")
    assert only_effect(es, "try") and only_effect(b.request()[1], "try")


def refusal_durations(s, *, zone, secs):
    """Return the sorted durations of a zone's client requests that the system itself answered with 503."""
    got = []
    for a, sent in s.r.sent.items():
        g = s.r.got[a]
        if g.ended and g.status == 503 and sent.life in zone and sent.at >= secs:
            got.append(g.ended.at - sent.at)
    return sorted(got)


def partitioned_region(town="banyan", seed=1):
    """Partition a region's daemons from all other replicas and stop its own; return the scene and the durations of refusals."""
    s = Scene(town=town, seed=seed)
    s.settle()
    s.traffic()
    s.w.run(3)
    z = "kaohsiung"
    inside = [n.name for n in s.w.nodes.values() if n.zone == z]
    s.w.cut(inside, [x.id for x in s.f.seats.values() if x.zone != z])
    for x in s.f.up(zone=z):
        s.f.crash(x)
    at = s.w.now
    s.w.run(6)
    lives = {n.life for n in s.w.nodes.values() if n.zone == z}
    return s, refusal_durations(s, zone=lives, secs=at)


@pytest.mark.parametrize("seed", (1, 2, 3, 4, 9, 17, 32))
def test_requests_to_unreachable_regions_are_refused_at_once(seed):
    s, took = partitioned_region(seed=seed)
    assert len(took) > 30 and took[len(took) * 3 // 4] < 0.1 * SEC and took[-1] < 1.25 * SEC, took[-20:]


@pytest.mark.parametrize("seed", range(1, 5))
def test_requests_are_served_again_soon_after_a_partition_heals(seed):
    s, _ = partitioned_region(seed=seed)
    s.w.heal()
    healed, lives = s.w.now, {n.life for n in s.w.nodes.values() if n.zone == "kaohsiung"}
    s.w.run(8)
    reached_again = healed + MAX_TEST_INTERVAL + 2 * CONNECT_TIMEOUT
    late = [x for x in s.r.sent.values() if x.life in lives and x.at > reached_again and s.r.got[x.attempt].ended]
    refused = [x for x in late if s.r.got[x.attempt].status == 503]
    assert len(late) > 20 and not refused
