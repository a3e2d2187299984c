"""Selection of the watchers that receive a daemon's heartbeats (design 4.2)."""

import pytest

from silverglade.membership.records import MemberRecord
from silverglade.membership.watchers import ring_order, watchers_of


def members(**zones):
    """Return the records of daemons by name, given the names (separated by spaces) in each zone."""
    return {
        name: MemberRecord(name, "process", 1, 1, zone, "region", "", "", False, "ready")
        for zone, names in zones.items()
        for name in names.split()
    }


FLEET = members(a="a1 a2 a3 a4 a5", b="b1 b2 b3", c="c1 c2")


@pytest.mark.parametrize("name", FLEET)
def test_half_of_the_watchers_are_in_the_daemons_zone_and_the_others_in_two_more_zones(name):
    zones = [FLEET[watcher].zone for watcher in watchers_of(name, FLEET, 4)]
    own = FLEET[name].zone
    near = min(2, sum(record.zone == own for record in FLEET.values()) - 1)
    assert zones[:near] == [own] * near
    assert own not in zones[near:] and len(set(zones[near:])) == 2


@pytest.mark.parametrize("name", FLEET)
def test_a_daemon_is_not_its_own_watcher_and_watchers_are_distinct(name):
    watchers = watchers_of(name, FLEET, 4)
    assert name not in watchers and len(set(watchers)) == len(watchers)


def test_a_daemon_that_has_left_watches_nobody():
    fleet = members(a="a1 a2")
    fleet["a2"] = fleet["a2"]._replace(state="left")
    assert watchers_of("a1", fleet, 4) == ()


def test_in_a_fleet_of_one_zone_all_watchers_are_of_it():
    assert len(watchers_of("a1", members(a="a1 a2 a3 a4 a5 a6"), 4)) == 4


def test_the_ring_has_the_same_order_for_all_daemons():
    names = sorted(FLEET)
    ring = ["a1", *ring_order("a1", names)]
    for index, name in enumerate(ring):
        assert ring_order(name, names) == ring[index + 1 :] + ring[:index]
