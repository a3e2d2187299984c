"""The merged table of all replicas (design 7.1): records, statuses, leaving marks and forgotten replicas.

Every merge is monotonic, so daemons that receive the same rows in any order agree. Leaving is never reset within an incarnation.
"""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

from .records import ReplicaEntry, ReplicaRecord, ReplicaStatus

ANY_HEARTBEAT = 1 << 62
"""Above the heartbeat of every record: for a replica that was forgotten while only its leaving mark was known."""


class ForgottenReplica(NamedTuple):
    """A replica whose record was dropped.

    :ivar version: the newest known (incarnation, heartbeat).
    :ivar forgotten_at: when it was dropped.
    :ivar was_leaving: whether that incarnation was leaving.
    """

    version: tuple[int, int]
    forgotten_at: timedelta
    was_leaving: bool


class ReplicaTable:
    """One daemon's table of all replicas; each field is keyed by replica id.

    :ivar records: what replicas declared.
    :ivar statuses: the newest known status.
    :ivar last_contact_at: time of the last evidence that the status is current.
    :ivar leaving_incarnations: the newest incarnation known to be leaving.
    :ivar renewed_at: when the record last became newer, or the leaving mark became known.
    :ivar forgotten: replicas that were dropped, kept for another `forget` time so that outdated rows do not readmit them.
    """

    __slots__ = ("records", "statuses", "last_contact_at", "leaving_incarnations", "renewed_at", "forgotten")

    def __init__(self) -> None:
        self.records: dict[str, ReplicaRecord] = {}
        self.statuses: dict[str, ReplicaStatus] = {}
        self.last_contact_at: dict[str, timedelta] = {}
        self.leaving_incarnations: dict[str, int] = {}
        self.renewed_at: dict[str, timedelta] = {}
        self.forgotten: dict[str, ForgottenReplica] = {}

    def put(self, record: ReplicaRecord, now: timedelta) -> bool:
        """Merge a record.

        :returns: whether anything but the heartbeat changed.
        """
        name = record.name
        if name in self.forgotten and not self._readmit(record):
            return False
        old = self.records.get(name)
        if old is None or record.version > old.version:
            self.renewed_at[name] = now
        if self.leaving_incarnations.get(name, 0) >= record.incarnation:
            record = record.as_leaving()  # the leaving mark arrived before the record
        if old is not None and record.incarnation == old.incarnation and (record.is_leaving or old.is_leaving):
            record = record.as_leaving()
            old_leaving = old.as_leaving()
            if record.heartbeat <= old.heartbeat and old_leaving != old:
                self.records[name] = old_leaving
                return True
        if old is not None and record.version <= old.version:
            return False
        self.records[name] = record
        return old is None or record.differs_from(old)

    def _readmit(self, record: ReplicaRecord) -> bool:
        """Readmit a forgotten replica, unless the record is an outdated one that other daemons have not forgotten yet.

        :returns: whether it was readmitted.
        """
        forgotten = self.forgotten[record.name]
        if record.version <= forgotten.version:
            return False
        if record.incarnation == forgotten.version[0] and forgotten.was_leaving:
            self.leaving_incarnations[record.name] = record.incarnation
        del self.forgotten[record.name]
        return True

    def put_status(self, status: ReplicaStatus, now: timedelta) -> bool:
        """Merge a status.

        :returns: whether the replica's state changed.
        """
        old = self.statuses.get(status.name)
        if old is not None and status.rank <= old.rank:
            return False
        self.statuses[status.name] = status
        self.last_contact_at[status.name] = now
        return old is None or old.state != status.state

    def mark_leaving(self, name: str, incarnation: int, now: timedelta) -> bool:
        """Mark an incarnation of a replica as leaving.

        :returns: whether that was not known before.
        """
        if self.leaving_incarnations.get(name, 0) >= incarnation:
            return False
        if name in self.forgotten and incarnation <= self.forgotten[name].version[0]:
            return False
        self.leaving_incarnations[name] = incarnation
        self.renewed_at.setdefault(name, now)
        record = self.records.get(name)
        if record is not None and record.incarnation <= incarnation and not record.is_leaving:
            self.records[name] = record.as_leaving()
        return True

    def known_version(self, name: str) -> tuple[int, int] | None:
        """Return the newest known (incarnation, heartbeat) of a replica, even a forgotten one; None for an unknown name."""
        record = self.records.get(name)
        if record is not None:
            return record.version
        return self.forgotten[name].version if name in self.forgotten else None

    def renew_all(self, now: timedelta) -> None:
        """Treat every replica as renewed now."""
        for name in self.renewed_at:
            self.renewed_at[name] = now

    def not_renewed_for(self, duration: timedelta, now: timedelta) -> list[str]:
        """Return the replicas that were not renewed for longer than `duration`."""
        return [name for name, renewed_at in self.renewed_at.items() if now - renewed_at > duration]

    def forget(self, name: str, now: timedelta) -> tuple[ForgottenReplica, ReplicaStatus | None]:
        """Remove a replica, keeping only a note in `forgotten`.

        :returns: that note, and the replica's last status.
        """
        record = self.records.pop(name, None)
        if record is not None:
            forgotten = ForgottenReplica(record.version, now, record.is_leaving)
        else:
            forgotten = ForgottenReplica((self.leaving_incarnations[name], ANY_HEARTBEAT), now, True)
        self.forgotten[name] = forgotten
        self.last_contact_at.pop(name, None)
        self.leaving_incarnations.pop(name, None)
        self.renewed_at.pop(name, None)
        return forgotten, self.statuses.pop(name, None)

    def drop_forgotten_before(self, cutoff: timedelta) -> None:
        """Remove the notes of replicas that were forgotten before the cutoff."""
        for name in [name for name, forgotten in self.forgotten.items() if forgotten.forgotten_at < cutoff]:
            del self.forgotten[name]

    def entries(self) -> dict[str, ReplicaEntry]:
        """Return an entry for every registered replica, with its status if that is of the same incarnation."""
        return {
            name: ReplicaEntry(record, self._current_status(record), self.last_contact_at.get(name))
            for name, record in self.records.items()
        }

    def _current_status(self, record: ReplicaRecord) -> ReplicaStatus | None:
        status = self.statuses.get(record.name)
        return status if status is not None and status.incarnation == record.incarnation else None
