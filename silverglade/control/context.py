"""What all transitions of a core's control part work on: settings, state, chance, and the effects of the step under way."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ..runtime.effects import log, post, send
from . import register as rg
from . import store
from .messages import Message, encode
from .state import CoreSettings, CoreState, StoreOnDisk
from .view import View
from .writes import Continuation, DiskOperation, Effect, Outgoing, WholeStoreWritten


@dataclass(slots=True)
class CoreContext:
    """A core at work. effects: those of the step under way; empty between steps."""

    settings: CoreSettings
    state: CoreState
    rng: random.Random
    effects: list[Effect] = field(default_factory=list)

    @property
    def me(self) -> str:
        """This core's name."""
        return self.settings.name

    @property
    def epoch(self) -> int:
        """The epoch of the newest view known to be chosen; 0 before the first."""
        return rg.epoch(self.state.view)

    def others(self) -> list[str]:
        """Every other core: those of the settings, of the view, and those met."""
        return sorted(({*self.settings.named, *rg.disks(self.state.view)} | self.state.met) - {self.me})

    def led_view(self) -> View | None:
        """The view, if this core is its primary, with the disk that it names."""
        view = self.state.view
        return view if view is not None and view.primary == self.settings.name and self.is_named_in(view) else None

    def open_view(self) -> View | None:
        """The view, if this core is its primary and has opened it."""
        return self.led_view() if self.state.open_epoch and self.state.open_epoch == self.epoch else None

    def backed_view(self) -> View | None:
        """The view, if this core is one of its backups, with the disk that it names."""
        view = self.state.view
        return view if view is not None and self.me in view.backups and self.is_named_in(view) else None

    def is_named_in(self, view: View) -> bool:
        """Does the view name this core with the disk that it has?"""
        return (self.settings.name, self.settings.disk) in view.witnesses

    def send(self, to: str, message: Message) -> None:
        """A message to another daemon, or to this one."""
        self.effects.append(send(to, *encode(message)))

    def send_outgoing(self, outgoing: Outgoing) -> None:
        """A message that waited for a write."""
        self.send(outgoing.to, outgoing.message)

    def post(self, part: str, *event: Any) -> None:
        """An event to a part of this daemon."""
        self.effects.append(post(part, *event))

    def log(self, event: str, **pairs: Any) -> None:
        """A line of the log."""
        self.effects.append(log(event, **pairs))

    def write(self, operations: Iterable[DiskOperation], continuation: Continuation | None, now: timedelta) -> None:
        """Begin a write; `continuation` says what follows when it has ended."""
        self.effects.append(self.state.writes.begin(operations, continuation, now))

    def write_whole_store(self, now: timedelta) -> None:
        """A primary's own store on disk, whole: an earlier write of it may have failed."""
        self.state.store_on_disk = StoreOnDisk.WRITING
        self.write(store.whole(self.state.store), WholeStoreWritten(self.epoch), now)

    def tell_view(self) -> None:
        """The roster tells everybody who holds control."""
        if self.state.view is not None:
            self.post("membership", "extra", "view", (self.state.view.epoch, *rg.members(self.state.view)))
