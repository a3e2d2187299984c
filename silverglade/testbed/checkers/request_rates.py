"""Rates that the rules of the forwarding path bound: retries of a service, requests to a replica during slow start (design 15, 16)."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict, deque
from datetime import timedelta
from typing import NamedTuple

from .forwarding_records import SEC, Bounds

RECENT_RETRIES = 400  # at which windows of the past are begun


class Excess(NamedTuple):
    """More requests than a bound allows: how many there were, and what bounds them."""

    requests: int
    bound: float


class RetryRates:
    """Attempts and retries of each service, by time."""

    def __init__(self, bounds: Bounds) -> None:
        """Begin with none.

        :param bounds: ratio, window and slack of retries.
        """
        self.bounds = bounds
        self.attempts: defaultdict[str, list[timedelta]] = defaultdict(list)
        self.retries: defaultdict[str, list[timedelta]] = defaultdict(list)

    def retried(self, now: timedelta, service: str) -> Excess | None:
        """Count a retry.

        :returns: the excess of a window that ends now, or of one that began with an earlier retry.
        """
        window, retries, attempts = self.bounds.window, self.retries[service], self.attempts[service]
        retries.append(now)
        begun = (retry + window for retry in retries[-RECENT_RETRIES:])
        for end in {now, *(end for end in begun if now - window / 4 < end <= now)}:
            count = _count(retries, end - window, end)
            most = max(
                _count(attempts, end - window, end),
                _count(attempts, end - 2 * window, end - window),
                _count(attempts, end - 1.5 * window, end - window / 2),
            )
            if count > self.bounds.ratio * most + self.bounds.slack:
                return Excess(count, most)
        return None


class SlowStartRates:
    """Requests that reached each replica during its slow start, within a second."""

    def __init__(self, bounds: Bounds) -> None:
        """Begin with none.

        :param bounds: what is allowed beyond what a replica bears.
        """
        self.bounds = bounds
        self.arrivals: defaultdict[str, deque[tuple[timedelta, timedelta]]] = defaultdict(deque)  # when sent, when arrived

    def arrived(self, now: timedelta, replica: str, sent: timedelta, borne: float) -> Excess | None:
        """Count a request; those count that were sent and arrived inside the last second.

        :param borne: requests a second that the replica bears.
        :returns: the excess, if there is one.
        """
        arrivals = self.arrivals[replica]
        arrivals.append((sent, now))
        while now - arrivals[0][1] >= SEC:
            arrivals.popleft()
        count = sum(1 for sent_at, _ in arrivals if now - sent_at < SEC)
        if count > borne * self.bounds.cold_excess + self.bounds.cold_slack:
            return Excess(count, borne)
        return None


def _count(times: list[timedelta], begin: timedelta, end: timedelta) -> int:
    return bisect_right(times, end) - bisect_left(times, begin)
