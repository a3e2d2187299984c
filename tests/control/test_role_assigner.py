"""The assignments that the role assigner requests, and the roles that it drops (design 5.6)."""

from datetime import timedelta

import pytest

from silverglade.control.role_assigner import RoleAssigner
from silverglade.membership.records import MemberRecord
from silverglade.runtime.effects import Post, WakeAt
from silverglade.runtime.events import AssignRoles, DropRoles, MembershipChanged, ReplicaZonesChanged, StoreUpdated, TimerFired
from silverglade.runtime.settings import tuning

SECOND = timedelta(seconds=1)
CONFIGURATION = {"tenants": {"tenant": {"homes": ["north", "south"]}}}


def member(name, zone, state="ready"):
    return MemberRecord(name, f"process-{name}", 1, 1, zone, f"region-{zone}", "", "", False, state)


def store(**roles):
    rows = {"config": ((1, 1), CONFIGURATION)}
    rows.update({key.replace("_", "/"): ((1, 2), value) for key, value in roles.items()})
    return rows


@pytest.fixture
def assigner():
    machine = RoleAssigner(tuning=tuning())
    machine.step(SECOND, MembershipChanged((member("a", "north"), member("b", "south"), member("c", "elsewhere"))))
    machine.step(SECOND, StoreUpdated(store(), (1, 2)))
    return machine


def wanted(machine, now=SECOND):
    """Return the assignments requested in one round."""
    posts = [effect.event for effect in machine.step(now, TimerFired()) if isinstance(effect, Post)]
    return [row for event in posts if isinstance(event, AssignRoles) for row in event.assignments]


def test_a_shard_without_owner_gets_one_in_a_home_zone(assigner):
    ((kind, name, base_epoch, holder, follower),) = wanted(assigner)
    assert (kind, name, base_epoch, follower) == ("shard", "tenant", 0, "")
    assert holder in ("a", "b")


@pytest.mark.parametrize("holder", ["a", "b"])
def test_a_live_holder_in_a_home_zone_stays(assigner, holder):
    assigner.step(SECOND, StoreUpdated(store(duty_shard_tenant=(4, holder, "")), (1, 2)))
    assert wanted(assigner) == []


def test_a_new_holder_continues_the_epoch_outside_the_followers_zone(assigner):
    assigner.step(SECOND, StoreUpdated(store(duty_shard_tenant=(4, "gone", "a")), (1, 2)))
    assert wanted(assigner) == [("shard", "tenant", 4, "b", "a")]


def test_a_holder_that_leaves_is_replaced(assigner):
    assigner.step(SECOND, StoreUpdated(store(duty_shard_tenant=(4, "a", "")), (1, 2)))
    assigner.step(SECOND, MembershipChanged((member("a", "north", "leaving"), member("b", "south"))))
    assert wanted(assigner) == [("shard", "tenant", 4, "b", "")]


def test_slot_leases_fall_back_to_the_replicas_region_if_its_zone_is_empty(assigner):
    assigner.step(SECOND, StoreUpdated(store(duty_shard_tenant=(4, "a", "")), (1, 2)))
    assigner.step(SECOND, ReplicaZonesChanged((("replica", "empty"),)))
    assert wanted(assigner) == []
    gone, near = member("x", "empty", "left"), member("y", "near")._replace(region="region-empty")
    assigner.step(SECOND, MembershipChanged((member("a", "north"), gone, near)))
    assert wanted(assigner, 3 * SECOND) == [("ledger", "replica", 0, "y", "")]


def test_an_unneeded_role_is_dropped_only_after_the_forget_time(assigner):
    roles = store(duty_shard_tenant=(4, "a", ""), duty_shard_former=(7, "b", ""))
    assigner.step(SECOND, StoreUpdated(roles, (1, 2)))
    first = assigner.step(SECOND, TimerFired())
    assert not any(isinstance(effect, Post) for effect in first)
    late = SECOND + assigner.tuning["forget"] + assigner.tuning["beat"]
    assert assigner.step(late, TimerFired())[0] == Post("control", DropRoles("shard", ("former",)))


def test_holders_are_compared_once_a_round(assigner):
    assert wanted(assigner)
    (effect,) = assigner.step(SECOND, TimerFired())
    assert effect == WakeAt(SECOND + assigner.tuning["beat"])
