"""Daemons that come back after the others have forgotten them (design 4.1, `forget`): known to all again, and no ghosts."""

import pytest

from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import Scene

from .test_membership import rolls, until

FORGET = 4


def scene(town="navrang"):
    s = Scene(town=town, opt=tuning(forget=FORGET))
    s.settle(6)
    return s


def tombstones(s):
    return {n.name: len(n.soft_state.tombstones) for n in s.w.nodes.values() if n.hub}


@pytest.mark.parametrize("away", [["edge-surat-0"], ["edge-ahmedabad-1", "edge-vadodara-2"]])
def test_who_was_cut_off_for_longer_than_the_dead_are_remembered_is_known_to_all_again(away):
    s = scene()
    s.w.cut(away, [n for n in s.w.nodes if n not in away])
    s.w.run(4 * FORGET + 4)
    s.w.heal()
    assert until(s, lambda: rolls(s) == {12}, 20) < 8
    s.w.run(3)
    assert rolls(s) == {12} and len({n.members for n in s.w.nodes.values()}) == 1


def test_a_daemon_frozen_for_so_long_is_known_to_all_again_and_holds_no_ghosts():
    s = scene()
    n = s.w.nodes["edge-surat-0"]
    n.freeze(True)
    s.w.nodes["edge-vadodara-0"].kill()
    s.w.run(4 * FORGET + 4)
    n.freeze(False)
    assert until(s, lambda: rolls(s) == {11}, 20) < 8
    s.w.run(3)
    assert rolls(s) == {11}


def test_tombstones_go_everywhere_after_a_while():
    s = scene()
    s.w.nodes["edge-surat-0"].kill()
    s.w.run(2 * FORGET + 1)
    assert max(tombstones(s).values()) > 0
    s.w.run(2 * FORGET)
    assert set(tombstones(s).values()) == {0}
