"""Structured logging: one line of key=value pairs for each event (design 8.3)."""

from __future__ import annotations

import logging
import sys
from collections.abc import Iterable
from datetime import datetime, timezone
from typing import Any, Protocol

# Do not collect thread, process and task details for each record: no log line shows them.
logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
logging.logAsyncioTasks = False  # type: ignore[attr-defined]
logging.raiseExceptions = False

LOGGER_NAME = "silverglade"

CHARACTERS_TO_QUOTE = ' "=\n\\'


class TextStream(Protocol):
    """The stream interface that the log handler writes to."""

    def write(self, text: str, /) -> object:
        """Write text to the stream."""

    def flush(self) -> object:
        """Flush buffered text."""


class LossyStream:
    """Wraps a stream that may be full or closed: a failed write loses the log line instead of stopping the daemon.

    :ivar lost: how many writes and flushes failed.
    """

    def __init__(self, stream: TextStream) -> None:
        self.stream = stream
        self.lost = 0

    def write(self, text: str) -> None:
        """Write text; count it as lost if that fails."""
        try:
            self.stream.write(text)
        except (OSError, ValueError):
            self.lost += 1

    def flush(self) -> None:
        """Flush buffered text; count it as lost if that fails."""
        try:
            self.stream.flush()
        except (OSError, ValueError):
            self.lost += 1


def setup(*, level: str = "INFO", stream: TextStream | None = None) -> logging.Logger:
    """Configure and return the daemon's logger, with one handler and no propagation to parent loggers.

    :param stream: the stream to log to; standard error by default.
    """
    handler = logging.StreamHandler(LossyStream(stream or sys.stderr))
    handler.setFormatter(logging.Formatter("%(message)s"))
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers, logger.propagate = [handler], False
    logger.setLevel(level)
    return logger


def quote_value(value: Any) -> str:
    """Return the text of a value, quoted and escaped if it is empty or has a character that would make the line ambiguous."""
    text = str(value)
    if text and not any(character in text for character in CHARACTERS_TO_QUOTE):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def format_line(event: str, pairs: Iterable[tuple[str, Any]] = ()) -> str:
    """Return a log line: the UTC time, the event name and the key=value pairs."""
    timestamp = datetime.now(timezone.utc).isoformat(timespec="milliseconds")
    return " ".join([f"at={timestamp}", f"event={event}"] + [f"{key}={quote_value(value)}" for key, value in pairs])
