"""Who lives and what is told of them (design 4): its steady cost, its bounds, and deltas against an oracle."""

import random

import pytest

from silverglade.membership import core_table
from silverglade.membership.own_attributes import is_notable_change
from silverglade.membership.records import ALL_CORES, SoftStateRow, readable_rows
from silverglade.membership.replicated_table import ReplicatedTable, covers, supersedes
from silverglade.membership.zone_relay import ZoneRelay, relay_of_zone
from silverglade.runtime.effects import ZERO, milliseconds
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.testbed.experiments.fleet_cost import measure, plain
from silverglade.testbed.simulator.scenario import SEC, Scene
from silverglade.testbed.sites import TOWNS
from silverglade.transport import message_schemas as messages

from ..support.failure_scenarios import hamlet
from ..support.source_mutation import without
from ..transport.test_framing import random_value


def rolls(s):
    return {len(n.members) for n in s.w.nodes.values() if n.hub}


def until(s, ok, most=10):
    """-> seconds of simulated time until it is so."""
    t = s.w.now
    while not ok() and (s.w.now - t) < most * SEC:
        s.w.run(0.05)
    return (s.w.now - t) / SEC


@pytest.mark.parametrize("n,secs", [(12, 10), (60, 10), (120, 5)])
def test_a_quiet_daemon_sends_as_little_in_a_large_fleet_as_in_a_small_one(n, secs):
    f = measure(daemons=n, secs=secs)
    assert f["rolls"] == [n]
    assert small(f, 9 if n > 60 else 0) and f["mean"] < 800


def small(f, proxies):
    """Every daemon but those that ask for a zone without a core sends little; those at most 5 KB/s."""
    return f["edges"][-1 - proxies] < 400 and f["most_edge"] < 5000


def test_a_fleet_of_420_comes_together_and_its_quiet_cost_is_that_of_twelve():
    f = measure(daemons=420, secs=3, warm=9.0)
    assert f["rolls"] == [420] and small(f, 9) and f["most"] < 25000


def test_with_records_told_at_each_beat_the_cost_grows(monkeypatch):
    guard = "if row is not None and not is_notable_change(attribute, row.value, value):"
    without(monkeypatch, "silverglade.membership.own_attributes", guard, "if False:", "silverglade.membership.member.OwnAttributes")
    a, b = (measure(daemons=n, secs=5)["mean"] for n in (12, 60))
    assert b > 2 * a


def bury(town, name, seed=1):
    s = Scene(town=town, seed=seed)
    s.settle(5)
    s.w.nodes[name].kill()
    return s, until(s, lambda: all(name not in {r[0] for r in n.members} for n in s.w.nodes.values() if n.hub))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("name", ["edge-upper-0", "core-inner"])
def test_a_dead_daemon_is_known_to_all_thirty_within_two_seconds(name, seed):
    assert bury("borough", name, seed)[1] < (2 if name.startswith("edge") else 3.5)


def test_without_its_watchers_a_death_is_known_only_by_silence(monkeypatch):
    guard = "self._publish(daemon, record.incarnation, own_incarnation)"
    without(monkeypatch, "silverglade.membership.failure_detector", guard, "pass", "silverglade.membership.member.FailureDetector")
    assert 3 < bury("borough", "edge-upper-0")[1] < 7


def test_a_region_that_is_lost_is_known_within_a_few_seconds_and_nobody_else_is_taken_for_dead():
    s = Scene(town="navrang")
    s.settle(5)
    for n in list(s.w.nodes.values()):
        if n.zone == "surat":
            n.kill()
    assert until(s, lambda: rolls(s) == {8}) < 5
    s.w.run(3)
    assert rolls(s) == {8} and s.o.events["daemon-dead"] == 8 * 4


def test_a_link_that_is_down_between_two_daemons_or_regions_kills_nobody():
    s = Scene(town="navrang")
    s.settle(5)
    s.w.cut(
        [n.name for n in s.w.nodes.values() if n.zone == "surat" and not n.core],
        [n.name for n in s.w.nodes.values() if n.zone == "vadodara" and not n.core],
    )
    s.w.run(8)
    assert s.o.events["daemon-dead"] == 0 and rolls(s) == {12}


def test_each_side_of_a_cut_has_its_roll_and_both_agree_again_after_it():
    s = Scene(town="navrang")
    s.settle(5)
    mine = [n.name for n in s.w.nodes.values() if n.zone == "surat"]
    s.w.cut(mine, [n for n in s.w.nodes if n not in mine])
    s.w.run(8)
    assert {len(s.w.nodes[n].members) for n in mine} == {4}
    assert {len(n.members) for n in s.w.nodes.values() if n.name not in mine} == {8}
    s.w.nodes["edge-ahmedabad-0"].kill()
    s.w.nodes["edge-surat-0"].kill()
    s.w.run(3)
    s.w.nodes["edge-surat-0"].boot()
    s.w.run(3)
    s.w.heal()
    assert until(s, lambda: rolls(s) == {11}) < 4
    s.w.run(2)
    assert rolls(s) == {11} and len({n.members for n in s.w.nodes.values() if n.hub}) == 1


def test_a_daemon_alone_knows_only_itself_and_finds_all_again():
    s = hamlet()
    s.w.cut(["edge-north-0"], [n for n in s.w.nodes if n != "edge-north-0"])
    s.w.run(6)
    assert len(s.w.nodes["edge-north-0"].members) == 1
    s.w.heal()
    assert until(s, lambda: rolls(s) == {6}) < 3


def test_a_restarted_daemon_finds_the_fleet_by_the_one_seed_that_lives():
    s = hamlet()
    n = s.w.nodes["edge-south-0"]
    n.kill()
    s.w.run(3)
    s.w.seeds = ("10.9.9.1:1", "10.9.9.2:1", s.w.nodes["core-middle"].addr, "10.9.9.3:1")
    n.boot()
    assert until(s, lambda: n.has_joined and rolls(s) == {6}, 12) < 7
    inc = {r[0]: r[2] for r in s.w.nodes["core-north"].members}
    assert inc["edge-south-0"] == 2


def test_two_watchers_or_the_silence_of_all_make_a_daemon_dead_not_one():
    s = hamlet()
    t = s.w.nodes["core-north"].hub.components["core_table"]
    t.send((s.w.now, ("msg", "edge-south-0", ("told", (("doubt", "edge-north-0 edge-south-0", (1, 1), 1, ALL_CORES),)))))
    s.w.run(2)
    assert rolls(s) == {6}


def test_names_that_come_and_go_leave_no_rows():
    s = Scene(town="hamlet", opt=tuning(forget=5))
    s.settle(5)
    n, base = s.w.nodes["edge-south-0"], None
    for k in range(5):
        n.kill()
        s.w.run(3)
        n.boot()
        s.w.run(3)
    for i in range(20):
        s.w.nodes["edge-north-0"].hub.queue.append(("membership", ("publish", "thing", f"k{i}", (1, 1), i)))
    s.w.run(2)
    base = len(s.w.nodes["core-north"].core_soft_state.rows)
    for i in range(20):
        s.w.nodes["edge-north-0"].hub.queue.append(("membership", ("publish", "thing", f"k{i}", (1, 2), None)))
    s.w.nodes["edge-middle-0"].kill()
    s.w.run(20)
    t = s.w.nodes["core-north"].core_soft_state
    assert len(t.rows) < base - 20 and not t.rows_of_kind("thing") and not t.tombstones
    assert "edge-middle-0" not in t.rows_of_kind("daemon") and len(t.vector) <= 6
    assert not any(k[0] == "thing" for k in s.w.nodes["edge-south-0"].published_rows)


def test_what_one_daemon_publishes_all_or_all_of_its_region_are_told():
    s = hamlet()
    got = {}
    q = s.w.nodes["edge-north-0"].hub.queue
    q.append(("membership", ("publish", "thing", "everywhere", (1,), 7)))
    q.append(("membership", ("publish", "thing", "here", (1,), 8, "n")))
    s.w.run(1.5)
    for n in s.w.nodes.values():
        got[n.name] = {k: r.value for k, r in n.soft_state.rows_of_kind("thing").items()}
    for n in s.w.nodes.values():
        assert got[n.name] == ({"everywhere": 7, "here": 8} if n.region == "n" else {"everywhere": 7}), n.name
    assert all("here" in n.core_soft_state.rows_of_kind("thing") for n in s.w.nodes.values() if n.core)


def many(n=100):
    try:
        TOWNS["plain"] = lambda: plain(n)
        s = Scene(town="plain")
    finally:
        del TOWNS["plain"]
    s.settle(8)
    return s


def test_a_zone_without_a_core_asks_through_one_daemon_and_goes_on_without_it():
    s = many()
    zone = "z03"
    mates = [n.name for n in s.w.nodes.values() if n.zone == zone]
    who = relay_of_zone(zone, s.w.nodes[mates[0]].members)
    assert who in mates and rolls(s) == {100}
    assert {s.w.nodes[i].queried_core for i in mates if i != who} == {who}
    assert s.w.nodes[who].queried_core in s.w.cores
    t = s.w.now
    s.w.nodes[who].kill()
    s.put(at=mates[0] if mates[0] != who else mates[1])
    s.w.run(3)
    assert [c for *_, c, _ in s.o.acked] == [100, 100]
    assert {n.store["config"][0] for n in s.w.nodes.values() if n.hub} == {s.o.acked[-1][-1]}
    s.w.run(6)
    assert rolls(s) == {99} and s.w.now > t
    assert s.o.events["daemon-dead"] == 99  # the proxy alone, told by each
    fresh = [s.w.now - n.store_proved_at for n in s.w.nodes.values() if n.hub]
    assert max(fresh) < 3 * SEC
    two = relay_of_zone(zone, s.w.nodes[mates[0] if mates[0] != who else mates[1]].members)
    s.w.cut([two], [n for n in s.w.nodes if n != two])
    s.w.run(8)
    assert {len(n.members) for n in s.w.nodes.values() if n.hub and n.name != two} == {98}
    s.w.heal()
    s.w.nodes[who].boot()
    s.w.run(6)
    assert rolls(s) == {100} and s.o.faults == []


def test_daemons_that_take_each_other_for_the_proxy_do_not_pass_rows_round():
    p = MachineComponent(ZoneRelay(zone="z", tuning=tuning()))
    row = ("thing", "k", (1,), 1, "")
    assert p.send((ZERO, ("msg", "x", ("told", (row,))))) == ()
    p.send((ZERO, ("core", "y", False)))
    assert p.send((ZERO, ("msg", "x", ("told", (row,))))) == ()
    p.send((ZERO, ("core", "c", True)))
    assert p.send((ZERO, ("msg", "x", ("told", (row,))))) == (("send", "c", ("told", (row,))),)


def test_a_seed_that_is_no_core_answers_no_stranger_and_is_passed_over():
    s = hamlet()
    n, edge = s.w.nodes["edge-south-0"], s.w.nodes["edge-north-0"]
    n.kill()
    s.w.run(3)
    s.w.seeds = (edge.addr, s.w.nodes["core-middle"].addr)
    n.boot()
    assert until(s, lambda: n.has_joined and rolls(s) == {6}, 12) < 7
    assert s.o.events["message-refused"] == 0


def test_a_core_that_begins_anew_agrees_with_the_others_while_rows_change_all_the_time():
    s = Scene(town="navrang")
    s.settle(5)
    for k in range(160):
        s.w.after(milliseconds(50 * k), s.w.nodes["edge-surat-0"].hub.queue.append, ("membership", ("publish", "thing", "k", (k + 1,), k)))
        s.w.after(milliseconds(50 * k), s.w.nodes["core-surat"].hub.queue.append, ("membership", ("publish", "thing", "c", (k + 1,), k)))
    s.w.run(1)
    s.w.empty_disk("core-ahmedabad")
    s.w.run(0.3)
    n = s.w.nodes["core-ahmedabad"]
    n.boot()
    s.w.run(2.5)
    t, other = n.core_soft_state, s.w.nodes["core-vadodara"].core_soft_state
    assert len(t.vector) == len(other.vector) > 3
    s.w.run(6)
    assert rolls(s) == {12} and n.core_soft_state.rows_of_kind("thing")["k"].value == 159
    assert s.o.events["soft-state-reset"] == 0


# deltas against an oracle
def rows_since(table, vector):
    """What a table sends to one that stands at this vector, as that one reads it."""
    return readable_rows(table.rows_since(vector))


class Core:
    def __init__(self, i):
        self.t = ReplicatedTable(process_id=f"c{i}")


@pytest.mark.parametrize("seed", range(30))
def test_tables_that_exchange_deltas_in_any_order_hold_the_highest_rank_of_every_key(seed):
    rng = random.Random(seed)
    cores = [Core(i) for i in range(rng.randrange(2, 6))]
    asker, truth, n = ReplicatedTable(), {}, 0
    ways = []
    for _ in range(400):
        k = rng.random()
        c = rng.choice(cores)
        if k < 0.4:
            n += 1
            key = f"k{rng.randrange(12)}"
            row = SoftStateRow("thing", key, (rng.randrange(30), n % 3), rng.choice((None, n, "x")), "")
            c.t.take(row, ZERO)
            if supersedes(row, truth.get(key)):
                truth[key] = row
        elif k < 0.8:  # a delta leaves, and may arrive late, twice or never
            d = rng.choice(cores)
            told = dict(d.t.vector)
            ways.append((d, told, dict(c.t.vector), rows_since(c.t, told)))
        elif ways:
            d, lacks, vec, rows = rng.choice(ways)
            d.t.merge(rows, ZERO)
            if covers(d.t.vector, lacks):
                d.t.adopt(vec)
        if rng.random() < 0.1:
            asker.merge(rows_since(c.t, asker.vector), ZERO)
            asker.adopt(c.t.vector)
    for _ in range(2):
        for c in cores:
            for d in cores:
                d.t.merge(rows_since(c.t, d.t.vector), ZERO)
                d.t.adopt(c.t.vector)
    snap = ReplicatedTable()
    snap.merge(rows_since(cores[0].t, {}), ZERO)
    asker.merge(rows_since(cores[0].t, asker.vector), ZERO)
    for t in [c.t for c in cores] + [snap, asker]:
        assert {k[1]: r[:5] for k, r in t.rows.items()} == {key: row[:5] for key, row in truth.items()}


def test_a_vector_adopted_without_its_rows_loses_some():
    a, b = ReplicatedTable(process_id="a"), ReplicatedTable(process_id="b")
    a.take(SoftStateRow("thing", "k", (1,), 1, ""), ZERO)
    b.adopt(a.vector)  # the breach: what covers() guards against
    b.merge(rows_since(a, b.vector), ZERO)
    assert b.rows != a.rows


def test_tombstones_go_after_a_while_and_with_them_origins_that_nobody_speaks_of():
    t = ReplicatedTable(process_id="a")
    t.merge((SoftStateRow("thing", "k", (1,), 1, "", "old", 4),), ZERO)
    t.adopt({"old": 4})
    t.drop_origins({"a"})
    assert t.vector == {"old": 4}
    t.take(SoftStateRow("thing", "k", (2,), None, ""), ZERO)
    t.drop_tombstones(9 * SEC, 10 * SEC)
    assert len(t.rows) == 1
    t.drop_tombstones(11 * SEC, 10 * SEC)
    t.drop_origins({"a"})
    assert t.rows == {} and t.tombstones == {} and t.vector == {"a": 1}


@pytest.mark.parametrize("seed", range(3))
def test_whatever_a_message_of_membership_holds_it_is_refused_or_fells_nobody(seed):
    rng = random.Random(seed)
    s = hamlet()
    n = s.w.nodes["core-north"]
    row = ("daemon", "x", (1, 1), ("x", "l", 1, 1, "z", "r", "a", "h", True, "ready", (), ()), "", "o", 1)
    for _ in range(1500):
        kind = rng.choice(("alive", "doubted", "told", "sync", "get", "news"))
        r = list(row)
        for _ in range(rng.randrange(3)):
            r[rng.randrange(len(r))] = random_value(rng)
        pend = n.pending_update_request
        body = dict(
            alive=(random_value(rng), random_value(rng)),
            doubted=(),
            told=((tuple(r[:5]), random_value(rng))[: rng.randrange(1, 3)],),
            sync=(1, (("o", 1),), random_value(rng, 1) if rng.random() < 0.3 else (), (tuple(r),)),
            get=(1, (0, 0), random_value(rng)),
            news=(pend[0] if pend else 1, (0, 0), (), 5, 0, (7, (("o", 1),), (tuple(r),), ("edge-south-0",))[: rng.randrange(5)]),
        )[kind]
        n.feed(("msg", rng.choice(("edge-south-0", "core-south", "x")), (kind, *body)))
        if rng.random() < 0.05:
            s.w.run(0.1)
    s.w.run(8)
    assert messages.is_valid_message(("told", (row[:5],))) and not messages.is_valid_message(("told", (row[:4],)))
    assert n.hub is not None and n.feed(("pulse",)) is None


def test_a_changed_count_is_told_when_it_is_a_fifth_off():
    assert not is_notable_change("pace", (100, 10), (110, 11)) and is_notable_change("pace", (100, 10), (130, 10))
    assert is_notable_change("pace", (0, 0), (1, 0)) and is_notable_change("view", (1, "a", "b"), (2, "a", "b"))
    a = (("model", 3, 1.0, 4.0, 0.1, True),)
    assert not is_notable_change("parts", a, (("model", 3, 1.0, 4.4, 0.1, True),))
    assert is_notable_change("parts", a, (("model", 4, 1.3, 4.0, 0.1, True),)) and milliseconds(1) > ZERO


def test_an_idle_daemon_is_woken_for_what_is_due_alone(monkeypatch):
    assert measure(daemons=12, secs=5)["woken_edge"] < 18
    without(
        monkeypatch,
        "silverglade.tenant_shards.owner",
        "context.effects.append(WakeAt(self._next_round if is_needed else NEVER))",
        "pass",
        "silverglade.runtime.daemon_components.ShardOwner",
    )
    assert measure(daemons=12, secs=5)["woken_edge"] > 25


def stood(n):
    """How often a core of so many daemons stands elsewhere in 2 s, while a count is told at each pulse."""
    table = core_table.CoreTable(name="c", process_id="c.1", peer_address="a", seeds=("a",), tuning=tuning(takeover=0.01))
    t = MachineComponent(table)
    rec = ("x", "l", 1, 1, "z", "r", "a", "h", False, "ready", (), ())
    t.send((ZERO, ("pulse",)))
    t.send((ZERO, ("msg", "x", ("told", tuple(("daemon", f"d{i}", (1, 1), (f"d{i}", *rec[1:]), "") for i in range(n))))))
    got = 0
    for k in range(40):
        now = milliseconds(50 * (k + 1))
        t.send((now, ("msg", "d1", ("told", (("extra", "d1 pace", (1, k + 1), (k, 0), ""),)))))
        got += sum(e[:1] == ("cast",) for e in t.send((now, ("pulse",))))
    return got


def test_counts_of_a_large_fleet_come_together_and_news_of_who_lives_at_once(monkeypatch):
    assert stood(6) == 40 and stood(400) <= 4
    guard = "if _is_urgent(row):"
    without(monkeypatch, "silverglade.membership.core_rows", guard, "if True:", "silverglade.membership.core_table.CoreRows")
    assert stood(400) == 40
