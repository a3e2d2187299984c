"""Settings of a running daemon read again (design 8.1): when their file changes, and on SIGHUP."""

from __future__ import annotations

import logging
import os
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

from ..runtime.errors import SilvergladeError
from ..runtime.events import SeedsChanged
from ..runtime.structured_logging import format_line

RELOADABLE_SETTINGS = frozenset(("tuning", "log_level", "seeds", "cores", "first"))
"""What may change while a daemon runs; `cores` and `first` matter only where no view was ever formed (design 5.5)."""

CHECK_INTERVAL_S = 2.0
"""Between looks at the settings file: it may change without a signal."""

Settings = MutableMapping[str, Any]
FileStamp = tuple[int, int, int]


class SettingsReloader:
    """Takes over what changed in a daemon's settings.

    :param settings: the daemon's; they are changed in place, as is their "tuning".
    :param read_again: reads and checks the settings anew; raises `SilvergladeError` if they have faults.
    :param settings_file: whose change is watched for, or empty.
    :param report_seeds: queues `SeedsChanged` for the daemon machine.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        read_again: Callable[[], Settings],
        settings_file: str,
        report_seeds: Callable[[SeedsChanged], Awaitable[None]],
        logger: logging.Logger,
    ) -> None:
        self._settings = settings
        self._read_again = read_again
        self._settings_file = settings_file
        self._report_seeds = report_seeds
        self._logger = logger
        self._stamp = self._file_stamp()

    def _file_stamp(self) -> FileStamp | None:
        """Return what changes whenever the file is written; None where there is none, or it cannot be seen now."""
        try:
            status = os.stat(self._settings_file)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    async def watch(self) -> None:
        """Look at the file now and then, until cancelled."""
        while self._settings_file:
            await anyio.sleep(CHECK_INTERVAL_S)
            await self.reload_if_changed()

    async def reload_if_changed(self) -> None:
        """Read the settings again if their file has changed since they were read."""
        stamp = self._file_stamp()
        if stamp not in (None, self._stamp):
            self._stamp = stamp
            await self.reload()

    async def reload(self) -> None:
        """Read the settings again: reloadable ones change in place; a fault, or another change, changes nothing."""
        try:
            new = self._read_again()
        except SilvergladeError as error:
            self._logger.error(format_line("settings-refused", [("code", error.code), ("why", error.detail)]))
            return
        fixed = [name for name in new if name not in RELOADABLE_SETTINGS and new[name] != self._settings[name]]
        if fixed:
            self._logger.error(format_line("settings-refused", [("why", "needs a restart: " + ",".join(fixed))]))
            return
        self._settings["tuning"].update(new["tuning"])
        self._settings["log_level"] = new["log_level"]
        self._logger.setLevel(logging.getLevelNamesMapping()[new["log_level"]])
        if tuple(new["seeds"]) != tuple(self._settings["seeds"]):
            self._settings["seeds"] = new["seeds"]
            await self._report_seeds(SeedsChanged(tuple(new["seeds"])))
        self._logger.info(format_line("settings", [("level", new["log_level"]), ("seeds", ",".join(new["seeds"]))]))
