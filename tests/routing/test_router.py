"""The router, driven event by event: routes, attempts, retries and the answers it gives."""

import random
from datetime import timedelta

import pytest

from silverglade.configuration import schema
from silverglade.routing.replica_selection import shared_prefix_key
from silverglade.routing.retry_budget import RetryBudget
from silverglade.routing.route_table import build_route_table, choose_service, find_route
from silverglade.runtime.settings import tuning

from ..support.router_bench import ZONES, RouterBench, endpoint, new_router, only_effect, parsed_configuration, route

OPT = tuning()
SEC = timedelta(seconds=1)


def test_the_longest_matching_prefix_of_the_host_is_used():
    t = build_route_table(parsed_configuration(route("x", prefix="/a/"), route("y", prefix="/a/b/"), route("z", host="g", prefix="/")))
    for host, path, want in (
        ("h", "/a/b/c", "y"),
        ("h", "/a/c", "x"),
        ("h", "/a", None),
        ("h", "/b/", None),
        ("g", "/q", "z"),
        ("k", "/", None),
    ):
        got = find_route(t, host, path)
        assert (got and got["name"]) == want


def test_routes_match_an_oracle():
    rng = random.Random(5)
    for _ in range(200):
        ps = {"/" + "".join(rng.choice("ab") + "/" for _ in range(rng.randrange(4))) for _ in range(6)}
        t = build_route_table(parsed_configuration(*(route(p, prefix=p) for p in sorted(ps))))
        path = "/" + "".join(rng.choice("ab") + rng.choice(("/", "", "x")) for _ in range(4))
        want = max((p for p in ps if path.startswith(p)), key=len, default=None)
        got = find_route(t, "h", path)
        assert (got and got["prefix"]) == want


def test_services_are_chosen_by_weight_and_never_with_weight_zero():
    r = route(shares=[{"service": "s", "weight": 9}, {"service": "u", "weight": 1}, {"service": "z", "weight": 0}])
    n = [choose_service(r, f"k{i}") for i in range(4000)]
    assert 250 < n.count("u") < 550 and n.count("z") == 0


def test_without_configuration_and_list_requests_get_503_at_once():
    b = RouterBench(route())
    b.component = new_router()
    _, (status, *rest) = b.request()[1][0], b.request()[1][0][2:]
    assert status == 503 and rest[0] > 0


def test_an_unknown_route_is_404_only_if_the_configuration_is_certain():
    b = RouterBench(route())
    assert only_effect(b.request("/q/")[1], "answer")[2] == 404
    assert only_effect(b.request("/q/", proved=OPT["certain"] / SEC)[1], "answer")[2] == 404
    for proved in (OPT["certain"] / SEC + 0.01, 60, None):
        _, _, status, wait, code = only_effect(b.request("/q/", proved=proved)[1], "answer")
        assert (status, code) == (503, 812) and wait > 0
        if proved is not None:
            only_effect(b.request(proved=proved)[1], "try")  # a known route is still served, but not after a pause (see below)


# Guards against refused routes that cannot be traced in the log to the configuration version and the age of its proof.
def test_unknown_routes_are_logged_together_with_the_version_and_the_oldest_proof_behind_a_404():
    b = RouterBench(route())

    def logged():
        b.now += timedelta(seconds=5)
        return [effect[1:] for effect in b.all_effects("pulse") if effect[0] == "log"]

    for proved in (0.5, 2, 60, None):
        b.request("/q/", proved=proved)
    line = {"refused": 2, "uncertain": 2, "version": "1.1", "number": 1, "age_ms": 2000}
    assert [(event, dict(pairs)) for event, pairs in logged()] == [("routes-unknown", line)]
    assert logged() == []


@pytest.mark.parametrize("kind, resumable", [("effectful", False), ("streaming", False)])
@pytest.mark.parametrize("what", ["lost", "cut"])
def test_a_request_that_may_have_run_and_must_not_repeat_is_never_retried(kind, resumable, what):
    b = RouterBench(route(kind=kind, resumable=resumable, tries=3))
    rid, es = b.request()
    only_effect(es, "try")
    got = only_effect(b.report(rid, 1, what, None), "answer")
    assert got[2] == 502  # not a status that says that it did not run
    assert b.report(rid, 1, "unsent", "late word") == []


def test_a_request_that_must_not_repeat_waits_for_a_silent_replica():
    b = RouterBench(route(kind="effectful", tries=3))
    b.request()
    assert b.advance(1) == b.advance(1) == b.advance(1) == []


def test_a_request_not_run_is_retried_while_attempts_are_left_then_refused():
    b = RouterBench(route(kind="effectful", tries=2), replicas=(endpoint("1"), endpoint("2"), endpoint("3")))
    for _ in range(40):
        rid, es = b.request()
        first = only_effect(es, "try")[3]["replica"]
        es = b.report(rid, 1, "not-run", 503, None)
        if es[0][0] == "answer":  # once the retry budget is used up
            assert es[0][2] == 503
            continue
        assert only_effect(es, "try")[3]["replica"] != first
        got = only_effect(b.report(rid, 2, "not-run", 503, 0.7), "answer")
        assert got[2] == 503 and got[3] == 0.7


def test_unsent_attempts_are_not_counted_but_limited():
    b = RouterBench(route(kind="effectful", tries=1), replicas=tuple(endpoint(str(i)) for i in range(1, 9)))
    rid, es = b.request()
    n, seen = 1, set()
    while es[0][0] == "try":
        assert es[0][3]["replica"] not in seen
        seen.add(es[0][3]["replica"])
        es = b.report(rid, n, "unsent", "refused")
        n += 1
    assert len(seen) == 4 and es[0][:3] == ("answer", rid, 503)


def test_a_lost_pure_request_without_another_replica_gets_502():
    b = RouterBench(route(kind="pure", tries=2), replicas=(endpoint("1"),))
    rid, _ = b.request()
    assert only_effect(b.report(rid, 1, "lost", "reset"), "answer")[2] == 502


def test_a_resumable_stream_continues_after_its_last_event():
    b = RouterBench(route(resumable=True, tries=2), replicas=(endpoint("1"), endpoint("2")))
    rid, es = b.request()
    first = only_effect(es, "try")[3]
    assert first["resume"] is False and first["last_event"] is None
    b.report(rid, 1, "began", 200)
    es = b.report(rid, 1, "cut", "7")
    t = only_effect(es, "try")
    assert t[3]["resume"] is True and t[3]["last_event"] == "7" and t[3]["replica"] != first["replica"]
    assert only_effect(b.report(rid, 2, "cut", "9"), "break")[1] == rid  # no attempts left: broken off, not ended as complete


def test_a_stream_whose_head_was_forwarded_is_broken_off_and_not_answered():
    b = RouterBench(route(resumable=False, tries=3))
    rid, _ = b.request()
    b.report(rid, 1, "began", 200)
    assert only_effect(b.report(rid, 1, "cut", "3"), "break")[1] == rid


def test_home_regions_apply_even_without_replicas_there():
    b = RouterBench(route(homes=["b"]), replicas=(endpoint("1", "a1"), endpoint("2", "b1")))
    assert only_effect(b.request()[1], "try")[3]["replica"] == "2"
    b.feed("listed", (endpoint("1", "a1"),), True)
    assert only_effect(b.request()[1], "answer")[2] == 503


def test_leaving_gone_and_drained_replicas_get_no_requests():
    b = RouterBench(route(), replicas=(endpoint("1"), endpoint("2", "b1")))
    b.feed("listed", (endpoint("1", leaving=True), endpoint("2", "b1")), True)
    b.feed("listed", (endpoint("1"), endpoint("2", "b1")), False)  # leaving is never reset within an incarnation
    assert {only_effect(b.request()[1], "try")[3]["replica"] for _ in range(9)} == {"2"}
    b.drain("b1")
    assert only_effect(b.request()[1], "answer")[2] == 503
    b.drain("b1", False)
    assert only_effect(b.request()[1], "try")[3]["replica"] == "2"
    b.feed("listed", (), True)
    assert only_effect(b.request()[1], "answer")[2] == 503


def test_an_address_taken_by_another_incarnation_is_not_tried_again():
    b = RouterBench(route(tries=2), replicas=(endpoint("1"), endpoint("2", "b1")))
    rid, _ = b.request()
    b.report(rid, 1, "not-run", 421, None)
    assert {only_effect(b.request()[1], "try")[3]["replica"] for _ in range(9)} == {"2"}


def test_every_attempt_expects_its_incarnation():
    b = RouterBench(route())
    assert only_effect(b.request()[1], "try")[3]["expect"] is True


def test_a_replica_in_slow_start_gets_only_this_daemons_share():
    b = RouterBench(route(), replicas=(endpoint("1", slow_start_ms=60000),), s=dict(conns=100, slots=8, cold_ms=3000, cold_per_s=6))
    b.feed("pulse")
    got = [b.request()[1][0] for _ in range(20)]
    assert [e[0] for e in got].count("try") == 2 and all(e[2] == 503 for e in got if e[0] == "answer")
    b.advance(1.01)
    assert b.request()[1][0][0] == "try"


def test_a_zone_no_longer_drained_begins_a_slow_start():
    b = RouterBench(route(), replicas=(endpoint("1"),), s=dict(conns=100, slots=8, cold_ms=3000, cold_per_s=6))
    b.drain("a1")
    b.drain("a1", False)
    assert [b.request()[1][0][0] for _ in range(20)].count("try") == 2


def test_retries_are_limited_by_the_budget():
    b = RouterBench(route(kind="pure", tries=2), replicas=(endpoint("1"), endpoint("2"), endpoint("3")))
    sent = asked = 0
    for _ in range(600):
        rid, es = b.request()
        asked += 1
        sent += b.report(rid, 1, "lost", "reset")[0][0] == "try"
        b.advance(0.02)
    assert sent <= 0.2 * asked + 50 / 3


def test_a_deadline_that_is_too_close_is_answered_without_an_attempt():
    b = RouterBench(route())
    assert only_effect(b.request(deadline_ms=10)[1], "answer")[2] == 504


def test_every_daemon_sends_the_same_prefix_to_the_same_replica():
    reps = tuple(endpoint(str(i)) for i in range(1, 7))
    at = set()
    for me in ("a", "b", "c"):
        b = RouterBench(route(by_prefix=True), replicas=reps)
        rid, es = b.request(prefix=(("p1", 900), ("p2", 300), (me, 100)))
        at.add(only_effect(es, "try")[3]["replica"])
        b.report(rid, 1, "done")
    assert len(at) == 1


def test_a_hot_prefix_overflows_to_the_next_replica():
    b = RouterBench(route(by_prefix=True), replicas=tuple(endpoint(str(i)) for i in range(1, 4)))
    at = [only_effect(b.request(prefix=(("p1", 900), (str(i), 100)), tokens=(1000, 300))[1], "try")[3]["replica"] for i in range(12)]
    assert len(set(at)) > 1 and at[0] == at[1]


def test_a_full_local_region_overflows_and_an_idle_one_does_not():
    b = RouterBench(route(), replicas=(endpoint("1"), endpoint("2", "b1")))
    at = [only_effect(b.request()[1], "try")[3]["replica"] for _ in range(8)]
    assert at[0] == "1" and "2" in at


def test_the_shared_parts_are_all_but_the_last():
    assert shared_prefix_key((("a", 1), ("b", 2), ("c", 3))) == "a,b" and shared_prefix_key((("a", 1),)) == ""


def test_only_repeatable_requests_are_retried_after_silence():
    b = RouterBench(route(resumable=True, tries=2, gap_ms=600), replicas=(endpoint("1"), endpoint("2")))
    rid, es = b.request()
    first = only_effect(es, "try")[3]
    assert first["patience"] > timedelta(0) and first["pause"] == timedelta(milliseconds=360)
    b.report(rid, 1, "began", 200)
    t = only_effect(b.report(rid, 1, "silent", "4"), "try")
    assert t[2] == 2 and t[3]["resume"] and t[3]["last_event"] == "4" and t[3]["replica"] != first["replica"]
    assert b.report(rid, 1, "cut", "5") == []  # late reports of the superseded attempt are ignored
    assert b.report(rid, 2, "silent", "6") == []  # no attempts left: the request waits
    assert b.report(rid, 2, "done") == []
    b = RouterBench(route(kind="effectful", tries=3))
    rid, es = b.request()
    silent = only_effect(es, "try")[3]["replica"]
    assert b.report(rid, 1, "silent", None) == []
    assert silent not in {only_effect(b.request()[1], "try")[3]["replica"] for _ in range(4)}  # other replicas are preferred
    b.advance(20)
    assert [only_effect(b.request()[1], "try")[3]["replica"] for _ in range(9)].count(silent) == 0  # its silent attempt is still open
    b.report(rid, 1, "gone")
    assert [only_effect(b.request()[1], "try")[3]["replica"] for _ in range(9)].count(silent) == 1  # one request at a time tries it again


def test_a_replica_that_fails_health_checks_is_avoided_until_it_answers():
    b = RouterBench(route(), replicas=(endpoint("1"), endpoint("2", "b1")))
    b.feed("loads", {"1": (-1, -1, 8)})
    assert {only_effect(b.request()[1], "try")[3]["replica"] for _ in range(4)} == {"2"}
    b.feed("loads", {"1": (0, 0, 8)})
    assert only_effect(b.request()[1], "try")[3]["replica"] == "1"
    b.feed("loads", {"1": (-1, -1, 8), "2": (-1, -1, 8)})
    assert only_effect(b.request()[1], "try")  # all replicas fail health checks: any of them is used


def test_a_request_waits_for_the_only_replica_if_it_is_silent():
    b = RouterBench(route(kind="pure", tries=2), replicas=(endpoint("1"),))
    rid, _ = b.request()
    assert b.report(rid, 1, "silent", None) == [] and b.report(rid, 1, "done") == []


def test_a_refusal_by_another_incarnation_is_no_counted_attempt():
    b = RouterBench(route(kind="effectful", tries=1), replicas=(endpoint("1"), endpoint("2")))
    b.advance(10)
    rid, es = b.request()
    first = only_effect(es, "try")[3]["replica"]
    es = [e for e in b.report(rid, 1, "not-run", 421, None) if e[0] != "forget"]
    assert only_effect(es, "try")[3]["replica"] != first


def test_a_retry_after_a_refusal_by_another_incarnation_is_charged_to_the_retry_budget(monkeypatch):
    monkeypatch.setattr(RetryBudget, "spend", lambda *a, **kw: False)  # the budget is used up
    b = RouterBench(route(kind="effectful", tries=2), replicas=(endpoint("1"), endpoint("2")))
    rid, es = b.request()
    only_effect(es, "try")
    assert only_effect(b.report(rid, 1, "not-run", 421, None), "answer")[2] == 503


def test_the_retry_budget_is_charged_for_each_attempt_after_an_arrival(monkeypatch):
    spent = []
    monkeypatch.setattr(RetryBudget, "spend", lambda self, now, service, *, daemons: spent.append(service) or True)
    b = RouterBench(route(kind="effectful", tries=3), replicas=tuple(endpoint(str(i)) for i in range(1, 9)))
    rid, _ = b.request()
    outcomes = [("unsent", "refused"), ("not-run", 421, None), ("unsent", "refused"), ("not-run", 503, None)]
    charged = []
    for n, outcome in enumerate(outcomes, 1):
        b.report(rid, n, *outcome)
        charged.append(len(spent))
    assert charged == [0, 1, 2, 3]  # the retry after an unsent attempt is charged again: the first charge is not refunded
    b.report(rid, 5, "done")


def test_a_421_to_a_request_with_a_version_does_not_remove_the_replica():
    b = RouterBench(route(kind="effectful", tries=1), replicas=(endpoint("1"), endpoint("2")))
    rid, es = b.request(version="3")
    first = only_effect(es, "try")[3]["replica"]
    assert only_effect(b.report(rid, 1, "not-run", 421, None), "try")[3]["replica"] != first
    b.advance(1)
    assert {only_effect(b.request()[1], "try")[3]["replica"] for _ in range(12)} == {"1", "2"}  # both replicas remain


def test_a_request_whose_service_was_removed_from_the_configuration_is_answered():
    replicas = (endpoint("1", service="u"), endpoint("2", service="u"))
    b = RouterBench(route(shares=[{"service": "u", "weight": 1}], kind="effectful", tries=2), replicas=replicas, u=dict(conns=9, slots=8))
    rid, es = b.request()
    only_effect(es, "try")
    b.configure(route(), number=2)
    assert only_effect(b.report(rid, 1, "not-run", 503, None), "answer")[2:] == (503, 1.0, 806)


def configuration_of(services, routes=(), **fields):
    """A valid configuration with just these services and routes; services None: it says nothing of them."""
    raw = dict(number=2, zones=ZONES, tenants={}, routes=list(routes), **fields)
    if services is not None:
        raw["services"] = services
    configuration, errors = schema.parse_configuration(raw)
    assert not errors, errors
    return configuration


# Guards against incident empty-configuration-not-applied: a dropped route goes on being served once the last service is gone too.
@pytest.mark.parametrize("services", [{}, None], ids=["empty", "left out"])
def test_a_configuration_without_services_takes_the_routes_away(services):
    bench = RouterBench(route(kind="effectful"))
    only_effect(bench.request()[1], "try")
    bench.feed("book", {"config": ((1, 2), configuration_of(services))}, (1, 2))
    assert only_effect(bench.request()[1], "answer")[2] == 404
    assert only_effect(bench.request(proved=None)[1], "answer")[2] == 503  # not yet proved to be the newest
    bench.configure(route(kind="effectful"), number=3)
    only_effect(bench.request()[1], "try")


# Guards against: a daemon that starts with a configuration without services is never ready, and answers 503 in place of 404.
def test_a_daemon_that_starts_with_an_empty_configuration_is_ready_and_knows_no_route():
    bench = RouterBench.started(configuration_of({}))
    assert ("reply", "c", 100, {"ready": True}) in bench.all_effects("call", "c", "serving", ())
    assert only_effect(bench.request()[1], "answer")[2] == 404


# Guards against: a daemon that forwards nothing, since its configurations never had services, says that it serves routes.
def test_a_configuration_that_never_had_services_concerns_no_routes():
    bench = RouterBench.started(configuration_of(None))
    assert ("reply", "c", 100, {"ready": False}) in bench.all_effects("call", "c", "serving", ())
    assert only_effect(bench.request()[1], "answer")[2] == 503


# Guards against: the limits of an earlier configuration stay in force once no configuration names any.
def test_limits_go_with_the_configuration_that_named_them():
    bench = RouterBench(route())
    limits = {"header_bytes": 300}
    given = configuration_of({"s": {"conns": 1}}, [route()], limits=limits)
    effects = bench.all_effects("book", {"config": ((1, 3), given)}, (1, 3))
    assert [effect[1]["header_bytes"] for effect in effects if effect[0] == "limits"] == [300]
    effects = bench.all_effects("book", {"config": ((1, 4), configuration_of(None))}, (1, 4))
    assert [effect[1] for effect in effects if effect[0] == "limits"] == [None]


# Guards against: a client that waits 0 ms counts as one that states no time, and its request runs for the route's whole time.
def test_a_client_that_waits_no_time_is_answered_at_once():
    bench = RouterBench(route(kind="effectful"))
    assert only_effect(bench.request(deadline_ms=0)[1], "answer")[2] == 504
    assert only_effect(bench.request(deadline_ms=None)[1], "try")[3]["deadline_ms"] > 3000


# Guards against: a replica with other weights counts as gone, since the version that the client asked for is an empty text.
def test_a_refusal_to_a_client_that_asks_for_an_empty_version_is_no_sign_of_another_incarnation():
    bench = RouterBench(route(tries=2), replicas=[endpoint("1")])
    request_id, effects = bench.request(version="")
    only_effect(effects, "try")
    bench.report(request_id, 1, "not-run", 421, None)
    bench.advance(1)
    only_effect(bench.request()[1], "try")
