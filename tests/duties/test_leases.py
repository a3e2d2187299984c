"""Lease times, and the assignment of duties (design 18.1)."""

from datetime import timedelta

import pytest

from silverglade.control.role_assigner import RoleAssigner
from silverglade.duties.lease_times import LeaseTimes
from silverglade.duties.leases import DutyLeases
from silverglade.membership.records import MemberRecord
from silverglade.runtime.effects import LogRecord, Post, SetLease
from silverglade.runtime.events import AssignRoles, DropRoles, MembershipChanged, ProcessPaused, ProofRenewed, StoreUpdated, TimerFired
from silverglade.runtime.settings import checked, tuning

SECOND = timedelta(seconds=1)
TIMES = LeaseTimes.of(3 * SECOND)


def duty_leases():
    return DutyLeases(own_name="a", tuning=tuning(duties=["usage"], duty_lease=3.0))


def store(epoch, holder):
    return {"duty/platform/usage": ((1, epoch), (epoch, holder, ""))}


def last_lease(effects):
    """Return the (token, usable_until) set last for the writer of platform calls; None if none was set."""
    found = [(effect.token, effect.usable_until) for effect in effects if isinstance(effect, SetLease)]
    return found[-1] if found else None


def test_a_new_holder_acts_after_the_takeover_wait_while_its_proof_is_fresh():
    machine = duty_leases()
    machine.step(SECOND, ProofRenewed(SECOND))
    assert last_lease(machine.step(SECOND, StoreUpdated(store(4, "a"), (1, 4)))) == (4, None)
    wait_end = SECOND + TIMES.takeover_wait
    machine.step(wait_end - timedelta(milliseconds=1), ProofRenewed(wait_end - SECOND))
    assert machine._published_leases["usage"].usable_until is None
    assert last_lease(machine.step(wait_end, TimerFired())) == (4, wait_end - SECOND + TIMES.proof_lifetime)


def test_each_proof_extends_the_lease_and_another_holder_ends_it():
    machine = duty_leases()
    machine.step(SECOND, StoreUpdated(store(4, "a"), (1, 4)))
    assert last_lease(machine.step(20 * SECOND, ProofRenewed(19 * SECOND))) == (4, 19 * SECOND + TIMES.proof_lifetime)
    assert last_lease(machine.step(21 * SECOND, ProofRenewed(20 * SECOND))) == (4, 20 * SECOND + TIMES.proof_lifetime)
    assert last_lease(machine.step(21 * SECOND, StoreUpdated(store(5, "b"), (1, 5)))) == (None, None)


# Guards against: a holder that missed the term of another holder acts at once, as if it had held the duty throughout.
def test_a_holder_waits_again_after_another_one_held_the_duty_in_between():
    machine = duty_leases()
    machine.step(SECOND, StoreUpdated(store(4, "a"), (1, 4)))
    machine.step(20 * SECOND, ProofRenewed(20 * SECOND))
    assert last_lease(machine.step(20 * SECOND, StoreUpdated(store(6, "a"), (1, 6)))) == (6, None)


# Guards against: a daemon acts on a proof obtained before its process was paused.
def test_a_process_pause_suspends_the_lease_until_the_next_proof():
    machine = duty_leases()
    machine.step(SECOND, StoreUpdated(store(4, "a"), (1, 4)))
    machine.step(20 * SECOND, ProofRenewed(20 * SECOND))
    assert last_lease(machine.step(20 * SECOND, ProcessPaused())) == (4, None)


@pytest.mark.parametrize("lease_s", [2.7, 3.0, 10.0])
def test_the_lease_times_exclude_two_holders_at_once(lease_s):
    lease = timedelta(seconds=lease_s)
    times = LeaseTimes.of(lease)
    last_act = times.proof_lifetime + times.call_timeout  # of the old holder, after the reassignment
    assert times.takeover_wait > last_act
    # the role moves A, B, A: B acted on a proof obtained before A was named again
    first_act_of_a_again = times.takeover_wait - times.proof_lifetime + times.takeover_wait
    assert first_act_of_a_again - last_act > lease


def member(name, *, state="ready", is_core=True):
    return MemberRecord(name, f"process-{name}", 1, 1, "z", "r", "", "", is_core, state)


def posted(machine, now):
    return [effect.event for effect in machine.step(now, TimerFired()) if isinstance(effect, Post)]


def assigner(**values):
    machine = RoleAssigner(tuning=tuning(**values))
    machine.step(SECOND, MembershipChanged((member("a"), member("b"), member("edge", is_core=False))))
    return machine


def test_duties_are_assigned_to_cores_and_stay_with_their_holder():
    machine = assigner(duties=["usage", "scale"])
    ((first, second),) = [event.assignments for event in posted(machine, SECOND)]
    assert first[:3] == ("platform", "usage", 0) and second[:3] == ("platform", "scale", 0)
    assert first[3] in ("a", "b") and second[3] in ("a", "b")
    for holder in ("a", "b"):
        machine = assigner(duties=["usage"])
        machine.step(SECOND, StoreUpdated(store(7, holder), (1, 7)))
        assert posted(machine, SECOND) == []


def test_a_leaving_holder_is_replaced_based_on_its_epoch():
    machine = assigner(duties=["usage"])
    machine.step(SECOND, StoreUpdated(store(7, "a"), (1, 7)))
    machine.step(SECOND, MembershipChanged((member("a", state="leaving"), member("b"))))
    assert posted(machine, SECOND) == [AssignRoles((("platform", "usage", 7, "b", ""),))]


# Guards against: a duty that was dropped is assigned again with an epoch that was already used.
def test_a_duty_is_never_dropped():
    machine = assigner()
    machine.step(SECOND, StoreUpdated(store(7, "a"), (1, 7)))
    events = [event for turn in range(1, 2000) for event in posted(machine, turn * SECOND)]
    assert not [event for event in events if isinstance(event, DropRoles)]
    assert events == []


SETTINGS = {"name": "n", "zone": "z", "region": "r", "listen": "127.0.0.1:1", "http": "127.0.0.1:2", "seeds": ["127.0.0.1:1"]}


def log_fields(effects, event):
    """Return the fields of the log lines of this event."""
    return [dict(effect.pairs) for effect in effects if isinstance(effect, LogRecord) and effect.event == event]


# Guards against: a daemon does not start because the platform's lease is shorter than the usual age of a proof.
def test_a_lease_shorter_than_the_normal_age_of_a_proof_is_logged_once_and_used_only_with_a_fresh_proof():
    raw = {**SETTINGS, "cores": ["x", "y", "z"], "tuning": {"duties": ["usage"], "duty_lease": 1.0}}
    machine, times = DutyLeases(own_name="a", tuning=checked(raw)["tuning"]), LeaseTimes.of(SECOND)
    assert log_fields(machine.step(SECOND, TimerFired()), "duty-lease-short") == [{"lease_ms": 1000, "least_ms": 2625}]
    assert log_fields(machine.step(SECOND, StoreUpdated(store(4, "a"), (1, 4))), "duty-lease-short") == []
    old = machine.step(20 * SECOND, ProofRenewed(20 * SECOND - 1.75 * SECOND))
    assert last_lease(old) == (4, 20 * SECOND - 1.75 * SECOND + times.proof_lifetime)  # which has passed
    assert last_lease(machine.step(21 * SECOND, ProofRenewed(21 * SECOND))) == (4, 21 * SECOND + times.proof_lifetime)


def test_a_long_enough_lease_is_not_logged():
    assert log_fields(duty_leases().step(SECOND, TimerFired()), "duty-lease-short") == []
