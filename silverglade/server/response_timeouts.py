"""Replicas that say nothing (design 15.3): one timer tells the part of all tries whose replica is silent for too long."""

import asyncio
import time

from ..http.connection_pool import SECOND

LOOK_EVERY = 0.1  # seconds between looks at the tries under way


class _Watched:
    """One try whose replica's silence is told. since: when it was sent, or last told as silent."""

    __slots__ = ("number", "attempt", "connection", "since")

    def __init__(self, number, attempt, connection):
        self.number, self.attempt, self.connection, self.since = number, attempt, connection, time.monotonic()


class SilenceWatch:
    """tell(ask, number of the try): an async function that tells the part, once for each spell of silence."""

    def __init__(self, *, tell):
        self.tell, self.under_way, self.timer = tell, {}, None
        self.reports = set()  # on their way to the part

    def begin(self, ask, number, attempt, connection):
        """From here on silence of the replica of this try is told."""
        if attempt.patience:
            self.under_way[ask] = _Watched(number, attempt, connection)
            if self.timer is None:
                self.timer = asyncio.get_running_loop().call_later(LOOK_EVERY, self.look)

    def end(self, ask):
        """The try of this request is over."""
        self.under_way.pop(ask, None)

    def look(self):
        """Whose replica has said nothing for too long, on any of its connections?"""
        self.timer, now = None, time.monotonic()
        for ask, watched in self.under_way.items():
            attempt, tcp = watched.attempt, watched.connection.tcp
            longest = (attempt.pause if ask.started and attempt.pause else attempt.patience) / SECOND
            if now - max(watched.since, tcp.heard, tcp.peer[0]) > longest:
                watched.since = now
                report = asyncio.ensure_future(self.tell(ask, watched.number))
                self.reports.add(report)
                report.add_done_callback(self.reports.discard)
        if self.under_way:
            self.timer = asyncio.get_running_loop().call_later(LOOK_EVERY, self.look)
