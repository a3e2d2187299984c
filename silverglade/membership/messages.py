"""The messages of membership, one class for each kind (design 4).

On the wire each message is an array: its kind, `TAG`, then its fields in the order given here. transport/message_schemas.py checks
the form before a component receives the array, and `decode` turns it into an instance of the class.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Any, ClassVar

from ..runtime.record import Record
from .records import SoftStateRow, readable_rows
from .replicated_table import Position, VectorPairs

PUBLISHED_FIELDS = 5
"""Number of fields of a row in the form that its publisher sends, without the stamp of a core."""

RowArray = tuple[Any, ...]
"""A row on the wire."""

Version = tuple[int, int]


class HeartbeatKind(IntEnum):
    """The reason for a heartbeat."""

    REGULAR = 0
    LAST = 1  # the receiver no longer watches the sender
    ANSWER = 2  # reply to a `SuspicionCheck`


class Heartbeat(Record):
    """A heartbeat of a daemon.

    :ivar kind: a `HeartbeatKind`, or a number that a later version of the software defines.
    """

    TAG: ClassVar[str] = "alive"
    incarnation: int
    kind: int

    def to_array(self) -> tuple[Any, ...]:
        """Return the array for the wire."""
        return (self.TAG, self.incarnation, int(self.kind))


class SuspicionCheck(Record):
    """A core's request for a heartbeat from a daemon that its watchers suspect."""

    TAG: ClassVar[str] = "doubted"

    def to_array(self) -> tuple[Any, ...]:
        """Return the array for the wire."""
        return (self.TAG,)


class PublishRows(Record):
    """The rows that a daemon publishes, sent to a core, or to a zone relay that forwards them.

    :ivar rows: arrays of the first five fields of a `SoftStateRow`.
    """

    TAG: ClassVar[str] = "told"
    rows: tuple[RowArray, ...]

    def to_array(self) -> tuple[Any, ...]:
        """Return the array for the wire."""
        return (self.TAG, self.rows)

    def readable(self) -> list[SoftStateRow]:
        """Return the well-formed rows, without a stamp."""
        return readable_rows([row[:PUBLISHED_FIELDS] for row in self.rows])

    def readable_of_kind(self, kind: str) -> list[SoftStateRow]:
        """Return the well-formed rows of one kind, without a stamp."""
        return readable_rows([row[:PUBLISHED_FIELDS] for row in self.rows if row[0] == kind])


class SyncTables(Record):
    """Between cores: the version vector of the sender's table, with rows that the receiver lacks.

    :ivar is_complete: 1 if `vector` is the sender's full version vector, else 0.
    :ivar base: the vector on which the rows build, limited to the entries that differ from `vector`.
    :ivar rows: arrays of `SoftStateRow`.
    """

    TAG: ClassVar[str] = "sync"
    is_complete: int
    vector: VectorPairs
    base: VectorPairs
    rows: tuple[RowArray, ...]

    def to_array(self) -> tuple[Any, ...]:
        """Return the array for the wire."""
        return (self.TAG, self.is_complete, self.vector, self.base, self.rows)

    def readable(self) -> list[SoftStateRow]:
        """Return the well-formed rows."""
        return readable_rows(self.rows)


class UpdateRequest(Record):
    """A daemon's request to a core, or to its zone's relay, for updates after a version.

    :ivar number: the request's number, repeated in the answer.
    :ivar position: the position of the daemon's table of soft state.
    """

    TAG: ClassVar[str] = "get"
    number: int
    version: Version
    position: Position


class Update(Record):
    """The answer to an `UpdateRequest`; the sender appends a delta of soft state.

    :ivar items: the items that the asker lacks: (key, version, value) each.
    :ivar proof_age_ms: how long ago `version` was proved to be the newest; -1 without a proof.
    :ivar waited_ms: how long the request waited for its answer.
    """

    TAG: ClassVar[str] = "news"
    number: int
    version: Version
    items: tuple[tuple[str, Version, Any], ...]
    proof_age_ms: int
    waited_ms: int

    def to_array(self) -> tuple[Any, ...]:
        """Return the array for the wire, without the delta."""
        return (self.TAG, self.number, self.version, self.items, self.proof_age_ms, self.waited_ms)


class Delta(Record):
    """The soft state in an `Update` for a daemon whose table is at another position.

    :ivar token: identifies `vector` in the daemon's next request.
    :ivar vector: the version vector of the daemon's table with these rows, if it holds the rows on which they build.
    :ivar rows: arrays of `SoftStateRow`.
    :ivar dead: the daemons that the core considers dead.
    """

    token: int
    vector: VectorPairs
    rows: tuple[RowArray, ...]
    dead: tuple[str, ...]

    def readable(self) -> list[SoftStateRow]:
        """Return the well-formed rows."""
        return readable_rows(self.rows)


DELTA_FIELDS = 4


def decode_delta(array: tuple[Any, ...]) -> Delta | None:
    """Return a delta, or None if the array only asks for the full version vector; the array must not be empty."""
    if len(array) < DELTA_FIELDS:
        return None
    return Delta(*array[:DELTA_FIELDS])


Message = Heartbeat | SuspicionCheck | PublishRows | SyncTables | UpdateRequest

_CLASSES: dict[str, Callable[..., Message]] = {
    Heartbeat.TAG: Heartbeat,
    SuspicionCheck.TAG: SuspicionCheck,
    PublishRows.TAG: PublishRows,
    SyncTables.TAG: SyncTables,
    UpdateRequest.TAG: UpdateRequest,
}
_FIELD_COUNTS = {Heartbeat.TAG: 2, SuspicionCheck.TAG: 0, PublishRows.TAG: 1, SyncTables.TAG: 4, UpdateRequest.TAG: 3}


def decode(body: tuple[Any, ...]) -> Message | None:
    """Return the message of an array, or None if its kind is unknown or its number of fields differs, as in earlier versions."""
    tag, *fields = body
    if len(fields) != _FIELD_COUNTS.get(tag):
        return None
    return _CLASSES[tag](*fields)
