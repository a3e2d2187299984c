"""The data folder (design 5.1): persistence, crash recovery, and refusal of damaged, foreign or shared folders without changing them."""

import os
import shutil
import sqlite3

import pytest

from silverglade.runtime.errors import SilvergladeError
from silverglade.server.disk import DATABASE_FILE, DataFolder


def refusal_code(**kw):
    with pytest.raises(SilvergladeError) as error:
        DataFolder(**kw)
    return error.value.code


def test_data_and_disk_id_persist_across_reopening(tmp_path):
    store = DataFolder(folder=str(tmp_path), name="c1")
    store.write([("put", "book", "a", ((1, 2), {"x": [1]})), ("put", "book", "b", 1), ("del", "book", "b")])
    store.close()
    reopened = DataFolder(folder=str(tmp_path), name="c1")
    assert reopened.id == store.id
    assert reopened.load()["book"] == {"a": ((1, 2), {"x": (1,)})}
    reopened.write([("wipe", "book")])
    assert reopened.load()["book"] == {}


def test_a_failed_write_has_no_effect(tmp_path):
    store = DataFolder(folder=str(tmp_path), name="c1")
    with pytest.raises(TypeError):
        store.write([("put", "book", "a", 1), ("put", "book", "b", object())])
    assert store.load()["book"] == {}


def test_foreign_damaged_and_shared_folders_are_refused_and_unchanged(tmp_path):
    foreign_files, foreign_database, not_a_database, own = (tmp_path / x for x in "abcd")
    for x in (foreign_files, foreign_database, not_a_database):
        x.mkdir()
    (foreign_files / "notes.txt").write_text("mine")
    assert refusal_code(folder=str(foreign_files), name="c1") == 702
    assert os.listdir(foreign_files) == ["notes.txt"]
    db = sqlite3.connect(foreign_database / DATABASE_FILE)
    db.execute("CREATE TABLE t (x)")
    db.commit()
    db.close()
    before = (foreign_database / DATABASE_FILE).read_bytes()
    assert refusal_code(folder=str(foreign_database), name="c1") == 702
    assert (foreign_database / DATABASE_FILE).read_bytes() == before
    (not_a_database / DATABASE_FILE).write_bytes(b"not a database at all" * 100)
    assert refusal_code(folder=str(not_a_database), name="c1") == 702
    store = DataFolder(folder=str(own), name="c1")
    assert refusal_code(folder=str(own), name="c1") == 702  # in use
    store.close()
    assert refusal_code(folder=str(own), name="c2") == 702  # another daemon's
    damaged = bytearray((own / DATABASE_FILE).read_bytes())
    damaged[4096 + 8 : 4096 + 600] = b"\xff" * 592  # overwrite a part of a page
    (own / DATABASE_FILE).write_bytes(damaged)
    assert refusal_code(folder=str(own), name="c1") == 702
    assert (own / DATABASE_FILE).read_bytes() == bytes(damaged)


def test_no_shared_memory_file_is_created(tmp_path):
    store = DataFolder(folder=str(tmp_path), name="c1")
    store.write([("put", "meta", "a", 1)])
    assert store.database.execute("PRAGMA journal_mode").fetchone()[0] == "delete"
    assert not [f for f in os.listdir(tmp_path) if f.endswith(("-shm", "-wal"))]


def test_an_older_layout_is_upgraded(tmp_path):
    store = DataFolder(folder=str(tmp_path), name="a")
    store.write([("put", "meta", "sealed", 3)])
    store.database.execute("PRAGMA user_version=1")
    store.close()
    store = DataFolder(folder=str(tmp_path), name="a")
    assert store.load()["meta"] == {"sealed": 3}
    assert store.database.execute("PRAGMA user_version").fetchone()[0] == 2
    store.close()


def test_a_second_daemon_is_refused_before_the_first_has_written_anything(tmp_path):
    DataFolder(folder=str(tmp_path), name="a").close()
    store = DataFolder(folder=str(tmp_path), name="a")  # has only read so far
    assert refusal_code(folder=str(tmp_path), name="a") == 702
    store.write([("put", "meta", "sealed", 1)])  # is not affected by the attempt
    assert store.load()["meta"] == {"sealed": 1}
    store.close()


def test_a_folder_of_another_core_keeps_its_layout_and_is_unlocked(tmp_path):
    store = DataFolder(folder=str(tmp_path), name="b")
    store.database.execute("PRAGMA user_version=1")
    store.close()
    before = (tmp_path / DATABASE_FILE).read_bytes()
    assert refusal_code(folder=str(tmp_path), name="a") == 702
    assert (tmp_path / DATABASE_FILE).read_bytes() == before
    DataFolder(folder=str(tmp_path), name="b").close()


def test_the_parents_of_created_folders_are_synced(tmp_path, monkeypatch):
    """Guards against lost folders: a power failure removes a folder whose parent was not synced, and with it acknowledged data, on all
    cores at once.
    """
    synced, real = [], os.fsync

    def fsync(fd):
        synced.append(os.path.realpath(f"/proc/self/fd/{fd}"))
        real(fd)

    monkeypatch.setattr(os, "fsync", fsync)
    DataFolder(folder=str(tmp_path / "x" / "data"), name="a").close()
    top = os.path.realpath(tmp_path)
    assert synced == [top, f"{top}/x", f"{top}/x/data"]
    DataFolder(folder=str(tmp_path / "x" / "data"), name="a").close()
    assert len(synced) == 3


def test_a_disk_that_is_full_at_any_point_of_a_write_keeps_the_old_state_and_accepts_smaller_writes(tmp_path):
    store = DataFolder(folder=str(tmp_path), name="a")
    operations = [("wipe", "book"), *(("put", "book", f"k{i}", "n" * 900) for i in range(40)), ("put", "meta", "recruited", 7)]
    store.write([("put", "book", f"k{i}", "o" * 50) for i in range(20)])
    before, page, outcomes = store.load(), store.database.execute("PRAGMA page_count").fetchone()[0], []
    for max_pages in range(page, page + 40):
        store.database.execute(f"PRAGMA max_page_count={max_pages}")
        try:
            store.write(operations)
            outcomes.append(True)
            break
        except sqlite3.OperationalError:
            outcomes.append(False)
            assert store.load() == before
            store.write([("put", "shown", "small", max_pages)])  # a small write still fits
            store.write([("del", "shown", "small")])
    assert outcomes[-1] and len(outcomes) > 5  # it failed at many points before it succeeded
    store.close()
    store = DataFolder(folder=str(tmp_path), name="a")
    assert len(store.load()["book"]) == 40 and store.load()["meta"] == {"recruited": 7}
    store.close()


def states_within_a_write(tmp_path):
    """Copy the folder at each statement of a write whose pages reach the file before the commit.

    Return the copies, the state before the write and the state after it.
    """
    folder, copies = tmp_path / "data", []
    store = DataFolder(folder=str(folder), name="a")
    store.write([("put", "book", f"k{i}", "old" * 300) for i in range(60)] + [("put", "meta", "n", 1)])
    before = store.load()
    store.database.execute("PRAGMA cache_size=1")

    def copy(statement):
        copies.append(tmp_path / f"at-{len(copies)}")
        shutil.copytree(folder, copies[-1])

    store.database.set_trace_callback(copy)
    store.write([("wipe", "book"), *(("put", "book", f"k{i}", "new" * 300) for i in range(60)), ("put", "meta", "n", 2)])
    store.database.set_trace_callback(None)
    after = store.load()
    store.close()
    return copies, before, after


def test_a_crash_during_a_write_leaves_the_state_before_or_after_it(tmp_path):
    """The process ends with pages of the write in the file and a journal beside it; the next start rolls the write back."""
    copies, before, after = states_within_a_write(tmp_path)
    half_written = 0
    for folder in copies:
        half_written += (folder / DATABASE_FILE).read_bytes() != (copies[0] / DATABASE_FILE).read_bytes()
        store = DataFolder(folder=str(folder), name="a")
        assert store.load() in (before, after)
        store.write([("put", "meta", "n", 3)])
        store.close()
    assert half_written > 10 and before != after


def test_a_folder_copied_without_its_journal_is_refused_or_in_the_state_before_the_write(tmp_path):
    copies, before, after = states_within_a_write(tmp_path)
    outcomes = []
    for folder in copies:
        (folder / f"{DATABASE_FILE}-journal").unlink(missing_ok=True)
        try:
            store = DataFolder(folder=str(folder), name="a")
            assert store.load() == before
            store.close()
            outcomes.append("before")
        except SilvergladeError as error:
            outcomes.append(error.code)
    assert set(outcomes) == {"before", 702} and outcomes.count(702) > 10
