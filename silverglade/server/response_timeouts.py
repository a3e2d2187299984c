"""Detection of silent replicas (design 15.3).

A single timer checks all attempts and reports to the router those whose replica has sent nothing for too long.
"""

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
"""Reports to the router that the replica of an attempt, given by request and attempt number, is silent."""


class _WatchedAttempt:
    """An attempt whose replica is monitored.

    :ivar silent_since: when the attempt began or was last reported as silent, in seconds of the monotonic clock.
    """

    __slots__ = ("number", "target", "connection", "silent_since")

    def __init__(self, number: int, target: AttemptTarget, connection: PooledConnection) -> None:
        self.number = number
        self.target = target
        self.connection = connection
        self.silent_since = time.monotonic()


class SilenceWatch:
    """Monitors the replicas of the attempts in progress.

    :param report: called whenever a replica has been silent for the limit, and again after each further such period.
    :ivar watched_attempts: the monitored attempts by request.
    :ivar reports: tasks of reports that have not reached the router yet.
    """

    def __init__(self, *, report: ReportSilence) -> None:
        self.watched_attempts: dict[ClientRequest, _WatchedAttempt] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.reports: set[asyncio.Future[None]] = set()
        self._report = report

    def begin(self, request: ClientRequest, number: int, target: AttemptTarget, connection: PooledConnection) -> None:
        """Start to monitor the replica of an attempt, if the attempt has a limit (`patience`)."""
        if target.patience:
            self.watched_attempts[request] = _WatchedAttempt(number, target, connection)
            if self.timer is None:
                self._set_timer()

    def end(self, request: ClientRequest) -> None:
        """Stop monitoring the attempt of this request."""
        self.watched_attempts.pop(request, None)

    def check(self) -> None:
        """Report each attempt whose replica has sent nothing, on any of its connections, for longer than the limit."""
        self.timer, now = None, time.monotonic()
        for request, watched in self.watched_attempts.items():
            target, stream = watched.target, watched.connection.stream
            limit = target.pause if request.is_response_started and target.pause else target.patience
            assert limit is not None
            if now - max(watched.silent_since, stream.received_at, stream.replica_activity.received_at) > limit / SECOND:
                watched.silent_since = now
                report = asyncio.ensure_future(self._report(request, watched.number))
                self.reports.add(report)
                report.add_done_callback(self.reports.discard)
        if self.watched_attempts:
            self._set_timer()

    def _set_timer(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self.check)
