"""The fleet-wide retry budget for tenants' requests (design 7.5), divided among shard owners by counts shared through membership."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from ..membership.records import MemberRecord

COUNTS_ATTRIBUTE = "pace"
"""Member record attribute with the (first requests, retries) that the daemon counted within the window."""

FIRST_REQUESTS, RETRIES, REFUSED = "fresh", "again", "refused"
"""Keys of `RetryBudget.totals`."""


class PeerCounts(NamedTuple):
    """Another owner's counts within the window, and when they were received."""

    first_requests: int
    retries: int
    received_at: timedelta


class RetryBudget:
    """One owner's share of the fleet's retry budget.

    First requests and retries are counted at the tenant's shard owner, which sees every request. Half of an owner's allowance is
    based on its own first requests, half on the fleet's first requests times the fraction of shards that it owns. Summed over all
    owners, that is the configured share of the fleet's first requests.

    :ivar totals: counts since the daemon started, by `FIRST_REQUESTS`, `RETRIES` and `REFUSED`.
    """

    __slots__ = ("totals", "_own_name", "_window", "_recent", "_first_requests", "_retries", "_peers")

    def __init__(self, *, own_name: str, tuning: Mapping[str, Any]) -> None:
        self.totals = {FIRST_REQUESTS: 0, RETRIES: 0, REFUSED: 0}
        self._own_name = own_name
        self._window: timedelta = tuning["retry_window"]
        self._recent: deque[tuple[timedelta, bool]] = deque()  # (time, is it a retry), oldest first
        self._first_requests = 0
        self._retries = 0
        self._peers: dict[str, PeerCounts] = {}

    @property
    def counts(self) -> tuple[int, int]:
        """The (first requests, retries) counted by this owner within the window."""
        return self._first_requests, self._retries

    @property
    def is_counting(self) -> bool:
        """Whether the window holds any request."""
        return bool(self._recent)

    def expire(self, now: timedelta) -> None:
        """Drop own and peer counts older than the window."""
        while self._recent and now - self._recent[0][0] > self._window:
            _, is_retry = self._recent.popleft()
            if is_retry:
                self._retries -= 1
            else:
                self._first_requests -= 1
        self._peers = {name: counts for name, counts in self._peers.items() if now - counts.received_at <= self._window}

    def record_peer_counts(self, members: Iterable[MemberRecord], now: timedelta) -> None:
        """Store the counts of the other owners. The last counts of an owner that died remain in use for one window."""
        for member in members:
            counts = member.attribute(COUNTS_ATTRIBUTE)
            if member.name != self._own_name and _is_valid_counts(counts):
                self._peers[member.name] = PeerCounts(counts[0], counts[1], now)

    def count_first_request(self, now: timedelta) -> None:
        """Count a request that is not a retry."""
        self.expire(now)
        self._recent.append((now, False))
        self._first_requests += 1
        self.totals[FIRST_REQUESTS] += 1

    def take_retry(self, now: timedelta, share: float, owned_fraction: float) -> bool:
        """Take one retry from the budget, if both this owner's allowance and the fleet's budget permit it.

        :param share: retries allowed per first request in the fleet.
        :param owned_fraction: fraction of all shards that this daemon owns.
        :returns: whether the retry is allowed.
        """
        self.expire(now)
        fleet_first_requests = self._first_requests + sum([counts.first_requests for counts in self._peers.values()])
        fleet_retries = self._retries + sum([counts.retries for counts in self._peers.values()])
        own_allowance = share * (self._first_requests + fleet_first_requests * owned_fraction) / 2
        if self._retries + 1 > own_allowance or fleet_retries + 1 > share * fleet_first_requests:
            self.totals[REFUSED] += 1
            return False
        self._recent.append((now, True))
        self._retries += 1
        self.totals[RETRIES] += 1
        return True


def _is_valid_counts(value: Any) -> bool:
    """Whether another daemon's attribute is well formed; later versions may append counts."""
    return type(value) is tuple and len(value) >= 2 and all([type(count) is int for count in value])
