"""Disk writes in progress and their continuations (design 5.4).

A continuation is a typed record, not a closure, so that a state with writes in progress can be copied and compared. core.py runs
it when the write has completed or failed.
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
"""Table on disk: values private to this core."""

STORE_TABLE = "book"
"""Table on disk: the replicated store."""

COMMITTED_TABLE = "shown"
"""Table on disk: the committed items, which may be sent to others."""

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
    "DiskWrites",
    "meta_puts",
]


class Outgoing(NamedTuple):
    """A message and its recipient."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendIfSynced:
    """Continuation of a write of the register or an epoch: send the message if the write succeeded."""

    outgoing: Outgoing


@dataclass(frozen=True, slots=True)
class WholeStoreWritten:
    """Continuation of a rewrite of the whole store in `epoch`.

    It records whether the store on disk is complete, and sends the message, if there is one, if the write succeeded.
    """

    epoch: int
    outgoing: Outgoing | None = None


@dataclass(frozen=True, slots=True)
class ChangeWrittenByPrimary:
    """Continuation of the primary's write of the change with this nonce: replicate it to the backups if the write succeeded."""

    nonce: int


@dataclass(frozen=True, slots=True)
class ChangeWrittenByBackup:
    """Continuation of a backup's write of a change: confirm it to the primary if the write succeeded."""

    outgoing: Outgoing


@dataclass(frozen=True, slots=True)
class EpochSealed:
    """Continuation of a write of the seal for the proposer's attempt with this nonce."""

    nonce: int


@dataclass(frozen=True, slots=True)
class CommittedItemsWritten:
    """Continuation of a write of the committed items up to this version; failed operations are repeated with the next write."""

    version: Version
    operations: tuple[DiskOperation, ...]


Continuation = CommittedItemsWritten | SendIfSynced | WholeStoreWritten | ChangeWrittenByPrimary | ChangeWrittenByBackup | EpochSealed


class WriteInProgress(NamedTuple):
    """The start time of a write, and its continuation."""

    started_at: timedelta
    continuation: Continuation | None


@dataclass(slots=True)
class DiskWrites:
    """The writes in progress, by number, and whether this core is eligible as a member of a view.

    A core with a slow, full or failing disk is not eligible, nor is one that is leaving (SIGTERM), so that it is replaced before it
    exits.

    :ivar tuning: time settings, shared by all components and never written here.
    :ivar last: number of the newest write.
    :ivar is_disk_writable: whether the disk completes writes in time.
    :ivar leaving: whether this daemon is shutting down.
    :ivar probed_at: when a disk that was not writable was last probed.
    """

    tuning: Mapping[str, Any]
    last: int = 0
    in_progress: dict[int, WriteInProgress] = field(default_factory=dict)
    is_disk_writable: bool = True
    leaving: bool = False
    probed_at: timedelta = ZERO

    @property
    def is_eligible(self) -> bool:
        """Whether this core may be a member of a view: its disk is writable and it is not leaving."""
        return self.is_disk_writable and not self.leaving

    def begin(self, operations: Iterable[DiskOperation], continuation: Continuation | None, now: timedelta) -> Effect:
        """Register a write; return the effect that starts it."""
        self.last += 1
        self.in_progress[self.last] = WriteInProgress(now, continuation)
        return WriteToDisk((Component.CONTROL.value, self.last), tuple(operations))

    def check(self, now: timedelta) -> list[Effect]:
        """Detect a write that takes too long, and probe a disk that is not writable; return the log and write effects.

        Called at each timer event.
        """
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
        """Record the end of a write; return its continuation and the log effects."""
        write = self.in_progress.pop(number, None)
        continuation = write.continuation if write else None
        if self.is_disk_writable == succeeded or succeeded and self.in_progress:
            return continuation, []
        self.is_disk_writable = succeeded
        return continuation, [log_record("disk-fit" if succeeded else "disk-fault")]


def meta_puts(**values: Any) -> list[DiskOperation]:
    """Return the disk operations that store these values in the table of this core's private values."""
    return [("put", META_TABLE, key, value) for key, value in values.items()]
