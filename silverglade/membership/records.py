"""Records of membership (design 4.1): the member record that a daemon publishes, and the row of soft state that contains it.

On the wire both are arrays of their fields in the order given here. A later version of the software may append fields: they are
kept when a row is forwarded, and dropped when it is read.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any, Final, NamedTuple

from ..runtime.outside_input import is_sent_integer
from .attribute_checks import is_valid_attribute

ALL_CORES: Final = "*cores"
"""Scope of a row that is sent only to cores."""

# kinds of rows that membership itself reads, with the format of their keys and values

MEMBER_ROW: Final = "daemon"
"""Key: a daemon; value: the array of its `MemberRecord`."""

ATTRIBUTE_ROW: Final = "extra"
"""Key: a daemon and the attribute's name (`joined_key`); value: the attribute's value."""

SUSPICION_ROW: Final = "doubt"
"""Key: a daemon and the watcher that suspects it (`joined_key`); value: the suspected incarnation."""

QUERIED_CORE_ROW: Final = "via"
"""Key: a daemon; value: the core (or zone relay) that it queries for updates."""

SILENCE_ROW: Final = "silent"
"""Key: a daemon; value: its incarnation, and the core that it queries and that has received no request from it for too long."""

# kinds of rows of other components that membership treats specially

REPLICA_STATUS_ROW: Final = "status"
REPLICA_SUSPICION_ROW: Final = "suspect"
"""Key: a replica and, as the last word, the daemon that suspects it."""

REQUIREMENT_ROW: Final = "required"
"""Key: a service and a region (`autoscaling.requirement_rows`); value: how many replicas the region requires."""

RowKey = tuple[str, str]
"""Kind and key of a row of soft state."""

Rank = tuple[int, ...]
"""Of two rows with the same key the one with the higher rank wins."""


class MemberState(StrEnum):
    """A daemon's state in its lifecycle. Records hold the plain value."""

    JOINING = "joining"
    READY = "ready"
    LEAVING = "leaving"
    LEFT = "left"


Attributes = tuple[tuple[str, Any], ...]
"""Attributes of a member: (name, value) pairs sorted by name."""


class MemberRecord(NamedTuple):
    """The member record that a daemon publishes about itself.

    :ivar name: the daemon's name, unique in the fleet.
    :ivar process_id: a random id of the daemon's process; it differs after each start.
    :ivar incarnation: raised by the daemon to override what others publish about it.
    :ivar sequence: the number of the record within the incarnation.
    :ivar peer_address: the address at which it listens for other daemons, HOST:PORT.
    :ivar http_address: the address at which it serves HTTP, HOST:PORT.
    :ivar is_core: whether it has a disk and takes part in control.
    :ivar state: a `MemberState` value.
    :ivar suspicions: always empty; a field of an earlier version of the software.
    :ivar attributes: (name, value) pairs sorted by name; set only in the list of live members.
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
        """Return a record from its array; fields appended by a later version of the software are dropped."""
        if isinstance(row, cls):
            return row
        return cls(*row[:MEMBER_FIELDS])

    def attribute(self, name: str, default: Any = None) -> Any:
        """Return the value of an attribute, or `default` if the member does not have it."""
        return next((value for key, value in self.attributes if key == name), default)

    def with_attributes(self, attributes: Attributes) -> MemberRecord:
        """Return the record with these attributes."""
        return MemberRecord._make((*self[:-1], attributes))

    @property
    def is_ready(self) -> bool:
        """Whether the daemon accepts work."""
        return self.state == MemberState.READY


MEMBER_FIELDS = len(MemberRecord._fields)


def members_of(rows: tuple[tuple[Any, ...], ...]) -> tuple[MemberRecord, ...]:
    """Return the records of a list of members given as arrays."""
    return tuple([MemberRecord.of(row) for row in rows])


class SoftStateRow(NamedTuple):
    """A row of soft state.

    :ivar kind: for example "daemon", "extra", "replica".
    :ivar key: unique within the kind.
    :ivar rank: of two rows with the same kind and key the one with the higher rank wins.
    :ivar value: None for a tombstone.
    :ivar scope: the receivers: "" all daemons, `ALL_CORES` only cores, otherwise the name of a region: its daemons and the cores.
    :ivar origin: process id of the core that accepted the row first.
    :ivar number: the sequence number that the origin gave the row.
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
        """Kind and key, under which a table holds the row."""
        return (self.kind, self.key)


FIELD_TYPES = (str, str, int, int, str, str, str, str, bool, str, tuple, tuple)
"""Types of the fields of a `MemberRecord`."""

STATES = frozenset(state.value for state in MemberState)


def is_member_record(value: Any) -> bool:
    """Whether a value from another daemon is the array of a member record; a later version may have appended fields."""
    if not isinstance(value, tuple) or len(value) < len(FIELD_TYPES):
        return False
    if not all(type(field) is field_type for field, field_type in zip(value, FIELD_TYPES)):
        return False
    record = MemberRecord.of(value)
    is_numbered = is_sent_integer(record.incarnation) and is_sent_integer(record.sequence)
    return record.state in STATES and is_numbered and record.incarnation > 0 and record.sequence >= 0


def is_silence_value(value: Any) -> bool:
    """Whether a value is a pair (incarnation, core), as in a `SILENCE_ROW`."""
    if type(value) is not tuple or len(value) != 2:
        return False
    incarnation, core = value
    return is_sent_integer(incarnation) and type(core) is str


def is_readable(row: SoftStateRow) -> bool:
    """Whether a row of a kind that membership itself reads is well-formed; rows of other kinds always are."""
    check = ROW_CHECKS.get(row.kind)
    return check is None or check(row)


ROW_CHECKS: dict[str, Callable[[SoftStateRow], bool]] = {
    MEMBER_ROW: lambda row: row.value is None or is_member_record(row.value) and MemberRecord.of(row.value).name == row.key,
    ATTRIBUTE_ROW: lambda row: " " in row.key and (row.value is None or is_valid_attribute(split_key(row.key)[1], row.value)),
    SUSPICION_ROW: lambda row: " " in row.key and (row.value is None or is_sent_integer(row.value)),
    QUERIED_CORE_ROW: lambda row: row.value is None or type(row.value) is str,
    SILENCE_ROW: lambda row: row.value is None or is_silence_value(row.value),
}
"""For each kind that membership reads, the check that a row is well-formed; a tombstone needs only a well-formed key."""


def readable_rows(arrays: Iterable[tuple[Any, ...]]) -> list[SoftStateRow]:
    """Return the well-formed rows among these arrays; fields appended by a later version of the software are dropped."""
    rows = [SoftStateRow(*array[: len(SoftStateRow._fields)]) for array in arrays]
    return [row for row in rows if is_readable(row)]


def joined_key(first: str, second: str) -> str:
    """Return the key of a row that refers to a daemon and to a second name."""
    return f"{first} {second}"


def split_key(key: str) -> tuple[str, str]:
    """Return both parts of a key built by `joined_key`; names of daemons contain no space."""
    first, second = key.split(" ", 1)
    return first, second
