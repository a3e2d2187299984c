"""Which of the statuses that this daemon measured are published (design 7.1): when they change, and under load not each time."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from ..runtime.effects import milliseconds
from .records import ReplicaStatus

INTERVAL_PER_DAEMON_MS = 10
"""Milliseconds between two statuses of a replica, for each live daemon."""

SERVED_TOLERANCE = 0.2
"""By which part the rate of requests served must have changed."""


def _rounded(status: ReplicaStatus) -> tuple[int, int, str, int, int, int, float]:
    """What of a status is worth publishing, with its use in tenths."""
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
    """Decides whether a status is published."""

    __slots__ = ("_tuning", "_published")

    def __init__(self, tuning: Mapping[str, Any]) -> None:
        self._tuning = tuning
        self._published: dict[str, tuple[ReplicaStatus, timedelta]] = {}

    def is_due(self, status: ReplicaStatus, *, live_daemons: int, now: timedelta) -> bool:
        """Whether to publish this status; if so it counts as published."""
        last, published_at = self._published.get(status.name, (None, now))
        if last is None or self._must_publish(last, status) or self._may_publish(last, status, now - published_at, live_daemons):
            self._published[status.name] = status, now
            return True
        return False

    def forget(self, replica: str) -> None:
        """Drop what was published of a replica."""
        self._published.pop(replica, None)

    def _must_publish(self, last: ReplicaStatus, status: ReplicaStatus) -> bool:
        return last.incarnation != status.incarnation or last.lease_epoch != status.lease_epoch or last.state != status.state

    def _may_publish(self, last: ReplicaStatus, status: ReplicaStatus, age: timedelta, live_daemons: int) -> bool:
        if age < max(self._tuning["probe"], milliseconds(INTERVAL_PER_DAEMON_MS * live_daemons)):
            return False
        return _rounded(last) != _rounded(status) or abs(last.served - status.served) > SERVED_TOLERANCE * status.served
