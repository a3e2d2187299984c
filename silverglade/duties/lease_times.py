"""The times of a duty's lease (design 18.1), all in proportion to the setting `duty_lease`."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, NamedTuple

PROOF_SHARE = 2 / 3
"""Of the lease: as long after a proof a call may be written."""

CALL_SHARE = 1 / 3
"""Of the lease: as long after its start a call ends, its connection reset."""

MARGIN_SHARE = 1 / 10
"""Of the lease: for clocks of different rates and the way of the last bytes."""


class LeaseTimes(NamedTuple):
    """How long the holder of a duty may act, and how long a new holder waits.

    A role changes hands after the last proof that the old holder had, so its last byte leaves within `proof_lasts` + `call_timeout`
    of that, and `takeover_wait` is longer. And where a role goes from A to B and back to A, A's first act as the second holder
    comes 2 x `takeover_wait` - `proof_lasts` after the first change at the earliest, and so a whole lease after its last one before.

    :ivar proof_lasts: since the store was proved to be the newest.
    :ivar call_timeout: of a whole call, its connection included.
    :ivar takeover_wait: since a new holder learned that it is one.
    """

    proof_lasts: timedelta
    call_timeout: timedelta
    takeover_wait: timedelta

    @classmethod
    def of(cls, lease: timedelta) -> LeaseTimes:
        """Return the times of a lease."""
        proof_lasts, call_timeout = lease * PROOF_SHARE, lease * CALL_SHARE
        return cls(proof_lasts, call_timeout, proof_lasts + (lease + call_timeout) / 2 + lease * MARGIN_SHARE)

    @staticmethod
    def shortest_lease(tuning: Mapping[str, Any]) -> timedelta:
        """Return the shortest lease of which the proof lasts longer than proofs ordinarily take to be renewed."""
        ordinary_age: timedelta = tuning["ask_wait"] + tuning["heartbeat"] + tuning["beat"]
        return ordinary_age / PROOF_SHARE
