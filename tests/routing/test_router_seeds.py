"""Seeded runs of the forwarding path (design 15); each planted fault breaks a rule in the same runs."""

import itertools
import os
import subprocess
import sys

import pytest

from silverglade.routing import attempts
from silverglade.routing.request import Request
from silverglade.routing.retry_budget import RetryBudget
from silverglade.routing.router import Router
from silverglade.routing.slow_start import SlowStart
from silverglade.runtime import daemon_components
from silverglade.runtime.effects import to_tuple
from silverglade.runtime.events import event_to_tuple
from silverglade.runtime.settings import tuning
from silverglade.testbed.checkers.forwarding_records import Bounds
from silverglade.testbed.faults import forwarding_faults as forward_faults
from silverglade.testbed.simulator.forwarding_scenario import Scene


@pytest.mark.parametrize("town", ["navrang", "banyan"])
def test_a_run_without_faults_serves_all_requests(town):
    s = Scene(town=town, seed=1)
    s.settle()
    s.traffic()
    s.w.run(10)
    assert s.finish() == []
    n = s.told()
    assert n.pop("200") > 300 and sum(n.values()) == n.get("404", 0)  # requests on routes that never existed


@pytest.mark.parametrize("town,seed", [("navrang", 1), ("banyan", 2), ("drawn", 3)])
def test_a_run_with_all_faults_breaks_no_rule(town, seed):
    s, bad = forward_faults.run(town=town, seed=seed, secs_=20)
    assert bad == []
    assert s.told()["200"] > 200


DAY = """
from silverglade.testbed.faults import forwarding_faults as forward_faults
s = forward_faults.run(town="hamlet", seed=5, secs_=8)[0]
print(len(s.w.trace), s.why, s.w.trace)
"""


def test_a_run_is_deterministic_across_processes():
    a, b = (
        subprocess.run(
            [sys.executable, "-c", DAY], env=dict(os.environ, PYTHONHASHSEED=h), capture_output=True, text=True, check=True
        ).stdout
        for h in "12"
    )
    assert a == b and int(a.split()[0]) > 20


def intercepted(monkeypatch, turn, ev=lambda now, ev: ev):
    """Replace the router by one whose effects and events pass through `turn` and `ev`."""
    real = daemon_components.MachineComponent

    class Intercepted(real):
        def handle(self, now, event):
            raw_event = ev(now, event if isinstance(event, tuple) else event_to_tuple(event))
            for effect in super().handle(now, raw_event) if raw_event else ():
                raw_effect = to_tuple(effect)
                for changed in turn(now, raw_effect):
                    yield effect if changed == raw_effect else changed

    def component(machine):
        return (Intercepted if isinstance(machine, Router) else real)(machine)

    monkeypatch.setattr(daemon_components, "MachineComponent", component)


def eligible_replicas(**wrong):
    """Return a plant that makes the router ignore one of the rules for eligible replicas."""

    def fn(mp):
        real = attempts.eligible_replicas

        def f(reps, **kw):
            if "service" in wrong:
                kw["service"] = None
                reps = list(reps)
                return [r for r in reps if r.gone_since is None and not r.is_leaving and r.id not in kw["tried"]]
            if "leaving" in wrong:
                return [
                    r
                    for r in reps
                    if r.service == kw["service"]
                    and r.id not in kw["tried"]
                    and r.zone not in kw["drained_zones"]
                    and (not kw["homes"] or r.region in kw["homes"])
                ]
            return real(reps, **{**kw, **wrong})

        mp.setattr(attempts, "eligible_replicas", f)

    return fn


def effects(turn, **kw):
    return lambda mp: intercepted(mp, turn, **kw)


def nth(n, make):
    """Return a function that replaces every n-th started attempt."""
    k = itertools.count(1)
    return lambda now, e: make(e) if e[0] == "try" and next(k) % n == 0 else (e,)


def every_tenth_stream_taken_for_cut():
    """Return a function that reports every tenth stream as broken off as soon as its first events were forwarded."""
    k = itertools.count(1)
    return lambda now, e: ("tried", e[1], e[2], "cut", None) if e[0] == "tried" and e[3] == "first" and next(k) % 10 == 0 else e


def configuration_stuck(now, ev, seen=[]):  # noqa: B006
    return ev if ev[0] != "book" or now.total_seconds() < 14 else None


def configuration_alternating():
    old = {}

    def ev(now, got):
        if got[0] == "book" and "config" in got[1]:
            if now.total_seconds() < 15:
                old["book"] = got[1]
            elif int(now.total_seconds() * 2) % 2:
                return ("book", old.get("book", got[1]), got[2])
        return got

    return ev


def without_last_event(now, e):
    return (("try", *e[1:3], dict(e[3], last_event=None)),) if e[0] == "try" and e[3]["resume"] else (e,)


def all_repeatable(mp):
    mp.setattr(Request, "is_repeatable", property(lambda request: True))


def unlimited_retries(mp):
    mp.setattr(RetryBudget, "spend", lambda *a, **kw: True)


def unlimited_slow_start(mp):
    mp.setattr(SlowStart, "take", lambda *a, **kw: True)


def drop_error_answers(now, e):
    return () if e[0] == "answer" and e[2] in (502, 503, 504) else (e,)


def allow_nine_attempts(mp):
    """Make the router treat every route as one that allows nine attempts."""
    real = attempts.find_route

    def find_route(*a):
        found = real(*a)
        return found and dict(found, tries=9)

    mp.setattr(attempts, "find_route", find_route)


PLANTED = [
    ("TRIES", allow_nine_attempts, ("spoil",), dict(gap=0.2, town="navrang")),
    ("DUE", effects(lambda now, e: (("try", *e[1:3], dict(e[3], deadline_ms=60000)),) if e[0] == "try" else (e,)), (), {}),
    ("DRAIN", eligible_replicas(leaving=False), ("release",), {}),
    ("EVAC", eligible_replicas(drained_zones=frozenset()), ("evacuate",), {}),
    ("HOME", eligible_replicas(homes=()), (), {}),
    ("ROUTE", eligible_replicas(service=None), (), {}),
    ("TWICE", all_repeatable, ("crash", "spoil"), {}),
    ("BUDGET", unlimited_retries, ("spoil",), dict(opt=tuning(budget_slack=0.0), bounds=Bounds(slack=2), gap=0.3)),
    ("FAILBACK", unlimited_slow_start, ("cold_return",), {}),
    ("REFUSED", effects(lambda now, e: (("answer", e[1], 503, 0.1, 1),) if e[0] == "answer" and e[2] == 502 else (e,)), ("spoil",), {}),
    ("LOST", lambda mp: intercepted(mp, lambda now, e: (e,), ev=every_tenth_stream_taken_for_cut()), (), {}),
    ("ORDER", effects(without_last_event), ("crash",), dict(pace=3.0)),
    ("CONFIG", lambda mp: intercepted(mp, lambda now, e: (e,), ev=configuration_stuck), ("change",), {}),
    ("CONFIG", lambda mp: intercepted(mp, lambda now, e: (e,), ev=configuration_alternating()), ("change",), {}),
    ("RECOVER", effects(lambda now, e: (("answer", e[1], 502, None, 1),) if e[0] == "try" and now.total_seconds() > 14 else (e,)), (), {}),
    ("DENIED", effects(nth(20, lambda e: (("answer", e[1], 403, None, 1),))), (), {}),
    ("SILENT", effects(drop_error_answers), ("spoil",), {}),
    ("LEAK", lambda mp: intercepted(mp, lambda now, e: (e,), ev=lambda now, e: None if e[0] == "tried" and e[3] == "done" else e), (), {}),
]


SOUND = {}  # rules broken by the unmodified router in the same runs: none


@pytest.mark.parametrize("rule,plant,kinds,kw", PLANTED, ids=[f"{r}-{i}" for i, (r, *_) in enumerate(PLANTED)])
def test_a_planted_fault_is_detected(monkeypatch, rule, plant, kinds, kw):
    kw = dict(dict(gap=1.5, town="hamlet", seed=2, kinds=kinds or ("swing",), secs_=14), **kw)
    if (key := repr(kw)) not in SOUND:
        SOUND[key] = forward_faults.run(**kw)[1]
    assert SOUND[key] == []
    plant(monkeypatch)
    assert rule in {b[1] for b in forward_faults.run(stop=True, **kw)[1]}
