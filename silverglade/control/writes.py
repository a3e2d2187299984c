"""A core's writes under way, and what follows each of them (design 5.4).

What follows is a typed record, not a closure, so that a state with writes under way can be copied and compared. core.py
carries each of them out when its write has ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple

from ..runtime.effects import ZERO, log, to_milliseconds
from .messages import Message, Version

Effect = tuple[Any, ...]
DiskOperation = tuple[Any, ...]


class Outgoing(NamedTuple):
    """A message and whom it goes to."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class TellIfSynced:
    """The register or an epoch was written: the message may go if that succeeded."""

    outgoing: Outgoing


@dataclass(frozen=True, slots=True)
class WholeStoreWritten:
    """The whole store was written under a view of `epoch`: it is whole or torn; the message goes if it succeeded."""

    epoch: int
    outgoing: Outgoing | None = None


@dataclass(frozen=True, slots=True)
class ChangeWrittenByPrimary:
    """The primary's own write of the change with this nonce: it goes to the backups if that succeeded."""

    nonce: int


@dataclass(frozen=True, slots=True)
class ChangeWrittenByBackup:
    """A backup's write of a change: it tells the primary if that succeeded."""

    outgoing: Outgoing


@dataclass(frozen=True, slots=True)
class EpochSealed:
    """The seal was written that the seeker's attempt with this nonce waits for."""

    nonce: int


@dataclass(frozen=True, slots=True)
class ShownWritten:
    """Shown items up to this version were written; what failed goes with the next write."""

    version: Version
    operations: tuple[DiskOperation, ...]


Continuation = ShownWritten | TellIfSynced | WholeStoreWritten | ChangeWrittenByPrimary | ChangeWrittenByBackup | EpochSealed


class WriteUnderWay(NamedTuple):
    """When a write began, and what follows it."""

    begun: timedelta
    continuation: Continuation | None


@dataclass(slots=True)
class Writes:
    """The writes under way by number, and whether the disk takes them: slow, full or failing it does not.

    A core that leaves (SIGTERM) says the same of itself, so that it is replaced before it is gone.
    """

    tuning: Mapping[str, Any]
    last: int = 0
    under_way: dict[int, WriteUnderWay] = field(default_factory=dict)
    disk_able: bool = True
    leaving: bool = False
    tried_at: timedelta = ZERO

    @property
    def fit(self) -> bool:
        """May this core be a member of a view, as far as its disk goes?"""
        return self.disk_able and not self.leaving

    def begin(self, operations: Iterable[DiskOperation], continuation: Continuation | None, now: timedelta) -> Effect:
        """-> the effect that starts a write."""
        self.last += 1
        self.under_way[self.last] = WriteUnderWay(now, continuation)
        return ("disk", ("control", self.last), tuple(operations))

    def check(self, now: timedelta) -> list[Effect]:
        """-> effects: a log line when a write has taken too long, a trial write of a disk that was unfit."""
        stall = self.tuning["disk_stall"]
        effects = []
        if self.disk_able and any(now - write.begun > stall for write in self.under_way.values()):
            self.disk_able = False
            effects.append(log("disk-stalled"))
        if not self.disk_able and not self.under_way and now - self.tried_at > stall:
            self.tried_at = now
            effects.append(self.begin(keep(alive=to_milliseconds(now)), None, now))
        return effects

    def ended(self, number: int, ok: bool) -> tuple[Continuation | None, list[Effect]]:
        """-> what follows the write, and effects."""
        write = self.under_way.pop(number, None)
        continuation = write.continuation if write else None
        if self.disk_able == ok or ok and self.under_way:
            return continuation, []
        self.disk_able = ok
        return continuation, [log("disk-fit" if ok else "disk-fault")]


def keep(**values: Any) -> list[DiskOperation]:
    """The disk operations that keep these values of the table "meta"."""
    return [("put", "meta", key, value) for key, value in values.items()]
