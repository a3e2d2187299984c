"""Membership and soft state (design 4): traffic of an idle fleet, detection times, and deltas compared with an oracle."""

import random

import pytest

from silverglade.membership import core_table
from silverglade.membership.own_attributes import is_significant_change
from silverglade.membership.records import ALL_CORES, SoftStateRow, readable_rows
from silverglade.membership.replicated_table import ReplicatedTable, covers, supersedes
from silverglade.membership.zone_relay import ZoneRelay, relay_of_zone
from silverglade.runtime.effects import ZERO, milliseconds
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.testbed.experiments.fleet_cost import measure, plain
from silverglade.testbed.simulator.scenario import SEC, Scene
from silverglade.testbed.sites import TOWNS
from silverglade.transport import message_schemas as messages

from ..support.failure_scenarios import hamlet
from ..support.source_mutation import without
from ..transport.test_framing import random_value


def member_counts(scene):
    """Return the set of lengths of the running daemons' member lists; one element if they agree."""
    return {len(node.members) for node in scene.w.nodes.values() if node.hub}


def until(scene, condition, limit_s=10):
    """Run the simulation until a condition holds or the limit has passed, and return the simulated seconds."""
    started_at = scene.w.now
    while not condition() and (scene.w.now - started_at) < limit_s * SEC:
        scene.w.run(0.05)
    return (scene.w.now - started_at) / SEC


@pytest.mark.parametrize("daemons,secs", [(12, 10), (60, 10), (120, 5)])
def test_idle_traffic_of_a_daemon_does_not_grow_with_the_fleet(daemons, secs):
    figures = measure(daemons=daemons, secs=secs)
    assert figures["rolls"] == [daemons]
    assert is_idle_traffic_small(figures, 9 if daemons > 60 else 0) and figures["mean"] < 800


def is_idle_traffic_small(figures, relays):
    """Whether every edge daemon except the zone relays sends less than 400 B/s, and each relay less than 5 KB/s."""
    return figures["edges"][-1 - relays] < 400 and figures["most_edge"] < 5000


def test_a_fleet_of_420_converges_and_its_idle_traffic_is_that_of_twelve():
    figures = measure(daemons=420, secs=3, warm=9.0)
    assert figures["rolls"] == [420] and is_idle_traffic_small(figures, 9) and figures["most"] < 25000


def test_publishing_every_attribute_change_makes_the_traffic_grow_with_the_fleet(monkeypatch):
    guard = "if row is not None and not is_significant_change(attribute, row.value, value):"
    without(monkeypatch, "silverglade.membership.own_attributes", guard, "if False:", "silverglade.membership.member.OwnAttributes")
    small_fleet, large_fleet = (measure(daemons=daemons, secs=5)["mean"] for daemons in (12, 60))
    assert large_fleet > 2 * small_fleet


def kill_and_time_detection(town, name, seed=1):
    """Kill a daemon, and return the scene and the seconds until no running daemon lists it."""
    scene = Scene(town=town, seed=seed)
    scene.settle(5)
    scene.w.nodes[name].kill()
    return scene, until(scene, lambda: all(name not in {r[0] for r in node.members} for node in scene.w.nodes.values() if node.hub))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("name", ["edge-upper-0", "core-inner"])
def test_all_thirty_daemons_detect_a_death_in_time(name, seed):
    assert kill_and_time_detection("borough", name, seed)[1] < (2 if name.startswith("edge") else 3.5)


def test_without_suspicions_a_death_is_detected_only_by_silence(monkeypatch):
    guard = "self._publish(daemon, record.incarnation, own_incarnation)"
    without(monkeypatch, "silverglade.membership.failure_detector", guard, "pass", "silverglade.membership.member.FailureDetector")
    assert 3 < kill_and_time_detection("borough", "edge-upper-0")[1] < 7


def test_the_loss_of_a_region_is_detected_and_no_other_daemon_is_declared_dead():
    scene = Scene(town="navrang")
    scene.settle(5)
    for node in list(scene.w.nodes.values()):
        if node.zone == "surat":
            node.kill()
    assert until(scene, lambda: member_counts(scene) == {8}) < 5
    scene.w.run(3)
    assert member_counts(scene) == {8} and scene.o.events["daemon-dead"] == 8 * 4


def test_a_broken_link_between_edges_of_two_zones_declares_nobody_dead():
    scene = Scene(town="navrang")
    scene.settle(5)
    scene.w.cut(
        [node.name for node in scene.w.nodes.values() if node.zone == "surat" and not node.core],
        [node.name for node in scene.w.nodes.values() if node.zone == "vadodara" and not node.core],
    )
    scene.w.run(8)
    assert scene.o.events["daemon-dead"] == 0 and member_counts(scene) == {12}


def test_each_side_of_a_partition_lists_its_own_members_and_both_converge_afterwards():
    scene = Scene(town="navrang")
    scene.settle(5)
    surat = [node.name for node in scene.w.nodes.values() if node.zone == "surat"]
    scene.w.cut(surat, [node for node in scene.w.nodes if node not in surat])
    scene.w.run(8)
    assert {len(scene.w.nodes[node].members) for node in surat} == {4}
    assert {len(node.members) for node in scene.w.nodes.values() if node.name not in surat} == {8}
    scene.w.nodes["edge-ahmedabad-0"].kill()
    scene.w.nodes["edge-surat-0"].kill()
    scene.w.run(3)
    scene.w.nodes["edge-surat-0"].boot()
    scene.w.run(3)
    scene.w.heal()
    assert until(scene, lambda: member_counts(scene) == {11}) < 4
    scene.w.run(2)
    assert member_counts(scene) == {11} and len({node.members for node in scene.w.nodes.values() if node.hub}) == 1


def test_an_isolated_daemon_lists_only_itself_and_rejoins():
    scene = hamlet()
    scene.w.cut(["edge-north-0"], [node for node in scene.w.nodes if node != "edge-north-0"])
    scene.w.run(6)
    assert len(scene.w.nodes["edge-north-0"].members) == 1
    scene.w.heal()
    assert until(scene, lambda: member_counts(scene) == {6}) < 3


def test_a_restarted_daemon_rejoins_through_the_only_live_seed():
    scene = hamlet()
    node = scene.w.nodes["edge-south-0"]
    node.kill()
    scene.w.run(3)
    scene.w.seeds = ("10.9.9.1:1", "10.9.9.2:1", scene.w.nodes["core-middle"].addr, "10.9.9.3:1")
    node.boot()
    assert until(scene, lambda: node.has_joined and member_counts(scene) == {6}, 12) < 7
    incarnations = {record[0]: record[2] for record in scene.w.nodes["core-north"].members}
    assert incarnations["edge-south-0"] == 2


def test_the_suspicion_of_a_single_watcher_declares_nobody_dead():
    scene = hamlet()
    core_table_component = scene.w.nodes["core-north"].hub.components["core_table"]
    core_table_component.send(
        (scene.w.now, ("msg", "edge-south-0", ("told", (("doubt", "edge-north-0 edge-south-0", (1, 1), 1, ALL_CORES),))))
    )
    scene.w.run(2)
    assert member_counts(scene) == {6}


def test_removed_daemons_and_rows_leave_no_rows_or_tombstones():
    scene = Scene(town="hamlet", opt=tuning(forget=5))
    scene.settle(5)
    node, row_count = scene.w.nodes["edge-south-0"], None
    for k in range(5):
        node.kill()
        scene.w.run(3)
        node.boot()
        scene.w.run(3)
    for i in range(20):
        scene.w.nodes["edge-north-0"].hub.queue.append(("membership", ("publish", "thing", f"k{i}", (1, 1), i)))
    scene.w.run(2)
    row_count = len(scene.w.nodes["core-north"].core_soft_state.rows)
    for i in range(20):
        scene.w.nodes["edge-north-0"].hub.queue.append(("membership", ("publish", "thing", f"k{i}", (1, 2), None)))
    scene.w.nodes["edge-middle-0"].kill()
    scene.w.run(20)
    table = scene.w.nodes["core-north"].core_soft_state
    assert len(table.rows) < row_count - 20 and not table.rows_of_kind("thing") and not table.tombstones
    assert "edge-middle-0" not in table.rows_of_kind("daemon") and len(table.vector) <= 6
    assert not any(k[0] == "thing" for k in scene.w.nodes["edge-south-0"].published_rows)


def test_a_row_reaches_all_daemons_or_those_of_the_region_in_its_scope():
    scene = hamlet()
    held = {}
    queue = scene.w.nodes["edge-north-0"].hub.queue
    queue.append(("membership", ("publish", "thing", "everywhere", (1,), 7)))
    queue.append(("membership", ("publish", "thing", "here", (1,), 8, "n")))
    scene.w.run(1.5)
    for node in scene.w.nodes.values():
        held[node.name] = {key: row.value for key, row in node.soft_state.rows_of_kind("thing").items()}
    for node in scene.w.nodes.values():
        assert held[node.name] == ({"everywhere": 7, "here": 8} if node.region == "n" else {"everywhere": 7}), node.name
    assert all("here" in node.core_soft_state.rows_of_kind("thing") for node in scene.w.nodes.values() if node.core)


def large_idle_fleet(daemons=100):
    """Return a settled scene without load, of so many daemons in three regions."""
    try:
        TOWNS["plain"] = lambda: plain(daemons)
        scene = Scene(town="plain")
    finally:
        del TOWNS["plain"]
    scene.settle(8)
    return scene


def test_a_zone_without_a_core_queries_through_its_relay_and_survives_its_loss():
    scene = large_idle_fleet()
    zone = "z03"
    zone_members = [node.name for node in scene.w.nodes.values() if node.zone == zone]
    relay = relay_of_zone(zone, scene.w.nodes[zone_members[0]].members)
    assert relay in zone_members and member_counts(scene) == {100}
    assert {scene.w.nodes[i].queried_core for i in zone_members if i != relay} == {relay}
    assert scene.w.nodes[relay].queried_core in scene.w.cores
    killed_at = scene.w.now
    scene.w.nodes[relay].kill()
    scene.put(at=zone_members[0] if zone_members[0] != relay else zone_members[1])
    scene.w.run(3)
    assert [c for *_, c, _ in scene.o.acked] == [100, 100]
    assert {node.store["config"][0] for node in scene.w.nodes.values() if node.hub} == {scene.o.acked[-1][-1]}
    scene.w.run(6)
    assert member_counts(scene) == {99} and scene.w.now > killed_at
    assert scene.o.events["daemon-dead"] == 99  # only the relay, reported by each of the others
    proof_ages = [scene.w.now - node.store_proved_at for node in scene.w.nodes.values() if node.hub]
    assert max(proof_ages) < 3 * SEC
    second_relay = relay_of_zone(zone, scene.w.nodes[zone_members[0] if zone_members[0] != relay else zone_members[1]].members)
    scene.w.cut([second_relay], [node for node in scene.w.nodes if node != second_relay])
    scene.w.run(8)
    assert {len(node.members) for node in scene.w.nodes.values() if node.hub and node.name != second_relay} == {98}
    scene.w.heal()
    scene.w.nodes[relay].boot()
    scene.w.run(6)
    assert member_counts(scene) == {100} and scene.o.faults == []


def test_daemons_that_consider_each_other_the_relay_do_not_forward_rows_in_a_loop():
    relay = MachineComponent(ZoneRelay(zone="z", tuning=tuning()))
    row = ("thing", "k", (1,), 1, "")
    assert relay.send((ZERO, ("msg", "x", ("told", (row,))))) == ()
    relay.send((ZERO, ("core", "y", False)))
    assert relay.send((ZERO, ("msg", "x", ("told", (row,))))) == ()
    relay.send((ZERO, ("core", "c", True)))
    assert relay.send((ZERO, ("msg", "x", ("told", (row,))))) == (("send", "c", ("told", (row,))),)


def test_a_seed_that_is_not_a_core_is_skipped():
    scene = hamlet()
    node, edge = scene.w.nodes["edge-south-0"], scene.w.nodes["edge-north-0"]
    node.kill()
    scene.w.run(3)
    scene.w.seeds = (edge.addr, scene.w.nodes["core-middle"].addr)
    node.boot()
    assert until(scene, lambda: node.has_joined and member_counts(scene) == {6}, 12) < 7
    assert scene.o.events["message-refused"] == 0


def test_a_core_restarted_with_an_empty_disk_converges_while_rows_change():
    scene = Scene(town="navrang")
    scene.settle(5)
    for k in range(160):
        scene.w.after(
            milliseconds(50 * k), scene.w.nodes["edge-surat-0"].hub.queue.append, ("membership", ("publish", "thing", "k", (k + 1,), k))
        )
        scene.w.after(
            milliseconds(50 * k), scene.w.nodes["core-surat"].hub.queue.append, ("membership", ("publish", "thing", "c", (k + 1,), k))
        )
    scene.w.run(1)
    scene.w.empty_disk("core-ahmedabad")
    scene.w.run(0.3)
    node = scene.w.nodes["core-ahmedabad"]
    node.boot()
    scene.w.run(2.5)
    table, other = node.core_soft_state, scene.w.nodes["core-vadodara"].core_soft_state
    assert len(table.vector) == len(other.vector) > 3
    scene.w.run(6)
    assert member_counts(scene) == {12} and node.core_soft_state.rows_of_kind("thing")["k"].value == 159
    assert scene.o.events["soft-state-reset"] == 0


# deltas compared with an oracle
def rows_since(table, vector):
    """Return the rows that a table sends to one with this version vector, as the receiver reads them."""
    return readable_rows(table.rows_since(vector))


class Core:
    """A core with its table."""

    def __init__(self, index):
        self.table = ReplicatedTable(process_id=f"c{index}")


@pytest.mark.parametrize("seed", range(30))
def test_tables_that_exchange_deltas_in_any_order_hold_the_highest_rank_of_every_key(seed):
    rng = random.Random(seed)
    cores = [Core(i) for i in range(rng.randrange(2, 6))]
    asker, expected, counter = ReplicatedTable(), {}, 0
    deltas = []
    for _ in range(400):
        choice = rng.random()
        core = rng.choice(cores)
        if choice < 0.4:
            counter += 1
            key = f"k{rng.randrange(12)}"
            row = SoftStateRow("thing", key, (rng.randrange(30), counter % 3), rng.choice((None, counter, "x")), "")
            core.table.insert(row, ZERO)
            if supersedes(row, expected.get(key)):
                expected[key] = row
        elif choice < 0.8:  # a delta is sent, and may arrive late, twice or never
            receiver = rng.choice(cores)
            base = dict(receiver.table.vector)
            deltas.append((receiver, base, dict(core.table.vector), rows_since(core.table, base)))
        elif deltas:
            receiver, base, vector, rows = rng.choice(deltas)
            receiver.table.merge(rows, ZERO)
            if covers(receiver.table.vector, base):
                receiver.table.advance_to(vector)
        if rng.random() < 0.1:
            asker.merge(rows_since(core.table, asker.vector), ZERO)
            asker.advance_to(core.table.vector)
    for _ in range(2):
        for core in cores:
            for receiver in cores:
                receiver.table.merge(rows_since(core.table, receiver.table.vector), ZERO)
                receiver.table.advance_to(core.table.vector)
    snapshot = ReplicatedTable()
    snapshot.merge(rows_since(cores[0].table, {}), ZERO)
    asker.merge(rows_since(cores[0].table, asker.vector), ZERO)
    for table in [core.table for core in cores] + [snapshot, asker]:
        assert {row_key[1]: row[:5] for row_key, row in table.rows.items()} == {key: row[:5] for key, row in expected.items()}


def test_advancing_the_vector_without_its_rows_loses_rows():
    a, b = ReplicatedTable(process_id="a"), ReplicatedTable(process_id="b")
    a.insert(SoftStateRow("thing", "k", (1,), 1, ""), ZERO)
    b.advance_to(a.vector)  # the error that the check with covers() prevents
    b.merge(rows_since(a, b.vector), ZERO)
    assert b.rows != a.rows


def test_expired_tombstones_and_origins_without_rows_are_dropped():
    table = ReplicatedTable(process_id="a")
    table.merge((SoftStateRow("thing", "k", (1,), 1, "", "old", 4),), ZERO)
    table.advance_to({"old": 4})
    table.drop_origins({"a"})
    assert table.vector == {"old": 4}
    table.insert(SoftStateRow("thing", "k", (2,), None, ""), ZERO)
    table.drop_tombstones(9 * SEC, 10 * SEC)
    assert len(table.rows) == 1
    table.drop_tombstones(11 * SEC, 10 * SEC)
    table.drop_origins({"a"})
    assert table.rows == {} and table.tombstones == {} and table.vector == {"a": 1}


@pytest.mark.parametrize("seed", range(3))
def test_malformed_membership_messages_are_refused_or_harmless(seed):
    rng = random.Random(seed)
    scene = hamlet()
    node = scene.w.nodes["core-north"]
    row = ("daemon", "x", (1, 1), ("x", "l", 1, 1, "z", "r", "a", "h", True, "ready", (), ()), "", "o", 1)
    for _ in range(1500):
        kind = rng.choice(("alive", "doubted", "told", "sync", "get", "news"))
        fields = list(row)
        for _ in range(rng.randrange(3)):
            fields[rng.randrange(len(fields))] = random_value(rng)
        pending = node.pending_update_request
        body = dict(
            alive=(random_value(rng), random_value(rng)),
            doubted=(),
            told=((tuple(fields[:5]), random_value(rng))[: rng.randrange(1, 3)],),
            sync=(1, (("o", 1),), random_value(rng, 1) if rng.random() < 0.3 else (), (tuple(fields),)),
            get=(1, (0, 0), random_value(rng)),
            news=(
                pending[0] if pending else 1,
                (0, 0),
                (),
                5,
                0,
                (7, (("o", 1),), (tuple(fields),), ("edge-south-0",))[: rng.randrange(5)],
            ),
        )[kind]
        node.feed(("msg", rng.choice(("edge-south-0", "core-south", "x")), (kind, *body)))
        if rng.random() < 0.05:
            scene.w.run(0.1)
    scene.w.run(8)
    assert messages.is_valid_message(("told", (row[:5],))) and not messages.is_valid_message(("told", (row[:4],)))
    assert node.hub is not None and node.feed(("pulse",)) is None


def test_a_changed_count_is_published_if_it_differs_by_more_than_a_fifth():
    assert not is_significant_change("pace", (100, 10), (110, 11)) and is_significant_change("pace", (100, 10), (130, 10))
    assert is_significant_change("pace", (0, 0), (1, 0)) and is_significant_change("view", (1, "a", "b"), (2, "a", "b"))
    a = (("model", 3, 1.0, 4.0, 0.1, True),)
    assert not is_significant_change("parts", a, (("model", 3, 1.0, 4.4, 0.1, True),))
    assert is_significant_change("parts", a, (("model", 4, 1.3, 4.0, 0.1, True),)) and milliseconds(1) > ZERO


def test_an_idle_daemon_is_woken_only_for_due_work(monkeypatch):
    assert measure(daemons=12, secs=5)["woken_edge"] < 18
    without(
        monkeypatch,
        "silverglade.tenant_shards.owner",
        "context.effects.append(WakeAt(self._next_round if is_needed else NEVER))",
        "pass",
        "silverglade.runtime.daemon_components.ShardOwner",
    )
    assert measure(daemons=12, secs=5)["woken_edge"] > 25


def count_position_changes(daemons):
    """Return how often the table position of a core moves in 2 s, in a fleet of so many daemons, if a count changes every 50 ms."""
    table = core_table.CoreTable(name="c", process_id="c.1", peer_address="a", seeds=("a",), tuning=tuning(takeover=0.01))
    component = MachineComponent(table)
    record = ("x", "l", 1, 1, "z", "r", "a", "h", False, "ready", (), ())
    component.send((ZERO, ("pulse",)))
    component.send((ZERO, ("msg", "x", ("told", tuple(("daemon", f"d{i}", (1, 1), (f"d{i}", *record[1:]), "") for i in range(daemons))))))
    moves = 0
    for k in range(40):
        now = milliseconds(50 * (k + 1))
        component.send((now, ("msg", "d1", ("told", (("extra", "d1 pace", (1, k + 1), (k, 0), ""),)))))
        moves += sum(effect[:1] == ("cast",) for effect in component.send((now, ("pulse",))))
    return moves


def test_count_changes_are_batched_in_a_large_fleet(monkeypatch):
    assert count_position_changes(6) == 40 and count_position_changes(400) <= 4
    guard = "if _is_urgent(row):"
    without(monkeypatch, "silverglade.membership.core_rows", guard, "if True:", "silverglade.membership.core_table.CoreRows")
    assert count_position_changes(400) == 40
