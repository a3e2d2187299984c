"""The data folder (design 5.1): refused when damaged, foreign or shared; nothing overwritten."""

import os
import shutil
import sqlite3

import pytest

from silverglade.runtime.errors import SilvergladeError
from silverglade.server.disk import DATABASE_FILE, DataFolder


def refused(**kw):
    with pytest.raises(SilvergladeError) as e:
        DataFolder(**kw)
    return e.value.code


def test_what_was_written_is_there_again_with_the_same_disk_id(tmp_path):
    s = DataFolder(folder=str(tmp_path), name="c1")
    s.write([("put", "book", "a", ((1, 2), {"x": [1]})), ("put", "book", "b", 1), ("del", "book", "b")])
    s.close()
    t = DataFolder(folder=str(tmp_path), name="c1")
    assert t.id == s.id
    assert t.load()["book"] == {"a": ((1, 2), {"x": (1,)})}
    t.write([("wipe", "book")])
    assert t.load()["book"] == {}


def test_a_write_that_fails_leaves_nothing_of_itself(tmp_path):
    s = DataFolder(folder=str(tmp_path), name="c1")
    with pytest.raises(TypeError):
        s.write([("put", "book", "a", 1), ("put", "book", "b", object())])
    assert s.load()["book"] == {}


def test_foreign_damaged_and_shared_folders_are_refused_and_left_alone(tmp_path):
    a, b, c, d = (tmp_path / x for x in "abcd")
    for x in (a, b, c):
        x.mkdir()
    (a / "notes.txt").write_text("mine")
    assert refused(folder=str(a), name="c1") == 702
    assert os.listdir(a) == ["notes.txt"]
    db = sqlite3.connect(b / DATABASE_FILE)
    db.execute("CREATE TABLE t (x)")
    db.commit()
    db.close()
    was = (b / DATABASE_FILE).read_bytes()
    assert refused(folder=str(b), name="c1") == 702
    assert (b / DATABASE_FILE).read_bytes() == was
    (c / DATABASE_FILE).write_bytes(b"not a database at all" * 100)
    assert refused(folder=str(c), name="c1") == 702
    s = DataFolder(folder=str(d), name="c1")
    assert refused(folder=str(d), name="c1") == 702  # in use
    s.close()
    assert refused(folder=str(d), name="c2") == 702  # another daemon's
    raw = bytearray((d / DATABASE_FILE).read_bytes())
    raw[4096 + 8 : 4096 + 600] = b"\xff" * 592  # a page of it lost
    (d / DATABASE_FILE).write_bytes(raw)
    assert refused(folder=str(d), name="c1") == 702
    assert (d / DATABASE_FILE).read_bytes() == bytes(raw)


def test_no_shared_memory_file_is_ever_made(tmp_path):
    s = DataFolder(folder=str(tmp_path), name="c1")
    s.write([("put", "meta", "a", 1)])
    assert s.database.execute("PRAGMA journal_mode").fetchone()[0] == "delete"
    assert not [f for f in os.listdir(tmp_path) if f.endswith(("-shm", "-wal"))]


def test_a_store_of_the_layout_before_is_taken_over_and_kept_from_the_program_that_wrote_it(tmp_path):
    s = DataFolder(folder=str(tmp_path), name="a")
    s.write([("put", "meta", "sealed", 3)])
    s.database.execute("PRAGMA user_version=1")
    s.close()
    s = DataFolder(folder=str(tmp_path), name="a")
    assert s.load()["meta"] == {"sealed": 3}
    assert s.database.execute("PRAGMA user_version").fetchone()[0] == 2
    s.close()


def test_a_second_daemon_is_refused_before_the_first_has_written_anything(tmp_path):
    DataFolder(folder=str(tmp_path), name="a").close()
    s = DataFolder(folder=str(tmp_path), name="a")  # it has only read so far
    assert refused(folder=str(tmp_path), name="a") == 702
    s.write([("put", "meta", "sealed", 1)])  # and goes on as if nobody had tried
    assert s.load()["meta"] == {"sealed": 1}
    s.close()


def test_a_store_of_another_core_is_left_at_its_layout_and_unlocked(tmp_path):
    s = DataFolder(folder=str(tmp_path), name="b")
    s.database.execute("PRAGMA user_version=1")
    s.close()
    was = (tmp_path / DATABASE_FILE).read_bytes()
    assert refused(folder=str(tmp_path), name="a") == 702
    assert (tmp_path / DATABASE_FILE).read_bytes() == was
    DataFolder(folder=str(tmp_path), name="b").close()


def test_a_folder_that_is_made_lasts_before_anything_in_it_is_told(tmp_path, monkeypatch):
    """A power cut takes what its folder does not know of yet: an acknowledged disk would be gone at every core at once."""
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


def test_a_disk_that_fills_up_at_any_statement_keeps_the_old_or_the_new_whole_and_works_on(tmp_path):
    s = DataFolder(folder=str(tmp_path), name="a")
    new = [("wipe", "book"), *(("put", "book", f"k{i}", "n" * 900) for i in range(40)), ("put", "meta", "recruited", 7)]
    s.write([("put", "book", f"k{i}", "o" * 50) for i in range(20)])
    was, page, told = s.load(), s.database.execute("PRAGMA page_count").fetchone()[0], []
    for most in range(page, page + 40):
        s.database.execute(f"PRAGMA max_page_count={most}")
        try:
            s.write(new)
            told.append(True)
            break
        except sqlite3.OperationalError:
            told.append(False)
            assert s.load() == was
            s.write([("put", "shown", "small", most)])  # what is small fits again
            s.write([("del", "shown", "small")])
    assert told[-1] and len(told) > 5  # it failed at many places first
    s.close()
    s = DataFolder(folder=str(tmp_path), name="a")
    assert len(s.load()["book"]) == 40 and s.load()["meta"] == {"recruited": 7}
    s.close()


def states_within_a_write(tmp_path):
    """Copies of the folder at each statement of a write whose pages reach the file before its end -> (copies, state before, after)."""
    folder, copies = tmp_path / "data", []
    s = DataFolder(folder=str(folder), name="a")
    s.write([("put", "book", f"k{i}", "old" * 300) for i in range(60)] + [("put", "meta", "n", 1)])
    was = s.load()
    s.database.execute("PRAGMA cache_size=1")

    def copy(statement):
        copies.append(tmp_path / f"at-{len(copies)}")
        shutil.copytree(folder, copies[-1])

    s.database.set_trace_callback(copy)
    s.write([("wipe", "book"), *(("put", "book", f"k{i}", "new" * 300) for i in range(60)), ("put", "meta", "n", 2)])
    s.database.set_trace_callback(None)
    now = s.load()
    s.close()
    return copies, was, now


def test_a_start_in_the_middle_of_a_write_finds_the_state_before_it(tmp_path):
    """The process ends with pages of the write in the file and the journal beside it: rolled back at the next start."""
    copies, was, now = states_within_a_write(tmp_path)
    half = 0
    for folder in copies:
        half += (folder / DATABASE_FILE).read_bytes() != (copies[0] / DATABASE_FILE).read_bytes()
        s = DataFolder(folder=str(folder), name="a")
        assert s.load() in (was, now)
        s.write([("put", "meta", "n", 3)])
        s.close()
    assert half > 10 and was != now


def test_a_folder_copied_without_its_journal_is_refused_or_the_state_before(tmp_path):
    copies, was, now = states_within_a_write(tmp_path)
    told = []
    for folder in copies:
        (folder / f"{DATABASE_FILE}-journal").unlink(missing_ok=True)
        try:
            s = DataFolder(folder=str(folder), name="a")
            assert s.load() == was
            s.close()
            told.append("before")
        except SilvergladeError as e:
            told.append(e.code)
    assert set(told) == {"before", 702} and told.count(702) > 10
