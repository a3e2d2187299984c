"""Operations that an operator asks the primary for (design 2.3, 5.4), one class each.

On the wire an operation is an array: what is to be done, then its arguments. The primary reads it in
control/replicated_state.py.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ..transport.message_schemas import FENCED_OPERATIONS
from .messages import RawOperation, Version
from .schema import key_digest

REPLACE_BY_NUMBER = "table"


class ReplaceConfiguration(NamedTuple):
    """Replace the configuration whose version in control is `base`.

    :ivar raw: the new configuration, not checked.
    """

    base: Version
    raw: Any

    def encode(self) -> RawOperation:
        """Return the array that travels."""
        return ("config", self.base, self.raw)


class ReplaceConfigurationByNumber(NamedTuple):
    """Replace the configuration whose own number is `base` (design 15.2).

    :ivar number: of the new configuration.
    :ivar raw: the new configuration, not checked.
    :ivar source: the text in which the operator sent it.
    """

    base: int
    number: int
    raw: Any
    source: str

    def encode(self) -> RawOperation:
        """Return the array that travels."""
        return (REPLACE_BY_NUMBER, self.base, self.number, self.raw, self.source)


class ReadSource(NamedTuple):
    """Read the text in which an operator sent the configuration in force."""

    def encode(self) -> RawOperation:
        """Return the array that travels."""
        return ("read",)


class SetEvacuation(NamedTuple):
    """Begin or end the evacuation of a zone."""

    zone: str
    is_evacuated: bool

    def encode(self) -> RawOperation:
        """Return the array that travels."""
        return ("evac", self.zone, self.is_evacuated)


class ReopenShard(NamedTuple):
    """Let a tenant's shard begin anew, although its claims are lost (design 6.4)."""

    tenant: str

    def encode(self) -> RawOperation:
        """Return the array that travels."""
        return ("reopen", self.tenant)


def needs_fencing_token(operation: RawOperation) -> bool:
    """Whether an operation names no base of its own, so that one is read from the primary first."""
    return operation[0] in FENCED_OPERATIONS


def operation_digest(operation: RawOperation) -> str:
    """Digest what an operation says, whichever daemon sends it.

    A configuration with a number of its own counts by its text: each daemon parses that for itself.
    """
    if operation[0] == REPLACE_BY_NUMBER:
        kind, base, number, _, source = operation
        operation = (kind, base, number, source)
    return key_digest(repr(operation))
