"""The retry budget of tenants' requests (design 7.5): the fleet's, in shares that owners know through membership."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from ..membership.records import MemberRecord

COUNTS_ATTRIBUTE = "pace"
"""Attribute of a member record: the (first requests, retries) that the daemon counted over the window."""

FIRST_REQUESTS, RETRIES, REFUSED = "fresh", "again", "refused"
"""Names of the totals."""


class PeerCounts(NamedTuple):
    """What another owner counted over the window, and when that was heard."""

    first_requests: int
    retries: int
    received_at: timedelta


class RetryBudget:
    """One owner's share of the fleet's budget.

    First requests and retries are counted where every request comes by: at its tenant's owner. Half of an owner's allowance goes
    by its own first requests, half by the fleet's and the part of the shards that it owns; over all owners that adds up to the
    given share of the fleet's first requests.

    :ivar totals: since the daemon's start, by name.
    """

    __slots__ = ("totals", "_own_name", "_window", "_recent", "_first_requests", "_retries", "_peers")

    def __init__(self, *, own_name: str, tuning: Mapping[str, Any]) -> None:
        self.totals = {FIRST_REQUESTS: 0, RETRIES: 0, REFUSED: 0}
        self._own_name = own_name
        self._window: timedelta = tuning["retry_window"]
        self._recent: deque[tuple[timedelta, bool]] = deque()  # when, and whether it was a retry
        self._first_requests = 0
        self._retries = 0
        self._peers: dict[str, PeerCounts] = {}

    @property
    def counts(self) -> tuple[int, int]:
        """The first requests and the retries counted here over the window."""
        return self._first_requests, self._retries

    @property
    def is_counting(self) -> bool:
        """Whether anything was counted within the window."""
        return bool(self._recent)

    def expire(self, now: timedelta) -> None:
        """Drop what is older than the window."""
        while self._recent and now - self._recent[0][0] > self._window:
            _, is_retry = self._recent.popleft()
            if is_retry:
                self._retries -= 1
            else:
                self._first_requests -= 1
        self._peers = {name: counts for name, counts in self._peers.items() if now - counts.received_at <= self._window}

    def record_peer_counts(self, members: Iterable[MemberRecord], now: timedelta) -> None:
        """Take in what the other owners counted; what one that died said last counts on for a window."""
        for member in members:
            counts = member.attribute(COUNTS_ATTRIBUTE)
            if member.name != self._own_name and _is_valid_counts(counts):
                self._peers[member.name] = PeerCounts(counts[0], counts[1], now)

    def count_first_request(self, now: timedelta) -> None:
        """Count a request that is no retry."""
        self.expire(now)
        self._recent.append((now, False))
        self._first_requests += 1
        self.totals[FIRST_REQUESTS] += 1

    def take_retry(self, now: timedelta, share: float, owned_fraction: float) -> bool:
        """Take one retry from the budget.

        :param share: retries allowed for each of the fleet's first requests.
        :param owned_fraction: the part of all shards that this daemon owns.
        :returns: whether there was one left.
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
    """Whether another daemon's attribute is well formed; a later program may append counts."""
    return type(value) is tuple and len(value) >= 2 and all([type(count) is int for count in value])
