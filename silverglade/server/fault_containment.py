"""Containment of program errors: an exception in the task of one request or call ends only that task (design 1.6).

An exception in code that holds shared state stops the daemon instead: see `Daemon.run_machine`.
"""

from __future__ import annotations

import logging
import traceback
from collections import Counter

from ..runtime.structured_logging import format_line

FRAMES_LOGGED = 4
"""Innermost stack frames of an error that are logged."""


def where_raised(error: BaseException) -> str:
    """Return the FILE:LINE of the innermost stack frames of an error, innermost first; of a group, of its first error."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)[-FRAMES_LOGGED:]
    return " < ".join(f"{frame.filename.rpartition('/')[2]}:{frame.lineno}" for frame in reversed(frames))


class FaultLog:
    """Counts contained errors and logs each combination of task kind and location once.

    :ivar counts: kind of task that failed -> number of failures.
    """

    def __init__(self, logger: logging.Logger) -> None:
        self.counts: Counter[str] = Counter()
        self._logger = logger
        self._places_logged: set[tuple[str, str]] = set()

    def record(self, what: str, error: BaseException) -> None:
        """Count an error, and log it unless one of the same kind of task at the same location was logged before.

        :param what: the kind of task that failed.
        """
        self.counts[what] += 1
        place = where_raised(error)
        if (what, place) not in self._places_logged:
            self._places_logged.add((what, place))
            self._logger.error(format_line("request-failed", [("what", what), ("why", repr(error)), ("where", place)]))
