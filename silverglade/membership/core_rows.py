"""A core's table of soft state together with what became of it since the core last answered (design 4.3, 4.5)."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from .records import ATTRIBUTE_ROW, REPLICA_STATUS_ROW, REQUIREMENT_ROW, Rank, SoftStateRow
from .replicated_table import MAX_RANK_LENGTH, ReplicatedTable

CAN_WAIT = frozenset((ATTRIBUTE_ROW, REPLICA_STATUS_ROW, REQUIREMENT_ROW))
"""Kinds of rows that change often: those of a large fleet are collected before daemons are answered."""

VIEW_SUFFIX = " view"
"""Ends the key of the attribute that names the view of control, which does not wait."""


def _is_urgent(row: SoftStateRow) -> bool:
    return row.kind not in CAN_WAIT or row.key.endswith(VIEW_SUFFIX)


class CoreRows:
    """The table, and whether it has changed.

    :ivar table: the rows.
    :ivar has_changed: a row or the version vector is new.
    :ivar has_urgent_change: daemons are to be told of a new row at once.
    """

    __slots__ = ("table", "has_changed", "has_urgent_change")

    def __init__(self, *, process_id: str) -> None:
        self.table = ReplicatedTable(process_id=process_id)
        self.has_changed = False
        self.has_urgent_change = False

    def publish(self, row: SoftStateRow, now: timedelta) -> None:
        """Hold a row of this core's own."""
        if self.table.take(row, now):
            self.has_changed = self.has_urgent_change = True

    def publish_tombstone(self, row: SoftStateRow, now: timedelta, *, scope: str | None = None) -> None:
        """Say that what a row speaks of is gone.

        :param scope: of the tombstone, if it is not that of the row.
        """
        rank = rank_of_tombstone(row.rank)
        self.publish(SoftStateRow(row.kind, row.key, rank, None, row.scope if scope is None else scope), now)

    def take(self, rows: Iterable[SoftStateRow], now: timedelta) -> list[SoftStateRow]:
        """Hold rows that daemons publish.

        :returns: those that are new.
        """
        return self._noted([row for row in rows if self.table.take(row, now)])

    def merge(self, rows: Iterable[SoftStateRow], now: timedelta) -> list[SoftStateRow]:
        """Hold rows that another core passed on.

        :returns: those that are new.
        """
        return self._noted(self.table.merge(rows, now))

    def _noted(self, new: list[SoftStateRow]) -> list[SoftStateRow]:
        for row in new:
            self.has_changed = True
            if _is_urgent(row):
                self.has_urgent_change = True
        return new

    def mark_answered(self) -> None:
        """Note that answers bring all changes so far."""
        self.has_changed = self.has_urgent_change = False


def rank_of_tombstone(rank: Rank) -> Rank:
    """Return a rank above that of the row which a tombstone takes the place of."""
    return (*rank, 1)[:MAX_RANK_LENGTH]
