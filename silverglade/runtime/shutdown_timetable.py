"""The timetable of a daemon that was told to stop (design 1.4, 15.9): pure times, one for the daemon and the simulator."""

from datetime import timedelta
from typing import NamedTuple

SECOND = timedelta(seconds=1)
MOST_MARGIN = SECOND  # between our own end and the kill that would follow
ANSWERING = SECOND * 0.35  # what is left for the answers to requests that are given up
CLOSING = SECOND * 0.35  # what is left before that for closing the listeners
SIGNAL_SLACK = SECOND * 0.25  # by so much a signal may be noticed after it was sent


class Timetable(NamedTuple):
    """Moments of the daemon's own clock."""

    streams_until: timedelta  # a stream that was taken by then may still run at the end, and is then cut
    half_at: timedelta  # requests that still run hold the listeners open no longer
    quiet_at: timedelta  # by then clients have learned of other daemons
    close_by: timedelta  # the listeners close by then
    answer_at: timedelta  # what has given its client nothing is answered then
    end_at: timedelta  # the process ends by then


def timetable(*, told_at, grace, linger=timedelta(0), cut_streams_for=timedelta(0)):
    """The moments of a daemon that was told at `told_at` to end within `grace`.

    linger: how long clients may hold on to the daemon's address. cut_streams_for: streams sent no later than this after
    the signal may be cut at the end, as long as they ran until then. All times are timedeltas.
    """
    end_at = told_at + grace - min(MOST_MARGIN, grace / 8)
    answer_at = end_at - ANSWERING
    close_by = answer_at - CLOSING
    return Timetable(
        streams_until=told_at + max(timedelta(0), cut_streams_for - SIGNAL_SLACK),
        half_at=told_at + (end_at - told_at) / 2,
        quiet_at=min(close_by, told_at + linger),
        close_by=close_by,
        answer_at=answer_at,
        end_at=end_at,
    )
