"""The messages about tenants' shards and replicas' slots, one class a kind (design 6, 7.3).

On the wire each is an array of its kind (`MESSAGE_CLASSES`) and its fields in the order given here. Shapes of all kinds are
checked before any component sees them (transport/message_schemas.py); `decode` makes the message of a checked body, and `encode`
the body again.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

from ..runtime.effects import Send
from ..runtime.record import Record, field_names, fields_of, required_field_count


class RefusalReason(StrEnum):
    """Why a follower refuses a claim or an adoption. Messages hold the plain value."""

    UNKNOWN_SHARD = "none"  # it holds nothing of the shard
    OTHER_EPOCH = "old"  # it follows another epoch
    ALREADY_CLAIMED = "seen"  # another request has claimed the key


class RunOutcome(StrEnum):
    """How a granted request ended, as its ingress tells. Messages hold the plain value."""

    DONE = "done"  # the replica answered to the end
    MAY_HAVE_RAN = "ran"  # a replica had it, perhaps
    REFUSED = "unrun"  # the replica surely did not run it
    NOT_SENT = "barred"  # it was not sent, since the replica could not be used any more


class RunStatus(StrEnum):
    """What the owner knows of whether a request's key ran. Messages hold the plain value."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"
    UNKNOWN = "?"  # the owner cannot tell


ClaimRow = tuple[str, str, str, int]
"""A claim as it travels: (key digest, request id, state, number)."""


# --- between a request's ingress and the owner of its tenant's shard


class GrantRequestFacts(NamedTuple):
    """What an owner must know of a request.

    :ivar request_class: of the tenant.
    :ivar key: the idempotency key.
    :ivar prefix: the prompt prefix that it declares, or empty.
    :ivar time_left_ms: until its deadline.
    :ivar client_attempt: which attempt of its client it is; 0 where that is not known.
    """

    request_class: str
    key: str
    prefix: str
    time_left_ms: int
    client_attempt: int

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> GrantRequestFacts:
        """The facts of a checked row; an earlier program sends no attempt, a later one may append fields."""
        request_class, key, prefix, time_left_ms, *rest = row
        client_attempt = rest[0] if rest and type(rest[0]) is int else 0
        return cls(request_class, key, prefix, time_left_ms, client_attempt)


class GrantRequest(Record):
    """An ingress asks the owner to run a request: `asking` is 1, and one more for each redispatch."""

    request_id: str
    attempt: int
    tenant: str
    epoch: int
    facts: tuple[Any, ...]


class Grant(Record):
    """The request may run on this replica; `is_overflow`: outside its first home, `is_retry`: its key was asked before."""

    request_id: str
    attempt: int
    replica: str
    incarnation: int
    address: str
    epoch: int
    is_overflow: bool
    is_retry: bool = False


class Denial(Record):
    """The request may not run.

    :ivar code: the result code.
    :ivar ran: whether the key ran, as a `Ran` value (design 6.5).
    :ivar retry_after_ms: when the client may come back, or None.
    """

    request_id: str
    attempt: int
    code: int
    ran: str
    retry_after_ms: int | None


class OwnerMoved(Record):
    """The shard is owned elsewhere, or under another epoch."""

    request_id: str
    attempt: int


class RunEnded(Record):
    """The ingress tells how a granted request ended, as a `RunOutcome` value."""

    request_id: str
    attempt: int
    outcome: str


class RequestAbandoned(Record):
    """The ingress will never send this request to a replica."""

    request_id: str


# --- between the owner and the holder of a replica's slot leases


class LeaseRequest(Record):
    """An owner asks for one slot."""

    replica: str
    epoch: int
    lease_id: str
    tenant: str


class LeaseGranted(Record):
    """The owner holds the slot."""

    lease_id: str
    replica: str
    epoch: int


class LeaseDenied(Record):
    """The owner does not get the slot: "moved" (another daemon leases them, or another epoch) or "full"."""

    lease_id: str
    replica: str
    reason: str


class LeaseOffer(Record):
    """A slot came free that this tenant waited for; the owner holds it from here on."""

    replica: str
    epoch: int
    lease_id: str
    tenant: str


class LeaseRelease(Record):
    """The owner gives a slot back; `succeeded`: the request ran to its end."""

    replica: str
    lease_id: str
    succeeded: bool


class LeaseRenewal(Record):
    """The owner still holds these leases: (lease id, tenant) each."""

    replica: str
    epoch: int
    leases: tuple[tuple[str, str], ...]


# --- between the owner and the follower of a shard


class ClaimRequest(Record):
    """The owner asks the follower to sync a claim; `call_id` comes back in the answer."""

    shard: str
    epoch: int
    call_id: str
    key_digest: str
    request_id: str
    number: int


class Claimed(Record):
    """The claim is synced."""

    shard: str
    epoch: int
    call_id: str


class ClaimRefused(Record):
    """The claim was not taken, for a `Refusal`."""

    shard: str
    epoch: int
    call_id: str
    reason: str


class ClaimStateUpdate(Record):
    """The state of a claim has changed; "free": it is taken back."""

    shard: str
    epoch: int
    key_digest: str
    request_id: str
    state: str


class AdoptRequest(Record):
    """An owner asks for all claims and has the follower take none of an earlier epoch any more."""

    shard: str
    epoch: int


class Adopted(Record):
    """All claims that the follower holds."""

    shard: str
    epoch: int
    claims: tuple[ClaimRow, ...]


class AdoptionRefused(Record):
    """The follower does not follow this owner, for a `Refusal`."""

    shard: str
    epoch: int
    reason: str


class ClaimsCopy(Record):
    """All claims for a new follower, which drops what it held of the shard."""

    shard: str
    epoch: int
    number: int
    claims: tuple[ClaimRow, ...]


class ClaimsCopied(Record):
    """The copy of that number is synced."""

    shard: str
    epoch: int
    number: int


Message = (
    GrantRequest
    | Grant
    | Denial
    | OwnerMoved
    | RunEnded
    | RequestAbandoned
    | LeaseRequest
    | LeaseGranted
    | LeaseDenied
    | LeaseOffer
    | LeaseRelease
    | LeaseRenewal
    | ClaimRequest
    | Claimed
    | ClaimRefused
    | ClaimStateUpdate
    | AdoptRequest
    | Adopted
    | AdoptionRefused
    | ClaimsCopy
    | ClaimsCopied
)

MESSAGE_CLASSES: dict[str, type[Message]] = {
    "ask": GrantRequest,
    "grant": Grant,
    "deny": Denial,
    "moved": OwnerMoved,
    "fin": RunEnded,
    "quit": RequestAbandoned,
    "lease": LeaseRequest,
    "leased": LeaseGranted,
    "unleased": LeaseDenied,
    "offer": LeaseOffer,
    "release": LeaseRelease,
    "renew": LeaseRenewal,
    "claim": ClaimRequest,
    "claimed": Claimed,
    "unclaimed": ClaimRefused,
    "mark": ClaimStateUpdate,
    "adopt": AdoptRequest,
    "adopted": Adopted,
    "unadopted": AdoptionRefused,
    "copy": ClaimsCopy,
    "copied": ClaimsCopied,
}
"""The class of each kind on the wire."""

_TAGS: dict[type[Message], str] = {message_class: tag for tag, message_class in MESSAGE_CLASSES.items()}

_SHAPES: dict[str, tuple[Any, int, int]] = {
    tag: (message_class, 1 + required_field_count(message_class), 1 + len(field_names(message_class)))
    for tag, message_class in MESSAGE_CLASSES.items()
}
"""Of each kind: its class, and the least and the greatest length of a body that is read."""


def encode(message: Message) -> tuple[Any, ...]:
    """The body that travels."""
    return (_TAGS[type(message)], *fields_of(message))


def decode(body: tuple[Any, ...]) -> Message | None:
    """The message of a checked body; None for a kind that is not of this package. Fields of a later program are dropped."""
    shape = _SHAPES.get(body[0])
    if shape is None:
        return None
    message_class, least_length, greatest_length = shape
    if len(body) < least_length:
        return None
    message: Message = message_class(*body[1:greatest_length])
    return message


def send(to: str, message: Message) -> Send:
    """The effect that sends a message to a daemon."""
    return Send(to, encode(message))
