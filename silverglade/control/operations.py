"""Operations that a client may ask the primary for (design 5.3), one class a kind.

An operation travels as an array of its `TAG` and its fields in the order given here. Shapes are checked by
transport/message_schemas.py before a component sees a message; an array of no known shape decodes to `UnknownOperation`.
"""

from __future__ import annotations

from typing import Any, ClassVar

from ..runtime.record import Record

Version = tuple[int, int]
"""(epoch, number) of a change."""


class ConfigurationChange(Record):
    """Put a configuration in force in place of the one of version `base`."""

    TAG: ClassVar[str] = "config"
    base: Version
    raw: Any

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels."""
        return (self.TAG, self.base, self.raw)


class TableChange(Record):
    """Put a configuration in force whose versions the operator numbers (design 15.2).

    :ivar base: the operator's number of the configuration that it replaces; 0 for none.
    :ivar number: the operator's number of this one.
    :ivar source: the text from which `raw` was made.
    """

    TAG: ClassVar[str] = "table"
    base: int
    number: int
    raw: Any
    source: str

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels."""
        return (self.TAG, self.base, self.number, self.raw, self.source)


class ReadSource(Record):
    """Read the text of the configuration in force."""

    TAG: ClassVar[str] = "read"

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels."""
        return (self.TAG,)


class Evacuate(Record):
    """Drain a zone, or take it back.

    :ivar base: the fencing token; None where the client has asked for none.
    """

    TAG: ClassVar[str] = "evac"
    zone: str
    drained: bool
    base: Version | None = None

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels; without a base it ends before it."""
        fields = (self.TAG, self.zone, self.drained)
        return fields if self.base is None else (*fields, self.base)


class ReopenShard(Record):
    """Give up a shard's follower, and with it the claims that it holds alone (design 6.4).

    :ivar base: the fencing token; None where the client has asked for none.
    """

    TAG: ClassVar[str] = "reopen"
    name: str
    base: Version | None = None

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels; without a base it ends before it."""
        fields = (self.TAG, self.name)
        return fields if self.base is None else (*fields, self.base)


class AssignRole(Record):
    """Name the holder of a singleton role (design 5.6).

    :ivar kind: "shard" or "ledger".
    :ivar base_epoch: the role's epoch when this was decided; 0 where nobody held it.
    :ivar follower: the daemon that keeps a copy for the holder; "" for none.
    """

    TAG: ClassVar[str] = "duty"
    kind: str
    name: str
    base_epoch: int
    holder: str
    follower: str

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels."""
        return (self.TAG, *self.row())

    def row(self) -> tuple[str, str, int, str, str]:
        """Return the fields, as they stand among the rows of `AssignRoles`."""
        return (self.kind, self.name, self.base_epoch, self.holder, self.follower)


class AssignRoles(Record):
    """Name the holders of several singleton roles; those whose base has changed meanwhile are left out."""

    TAG: ClassVar[str] = "duties"
    assignments: tuple[AssignRole, ...]

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels."""
        return (self.TAG, tuple([assignment.row() for assignment in self.assignments]))


class DropRoles(Record):
    """Drop singleton roles of one kind that nobody needs any more."""

    TAG: ClassVar[str] = "drop"
    kind: str
    names: tuple[str, ...]

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels."""
        return (self.TAG, self.kind, self.names)


class RecordUsage(Record):
    """Record what the holder of the duty is about to report for a window, before it sends it (design 18.2).

    :ivar base_epoch: epoch of the duty's role under which this was decided.
    :ivar window: its number; all windows below it are closed with this.
    :ivar counts: (tenant, requests) each.
    """

    TAG: ClassVar[str] = "usage"
    base_epoch: int
    window: int
    counts: tuple[tuple[str, int], ...]

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels."""
        return (self.TAG, self.base_epoch, self.window, self.counts)


class UnknownOperation(Record):
    """An operation of a later program, or a malformed one."""

    raw: tuple[Any, ...]

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels."""
        return self.raw


FencedOperation = Evacuate | ReopenShard
"""Operations without a base of their own: they rest on a fencing token (design 5.4)."""

ControlOperation = (
    ConfigurationChange
    | TableChange
    | ReadSource
    | Evacuate
    | ReopenShard
    | AssignRole
    | AssignRoles
    | DropRoles
    | RecordUsage
    | UnknownOperation
)


def decode_operation(raw: tuple[Any, ...]) -> ControlOperation:
    """Return the typed operation of an array."""
    match raw:
        case (ConfigurationChange.TAG, base, configuration):
            return ConfigurationChange(base, configuration)
        case (TableChange.TAG, base, number, configuration, source):
            return TableChange(base, number, configuration, source)
        case (ReadSource.TAG,):
            return ReadSource()
        case (Evacuate.TAG | ReopenShard.TAG, *_):
            return decode_fenced_operation(raw)
        case (AssignRole.TAG, kind, name, base_epoch, holder, follower):
            return AssignRole(kind, name, base_epoch, holder, follower)
        case (AssignRoles.TAG, assignments):
            return AssignRoles(tuple([AssignRole(*assignment) for assignment in assignments]))
        case (DropRoles.TAG, kind, names):
            return DropRoles(kind, names)
        case (RecordUsage.TAG, base_epoch, window, counts):
            return RecordUsage(base_epoch, window, counts)
    return UnknownOperation(raw)


def decode_fenced_operation(raw: tuple[Any, ...]) -> FencedOperation | UnknownOperation:
    """Return the typed operation of an array, of those that rest on a fencing token."""
    match raw:
        case (Evacuate.TAG, zone, bool(drained)):
            return Evacuate(zone, drained)
        case (Evacuate.TAG, zone, bool(drained), base):
            return Evacuate(zone, drained, base)
        case (ReopenShard.TAG, name):
            return ReopenShard(name)
        case (ReopenShard.TAG, name, base):
            return ReopenShard(name, base)
    return UnknownOperation(raw)
