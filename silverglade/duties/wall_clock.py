"""Windows of the time of day, for components that know only the steady clock (design 18.4)."""

from __future__ import annotations

from datetime import timedelta


class WindowClock:
    """Tells which window of the time of day it is.

    :ivar length: of a window.
    :ivar offset: what the time of day is ahead of the steady clock; None until it was read.
    """

    def __init__(self, *, length: timedelta) -> None:
        self.length = length
        self.offset: timedelta | None = None

    def on_read(self, since_1970: timedelta, now: timedelta) -> None:
        """Take the time of day."""
        self.offset = since_1970 - now

    def window_at(self, now: timedelta) -> int:
        """Return the number of the window at a time; window k begins k lengths after 1970 did. The clock must have been read."""
        assert self.offset is not None
        return (now + self.offset) // self.length

    def end_of(self, window: int) -> timedelta:
        """Return when a window ends, on the steady clock. The clock must have been read."""
        assert self.offset is not None
        return (window + 1) * self.length - self.offset
