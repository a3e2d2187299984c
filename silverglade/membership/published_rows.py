"""The rows of soft state that a daemon itself publishes, and when each is sent again (design 4.1)."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from .records import ALL_CORES, MEMBER_ROW, QUERIED_CORE_ROW, Rank, RowKey
from .replicated_table import ReplicatedTable


class PublishedRow(NamedTuple):
    """A row as this daemon last published it."""

    rank: Rank
    value: Any
    scope: str


class PublishedRows:
    """The rows that this daemon publishes, until its table shows that the cores hold them.

    :ivar rows: by kind and key.
    """

    __slots__ = ("rows", "_own_record", "_sent_at", "_tuning")

    def __init__(self, *, name: str, tuning: Mapping[str, Any]) -> None:
        self.rows: dict[RowKey, PublishedRow] = {}
        self._own_record: RowKey = (MEMBER_ROW, name)
        self._sent_at: dict[RowKey, timedelta] = {}
        self._tuning = tuning

    @property
    def own_record(self) -> PublishedRow:
        """The row with this daemon's member record."""
        return self.rows[self._own_record]

    def publish(self, kind: str, key: str, rank: Rank, value: Any, scope: str = "") -> None:
        """Publish a row; it is due to be sent at once."""
        self.rows[kind, key] = PublishedRow(rank, value, scope)
        self._sent_at.pop((kind, key), None)

    def discard(self, kind: str, key: str) -> None:
        """Publish a row no longer, without a tombstone."""
        self.rows.pop((kind, key), None)

    def discard_kinds(self, *kinds: str) -> None:
        """Publish no row of these kinds any longer, without tombstones."""
        for row_key in [row_key for row_key in self.rows if row_key[0] in kinds]:
            del self.rows[row_key]

    def has_unsent(self) -> bool:
        """Whether a row was never sent."""
        return any(row_key not in self._sent_at for row_key in self.rows)

    def take_due(self, now: timedelta, table: ReplicatedTable, *, all_rows: bool = False) -> tuple[tuple[Any, ...], ...]:
        """Return the rows to be sent now, as arrays, and note that they were sent.

        :param table: this daemon's table; a row that it holds has reached the cores.
        :param all_rows: send all, also those that were sent a moment ago or are held by the cores.
        """
        due = []
        for row_key, row in list(self.rows.items()):
            if not all_rows and (self._is_settled(row_key, row, table, now) or self._was_sent_lately(row_key, now)):
                continue
            self._sent_at[row_key] = now
            due.append((*row_key, *row))
        return tuple(due)

    def _is_settled(self, row_key: RowKey, row: PublishedRow, table: ReplicatedTable, now: timedelta) -> bool:
        """Whether a row need not be sent again; one that is outranked, or gone for good, is published no longer."""
        held = table.rows.get(row_key)
        if row_key == self._own_record:
            return held is not None and held.rank == row.rank and held.value == row.value
        if held is None:
            return row.scope == ALL_CORES and row_key in self._sent_at and self._is_sent_to_cores(row_key, row, now)
        if held.rank < row.rank:
            return False
        if held.rank > row.rank or row.value is None:
            del self.rows[row_key]
        return True

    def _is_sent_to_cores(self, row_key: RowKey, row: PublishedRow, now: timedelta) -> bool:
        """The same for a row for cores alone, of which they send nothing back: it is sent from time to time, a tombstone a few times."""
        since_sent = now - self._sent_at[row_key]
        if row.value is None and since_sent > self._tuning["gone"]:
            del self.rows[row_key]
        kind, _ = row_key
        return since_sent < self._tuning["gone"] or kind == QUERIED_CORE_ROW

    def _was_sent_lately(self, row_key: RowKey, now: timedelta) -> bool:
        sent_at = self._sent_at.get(row_key)
        return sent_at is not None and now - sent_at < self._tuning["settle"]
