"""State machines without I/O, and how a daemon drives them (design 1.2).

A component of a daemon is a state machine: `step(now, event)` takes a typed event (events.py) and returns typed effects
(effects.py). It never reads a clock, a socket or a file. `now` is a timedelta on a monotonic clock.

`MachineComponent` adapts such a machine to the tuple form in which the daemon machine passes events and effects between
components: the event's tag first, then its fields. It is the only place that knows both forms.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable
from datetime import timedelta
from typing import Any, Protocol, runtime_checkable

from .effects import Effect, to_tuple
from .events import Event, EventDecoder


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


class MachineComponent(Generator[tuple[Any, ...], "tuple[timedelta, tuple[Any, ...]] | None", None]):
    """A typed state machine in the form that the daemon machine drives: primed with None, then sent (now, event tuple).

    :ivar machine: the typed state machine, open to inspection by the test bed.
    """

    def __init__(self, machine: StateMachine) -> None:
        self.machine = machine
        self._decode = EventDecoder(machine.handled_events)
        self._waits_for_start = isinstance(machine, StartableStateMachine)

    def send(self, value: tuple[timedelta, tuple[Any, ...]] | None, /) -> tuple[Any, ...]:
        """Handle one event in tuple form and return its effects in tuple form."""
        if value is None:
            return ()
        now, raw_event = value
        if self._waits_for_start and isinstance(self.machine, StartableStateMachine):
            self._waits_for_start = False
            self.machine.on_start(now)
        event = self._decode(raw_event)
        if event is None:
            return ()
        return tuple([to_tuple(effect) for effect in self.machine.step(now, event)])

    def throw(self, typ: Any, val: Any = None, tb: Any = None, /) -> Any:
        """Raise at once; a state machine catches nothing from outside."""
        raise typ if val is None else val
