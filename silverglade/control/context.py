"""The context of all transitions of a core: its settings, state, random number generator, and the effects of the current step."""

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
from .disk_writes import Continuation, DiskOperation, Outgoing, WholeStoreWritten
from .messages import Message, encode
from .state import CoreSettings, CoreState, StoreOnDisk
from .view import View, disks, members
from .view import epoch as epoch_of


@dataclass(slots=True)
class CoreContext:
    """The base of a core's state machine.

    :ivar rng: the random number generator.
    :ivar effects: the effects of the current step; empty between steps.
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
        """The epoch of the newest view known to be chosen; 0 if there is none yet."""
        return epoch_of(self.state.view)

    def others(self) -> list[str]:
        """Return all other cores, sorted: those of the settings, those of the view, and those learnt from membership or heartbeats."""
        return sorted(({*self.settings.initial_cores, *disks(self.state.view)} | self.state.known_cores) - {self.name})

    def led_view(self) -> View | None:
        """Return the view if this core is its primary and still has the disk that the view names, else None."""
        view = self.state.view
        return view if view is not None and view.primary == self.settings.name and self.is_named_in(view) else None

    def open_view(self) -> View | None:
        """Return the view if this core is its primary and has opened it, else None."""
        return self.led_view() if self.state.open_epoch and self.state.open_epoch == self.epoch else None

    def backed_view(self) -> View | None:
        """Return the view if this core is one of its backups and still has the disk that the view names, else None."""
        view = self.state.view
        return view if view is not None and self.name in view.backups and self.is_named_in(view) else None

    def is_named_in(self, view: View) -> bool:
        """Return whether the view names this core with its present disk."""
        return (self.settings.name, self.settings.disk) in view.witnesses

    def send(self, to: str, message: Message) -> None:
        """Send a message to another daemon, or to this one."""
        self.effects.append(Send(to, encode(message)))

    def send_outgoing(self, outgoing: Outgoing) -> None:
        """Send a message that was deferred until a write completed."""
        self.send(outgoing.to, outgoing.message)

    def post(self, component: Component, event: Event) -> None:
        """Post an event to a component of this daemon."""
        self.effects.append(Post(component, event))

    def log(self, event: str, **pairs: Any) -> None:
        """Write a log record."""
        self.effects.append(log_record(event, **pairs))

    def write(self, operations: Iterable[DiskOperation], continuation: Continuation | None, now: timedelta) -> None:
        """Start a write to disk; `continuation` runs when it completes or fails."""
        self.effects.append(self.state.writes.begin(operations, continuation, now))

    def write_whole_store(self, now: timedelta) -> None:
        """Rewrite a primary's whole store on disk, since an earlier write may have failed."""
        self.state.store_on_disk = StoreOnDisk.REWRITING
        self.write(store.rewrite_all(self.state.store), WholeStoreWritten(self.epoch), now)

    def publish_view(self) -> None:
        """Publish the epoch and the members of the view, if there is one, to all daemons through membership."""
        view = self.state.view
        if view is not None:
            self.post(Component.MEMBERSHIP, AttributeSet("view", (view.epoch, *members(view))))
