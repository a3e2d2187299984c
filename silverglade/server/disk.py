"""The data folder (design 5.1): an SQLite database with a rollback journal, fully synchronous, with one writer.

WAL mode is not used because it needs shared memory. The whole file is locked exclusively, so two daemons cannot use one folder.
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

DATABASE_FILE = "state.db"
"""The only file in the folder, besides its journal."""

APPLICATION_ID = 0x51_76_6C_67
LAYOUT_VERSION = 2
"""Version of the file's layout (its schema and encoding), stored as SQLite's user_version."""

OLDER_LAYOUT_VERSIONS = (1,)
"""Versions that are read and upgraded: 1, from before views could have several backups."""

IDENTITY_TABLE = "ident"
TABLES = ("meta", "book", "shown", "shard", "claim")

LOCK_TIMEOUT_S = 0.5
DISK_ID_BYTES = 8


def sync_folder(folder: str) -> None:
    """Sync a folder, so that files created or removed in it survive a power failure."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: str) -> None:
    """Create a folder and its missing parents; sync the parent of each folder created."""
    if os.path.isdir(folder):
        return
    parent = os.path.dirname(os.path.abspath(folder))
    make_folder(parent)
    os.makedirs(folder, exist_ok=True)
    sync_folder(parent)


class DataFolder:
    """The data folder of one daemon, open and locked.

    :ivar id: random id of this disk, generated when the database is created.
    :ivar database: the open database.
    :raises DamagedDataError: the folder is damaged, has an unknown layout, is in use, or belongs to another daemon or program.
    """

    def __init__(self, *, folder: str, name: str) -> None:
        self.folder = folder
        self.name = name
        self.id = ""
        path = os.path.join(folder, DATABASE_FILE)
        try:
            make_folder(folder)
            is_new = not os.path.exists(path)
            if is_new and any(entry for entry in os.listdir(folder) if not entry.startswith(DATABASE_FILE)):
                raise DamagedDataError(f"{folder} holds files that are not silverglade's")
            self.database = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=LOCK_TIMEOUT_S)
            try:
                self._open(is_new)
            except BaseException:
                self.database.close()  # release the lock on a file that is refused
                raise
        except (sqlite3.Error, OSError) as error:
            raise DamagedDataError(f"{path}: {error}") from error

    def _open(self, is_new: bool) -> None:
        """Validate and lock the file; create the table if the file is new."""
        has_older_layout = False
        if not is_new:
            is_new = self._is_empty()
            has_older_layout = not is_new and self._check_layout_version() in OLDER_LAYOUT_VERSIONS
        self._lock()
        if is_new:
            self._create_table()
        self._check_integrity()
        self._check_identity()
        if has_older_layout:  # from now on, a program that reads only the older version refuses the file
            self.database.execute(f"PRAGMA user_version={LAYOUT_VERSION}")

    def _pragma(self, name: str) -> Any:
        return self.database.execute(f"PRAGMA {name}").fetchone()[0]

    def _is_empty(self) -> bool:
        """Return whether an existing file is empty, as after a crash before the table was created.

        :raises DamagedDataError: the file belongs to another program.
        """
        if self._pragma("application_id") == APPLICATION_ID:
            return False
        entries = self.database.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
        if entries or os.path.getsize(os.path.join(self.folder, DATABASE_FILE)):
            raise DamagedDataError("the file is not silverglade's")
        return True

    def _check_layout_version(self) -> int:
        """Return the version of the file's layout.

        :raises DamagedDataError: the version is unknown.
        """
        layout_version: int = self._pragma("user_version")
        if layout_version not in (LAYOUT_VERSION, *OLDER_LAYOUT_VERSIONS):
            raise DamagedDataError(
                f"the file has layout {layout_version}, this program reads {LAYOUT_VERSION}: start the program that wrote"
                " it; or move the folder away, start empty, and let this core rejoin by a copy",
            )
        return layout_version

    def _lock(self) -> None:
        """Lock the file exclusively before the first write too: two daemons that had only read would block each other's writes."""
        for statement in (
            "PRAGMA locking_mode=EXCLUSIVE",
            "PRAGMA journal_mode=DELETE",
            "PRAGMA synchronous=EXTRA",
            "BEGIN EXCLUSIVE",
            "COMMIT",
        ):
            self.database.execute(statement)

    def _create_table(self) -> None:
        """Create the table and store the daemon's name and a new disk id."""
        execute = self.database.execute
        execute("BEGIN EXCLUSIVE")
        execute(f"PRAGMA application_id={APPLICATION_ID}")
        execute(f"PRAGMA user_version={LAYOUT_VERSION}")
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
        """Check that the folder belongs to this daemon, and set the disk id."""
        identity = self.table(IDENTITY_TABLE)
        if identity.get("name") != self.name or not identity.get("disk"):
            raise DamagedDataError(f"the folder belongs to {identity.get('name')}, not to {self.name}")
        self.id = identity["disk"]

    def table(self, name: str) -> dict[str, Any]:
        """Return all entries of a table.

        :raises DamagedDataError: a value in the table cannot be decoded.
        """
        rows = self.database.execute("SELECT key, val FROM kv WHERE tab = ?", (name,))
        try:
            return {key: lists_to_tuples(ormsgpack.unpackb(value)) for key, value in rows}
        except ValueError as error:
            raise DamagedDataError(f"damaged: table {name}") from error

    def load(self) -> Mapping[str, dict[str, Any]]:
        """Return the tables of all components by name."""
        return {name: self.table(name) for name in TABLES}

    def write(self, operations: Iterable[DiskOperation]) -> None:
        """Carry out all operations in one transaction, which is synced on return; if one fails, none takes effect."""
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
