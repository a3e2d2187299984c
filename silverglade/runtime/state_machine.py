"""State machines without I/O, and how a daemon drives them (design 1.2).

A component of a daemon is a state machine: `step(now, event)` takes a typed event (events.py) and returns typed effects
(effects.py). It never reads a clock, a socket or a file. `now` is a timedelta on a monotonic clock.

`MachineComponent` also takes and gives the tuple form of events and effects (the tag first, then the fields), in which they cross
the border of the daemon machine.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable
from datetime import timedelta
from typing import Any, Protocol, runtime_checkable

from .effects import Effect, to_tuple
from .events import Event, EventDecoder, RawEvent


class StateMachine(Protocol):
    """A component without I/O."""

    @property
    def handled_events(self) -> Iterable[type[Event]]:
        """The classes of the events that the machine handles; all others are not delivered to it."""

    def step(self, now: timedelta, event: Event) -> Iterable[Effect]:
        """Handle one event and return its effects, in the order in which they are to be carried out."""


@runtime_checkable
class StartableStateMachine(StateMachine, Protocol):
    """A component that wants to know when its daemon started."""

    def on_start(self, now: timedelta) -> None:
        """Note the time of the first event that reaches the component, one that it does not handle included."""


class MachineComponent(Generator[tuple[Any, ...], "tuple[timedelta, RawEvent] | None", None]):
    """A state machine as a component of a daemon. The daemon machine calls `handle`; simulators and tests may use `send`.

    :ivar machine: the state machine, open to inspection by the test bed.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine
        self._step = machine.step
        self._handled = frozenset(machine.handled_events)
        self._decode = EventDecoder(machine.handled_events)
        self._starts = machine if isinstance(machine, StartableStateMachine) else None

    def handle(self, now: timedelta, event: Event | RawEvent) -> Iterable[Effect]:
        """Let the machine handle an event, typed or in tuple form, and return its effects; none for one that it does not handle."""
        if self._starts is not None:
            self._starts.on_start(now)
            self._starts = None
        if type(event) in self._handled:
            return self._step(now, event)  # type: ignore[arg-type]
        if isinstance(event, tuple):
            decoded = self._decode(event)
            if decoded is not None:
                return self._step(now, decoded)
        return ()

    def send(self, value: tuple[timedelta, RawEvent] | None, /) -> tuple[Any, ...]:
        """Handle one event in tuple form and return its effects in tuple form; None, which primes a generator, does nothing."""
        if value is None:
            return ()
        now, event = value
        return tuple([to_tuple(effect) for effect in self.handle(now, event)])

    def throw(self, typ: Any, val: Any = None, tb: Any = None, /) -> Any:
        """Raise at once; a state machine catches nothing from outside."""
        raise typ if val is None else val
