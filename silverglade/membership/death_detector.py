"""A core's decision which daemons are dead (design 4.3), computed from its soft state and from the messages that reach it; not stored.

A daemon is dead in any of these cases:

- two of its live watchers (or all of them, if it has fewer) suspect its current incarnation, and it does not answer this core;
- the core that it queries for updates has received no request from it for too long;
- that core itself has not been in contact with this one for too long.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from datetime import timedelta
from enum import Enum
from typing import Any

from ..runtime.effects import ZERO, Effect, Send
from .core_peers import CorePeers
from .core_rows import CoreRows
from .messages import SuspicionCheck
from .records import (
    ALL_CORES,
    ATTRIBUTE_ROW,
    MEMBER_ROW,
    QUERIED_CORE_ROW,
    REPLICA_SUSPICION_ROW,
    SILENCE_ROW,
    SUSPICION_ROW,
    MemberRecord,
    MemberState,
    SoftStateRow,
    split_key,
)
from .watchers import watchers_of

SUSPICION_QUORUM = 2
"""The number of its watchers that must suspect a daemon; a daemon with fewer watchers must be suspected by all of them."""

SUSPICION_SETTLE_DIVISOR = 3
"""A suspicion counts only after it has lasted longer than the tuning "settle" divided by this number."""

Members = Mapping[str, MemberRecord]


class DeathCause(Enum):
    """Why a daemon is considered dead."""

    SILENT = "no core hears it"
    SUSPECTED = "its watchers suspect it"


class DeathDetector:
    """Decides which daemons are dead, and replaces the rows of daemons that have been gone for long by tombstones.

    :ivar dead: the dead daemons by name, in the order of detection.
    """

    __slots__ = (
        "dead",
        "_name",
        "_rows",
        "_peers",
        "_tuning",
        "_silence_counted_since",
        "_requested_at",
        "_heartbeat_at",
        "_suspected_since",
        "_gone_since",
    )

    def __init__(self, *, name: str, rows: CoreRows, peers: CorePeers, tuning: Mapping[str, Any]) -> None:
        self.dead: dict[str, DeathCause] = {}
        self._name = name
        self._rows = rows
        self._peers = peers
        self._tuning = tuning
        self._silence_counted_since = ZERO
        self._requested_at: dict[str, timedelta] = {}  # when each daemon last asked this core for updates
        self._heartbeat_at: dict[str, timedelta] = {}  # when this core last received a heartbeat of each daemon
        self._suspected_since: dict[str, timedelta] = {}  # start of the time for which a suspected daemon has not answered this core
        self._gone_since: dict[str, timedelta] = {}  # when each daemon was found dead or to have left

    # --- incoming events

    def reset_silence_timers(self, now: timedelta) -> None:
        """Measure every silence from now on, because the process has just started or was paused."""
        self._silence_counted_since = now
        for times in (self._requested_at, self._heartbeat_at, self._suspected_since):
            times.update(dict.fromkeys(times, now))

    def on_heartbeat(self, daemon: str, now: timedelta) -> None:
        """Record a heartbeat of a daemon."""
        self._heartbeat_at[daemon] = now

    def on_update_request(self, daemon: str, now: timedelta) -> None:
        """Record that a daemon asked this core for updates, and retract a published silence of the daemon."""
        self._requested_at[daemon] = now
        row = self._rows.table.rows.get((SILENCE_ROW, daemon))
        if row is not None and row.value is not None:
            self._publish_silence(daemon, None, now)

    def on_suspicion(self, daemon: str, now: timedelta) -> Effect:
        """Record that a watcher suspects a daemon, and return the message that asks the daemon for a heartbeat."""
        self._suspected_since.setdefault(daemon, now)
        return Send(daemon, SuspicionCheck().to_array())

    @property
    def has_suspicions(self) -> bool:
        """Whether any daemon is under suspicion."""
        return bool(self._suspected_since)

    # --- detection of dead daemons

    def update_dead(self, members: Members, now: timedelta) -> None:
        """Recompute `dead`.

        :param members: all daemons that have a record in the table.
        """
        present = {name: record for name, record in members.items() if record.state != MemberState.LEFT}
        suspecting = self._suspecting_watchers(present)
        dead = self._silent_daemons(present, now)
        up = {name: record for name, record in present.items() if name not in self.dead}
        for daemon, watchers in suspecting.items():
            if daemon != self._name and self._is_confirmed(daemon, watchers, {**up, daemon: present[daemon]}, now):
                dead[daemon] = DeathCause.SUSPECTED
        for daemon in [daemon for daemon in self._suspected_since if daemon not in suspecting]:
            del self._suspected_since[daemon]
        self.dead = dead

    def _suspecting_watchers(self, present: Members) -> dict[str, set[str]]:
        """Return, by daemon, the watchers that suspect its current incarnation.

        Suspicions that an earlier incarnation of the watcher published do not count.
        """
        suspecting: dict[str, set[str]] = {}
        for (kind, key), row in self._rows.table.rows.items():
            if kind != SUSPICION_ROW or row.value is None:
                continue
            daemon, watcher = split_key(key)
            if daemon not in present or watcher not in present:
                continue
            watcher_incarnation = row.rank[0]
            if row.value == present[daemon].incarnation and watcher_incarnation == present[watcher].incarnation:
                suspecting.setdefault(daemon, set()).add(watcher)
        return suspecting

    def _is_confirmed(self, daemon: str, suspecting: set[str], up: Members, now: timedelta) -> bool:
        """Whether enough watchers have suspected a daemon for long enough, without a heartbeat to this core since."""
        watchers = watchers_of(daemon, up, self._tuning["watch"])
        agreeing = suspecting.intersection(watchers)
        if not agreeing or len(agreeing) < min(SUSPICION_QUORUM, len(watchers)):
            return False
        since = self._suspected_since.get(daemon, now)
        if now - since <= self._tuning["settle"] / SUSPICION_SETTLE_DIVISOR:
            return False
        return self._heartbeat_at.get(daemon, self._silence_counted_since) < since

    def _silent_daemons(self, present: Members, now: timedelta) -> dict[str, DeathCause]:
        """Return the daemons from which the core that they query has received nothing for too long; publish those that query this core."""
        queried_core_rows = self._rows.table.rows_of_kind(QUERIED_CORE_ROW)
        silence_rows = self._rows.table.rows_of_kind(SILENCE_ROW)
        dead = {}
        for daemon, record in present.items():
            if daemon == self._name:
                continue
            core = queried_core_rows[daemon].value if daemon in queried_core_rows else None
            reported = silence_rows[daemon].value if daemon in silence_rows else None
            if now - self._last_contact(daemon, core, present, now) > self._tuning["gone"]:
                dead[daemon] = DeathCause.SILENT
                own_value = (record.incarnation, self._name)
                if core == self._name and reported != own_value:
                    self._publish_silence(daemon, own_value, now)
            elif core != self._name and reported is not None and reported == (record.incarnation, core):
                dead[daemon] = DeathCause.SILENT  # reported by the core that the daemon queries
        return dead

    def _last_contact(self, daemon: str, core: str | None, present: Members, now: timedelta) -> timedelta:
        """Return the latest time at which this core, or the core that the daemon queries, may have received a message from the daemon.

        :param core: the core or zone relay that the daemon queries; a zone relay counts as alive until it is found dead.
        """
        start = self._silence_counted_since
        last_contact = max(self._requested_at.get(daemon, start), self._heartbeat_at.get(daemon, start))
        if core is None or core == self._name or core not in present:
            return last_contact
        if present[core].is_core:
            return max(last_contact, self._peers.last_sync_at(core, start))
        return max(last_contact, self._gone_since.get(core, now))

    def _publish_silence(self, daemon: str, value: tuple[int, str] | None, now: timedelta) -> None:
        """Publish that a daemon has not asked this core for updates for too long.

        :param value: the daemon's incarnation and this core's name, or None to retract the statement.
        """
        row = self._rows.table.rows.get((SILENCE_ROW, daemon))
        rank = ((row.rank[0] if row is not None else 0) + 1,)
        self._rows.publish(SoftStateRow(SILENCE_ROW, daemon, rank, value, ALL_CORES), now)

    # --- periodic maintenance

    def maintain(self, members: Members, now: timedelta) -> list[Effect]:
        """Ask suspected daemons for heartbeats, and replace the rows of daemons that have been gone for long by tombstones.

        :param members: all daemons that have a record in the table.
        """
        checks: list[Effect] = [Send(daemon, SuspicionCheck().to_array()) for daemon in self._suspected_since]
        self._restart_answered_suspicions(now)
        self._record_gone(members, now)
        for daemon in [daemon for daemon, since in self._gone_since.items() if now - since > self._tuning["forget"]]:
            self._publish_tombstones(daemon, now)
        self._forget_unknown(members)
        self._retract_orphaned_suspicions(members, now)
        return checks

    def _restart_answered_suspicions(self, now: timedelta) -> None:
        """Restart the suspicion timers of daemons that answer this core: they live, and only their watchers have lost connection."""
        for daemon, heartbeat_at in self._heartbeat_at.items():
            if daemon in self._suspected_since and now - heartbeat_at < self._tuning["doubt"]:
                self._suspected_since[daemon] = now

    def _record_gone(self, members: Members, now: timedelta) -> None:
        """Record since when each daemon has been dead or has left, and drop the times of daemons that are back."""
        for daemon in self.dead:
            self._gone_since.setdefault(daemon, now)
        for daemon in [daemon for daemon in self._gone_since if daemon not in self.dead and not _has_left(members.get(daemon))]:
            del self._gone_since[daemon]
        for daemon, record in members.items():
            if _has_left(record):
                self._gone_since.setdefault(daemon, now)

    def _publish_tombstones(self, daemon: str, now: timedelta) -> None:
        """Replace the rows of a daemon that has been gone for long by tombstones."""
        del self._gone_since[daemon]
        for row in list(self._rows.table.rows.values()):
            if row.value is not None and _refers_to(row, daemon):
                self._rows.publish_tombstone(row, now)

    def _forget_unknown(self, members: Container[str]) -> None:
        for daemon in [daemon for daemon in (*self._requested_at, *self._heartbeat_at) if daemon not in members]:
            self._requested_at.pop(daemon, None)
            self._heartbeat_at.pop(daemon, None)

    def _retract_orphaned_suspicions(self, members: Container[str], now: timedelta) -> None:
        """Replace suspicions whose daemon or watcher is gone by tombstones: no other daemon would retract them."""
        for row in [row for row in self._rows.table.rows.values() if row.kind == SUSPICION_ROW and row.value is not None]:
            daemon, watcher = split_key(row.key)
            if daemon not in members or watcher not in members:
                self._rows.publish_tombstone(row, now, scope=ALL_CORES)


def _has_left(record: MemberRecord | None) -> bool:
    return record is not None and record.state == MemberState.LEFT


def _refers_to(row: SoftStateRow, daemon: str) -> bool:
    """Whether a row is to be removed together with the records of this daemon."""
    if row.kind in (MEMBER_ROW, QUERIED_CORE_ROW, SILENCE_ROW):
        return row.key == daemon
    if row.kind == ATTRIBUTE_ROW:
        return row.key.split(" ")[0] == daemon
    return row.kind == REPLICA_SUSPICION_ROW and row.key.split(" ")[-1] == daemon
