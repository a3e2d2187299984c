"""Aggregated log line for requests whose route this daemon does not know: one line for all since the last one."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from ..control.replicated_state import INITIAL_VERSION, Version
from ..runtime.effects import to_milliseconds

NO_PROOF = -1
"""Logged instead of an age in milliseconds if there was no proof."""


class RefusedRoutes:
    """Counts requests without a known route since the last log line.

    :ivar version: version of the store from which the route table was built.
    :ivar refused: number of requests answered that there is no such route.
    :ivar uncertain: number of requests answered to retry later, as the configuration may be out of date.
    :ivar oldest_proof_ms: greatest age of the proof with which a route was refused; `NO_PROOF` for none.
    """

    __slots__ = ("oldest_proof_ms", "refused", "uncertain", "version")

    def __init__(self) -> None:
        self.version: Version = INITIAL_VERSION
        self.refused = self.uncertain = 0
        self.oldest_proof_ms = NO_PROOF

    def count(self, *, proof_age: timedelta | None, is_certain: bool) -> None:
        """Count one request."""
        if not is_certain:
            self.uncertain += 1
            return
        self.refused += 1
        if proof_age is not None:
            self.oldest_proof_ms = max(self.oldest_proof_ms, to_milliseconds(proof_age))

    def take_log_fields(self, configuration: Mapping[str, Any]) -> dict[str, Any] | None:
        """Return the fields of the log line and reset the counts; None if there was no such request."""
        if not self.refused and not self.uncertain:
            return None
        epoch, number = self.version
        line = {
            "refused": self.refused,
            "uncertain": self.uncertain,
            "version": f"{epoch}.{number}",
            "number": configuration.get("number", 0),
            "age_ms": self.oldest_proof_ms,
        }
        self.refused = self.uncertain = 0
        self.oldest_proof_ms = NO_PROOF
        return line
