"""The table of soft state (design 4.1): rows that daemons publish, held in memory by the cores and replicated as deltas.

Of two rows with one key the row with the higher rank wins; a row without a value is a tombstone. Each row carries a stamp of the
core that accepted it first: the core's process id as `origin`, and a `number` that the core raises by one with each row. A table
with a given version vector (origin to number) holds all rows up to these numbers, or newer rows in their place.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from operator import itemgetter
from typing import Any
from zlib import crc32

from ..runtime.outside_input import is_sent_integer
from .records import ALL_CORES, ATTRIBUTE_ROW, MEMBER_ROW, Attributes, MemberRecord, RowKey, SoftStateRow, split_key

_ATTRIBUTE_NAME = itemgetter(0)

MAX_KNOWN_POSITIONS = 64
"""The number of version vectors that a delta server can look up by token; older ones are dropped."""

MAX_RANK_LENGTH = 4

ASK_WITH_VECTOR = -1
"""The single field of a delta that rejects an unknown token; the asker must repeat its request with the full version vector."""

VersionVector = dict[str, int]
"""Origin to the highest number of its rows that a table holds."""

VectorPairs = tuple[tuple[str, int], ...]
"""A version vector on the wire: sorted (origin, number) pairs."""

Position = int | VectorPairs
"""The position of an asker's table: the token of its version vector, or the vector itself."""


# --- checks of values from other daemons, called by transport/message_schemas.py


def is_rank(value: Any) -> bool:
    """Whether a value is a rank: one to four whole numbers."""
    return type(value) is tuple and 0 < len(value) <= MAX_RANK_LENGTH and all(is_sent_integer(number) for number in value)


def is_vector(value: Any) -> bool:
    """Whether a value is a version vector as pairs."""
    return type(value) is tuple and all(_is_vector_pair(pair) for pair in value)


def _is_vector_pair(value: Any) -> bool:
    if type(value) is not tuple or len(value) != 2:
        return False
    origin, number = value
    return type(origin) is str and _is_count(number)


def _is_count(value: Any) -> bool:
    return is_sent_integer(value) and value >= 0


def is_published_rows(rows: Any) -> bool:
    """Whether all these values are rows in the form that publishers send, without the stamp of a core."""
    return all(_is_published_row(row) for row in rows)


def _is_published_row(value: Any) -> bool:
    if type(value) is not tuple or len(value) < 5:
        return False
    kind, key, rank, _, scope = value[:5]
    return type(kind) is str and type(key) is str and is_rank(rank) and type(scope) is str


def is_stamped_rows(rows: Any) -> bool:
    """Whether all these values are rows in the form that cores send, with the stamp of a core."""
    return is_published_rows(rows) and all(_has_stamp(row) for row in rows)


def _has_stamp(row: tuple[Any, ...]) -> bool:
    if len(row) < len(SoftStateRow._fields):
        return False
    origin, number = row[5:7]
    return type(origin) is str and _is_count(number)


def is_delta(value: Any) -> bool:
    """Whether a value is a delta: empty, (`ASK_WITH_VECTOR`,), or (token, vector, rows, dead daemons)."""
    if type(value) is not tuple:
        return False
    if len(value) < 4:
        return value in ((), (ASK_WITH_VECTOR,))
    token, vector, rows, dead = value[:4]
    return (
        type(token) is int
        and is_vector(vector)
        and type(rows) is tuple
        and is_stamped_rows(rows)
        and type(dead) is tuple
        and all(type(name) is str for name in dead)
    )


# --- version vectors


def to_pairs(vector: Mapping[str, int]) -> VectorPairs:
    """Return a version vector in its form on the wire."""
    return tuple(sorted(vector.items()))


def covers(vector: Mapping[str, int], other: Mapping[str, int]) -> bool:
    """Whether a table with `vector` holds all rows of a table with `other`. Numbers start at 1."""
    return all(vector.get(origin, 0) >= number for origin, number in other.items())


def difference(base: Mapping[str, int], vector: Mapping[str, int]) -> VersionVector:
    """Return the entries of `base` (0 if missing) for those origins of `vector` at which the two differ.

    They accompany a delta that leads from `base` to `vector`.
    """
    return {origin: base.get(origin, 0) for origin, number in vector.items() if base.get(origin, 0) != number}


def supersedes(row: SoftStateRow, held: SoftStateRow | None) -> bool:
    """Whether a row replaces the held one. Rows of equal rank are ordered by the text of their values, so that all daemons agree."""
    if held is None or row.rank > held.rank:
        return True
    return row.rank == held.rank and repr(row.value) > repr(held.value)


def _any_row(row: SoftStateRow) -> bool:
    return True


class ReplicatedTable:
    """Rows of soft state and their version vector.

    :ivar process_id: the process id with which a core stamps rows; empty in a daemon that only receives them.
    :ivar rows: by kind and key.
    :ivar vector: the version vector.
    :ivar tombstones: the keys of rows without a value, and since when the table has held them.
    """

    __slots__ = ("process_id", "rows", "vector", "tombstones", "_attribute_values", "_attributes", "_keys_by_stamp", "_members")

    def __init__(self, *, process_id: str = "") -> None:
        self.process_id = process_id
        self.rows: dict[RowKey, SoftStateRow] = {}
        self.vector: VersionVector = {}
        self.tombstones: dict[RowKey, timedelta] = {}
        self._keys_by_stamp: dict[str, dict[int, RowKey]] = {}  # origin -> number -> key of the row with this stamp
        self._members: dict[str, MemberRecord | None] = {}  # the member rows, decoded; None for a tombstone
        self._attribute_values: dict[str, dict[str, Any]] = {}  # attribute rows with a value: daemon -> name -> value
        self._attributes: dict[str, Attributes] = {}  # cache of `attributes_of`, filled on demand

    def _set(self, row: SoftStateRow, now: timedelta) -> None:
        key = row.row_key
        old = self.rows.get(key)
        if old is not None:
            self._keys_by_stamp[old.origin].pop(old.number, None)
        self.rows[key] = row
        self._keys_by_stamp.setdefault(row.origin, {})[row.number] = key
        if row.kind == MEMBER_ROW:
            self._members[row.key] = MemberRecord.of(row.value) if row.value is not None else None
        elif row.kind == ATTRIBUTE_ROW:
            self._set_attribute(row)
        if row.value is None:
            self.tombstones[key] = now
        else:
            self.tombstones.pop(key, None)

    def _set_attribute(self, row: SoftStateRow) -> None:
        """Set an attribute of a daemon, or remove it if the row is a tombstone."""
        daemon, name = split_key(row.key)
        values = self._attribute_values.setdefault(daemon, {})
        if row.value is not None:
            values[name] = row.value
        else:
            values.pop(name, None)
        self._attributes.pop(daemon, None)
        if not values:
            del self._attribute_values[daemon]

    def insert(self, row: SoftStateRow, now: timedelta) -> bool:
        """Insert a publisher's row with a stamp of this core.

        :returns: False if the row does not supersede the held one.
        """
        if not supersedes(row, self.rows.get(row.row_key)):
            return False
        number = self.vector.get(self.process_id, 0) + 1
        self.vector[self.process_id] = number
        self._set(SoftStateRow(row.kind, row.key, row.rank, row.value, row.scope, self.process_id, number), now)
        return True

    def merge(self, rows: Iterable[SoftStateRow], now: timedelta) -> list[SoftStateRow]:
        """Insert rows that another core sent, with their stamps.

        :returns: the rows that superseded the held ones.
        """
        new = []
        for row in rows:
            if supersedes(row, self.rows.get(row.row_key)):
                self._set(row, now)
                new.append(row)
        return new

    def advance_to(self, vector: Mapping[str, int]) -> None:
        """Raise the version vector to at least `vector`; the table must hold all rows that `vector` covers."""
        for origin, number in vector.items():
            if number > self.vector.get(origin, -1):
                self.vector[origin] = number

    def rows_since(self, vector: Mapping[str, int], is_wanted: Callable[[SoftStateRow], bool] = _any_row) -> tuple[tuple[Any, ...], ...]:
        """Return the rows that a table with this version vector lacks, as arrays for the wire."""
        lacking = []
        for origin, keys in self._keys_by_stamp.items():
            known = vector.get(origin, -1)
            if self.vector.get(origin, 0) <= known or not keys:
                continue
            for number in reversed(keys):  # merged rows may be out of order; rows stamped here never are
                if number > known:
                    row = self.rows[keys[number]]
                    if is_wanted(row):
                        lacking.append(tuple(row))
                elif self.process_id == origin:
                    break
        return tuple(lacking)

    def drop_tombstones(self, now: timedelta, keep: timedelta) -> None:
        """Drop the tombstones that have been held for longer than `keep`."""
        for key in [key for key, since in self.tombstones.items() if now - since > keep]:
            row = self.rows.pop(key)
            self._keys_by_stamp[row.origin].pop(row.number, None)
            del self.tombstones[key]
            if row.kind == MEMBER_ROW:
                del self._members[row.key]

    def drop_origins(self, live: Collection[str]) -> None:
        """Remove from the vector the origins without rows, except this core's own and those of `live` processes."""
        unused = [
            origin for origin in self.vector if origin not in live and origin != self.process_id and not self._keys_by_stamp.get(origin)
        ]
        for origin in unused:
            del self.vector[origin]
            self._keys_by_stamp.pop(origin, None)

    def vector_with_rows(self) -> VersionVector:
        """Return the part of the vector whose origins have rows in the table."""
        return {origin: number for origin, number in self.vector.items() if self._keys_by_stamp.get(origin)}

    def token(self, *more: Any) -> int:
        """Return a checksum that identifies the version vector together with `more`."""
        return crc32(repr((to_pairs(self.vector), more)).encode())

    def rows_of_kind(self, kind: str) -> dict[str, SoftStateRow]:
        """Return the rows of one kind by their keys."""
        return {key: row for (row_kind, key), row in self.rows.items() if row_kind == kind}

    def members(self) -> dict[str, MemberRecord]:
        """Return the records of all daemons in the table, by name."""
        return {name: record for name, record in self._members.items() if record is not None}

    def attributes_of(self, daemon: str) -> Attributes:
        """Return the attributes of a daemon sorted by name; the same object until one of them changes."""
        if daemon not in self._attributes and daemon in self._attribute_values:
            self._attributes[daemon] = tuple(sorted(self._attribute_values[daemon].items(), key=_ATTRIBUTE_NAME))
        return self._attributes.get(daemon, ())

    def member(self, name: str) -> MemberRecord | None:
        """Return the record of a daemon, or None if the table has none."""
        return self._members.get(name)


class DeltaServer:
    """Answers update requests with deltas from the asker's position to that of a table.

    :ivar position: token of the position to which deltas lead; None before the first call of `update_position`.
    """

    __slots__ = ("position", "_table", "_dead", "_vectors", "_cache")

    def __init__(self, table: ReplicatedTable) -> None:
        self.position: int | None = None
        self._table = table
        self._dead: tuple[str, ...] = ()
        self._vectors: dict[int, VersionVector] = {}  # token -> vector
        self._cache: dict[tuple[Position, str | None], tuple[tuple[Any, ...], ...]] = {}  # (position, region) -> rows

    def update_position(self, dead: tuple[str, ...]) -> int:
        """Make the current state of the table, with these dead daemons, the position to which deltas lead.

        :returns: the token of the new position.
        """
        self._dead = dead
        self.position = self._table.token(dead)
        self._vectors[self.position] = dict(self._table.vector)
        while len(self._vectors) > MAX_KNOWN_POSITIONS:
            self._vectors.pop(next(iter(self._vectors)))
        self._cache.clear()
        return self.position

    def answer(self, daemon: str, position: Position) -> tuple[Any, ...]:
        """Return the delta for a daemon, as an array.

        :param position: of the daemon's table; if it is an unknown token, the delta asks for the version vector.
        :returns: an empty array if the daemon's table is at the current position.
        """
        if self.position is None or position == self.position:
            return ()
        if type(position) is int and position not in self._vectors:
            return (ASK_WITH_VECTOR,)
        asker = self._table.member(daemon)
        region = asker.region if asker is not None else None
        cache_key = (position, region)
        if cache_key not in self._cache:
            self._cache[cache_key] = self._rows_for(region, position)
        return (self.position, to_pairs(self._vectors[self.position]), self._cache[cache_key], self._dead)

    def _rows_for(self, region: str | None, position: Position) -> tuple[tuple[Any, ...], ...]:
        """Return the rows that a daemon of this region lacks at this position; without a known region it gets the rows of all regions."""

        def is_wanted(row: SoftStateRow) -> bool:
            return row.scope in ("", region) or region is None and row.scope != ALL_CORES

        vector = self._vectors[position] if isinstance(position, int) else dict(position)
        return self._table.rows_since(vector, is_wanted)
