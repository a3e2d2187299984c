"""Records of tenants' replicas (design 7.1): what a replica declared, and what health checks measured.

Both are sent as soft state, as arrays of their fields in the order given here; later versions may append fields.
"""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple

from ..runtime.outside_input import MAX_COUNT


class ReplicaState(StrEnum):
    """State of a replica according to its health checks. Statuses hold the plain string."""

    READY = "ready"
    STARTING = "starting"
    LEAVING = "leaving"
    UNRESPONSIVE = "dark"  # answers no health check


READY: str = ReplicaState.READY.value
"""The plain string that statuses hold, for loops over all replicas: looking up an enum member is slow."""


def _matches(row: Any, types: tuple[type, ...]) -> bool:
    """Whether a row received from the network begins with fields of exactly these types."""
    return isinstance(row, tuple) and len(row) >= len(types) and all(type(value) is kind for value, kind in zip(row, types))


class ReplicaRecord(NamedTuple):
    """What a replica declared when it registered.

    :ivar name: the replica's id, unique in the fleet.
    :ivar incarnation: incremented at each start of the replica.
    :ivar heartbeat: sequence number of the record within the incarnation.
    :ivar address: HOST:PORT.
    :ivar kind: the kind of requests that it serves.
    :ivar homes: zones whose tenants it serves.
    :ivar prefixes: prompt prefixes that it keeps in its cache.
    :ivar slots: number of requests that it runs concurrently.
    :ivar is_leaving: whether it accepts no new work; never reset within an incarnation.
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
        """Return the record in an array; fields appended by later versions are dropped."""
        return row if isinstance(row, cls) else cls(*row[: len(cls._fields)])

    @classmethod
    def parse(cls, row: Any) -> ReplicaRecord | None:
        """Return the record in a row of soft state, or None if the row is malformed."""
        return cls.of(row) if _matches(row, _RECORD_TYPES) else None

    @property
    def version(self) -> tuple[int, int]:
        """(incarnation, heartbeat): the record with the higher version is newer."""
        return self.incarnation, self.heartbeat

    def as_leaving(self) -> ReplicaRecord:
        """Return a copy of the record with `is_leaving` set."""
        return self._replace(is_leaving=True)

    def differs_from(self, other: ReplicaRecord) -> bool:
        """Whether any field but the heartbeat differs."""
        return self._replace(heartbeat=0) != other._replace(heartbeat=0)


_RECORD_TYPES = (str, int, int, str, str, str, tuple, tuple, int, bool)


class ReplicaStatus(NamedTuple):
    """What the holder of a replica's slot leases measured.

    :ivar name: the replica's id.
    :ivar incarnation: incarnation of the replica.
    :ivar lease_epoch: epoch of the lease holder.
    :ivar sequence: sequence number of the status within the epoch.
    :ivar state: a `ReplicaState` value, as a plain string.
    :ivar use: utilization of the replica, 0 to 1.
    :ivar served: requests served per second.
    :ivar running: number of requests in progress.
    :ivar capacity: number of slots that may be leased.
    :ivar used: number of slots that count as used.
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
        """Return the status in an array; fields appended by later versions are dropped."""
        return row if isinstance(row, cls) else cls(*row[: len(cls._fields)])

    @classmethod
    def parse(cls, row: Any) -> ReplicaStatus | None:
        """Return the status in a row of soft state, or None if the row is malformed."""
        if not _matches(row, _STATUS_TYPES):
            return None
        status = cls.of(row)
        is_bounded = 0 <= status.use <= MAX_COUNT and 0 <= status.served <= MAX_COUNT and status.running <= MAX_COUNT
        return status if is_bounded else None

    @property
    def rank(self) -> tuple[int, int, int]:
        """(incarnation, lease epoch, sequence): the status with the higher rank is newer."""
        return self.incarnation, self.lease_epoch, self.sequence


_STATUS_TYPES = (str, int, int, int, str, float, float, int, int, int)


class ReplicaEntry(NamedTuple):
    """A replica's record, its status if known, and the time of the last evidence that the status is current."""

    record: ReplicaRecord
    status: ReplicaStatus | None
    last_contact_at: timedelta | None

    @classmethod
    def of(cls, entry: tuple[Any, ...]) -> ReplicaEntry:
        """Return an entry from a tuple (record, status, last contact) of arrays."""
        if isinstance(entry, cls):
            return entry
        record, status, last_contact_at = entry
        return cls(ReplicaRecord.of(record), ReplicaStatus.of(status) if status is not None else None, last_contact_at)
