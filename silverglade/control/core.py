"""A core's control part (design 5): witness, primary or backup.

Safety rests on four rules: a change is answered only when all members of the view have synced it; a member seals its
epoch on disk before it copies its store for a new view; the register lets one proposal of an epoch win; a new primary
opens only after its backups have synced the whole store under the new epoch.

This module only dispatches: an event to the transition that it causes, a write that has ended to what follows it. The
transitions are functions of the modules beside it, each over the one typed state (state.py).
"""

from __future__ import annotations

import random
from collections.abc import Generator, Iterable, Mapping
from datetime import timedelta
from typing import Any

from ..membership import member as roster
from . import liveness, plan, replication, serving, snapshots, view_change, witness
from .context import CoreContext
from .messages import (
    Accept,
    Accepted,
    ChosenView,
    Fence,
    Heartbeat,
    Message,
    NewsRequest,
    Operation,
    Prepare,
    Promise,
    Pull,
    Rejected,
    Replicate,
    Replicated,
    ShownItems,
    Snapshot,
    SnapshotSynced,
    decode,
)
from .spread import Place, Tolerance
from .state import CoreSettings, CoreState, initial_state, may_form_first_view
from .values import copied, copied_chance, fingerprint
from .writes import (
    ChangeWrittenByBackup,
    ChangeWrittenByPrimary,
    Continuation,
    Effect,
    EpochSealed,
    ShownWritten,
    TellIfSynced,
    WholeStoreWritten,
    keep,
)

STAMP_ORIGIN_BITS = 48
"""Of the random number from which a life counts its stamps: two lives hardly ever meet."""

Event = tuple[Any, ...]
Effects = tuple[Effect, ...]


class ControlCore(CoreContext):
    """A core as a state machine: `step` takes an event and gives the effects. Copies (copy.deepcopy) go their own ways."""

    __slots__ = ()

    def step(self, now: timedelta, event: Event) -> Effects:
        """One event -> its effects, which are to be carried out in their order."""
        if self.state.next_heartbeat is None:
            self.start(now)
        match event:
            case ("pulse",):
                self.on_pulse(now)
            case ("msg", str(sender), (str(), *_) as body):
                message = decode(body)
                if message is not None:
                    self.on_message(sender, message, now)
            case ("disk", ("control", number), ok, _):
                self.on_write_ended(number, ok, now)
            case ("roll", records):
                self.on_roll(records)
            case ("state", daemon_state):
                self.on_daemon_state(daemon_state, now)
            case ("froze",):
                self.on_frozen(now)
            case ("chosen", view):
                view_change.on_chosen(self, view, now)
            case ("spot", position):
                self.state.table_position = position
                serving.serve(self, now)
            case ("duties" | "drop", *_):
                replication.on_duties(self, event, now)
        replication.begin_next(self, now)
        effects = tuple(self.effects)
        self.effects.clear()
        return effects

    def start(self, now: timedelta) -> None:
        """The first event of this life. After a blackout nobody else says who is primary."""
        state, settings = self.state, self.settings
        state.next_heartbeat = state.awake_since = state.listening_since = now
        if settings.may_form and state.view is None and not settings.formed_before:
            self.write(keep(first=True), None, now)
        self.tell_view()

    def on_pulse(self, now: timedelta) -> None:
        """Time has passed."""
        state = self.state
        self.effects.extend(state.writes.check(now))
        if state.next_heartbeat is None or now >= state.next_heartbeat:
            state.next_heartbeat = now + self.settings.tuning["heartbeat"]
            liveness.send_due_heartbeats(self, now)
            self.lead(now)
            view_change.look_for_better_view(self, now)
        view_change.start_or_stop_seeking(self, now)
        self.release_if_free()
        serving.serve(self, now)
        view_change.seek(self, now)

    def lead(self, now: timedelta) -> None:
        """What a primary sends again from time to time."""
        view = self.led_view()
        if view is None or not self.state.writes.fit or self.state.sealed >= view.epoch:
            return
        if self.state.open_epoch != view.epoch:
            snapshots.send_opening(self, view, now)
        else:
            replication.replicate_again(self, view, now)

    def release_if_free(self) -> None:
        """A core that leaves says once that it may end. Not while it is a recruit: the view that names it may be chosen by now;
        nor while it has met nobody in this life: who has said that they leave too is not known then."""
        state = self.state
        if state.writes.leaving and not state.released and state.recruited <= self.epoch and state.met | state.leaving:
            staying = state.met - state.leaving
            state.released = plan.may_end(
                me=self.me, view=state.view, staying=staying, places=state.places, tolerance=self.settings.tolerance
            )
            if state.released:
                self.effects.append(("released",))

    def on_message(self, sender: str, message: Message, now: timedelta) -> None:
        """A message of another daemon, or of this one."""
        match message:
            case Heartbeat() if sender != self.me:
                liveness.on_heartbeat(self, sender, message, now)
            case NewsRequest():
                serving.on_news_request(self, sender, message, now)
            case Operation():
                replication.on_operation(self, sender, message)
            case Fence():
                replication.on_fence(self, sender, message)
            case Replicate():
                replication.on_replicate(self, sender, message, now)
            case Replicated():
                replication.on_replicated(self, sender, message, now)
            case ShownItems():
                serving.on_shown_items(self, message, now)
            case Pull():
                serving.on_pull(self, sender, message)
            case Snapshot() if sender != self.me:
                snapshots.on_snapshot(self, sender, message, now)
            case SnapshotSynced():
                snapshots.on_snapshot_synced(self, sender, message, now)
            case ChosenView():
                view_change.adopt(self, message.view, now)
            case Prepare():
                witness.on_prepare(self, sender, message, now)
            case Accept():
                witness.on_accept(self, sender, message, now)
            case Promise() | Accepted() | Rejected():
                view_change.on_answer(self, sender, message, now)

    def on_write_ended(self, number: int, ok: bool, now: timedelta) -> None:
        """A write has ended: what waited for it follows; a primary may open."""
        continuation, effects = self.state.writes.ended(number, ok)
        self.effects.extend(effects)
        if continuation is not None:
            self.follow(continuation, ok, now)
        snapshots.open_if_synced(self, now)

    def follow(self, continuation: Continuation, ok: bool, now: timedelta) -> None:
        """What follows a write."""
        match continuation:
            case TellIfSynced():
                if ok:
                    self.send_outgoing(continuation.outgoing)
            case WholeStoreWritten():
                snapshots.on_whole_store_written(self, continuation, ok)
            case ChangeWrittenByPrimary():
                replication.on_written_by_primary(self, continuation, ok)
            case ChangeWrittenByBackup():
                replication.on_written_by_backup(self, continuation, ok)
            case EpochSealed():
                view_change.on_sealed(self, continuation, ok)
            case ShownWritten():
                serving.on_shown_written(self, continuation, ok, now)

    def on_roll(self, records: Iterable[tuple[Any, ...]]) -> None:
        """The live daemons, as the roster has them."""
        cores = [record for record in records if record[roster.CORE]]
        self.state.met = {record[roster.ID] for record in cores} - {self.me}
        self.state.leaving -= self.state.met
        self.state.leaving |= {record[roster.ID] for record in cores if record[roster.STATE] == "leaving"} - {self.me}
        self.state.places.update({record[roster.ID]: (record[roster.ZONE], record[roster.REGION]) for record in cores})

    def on_daemon_state(self, daemon_state: str, now: timedelta) -> None:
        """This daemon is ready, or leaves: the others are told at once, so that its places are taken."""
        self.state.writes.leaving = daemon_state != "ready"
        self.state.next_heartbeat = now
        for name in self.others():
            liveness.send_heartbeat(self, name, now)

    def on_frozen(self, now: timedelta) -> None:
        """This daemon was frozen: what it heard before says nothing of now."""
        self.state.proven_at, self.state.seeking_since = None, None
        self.state.awake_since = self.state.listening_since = now
        self.state.peers.clear()
        self.state.proofs.clear()

    def fingerprint(self, *, with_chance: bool = True) -> bytes:
        """Sixteen bytes that are the same for equal states of the same core, in any process.

        with_chance: the state of the random numbers counts too; without, states that differ in nothing else are equal.
        """
        chance = self.rng.getstate() if with_chance else None
        return fingerprint(self.settings.name, self.settings.disk, self.state, chance)

    def __deepcopy__(self, memo: dict[int, Any]) -> ControlCore:
        """A copy that shares what never changes: the settings, and the values of the store."""
        return ControlCore(self.settings, copied(self.state), copied_chance(self.rng), list(self.effects))


class ControlPart(Generator[Effects, "tuple[timedelta, Event] | None", None]):
    """The machine as a part of a daemon (part.py): primed with None, then sent (now, event). machine: open to be looked at."""

    def __init__(self, machine: ControlCore) -> None:
        self.machine = machine

    def send(self, value: tuple[timedelta, Event] | None, /) -> Effects:
        """An event -> its effects."""
        return self.machine.step(*value) if value is not None else ()

    def throw(self, typ: Any, val: Any = None, tb: Any = None, /) -> Effects:
        """Nothing is caught here."""
        raise typ if val is None else val

    @property
    def state(self) -> CoreState:
        """The whole state, for figures, fault injection and tests: to be read alone."""
        return self.machine.state


def core(
    *,
    me: str,
    disk: str,
    cores: Iterable[str],
    saved: Mapping[str, Mapping[str, Any]],
    opt: Mapping[str, Any],
    rng: random.Random,
    place: Place = ("", ""),
    tolerance: Tolerance = (1, 1, 1),
    first: bool = True,
) -> ControlPart:
    """The control part of a core; see part.py. saved: tables "meta", "book" and "shown" as last synced.

    cores: those that form the first view; others are met by the roll and by their heartbeats.
    """
    meta, named = saved.get("meta", {}), tuple(cores)
    formed_before = meta.get("first", False)
    settings = CoreSettings(
        name=me,
        disk=disk,
        named=named,
        may_form=may_form_first_view(name=me, named=named, first=first, formed_before=formed_before),
        formed_before=formed_before,
        tolerance=tolerance,
        tuning=opt,
    )
    state = initial_state(
        settings=settings,
        meta=meta,
        store=saved.get("book", {}),
        shown=saved.get("shown", {}),
        place=place,
        stamp_origin=rng.getrandbits(STAMP_ORIGIN_BITS),
    )
    return ControlPart(ControlCore(settings, state, rng))
