"""Programs of two versions in one fleet (design 10.5): upgraded one by one under traffic, and rolled back."""

import sqlite3

import pytest

from silverglade.runtime.errors import SilvergladeError
from silverglade.server.disk import DATABASE_FILE, DataFolder
from silverglade.testbed.simulator.scenario import Scene
from silverglade.transport import message_schemas as messages


def swap(s, name, on):
    n = s.w.nodes[name]
    n.kill()
    n.next = on
    s.w.run(0.5)
    n.boot()
    s.w.run(5)


def upgraded(seed=3):
    s = Scene(town="hamlet", seed=seed)
    s.settle()
    s.traffic()
    names = sorted(s.w.nodes, key=lambda n: n.startswith("core"))  # edges first, then cores
    for n in names:
        swap(s, n, True)
        s.put(kind="aim")
    for n in names[1::2] + names[::2]:  # and back, in another order
        swap(s, n, False)
    return s


def test_a_fleet_is_upgraded_one_daemon_at_a_time_and_rolled_back_under_traffic():
    s = upgraded()
    assert s.o.events["message-refused"] > 0  # the unknown kind, and nothing else
    kinds = {str(dict(r[3])["what"]) for r in s.w.trace if len(r) > 3 and r[2] == "message-refused"}
    assert all("greeting" in k for k in kinds)
    n = s.told()
    assert s.finish() == [] and n["ok"] > 0.9 * sum(n.values())
    assert [c for _, _, c, _ in s.o.acked].count(100) >= 6


@pytest.mark.parametrize(
    "body", [("nothing",), ("ask", 1), ("hb", (1, "a")), ("reps", (), (), (("a",),)), ("op", 1, "c", ("drop", "shard")), ("ping", "x", ())]
)
def test_a_message_that_is_not_known_or_wrong_is_refused_and_the_daemon_lives(body):
    s = Scene(town="hamlet")
    s.settle()
    n = s.w.nodes["core-north"]
    n.feed(("msg", "edge-north-0", body))
    assert s.o.events["message-refused"] == 1
    assert s.w.now and n.feed(("pulse",)) is None


def test_with_fields_refused_the_same_upgrade_does_not_hold_together(monkeypatch):
    was = messages.has_valid_shape
    strict = lambda body: was(body) and (body[-2:] != ("later", 7))
    monkeypatch.setattr(messages, "has_valid_shape", strict)
    s = upgraded()
    n = s.told()
    assert n.get("ok", 0) < 0.9 * sum(n.values())


def test_a_store_of_another_layout_is_refused_with_what_to_do_and_left_untouched(tmp_path):
    DataFolder(folder=str(tmp_path), name="a").close()
    db = sqlite3.connect(tmp_path / DATABASE_FILE)
    db.execute("PRAGMA user_version=9")
    db.commit()
    db.close()
    before = (tmp_path / DATABASE_FILE).read_bytes()
    with pytest.raises(SilvergladeError) as e:
        DataFolder(folder=str(tmp_path), name="a")
    assert e.value.code == 702 and "layout 9" in e.value.detail and "rejoin" in e.value.detail
    assert (tmp_path / DATABASE_FILE).read_bytes() == before
