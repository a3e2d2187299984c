"""The oracle itself: every rule reports a planted breach, and is silent of the same thing done right."""

import inspect
import re
from datetime import timedelta

import pytest

from silverglade.testbed.checkers import invariant_monitor
from silverglade.testbed.checkers import request_oracle as oracle
from silverglade.testbed.simulator import scenario as scene
from silverglade.testbed.simulator.scenario import Scene

SEC = timedelta(seconds=1)


class Plant:
    """A town whose oracle is fed by hand."""

    def __init__(self):
        self.s = Scene(town="hamlet")
        self.o, self.w = self.s.o, self.s.w
        self.cfg = dict(self.s.t["config"], body_cap=100001)
        self.o.put_history.asked(self.w.now, 100001, self.cfg)
        self.put(100, (1, 1), 100001)
        self.w.now += 6 * SEC
        self.n = 0

    def put(self, code, v, tag):
        self.o.put_history.told(self.w.now, tag, code, v)
        self.o.acked.append((self.w.now, tag, code, v))

    def ask(self, oid="a", tenant="pair", cls="chat", key="k", attempt=1, who="edge-middle-0", left=20, **kw):
        facts = dict(
            tenant=tenant,
            key=key,
            cls=cls,
            resumable=cls != "chat",
            body=b"b",
            attempt=attempt,
            who=who,
            life=self.w.nodes[who].life,
            bearer=f"key-{tenant}",
            left=left * SEC,
        )
        self.o.asked(oid, **{**facts, **kw})
        return oid

    def run(self, did="a.1", rid="model-middle-0", tenant="pair", body=b"b", running=1):
        self.o.ran(self.w.replicas[rid], did, dict(tenant=tenant), body, running)

    def stream(self, oid, dids, ks=(1, 2, 3, 4, 5)):
        for k, d in zip(ks, dids):
            self.o.result(oid, ("piece", k, f"{d}|{k}".encode()))
        self.o.result(oid, ("done", len(ks)))

    def later(self, secs):
        self.w.now += secs * SEC


def ran_twice(p, good):
    p.ask()
    p.run()
    p.ask("b", key="other" if good else "k")
    p.run("b.1")


def not_run_but_ran(p, good):
    p.ask()
    p.run()
    p.o.result("a", ("fault", 402, "maybe" if good else "no", None))
    p.o.promises()


def not_run_but_another_had_run(p, good):
    p.ask()
    p.run()
    p.later(p.o.flight / SEC * (0.9 if good else 1.1))  # the answer crosses two hops at most
    p.ask("b", attempt=2)
    p.o.result("b", ("fault", 305, "no", None))
    p.o.promises()


def foreign_body(p, good):
    p.ask(cls="receipt")
    p.ask("b", cls="receipt")
    p.run()
    p.run("b.1")
    p.o.finished("a.1")
    p.o.finished("b.1")
    p.o.result("a", ("whole", b"a.1|whole" if good else b"b.1|whole"))


def success_unearned(p, good):
    p.ask(cls="receipt")
    p.run()
    if good:
        p.o.finished("a.1")
    p.o.result("a", ("whole", b"a.1|whole"))


def stream_unearned(p, good):
    p.ask()
    p.run()
    if good:
        p.o.finished("a.1")
    p.stream("a", ["a.1"] * 5)


def joined_runs(p, good):
    p.ask()
    p.run()
    p.o.finished("a.1")
    p.stream("a", ["a.1"] * 3 + (["a.1"] if good else ["a.2"]) * 2)


def pieces(p, good):
    p.ask()
    p.run()
    p.o.finished("a.1")
    p.stream("a", ["a.1"] * 5, (1, 2, 3, 4, 5) if good else (1, 2, 4, 4, 5))


def answered_twice(p, good):
    p.ask()
    p.o.result("a", ("fault", 301, "no", None))
    if not good:
        p.o.result("a", ("fault", 301, "no", None))


def run_of_nothing(p, good):
    p.ask()
    p.run("a.1" if good else "z.1")


def dispatch_twice(p, good):
    p.ask(cls="lookup")
    p.run()
    p.run("a.2" if good else "a.1")


def outside_homes(p, good):
    p.ask()
    p.run(rid="model-south-0" if good else "model-north-0")


def homes_moved(p, good):
    cfg = dict(p.cfg, tenants={**p.cfg["tenants"], "pair": dict(p.cfg["tenants"]["pair"], homes=["south"])})
    p.o.put_history.asked(p.w.now, 100002, cfg)
    p.put(100, (1, 2), 100002)
    p.later(4.9 if good else 5.1)
    p.ask()
    p.run()  # at middle, which is no home any more


def key_revoked(p, good):
    cfg = dict(p.cfg, tenants={**p.cfg["tenants"], "pair": dict(p.cfg["tenants"]["pair"], keys=["0" * 32])})
    p.o.put_history.asked(p.w.now, 100002, cfg)
    p.put(501 if good else 100, (1, 2), 100002)
    p.later(5.1)
    p.ask()
    p.run()


def told_outside_homes(p, good):
    p.ask()
    n = p.w.nodes
    p.o.monitor.sent(n["edge-middle-0"], n["edge-south-0" if good else "edge-north-0"], ("ask", "a"))


def piece_outside_homes(p, good):
    p.ask(who="edge-north-0")  # its visitor called it: the one exception
    n = p.w.nodes
    p.o.monitor.sent(n["edge-middle-0"], n["edge-north-0" if good else "core-north"], ("res", "a", 1, "piece"))


def foreign_prompt(p, good):
    p.ask()
    p.run(body=b"b" if good else b"c")


def flooded(p, good):
    p.ask()
    p.run(running=2 if good else 3)  # cold: two are borne


def work_after_leaving(p, good):
    p.o.left[("model-middle-0", 1)] = p.w.now
    p.later(5 if good else 5.1)
    p.ask()
    p.run()


def work_after_emptying(p, good):
    p.o.emptied.append(("middle", p.w.now, None))
    p.later(5 if good else 5.1)
    p.ask()
    p.run()


def retries(p, good):
    for i in range(10):
        p.ask(f"f{i}", cls="lookup", key=f"f{i}")
        p.later(3)
    for i in range(3 if good else 4):  # a fifth of ten, and one
        p.run(f"f{i}.2")


def retries_ask_again(p, good):
    """The oracle knows itself which keys were asked before, whatever their header says."""
    p.ask("f", key="same", cls="lookup")
    for i in range(2):
        p.ask(f"g{i}", key=f"new{i}" if good else "same", cls="lookup")
        p.run(f"g{i}.1")


def late_answer(p, good):
    p.ask(left=2)
    p.later(2 + p.o.slack / SEC * (0.99 if good else 1.01))
    p.o.result("a", ("fault", 301, "no", None))


def slipped_back(p, good):
    n, v = p.w.nodes["core-north"], [(1, 5), (1, 6 if good else 4)]
    for i, x in enumerate(v):
        n.store["config"] = (x, p.cfg)
        p.o.monitor.check_versions()
        if not i:  # through a restart, too
            n.kill()
            n.boot()
            p.o.monitor.check_versions()


def not_in_force(p, good):
    n = p.w.nodes["core-north"]
    n.store["config"] = ((1, 7 if good else 6), p.cfg)
    p.o.monitor.reachable_since = {(n.life, n.life): p.w.now - SEC}  # it alone could reach control
    p.o.monitor.check_in_force((1, 7), p.w.now - SEC / 2, [n.life])


def calls(p, version, tag):
    p.w.call = lambda name, op, args, then: then(100, dict(version=version, config=tag))


def acknowledged_forgotten(p, good):
    p.put(100, (1, 2), 100002)
    calls(p, (1, 2) if good else (1, 1), 100002 if good else 100001)
    p.o.close(lambda c: c)


def refused_in_force(p, good):
    p.put(501, (), 100002)
    calls(p, (1, 1), 100001 if good else 100002)
    p.o.close(lambda c: c)


def configs_differ(p, good):
    it = iter([(1, 1), (1, 1) if good else (1, 2), *[(1, 1)] * 9])
    p.w.call = lambda name, op, args, then: then(100, dict(version=next(it), config=100001))
    p.o.close(lambda c: c)


def not_back(p, good):
    if not good:
        for r in p.w.replicas.values():
            r.boot = lambda warm=False: None
            r.kill()
    p.s.settle()
    p.s.finish()


def never_answered(p, good):
    p.s.settle()
    oid = p.s.order(tenant="pair", cls="chat", retry=False)
    if not good:
        p.w.run(2)
        p.o.orders[oid].update(told=None)
    p.s.finish()


PLANTS = {
    f: rule
    for rule, fs in {
        "ran-twice": [ran_twice],
        "not-run-but-ran": [not_run_but_ran, not_run_but_another_had_run],
        "foreign-body": [foreign_body],
        "success-unearned": [success_unearned, stream_unearned],
        "joined-runs": [joined_runs],
        "pieces": [pieces],
        "answered-twice": [answered_twice],
        "run-of-nothing": [run_of_nothing],
        "dispatch-twice": [dispatch_twice],
        "outside-homes": [outside_homes, homes_moved],
        "key-not-in-force": [key_revoked],
        "told-outside-homes": [told_outside_homes, piece_outside_homes],
        "foreign-prompt": [foreign_prompt],
        "flooded": [flooded],
        "work-after-leaving": [work_after_leaving],
        "work-after-emptying": [work_after_emptying],
        "retries": [retries, retries_ask_again],
        "late-answer": [late_answer],
        "slipped-back": [slipped_back],
        "not-in-force": [not_in_force],
        "acknowledged-forgotten": [acknowledged_forgotten],
        "refused-in-force": [refused_in_force],
        "configs-differ": [configs_differ],
        "not-back": [not_back],
        "never-answered": [never_answered],
    }.items()
    for f in fs
}


@pytest.mark.parametrize("plant", PLANTS, ids=lambda f: f.__name__)
def test_a_planted_breach_is_reported_and_the_like_done_right_is_not(plant):
    p = Plant()
    plant(p, False)
    assert PLANTS[plant] in {b[1] for b in p.o.faults}
    p = Plant()
    plant(p, True)
    assert p.o.faults == []


def test_every_rule_of_the_oracle_has_a_planted_breach():
    src = "".join(inspect.getsource(m) for m in (oracle, scene, invariant_monitor))
    assert set(re.findall(r'bad\("([a-z-]+)"', src)) == set(PLANTS.values())
