"""Claims (design 6.3): notes that a request's idempotency key was taken once, by the digest of the key."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from .messages import ClaimRow

SURPLUS_DIVISOR = 8
"""Claims are dropped once an eighth more than the limit has gathered."""


class ClaimState(StrEnum):
    """What is known of a claimed request. Claims hold the plain value; FREE takes a claim back and is never stored."""

    CLAIMED = "claimed"  # it may run
    MAY_HAVE_RAN = "ran"  # a replica had it
    DONE = "done"
    FREE = "free"  # it surely never ran: the key may be claimed anew


class Claim(NamedTuple):
    """A claim of a key.

    :ivar request_id: the request that claimed it.
    :ivar state: a `ClaimState` value.
    :ivar number: of the claim within its shard, in the order of the claims.
    """

    request_id: str
    state: str
    number: int


def expired_keys(claims: Mapping[str, Claim], limit: int) -> tuple[str, ...]:
    """The keys of claims older than the newest `limit`, once a surplus has gathered."""
    if len(claims) <= limit + limit // SURPLUS_DIVISOR:
        return ()
    oldest_kept = max([claim.number for claim in claims.values()]) - limit
    return tuple([key for key, claim in claims.items() if claim.number <= oldest_kept])


def claims_to_rows(claims: Mapping[str, Claim]) -> tuple[ClaimRow, ...]:
    """Claims as they travel, in the order of their keys."""
    return tuple([(key, claim.request_id, claim.state, claim.number) for key, claim in sorted(claims.items())])


def claims_from_rows(rows: Iterable[ClaimRow]) -> dict[str, Claim]:
    """Claims from the rows of a message."""
    return {key: Claim(request_id, state, number) for key, request_id, state, number in rows}
