"""Keys of callers at the router (design 17): accepted and refused requests, statuses, home regions and rank."""

from datetime import timedelta

import pytest

from silverglade.configuration.schema import key_digest
from silverglade.routing import attempts
from silverglade.routing.callers import Caller, effective_homes, effective_rank
from silverglade.runtime.components import Component
from silverglade.runtime.settings import tuning

from ..support.router_bench import RouterBench, endpoint, only_effect, route
from ..support.source_mutation import without

SEC = timedelta(seconds=1)
CERTAIN_S = tuning()["certain"] / SEC
CLOSED = {"keys_alone": 4.5}
ANN, BOB, GONE, NEVER = map(key_digest, ("ann's", "bob's", "taken away", "of nobody"))
CALLERS = {"ann": {"keys": [ANN, GONE]}, "bob": {"keys": [BOB], "homes": ["b"], "rank": 3}}
WITHOUT_GONE = {**CALLERS, "ann": {"keys": [ANN]}}
PUBLIC = route("p", prefix="/p/", public=True)
EVERYWHERE = (endpoint("1"), endpoint("2", zone="b1"), endpoint("3", zone="c1"))


def bench(*routes, callers=CALLERS, replicas=EVERYWHERE, **kw):
    return RouterBench(*(routes or (route(), PUBLIC)), callers=callers, replicas=replicas, **kw)


def attempted(effects):
    """Return the target of the started attempt."""
    return only_effect(effects, "try")[3]


def refused(effects):
    """Return status and code of the answer, and whether it has a retry delay."""
    _, _, status, wait, code = only_effect(effects, "answer")
    return status, code, bool(wait)


def test_a_request_with_a_known_key_carries_the_name_of_its_caller():
    b = bench()
    assert attempted(b.request(key=ANN)[1])["tenant"] == "ann"
    assert attempted(b.request(key=BOB)[1])["tenant"] == "bob"


def test_an_unknown_or_missing_key_is_401_only_if_the_configuration_is_certain():
    b = bench()
    for proved in (0, CERTAIN_S):
        assert refused(b.request(key=NEVER, proved=proved)[1]) == (401, 202, False)
        assert refused(b.request(key=None, proved=proved)[1]) == (401, 201, False)
        assert refused(b.request(proved=proved)[1]) == (401, 201, False)
    for proved in (CERTAIN_S + 0.01, 60, None):
        assert refused(b.request(key=NEVER, proved=proved)[1]) == (503, 813, True)
        assert refused(b.request(proved=proved)[1]) == (503, 813, True)
        if proved is not None:
            attempted(b.request(key=ANN, proved=proved)[1])  # a known key is still served, but not after a pause


def test_a_request_without_a_route_is_404_whatever_its_key():
    assert refused(bench().request("/q/", key=NEVER)[1])[0] == 404


def test_a_public_route_requires_no_key_and_names_a_known_caller():
    b = bench()
    for key, tenant in ((None, ""), (NEVER, ""), (ANN, "ann")):
        assert attempted(b.request("/p/x", key=key)[1])["tenant"] == tenant


def test_without_callers_in_the_configuration_headers_pass_and_no_request_is_refused():
    b = bench(callers=None)
    assert "tenant" not in attempted(b.request(key=NEVER)[1]) and "tenant" not in attempted(b.request()[1])


def test_with_an_empty_caller_list_every_key_is_unknown():
    assert refused(bench(callers={}).request(key=ANN)[1]) == (401, 202, False)


def test_a_key_is_valid_while_the_configuration_in_force_has_it():
    b = bench()
    attempted(b.request(key=GONE)[1])
    b.configure(route(), callers=WITHOUT_GONE, number=2)
    assert refused(b.request(key=GONE)[1]) == (401, 202, False)
    attempted(b.request(key=ANN)[1])
    b.configure(route(), callers=CALLERS, number=3)
    attempted(b.request(key=GONE)[1])


def test_retries_and_resumed_streams_carry_the_same_tenant():
    """Guards against a retry that discloses the key to the replica or has no tenant, even if the key was revoked meanwhile."""
    b = bench(route(kind="pure", tries=3))
    request_id, _ = b.request(key=GONE)
    b.configure(route(kind="pure", tries=3), callers=WITHOUT_GONE, number=2)
    assert attempted(b.report(request_id, 1, "lost", "reset"))["tenant"] == "ann"
    b = bench(route(resumable=True, tries=3))
    request_id, _ = b.request(key=ANN)
    b.report(request_id, 1, "began", 200)
    b.report(request_id, 1, "first")
    rest = attempted(b.report(request_id, 1, "cut", "4"))
    assert (rest["tenant"], rest["resume"], rest["last_event"]) == ("ann", True, "4")


def test_a_key_stays_hidden_from_retries_if_a_new_configuration_requires_no_keys():
    """Guards against a retry that discloses the key because the callers were removed from the configuration meanwhile."""
    b = bench(route(kind="pure", tries=3))
    request_id, _ = b.request(key=ANN)
    b.configure(route(kind="pure", tries=3), callers=None, number=2)
    assert attempted(b.report(request_id, 1, "lost", "reset"))["tenant"] == "ann"


def test_a_key_is_hidden_from_retries_once_a_new_configuration_requires_keys():
    """Guards against a retry that forwards the headers unchanged although callers are in force by now."""
    b = bench(route(kind="pure", tries=3), callers=None)
    request_id, effects = b.request(key=ANN)
    assert "tenant" not in attempted(effects)
    b.configure(route(kind="pure", tries=3), callers=CALLERS, number=2)
    assert attempted(b.report(request_id, 1, "lost", "reset"))["tenant"] == ""


@pytest.mark.parametrize(
    "route_homes, caller_homes, regions",
    [
        ([], [], {"a", "b", "c"}),
        (["a", "b"], [], {"a", "b"}),
        ([], ["b", "c"], {"b", "c"}),
        (["a", "b"], ["b", "c"], {"b"}),
        (["a"], ["b"], set()),
    ],
)
def test_homes_of_route_and_caller_both_apply(route_homes, caller_homes, regions):
    """Guards against disjoint homes being treated as no homes, which would allow any region."""
    b = bench(route(kind="effectful", tries=9, homes=route_homes), callers={"ann": {"keys": [ANN], "homes": caller_homes}})
    region_of = {"1": "a", "2": "b", "3": "c"}
    met, (request_id, effects) = set(), b.request(key=ANN)
    for number in range(1, 5):
        if effects[0][0] == "answer":
            break
        met.add(region_of[attempted(effects)["replica"]])
        effects = b.report(request_id, number, "unsent", "refused")
    assert met == regions and refused(effects)[0] == 503


def test_the_homes_of_a_caller_apply_on_public_routes_too():
    b = bench()
    assert {attempted(b.request("/p/x", key=BOB)[1])["replica"] for _ in range(9)} == {"2"}


# Guards against a lost order of routes among requests of one caller rank, and against a route rank that overrides a caller rank.
def test_the_rank_of_a_caller_takes_precedence_over_the_rank_of_its_route():
    callers = {"ann": {"keys": [ANN], "rank": 3}, "bob": {"keys": [BOB], "rank": 99}}
    b = bench(route(rank=0), route(prefix="/late/", rank=2), callers=callers)
    urgencies = [attempted(b.request(path, key=key)[1])["urgency"] for key in (ANN, BOB) for path in ("/r/x", "/late/x")]
    assert urgencies == [4, 6, 7, 9]


@pytest.mark.parametrize("rank", [None, 0, 99])
def test_with_equal_caller_ranks_the_route_rank_decides(rank):
    b = bench(route(rank=2), callers={"ann": {"keys": [ANN], "rank": rank}})
    assert attempted(b.request(key=ANN)[1])["urgency"] == 6


def test_a_request_without_a_caller_has_the_homes_and_rank_of_its_route():
    assert effective_homes(("a",), None) == ("a",) and effective_rank(5, None) == 5
    assert effective_homes((), Caller("ann", frozenset(), 0)) == ()


def closed_revocation_holds():
    b = bench(options=CLOSED)
    for proved in (0, 4.49):
        attempted(b.request(key=ANN, proved=proved)[1])
    for proved in (4.5, 60, None):
        assert refused(b.request(key=ANN, proved=proved)[1]) == (503, 813, True)
        assert refused(b.request(key=NEVER, proved=proved)[1]) == (503, 813, True)
        if proved is not None:
            attempted(b.request("/p/x", proved=proved)[1])
    assert refused(b.request("/p/x", proved=None)[1]) == (503, 814, True)  # the proof was dropped by a pause


def test_with_closed_revocation_a_partitioned_daemon_accepts_only_public_routes():
    closed_revocation_holds()


def test_without_closed_revocation_a_partitioned_daemon_accepts_the_keys_that_it_knows():
    b = bench()
    attempted(b.request(key=ANN, proved=60)[1])
    assert refused(b.request(key=ANN, proved=None)[1]) == (503, 814, True)  # not cut off, but paused: the proof was dropped


def test_after_a_pause_no_key_is_accepted_until_the_configuration_is_proved_again():
    """Guards against a paused process that checks keys by an old configuration: the updater drops its proof after a pause."""
    b = bench(options=CLOSED)
    attempted(b.request(key=ANN)[1])
    b.feed("fresh", None)
    assert refused(b.request_unproved(key=ANN)) == (503, 813, True)
    b.feed("fresh", b.now)
    attempted(b.request_unproved(key=ANN))


def test_the_age_of_the_proof_is_checked_when_a_request_is_handled():
    """Guards against a request that waits in a queue while the proof expires: time passes between proof and request."""
    b = bench(options=CLOSED)
    attempted(b.request(key=ANN)[1])
    b.advance(4.6)
    assert refused(b.request_unproved(key=ANN)) == (503, 813, True)


GUARDS = [
    (
        attempts,
        "caller is None and not context.is_configuration_certain(now)",
        "False",
        test_an_unknown_or_missing_key_is_401_only_if_the_configuration_is_certain,
    ),
    (attempts, "if not context.are_keys_certain(now):", "if False:", closed_revocation_holds),
    (attempts, 'if not route.get("public"):', "if True:", test_a_public_route_requires_no_key_and_names_a_known_caller),
    (attempts, 'request.homes = effective_homes(route["homes"], caller)', "pass", test_the_homes_of_a_caller_apply_on_public_routes_too),
    (
        attempts,
        "request.hides_key = request.hides_key or context.callers is not None",
        "request.hides_key = context.callers is not None",
        test_a_key_stays_hidden_from_retries_if_a_new_configuration_requires_no_keys,
    ),
    (
        attempts,
        "request.hides_key = request.hides_key or context.callers is not None",
        "pass",
        test_a_key_is_hidden_from_retries_once_a_new_configuration_requires_keys,
    ),
]


@pytest.mark.parametrize("module, guard, instead, check", GUARDS, ids=[guard for _, guard, _, _ in GUARDS])
def test_removing_a_guard_fails_its_test(monkeypatch, module, guard, instead, check):
    without(monkeypatch, module.__name__, guard, instead, "silverglade.routing.router.Attempts")
    with pytest.raises((AssertionError, KeyError)):
        check()


def reported_callers(effects):
    """Return the callers reported to the usage counter."""
    return [effect[2][1] for effect in effects if effect[0] == "post" and effect[1] == Component.USAGE_COUNTER]


# Guards against a request being charged twice because it was resumed at another replica.
def test_the_usage_counter_is_notified_once_when_a_callers_request_starts_to_run():
    callers = {"ann": {"keys": [ANN]}}
    counting = bench(route(tries=2, resumable=True), callers=callers, options={"duties": ["usage"], "duty_rate": 50.0})
    request_id, _ = counting.request(key=ANN)
    reported = []
    for attempt, outcome, *details in ((1, "began", 200), (1, "first"), (1, "cut", "3"), (2, "began", 200), (2, "first")):
        reported += reported_callers(counting.all_effects("tried", request_id, attempt, outcome, *details))
    assert reported == ["ann"]
    other = bench(route(), callers=callers)
    request_id, _ = other.request(key=ANN)
    assert reported_callers(other.all_effects("tried", request_id, 1, "began", 200)) == []
