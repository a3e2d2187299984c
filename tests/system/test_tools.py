"""The operator's tools (design 11, 12): placements, restore."""

import pytest

from silverglade.cli import place, restore
from silverglade.runtime.errors import SilvergladeError

ZONES = {z: {"region": r, "capacity": 10} for z, r in (("a", "x"), ("b", "x"), ("c", "y"))}


def homes(**kw):
    return place.solve(place.parse_constraints(dict(zones=ZONES, **kw)))


def test_placements_meet_every_constraint_that_was_written():
    ts = {
        "t": {"burden": 4, "regions": 2, "keep": ["c"]},
        "u": {"burden": 4, "avoid": ["c"]},
        "v": {"burden": 5, "homes": 1},
        "w": {"burden": 5, "homes": 1},
    }
    h = homes(tenants=ts, apart=[["v", "w"]])
    assert h["t"][0] == "c" and len(h["t"]) == 2
    assert h["u"] == ["a", "b"]
    assert h["v"] != h["w"]
    use = {z: sum(ts[t]["burden"] for t in ts if z in h[t]) for z in ZONES}
    assert max(use.values()) <= 10


def test_what_cannot_be_met_names_the_constraints_that_conflict():
    with pytest.raises(SilvergladeError) as e:
        homes(tenants={"t": {"homes": 1, "keep": ["a"], "avoid": ["a"]}, "u": {}})
    assert e.value.code == 704
    assert "t keeps a" in e.value.detail and "t avoids a" in e.value.detail
    assert "u requires" not in e.value.detail
    with pytest.raises(SilvergladeError) as e:
        homes(tenants={"t": {"burden": 40, "homes": 1}})
    assert "capacity" in e.value.detail


def test_a_faulty_constraints_file_is_refused_whole_with_paths():
    with pytest.raises(SilvergladeError) as e:
        homes(tenants={"t": {"keep": ["nowhere"]}})
    assert e.value.code == 703 and "tenants.t.keep" in e.value.detail
    with pytest.raises(SilvergladeError) as e:
        place.parse_constraints({"zones": [], "tenants": {}, "more": 1})
    assert "more: unknown key" in e.value.detail


def test_the_last_core_left_is_restored_and_takes_changes_again():
    from silverglade.testbed.simulator.scenario import Scene

    s = Scene(town="hamlet", seed=3)
    s.settle()
    w, (a, b, c) = s.w, s.w.cores
    w.empty_disk(b)
    w.empty_disk(c)
    w.nodes[a].kill()
    w.nodes[b].boot()
    w.nodes[c].boot()
    w.run(5)
    assert s.put() and not w.run(6) and s.o.acked[-1][2] != 100  # two empty cores form nothing
    saved = {t: w.nodes[a].disk.data.get(t, {}) for t in ("meta", "book")}
    ops, e = restore.plan(saved, name=a, disk=w.nodes[a].disk.id, partner=(b, w.nodes[b].disk.id), third=(c, w.nodes[c].disk.id))
    w.nodes[a].disk.apply(ops)
    w.nodes[a].boot()
    w.run(5)
    s.put()
    w.run(3)
    assert s.o.acked[-1][2] == 100 and s.o.acked[-1][3][0] >= e
    assert s.o.acked[-1][3] > s.o.acked[0][3]
    w.nodes[a].kill()  # and survives a loss again
    w.run(6)
    s.put()
    w.run(3)
    assert s.o.acked[-1][2] == 100


def test_a_rehearsal_beside_another_ends_in_one_clear_line(tmp_path, capsys):
    import socket

    from silverglade.testbed.__main__ import main
    from silverglade.testbed.local_fleet.fleet import Fleet, free

    addr = next(iter(Fleet(town="hamlet", folder=str(tmp_path)).daemons.values()))["http"]
    free(addr)
    with socket.socket() as s:
        s.bind((addr.rsplit(":", 1)[0], int(addr.rsplit(":", 1)[1])))
        s.listen()
        assert main(["hamlet", "--secs", "1", "--folder", str(tmp_path)]) == 2
    err = capsys.readouterr().err
    assert "706 address-taken" in err and err.count("\n") == 1
