"""The messages about usage between the daemons that count it and the holder of the duty (design 18.4), one class a kind."""

from __future__ import annotations

from typing import Any, ClassVar

from ..runtime.record import Record

Counts = tuple[tuple[str, int], ...]
"""(tenant, requests) each, in the order of the tenants."""


class UsageCounted(Record):
    """What one process of a daemon counted in a window.

    :ivar process_id: of the process; a later one of the same daemon counts beside it.
    :ivar token: the fencing token of the holder that this is for.
    """

    TAG: ClassVar[str] = "usage-put"
    process_id: str
    token: int
    window: int
    counts: Counts

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels."""
        return (self.TAG, self.process_id, self.token, self.window, self.counts)

    @classmethod
    def decode(cls, body: tuple[Any, ...]) -> UsageCounted | None:
        """Return the message of an array; None for one of another kind."""
        return cls(*body[1:]) if body[0] == cls.TAG else None


class UsageTaken(Record):
    """The holder has a daemon's counts of a window, or wants no more of it."""

    TAG: ClassVar[str] = "usage-got"
    token: int
    window: int

    def encode(self) -> tuple[Any, ...]:
        """Return the array that travels."""
        return (self.TAG, self.token, self.window)

    @classmethod
    def decode(cls, body: tuple[Any, ...]) -> UsageTaken | None:
        """Return the message of an array; None for one of another kind."""
        return cls(*body[1:]) if body[0] == cls.TAG else None
