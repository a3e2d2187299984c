"""The timetable of a daemon that was told to stop (design 1.4, 15.9): pure times, one for the daemon and the simulator."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

SECOND = timedelta(seconds=1)

MAX_MARGIN = SECOND
"""Between our own end and the kill that would follow."""

MARGIN_SHARE = 8
"""Of the grace at most one part in so many is such a margin."""

TIME_FOR_ANSWERS = SECOND * 0.35
"""Left for the answers to requests that are given up."""

TIME_FOR_CLOSING = SECOND * 0.35
"""Left before that for closing the listeners."""

SIGNAL_DELAY = SECOND * 0.25
"""By so much a signal may be noticed after it was sent."""


class Timetable(NamedTuple):
    """Moments of the daemon's own clock.

    :ivar streams_until: a stream that was taken by then may still run at the end, and is then cut.
    :ivar half_at: requests that still run hold the listeners open no longer.
    :ivar quiet_at: by then clients have learned of other daemons.
    :ivar close_by: the listeners close by then.
    :ivar answer_at: what has given its client nothing is answered then.
    :ivar end_at: the process ends by then.
    """

    streams_until: timedelta
    half_at: timedelta
    quiet_at: timedelta
    close_by: timedelta
    answer_at: timedelta
    end_at: timedelta


def timetable(
    *, told_at: timedelta, grace: timedelta, linger: timedelta = timedelta(0), cut_streams_for: timedelta = timedelta(0)
) -> Timetable:
    """Return the timetable of a daemon that was told at `told_at` to end within `grace`.

    :param linger: how long clients may hold on to the daemon's address.
    :param cut_streams_for: streams sent no later than this after the signal may be cut at the end, if they ran until then.
    """
    end_at = told_at + grace - min(MAX_MARGIN, grace / MARGIN_SHARE)
    answer_at = end_at - TIME_FOR_ANSWERS
    close_by = answer_at - TIME_FOR_CLOSING
    return Timetable(
        streams_until=told_at + max(timedelta(0), cut_streams_for - SIGNAL_DELAY),
        half_at=told_at + (end_at - told_at) / 2,
        quiet_at=min(close_by, told_at + linger),
        close_by=close_by,
        answer_at=answer_at,
        end_at=end_at,
    )
