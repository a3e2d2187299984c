"""What was acknowledged, and telling it: to daemons as news, to other cores that are behind (design 5.7)."""

from __future__ import annotations

from datetime import timedelta

from ..runtime.effects import to_milliseconds
from . import replicated_state as bk
from . import store
from .context import CoreContext
from .messages import Items, NewsRequest, Pull, ShownItems, Version
from .state import HeldRequest
from .writes import DiskOperation, ShownWritten, keep


def show(core: CoreContext, items: Items, version: Version, now: timedelta) -> None:
    """Acknowledged. Kept on disk by and by: a core that starts again tells it at once (5.7)."""
    state = core.state
    operations, state.pulled_at = store.show(state.shown_items, items), None
    if version > state.shown_version or operations:
        state.shown_version = max(state.shown_version, version)
        state.shown_unwritten.update((key_of(operation), operation) for operation in operations)
        write_shown(core, now)


def key_of(operation: DiskOperation) -> str:
    """The key that a disk operation puts or deletes."""
    return str(operation[2])


def write_shown(core: CoreContext, now: timedelta) -> None:
    """One write at a time: on disk nothing may be missing below the version there, also when a write of some failed."""
    state = core.state
    if state.shown_write_under_way:
        return
    operations, state.shown_unwritten, state.shown_write_under_way = state.shown_unwritten, {}, True
    written = ShownWritten(state.shown_version, tuple(operations.values()))
    core.write([*operations.values(), *keep(shown=state.shown_version)], written, now)


def on_shown_written(core: CoreContext, written: ShownWritten, ok: bool, now: timedelta) -> None:
    """A write of shown items has ended. What it did not bring to disk goes with the next."""
    state = core.state
    state.shown_write_under_way = False
    if not ok:
        failed = {key_of(operation): operation for operation in written.operations}
        state.shown_unwritten = {**failed, **state.shown_unwritten}
    elif state.shown_unwritten or state.shown_version > written.version:
        write_shown(core, now)


def proof_age(core: CoreContext, now: timedelta) -> int:
    """How old the last proof is that the primary was still primary, in ms; -1: there is none."""
    return -1 if core.state.proven_at is None else to_milliseconds(now - core.state.proven_at)


def serve(core: CoreContext, now: timedelta) -> None:
    """Answer held requests that have news, or have been held long enough (design 5.7)."""
    state = core.state
    if not state.held:
        return
    age, longest, waiting = proof_age(core, now), core.settings.tuning["ask_wait"], []
    for request in state.held:
        moved = state.table_position not in (None, request.position)
        if state.shown_version > request.version or now - request.received >= longest or moved:
            answer_news(core, request, age, now)
        else:
            waiting.append(request)
    state.held = waiting


def answer_news(core: CoreContext, request: HeldRequest, age: int, now: timedelta) -> None:
    """The table sends the answer, with what is new of soft state (4.3)."""
    state = core.state
    items = bk.items_since(state.shown_items, request.version)
    news = ("news", request.number, state.shown_version, items, age, to_milliseconds(now - request.received))
    core.post("core_table", "answer", request.sender, news, request.position)


def on_news_request(core: CoreContext, sender: str, request: NewsRequest, now: timedelta) -> None:
    """A daemon asks for news."""
    core.state.held.append(HeldRequest(now, sender, request.number, request.version, request.position))
    core.post("core_table", "asked", sender)
    serve(core, now)


def on_shown_items(core: CoreContext, shown: ShownItems, now: timedelta) -> None:
    """Another core of this view tells what was acknowledged."""
    state, items = core.state, shown.items
    if state.view is None or shown.epoch != state.view.epoch:
        return
    if not items and core.backed_view() and bk.newest_version(state.store) == shown.version:
        items = store.rows(state.store, shown.previous)  # a backup holds them already
    if items and state.shown_version >= shown.previous:
        show(core, items, shown.version, now)
        serve(core, now)


def on_pull(core: CoreContext, sender: str, pull: Pull) -> None:
    """Another core asks for what was acknowledged."""
    state = core.state
    if state.view is None or core.led_view() and not core.open_view():
        return
    items = store.rows(state.shown_items, pull.version)
    core.send(sender, ShownItems(state.view.epoch, pull.version, state.shown_version, items))
