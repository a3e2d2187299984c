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
    table = build_route_table(parsed_configuration(route("x", prefix="/a/"), route("y", prefix="/a/b/"), route("z", host="g", prefix="/")))
    for host, path, want in (
        ("h", "/a/b/c", "y"),
        ("h", "/a/c", "x"),
        ("h", "/a", None),
        ("h", "/b/", None),
        ("g", "/q", "z"),
        ("k", "/", None),
    ):
        got = find_route(table, host, path)
        assert (got and got["name"]) == want


def test_routes_match_an_oracle():
    rng = random.Random(5)
    for _ in range(200):
        prefixes = {"/" + "".join(rng.choice("ab") + "/" for _ in range(rng.randrange(4))) for _ in range(6)}
        table = build_route_table(parsed_configuration(*(route(p, prefix=p) for p in sorted(prefixes))))
        path = "/" + "".join(rng.choice("ab") + rng.choice(("/", "", "x")) for _ in range(4))
        want = max((p for p in prefixes if path.startswith(p)), key=len, default=None)
        got = find_route(table, "h", path)
        assert (got and got["prefix"]) == want


def test_services_are_chosen_by_weight_and_never_with_weight_zero():
    route_with_weights = route(shares=[{"service": "s", "weight": 9}, {"service": "u", "weight": 1}, {"service": "z", "weight": 0}])
    chosen = [choose_service(route_with_weights, f"k{i}") for i in range(4000)]
    assert 250 < chosen.count("u") < 550 and chosen.count("z") == 0


def test_without_configuration_and_list_requests_get_503_at_once():
    bench = RouterBench(route())
    bench.component = new_router()
    _, (status, *rest) = bench.request()[1][0], bench.request()[1][0][2:]
    assert status == 503 and rest[0] > 0


def test_an_unknown_route_is_404_only_if_the_configuration_is_certain():
    bench = RouterBench(route())
    assert only_effect(bench.request("/q/")[1], "answer")[2] == 404
    assert only_effect(bench.request("/q/", proved=OPT["certain"] / SEC)[1], "answer")[2] == 404
    for proved in (OPT["certain"] / SEC + 0.01, 60, None):
        _, _, status, wait, code = only_effect(bench.request("/q/", proved=proved)[1], "answer")
        assert (status, code) == (503, 812) and wait > 0
        if proved is not None:
            only_effect(bench.request(proved=proved)[1], "try")  # a known route is still served, but not after a pause (see below)


# Guards against refused routes that cannot be traced in the log to the configuration version and the age of its proof.
def test_unknown_routes_are_logged_together_with_the_version_and_the_oldest_proof_behind_a_404():
    bench = RouterBench(route())

    def logged():
        bench.now += timedelta(seconds=5)
        return [effect[1:] for effect in bench.all_effects("pulse") if effect[0] == "log"]

    for proved in (0.5, 2, 60, None):
        bench.request("/q/", proved=proved)
    line = {"refused": 2, "uncertain": 2, "version": "1.1", "number": 1, "age_ms": 2000}
    assert [(event, dict(pairs)) for event, pairs in logged()] == [("routes-unknown", line)]
    assert logged() == []


@pytest.mark.parametrize("kind, resumable", [("effectful", False), ("streaming", False)])
@pytest.mark.parametrize("what", ["lost", "cut"])
def test_a_request_that_may_have_run_and_must_not_repeat_is_never_retried(kind, resumable, what):
    bench = RouterBench(route(kind=kind, resumable=resumable, tries=3))
    request_id, effects = bench.request()
    only_effect(effects, "try")
    got = only_effect(bench.report(request_id, 1, what, None), "answer")
    assert got[2] == 502  # not a status that says that it did not run
    assert bench.report(request_id, 1, "unsent", "late word") == []


def test_a_request_that_must_not_repeat_waits_for_a_silent_replica():
    bench = RouterBench(route(kind="effectful", tries=3))
    bench.request()
    assert bench.advance(1) == bench.advance(1) == bench.advance(1) == []


def test_a_request_not_run_is_retried_while_attempts_are_left_then_refused():
    bench = RouterBench(route(kind="effectful", tries=2), replicas=(endpoint("1"), endpoint("2"), endpoint("3")))
    for _ in range(40):
        request_id, effects = bench.request()
        first = only_effect(effects, "try")[3]["replica"]
        effects = bench.report(request_id, 1, "not-run", 503, None)
        if effects[0][0] == "answer":  # once the retry budget is used up
            assert effects[0][2] == 503
            continue
        assert only_effect(effects, "try")[3]["replica"] != first
        got = only_effect(bench.report(request_id, 2, "not-run", 503, 0.7), "answer")
        assert got[2] == 503 and got[3] == 0.7


def test_unsent_attempts_are_not_counted_but_limited():
    bench = RouterBench(route(kind="effectful", tries=1), replicas=tuple(endpoint(str(i)) for i in range(1, 9)))
    request_id, effects = bench.request()
    chosen, seen = 1, set()
    while effects[0][0] == "try":
        assert effects[0][3]["replica"] not in seen
        seen.add(effects[0][3]["replica"])
        effects = bench.report(request_id, chosen, "unsent", "refused")
        chosen += 1
    assert len(seen) == 4 and effects[0][:3] == ("answer", request_id, 503)


def test_a_lost_pure_request_without_another_replica_gets_502():
    bench = RouterBench(route(kind="pure", tries=2), replicas=(endpoint("1"),))
    request_id, _ = bench.request()
    assert only_effect(bench.report(request_id, 1, "lost", "reset"), "answer")[2] == 502


def test_a_resumable_stream_continues_after_its_last_event():
    bench = RouterBench(route(resumable=True, tries=2), replicas=(endpoint("1"), endpoint("2")))
    request_id, effects = bench.request()
    first = only_effect(effects, "try")[3]
    assert first["resume"] is False and first["last_event"] is None
    bench.report(request_id, 1, "began", 200)
    effects = bench.report(request_id, 1, "cut", "7")
    further = only_effect(effects, "try")
    assert further[3]["resume"] is True and further[3]["last_event"] == "7" and further[3]["replica"] != first["replica"]
    assert (
        only_effect(bench.report(request_id, 2, "cut", "9"), "break")[1] == request_id
    )  # no attempts left: broken off, not ended as complete


def test_a_stream_whose_head_was_forwarded_is_broken_off_and_not_answered():
    bench = RouterBench(route(resumable=False, tries=3))
    request_id, _ = bench.request()
    bench.report(request_id, 1, "began", 200)
    assert only_effect(bench.report(request_id, 1, "cut", "3"), "break")[1] == request_id


def test_home_regions_apply_even_without_replicas_there():
    bench = RouterBench(route(homes=["b"]), replicas=(endpoint("1", "a1"), endpoint("2", "b1")))
    assert only_effect(bench.request()[1], "try")[3]["replica"] == "2"
    bench.feed("listed", (endpoint("1", "a1"),), True)
    assert only_effect(bench.request()[1], "answer")[2] == 503


def test_leaving_gone_and_drained_replicas_get_no_requests():
    bench = RouterBench(route(), replicas=(endpoint("1"), endpoint("2", "b1")))
    bench.feed("listed", (endpoint("1", leaving=True), endpoint("2", "b1")), True)
    bench.feed("listed", (endpoint("1"), endpoint("2", "b1")), False)  # leaving is never reset within an incarnation
    assert {only_effect(bench.request()[1], "try")[3]["replica"] for _ in range(9)} == {"2"}
    bench.drain("b1")
    assert only_effect(bench.request()[1], "answer")[2] == 503
    bench.drain("b1", False)
    assert only_effect(bench.request()[1], "try")[3]["replica"] == "2"
    bench.feed("listed", (), True)
    assert only_effect(bench.request()[1], "answer")[2] == 503


def test_an_address_taken_by_another_incarnation_is_not_tried_again():
    bench = RouterBench(route(tries=2), replicas=(endpoint("1"), endpoint("2", "b1")))
    request_id, _ = bench.request()
    bench.report(request_id, 1, "not-run", 421, None)
    assert {only_effect(bench.request()[1], "try")[3]["replica"] for _ in range(9)} == {"2"}


def test_every_attempt_expects_its_incarnation():
    bench = RouterBench(route())
    assert only_effect(bench.request()[1], "try")[3]["expect"] is True


def test_a_replica_in_slow_start_gets_only_this_daemons_share():
    bench = RouterBench(route(), replicas=(endpoint("1", slow_start_ms=60000),), s=dict(conns=100, slots=8, cold_ms=3000, cold_per_s=6))
    bench.feed("pulse")
    got = [bench.request()[1][0] for _ in range(20)]
    assert [e[0] for e in got].count("try") == 2 and all(e[2] == 503 for e in got if e[0] == "answer")
    bench.advance(1.01)
    assert bench.request()[1][0][0] == "try"


def test_a_zone_no_longer_drained_begins_a_slow_start():
    bench = RouterBench(route(), replicas=(endpoint("1"),), s=dict(conns=100, slots=8, cold_ms=3000, cold_per_s=6))
    bench.drain("a1")
    bench.drain("a1", False)
    assert [bench.request()[1][0][0] for _ in range(20)].count("try") == 2


def test_retries_are_limited_by_the_budget():
    bench = RouterBench(route(kind="pure", tries=2), replicas=(endpoint("1"), endpoint("2"), endpoint("3")))
    sent = asked = 0
    for _ in range(600):
        request_id, effects = bench.request()
        asked += 1
        sent += bench.report(request_id, 1, "lost", "reset")[0][0] == "try"
        bench.advance(0.02)
    assert sent <= 0.2 * asked + 50 / 3


def test_a_deadline_that_is_too_close_is_answered_without_an_attempt():
    bench = RouterBench(route())
    assert only_effect(bench.request(deadline_ms=10)[1], "answer")[2] == 504


def test_every_daemon_sends_the_same_prefix_to_the_same_replica():
    replicas = tuple(endpoint(str(i)) for i in range(1, 7))
    at = set()
    for me in ("a", "b", "c"):
        bench = RouterBench(route(by_prefix=True), replicas=replicas)
        request_id, effects = bench.request(prefix=(("p1", 900), ("p2", 300), (me, 100)))
        at.add(only_effect(effects, "try")[3]["replica"])
        bench.report(request_id, 1, "done")
    assert len(at) == 1


def test_a_hot_prefix_overflows_to_the_next_replica():
    bench = RouterBench(route(by_prefix=True), replicas=tuple(endpoint(str(i)) for i in range(1, 4)))
    at = [only_effect(bench.request(prefix=(("p1", 900), (str(i), 100)), tokens=(1000, 300))[1], "try")[3]["replica"] for i in range(12)]
    assert len(set(at)) > 1 and at[0] == at[1]


def test_a_full_local_region_overflows_and_an_idle_one_does_not():
    bench = RouterBench(route(), replicas=(endpoint("1"), endpoint("2", "b1")))
    at = [only_effect(bench.request()[1], "try")[3]["replica"] for _ in range(8)]
    assert at[0] == "1" and "2" in at


def test_the_shared_parts_are_all_but_the_last():
    assert shared_prefix_key((("a", 1), ("b", 2), ("c", 3))) == "a,b" and shared_prefix_key((("a", 1),)) == ""


def test_only_repeatable_requests_are_retried_after_silence():
    bench = RouterBench(route(resumable=True, tries=2, gap_ms=600), replicas=(endpoint("1"), endpoint("2")))
    request_id, effects = bench.request()
    first = only_effect(effects, "try")[3]
    assert first["patience"] > timedelta(0) and first["pause"] == timedelta(milliseconds=360)
    bench.report(request_id, 1, "began", 200)
    further = only_effect(bench.report(request_id, 1, "silent", "4"), "try")
    assert further[2] == 2 and further[3]["resume"] and further[3]["last_event"] == "4" and further[3]["replica"] != first["replica"]
    assert bench.report(request_id, 1, "cut", "5") == []  # late reports of the superseded attempt are ignored
    assert bench.report(request_id, 2, "silent", "6") == []  # no attempts left: the request waits
    assert bench.report(request_id, 2, "done") == []
    bench = RouterBench(route(kind="effectful", tries=3))
    request_id, effects = bench.request()
    silent = only_effect(effects, "try")[3]["replica"]
    assert bench.report(request_id, 1, "silent", None) == []
    assert silent not in {only_effect(bench.request()[1], "try")[3]["replica"] for _ in range(4)}  # other replicas are preferred
    bench.advance(20)
    assert [only_effect(bench.request()[1], "try")[3]["replica"] for _ in range(9)].count(silent) == 0  # its silent attempt is still open
    bench.report(request_id, 1, "gone")
    assert [only_effect(bench.request()[1], "try")[3]["replica"] for _ in range(9)].count(
        silent
    ) == 1  # one request at a time tries it again


def test_a_replica_that_fails_health_checks_is_avoided_until_it_answers():
    bench = RouterBench(route(), replicas=(endpoint("1"), endpoint("2", "b1")))
    bench.feed("loads", {"1": (-1, -1, 8)})
    assert {only_effect(bench.request()[1], "try")[3]["replica"] for _ in range(4)} == {"2"}
    bench.feed("loads", {"1": (0, 0, 8)})
    assert only_effect(bench.request()[1], "try")[3]["replica"] == "1"
    bench.feed("loads", {"1": (-1, -1, 8), "2": (-1, -1, 8)})
    assert only_effect(bench.request()[1], "try")  # all replicas fail health checks: any of them is used


def test_a_request_waits_for_the_only_replica_if_it_is_silent():
    bench = RouterBench(route(kind="pure", tries=2), replicas=(endpoint("1"),))
    request_id, _ = bench.request()
    assert bench.report(request_id, 1, "silent", None) == [] and bench.report(request_id, 1, "done") == []


def test_a_refusal_by_another_incarnation_is_no_counted_attempt():
    bench = RouterBench(route(kind="effectful", tries=1), replicas=(endpoint("1"), endpoint("2")))
    bench.advance(10)
    request_id, effects = bench.request()
    first = only_effect(effects, "try")[3]["replica"]
    effects = [e for e in bench.report(request_id, 1, "not-run", 421, None) if e[0] != "forget"]
    assert only_effect(effects, "try")[3]["replica"] != first


def test_a_retry_after_a_refusal_by_another_incarnation_is_charged_to_the_retry_budget(monkeypatch):
    monkeypatch.setattr(RetryBudget, "spend", lambda *a, **kw: False)  # the budget is used up
    bench = RouterBench(route(kind="effectful", tries=2), replicas=(endpoint("1"), endpoint("2")))
    request_id, effects = bench.request()
    only_effect(effects, "try")
    assert only_effect(bench.report(request_id, 1, "not-run", 421, None), "answer")[2] == 503


def test_the_retry_budget_is_charged_for_each_attempt_after_an_arrival(monkeypatch):
    spent = []
    monkeypatch.setattr(RetryBudget, "spend", lambda self, now, service, *, daemons: spent.append(service) or True)
    bench = RouterBench(route(kind="effectful", tries=3), replicas=tuple(endpoint(str(i)) for i in range(1, 9)))
    request_id, _ = bench.request()
    outcomes = [("unsent", "refused"), ("not-run", 421, None), ("unsent", "refused"), ("not-run", 503, None)]
    charged = []
    for chosen, outcome in enumerate(outcomes, 1):
        bench.report(request_id, chosen, *outcome)
        charged.append(len(spent))
    assert charged == [0, 1, 2, 3]  # the retry after an unsent attempt is charged again: the first charge is not refunded
    bench.report(request_id, 5, "done")


def test_a_421_to_a_request_with_a_version_does_not_remove_the_replica():
    bench = RouterBench(route(kind="effectful", tries=1), replicas=(endpoint("1"), endpoint("2")))
    request_id, effects = bench.request(version="3")
    first = only_effect(effects, "try")[3]["replica"]
    assert only_effect(bench.report(request_id, 1, "not-run", 421, None), "try")[3]["replica"] != first
    bench.advance(1)
    assert {only_effect(bench.request()[1], "try")[3]["replica"] for _ in range(12)} == {"1", "2"}  # both replicas remain


def test_a_request_whose_service_was_removed_from_the_configuration_is_answered():
    replicas = (endpoint("1", service="u"), endpoint("2", service="u"))
    bench = RouterBench(
        route(shares=[{"service": "u", "weight": 1}], kind="effectful", tries=2), replicas=replicas, u=dict(conns=9, slots=8)
    )
    request_id, effects = bench.request()
    only_effect(effects, "try")
    bench.configure(route(), number=2)
    assert only_effect(bench.report(request_id, 1, "not-run", 503, None), "answer")[2:] == (503, 1.0, 806)


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
