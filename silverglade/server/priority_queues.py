"""Bounded priority queues of the events for the daemon machine (design 1.3).

Control traffic never waits behind requests. At most one `TimerFired` is pending, and it precedes all other events. A sender waits
only while the queue that it sends to is full.
"""

from __future__ import annotations

import contextlib
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import anyio

from ..runtime.components import Component
from ..runtime.daemon_machine import MESSAGE_RECEIVERS
from ..runtime.errors import OverloadedError
from ..runtime.events import Event, MessageReceived, TimerFired, event_to_tuple

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

RawEvent = tuple[Any, ...]


class Queue(StrEnum):
    """The queues, in order of priority."""

    CONTROL = "first"
    """Control traffic: heartbeats, views, updates, claims, leases, disk results, operators' calls."""
    WORK = "work"
    """Messages and results of daemons and replicas about requests in progress."""
    ADMISSION = "door"
    """New requests from clients; refused immediately while the queue is full."""


QUEUE_LENGTHS = {Queue.CONTROL: 4096, Queue.WORK: 4096, Queue.ADMISSION: 256}

WORK_PER_ADMISSION = 4
"""Events taken from `WORK` for each one from `ADMISSION` while both queues hold events."""

WORK_MESSAGES = frozenset(
    kind for component in (Component.TENANT_INGRESS, Component.SHARD_OWNER, Component.ROUTER) for kind in MESSAGE_RECEIVERS[component]
)

TIMER_FIRED = event_to_tuple(TimerFired())


def queue_for(kind: str) -> Queue:
    """Return the queue for a kind of message between daemons; each queue also has its own connection (design 3.1)."""
    return Queue.WORK if kind in WORK_MESSAGES else Queue.CONTROL


class PriorityQueues:
    """The pending events of the daemon machine, stored as tuples."""

    def __init__(self) -> None:
        self._senders: dict[Queue, MemoryObjectSendStream[RawEvent]] = {}
        self._receivers: dict[Queue, MemoryObjectReceiveStream[RawEvent]] = {}
        for queue, length in QUEUE_LENGTHS.items():
            self._senders[queue], self._receivers[queue] = anyio.create_memory_object_stream[RawEvent](length)
        self._timer_fired = False
        self._arrived = anyio.Event()
        self._turn = 0

    def fire_timer(self) -> None:
        """Make `TimerFired` the next event."""
        self._timer_fired = True
        self._arrived.set()

    async def send(self, event: Event | RawEvent, queue: Queue = Queue.CONTROL) -> None:
        """Queue an event; waits while its queue is full."""
        raw_event = event_to_tuple(event) if isinstance(event, Event) else event
        try:
            self._senders[queue].send_nowait(raw_event)
        except anyio.WouldBlock:
            self._arrived.set()
            await self._senders[queue].send(raw_event)
        self._arrived.set()

    async def on_message(self, sender: str, body: RawEvent) -> None:
        """Queue a message received from another daemon."""
        await self.send((MessageReceived.TAG, sender, body), queue_for(body[0]))

    def admit(self, event: Event | RawEvent) -> None:
        """Queue a client's request, or the head of one, without waiting.

        :raises OverloadedError: the admission queue is full.
        """
        raw_event = event_to_tuple(event) if isinstance(event, Event) else event
        try:
            self._senders[Queue.ADMISSION].send_nowait(raw_event)
        except anyio.WouldBlock:
            raise OverloadedError() from None
        self._arrived.set()

    def send_or_drop(self, event: Event) -> None:
        """Queue an event without waiting; drop it if the queue is full."""
        with contextlib.suppress(anyio.WouldBlock):
            self._senders[Queue.CONTROL].send_nowait(event_to_tuple(event))
            self._arrived.set()

    def next_event(self) -> RawEvent | None:
        """Remove and return the next event, or return None if there is none."""
        if self._timer_fired:
            self._timer_fired = False
            return TIMER_FIRED
        self._turn = (self._turn + 1) % (WORK_PER_ADMISSION + 1)
        last = (Queue.WORK, Queue.ADMISSION) if self._turn else (Queue.ADMISSION, Queue.WORK)
        for queue in (Queue.CONTROL, *last):
            try:
                return self._receivers[queue].receive_nowait()
            except anyio.WouldBlock:
                pass
        return None

    async def take(self) -> RawEvent:
        """Wait for the next event, then remove and return it."""
        while (event := self.next_event()) is None:
            self._arrived = anyio.Event()
            await self._arrived.wait()
        return event
