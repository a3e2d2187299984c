"""The list of live members, computed incrementally, equals the list computed from the whole table (design 4.3)."""

import random
from datetime import timedelta

import pytest

from silverglade.membership import replicated_table
from silverglade.membership.live_members import LiveMembers
from silverglade.membership.records import ATTRIBUTE_ROW, MEMBER_ROW, MemberRecord, SoftStateRow, joined_key
from silverglade.membership.replicated_table import ReplicatedTable
from tests.support.source_mutation import without

NAMES = ("d1", "d2", "d3")


def record(name, sequence, state="ready"):
    return MemberRecord(name, "p", 1, sequence, "z", "r", "", "", False, state)


def scanned(table, name):
    """Return the attributes of a daemon, read from all rows of the table."""
    found = {
        key.split(" ", 1)[1]: row.value
        for (kind, key), row in table.rows.items()
        if kind == ATTRIBUTE_ROW and key.split(" ", 1)[0] == name and row.value is not None
    }
    return tuple(sorted(found.items()))


def play(seed, table_class=ReplicatedTable):
    """Insert, change and remove random rows, and compare the list with the whole table after each."""
    rng, table, live = random.Random(seed), table_class(process_id="p"), LiveMembers(own_name="d1")
    for step in range(1, 120):
        now = timedelta(seconds=step)
        name = rng.choice(NAMES)
        if rng.random() < 0.2:
            row = SoftStateRow(MEMBER_ROW, name, (step,), tuple(record(name, step, rng.choice(("ready", "left")))), "", "", 0)
        else:
            value = rng.choice((None, step, "x"))
            row = SoftStateRow(ATTRIBUTE_ROW, joined_key(name, rng.choice(("news", "front", "pace"))), (step,), value, "", "", 0)
        table.insert(row, now)
        if rng.random() < 0.2:
            table.drop_tombstones(now, timedelta(seconds=rng.choice((0, 3))))
        live.is_outdated = True
        own = {"news": step}
        live.update(table, own_record=record("d1", 0), own_attributes=own, is_isolated=False, has_recent_heartbeat=lambda name: True)
        listed = {member.name: member.attributes for member in live.members}
        held = {name: member for name, member in table.members().items() if member.state != "left"}
        assert set(listed) == set(held) | {"d1"}
        for name in listed:
            expected = scanned(table, name) if name != "d1" else tuple(sorted({**dict(scanned(table, name)), **own}.items()))
            assert listed[name] == expected


# An incremental computation that misses a change would list a daemon with outdated attributes.
@pytest.mark.parametrize("seed", range(20))
def test_the_incremental_list_equals_one_computed_from_the_whole_table(seed):
    play(seed)


def test_a_stale_attribute_cache_fails_the_comparison(monkeypatch):
    module = "silverglade.membership.replicated_table"
    without(monkeypatch, module, "        self._attributes.pop(daemon, None)\n", "", f"{module}.ReplicatedTable")
    with pytest.raises(AssertionError):
        for seed in range(20):
            play(seed, replicated_table.ReplicatedTable)
