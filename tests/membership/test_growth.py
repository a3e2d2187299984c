"""Names come and go for days; what is kept of those gone does not grow (design 5.6, 7.1)."""

from silverglade.control import outcomes
from silverglade.control import replicated_state as bk
from silverglade.runtime.effects import milliseconds
from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import Scene
from silverglade.testbed.simulator.tenant_replicas import Replica


def kept(s):
    """The most that any daemon and any disk keeps: replica records, duties, book, claims on disk."""
    ns = s.w.nodes.values()
    rows = [n.disk.data for n in ns if n.core]
    return dict(
        replicas=max(len(n.replica_records) + len(n.leaving_replicas) for n in ns),
        duties=max(sum(k.startswith("duty/") for k in n.store) for n in ns),
        stored=max(sum(k.startswith("duty/") and v[1] is not None for k, v in d.get("book", {}).items()) for d in rows),
        shards=max(len(d.get("shard", {})) for d in rows),
        claims=max(len(d.get("claim", {})) for d in rows),
    )


def days(rounds):
    s = Scene(town="hamlet", opt=tuning(forget=10))
    s.settle()
    s.traffic()
    base = s.t["config"]
    for k in range(rounds):
        cfg = dict(base, body_cap=100100 + k, tenants={**base["tenants"], f"guest-{k}": dict(base["tenants"]["pair"], keys=[f"{k:032x}"])})
        at = s.live()[0]
        s.w.call(at, "config-put", (s.w.nodes[at].store["config"][0], f"in{k}", cfg))
        r = s.w.replicas[f"passing-{k}"] = Replica(world=s.w, rid=f"passing-{k}", zone="south")
        r.boot()
        s.w.run(2.5)
        s.leave(r.rid)
        s.w.run(1.5)
        r.kill()
        del s.w.replicas[r.rid]
    at = s.live()[0]
    s.w.call(at, "config-put", (s.w.nodes[at].store["config"][0], "last", dict(base, body_cap=100099)))
    return s


def test_what_is_kept_of_replicas_and_tenants_gone_does_not_grow():
    s = days(12)
    assert s.o.faults == [] and kept(s)["duties"] >= 8
    s.open = False
    s.w.run(25)
    few = kept(s)
    assert few == dict(replicas=3, duties=5, stored=5, shards=1, claims=few["claims"])
    s.open = True
    s.traffic()
    s.w.run(3)
    assert s.finish() == []


def test_a_tenant_that_was_forgotten_and_returns_begins_above_the_floor():
    s = Scene(town="hamlet", opt=tuning(forget=5))
    s.settle()
    s.order(tenant="pair", cls="chat", key="old", retry=False)
    s.w.run(2)
    e = s.w.nodes["core-north"].store["duty/shard/pair"][1][0]
    s.changes.rng.choice = lambda xs: "pair" if "pair" in xs else xs[0]
    s.put(kind="tenant", at="core-north")
    s.w.run(12)
    b = s.w.nodes["core-north"].store
    assert "duty/shard/pair" not in b and bk.value_of(b, "floor/shard") >= e
    s.put(kind="tenant", at="core-north")
    s.w.run(5)
    assert s.w.nodes["core-north"].store["duty/shard/pair"][1][0] > e
    oid = s.order(tenant="pair", cls="chat", retry=False, old=0, at="edge-middle-0")
    s.w.run(3)
    assert s.o.orders[oid]["told"] == ("ok",) and s.o.faults == []


def test_the_backups_book_is_pruned_as_the_primarys_is(monkeypatch):
    monkeypatch.setattr(outcomes, "MAX_OUTCOMES", 256)
    monkeypatch.setattr(outcomes, "EVICTION_BATCH", 64)
    s = Scene(town="hamlet")
    s.settle()
    for i in range(296):
        s.w.after(milliseconds(40 * i), s.w.call, "core-north", "evac", ("north", False, f"e{i}"))
    s.w.run(14)
    v = s.w.nodes["core-north"].control.view
    books = [s.w.nodes[c].disk.data["book"] for c in (v[1], *v[2])]
    kept = [sorted(k for k in b if k.startswith("change/")) for b in books]
    assert all(k == kept[0] for k in kept) and 256 - 64 <= len(kept[0]) <= 256
    assert all(b[outcomes.HORIZON_KEY] == books[0][outcomes.HORIZON_KEY] for b in books)


def test_a_replica_that_was_forgotten_may_return_in_the_same_life_and_a_leap_of_the_clock_forgets_nobody():
    s = Scene(town="hamlet", opt=tuning(forget=5))
    s.settle()
    s.w.nodes["edge-south-0"].skew += milliseconds(3600_000)
    s.w.run(1)
    assert s.o.events["replica-forgotten"] == 0
    s.leave("model-north-0")
    dark = [s.w.replicas[f"model-{z}-0"] for z in ("middle", "north")]
    for r in dark:
        r.dark = True  # up, but renewing nowhere
    s.w.run(8)
    recs = s.w.nodes["core-north"].replica_records
    assert set(recs) == {"model-south-0"}
    for r in dark:
        r.dark = False
    s.w.run(4)
    recs = s.w.nodes["core-north"].replica_records
    assert {i: r[9] for i, r in recs.items()} == {"model-south-0": False, "model-middle-0": False, "model-north-0": True}  # still leaving
    s.open = True
    oid = s.order(tenant="pair", cls="chat", retry=False, at="edge-middle-0")
    s.w.run(3)
    assert s.o.orders[oid]["told"] == ("ok",) and s.o.faults == []
