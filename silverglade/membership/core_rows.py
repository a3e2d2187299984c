"""A core's table of soft state, with flags for changes since daemons were last answered (design 4.3, 4.5)."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from .records import ATTRIBUTE_ROW, REPLICA_STATUS_ROW, REQUIREMENT_ROW, Rank, SoftStateRow
from .replicated_table import MAX_RANK_LENGTH, ReplicatedTable

BATCHED_KINDS = frozenset((ATTRIBUTE_ROW, REPLICA_STATUS_ROW, REQUIREMENT_ROW))
"""Kinds of rows that change often; in a large fleet their changes are batched before daemons are answered."""

VIEW_SUFFIX = " view"
"""Suffix of the key of the attribute with the view of control, whose changes are urgent."""


def _is_urgent(row: SoftStateRow) -> bool:
    return row.kind not in BATCHED_KINDS or row.key.endswith(VIEW_SUFFIX)


class CoreRows:
    """A core's table, and whether it has changed.

    :ivar table: the rows and their version vector.
    :ivar has_changed: whether a row or the version vector has changed.
    :ivar has_urgent_change: whether a changed row must be sent to daemons at once.
    """

    __slots__ = ("table", "has_changed", "has_urgent_change")

    def __init__(self, *, process_id: str) -> None:
        self.table = ReplicatedTable(process_id=process_id)
        self.has_changed = False
        self.has_urgent_change = False

    def publish(self, row: SoftStateRow, now: timedelta) -> None:
        """Insert a row that this core publishes; it is sent to daemons at once."""
        if self.table.insert(row, now):
            self.has_changed = self.has_urgent_change = True

    def publish_tombstone(self, row: SoftStateRow, now: timedelta, *, scope: str | None = None) -> None:
        """Replace a row by a tombstone.

        :param scope: the scope of the tombstone; None: that of the row.
        """
        rank = rank_of_tombstone(row.rank)
        self.publish(SoftStateRow(row.kind, row.key, rank, None, row.scope if scope is None else scope), now)

    def insert(self, rows: Iterable[SoftStateRow], now: timedelta) -> list[SoftStateRow]:
        """Insert rows that daemons publish.

        :returns: the rows that superseded what the table held.
        """
        return self._record_changes([row for row in rows if self.table.insert(row, now)])

    def merge(self, rows: Iterable[SoftStateRow], now: timedelta) -> list[SoftStateRow]:
        """Insert rows that another core sent.

        :returns: the rows that superseded what the table held.
        """
        return self._record_changes(self.table.merge(rows, now))

    def _record_changes(self, new: list[SoftStateRow]) -> list[SoftStateRow]:
        for row in new:
            self.has_changed = True
            if _is_urgent(row):
                self.has_urgent_change = True
        return new

    def clear_changes(self) -> None:
        """Reset the flags, once answers to daemons contain all changes."""
        self.has_changed = self.has_urgent_change = False


def rank_of_tombstone(rank: Rank) -> Rank:
    """Return the rank of a tombstone that supersedes a row of this rank."""
    return (*rank, 1)[:MAX_RANK_LENGTH]
