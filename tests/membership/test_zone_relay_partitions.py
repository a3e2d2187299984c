"""The zone relay, or the core that it queries, is cut off or paused (design 5.7): the zone's daemons still receive acknowledged changes."""

import pytest

from silverglade.membership.zone_relay import relay_of_zone
from silverglade.runtime.effects import milliseconds
from silverglade.testbed.simulator.scenario import SEC, Scene
from silverglade.testbed.sites import TOWNS

from ..support.source_mutation import without
from .test_membership import member_counts, until

ZONE = "far"
APPLY_TIME_S = 5  # a daemon that reaches a core holds an acknowledged change within this time


def version(node):
    return node.store["config"][0]


@pytest.fixture
def scene(monkeypatch):
    """The site "hamlet" with an additional zone of eight daemons and no core."""
    site = TOWNS["hamlet"]()
    site["config"]["zones"][ZONE] = dict(site["config"]["zones"]["south"])
    site["daemons"] += [(f"edge-{ZONE}-{i}", ZONE, "s", False) for i in range(8)]
    monkeypatch.setitem(TOWNS, "hamlet", lambda: site)
    scene = Scene(town="hamlet")
    scene.settle(9)
    assert member_counts(scene) == {14}
    return scene


def zone_with_relay(scene):
    """Return the daemons of the zone, its relay, and the name of the core that the relay queries."""
    zone_members = [node for node in scene.w.nodes.values() if node.zone == ZONE]
    relay = relay_of_zone(ZONE, zone_members[0].members)
    return zone_members, scene.w.nodes[relay], scene.w.nodes[relay].queried_core


def change_configuration(scene, at):
    """Put a configuration at a daemon, and return its version once it is acknowledged."""
    count = len(scene.o.acked)
    scene.put(at=at)
    assert until(scene, lambda: len(scene.o.acked) > count) < 4
    return scene.o.acked[-1][-1]


def core_outside_the_view(scene):
    """Return the name of a core that is neither primary nor backup."""
    view = next(scene.w.nodes[core_name].control.view for core_name in scene.w.cores)
    return next(core_name for core_name in scene.w.cores if core_name != view.primary and core_name not in view.backups)


def versions_beside_an_isolated_core(scene, both):
    """Cut the core that the zone's relay queries off from the other cores, and change the configuration four times.

    Yields for each change the acknowledged version, and the versions that the zone's daemons then hold.
    """
    zone_members, relay, _ = zone_with_relay(scene)
    isolated = core_outside_the_view(scene)
    others = [core_name for core_name in scene.w.cores if core_name != isolated]
    scene.w.cut([relay.name], others)  # so that it queries the core that will be cut off
    scene.w.run(6)
    assert relay.queried_core == isolated
    scene.w.heal()
    scene.w.cut(others, [isolated], both=both)
    scene.w.run(3)
    for _ in range(4):
        new = change_configuration(scene, others[0])
        scene.w.run(APPLY_TIME_S)
        yield new, {version(node) for node in zone_members}
    scene.w.heal()
    scene.w.run(3)


@pytest.mark.parametrize("both", [True, False])
def test_a_relay_leaves_a_core_that_is_cut_off_and_its_zone_receives_changes(scene, both):
    assert all(held == {new} for new, held in versions_beside_an_isolated_core(scene, both)) and scene.o.faults == []


AGED = (
    'is_proof_stale = answer.proof_age_ms < 0 or answer.proof_age_ms > to_milliseconds(self._tuning["aged"])',
    "is_proof_stale = False",
)
HEDGED = (
    "elif self.pending_request and now > self._next_attempt_at(self.pending_request):",
    "elif self.pending_request and now - self.pending_request.sent_at > self._answer_timeout():",
)


def is_zone_outdated_without(scene, monkeypatch, *guards):
    """Return whether the zone holds outdated versions if its daemons request updates without these guards."""
    without(monkeypatch, "silverglade.configuration.updater", *zip(*guards), "silverglade.runtime.daemon_components.Updater")
    for node in scene.w.nodes.values():
        node.boot()
    scene.w.run(9)
    return any(held != {new} for new, held in versions_beside_an_isolated_core(scene, True))


def test_without_both_guards_the_zone_holds_outdated_items(scene, monkeypatch):
    assert is_zone_outdated_without(scene, monkeypatch, AGED, HEDGED)


@pytest.mark.parametrize("guard", [AGED, HEDGED], ids=["aged", "hedged"])
def test_either_guard_keeps_the_zone_up_to_date(scene, monkeypatch, guard):
    assert not is_zone_outdated_without(scene, monkeypatch, guard)


def test_a_zone_receives_changes_from_the_cores_while_its_relay_is_cut_off(scene):
    zone_members, relay, core = zone_with_relay(scene)
    rest = [node for node in zone_members if node is not relay]
    # the relay still reaches its own zone
    scene.w.cut([relay.name], [node for node in scene.w.nodes if node != relay.name and scene.w.nodes[node].zone != ZONE])
    for _ in range(4):
        new = change_configuration(scene, core)
        scene.w.run(APPLY_TIME_S)
        assert {version(node) for node in rest} == {new}
    assert version(relay) < new
    scene.w.heal()
    assert until(scene, lambda: version(relay) == new) < APPLY_TIME_S
    assert scene.o.faults == []


def test_a_relay_resumed_after_a_pause_sends_no_older_version(scene):
    zone_members, relay, core = zone_with_relay(scene)
    rest = [node for node in zone_members if node is not relay]
    relay.freeze(True)
    scene.w.run(2)
    new = change_configuration(scene, core)
    scene.w.run(18)
    assert {version(node) for node in rest} == {new}
    newest = change_configuration(scene, core)
    relay.freeze(False)
    held = {node.name: version(node) for node in rest}
    for _ in range(80):
        scene.w.run(0.05)
        for node in rest:
            assert version(node) >= held[node.name]
            held[node.name] = version(node)
    assert {version(node) for node in zone_members} == {newest} and scene.o.faults == []


def test_the_age_of_a_proof_never_decreases_from_hop_to_hop(scene):
    """A daemon's proof is no newer than its relay's, and the relay's no newer than its core's (all clocks are equal here)."""
    zone_members, relay, core = zone_with_relay(scene)
    for _ in range(100):
        scene.w.run(0.1)
        relay_proved_at = relay.store_proved_at
        assert relay_proved_at <= scene.w.nodes[core].control.proved_at + milliseconds(
            1
        )  # a core's age is in whole milliseconds, not rounded up
        assert all(node.store_proved_at <= relay_proved_at for node in zone_members)
    scene.w.cut(
        [core, *(node.name for node in zone_members)], [node for node in scene.w.nodes if node != core and scene.w.nodes[node].zone != ZONE]
    )
    scene.w.run(1)  # messages in flight have arrived
    last_proved_at = max(node.store_proved_at for node in zone_members)
    scene.w.run(20)  # only the cut-off core can be queried, so no newer proof can arrive
    assert max(node.store_proved_at for node in zone_members) <= last_proved_at + 1 * SEC
