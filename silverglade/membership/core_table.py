"""The core table component: a core's table of soft state (design 4.3).

It accepts the rows that daemons publish, synchronizes them with the other cores (`core_peers.py`), decides which daemons are dead
(`death_detector.py`), and answers daemons with the changes since their last request. This module dispatches events to these parts.
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

BATCH_DELAY_PER_DAEMON = milliseconds(2)
"""Changes that are not urgent are batched for this time multiplied by the number of daemons, before daemons are answered (4.5)."""

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

        :param process_id: a random id of this process, with which the core stamps rows.
        :param peer_address: the address at which it listens for other daemons.
        :param seeds: addresses at which other cores may be reached.
        """
        self._name = name
        self._peer_address = peer_address
        self._seeds = tuple(seeds)
        self._tuning = tuning
        self._rows = CoreRows(process_id=process_id)
        self._peers = CorePeers(table=self._rows.table, tuning=tuning)
        self._death_detector = DeathDetector(name=name, rows=self._rows, peers=self._peers, tuning=tuning)
        self._delta_server = DeltaServer(self._rows.table)
        # the dead daemons that answers name, and when the content of answers last changed
        self._announced_dead: tuple[str, ...] = ()
        self._last_moved_at = ZERO
        # times: of the start or the end of the last pause, of the last timer event, of the next maintenance, of the next sync
        self._has_started = False
        self._silence_counted_since = ZERO
        self._last_timer = ZERO
        self._next_maintenance = ZERO
        self._next_sync: timedelta | None = None
        self._effects: list[Effect] = []

    @property
    def table(self) -> ReplicatedTable:
        """The rows of soft state that this core holds."""
        return self._rows.table

    def on_start(self, now: timedelta) -> None:
        """Set the start time: silence before it is no sign of a failure."""
        self._has_started = True
        self._last_timer = self._next_maintenance = now
        self._reset_silence_timers(now)

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
                self._death_detector.on_heartbeat(event.daemon, now)
            case UpdateRequestReceived():
                self._death_detector.on_update_request(event.daemon, now)
            case AnswerRequested():
                delta = self._delta_server.answer(event.daemon, event.position)
                self._effects.append(Send(event.daemon, (*event.body, delta)))
            case SeedsChanged():
                self._seeds = event.seeds
        effects, self._effects = self._effects, []
        return effects

    def _reset_silence_timers(self, now: timedelta) -> None:
        """Measure every silence from now on, because the process has just started or was paused."""
        self._silence_counted_since = now
        self._death_detector.reset_silence_timers(now)
        self._peers.reset_silence_timers(now)

    # --- timer

    def _on_timer(self, now: timedelta) -> None:
        if now - max(self._last_timer, self._next_maintenance) > self._tuning["late"]:
            self._reset_silence_timers(now)
        self._last_timer = now
        if now >= self._next_maintenance:
            self._next_maintenance = now + self._tuning["watch_beat"]
            self._run_maintenance(now)
        elif self._death_detector.has_suspicions:
            self._death_detector.update_dead(self.table.members(), now)
        self._publish_changes(now)
        if not self._death_detector.has_suspicions and not self._rows.has_changed:
            self._effects.append(WakeAt(self._next_maintenance))

    def _run_maintenance(self, now: timedelta) -> None:
        """Decide which daemons are dead, and synchronize with the other cores if it is time."""
        members = self.table.members()
        self._death_detector.update_dead(members, now)
        self._effects += self._death_detector.maintain(members, now)
        cores = {name for name, record in members.items() if record.is_core and name != self._name and record.state != MemberState.LEFT}
        self._peers.set_cores(cores, cores - self._death_detector.dead.keys(), now)
        if self._is_sync_due(now):
            self._next_sync = now + self._tuning["ask_wait"]
            self.table.drop_tombstones(now, self._tuning["forget"])
            self.table.drop_origins({record.process_id for record in members.values()})
            self._effects += self._peers.sync_all(now)
            self._contact_unknown_seeds(members)

    def _is_sync_due(self, now: timedelta) -> bool:
        """Whether it is time to send the version vector to the other cores; the first time is when the table holds this core's record."""
        if self._next_sync is None:
            return (MEMBER_ROW, self._name) in self.table.rows
        return now >= self._next_sync

    def _contact_unknown_seeds(self, members: Members) -> None:
        """Contact the seeds that are not the addresses of live members (4.3)."""
        own_record = self.table.rows.get((MEMBER_ROW, self._name))
        if own_record is None:
            return
        known = {record.peer_address for name, record in members.items() if name not in self._death_detector.dead}
        for address in self._seeds:
            if address != self._peer_address and address not in known:
                self._effects += self._peers.contact_seed(address, own_record)

    # --- messages

    def _on_message(self, event: MessageReceived, now: timedelta) -> None:
        match decode(event.body):
            case PublishRows() as message:
                self._handle_new_rows(self._rows.insert(message.readable(), now), now)
            case SyncTables() as message:
                self._handle_new_rows(self._rows.merge(message.readable(), now), now)
                has_moved, effects = self._peers.on_sync(event.sender, message, now)
                self._rows.has_changed = self._rows.has_changed or has_moved
                self._effects += effects

    def _handle_new_rows(self, rows: list[SoftStateRow], now: timedelta) -> None:
        """Set the peer addresses, and record the suspicions, that new rows contain."""
        for row in rows:
            if row.value is None:
                continue
            if row.kind == MEMBER_ROW:
                self._effects.append(SetPeerAddress(row.key, MemberRecord.of(row.value).peer_address))
            elif row.kind == SUSPICION_ROW:
                daemon, _ = split_key(row.key)
                self._effects.append(self._death_detector.on_suspicion(daemon, now))

    # --- answers

    def _publish_changes(self, now: timedelta) -> None:
        """After a change, push new rows to the other cores and broadcast the new position, so that daemons are answered."""
        dead = tuple(sorted(self._death_detector.dead))
        if not self._may_publish_changes(dead, now):
            return
        if self._rows.has_changed:
            for core in sorted(self._peers.peers):
                if core not in self._death_detector.dead and self.table.member(core) is not None:
                    self._effects += self._peers.push(core, now)
        self._rows.clear_changes()
        self._announced_dead, self._last_moved_at = dead, now
        position = self._delta_server.update_position(dead)
        self._effects.append(Broadcast(TablePositionChanged(position)))

    def _may_publish_changes(self, dead: tuple[str, ...], now: timedelta) -> bool:
        """Whether there are changes to answer with, and they need not be batched any longer."""
        if not self._peers.has_synced and now - self._silence_counted_since <= self._tuning["takeover"]:
            return False
        if self._delta_server.position is None or dead != self._announced_dead:
            return True
        if not self._rows.has_changed:
            return False
        daemons = len(self.table.rows_of_kind(MEMBER_ROW))
        return self._rows.has_urgent_change or now - self._last_moved_at >= daemons * BATCH_DELAY_PER_DAEMON
