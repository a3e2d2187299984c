"""Timetable of a graceful shutdown (design 1.4, 15.9), computed without I/O and shared by the daemon and the simulator."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

SECOND = timedelta(seconds=1)

MAX_EXIT_MARGIN = SECOND
"""Longest interval between the planned exit and the end of the grace period, when the process would be killed."""

EXIT_MARGIN_DIVISOR = 8
"""The exit margin is at most the grace period divided by this."""

TIME_FOR_ANSWERS = SECOND * 0.35
"""Reserved before the exit for answering requests that are abandoned."""

TIME_FOR_CLOSING = SECOND * 0.35
"""Reserved before those answers for closing the listeners."""

SIGNAL_DELAY = SECOND * 0.25
"""Longest delay between the sending of a signal and its handling by the daemon."""


class Timetable(NamedTuple):
    """Times of the shutdown phases, on the daemon's monotonic clock.

    :ivar streams_until: a streaming request accepted by then may still run at `end_at`, and is then cut off.
    :ivar listeners_held_until: running requests keep the listeners open until then at the latest.
    :ivar linger_until: by then clients have learned the addresses of other daemons.
    :ivar close_by: the listeners are closed by then.
    :ivar answer_at: requests whose clients have received nothing yet are answered then.
    :ivar end_at: the process exits by then.
    """

    streams_until: timedelta
    listeners_held_until: timedelta
    linger_until: timedelta
    close_by: timedelta
    answer_at: timedelta
    end_at: timedelta


def timetable(
    *, stop_requested_at: timedelta, grace: timedelta, linger: timedelta = timedelta(0), cut_streams_for: timedelta = timedelta(0)
) -> Timetable:
    """Return the timetable of a daemon that was asked at `stop_requested_at` to exit within `grace`.

    :param linger: how long clients may keep using the daemon's address.
    :param cut_streams_for: streams sent no later than this after the signal may be cut off at the end if they are still running.
    """
    end_at = stop_requested_at + grace - min(MAX_EXIT_MARGIN, grace / EXIT_MARGIN_DIVISOR)
    answer_at = end_at - TIME_FOR_ANSWERS
    close_by = answer_at - TIME_FOR_CLOSING
    return Timetable(
        streams_until=stop_requested_at + max(timedelta(0), cut_streams_for - SIGNAL_DELAY),
        listeners_held_until=stop_requested_at + (end_at - stop_requested_at) / 2,
        linger_until=min(close_by, stop_requested_at + linger),
        close_by=close_by,
        answer_at=answer_at,
        end_at=end_at,
    )
