"""Events that the components of a daemon handle (design 1.2): one class a kind.

Events are records (record.py) that are never changed once they are made. `TAG` is the first word of the event's tuple form, in which
events cross the border of the daemon machine. The sections below name the sender; "I/O" is the program round the state machines:
`server/` in a daemon, `testbed/simulator/` in tests. Names of daemons, replicas and requests are text; times are timedeltas on
the daemon's monotonic clock unless the field says otherwise.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Any, ClassVar

from .record import Record, field_names, fields_of, required_field_count

Version = tuple[int, int]
"""(epoch, number) of a change, or of a whole store."""

RawEvent = tuple[Any, ...]
"""An event in tuple form: its tag, then its fields."""


class Event(Record):
    """Base class of all events.

    :cvar TAG: the first word of the tuple form.
    :cvar COLLECTS_REST: the last field holds, as a tuple, whatever follows the other fields in the tuple form.
    """

    TAG: ClassVar[str]
    COLLECTS_REST: ClassVar[bool] = False


# --- from I/O, or from the daemon machine itself


class TimerFired(Event):
    """The time has come that the component asked for with `WakeAt`, or a fixed interval has passed."""

    TAG: ClassVar[str] = "pulse"


class MessageReceived(Event):
    """A message from another daemon, or from this one; its shape was checked (transport/message_schemas.py).

    :ivar body: the message's kind, then its fields.
    """

    TAG: ClassVar[str] = "msg"
    sender: str
    body: tuple[Any, ...]


class DiskWriteCompleted(Event):
    """A write that was begun with `WriteToDisk` has ended.

    :ivar token: (component, number of the write).
    :ivar succeeded: whether everything was synced.
    """

    TAG: ClassVar[str] = "disk"
    token: tuple[str, int]
    succeeded: bool
    detail: Any = None


class ApiCall(Event):
    """A call of the control API (design 2.2, 2.3) that this daemon took.

    :ivar call_id: names the call in its `Reply`.
    :ivar operation: what is called for, as "config-put" or "status".
    :ivar arguments: of the operation, in its order.
    """

    TAG: ClassVar[str] = "call"
    call_id: str
    operation: str
    arguments: tuple[Any, ...]


class CallerDisconnected(Event):
    """The caller of an API call has closed its connection."""

    TAG: ClassVar[str] = "call-gone"
    call_id: str


class DaemonStateChanged(Event):
    """The daemon is to be in another state: "ready", "leaving" or "left"."""

    TAG: ClassVar[str] = "state"
    state: str


class SeedsChanged(Event):
    """The settings were read again and name other seed addresses."""

    TAG: ClassVar[str] = "seeds"
    seeds: tuple[str, ...]


class ReplicaProbed(Event):
    """A health check of a tenants' replica has ended; `report` is None without an answer."""

    TAG: ClassVar[str] = "probed"
    replica: str
    incarnation: int
    report: Any


class EndpointListRead(Event):
    """The platform's endpoint list was read; `records` is None where that failed."""

    TAG: ClassVar[str] = "read"
    records: Any


class ReplicaReportRead(Event):
    """A replica of a service answered a health check: (active, queued, slots), or None without an answer."""

    TAG: ClassVar[str] = "asked"
    replica: str
    report: tuple[int, int, int] | None


class WallClockRead(Event):
    """The time of day: how long ago 1970 began (UTC). It may step, and differs a little between daemons."""

    TAG: ClassVar[str] = "wall"
    since_1970: timedelta


class PlatformCallEnded(Event):
    """A call of `CallPlatform` has ended.

    :ivar status: of the platform's answer; None where there was none, or the call was not sent since the lease did not allow it.
    :ivar body: the start of the answer's body; mostly empty.
    """

    TAG: ClassVar[str] = "platform-called"
    call_id: str
    status: int | None
    body: bytes


class ReachabilityTested(Event):
    """Whether a replica's machine took (or refused) a bare connection."""

    TAG: ClassVar[str] = "reached"
    replica: str
    reachable: bool


class ForwardingRequested(Event):
    """A client's request for a route arrived.

    :ivar request_id: unique in this daemon's life.
    :ivar facts: what the HTTP layer read of the request's head.
    """

    TAG: ClassVar[str] = "request"
    request_id: str
    facts: Any


class AttemptProgressed(Event):
    """What became of one attempt at a replica so far.

    :ivar outcome: what happened, as "began", "first" or "done"; `details` depend on it.
    """

    TAG: ClassVar[str] = "tried"
    COLLECTS_REST: ClassVar[bool] = True
    request_id: str
    attempt: int
    outcome: str
    details: tuple[Any, ...] = ()


class ShutdownStarted(Event):
    """The daemon is told to stop; the fields are moments of the shutdown timetable."""

    TAG: ClassVar[str] = "leaving"
    streams_until: timedelta
    answer_at: timedelta
    end_at: timedelta


class TenantRequestArrived(Event):
    """A tenant's request arrived at this daemon.

    :ivar facts: the texts of its head in the order of `tenant_requests.admission.RequestHead`, then the body.
    """

    TAG: ClassVar[str] = "order"
    request_id: str
    facts: Any


class ClientDisconnected(Event):
    """The client of a tenant's request has closed its connection."""

    TAG: ClassVar[str] = "gone"
    request_id: str


class DispatchProgressed(Event):
    """What a replica made of a dispatched tenant's request so far."""

    TAG: ClassVar[str] = "ran"
    COLLECTS_REST: ClassVar[bool] = True
    dispatch_id: str
    outcome: tuple[Any, ...] = ()


class DrainStarted(Event):
    """The daemon takes no more tenants' requests."""

    TAG: ClassVar[str] = "drain"


class ClientCaughtUp(Event):
    """The client has taken the answer's events up to `position`."""

    TAG: ClassVar[str] = "drained"
    request_id: str
    position: int


# --- from membership


class MembershipChanged(Event):
    """The live daemons are now these.

    :ivar members: `membership.records.MemberRecord`s in the order of their names.
    """

    TAG: ClassVar[str] = "roll"
    members: tuple[Any, ...]


class ProcessPaused(Event):
    """The daemon stood still for so long that what it heard before says nothing of now."""

    TAG: ClassVar[str] = "froze"


class SoftStateChanged(Event):
    """Rows of one kind of soft state are new here.

    :ivar rows: key to (rank, value); the value None is a tombstone.
    """

    TAG: ClassVar[str] = "told"
    kind: str
    rows: Mapping[str, tuple[Any, Any]]


class TablePositionMoved(Event):
    """The table of soft state stands at another position, named by its token."""

    TAG: ClassVar[str] = "spot"
    position: int


class PositionReported(Event):
    """Where this daemon's table of soft state stands: a token, a vector as pairs, or None when it did not move."""

    TAG: ClassVar[str] = "at"
    position: Any


# --- to membership


class AttributeSet(Event):
    """An attribute of this daemon's member record, told to all others when it changes."""

    TAG: ClassVar[str] = "extra"
    name: str
    value: Any


class SoftStatePublished(Event):
    """A row of soft state that this daemon publishes; the value None takes it back."""

    TAG: ClassVar[str] = "publish"
    kind: str
    key: str
    rank: Any
    value: Any
    scope: str = ""


class QueriedCoreChanged(Event):
    """The core that this daemon asks for updates from here on ("@address" for a seed)."""

    TAG: ClassVar[str] = "core"
    core: str


class RelayedCoreChanged(Event):
    """For the zone relay: whom this daemon asks from here on, and whether that is a core."""

    TAG: ClassVar[str] = "core"
    daemon: str
    is_core: bool


class DeltaReceived(Event):
    """What an answer brought of soft state."""

    TAG: ClassVar[str] = "delta"
    sender: str
    delta: tuple[Any, ...]


class AnswerRequested(Event):
    """Send this message, with the soft state that the daemon lacks appended.

    :ivar position: where the daemon's table stands.
    """

    TAG: ClassVar[str] = "answer"
    daemon: str
    body: tuple[Any, ...]
    position: Any


class HeartbeatReceived(Event):
    """For a core's table: a heartbeat of this daemon reached the core, so it lives."""

    TAG: ClassVar[str] = "alive"
    daemon: str


class DaemonAskedHere(Event):
    """A daemon has asked this core for updates: it lives."""

    TAG: ClassVar[str] = "asked"
    daemon: str


# --- from configuration


class StoreUpdated(Event):
    """The daemon holds a newer version of what control has acknowledged.

    :ivar store: key to (version, value): configuration, evacuations, roles.
    """

    TAG: ClassVar[str] = "book"
    store: Mapping[str, tuple[Version, Any]]
    version: Version


class ProofRenewed(Event):
    """The store is proved to have been the newest at that time; None: no proof is held."""

    TAG: ClassVar[str] = "fresh"
    proved_at: timedelta | None


class ItemsReceived(Event):
    """For the zone relay: items that an answer brought, and the version held now."""

    TAG: ClassVar[str] = "items"
    items: tuple[tuple[str, Version, Any], ...]
    version: Version


class UpdateRequestReady(Event):
    """For the updater itself: the core knows this daemon by now, so it may be asked."""

    TAG: ClassVar[str] = "go"
    core: str
    number: int
    version: Version


class OwnOperationRequested(Event):
    """An operation that this daemon itself asks the primary for."""

    TAG: ClassVar[str] = "self"
    operation: tuple[Any, ...]


class StatusRequested(Event):
    """For the operator API itself: every component has reported by now."""

    TAG: ClassVar[str] = "status"
    call_id: str


class ReportRequested(Event):
    """Components are to report their figures to the operator API."""

    TAG: ClassVar[str] = "look"


# --- from duties/


class LeaseChanged(Event):
    """Whether this daemon holds the lease of a duty, and until when it may act on it (design 18).

    :ivar duty: one of `Duty`.
    :ivar token: the fencing token; None: this daemon does not hold the lease.
    :ivar usable_until: a call may be written only before this time; None while a new holder waits, or holds no proof.
    """

    TAG: ClassVar[str] = "lease-changed"
    duty: str
    token: int | None
    usable_until: timedelta | None


# --- from routing, for usage reports


class TenantRequestStarted(Event):
    """A request of this tenant began to run at a replica."""

    TAG: ClassVar[str] = "tenant-started"
    tenant: str


# --- figures for the operator API


class StatusFieldSet(Event):
    """A field of the daemon's status."""

    TAG: ClassVar[str] = "note"
    name: str
    value: Any


class TenantRequestCounts(Event):
    """How many tenants' requests run here, were forwarded to another daemon, and ran outside their first home."""

    TAG: ClassVar[str] = "orders"
    running: int
    forwarded: int
    overflowed: int


class RetryCounts(Event):
    """Totals of the retry budget, by name."""

    TAG: ClassVar[str] = "retries"
    totals: Mapping[str, int]


class ShardReport(Event):
    """The shards owned here: (tenant, epoch, follower, is open, claims, waiting requests) each."""

    TAG: ClassVar[str] = "shards"
    rows: tuple[tuple[str, int, str, bool, int, int], ...]


# --- to control


class AssignRoles(Event):
    """The primary's role assigner wants these holders: (kind, name, epoch it builds on, holder, follower) each."""

    TAG: ClassVar[str] = "duties"
    assignments: tuple[tuple[str, str, int, str, str], ...]


class DropRoles(Event):
    """Nobody needs these roles any more."""

    TAG: ClassVar[str] = "drop"
    kind: str
    names: tuple[str, ...]


class ViewChosen(Event):
    """For the control core itself: this view was chosen in an agreement that it led."""

    TAG: ClassVar[str] = "chosen"
    view: Any


# --- from replicas/


class ReplicasChanged(Event):
    """The replicas that tenants' requests may be sent to.

    :ivar replicas: id to `replicas.records.ReplicaEntry`.
    """

    TAG: ClassVar[str] = "replicas"
    replicas: Mapping[str, tuple[Any, Any, timedelta | None]]


class ReplicaZonesChanged(Event):
    """For the role assigner: every registered replica with its zone, sorted."""

    TAG: ClassVar[str] = "ledgers"
    replicas: tuple[tuple[str, str], ...]


class ReplicaStatusMeasured(Event):
    """For the registry: the status of a replica, from the holder of its slot leases."""

    TAG: ClassVar[str] = "status"
    status: tuple[Any, ...]


# --- from autoscaling and routing


class RequiredReplicasChanged(Event):
    """How many replicas must be ready: (region, kind) to count."""

    TAG: ClassVar[str] = "wanted"
    required: Mapping[tuple[str, str], int]


class ServicesShort(Event):
    """Services whose ready replicas are fewer than required here."""

    TAG: ClassVar[str] = "short"
    services: Any


class TenantRequestObserved(Event):
    """For the scaler: a tenant's request of this kind arrived for the first time."""

    TAG: ClassVar[str] = "arrived"
    kind: str


class TenantRetryObserved(Event):
    """For the scaler: an arrival of this kind turned out to be a retry."""

    TAG: ClassVar[str] = "repeat"
    kind: str


class TenantRequestServed(Event):
    """For the scaler: a tenant's request has ended.

    :ivar took: from its last dispatch to the end of the answer.
    :ivar since_arrival: from its arrival to the end of the answer.
    """

    TAG: ClassVar[str] = "served"
    kind: str
    took: timedelta
    since_arrival: timedelta


class ServiceRequestObserved(Event):
    """For the scaler of services: a request arrived."""

    TAG: ClassVar[str] = "arrived"
    service: str
    is_retry: bool


class ServiceRequestServed(Event):
    """For the scaler of services: a request has ended after so many seconds."""

    TAG: ClassVar[str] = "served"
    service: str
    seconds: float


class LoadsReported(Event):
    """What is known of the load of each replica of a service."""

    TAG: ClassVar[str] = "loads"
    loads: Mapping[str, tuple[Any, ...]]


class EndpointsListed(Event):
    """Endpoint records; `is_complete`: replicas that are not among them are gone."""

    TAG: ClassVar[str] = "listed"
    records: tuple[Any, ...]
    is_complete: bool


class EndpointsRemoved(Event):
    """Replicas that the endpoint list no longer names."""

    TAG: ClassVar[str] = "unlisted"
    replicas: Any


class ReplicaSuspected(Event):
    """A request to this replica failed; it should be health-checked out of turn."""

    TAG: ClassVar[str] = "doubt"
    replica: str


class EventDecoder:
    """From the tuple form to the events that one component handles.

    Some classes share a tag ("arrived", "served") and differ in the number of their fields: only a tuple with as many is decoded.
    """

    def __init__(self, handled: Iterable[type[Event]]) -> None:
        self._classes: dict[str, tuple[Callable[..., Event], int, float, int]] = {}
        for event_class in handled:
            least, most = _field_counts(event_class)
            first_of_rest = len(field_names(event_class)) if event_class.COLLECTS_REST else 0
            self._classes[event_class.TAG] = (event_class, least + 1, most + 1, first_of_rest)

    def __call__(self, raw: RawEvent) -> Event | None:
        """The typed event, or None for one that the component does not handle."""
        known = self._classes.get(raw[0])
        if known is None:
            return None
        construct, shortest, longest, first_of_rest = known
        if not shortest <= len(raw) <= longest:
            return None
        if first_of_rest:
            return construct(*raw[1:first_of_rest], raw[first_of_rest:])
        return construct(*raw[1:])


def _field_counts(event_class: type[Event]) -> tuple[int, float]:
    """How many fields the tuple form of an event has at least and at most."""
    count = len(field_names(event_class))
    return (count - 1, math.inf) if event_class.COLLECTS_REST else (required_field_count(event_class), count)


def event_to_tuple(event: Event) -> RawEvent:
    """The tuple form of an event."""
    values = fields_of(event)
    if event.COLLECTS_REST:
        return (event.TAG, *values[:-1], *values[-1])
    return (event.TAG, *values)
