"""The table of soft state (design 4.1): rows that daemons publish, kept by the cores in memory and passed on as deltas.

The row with the higher rank wins; one without a value is a tombstone. Each row carries a stamp of the core that took it first:
the core's process id as `origin`, and a `number` that the core raises by one with each row. A version vector, origin to number,
says which rows a table holds, or newer ones in their place.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from operator import itemgetter
from typing import Any
from zlib import crc32

from .records import ALL_CORES, ATTRIBUTE_ROW, MEMBER_ROW, Attributes, MemberRecord, RowKey, SoftStateRow, split_key

_ATTRIBUTE_NAME = itemgetter(0)

MAX_KNOWN_POSITIONS = 64
"""How many version vectors a delta server remembers by their tokens."""

MAX_RANK_LENGTH = 4

ASK_WITH_VECTOR = -1
"""The only field of a delta that says: the token is not known here, ask again with the whole version vector."""

VersionVector = dict[str, int]
"""Origin to the highest number that is held of its rows."""

VectorPairs = tuple[tuple[str, int], ...]
"""A version vector as it travels: sorted (origin, number) pairs."""

Position = int | VectorPairs
"""Where an asker's table stands: the token of a vector, or the vector itself."""


# --- what other daemons send, checked by transport/message_schemas.py


def is_rank(value: Any) -> bool:
    """Whether a value is a rank: one to four whole numbers."""
    return type(value) is tuple and 0 < len(value) <= MAX_RANK_LENGTH and all(type(number) is int for number in value)


def is_vector(value: Any) -> bool:
    """Whether a value is a version vector as pairs."""
    return type(value) is tuple and all(_is_vector_pair(pair) for pair in value)


def _is_vector_pair(value: Any) -> bool:
    if type(value) is not tuple or len(value) != 2:
        return False
    origin, number = value
    return type(origin) is str and _is_count(number)


def _is_count(value: Any) -> bool:
    return type(value) is int and value >= 0


def is_published_rows(rows: Any) -> bool:
    """Whether these are rows as their publisher sends them, without the stamp of a core."""
    return all(_is_published_row(row) for row in rows)


def _is_published_row(value: Any) -> bool:
    if type(value) is not tuple or len(value) < 5:
        return False
    kind, key, rank, _, scope = value[:5]
    return type(kind) is str and type(key) is str and is_rank(rank) and type(scope) is str


def is_stamped_rows(rows: Any) -> bool:
    """Whether these are rows as cores pass them on, with the stamp of a core."""
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


def pairs(vector: Mapping[str, int]) -> VectorPairs:
    """Return a version vector as it travels."""
    return tuple(sorted(vector.items()))


def covers(vector: Mapping[str, int], other: Mapping[str, int]) -> bool:
    """Whether a table that stands at `vector` holds all that one at `other` holds. Numbers begin at 1."""
    return all(vector.get(origin, 0) >= number for origin, number in other.items())


def difference(base: Mapping[str, int], vector: Mapping[str, int]) -> VersionVector:
    """Return, of the vector on which a delta up to `vector` builds, what is not the same in `vector` itself."""
    return {origin: base.get(origin, 0) for origin, number in vector.items() if base.get(origin, 0) != number}


def supersedes(row: SoftStateRow, held: SoftStateRow | None) -> bool:
    """Whether a row is to be held rather than another; of one rank, whichever all daemons choose alike."""
    if held is None or row.rank > held.rank:
        return True
    return row.rank == held.rank and repr(row.value) > repr(held.value)


def _any_row(row: SoftStateRow) -> bool:
    return True


class ReplicatedTable:
    """Rows of soft state and the version vector of what is held.

    :ivar process_id: of the core that stamps rows here; empty in a daemon that only receives them.
    :ivar rows: by kind and key.
    :ivar vector: where the table stands.
    :ivar tombstones: rows without a value, and since when they are held.
    """

    __slots__ = ("process_id", "rows", "vector", "tombstones", "_attribute_values", "_attributes", "_keys", "_members")

    def __init__(self, *, process_id: str = "") -> None:
        self.process_id = process_id
        self.rows: dict[RowKey, SoftStateRow] = {}
        self.vector: VersionVector = {}
        self.tombstones: dict[RowKey, timedelta] = {}
        self._keys: dict[str, dict[int, RowKey]] = {}  # origin -> number -> which row has this stamp
        self._members: dict[str, MemberRecord | None] = {}  # the member rows, decoded; None for a tombstone
        self._attribute_values: dict[str, dict[str, Any]] = {}  # the attribute rows that have a value: daemon -> name -> value
        self._attributes: dict[str, Attributes] = {}  # the same as they are asked for; a daemon is missing until then

    def _set(self, row: SoftStateRow, now: timedelta) -> None:
        key = row.row_key
        old = self.rows.get(key)
        if old is not None:
            self._keys[old.origin].pop(old.number, None)
        self.rows[key] = row
        self._keys.setdefault(row.origin, {})[row.number] = key
        if row.kind == MEMBER_ROW:
            self._members[row.key] = MemberRecord.of(row.value) if row.value is not None else None
        elif row.kind == ATTRIBUTE_ROW:
            self._set_attribute(row)
        if row.value is None:
            self.tombstones[key] = now
        else:
            self.tombstones.pop(key, None)

    def _set_attribute(self, row: SoftStateRow) -> None:
        """Note an attribute of a daemon, or that it has none of this name any more."""
        daemon, name = split_key(row.key)
        values = self._attribute_values.setdefault(daemon, {})
        if row.value is not None:
            values[name] = row.value
        else:
            values.pop(name, None)
        self._attributes.pop(daemon, None)
        if not values:
            del self._attribute_values[daemon]

    def take(self, row: SoftStateRow, now: timedelta) -> bool:
        """Hold a publisher's row with a stamp of this core.

        :returns: False when the row does not supersede what is held.
        """
        if not supersedes(row, self.rows.get(row.row_key)):
            return False
        number = self.vector.get(self.process_id, 0) + 1
        self.vector[self.process_id] = number
        self._set(SoftStateRow(row.kind, row.key, row.rank, row.value, row.scope, self.process_id, number), now)
        return True

    def merge(self, rows: Iterable[SoftStateRow], now: timedelta) -> list[SoftStateRow]:
        """Hold rows with their stamps, as another core passed them on.

        :returns: those that superseded what was held.
        """
        new = []
        for row in rows:
            if supersedes(row, self.rows.get(row.row_key)):
                self._set(row, now)
                new.append(row)
        return new

    def adopt(self, vector: Mapping[str, int]) -> None:
        """Stand at least at `vector`, all of whose rows are held."""
        for origin, number in vector.items():
            if number > self.vector.get(origin, -1):
                self.vector[origin] = number

    def rows_since(self, vector: Mapping[str, int], is_wanted: Callable[[SoftStateRow], bool] = _any_row) -> tuple[tuple[Any, ...], ...]:
        """Return the rows that a table at `vector` lacks, as arrays ready to be sent."""
        lacking = []
        for origin, keys in self._keys.items():
            known = vector.get(origin, -1)
            if self.vector.get(origin, 0) <= known or not keys:
                continue
            for number in reversed(keys):  # mostly in order; merges may come out of it
                if number > known:
                    row = self.rows[keys[number]]
                    if is_wanted(row):
                        lacking.append(tuple(row))
                elif self.process_id == origin:
                    break
        return tuple(lacking)

    def drop_tombstones(self, now: timedelta, keep: timedelta) -> None:
        """Forget the tombstones that were held for longer than `keep`."""
        for key in [key for key, since in self.tombstones.items() if now - since > keep]:
            row = self.rows.pop(key)
            self._keys[row.origin].pop(row.number, None)
            del self.tombstones[key]
            if row.kind == MEMBER_ROW:
                del self._members[row.key]

    def drop_origins(self, live: Collection[str]) -> None:
        """Forget the origins that no row speaks of any more, but this core's own and those of `live` processes."""
        unused = [origin for origin in self.vector if origin not in live and origin != self.process_id and not self._keys.get(origin)]
        for origin in unused:
            del self.vector[origin]
            self._keys.pop(origin, None)

    def vector_with_rows(self) -> VersionVector:
        """Return the part of the vector that rows still held carry."""
        return {origin: number for origin, number in self.vector.items() if self._keys.get(origin)}

    def token(self, *more: Any) -> int:
        """Return a short name of where the table stands, and of `more`."""
        return crc32(repr((pairs(self.vector), more)).encode())

    def rows_of_kind(self, kind: str) -> dict[str, SoftStateRow]:
        """Return the rows of one kind by their keys."""
        return {key: row for (row_kind, key), row in self.rows.items() if row_kind == kind}

    def members(self) -> dict[str, MemberRecord]:
        """Return the records of all daemons that the table speaks of, by name."""
        return {name: record for name, record in self._members.items() if record is not None}

    def attributes_of(self, daemon: str) -> Attributes:
        """Return the attributes of a daemon in the order of their names; the same object until one of them changes."""
        if daemon not in self._attributes and daemon in self._attribute_values:
            self._attributes[daemon] = tuple(sorted(self._attribute_values[daemon].items(), key=_ATTRIBUTE_NAME))
        return self._attributes.get(daemon, ())

    def member(self, name: str) -> MemberRecord | None:
        """Return the record of a daemon, or None."""
        return self._members.get(name)


class DeltaServer:
    """Answers askers from a table, each by a delta from where its own table stands.

    :ivar position: token of where answers bring an asker; None before `move` was called.
    """

    __slots__ = ("position", "_table", "_dead", "_vectors", "_cache")

    def __init__(self, table: ReplicatedTable) -> None:
        self.position: int | None = None
        self._table = table
        self._dead: tuple[str, ...] = ()
        self._vectors: dict[int, VersionVector] = {}  # token -> vector
        self._cache: dict[tuple[Position, str | None], tuple[tuple[Any, ...], ...]] = {}  # (position, region) -> rows

    def move(self, dead: tuple[str, ...]) -> int:
        """Note that the table has changed, or that others are dead.

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

        :param position: where the daemon's table stands; for one with a token that is not known here the delta asks for its vector.
        """
        if self.position is None or position == self.position:
            return ()
        if type(position) is int and position not in self._vectors:
            return (ASK_WITH_VECTOR,)
        asker = self._table.member(daemon)
        region = asker.region if asker is not None else None
        cached = (position, region)
        if cached not in self._cache:
            self._cache[cached] = self._rows_for(region, position)
        return (self.position, pairs(self._vectors[self.position]), self._cache[cached], self._dead)

    def _rows_for(self, region: str | None, position: Position) -> tuple[tuple[Any, ...], ...]:
        """Return the rows that a daemon of this region lacks at this position; one whose region is not known is sent those of all."""

        def is_wanted(row: SoftStateRow) -> bool:
            return row.scope in ("", region) or region is None and row.scope != ALL_CORES

        vector = self._vectors[position] if isinstance(position, int) else dict(position)
        return self._table.rows_since(vector, is_wanted)
