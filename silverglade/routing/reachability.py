"""Detection of unreachable regions by one daemon (design 15.5).

During a partition between regions, connections to each replica fail one by one, each only after the connect time-out. Once a few
replicas of a region have accepted no connection within a short window, the whole region is considered unreachable: no request is
sent there or waits for it. Instead the daemon tests the region with bare connections, first to replicas that were not tried yet,
until one is established.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Protocol, TypeVar

FAILURES_UNTIL_UNREACHABLE = 2
"""Number of replicas that accepted no connection before their region counts as unreachable; also the number tested at once."""
FAILURE_WINDOW = timedelta(seconds=5)
"""Failures further apart than this are not counted together."""
FIRST_TEST_INTERVAL = timedelta(milliseconds=500)
MAX_TEST_INTERVAL = timedelta(seconds=1)


class Endpoint(Protocol):
    """The attributes of a replica that this module needs."""

    @property
    def id(self) -> str:
        """The replica's id."""

    @property
    def region(self) -> str:
        """The region in which the replica runs."""


AnyEndpoint = TypeVar("AnyEndpoint", bound=Endpoint)
Default = TypeVar("Default")


class RegionFailures:
    """The replicas of one region that accepted no connection.

    :ivar replicas: ids of these replicas.
    :ivar last_failure_at: time of the latest connect failure.
    :ivar test_at: time of the next test while the region is unreachable.
    :ivar test_interval: time from that test to the one after it.
    :ivar rotation: round-robin index of the replica to test, once all were tried.
    """

    __slots__ = ("replicas", "last_failure_at", "test_at", "test_interval", "rotation")

    def __init__(self, now: timedelta) -> None:
        self.replicas: set[str] = set()
        self.last_failure_at = now
        self.test_at = now
        self.test_interval = FIRST_TEST_INTERVAL
        self.rotation = 0

    def choose(self, replicas: Sequence[AnyEndpoint]) -> Sequence[AnyEndpoint]:
        """Choose the replicas of the region to test now: those not tried yet, else one in round-robin order."""
        untested = [replica for replica in replicas if replica.id not in self.replicas]
        if untested:
            return untested[:FAILURES_UNTIL_UNREACHABLE]
        self.rotation += 1
        return replicas[self.rotation % len(replicas) :][:1] if replicas else []


class RegionReachability:
    """Tracks which regions accept connections from this daemon.

    :ivar failures: region to its failures; removed once one of its replicas answers.
    :ivar answered_at: region to when one of its replicas last answered.
    """

    def __init__(self) -> None:
        self.failures: dict[str, RegionFailures] = {}
        self.answered_at: dict[str, timedelta] = {}

    def on_connect_failure(self, now: timedelta, region: str, replica: str, *, since: timedelta) -> None:
        """Record that a connection to the replica timed out.

        It does not count against the region if another replica of it answered in the meantime.

        :param since: when the connection attempt began.
        """
        if self.answered_at.get(region, since) > since:
            return
        failures = self.failures.get(region)
        if failures is None or now - failures.last_failure_at > FAILURE_WINDOW and not self.is_unreachable(region):
            failures = self.failures[region] = RegionFailures(now)
        failures.replicas.add(replica)
        failures.last_failure_at = now

    def on_answer(self, now: timedelta, region: str) -> None:
        """Record that a replica of the region was reached: the region's failures are cleared."""
        self.answered_at[region] = now
        self.failures.pop(region, None)

    def is_unreachable(self, region: str) -> bool:
        """Return whether the region is considered unreachable."""
        failures = self.failures.get(region)
        return failures is not None and len(failures.replicas) >= FAILURES_UNTIL_UNREACHABLE

    def groups(self, replicas: list[AnyEndpoint], unreachable_by_region: Counter[str]) -> list[list[AnyEndpoint]]:
        """Group the replicas by how likely their regions accept connections, the likeliest group first.

        Called when a replica is chosen for a request. The first group holds the replicas of regions in which no connection has timed
        out for this request, the second those of the other regions; a group without replicas is omitted. Replicas of unreachable
        regions are left out, as are those of regions in which `FAILURES_UNTIL_UNREACHABLE` connections timed out for this request.
        Without any failures, all replicas are in one group.

        :param unreachable_by_region: region to the number of its replicas to which connections timed out for this request; regions
            without such a replica are missing.
        """
        if not self.failures and not unreachable_by_region:
            return [replicas]
        reachable = [
            replica
            for replica in replicas
            if unreachable_by_region[replica.region] < FAILURES_UNTIL_UNREACHABLE and not self.is_unreachable(replica.region)
        ]
        without_failures = [replica for replica in reachable if not unreachable_by_region[replica.region]]
        with_failures = [replica for replica in reachable if unreachable_by_region[replica.region]]
        return [group for group in (without_failures, with_failures) if group]

    def on_replica_listed(self, now: timedelta, region: str) -> None:
        """Schedule an immediate test if the region of a newly listed replica is unreachable."""
        if self.is_unreachable(region):
            self.failures[region].test_at = now

    def due_tests(self, now: timedelta, replicas: Iterable[AnyEndpoint]) -> list[AnyEndpoint]:
        """Return the replicas to which a connection must be tested now, and schedule the next tests.

        :param replicas: all replicas present.
        """
        chosen: list[AnyEndpoint] = []
        for region, failures in self.failures.items():
            if self.is_unreachable(region) and now >= failures.test_at:
                failures.test_at = now + failures.test_interval
                failures.test_interval = min(MAX_TEST_INTERVAL, 2 * failures.test_interval)
                chosen += failures.choose([replica for replica in replicas if replica.region == region])
        return chosen

    def next_test(self, default: Default) -> timedelta | Default:
        """Return the time of the next test of an unreachable region; the default if no region is unreachable."""
        return min((failures.test_at for region, failures in self.failures.items() if self.is_unreachable(region)), default=default)
