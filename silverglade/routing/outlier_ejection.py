"""Outlier detection across daemons (design 15.10): a replica is ejected when a quorum of daemons accuses it.

A daemon of a large fleet sends few requests to each replica, so alone it detects a hanging replica late, and only by losing a
request of its own. Each daemon therefore publishes its accusations as soft state (rows of kind `SUSPECT`) and avoids replicas that
enough daemons accuse. A single daemon's accusation never ejects a replica for all, and at most half of a service's replicas in a
region are ejected at a time. After the ejection one daemon, which all daemons agree on, tries the replica and acquits it if it
answers.

Silence does not lead to an accusation: a busy replica may be silent on some connections for long. When silence counted, load
ejected replicas, which increased the load on the others.

This module is pure state: it reads no clock and sends nothing. All times are timedeltas on the caller's monotonic clock.
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
"""Kind of soft state: "REPLICA DAEMON" -> (validity of the accusation in ms,)."""
ACQUITTAL = (0,)
"""Value of the same row after a successful trial by this daemon; it clears all accusations."""
QUORUM = 2
"""Number of accusing daemons that ejects a replica."""
FIRST_EJECTION = timedelta(seconds=1)
"""Duration of the first ejection; doubled with each further one."""
MAX_EJECTION = timedelta(seconds=8)
MAX_DOUBLINGS = 8
TRIAL_DURATION = timedelta(seconds=2)
"""Duration of the trial after an ejection, in which a single daemon may use the replica."""
EJECTION_HISTORY_RETENTION = timedelta(seconds=10)
"""After this time without an accusation the number of ejections is forgotten, so that the next one is short again."""
REPLICAS_PER_EJECTION = 2
"""At most one in this many replicas of a service in a region is ejected."""

AnyReplica = TypeVar("AnyReplica", bound=ReplicaIdentity)


class DaemonLocation(NamedTuple):
    """Location of a daemon that forwards requests."""

    zone: str
    region: str


class AccusationRow(NamedTuple):
    """A row of soft state of kind `SUSPECT` to be published; the value None withdraws it."""

    key: str
    rank: tuple[int]
    value: tuple[int] | None


class EjectionState:
    """Accusations and ejections of one replica.

    :ivar accusers: daemon to the expiry of its accusation.
    :ivar ejections: number of ejections so far, which determines the duration of the next one.
    :ivar ejected_until: end of the current ejection, or None.
    :ivar trial_until: end of the trial that follows the ejection.
    :ivar last_accused_at: time of the latest accusation.
    """

    __slots__ = ("accusers", "ejections", "ejected_until", "trial_until", "last_accused_at")

    def __init__(self, now: timedelta) -> None:
        self.accusers: dict[str, timedelta] = {}
        self.ejections = 0
        self.ejected_until: timedelta | None = None
        self.trial_until: timedelta | None = None
        self.last_accused_at = now

    def eject(self, now: timedelta) -> None:
        """Start an ejection, and schedule the trial after it."""
        length = min(MAX_EJECTION, FIRST_EJECTION * 2 ** min(self.ejections, MAX_DOUBLINGS))
        self.ejections += 1
        self.ejected_until = now + length
        self.trial_until = self.ejected_until + TRIAL_DURATION

    def is_active(self, now: timedelta) -> bool:
        """Return whether the replica is ejected or on trial."""
        return self.trial_until is not None and now < self.trial_until

    def is_on_trial(self, now: timedelta) -> bool:
        """Return whether the ejection is over and the replica is on trial."""
        return self.is_active(now) and self.ejected_until is not None and now >= self.ejected_until

    def clear(self) -> None:
        """Clear accusations and ejection of a replica found healthy. The number of ejections is kept for `EJECTION_HISTORY_RETENTION`."""
        self.accusers.clear()
        self.ejected_until = None
        self.trial_until = None


class OutlierEjection:
    """One daemon's accusations and those that it received.

    :ivar own_name: name of this daemon.
    :ivar daemons: the live daemons that forward requests, with their locations.
    :ivar regions: the regions of these daemons.
    :ivar ejection_states: replica to its accusations and ejections.
    :ivar row_numbers: replica to the highest number seen of this daemon's rows about it.
    :ivar own_rows: replica to the expiry of this daemon's own row about it.
    :ivar unpublished: rows that are still to be published.
    """

    def __init__(self, *, own_name: str) -> None:
        self.own_name = own_name
        self.daemons: Mapping[str, DaemonLocation] = {}
        self.regions: set[str] = set()
        self.ejection_states: dict[str, EjectionState] = {}
        self.row_numbers: dict[str, int] = {}
        self.own_rows: dict[str, timedelta] = {}
        self.unpublished: list[AccusationRow] = []

    def set_daemons(self, daemons: Mapping[str, DaemonLocation]) -> None:
        """Set the live daemons that forward requests."""
        self.daemons = daemons
        self.regions = {location.region for location in daemons.values()}

    def is_eligible_accuser(self, daemon: str, replica: ReplicaIdentity) -> bool:
        """Return whether the daemon may accuse the replica.

        Only daemons of the replica's region may, if there are any: others may be partitioned from it.
        """
        location = self.daemons.get(daemon)
        return location is not None and (location.region == replica.region or replica.region not in self.regions)

    def take_rows(self) -> list[AccusationRow]:
        """Return the rows to be published since the last call, and clear them."""
        rows, self.unpublished = self.unpublished, []
        return rows

    def publish(self, replica: str, value: tuple[int] | None) -> None:
        """Queue this daemon's row about the replica for publication."""
        number = self.row_numbers[replica] = self.row_numbers.get(replica, 0) + 1
        self.unpublished.append(AccusationRow(f"{replica} {self.own_name}", (number,), value))

    # this daemon's own observations

    def accuse(self, now: timedelta, replica: AnyReplica, replicas: Iterable[AnyReplica]) -> None:
        """Accuse a replica that failed a request, where the request itself is not the cause.

        :param replicas: all known replicas.
        """
        if replica.id in self.own_rows or not self.is_eligible_accuser(self.own_name, replica):
            return
        state = self.state_of(now, replica.id)
        if state.is_active(now) and not state.is_on_trial(now) or self.is_sufficiently_accused(now, state):
            return  # already ejected or sufficiently accused
        peers = [other for other in replicas if other.service == replica.service and other.region == replica.region]
        if sum(peer.id in self.own_rows for peer in peers) >= max(1, len(peers) // REPLICAS_PER_EJECTION):
            return  # a daemon that finds so many replicas unhealthy is probably partitioned itself
        self.own_rows[replica.id] = now + FIRST_EJECTION
        self.publish(replica.id, (to_milliseconds(FIRST_EJECTION),))
        self.add_accusation(now, replica, self.own_name, FIRST_EJECTION)

    def on_answer(self, now: timedelta, replica: ReplicaIdentity) -> None:
        """Record a successful response: acquit a replica that this daemon tests, else withdraw its own accusation."""
        state = self.ejection_states.get(replica.id)
        if state is None:
            return
        if state.is_on_trial(now) and self.tester(replica) == self.own_name:
            state.clear()
            self.own_rows[replica.id] = now + FIRST_EJECTION
            self.publish(replica.id, ACQUITTAL)
        elif state.accusers.pop(self.own_name, None) is not None:  # an acquittal is kept until it expires, so that all daemons receive it
            self.withdraw(replica.id)

    def withdraw(self, replica: str) -> None:
        """Withdraw this daemon's row about the replica."""
        if self.own_rows.pop(replica, None) is not None:
            self.publish(replica, None)

    # rows of other daemons

    def on_rows(self, now: timedelta, rows: Mapping[str, tuple[Any, Any]], replicas: Mapping[str, ReplicaIdentity]) -> None:
        """Apply rows of soft state, key to (rank, value).

        :param replicas: the listed replicas by id; rows about others are ignored.
        """
        for key, (rank, value) in rows.items():
            replica, _, daemon = key.partition(" ")
            if daemon == self.own_name:  # possibly of an earlier process of this daemon: new rows must outrank it
                self.row_numbers[replica] = max(self.row_numbers.get(replica, 0), rank[0])
            elif replica in replicas and self.is_eligible_accuser(daemon, replicas[replica]):
                self.on_row(now, replicas[replica], daemon, value)

    def on_row(self, now: timedelta, replica: ReplicaIdentity, daemon: str, value: Any) -> None:
        """Apply one daemon's row about one replica."""
        if value is None:
            if replica.id in self.ejection_states:
                self.ejection_states[replica.id].accusers.pop(daemon, None)
        elif value == ACQUITTAL:
            if replica.id in self.ejection_states:
                self.ejection_states[replica.id].clear()
        elif is_accusation(value):
            self.state_of(now, replica.id)
            self.add_accusation(now, replica, daemon, milliseconds(min(to_milliseconds(MAX_EJECTION), value[0])))

    def state_of(self, now: timedelta, replica: str) -> EjectionState:
        """Return the state of a replica; create it if there is none."""
        return self.ejection_states.setdefault(replica, EjectionState(now))

    def add_accusation(self, now: timedelta, replica: ReplicaIdentity, accuser: str, validity: timedelta) -> None:
        """Add an accusation; eject the replica if that makes a quorum or if it is on trial."""
        state = self.ejection_states[replica.id]
        state.last_accused_at = now
        state.accusers[accuser] = now + validity
        if state.is_on_trial(now) or not state.is_active(now) and self.has_quorum(now, replica, state):
            state.eject(now)

    @staticmethod
    def live_accusers(now: timedelta, state: EjectionState) -> list[str]:
        """Return the daemons whose accusations have not expired."""
        return [daemon for daemon, until in state.accusers.items() if now < until]

    def zones_of(self, daemons: Iterable[str]) -> set[str]:
        """Return the zones of those of these daemons that are live."""
        return {self.daemons[daemon].zone for daemon in daemons if daemon in self.daemons}

    def has_quorum(self, now: timedelta, replica: ReplicaIdentity, state: EjectionState) -> bool:
        """Return whether enough daemons accuse the replica, from two zones or from its own zone.

        Daemons of a single other zone do not suffice, as a partition may cut off the whole zone.
        """
        accusers = self.live_accusers(now, state)
        zones = self.zones_of(accusers)
        return len(accusers) >= QUORUM and (len(zones) > 1 or replica.zone in zones)

    def is_sufficiently_accused(self, now: timedelta, state: EjectionState) -> bool:
        """Return whether a further accusation from this daemon's zone would make no difference."""
        accusers = self.live_accusers(now, state)
        return len(accusers) >= QUORUM and self.daemons[self.own_name].zone in self.zones_of(accusers)

    # ejection and trial

    def tester(self, replica: ReplicaIdentity) -> str | None:
        """Return the daemon that tests the replica after the current ejection; the choice changes with each ejection."""
        near = [daemon for daemon, location in self.daemons.items() if location.region == replica.region] or list(self.daemons)
        tester: str | None = highest_ranked(f"{replica.id} {self.ejection_states[replica.id].ejections}", near)
        return tester

    def avoided(self, now: timedelta, replicas: Collection[ReplicaIdentity]) -> frozenset[str]:
        """Return the ids of those of a service's replicas that this daemon must not choose now."""
        if not self.ejection_states:
            return frozenset()
        counts = Counter(replica.region for replica in replicas)
        accused: dict[str, list[ReplicaIdentity]] = {}
        for replica in replicas:
            state = self.ejection_states.get(replica.id)
            if state and state.is_active(now):
                accused.setdefault(replica.region, []).append(replica)
        return frozenset(
            replica.id
            for region, members in accused.items()
            for replica in self.ejected(members, counts[region])
            if not self.is_tester(now, replica)
        )

    def ejected(self, accused: list[ReplicaIdentity], count: int) -> list[ReplicaIdentity]:
        """Return the accused replicas that are avoided: at most a fixed fraction of the region's `count` replicas."""
        accused.sort(key=lambda replica: (-len(self.ejection_states[replica.id].accusers), replica.id))
        return accused[: count // REPLICAS_PER_EJECTION]

    def is_tester(self, now: timedelta, replica: ReplicaIdentity) -> bool:
        """Return whether the replica is on trial and this daemon is the one that tests it."""
        return self.ejection_states[replica.id].is_on_trial(now) and self.tester(replica) == self.own_name

    def replica_to_try(self, now: timedelta, replicas: Iterable[AnyReplica]) -> AnyReplica | None:
        """Return a replica that this daemon must test now, or None."""
        if not self.ejection_states:
            return None
        return next((replica for replica in replicas if replica.id in self.ejection_states and self.is_tester(now, replica)), None)

    def expire(self, now: timedelta, replicas: Collection[str]) -> None:
        """Drop expired state and state of unlisted replicas; withdraw this daemon's rows about them.

        :param replicas: ids of the listed replicas.
        """
        for replica in [r for r, until in self.own_rows.items() if now >= until + TRIAL_DURATION or r not in replicas]:
            self.withdraw(replica)
        for replica, state in list(self.ejection_states.items()):
            if replica not in replicas or now - state.last_accused_at > EJECTION_HISTORY_RETENTION and not state.is_active(now):
                del self.ejection_states[replica]
        for replica in [r for r in self.row_numbers if r not in replicas]:
            del self.row_numbers[replica]


def is_accusation(value: object) -> TypeGuard[tuple[int]]:
    """Return whether a row's value is an accusation: its validity in milliseconds."""
    return type(value) is tuple and len(value) >= 1 and type(value[0]) is int and value[0] > 0
