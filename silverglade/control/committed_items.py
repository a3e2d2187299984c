"""Committed items: answering daemons' requests for updates, and bringing other cores up to date (design 5.7)."""

from __future__ import annotations

from datetime import timedelta

from ..runtime.components import Component
from ..runtime.effects import to_milliseconds
from ..runtime.events import AnswerRequested, UpdateRequestReceived
from . import store
from .context import CoreContext
from .disk_writes import CommittedItemsWritten, DiskOperation, meta_puts
from .messages import CommittedItems, Pull, UpdateRequest
from .replicated_state import Items, Version, items_since, newest_version
from .state import HeldRequest


def commit(core: CoreContext, items: Items, version: Version, now: timedelta) -> None:
    """Commit acknowledged items. They are written to disk asynchronously, so that a restarted core has them."""
    state = core.state
    operations, state.pulled_at = store.commit(state.committed_items, items), None
    if version > state.committed_version or operations:
        state.committed_version = max(state.committed_version, version)
        state.committed_unwritten.update((key_of(operation), operation) for operation in operations)
        write_committed(core, now)


def key_of(operation: DiskOperation) -> str:
    """Return the key that a disk operation puts or deletes."""
    _, _, key, *_ = operation
    return str(key)


def write_committed(core: CoreContext, now: timedelta) -> None:
    """Write committed items to disk, one write at a time.

    The items on disk must be complete up to the version on disk, even after a failed write.
    """
    state = core.state
    if state.committed_write_in_progress:
        return
    operations, state.committed_unwritten, state.committed_write_in_progress = state.committed_unwritten, {}, True
    written = CommittedItemsWritten(state.committed_version, tuple(operations.values()))
    core.write([*operations.values(), *meta_puts(shown=state.committed_version)], written, now)


def on_committed_items_written(core: CoreContext, written: CommittedItemsWritten, succeeded: bool, now: timedelta) -> None:
    """Continue after a write of committed items; operations that failed are repeated with the next write."""
    state = core.state
    state.committed_write_in_progress = False
    if not succeeded:
        failed = {key_of(operation): operation for operation in written.operations}
        state.committed_unwritten = {**failed, **state.committed_unwritten}
    elif state.committed_unwritten or state.committed_version > written.version:
        write_committed(core, now)


def proof_age_ms(core: CoreContext, now: timedelta) -> int:
    """Return the age, by this core's clock, of the latest proof that the primary leads, in ms; -1 if there is none."""
    return -1 if core.state.proved_at is None else to_milliseconds(now - core.state.proved_at)


def answer_held_requests(core: CoreContext, now: timedelta) -> None:
    """Answer the held requests for which there is an update or whose long poll has timed out (design 5.7)."""
    state = core.state
    if not state.held_requests:
        return
    age = proof_age_ms(core, now)
    longest_wait = core.settings.tuning["ask_wait"]
    waiting = []
    for request in state.held_requests:
        moved = state.table_position not in (None, request.position)
        if state.committed_version > request.version or now - request.received >= longest_wait or moved:
            answer_update(core, request, age, now)
        else:
            waiting.append(request)
    state.held_requests = waiting


def answer_update(core: CoreContext, request: HeldRequest, age: int, now: timedelta) -> None:
    """Send the answer to a request for updates through the core table, which appends the changes of soft state (design 4.3)."""
    state = core.state
    for_core = request.sender == core.name or request.sender in core.others()
    items = items_since(state.committed_items, request.version, for_core=for_core)
    update = ("news", request.number, state.committed_version, items, age, to_milliseconds(now - request.received))
    core.post(Component.CORE_TABLE, AnswerRequested(request.sender, update, request.position))


def on_update_request(core: CoreContext, sender: str, request: UpdateRequest, now: timedelta) -> None:
    """Hold a daemon's request for updates until there is an update or it times out."""
    core.state.held_requests.append(HeldRequest(now, sender, request.number, request.version, request.position))
    core.post(Component.CORE_TABLE, UpdateRequestReceived(sender))
    answer_held_requests(core, now)


def on_committed_items(core: CoreContext, message: CommittedItems, now: timedelta) -> None:
    """Commit items that another core of this view has committed."""
    state, items = core.state, message.items
    if state.view is None or message.epoch != state.view.epoch:
        return
    if not items and core.backed_view() and newest_version(state.store) == message.version:
        items = store.newer_items(state.store, message.previous)  # a backup already has them in its store
    if items and state.committed_version >= message.previous:
        commit(core, items, message.version, now)
        answer_held_requests(core, now)


def on_pull(core: CoreContext, sender: str, pull: Pull) -> None:
    """Send another core the committed items that it lacks."""
    state = core.state
    if state.view is None or core.led_view() and not core.open_view():
        return
    items = store.newer_items(state.committed_items, pull.version)
    core.send(sender, CommittedItems(state.view.epoch, pull.version, state.committed_version, items))
