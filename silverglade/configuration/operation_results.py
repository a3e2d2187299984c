"""What the primary answers to an operation (design 5.4): one class a result, read from the array that travels."""

from __future__ import annotations

from typing import Any, NamedTuple

RawResult = tuple[Any, ...]
"""A result as an array: its kind, then its fields."""


class Acknowledged(NamedTuple):
    """The operation was carried out and is synced by all members of the view.

    :ivar version: of the change; of a read: of the store that was read.
    :ivar source: of a read: the text in which an operator sent the configuration; else None.
    """

    version: tuple[int, int]
    source: str | None = None


class Refused(NamedTuple):
    """The operation was refused, and nothing was changed.

    :ivar code: a result code (docs/faults.md).
    :ivar detail: where the error lies, or empty.
    """

    code: int
    detail: str


class NotPrimary(NamedTuple):
    """The daemon that was asked is not primary; it believes that `primary` is, or knows none where that is empty."""

    primary: str


class OutcomeUnknown(NamedTuple):
    """Whether the operation was carried out could not be settled."""


class StaleBase(NamedTuple):
    """The version on which the operation rests cannot be judged; nothing was changed by this copy of the operation."""


class UnrecognizedResult(NamedTuple):
    """A result that this program does not know."""


OperationResult = Acknowledged | Refused | NotPrimary | OutcomeUnknown | StaleBase | UnrecognizedResult


def decode_result(raw: RawResult) -> OperationResult:
    """Read a result from its array, whose shape was checked (transport/message_schemas.py)."""
    match raw:
        case ("ok", version):
            return Acknowledged(version)
        case ("ok", version, source):
            return Acknowledged(version, source)
        case ("refuse", code, detail):
            return Refused(code, detail)
        case ("elsewhere", primary):
            return NotPrimary(primary)
        case ("unknown",):
            return OutcomeUnknown()
        case ("stale",):
            return StaleBase()
    return UnrecognizedResult()
