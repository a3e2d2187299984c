"""All components of a daemon as one state machine without I/O (design 1.2).

`feed(now, event)` runs the components until none has an event left, and returns the effects that leave the daemon, in their order.
The daemon (server/daemon.py) and the simulator drive this same function. Which component hears what stands in the tables below.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from .. import __version__
from ..transport.message_schemas import is_valid_message, known_fields
from .components import Component
from .daemon_components import DaemonIdentity, build_components
from .effects import ZERO, Broadcast, Effect, Post, Send, WakeAt, log, to_tuple
from .events import (
    ApiCall,
    AttemptProgressed,
    AttributeSet,
    CallerDisconnected,
    ClientCaughtUp,
    ClientDisconnected,
    DaemonStateChanged,
    DiskWriteCompleted,
    DispatchProgressed,
    DrainStarted,
    EndpointListRead,
    Event,
    EventDecoder,
    ForwardingRequested,
    MessageReceived,
    PlatformCallEnded,
    ReachabilityTested,
    ReplicaProbed,
    ReplicaReportRead,
    SeedsChanged,
    ShutdownStarted,
    TenantRequestArrived,
    TimerFired,
    WallClockRead,
    event_to_tuple,
)
from .state_machine import MachineComponent

RawEvent = tuple[Any, ...]
RawEffect = tuple[Any, ...]

MESSAGE_RECEIVERS: dict[Component, tuple[str, ...]] = {
    Component.MEMBERSHIP: ("alive", "doubted"),
    Component.CORE_TABLE: ("told", "sync"),
    Component.ZONE_RELAY: ("told", "get", "sync"),
    Component.SLOT_LEASES: ("lease", "release", "renew"),
    Component.SHARD_OWNER: (
        "ask",
        "leased",
        "unleased",
        "offer",
        "claimed",
        "unclaimed",
        "adopted",
        "unadopted",
        "copied",
        "fin",
        "quit",
    ),
    Component.TENANT_INGRESS: ("grant", "deny", "moved", "hand", "left", "res", "more"),
    Component.ROUTER: ("load-ask", "load-told", "load-put", "load-read"),
    Component.UPDATER: ("news",),
    Component.OPERATOR_API: ("opr", "fenced"),
    Component.CONTROL: (
        "hb",
        "view",
        "prep",
        "acc",
        "prom",
        "accd",
        "nack",
        "snap",
        "snapok",
        "repl",
        "repd",
        "items",
        "pull",
        "get",
        "op",
        "fence",
    ),
    Component.CLAIM_FOLLOWER: ("claim", "mark", "adopt", "copy"),
    Component.USAGE_REPORTER: ("usage-put",),
    Component.USAGE_COUNTER: ("usage-got",),
}
"""Component -> the kinds of messages between daemons that it hears. Of components that hear one kind a daemon has one."""

CALL_RECEIVERS: dict[str, Component] = {
    "replica-put": Component.REPLICA_REGISTRY,
    "replica-leave": Component.REPLICA_REGISTRY,
    "platform": Component.REPLICA_REGISTRY,
    "trace": Component.TENANT_INGRESS,
    "head": Component.TENANT_INGRESS,
    "serving": Component.ROUTER,
}
"""Operation of the API -> the component that answers it; all others are the operator API's."""

EVENT_RECEIVERS: dict[str, tuple[Component, ...]] = {
    TenantRequestArrived.TAG: (Component.TENANT_INGRESS,),
    ClientDisconnected.TAG: (Component.TENANT_INGRESS,),
    DispatchProgressed.TAG: (Component.TENANT_INGRESS,),
    DrainStarted.TAG: (Component.TENANT_INGRESS,),
    ClientCaughtUp.TAG: (Component.TENANT_INGRESS,),
    ForwardingRequested.TAG: (Component.ROUTER,),
    AttemptProgressed.TAG: (Component.ROUTER,),
    ReachabilityTested.TAG: (Component.ROUTER,),
    ShutdownStarted.TAG: (Component.ROUTER, Component.USAGE_COUNTER),
    EndpointListRead.TAG: (Component.ENDPOINT_LIST,),
    ReplicaReportRead.TAG: (Component.ENDPOINT_LIST,),
    ReplicaProbed.TAG: (Component.SLOT_LEASES,),
    WallClockRead.TAG: (Component.USAGE_COUNTER, Component.USAGE_REPORTER),
    PlatformCallEnded.TAG: (Component.USAGE_REPORTER, Component.REPLICA_ORDERS),
    CallerDisconnected.TAG: (Component.OPERATOR_API,),
    DaemonStateChanged.TAG: (Component.MEMBERSHIP, Component.CONTROL),
    SeedsChanged.TAG: (Component.UPDATER, Component.CORE_TABLE),
}
"""Tag of an event from outside -> the components that hear it, where that depends on nothing else."""

TIMER_FIRED = event_to_tuple(TimerFired())

DECODE_OUTSIDE_EVENT = EventDecoder(
    (
        ApiCall,
        AttemptProgressed,
        CallerDisconnected,
        ClientCaughtUp,
        ClientDisconnected,
        DaemonStateChanged,
        DiskWriteCompleted,
        DispatchProgressed,
        DrainStarted,
        EndpointListRead,
        ForwardingRequested,
        MessageReceived,
        PlatformCallEnded,
        ReachabilityTested,
        ReplicaProbed,
        ReplicaReportRead,
        SeedsChanged,
        ShutdownStarted,
        TenantRequestArrived,
        TimerFired,
        WallClockRead,
    )
)
"""From the tuple form of an event from outside to its class; None for one of another form."""


class DaemonMachine:
    """A daemon without I/O.

    :param me: the daemon's name.
    :param life: the id of this process.
    :param addr: where it listens for other daemons.
    :param http: where it serves the product's own API.
    :param seeds: addresses of other daemons to ask first.
    :param cores: names of the cores that form the first view.
    :param opt: tuning (settings.py).
    :param disk: the id of its disk; empty: it is no core.
    :param saved: the tables on its disk.
    :param front: where clients' forwarded requests come in, or empty.
    :param lists: whether it reads the platform's endpoint list.
    :param tolerance: machines, zones, regions that may be lost at once (design 5.9).
    :param first: whether a core with an empty disk may help to form the first view (design 5.5).
    :ivar name: the daemon's.
    :ivar components: by their names.
    :ivar queue: (component, event) each, in the order in which they will be handled.
    """

    def __init__(
        self,
        *,
        me: str,
        life: str,
        zone: str,
        region: str,
        addr: str,
        http: str,
        seeds: Iterable[str],
        cores: tuple[str, ...],
        opt: Mapping[str, Any],
        rng: random.Random,
        disk: str = "",
        saved: Mapping[str, Mapping[str, Any]] | None = None,
        front: str = "",
        lists: bool = False,
        tolerance: tuple[int, int, int] = (1, 1, 1),
        first: bool = True,
    ) -> None:
        self.name = me
        identity = DaemonIdentity(name=me, process_id=life, zone=zone, region=region, peer_address=addr, http_address=http)
        self.components: dict[str, MachineComponent] = build_components(
            identity=identity,
            seeds=tuple(seeds),
            first_cores=cores,
            tuning=opt,
            rng=rng,
            disk=disk,
            saved=saved or {},
            serves_clients=bool(front),
            reads_endpoint_list=lists,
            tolerance=tolerance,
            may_form_first_view=first,
        )
        self._message_receivers: dict[str, Component] = {
            kind: component for component, kinds in MESSAGE_RECEIVERS.items() if component in self.components for kind in kinds
        }
        self._wake_at = dict.fromkeys(self.components, ZERO)
        """Component -> when it wants the next `TimerFired` (design 1.5)."""
        self.queue: deque[tuple[str, Event | RawEvent]] = deque()
        self.queue.append((Component.MEMBERSHIP, AttributeSet("version", __version__)))
        if front:
            self.queue.append((Component.MEMBERSHIP, AttributeSet("front", front)))

    def next_timer(self) -> timedelta:
        """Return when the next `TimerFired` is wanted."""
        return min(self._wake_at.values())

    def feed(self, now: timedelta, event: RawEvent) -> list[RawEffect]:
        """Handle one event, in tuple form, and return the effects that leave the daemon.

        :param now: on a monotonic clock.
        """
        receivers = self._receivers(now, event)
        if not receivers and event == TIMER_FIRED:
            return []
        is_message = event[0] == MessageReceived.TAG
        if not receivers or (is_message and not is_valid_message(event[2])):
            return [log("message-refused", sender=str(event[1:2])[:40], what=str(event)[:80])]
        if is_message:
            event = (*event[:2], known_fields(event[2]))
        typed_event = DECODE_OUTSIDE_EVENT(event) or event
        queue = self.queue
        queue.extend([(receiver, typed_event) for receiver in receivers])
        effects: list[RawEffect] = []
        while queue:
            name, queued_event = queue.popleft()
            component = self.components.get(name)
            if component is not None:
                self._wake_at[name] = ZERO
                for effect in component.handle(now, queued_event):
                    self._settle(name, effect, effects)
        return effects

    def _receivers(self, now: timedelta, event: RawEvent) -> tuple[str, ...]:
        """Return the components that hear an event from outside."""
        match event:
            case (TimerFired.TAG,):
                return tuple(component for component, wake_at in self._wake_at.items() if wake_at <= now)
            case (MessageReceived.TAG, _, (kind, *_)):
                return (self._message_receivers[kind],) if kind in self._message_receivers else ()
            case (DiskWriteCompleted.TAG, (component, _), _, _):
                return (component,)
            case (ApiCall.TAG, _, operation, _):
                return (CALL_RECEIVERS.get(operation, Component.OPERATOR_API),)
        return EVENT_RECEIVERS.get(event[0], ())

    def _settle(self, name: str, effect: Effect, effects: list[RawEffect]) -> None:
        """Settle an effect of the component `name`; one that leaves the daemon is appended to `effects` in tuple form."""
        if isinstance(effect, WakeAt):
            self._wake_at[name] = effect.time
        elif isinstance(effect, Post):
            self.queue.append((effect.component, effect.event))
        elif isinstance(effect, Broadcast):
            event = effect.event
            self.queue.extend([(receiver, event) for receiver in self.components])
        elif isinstance(effect, Send) and effect.to == self.name:
            heard_by = self._message_receivers.get(effect.body[0])
            if heard_by:
                self.queue.append((heard_by, MessageReceived(self.name, effect.body)))
        else:
            effects.append(to_tuple(effect))
