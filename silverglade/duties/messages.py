"""Messages between the daemons that count usage and the holder of the usage duty (design 18.4), one class for each kind."""

from __future__ import annotations

from typing import Any, ClassVar

from ..runtime.record import Record

TenantCounts = tuple[tuple[str, int], ...]
"""(tenant, requests) pairs, sorted by tenant."""


class WindowUsage(Record):
    """The requests that one process of a daemon counted in a window.

    :ivar process_id: of the counting process; counts of a later process of the same daemon are added to its counts.
    :ivar token: the fencing token of the holder that the message is addressed to.
    """

    TAG: ClassVar[str] = "usage-put"
    process_id: str
    token: int
    window: int
    counts: TenantCounts

    def encode(self) -> tuple[Any, ...]:
        """Return the message as an array for the wire."""
        return (self.TAG, self.process_id, self.token, self.window, self.counts)

    @classmethod
    def decode(cls, body: tuple[Any, ...]) -> WindowUsage | None:
        """Return the message that an array encodes; None if it is a message of another kind."""
        return cls(*body[1:]) if body[0] == cls.TAG else None


class WindowUsageAck(Record):
    """Acknowledges the counts of a window: the holder has them, or does not need them any more."""

    TAG: ClassVar[str] = "usage-got"
    token: int
    window: int

    def encode(self) -> tuple[Any, ...]:
        """Return the message as an array for the wire."""
        return (self.TAG, self.token, self.window)

    @classmethod
    def decode(cls, body: tuple[Any, ...]) -> WindowUsageAck | None:
        """Return the message that an array encodes; None if it is a message of another kind."""
        return cls(*body[1:]) if body[0] == cls.TAG else None
