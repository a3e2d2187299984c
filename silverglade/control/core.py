"""The control component of a core (design 5): witness, primary or backup.

Safety rests on four rules: a change is answered only when all members of the view have synced it; a member seals its epoch on
disk before it copies its store for a new view; the register lets one proposal of an epoch win; a new primary opens only after
its backups have synced the whole store under the new epoch.

This module only dispatches: an event to the transition that it causes, the end of a write to what follows it. The transitions
are functions of the modules beside it, each over the one typed state (state.py).
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
from . import liveness, plan, replication, serving, snapshots, view_change, witness
from .context import CoreContext
from .messages import (
    Accept,
    Accepted,
    ChosenView,
    CommittedItems,
    Fence,
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
from .spread import Place, Tolerance
from .state import CoreSettings, CoreState, initial_state, may_form_first_view
from .values import copied, copied_chance, fingerprint
from .writes import (
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
    keep,
)

STAMP_ORIGIN_BITS = 48
"""Of the random number from which a process counts its stamps: two processes hardly ever meet."""


class ControlCore(CoreContext):
    """A core as a state machine without I/O. Copies (`copy.deepcopy`) share no state that changes."""

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
        """Handle one event; return its effects in the order in which they are to be carried out."""
        self.start_once(now)
        self.handle(event, now)
        replication.begin_next(self, now)
        return self.taken_effects()

    def taken_effects(self) -> list[Effect]:
        """Return the effects of the step under way, and have none."""
        effects, self.effects = self.effects, []
        return effects

    def handle(self, event: Event, now: timedelta) -> None:
        """Dispatch an event by its class."""
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
                serving.answer_held(self, now)
            case AssignRoles() | DropRoles():
                replication.on_roles_wanted(self, event, now)

    def start_once(self, now: timedelta) -> None:
        """Begin, at the first event of this process. After a blackout nobody else says who is primary."""
        state, settings = self.state, self.settings
        if state.next_heartbeat is not None:
            return
        state.next_heartbeat = state.awake_since = state.listening_since = now
        if settings.may_form and state.view is None and not settings.formed_before:
            self.write(keep(first=True), None, now)
        self.publish_view()

    def on_timer(self, now: timedelta) -> None:
        """Do what is due by now."""
        state = self.state
        self.effects.extend(state.writes.check(now))
        if state.next_heartbeat is None or now >= state.next_heartbeat:
            state.next_heartbeat = now + self.settings.tuning["heartbeat"]
            liveness.send_regular_heartbeats(self, now)
            self.lead(now)
            view_change.look_for_better_view(self, now)
        view_change.start_or_stop_seeking(self, now)
        self.release_if_free()
        serving.answer_held(self, now)
        view_change.seek(self, now)

    def lead(self, now: timedelta) -> None:
        """Send again, from time to time, what a primary waits for the backups to confirm."""
        view = self.led_view()
        if view is None or not self.state.writes.is_able or self.state.sealed >= view.epoch:
            return
        if self.state.open_epoch != view.epoch:
            snapshots.send_opening(self, view, now)
        else:
            replication.replicate_again(self, view, now)

    def release_if_free(self) -> None:
        """Allow the exit of a core that leaves, once, when nothing rests on it.

        Not while it is a recruit, since the view that names it may be chosen by now; nor while this process has met no other core,
        since it does not know then which of them leave too.
        """
        state = self.state
        if state.writes.leaving and not state.released and state.recruited <= self.epoch and state.met | state.leaving:
            staying = state.met - state.leaving
            state.released = plan.may_end(
                own_name=self.name, view=state.view, staying=staying, places=state.places, tolerance=self.settings.tolerance
            )
            if state.released:
                self.effects.append(AllowExit())

    def on_message_received(self, event: MessageReceived, now: timedelta) -> None:
        """Dispatch a message, of another daemon or of this one, by what it concerns; one that is not well formed is dropped."""
        sender, message = event.sender, decode(event.body)
        match message:
            case Heartbeat() if sender != self.name:
                liveness.on_heartbeat(self, sender, message, now)
            case UpdateRequest() | CommittedItems() | Pull():
                self.on_serving_message(sender, message, now)
            case Operation() | Fence() | Replicate() | Replicated():
                self.on_replication_message(sender, message, now)
            case Snapshot() if sender != self.name:
                snapshots.on_snapshot(self, sender, message, now)
            case SnapshotSynced():
                snapshots.on_snapshot_synced(self, sender, message, now)
            case ChosenView() | Prepare() | Accept() | Promise() | Accepted() | Rejected():
                self.on_view_message(sender, message, now)

    def on_serving_message(self, sender: str, message: UpdateRequest | CommittedItems | Pull, now: timedelta) -> None:
        """Dispatch a message about committed items."""
        match message:
            case UpdateRequest():
                serving.on_update_request(self, sender, message, now)
            case CommittedItems():
                serving.on_committed_items(self, message, now)
            case Pull():
                serving.on_pull(self, sender, message)

    def on_replication_message(self, sender: str, message: Operation | Fence | Replicate | Replicated, now: timedelta) -> None:
        """Dispatch a message about a change."""
        match message:
            case Operation():
                replication.on_operation(self, sender, message)
            case Fence():
                replication.on_fence(self, sender, message)
            case Replicate():
                replication.on_replicate(self, sender, message, now)
            case Replicated():
                replication.on_replicated(self, sender, message, now)

    def on_view_message(self, sender: str, message: ChosenView | Prepare | Accept | Promise | Accepted | Rejected, now: timedelta) -> None:
        """Dispatch a message about which view follows which."""
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
        """Go on with what waited for a write; a primary may open its view."""
        continuation, effects = self.state.writes.ended(number, succeeded)
        self.effects.extend(effects)
        if continuation is not None:
            self.follow(continuation, succeeded, now)
        snapshots.open_if_synced(self, now)

    def follow(self, continuation: Continuation, succeeded: bool, now: timedelta) -> None:
        """Carry out what follows a write."""
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
                serving.on_committed_items_written(self, continuation, succeeded, now)

    def on_membership_changed(self, event: MembershipChanged) -> None:
        """Learn which cores live, which of them leave, and where they are."""
        state = self.state
        cores = [member for member in members_of(event.members) if member.is_core]
        state.met = {member.name for member in cores} - {self.name}
        state.leaving -= state.met
        state.leaving |= {member.name for member in cores if member.state == MemberState.LEAVING} - {self.name}
        state.places.update({member.name: (member.zone, member.region) for member in cores})

    def on_daemon_state_changed(self, event: DaemonStateChanged, now: timedelta) -> None:
        """Tell the other cores at once that this daemon is ready or leaves, so that its places are taken."""
        self.state.writes.leaving = event.state != MemberState.READY
        self.state.next_heartbeat = now
        for name in self.others():
            liveness.send_heartbeat(self, name, now)

    def on_process_paused(self, now: timedelta) -> None:
        """Forget what was heard before this daemon stood still: it says nothing of now."""
        self.log("proof-lost", shown=self.state.committed_version, age_ms=serving.proof_age(self, now))
        self.state.proven_at, self.state.seeking_since = None, None
        self.state.awake_since = self.state.listening_since = now
        self.state.peers.clear()
        self.state.proofs.clear()

    def fingerprint(self, *, with_chance: bool = True) -> bytes:
        """Return sixteen bytes that are the same for equal states of the same core, in any process.

        :param with_chance: whether the state of the random numbers counts too.
        """
        chance = self.rng.getstate() if with_chance else None
        return fingerprint(self.settings.name, self.settings.disk, self.state, chance)

    def __deepcopy__(self, memo: dict[int, Any]) -> ControlCore:
        """Return a copy that shares what never changes: the settings, and the values of the store."""
        return ControlCore(self.settings, copied(self.state), copied_chance(self.rng), list(self.effects))


class ControlPart(MachineComponent):
    """A control core in the form that the daemon machine drives."""

    machine: ControlCore

    def handle(self, now: timedelta, event: Event | RawEvent) -> Iterable[Effect]:
        """Handle one event; the first of any kind starts the core, also one that it does not handle."""
        self.machine.start_once(now)
        started = self.machine.taken_effects()
        return (*started, *super().handle(now, event)) if started else super().handle(now, event)

    @property
    def state(self) -> CoreState:
        """The whole state, for figures, fault injection and tests; read only."""
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
) -> ControlPart:
    """Return the control component of a core.

    :param name: the core's name.
    :param disk: the random id of its disk.
    :param cores: those that form the first view; others are met through membership and their heartbeats.
    :param saved: the tables on disk as last synced.
    :param tuning: time settings and limits, shared by all components.
    :param place: the core's zone and region.
    :param tolerance: how many machines, zones and regions may be lost at once.
    :param first: whether this core was started to form the first view (design 5.5).
    """
    meta, named = saved.get(META_TABLE, {}), tuple(cores)
    formed_before = meta.get("first", False)
    settings = CoreSettings(
        name=name,
        disk=disk,
        named=named,
        may_form=may_form_first_view(name=name, named=named, first=first, formed_before=formed_before),
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
    return ControlPart(ControlCore(settings, state, rng))
