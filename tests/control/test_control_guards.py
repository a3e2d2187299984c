"""The guards of one core, cut out one at a time: a test of test_control_safety.py must fall (docs/control-safety.md)."""

import pytest

from silverglade.control import seek

from ..support.source_mutation import without
from . import test_control_safety as safety

PACKAGE = "silverglade.control."
GUARDS = [
    (
        "a late copy of the opening snapshot is taken",
        safety.test_a_late_copy_never_undoes_a_synced_change,
        "snapshots",
        "if state.served == view.epoch and newest < newest_version(state.store):",
        "if False:",
        "accept_opening",
    ),
    (
        "a copy of one who sought the present view is taken",
        safety.test_a_late_copy_never_undoes_a_synced_change,
        "snapshots",
        "snapshot.epoch <= core.epoch or snapshot.epoch < state.recruited",
        "False",
        "accept_recruiting",
    ),
    (
        "a recruited member goes on in its view",
        safety.test_a_member_that_is_recruited_confirms_nothing_more_of_its_view,
        "snapshots",
        "state.sealed = max(state.sealed, core.epoch)",
        "pass",
        "accept_recruiting",
    ),
    (
        "a sealed backup confirms",
        safety.test_a_member_that_is_recruited_confirms_nothing_more_of_its_view,
        "replication",
        "if state.served != change.epoch or state.sealed >= change.epoch:",
        "if state.served != change.epoch:",
        "on_replicate",
    ),
    (
        "a backup of another disk confirms",
        safety.test_an_emptied_core_says_nothing_for_the_disk_that_it_had,
        "snapshots",
        "not core.is_named_in(view) or ",
        "",
        "accept_opening",
    ),
    (
        "a backup tells before its disk",
        safety.test_a_backup_says_nothing_before_its_disk,
        "replication",
        "    pruned = store.apply(state.store, change.items)\n",
        "    core.send_outgoing(confirmation)\n    pruned = store.apply(state.store, change.items)\n",
        "on_replicate",
    ),
    (
        "a witness tells before its disk",
        safety.test_a_backup_says_nothing_before_its_disk,
        "witness",
        "    core.state.register = new_register\n",
        "    core.state.register = new_register\n    core.send(to, answer)\n",
        "vote",
    ),
    (
        "a confirmation of another change counts",
        safety.test_a_primary_answers_nothing_that_its_backup_has_not_confirmed_just_now,
        "replication",
        " or done.nonce != pending.nonce:",
        ":",
        "on_replicated",
    ),
    (
        "a confirmation of another epoch counts",
        safety.test_a_primary_answers_nothing_that_its_backup_has_not_confirmed_just_now,
        "replication",
        "done.epoch != led.epoch or ",
        "",
        "on_replicated",
    ),
    (
        "a refusal or a read is not confirmed",
        safety.test_a_primary_answers_nothing_that_its_backup_has_not_confirmed_just_now,
        "replication",
        "    else:\n        replicate(core, view, pending)\n",
        "    else:\n        commit(core, view, pending, now)\n",
        "begin",
    ),
    (
        "what waited for an overtaken primary stays",
        safety.test_a_primary_that_was_overtaken_says_unknown_and_nothing_more,
        "replication",
        "    state.pending = None\n    state.queue.clear()\n",
        "",
        "abandon_operations",
    ),
    (
        "the backups are asked before the primary's own disk",
        safety.test_a_change_is_answered_only_when_it_is_on_the_primarys_disk_too,
        "replication",
        "ChangeWrittenByPrimary(pending.nonce), now)\n",
        "ChangeWrittenByPrimary(pending.nonce), now)\n        replicate(core, view, pending)\n",
        "begin",
    ),
    (
        "stamps are not held against this life",
        safety.test_a_stamp_of_an_earlier_life_is_no_proof,
        "liveness",
        "return sent if 0 <= sent <= to_milliseconds(now) else -1",
        "return echo",
        "own_echo",
    ),
    (
        "what a failed write did not bring to disk is dropped",
        safety.test_a_core_whose_disk_refused_one_of_two_changes_tells_both_or_neither_after_a_restart,
        "serving",
        "state.committed_unwritten = {**failed, **state.committed_unwritten}",
        "pass",
        "on_committed_items_written",
    ),
]


@pytest.mark.parametrize("what,test,module,old,new,target", GUARDS, ids=[guard[0] for guard in GUARDS])
def test_without_its_guard_a_test_falls(what, test, module, old, new, target, monkeypatch):
    test()
    without(monkeypatch, PACKAGE + module, old, new, f"{PACKAGE}{module}.{target}")
    with pytest.raises(AssertionError):
        test()


def test_without_its_random_step_a_ballot_is_used_twice(monkeypatch):
    monkeypatch.setattr(seek, "BALLOT_RANDOM_BITS", 0)
    with pytest.raises(AssertionError):
        safety.test_no_two_lives_of_a_core_use_one_ballot()


def test_without_waiting_for_the_seal_a_copy_leaves(monkeypatch):
    begin = seek.Seeker.begin

    def hasty(self, *args):
        actions = begin(self, *args)
        self.sealed = True
        return actions

    monkeypatch.setattr(seek.Seeker, "begin", hasty)
    with pytest.raises(AssertionError):
        safety.test_no_copy_leaves_before_the_seal_is_on_disk()
