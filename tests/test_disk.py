"""The data folder (design 5.1): refused when damaged, foreign or shared; nothing overwritten."""

import os
import sqlite3

import pytest

from silverglade.daemon.disk import FILE, Store
from silverglade.faults import Fault


def refused(**kw):
    with pytest.raises(Fault) as e:
        Store(**kw)
    return e.value.code


def test_what_was_written_is_there_again_with_the_same_disk_id(tmp_path):
    s = Store(folder=str(tmp_path), name="c1")
    s.write([("put", "book", "a", ((1, 2), {"x": [1]})), ("put", "book", "b", 1), ("del", "book", "b")])
    s.close()
    t = Store(folder=str(tmp_path), name="c1")
    assert t.id == s.id
    assert t.load()["book"] == {"a": ((1, 2), {"x": (1,)})}
    t.write([("wipe", "book")])
    assert t.load()["book"] == {}


def test_a_write_that_fails_leaves_nothing_of_itself(tmp_path):
    s = Store(folder=str(tmp_path), name="c1")
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
    db = sqlite3.connect(b / FILE)
    db.execute("CREATE TABLE t (x)")
    db.commit()
    db.close()
    was = (b / FILE).read_bytes()
    assert refused(folder=str(b), name="c1") == 702
    assert (b / FILE).read_bytes() == was
    (c / FILE).write_bytes(b"not a database at all" * 100)
    assert refused(folder=str(c), name="c1") == 702
    s = Store(folder=str(d), name="c1")
    assert refused(folder=str(d), name="c1") == 702  # in use
    s.close()
    assert refused(folder=str(d), name="c2") == 702  # another daemon's
    raw = bytearray((d / FILE).read_bytes())
    raw[4096 + 8 : 4096 + 600] = b"\xff" * 592  # a page of it lost
    (d / FILE).write_bytes(raw)
    assert refused(folder=str(d), name="c1") == 702
    assert (d / FILE).read_bytes() == bytes(raw)


def test_no_shared_memory_file_is_ever_made(tmp_path):
    s = Store(folder=str(tmp_path), name="c1")
    s.write([("put", "meta", "a", 1)])
    assert s.db.execute("PRAGMA journal_mode").fetchone()[0] == "delete"
    assert not [f for f in os.listdir(tmp_path) if f.endswith(("-shm", "-wal"))]


def test_a_store_of_the_layout_before_is_taken_over_and_kept_from_the_program_that_wrote_it(tmp_path):
    s = Store(folder=str(tmp_path), name="a")
    s.write([("put", "meta", "sealed", 3)])
    s.db.execute("PRAGMA user_version=1")
    s.close()
    s = Store(folder=str(tmp_path), name="a")
    assert s.load()["meta"] == {"sealed": 3}
    assert s.db.execute("PRAGMA user_version").fetchone()[0] == 2
    s.close()
