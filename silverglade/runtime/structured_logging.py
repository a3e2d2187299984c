"""One key=value line for each event (design 8.3)."""

import logging
import sys
from datetime import datetime, timezone

# what no line here shows is not worked out for each of them
logging.logThreads = logging.logProcesses = logging.logMultiprocessing = logging.logAsyncioTasks = False
logging.raiseExceptions = False


class Patient:
    """A stream that may be full or gone: a line is lost then, never the daemon."""

    def __init__(self, stream):
        self.stream, self.lost = stream, 0

    def write(self, s):
        try:
            self.stream.write(s)
        except (OSError, ValueError):
            self.lost += 1

    def flush(self):
        try:
            self.stream.flush()
        except (OSError, ValueError):
            self.lost += 1


def setup(*, level="INFO", stream=None):
    """The daemon's logger, with one handler and no parents."""
    handler = logging.StreamHandler(Patient(stream or sys.stderr))
    handler.setFormatter(logging.Formatter("%(message)s"))
    logger = logging.getLogger("silverglade")
    logger.handlers, logger.propagate = [handler], False
    logger.setLevel(level)
    return logger


def quoted(v):
    s = str(v)
    if s and not any(c in s for c in ' "=\n\\'):
        return s
    return '"' + s.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def format_line(event, pairs):
    at = datetime.now(timezone.utc).isoformat(timespec="milliseconds")
    return " ".join([f"at={at}", f"event={event}"] + [f"{k}={quoted(v)}" for k, v in pairs])
