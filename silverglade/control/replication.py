"""Replication of changes (design 5.4): one in flight, synced by the primary, then by all backups, then answered."""

from __future__ import annotations

from datetime import timedelta

from ..runtime.events import AssignRoles, DropRoles
from . import decisions, operations, serving, store
from .context import CoreContext
from .messages import CommittedItems, Fence, Fenced, Operation, OperationResult, Replicate, Replicated
from .operation_results import OutcomeUnknown, Redirected, Result, Stale
from .operations import AssignRole, Evacuate, ReopenShard, decode_operation
from .replicated_state import CONFIGURATION_KEY, Item, Items, Version, newest_version
from .state import Answer, Client, PendingChange, QueuedOperation, StoreOnDisk
from .view import View
from .writes import ChangeWrittenByBackup, ChangeWrittenByPrimary, Outgoing

MAX_QUEUED = 256
"""Operations that wait at the primary; beyond it they are dropped, and their clients ask again."""

NONCE_BITS = 48


def answer(core: CoreContext, client: Client | None, result: Result) -> None:
    """Send an operation's result to its client, if there is one."""
    if client:
        daemon, number = client
        core.send(daemon, OperationResult(number, result.encode()))


def abandon_operations(core: CoreContext) -> None:
    """Answer all pending and queued operations by "unknown": a later view may have taken them or not."""
    state = core.state
    if state.pending:
        for pending_answer in state.pending.answers:
            answer(core, pending_answer.client, OutcomeUnknown())
    for queued in state.queue:
        answer(core, queued.client, OutcomeUnknown())
    state.pending = None
    state.queue.clear()


def on_operation(core: CoreContext, sender: str, message: Operation) -> None:
    """Queue a client's operation.

    One that is sent again while it waits counts once. With a full queue there is no answer, so that the client asks again.
    """
    state, client = core.state, (sender, message.number)
    if core.led_view() is None or not state.writes.is_eligible:
        redirect(core, sender, message.number)
    elif len(state.queue) < MAX_QUEUED and not is_waiting(core, client):
        state.queue.append(QueuedOperation(client, message.change, decode_operation(message.operation), message.digest))


def redirect(core: CoreContext, sender: str, number: int) -> None:
    """Name the primary to a client, since this core takes no operations."""
    primary = core.state.view.primary if core.state.view else ""
    answer(core, (sender, number), Redirected(primary))


def on_fence(core: CoreContext, sender: str, message: Fence) -> None:
    """Tell a client the version on which its operation would rest.

    It is told from memory, without asking the backups: a version that is too old, or that will not last, makes the operation
    stale, and none that is still to come can be told.
    """
    state, view = core.state, core.open_view()
    if core.led_view() is None or not state.writes.is_eligible:
        redirect(core, sender, message.number)
    elif view is not None and state.sealed < view.epoch:
        operation = decode_operation(message.operation)
        if isinstance(operation, Evacuate | ReopenShard):
            core.send(sender, Fenced(message.number, decisions.fencing_token(state.store, operation)))


def is_waiting(core: CoreContext, client: Client) -> bool:
    """Tell whether the operation of this client is queued or in flight."""
    state = core.state
    in_flight = state.pending is not None and any(pending.client == client for pending in state.pending.answers)
    return in_flight or any(queued.client == client for queued in state.queue)


def on_role_operations(core: CoreContext, event: AssignRoles | DropRoles, now: timedelta) -> None:
    """Queue what the role assigner wants."""
    match event:
        case AssignRoles():
            assignments = tuple([AssignRole(*assignment) for assignment in event.assignments])
            queue_internal(core, operations.AssignRoles(assignments), now)
        case DropRoles():
            queue_internal(core, operations.DropRoles(event.kind, event.names), now)


def queue_internal(core: CoreContext, operation: operations.AssignRoles | operations.DropRoles, now: timedelta) -> None:
    """Queue an operation of this primary itself; it is dropped while others wait, since the role assigner decides again.

    It is taken only in touch with the backups: a primary that is cut off knows too little of which daemons live.
    """
    state, takeover = core.state, core.settings.tuning["takeover"]
    is_leadership_recent = state.proved_at is not None and now - state.proved_at <= takeover
    if core.open_view() and is_leadership_recent and not state.queue and not state.pending:
        state.queue.append(QueuedOperation(None, "", operation, ""))


def begin_next(core: CoreContext, now: timedelta) -> None:
    """Begin the next change if operations wait, none is in flight, and this primary's view is open (design 5.4)."""
    state = core.state
    if not state.queue or state.pending:
        return
    view = core.open_view()
    if view is None or state.sealed >= view.epoch or state.store_on_disk is not StoreOnDisk.WHOLE:
        return
    while state.queue and not state.pending:
        begin(core, view, now)


def begin(core: CoreContext, view: View, now: timedelta) -> None:
    """Settle the operations that wait, each on the store that the one before left, as one change.

    So one round with the backups serves many clients. The change is written to the primary's own disk first. Without items the
    backups are asked at once to confirm the view, since reads and refusals rest on it too.
    """
    state = core.state
    previous = newest_version(state.store)
    answers, items, pruned = settle_queue(core, view, now)
    if not answers:
        return
    state.pending = pending = PendingChange(
        answers=answers,
        items=items,
        version=newest_version(state.store),
        previous=previous,
        synced_here=not items,
        nonce=core.rng.getrandbits(NONCE_BITS),
        sent=now,
    )
    if items:
        core.write(store.change_operations(items, pruned), ChangeWrittenByPrimary(pending.nonce), now)
    else:
        replicate(core, view, pending)


def settle_queue(core: CoreContext, view: View, now: timedelta) -> tuple[tuple[Answer, ...], Items, set[str]]:
    """Take the operations from the queue that go together, and change the store by them.

    A group ends with a configuration, since two may not fit one frame.

    :returns: the answers, the items of the changes, the keys that were pruned.
    """
    state = core.state
    answers: list[Answer] = []
    items: list[Item] = []
    pruned: set[str] = set()
    while state.queue:
        operation = state.queue.pop(0)
        result, new_items = settle(core, view, operation, now)
        if isinstance(result, Stale):  # says nothing of the store, so the backups need not confirm it
            answer(core, operation.client, result)
            continue
        answers.append(Answer(operation.client, result))
        items.extend(new_items)
        pruned.update(store.apply(state.store, new_items))
        if any(key == CONFIGURATION_KEY for key, _, _ in new_items):
            break
    return tuple(answers), tuple(items), pruned - state.store.keys()


def settle(core: CoreContext, view: View, operation: QueuedOperation, now: timedelta) -> tuple[Result, Items]:
    """Judge one operation on the store as it stands; return its result and the items of its change."""
    state = core.state
    previous = newest_version(state.store)
    return decisions.settle(
        state.store,
        change_id=operation.change,
        operation=operation.operation,
        digest=operation.digest,
        version=next_version(view, previous),
        previous=previous,
        aged=state.outcome_ages.newest_aged(now, state.awake_since, previous, core.settings.tuning["outcome_keep"]),
    )


def next_version(view: View, previous: Version) -> Version:
    """Return the version of the change that follows `previous` in this view; the numbers of a view begin at 1."""
    epoch, number = previous
    return (view.epoch, number + 1 if epoch == view.epoch else 1)


def record_change_write(core: CoreContext, succeeded: bool) -> None:
    """Note a failed write of a change: the store on disk is incomplete until it is written whole."""
    if not succeeded and core.state.store_on_disk is StoreOnDisk.WHOLE:
        core.state.store_on_disk = StoreOnDisk.TORN


def on_written_by_primary(core: CoreContext, written: ChangeWrittenByPrimary, succeeded: bool) -> None:
    """Send the change to the backups once the primary's own disk has synced it."""
    record_change_write(core, succeeded)
    view, pending = core.state.view, core.state.pending
    if view is not None and pending is not None and pending.nonce == written.nonce:
        pending.synced_here = succeeded
        if succeeded:
            replicate(core, view, pending)


def replicate(core: CoreContext, view: View, pending: PendingChange) -> None:
    """Send the change in flight to every backup that has not synced it."""
    message = Replicate(view.epoch, pending.nonce, pending.previous, pending.version, pending.items)
    for name in view.backups:
        if name not in pending.synced_by:
            core.send(name, message)


def replicate_again(core: CoreContext, view: View, now: timedelta) -> None:
    """Send the change in flight again when a backup's answer is late; only what the primary itself has synced."""
    pending = core.state.pending
    if pending and pending.synced_here and now - pending.sent >= core.settings.tuning["takeover"] / 2:
        pending.sent = now
        replicate(core, view, pending)


def on_replicate(core: CoreContext, sender: str, change: Replicate, now: timedelta) -> None:
    """Take a change as a backup, or confirm that the view still holds where it has no items."""
    state, view = core.state, core.backed_view()
    if view is None or change.epoch != view.epoch or sender != view.primary:
        return
    if state.served != change.epoch or state.sealed >= change.epoch:
        return
    if newest_version(state.store) not in (change.previous, change.version):
        return  # the primary will copy afresh on its next opening
    confirmation = Outgoing(sender, Replicated(change.epoch, change.nonce))
    if not change.items:
        core.send_outgoing(confirmation)
        return
    pruned = store.apply(state.store, change.items)
    core.write(store.change_operations(change.items, pruned), ChangeWrittenByBackup(confirmation), now)


def on_written_by_backup(core: CoreContext, written: ChangeWrittenByBackup, succeeded: bool) -> None:
    """Confirm a change to the primary once this backup's disk has synced it."""
    record_change_write(core, succeeded)
    if succeeded:
        core.send_outgoing(written.outgoing)


def on_replicated(core: CoreContext, sender: str, done: Replicated, now: timedelta) -> None:
    """Note that a backup has synced the change in flight, and commit it when all members have."""
    pending, led = core.state.pending, core.led_view()
    if pending is None or led is None or done.epoch != led.epoch or done.nonce != pending.nonce:
        return
    if sender in led.backups:
        pending.synced_by.add(sender)
    if core.open_view() and pending.synced_here and pending.synced_by >= set(led.backups):
        commit(core, led, pending, now)


def commit(core: CoreContext, view: View, pending: PendingChange, now: timedelta) -> None:
    """Commit the change that all members have synced: answer its clients, and tell the other cores."""
    state = core.state
    state.pending = None
    if pending.items:
        serving.commit(core, pending.items, pending.version, now)
        for name in core.others():
            items = () if name in view.backups else pending.items  # backups hold the items already
            core.send(name, CommittedItems(view.epoch, pending.previous, state.committed_version, items))
    for pending_answer in pending.answers:
        answer(core, pending_answer.client, pending_answer.result)
    serving.answer_held_requests(core, now)
