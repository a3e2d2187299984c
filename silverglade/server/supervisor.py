"""The supervisor (design 1.3): restarts a task that fails, up to a limit within a time window."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..runtime.structured_logging import format_line

MAX_FAILURES, FAILURE_WINDOW = 5, timedelta(seconds=30)
"""The task is given up at this number of failures within this time window."""

BACKOFF_S = 0.2
"""Delay before a restart, multiplied by the number of failures within the window."""


async def supervise(*, name: str, run: Callable[[], Awaitable[object]], logger: logging.Logger) -> None:
    """Run a task until it returns, restarting it when it fails.

    :raises Exception: the latest error of the task, once it has failed `MAX_FAILURES` times within `FAILURE_WINDOW`.
    """
    failures: list[timedelta] = []
    while True:
        try:
            await run()
            return
        except Exception as error:  # noqa: BLE001  any error of the task
            now = timedelta(seconds=time.monotonic())
            failures = [failed_at for failed_at in failures if now - failed_at < FAILURE_WINDOW] + [now]
            logger.error(format_line("task-failed", [("task", name), ("why", repr(error)), ("failures", len(failures))]))
            if len(failures) >= MAX_FAILURES:
                raise
            await anyio.sleep(BACKOFF_S * len(failures))
