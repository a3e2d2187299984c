"""Seeded runs of the forwarding path in which keys are added and revoked (design 17); planted faults are detected in the same runs."""

import pytest

from silverglade.configuration.schema import key_digest
from silverglade.routing import attempts, router
from silverglade.routing.context import RouterContext
from silverglade.runtime.settings import tuning
from silverglade.testbed.checkers.forwarding_records import Bounds
from silverglade.testbed.fake_servers.request_format import SEC
from silverglade.testbed.faults import forwarding_faults as forward_faults
from silverglade.testbed.simulator.forwarding_scenario import Scene

from ..support.source_mutation import without
from .test_router_seeds import effects

REVOKE = 5 * SEC
CLOSED = dict(opt=tuning(keys_alone=4.5), bounds=Bounds(revoke=REVOKE))
FAULTS = ("keys", "keys", "change", "cut_region", "cut_machine", "kill", "freeze", "sleep", "term")


def run_with_keys(**kw):
    """Run with key changes and partitioned daemons; return the scene and the rules broken."""
    return forward_faults.run(**{**dict(town="hamlet", secs_=14, gap=0.7, keys=True, kinds=FAULTS), **kw})


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_run_with_closed_revocation_breaks_no_rule(seed):
    scene, broken = run_with_keys(seed=seed, **CLOSED)
    assert broken == []
    answers = scene.told()
    assert answers["200"] > 200 and answers["401"] > 20
    assert len({repr(raw["callers"]) for raw in scene.raws.values()}) > 2  # keys were added and revoked


@pytest.mark.parametrize("town, seed", [("navrang", 5), ("banyan", 6)])
def test_a_run_with_all_faults_and_keys_breaks_no_rule(town, seed):
    scene, broken = run_with_keys(town=town, seed=seed, kinds=forward_faults.ALL, gap=2.0)
    assert broken == [] and scene.told()["200"] > 200


def scene_with_partitioned_daemon(closed=True):
    """Partition one daemon from all others and revoke a key; return the scene, the daemon and the key."""
    s = Scene(town="hamlet", seed=1, keys=True, **(CLOSED if closed else {}))
    s.settle()
    cut = "edge-north-0"
    key = next(key for key, holder in s.keys.holders.items() if holder == "cid")
    others = [name for name in s.w.nodes if name != cut]
    s.w.cut([cut], others, True)
    s.f.busy.append(cut)
    callers = {name: dict(fields) for name, fields in s.raw()["callers"].items()}
    callers["cid"]["keys"] = [digest for digest in callers["cid"]["keys"] if digest != key_digest(key)]
    before = len(s.taken)
    while len(s.taken) == before:
        s.put(dict(s.raw(), callers=callers))
        s.w.run(2)
    return s, s.w.nodes[cut], key


def request_at_partitioned_daemon(s, node, key):
    """Send one request of a client to the partitioned daemon; return the status."""
    s.f.fronts = lambda zone, held=False: [node]
    row, r = next(row for row in s.t["mix"] if row[0] == "fetch"), next(r for r in s.t["config"]["routes"] if r["name"] == "fetch")
    before = dict(s.why)
    s.go(row=row, z=node.zone, r=r, path="/fetch/1", body=b"b", parts=(), tokens=(0, 20), due=3 * SEC, tries=1, last=0, key=key)
    s.w.run(4)
    return next(status for status, count in s.why.items() if count != before.get(status, 0))


def test_a_partitioned_daemon_refuses_a_revoked_key():
    """Guards against a revoked key that stays valid in a partition: with closed revocation no request that requires a key runs there."""
    s, node, key = scene_with_partitioned_daemon()
    s.w.run(5)
    assert request_at_partitioned_daemon(s, node, key) == 503
    assert s.r.faults == []


def test_without_closed_revocation_a_partitioned_daemon_accepts_a_revoked_key():
    s, node, key = scene_with_partitioned_daemon(closed=False)
    s.w.run(5)
    assert request_at_partitioned_daemon(s, node, key) == 200
    assert s.r.faults == []


def test_the_checker_detects_a_partitioned_daemon_that_accepts_revoked_keys(monkeypatch):
    monkeypatch.setattr(RouterContext, "are_keys_certain", lambda self, now: True)
    s, node, key = scene_with_partitioned_daemon()
    s.w.run(5)
    assert request_at_partitioned_daemon(s, node, key) == 200
    assert [fault[1:3] for fault in s.r.faults] == [("CONFIG", "its key was taken away")]


def keep_first_callers(mp):
    """Make the router keep the callers of the first configuration."""
    real, kept = router.build_caller_table, []

    def build(configuration):
        kept[:] = kept or [real(configuration)]
        return kept[0]

    mp.setattr(router, "build_caller_table", build)


def unguarded(guard, instead):
    return lambda mp: without(mp, attempts.__name__, guard, instead, "silverglade.routing.router.Attempts")


def with_changed_target(**changed):
    """Return a plant that changes fields of attempt targets, such as the tenant; None removes it."""

    def turn(now, e):
        if e[0] != "try":
            return (e,)
        target = {name: value for name, value in {**e[3], **changed}.items() if name != "tenant" or value is not None}
        return ((*e[:3], target),)

    return effects(turn)


PLANTED = [
    ("UNASKED", with_changed_target(tenant="mallory")),
    ("UNASKED", with_changed_target(tenant=None)),
    ("ROUTE", unguarded('if not route.get("public"):', "if False:")),
    ("CONFIG", keep_first_callers),
    ("CONFIG", unguarded("if caller is None:", "if caller is None or now.total_seconds() > 14:")),
    ("HOME", unguarded('request.homes = effective_homes(route["homes"], caller)', "pass")),
]


@pytest.mark.parametrize("rule, plant", PLANTED, ids=[f"{rule}-{number}" for number, (rule, _) in enumerate(PLANTED)])
def test_a_planted_fault_in_key_handling_is_detected(monkeypatch, rule, plant):
    plant(monkeypatch)
    assert rule in {broken[1] for broken in run_with_keys(seed=1, stop=True, kinds=("keys",), **CLOSED)[1]}
