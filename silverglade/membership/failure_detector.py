"""The watcher's side of failure detection (design 4.2, 4.3): whose heartbeats are heard, and who is suspected."""

from __future__ import annotations

from collections.abc import Container, Iterator, Mapping
from datetime import timedelta
from typing import Any

from .messages import HeartbeatKind
from .published_rows import PublishedRows
from .records import ALL_CORES, SUSPICION_ROW, MemberState, joined_key
from .replicated_table import ReplicatedTable


class FailureDetector:
    """Suspects the daemons whose heartbeats cease, and publishes its suspicions for the cores.

    :ivar last_heard: daemons that send heartbeats here, and when the last one came.
    """

    __slots__ = ("last_heard", "_name", "_published", "_suspected", "_suspicion_count", "_tuning")

    def __init__(self, *, name: str, published: PublishedRows, tuning: Mapping[str, Any]) -> None:
        self.last_heard: dict[str, timedelta] = {}
        self._name = name
        self._published = published
        self._suspected: dict[str, int] = {}  # daemon -> the incarnation that is suspected
        self._suspicion_count = 0
        self._tuning = tuning

    def on_heartbeat(self, sender: str, kind: int, *, own_incarnation: int, now: timedelta) -> None:
        """Note a heartbeat; a suspicion of its sender is taken back."""
        if kind == HeartbeatKind.LAST:
            self.last_heard.pop(sender, None)
        elif kind == HeartbeatKind.REGULAR or sender in self.last_heard:
            self.last_heard[sender] = now
        if sender in self._suspected:
            self._publish(sender, None, own_incarnation)

    def on_pause(self, now: timedelta) -> None:
        """Count all silence from now: the process stood still, and heard nobody meanwhile."""
        self.last_heard.update(dict.fromkeys(self.last_heard, now))

    def suspect_silent_members(self, table: ReplicatedTable, *, own_incarnation: int, now: timedelta) -> None:
        """Suspect those of whom no heartbeat came for too long."""
        silent = [daemon for daemon, heard_at in self.last_heard.items() if now - heard_at > self._tuning["doubt"]]
        for daemon in silent:
            record = table.member(daemon)
            if record is None or record.state == MemberState.LEFT:
                continue
            if self._suspected.get(daemon) != record.incarnation:
                self._publish(daemon, record.incarnation, own_incarnation)

    def forget_gone(self, live: Container[str], table: ReplicatedTable, now: timedelta) -> None:
        """Forget daemons that are neither live nor heard; and suspicions of those that the cores have forgotten."""
        forget_after = self._tuning["gone"] * 2
        for daemon in [daemon for daemon, at in self.last_heard.items() if daemon not in live and now - at > forget_after]:
            del self.last_heard[daemon]
        for daemon in [daemon for daemon in self._suspected if table.member(daemon) is None]:
            del self._suspected[daemon]
            self._published.discard(SUSPICION_ROW, joined_key(daemon, self._name))

    def suspicion_times(self) -> Iterator[timedelta]:
        """Return when each of those not suspected will be, unless a heartbeat comes."""
        doubt = self._tuning["doubt"]
        return (heard_at + doubt for daemon, heard_at in self.last_heard.items() if daemon not in self._suspected)

    def _publish(self, daemon: str, suspected_incarnation: int | None, own_incarnation: int) -> None:
        """Publish a suspicion, or take it back."""
        self._suspicion_count += 1
        key = joined_key(daemon, self._name)
        self._published.publish(SUSPICION_ROW, key, (own_incarnation, self._suspicion_count), suspected_incarnation, ALL_CORES)
        self._suspected.pop(daemon, None)
        if suspected_incarnation is not None:
            self._suspected[daemon] = suspected_incarnation
