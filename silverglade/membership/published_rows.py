"""The rows of soft state that a daemon publishes itself, and the times at which they are resent (design 4.1)."""

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
    """The rows that this daemon publishes; a row is resent until the daemon's table shows that the cores hold it.

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
        """Add or replace a row; it is due at once."""
        self.rows[kind, key] = PublishedRow(rank, value, scope)
        self._sent_at.pop((kind, key), None)

    def discard(self, kind: str, key: str) -> None:
        """Stop publishing a row, without a tombstone."""
        self.rows.pop((kind, key), None)

    def discard_kinds(self, *kinds: str) -> None:
        """Stop publishing all rows of these kinds, without tombstones."""
        for row_key in [row_key for row_key in self.rows if row_key[0] in kinds]:
            del self.rows[row_key]

    def has_unsent(self) -> bool:
        """Whether a row was never sent."""
        return any(row_key not in self._sent_at for row_key in self.rows)

    def take_due(self, now: timedelta, table: ReplicatedTable, *, all_rows: bool = False) -> tuple[tuple[Any, ...], ...]:
        """Return the rows that are due, as arrays, and record that they were sent at `now`.

        :param table: this daemon's table; a row that it holds has reached the cores.
        :param all_rows: return all rows, including those that were sent recently or are held by the cores.
        """
        due = []
        for row_key, row in list(self.rows.items()):
            if not all_rows and (self._can_skip_resend(row_key, row, table, now) or self._was_sent_recently(row_key, now)):
                continue
            self._sent_at[row_key] = now
            due.append((*row_key, *row))
        return tuple(due)

    def _can_skip_resend(self, row_key: RowKey, row: PublishedRow, table: ReplicatedTable, now: timedelta) -> bool:
        """Whether a row need not be resent now; removes a row that a higher rank supersedes, and a tombstone that the cores hold."""
        held = table.rows.get(row_key)
        if row_key == self._own_record:
            return held is not None and held.rank == row.rank and held.value == row.value
        if held is None:
            return row.scope == ALL_CORES and row_key in self._sent_at and self._can_skip_core_row_resend(row_key, row, now)
        if held.rank < row.rank:
            return False
        if held.rank > row.rank or row.value is None:
            del self.rows[row_key]
        return True

    def _can_skip_core_row_resend(self, row_key: RowKey, row: PublishedRow, now: timedelta) -> bool:
        """Whether a row scoped to cores need not be resent now.

        Cores do not return such rows, so nothing shows that they hold them. The row with the queried core is not resent; others are
        resent whenever the tuning "gone" has passed, and a tombstone is then dropped.
        """
        since_sent = now - self._sent_at[row_key]
        if row.value is None and since_sent > self._tuning["gone"]:
            del self.rows[row_key]
        kind, _ = row_key
        return since_sent < self._tuning["gone"] or kind == QUERIED_CORE_ROW

    def _was_sent_recently(self, row_key: RowKey, now: timedelta) -> bool:
        sent_at = self._sent_at.get(row_key)
        return sent_at is not None and now - sent_at < self._tuning["settle"]
