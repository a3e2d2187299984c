"""What daemons tell each other of replicas that fail their requests (design 15.10): ejection by a quorum of accusers.

A daemon of a large fleet sends a replica few requests, so alone it learns late that one hangs, and learns it with a request of
its own. Here each daemon tells the others what it met (soft state, rows of kind `SUSPECT`), and passes over a replica that enough
others accuse. One daemon's accusation never takes a replica from all, and all accusations together never take more than half of a
service's replicas in a region. After a while one daemon, the same for all, tries the replica again and acquits it if it answers.

Silence is no accusation: a busy replica is silent to some for long, and where it was one, load ejected replicas and so grew.

Pure state: no clock is read, nothing is sent. All times are timedeltas on the caller's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple, TypeGuard, TypeVar

from ..membership.rendezvous import highest_ranked
from ..runtime.effects import milliseconds, to_milliseconds
from .replicas import ReplicaIdentity

SUSPECT = "suspect"
"""Kind of soft state: "REPLICA DAEMON" -> (for how many ms the accusation counts,)."""
ACQUITTAL = (0,)
"""The same row: this daemon tried the replica, which ends all that was said."""
QUORUM = 2
"""Daemons whose accusations eject a replica."""
EJECTION = timedelta(seconds=1)
"""How long the first ejection lasts; doubled each time."""
LONGEST_EJECTION = timedelta(seconds=8)
MOST_DOUBLINGS = 8
TRIAL = timedelta(seconds=2)
"""How long after an ejection one daemon alone may try the replica."""
CALM = timedelta(seconds=10)
"""After so long without an accusation the next ejection is short again."""
REPLICAS_PER_EJECTION = 2
"""One of so many replicas of a service in a region may be ejected, no more."""

AnyReplica = TypeVar("AnyReplica", bound=ReplicaIdentity)


class DaemonPlace(NamedTuple):
    """Where a daemon stands that forwards requests."""

    zone: str
    region: str


class AccusationRow(NamedTuple):
    """A row of soft state of the kind `SUSPECT` that this daemon wants told to all; the value None takes it back."""

    key: str
    rank: tuple[int]
    value: tuple[int] | None


class Case:
    """What speaks against one replica.

    :ivar accusers: daemon to until when its accusation counts.
    :ivar ejections: how often it was ejected, by which the next ejection's length goes.
    :ivar ejected_until: the end of this ejection; None while it is not ejected.
    :ivar trial_until: the end of the trial that follows it.
    :ivar last_accused_at: when it was accused last.
    """

    __slots__ = ("accusers", "ejections", "ejected_until", "trial_until", "last_accused_at")

    def __init__(self, now: timedelta) -> None:
        self.accusers: dict[str, timedelta] = {}
        self.ejections = 0
        self.ejected_until: timedelta | None = None
        self.trial_until: timedelta | None = None
        self.last_accused_at = now

    def eject(self, now: timedelta) -> None:
        """Begin an ejection, and the trial after it."""
        length = min(LONGEST_EJECTION, EJECTION * 2 ** min(self.ejections, MOST_DOUBLINGS))
        self.ejections += 1
        self.ejected_until = now + length
        self.trial_until = self.ejected_until + TRIAL

    def is_open(self, now: timedelta) -> bool:
        """Whether it is ejected, or on trial."""
        return self.trial_until is not None and now < self.trial_until

    def is_on_trial(self, now: timedelta) -> bool:
        """Whether one daemon may try it."""
        return self.is_open(now) and self.ejected_until is not None and now >= self.ejected_until

    def close(self) -> None:
        """Drop what was said: it was found healthy. How often it was ejected is remembered for `CALM`."""
        self.accusers.clear()
        self.ejected_until = None
        self.trial_until = None


class OutlierEjection:
    """One daemon's view of all accusations.

    :ivar own_name: this daemon.
    :ivar daemons: the live daemons that forward requests, with their places.
    :ivar regions: those of these daemons.
    :ivar cases: replica to what speaks against it.
    :ivar row_numbers: replica to the highest number seen of this daemon's rows about it.
    :ivar own_rows: replica to until when this daemon's own row about it stands.
    :ivar unpublished: rows to be published.
    """

    def __init__(self, *, own_name: str) -> None:
        self.own_name = own_name
        self.daemons: Mapping[str, DaemonPlace] = {}
        self.regions: set[str] = set()
        self.cases: dict[str, Case] = {}
        self.row_numbers: dict[str, int] = {}
        self.own_rows: dict[str, timedelta] = {}
        self.unpublished: list[AccusationRow] = []

    def set_daemons(self, daemons: Mapping[str, DaemonPlace]) -> None:
        """Take the live daemons that forward requests."""
        self.daemons = daemons
        self.regions = {place.region for place in daemons.values()}

    def is_witness(self, daemon: str, replica: ReplicaIdentity) -> bool:
        """Whether the daemon's accusations of the replica count: a region's own daemons judge it, others may be cut off from it."""
        place = self.daemons.get(daemon)
        return place is not None and (place.region == replica.region or replica.region not in self.regions)

    def take_rows(self) -> list[AccusationRow]:
        """The rows to publish since the last call."""
        rows, self.unpublished = self.unpublished, []
        return rows

    def publish(self, replica: str, value: tuple[int] | None) -> None:
        """Publish this daemon's row about the replica."""
        number = self.row_numbers[replica] = self.row_numbers.get(replica, 0) + 1
        self.unpublished.append(AccusationRow(f"{replica} {self.own_name}", (number,), value))

    # what this daemon meets itself

    def accuse(self, now: timedelta, replica: AnyReplica, replicas: Iterable[AnyReplica]) -> None:
        """Accuse a replica that failed a request for no reason of the request's own.

        :param replicas: all that there are.
        """
        if replica.id in self.own_rows or not self.is_witness(self.own_name, replica):
            return
        case = self.case_of(now, replica.id)
        if case.is_open(now) and not case.is_on_trial(now) or self.is_accused_enough(now, case):
            return  # known already
        peers = [other for other in replicas if other.service == replica.service and other.region == replica.region]
        if sum(peer.id in self.own_rows for peer in peers) >= max(1, len(peers) // REPLICAS_PER_EJECTION):
            return  # one that finds most replicas unhealthy is likely to be cut off itself
        self.own_rows[replica.id] = now + EJECTION
        self.publish(replica.id, (to_milliseconds(EJECTION),))
        self.add_accusation(now, replica, self.own_name, EJECTION)

    def on_answer(self, now: timedelta, replica: ReplicaIdentity) -> None:
        """Note that it answered a request of this daemon's well."""
        case = self.cases.get(replica.id)
        if case is None:
            return
        if case.is_on_trial(now) and self.tester(replica) == self.own_name:
            case.close()
            self.own_rows[replica.id] = now + EJECTION
            self.publish(replica.id, ACQUITTAL)
        elif case.accusers.pop(self.own_name, None) is not None:  # an acquittal stands until it is old: others are to hear it
            self.withdraw(replica.id)

    def withdraw(self, replica: str) -> None:
        """Take this daemon's row about the replica back."""
        if self.own_rows.pop(replica, None) is not None:
            self.publish(replica, None)

    # what others tell

    def on_rows(self, now: timedelta, rows: Mapping[str, tuple[Any, Any]], replicas: Mapping[str, ReplicaIdentity]) -> None:
        """Take rows of soft state, key to (rank, value).

        :param replicas: those that are listed, by id; rows about others are passed over.
        """
        for key, (rank, value) in rows.items():
            replica, _, daemon = key.partition(" ")
            if daemon == self.own_name:  # an earlier process's, perhaps: ours must outrank it
                self.row_numbers[replica] = max(self.row_numbers.get(replica, 0), rank[0])
            elif replica in replicas and self.is_witness(daemon, replicas[replica]):
                self.on_row(now, replicas[replica], daemon, value)

    def on_row(self, now: timedelta, replica: ReplicaIdentity, daemon: str, value: Any) -> None:
        """Take one daemon's row about one replica."""
        if value is None:
            if replica.id in self.cases:
                self.cases[replica.id].accusers.pop(daemon, None)
        elif value == ACQUITTAL:
            if replica.id in self.cases:
                self.cases[replica.id].close()
        elif is_accusation(value):
            self.case_of(now, replica.id)
            self.add_accusation(now, replica, daemon, min(LONGEST_EJECTION, milliseconds(value[0])))

    def case_of(self, now: timedelta, replica: str) -> Case:
        """The case of a replica; a new one where there is none."""
        return self.cases.setdefault(replica, Case(now))

    def add_accusation(self, now: timedelta, replica: ReplicaIdentity, accuser: str, counts_for: timedelta) -> None:
        """Add to the replica's case; eject it if that makes a quorum, or if its trial has failed."""
        case = self.cases[replica.id]
        case.last_accused_at = now
        case.accusers[accuser] = now + counts_for
        if case.is_on_trial(now) or not case.is_open(now) and self.has_quorum(now, replica, case):
            case.eject(now)

    @staticmethod
    def live_accusers(now: timedelta, case: Case) -> list[str]:
        """The daemons whose accusations count now."""
        return [daemon for daemon, until in case.accusers.items() if now < until]

    def zones_of(self, daemons: Iterable[str]) -> set[str]:
        """The zones in which these daemons stand, as far as they are live."""
        return {self.daemons[daemon].zone for daemon in daemons if daemon in self.daemons}

    def has_quorum(self, now: timedelta, replica: ReplicaIdentity, case: Case) -> bool:
        """Whether enough daemons accuse it, of two zones or one of the replica's own: those of one zone may be cut off together."""
        accusers = self.live_accusers(now, case)
        zones = self.zones_of(accusers)
        return len(accusers) >= QUORUM and (len(zones) > 1 or replica.zone in zones)

    def is_accused_enough(self, now: timedelta, case: Case) -> bool:
        """Whether another accusation from this daemon's zone would add nothing."""
        accusers = self.live_accusers(now, case)
        return len(accusers) >= QUORUM and self.daemons[self.own_name].zone in self.zones_of(accusers)

    # the decision

    def tester(self, replica: ReplicaIdentity) -> str | None:
        """The daemon that tries the replica after this ejection; another one after the next."""
        near = [daemon for daemon, place in self.daemons.items() if place.region == replica.region] or list(self.daemons)
        tester: str | None = highest_ranked(f"{replica.id} {self.cases[replica.id].ejections}", near)
        return tester

    def avoided(self, now: timedelta, replicas: Collection[ReplicaIdentity]) -> frozenset[str]:
        """Of these replicas of one service, the ids of those that this daemon does not choose now."""
        if not self.cases:
            return frozenset()
        counts = Counter(replica.region for replica in replicas)
        accused: dict[str, list[ReplicaIdentity]] = {}
        for replica in replicas:
            case = self.cases.get(replica.id)
            if case and case.is_open(now):
                accused.setdefault(replica.region, []).append(replica)
        return frozenset(
            replica.id
            for region, members in accused.items()
            for replica in self.ejected(members, counts[region])
            if not self.is_tester(now, replica)
        )

    def ejected(self, accused: list[ReplicaIdentity], count: int) -> list[ReplicaIdentity]:
        """Those of the accused among `count` replicas of a region that are avoided: the bound on how many."""
        accused.sort(key=lambda replica: (-len(self.cases[replica.id].accusers), replica.id))
        return accused[: count // REPLICAS_PER_EJECTION]

    def is_tester(self, now: timedelta, replica: ReplicaIdentity) -> bool:
        """Whether this daemon is the one to try the replica now."""
        return self.cases[replica.id].is_on_trial(now) and self.tester(replica) == self.own_name

    def replica_to_try(self, now: timedelta, replicas: Iterable[AnyReplica]) -> AnyReplica | None:
        """Of these the one that this daemon is to try now, or None."""
        if not self.cases:
            return None
        return next((replica for replica in replicas if replica.id in self.cases and self.is_tester(now, replica)), None)

    def expire(self, now: timedelta, replicas: Collection[str]) -> None:
        """Forget what has grown old; own rows about it are taken back.

        :param replicas: the ids that are listed.
        """
        for replica in [r for r, until in self.own_rows.items() if now >= until + TRIAL or r not in replicas]:
            self.withdraw(replica)
        for replica, case in list(self.cases.items()):
            if replica not in replicas or now - case.last_accused_at > CALM and not case.is_open(now):
                del self.cases[replica]
        for replica in [r for r in self.row_numbers if r not in replicas]:
            del self.row_numbers[replica]


def is_accusation(value: object) -> TypeGuard[tuple[int]]:
    """Whether it is what an accusation says: for how many milliseconds it counts."""
    return type(value) is tuple and len(value) >= 1 and type(value[0]) is int and value[0] > 0
