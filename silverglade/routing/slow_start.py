"""Slow start of replicas without coordination between daemons (design 16.2).

During its slow start a replica may receive a limited number of requests per second from all daemons
together. Each daemon computes its share from the names of the edge daemons and the replica's id alone.
Shares only decrease when names are added, so their sum stays within the limit as long as every sending
daemon knows at least all other sending daemons. Therefore names are retained for long, and a daemon that
has just started or was paused sends nothing until it and the others must know each other.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from math import floor
from typing import Any, NamedTuple

from ..membership.rendezvous import rank_nodes

SECOND = timedelta(seconds=1)
DOUBLING_INTERVAL = SECOND / 2
"""Interval at which the limit doubles after the end of a slow start."""
ROUNDING = 1e-9
"""Added to a rate before it is rounded down, against floating-point error."""


def share(*, per_second: float, replica: str, own_name: str, members: Collection[str]) -> int:
    """Return the requests per second that `own_name` may send to a replica in slow start; at most `per_second` over all members."""
    total = floor(per_second + ROUNDING)
    if own_name not in members or total < 1:
        return 0
    each, remainder = divmod(total, len(members))
    if not remainder:
        return each
    return each + (own_name in rank_nodes(replica, members)[:remainder])


class MembershipSnapshot(NamedTuple):
    """The edge daemons that were known at a given time."""

    at: timedelta
    members: frozenset[str]


class EndedSlowStart(NamedTuple):
    """A replica's limit in requests per second during its slow start, and when the slow start ended, or None while it lasts."""

    per_second: float
    ended_at: timedelta | None


class ComputedShare(NamedTuple):
    """This daemon's share of a replica's limit, and the inputs from which it was computed."""

    per_second: float
    members: frozenset[str]
    share: int


class SlowStart:
    """Enforces one daemon's share of the limits of replicas in slow start.

    :ivar own_name: name of this daemon.
    :ivar settled_since: when it started, or resumed after a pause; None before the first event.
    :ivar last_known: daemon to when it was last known.
    :ivar members: the names in `last_known`.
    :ivar latest: the edge daemons at the last update.
    :ivar sent: replica to the times of the requests sent to it in the last second.
    :ivar slow_starts: replica to its slow start, until the limit is lifted.
    :ivar shares: replica to this daemon's share (cache).
    """

    def __init__(self, *, own_name: str, tuning: Mapping[str, Any], started_at: timedelta | None = None) -> None:
        self.own_name = own_name
        self.tuning = tuning
        self.settled_since = started_at
        self.last_known: dict[str, timedelta] = {}
        self.members: frozenset[str] = frozenset()
        self.latest: MembershipSnapshot | None = None
        self.sent: dict[str, deque[timedelta]] = {}
        self.slow_starts: dict[str, EndedSlowStart] = {}
        self.shares: dict[str, ComputedShare] = {}

    def update_members(self, now: timedelta, known: Iterable[str]) -> timedelta:
        """Set the edge daemons known now; if none are given, the previous ones are kept. Must also be called on membership changes.

        :returns: since when this daemon has been running without a pause.
        """
        if self.settled_since is None:
            self.settled_since = now
        latest = self.latest
        members = frozenset(known) or (latest.members if latest else frozenset())
        if latest and now - latest.at < SECOND and members == latest.members:
            return self.settled_since
        self.latest = MembershipSnapshot(now, members)
        self.last_known.update(dict.fromkeys(members, now))
        self.last_known = {name: at for name, at in self.last_known.items() if now - at <= self.tuning["cold_recall"]}
        self.members = frozenset(self.last_known)
        return self.settled_since

    def on_process_paused(self, now: timedelta) -> None:
        """Restart the settling period after a pause: other daemons may have forgotten this one."""
        self.settled_since = now

    def own_share(self, replica: str, per_second: float) -> int:
        """Return the requests per second that this daemon may send to the replica in slow start."""
        if self.members == {self.own_name}:  # alone, or partitioned since its start: indistinguishable
            return min(1, floor(per_second + ROUNDING))
        computed = self.shares.get(replica)
        if not computed or (computed.per_second, computed.members) != (per_second, self.members):
            own = share(per_second=per_second, replica=replica, own_name=self.own_name, members=self.members)
            computed = self.shares[replica] = ComputedShare(per_second, self.members, own)
        return computed.share

    def take(self, now: timedelta, replica: str, *, per_second: float | None, members: Iterable[str] = ()) -> bool:
        """Return whether a request may be sent to the replica now; if so, count it.

        :param per_second: the replica's limit over all daemons; None once its slow start is over.
        :param members: the edge daemons known now; if none are given, the previous ones are kept.
        """
        settled_since = self.update_members(now, members)
        if per_second is None:
            return self.take_after_slow_start(now, replica)
        self.slow_starts[replica] = EndedSlowStart(per_second, None)
        if now - settled_since < self.tuning["cold_settle"]:
            return False
        return self.count(now, replica, self.own_share(replica, per_second))

    def recent_sends(self, now: timedelta, replica: str) -> deque[timedelta]:
        """Return the times of the requests sent to the replica in the last second."""
        sent = self.sent.setdefault(replica, deque())
        while sent and now - sent[0] >= SECOND:
            sent.popleft()
        return sent

    def count(self, now: timedelta, replica: str, most: int) -> bool:
        """Return whether fewer than `most` requests were sent to the replica in the last second; if so, count one more."""
        sent = self.recent_sends(now, replica)
        if len(sent) >= most:
            return False
        sent.append(now)
        return True

    def take_after_slow_start(self, now: timedelta, replica: str) -> bool:
        """Do the same after the slow start: this daemon's share for one second, then doubled every half second.

        Requests to a warm replica are counted too: if it turns cold, they count towards the limit of the second in which that is
        detected.
        """
        if replica not in self.slow_starts:
            self.recent_sends(now, replica).append(now)
            return True
        per_second, ended_at = self.slow_starts[replica]
        ended_at = ended_at or now
        self.slow_starts[replica] = EndedSlowStart(per_second, ended_at)
        if now - ended_at >= self.tuning["cold_ramp"]:
            self.slow_starts.pop(replica, None)
            self.sent.pop(replica, None)
            self.shares.pop(replica, None)
            return True
        doublings = max(0, (now - ended_at - SECOND) // DOUBLING_INTERVAL + 1)
        base = self.own_share(replica, per_second)
        return self.count(now, replica, max(1, base) * 2**doublings if doublings else base)

    def keep_only(self, replicas: Collection[str]) -> None:
        """Drop the state of all other replicas."""
        for table in (self.slow_starts, self.sent, self.shares):
            for replica in [replica for replica in table if replica not in replicas]:
                del table[replica]
