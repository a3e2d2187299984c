"""Records of membership (design 4.1): what a daemon says of itself, and a row of the soft state that carries it.

Both travel as arrays of their fields in the order given here. A later program may append fields: they are kept where a row is
passed on, and dropped where it is read.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

ALL_CORES = "*cores"
"""Scope of a row that is passed to cores alone."""


class MemberState(StrEnum):
    """Where a daemon is in its life. Records hold the plain value."""

    JOINING = "joining"
    READY = "ready"
    LEAVING = "leaving"
    LEFT = "left"


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
    attributes: tuple[tuple[str, Any], ...] = ()

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> MemberRecord:
        """A record from its array; fields of a later program are dropped."""
        if isinstance(row, cls):
            return row
        return cls(*row[: len(cls._fields)])

    def attribute(self, name: str, default: Any = None) -> Any:
        """The value of an attribute, or `default`."""
        return next((value for key, value in self.attributes if key == name), default)

    @property
    def is_ready(self) -> bool:
        """Whether the daemon takes work."""
        return self.state == MemberState.READY


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
    rank: tuple[int, ...]
    value: Any
    scope: str
    origin: str = ""
    number: int = 0
