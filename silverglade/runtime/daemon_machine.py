"""All components of a daemon as one state machine without I/O (design 1.2).

`feed(now, event)` runs the components until no event is queued, and returns the effects to be carried out by I/O, in order.
The daemon (server/daemon.py) and the simulator both drive this function. The tables below define which component receives which
message, API call or event.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from .. import __version__
from ..transport.message_schemas import is_valid_message, strip_unknown_fields
from .components import Component
from .daemon_components import DaemonIdentity, build_components
from .effects import ZERO, Broadcast, Effect, Post, Send, WakeAt, log, to_tuple
from .events import (
    ApiCall,
    AttemptProgressed,
    AttributeSet,
    CallerDisconnected,
    ClientDisconnected,
    ClientReadProgressed,
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
"""Component -> the kinds of messages from other daemons that it receives.

Two components may list the same kind, but no daemon has both of them.
"""

CALL_RECEIVERS: dict[str, Component] = {
    "replica-put": Component.REPLICA_REGISTRY,
    "replica-leave": Component.REPLICA_REGISTRY,
    "platform": Component.REPLICA_REGISTRY,
    "trace": Component.TENANT_INGRESS,
    "head": Component.TENANT_INGRESS,
    "serving": Component.ROUTER,
    "certain": Component.ROUTER,
}
"""API operation -> the component that answers it; the operator API answers all others."""

EVENT_RECEIVERS: dict[str, tuple[Component, ...]] = {
    TenantRequestArrived.TAG: (Component.TENANT_INGRESS,),
    ClientDisconnected.TAG: (Component.TENANT_INGRESS,),
    DispatchProgressed.TAG: (Component.TENANT_INGRESS,),
    DrainStarted.TAG: (Component.TENANT_INGRESS,),
    ClientReadProgressed.TAG: (Component.TENANT_INGRESS,),
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
"""Tag of an external event -> the components that receive it, for events whose receivers depend on the tag alone."""

TIMER_FIRED = event_to_tuple(TimerFired())

DECODE_OUTSIDE_EVENT = EventDecoder(
    (
        ApiCall,
        AttemptProgressed,
        CallerDisconnected,
        ClientReadProgressed,
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
"""Decodes the tuple form of an external event; returns None for a tuple that matches no event class."""


class DaemonMachine:
    """All state machines of a daemon, without I/O.

    :param name: the daemon's name.
    :param process_id: the id of this process.
    :param peer_address: where the daemon listens for other daemons, HOST:PORT.
    :param http_address: where it serves the product's own API, HOST:PORT.
    :param seeds: addresses of the daemons to contact first.
    :param first_cores: names of the cores that form the first view.
    :param tuning: time settings and limits (settings.py).
    :param disk: the id of the daemon's disk; empty if the daemon is not a core.
    :param saved: the tables on its disk.
    :param forwarding_address: where clients' requests to be forwarded arrive; empty if the daemon forwards none.
    :param reads_endpoint_list: whether the daemon reads the platform's endpoint list.
    :param tolerance: numbers of machines, zones and regions that may be lost at once (design 5.9).
    :param may_form_first_view: whether a core with an empty disk may take part in forming the first view (design 5.5).
    :ivar name: the daemon's name.
    :ivar components: the components by name.
    :ivar queue: pending (component, event) pairs, in the order in which they will be handled.
    """

    def __init__(
        self,
        *,
        name: str,
        process_id: str,
        zone: str,
        region: str,
        peer_address: str,
        http_address: str,
        seeds: Iterable[str],
        first_cores: tuple[str, ...],
        tuning: Mapping[str, Any],
        rng: random.Random,
        disk: str = "",
        saved: Mapping[str, Mapping[str, Any]] | None = None,
        forwarding_address: str = "",
        reads_endpoint_list: bool = False,
        tolerance: tuple[int, int, int] = (1, 1, 1),
        may_form_first_view: bool = True,
    ) -> None:
        self.name = name
        identity = DaemonIdentity(
            name=name, process_id=process_id, zone=zone, region=region, peer_address=peer_address, http_address=http_address
        )
        self.components: dict[str, MachineComponent] = build_components(
            identity=identity,
            seeds=tuple(seeds),
            first_cores=first_cores,
            tuning=tuning,
            rng=rng,
            disk=disk,
            saved=saved or {},
            serves_clients=bool(forwarding_address),
            reads_endpoint_list=reads_endpoint_list,
            tolerance=tolerance,
            may_form_first_view=may_form_first_view,
        )
        self._message_receivers: dict[str, Component] = {
            kind: component for component, kinds in MESSAGE_RECEIVERS.items() if component in self.components for kind in kinds
        }
        self._tuning = tuning
        self._last_timer_at: timedelta | None = None
        self._wake_at = dict.fromkeys(self.components, ZERO)
        """Component -> time of its next `TimerFired` (design 1.5)."""
        self.queue: deque[tuple[str, Event | RawEvent]] = deque()
        self.queue.append((Component.MEMBERSHIP, AttributeSet("version", __version__)))
        if forwarding_address:
            self.queue.append((Component.MEMBERSHIP, AttributeSet("front", forwarding_address)))

    def next_timer(self) -> timedelta:
        """Return the earliest time at which a component needs a `TimerFired`."""
        return min(self._wake_at.values())

    def feed(self, now: timedelta, event: RawEvent) -> list[RawEffect]:
        """Handle one event in tuple form and return the effects to be carried out by I/O, in tuple form.

        An event without receivers, or a message that fails validation, is logged as "message-refused". After a pause of the process the
        timer fires first, whatever woke the process: no component handles an event before it knows of the pause (4.4).

        :param now: the time on a monotonic clock.
        """
        if event == TIMER_FIRED:
            self._last_timer_at = now
        elif self._is_timer_overdue(now):
            self._last_timer_at = now
            return [*self._handle(now, TIMER_FIRED), *self._handle(now, event)]
        return self._handle(now, event)

    def _is_timer_overdue(self, now: timedelta) -> bool:
        """Return whether the timer should have fired so long ago that the process must have been paused."""
        late = self._tuning["late"]
        if self._last_timer_at is None or now - self._last_timer_at <= late:
            return False
        return bool(now - self.next_timer() > late)

    def _handle(self, now: timedelta, event: RawEvent) -> list[RawEffect]:
        """Handle one event in tuple form; see `feed`."""
        receivers = self._receivers(now, event)
        if not receivers and event == TIMER_FIRED:
            return []
        is_message = event[0] == MessageReceived.TAG
        if not receivers or (is_message and not is_valid_message(event[2])):
            return [log("message-refused", sender=str(event[1:2])[:40], what=str(event)[:80])]
        if is_message:
            event = (*event[:2], strip_unknown_fields(event[2]))
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
                    self._apply_effect(name, effect, effects)
        return effects

    def _receivers(self, now: timedelta, event: RawEvent) -> tuple[str, ...]:
        """Return the names of the components that receive an external event."""
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

    def _apply_effect(self, name: str, effect: Effect, effects: list[RawEffect]) -> None:
        """Apply an effect of the component `name` within the daemon, or append it in tuple form to `effects` for I/O."""
        if isinstance(effect, WakeAt):
            self._wake_at[name] = effect.time
        elif isinstance(effect, Post):
            self.queue.append((effect.component, effect.event))
        elif isinstance(effect, Broadcast):
            event = effect.event
            self.queue.extend([(receiver, event) for receiver in self.components])
        elif isinstance(effect, Send) and effect.to == self.name:
            own_receiver = self._message_receivers.get(effect.body[0])
            if own_receiver:
                self.queue.append((own_receiver, MessageReceived(self.name, effect.body)))
        else:
            effects.append(to_tuple(effect))
