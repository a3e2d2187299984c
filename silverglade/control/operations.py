"""Operations that a client can request from the primary (design 5.3), one class per kind.

On the wire an operation is an array of its `TAG` and its fields, in the order given here. transport/message_schemas.py checks
shapes before a component sees a message; an array of unknown shape decodes to `UnknownOperation`.
"""

from __future__ import annotations

from typing import Any, ClassVar

from ..runtime.record import Record

Version = tuple[int, int]
"""(epoch, number) of a change."""


class ConfigurationChange(Record):
    """Replace the configuration of version `base` by a new one."""

    TAG: ClassVar[str] = "config"
    base: Version
    raw: Any

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return (self.TAG, self.base, self.raw)


class NumberedConfigurationChange(Record):
    """Replace a configuration whose versions the operator numbers (design 15.2).

    :ivar base: the operator's number of the configuration to replace; 0 for none.
    :ivar number: the operator's number of the new configuration.
    :ivar source: the text from which `raw` was made.
    """

    TAG: ClassVar[str] = "table"
    base: int
    number: int
    raw: Any
    source: str

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return (self.TAG, self.base, self.number, self.raw, self.source)


class ReadSource(Record):
    """Read the source text of the configuration in force."""

    TAG: ClassVar[str] = "read"

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return (self.TAG,)


class Evacuate(Record):
    """Drain a zone, or return it to service.

    :ivar base: the fencing token; None if the client has not requested one.
    """

    TAG: ClassVar[str] = "evac"
    zone: str
    drained: bool
    base: Version | None = None

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire; without a fencing token the last field is omitted."""
        fields = (self.TAG, self.zone, self.drained)
        return fields if self.base is None else (*fields, self.base)


class ReopenShard(Record):
    """Reopen a shard without its follower, giving up the claims that only the follower holds (design 6.4).

    :ivar base: the fencing token; None if the client has not requested one.
    """

    TAG: ClassVar[str] = "reopen"
    name: str
    base: Version | None = None

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire; without a fencing token the last field is omitted."""
        fields = (self.TAG, self.name)
        return fields if self.base is None else (*fields, self.base)


class AssignRole(Record):
    """Assign a singleton role to a daemon (design 5.6).

    :ivar kind: "shard", "ledger" or "platform".
    :ivar base_epoch: the role's epoch when the assignment was decided; 0 if it had no holder.
    :ivar follower: the daemon that keeps a replica for the holder; "" for none.
    """

    TAG: ClassVar[str] = "duty"
    kind: str
    name: str
    base_epoch: int
    holder: str
    follower: str

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return (self.TAG, *self.row())

    def row(self) -> tuple[str, str, int, str, str]:
        """Return the fields in the form of a row of `AssignRoles`."""
        return (self.kind, self.name, self.base_epoch, self.holder, self.follower)


class AssignRoles(Record):
    """Assign several singleton roles; assignments whose base epoch is out of date are skipped."""

    TAG: ClassVar[str] = "duties"
    assignments: tuple[AssignRole, ...]

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return (self.TAG, tuple([assignment.row() for assignment in self.assignments]))


class DropRoles(Record):
    """Drop singleton roles of one kind that are no longer needed."""

    TAG: ClassVar[str] = "drop"
    kind: str
    names: tuple[str, ...]

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return (self.TAG, self.kind, self.names)


class RecordUsage(Record):
    """Record the usage report of a window before the holder of the duty sends it (design 18.2).

    :ivar base_epoch: the epoch of the duty's role under which the report was made.
    :ivar window: the number of the window; this closes all windows below it.
    :ivar counts: (tenant, number of requests) pairs.
    """

    TAG: ClassVar[str] = "usage"
    base_epoch: int
    window: int
    counts: tuple[tuple[str, int], ...]

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return (self.TAG, self.base_epoch, self.window, self.counts)


class UnknownOperation(Record):
    """An operation of a later program version, or a malformed one."""

    raw: tuple[Any, ...]

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return self.raw


FencedOperation = Evacuate | ReopenShard
"""Operations without a base of their own; a fencing token takes its place (design 5.4)."""

ControlOperation = (
    ConfigurationChange
    | NumberedConfigurationChange
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
    """Decode an operation from its array."""
    match raw:
        case (ConfigurationChange.TAG, base, configuration):
            return ConfigurationChange(base, configuration)
        case (NumberedConfigurationChange.TAG, base, number, configuration, source):
            return NumberedConfigurationChange(base, number, configuration, source)
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
    """Decode an operation that carries a fencing token from its array."""
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
