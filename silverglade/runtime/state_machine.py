"""State machines without I/O, and how a daemon drives them (design 1.2).

A component of a daemon is a state machine: `step(now, event)` takes a typed event (events.py) and returns typed effects
(effects.py). It never reads a clock, a socket or a file. `now` is a timedelta on a monotonic clock.

`MachineComponent` also accepts and returns the tuple form of events and effects (the tag, then the fields), which is used at the
boundary of the daemon machine.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable
from datetime import timedelta
from typing import Any, Protocol, runtime_checkable

from .effects import Effect, to_tuple
from .events import Event, EventDecoder, RawEvent


class StateMachine(Protocol):
    """Interface of a component: a state machine without I/O."""

    @property
    def handled_events(self) -> Iterable[type[Event]]:
        """The event classes that the machine handles; other events are not delivered to it."""

    def step(self, now: timedelta, event: Event) -> Iterable[Effect]:
        """Handle one event and return its effects, in the order in which they are to be carried out."""


@runtime_checkable
class StartableStateMachine(StateMachine, Protocol):
    """A state machine that needs the time at which its daemon started."""

    def on_start(self, now: timedelta) -> None:
        """Record the time of the first event that reaches the component, whether or not the component handles that event."""


class MachineComponent(Generator[tuple[Any, ...], "tuple[timedelta, RawEvent] | None", None]):
    """Adapts a state machine to a component of a daemon. The daemon machine calls `handle`; simulators and tests may use `send`.

    :ivar machine: the state machine; public so that the test bed can inspect it.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine
        self._step = machine.step
        self._handled = frozenset(machine.handled_events)
        self._decode = EventDecoder(machine.handled_events)
        self._startable = machine if isinstance(machine, StartableStateMachine) else None

    def handle(self, now: timedelta, event: Event | RawEvent) -> Iterable[Effect]:
        """Pass an event, typed or in tuple form, to the machine and return its effects; an event that it does not handle has none."""
        if self._startable is not None:
            self._startable.on_start(now)
            self._startable = None
        if type(event) in self._handled:
            return self._step(now, event)  # type: ignore[arg-type]
        if isinstance(event, tuple):
            decoded = self._decode(event)
            if decoded is not None:
                return self._step(now, decoded)
        return ()

    def send(self, value: tuple[timedelta, RawEvent] | None, /) -> tuple[Any, ...]:
        """Handle one event in tuple form and return its effects in tuple form; None, which is sent to prime a generator, has no effects."""
        if value is None:
            return ()
        now, event = value
        return tuple([to_tuple(effect) for effect in self.handle(now, event)])

    def throw(self, typ: Any, val: Any = None, tb: Any = None, /) -> Any:
        """Raise the given exception at once; a state machine handles none that is thrown into it."""
        raise typ if val is None else val
