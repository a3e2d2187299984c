"""Assignment and schedule of health checks (design 16.4).

Each replica has one health checker: the first live edge daemon of its region in rendezvous order of the
replica's id. This needs no communication; while daemons disagree on which daemons are live, a replica may be
checked by two daemons or by none. A check takes a slot and has a cost, so there is one per interval, and one
more out of turn when a replica is suspected.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from ..membership.rendezvous import highest_ranked

EXTRA_CHECKS_WINDOW = timedelta(seconds=1)
FIRST_CHECK_OFFSETS = 8
"""Number of offsets within an interval over which first checks are spread."""

LiveDaemon = tuple[str, str]
"""(name, region) of a daemon that forwards requests."""


def health_checker(replica: str, region: str, live: Iterable[LiveDaemon], /) -> str | None:
    """Return the daemon that checks the replica; None if there is no live daemon in its region."""
    checker: str | None = highest_ranked(replica, [daemon for daemon, its_region in live if its_region == region])
    return checker


class HealthChecks:
    """One daemon's health checks: `due` returns the replicas to check now; `on_answer` and `on_failure` record the results.

    :ivar live: the live edge daemons, sorted.
    :ivar regions: replica to its region, without replicas that are gone.
    :ivar own_replicas: the replicas that this daemon checks.
    :ivar next_check_at: replica to the time of its next regular check.
    :ivar in_progress: replica to the start of its check in progress.
    :ivar suspected: suspected replica to whether it was already checked out of turn; removed once it answers.
    :ivar extra_checks: times of the checks out of turn in the last second.
    """

    def __init__(self, *, own_name: str, tuning: Mapping[str, Any]) -> None:
        self.own_name = own_name
        self.tuning = tuning
        self.live: tuple[LiveDaemon, ...] = ()
        self.regions: dict[str, str] = {}
        self.own_replicas: frozenset[str] = frozenset()
        self.next_check_at: dict[str, timedelta] = {}
        self.in_progress: dict[str, timedelta] = {}
        self.suspected: dict[str, bool] = {}
        self.extra_checks: deque[timedelta] = deque()

    def set_live_daemons(self, live: Iterable[LiveDaemon]) -> None:
        """Set the live edge daemons, and reassign the replicas if they changed."""
        live = tuple(sorted(live))
        if live != self.live:
            self.live = live
            self.assign()

    def set_replicas(self, regions: Mapping[str, str]) -> None:
        """Set the replicas (id to region, without those that are gone), and reassign them if they changed."""
        if regions != self.regions:
            self.regions = dict(regions)
            self.assign()

    def assign(self) -> None:
        """Compute which replicas this daemon checks, and drop the state of all others."""
        daemons: dict[str, list[str]] = {}
        for daemon, region in self.live:
            daemons.setdefault(region, []).append(daemon)
        self.own_replicas = frozenset(
            replica for replica, region in self.regions.items() if highest_ranked(replica, daemons.get(region, ())) == self.own_name
        )
        for table in (self.next_check_at, self.in_progress, self.suspected):
            for replica in [replica for replica in table if replica not in self.own_replicas]:
                del table[replica]

    def suspect(self, replica: str) -> None:
        """Request a check out of turn of a replica that is silent or failed a request; at most one until it answers."""
        if replica in self.own_replicas:
            self.suspected.setdefault(replica, False)

    def due(self, now: timedelta) -> tuple[str, ...]:
        """Return the replicas to check now; a check is in progress until its answer, its failure or the time-out (`probe_wait`)."""
        due = []
        interval = self.tuning["probe_every"]
        for position, replica in enumerate(sorted(self.own_replicas)):
            if replica in self.in_progress and now - self.in_progress[replica] < self.tuning["probe_wait"]:
                continue
            check_at = self.next_check_at.setdefault(replica, now + position % FIRST_CHECK_OFFSETS * interval / FIRST_CHECK_OFFSETS)
            if now >= check_at or self.take_extra_check(now, replica):
                self.next_check_at[replica] = now + interval
                self.in_progress[replica] = now
                due.append(replica)
        return tuple(due)

    def take_extra_check(self, now: timedelta, replica: str) -> bool:
        """Return whether the replica may be checked out of turn now; if so, count the check.

        All replicas together get at most `probe_extra` such checks per second.
        """
        if self.suspected.get(replica, True):
            return False
        while self.extra_checks and now - self.extra_checks[0] >= EXTRA_CHECKS_WINDOW:
            self.extra_checks.popleft()
        if len(self.extra_checks) >= self.tuning["probe_extra"]:
            return False
        self.suspected[replica] = True
        self.extra_checks.append(now)
        return True

    def on_answer(self, replica: str) -> None:
        """Record that the replica answered; it is no longer suspected."""
        self.in_progress.pop(replica, None)
        self.suspected.pop(replica, None)

    def on_failure(self, replica: str) -> None:
        """Record that the replica did not answer; its next regular check stays scheduled."""
        self.in_progress.pop(replica, None)

    def on_process_paused(self) -> None:
        """Reset the schedule after a pause of this process: checks in progress are lost."""
        self.in_progress.clear()
        self.next_check_at.clear()
