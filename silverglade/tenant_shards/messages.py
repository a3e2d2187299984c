"""Messages about tenants' shards and replicas' slots, one class per kind (design 6, 7.3).

On the wire each message is an array of its kind (`MESSAGE_CLASSES`) and its fields in the order given here. The shapes are
validated before any component receives them (transport/message_schemas.py). `decode` converts a validated body to a message,
`encode` a message to its body.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

from ..runtime.effects import Send
from ..runtime.record import Record, field_names, fields_of, required_field_count


class RefusalReason(StrEnum):
    """Why a follower refuses a claim or an adoption. Messages hold the plain string."""

    UNKNOWN_SHARD = "none"  # the follower has no claims of the shard
    OTHER_EPOCH = "old"  # the follower follows another epoch
    ALREADY_CLAIMED = "seen"  # another request has claimed the key


class RunOutcome(StrEnum):
    """How a granted request ended, as reported by its ingress. Messages hold the plain string."""

    DONE = "done"  # the replica ran it to completion
    MAY_HAVE_RAN = "ran"  # it was sent to a replica that may have run it
    REFUSED = "unrun"  # the replica certainly did not run it
    NOT_SENT = "barred"  # not dispatched, since the replica was no longer usable


class RunStatus(StrEnum):
    """What the owner knows of whether a request's key ran. Messages hold the plain string."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"
    UNKNOWN = "?"  # the owner has no information on the key


ClaimRow = tuple[str, str, str, int]
"""Wire form of a claim: (key digest, request id, state, number)."""


# --- between the ingress of a request and the owner of its tenant's shard


class GrantRequestFacts(NamedTuple):
    """The request data that an owner needs for its decision.

    :ivar request_class: name of the request class in the tenant's configuration.
    :ivar key: the idempotency key.
    :ivar prefix: the prompt prefix that the request declares, or empty.
    :ivar time_left_ms: time until its deadline.
    :ivar client_attempt: number of the attempt by the client's own count, from 1; 0 if unknown.
    """

    request_class: str
    key: str
    prefix: str
    time_left_ms: int
    client_attempt: int

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> GrantRequestFacts:
        """Return the facts in the row `GrantRequest.facts`, which an ingress has sent.

        Called by the owner for each grant request. The message schemas (transport/message_schemas.py) have checked the first four
        values of the row, but none after them, since the ingress may run another version of this software: earlier versions send no
        client attempt, later ones may append fields. A fifth value that is not an integer is therefore treated like a missing one.
        """
        request_class, key, prefix, time_left_ms, *rest = row
        client_attempt = rest[0] if rest and type(rest[0]) is int else 0
        return cls(request_class, key, prefix, time_left_ms, client_attempt)


class GrantRequest(Record):
    """From an ingress: requests a grant. `attempt` is 1 for the first dispatch, and one more for each redispatch."""

    request_id: str
    attempt: int
    tenant: str
    epoch: int
    facts: tuple[Any, ...]


class Grant(Record):
    """The request may run on this replica. `is_overflow`: outside the tenant's first home; `is_retry`: the key was used before."""

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
    :ivar ran: whether the key ran, as a `RunStatus` value (design 6.5).
    :ivar retry_after_ms: time after which the client may retry, or None.
    """

    request_id: str
    attempt: int
    code: int
    ran: str
    retry_after_ms: int | None


class OwnerMoved(Record):
    """This daemon does not own the shard, or owns it under another epoch."""

    request_id: str
    attempt: int


class RunEnded(Record):
    """From an ingress: reports how a granted request ended, as a `RunOutcome` value."""

    request_id: str
    attempt: int
    outcome: str


class RequestAbandoned(Record):
    """From an ingress: the request will never be sent to a replica."""

    request_id: str


# --- between the owner and the holder of a replica's slot leases


class LeaseRequest(Record):
    """From an owner: requests the lease of one slot."""

    replica: str
    epoch: int
    lease_id: str
    tenant: str


class LeaseGranted(Record):
    """To the owner: it holds the lease of the slot."""

    lease_id: str
    replica: str
    epoch: int


class LeaseDenied(Record):
    """To the owner: no lease, because of "moved" (other lease holder or epoch) or "full" (no free slot)."""

    lease_id: str
    replica: str
    reason: str


class LeaseOffer(Record):
    """To the owner: a slot that this tenant waited for is free; the owner holds its lease from now on."""

    replica: str
    epoch: int
    lease_id: str
    tenant: str


class LeaseRelease(Record):
    """From the owner: ends a lease; `succeeded`: the request ran to completion."""

    replica: str
    lease_id: str
    succeeded: bool


class LeaseRenewal(Record):
    """From the owner: it still holds these leases, each given as (lease id, tenant)."""

    replica: str
    epoch: int
    leases: tuple[tuple[str, str], ...]


# --- between the owner and the follower of a shard


class ClaimRequest(Record):
    """From the owner: has the follower sync a claim; the answer repeats `call_id`."""

    shard: str
    epoch: int
    call_id: str
    key_digest: str
    request_id: str
    number: int


class Claimed(Record):
    """To the owner: the claim is synced to the follower's disk."""

    shard: str
    epoch: int
    call_id: str


class ClaimRefused(Record):
    """To the owner: the claim was refused, for a `RefusalReason` value."""

    shard: str
    epoch: int
    call_id: str
    reason: str


class ClaimStateUpdate(Record):
    """From the owner: changes the state of a claim; "free" deletes it."""

    shard: str
    epoch: int
    key_digest: str
    request_id: str
    state: str


class AdoptRequest(Record):
    """From an owner: requests all claims, and has the follower refuse claims of earlier epochs from now on."""

    shard: str
    epoch: int


class Adopted(Record):
    """To the owner: all claims that the follower holds."""

    shard: str
    epoch: int
    claims: tuple[ClaimRow, ...]


class AdoptionRefused(Record):
    """To the owner: the follower does not follow it, for a `RefusalReason` value."""

    shard: str
    epoch: int
    reason: str


class ClaimsCopy(Record):
    """From the owner: all claims, which replace what the new follower held of the shard."""

    shard: str
    epoch: int
    number: int
    claims: tuple[ClaimRow, ...]


class ClaimsCopied(Record):
    """To the owner: the copy with this number is synced."""

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
"""Message class by kind on the wire."""

_TAGS: dict[type[Message], str] = {message_class: tag for tag, message_class in MESSAGE_CLASSES.items()}

_SHAPES: dict[str, tuple[Any, int, int]] = {
    tag: (message_class, 1 + required_field_count(message_class), 1 + len(field_names(message_class)))
    for tag, message_class in MESSAGE_CLASSES.items()
}
"""By kind: its class, the minimum length of a body, and the length beyond which fields are ignored."""


def encode(message: Message) -> tuple[Any, ...]:
    """Return the body of a message in its wire form."""
    return (_TAGS[type(message)], *fields_of(message))


def decode(body: tuple[Any, ...]) -> Message | None:
    """Return the message in a validated body; None for a kind of another package or a body that is too short.

    Fields appended by later versions are dropped.
    """
    shape = _SHAPES.get(body[0])
    if shape is None:
        return None
    message_class, min_length, max_length = shape
    if len(body) < min_length:
        return None
    message: Message = message_class(*body[1:max_length])
    return message


def send(to: str, message: Message) -> Send:
    """Return the effect that sends a message to a daemon."""
    return Send(to, encode(message))
