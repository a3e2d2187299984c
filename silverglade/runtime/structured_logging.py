"""The log: one line of key=value pairs for each event (design 8.3)."""

from __future__ import annotations

import logging
import sys
from collections.abc import Iterable
from datetime import datetime, timezone
from typing import Any, Protocol

# what no line here shows is not worked out for each of them
logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
logging.logAsyncioTasks = False  # type: ignore[attr-defined]
logging.raiseExceptions = False

LOGGER_NAME = "silverglade"

CHARACTERS_TO_QUOTE = ' "=\n\\'


class TextStream(Protocol):
    """What the log is written to."""

    def write(self, text: str, /) -> object:
        """Write text."""

    def flush(self) -> object:
        """Hand over what was written."""


class LossyStream:
    """A stream that may be full or gone: a line is lost then, never the daemon.

    :ivar lost: how many writes failed.
    """

    def __init__(self, stream: TextStream) -> None:
        self.stream = stream
        self.lost = 0

    def write(self, text: str) -> None:
        """Write text, or lose it."""
        try:
            self.stream.write(text)
        except (OSError, ValueError):
            self.lost += 1

    def flush(self) -> None:
        """Hand over what was written, or lose it."""
        try:
            self.stream.flush()
        except (OSError, ValueError):
            self.lost += 1


def setup(*, level: str = "INFO", stream: TextStream | None = None) -> logging.Logger:
    """Return the daemon's logger, with one handler and no parents.

    :param stream: where to, by default to standard error.
    """
    handler = logging.StreamHandler(LossyStream(stream or sys.stderr))
    handler.setFormatter(logging.Formatter("%(message)s"))
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers, logger.propagate = [handler], False
    logger.setLevel(level)
    return logger


def quoted(value: Any) -> str:
    """Return a value's text, in quotes where it could not be told from what stands beside it."""
    text = str(value)
    if text and not any(character in text for character in CHARACTERS_TO_QUOTE):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def format_line(event: str, pairs: Iterable[tuple[str, Any]] = ()) -> str:
    """Return a line of the log: the time, the event's name, and its pairs."""
    at = datetime.now(timezone.utc).isoformat(timespec="milliseconds")
    return " ".join([f"at={at}", f"event={event}"] + [f"{key}={quoted(value)}" for key, value in pairs])
