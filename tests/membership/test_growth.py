"""State of removed replicas and tenants is pruned, so that it does not accumulate over time (design 5.6, 7.1)."""

from silverglade.control import outcomes, replicated_state
from silverglade.runtime.effects import milliseconds
from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import Scene
from silverglade.testbed.simulator.tenant_replicas import Replica


def state_counts(scene):
    """Return the largest count in any daemon or on any disk of replica records, duties, stored duties, shards and claims."""
    nodes = scene.w.nodes.values()
    disks = [node.disk.data for node in nodes if node.core]
    return dict(
        replicas=max(len(node.replica_records) + len(node.leaving_replicas) for node in nodes),
        duties=max(sum(key.startswith("duty/") for key in node.store) for node in nodes),
        stored=max(sum(key.startswith("duty/") and item[1] is not None for key, item in data.get("book", {}).items()) for data in disks),
        shards=max(len(data.get("shard", {})) for data in disks),
        claims=max(len(data.get("claim", {})) for data in disks),
    )


def scene_after_churn(rounds):
    """Return a scene in which each round added and removed a tenant and a replica."""
    scene = Scene(town="hamlet", opt=tuning(forget=10))
    scene.settle()
    scene.traffic()
    configuration = scene.t["config"]
    for round_number in range(rounds):
        changed = dict(
            configuration,
            body_cap=100100 + round_number,
            tenants={
                **configuration["tenants"],
                f"guest-{round_number}": dict(configuration["tenants"]["pair"], keys=[f"{round_number:032x}"]),
            },
        )
        edge = scene.live()[0]
        scene.w.call(edge, "config-put", (scene.w.nodes[edge].store["config"][0], f"in{round_number}", changed))
        replica = scene.w.replicas[f"passing-{round_number}"] = Replica(world=scene.w, rid=f"passing-{round_number}", zone="south")
        replica.boot()
        scene.w.run(2.5)
        scene.leave(replica.rid)
        scene.w.run(1.5)
        replica.kill()
        del scene.w.replicas[replica.rid]
    edge = scene.live()[0]
    scene.w.call(edge, "config-put", (scene.w.nodes[edge].store["config"][0], "last", dict(configuration, body_cap=100099)))
    return scene


def test_state_of_removed_replicas_and_tenants_does_not_accumulate():
    scene = scene_after_churn(12)
    assert scene.o.faults == [] and state_counts(scene)["duties"] >= 8
    scene.open = False
    scene.w.run(25)
    remaining = state_counts(scene)
    assert remaining == dict(replicas=3, duties=5, stored=5, shards=1, claims=remaining["claims"])
    scene.open = True
    scene.traffic()
    scene.w.run(3)
    assert scene.finish() == []


def test_a_forgotten_tenant_that_returns_gets_an_epoch_above_the_floor():
    scene = Scene(town="hamlet", opt=tuning(forget=5))
    scene.settle()
    scene.order(tenant="pair", cls="chat", key="old", retry=False)
    scene.w.run(2)
    epoch = scene.w.nodes["core-north"].store["duty/shard/pair"][1][0]
    scene.changes.rng.choice = lambda xs: "pair" if "pair" in xs else xs[0]
    scene.put(kind="tenant", at="core-north")
    scene.w.run(12)
    store = scene.w.nodes["core-north"].store
    assert "duty/shard/pair" not in store and replicated_state.value_of(store, "floor/shard") >= epoch
    scene.put(kind="tenant", at="core-north")
    scene.w.run(5)
    assert scene.w.nodes["core-north"].store["duty/shard/pair"][1][0] > epoch
    request_id = scene.order(tenant="pair", cls="chat", retry=False, old=0, at="edge-middle-0")
    scene.w.run(3)
    assert scene.o.orders[request_id]["told"] == ("ok",) and scene.o.faults == []


def test_backups_prune_outcomes_like_the_primary(monkeypatch):
    monkeypatch.setattr(outcomes, "MAX_OUTCOMES", 256)
    monkeypatch.setattr(outcomes, "EVICTION_BATCH", 64)
    scene = Scene(town="hamlet")
    scene.settle()
    for i in range(296):
        scene.w.after(milliseconds(40 * i), scene.w.call, "core-north", "evac", ("north", False, f"e{i}"))
    scene.w.run(14)
    view = scene.w.nodes["core-north"].control.view
    stores = [scene.w.nodes[core].disk.data["book"] for core in (view[1], *view[2])]
    outcome_keys = [sorted(key for key in store if key.startswith("change/")) for store in stores]
    assert all(keys == outcome_keys[0] for keys in outcome_keys) and 256 - 64 <= len(outcome_keys[0]) <= 256
    assert all(store[outcomes.HORIZON_KEY] == stores[0][outcomes.HORIZON_KEY] for store in stores)


def test_a_forgotten_replica_may_return_with_its_incarnation_and_a_clock_jump_forgets_none():
    scene = Scene(town="hamlet", opt=tuning(forget=5))
    scene.settle()
    scene.w.nodes["edge-south-0"].skew += milliseconds(3600_000)  # the daemon's clock jumps by an hour
    scene.w.run(1)
    assert scene.o.events["replica-forgotten"] == 0
    scene.leave("model-north-0")
    silent = [scene.w.replicas[f"model-{z}-0"] for z in ("middle", "north")]
    for replica in silent:
        replica.dark = True  # running, but does not renew its registration anywhere
    scene.w.run(8)
    records = scene.w.nodes["core-north"].replica_records
    assert set(records) == {"model-south-0"}
    for replica in silent:
        replica.dark = False
    scene.w.run(4)
    records = scene.w.nodes["core-north"].replica_records
    assert {replica_id: record[9] for replica_id, record in records.items()} == {
        "model-south-0": False,
        "model-middle-0": False,
        "model-north-0": True,  # still leaving
    }
    scene.open = True
    request_id = scene.order(tenant="pair", cls="chat", retry=False, at="edge-middle-0")
    scene.w.run(3)
    assert scene.o.orders[request_id]["told"] == ("ok",) and scene.o.faults == []
