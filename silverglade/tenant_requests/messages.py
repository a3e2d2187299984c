"""Messages between an ingress and other daemons (design 6.5, 6.6), one class per kind.

On the wire each message is an array of its `TAG` and its fields in the order given here. The shapes are validated before any
component receives them (transport/message_schemas.py). `decode` builds the messages that an ingress receives, `to_body` returns the
array of those that it sends.
"""

from __future__ import annotations

from typing import Any, ClassVar, Final, NamedTuple

from ..runtime.effects import Send
from ..runtime.record import Record
from .admission import RequestHead

OUTCOME_NOT_SENT: Final = "barred"
OUTCOME_NOT_RUN: Final = "unrun"
OUTCOME_DONE: Final = "done"
OUTCOME_MAY_HAVE_RAN: Final = "ran"


# --- to and from the owner of a tenant's shard


class GrantRequestFacts(NamedTuple):
    """The request data that an owner needs for its decision.

    :ivar left_ms: time until the deadline, at least 1.
    :ivar client_attempt: number of the attempt by the client's own count, from 1; 0 if it sent none.
    """

    class_name: str
    key: str
    prefix: str
    left_ms: int
    client_attempt: int


class GrantRequest(Record):
    """To the owner: requests a replica and, if the request class needs one, a claim.

    :ivar attempt: number of the dispatch attempt, from 1.
    :ivar epoch: epoch of the owner's assignment.
    """

    TAG: ClassVar[str] = "ask"
    request_id: str
    attempt: int
    tenant: str
    epoch: int
    facts: GrantRequestFacts

    def to_body(self) -> tuple[Any, ...]:
        """Return the message in its wire form."""
        return (self.TAG, self.request_id, self.attempt, self.tenant, self.epoch, tuple(self.facts))


class Grant(Record):
    """From the owner: the request may be sent to this replica.

    :ivar incarnation: incarnation of the replica.
    :ivar epoch: epoch of the owner's assignment.
    :ivar is_overflow: whether the replica is outside the tenant's first home.
    :ivar is_retry: whether the owner has seen the key before.
    """

    TAG: ClassVar[str] = "grant"
    request_id: str
    attempt: int
    replica: str
    incarnation: int
    address: str
    epoch: int
    is_overflow: bool
    is_retry: bool


class Denial(Record):
    """From the owner: the request is refused.

    :ivar ran: whether the request ran, as far as the owner knows (execution.py).
    :ivar retry_after_ms: time after which the client may retry; None if a retry is useless.
    """

    TAG: ClassVar[str] = "deny"
    request_id: str
    attempt: int
    code: int
    ran: str
    retry_after_ms: Any


class OwnerMoved(Record):
    """From a queried daemon: it does not own the shard, or owns it under another epoch."""

    TAG: ClassVar[str] = "moved"
    request_id: str
    attempt: int


class RunEnded(Record):
    """To the owner: how a granted dispatch ended.

    :ivar outcome: `OUTCOME_NOT_SENT`, `OUTCOME_NOT_RUN`, `OUTCOME_DONE` or `OUTCOME_MAY_HAVE_RAN`.
    """

    TAG: ClassVar[str] = "fin"
    request_id: str
    attempt: int
    outcome: str

    def to_body(self) -> tuple[Any, ...]:
        """Return the message in its wire form."""
        return (self.TAG, self.request_id, self.attempt, self.outcome)


class RequestAbandoned(Record):
    """To the owner: the request will not be sent to any replica."""

    TAG: ClassVar[str] = "quit"
    request_id: str

    def to_body(self) -> tuple[Any, ...]:
        """Return the message in its wire form."""
        return (self.TAG, self.request_id)


# --- between the daemon that received a request from its client and one in the tenant's home zones


class ForwardRequest(Record):
    """A request forwarded to a daemon in its home zones.

    :ivar bearer_key: the tenant's secret key, validated again by the receiver.
    :ivar left_ms: time until the deadline.
    :ivar attempt: number of the attempt by the client's own count, from 1; 0 if it sent none.
    """

    TAG: ClassVar[str] = "hand"
    request_id: str
    bearer_key: str
    class_name: str
    key: str
    key_is_generated: bool
    left_ms: int
    prefix: str
    attempt: int
    body: bytes

    def to_body(self) -> tuple[Any, ...]:
        """Return the message in its wire form."""
        return (
            self.TAG,
            self.request_id,
            self.bearer_key,
            self.class_name,
            self.key,
            self.key_is_generated,
            self.left_ms,
            self.prefix,
            self.attempt,
            self.body,
        )

    def head(self) -> RequestHead:
        """Return the head as the client would have sent it."""
        return RequestHead(self.bearer_key, self.class_name, self.key, str(self.left_ms), self.prefix, str(self.attempt or ""))


class ForwardedResult(Record):
    """To the daemon that forwarded the request: a part of the answer.

    :ivar number: sequence number among the results of this request, from 1, without gaps.
    :ivar kind: kind of the result (results.py); determines the form of `details`.
    """

    TAG: ClassVar[str] = "res"
    request_id: str
    number: int
    kind: str
    details: tuple[Any, ...]

    def to_body(self) -> tuple[Any, ...]:
        """Return the message in its wire form."""
        return (self.TAG, self.request_id, self.number, self.kind, *self.details)


class PiecesConsumed(Record):
    """To the daemon that runs a forwarded request: the client has consumed the pieces up to this number (flow control)."""

    TAG: ClassVar[str] = "more"
    request_id: str
    pieces: int

    def to_body(self) -> tuple[Any, ...]:
        """Return the message in its wire form."""
        return (self.TAG, self.request_id, self.pieces)


class RequestCancelled(Record):
    """To the daemon that runs a forwarded request: the answer is no longer wanted."""

    TAG: ClassVar[str] = "left"
    request_id: str

    def to_body(self) -> tuple[Any, ...]:
        """Return the message in its wire form."""
        return (self.TAG, self.request_id)


OwnerMessage = Grant | Denial | OwnerMoved
SentMessage = GrantRequest | RunEnded | RequestAbandoned | ForwardRequest | ForwardedResult | PiecesConsumed | RequestCancelled
ReceivedMessage = OwnerMessage | ForwardRequest | ForwardedResult | PiecesConsumed | RequestCancelled


def send(to: str, message: SentMessage) -> Send:
    """Return the effect that sends a message to a daemon."""
    return Send(to, message.to_body())


def decode(body: tuple[Any, ...]) -> ReceivedMessage | None:
    """Return the message in a body; None for a kind that an ingress does not receive."""
    match body:
        case (Grant.TAG, request_id, attempt, replica, incarnation, address, epoch, is_overflow, *rest):
            is_retry = bool(rest) and rest[0] is True  # earlier versions omit this field
            return Grant(request_id, attempt, replica, incarnation, address, epoch, is_overflow, is_retry)
        case (Denial.TAG, request_id, attempt, code, ran, retry_after_ms):
            return Denial(request_id, attempt, code, ran, retry_after_ms)
        case (OwnerMoved.TAG, request_id, attempt):
            return OwnerMoved(request_id, attempt)
        case (ForwardedResult.TAG, request_id, number, kind, *details):
            return ForwardedResult(request_id, number, kind, tuple(details))
        case (PiecesConsumed.TAG, request_id, pieces):
            return PiecesConsumed(request_id, pieces)
        case (ForwardRequest.TAG, *fields):
            return ForwardRequest(*fields)
        case (RequestCancelled.TAG, request_id):
            return RequestCancelled(request_id)
    return None
