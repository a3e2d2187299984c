"""Replication of changes (design 5.4): one in flight, synced by the primary, then by all backups, then acknowledged."""

from __future__ import annotations

from datetime import timedelta

from ..runtime.events import AssignRoles, DropRoles
from . import committed_items, decisions, operations, store
from .context import CoreContext
from .disk_writes import ChangeWrittenByBackup, ChangeWrittenByPrimary, Outgoing
from .messages import CommittedItems, FencingTokenReply, FencingTokenRequest, Operation, OperationResult, Replicate, Replicated
from .operation_results import OutcomeUnknown, Redirected, Result, Stale
from .operations import AssignRole, Evacuate, ReopenShard, decode_operation
from .replicated_state import CONFIGURATION_KEY, Item, Items, Version, newest_version
from .state import Answer, Client, PendingChange, QueuedOperation, StoreOnDisk
from .view import View, members

MAX_QUEUED = 256
"""Maximum number of operations queued at the primary; further ones are dropped, and their clients retry."""

NONCE_BITS = 48

MAX_LOGGED_KEYS_LENGTH = 120


def answer(core: CoreContext, client: Client | None, result: Result) -> None:
    """Send an operation's result to its client, if there is one."""
    if client:
        daemon, number = client
        core.send(daemon, OperationResult(number, result.encode()))


def abandon_operations(core: CoreContext) -> None:
    """Answer all pending and queued operations with "unknown": a later view may or may not include them."""
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

    A repeat of one that is queued or in flight is ignored. If the queue is full there is no answer, so the client retries.
    """
    state, client = core.state, (sender, message.number)
    if core.led_view() is None or not state.writes.is_eligible:
        redirect(core, sender, message.number)
    elif len(state.queue) < MAX_QUEUED and not is_waiting(core, client):
        state.queue.append(QueuedOperation(client, message.change, decode_operation(message.operation), message.digest))


def redirect(core: CoreContext, sender: str, number: int) -> None:
    """Redirect a client to the primary, since this core does not accept operations."""
    primary = core.state.view.primary if core.state.view else ""
    answer(core, (sender, number), Redirected(primary))


def on_fence(core: CoreContext, sender: str, message: FencingTokenRequest) -> None:
    """Send a client the fencing token for its operation.

    The token is read from memory, without confirmation by the backups. That is safe: a token that is too old, or whose change does
    not survive, only makes the operation stale, and a token of a later version cannot be returned.
    """
    state, view = core.state, core.open_view()
    if core.led_view() is None or not state.writes.is_eligible:
        redirect(core, sender, message.number)
    elif view is not None and state.sealed < view.epoch:
        operation = decode_operation(message.operation)
        if isinstance(operation, Evacuate | ReopenShard):
            core.send(sender, FencingTokenReply(message.number, decisions.fencing_token(state.store, operation)))


def is_waiting(core: CoreContext, client: Client) -> bool:
    """Return whether the operation of this client is queued or in flight."""
    state = core.state
    in_flight = state.pending is not None and any(pending.client == client for pending in state.pending.answers)
    return in_flight or any(queued.client == client for queued in state.queue)


def on_role_operations(core: CoreContext, event: AssignRoles | DropRoles, now: timedelta) -> None:
    """Queue an operation requested by the role assigner."""
    match event:
        case AssignRoles():
            assignments = tuple([AssignRole(*assignment) for assignment in event.assignments])
            queue_internal(core, operations.AssignRoles(assignments), now)
        case DropRoles():
            queue_internal(core, operations.DropRoles(event.kind, event.names), now)


def queue_internal(core: CoreContext, operation: operations.AssignRoles | operations.DropRoles, now: timedelta) -> None:
    """Queue an operation issued by this primary itself.

    It is dropped while other operations are queued or in flight, since the role assigner will decide again. It is accepted only
    if the backups confirmed recently that this core leads: a partitioned primary lacks current information on which daemons are live.
    """
    state, takeover = core.state, core.settings.tuning["takeover"]
    is_leadership_recent = state.proved_at is not None and now - state.proved_at <= takeover
    if core.open_view() and is_leadership_recent and not state.queue and not state.pending:
        state.queue.append(QueuedOperation(None, "", operation, ""))


def begin_next(core: CoreContext, now: timedelta) -> None:
    """Start the next change if operations are queued, none is in flight, and this primary's view is open (design 5.4).

    Called at the end of each step.
    """
    state = core.state
    if not state.queue or state.pending:
        return
    view = core.open_view()
    if view is None or state.sealed >= view.epoch or state.store_on_disk is not StoreOnDisk.COMPLETE:
        return
    while state.queue and not state.pending:
        begin(core, view, now)


def begin(core: CoreContext, view: View, now: timedelta) -> None:
    """Settle the queued operations, in order, as one change.

    Each operation is evaluated on the store that the previous one left, so one round trip to the backups serves many clients. The
    change is written to the primary's own disk first. If there are no items, the backups are asked at once to confirm the view,
    since reads and refusals depend on it too.
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
    """Remove the next group of operations from the queue and apply them to the store.

    A group ends with a configuration change, since two configurations may not fit in one frame.

    :returns: the answers, the items of the change, the keys that were pruned.
    """
    state = core.state
    answers: list[Answer] = []
    items: list[Item] = []
    pruned: set[str] = set()
    while state.queue:
        operation = state.queue.pop(0)
        result, new_items = settle(core, view, operation, now)
        if isinstance(result, Stale):  # asserts nothing about the store, so the backups need not confirm it
            answer(core, operation.client, result)
            continue
        answers.append(Answer(operation.client, result))
        items.extend(new_items)
        pruned.update(store.apply(state.store, new_items))
        if any(key == CONFIGURATION_KEY for key, _, _ in new_items):
            break
    return tuple(answers), tuple(items), pruned - state.store.keys()


def settle(core: CoreContext, view: View, operation: QueuedOperation, now: timedelta) -> tuple[Result, Items]:
    """Evaluate one operation on the current store; return its result and the items of its change."""
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
    """Return the version of the change that follows `previous` in this view; the numbers of each view start at 1."""
    epoch, number = previous
    return (view.epoch, number + 1 if epoch == view.epoch else 1)


def record_change_write(core: CoreContext, succeeded: bool) -> None:
    """Record the result of writing a change: after a failure the store on disk is incomplete until it is rewritten."""
    if not succeeded and core.state.store_on_disk is StoreOnDisk.COMPLETE:
        core.state.store_on_disk = StoreOnDisk.INCOMPLETE


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
    """Resend the change in flight if a backup's answer is late; only once the primary itself has synced it."""
    pending = core.state.pending
    if pending and pending.synced_here and now - pending.sent >= core.settings.tuning["takeover"] / 2:
        pending.sent = now
        replicate(core, view, pending)


def on_replicate(core: CoreContext, sender: str, change: Replicate, now: timedelta) -> None:
    """As a backup, apply and sync a change; if it has no items, only confirm that the view still holds."""
    state, view = core.state, core.backed_view()
    if view is None or change.epoch != view.epoch or sender != view.primary:
        return
    if state.store_epoch != change.epoch or state.sealed >= change.epoch:
        return
    if newest_version(state.store) not in (change.previous, change.version):
        return  # a gap: the primary sends a whole snapshot when it next opens a view
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
    """Record that a backup has synced the change in flight, and commit it once all members have."""
    pending, led = core.state.pending, core.led_view()
    if pending is None or led is None or done.epoch != led.epoch or done.nonce != pending.nonce:
        return
    if sender in led.backups:
        pending.synced_by.add(sender)
    if core.open_view() and pending.synced_here and pending.synced_by >= set(led.backups):
        commit(core, led, pending, now)


def commit(core: CoreContext, view: View, pending: PendingChange, now: timedelta) -> None:
    """Commit a change that all members have synced: answer its clients and notify the other cores."""
    state = core.state
    state.pending = None
    if pending.items:
        log_commit(core, view, pending)
        committed_items.commit(core, pending.items, pending.version, now)
        for name in core.others():
            items = () if name in view.backups else pending.items  # backups hold the items already
            core.send(name, CommittedItems(view.epoch, pending.previous, state.committed_version, items))
    for pending_answer in pending.answers:
        answer(core, pending_answer.client, pending_answer.result)
    committed_items.answer_held_requests(core, now)


def log_commit(core: CoreContext, view: View, pending: PendingChange) -> None:
    """Log a change that is about to be acknowledged: its version, its keys, and the members that have synced it."""
    keys = ",".join(key for key, _, _ in pending.items)[:MAX_LOGGED_KEYS_LENGTH]
    core.log("change-committed", version=decisions.version_text(pending.version), keys=keys, members=",".join(members(view)))
