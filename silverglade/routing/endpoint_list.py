"""Which replicas there are and how they do, read by few daemons and told to all (design 15.4).

The list that somebody else keeps is read by the first two live daemons in an agreed order, of two regions where it may
be; each replica is health-checked by one daemon of its region (16.4). What changes travels as soft state.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from enum import IntEnum
from typing import Any, NamedTuple

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
from .health_checks import HealthChecks
from .records import EndpointRecord, is_endpoint_row

LISTED = "listed"
"""Kind of soft state: replica to its record, or None once it is gone."""
LOAD = "load"
"""Kind of soft state of a region: replica to its `ReplicaLoad`."""
MISSED_LISTS = 4
"""Lists in a row without it, before a replica counts as gone for good. The list trails, each reading by another time: with a reading
each half second, one that was listed is lost by mistake only if a reading trails by over two seconds."""
READERS = 2
"""Daemons that read the list."""
FAILURES_UNTIL_BLIND = 2
"""Readings that failed in a row, before a daemon says that it cannot read the list."""
BLIND = "blind"
"""Attribute of a member record: this daemon cannot read the list."""
IDLE_LISTS = 4
"""Without anything to do the component looks again after the time of so many readings."""
LOGGED_LENGTH = 80


class ListedState(IntEnum):
    """How a replica is listed; a later state outranks any number of rows of an earlier one."""

    PRESENT = 0
    LEAVING = 1
    GONE = 2


class LoadState(IntEnum):
    """Whether a row of the kind `LOAD` holds a load; a later state outranks any number of rows of an earlier one."""

    REPORTED = 0
    GONE = 1


class RowRank(NamedTuple):
    """Rank of a row of soft state: a `ListedState` or `LoadState`, then a number that rises with each row."""

    state: int
    number: int


class ReplicaLoad(NamedTuple):
    """What a health check brought; `active` and `queued` are -1 without an answer."""

    active: int
    queued: int
    slots: int

    @property
    def is_answered(self) -> bool:
        """Whether the replica answered."""
        return self.active >= 0


def list_readers(members: Iterable[MemberRecord], /) -> tuple[str, ...]:
    """The daemons that read the list: the first in order that can, and the next of another region."""
    live = {member.name: member for member in members if not member.is_core and member.is_ready}
    sighted = [name for name, member in live.items() if not member.attribute(BLIND)]
    order: tuple[str, ...] = rank_nodes("list", sighted or live)
    if not order:
        return ()
    first, others = order[0], order[1:]
    elsewhere = tuple(name for name in others if live[name].region != live[first].region)
    return (first, *(elsewhere or others)[: READERS - 1])


class EndpointList:
    """Reads the endpoint list and checks replicas where that falls to this daemon, and tells the router and all others.

    :ivar region: this daemon's.
    :ivar has_source: whether the platform gives this daemon a list at all.
    :ivar is_reader: whether this daemon goes on reading.
    :ivar has_read: whether it has read the list once.
    :ivar is_reading: whether a reading is under way.
    :ivar next_reading: when the next one is due.
    :ivar failed_readings: how many in a row.
    :ivar records: replica to its record; None once it is gone, which is not taken back.
    :ivar missed_lists: replica to how many lists in a row lacked it.
    :ivar loads: replica to its load.
    :ivar published_loads: replica to the load that this daemon has published.
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
        """The records of the replicas that are not gone."""
        return [record for record in self.records.values() if record is not None]

    # daemons

    def on_membership_changed(self, event: MembershipChanged, now: timedelta) -> None:
        """Take the live daemons: who reads the list, and who checks which replica."""
        members = members_of(event.members)
        self.is_reader = self.own_name in list_readers(members)
        self.health_checks.set_live_daemons((member.name, member.region) for member in members if not member.is_core and member.is_ready)

    def on_process_paused(self, event: ProcessPaused, now: timedelta) -> None:
        """Begin anew after a pause of this process: what was under way is lost."""
        self.health_checks.on_process_paused()
        self.is_reading = False

    def publish(self, kind: str, replica: str, state: int, value: Any, scope: str = "") -> None:
        """Publish a row that outranks what was told of the replica."""
        number = self.ranks.get((kind, replica), RowRank(0, 0)).number + 1
        self.ranks[kind, replica] = RowRank(state, number)
        row = SoftStatePublished(kind, replica, (int(state), number), value, scope)
        self.effects.append(Post(Component.MEMBERSHIP, row))

    # the list

    def on_endpoint_list_read(self, event: EndpointListRead, now: timedelta) -> None:
        """A reading of the list has ended."""
        self.is_reading = False
        if event.records is None:
            self.on_reading_failed()
            return
        if self.failed_readings >= FAILURES_UNTIL_BLIND:
            self.set_blind(False)
        self.failed_readings = 0
        self.has_read = True
        seen = {name for row in event.records if (name := self.on_row_read(row)) is not None}
        self.count_missing(seen)
        self.share_regions()
        self.effects.append(Post(Component.ROUTER, EndpointsListed(tuple(self.present()), True)))

    def on_reading_failed(self) -> None:
        """Say so when it has failed again."""
        self.failed_readings += 1
        if self.failed_readings == FAILURES_UNTIL_BLIND:
            self.set_blind(True)
            self.effects.append(log_record("endpoint-list-unreadable", fails=self.failed_readings))

    def set_blind(self, is_blind: bool) -> None:
        """Say in the member record whether this daemon can read the list."""
        self.effects.append(Post(Component.MEMBERSHIP, AttributeSet(BLIND, is_blind)))

    def on_row_read(self, row: Any) -> str | None:
        """Take one row of the list, and publish it if it differs.

        :returns: the replica's id, or None for a row that is malformed.
        """
        if not is_endpoint_row(row):
            self.effects.append(log_record("endpoint-record-invalid", why="unsound", record=str(row)[:LOGGED_LENGTH]))
            return None
        record = EndpointRecord.of(row)
        name = record.name
        self.missed_lists.pop(name, None)
        is_known, known = name in self.records, self.records.get(name)
        if is_known and known is None:
            return name  # gone is not taken back within an incarnation
        if known and known.is_leaving:
            record = record._replace(is_leaving=True)
        self.records[name] = record
        if known is None or differs(known, record):
            state = ListedState.LEAVING if record.is_leaving else ListedState.PRESENT
            self.publish(LISTED, name, state, tuple(record))
        return name

    def count_missing(self, seen: set[str]) -> None:
        """Drop the replicas that several lists in a row lacked."""
        for record in [record for record in self.present() if record.name not in seen]:
            name = record.name
            self.missed_lists[name] = self.missed_lists.get(name, 0) + 1
            if self.missed_lists[name] >= MISSED_LISTS:
                self.drop(name)
                self.publish(LISTED, name, ListedState.GONE, None)

    def drop(self, replica: str) -> None:
        """Note that a replica is gone; it is remembered, so that it does not come back."""
        self.records[replica] = None
        self.missed_lists.pop(replica, None)
        self.loads.pop(replica, None)
        if replica in self.published_loads:
            self.publish(LOAD, replica, LoadState.GONE, None, self.region)
            self.published_loads.pop(replica)

    def share_regions(self) -> None:
        """Tell the health checks which replicas there are."""
        self.health_checks.set_replicas({record.name: record.region for record in self.present()})

    # what other daemons tell

    def on_soft_state_changed(self, event: SoftStateChanged, now: timedelta) -> None:
        """Take rows of soft state, of any daemon."""
        if event.kind == LISTED:
            self.note_ranks(LISTED, event.rows)
            self.on_listed_rows(event.rows)
        elif event.kind == LOAD:
            self.note_ranks(LOAD, event.rows)
            self.on_load_rows(event.rows)

    def note_ranks(self, kind: str, rows: Mapping[str, tuple[Any, Any]]) -> None:
        """Note the ranks that our own rows must exceed."""
        for name, (row_rank, _) in rows.items():
            state, number = (*row_rank, 0)[:2]  # a rank of another program may have fewer or more numbers
            rank = RowRank(state, number)
            self.ranks[kind, name] = max(rank, self.ranks.get((kind, name), rank))

    def on_listed_rows(self, rows: Mapping[str, tuple[Any, Any]]) -> None:
        """Take records, and which replicas are gone."""
        new = []
        for name, (_, row) in rows.items():
            if row is None:
                if self.records.get(name) is not None:
                    self.drop(name)
            elif is_endpoint_row(row) and not (name in self.records and self.records[name] is None):
                record = EndpointRecord.of(row)
                self.records[name] = record
                new.append(record)
        self.share_regions()
        self.effects.append(Post(Component.ROUTER, EndpointsListed(tuple(new), False)))
        gone = tuple(name for name, (_, row) in rows.items() if row is None)
        if gone:
            self.effects.append(Post(Component.ROUTER, EndpointsRemoved(gone)))

    def on_load_rows(self, rows: Mapping[str, tuple[Any, Any]]) -> None:
        """Take the loads of replicas that other daemons check."""
        for name, (_, row) in rows.items():
            if row is not None and name not in self.health_checks.own_replicas:
                self.loads[name] = ReplicaLoad(*row)
        self.report_loads()

    # health checks

    def on_replica_suspected(self, event: ReplicaSuspected, now: timedelta) -> None:
        """A request to the replica failed: it is asked out of turn."""
        self.health_checks.suspect(event.replica)

    def on_replica_report_read(self, event: ReplicaReportRead, now: timedelta) -> None:
        """A health check has ended: its region is told when the load differs."""
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
        """Tell the router and the scaler what is known of each replica's load."""
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
        """Read the list and check replicas, as far as that is due."""
        if not self.has_source:
            self.effects.append(WakeAt(NEVER))
            return
        goes_on_reading = self.is_reader or not self.has_read
        interval = self.tuning["list_every"]
        if now >= self.next_reading and not self.is_reading and goes_on_reading:
            self.next_reading = now + interval
            self.is_reading = True
            self.effects.append(ReadEndpointList())
        for name in self.health_checks.due(now):
            record = self.records.get(name)
            if record is not None:
                self.effects.append(ReadReplicaReport(name, record.address))
        next_reading = self.next_reading if goes_on_reading else NEVER
        next_checks = self.health_checks.next_turn.values()
        self.effects.append(WakeAt(min([next_reading, *next_checks, now + IDLE_LISTS * interval])))


def differs(known: EndpointRecord, record: EndpointRecord) -> bool:
    """Whether a record says something new: a slow start that goes on is nothing new."""
    unchanged = known._replace(slow_start_ms=record.slow_start_ms, gone_in_ms=record.gone_in_ms)
    return unchanged != record or record.slow_start_ms > known.slow_start_ms
