"""Where an order goes (design 7.2, 7.4) and who waits for whom (7.3)."""

from datetime import timedelta

import pytest

from silverglade.replicas import slot_leases as lg
from silverglade.replicas.candidate_selection import select_candidates
from silverglade.runtime.effects import start
from silverglade.runtime.settings import tuning
from silverglade.testbed.experiments.recovery_figures import isolation
from silverglade.testbed.simulator.scenario import Scene
from silverglade.testbed.sites import hamlet

SEC = timedelta(seconds=1)
OPT = tuning()


def rep(i, zone, *, prefixes=(), used=0, homes=None, state="ready", leaving=False, kind="model", age=0):
    return (
        (i, 1, 1, "a", zone, kind, tuple(homes or [zone]), tuple(prefixes), 4, leaving),
        (i, 1, 1, 1, state, 0.0, 0.0, 0, 4, used),
        10 * SEC - age * SEC,
    )


def go(reps, prefix="", tenant="pair", evac=(), kind="model"):
    return select_candidates(
        reps={r[0][0]: r for r in reps},
        cfg=hamlet()["config"],
        tenant=tenant,
        kind=kind,
        prefix=prefix,
        now=10 * SEC,
        opt=OPT,
        evac=set(evac),
        extra={},
    )


def test_the_home_region_comes_first_and_nothing_outside_the_homes_ever():
    reps = [rep("n", "north"), rep("m", "middle"), rep("s", "south")]
    assert go(reps) == (["m"], ["s"])
    assert go(reps, tenant="lone") == (["n"], [])
    assert go([rep("m", "middle", homes=["north"]), rep("s", "south", homes=["middle"])]) == ([], ["s"])


@pytest.mark.parametrize("kw", [dict(leaving=True), dict(state="starting"), dict(state="dark"), dict(kind="accounts"), dict(age=4)])
def test_a_replica_that_cannot_take_work_is_not_elected(kw):
    assert go([rep("m", "middle", **kw), rep("s", "south")]) == ([], ["s"])
    assert go([rep("m", "middle"), rep("s", "south")], evac=["middle"]) == ([], ["s"])


def test_the_prefix_decides_until_its_replica_is_hot():
    ids = [f"m{i}" for i in range(4)]
    cold = go([rep(i, "middle") for i in ids], prefix="rules")[0]
    assert go([rep(i, "middle") for i in reversed(ids)], prefix="rules")[0] == cold  # the same everywhere
    assert {go([rep(i, "middle") for i in ids], prefix=f"p{k}")[0][0] for k in range(40)} == set(ids)
    last = cold[-1]
    assert go([rep(i, "middle", prefixes=["rules"] if i == last else []) for i in ids], prefix="rules")[0][0] == last
    hot = go([rep(i, "middle", prefixes=["rules"] if i == last else [], used=3 if i == last else 1) for i in ids], prefix="rules")[0]
    assert hot[0] == cold[0] and hot[-1] == last


def test_without_a_prefix_the_least_burdened_is_taken():
    assert go([rep("a", "middle", used=3), rep("b", "middle", used=1), rep("c", "middle", used=2)])[0] == ["b", "c", "a"]


def test_freed_slots_go_to_the_waiting_tenant_that_holds_least():
    g = start(lg.ledger(me="h", opt=OPT))
    out = []

    def send(t, *ev):
        got = g.send((t * SEC, ev))
        out.extend(e for e in got if e[0] == "send")
        return [e[2][0] for e in got if e[0] == "send"]

    send(0, "fresh", 0 * SEC)
    send(0, "book", {"duty/ledger/m": ((1, 1), (1, "h", ""))}, (1, 1))
    send(0, "replicas", {"m": rep("m", "middle")})
    send(0, "roll", (("o",) + ("",) * 11, ("q",) + ("",) * 11))
    send(1, "probed", "m", 1, (1, "ready", 0.0, 0.0, 0, True))
    assert send(1, "msg", "o", ("lease", "m", 1, "x", "loud")) == ["unleased"]  # it still listens
    assert [send(2, "msg", "o", ("lease", "m", 1, f"l{i}", "loud"))[0] for i in range(5)] == ["leased"] * 4 + ["unleased"]
    assert send(2, "msg", "q", ("lease", "m", 1, "k0", "quiet")) == ["unleased"]
    out.clear()
    assert send(2.1, "msg", "o", ("release", "m", "l0", True)) == ["offer"]
    assert out[0][1] == "q" and out[0][2][4] == "quiet"
    assert send(2.2, "msg", "o", ("lease", "m", 2, "z", "loud")) == ["unleased"]  # another epoch


def test_a_crowd_at_one_tenant_leaves_another_served():
    alone, lost = isolation("navrang", 1, False)
    beside, lost2 = isolation("navrang", 1, True)
    assert lost == lost2 == 0 and len(alone) == len(beside) == 40
    assert max(beside) < 2 * max(alone)


def test_orders_spill_only_when_the_home_is_short_and_full():
    def spills(pace):
        s = Scene(town="hamlet", seed=2)
        s.settle()
        for i in range(int(40 * pace)):
            s.w.after(i * SEC / (4 * pace), lambda: s.order(tenant="pair", cls="chat", at="edge-middle-0", retry=False))
        s.w.run(12)
        zones = {s.w.replicas[r].zone for _, r, _ in s.o.runs.values()}
        assert s.o.faults == [] and len(s.o.runs) > 15
        return zones == {"middle", "south"}

    assert not spills(0.5)
    assert spills(8)


def test_an_owner_in_a_zone_that_is_no_home_any_more_is_not_asked():
    """Homes moved while the duty was not yet (navrang 2077): the ingress waits until it is."""
    s = Scene(town="hamlet")
    s.settle()
    own = s.w.nodes["edge-middle-0"].store["duty/shard/pair"][1][1]
    at = next(n for n in ("edge-middle-0", "edge-south-0") if n != own)
    n, sent = s.w.nodes[at], []
    ctx = n.tenant_context
    assert ctx.is_at_home(own, "pair") and not ctx.is_at_home(own, "lone") and not ctx.is_at_home("nobody", "pair")
    here = s.w.nodes[own].zone
    book = dict(ctx.store)
    v, cfg = book["config"]
    book["config"] = (
        v,
        dict(
            cfg,
            tenants=dict(
                cfg["tenants"], pair=dict(cfg["tenants"]["pair"], homes=tuple(z for z in ("middle", "south", "north") if z != here))
            ),
        ),
    )
    ctx.set_store(book)
    s.w.effect = lambda n, e: sent.append(e) if e[0] == "send" and e[2][0] in ("ask", "hand") else None
    s.order(tenant="pair", cls="lookup", at=at, retry=False, old=0)
    s.w.run(0.2)
    assert [e for e in sent if e[1] == own] == []
