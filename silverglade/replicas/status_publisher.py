"""Decides which of the statuses measured by this daemon are published (design 7.1): only changed ones, and at a limited rate."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from ..runtime.effects import milliseconds
from .records import ReplicaStatus

INTERVAL_PER_DAEMON_MS = 10
"""Minimum interval between two published statuses of a replica, per live daemon."""

SERVED_TOLERANCE = 0.2
"""Relative change of the rate of requests served that makes a status worth publishing."""


def _rounded(status: ReplicaStatus) -> tuple[int, int, str, int, int, int, float]:
    """Return the fields whose change makes a status worth publishing, with `use` rounded to tenths."""
    return (
        status.incarnation,
        status.lease_epoch,
        status.state,
        status.running,
        status.capacity,
        status.used,
        round(status.use, 1),
    )


class StatusPublisher:
    """Remembers the last published status of each replica, and decides whether to publish the next."""

    __slots__ = ("_tuning", "_published")

    def __init__(self, tuning: Mapping[str, Any]) -> None:
        self._tuning = tuning
        self._published: dict[str, tuple[ReplicaStatus, timedelta]] = {}

    def is_due(self, status: ReplicaStatus, *, live_daemons: int, now: timedelta) -> bool:
        """Return whether to publish this status, and if so record it as published."""
        last, published_at = self._published.get(status.name, (None, now))
        if last is None or self._must_publish(last, status) or self._may_publish(last, status, now - published_at, live_daemons):
            self._published[status.name] = status, now
            return True
        return False

    def forget(self, replica: str) -> None:
        """Remove the record of what was published for a replica."""
        self._published.pop(replica, None)

    def _must_publish(self, last: ReplicaStatus, status: ReplicaStatus) -> bool:
        return last.incarnation != status.incarnation or last.lease_epoch != status.lease_epoch or last.state != status.state

    def _may_publish(self, last: ReplicaStatus, status: ReplicaStatus, age: timedelta, live_daemons: int) -> bool:
        if age < max(self._tuning["probe"], milliseconds(INTERVAL_PER_DAEMON_MS * live_daemons)):
            return False
        return _rounded(last) != _rounded(status) or abs(last.served - status.served) > SERVED_TOLERANCE * status.served
