"""Messages between an ingress and other daemons (design 6.5, 6.6), one class a kind.

On the wire each is an array of its `TAG` and its fields in the order given here (transport/message_schemas.py checks the shapes
before any component sees them). `decode` builds those that an ingress receives; `to_body` gives the array of those that it sends.
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
    """What an owner is told of a request.

    :ivar left_ms: until the deadline, at least 1.
    :ivar client_attempt: by the client's count; 0 where it gave none.
    """

    class_name: str
    key: str
    prefix: str
    left_ms: int
    client_attempt: int


class GrantRequest(Record):
    """To the owner: a request wants a replica and, where its class needs one, a claim.

    :ivar attempt: number of the dispatch that it is for, from 1.
    :ivar epoch: of the owner's role.
    """

    TAG: ClassVar[str] = "ask"
    request_id: str
    attempt: int
    tenant: str
    epoch: int
    facts: GrantRequestFacts

    def to_body(self) -> tuple[Any, ...]:
        """The array that travels."""
        return (self.TAG, self.request_id, self.attempt, self.tenant, self.epoch, tuple(self.facts))


class Grant(Record):
    """From the owner: the request may be sent to this replica.

    :ivar incarnation: of the replica.
    :ivar epoch: of the owner's role.
    :ivar is_overflow: the replica is outside the tenant's first home.
    :ivar key_was_known: the owner saw the key before.
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

    :ivar ran: what the owner knows of whether it ran (execution.py).
    :ivar retry_after_ms: None where another attempt is of no use.
    """

    TAG: ClassVar[str] = "deny"
    request_id: str
    attempt: int
    code: int
    ran: str
    retry_after_ms: Any


class OwnerMoved(Record):
    """From a daemon that does not own the shard, or not under this epoch."""

    TAG: ClassVar[str] = "moved"
    request_id: str
    attempt: int


class RunEnded(Record):
    """To the owner: what became of a granted dispatch.

    :ivar outcome: `OUTCOME_NOT_SENT`, `OUTCOME_NOT_RUN`, `OUTCOME_DONE` or `OUTCOME_MAY_HAVE_RAN`.
    """

    TAG: ClassVar[str] = "fin"
    request_id: str
    attempt: int
    outcome: str

    def to_body(self) -> tuple[Any, ...]:
        """The array that travels."""
        return (self.TAG, self.request_id, self.attempt, self.outcome)


class RequestAbandoned(Record):
    """To the owner: the request will not be sent to any replica."""

    TAG: ClassVar[str] = "quit"
    request_id: str

    def to_body(self) -> tuple[Any, ...]:
        """The array that travels."""
        return (self.TAG, self.request_id)


# --- between the daemon where a request came in and one of the tenant's homes


class ForwardRequest(Record):
    """A request on its way to a daemon of its homes.

    :ivar bearer_key: the tenant's key, checked again there.
    :ivar left_ms: until the deadline.
    :ivar attempt: by the client's count; 0 where it gave none.
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
        """The array that travels."""
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
        """The head as a client would have sent it."""
        return RequestHead(self.bearer_key, self.class_name, self.key, str(self.left_ms), self.prefix, str(self.attempt or ""))


class ForwardedResult(Record):
    """Back to where the request came in: a part of the answer.

    :ivar number: of the results of this request, from 1, without gaps.
    :ivar kind: of results.py; `details` depend on it.
    """

    TAG: ClassVar[str] = "res"
    request_id: str
    number: int
    kind: str
    details: tuple[Any, ...]

    def to_body(self) -> tuple[Any, ...]:
        """The array that travels."""
        return (self.TAG, self.request_id, self.number, self.kind, *self.details)


class PiecesConsumed(Record):
    """To the forwarded request's daemon: its client has taken the pieces up to this number."""

    TAG: ClassVar[str] = "more"
    request_id: str
    pieces: int

    def to_body(self) -> tuple[Any, ...]:
        """The array that travels."""
        return (self.TAG, self.request_id, self.pieces)


class RequestCancelled(Record):
    """To the forwarded request's daemon: nobody waits for the answer any more."""

    TAG: ClassVar[str] = "left"
    request_id: str

    def to_body(self) -> tuple[Any, ...]:
        """The array that travels."""
        return (self.TAG, self.request_id)


OwnerMessage = Grant | Denial | OwnerMoved
SentMessage = GrantRequest | RunEnded | RequestAbandoned | ForwardRequest | ForwardedResult | PiecesConsumed | RequestCancelled
ReceivedMessage = OwnerMessage | ForwardRequest | ForwardedResult | PiecesConsumed | RequestCancelled


def send(to: str, message: SentMessage) -> Send:
    """The effect that sends a message."""
    return Send(to, message.to_body())


def decode(body: tuple[Any, ...]) -> ReceivedMessage | None:
    """The message of a body; None for a kind that an ingress does not receive."""
    match body:
        case (Grant.TAG, request_id, attempt, replica, incarnation, address, epoch, is_overflow, *rest):
            is_retry = bool(rest) and rest[0] is True  # owners of an earlier version don't say
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
