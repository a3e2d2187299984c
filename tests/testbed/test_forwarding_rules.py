"""Rules about answers: each reports a planted breach, and is silent of the like done right."""

import dataclasses
import inspect
import re

import pytest

from silverglade.testbed.checkers import forwarding_rules as rules
from silverglade.testbed.fake_servers.request_format import ReplicaRequest, plain_answer, seal
from tests.support.planted_breaches import judged, kept

BREACHES = []
breach = kept(BREACHES)


@breach("TWICE")
def run_twice(p, good):
    p.ask(again=good)
    p.run()
    p.run(rep="r2")


@breach("REFUSED")
def refused_though_it_ran(p, good):
    p.ask(again=good)
    p.run()
    p.own(503)


@breach("REFUSED")
def refused_and_runs_later(p, good):
    p.ask()
    p.own(502 if good else 429)
    p.later(1)
    p.run()


@breach("MIXED")
def another_seal(p, good):
    p.ask()
    p.ask("b")
    run, other = p.run(), p.run("b")
    p.r.head(p.now, "a", 200, seal(run, "a") if good else seal(other, "b"))


@breach("MIXED")
def success_of_nothing(p, good):
    p.ask()
    if good:
        p.head(p.run())
    else:
        p.r.head(p.now, "a", 200, None)


@breach("MIXED")
def success_where_the_replica_failed(p, good):
    p.ask(stream=False)
    run = p.run()
    p.r.failed("a", run, 200 if good else 500, plain_answer(run, p.r.sent["a"]))
    p.head(run)


@breach("MIXED")
def short_body(p, good):
    p.ask(stream=False)
    run = p.run()
    p.head(run)
    body = plain_answer(run, ReplicaRequest(attempt="a", body=b"b", path="/r/x", tokens=(10, 80)))
    p.r.data("a", body if good else body[:-1])
    p.end()


@breach("MIXED")
def anothers_events(p, good):
    p.ask()
    p.ask("b")
    run, other = p.run(), p.run("b")
    p.head(run)
    p.stream(run if good else other, [1])


@breach("MIXED")
def failure_of_another(p, good):
    p.ask()
    run = p.run()
    p.r.failed("a", run, 500, b"failed")
    p.r.head(p.now, "a", 500, None)
    p.r.data("a", b"failed" if good else b"else")
    p.end()


@breach("MIXED")
def two_answers(p, good):
    p.ask()
    run = p.run()
    p.head(run)
    if not good:
        p.head(run)


@breach("UNASKED")
def body_changed(p, good):
    p.ask()
    p.run(body=b"b" if good else b"c")


@breach("UNASKED")
def id_of_no_client(p, good):
    p.ask()
    p.run("a" if good else "b")


@breach("ORDER")
def piece_lacks(p, good):
    p.ask()
    run = p.run()
    p.head(run)
    p.stream(run, [1, 2, 3] if good else [1, 3])


@breach("ORDER")
def piece_twice(p, good):
    p.ask()
    run = p.run()
    p.head(run)
    p.stream(run, [1, 2] if good else [1, 1])


@breach("ORDER")
def runs_joined(p, good):
    p.ask(again=True)
    a, b = p.run(), p.run(rep="r2", last=2 if good else 0)
    p.head(a)
    p.stream(a, [1, 2])
    p.stream(b, [3])


@breach("ORDER")
def runs_joined_though_it_may_not_repeat(p, good):
    p.ask(again=good)
    a = p.run()
    p.head(a)
    p.stream(a, [1, 2])
    p.r.runs["x"] = dataclasses.replace(p.r.runs[a], last=2)
    p.stream("x", [3])


@breach("ORDER")
def ends_early(p, good):
    p.ask()
    run = p.run()
    p.head(run)
    ns = list(p.all())
    p.stream(run, ns if good else ns[:-1])
    p.end()


@pytest.mark.parametrize("rule,plant", BREACHES, ids=[fn.__name__ for _, fn in BREACHES])
def test_a_planted_breach_is_caught_and_the_like_done_right_passes(rule, plant):
    judged(rule, plant)


def test_every_rule_has_a_planted_breach():
    from tests.testbed.test_fleet_rules import BREACHES as fleet

    named = set(re.findall(r'bad\(now, "([A-Z]+)"', inspect.getsource(rules)))
    assert named == {r for r, _ in (*BREACHES, *fleet)} and len(named) > 14
