"""Claims (design 6.3): records, by key digest, that an idempotency key is in use by one request."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from .messages import ClaimRow

SURPLUS_DIVISOR = 8
"""Claims are expired in batches, once their number exceeds the limit by one eighth."""


class ClaimState(StrEnum):
    """What is known of a claimed request. Claims hold the plain string; FREE deletes a claim and is never stored."""

    CLAIMED = "claimed"  # it may run
    MAY_HAVE_RAN = "ran"  # it was sent to a replica that may have run it
    DONE = "done"  # a replica ran it to completion
    FREE = "free"  # it certainly never ran: the key may be claimed again


class Claim(NamedTuple):
    """A claim of a key.

    :ivar request_id: the request that claimed the key.
    :ivar state: a `ClaimState` value.
    :ivar number: sequence number of the claim within its shard.
    """

    request_id: str
    state: str
    number: int


def expired_keys(claims: Mapping[str, Claim], limit: int) -> tuple[str, ...]:
    """Return the keys of all claims but the newest `limit`; none until the surplus is reached (`SURPLUS_DIVISOR`)."""
    if len(claims) <= limit + limit // SURPLUS_DIVISOR:
        return ()
    oldest_kept = max([claim.number for claim in claims.values()]) - limit
    return tuple([key for key, claim in claims.items() if claim.number <= oldest_kept])


def claims_to_rows(claims: Mapping[str, Claim]) -> tuple[ClaimRow, ...]:
    """Return the claims in their wire form, sorted by key."""
    return tuple([(key, claim.request_id, claim.state, claim.number) for key, claim in sorted(claims.items())])


def claims_from_rows(rows: Iterable[ClaimRow]) -> dict[str, Claim]:
    """Return the claims in the rows of a message, by key digest."""
    return {key: Claim(request_id, state, number) for key, request_id, state, number in rows}
