"""Suspected replicas (design 15.3, 15.4): their idle connections, and the answers to requests that were sent to one."""

from datetime import timedelta

from silverglade.runtime import result_codes

from ..support.router_bench import LEFT_OUT, RouterBench, endpoint, only_effect, route


def effects(b, *ev):
    return [e for e in b.all_effects(*ev) if e[0] == "renew"]


def begun(**kw):
    b = RouterBench(route(**kw), replicas=(endpoint("1"), endpoint("2")))
    rid, es = b.request()
    return b, rid, only_effect(es, "try")[3]["replica"]


def test_idle_connections_of_a_replica_that_may_be_down_are_closed():
    b, rid, r = begun(kind="effectful")
    assert effects(b, "tried", rid, 1, "silent", None) == [("renew", r)]
    b, rid, r = begun(kind="effectful")
    assert effects(b, "tried", rid, 1, "lost", "ReadError") == [("renew", r)]
    b, rid, r = begun(kind="effectful")
    assert effects(b, "tried", rid, 1, "lost", "no-seal") == []  # the replica is alive, and new connections are expensive
    assert effects(b, "loads", {"1": (-1, -1, 8), "2": (0, 0, 8)}) == [("renew", "1")]
    assert effects(b, "loads", {"1": (-1, -1, 8), "2": (0, 0, 8)}) == []  # only once
    assert effects(b, "loads", {"1": (3, 0, 8)}) == effects(b, "loads", {"1": (2, 0, 8)}) == []


def test_a_lost_request_is_logged_with_replica_and_reason():
    b, rid, r = begun(kind="effectful")
    logs = [e for e in b.all_effects("tried", rid, 1, "lost", "ReadError") if e[0] == "log"]
    assert [dict(e[2])["replica"] for e in logs if e[1] == "request-lost"] == [r], logs


def stream_that_left_a_silent_replica():
    """A stream that left a silent replica after its first events, and is now open at another one: bench, request, the silent replica."""
    b = RouterBench(route(kind="streaming", resumable=True, tries=2), replicas=(endpoint("1"), endpoint("2")))
    rid, es = b.request()
    first = only_effect(es, "try")[3]["replica"]
    b.report(rid, 1, "began", 200)
    second = only_effect(b.report(rid, 1, "silent", "7"), "try")[3]["replica"]
    assert first != second
    return b, rid, first


def test_a_stream_returns_once_to_the_silent_replica_that_it_left_if_no_other_takes_it():
    """Guards against a stream that is cut although its replica was only slow (LOST): another one refused it."""
    for outcome in (("not-run", 503, None), ("unsent", "refused"), ("lost", "ReadError"), ("failed", 500), ("cut", "7")):
        b, rid, first = stream_that_left_a_silent_replica()
        target = only_effect(b.report(rid, 2, *outcome), "try")[3]
        assert (target["replica"], target["resume"], target["last_event"]) == (first, True, "7"), outcome
        assert b.report(rid, 3, "silent", "8") == []
        assert only_effect(b.report(rid, 3, "cut", "8"), "break")[1] == rid


def test_a_stream_does_not_return_to_a_replica_that_may_not_get_it_any_more():
    def leaves(b, first):
        b.feed("listed", (endpoint(first, leaving=True), endpoint("2" if first == "1" else "1")), True)

    def is_drained(b, first):
        b.drain("a1")

    def is_gone(b, first):
        b.feed("unlisted", (first,))

    def has_no_time_left(b, first):
        b.now += timedelta(seconds=3.99)

    for change in (leaves, is_drained, is_gone, has_no_time_left):
        b, rid, first = stream_that_left_a_silent_replica()
        change(b, first)
        es = b.all_effects("tried", rid, 2, "not-run", 503, None)
        assert only_effect([e for e in es if e[0] not in LEFT_OUT], "break")[1] == rid, change.__name__
        (aborted,) = [dict(e[2]) for e in es if e[:2] == ("log", "response-aborted")]
        assert aborted["silent"] == first, change.__name__


def test_a_stream_that_has_begun_leaves_a_silent_replica_only_if_the_budget_lets_it_return():
    for allowed, effects in ((1, []), (2, ["try"])):
        b = RouterBench(route(kind="streaming", resumable=True, tries=2), replicas=(endpoint("1"), endpoint("2")))
        rid, _ = b.request()
        b.report(rid, 1, "began", 200)
        budget = b.component.machine.context.retry_budget
        while budget.allows(b.now, "s", daemons=3, arrivals=allowed + 1):
            assert budget.spend(b.now, "s", daemons=3)
        assert [effect[0] for effect in b.report(rid, 1, "silent", "7")] == effects, allowed


def test_an_aborted_stream_is_logged_with_what_had_happened_to_it():
    b, rid, _ = stream_that_left_a_silent_replica()
    b.report(rid, 2, "lost", "ReadError")
    logs = [e for e in b.all_effects("tried", rid, 3, "lost", "ReadError") if e[0] == "log"]
    fields = dict(next(e for e in logs if e[1] == "response-aborted")[2])
    assert fields == {"rid": rid, "route": "r", "code": result_codes.TRIES_USED, "last": "lost", "tries": 3, "silent": ""}


def test_a_request_retried_after_silence_is_never_reported_as_not_run():
    b = RouterBench(route(kind="pure", tries=3), replicas=(endpoint("1"), endpoint("2")))
    rid, es = b.request()
    first = only_effect(es, "try")[3]["replica"]
    assert only_effect(b.report(rid, 1, "silent", None), "try")[3]["replica"] != first
    assert only_effect(b.report(rid, 2, "not-run", 503, None), "answer")[2] == 502


def test_a_request_that_was_only_refused_gets_a_retry_delay():
    for kind in ("pure", "effectful"):
        b = RouterBench(route(kind=kind, tries=3), replicas=(endpoint("1"), endpoint("2")))
        rid, es = b.request()
        only_effect(es, "try")
        only_effect([e for e in b.report(rid, 1, "not-run", 421, None)], "try")
        end = only_effect(b.report(rid, 2, "not-run", 421, None), "answer")
        assert end[2] == 503 and end[3] > 0


def test_real_and_simulated_daemons_pass_connection_renewal_to_the_connection_pool():
    from silverglade.server.daemon import Daemon
    from silverglade.testbed.simulator.forwarding_scenario import Scene

    got = []
    d = object.__new__(Daemon)
    d.forwarder = type("Shell", (), {"carry_out": lambda self, e: got.append(e)})()
    d.carry_out(("renew", "1"))
    assert got == [("renew", "1")]
    s = Scene(town="hamlet", seed=1)
    s.settle()
    s.traffic()
    s.w.run(3)
    n, c, replica = next((s.w.nodes[i], c, k[1]) for i, c in s.f.shells.items() for k, row in c.idle.items() if row)
    s.w.effect(n, ("renew", replica))
    assert not any(row for k, row in c.idle.items() if k[1] == replica)
