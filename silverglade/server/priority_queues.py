"""The events that wait for the daemon machine, in bounded queues by priority (design 1.3).

Control traffic never waits behind requests. At most one `TimerFired` waits, and goes before all else. A sender waits for room in its
own queue only.
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
    """The queues, in the order of their priority."""

    FIRST = "first"
    """What keeps the fleet together: heartbeats, views, updates, claims, leases, the disk, operators."""
    WORK = "work"
    """What daemons and replicas say of requests."""
    ADMISSION = "door"
    """Requests that clients bring; once it is full, further ones are refused at once."""


QUEUE_LENGTHS = {Queue.FIRST: 4096, Queue.WORK: 4096, Queue.ADMISSION: 256}

WORK_PER_ADMISSION = 4
"""So many events of `WORK` go for one of `ADMISSION`, where both wait."""

WORK_MESSAGES = frozenset(
    kind for component in (Component.TENANT_INGRESS, Component.SHARD_OWNER, Component.ROUTER) for kind in MESSAGE_RECEIVERS[component]
)

TIMER_FIRED = event_to_tuple(TimerFired())


def queue_for(kind: str) -> Queue:
    """Return the queue of a message between daemons; each has a connection of its own as well (design 3.1)."""
    return Queue.WORK if kind in WORK_MESSAGES else Queue.FIRST


class PriorityQueues:
    """What waits for the daemon machine. Events are kept in their tuple form."""

    def __init__(self) -> None:
        self._senders: dict[Queue, MemoryObjectSendStream[RawEvent]] = {}
        self._receivers: dict[Queue, MemoryObjectReceiveStream[RawEvent]] = {}
        for queue, length in QUEUE_LENGTHS.items():
            self._senders[queue], self._receivers[queue] = anyio.create_memory_object_stream[RawEvent](length)
        self._timer_fired = False
        self._arrived = anyio.Event()
        self._turn = 0

    def fire_timer(self) -> None:
        """Let `TimerFired` be the next event."""
        self._timer_fired = True
        self._arrived.set()

    async def send(self, event: Event | RawEvent, queue: Queue = Queue.FIRST) -> None:
        """Queue an event, waiting for room in its queue."""
        raw_event = event_to_tuple(event) if isinstance(event, Event) else event
        try:
            self._senders[queue].send_nowait(raw_event)
        except anyio.WouldBlock:
            self._arrived.set()
            await self._senders[queue].send(raw_event)
        self._arrived.set()

    async def on_message(self, sender: str, body: RawEvent) -> None:
        """Queue a message of another daemon."""
        await self.send((MessageReceived.TAG, sender, body), queue_for(body[0]))

    def admit(self, event: Event | RawEvent) -> None:
        """Queue a client's request, or the head of one.

        :raises OverloadedError: too many wait already.
        """
        raw_event = event_to_tuple(event) if isinstance(event, Event) else event
        try:
            self._senders[Queue.ADMISSION].send_nowait(raw_event)
        except anyio.WouldBlock:
            raise OverloadedError() from None
        self._arrived.set()

    def send_or_drop(self, event: Event) -> None:
        """Queue an event that may be lost; never waits."""
        with contextlib.suppress(anyio.WouldBlock):
            self._senders[Queue.FIRST].send_nowait(event_to_tuple(event))
            self._arrived.set()

    def next_event(self) -> RawEvent | None:
        """Return the event that comes next, or None."""
        if self._timer_fired:
            self._timer_fired = False
            return TIMER_FIRED
        self._turn = (self._turn + 1) % (WORK_PER_ADMISSION + 1)
        last = (Queue.WORK, Queue.ADMISSION) if self._turn else (Queue.ADMISSION, Queue.WORK)
        for queue in (Queue.FIRST, *last):
            try:
                return self._receivers[queue].receive_nowait()
            except anyio.WouldBlock:
                pass
        return None

    async def take(self) -> RawEvent:
        """Wait for the next event."""
        while (event := self.next_event()) is None:
            self._arrived = anyio.Event()
            await self._arrived.wait()
        return event
