"""The data folder (design 5.1): sqlite with a rollback journal, synced in full, one writer.

No shared memory: never WAL; the file is locked whole, so two daemons cannot share a folder.
"""

from __future__ import annotations

import os
import secrets
import sqlite3
from collections.abc import Iterable, Mapping
from typing import Any

import ormsgpack

from ..runtime.effects import DiskOperation
from ..runtime.errors import DamagedDataError
from ..transport.framing import lists_to_tuples

FILE = "state.db"
"""The one file in the folder, besides its journal."""

APPLICATION_ID = 0x51_76_6C_67
LAYOUT = 2
"""Sqlite's user_version."""

OLDER_LAYOUTS = (1,)
"""Layouts that are read and taken over: 1, before views had several backups."""

IDENTITY_TABLE = "ident"
TABLES = ("meta", "book", "shown", "shard", "claim")

LOCK_TIMEOUT_S = 0.5
DISK_ID_BYTES = 8


def sync_folder(folder: str) -> None:
    """Sync a folder, so that files made or removed in it last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: str) -> None:
    """Make a folder and those above it, and sync the folder that holds each new one."""
    if os.path.isdir(folder):
        return
    parent = os.path.dirname(os.path.abspath(folder))
    make_folder(parent)
    os.makedirs(folder, exist_ok=True)
    sync_folder(parent)


class DataFolder:
    """The data folder of one daemon, open and locked.

    :ivar id: a random id of this disk, made with the folder.
    :ivar database: the open file.
    :raises DamagedDataError: it is damaged, of an unknown layout, in use, or not this daemon's.
    """

    def __init__(self, *, folder: str, name: str) -> None:
        self.folder = folder
        self.name = name
        self.id = ""
        path = os.path.join(folder, FILE)
        try:
            make_folder(folder)
            is_new = not os.path.exists(path)
            if is_new and any(entry for entry in os.listdir(folder) if not entry.startswith(FILE)):
                raise DamagedDataError(f"{folder} holds files that are not silverglade's")
            self.database = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=LOCK_TIMEOUT_S)
            try:
                self._open(is_new)
            except BaseException:
                self.database.close()  # a file that is refused is not kept locked
                raise
        except (sqlite3.Error, OSError) as error:
            raise DamagedDataError(f"{path}: {error}") from error

    def _open(self, is_new: bool) -> None:
        """Check the file, lock it, and lay it out if it is new."""
        older_layout = False
        if not is_new:
            is_new = self._is_empty()
            older_layout = not is_new and self._check_layout() in OLDER_LAYOUTS
        self._lock()
        if is_new:
            self._lay_out()
        self._check_integrity()
        self._check_identity()
        if older_layout:  # a program that reads only that one refuses the file from here on
            self.database.execute(f"PRAGMA user_version={LAYOUT}")

    def _pragma(self, name: str) -> Any:
        return self.database.execute(f"PRAGMA {name}").fetchone()[0]

    def _is_empty(self) -> bool:
        """Whether an existing file holds nothing, as after a crash before it was laid out.

        :raises DamagedDataError: it is another program's.
        """
        if self._pragma("application_id") == APPLICATION_ID:
            return False
        entries = self.database.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
        if entries or os.path.getsize(os.path.join(self.folder, FILE)):
            raise DamagedDataError("the file is not silverglade's")
        return True

    def _check_layout(self) -> int:
        """Return the file's layout.

        :raises DamagedDataError: it is unknown.
        """
        layout: int = self._pragma("user_version")
        if layout not in (LAYOUT, *OLDER_LAYOUTS):
            raise DamagedDataError(
                f"the file has layout {layout}, this program reads {LAYOUT}: start the program that wrote"
                " it; or move the folder away, start empty, and let this core rejoin by a copy",
            )
        return layout

    def _lock(self) -> None:
        """Lock the file, before the first write too: a second daemon would keep both from writing."""
        for statement in (
            "PRAGMA locking_mode=EXCLUSIVE",
            "PRAGMA journal_mode=DELETE",
            "PRAGMA synchronous=EXTRA",
            "BEGIN EXCLUSIVE",
            "COMMIT",
        ):
            self.database.execute(statement)

    def _lay_out(self) -> None:
        """Make the table, and the daemon's and the disk's names."""
        execute = self.database.execute
        execute("BEGIN EXCLUSIVE")
        execute(f"PRAGMA application_id={APPLICATION_ID}")
        execute(f"PRAGMA user_version={LAYOUT}")
        execute("CREATE TABLE kv (tab TEXT NOT NULL, key TEXT NOT NULL, val BLOB NOT NULL, PRIMARY KEY (tab, key)) WITHOUT ROWID")
        execute(
            f"INSERT INTO kv VALUES ('{IDENTITY_TABLE}', 'name', ?), ('{IDENTITY_TABLE}', 'disk', ?)",
            (ormsgpack.packb(self.name), ormsgpack.packb(secrets.token_hex(DISK_ID_BYTES))),
        )
        execute("COMMIT")
        sync_folder(self.folder)

    def _check_integrity(self) -> None:
        result = self._pragma("integrity_check")
        if result != "ok":
            raise DamagedDataError(f"damaged: {result}")

    def _check_identity(self) -> None:
        """Check that the folder is this daemon's, and note the disk's id."""
        identity = self.table(IDENTITY_TABLE)
        if identity.get("name") != self.name or not identity.get("disk"):
            raise DamagedDataError(f"the folder belongs to {identity.get('name')}, not to {self.name}")
        self.id = identity["disk"]

    def table(self, name: str) -> dict[str, Any]:
        """Return a whole table.

        :raises DamagedDataError: a value in it cannot be read.
        """
        rows = self.database.execute("SELECT key, val FROM kv WHERE tab = ?", (name,))
        try:
            return {key: lists_to_tuples(ormsgpack.unpackb(value)) for key, value in rows}
        except ValueError as error:
            raise DamagedDataError(f"damaged: table {name}") from error

    def load(self) -> Mapping[str, dict[str, Any]]:
        """Return all tables of the components."""
        return {name: self.table(name) for name in TABLES}

    def write(self, operations: Iterable[DiskOperation]) -> None:
        """Carry out all operations in one transaction, which is synced when this returns; none of them if one fails."""
        execute = self.database.execute
        execute("BEGIN IMMEDIATE")
        try:
            for operation in operations:
                match operation:
                    case ("put", table, key, value):
                        execute("INSERT OR REPLACE INTO kv VALUES (?, ?, ?)", (table, key, ormsgpack.packb(value)))
                    case ("del", table, key):
                        execute("DELETE FROM kv WHERE tab = ? AND key = ?", (table, key))
                    case ("wipe", table):
                        execute("DELETE FROM kv WHERE tab = ?", (table,))
            execute("COMMIT")
        except BaseException:
            if self.database.in_transaction:
                execute("ROLLBACK")
            raise

    def close(self) -> None:
        """Close and unlock the file."""
        self.database.close()
