"""The writes to disk under way, and what follows each of them (design 5.4).

What follows is a typed record, not a closure, so that a state with writes under way can be copied and compared. core.py
carries it out when the write has ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple

from ..runtime.components import Component
from ..runtime.effects import ZERO, DiskOperation, Effect, WriteToDisk, log_record, to_milliseconds
from .messages import Message
from .replicated_state import Version

META_TABLE = "meta"
"""Table on disk: values of this core alone."""

STORE_TABLE = "book"
"""Table on disk: the store."""

COMMITTED_TABLE = "shown"
"""Table on disk: the committed items, which may be told to others."""

__all__ = [
    "COMMITTED_TABLE",
    "META_TABLE",
    "STORE_TABLE",
    "ChangeWrittenByBackup",
    "ChangeWrittenByPrimary",
    "CommittedItemsWritten",
    "Continuation",
    "DiskOperation",
    "EpochSealed",
    "Outgoing",
    "SendIfSynced",
    "WholeStoreWritten",
    "Writes",
    "meta_puts",
]


class Outgoing(NamedTuple):
    """A message and whom it goes to."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendIfSynced:
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
class CommittedItemsWritten:
    """Shown items up to this version were written; what failed goes with the next write."""

    version: Version
    operations: tuple[DiskOperation, ...]


Continuation = CommittedItemsWritten | SendIfSynced | WholeStoreWritten | ChangeWrittenByPrimary | ChangeWrittenByBackup | EpochSealed


class WriteUnderWay(NamedTuple):
    """When a write began, and what follows it."""

    started_at: timedelta
    continuation: Continuation | None


@dataclass(slots=True)
class Writes:
    """The writes under way by number, and whether the disk takes them: slow, full or failing it does not.

    A core that leaves (SIGTERM) says the same of itself, so that it is replaced before it is gone.

    :ivar tuning: time settings, shared by all components and never written here.
    :ivar last: number of the newest write.
    :ivar disk_able: whether the disk takes writes in time.
    :ivar leaving: whether this daemon is about to end.
    :ivar tried_at: when a disk that took none was last tried.
    """

    tuning: Mapping[str, Any]
    last: int = 0
    in_progress: dict[int, WriteUnderWay] = field(default_factory=dict)
    is_disk_writable: bool = True
    leaving: bool = False
    probed_at: timedelta = ZERO

    @property
    def is_eligible(self) -> bool:
        """Tell whether this core may be a member of a view: its disk takes writes, and it does not leave."""
        return self.is_disk_writable and not self.leaving

    def begin(self, operations: Iterable[DiskOperation], continuation: Continuation | None, now: timedelta) -> Effect:
        """Return the effect that starts a write."""
        self.last += 1
        self.in_progress[self.last] = WriteUnderWay(now, continuation)
        return WriteToDisk((Component.CONTROL.value, self.last), tuple(operations))

    def check(self, now: timedelta) -> list[Effect]:
        """Return a log line when a write has taken too long, and a trial write to a disk that took none."""
        stall = self.tuning["disk_stall"]
        effects: list[Effect] = []
        if self.is_disk_writable and any(now - write.started_at > stall for write in self.in_progress.values()):
            self.is_disk_writable = False
            effects.append(log_record("disk-stalled"))
        if not self.is_disk_writable and not self.in_progress and now - self.probed_at > stall:
            self.probed_at = now
            effects.append(self.begin(meta_puts(alive=to_milliseconds(now)), None, now))
        return effects

    def complete(self, number: int, succeeded: bool) -> tuple[Continuation | None, list[Effect]]:
        """Take in the end of a write; return what follows it, and effects."""
        write = self.in_progress.pop(number, None)
        continuation = write.continuation if write else None
        if self.is_disk_writable == succeeded or succeeded and self.in_progress:
            return continuation, []
        self.is_disk_writable = succeeded
        return continuation, [log_record("disk-fit" if succeeded else "disk-fault")]


def meta_puts(**values: Any) -> list[DiskOperation]:
    """Return the disk operations that keep these values of this core."""
    return [("put", META_TABLE, key, value) for key, value in values.items()]
