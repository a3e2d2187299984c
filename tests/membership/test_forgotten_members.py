"""Daemons that return after their tombstones have expired (design 4.1, `forget`): all list them again, and no dead ones."""

import pytest

from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import Scene

from .test_membership import member_counts, until

FORGET = 4  # seconds for which tombstones are kept


def settled_scene(town="navrang"):
    scene = Scene(town=town, opt=tuning(forget=FORGET))
    scene.settle(6)
    return scene


def tombstone_counts(scene):
    return {node.name: len(node.soft_state.tombstones) for node in scene.w.nodes.values() if node.hub}


@pytest.mark.parametrize("away", [["edge-surat-0"], ["edge-ahmedabad-1", "edge-vadodara-2"]])
def test_daemons_cut_off_for_longer_than_tombstones_are_kept_rejoin(away):
    scene = settled_scene()
    scene.w.cut(away, [node for node in scene.w.nodes if node not in away])
    scene.w.run(4 * FORGET + 4)
    scene.w.heal()
    assert until(scene, lambda: member_counts(scene) == {12}, 20) < 8
    scene.w.run(3)
    assert member_counts(scene) == {12} and len({node.members for node in scene.w.nodes.values()}) == 1


def test_a_daemon_paused_for_longer_than_tombstones_are_kept_rejoins_without_dead_members():
    scene = settled_scene()
    node = scene.w.nodes["edge-surat-0"]
    node.freeze(True)
    scene.w.nodes["edge-vadodara-0"].kill()
    scene.w.run(4 * FORGET + 4)
    node.freeze(False)
    assert until(scene, lambda: member_counts(scene) == {11}, 20) < 8
    scene.w.run(3)
    assert member_counts(scene) == {11}


def test_every_core_drops_tombstones_after_the_retention_time():
    scene = settled_scene()
    scene.w.nodes["edge-surat-0"].kill()
    scene.w.run(2 * FORGET + 1)
    assert max(tombstone_counts(scene).values()) > 0
    scene.w.run(2 * FORGET)
    assert set(tombstone_counts(scene).values()) == {0}
