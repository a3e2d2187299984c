"""Replication of changes (design 5.4): one in flight, of what waited, synced by the primary, then by all backups, then answered."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from . import replicated_state as bk
from . import serving, store
from .context import CoreContext
from .messages import Fence, Fenced, Item, Items, Operation, OperationResult, Replicate, Replicated, Result, ShownItems, Version
from .state import Answer, Client, PendingChange, QueuedOperation, StoreOnDisk
from .view import View
from .writes import ChangeWrittenByBackup, ChangeWrittenByPrimary, Outgoing

MOST_QUEUED = 256
UNKNOWN: Result = ("unknown",)


def answer(core: CoreContext, client: Client | None, result: Result) -> None:
    """Tell a client, if there is one."""
    if client:
        core.send(client[0], OperationResult(client[1], result))


def abandon(core: CoreContext) -> None:
    """What waits may be settled under another view, or not: nobody here can know."""
    state = core.state
    if state.pending:
        for waiting_for_it in state.pending.answers:
            answer(core, waiting_for_it.client, UNKNOWN)
    for waiting in state.queue:
        answer(core, waiting.client, UNKNOWN)
    state.pending = None
    state.queue.clear()


def on_operation(core: CoreContext, sender: str, operation: Operation) -> None:
    """A client asks for an operation. One asked again while it waits counts once; without room there is no answer, so that
    it is asked again."""
    state, client = core.state, (sender, operation.number)
    if core.led_view() is None or not state.writes.fit:
        point_to_primary(core, sender, operation.number)
    elif len(state.queue) < MOST_QUEUED and not is_waiting(core, client):
        state.queue.append(QueuedOperation(client, operation.change, operation.operation, operation.digest))


def point_to_primary(core: CoreContext, sender: str, number: int) -> None:
    """This core takes no operations."""
    primary = core.state.view.primary if core.state.view else ""
    core.send(sender, OperationResult(number, ("elsewhere", primary)))


def on_fence(core: CoreContext, sender: str, fence: Fence) -> None:
    """A client asks for the version on which its operation would rest. It is told from memory: a version that is too old, or
    that will not last, makes the operation stale; none that is still to come can be told."""
    state, view = core.state, core.open_view()
    if core.led_view() is None or not state.writes.fit:
        point_to_primary(core, sender, fence.number)
    elif view is not None and state.sealed < view.epoch:
        core.send(sender, Fenced(fence.number, bk.fence(state.store, fence.operation)))


def is_waiting(core: CoreContext, client: Client) -> bool:
    """Is the operation of this client queued or in flight?"""
    state = core.state
    in_flight = state.pending is not None and any(told.client == client for told in state.pending.answers)
    return in_flight or any(waiting.client == client for waiting in state.queue)


def on_duties(core: CoreContext, operation: tuple[Any, ...], now: timedelta) -> None:
    """The keeper of duties asks for a change. Only what was decided in touch with the backups: a cut-off roll is no ground."""
    state, takeover = core.state, core.settings.tuning["takeover"]
    in_touch = state.proven_at is not None and now - state.proven_at <= takeover
    if core.open_view() and in_touch and not state.queue and not state.pending:
        state.queue.append(QueuedOperation(None, "", operation, ""))


def begin_next(core: CoreContext, now: timedelta) -> None:
    """What waits, if the primary may begin something: one change in flight (design 5.4)."""
    state = core.state
    if not state.queue or state.pending:
        return
    view = core.open_view()
    if view is None or state.sealed >= view.epoch or state.store_on_disk is not StoreOnDisk.WHOLE:
        return
    while state.queue and not state.pending:
        begin(core, view, now)


def begin(core: CoreContext, view: View, now: timedelta) -> None:
    """Work out the outcomes of what waits, each on what the one before left, as one change: so that a round with the backups
    serves many, and those who come at once need not wait for each other's. It is written here first. Reads and refusals are
    confirmed by the backups."""
    state = core.state
    previous = bk.newest_version(state.store)
    answers, items, gone = work_out(core, view, now)
    if not answers:
        return
    state.pending = pending = PendingChange(
        answers=answers,
        items=items,
        version=bk.newest_version(state.store),
        previous=previous,
        synced_here=not items,
        nonce=core.rng.getrandbits(48),
        sent=now,
    )
    if items:
        core.write(store.changed(items, gone), ChangeWrittenByPrimary(pending.nonce), now)
    else:
        replicate(core, view, pending)


def work_out(core: CoreContext, view: View, now: timedelta) -> tuple[tuple[Answer, ...], Items, set[str]]:
    """Take from the queue what goes together -> the answers, the items of their changes, the keys that go. It ends with a
    configuration, since two may not fit one frame."""
    state = core.state
    answers: list[Answer] = []
    items: list[Item] = []
    gone: set[str] = set()
    while state.queue:
        operation = state.queue.pop(0)
        result, more = outcome(core, view, operation, now)
        if result == bk.STALE:  # says nothing of the store, so the backups need not confirm it
            answer(core, operation.client, result)
            continue
        answers.append(Answer(operation.client, result))
        items.extend(more)
        gone.update(store.take(state.store, more))
        if any(key == "config" for key, _, _ in more):
            break
    return tuple(answers), tuple(items), gone - state.store.keys()


def outcome(core: CoreContext, view: View, operation: QueuedOperation, now: timedelta) -> tuple[Result, Items]:
    """Of one operation on the store as it stands."""
    state = core.state
    previous = bk.newest_version(state.store)
    result: tuple[Result, Items] = bk.outcome(
        state.store,
        change=operation.change,
        op=operation.operation,
        key=operation.digest,
        at=next_version(view, previous),
        prev=previous,
        aged=state.outcome_ages.newest_aged(now, state.awake_since, previous, core.settings.tuning["outcome_keep"]),
    )
    return result


def next_version(view: View, previous: Version) -> Version:
    """That of the first change of a view, or of the one after `previous`."""
    return (view.epoch, previous[1] + 1 if previous[0] == view.epoch else 1)


def note_change_written(core: CoreContext, ok: bool) -> None:
    """A failed write of a change tears the store on disk; nothing but a whole write mends it."""
    if not ok and core.state.store_on_disk is StoreOnDisk.WHOLE:
        core.state.store_on_disk = StoreOnDisk.TORN


def on_written_by_primary(core: CoreContext, written: ChangeWrittenByPrimary, ok: bool) -> None:
    """The primary has synced the change, or failed to."""
    note_change_written(core, ok)
    view, pending = core.state.view, core.state.pending
    if view is not None and pending is not None and pending.nonce == written.nonce:
        pending.synced_here = ok
        if ok:
            replicate(core, view, pending)


def replicate(core: CoreContext, view: View, pending: PendingChange) -> None:
    """To every backup that has not synced it."""
    message = Replicate(view.epoch, pending.nonce, pending.previous, pending.version, pending.items)
    for name in view.backups:
        if name not in pending.synced_by:
            core.send(name, message)


def replicate_again(core: CoreContext, view: View, now: timedelta) -> None:
    """A backup's answer is late. Synced here first: the primary is never behind."""
    pending = core.state.pending
    if pending and pending.synced_here and now - pending.sent >= core.settings.tuning["takeover"] / 2:
        pending.sent = now
        replicate(core, view, pending)


def on_replicate(core: CoreContext, sender: str, change: Replicate, now: timedelta) -> None:
    """A backup is sent a change, or asked whether the view still holds."""
    state, view = core.state, core.backed_view()
    if view is None or change.epoch != view.epoch or sender != view.primary:
        return
    if state.served != change.epoch or state.sealed >= change.epoch:
        return
    if bk.newest_version(state.store) not in (change.previous, change.version):
        return  # the primary will copy afresh on its next opening
    confirmation = Outgoing(sender, Replicated(change.epoch, change.nonce))
    if not change.items:
        core.send_outgoing(confirmation)
        return
    gone = store.take(state.store, change.items)
    core.write(store.changed(change.items, gone), ChangeWrittenByBackup(confirmation), now)


def on_written_by_backup(core: CoreContext, written: ChangeWrittenByBackup, ok: bool) -> None:
    """A backup has synced the change, or failed to."""
    note_change_written(core, ok)
    if ok:
        core.send_outgoing(written.outgoing)


def on_replicated(core: CoreContext, sender: str, done: Replicated, now: timedelta) -> None:
    """A backup has synced the change in flight; when all have, it is acknowledged."""
    pending, led = core.state.pending, core.led_view()
    if pending is None or led is None or done.epoch != led.epoch or done.nonce != pending.nonce:
        return
    if sender in led.backups:
        pending.synced_by.add(sender)
    if core.open_view() and pending.synced_here and pending.synced_by >= set(led.backups):
        commit(core, led, pending, now)


def commit(core: CoreContext, view: View, pending: PendingChange, now: timedelta) -> None:
    """All members have synced: show it, answer, tell the others."""
    state = core.state
    state.pending = None
    if pending.items:
        serving.show(core, pending.items, pending.version, now)
        for name in core.others():
            items = () if name in view.backups else pending.items  # backups hold the items already
            core.send(name, ShownItems(view.epoch, pending.previous, state.shown_version, items))
    for told in pending.answers:
        answer(core, told.client, told.result)
    serving.serve(core, now)
