"""A daemon that is told to stop (design 15.9): what it takes late ends whole or is answered; incident lost-after-stop."""

from datetime import timedelta

import pytest

from silverglade.routing.graceful_shutdown import GracefulShutdown, ResponseTimes
from silverglade.testbed.faults.forwarding_faults import ForwardFaults
from silverglade.testbed.simulator import forwarding_scenario as callers
from silverglade.testbed.simulator.forwarding_scenario import Scene

from ..support.router_bench import RouterBench, endpoint, only_effect, route

SECOND = timedelta(seconds=1)


@pytest.fixture(autouse=True)
def every_client_holds_on_to_its_addresses(monkeypatch):
    monkeypatch.setattr(callers, "HOLDERS", 1)


def crowded_roll(seed, town="banyan", rate=6.0, long=0.25):
    """Daemons stopped one after the other while answers take long -> (scene, what was broken)."""
    scene = Scene(town=town, seed=seed)
    scene.settle()
    scene.rate, scene.long = rate, long
    scene.traffic()
    forward_faults = ForwardFaults(scene, most=1)
    scene.w.run(6)
    for name in [n.name for n in scene.w.nodes.values() if not n.core][:3]:
        forward_faults.term(name)
        scene.w.run(10)
    scene.open = False
    scene.w.run(20)
    return scene, scene.r.faults


@pytest.mark.parametrize("seed", range(6))
def test_nothing_that_was_taken_late_is_given_up(seed):
    scene, broken = crowded_roll(seed)
    assert [b for b in broken if b[1] == "LOST"] == []


class Leaver(RouterBench):
    """A part that served a stream of 2 s and a plain request of 0.5 s lately, and is told to stop 10 s later."""

    def __init__(self):
        super().__init__(
            route(due_ms=15000), route("p", prefix="/p/", kind="pure", due_ms=15000, tries=3), replicas=[endpoint(str(i)) for i in range(6)]
        )
        for path, seconds in (("/r/x", 2), ("/p/x", 0.5)):
            rid, _ = self.request(path)
            self.advance(seconds)
            self.report(rid, 1, "done")
        self.advance(10)

    def leave(self):
        self.feed("leaving", *(self.now + t * SECOND for t in (2.75, 6.5, 7)))


def answered(effects):
    """-> (status, code) of an answer of the daemon's own."""
    _, _, status, wait, code = only_effect(effects, "answer")
    assert (wait is not None) == (status == 503)
    return status, code


def test_a_stream_is_taken_early_if_it_can_be_expected_to_end_and_refused_at_once_later():
    b = Leaver()
    b.leave()
    for step in (0, 1, 0.5):
        b.advance(step)
        only_effect(b.request(deadline_ms=15000)[1], "try")
    b.advance(1.5)  # 3 s after the signal: there would be time, but nothing may be promised
    assert answered(b.request(deadline_ms=15000)[1]) == (503, 811)
    only_effect(b.request(deadline_ms=3000)[1], "try")  # its own deadline comes first
    only_effect(b.request("/p/x", deadline_ms=15000)[1], "try")  # answered whole or not at all
    b.advance(3)
    assert answered(b.request("/p/x", deadline_ms=15000)[1]) == (503, 811)


@pytest.mark.parametrize("after_s", [3.98, 5.613])
@pytest.mark.parametrize("facts", [{}, {"last_event": "12"}, {"deadline_ms": None}, {"deadline_ms": 60000}])
def test_no_path_takes_the_streams_of_the_users_record(after_s, facts):
    """Guards against the record of incident stream-cut-at-the-end-of-grace: streams sent 4.0 and 5.6 s after SIGTERM and cut at 7 s."""
    b = Leaver()
    b.leave()
    b.advance(after_s)
    assert answered(b.request(**{"deadline_ms": 15190, **facts})[1]) == (503, 811)


def test_a_stream_that_no_replica_took_in_time_gets_no_late_attempt():
    """Guards against a further attempt that begins a stream late: the request came in time, its first replica did not take it."""
    b = Leaver()
    b.leave()
    b.advance(2)
    rid, effects = b.request(deadline_ms=15000)
    only_effect(effects, "try")
    b.advance(1.5)
    assert answered(b.report(rid, 1, "unsent", "refused")) == (503, 811)


def test_what_nothing_is_known_of_is_not_taken():
    b = RouterBench(route(due_ms=15000))
    Leaver.leave(b)
    assert answered(b.request(deadline_ms=15000)[1]) == (503, 811)
    only_effect(b.request(deadline_ms=4000)[1], "try")


def test_requests_under_way_tell_how_long_answers_take_now():
    b = Leaver()
    b.request(deadline_ms=15000)
    b.advance(7)  # longer than any that ended, and than there is time
    b.leave()
    assert answered(b.request(deadline_ms=15000)[1]) == (503, 811)


def test_no_replica_is_given_more_time_than_the_daemon_has():
    b = Leaver()
    before, _ = b.request("/p/x", deadline_ms=15000)
    b.leave()
    assert only_effect(b.request(deadline_ms=15000)[1], "try")[3]["deadline_ms"] <= 7000
    b.advance(4)
    assert only_effect(b.report(before, 1, "lost", "ReadError"), "try")[3]["deadline_ms"] <= 2500
    b.advance(2)
    assert answered(b.report(before, 2, "lost", "ReadError")) == (502, 808)  # no time for another: it may have run


def test_the_slowest_of_a_route_are_remembered_for_a_while():
    response_times, at = ResponseTimes(), 100 * SECOND
    response_times.add(at, "r", 3 * SECOND, 100)
    response_times.add(at + SECOND, "r", SECOND, 100)
    assert response_times.expected(at + 9 * SECOND, "r", 100) == 3 * SECOND
    assert response_times.expected(at + 9 * SECOND, "other", 100) is None
    response_times.add(at + 11 * SECOND, "r", SECOND, 100)
    assert response_times.expected(at + 12 * SECOND, "r", 100) == 3 * SECOND
    response_times.add(at + 22 * SECOND, "r", SECOND, 100)
    assert response_times.expected(at + 23 * SECOND, "r", 100) == SECOND
    assert response_times.expected(at + 50 * SECOND, "r", 100) is None


def test_a_small_request_is_expected_to_take_less_than_a_large_one_did():
    response_times, at = ResponseTimes(), 100 * SECOND
    response_times.add(at, "r", 4 * SECOND, 400)
    response_times.add(at, "r", SECOND, 50)
    assert response_times.expected(at, "r", 50) == SECOND
    assert response_times.expected(at, "r", 300) == response_times.expected(at, "r", 4000) == 4 * SECOND


def test_without_the_guard_late_streams_are_given_up(monkeypatch):
    monkeypatch.setattr(GracefulShutdown, "may_start", lambda self, now, **_: True)
    assert any(b[1] == "LOST" for seed in range(6) for b in crowded_roll(seed)[1])


def test_a_leaving_daemon_refuses_few_and_nothing_else_is_broken():
    for seed in range(3):
        scene, broken = crowded_roll(seed)
        assert broken == []
        served, sent = scene.r.served(timedelta(0), scene.w.now)
        assert served > 0.9 * sent


def test_a_change_that_drops_a_route_or_shortens_its_time_cuts_nothing_that_runs():
    """Guards against streams that end because a configuration changes (LOST, planned work of the third kind)."""
    b = RouterBench(route(due_ms=15000))
    rid, effects = b.request(deadline_ms=15000)
    only_effect(effects, "try")
    b.report(rid, 1, "began", 200)
    b.configure(route("other", prefix="/o/"), number=2)
    b.configure(route(due_ms=500), number=3)
    b.feed("listed", (endpoint("2", leaving=True),), True)
    assert b.advance(10) == [] and b.component.machine.context.requests[rid].open_attempts
    assert b.report(rid, 1, "done") == [] and rid not in b.component.machine.context.requests
