"""What is logged of requests on routes that this daemon does not know: one line for all since the last one."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from ..control.replicated_state import INITIAL_VERSION, Version
from ..runtime.effects import to_milliseconds

NO_PROOF = -1
"""In place of an age in milliseconds where no proof is held."""


class RefusedRoutes:
    """Requests without a route since the last line of the log.

    :ivar version: of the store that the route table comes from.
    :ivar refused: how many were told that there is no such route.
    :ivar uncertain: how many were told to come back, as the configuration may be out of date.
    :ivar oldest_proof_ms: the age of the oldest proof with which a route was refused; `NO_PROOF` for none.
    """

    __slots__ = ("oldest_proof_ms", "refused", "uncertain", "version")

    def __init__(self) -> None:
        self.version: Version = INITIAL_VERSION
        self.refused = self.uncertain = 0
        self.oldest_proof_ms = NO_PROOF

    def note(self, *, proof_age: timedelta | None, is_certain: bool) -> None:
        """Note one request."""
        if not is_certain:
            self.uncertain += 1
            return
        self.refused += 1
        if proof_age is not None:
            self.oldest_proof_ms = max(self.oldest_proof_ms, to_milliseconds(proof_age))

    def take_line(self, configuration: Mapping[str, Any]) -> dict[str, Any] | None:
        """Return the pairs of the line that is due, and begin anew; None where there was no such request."""
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
