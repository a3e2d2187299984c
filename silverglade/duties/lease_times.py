"""Timing of duty leases (design 18.1). All times are proportional to the setting `duty_lease`."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, NamedTuple

PROOF_LIFETIME_SHARE = 2 / 3
"""Share of the lease for which a call may be written after a proof that the store is up to date."""

CALL_TIMEOUT_SHARE = 1 / 3
"""Share of the lease after which a call is aborted and its connection reset, counted from the start of the call."""

SAFETY_MARGIN_SHARE = 1 / 10
"""Share of the lease added as a safety margin for clock rate differences and for the transmission of the last bytes."""


class LeaseTimes(NamedTuple):
    """How long a lease holder may act, and how long its successor must wait.

    A role is reassigned after the last proof that the old holder obtained, so the old holder's last byte leaves within
    `proof_lifetime` + `call_timeout` of the reassignment; `takeover_wait` is longer than that. If a role moves from A to B and back
    to A, A's first call of its second term comes at the earliest 2 x `takeover_wait` - `proof_lifetime` after the first
    reassignment, which is more than a whole lease after the last call of its first term.

    :ivar proof_lifetime: how long calls may be written after the store was last proved to be up to date.
    :ivar call_timeout: limit for a whole call, including connection setup.
    :ivar takeover_wait: how long a new holder waits after it learns of its assignment.
    """

    proof_lifetime: timedelta
    call_timeout: timedelta
    takeover_wait: timedelta

    @classmethod
    def of(cls, lease: timedelta) -> LeaseTimes:
        """Return the times for a lease of the given length."""
        proof_lifetime, call_timeout = lease * PROOF_LIFETIME_SHARE, lease * CALL_TIMEOUT_SHARE
        return cls(proof_lifetime, call_timeout, proof_lifetime + (lease + call_timeout) / 2 + lease * SAFETY_MARGIN_SHARE)

    @staticmethod
    def shortest_lease(tuning: Mapping[str, Any]) -> timedelta:
        """Return the shortest lease whose proof lifetime covers the age that a proof normally reaches before it is renewed."""
        typical_proof_age: timedelta = tuning["ask_wait"] + tuning["heartbeat"] + tuning["beat"]
        return typical_proof_age / PROOF_LIFETIME_SHARE
