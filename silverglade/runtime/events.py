"""Events that the components of a daemon handle (design 1.2), one class for each kind.

Events are records (record.py) and are never modified after creation. `TAG` is the first element of the event's tuple form, which is
used at the boundary of the daemon machine. Each section below is headed by the sender or the receiver of its events; "I/O" is the code
around the state machines: `server/` in a daemon, `testbed/simulator/` in tests. Names of daemons, replicas and requests are text; times
are timedeltas on the daemon's monotonic clock unless the field says otherwise.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Any, ClassVar

from .record import Record, field_names, fields_of, required_field_count

Version = tuple[int, int]
"""(epoch, number) of a change, or of the whole store."""

RawEvent = tuple[Any, ...]
"""An event in tuple form: its tag, then its fields."""


class Event(Record):
    """Base class of all events.

    :cvar TAG: the first element of the tuple form.
    :cvar COLLECTS_REST: whether the last field is a tuple of all remaining elements of the tuple form.
    """

    TAG: ClassVar[str]
    COLLECTS_REST: ClassVar[bool] = False


# --- from I/O, or from the daemon machine itself


class TimerFired(Event):
    """The time that the component set with `WakeAt` was reached; a component that set none receives every timer event."""

    TAG: ClassVar[str] = "pulse"


class MessageReceived(Event):
    """A message from another daemon, or from this one. Its shape has been validated (transport/message_schemas.py).

    :ivar sender: the name of the sending daemon.
    :ivar body: the message's kind, then its fields.
    """

    TAG: ClassVar[str] = "msg"
    sender: str
    body: tuple[Any, ...]


class DiskWriteCompleted(Event):
    """A write started by `WriteToDisk` has completed or failed.

    :ivar token: (component, number of the write).
    :ivar succeeded: whether all operations were synced to disk.
    """

    TAG: ClassVar[str] = "disk"
    token: tuple[str, int]
    succeeded: bool
    detail: Any = None


class ApiCall(Event):
    """A call to the control API (design 2.2, 2.3) that this daemon received.

    :ivar call_id: identifies the call in its `Reply`.
    :ivar operation: the operation, such as "config-put" or "status".
    :ivar arguments: the positional arguments of the operation.
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
    """The daemon changes its state to "ready", "leaving" or "left"."""

    TAG: ClassVar[str] = "state"
    state: str


class SeedsChanged(Event):
    """The settings were reloaded and have different seed addresses."""

    TAG: ClassVar[str] = "seeds"
    seeds: tuple[str, ...]


class ReplicaProbed(Event):
    """A health check of a tenants' replica has ended; `report` is None if the replica did not answer."""

    TAG: ClassVar[str] = "probed"
    replica: str
    incarnation: int
    report: Any


class EndpointListRead(Event):
    """A read of the platform's endpoint list has ended; `records` is None if it failed."""

    TAG: ClassVar[str] = "read"
    records: Any


class ReplicaReportRead(Event):
    """A health check of a service's replica has ended.

    :ivar report: (active requests, queued requests, slots), or None if the replica did not answer.
    """

    TAG: ClassVar[str] = "asked"
    replica: str
    report: tuple[int, int, int] | None


class WallClockRead(Event):
    """The wall-clock time as the time since 1970-01-01 UTC. It may jump, and differs slightly between daemons."""

    TAG: ClassVar[str] = "wall"
    since_1970: timedelta


class PlatformCallEnded(Event):
    """A call requested by `CallPlatform` has ended.

    :ivar status: the HTTP status of the platform's answer; None if there was no answer, or if the lease did not permit the call.
    :ivar body: the start of the answer's body; usually empty.
    """

    TAG: ClassVar[str] = "platform-called"
    call_id: str
    status: int | None
    body: bytes


class ReachabilityTested(Event):
    """A reachability test has ended: `reachable` if the replica's machine accepted or refused the TCP connection."""

    TAG: ClassVar[str] = "reached"
    replica: str
    reachable: bool


class ForwardingRequested(Event):
    """A client's request for a route arrived.

    :ivar request_id: unique within this daemon process.
    :ivar facts: what the HTTP layer parsed from the request head.
    """

    TAG: ClassVar[str] = "request"
    request_id: str
    facts: Any


class AttemptProgressed(Event):
    """An attempt to send a request to a replica progressed or ended.

    :ivar outcome: what happened, such as "began", "first" or "done"; the contents of `details` depend on it.
    """

    TAG: ClassVar[str] = "tried"
    COLLECTS_REST: ClassVar[bool] = True
    request_id: str
    attempt: int
    outcome: str
    details: tuple[Any, ...] = ()


class ShutdownStarted(Event):
    """The daemon was asked to stop; the fields are times of the shutdown timetable (shutdown_timetable.py)."""

    TAG: ClassVar[str] = "leaving"
    streams_until: timedelta
    answer_at: timedelta
    end_at: timedelta


class TenantRequestArrived(Event):
    """A tenant's request arrived at this daemon.

    :ivar facts: the header texts in the order of `tenant_requests.admission.RequestHead`, then the body.
    """

    TAG: ClassVar[str] = "order"
    request_id: str
    facts: Any


class ClientDisconnected(Event):
    """The client of a tenant's request has closed its connection."""

    TAG: ClassVar[str] = "gone"
    request_id: str


class DispatchProgressed(Event):
    """A replica's execution of a dispatched tenant's request progressed or ended."""

    TAG: ClassVar[str] = "ran"
    COLLECTS_REST: ClassVar[bool] = True
    dispatch_id: str
    outcome: tuple[Any, ...] = ()


class DrainStarted(Event):
    """The daemon stops accepting tenants' requests."""

    TAG: ClassVar[str] = "drain"


class ClientReadProgressed(Event):
    """The client has received the events of the answer up to `position`."""

    TAG: ClassVar[str] = "drained"
    request_id: str
    position: int


# --- from membership


class MembershipChanged(Event):
    """The set of live daemons, or one of their records, changed.

    :ivar members: a `membership.records.MemberRecord` for each live daemon, ordered by name.
    """

    TAG: ClassVar[str] = "roll"
    members: tuple[Any, ...]


class ProcessPaused(Event):
    """The process was paused for so long that information received before the pause is out of date."""

    TAG: ClassVar[str] = "froze"


class SoftStateChanged(Event):
    """Rows of one kind of soft state were added or replaced in the local table.

    :ivar rows: key -> (rank, value); the value None is a tombstone.
    """

    TAG: ClassVar[str] = "told"
    kind: str
    rows: Mapping[str, tuple[Any, Any]]


class TablePositionChanged(Event):
    """The position of the local soft-state table changed; `position` is its token."""

    TAG: ClassVar[str] = "spot"
    position: int


class TablePositionReported(Event):
    """The position of the local soft-state table: a token, a version vector as pairs, or None if it is unchanged."""

    TAG: ClassVar[str] = "at"
    position: Any


# --- to membership


class AttributeSet(Event):
    """Sets an attribute of this daemon's member record; a changed value is propagated to all other daemons."""

    TAG: ClassVar[str] = "extra"
    name: str
    value: Any


class SoftStatePublished(Event):
    """Publishes a row of soft state from this daemon; the value None withdraws it."""

    TAG: ClassVar[str] = "publish"
    kind: str
    key: str
    rank: Any
    value: Any
    scope: str = ""


class QueriedCoreChanged(Event):
    """This daemon now requests updates from `core`: the name of a core or zone relay, or "@address" for a seed."""

    TAG: ClassVar[str] = "core"
    core: str


class UpdateSourceChanged(Event):
    """For the zone relay: this daemon now requests updates from another daemon, which may be a core."""

    TAG: ClassVar[str] = "core"
    daemon: str
    is_core: bool


class SoftStateDeltaReceived(Event):
    """An update answer contained a delta of soft state."""

    TAG: ClassVar[str] = "delta"
    sender: str
    delta: tuple[Any, ...]


class AnswerRequested(Event):
    """Requests that this message is sent with the soft state that the receiving daemon lacks appended to it.

    :ivar daemon: the receiving daemon.
    :ivar position: the position of the receiving daemon's soft-state table.
    """

    TAG: ClassVar[str] = "answer"
    daemon: str
    body: tuple[Any, ...]
    position: Any


class HeartbeatReceived(Event):
    """For a core's table: the core received a heartbeat from this daemon, which is therefore alive."""

    TAG: ClassVar[str] = "alive"
    daemon: str


class UpdateRequestReceived(Event):
    """This core received an update request from a daemon, which is therefore alive."""

    TAG: ClassVar[str] = "asked"
    daemon: str


# --- from configuration


class StoreUpdated(Event):
    """The local copy of the store was updated to a newer version that control has acknowledged.

    :ivar store: key -> (version, value): configuration, evacuations, roles.
    """

    TAG: ClassVar[str] = "book"
    store: Mapping[str, tuple[Version, Any]]
    version: Version


class ProofRenewed(Event):
    """The local copy of the store is proved to have been current at `proved_at`; None: the daemon holds no proof."""

    TAG: ClassVar[str] = "fresh"
    proved_at: timedelta | None


class ItemsReceived(Event):
    """For the zone relay: store items received in an update answer, and the version of the store that results."""

    TAG: ClassVar[str] = "items"
    items: tuple[tuple[str, Version, Any], ...]
    version: Version


class UpdateRequestReady(Event):
    """From the updater to itself: membership has introduced this daemon to the core, so the update request can be sent."""

    TAG: ClassVar[str] = "go"
    core: str
    number: int
    version: Version


class OwnOperationRequested(Event):
    """An operation that this daemon itself requests from the primary."""

    TAG: ClassVar[str] = "self"
    operation: tuple[Any, ...]


class StatusReady(Event):
    """From the operator API to itself: every component has reported, so the status call can be answered."""

    TAG: ClassVar[str] = "status"
    call_id: str


class ReportRequested(Event):
    """Requests that components report their status figures to the operator API."""

    TAG: ClassVar[str] = "look"


# --- from duties


class LeaseChanged(Event):
    """This daemon's hold on the lease of a duty, or the time until which it may use it, changed (design 18).

    :ivar duty: one of `Duty`.
    :ivar token: the fencing token; None: this daemon does not hold the lease.
    :ivar usable_until: calls may be sent only before this time; None while a new holder must wait, or holds no proof.
    """

    TAG: ClassVar[str] = "lease-changed"
    duty: str
    token: int | None
    usable_until: timedelta | None


# --- from routing, for usage reports


class TenantRequestStarted(Event):
    """A replica began to execute a request of this tenant."""

    TAG: ClassVar[str] = "tenant-started"
    tenant: str


# --- figures for the operator API


class StatusFieldSet(Event):
    """Sets a field of the daemon's status."""

    TAG: ClassVar[str] = "note"
    name: str
    value: Any


class TenantRequestCounts(Event):
    """Counts of tenants' requests: running here, forwarded to another daemon, and run outside their first home."""

    TAG: ClassVar[str] = "orders"
    running: int
    forwarded: int
    overflowed: int


class RetryCounts(Event):
    """Totals of the retry budget: name -> count."""

    TAG: ClassVar[str] = "retries"
    totals: Mapping[str, int]


class ShardReport(Event):
    """The shards that this daemon owns.

    :ivar rows: (tenant, epoch, follower, is open, number of claims, number of waiting requests) for each shard.
    """

    TAG: ClassVar[str] = "shards"
    rows: tuple[tuple[str, int, str, bool, int, int], ...]


# --- to control


class AssignRoles(Event):
    """Role assignments requested by the primary's role assigner.

    :ivar assignments: (kind, name, epoch that the assignment is based on, holder, follower) for each role.
    """

    TAG: ClassVar[str] = "duties"
    assignments: tuple[tuple[str, str, int, str, str], ...]


class DropRoles(Event):
    """Requests that these roles, which are no longer needed, are removed."""

    TAG: ClassVar[str] = "drop"
    kind: str
    names: tuple[str, ...]


class ViewChosen(Event):
    """From the control core to itself: this view was chosen in a round of agreement that it led."""

    TAG: ClassVar[str] = "chosen"
    view: Any


# --- from replicas


class ReplicasChanged(Event):
    """The set of replicas that tenants' requests may be sent to changed.

    :ivar replicas: replica id -> `replicas.records.ReplicaEntry`.
    """

    TAG: ClassVar[str] = "replicas"
    replicas: Mapping[str, tuple[Any, Any, timedelta | None]]


class ReplicaZonesChanged(Event):
    """For the role assigner: (replica, zone) for every registered replica, sorted."""

    TAG: ClassVar[str] = "ledgers"
    replicas: tuple[tuple[str, str], ...]


class ReplicaStatusMeasured(Event):
    """For the replica registry: a replica's status, measured by the daemon that manages its slot leases."""

    TAG: ClassVar[str] = "status"
    status: tuple[Any, ...]


# --- from autoscaling and routing


class RequiredReplicasChanged(Event):
    """The required number of ready replicas changed: (region, kind) -> count."""

    TAG: ClassVar[str] = "wanted"
    required: Mapping[tuple[str, str], int]


class ServiceRequirementsChanged(Event):
    """What the services require in this region changed.

    :ivar requirements: (region, service) -> `autoscaling.service_scaler.ServiceRequirement`.
    """

    TAG: ClassVar[str] = "short"
    requirements: Any


class TenantRequestObserved(Event):
    """For the tenant scaler: a tenant's request of this kind arrived for the first time."""

    TAG: ClassVar[str] = "arrived"
    kind: str


class TenantRetryObserved(Event):
    """For the tenant scaler: an arrival of this kind that was already counted turned out to be a retry."""

    TAG: ClassVar[str] = "repeat"
    kind: str


class TenantRequestServed(Event):
    """For the tenant scaler: a tenant's request has been served.

    :ivar service_time: from its last dispatch to the end of the answer.
    :ivar since_arrival: from its arrival to the end of the answer.
    """

    TAG: ClassVar[str] = "served"
    kind: str
    service_time: timedelta
    since_arrival: timedelta


class ServiceRequestObserved(Event):
    """For the service scaler: a request arrived."""

    TAG: ClassVar[str] = "arrived"
    service: str
    is_retry: bool


class ServiceRequestServed(Event):
    """For the service scaler: a request was served, which took `seconds`."""

    TAG: ClassVar[str] = "served"
    service: str
    seconds: float


class LoadsReported(Event):
    """The known loads of the replicas of services.

    :ivar loads: replica -> its load.
    """

    TAG: ClassVar[str] = "loads"
    loads: Mapping[str, tuple[Any, ...]]


class EndpointsListed(Event):
    """Endpoint records were received.

    :ivar is_complete: whether replicas missing from `records` no longer exist.
    """

    TAG: ClassVar[str] = "listed"
    records: tuple[Any, ...]
    is_complete: bool


class EndpointsRemoved(Event):
    """Replicas were removed from the endpoint list."""

    TAG: ClassVar[str] = "unlisted"
    replicas: Any


class ReplicaSuspected(Event):
    """A request to this replica failed; it should be health-checked before its next regular check."""

    TAG: ClassVar[str] = "doubt"
    replica: str


class EventDecoder:
    """Decodes the tuple form of the events that one component handles.

    Some classes share a tag ("arrived", "served") and differ in their number of fields: a tuple with another number of fields is not
    decoded.
    """

    def __init__(self, handled: Iterable[type[Event]]) -> None:
        self._classes: dict[str, tuple[Callable[..., Event], int, float, int]] = {}
        for event_class in handled:
            least, most = _field_counts(event_class)
            first_of_rest = len(field_names(event_class)) if event_class.COLLECTS_REST else 0
            self._classes[event_class.TAG] = (event_class, least + 1, most + 1, first_of_rest)

    def __call__(self, raw: RawEvent) -> Event | None:
        """Return the typed event, or None for an event that the component does not handle."""
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
    """Return the minimum and maximum number of fields in the tuple form of an event class."""
    count = len(field_names(event_class))
    return (count - 1, math.inf) if event_class.COLLECTS_REST else (required_field_count(event_class), count)


def event_to_tuple(event: Event) -> RawEvent:
    """Return the tuple form of an event."""
    values = fields_of(event)
    if event.COLLECTS_REST:
        return (event.TAG, *values[:-1], *values[-1])
    return (event.TAG, *values)
