"""The data folder (design 5.1): sqlite with a rollback journal, synced in full, one writer.

No shared memory: never WAL; the file is locked whole, so two daemons cannot share a folder.
"""

import os
import secrets
import sqlite3

import ormsgpack

from ..runtime.errors import DamagedDataError
from ..transport.framing import lists_to_tuples

MARK, SHAPE = 0x51_76_6C_67, 2  # application_id, user_version
OLD = (1,)  # layouts that are read and taken over: 1, before views had several backups
FILE = "state.db"


def sync_folder(folder):
    """What was made or removed in a folder lasts once the folder itself has been synced."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def make(folder):
    """Make the folder and those above it; each that is new lasts: the folder that holds it is synced."""
    if os.path.isdir(folder):
        return
    above = os.path.dirname(os.path.abspath(folder))
    make(above)
    os.makedirs(folder, exist_ok=True)
    sync_folder(above)


class DataFolder:
    def __init__(self, *, folder, name):
        self.folder, self.name = folder, name
        path = os.path.join(folder, FILE)
        try:
            make(folder)
            new = not os.path.exists(path)
            if new and any(f for f in os.listdir(folder) if not f.startswith(FILE)):
                raise DamagedDataError(f"{folder} holds files that are not silverglade's")
            self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=0.5)
            try:
                self._open(new)
            except BaseException:
                self.db.close()  # a file that is refused is not kept locked
                raise
        except (sqlite3.Error, OSError) as e:
            raise DamagedDataError(f"{path}: {e}") from e

    def _open(self, new):
        q = self.db.execute
        if not new:
            if q("PRAGMA application_id").fetchone()[0] != MARK:
                if q("SELECT count(*) FROM sqlite_master").fetchone()[0] or os.path.getsize(os.path.join(self.folder, FILE)):
                    raise DamagedDataError("the file is not silverglade's")
                new = True
            elif (v := q("PRAGMA user_version").fetchone()[0]) not in (SHAPE, *OLD):
                raise DamagedDataError(
                    f"the file has layout {v}, this program reads {SHAPE}: start the program that wrote"
                    " it; or move the folder away, start empty, and let this core rejoin by a copy",
                )
        q("PRAGMA locking_mode=EXCLUSIVE")
        q("PRAGMA journal_mode=DELETE")
        q("PRAGMA synchronous=EXTRA")
        q("BEGIN EXCLUSIVE")  # locked from here on, also before the first write: a second daemon would keep both from writing
        q("COMMIT")
        if new:
            q("BEGIN EXCLUSIVE")
            q(f"PRAGMA application_id={MARK}")
            q(f"PRAGMA user_version={SHAPE}")
            q("CREATE TABLE kv (tab TEXT NOT NULL, key TEXT NOT NULL, val BLOB NOT NULL, PRIMARY KEY (tab, key)) WITHOUT ROWID")
            q(
                "INSERT INTO kv VALUES ('ident', 'name', ?), ('ident', 'disk', ?)",
                (ormsgpack.packb(self.name), ormsgpack.packb(secrets.token_hex(8))),
            )
            q("COMMIT")
            sync_folder(self.folder)
        bad = q("PRAGMA integrity_check").fetchone()[0]
        if bad != "ok":
            raise DamagedDataError(f"damaged: {bad}")
        who = self.table("ident")
        if who.get("name") != self.name or not who.get("disk"):
            raise DamagedDataError(f"the folder belongs to {who.get('name')}, not to {self.name}")
        if not new and v in OLD:  # a program that reads only that one now refuses the file
            q(f"PRAGMA user_version={SHAPE}")
        self.id = who["disk"]

    def table(self, tab):
        try:
            return {k: lists_to_tuples(ormsgpack.unpackb(v)) for k, v in self.db.execute("SELECT key, val FROM kv WHERE tab = ?", (tab,))}
        except ValueError as e:
            raise DamagedDataError(f"damaged: table {tab}") from e

    def load(self):
        return {t: self.table(t) for t in ("meta", "book", "shown", "shard", "claim")}

    def write(self, ops):
        """One transaction, synced when this returns."""
        q = self.db.execute
        q("BEGIN IMMEDIATE")
        try:
            for op in ops:
                match op:
                    case ("put", t, k, v):
                        q("INSERT OR REPLACE INTO kv VALUES (?, ?, ?)", (t, k, ormsgpack.packb(v)))
                    case ("del", t, k):
                        q("DELETE FROM kv WHERE tab = ? AND key = ?", (t, k))
                    case ("wipe", t):
                        q("DELETE FROM kv WHERE tab = ?", (t,))
            q("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                q("ROLLBACK")
            raise

    def close(self):
        self.db.close()
