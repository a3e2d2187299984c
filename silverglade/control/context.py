"""What all transitions of a core work on: its settings, its state, random numbers, and the effects of the step under way."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ..runtime.components import Component
from ..runtime.effects import Effect, Post, Send, log_record
from ..runtime.events import AttributeSet, Event
from . import store
from .messages import Message, encode
from .state import CoreSettings, CoreState, StoreOnDisk
from .view import View, disks, members
from .view import epoch as epoch_of
from .writes import Continuation, DiskOperation, Outgoing, WholeStoreWritten


@dataclass(slots=True)
class CoreContext:
    """The base of a core's state machine.

    :ivar rng: the source of random numbers.
    :ivar effects: those of the step under way; empty between steps.
    """

    settings: CoreSettings
    state: CoreState
    rng: random.Random
    effects: list[Effect] = field(default_factory=list)

    @property
    def name(self) -> str:
        """The name of the core."""
        return self.settings.name

    @property
    def epoch(self) -> int:
        """The epoch of the newest view known to be chosen; 0 before the first."""
        return epoch_of(self.state.view)

    def others(self) -> list[str]:
        """Return every other core: those of the settings, of the view, and those met, sorted."""
        return sorted(({*self.settings.named, *disks(self.state.view)} | self.state.known_cores) - {self.name})

    def led_view(self) -> View | None:
        """Return the view if this core is its primary, with the disk that the view names."""
        view = self.state.view
        return view if view is not None and view.primary == self.settings.name and self.is_named_in(view) else None

    def open_view(self) -> View | None:
        """Return the view if this core is its primary and has opened it."""
        return self.led_view() if self.state.open_epoch and self.state.open_epoch == self.epoch else None

    def backed_view(self) -> View | None:
        """Return the view if this core is one of its backups, with the disk that the view names."""
        view = self.state.view
        return view if view is not None and self.name in view.backups and self.is_named_in(view) else None

    def is_named_in(self, view: View) -> bool:
        """Tell whether the view names this core with the disk that it has."""
        return (self.settings.name, self.settings.disk) in view.witnesses

    def send(self, to: str, message: Message) -> None:
        """Send a message to another daemon, or to this one."""
        self.effects.append(Send(to, encode(message)))

    def send_outgoing(self, outgoing: Outgoing) -> None:
        """Send a message that waited for a write."""
        self.send(outgoing.to, outgoing.message)

    def post(self, component: Component, event: Event) -> None:
        """Hand an event to a component of this daemon."""
        self.effects.append(Post(component, event))

    def log(self, event: str, **pairs: Any) -> None:
        """Write a line of the log."""
        self.effects.append(log_record(event, **pairs))

    def write(self, operations: Iterable[DiskOperation], continuation: Continuation | None, now: timedelta) -> None:
        """Begin a write to disk; `continuation` says what follows when it has ended."""
        self.effects.append(self.state.writes.begin(operations, continuation, now))

    def write_whole_store(self, now: timedelta) -> None:
        """Write a primary's whole store to disk anew, since an earlier write of it may have failed."""
        self.state.store_on_disk = StoreOnDisk.WRITING
        self.write(store.rewrite_all(self.state.store), WholeStoreWritten(self.epoch), now)

    def publish_view(self) -> None:
        """Let membership tell all daemons who holds control."""
        view = self.state.view
        if view is not None:
            self.post(Component.MEMBERSHIP, AttributeSet("view", (view.epoch, *members(view))))
