"""The supervisor (design 1.3): a task that fails is restarted, a few times."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..runtime.structured_logging import format_line

MAX_FAILURES, FAILURE_WINDOW = 5, timedelta(seconds=30)
"""So many failures within this time are too many."""

BACKOFF_S = 0.2
"""Before a restart, for each failure within the window."""


async def supervise(*, name: str, run: Callable[[], Awaitable[object]], logger: logging.Logger) -> None:
    """Run a task until it returns, restarting it when it fails.

    :raises Exception: what the task raised, once it has failed too often.
    """
    failures: list[timedelta] = []
    while True:
        try:
            await run()
            return
        except Exception as error:  # noqa: BLE001  a task's any fault
            now = timedelta(seconds=time.monotonic())
            failures = [failed_at for failed_at in failures if now - failed_at < FAILURE_WINDOW] + [now]
            logger.error(format_line("task-failed", [("task", name), ("why", repr(error)), ("failures", len(failures))]))
            if len(failures) >= MAX_FAILURES:
                raise
            await anyio.sleep(BACKOFF_S * len(failures))
