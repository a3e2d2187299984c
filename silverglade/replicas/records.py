"""Records of tenants' replicas (design 7.1): what a replica declared, and what health checks measured.

Both travel as soft state, as arrays of their fields in the order given here; a later program may append fields.
"""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple


class ReplicaState(StrEnum):
    """What a health check said of a replica. Statuses hold the plain value."""

    READY = "ready"
    STARTING = "starting"
    LEAVING = "leaving"
    UNRESPONSIVE = "dark"  # it answers no health check


READY: str = ReplicaState.READY.value
"""The plain value that statuses hold, for loops over all replicas: reading a member of an enum takes its time."""


def _matches(row: Any, types: tuple[type, ...]) -> bool:
    """Whether a row from the network begins with fields of exactly these types."""
    return isinstance(row, tuple) and len(row) >= len(types) and all(type(value) is kind for value, kind in zip(row, types))


class ReplicaRecord(NamedTuple):
    """What a replica declared when it registered.

    :ivar name: the replica's id, unique in the fleet.
    :ivar incarnation: raised at each start of the replica.
    :ivar heartbeat: number of the record within the incarnation.
    :ivar address: HOST:PORT.
    :ivar kind: which requests it serves.
    :ivar homes: zones whose tenants it serves.
    :ivar prefixes: prompt prefixes that it keeps in its cache.
    :ivar slots: requests that it runs at once.
    :ivar is_leaving: it takes nothing new; never taken back within an incarnation.
    """

    name: str
    incarnation: int
    heartbeat: int
    address: str
    zone: str
    kind: str
    homes: tuple[str, ...]
    prefixes: tuple[str, ...]
    slots: int
    is_leaving: bool

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> ReplicaRecord:
        """A record from its array; fields of a later program are dropped."""
        return row if isinstance(row, cls) else cls(*row[: len(cls._fields)])

    @classmethod
    def parse(cls, row: Any) -> ReplicaRecord | None:
        """A record from a row of soft state, or None for one that is not well formed."""
        return cls.of(row) if _matches(row, _RECORD_TYPES) else None

    @property
    def version(self) -> tuple[int, int]:
        """(incarnation, heartbeat): the record with the higher one is the newer."""
        return self.incarnation, self.heartbeat

    def as_leaving(self) -> ReplicaRecord:
        """The same record, of a replica that takes nothing new."""
        return self._replace(is_leaving=True)

    def differs_from(self, other: ReplicaRecord) -> bool:
        """Whether anything but the heartbeat differs."""
        return self._replace(heartbeat=0) != other._replace(heartbeat=0)


_RECORD_TYPES = (str, int, int, str, str, str, tuple, tuple, int, bool)


class ReplicaStatus(NamedTuple):
    """What the holder of a replica's slot leases measured.

    :ivar name: the replica's id.
    :ivar incarnation: of the replica.
    :ivar lease_epoch: epoch of the holder of the slot leases.
    :ivar sequence: of the status within the epoch.
    :ivar state: a `ReplicaState` value, as a plain string.
    :ivar use: share of the replica's time that is used, 0 to 1.
    :ivar served: requests a second.
    :ivar running: requests that run.
    :ivar capacity: slots that may be leased.
    :ivar used: slots that are leased.
    """

    name: str
    incarnation: int
    lease_epoch: int
    sequence: int
    state: str
    use: float
    served: float
    running: int
    capacity: int
    used: int

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> ReplicaStatus:
        """A status from its array; fields of a later program are dropped."""
        return row if isinstance(row, cls) else cls(*row[: len(cls._fields)])

    @classmethod
    def parse(cls, row: Any) -> ReplicaStatus | None:
        """A status from a row of soft state, or None for one that is not well formed."""
        return cls.of(row) if _matches(row, _STATUS_TYPES) else None

    @property
    def rank(self) -> tuple[int, int, int]:
        """(incarnation, lease epoch, sequence): the status with the higher one is the newer."""
        return self.incarnation, self.lease_epoch, self.sequence


_STATUS_TYPES = (str, int, int, int, str, float, float, int, int, int)


class ReplicaEntry(NamedTuple):
    """All that a daemon knows of a replica: what it declared, its status if known, and when that was heard."""

    record: ReplicaRecord
    status: ReplicaStatus | None
    last_contact_at: timedelta | None

    @classmethod
    def of(cls, entry: tuple[Any, ...]) -> ReplicaEntry:
        """An entry from a tuple of arrays."""
        if isinstance(entry, cls):
            return entry
        record, status, last_contact_at = entry
        return cls(ReplicaRecord.of(record), ReplicaStatus.of(status) if status is not None else None, last_contact_at)
