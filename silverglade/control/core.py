"""The control component of a core (design 5): witness, primary or backup.

Safety rests on four rules:

- a change is acknowledged only after all members of the view have synced it;
- a member seals its epoch on disk before it copies its store for a new view;
- the register lets only one proposal win in each epoch;
- a new primary opens its view only after its backups have synced the whole store under the new epoch.

This module only dispatches events to transitions, and completed or failed writes to their continuations. The transitions are functions in
the neighbouring modules; all operate on one typed state (state.py).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..membership.records import MemberState, members_of
from ..runtime.effects import AllowExit, Effect
from ..runtime.events import (
    AssignRoles,
    DaemonStateChanged,
    DiskWriteCompleted,
    DropRoles,
    Event,
    MembershipChanged,
    MessageReceived,
    ProcessPaused,
    RawEvent,
    TablePositionChanged,
    TimerFired,
    ViewChosen,
)
from ..runtime.state_machine import MachineComponent
from . import committed_items, liveness, replication, snapshots, view_change, view_policy, witness
from .context import CoreContext
from .disk_writes import (
    COMMITTED_TABLE,
    META_TABLE,
    STORE_TABLE,
    ChangeWrittenByBackup,
    ChangeWrittenByPrimary,
    CommittedItemsWritten,
    Continuation,
    EpochSealed,
    SendIfSynced,
    WholeStoreWritten,
    meta_puts,
)
from .messages import (
    Accept,
    Accepted,
    ChosenView,
    CommittedItems,
    FencingTokenRequest,
    Heartbeat,
    Operation,
    Prepare,
    Promise,
    Pull,
    Rejected,
    Replicate,
    Replicated,
    Snapshot,
    SnapshotSynced,
    UpdateRequest,
    decode,
)
from .placement import Place, Tolerance
from .replicated_state import newest_version
from .state import CoreSettings, CoreState, initial_state, may_form_first_view
from .state_copy import copy_random, copy_state, fingerprint

STAMP_ORIGIN_BITS = 48
"""Size of the random offset of a process's stamps; it makes it very unlikely that the stamps of two processes overlap."""


class ControlCore(CoreContext):
    """A core as a state machine without I/O. Copies (`copy.deepcopy`) share no mutable state."""

    __slots__ = ()

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MessageReceived,
        DiskWriteCompleted,
        MembershipChanged,
        DaemonStateChanged,
        ProcessPaused,
        ViewChosen,
        TablePositionChanged,
        AssignRoles,
        DropRoles,
    )

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event; return its effects in the order in which they must be performed."""
        self.start_once(now)
        self.handle(event, now)
        replication.begin_next(self, now)
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        """Return the effects of the current step and clear them."""
        effects, self.effects = self.effects, []
        return effects

    def handle(self, event: Event, now: timedelta) -> None:
        """Pass an event to the transition for its type."""
        match event:
            case TimerFired():
                self.on_timer(now)
            case MessageReceived():
                self.on_message_received(event, now)
            case DiskWriteCompleted():
                _, number = event.token
                self.on_write_ended(number, event.succeeded, now)
            case MembershipChanged():
                self.on_membership_changed(event)
            case DaemonStateChanged():
                self.on_daemon_state_changed(event, now)
            case ProcessPaused():
                self.on_process_paused(now)
            case ViewChosen():
                view_change.on_chosen(self, event.view, now)
            case TablePositionChanged():
                self.state.table_position = event.position
                committed_items.answer_held_requests(self, now)
            case AssignRoles() | DropRoles():
                replication.on_role_operations(self, event, now)

    def start_once(self, now: timedelta) -> None:
        """Initialise this core at the first event of its process, and publish the stored view.

        Called at every event; it does nothing after the first. A core that may form the first view and has no view yet notes `first` on
        its disk, so that a restart without the setting `first` does not prevent it from forming that view (design 5.5).

        The stored view is published because it tells all daemons which core is the primary: after a power failure of all cores, no
        other process publishes this, and a core publishes its view otherwise only when it adopts a new one.
        """
        state, settings = self.state, self.settings
        if state.next_heartbeat is not None:
            return
        state.next_heartbeat = state.awake_since = state.listening_since = now
        if settings.may_form and state.view is None and not settings.formed_before:
            self.write(meta_puts(first=True), None, now)
        self.log(
            "store-loaded",
            disk=settings.disk,
            epoch=self.epoch,
            sealed=state.sealed,
            store=newest_version(state.store),
            committed=state.committed_version,
        )
        self.publish_view()

    def on_timer(self, now: timedelta) -> None:
        """Run the periodic work that is due."""
        state = self.state
        self.effects.extend(state.writes.check(now))
        if state.next_heartbeat is None or now >= state.next_heartbeat:
            state.next_heartbeat = now + self.settings.tuning["heartbeat"]
            liveness.send_regular_heartbeats(self, now)
            self.resend_unconfirmed(now)
            view_change.look_for_better_view(self, now)
        view_change.start_or_stop_proposing(self, now)
        self.allow_exit_when_replaced()
        committed_items.answer_held_requests(self, now)
        view_change.advance_proposal(self, now)

    def resend_unconfirmed(self, now: timedelta) -> None:
        """As primary, periodically resend the opening snapshot or the change in flight to backups that have not confirmed it."""
        view = self.led_view()
        if view is None or not self.state.writes.is_eligible or self.state.sealed >= view.epoch:
            return
        if self.state.open_epoch != view.epoch:
            snapshots.send_opening_snapshot(self, view, now)
        else:
            replication.replicate_again(self, view, now)

    def allow_exit_when_replaced(self) -> None:
        """Allow the exit of a leaving core, once, as soon as no view depends on it.

        It may not exit while it is a recruit, since the view that names it may already be chosen, nor before this process has learnt
        of any other core, since it then cannot determine which of them are leaving too.
        """
        state = self.state
        if state.writes.leaving and not state.exit_allowed and state.recruited <= self.epoch and state.known_cores | state.leaving:
            staying = state.known_cores - state.leaving
            state.exit_allowed = view_policy.may_exit(
                own_name=self.name, view=state.view, staying=staying, places=state.places, tolerance=self.settings.tolerance
            )
            if state.exit_allowed:
                self.effects.append(AllowExit())

    def on_message_received(self, event: MessageReceived, now: timedelta) -> None:
        """Dispatch a message from another daemon or from this one by its type; malformed messages are dropped."""
        sender, message = event.sender, decode(event.body)
        match message:
            case Heartbeat() if sender != self.name:
                liveness.on_heartbeat(self, sender, message, now)
            case UpdateRequest() | CommittedItems() | Pull():
                self.on_serving_message(sender, message, now)
            case Operation() | FencingTokenRequest() | Replicate() | Replicated():
                self.on_replication_message(sender, message, now)
            case Snapshot() if sender != self.name:
                snapshots.on_snapshot(self, sender, message, now)
            case SnapshotSynced():
                snapshots.on_snapshot_synced(self, sender, message, now)
            case ChosenView() | Prepare() | Accept() | Promise() | Accepted() | Rejected():
                self.on_view_message(sender, message, now)

    def on_serving_message(self, sender: str, message: UpdateRequest | CommittedItems | Pull, now: timedelta) -> None:
        """Dispatch a message about committed items or updates."""
        match message:
            case UpdateRequest():
                committed_items.on_update_request(self, sender, message, now)
            case CommittedItems():
                committed_items.on_committed_items(self, message, now)
            case Pull():
                committed_items.on_pull(self, sender, message)

    def on_replication_message(
        self, sender: str, message: Operation | FencingTokenRequest | Replicate | Replicated, now: timedelta
    ) -> None:
        """Dispatch a message about operations and their replication."""
        match message:
            case Operation():
                replication.on_operation(self, sender, message)
            case FencingTokenRequest():
                replication.on_fence(self, sender, message)
            case Replicate():
                replication.on_replicate(self, sender, message, now)
            case Replicated():
                replication.on_replicated(self, sender, message, now)

    def on_view_message(self, sender: str, message: ChosenView | Prepare | Accept | Promise | Accepted | Rejected, now: timedelta) -> None:
        """Dispatch a message about the choice of views."""
        match message:
            case ChosenView():
                view_change.adopt(self, message.view, now)
            case Prepare():
                witness.on_prepare(self, sender, message, now)
            case Accept():
                witness.on_accept(self, sender, message, now)
            case Promise() | Accepted() | Rejected():
                view_change.on_answer(self, sender, message, now)

    def on_write_ended(self, number: int, succeeded: bool, now: timedelta) -> None:
        """Run the continuation of a completed or failed write; a primary may then open its view."""
        continuation, effects = self.state.writes.complete(number, succeeded)
        self.effects.extend(effects)
        if continuation is not None:
            self.run_continuation(continuation, succeeded, now)
        snapshots.open_if_synced(self, now)

    def run_continuation(self, continuation: Continuation, succeeded: bool, now: timedelta) -> None:
        """Run the continuation of a write."""
        match continuation:
            case SendIfSynced():
                if succeeded:
                    self.send_outgoing(continuation.outgoing)
            case WholeStoreWritten():
                snapshots.on_whole_store_written(self, continuation, succeeded)
            case ChangeWrittenByPrimary():
                replication.on_written_by_primary(self, continuation, succeeded)
            case ChangeWrittenByBackup():
                replication.on_written_by_backup(self, continuation, succeeded)
            case EpochSealed():
                view_change.on_sealed(self, continuation, succeeded)
            case CommittedItemsWritten():
                committed_items.on_committed_items_written(self, continuation, succeeded, now)

    def on_membership_changed(self, event: MembershipChanged) -> None:
        """Update the known cores, those that are leaving, and their places."""
        state = self.state
        cores = [member for member in members_of(event.members) if member.is_core]
        state.known_cores = {member.name for member in cores} - {self.name}
        state.leaving -= state.known_cores
        state.leaving |= {member.name for member in cores if member.state == MemberState.LEAVING} - {self.name}
        state.places.update({member.name: (member.zone, member.region) for member in cores})

    def on_daemon_state_changed(self, event: DaemonStateChanged, now: timedelta) -> None:
        """Notify the other cores at once that this daemon is ready or leaving, so that a leaving core is replaced."""
        self.state.writes.leaving = event.state != MemberState.READY
        self.state.next_heartbeat = now
        for name in self.others():
            liveness.send_heartbeat(self, name, now)

    def on_process_paused(self, now: timedelta) -> None:
        """Discard heartbeats and proofs from before a pause of this process: they do not show the present state."""
        self.log("proof-lost", shown=self.state.committed_version, age_ms=committed_items.proof_age_ms(self, now))
        self.state.proved_at, self.state.proposing_since = None, None
        self.state.awake_since = self.state.listening_since = now
        self.state.peers.clear()
        self.state.proofs.clear()

    def fingerprint(self, *, include_random_state: bool = True) -> bytes:
        """Return a 16-byte digest that is the same for equal states of the same core, in any process.

        :param include_random_state: whether the state of the random number generator is included.
        """
        random_state = self.rng.getstate() if include_random_state else None
        return fingerprint(self.settings.name, self.settings.disk, self.state, random_state)

    def __deepcopy__(self, memo: dict[int, Any]) -> ControlCore:
        """Return a copy that shares only immutable objects: the settings, and the values of the store."""
        return ControlCore(self.settings, copy_state(self.state), copy_random(self.rng), list(self.effects))


class ControlComponent(MachineComponent):
    """Adapts a control core to the component interface of the daemon machine."""

    machine: ControlCore

    def handle(self, now: timedelta, event: Event | RawEvent) -> Iterable[Effect]:
        """Handle one event. The first event of any type starts the core, even if the core does not handle that type."""
        self.machine.start_once(now)
        started = self.machine.take_effects()
        return (*started, *super().handle(now, event)) if started else super().handle(now, event)

    @property
    def state(self) -> CoreState:
        """The complete state, read-only, for statistics, fault injection and tests."""
        return self.machine.state


def control_component(
    *,
    name: str,
    disk: str,
    cores: Iterable[str],
    saved: Mapping[str, Mapping[str, Any]],
    tuning: Mapping[str, Any],
    rng: random.Random,
    place: Place = ("", ""),
    tolerance: Tolerance = (1, 1, 1),
    first: bool = True,
) -> ControlComponent:
    """Return the control component of a core.

    :param name: the core's name.
    :param disk: the random id of its disk.
    :param cores: the cores that form the first view; others are learnt from membership and heartbeats.
    :param saved: the contents of the tables on disk as last synced, by table name.
    :param tuning: time settings and limits, shared by all components.
    :param place: the core's zone and region.
    :param tolerance: how many machines, zones and regions may be lost at once.
    :param first: whether this core was started to form the first view (design 5.5).
    """
    meta, initial_cores = saved.get(META_TABLE, {}), tuple(cores)
    formed_before = meta.get("first", False)
    settings = CoreSettings(
        name=name,
        disk=disk,
        initial_cores=initial_cores,
        may_form=may_form_first_view(name=name, initial_cores=initial_cores, first=first, formed_before=formed_before),
        formed_before=formed_before,
        tolerance=tolerance,
        tuning=tuning,
    )
    state = initial_state(
        settings=settings,
        meta=meta,
        store=saved.get(STORE_TABLE, {}),
        committed=saved.get(COMMITTED_TABLE, {}),
        place=place,
        stamp_origin=rng.getrandbits(STAMP_ORIGIN_BITS),
    )
    return ControlComponent(ControlCore(settings, state, rng))
