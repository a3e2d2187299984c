"""Selection of replicas for a request (design 7.2, 7.4), and fairness of slot leases between tenants (7.3)."""

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


def entry(name, zone, *, prefixes=(), used=0, homes=None, state="ready", leaving=False, kind="model", age_s=0):
    return ReplicaEntry(
        record=ReplicaRecord(name, 1, 1, "a", zone, kind, tuple(homes or [zone]), tuple(prefixes), 4, leaving),
        status=ReplicaStatus(name, 1, 1, 1, state, 0.0, 0.0, 0, 4, used),
        last_contact_at=10 * SEC - age_s * SEC,
    )


def selected(entries, prefix="", tenant="pair", drained_zones=(), kind="model"):
    return select_candidates(
        replicas={replica.record.name: replica for replica in entries},
        configuration=hamlet()["config"],
        tenant=tenant,
        kind=kind,
        prefix=prefix,
        now=10 * SEC,
        tuning=TUNING,
        drained_zones=set(drained_zones),
        own_leases={},
    )


def test_home_region_is_preferred_and_replicas_outside_the_homes_are_never_selected():
    replicas = [entry("n", "north"), entry("m", "middle"), entry("s", "south")]
    assert selected(replicas) == (["m"], ["s"])
    assert selected(replicas, tenant="lone") == (["n"], [])
    assert selected([entry("m", "middle", homes=["north"]), entry("s", "south", homes=["middle"])]) == ([], ["s"])


@pytest.mark.parametrize("unusable", [dict(leaving=True), dict(state="starting"), dict(state="dark"), dict(kind="accounts"), dict(age_s=4)])
def test_an_unusable_replica_is_not_selected(unusable):
    assert selected([entry("m", "middle", **unusable), entry("s", "south")]) == ([], ["s"])
    assert selected([entry("m", "middle"), entry("s", "south")], drained_zones=["middle"]) == ([], ["s"])


def test_prefix_affinity_decides_until_the_preferred_replica_is_hot():
    ids = [f"m{i}" for i in range(4)]
    cold = selected([entry(i, "middle") for i in ids], prefix="rules")[0]
    assert selected([entry(i, "middle") for i in reversed(ids)], prefix="rules")[0] == cold  # independent of the order of the replicas
    assert {selected([entry(i, "middle") for i in ids], prefix=f"p{k}")[0][0] for k in range(40)} == set(ids)
    last = cold[-1]
    assert selected([entry(i, "middle", prefixes=["rules"] if i == last else []) for i in ids], prefix="rules")[0][0] == last
    loaded = [entry(i, "middle", prefixes=["rules"] if i == last else [], used=3 if i == last else 1) for i in ids]
    hot = selected(loaded, prefix="rules")[0]
    assert hot[0] == cold[0] and hot[-1] == last


def test_without_a_prefix_the_least_loaded_replica_is_preferred():
    assert selected([entry("a", "middle", used=3), entry("b", "middle", used=1), entry("c", "middle", used=2)])[0] == ["b", "c", "a"]


def test_a_freed_slot_is_offered_to_the_waiting_tenant_that_holds_the_fewest():
    holder = MachineComponent(SlotLeases(own_name="h", tuning=TUNING))
    sent = []

    def send(seconds, *event):
        """Return the kinds of the messages that the lease holder sends for an event."""
        messages = [effect for effect in holder.send((seconds * SEC, event)) if effect[0] == "send"]
        sent.extend(messages)
        return [body[0] for _, _, body in messages]

    send(0, "fresh", 0 * SEC)
    send(0, "book", {"duty/ledger/m": ((1, 1), (1, "h", ""))}, (1, 1))
    send(0, "replicas", {"m": entry("m", "middle")})
    send(0, "roll", (("o",) + ("",) * 11, ("q",) + ("",) * 11))
    send(1, "probed", "m", 1, (1, "ready", 0.0, 0.0, 0, True))
    assert send(1, "msg", "o", ("lease", "m", 1, "x", "loud")) == ["unleased"]  # the lease holder still waits for renewals from owners
    assert [send(2, "msg", "o", ("lease", "m", 1, f"l{i}", "loud"))[0] for i in range(5)] == ["leased"] * 4 + ["unleased"]
    assert send(2, "msg", "q", ("lease", "m", 1, "k0", "quiet")) == ["unleased"]
    sent.clear()
    assert send(2.1, "msg", "o", ("release", "m", "l0", True)) == ["offer"]
    _, to, (_, _, _, _, tenant) = sent[0]
    assert to == "q" and tenant == "quiet"
    assert send(2.2, "msg", "o", ("lease", "m", 2, "z", "loud")) == ["unleased"]  # another epoch


def test_overload_of_one_tenant_does_not_starve_another():
    alone, lost_alone = isolation("navrang", 1, False)
    under_load, lost_under_load = isolation("navrang", 1, True)
    assert lost_alone == lost_under_load == 0 and len(alone) == len(under_load) == 40
    assert max(under_load) < 2 * max(alone)


def test_requests_overflow_only_when_the_home_region_is_short_of_replicas_and_full():
    def overflows(load):
        scene = Scene(town="hamlet", seed=2)
        scene.settle()
        for i in range(int(40 * load)):
            scene.w.after(i * SEC / (4 * load), lambda: scene.order(tenant="pair", cls="chat", at="edge-middle-0", retry=False))
        scene.w.run(12)
        zones = {scene.w.replicas[replica].zone for _, replica, _ in scene.o.runs.values()}
        assert scene.o.faults == [] and len(scene.o.runs) > 15
        return zones == {"middle", "south"}

    assert not overflows(0.5)
    assert overflows(8)


def test_an_owner_outside_the_home_zones_is_not_queried():
    """After a tenant's homes change, the shard's owner is reassigned later (simulation navrang, seed 2077).

    Until then the ingress must neither query the old owner nor forward requests to it.
    """
    scene = Scene(town="hamlet")
    scene.settle()
    owner = scene.w.nodes["edge-middle-0"].store["duty/shard/pair"][1][1]
    ingress = next(name for name in ("edge-middle-0", "edge-south-0") if name != owner)
    node, sent = scene.w.nodes[ingress], []
    context = node.tenant_context
    assert (
        context.is_in_home_zone(owner, "pair")
        and not context.is_in_home_zone(owner, "lone")
        and not context.is_in_home_zone("nobody", "pair")
    )
    owner_zone = scene.w.nodes[owner].zone
    store = dict(context.store)
    version, configuration = store["config"]
    store["config"] = (
        version,
        dict(
            configuration,
            tenants=dict(
                configuration["tenants"],
                pair=dict(
                    configuration["tenants"]["pair"], homes=tuple(zone for zone in ("middle", "south", "north") if zone != owner_zone)
                ),
            ),
        ),
    )
    context.set_store(store)
    scene.w.effect = lambda node, effect: sent.append(effect) if effect[0] == "send" and effect[2][0] in ("ask", "hand") else None
    scene.order(tenant="pair", cls="lookup", at=ingress, retry=False, old=0)
    scene.w.run(0.2)
    assert [effect for effect in sent if effect[1] == owner] == []
