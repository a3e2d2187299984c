"""Replicas and their load, read by few daemons and published to all (design 15.4).

The platform's endpoint list is read by the first two live daemons in rendezvous order, of two different regions if possible;
each replica is health-checked by one daemon of its region (design 16.4). Changes are published as soft state.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from enum import IntEnum
from typing import Any, NamedTuple, TypeGuard

from ..membership.records import MemberRecord, members_of
from ..membership.rendezvous import rank_nodes
from ..runtime.components import Component
from ..runtime.effects import NEVER, ZERO, Effect, Post, ReadEndpointList, ReadReplicaReport, WakeAt, log_record
from ..runtime.events import (
    AttributeSet,
    EndpointListRead,
    EndpointsListed,
    EndpointsRemoved,
    Event,
    LoadsReported,
    MembershipChanged,
    ProcessPaused,
    ReplicaReportRead,
    ReplicaSuspected,
    SoftStateChanged,
    SoftStatePublished,
    TimerFired,
)
from ..runtime.outside_input import MAX_COUNT
from .health_checks import HealthChecks
from .records import EndpointRecord, is_endpoint_row

LISTED = "listed"
"""Kind of soft state: replica to its record, or None once it is gone."""
LOAD = "load"
"""Kind of soft state within a region: replica to its `ReplicaLoad`."""
MISSED_LISTS_UNTIL_GONE = 4
"""Number of consecutive lists without a replica after which it is permanently gone. The list is stale, each reading by a different
amount: with a reading every half second a listed replica is dropped by mistake only if a reading is stale by over two seconds."""
READER_COUNT = 2
"""Number of daemons that read the list."""
FAILURES_UNTIL_UNREADABLE = 2
"""Number of consecutive failed readings after which a daemon reports that it cannot read the list."""
LIST_UNREADABLE = "blind"
"""Attribute of a member record: whether the daemon cannot read the list."""
IDLE_INTERVALS = 4
"""An idle component wakes up after this many reading intervals."""
LOGGED_LENGTH = 80


class ListedState(IntEnum):
    """State of a replica in the list; rows of a later state outrank all rows of an earlier one."""

    PRESENT = 0
    LEAVING = 1
    GONE = 2


class LoadState(IntEnum):
    """Whether a row of kind `LOAD` holds a load; rows of a later state outrank all rows of an earlier one."""

    REPORTED = 0
    GONE = 1


class RowRank(NamedTuple):
    """Rank of a row of soft state: a `ListedState` or `LoadState`, then a number that increases with each row."""

    state: int
    number: int


class ReplicaLoad(NamedTuple):
    """Result of a health check; `active` and `queued` are -1 if the replica did not answer."""

    active: int
    queued: int
    slots: int

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> ReplicaLoad:
        """Build a load from its array; additional fields of a later version are dropped."""
        return cls(*row[: len(cls._fields)])

    @property
    def is_answered(self) -> bool:
        """Whether the replica answered."""
        return self.active >= 0


def is_load_row(row: object) -> TypeGuard[tuple[Any, ...]]:
    """Return whether an untrusted array is a valid load: enough whole numbers, none too large."""
    if not isinstance(row, tuple) or len(row) < len(ReplicaLoad._fields):
        return False
    return all(type(value) is int and value <= MAX_COUNT for value in row[: len(ReplicaLoad._fields)])


def list_readers(members: Iterable[MemberRecord], /) -> tuple[str, ...]:
    """Return the daemons that read the list: the first in rendezvous order that can, and the next one, of another region if possible."""
    live = {member.name: member for member in members if not member.is_core and member.is_ready}
    able_to_read = [name for name, member in live.items() if not member.attribute(LIST_UNREADABLE)]
    order: tuple[str, ...] = rank_nodes("list", able_to_read or live)
    if not order:
        return ()
    first, others = order[0], order[1:]
    elsewhere = tuple(name for name in others if live[name].region != live[first].region)
    return (first, *(elsewhere or others)[: READER_COUNT - 1])


class EndpointList:
    """Reads the endpoint list and health-checks replicas if assigned to this daemon, and reports changes to the router and other daemons.

    :ivar region: region of this daemon.
    :ivar has_source: whether the platform provides this daemon with a list.
    :ivar is_reader: whether this daemon reads the list periodically.
    :ivar has_read: whether it has read the list at least once.
    :ivar is_reading: whether a reading is in progress.
    :ivar next_reading: when the next reading is due.
    :ivar failed_readings: number of consecutive failed readings.
    :ivar records: replica to its record; None once it is gone, which is permanent.
    :ivar missed_lists: replica to the number of consecutive lists without it.
    :ivar loads: replica to its load.
    :ivar published_loads: replica to the load last published by this daemon.
    :ivar ranks: (kind, replica) to the highest rank seen of a row.
    """

    def __init__(self, *, own_name: str, region: str, has_source: bool, tuning: Mapping[str, Any]) -> None:
        self.own_name = own_name
        self.region = region
        self.has_source = has_source
        self.tuning = tuning
        self.health_checks = HealthChecks(own_name=own_name, tuning=tuning)
        self.is_reader = False
        self.has_read = False
        self.is_reading = False
        self.next_reading = ZERO
        self.failed_readings = 0
        self.records: dict[str, EndpointRecord | None] = {}
        self.missed_lists: dict[str, int] = {}
        self.loads: dict[str, ReplicaLoad] = {}
        self.published_loads: dict[str, ReplicaLoad] = {}
        self.ranks: dict[tuple[str, str], RowRank] = {}
        self.effects: list[Effect] = []
        self.handlers: dict[type[Event], Callable[[Any, timedelta], None]] = {
            MembershipChanged: self.on_membership_changed,
            EndpointListRead: self.on_endpoint_list_read,
            SoftStateChanged: self.on_soft_state_changed,
            ReplicaReportRead: self.on_replica_report_read,
            ReplicaSuspected: self.on_replica_suspected,
            ProcessPaused: self.on_process_paused,
            TimerFired: self.on_timer_fired,
        }

    @property
    def handled_events(self) -> tuple[type[Event], ...]:
        """The classes of the events that the component handles."""
        return tuple(self.handlers)

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects, in the order in which they are to be carried out."""
        effects = self.effects = []
        self.handlers[type(event)](event, now)
        return effects

    def present(self) -> list[EndpointRecord]:
        """Return the records of the replicas that are not gone."""
        return [record for record in self.records.values() if record is not None]

    # daemons

    def on_membership_changed(self, event: MembershipChanged, now: timedelta) -> None:
        """Update the list readers and the health checkers from the live daemons."""
        members = members_of(event.members)
        self.is_reader = self.own_name in list_readers(members)
        self.health_checks.set_live_daemons((member.name, member.region) for member in members if not member.is_core and member.is_ready)

    def on_process_paused(self, event: ProcessPaused, now: timedelta) -> None:
        """Reset readings and health checks after a pause of this process: those in progress are lost."""
        self.health_checks.on_process_paused()
        self.is_reading = False

    def publish(self, kind: str, replica: str, state: int, value: Any, scope: str = "") -> None:
        """Publish a row that outranks all earlier rows about the replica."""
        number = self.ranks.get((kind, replica), RowRank(0, 0)).number + 1
        self.ranks[kind, replica] = RowRank(state, number)
        row = SoftStatePublished(kind, replica, (int(state), number), value, scope)
        self.effects.append(Post(Component.MEMBERSHIP, row))

    # the list

    def on_endpoint_list_read(self, event: EndpointListRead, now: timedelta) -> None:
        """Handle the result of a reading of the list."""
        self.is_reading = False
        if event.records is None:
            self.on_reading_failed()
            return
        if self.failed_readings >= FAILURES_UNTIL_UNREADABLE:
            self.set_list_unreadable(False)
        self.failed_readings = 0
        self.has_read = True
        seen = {name for row in event.records if (name := self.on_row_read(row)) is not None}
        self.drop_missing(seen)
        self.update_health_checks()
        self.effects.append(Post(Component.ROUTER, EndpointsListed(tuple(self.present()), True)))

    def on_reading_failed(self) -> None:
        """Count a failed reading; report that the list is unreadable after several in a row."""
        self.failed_readings += 1
        if self.failed_readings == FAILURES_UNTIL_UNREADABLE:
            self.set_list_unreadable(True)
            self.effects.append(log_record("endpoint-list-unreadable", fails=self.failed_readings))

    def set_list_unreadable(self, is_unreadable: bool) -> None:
        """Publish in the member record whether this daemon cannot read the list."""
        self.effects.append(Post(Component.MEMBERSHIP, AttributeSet(LIST_UNREADABLE, is_unreadable)))

    def on_row_read(self, row: Any) -> str | None:
        """Apply one row of the list, and publish it if it differs.

        :returns: the replica's id, or None if the row is malformed.
        """
        if not is_endpoint_row(row):
            self.effects.append(log_record("endpoint-record-invalid", why="unsound", record=str(row)[:LOGGED_LENGTH]))
            return None
        record = EndpointRecord.of(row)
        name = record.name
        self.missed_lists.pop(name, None)
        is_known, known = name in self.records, self.records.get(name)
        if is_known and known is None:
            return name  # gone is permanent for an incarnation
        if known and known.is_leaving:
            record = record._replace(is_leaving=True)
        self.records[name] = record
        if known is None or differs(known, record):
            state = ListedState.LEAVING if record.is_leaving else ListedState.PRESENT
            self.publish(LISTED, name, state, tuple(record))
        return name

    def drop_missing(self, seen: set[str]) -> None:
        """Drop the replicas that were missing from several consecutive lists."""
        for record in [record for record in self.present() if record.name not in seen]:
            name = record.name
            self.missed_lists[name] = self.missed_lists.get(name, 0) + 1
            if self.missed_lists[name] >= MISSED_LISTS_UNTIL_GONE:
                self.drop(name)
                self.publish(LISTED, name, ListedState.GONE, None)

    def drop(self, replica: str) -> None:
        """Mark a replica as gone; the mark is kept so that the replica is not listed again."""
        self.records[replica] = None
        self.missed_lists.pop(replica, None)
        self.loads.pop(replica, None)
        if replica in self.published_loads:
            self.publish(LOAD, replica, LoadState.GONE, None, self.region)
            self.published_loads.pop(replica)

    def update_health_checks(self) -> None:
        """Set the replicas of the health checks."""
        self.health_checks.set_replicas({record.name: record.region for record in self.present()})

    # rows of other daemons

    def on_soft_state_changed(self, event: SoftStateChanged, now: timedelta) -> None:
        """Apply rows of soft state, published by any daemon."""
        if event.kind == LISTED:
            self.record_ranks(LISTED, event.rows)
            self.on_listed_rows(event.rows)
        elif event.kind == LOAD:
            self.record_ranks(LOAD, event.rows)
            self.on_load_rows(event.rows)

    def record_ranks(self, kind: str, rows: Mapping[str, tuple[Any, Any]]) -> None:
        """Record the ranks that this daemon's own rows must exceed."""
        for name, (row_rank, _) in rows.items():
            state, number = (*row_rank, 0)[:2]  # another version of the program may use fewer or more numbers per rank
            rank = RowRank(state, number)
            self.ranks[kind, name] = max(rank, self.ranks.get((kind, name), rank))

    def on_listed_rows(self, rows: Mapping[str, tuple[Any, Any]]) -> None:
        """Apply endpoint records and removals published by other daemons."""
        new = []
        for name, (_, row) in rows.items():
            if row is None:
                if self.records.get(name) is not None:
                    self.drop(name)
            elif is_endpoint_row(row) and not (name in self.records and self.records[name] is None):
                record = EndpointRecord.of(row)
                self.records[name] = record
                new.append(record)
        self.update_health_checks()
        self.effects.append(Post(Component.ROUTER, EndpointsListed(tuple(new), False)))
        gone = tuple(name for name, (_, row) in rows.items() if row is None)
        if gone:
            self.effects.append(Post(Component.ROUTER, EndpointsRemoved(gone)))

    def on_load_rows(self, rows: Mapping[str, tuple[Any, Any]]) -> None:
        """Apply the loads of replicas that other daemons check."""
        for name, (_, row) in rows.items():
            if is_load_row(row) and name not in self.health_checks.own_replicas:
                self.loads[name] = ReplicaLoad.of(row)
        self.report_loads()

    # health checks

    def on_replica_suspected(self, event: ReplicaSuspected, now: timedelta) -> None:
        """Request a health check out of turn for a replica that failed a request."""
        self.health_checks.suspect(event.replica)

    def on_replica_report_read(self, event: ReplicaReportRead, now: timedelta) -> None:
        """Handle the result of a health check; publish the load in the region if it differs."""
        name, report = event.replica, event.report
        record = self.records.get(name)
        if record is None:
            return
        if report is None:
            self.health_checks.on_failure(name)
            load = ReplicaLoad(-1, -1, record.slots)
        else:
            self.health_checks.on_answer(name)
            active, queued, slots = report
            load = ReplicaLoad(active, queued, slots or record.slots)
        self.loads[name] = load
        if self.published_loads.get(name) != load:
            self.published_loads[name] = load
            self.publish(LOAD, name, LoadState.REPORTED, tuple(load), self.region)
        self.report_loads()

    def report_loads(self) -> None:
        """Report the known loads of all replicas to the router and the service scaler."""
        self.effects.append(Post(Component.ROUTER, LoadsReported(dict(self.loads))))
        by_replica = {}
        for record in self.present():
            load = self.loads.get(record.name)
            if load is not None:
                is_usable = not record.is_leaving and load.is_answered
                active, queued = max(0, load.active), max(0, load.queued)
                by_replica[record.name] = (record.service, record.region, active, load.slots, is_usable, queued)
        self.effects.append(Post(Component.SERVICE_SCALER, LoadsReported(by_replica)))

    # time

    def on_timer_fired(self, event: TimerFired, now: timedelta) -> None:
        """Start the reading of the list and the health checks that are due."""
        if not self.has_source:
            self.effects.append(WakeAt(NEVER))
            return
        keeps_reading = self.is_reader or not self.has_read
        interval = self.tuning["list_every"]
        if now >= self.next_reading and not self.is_reading and keeps_reading:
            self.next_reading = now + interval
            self.is_reading = True
            self.effects.append(ReadEndpointList())
        for name in self.health_checks.due(now):
            record = self.records.get(name)
            if record is not None:
                self.effects.append(ReadReplicaReport(name, record.address))
        next_reading = self.next_reading if keeps_reading else NEVER
        next_checks = self.health_checks.next_check_at.values()
        self.effects.append(WakeAt(min([next_reading, *next_checks, now + IDLE_INTERVALS * interval])))


def differs(known: EndpointRecord, record: EndpointRecord) -> bool:
    """Return whether a record differs from the known one; a slow start that merely continues or a new `gone_in_ms` does not count."""
    unchanged = known._replace(slow_start_ms=record.slow_start_ms, gone_in_ms=record.gone_in_ms)
    return unchanged != record or record.slow_start_ms > known.slow_start_ms
