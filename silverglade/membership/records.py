"""Records of membership (design 4.1): what a daemon says of itself, and a row of the soft state that carries it.

Both travel as arrays of their fields in the order given here. A later program may append fields: they are kept where a row is
passed on, and dropped where it is read.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any, Final, NamedTuple

from .attribute_checks import is_valid_attribute

ALL_CORES: Final = "*cores"
"""Scope of a row that is passed to cores alone."""

# kinds of rows that membership itself reads, with the form of their keys and values

MEMBER_ROW: Final = "daemon"
"""Key: a daemon; value: the array of its `MemberRecord`."""

ATTRIBUTE_ROW: Final = "extra"
"""Key: a daemon and the attribute's name (`joined_key`); value: of the attribute."""

SUSPICION_ROW: Final = "doubt"
"""Key: a daemon and the watcher that suspects it (`joined_key`); value: the incarnation suspected."""

QUERIED_CORE_ROW: Final = "via"
"""Key: a daemon; value: the core (or zone relay) that it asks for updates."""

UNHEARD_ROW: Final = "silent"
"""Key: a daemon; value: its incarnation, and the core that it asked and that has not been asked for long."""

# kinds of rows of other components that membership treats in a way of their own

REPLICA_STATUS_ROW: Final = "status"
REPLICA_SUSPICION_ROW: Final = "suspect"
"""Key: a replica and the daemon that suspects it, its last word."""

REQUIREMENT_ROW: Final = "required"
"""Key: a service and a region (`autoscaling.requirement_rows`); value: how many replicas the region requires."""

RowKey = tuple[str, str]
"""Kind and key of a row of soft state."""

Rank = tuple[int, ...]
"""Of two rows with one key that with the higher rank wins."""


class MemberState(StrEnum):
    """Where a daemon is in its life. Records hold the plain value."""

    JOINING = "joining"
    READY = "ready"
    LEAVING = "leaving"
    LEFT = "left"


Attributes = tuple[tuple[str, Any], ...]
"""Attributes of a member: (name, value) pairs in the order of their names."""


class MemberRecord(NamedTuple):
    """What a daemon says of itself.

    :ivar name: the daemon's name, unique in the fleet.
    :ivar process_id: a random id of this process of the daemon; another one after each start.
    :ivar incarnation: raised by the daemon to overrule what others say of it.
    :ivar sequence: of the record within the incarnation.
    :ivar peer_address: where it listens for other daemons, HOST:PORT.
    :ivar http_address: where it serves HTTP, HOST:PORT.
    :ivar is_core: whether it has a disk and takes part in control.
    :ivar state: a `MemberState` value.
    :ivar suspicions: always empty; an earlier version's field.
    :ivar attributes: (name, value) pairs in the order of their names; only in the list of live members.
    """

    name: str
    process_id: str
    incarnation: int
    sequence: int
    zone: str
    region: str
    peer_address: str
    http_address: str
    is_core: bool
    state: str
    suspicions: tuple[Any, ...] = ()
    attributes: Attributes = ()

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> MemberRecord:
        """A record from its array; fields of a later program are dropped."""
        if isinstance(row, cls):
            return row
        return cls(*row[:MEMBER_FIELDS])

    def attribute(self, name: str, default: Any = None) -> Any:
        """The value of an attribute, or `default`."""
        return next((value for key, value in self.attributes if key == name), default)

    def with_attributes(self, attributes: Attributes) -> MemberRecord:
        """Return the record with these attributes."""
        return MemberRecord._make((*self[:-1], attributes))

    @property
    def is_ready(self) -> bool:
        """Whether the daemon takes work."""
        return self.state == MemberState.READY


MEMBER_FIELDS = len(MemberRecord._fields)


def members_of(rows: tuple[tuple[Any, ...], ...]) -> tuple[MemberRecord, ...]:
    """Records from the arrays of a list of members."""
    return tuple([MemberRecord.of(row) for row in rows])


class SoftStateRow(NamedTuple):
    """A row of soft state.

    :ivar kind: as "daemon", "extra", "replica".
    :ivar key: within the kind.
    :ivar rank: the row with the higher rank wins.
    :ivar value: None for a tombstone.
    :ivar scope: who is told of it: "" everybody, `ALL_CORES` cores, else the daemons of the region of this name.
    :ivar origin: process id of the core that took the row first.
    :ivar number: of the row among those that the origin took.
    """

    kind: str
    key: str
    rank: Rank
    value: Any
    scope: str
    origin: str = ""
    number: int = 0

    @property
    def row_key(self) -> RowKey:
        """Under which a table holds the row."""
        return (self.kind, self.key)


FIELD_TYPES = (str, str, int, int, str, str, str, str, bool, str, tuple, tuple)
"""Types of the fields of a `MemberRecord`."""

STATES = frozenset(state.value for state in MemberState)


def is_member_record(value: Any) -> bool:
    """Whether a value from another daemon is the array of a member record, perhaps with fields of a later program behind it."""
    if not isinstance(value, tuple) or len(value) < len(FIELD_TYPES):
        return False
    if not all(type(field) is field_type for field, field_type in zip(value, FIELD_TYPES)):
        return False
    record = MemberRecord.of(value)
    return record.state in STATES and record.incarnation > 0 and record.sequence >= 0


def is_unheard_value(value: Any) -> bool:
    """Whether a value is (incarnation, core), as `UNHEARD_ROW` holds it."""
    if type(value) is not tuple or len(value) != 2:
        return False
    incarnation, core = value
    return type(incarnation) is int and type(core) is str


def is_readable(row: SoftStateRow) -> bool:
    """Whether a row of a kind that membership itself reads has the form of that kind; rows of other kinds always have."""
    check = READABLE.get(row.kind)
    return check is None or check(row)


READABLE: dict[str, Callable[[SoftStateRow], bool]] = {
    MEMBER_ROW: lambda row: row.value is None or is_member_record(row.value) and MemberRecord.of(row.value).name == row.key,
    ATTRIBUTE_ROW: lambda row: " " in row.key and (row.value is None or is_valid_attribute(split_key(row.key)[1], row.value)),
    SUSPICION_ROW: lambda row: " " in row.key and (row.value is None or type(row.value) is int),
    QUERIED_CORE_ROW: lambda row: row.value is None or type(row.value) is str,
    UNHEARD_ROW: lambda row: row.value is None or is_unheard_value(row.value),
}
"""For each kind that membership reads, whether a row has its form; a tombstone has."""


def readable_rows(arrays: Iterable[tuple[Any, ...]]) -> list[SoftStateRow]:
    """Return the rows of these arrays that can be read; fields of a later program are dropped."""
    rows = [SoftStateRow(*array[: len(SoftStateRow._fields)]) for array in arrays]
    return [row for row in rows if is_readable(row)]


def joined_key(first: str, second: str) -> str:
    """Return the key of a row that speaks of a daemon and something else."""
    return f"{first} {second}"


def split_key(key: str) -> tuple[str, str]:
    """Return both parts of a key made by `joined_key`; names of daemons hold no blank."""
    first, second = key.split(" ", 1)
    return first, second
