"""Replicas that say nothing (design 15.3): one timer tells the router of all attempts whose replica is silent for too long."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from ..http.connection_pool import SECOND, PooledConnection
from .attempt import AttemptTarget
from .client_request import ClientRequest

CHECK_INTERVAL_S = 0.1

ReportSilence = Callable[[ClientRequest, int], Coroutine[Any, Any, None]]
"""Tells the router that the replica of a request's attempt, given by its number, is silent."""


class _WatchedAttempt:
    """One attempt whose replica is watched.

    :ivar silent_since: when it was sent, or last reported as silent; in seconds of the monotonic clock.
    """

    __slots__ = ("number", "target", "connection", "silent_since")

    def __init__(self, number: int, target: AttemptTarget, connection: PooledConnection) -> None:
        self.number = number
        self.target = target
        self.connection = connection
        self.silent_since = time.monotonic()


class SilenceWatch:
    """Watches the replicas of attempts under way.

    :param report: called once for each spell of silence.
    :ivar reports: reports on their way to the router.
    """

    def __init__(self, *, report: ReportSilence) -> None:
        self.under_way: dict[ClientRequest, _WatchedAttempt] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.reports: set[asyncio.Future[None]] = set()
        self._report = report

    def begin(self, request: ClientRequest, number: int, target: AttemptTarget, connection: PooledConnection) -> None:
        """Watch the replica of an attempt, if the router wants it."""
        if target.patience:
            self.under_way[request] = _WatchedAttempt(number, target, connection)
            if self.timer is None:
                self._set_timer()

    def end(self, request: ClientRequest) -> None:
        """Stop watching: the attempt of this request is over."""
        self.under_way.pop(request, None)

    def check(self) -> None:
        """Report each attempt whose replica has said nothing for too long, on any of its connections."""
        self.timer, now = None, time.monotonic()
        for request, watched in self.under_way.items():
            target, stream = watched.target, watched.connection.stream
            limit = target.pause if request.was_started and target.pause else target.patience
            assert limit is not None
            if now - max(watched.silent_since, stream.received_at, stream.replica_activity.received_at) > limit / SECOND:
                watched.silent_since = now
                report = asyncio.ensure_future(self._report(request, watched.number))
                self.reports.add(report)
                report.add_done_callback(self.reports.discard)
        if self.under_way:
            self._set_timer()

    def _set_timer(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self.check)
