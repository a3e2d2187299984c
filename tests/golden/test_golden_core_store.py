"""A core's stored tables, as a recorded version wrote them (make_core_store.py), are read and written as by that version."""

import json

from silverglade.server.disk import DataFolder

from .core_store import EXPECTED, NAME, recorded, state_reached, values
from .make_core_store import raw_rows


def test_a_core_and_a_follower_reach_the_recorded_state(tmp_path):
    assert state_reached(tmp_path) == json.loads(EXPECTED.read_text(encoding="utf-8"))


def test_the_disk_layer_writes_the_recorded_bytes(tmp_path):
    store = DataFolder(folder=str(tmp_path), name=recorded()[NAME])
    store.write([("put", table, key, value) for table, key, value in values()])
    store.close()
    rows, layout = raw_rows(tmp_path)
    assert rows == recorded()["rows"]
    assert layout == recorded()["layout"]


def test_the_recorded_tables_hold_what_they_are_to_hold():
    control = json.loads(EXPECTED.read_text(encoding="utf-8"))["control"]
    keys = control["stored items"].keys()
    for prefix in ("config", "evac/", "duty/shard/", "duty/ledger/", "change/", "forgotten"):
        assert any(key.startswith(prefix) for key in keys), prefix
    assert control["register"]["view accepted"] and control["register"]["ballot accepted"][0]
    assert control["stored items"]["forgotten"][1][0] > [0, 0]
    assert sum(table == "claim" for table, *_ in values()) > 0
