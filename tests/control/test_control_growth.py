"""Memory and disk usage of a core do not grow over thousands of changes (docs/control-safety.md, 3.4)."""

import dataclasses
import os
import random

import pytest

from silverglade.server.disk import DATABASE_FILE, DataFolder

from . import test_control_safety as safety

CFG = {"zones": {"z": {"region": "r"}, "y": {"region": "r"}}, "tenants": {}}


def sizes(core):
    """Return the size of each collection in a core's state and of each table on its disk."""
    state = core.gen.state
    held = {f.name: getattr(state, f.name) for f in dataclasses.fields(state)}
    held.update({"peers.table": state.peers.table, "writes": state.writes.in_progress})
    return {name: len(x) for name, x in [*held.items(), *core.tables.items()] if isinstance(x, (dict, list, set))}


def change(a, n):
    """Make one acknowledged change, with a heartbeat of a witness and a daemon's request for updates."""
    op = ("table", n - 1, n, dict(CFG, number=n), f"text {n}")
    a.sent.clear(), a.updates.clear()
    a.receive("edge", "op", n, f"id{n}", op, f"digest{n}")
    asked = a.last("repl")
    a.receive("b", "repd", 3, asked[2])
    assert a.last("opr")[2][0] == "ok"
    a.receive("c", "snapok", 3, n, "C")
    a.heartbeat("c", shown=(3, 1))
    a.receive("edge", "get", n, (0, 0), None)


def test_memory_and_disk_do_not_grow_with_the_number_of_changes():
    a = safety.primary()
    seen = []
    for n in range(1, 6001):
        change(a, n)
        if n in (4600, 6000):
            seen.append(sizes(a))
    was, now = seen
    assert all(now[k] <= was[k] + 1100 for k in now)  # outcomes are evicted in batches
    assert all(n < 5500 for n in now.values()) and now["book"] < 5500


def test_without_pruning_the_store_grows(monkeypatch):
    monkeypatch.setattr("silverglade.control.store.pruned_keys", lambda store: ())
    with pytest.raises(AssertionError):
        test_memory_and_disk_do_not_grow_with_the_number_of_changes()


def test_the_data_file_does_not_grow_beyond_its_contents(tmp_path):
    rng, s, sized = random.Random(5), DataFolder(folder=str(tmp_path), name="a"), []

    def some():
        return "x" * rng.randrange(200, 4000)

    for n in range(400):
        s.write([("wipe", "book"), *(("put", "book", f"k{i}", some()) for i in range(60))])  # a snapshot
        s.write([("put", "book", f"change/{n}", (n, "digest")), ("del", "book", f"change/{n - 20}"), ("put", "meta", "reg", some())])
        if n in (99, 399):
            sized.append(os.path.getsize(tmp_path / DATABASE_FILE))
    assert sized[1] <= sized[0] * 1.15
    s.close()
