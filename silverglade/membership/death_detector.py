"""A core's decision who is dead (design 4.3), worked out from its rows and from whom it hears, and stored nowhere.

A daemon is dead when two of its live watchers (or all, if it has fewer) suspect its present incarnation and it does not answer
this core; when the core that it asks for updates has not been asked for too long; or when that core itself is not heard.
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
    SUSPICION_ROW,
    UNHEARD_ROW,
    MemberRecord,
    MemberState,
    SoftStateRow,
    split_key,
)
from .watchers import watchers_of

SUSPICIONS_NEEDED = 2
"""So many watchers that suspect a daemon are enough, if it has so many."""

SETTLED_PART = 3
"""A suspicion counts once it has stood for this part of the tuning "settle"."""

Members = Mapping[str, MemberRecord]


class DeathCause(Enum):
    """Why a daemon is held for dead."""

    UNHEARD = "no core hears it"
    SUSPECTED = "its watchers suspect it"


class DeathDetector:
    """Decides who is dead, and leaves tombstones of those that are gone for long.

    :ivar dead: by name, in the order in which they were found.
    """

    __slots__ = (
        "dead",
        "_name",
        "_rows",
        "_peers",
        "_tuning",
        "_listening_since",
        "_asked_at",
        "_answered_at",
        "_suspected_since",
        "_gone_since",
    )

    def __init__(self, *, name: str, rows: CoreRows, peers: CorePeers, tuning: Mapping[str, Any]) -> None:
        self.dead: dict[str, DeathCause] = {}
        self._name = name
        self._rows = rows
        self._peers = peers
        self._tuning = tuning
        self._listening_since = ZERO
        self._asked_at: dict[str, timedelta] = {}  # when a daemon last asked this core for updates
        self._answered_at: dict[str, timedelta] = {}  # when a heartbeat of a daemon last came here
        self._suspected_since: dict[str, timedelta] = {}  # a suspicion is known, and the daemon has not answered this core since
        self._gone_since: dict[str, timedelta] = {}  # dead, or left

    # --- what is heard

    def listen_from(self, now: timedelta) -> None:
        """Count all silence from now: the process has started, or stood still."""
        self._listening_since = now
        for times in (self._asked_at, self._answered_at, self._suspected_since):
            times.update(dict.fromkeys(times, now))

    def on_heartbeat(self, daemon: str, now: timedelta) -> None:
        """Note a heartbeat of a daemon."""
        self._answered_at[daemon] = now

    def on_asked(self, daemon: str, now: timedelta) -> None:
        """Note that a daemon asks this core for updates."""
        self._asked_at[daemon] = now
        row = self._rows.table.rows.get((UNHEARD_ROW, daemon))
        if row is not None and row.value is not None:
            self._publish_unheard(daemon, None, now)

    def on_suspicion(self, daemon: str, now: timedelta) -> Effect:
        """Note a suspicion of a daemon, and ask the daemon itself."""
        self._suspected_since.setdefault(daemon, now)
        return Send(daemon, SuspicionCheck().to_array())

    @property
    def has_suspicions(self) -> bool:
        """Whether a suspicion is open."""
        return bool(self._suspected_since)

    # --- who is dead

    def decide(self, members: Members, now: timedelta) -> None:
        """Work out who is dead.

        :param members: all daemons that the table speaks of.
        """
        present = {name: record for name, record in members.items() if record.state != MemberState.LEFT}
        suspecting = self._suspecting_watchers(present)
        dead = self._unheard(present, now)
        up = {name: record for name, record in present.items() if name not in self.dead}
        for daemon, watchers in suspecting.items():
            if daemon != self._name and self._is_confirmed(daemon, watchers, {**up, daemon: present[daemon]}, now):
                dead[daemon] = DeathCause.SUSPECTED
        for daemon in [daemon for daemon in self._suspected_since if daemon not in suspecting]:
            del self._suspected_since[daemon]
        self.dead = dead

    def _suspecting_watchers(self, present: Members) -> dict[str, set[str]]:
        """Return who suspects the present incarnation of each daemon, by suspicions of the watchers' own present incarnations."""
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
        """Whether enough watchers suspect a daemon for long enough, and it does not answer this core."""
        watchers = watchers_of(daemon, up, self._tuning["watch"])
        agreeing = suspecting.intersection(watchers)
        if not agreeing or len(agreeing) < min(SUSPICIONS_NEEDED, len(watchers)):
            return False
        since = self._suspected_since.get(daemon, now)
        if now - since <= self._tuning["settle"] / SETTLED_PART:
            return False
        return self._answered_at.get(daemon, self._listening_since) < since

    def _unheard(self, present: Members, now: timedelta) -> dict[str, DeathCause]:
        """Return the daemons that the core which they ask has not heard for too long."""
        queried_core_rows = self._rows.table.rows_of_kind(QUERIED_CORE_ROW)
        unheard_rows = self._rows.table.rows_of_kind(UNHEARD_ROW)
        dead = {}
        for daemon, record in present.items():
            if daemon == self._name:
                continue
            core = queried_core_rows[daemon].value if daemon in queried_core_rows else None
            noted = unheard_rows[daemon].value if daemon in unheard_rows else None
            if now - self._last_heard(daemon, core, present, now) > self._tuning["gone"]:
                dead[daemon] = DeathCause.UNHEARD
                own_note = (record.incarnation, self._name)
                if core == self._name and noted != own_note:
                    self._publish_unheard(daemon, own_note, now)
            elif core != self._name and noted is not None and noted == (record.incarnation, core):
                dead[daemon] = DeathCause.UNHEARD  # says the core that it asked
        return dead

    def _last_heard(self, daemon: str, core: str | None, present: Members, now: timedelta) -> timedelta:
        """Return when a daemon was last heard here, or may have been heard by whom it asks.

        :param core: that it asks; for a zone relay, that lives as long as it was not found dead.
        """
        start = self._listening_since
        heard = max(self._asked_at.get(daemon, start), self._answered_at.get(daemon, start))
        if core is None or core == self._name or core not in present:
            return heard
        if present[core].is_core:
            return max(heard, self._peers.heard_at(core, start))
        return max(heard, self._gone_since.get(core, now))

    def _publish_unheard(self, daemon: str, value: tuple[int, str] | None, now: timedelta) -> None:
        """Publish that no daemon of this incarnation has asked this core for long; None takes it back."""
        row = self._rows.table.rows.get((UNHEARD_ROW, daemon))
        rank = ((row.rank[0] if row is not None else 0) + 1,)
        self._rows.publish(SoftStateRow(UNHEARD_ROW, daemon, rank, value, ALL_CORES), now)

    # --- once in a while

    def maintain(self, members: Members, now: timedelta) -> list[Effect]:
        """Ask the suspected daemons themselves, and leave tombstones of those that are gone for long.

        :param members: all daemons that the table speaks of.
        """
        checks: list[Effect] = [Send(daemon, SuspicionCheck().to_array()) for daemon in self._suspected_since]
        self._restart_suspicions_of_answering(now)
        self._note_gone(members, now)
        for daemon in [daemon for daemon, since in self._gone_since.items() if now - since > self._tuning["forget"]]:
            self._bury(daemon, now)
        self._forget_unknown(members)
        self._take_back_suspicions(members, now)
        return checks

    def _restart_suspicions_of_answering(self, now: timedelta) -> None:
        """A suspected daemon that answers here lives: only a connection of its watchers is down."""
        for daemon, answered_at in self._answered_at.items():
            if daemon in self._suspected_since and now - answered_at < self._tuning["doubt"]:
                self._suspected_since[daemon] = now

    def _note_gone(self, members: Members, now: timedelta) -> None:
        """Note since when daemons are dead, or have left."""
        for daemon in self.dead:
            self._gone_since.setdefault(daemon, now)
        for daemon in [daemon for daemon in self._gone_since if daemon not in self.dead and not _has_left(members.get(daemon))]:
            del self._gone_since[daemon]
        for daemon, record in members.items():
            if _has_left(record):
                self._gone_since.setdefault(daemon, now)

    def _bury(self, daemon: str, now: timedelta) -> None:
        """Leave tombstones of one that is gone for long."""
        del self._gone_since[daemon]
        for row in list(self._rows.table.rows.values()):
            if row.value is not None and _speaks_of(row, daemon):
                self._rows.publish_tombstone(row, now)

    def _forget_unknown(self, members: Container[str]) -> None:
        for daemon in [daemon for daemon in (*self._asked_at, *self._answered_at) if daemon not in members]:
            self._asked_at.pop(daemon, None)
            self._answered_at.pop(daemon, None)

    def _take_back_suspicions(self, members: Container[str], now: timedelta) -> None:
        """Leave tombstones of suspicions whose daemon or watcher is gone: nobody else takes them back."""
        for row in [row for row in self._rows.table.rows.values() if row.kind == SUSPICION_ROW and row.value is not None]:
            daemon, watcher = split_key(row.key)
            if daemon not in members or watcher not in members:
                self._rows.publish_tombstone(row, now, scope=ALL_CORES)


def _has_left(record: MemberRecord | None) -> bool:
    return record is not None and record.state == MemberState.LEFT


def _speaks_of(row: SoftStateRow, daemon: str) -> bool:
    """Whether a row goes when the daemon is forgotten."""
    if row.kind in (MEMBER_ROW, QUERIED_CORE_ROW, UNHEARD_ROW):
        return row.key == daemon
    if row.kind == ATTRIBUTE_ROW:
        return row.key.split(" ")[0] == daemon
    return row.kind == REPLICA_SUSPICION_ROW and row.key.split(" ")[-1] == daemon
