"""The membership component of a daemon (design 4).

It maintains the daemon's member record and its copy of the soft state, sends heartbeats to its watchers, watches other daemons, and
notifies the other components which daemons are live. This module dispatches events to the parts in `published_rows.py`,
`own_attributes.py`, `failure_detector.py` and `live_members.py`.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..runtime.components import Component
from ..runtime.effects import ZERO, Broadcast, Effect, Post, Send, SetPeerAddress, WakeAt, log_record, to_milliseconds
from ..runtime.events import (
    AnswerRequested,
    AttributeSet,
    DaemonStateChanged,
    Event,
    HeartbeatReceived,
    MessageReceived,
    ProcessPaused,
    QueriedCoreChanged,
    SoftStateChanged,
    SoftStateDeltaReceived,
    SoftStatePublished,
    TablePositionChanged,
    TablePositionReported,
    TimerFired,
)
from .failure_detector import FailureDetector
from .live_members import LiveMembers
from .messages import Heartbeat, HeartbeatKind, PublishRows, SuspicionCheck, decode, decode_delta
from .own_attributes import OwnAttributes
from .published_rows import PublishedRows
from .records import (
    ALL_CORES,
    ATTRIBUTE_ROW,
    MEMBER_ROW,
    QUERIED_CORE_ROW,
    SUSPICION_ROW,
    MemberRecord,
    MemberState,
    Rank,
    SoftStateRow,
)
from .replicated_table import DeltaServer, Position, ReplicatedTable, covers, to_pairs
from .watchers import watchers_of

SEED_PREFIX = "@"
"""Prefix of the name of a core of which only the address is known."""


class Membership:
    """The membership component as a state machine.

    :ivar table: this daemon's copy of the soft state.
    :ivar published: the rows that this daemon publishes.
    :ivar queried_core: the daemon that this one queries for updates: a core, a zone relay, a seed ("@address"), or "" before the first.
    :ivar has_joined: whether the cores hold a record of this process of the daemon.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MessageReceived,
        QueriedCoreChanged,
        SoftStateDeltaReceived,
        AnswerRequested,
        AttributeSet,
        SoftStatePublished,
        DaemonStateChanged,
    )

    def __init__(
        self,
        *,
        name: str,
        process_id: str,
        zone: str,
        region: str,
        peer_address: str,
        http_address: str,
        is_core: bool,
        tuning: Mapping[str, Any],
    ) -> None:
        self.table = ReplicatedTable()
        self.published = PublishedRows(name=name, tuning=tuning)
        self.queried_core = ""
        self.has_joined = False
        self._name = name
        self._tuning = tuning
        # this daemon's member record, and the state that it takes once it has joined
        self._record = MemberRecord(name, process_id, 1, 0, zone, region, peer_address, http_address, is_core, MemberState.JOINING.value)
        self._target_state = MemberState.READY.value
        self._queried_core_changes = 0
        self._attributes = OwnAttributes(name=name)
        # liveness of the other daemons
        self._failure_detector = FailureDetector(name=name, published=self.published, tuning=tuning)
        self._live = LiveMembers(own_name=name)
        self._watchers: tuple[str, ...] = ()
        # answers the daemons of the zone if this daemon is its zone relay (5.7)
        self._delta_server = DeltaServer(self.table)
        # when a core last answered; since when the cores' table has lacked rows of this one; whether all rows were resent for that reason
        self._last_answer_at: timedelta | None = None
        self._ahead_since: timedelta | None = None
        self._sent_all_rows = False
        # times: of the last timer event, of the next heartbeats (None before the first event), of the requested wake-up
        self._last_timer = ZERO
        self._next_heartbeats: timedelta | None = None
        self._wake_at = ZERO
        self._effects: list[Effect] = []

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects in their order."""
        if self._next_heartbeats is None:
            self._next_heartbeats = self._last_timer = now
            self._publish_record()
        match event:
            case TimerFired():
                self._on_timer(now)
            case MessageReceived():
                self._on_message(event, now)
            case QueriedCoreChanged():
                self._on_queried_core(event.core)
            case SoftStateDeltaReceived():
                self._on_delta(event, now)
            case AnswerRequested():
                delta = self._delta_server.answer(event.daemon, event.position)
                self._effects.append(Send(event.daemon, (*event.body, delta)))
            case AttributeSet():
                self._attributes.values[event.name] = event.value
            case SoftStatePublished():
                self._on_published(event)
            case DaemonStateChanged():
                self._on_daemon_state(event.state, now)
        effects, self._effects = self._effects, []
        return effects

    # --- events

    def _on_timer(self, now: timedelta) -> None:
        if now - max(self._last_timer, self._wake_at) > self._tuning["late"]:
            self._on_pause(now)
        self._last_timer = now
        attribute_times = self._attributes.publish_changes(
            now, self.published, incarnation=self._record.incarnation, member_count=len(self._live.members)
        )
        self._failure_detector.suspect_silent_members(self.table, own_incarnation=self._record.incarnation, now=now)
        if self._next_heartbeats is None or now >= self._next_heartbeats:
            self._next_heartbeats = now + self._tuning["watch_beat"]
            self._send_heartbeats(now)
            self._send_rows(now)
            self.table.drop_tombstones(now, self._tuning["forget"])
        else:
            self._send_unsent_rows(now)
        self._update_members(now)
        self._wake_at = min([self._next_heartbeats, *attribute_times, *self._failure_detector.suspicion_times()])
        self._effects.append(WakeAt(self._wake_at))

    def _on_pause(self, now: timedelta) -> None:
        """Handle a pause of the process: state from before the pause is not reliable (4.4)."""
        paused_for = now - self._last_timer
        self._effects.append(log_record("process-paused", late_ms=to_milliseconds(paused_for)))
        self._effects.append(Broadcast(ProcessPaused()))
        self._failure_detector.on_pause(now)
        if paused_for <= self._tuning["forget"] and self._last_answer_at is not None:
            self._last_answer_at = now

    def _on_message(self, event: MessageReceived, now: timedelta) -> None:
        match decode(event.body):
            case Heartbeat(kind=kind):
                self._effects.append(Post(Component.CORE_TABLE, HeartbeatReceived(event.sender)))
                self._failure_detector.on_heartbeat(event.sender, kind, own_incarnation=self._record.incarnation, now=now)
            case SuspicionCheck():
                self._send_heartbeat(event.sender, HeartbeatKind.ANSWER)

    def _on_queried_core(self, core: str) -> None:
        """Switch to another core; it receives this daemon's record, and with it the address, before the first request."""
        if core == self.queried_core:
            return
        self.queried_core = core
        own = self.published.own_record
        self._send(core, PublishRows(((MEMBER_ROW, self._name, *own),)))
        self._publish_queried_core()

    def _on_delta(self, event: SoftStateDeltaReceived, now: timedelta) -> None:
        position = self._apply_answer(event.sender, event.delta, now)
        self._effects.append(Post(Component.UPDATER, TablePositionReported(position)))
        self._update_members(now)
        self._send_unsent_rows(now)

    def _on_published(self, event: SoftStatePublished) -> None:
        """Publish a row for a component; a daemon without a disk publishes tombstones only for rows that it published itself."""
        if event.value is not None or self._record.is_core or (event.kind, event.key) in self.published.rows:
            self.published.publish(event.kind, event.key, event.rank, event.value, event.scope)

    def _on_daemon_state(self, state: str, now: timedelta) -> None:
        """Change this daemon's state; until it has joined, a state other than leaving or left is only remembered."""
        self._target_state = state
        if self.has_joined or state in (MemberState.LEAVING, MemberState.LEFT):
            self._record = self._record._replace(state=state)
            self._publish_record()
            self._send_rows(now)
            self._live.is_outdated = True
            self._update_members(now)

    # --- rows and heartbeats of this daemon

    def _publish_record(self) -> None:
        """Publish this daemon's record with the next sequence number."""
        self._record = self._record._replace(sequence=self._record.sequence + 1)
        rank = (self._record.incarnation, self._record.sequence)
        self.published.publish(MEMBER_ROW, self._name, rank, tuple(self._record))

    def _publish_queried_core(self) -> None:
        """Publish which core receives this daemon's update requests and so can judge its liveness (4.3)."""
        if self.queried_core and not self.queried_core.startswith(SEED_PREFIX):
            self._queried_core_changes += 1
            rank = (self._record.incarnation, self._queried_core_changes)
            self.published.publish(QUERIED_CORE_ROW, self._name, rank, self.queried_core, ALL_CORES)

    def _raise_incarnation(self, rank: Rank) -> None:
        """Raise the incarnation above that of an outdated row of this daemon, unless it is higher already.

        :param rank: of the outdated row.
        """
        seen_incarnation = rank[0]
        if seen_incarnation < self._record.incarnation:
            return
        self._record = self._record._replace(incarnation=seen_incarnation + 1)
        self._attributes.reset_intervals()
        self.published.discard_kinds(ATTRIBUTE_ROW, SUSPICION_ROW)
        self._publish_record()
        self._publish_queried_core()

    def _send_rows(self, now: timedelta, *, all_rows: bool = False) -> None:
        """Send the due rows, or all rows, to the queried core."""
        rows = self.published.take_due(now, self.table, all_rows=all_rows)
        if rows and self.queried_core:
            self._send(self.queried_core, PublishRows(rows))

    def _send_unsent_rows(self, now: timedelta) -> None:
        """Send the due rows if there is a row that was never sent."""
        if self.published.has_unsent():
            self._send_rows(now)

    def _send_heartbeats(self, now: timedelta) -> None:
        """Send heartbeats to this daemon's watchers (4.2), and a last one to each former watcher."""
        live = self._live.by_name()
        watchers = watchers_of(self._name, live, self._tuning["watch"]) if self._name in live else ()
        for daemon in self._watchers:
            if daemon not in watchers:
                self._send_heartbeat(daemon, HeartbeatKind.LAST)
        self._watchers = watchers
        for daemon in watchers:
            self._send_heartbeat(daemon, HeartbeatKind.REGULAR)
        self._failure_detector.forget_removed(live, self.table, now)

    def _send_heartbeat(self, daemon: str, kind: HeartbeatKind) -> None:
        self._send(daemon, Heartbeat(self._record.incarnation, kind))

    def _send(self, daemon: str, message: Heartbeat | PublishRows) -> None:
        self._effects.append(Send(daemon, message.to_array()))

    # --- answers of the cores

    def _apply_answer(self, core: str, delta_array: tuple[Any, ...], now: timedelta) -> Position | None:
        """Apply the soft state of a core's answer (4.3).

        :returns: the position of the table, or None if it has not changed.
        """
        last_answer, self._last_answer_at = self._last_answer_at, now
        if last_answer is not None and now - last_answer > self._tuning["forget"]:
            # tombstones published in the meantime have expired, so no delta contains them, and some daemons may still hold a tombstone
            # of this daemon
            self._reset_table(core)
            self._raise_incarnation((self._record.incarnation,))
            return to_pairs(self.table.vector)
        if not delta_array:
            return None
        delta = decode_delta(delta_array)
        if delta is None:
            return to_pairs(self.table.vector)
        self._merge(delta.readable(), now)
        own_row = self.table.rows.get((MEMBER_ROW, self._name))
        self._override_stale_record(own_row)
        if self._name in delta.dead:
            self._publish_queried_core()  # the cores may have an outdated row of which core this daemon queries
        self._live.set_dead(frozenset(delta.dead))
        vector = dict(delta.vector)
        if covers(vector, self.table.vector_with_rows()):
            self._set_position(vector, delta.dead)
            self._join_if_acknowledged(own_row)
            return delta.token
        self._on_core_behind(core, now)
        return to_pairs(self.table.vector)

    def _merge(self, rows: list[SoftStateRow], now: timedelta) -> None:
        """Merge rows into the table, and notify the components of the new ones."""
        changed: dict[str, dict[str, tuple[Rank, Any]]] = {}
        for row in self.table.merge(rows, now):
            if row.kind not in (MEMBER_ROW, ATTRIBUTE_ROW):
                changed.setdefault(row.kind, {})[row.key] = (row.rank, row.value)
                continue
            self._live.is_outdated = True
            if row.kind == MEMBER_ROW and row.value is not None and row.key != self._name:
                self._effects.append(SetPeerAddress(row.key, MemberRecord.of(row.value).peer_address))
        for kind, rows_of_kind in changed.items():
            self._effects.append(Broadcast(SoftStateChanged(kind, rows_of_kind)))

    def _override_stale_record(self, own_row: SoftStateRow | None) -> None:
        """Raise the incarnation if the cores hold a tombstone of this daemon, or a record of an earlier process of it."""
        if own_row is not None and not self._is_of_this_process(own_row):
            self._raise_incarnation(own_row.rank)

    def _is_of_this_process(self, own_row: SoftStateRow) -> bool:
        return own_row.value is not None and MemberRecord.of(own_row.value).process_id == self._record.process_id

    def _set_position(self, vector: dict[str, int], dead: tuple[str, ...]) -> None:
        """Set the table's version vector to the core's, all of whose rows the table holds."""
        self.table.vector = vector
        self._ahead_since = None
        self._live.is_frozen = False
        self._sent_all_rows = False
        if not self._record.is_core:
            self._effects.append(Post(Component.ZONE_RELAY, TablePositionChanged(self._delta_server.update_position(dead))))

    def _join_if_acknowledged(self, own_row: SoftStateRow | None) -> None:
        """Join, and take the target state, once the cores hold the record of this process."""
        if not self.has_joined and own_row is not None and self._is_of_this_process(own_row):
            self.has_joined = True
            self._record = self._record._replace(state=self._target_state)
            self._publish_record()

    def _on_core_behind(self, core: str, now: timedelta) -> None:
        """Handle an answer of a core whose table lacks rows that this one holds.

        This daemon's rows are sent to the core again. If the table still lacks rows afterwards, the core has restarted with an
        empty table, and this table is fetched again.
        """
        if self._ahead_since is None:
            self._ahead_since = now
        elif not self._sent_all_rows and now - self._ahead_since >= self._tuning["beat"] / 2:
            self.queried_core, self._sent_all_rows = core, True
            self._send_rows(now, all_rows=True)
        elif now - self._ahead_since > self._tuning["takeover"]:
            self._reset_table(core)

    def _reset_table(self, core: str) -> None:
        """Drop the table, so that a core sends it in full; the list of live members does not change until then."""
        self.table = ReplicatedTable()
        self._delta_server = DeltaServer(self.table)
        self._ahead_since = None
        self._live.is_frozen = self._live.is_outdated = True
        self._effects.append(log_record("soft-state-reset", core=core))

    # --- live members

    def _update_members(self, now: timedelta) -> None:
        """Compute the list of live members again if it may have changed."""
        gone_after = self._tuning["gone"]
        last_heartbeat = self._failure_detector.last_heartbeat

        def has_recent_heartbeat(daemon: str) -> bool:
            return daemon in last_heartbeat and now - last_heartbeat[daemon] < gone_after

        is_isolated = self._last_answer_at is None or now - self._last_answer_at > gone_after
        self._effects += self._live.update(
            self.table,
            own_record=self._record,
            own_attributes=self._attributes.values,
            is_isolated=is_isolated,
            has_recent_heartbeat=has_recent_heartbeat,
        )
