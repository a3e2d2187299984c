"""A daemon whose process stood still does not go by what its configuration said before, until that is proved again (design 5.7, 15.3).

Guards against incident served-by-a-dropped-configuration: a daemon that wakes shows keys, runs requests of unknown ones, repeats what
may not be repeated, and leaves the homes of a route, since the configuration that it had before the pause allows it.
"""

import random
from datetime import timedelta

import pytest

from silverglade.configuration.operator_api import OperatorApi
from silverglade.configuration.schema import key_digest
from silverglade.configuration.store_proof import StoreProof
from silverglade.membership.records import MemberRecord
from silverglade.routing import attempts
from silverglade.runtime.daemon_machine import DaemonMachine
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent

from ..support.router_bench import RouterBench, endpoint, only_effect, parsed_configuration, request_facts, route
from ..support.source_mutation import without

SECOND = timedelta(seconds=1)
KEY, UNKNOWN_KEY = key_digest("k"), key_digest("never")
CALLERS = {"ann": {"keys": [KEY]}}


def refused(effects):
    """The status and code of the daemon's answer; one that asks the client to come back says when."""
    _, _, status, wait, code = only_effect(effects, "answer")
    assert (wait is not None) == (status == 503)
    return status, code


def paused(*routes, **fields):
    """A router that has served a request, and whose process has then stood still."""
    bench = RouterBench(*routes, **fields)
    only_effect(bench.request()[1], "try")
    bench.feed("fresh", None)
    return bench


# what the operator changed meanwhile: the routes, and what a request gets once they are proved
CHANGES = {
    "tenants came, a known key": ((route(),), dict(callers=CALLERS), dict(key=KEY), "try"),
    "tenants came, an unknown key": ((route(),), dict(callers=CALLERS), dict(key=UNKNOWN_KEY), 401),
    "an effectful route under a pure one": ((route(kind="pure"), route("f", prefix="/r/x/", kind="effectful")), {}, {}, "try"),
    "homes": ((route(homes=["b"]),), {}, {}, 503),
    "the route is gone": ((route(prefix="/other/"),), {}, {}, 404),
    "nothing": ((route(),), {}, {}, "try"),
}


@pytest.mark.parametrize("change", CHANGES)
def test_a_request_that_arrives_after_a_pause_is_judged_by_what_is_proved_after_it(change):
    routes, fields, facts, then = CHANGES[change]
    bench = paused(route(kind="pure"))
    assert refused(bench.request_unproved("/r/x/y", **facts)) == (503, 814)
    bench.configure(*routes, number=2, **fields)  # the items may come before the proof
    assert refused(bench.request_unproved("/r/x/y", key=KEY)) == (503, 812 if then == 404 else 814)
    bench.feed("fresh", bench.now)
    effects = bench.request_unproved("/r/x/y", **facts)
    if then == "try":
        target = only_effect(effects, "try")[3]
        assert ("tenant" in target) == ("callers" in fields)
    else:
        assert refused(effects)[0] == then


@pytest.mark.parametrize("path", ["/r/x", "/p/x"])
@pytest.mark.parametrize("key", [KEY, UNKNOWN_KEY, None])
def test_neither_a_known_key_nor_a_public_route_is_served_after_a_pause(path, key):
    routes = (route(kind="pure"), route("p", prefix="/p/", public=True))
    bench = RouterBench(*routes, callers=CALLERS)
    only_effect(bench.request(key=KEY)[1], "try")
    bench.feed("fresh", None)
    assert refused(bench.request_unproved(path, key=key)) == (503, 814 if path == "/p/x" or key == KEY else 813)


def test_a_zone_drained_during_the_pause_gets_nothing():
    bench = paused(route(kind="pure"))
    assert refused(bench.request_unproved()) == (503, 814)
    bench.drain("a1")
    bench.feed("fresh", bench.now)
    assert refused(bench.request_unproved()) == (503, 806)


def test_a_request_that_was_sent_nowhere_before_the_pause_is_not_sent_after_it():
    """It waited for the prefill backlogs of two replicas."""
    bench = RouterBench(route(kind="pure", by_prefix=True), replicas=[endpoint(str(number)) for number in range(4)])
    prompt = dict(prefix=(("a", 100), ("b", 20)), tokens=(120, 5))
    only_effect(bench.request(**prompt)[1], "try")
    _, effects = bench.request(**dict(prompt, tokens=(9000, 5)))
    assert {effect[0] for effect in effects} == {"send"}
    bench.feed("fresh", None)
    assert refused(bench.advance(5)) == (503, 814)


def test_what_was_let_in_before_the_pause_may_go_on():
    bench = RouterBench(route(kind="pure", tries=2))
    request_id, effects = bench.request()
    only_effect(effects, "try")
    bench.feed("fresh", None)
    only_effect(bench.report(request_id, 1, "lost", "ReadError"), "try")


def test_a_daemon_is_not_ready_until_it_is_proved_again():
    bench = RouterBench(route())
    bench.feed("fresh", bench.now)

    def is_ready():
        return [effect[3]["ready"] for effect in bench.all_effects("call", "c", "serving", ())]

    assert is_ready() == [True]
    bench.feed("fresh", None)
    assert is_ready() == [False]
    bench.feed("fresh", bench.now)
    assert is_ready() == [True]


def test_a_daemon_that_has_had_no_proof_since_its_start_serves():
    """After a power failure everywhere it may be long until there is a proof."""
    bench = RouterBench.started(parsed_configuration(route()), replicas=(endpoint("1"),))
    bench.feed("fresh", None)
    bench.advance(30)
    only_effect(bench.request_unproved(), "try")


def test_a_proof_is_dropped_only_where_there_was_one():
    proof = StoreProof()
    for proved_at, is_dropped in ((None, False), (SECOND, False), (None, True), (None, True), (2 * SECOND, False)):
        proof.renew(proved_at)
        assert proof.is_dropped == is_dropped and proof.proved_at == proved_at
    assert proof.is_younger_than(SECOND, 3 * SECOND) and not proof.is_younger_than(SECOND, 3.1 * SECOND)


# the daemon machine


def edge_daemon():
    """An edge daemon with one route and one replica, proved to be up to date."""
    now = SECOND
    machine = DaemonMachine(
        name="d1",
        process_id="p",
        zone="a1",
        region="a",
        peer_address="127.0.0.1:1",
        http_address="127.0.0.1:2",
        seeds=("127.0.0.1:3",),
        first_cores=("c1", "c2", "c3"),
        tuning=tuning(trust=True),
        rng=random.Random(1),
        forwarding_address="127.0.0.1:4",
        reads_endpoint_list=True,
    )
    machine.feed(now, ("pulse",))
    machine.feed(now, ("read", (tuple(endpoint("1")),)))
    return machine, now


def run(machine, now, seconds, answers=None):
    """Let the timer fire for a while, and answer each request for updates; return the time then."""
    end = now + timedelta(seconds=seconds)
    while now < end:
        now += SECOND / 20
        for effect in machine.feed(now, ("pulse",)):
            if effect[0] == "send" and effect[2][0] == "get" and answers:
                machine.feed(now, ("msg", effect[1], answers(effect[2])))
    return now


def news(request):
    """A core's answer with the configuration."""
    return ("news", request[1], (1, 1), (("config", (1, 1), parsed_configuration(route(kind="pure"))),), 0, 0, ())


def decided(machine, now, request_id):
    """What becomes of a request: the kinds of the effects that concern it."""
    effects = machine.feed(now, ("request", request_id, request_facts(attempt=request_id)))
    return [effect[:1] for effect in effects if effect[0] in ("try", "answer")]


def test_a_request_that_wakes_with_the_process_is_judged_after_the_pause_is_known():
    """The kernel hands over what a client has sent before the timer of the process fires."""
    machine, now = edge_daemon()
    now = run(machine, now, 3, news)
    assert [
        effect[0] for effect in machine.feed(now, ("request", "q1", request_facts(attempt="t1"))) if effect[0] in ("try", "answer")
    ] == ["try"]
    now += 5 * SECOND  # it stands still
    effects = machine.feed(now, ("request", "q2", request_facts(attempt="q2")))
    assert [effect[2:] for effect in effects if effect[0] == "answer"] == [(503, 0.5, 814)]
    asked_for_news = [effect for effect in effects if effect[0] == "send" and effect[2][0] == "get"]
    _, core, request = asked_for_news[-1]
    assert request[2] == (1, 0)  # as one that lacks the last change, so that the answer comes at once
    machine.feed(now, ("msg", core, news(request)))
    assert [
        effect[0] for effect in machine.feed(now, ("request", "q3", request_facts(attempt="t3"))) if effect[0] in ("try", "answer")
    ] == ["try"]


def test_no_timer_fires_early_while_the_process_runs():
    machine, now = edge_daemon()
    now = run(machine, now, 3, news)
    fired = []
    handle = machine._handle
    machine._handle = lambda at, event: fired.append(event[0]) or handle(at, event)
    machine.feed(now + SECOND / 2, ("request", "q1", request_facts(attempt="t1")))
    assert fired == ["request"]


# a core's directory


def test_a_core_names_no_daemons_by_homes_that_may_have_changed():
    machine = MachineComponent(OperatorApi(own_name="c", tuning=tuning(), rng=random.Random(1)))
    attributes = (("front", "10.0.0.1:1"), ("serves", True))
    record = MemberRecord("d1", "", 1, 1, "a1", "a", "", "", False, "ready", (), attributes)

    def named(at):
        (reply,) = machine.send((at, ("call", "c", "fronts", ("h", "a", "a1"))))
        return reply[2], reply[3].get("fronts")

    machine.send((SECOND, ("roll", (record,))))
    assert named(SECOND) == (100, ["10.0.0.1:1"])  # not yet proved since its start
    machine.send((SECOND, ("fresh", SECOND)))
    machine.send((2 * SECOND, ("fresh", None)))
    assert named(2 * SECOND) == (814, None)
    machine.send((3 * SECOND, ("fresh", 3 * SECOND)))
    assert named(3 * SECOND) == (100, ["10.0.0.1:1"])


# planted breaches

GUARDS = [
    (
        "if self.context.proof.is_dropped and not request.arrivals and not request.open_attempts:",
        "if False:",
        lambda: test_a_request_that_arrives_after_a_pause_is_judged_by_what_is_proved_after_it("homes"),
    ),
    (
        "if self.context.proof.is_dropped and not request.arrivals and not request.open_attempts:",
        "if False:",
        test_a_request_that_was_sent_nowhere_before_the_pause_is_not_sent_after_it,
    ),
]


@pytest.mark.parametrize("guard, instead, check", GUARDS, ids=["arrives", "waited"])
def test_removing_a_guard_fails_its_test(monkeypatch, guard, instead, check):
    without(monkeypatch, attempts.__name__, guard, instead, "silverglade.routing.router.Attempts")
    with pytest.raises(AssertionError):
        check()


def test_a_machine_that_does_not_look_for_a_pause_first_fails_its_test(monkeypatch):
    monkeypatch.setattr(DaemonMachine, "_is_timer_overdue", lambda self, now: False)
    with pytest.raises(AssertionError):
        test_a_request_that_wakes_with_the_process_is_judged_after_the_pause_is_known()
