"""Effects that a component asks for (design 1.2): one class a kind, beside the tuple form that untyped components use.

Effects are never changed once they are made. `TAG` is the first word of the tuple form, in which effects leave the daemon
machine. It settles `Post`, `Broadcast` and `WakeAt` itself; all others go to I/O (server/ in a daemon, testbed/simulator/ in
tests), in the order in which they were returned.
"""

from __future__ import annotations

from collections.abc import Generator, Mapping
from datetime import timedelta
from typing import Any, ClassVar

from .events import Event, event_to_tuple
from .record import Record, fields_of

ZERO = timedelta(0)

IDLE = timedelta(days=1000000)
"""A `WakeAt` time that never comes: nothing is to be done until another event arrives."""

DiskOperation = tuple[Any, ...]
"""("put", table, key, value), ("del", table, key) or ("wipe", table)."""


class Effect(Record):
    """Base class of all effects.

    :cvar TAG: the first word of the tuple form.
    :cvar SPREADS_REST: the last field is a tuple that stands element by element in the tuple form.
    """

    TAG: ClassVar[str]
    SPREADS_REST: ClassVar[bool] = False


class Send(Effect):
    """Send a message to a daemon by its name, or to "@address" where its name is not known.

    :ivar body: the message's kind, then its fields.
    """

    TAG: ClassVar[str] = "send"
    to: str
    body: tuple[Any, ...]


class Post(Effect):
    """Hand an event to one component of this daemon, after the events that wait already."""

    TAG: ClassVar[str] = "post"
    component: str
    event: Event


class Broadcast(Effect):
    """Hand an event to every component of this daemon."""

    TAG: ClassVar[str] = "cast"
    event: Event


class WakeAt(Effect):
    """No `TimerFired` is needed before this time, unless another event comes first (design 1.5)."""

    TAG: ClassVar[str] = "due"
    time: timedelta


class LogRecord(Effect):
    """A line of the log: an event's name and its key=value pairs."""

    TAG: ClassVar[str] = "log"
    event: str
    pairs: tuple[tuple[str, Any], ...] = ()


class WriteToDisk(Effect):
    """Write these operations in one transaction and sync it; `DiskWriteCompleted` with the token follows."""

    TAG: ClassVar[str] = "disk"
    token: tuple[str, int]
    operations: tuple[DiskOperation, ...]


class SetPeerAddress(Effect):
    """Where a daemon listens for other daemons."""

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
    """A core that leaves is no longer needed and may end."""

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
    """Open a bare connection to a replica's machine; `ReachabilityTested` follows within `timeout`."""

    TAG: ClassVar[str] = "reach"
    __test__: ClassVar[bool] = False  # not a test case, whatever its name looks like
    replica: str
    address: str
    timeout: timedelta


class ReadWallClock(Effect):
    """Read the time of day; `WallClockRead` follows."""

    TAG: ClassVar[str] = "wall"


class SetLease(Effect):
    """Until when calls of a duty may be written, for whoever writes them (design 18).

    :ivar token: the fencing token; None: this daemon does not hold the lease.
    :ivar usable_until: None: nothing may be written.
    """

    TAG: ClassVar[str] = "lease"
    duty: str
    token: int | None
    usable_until: timedelta | None


class CallPlatform(Effect):
    """Call the platform as the holder of a duty; `PlatformCallEnded` follows (design 18).

    The call is written only while the lease that `SetLease` gave last has this token and may be used.

    :ivar call_id: names the call in its `PlatformCallEnded`.
    :ivar path_kind: what is called for, one of `Duty`; the adapter knows its path.
    :ivar body: in the product's own names; the adapter translates them.
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


class PassResponse(Effect):
    """Hand the response of this attempt to the client."""

    TAG: ClassVar[str] = "pass"
    request_id: str
    attempt: int


class CancelAttempt(Effect):
    """Give up an attempt; its response is not wanted any more."""

    TAG: ClassVar[str] = "drop"
    request_id: str
    attempt: int


class AnswerClient(Effect):
    """Answer a client with a status and a result code of our own.

    :ivar retry_after: when the client may come back, or None.
    """

    TAG: ClassVar[str] = "answer"
    request_id: str
    status: int
    retry_after: Any
    code: int


class BreakResponse(Effect):
    """Break a response off, so that the client does not take it for complete."""

    TAG: ClassVar[str] = "break"
    request_id: str


class ForgetReplica(Effect):
    """Close all connections to a replica that is gone."""

    TAG: ClassVar[str] = "forget"
    replica: str


class RenewConnections(Effect):
    """Use no idle connection to a replica again that was opened before now."""

    TAG: ClassVar[str] = "renew"
    replica: str


class SetClientLimits(Effect):
    """What clients may send from here on; None for the defaults."""

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
    """Break a dispatch off."""

    TAG: ClassVar[str] = "abort"
    dispatch_id: str


class TenantResult(Effect):
    """A part of what the client of a tenant's request is answered."""

    TAG: ClassVar[str] = "result"
    SPREADS_REST: ClassVar[bool] = True
    request_id: str
    kind: str
    details: tuple[Any, ...] = ()


class SetBackpressure(Effect):
    """Whether the replica's answer to a tenant's request is read on."""

    TAG: ClassVar[str] = "ease"
    request_id: str
    read_on: bool


def log_record(event: str, **pairs: Any) -> LogRecord:
    """A line of the log from keyword arguments."""
    return LogRecord(event, tuple(pairs.items()))


def to_tuple(effect: Effect | tuple[Any, ...]) -> tuple[Any, ...]:
    """The tuple form of an effect, and of an event within it. A tuple is returned as it is."""
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


# --- the tuple form, for components that are not typed yet


def start(generator: Generator[Any, Any, Any]) -> Generator[Any, Any, Any]:
    """Prime a component's generator."""
    generator.send(None)
    return generator


def to_milliseconds(duration: timedelta) -> int:
    """Whole milliseconds of a duration."""
    return int(duration / timedelta(milliseconds=1))


def milliseconds(number: float) -> timedelta:
    """A duration of so many milliseconds."""
    return timedelta(milliseconds=number)


def send(to: str, *body: Any) -> tuple[Any, ...]:
    """Tuple form of `Send`."""
    return ("send", to, body)


def post(part: str, *event: Any) -> tuple[Any, ...]:
    """Tuple form of `Post`."""
    return ("post", part, event)


def log(event: str, **pairs: Any) -> tuple[Any, ...]:
    """Tuple form of `LogRecord`."""
    return ("log", event, tuple(pairs.items()))
