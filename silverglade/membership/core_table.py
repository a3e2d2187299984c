"""The core table component: a core's table of soft state (design 4.3).

It takes the rows that daemons publish, agrees with the other cores (`core_peers.py`), decides who is dead (`death_detector.py`),
and answers daemons with what has changed since they asked last. This module dispatches.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..runtime.effects import ZERO, Broadcast, Effect, Send, SetPeerAddress, WakeAt, milliseconds
from ..runtime.events import (
    AnswerRequested,
    Event,
    HeartbeatReceived,
    MessageReceived,
    SeedsChanged,
    TablePositionChanged,
    TimerFired,
    UpdateRequestReceived,
)
from .core_peers import CorePeers
from .core_rows import CoreRows
from .death_detector import DeathDetector
from .messages import PublishRows, SyncTables, decode
from .records import MEMBER_ROW, SUSPICION_ROW, MemberRecord, MemberState, SoftStateRow, split_key
from .replicated_table import DeltaServer, ReplicatedTable

COLLECT_PER_DAEMON = milliseconds(2)
"""For so long, for each daemon of the fleet, changes that are not urgent are collected before daemons are answered (4.5)."""

Members = Mapping[str, MemberRecord]


class CoreTable:
    """The core table component as a state machine."""

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MessageReceived,
        HeartbeatReceived,
        UpdateRequestReceived,
        AnswerRequested,
        SeedsChanged,
    )

    def __init__(self, *, name: str, process_id: str, peer_address: str, seeds: Iterable[str], tuning: Mapping[str, Any]) -> None:
        """Create the table of a core that starts.

        :param process_id: a random id of this process of the core, which its rows are stamped with.
        :param peer_address: where it listens for other daemons.
        :param seeds: addresses where other cores may be found.
        """
        self._name = name
        self._peer_address = peer_address
        self._seeds = tuple(seeds)
        self._tuning = tuning
        self._rows = CoreRows(process_id=process_id)
        self._peers = CorePeers(table=self._rows.table, tuning=tuning)
        self._deaths = DeathDetector(name=name, rows=self._rows, peers=self._peers, tuning=tuning)
        self._delta_server = DeltaServer(self._rows.table)
        # whom answers name as dead, and since when answers bring what they bring
        self._announced_dead: tuple[str, ...] = ()
        self._moved_at = ZERO
        # times: of the start or the end of a pause, of the last timer event, of the next round of upkeep, of the next sync
        self._has_started = False
        self._listening_since = ZERO
        self._last_timer = ZERO
        self._next_round = ZERO
        self._next_sync: timedelta | None = None
        self._effects: list[Effect] = []

    @property
    def table(self) -> ReplicatedTable:
        """The rows of soft state that this core holds."""
        return self._rows.table

    def on_start(self, now: timedelta) -> None:
        """Note when the daemon started: what was not heard before then says nothing."""
        self._has_started = True
        self._last_timer = self._next_round = now
        self._start_listening(now)

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects in their order."""
        if not self._has_started:
            self.on_start(now)
        match event:
            case TimerFired():
                self._on_timer(now)
            case MessageReceived():
                self._on_message(event, now)
            case HeartbeatReceived():
                self._deaths.on_heartbeat(event.daemon, now)
            case UpdateRequestReceived():
                self._deaths.on_asked(event.daemon, now)
            case AnswerRequested():
                delta = self._delta_server.answer(event.daemon, event.position)
                self._effects.append(Send(event.daemon, (*event.body, delta)))
            case SeedsChanged():
                self._seeds = event.seeds
        effects, self._effects = self._effects, []
        return effects

    def _start_listening(self, now: timedelta) -> None:
        """Count all silence from now: the process has started, or stood still."""
        self._listening_since = now
        self._deaths.listen_from(now)
        self._peers.on_pause(now)

    # --- time

    def _on_timer(self, now: timedelta) -> None:
        if now - max(self._last_timer, self._next_round) > self._tuning["late"]:
            self._start_listening(now)
        self._last_timer = now
        if now >= self._next_round:
            self._next_round = now + self._tuning["watch_beat"]
            self._do_round(now)
        elif self._deaths.has_suspicions:
            self._deaths.decide(self.table.members(), now)
        self._answer_with_changes(now)
        if not self._deaths.has_suspicions and not self._rows.has_changed:
            self._effects.append(WakeAt(self._next_round))

    def _do_round(self, now: timedelta) -> None:
        """Decide who is dead, and keep in touch with the other cores."""
        members = self.table.members()
        self._deaths.decide(members, now)
        self._effects += self._deaths.maintain(members, now)
        cores = {name for name, record in members.items() if record.is_core and name != self._name and record.state != MemberState.LEFT}
        self._peers.set_cores(cores, cores - self._deaths.dead.keys(), now)
        if self._is_sync_due(now):
            self._next_sync = now + self._tuning["ask_wait"]
            self.table.drop_tombstones(now, self._tuning["forget"])
            self.table.drop_origins({record.process_id for record in members.values()})
            self._effects += self._peers.sync_all(now)
            self._greet_unknown_seeds(members)

    def _is_sync_due(self, now: timedelta) -> bool:
        """Whether it is time to tell the other cores where this table stands: first once it holds this daemon's own record."""
        if self._next_sync is None:
            return (MEMBER_ROW, self._name) in self.table.rows
        return now >= self._next_sync

    def _greet_unknown_seeds(self, members: Members) -> None:
        """Greet the seeds that are no live members (4.3)."""
        own_record = self.table.rows.get((MEMBER_ROW, self._name))
        if own_record is None:
            return
        known = {record.peer_address for name, record in members.items() if name not in self._deaths.dead}
        for address in self._seeds:
            if address != self._peer_address and address not in known:
                self._effects += self._peers.greet(address, own_record)

    # --- messages

    def _on_message(self, event: MessageReceived, now: timedelta) -> None:
        match decode(event.body):
            case PublishRows() as message:
                self._note_new(self._rows.take(message.readable(), now), now)
            case SyncTables() as message:
                self._note_new(self._rows.merge(message.readable(), now), now)
                has_moved, effects = self._peers.on_sync(event.sender, message, now)
                self._rows.has_changed = self._rows.has_changed or has_moved
                self._effects += effects

    def _note_new(self, rows: list[SoftStateRow], now: timedelta) -> None:
        """Use the addresses and suspicions among new rows."""
        for row in rows:
            if row.value is None:
                continue
            if row.kind == MEMBER_ROW:
                self._effects.append(SetPeerAddress(row.key, MemberRecord.of(row.value).peer_address))
            elif row.kind == SUSPICION_ROW:
                daemon, _ = split_key(row.key)
                self._effects.append(self._deaths.on_suspicion(daemon, now))

    # --- answers

    def _answer_with_changes(self, now: timedelta) -> None:
        """Where the table has changed, push the other cores what they lack, and let daemons be answered."""
        dead = tuple(sorted(self._deaths.dead))
        if not self._may_answer(dead, now):
            return
        if self._rows.has_changed:
            for core in sorted(self._peers.peers):
                if core not in self._deaths.dead and self.table.member(core) is not None:
                    self._effects += self._peers.push(core, now)
        self._rows.mark_answered()
        self._announced_dead, self._moved_at = dead, now
        position = self._delta_server.move(dead)
        self._effects.append(Broadcast(TablePositionChanged(position)))

    def _may_answer(self, dead: tuple[str, ...], now: timedelta) -> bool:
        """Whether there is something to answer with, and it need not wait."""
        if not self._peers.has_agreed and now - self._listening_since <= self._tuning["takeover"]:
            return False
        if self._delta_server.position is None or dead != self._announced_dead:
            return True
        if not self._rows.has_changed:
            return False
        daemons = len(self.table.rows_of_kind(MEMBER_ROW))
        return self._rows.has_urgent_change or now - self._moved_at >= daemons * COLLECT_PER_DAEMON
