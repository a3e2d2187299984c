"""Conversion between the monotonic clock and numbered windows of wall-clock time (design 18.4)."""

from __future__ import annotations

from datetime import timedelta

LONGEST_TIME = timedelta(days=10**8)
"""Windows that end later than this after 1970 are taken to end then, since a timedelta cannot hold any time."""


class WindowClock:
    """Maps monotonic times to wall-clock windows.

    :ivar length: length of a window.
    :ivar offset: wall-clock time minus monotonic time; None until the wall clock has been read.
    """

    def __init__(self, *, length: timedelta) -> None:
        self.length = length
        self.offset: timedelta | None = None

    def update_offset(self, since_1970: timedelta, now: timedelta) -> None:
        """Set the offset from a reading of the wall clock, taken at `now`."""
        self.offset = since_1970 - now

    def window_at(self, now: timedelta) -> int:
        """Return the number of the window at a monotonic time: window k begins k lengths after 1970 began.

        The wall clock must have been read.
        """
        assert self.offset is not None
        return (now + self.offset) // self.length

    def window_end(self, window: int) -> timedelta:
        """Return the monotonic time at which a window ends. The wall clock must have been read."""
        assert self.offset is not None
        last = LONGEST_TIME // self.length
        return max(-last, min(window + 1, last)) * self.length - self.offset
