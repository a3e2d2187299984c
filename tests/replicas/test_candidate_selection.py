"""Where an order goes (design 7.2, 7.4) and who waits for whom (7.3)."""

from datetime import timedelta

import pytest

from silverglade.replicas.candidate_selection import select_candidates
from silverglade.replicas.records import ReplicaEntry, ReplicaRecord, ReplicaStatus
from silverglade.replicas.slot_leases import SlotLeases
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.testbed.experiments.recovery_figures import isolation
from silverglade.testbed.simulator.scenario import Scene
from silverglade.testbed.sites import hamlet

SEC = timedelta(seconds=1)
TUNING = tuning()


def entry(name, zone, *, prefixes=(), used=0, homes=None, state="ready", leaving=False, kind="model", age=0):
    return ReplicaEntry(
        record=ReplicaRecord(name, 1, 1, "a", zone, kind, tuple(homes or [zone]), tuple(prefixes), 4, leaving),
        status=ReplicaStatus(name, 1, 1, 1, state, 0.0, 0.0, 0, 4, used),
        last_contact_at=10 * SEC - age * SEC,
    )


def selected(entries, prefix="", tenant="pair", evac=(), kind="model"):
    return select_candidates(
        replicas={e.record.name: e for e in entries},
        configuration=hamlet()["config"],
        tenant=tenant,
        kind=kind,
        prefix=prefix,
        now=10 * SEC,
        tuning=TUNING,
        drained_zones=set(evac),
        own_leases={},
    )


def test_the_home_region_comes_first_and_nothing_outside_the_homes_ever():
    reps = [entry("n", "north"), entry("m", "middle"), entry("s", "south")]
    assert selected(reps) == (["m"], ["s"])
    assert selected(reps, tenant="lone") == (["n"], [])
    assert selected([entry("m", "middle", homes=["north"]), entry("s", "south", homes=["middle"])]) == ([], ["s"])


@pytest.mark.parametrize("kw", [dict(leaving=True), dict(state="starting"), dict(state="dark"), dict(kind="accounts"), dict(age=4)])
def test_a_replica_that_cannot_take_work_is_not_elected(kw):
    assert selected([entry("m", "middle", **kw), entry("s", "south")]) == ([], ["s"])
    assert selected([entry("m", "middle"), entry("s", "south")], evac=["middle"]) == ([], ["s"])


def test_the_prefix_decides_until_its_replica_is_hot():
    ids = [f"m{i}" for i in range(4)]
    cold = selected([entry(i, "middle") for i in ids], prefix="rules")[0]
    assert selected([entry(i, "middle") for i in reversed(ids)], prefix="rules")[0] == cold  # the same everywhere
    assert {selected([entry(i, "middle") for i in ids], prefix=f"p{k}")[0][0] for k in range(40)} == set(ids)
    last = cold[-1]
    assert selected([entry(i, "middle", prefixes=["rules"] if i == last else []) for i in ids], prefix="rules")[0][0] == last
    loaded = [entry(i, "middle", prefixes=["rules"] if i == last else [], used=3 if i == last else 1) for i in ids]
    hot = selected(loaded, prefix="rules")[0]
    assert hot[0] == cold[0] and hot[-1] == last


def test_without_a_prefix_the_least_burdened_is_taken():
    assert selected([entry("a", "middle", used=3), entry("b", "middle", used=1), entry("c", "middle", used=2)])[0] == ["b", "c", "a"]


def test_freed_slots_go_to_the_waiting_tenant_that_holds_least():
    holder = MachineComponent(SlotLeases(own_name="h", tuning=TUNING))
    sent = []

    def send(seconds, *event):
        """The kinds of the messages that the lease holder sends."""
        messages = [effect for effect in holder.send((seconds * SEC, event)) if effect[0] == "send"]
        sent.extend(messages)
        return [body[0] for _, _, body in messages]

    send(0, "fresh", 0 * SEC)
    send(0, "book", {"duty/ledger/m": ((1, 1), (1, "h", ""))}, (1, 1))
    send(0, "replicas", {"m": entry("m", "middle")})
    send(0, "roll", (("o",) + ("",) * 11, ("q",) + ("",) * 11))
    send(1, "probed", "m", 1, (1, "ready", 0.0, 0.0, 0, True))
    assert send(1, "msg", "o", ("lease", "m", 1, "x", "loud")) == ["unleased"]  # it still listens
    assert [send(2, "msg", "o", ("lease", "m", 1, f"l{i}", "loud"))[0] for i in range(5)] == ["leased"] * 4 + ["unleased"]
    assert send(2, "msg", "q", ("lease", "m", 1, "k0", "quiet")) == ["unleased"]
    sent.clear()
    assert send(2.1, "msg", "o", ("release", "m", "l0", True)) == ["offer"]
    _, to, (_, _, _, _, tenant) = sent[0]
    assert to == "q" and tenant == "quiet"
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
    assert ctx.is_in_home_zone(own, "pair") and not ctx.is_in_home_zone(own, "lone") and not ctx.is_in_home_zone("nobody", "pair")
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
