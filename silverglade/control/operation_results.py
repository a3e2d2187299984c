"""Results of operations, as returned to clients, one class per kind (design 5.4).

A result is sent in an `OperationResult` message as an array of its tag and its fields.
"""

from __future__ import annotations

from typing import Any

from ..runtime.record import Record
from .operations import Version


class Acknowledged(Record):
    """The change was synced by all members of the view; `version` is the version of the change."""

    version: Version

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return ("ok", self.version)


class SourceRead(Record):
    """The source text of the configuration in force; `version` is the version of the store."""

    version: Version
    source: Any

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return ("ok", self.version, self.source)


class Refused(Record):
    """The operation was refused and will never be accepted.

    :ivar code: one of runtime/result_codes.py.
    """

    code: int
    detail: str

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return ("refuse", self.code, self.detail)


class Redirected(Record):
    """The core that received the operation is not the primary; `primary` is that of the newest view it has adopted, "" for none."""

    primary: str

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return ("elsewhere", self.primary)


class OutcomeUnknown(Record):
    """The operation may or may not have been accepted, or may still be accepted under a later view."""

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return ("unknown",)


class Stale(Record):
    """The operation cannot be evaluated against its base; this copy of the request changed nothing."""

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return ("stale",)


class UnrecognizedResult(Record):
    """An array of unknown shape, as from a later program version; it is never sent."""

    raw: tuple[Any, ...]

    def encode(self) -> tuple[Any, ...]:
        """Return the array sent on the wire."""
        return self.raw


Result = Acknowledged | SourceRead | Refused | Redirected | OutcomeUnknown | Stale | UnrecognizedResult


def decode_result(raw: tuple[Any, ...]) -> Result:
    """Decode a result from its array."""
    match raw:
        case ("ok", version):
            return Acknowledged(version)
        case ("ok", version, source):
            return SourceRead(version, source)
        case ("refuse", code, detail):
            return Refused(code, detail)
        case ("elsewhere", primary):
            return Redirected(primary)
        case ("unknown",):
            return OutcomeUnknown()
        case ("stale",):
            return Stale()
    return UnrecognizedResult(raw)
