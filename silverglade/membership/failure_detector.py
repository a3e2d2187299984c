"""Failure detection in a watcher (design 4.2, 4.3): it receives heartbeats and suspects daemons whose heartbeats cease."""

from __future__ import annotations

from collections.abc import Container, Iterator, Mapping
from datetime import timedelta
from typing import Any

from .messages import HeartbeatKind
from .published_rows import PublishedRows
from .records import ALL_CORES, SUSPICION_ROW, MemberState, joined_key
from .replicated_table import ReplicatedTable


class FailureDetector:
    """Suspects the daemons whose heartbeats cease, and publishes its suspicions to the cores.

    :ivar last_heartbeat: the daemons that send heartbeats to this one, each with the time of its last heartbeat.
    """

    __slots__ = ("last_heartbeat", "_name", "_published", "_suspected", "_suspicion_count", "_tuning")

    def __init__(self, *, name: str, published: PublishedRows, tuning: Mapping[str, Any]) -> None:
        self.last_heartbeat: dict[str, timedelta] = {}
        self._name = name
        self._published = published
        self._suspected: dict[str, int] = {}  # daemon -> its suspected incarnation
        self._suspicion_count = 0
        self._tuning = tuning

    def on_heartbeat(self, sender: str, kind: int, *, own_incarnation: int, now: timedelta) -> None:
        """Record a heartbeat, and retract a suspicion of its sender."""
        if kind == HeartbeatKind.LAST:
            self.last_heartbeat.pop(sender, None)
        elif kind == HeartbeatKind.REGULAR or sender in self.last_heartbeat:
            self.last_heartbeat[sender] = now
        if sender in self._suspected:
            self._publish(sender, None, own_incarnation)

    def on_pause(self, now: timedelta) -> None:
        """Measure every silence from now on: a paused process received no heartbeats."""
        self.last_heartbeat.update(dict.fromkeys(self.last_heartbeat, now))

    def suspect_silent_members(self, table: ReplicatedTable, *, own_incarnation: int, now: timedelta) -> None:
        """Publish a suspicion of each member whose last heartbeat is older than the tuning "doubt"."""
        silent = [daemon for daemon, heard_at in self.last_heartbeat.items() if now - heard_at > self._tuning["doubt"]]
        for daemon in silent:
            record = table.member(daemon)
            if record is None or record.state == MemberState.LEFT:
                continue
            if self._suspected.get(daemon) != record.incarnation:
                self._publish(daemon, record.incarnation, own_incarnation)

    def forget_removed(self, live: Container[str], table: ReplicatedTable, now: timedelta) -> None:
        """Drop daemons that are not live and have long sent no heartbeat, and suspicions of daemons without a record in the table."""
        forget_after = self._tuning["gone"] * 2
        for daemon in [daemon for daemon, at in self.last_heartbeat.items() if daemon not in live and now - at > forget_after]:
            del self.last_heartbeat[daemon]
        for daemon in [daemon for daemon in self._suspected if table.member(daemon) is None]:
            del self._suspected[daemon]
            self._published.discard(SUSPICION_ROW, joined_key(daemon, self._name))

    def suspicion_times(self) -> Iterator[timedelta]:
        """Return the times at which the daemons not yet suspected will be, unless they send a heartbeat before."""
        doubt = self._tuning["doubt"]
        return (heard_at + doubt for daemon, heard_at in self.last_heartbeat.items() if daemon not in self._suspected)

    def _publish(self, daemon: str, suspected_incarnation: int | None, own_incarnation: int) -> None:
        """Publish a suspicion of an incarnation, or retract the suspicion of a daemon if the incarnation is None."""
        self._suspicion_count += 1
        key = joined_key(daemon, self._name)
        self._published.publish(SUSPICION_ROW, key, (own_incarnation, self._suspicion_count), suspected_incarnation, ALL_CORES)
        self._suspected.pop(daemon, None)
        if suspected_incarnation is not None:
            self._suspected[daemon] = suspected_incarnation
