"""Reload of a running daemon's settings (design 8.1): when their file changes, and on SIGHUP."""

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
"""Settings that may change while a daemon runs; `cores` and `first` only matter before the first view is formed (design 5.5)."""

CHECK_INTERVAL_S = 2.0
"""Interval between checks of the settings file, which may change without a signal."""

Settings = MutableMapping[str, Any]
FileStamp = tuple[int, int, int]


class SettingsReloader:
    """Reloads a daemon's settings.

    :param settings: the daemon's settings; they are changed in place, as is their "tuning".
    :param read_settings: reads and validates the settings; raises `SilvergladeError` if they are invalid.
    :param settings_file: file to watch for changes, or empty.
    :param report_seeds: queues `SeedsChanged` for the daemon machine.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        read_settings: Callable[[], Settings],
        settings_file: str,
        report_seeds: Callable[[SeedsChanged], Awaitable[None]],
        logger: logging.Logger,
    ) -> None:
        self._settings = settings
        self._read_again = read_settings
        self._settings_file = settings_file
        self._report_seeds = report_seeds
        self._logger = logger
        self._stamp = self._file_stamp()

    def _file_stamp(self) -> FileStamp | None:
        """Return modification time, size and inode, which change when the file is written; None if the file cannot be accessed."""
        try:
            status = os.stat(self._settings_file)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    async def watch(self) -> None:
        """Check the file every `CHECK_INTERVAL_S` until cancelled; return at once if there is no file."""
        while self._settings_file:
            await anyio.sleep(CHECK_INTERVAL_S)
            await self.reload_if_changed()

    async def reload_if_changed(self) -> None:
        """Reload the settings if their file has changed since it was last checked."""
        stamp = self._file_stamp()
        if stamp not in (None, self._stamp):
            self._stamp = stamp
            await self.reload()

    async def reload(self) -> None:
        """Read the settings and apply the reloadable ones; if they are invalid or another one differs, log it and apply nothing."""
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
        if new["seeds"] and tuple(new["seeds"]) != tuple(self._settings["seeds"]):  # without any, the previous ones may still answer
            self._settings["seeds"] = new["seeds"]
            await self._report_seeds(SeedsChanged(tuple(new["seeds"])))
        self._logger.info(format_line("settings", [("level", new["log_level"]), ("seeds", ",".join(new["seeds"]))]))
