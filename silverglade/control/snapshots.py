"""Snapshots of the whole store (design 5.4): for recruits of a later view, and for the backups of a view that opens."""

from __future__ import annotations

from datetime import timedelta

from . import committed_items, liveness, replication, store, view_change
from .context import CoreContext
from .disk_writes import Outgoing, WholeStoreWritten, meta_puts
from .messages import Snapshot, SnapshotSynced
from .replicated_state import INITIAL_VERSION, newest_version
from .state import OpeningSnapshot, StoreOnDisk
from .view import View, disks, members


def send_opening_snapshot(core: CoreContext, view: View, now: timedelta) -> None:
    """Send a new primary's whole store to the backups that have not synced it; it replicates no change before they have."""
    state = core.state
    if state.store_on_disk is StoreOnDisk.INCOMPLETE:
        core.write_whole_store(now)
    if state.opening_snapshot and now - state.opening_snapshot.sent < core.settings.tuning["takeover"] / 2:
        return
    state.opening_snapshot = OpeningSnapshot(state.opening_snapshot.nonce if state.opening_snapshot else core.rng.getrandbits(48), now)
    missing = [name for name in view.backups if name not in state.snapshot_synced_by]
    if missing:
        snapshot = Snapshot(view.epoch, state.opening_snapshot.nonce, view, store.newer_items(state.store))
        for name in missing:
            core.send(name, snapshot)


def open_if_synced(core: CoreContext, now: timedelta) -> None:
    """Open the view of which this core is primary, once it and all backups have synced its store."""
    state, view = core.state, core.led_view()
    if view is None or state.open_epoch == view.epoch or state.sealed >= view.epoch:
        return
    if state.store_on_disk is not StoreOnDisk.COMPLETE or not state.snapshot_synced_by >= set(view.backups):
        return
    state.open_epoch = view.epoch
    core.log("primary-open", epoch=view.epoch)
    committed_items.commit(core, store.newer_items(state.store), newest_version(state.store), now)
    if state.pending:  # it is part of the store that all members have synced
        replication.commit(core, view, state.pending, now)
    for name in core.others():
        liveness.send_heartbeat(core, name, now)
    committed_items.answer_held_requests(core, now)


def on_whole_store_written(core: CoreContext, written: WholeStoreWritten, succeeded: bool) -> None:
    """Continue after a write of the whole store; it determines the state on disk only within the view in which it started."""
    if written.epoch == core.epoch:
        core.state.store_on_disk = StoreOnDisk.COMPLETE if succeeded else StoreOnDisk.INCOMPLETE
    if succeeded and written.outgoing:
        core.send_outgoing(written.outgoing)


def on_snapshot(core: CoreContext, sender: str, snapshot: Snapshot, now: timedelta) -> None:
    """Install a snapshot from a primary that opens its view, or from a member that proposes a later one, unless it is out of date."""
    if snapshot.view is not None:
        accepted = admit_opening_snapshot(core, sender, snapshot, snapshot.view, now)
    else:
        accepted = admit_recruiting_snapshot(core, snapshot)
    if accepted:
        install_snapshot(core, sender, snapshot, now)


def admit_opening_snapshot(core: CoreContext, sender: str, snapshot: Snapshot, view: View, now: timedelta) -> bool:
    """Adopt the view that a snapshot opens with this core as backup; return False if the snapshot is not to be installed.

    A late snapshot must not undo synced changes.
    """
    state = core.state
    if snapshot.epoch != view.epoch or sender != view.primary or core.name not in view.backups:
        return False
    if not core.is_named_in(view) or view.epoch < core.epoch or state.sealed >= view.epoch:
        return False
    view_change.adopt(core, view, now)
    newest = max((version for _, version, _ in snapshot.items), default=INITIAL_VERSION)
    if state.store_epoch == view.epoch and newest < newest_version(state.store):
        return False
    state.store_epoch = view.epoch
    return True


def admit_recruiting_snapshot(core: CoreContext, snapshot: Snapshot) -> bool:
    """Seal the epoch for a snapshot that recruits this core for a later view; return False if the snapshot is not to be installed.

    Only a member of the current view has an epoch to seal; it then accepts no more changes in that view. Operations that are
    pending or queued at this core are abandoned. A core that leaves cannot be recruited: it might exit before the view that
    depends on it is chosen.
    """
    state = core.state
    if snapshot.epoch <= core.epoch or snapshot.epoch < state.recruited:
        return False
    if state.writes.leaving:
        return False
    if core.name in members(state.view):
        state.sealed = max(state.sealed, core.epoch)
    replication.abandon_operations(core)
    return True


def install_snapshot(core: CoreContext, sender: str, snapshot: Snapshot, now: timedelta) -> None:
    """Replace the store by a snapshot, and confirm it to its sender once it is on disk."""
    state = core.state
    state.recruited = max(state.recruited, snapshot.epoch)
    state.store = {key: (version, value) for key, version, value in snapshot.items}
    kept = meta_puts(recruited=state.recruited, served=state.store_epoch, sealed=state.sealed, reg=state.register.stored())
    synced = Outgoing(sender, SnapshotSynced(snapshot.epoch, snapshot.nonce, core.settings.disk))
    core.write(store.rewrite_all(state.store) + kept, WholeStoreWritten(core.epoch, synced), now)


def on_snapshot_synced(core: CoreContext, sender: str, synced: SnapshotSynced, now: timedelta) -> None:
    """Record that a recruit, or a backup of the view that opens, has synced a snapshot."""
    state, led = core.state, core.led_view()
    if state.view_proposer is not None and state.view_proposer.awaits_copy(synced.epoch, synced.nonce):
        state.recruits_synced[sender, synced.epoch, synced.nonce] = synced.disk
    if led is None or state.opening_snapshot is None or synced.nonce != state.opening_snapshot.nonce or synced.epoch != led.epoch:
        return
    if sender in led.backups and synced.disk == disks(led)[sender]:
        state.snapshot_synced_by.add(sender)
        open_if_synced(core, now)
