"""Effects that components return (design 1.2), one class for each kind, and helpers for their tuple form.

Effects are never modified after creation. `TAG` is the first element of the tuple form, in which the daemon machine returns effects.
The daemon machine handles `Post`, `Broadcast`, `WakeAt`, and a `Send` to its own daemon itself; all others are carried out by I/O
(server/ in a daemon, testbed/simulator/ in tests), in the order in which they were returned.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping
from datetime import timedelta
from typing import Any, ClassVar

from .events import Event, event_to_tuple
from .record import Record, fields_of

ZERO = timedelta(0)

NEVER = timedelta(days=1000000)
"""A `WakeAt` time that is never reached: the component has nothing to do until another event arrives."""

DiskOperation = tuple[Any, ...]
"""("put", table, key, value), ("del", table, key) or ("wipe", table)."""


class Effect(Record):
    """Base class of all effects.

    :cvar TAG: the first element of the tuple form.
    :cvar SPREADS_REST: whether the last field is a tuple whose elements are appended one by one to the tuple form.
    """

    TAG: ClassVar[str]
    SPREADS_REST: ClassVar[bool] = False


class Send(Effect):
    """Send a message to a daemon.

    :ivar to: the daemon's name, or "@address" if the name is not known.
    :ivar body: the message's kind, then its fields.
    """

    TAG: ClassVar[str] = "send"
    to: str
    body: tuple[Any, ...]


class Post(Effect):
    """Queue an event for one component of this daemon, after the events already queued."""

    TAG: ClassVar[str] = "post"
    component: str
    event: Event


class Broadcast(Effect):
    """Queue an event for every component of this daemon."""

    TAG: ClassVar[str] = "cast"
    event: Event


class WakeAt(Effect):
    """Do not deliver `TimerFired` before this time, unless the component handles another event first (design 1.5)."""

    TAG: ClassVar[str] = "due"
    time: timedelta


class LogRecord(Effect):
    """Write a log line: the event name and its key=value pairs."""

    TAG: ClassVar[str] = "log"
    event: str
    pairs: tuple[tuple[str, Any], ...] = ()


class WriteToDisk(Effect):
    """Apply these operations in one transaction and sync it to disk; `DiskWriteCompleted` with the same token follows."""

    TAG: ClassVar[str] = "disk"
    token: tuple[str, int]
    operations: tuple[DiskOperation, ...]


class SetPeerAddress(Effect):
    """Set the address at which a daemon listens for other daemons."""

    TAG: ClassVar[str] = "peer"
    daemon: str
    address: str


class Reply(Effect):
    """Answer an `ApiCall` with a result code (docs/faults.md) and fields."""

    TAG: ClassVar[str] = "reply"
    call_id: str
    code: int
    fields: Mapping[str, Any]


class AllowExit(Effect):
    """Allow a leaving core to exit: it is no longer needed."""

    TAG: ClassVar[str] = "released"


class ProbeReplica(Effect):
    """Health-check a tenants' replica; `ReplicaProbed` follows."""

    TAG: ClassVar[str] = "probe"
    replica: str
    incarnation: int
    address: str


class ReadEndpointList(Effect):
    """Read the platform's endpoint list; `EndpointListRead` follows."""

    TAG: ClassVar[str] = "list"


class ReadReplicaReport(Effect):
    """Health-check a replica of a service; `ReplicaReportRead` follows."""

    TAG: ClassVar[str] = "ask"
    replica: str
    address: str


class TestReachability(Effect):
    """Open a TCP connection to a replica's machine without sending anything; `ReachabilityTested` follows within `timeout`."""

    TAG: ClassVar[str] = "reach"
    __test__: ClassVar[bool] = False  # keeps pytest from collecting this class because of its name
    replica: str
    address: str
    timeout: timedelta


class ReadWallClock(Effect):
    """Read the wall clock; `WallClockRead` follows."""

    TAG: ClassVar[str] = "wall"


class SetLease(Effect):
    """Set the lease under which I/O may send calls of a duty (design 18).

    :ivar token: the fencing token; None: this daemon does not hold the lease.
    :ivar usable_until: calls may be sent only before this time; None: no call may be sent.
    """

    TAG: ClassVar[str] = "lease"
    duty: str
    token: int | None
    usable_until: timedelta | None


class CallPlatform(Effect):
    """Call the platform as the holder of a duty; `PlatformCallEnded` follows (design 18).

    The call is sent only while the lease set by the last `SetLease` has this token and has not expired.

    :ivar call_id: identifies the call in its `PlatformCallEnded`.
    :ivar token: the fencing token of the lease.
    :ivar path_kind: the purpose of the call, one of `Duty`; the adapter maps it to a path.
    :ivar body: the fields under the product's own names; the adapter translates them.
    """

    TAG: ClassVar[str] = "call-platform"
    call_id: str
    duty: str
    token: int
    path_kind: str
    body: Mapping[str, Any]


class StartAttempt(Effect):
    """Send a client's request to a replica; `AttemptProgressed` follows."""

    TAG: ClassVar[str] = "try"
    request_id: str
    attempt: int
    target: Mapping[str, Any]


class ForwardResponse(Effect):
    """Forward the response of this attempt to the client."""

    TAG: ClassVar[str] = "pass"
    request_id: str
    attempt: int


class CancelAttempt(Effect):
    """Cancel an attempt whose response is no longer needed."""

    TAG: ClassVar[str] = "drop"
    request_id: str
    attempt: int


class AnswerClient(Effect):
    """Answer a client with an HTTP status and a result code of this product rather than a replica's response.

    :ivar retry_after: when the client may retry, or None.
    """

    TAG: ClassVar[str] = "answer"
    request_id: str
    status: int
    retry_after: Any
    code: int


class AbortResponse(Effect):
    """Abort a response in such a way that the client does not mistake it for complete."""

    TAG: ClassVar[str] = "break"
    request_id: str


class CloseReplicaConnections(Effect):
    """Close all connections to a replica that no longer exists."""

    TAG: ClassVar[str] = "forget"
    replica: str


class ExpireIdleConnections(Effect):
    """Do not reuse idle connections to a replica that were opened before now."""

    TAG: ClassVar[str] = "renew"
    replica: str


class SetClientLimits(Effect):
    """Set the limits on what clients may send; None restores the defaults."""

    TAG: ClassVar[str] = "limits"
    limits: Mapping[str, Any] | None


class Dispatch(Effect):
    """Send a tenant's request to a replica; `DispatchProgressed` follows."""

    TAG: ClassVar[str] = "dispatch"
    dispatch_id: str
    replica: str
    address: str
    facts: Mapping[str, Any]
    body: bytes


class AbortDispatch(Effect):
    """Abort the dispatch of a tenant's request."""

    TAG: ClassVar[str] = "abort"
    dispatch_id: str


class TenantResult(Effect):
    """Pass a part of the answer to the client of a tenant's request."""

    TAG: ClassVar[str] = "result"
    SPREADS_REST: ClassVar[bool] = True
    request_id: str
    kind: str
    details: tuple[Any, ...] = ()


class SetBackpressure(Effect):
    """Resume or suspend reading the replica's answer to a tenant's request."""

    TAG: ClassVar[str] = "ease"
    request_id: str
    should_read: bool


def log_record(event: str, **pairs: Any) -> LogRecord:
    """Return a `LogRecord` with the keyword arguments as its pairs."""
    return LogRecord(event, tuple(pairs.items()))


def to_tuple(effect: Effect | tuple[Any, ...]) -> tuple[Any, ...]:
    """Return the tuple form of an effect and of any event that it contains. A tuple is returned unchanged."""
    if isinstance(effect, tuple):
        return effect
    if isinstance(effect, Post):
        return (effect.TAG, effect.component, event_to_tuple(effect.event))
    if isinstance(effect, Broadcast):
        return (effect.TAG, event_to_tuple(effect.event))
    values = fields_of(effect)
    if effect.SPREADS_REST:
        return (effect.TAG, *values[:-1], *values[-1])
    return (effect.TAG, *values)


# --- helpers, and the tuple form for code that does not use the typed classes


def prime_generator(generator: Generator[Any, Any, Any]) -> Generator[Any, Any, Any]:
    """Advance a generator to its first `yield`, so that it can be sent events, and return it."""
    generator.send(None)
    return generator


def to_milliseconds(duration: timedelta) -> int:
    """Return a duration in milliseconds, truncated to an integer."""
    return int(duration / timedelta(milliseconds=1))


def milliseconds(number: float) -> timedelta:
    """Return a duration given in milliseconds."""
    return timedelta(milliseconds=number)


def send(to: str, *body: Any) -> tuple[Any, ...]:
    """Return the tuple form of `Send`."""
    return ("send", to, body)


def post(component: str, *event: Any) -> tuple[Any, ...]:
    """Return the tuple form of `Post`."""
    return ("post", component, event)


def log(event: str, **pairs: Any) -> tuple[Any, ...]:
    """Return the tuple form of `LogRecord`."""
    return ("log", event, tuple(pairs.items()))
