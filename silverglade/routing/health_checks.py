"""Who health-checks which replica, and when (design 16.4).

One health checker a replica: the first live edge daemon of the replica's region in rendezvous order on the
replica's id. Nobody has to be told who that is; while daemons differ about who lives, two may check it, or
none, for that while. Checks take a slot and are priced, so there is one in each turn, and one more out of turn
when a replica has become suspicious.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from ..membership.rendezvous import highest_ranked

EXTRA_CHECKS_WINDOW = timedelta(seconds=1)
TURN_FRACTIONS = 8
"""Parts of a turn over which first checks are spread."""

LiveDaemon = tuple[str, str]
"""(name, region) of a daemon that forwards requests."""


def health_checker(replica: str, region: str, live: Iterable[LiveDaemon], /) -> str | None:
    """The daemon that checks the replica; None when none lives in its region."""
    checker: str | None = highest_ranked(replica, [daemon for daemon, its_region in live if its_region == region])
    return checker


class HealthChecks:
    """One daemon's health checks: `due` says whom to ask now; `on_answer` and `on_failure` take what came of it.

    :ivar live: the live edge daemons, sorted.
    :ivar regions: replica to its region, without those that are gone.
    :ivar own_replicas: those that this daemon checks.
    :ivar next_turn: replica to when it is checked next.
    :ivar under_way: replica to since when a check of it is under way.
    :ivar suspected: replica to whether it was asked out of turn; until it answers.
    :ivar extra_checks: when checks were made out of turn in the last second.
    """

    def __init__(self, *, own_name: str, tuning: Mapping[str, Any]) -> None:
        self.own_name = own_name
        self.tuning = tuning
        self.live: tuple[LiveDaemon, ...] = ()
        self.regions: dict[str, str] = {}
        self.own_replicas: frozenset[str] = frozenset()
        self.next_turn: dict[str, timedelta] = {}
        self.under_way: dict[str, timedelta] = {}
        self.suspected: dict[str, bool] = {}
        self.extra_checks: deque[timedelta] = deque()

    def set_live_daemons(self, live: Iterable[LiveDaemon]) -> None:
        """Take the live edge daemons."""
        live = tuple(sorted(live))
        if live != self.live:
            self.live = live
            self.assign()

    def set_replicas(self, regions: Mapping[str, str]) -> None:
        """Take the replicas, id to region, without those that are gone."""
        if regions != self.regions:
            self.regions = dict(regions)
            self.assign()

    def assign(self) -> None:
        """Work out which replicas this daemon checks, and forget all others."""
        daemons: dict[str, list[str]] = {}
        for daemon, region in self.live:
            daemons.setdefault(region, []).append(daemon)
        self.own_replicas = frozenset(
            replica for replica, region in self.regions.items() if highest_ranked(replica, daemons.get(region, ())) == self.own_name
        )
        for table in (self.next_turn, self.under_way, self.suspected):
            for replica in [replica for replica in table if replica not in self.own_replicas]:
                del table[replica]

    def suspect(self, replica: str) -> None:
        """Ask a replica out of turn that is silent or failed a request: once until it answers."""
        if replica in self.own_replicas:
            self.suspected.setdefault(replica, False)

    def due(self, now: timedelta) -> tuple[str, ...]:
        """The replicas to ask now; a check counts as under way until its answer, its failure or the time-out (`probe_wait`)."""
        due = []
        interval = self.tuning["probe_every"]
        for position, replica in enumerate(sorted(self.own_replicas)):
            if replica in self.under_way and now - self.under_way[replica] < self.tuning["probe_wait"]:
                continue
            turn = self.next_turn.setdefault(replica, now + position % TURN_FRACTIONS * interval / TURN_FRACTIONS)
            if now >= turn or self.take_extra_check(now, replica):
                self.next_turn[replica] = now + interval
                self.under_way[replica] = now
                due.append(replica)
        return tuple(due)

    def take_extra_check(self, now: timedelta, replica: str) -> bool:
        """Whether it may be asked out of turn; counted. For all replicas together `probe_extra` times a second."""
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
        """Note that it answered."""
        self.under_way.pop(replica, None)
        self.suspected.pop(replica, None)

    def on_failure(self, replica: str) -> None:
        """Note that no answer came: it is asked again in its turn."""
        self.under_way.pop(replica, None)

    def on_process_paused(self) -> None:
        """Begin anew: what was under way is lost."""
        self.under_way.clear()
        self.next_turn.clear()
