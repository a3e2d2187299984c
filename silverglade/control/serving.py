"""Committed items, and telling them: to daemons that ask for updates, and to other cores that are behind (design 5.7)."""

from __future__ import annotations

from datetime import timedelta

from ..runtime.components import Component
from ..runtime.effects import to_milliseconds
from ..runtime.events import AnswerRequested, UpdateRequestReceived
from . import store
from .context import CoreContext
from .messages import CommittedItems, Pull, UpdateRequest
from .replicated_state import Items, Version, items_since, newest_version
from .state import HeldRequest
from .writes import CommittedItemsWritten, DiskOperation, keep


def commit(core: CoreContext, items: Items, version: Version, now: timedelta) -> None:
    """Commit items that were acknowledged. They are written to disk without haste, so that a core that starts again has them."""
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

    On disk no item may be missing below the version that stands there, also when a write of some failed.
    """
    state = core.state
    if state.committed_write_under_way:
        return
    operations, state.committed_unwritten, state.committed_write_under_way = state.committed_unwritten, {}, True
    written = CommittedItemsWritten(state.committed_version, tuple(operations.values()))
    core.write([*operations.values(), *keep(shown=state.committed_version)], written, now)


def on_committed_items_written(core: CoreContext, written: CommittedItemsWritten, succeeded: bool, now: timedelta) -> None:
    """Go on after a write of committed items. What it did not bring to disk goes with the next."""
    state = core.state
    state.committed_write_under_way = False
    if not succeeded:
        failed = {key_of(operation): operation for operation in written.operations}
        state.committed_unwritten = {**failed, **state.committed_unwritten}
    elif state.committed_unwritten or state.committed_version > written.version:
        write_committed(core, now)


def proof_age(core: CoreContext, now: timedelta) -> int:
    """Return how old the last proof is that the primary was still primary, in ms; -1 for none."""
    return -1 if core.state.proven_at is None else to_milliseconds(now - core.state.proven_at)


def answer_held(core: CoreContext, now: timedelta) -> None:
    """Answer the held requests for which there is an update, or that have been held long enough (design 5.7)."""
    state = core.state
    if not state.held:
        return
    age = proof_age(core, now)
    longest_wait = core.settings.tuning["ask_wait"]
    waiting = []
    for request in state.held:
        moved = state.table_position not in (None, request.position)
        if state.committed_version > request.version or now - request.received >= longest_wait or moved:
            answer_update(core, request, age, now)
        else:
            waiting.append(request)
    state.held = waiting


def answer_update(core: CoreContext, request: HeldRequest, age: int, now: timedelta) -> None:
    """Answer a request for updates; the core table appends what is new of soft state (design 4.3)."""
    state = core.state
    for_core = request.sender == core.name or request.sender in core.others()
    items = items_since(state.committed_items, request.version, for_core=for_core)
    update = ("news", request.number, state.committed_version, items, age, to_milliseconds(now - request.received))
    core.post(Component.CORE_TABLE, AnswerRequested(request.sender, update, request.position))


def on_update_request(core: CoreContext, sender: str, request: UpdateRequest, now: timedelta) -> None:
    """Hold a daemon's request for updates until there is one."""
    core.state.held.append(HeldRequest(now, sender, request.number, request.version, request.position))
    core.post(Component.CORE_TABLE, UpdateRequestReceived(sender))
    answer_held(core, now)


def on_committed_items(core: CoreContext, message: CommittedItems, now: timedelta) -> None:
    """Take in what another core of this view has committed."""
    state, items = core.state, message.items
    if state.view is None or message.epoch != state.view.epoch:
        return
    if not items and core.backed_view() and newest_version(state.store) == message.version:
        items = store.rows(state.store, message.previous)  # a backup holds them already
    if items and state.committed_version >= message.previous:
        commit(core, items, message.version, now)
        answer_held(core, now)


def on_pull(core: CoreContext, sender: str, pull: Pull) -> None:
    """Send another core what it lacks of the committed items."""
    state = core.state
    if state.view is None or core.led_view() and not core.open_view():
        return
    items = store.rows(state.committed_items, pull.version)
    core.send(sender, CommittedItems(state.view.epoch, pull.version, state.committed_version, items))
