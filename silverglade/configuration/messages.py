"""Messages between daemons that the updater and the operator API send or handle, one class for each kind (design 5.4, 5.7).

On the wire each message is an array of its `TAG` and its fields in the order given here. transport/message_schemas.py checks the
shape of received messages before a component handles them. `encode` returns the array to send, `decode` reads a received one.
"""

from __future__ import annotations

from typing import Any, ClassVar

from ..control.operation_results import Result, decode_result
from ..runtime.record import Record

Version = tuple[int, int]
"""(epoch, number): version of a change, or of a whole store."""

Item = tuple[str, Version, Any]
"""(key, version, value): an entry of the store and the version of the change that set it; value None: the role was dropped."""

RawMessage = tuple[Any, ...]
"""A message as an array: its tag, then its fields."""

RawOperation = tuple[Any, ...]
"""An operation as an array: its tag, then its arguments (control/operations.py)."""


class UpdateRequest(Record):
    """Asks a core, or a zone relay, for all changes after a version.

    :ivar number: identifies the request; its answer carries the same number.
    :ivar version: the version of the store that the sender holds.
    :ivar position: how far the sender's table of soft state is synchronized (design 4.3).
    """

    TAG: ClassVar[str] = "get"
    number: int
    version: Version
    position: Any

    def encode(self) -> RawMessage:
        """Return the array to send."""
        return (self.TAG, self.number, self.version, self.position)


class UpdateAnswer(Record):
    """Answers an `UpdateRequest`.

    :ivar number: the number of the request.
    :ivar version: the version of the store that the answering daemon holds.
    :ivar items: the items of the store that the requesting daemon lacks.
    :ivar proof_age_ms: age, when the answer was sent, of the last proof that the primary was still primary; negative: no proof.
    :ivar held_ms: how long the answering daemon held the request (long poll) before it answered.
    :ivar delta: rows of soft state that the requesting daemon lacks.
    """

    TAG: ClassVar[str] = "news"
    number: int
    version: Version
    items: tuple[Item, ...]
    proof_age_ms: int
    held_ms: int
    delta: tuple[Any, ...]

    @classmethod
    def decode(cls, body: RawMessage) -> UpdateAnswer | None:
        """Return the decoded message; None for a message of another kind, or one without a delta."""
        if body[0] != cls.TAG or len(body) != 1 + len(cls.__match_args__):
            return None
        return cls(*body[1:])


class FencingTokenRequest(Record):
    """Asks the primary for the fencing token of an operation: the present version of the object that the operation changes.

    :ivar number: identifies the call; the answer carries the same number.
    """

    TAG: ClassVar[str] = "fence"
    number: int
    operation: RawOperation

    def encode(self) -> RawMessage:
        """Return the array to send."""
        return (self.TAG, self.number, self.operation)


class FencingTokenAnswer(Record):
    """Answers a `FencingTokenRequest`."""

    TAG: ClassVar[str] = "fenced"
    number: int
    token: Version


class OperationRequest(Record):
    """Asks the primary to execute an operation.

    :ivar number: identifies the call; the answer carries the same number.
    :ivar change_id: the idempotency key that the operator gave the change; may be empty.
    :ivar digest: digest of the operation, which distinguishes a retry from another change with the same id.
    """

    TAG: ClassVar[str] = "op"
    number: int
    change_id: str
    operation: RawOperation
    digest: str

    def encode(self) -> RawMessage:
        """Return the array to send."""
        return (self.TAG, self.number, self.change_id, self.operation, self.digest)


class OperationAnswer(Record):
    """Answers an `OperationRequest`, or a `FencingTokenRequest` that reached a daemon which is not primary."""

    TAG: ClassVar[str] = "opr"
    number: int
    result: Result


def decode_primary_answer(body: RawMessage) -> FencingTokenAnswer | OperationAnswer | None:
    """Return a core's decoded answer to an operator's call; None for a message of another kind."""
    kind, number, value = body
    if kind == FencingTokenAnswer.TAG:
        return FencingTokenAnswer(number, value)
    if kind == OperationAnswer.TAG:
        return OperationAnswer(number, decode_result(value))
    return None
