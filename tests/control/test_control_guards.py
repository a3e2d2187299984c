"""Mutation tests: without each guard of a core, a test in test_control_safety.py must fail (docs/control-safety.md)."""

import pytest

from silverglade.control import view_proposer

from ..support.source_mutation import without
from . import test_control_safety as safety

PACKAGE = "silverglade.control."
GUARDS = [
    (
        "a late duplicate of the opening snapshot is accepted",
        safety.test_a_late_snapshot_never_undoes_a_synced_change,
        "snapshots",
        "if state.store_epoch == view.epoch and newest < newest_version(state.store):",
        "if False:",
        "admit_opening_snapshot",
    ),
    (
        "a recruiting snapshot for the current view is accepted",
        safety.test_a_late_snapshot_never_undoes_a_synced_change,
        "snapshots",
        "snapshot.epoch <= core.epoch or snapshot.epoch < state.recruited",
        "False",
        "admit_recruiting_snapshot",
    ),
    (
        "a recruited member does not seal its epoch",
        safety.test_a_recruited_member_confirms_no_more_changes_of_its_view,
        "snapshots",
        "state.sealed = max(state.sealed, core.epoch)",
        "pass",
        "admit_recruiting_snapshot",
    ),
    (
        "a sealed backup confirms changes",
        safety.test_a_recruited_member_confirms_no_more_changes_of_its_view,
        "replication",
        "if state.store_epoch != change.epoch or state.sealed >= change.epoch:",
        "if state.store_epoch != change.epoch:",
        "on_replicate",
    ),
    (
        "a backup with another disk confirms",
        safety.test_an_emptied_core_never_answers_for_its_former_disk,
        "snapshots",
        "not core.is_named_in(view) or ",
        "",
        "admit_opening_snapshot",
    ),
    (
        "a backup confirms before its disk has synced",
        safety.test_a_backup_answers_only_after_its_disk_has_synced,
        "replication",
        "    pruned = store.apply(state.store, change.items)\n",
        "    core.send_outgoing(confirmation)\n    pruned = store.apply(state.store, change.items)\n",
        "on_replicate",
    ),
    (
        "a witness answers before its disk has synced",
        safety.test_a_backup_answers_only_after_its_disk_has_synced,
        "witness",
        "    core.state.register = new_register\n",
        "    core.state.register = new_register\n    core.send(to, answer)\n",
        "vote",
    ),
    (
        "a confirmation of another change counts",
        safety.test_a_primary_answers_only_after_a_fresh_confirmation_by_its_backup,
        "replication",
        " or done.nonce != pending.nonce:",
        ":",
        "on_replicated",
    ),
    (
        "a confirmation of another epoch counts",
        safety.test_a_primary_answers_only_after_a_fresh_confirmation_by_its_backup,
        "replication",
        "done.epoch != led.epoch or ",
        "",
        "on_replicated",
    ),
    (
        "a refusal or a read is not confirmed",
        safety.test_a_primary_answers_only_after_a_fresh_confirmation_by_its_backup,
        "replication",
        "    else:\n        replicate(core, view, pending)\n",
        "    else:\n        commit(core, view, pending, now)\n",
        "begin",
    ),
    (
        "a superseded primary keeps its pending operations",
        safety.test_a_superseded_primary_answers_unknown_to_all_pending_operations,
        "replication",
        "    state.pending = None\n    state.queue.clear()\n",
        "",
        "abandon_operations",
    ),
    (
        "a change is sent to the backups before the primary's own disk has synced",
        safety.test_a_change_is_replicated_only_after_the_primarys_own_disk_has_synced,
        "replication",
        "ChangeWrittenByPrimary(pending.nonce), now)\n",
        "ChangeWrittenByPrimary(pending.nonce), now)\n        replicate(core, view, pending)\n",
        "begin",
    ),
    (
        "echoed stamps are not checked against this process",
        safety.test_a_stamp_of_an_earlier_process_is_no_proof,
        "liveness",
        "return sent if 0 <= sent <= to_milliseconds(now) else -1",
        "return echo",
        "echoed_send_time_ms",
    ),
    (
        "operations of a failed write are dropped",
        safety.test_after_a_failed_write_a_restarted_core_serves_no_gap_in_committed_items,
        "committed_items",
        "state.committed_unwritten = {**failed, **state.committed_unwritten}",
        "pass",
        "on_committed_items_written",
    ),
]


@pytest.mark.parametrize("what,test,module,old,new,target", GUARDS, ids=[guard[0] for guard in GUARDS])
def test_without_its_guard_a_safety_test_fails(what, test, module, old, new, target, monkeypatch):
    test()
    without(monkeypatch, PACKAGE + module, old, new, f"{PACKAGE}{module}.{target}")
    with pytest.raises(AssertionError):
        test()


def test_without_random_ballot_steps_a_ballot_is_used_twice(monkeypatch):
    monkeypatch.setattr(view_proposer, "BALLOT_RANDOM_BITS", 0)
    with pytest.raises(AssertionError):
        safety.test_two_processes_of_a_core_never_use_the_same_ballot()


def test_without_waiting_for_the_seal_a_snapshot_is_sent(monkeypatch):
    begin = view_proposer.ViewProposer.begin

    def without_waiting(self, *args):
        actions = begin(self, *args)
        self.sealed = True
        return actions

    monkeypatch.setattr(view_proposer.ViewProposer, "begin", without_waiting)
    with pytest.raises(AssertionError):
        safety.test_no_snapshot_is_sent_before_the_seal_is_on_disk()
