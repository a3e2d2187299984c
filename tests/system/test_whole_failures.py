"""Whole failures (docs/proof.md): any one daemon, a cut-off side, a blackout of everything."""

import pytest

from silverglade.testbed.simulator.scenario import Scene

from ..support.failure_scenarios import SEC, hamlet


@pytest.mark.parametrize("name", ["core-north", "core-middle", "core-south", "edge-north-0", "edge-middle-0", "edge-south-0"])
def test_killing_any_one_daemon_loses_nothing_acknowledged_and_runs_nothing_twice(name):
    s = hamlet(seed=11)
    s.traffic()
    for i in range(6):
        s.w.after(i * SEC / 2, s.put)
    s.w.after(1.3 * SEC, s.w.nodes[name].kill)
    s.w.run(12)
    assert s.finish() == []
    assert sum(c == 100 for _, _, c, _ in s.o.acked) >= 4 and len(s.o.runs) > 60


def test_control_calls_on_a_cut_off_side_or_at_a_joining_daemon_change_nothing():
    s = hamlet()
    mine = ["core-north", "edge-north-0"]
    s.w.cut(mine, [x for x in s.w.nodes if x not in mine])
    s.w.run(3)
    got = []
    s.w.call("edge-north-0", "evac", ("middle", True, "e1"), lambda c, kw: got.append(c))
    s.w.call("edge-north-0", "status", (), lambda c, kw: got.append((c, kw["config"])))
    s.w.run(6)
    assert got == [(100, [1, 2]), 503]  # not known there; asking again by its id settles it
    s.w.heal()
    s.w.run(3)
    s.w.call("edge-north-0", "fleet", (), lambda c, kw: got.append(len(kw["fleet"])))
    s.w.call("edge-north-0", "evac", ("middle", True, "e1"), lambda c, kw: got.append(c))
    s.w.run(3)
    assert got[2:] == [6, 100]
    s.w.nodes["edge-south-0"].kill()
    s.w.cut(["edge-south-0"], [x for x in s.w.nodes if x != "edge-south-0"])
    s.w.nodes["edge-south-0"].boot()
    s.w.run(0.5)
    s.w.call("edge-south-0", "config-put", ((1, 1), "c1", {}), lambda c, kw: got.append(c))
    s.w.run(6)
    assert got[4:] == [504]  # it never knew a primary: surely nothing was changed


def blackout(town, empty=""):
    """Power lost everywhere at once, a core's disk with it if named."""
    s = Scene(town=town, seed=4)
    s.settle()
    s.traffic()
    s.w.run(4)
    s.put()
    s.w.run(1)
    for n in s.w.nodes.values():
        n.kill()
    for r in s.w.replicas.values():
        r.kill()
    if empty:
        s.w.empty_disk(empty)
    s.open = False
    s.w.run(3)
    s.open = True
    return s


@pytest.mark.parametrize("town", ["hamlet", "navrang"])
def test_after_a_blackout_of_everything_service_is_back_within_twelve_seconds(town):
    s = blackout(town)
    s.peace()
    s.w.run(6)
    s.put()  # the view is the old one; who is primary is known all the same
    assert s.finish() == []
    assert [c for _, _, c, _ in s.o.acked] == [100, 100, 100]


def test_claims_lost_with_owner_and_follower_shut_their_shard_until_an_operator_reopens_it():
    s = blackout("navrang", "core-surat")
    s.peace()
    s.w.run(10)
    lost = sorted({dict(r[3])["shard"] for r in s.w.trace if len(r) > 3 and r[2] == "claims-lost"})
    assert lost

    def chats():
        oids = [
            s.order(tenant=t, cls="chat", retry=False, at=s.live(zone=s.t["config"]["tenants"][t]["homes"][0])[0])
            for t in sorted(s.t["config"]["tenants"])
        ]
        s.w.run(6)
        return {s.o.orders[o]["tenant"]: s.o.orders[o]["told"] for o in oids}

    got = chats()
    assert {t for t, x in got.items() if x != ("ok",)} == set(lost)
    assert {x[1] for t, x in got.items() if t in lost} == {303}
    for t in lost + ["nobody"]:
        s.w.call("edge-surat-0", "reopen", (t, f"r{t}"), lambda c, kw: s.o.acked.append((s.w.now, "", c, ())))
    s.w.run(3)
    assert [c for *_, c, _ in s.o.acked[-len(lost) - 1 :]].count(100) == len(lost)
    assert set(chats().values()) == {("ok",)} and s.o.faults == []


def test_a_tenant_taken_out_while_its_orders_wait_is_answered_at_once_and_comes_back():
    s = hamlet()
    for r in s.w.replicas.values():
        r.kill()
    s.w.run(3)
    oids = [s.order(tenant="lone", cls=c, retry=False, old=0, at="edge-north-0") for c in ("chat", "lookup")]
    s.w.run(0.5)
    cfg = dict(s.config("edge-north-0"), body_cap=100100)
    cfg["tenants"] = {t: d for t, d in cfg["tenants"].items() if t != "lone"}
    s.w.call("edge-south-0", "config-put", (s.w.nodes["edge-south-0"].store["config"][0], "out", cfg))
    s.w.run(0.5)
    assert {s.o.orders[o]["told"][1] for o in oids} == {209}
    assert s.o.orders[s.order(tenant="lone", cls="chat", retry=False, at="edge-north-0")]["told"] == ("fault", 202, "no")
    for r in s.w.replicas.values():
        r.boot()
    s.put(kind="tenant")  # back as it was, with its shard's claims
    s.w.run(6)
    oid = s.order(tenant="lone", cls="chat", retry=False, old=0, at="edge-north-0")
    s.w.run(3)
    assert s.o.orders[oid]["told"] == ("ok",)


def test_an_owner_that_becomes_its_own_follower_finds_another_at_once():
    s = hamlet()

    def duty():
        return s.w.nodes["edge-north-0"].store["duty/shard/pair"][1]

    e, _, fol = duty()
    op = ("op", 1, "d1", ("duty", "shard", "pair", e, fol, fol), "k")
    for c in s.w.cores:  # whoever is primary takes it
        s.w.nodes[c].feed(("msg", "edge-north-0", op))
    s.w.run(0.1)
    assert duty() == (e + 1, fol, fol)
    s.w.run(3)
    assert duty()[1] == fol and duty()[2] in set(s.w.cores) - {fol}
    oid = s.order(tenant="pair", cls="chat", retry=False, at="edge-middle-0")
    s.w.run(2)
    assert s.o.orders[oid]["told"] == ("ok",)


def chats(s, secs=3):
    oids = [s.order(tenant="pair", cls="chat", retry=False, old=0, at=at) for at in ("edge-middle-0", "edge-south-0") if at in s.live()]
    s.w.run(secs)
    return {s.o.orders[o]["told"] and s.o.orders[o]["told"][:2] for o in oids}


@pytest.mark.parametrize("how", ["kill", "freeze", "cut"])
def test_two_cores_lost_stop_new_work_within_four_seconds_and_one_that_returns_brings_all_back(how):
    s = hamlet()
    s.traffic()
    two = list(s.w.cores[:2])
    rest = [x for x in list(s.w.nodes) + list(s.w.replicas) if x not in two]
    do = dict(kill=lambda n: n.kill(), freeze=lambda n: n.freeze(True), cut=lambda n: s.w.cut([n.name], rest + two))
    for n in two:
        do[how](s.w.nodes[n])
    s.w.run(4.5)
    t, n = s.w.now, len(s.o.runs)
    s.w.run(4)
    assert all(at <= t + SEC / 10 for at, *_ in list(s.o.runs.values())[n:])  # what was on its way
    assert chats(s) == {("fault", 307)}
    back = dict(kill=lambda n: n.boot(), freeze=lambda n: n.freeze(False), cut=lambda n: s.w.heal())
    back[how](s.w.nodes[two[0]])
    s.w.run(12)
    assert chats(s) == {("ok",)}
    assert s.finish() == []


def test_an_owner_and_its_follower_lost_shut_the_shard_for_unresumable_orders_until_one_returns():
    s = hamlet()
    e, own, fol = s.w.nodes["edge-north-0"].store["duty/shard/pair"][1]
    s.order(tenant="pair", cls="chat", key="once", retry=False, at=own)
    s.w.run(2)
    for n in (own, fol):
        s.w.nodes[n].kill()
    s.w.run(6)
    assert all(x and x[0] == "fault" for x in chats(s))
    s.w.nodes[fol].boot()
    s.w.run(12)
    assert chats(s) == {("ok",)}
    oid = s.order(tenant="pair", cls="chat", key="once", retry=False, attempt=2, at=s.live(zone="south")[0])
    s.w.run(2)
    assert s.o.orders[oid]["told"][1] in (305, 401) and s.o.faults == []  # it is remembered


def test_sides_that_are_started_apart_find_each_other_by_their_seeds_once_the_links_are_back():
    s = hamlet()
    mine = [n.name for n in s.w.nodes.values() if n.zone == "north"]
    s.w.cut(mine, [n for n in s.w.nodes if n not in mine])
    for n in s.w.nodes.values():
        n.kill()
    s.w.run(1)
    for n in s.w.nodes.values():
        n.boot()
    s.w.run(8)
    assert {len(n.members) for n in s.w.nodes.values()} == {2, 4}
    s.w.heal()
    s.w.run(2)
    assert {len(n.members) for n in s.w.nodes.values()} == {6}
    assert s.finish() == []
