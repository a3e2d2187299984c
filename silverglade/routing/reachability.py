"""Regions that take no connection, as one daemon sees them (design 15.5).

A partition between regions shows as connections that do not come up, replica by replica, each at the price of a connection's
time-out. So once a few replicas of a region have taken none within a moment, the region as a whole is unreachable: no request is
sent there, and none waits. The daemon tests it with bare connections instead, to replicas that were not tried yet first, until one
comes up.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Protocol, TypeVar

UNREACHABLE_AFTER = 2
"""Replicas that took no connection, before their region is unreachable; also how many are tested at once."""
FAILURE_WINDOW = timedelta(seconds=5)
"""Within which failures count together."""
FIRST_TEST_INTERVAL = timedelta(milliseconds=500)
LONGEST_TEST_INTERVAL = timedelta(seconds=1)


class Endpoint(Protocol):
    """A replica, as far as this module needs to know it."""

    @property
    def id(self) -> str:
        """The replica's id."""

    @property
    def region(self) -> str:
        """The region in which it stands."""


AnyEndpoint = TypeVar("AnyEndpoint", bound=Endpoint)
Default = TypeVar("Default")


class RegionFailures:
    """The replicas of one region that took no connection.

    :ivar replicas: their ids.
    :ivar last_failure_at: when a connection failed last.
    :ivar test_at: when the region is tested next, once it is unreachable.
    :ivar test_interval: from that test to the one after it.
    :ivar turn: which replica's turn it is, once all were tried.
    """

    __slots__ = ("replicas", "last_failure_at", "test_at", "test_interval", "turn")

    def __init__(self, now: timedelta) -> None:
        self.replicas: set[str] = set()
        self.last_failure_at = now
        self.test_at = now
        self.test_interval = FIRST_TEST_INTERVAL
        self.turn = 0

    def choose(self, replicas: Sequence[AnyEndpoint]) -> Sequence[AnyEndpoint]:
        """Choose those of the region's replicas that are tested now: not tried yet, else one after another."""
        untested = [replica for replica in replicas if replica.id not in self.replicas]
        if untested:
            return untested[:UNREACHABLE_AFTER]
        self.turn += 1
        return replicas[self.turn % len(replicas) :][:1] if replicas else []


class RegionReachability:
    """Which regions take connections, by what this daemon has met.

    :ivar failures: region to its failures; none once a replica of it has answered.
    :ivar answered_at: region to when one of its replicas answered last.
    """

    def __init__(self) -> None:
        self.failures: dict[str, RegionFailures] = {}
        self.answered_at: dict[str, timedelta] = {}

    def on_connect_failure(self, now: timedelta, region: str, replica: str, *, since: timedelta) -> None:
        """Note that a connection to the replica did not come up in time.

        It speaks against the replica alone if another of its region answered meanwhile.

        :param since: when the connection was begun.
        """
        if self.answered_at.get(region, since) > since:
            return
        failures = self.failures.get(region)
        if failures is None or now - failures.last_failure_at > FAILURE_WINDOW and not self.is_unreachable(region):
            failures = self.failures[region] = RegionFailures(now)
        failures.replicas.add(replica)
        failures.last_failure_at = now

    def on_answer(self, now: timedelta, region: str) -> None:
        """Note that a replica of the region was reached."""
        self.answered_at[region] = now
        self.failures.pop(region, None)

    def is_unreachable(self, region: str) -> bool:
        """Whether the region takes no connection, as far as is known."""
        failures = self.failures.get(region)
        return failures is not None and len(failures.replicas) >= UNREACHABLE_AFTER

    def groups(self, replicas: list[AnyEndpoint], unreachable_by_region: Counter[str]) -> list[list[AnyEndpoint]]:
        """Group the replicas in the order in which their regions take connections; those of unreachable regions are left out.

        :param unreachable_by_region: region to how many of its replicas took no connection for this request.
        """
        if not self.failures and not unreachable_by_region:
            return [replicas]
        reachable = [
            replica
            for replica in replicas
            if unreachable_by_region[replica.region] < UNREACHABLE_AFTER and not self.is_unreachable(replica.region)
        ]
        untouched = [replica for replica in reachable if not unreachable_by_region[replica.region]]
        doubtful = [replica for replica in reachable if unreachable_by_region[replica.region]]
        return [group for group in (untouched, doubtful) if group]

    def on_replica_listed(self, now: timedelta, region: str) -> None:
        """Test an unreachable region at once where a new replica of it is listed."""
        if self.is_unreachable(region):
            self.failures[region].test_at = now

    def due_tests(self, now: timedelta, replicas: Iterable[AnyEndpoint]) -> list[AnyEndpoint]:
        """Choose the replicas to which a connection is to be tested now.

        :param replicas: all that are there.
        """
        chosen: list[AnyEndpoint] = []
        for region, failures in self.failures.items():
            if self.is_unreachable(region) and now >= failures.test_at:
                failures.test_at = now + failures.test_interval
                failures.test_interval = min(LONGEST_TEST_INTERVAL, 2 * failures.test_interval)
                chosen += failures.choose([replica for replica in replicas if replica.region == region])
        return chosen

    def next_test(self, default: Default) -> timedelta | Default:
        """When an unreachable region is to be tested next; the default where there is none."""
        return min((failures.test_at for region, failures in self.failures.items() if self.is_unreachable(region)), default=default)
