"""Outlier ejection across daemons (design 15.10): quorum, bound on ejections, trial, and rows that must be ignored."""

import random
from datetime import timedelta
from typing import NamedTuple

import pytest

from silverglade.routing import outlier_ejection
from silverglade.routing.outlier_ejection import (
    ACQUITTAL,
    FIRST_EJECTION,
    MAX_EJECTION,
    SUSPECT,
    TRIAL_DURATION,
    DaemonLocation,
    OutlierEjection,
)

from ..support.router_bench import RouterBench, endpoint, member, only_effect, route

SEC = timedelta(seconds=1)
MS = timedelta(milliseconds=1)
LOCAL_DAEMONS = {
    "d1": DaemonLocation("a1", "a"),
    "d2": DaemonLocation("a1", "a"),
    "d3": DaemonLocation("a2", "a"),
    "d4": DaemonLocation("a2", "a"),
}
REMOTE_DAEMONS = {"e1": DaemonLocation("b1", "b"), "e2": DaemonLocation("b2", "b")}


class Replica(NamedTuple):
    id: str
    zone: str = "a3"
    region: str = "a"
    service: str = "s"


REPLICAS = {str(i): Replica(str(i)) for i in range(6)}


class Fleet:
    """Daemons that receive each other's rows at once, except those that are partitioned."""

    def __init__(self, members, replicas=REPLICAS):
        self.now, self.replicas, self.rows, self.partitioned = 100 * SEC, replicas, [], set()
        self.daemons = {i: OutlierEjection(own_name=i) for i in members}
        for d in self.daemons.values():
            d.set_daemons(members)

    def deliver_rows(self):
        """Deliver published rows to all daemons that are not partitioned; rows of partitioned ones are delivered after they return."""
        for i, d in self.daemons.items():
            if i in self.partitioned:
                continue
            for row in d.take_rows():
                self.rows.append((i, row))
                for j, other in self.daemons.items():
                    if j not in self.partitioned:
                        other.on_rows(self.now, {row.key: (row.rank, row.value)}, self.replicas)

    def accuse(self, daemon, replica):
        self.daemons[daemon].accuse(self.now, self.replicas[replica], list(self.replicas.values()))
        self.deliver_rows()

    def record_answer(self, daemon, replica):
        self.daemons[daemon].on_answer(self.now, self.replicas[replica])
        self.deliver_rows()

    def avoided_by(self, daemon="d4"):
        return self.daemons[daemon].avoided(self.now, list(self.replicas.values()))

    def advance_time(self, span):
        self.now += span
        for d in self.daemons.values():
            d.expire(self.now, self.replicas)
        self.deliver_rows()


def test_accusations_from_two_zones_eject_a_replica_for_all():
    f = Fleet(LOCAL_DAEMONS)
    f.accuse("d1", "0")
    assert all(f.avoided_by(i) == frozenset() for i in LOCAL_DAEMONS)
    f.accuse("d3", "0")
    assert all(f.avoided_by(i) == {"0"} for i in LOCAL_DAEMONS)


@pytest.mark.parametrize("guard", ["QUORUM", ""])
def test_one_daemon_alone_ejects_no_replica_for_others(monkeypatch, guard):
    """Repeated accusations of one daemon eject nothing; without the quorum they do."""
    if guard:
        monkeypatch.setattr(outlier_ejection, guard, 0)
        monkeypatch.setattr(OutlierEjection, "has_quorum", lambda self, now, replica, state: bool(state.accusers))
    f, taken = Fleet(LOCAL_DAEMONS), False
    for n in range(1000):
        for r in REPLICAS:
            f.daemons["d4"].on_rows(f.now, {f"{r} d1": ((n + 1,), (1000,))}, REPLICAS)
        taken |= bool(f.avoided_by())
        f.now += 10 * MS
    assert taken == bool(guard)


def test_daemons_of_a_single_zone_eject_no_replica_of_another_zone():
    f = Fleet(LOCAL_DAEMONS)
    f.accuse("d1", "0")
    f.accuse("d2", "0")
    assert f.avoided_by() == frozenset()
    near = {"0": Replica("0", zone="a1")}
    g = Fleet(LOCAL_DAEMONS, near | {"1": Replica("1")})
    g.accuse("d1", "0")
    g.accuse("d2", "0")
    assert g.avoided_by() == {"0"}  # accusations from its own zone cannot stem from a partition


def test_accusations_from_other_regions_count_only_if_the_region_has_no_daemons():
    f = Fleet(LOCAL_DAEMONS | REMOTE_DAEMONS)
    f.accuse("e1", "0")
    f.accuse("e2", "0")
    assert f.rows == [] and f.avoided_by() == frozenset()
    for i in REMOTE_DAEMONS:  # not even if they publish accusations
        f.daemons["d4"].on_rows(f.now, {f"0 {i}": ((9,), (1000,))}, REPLICAS)
    assert f.avoided_by() == frozenset()
    g = Fleet(REMOTE_DAEMONS)
    g.accuse("e1", "0")
    g.accuse("e2", "0")
    assert g.avoided_by("e1") == {"0"}


@pytest.mark.parametrize("guard", [True, False])
@pytest.mark.parametrize("count", [1, 2, 3, 6, 7])
def test_at_most_half_of_a_service_in_a_region_is_ejected(monkeypatch, count, guard):
    if not guard:
        monkeypatch.setattr(outlier_ejection, "REPLICAS_PER_EJECTION", 1)
    replicas = {str(i): Replica(str(i)) for i in range(count)}
    f = Fleet(LOCAL_DAEMONS, replicas)
    for r in replicas:
        for i in ("d1", "d2", "d3"):
            f.daemons["d4"].on_rows(f.now, {f"{r} {i}": ((1,), (1000,))}, replicas)
    assert (len(f.avoided_by()) <= count // 2) == guard


def test_a_daemon_that_accuses_half_of_the_replicas_stops_accusing():
    f = Fleet(LOCAL_DAEMONS)
    for r in REPLICAS:
        f.accuse("d1", r)
    assert len({row.key for _, row in f.rows}) == len(REPLICAS) // 2


def test_daemons_do_not_accuse_a_replica_that_is_already_ejected():
    f = Fleet(LOCAL_DAEMONS)
    for i in ("d1", "d3", "d2", "d4"):
        f.accuse(i, "0")
    assert [i for i, row in f.rows if row.value] == ["d1", "d3"]


def test_few_daemons_of_one_zone_publish_accusations():
    members = {f"d{i}": DaemonLocation("a1", "a") for i in range(40)} | {"z": DaemonLocation("a2", "a")}
    f = Fleet(members)
    for i in members:
        f.accuse(i, "0")
    assert [i for i, row in f.rows if row.value] == ["d0", "d1", "z"]
    assert f.avoided_by("d9") == {"0"}


def on_trial(f):
    """Return the daemons that may choose the replica now."""
    return [i for i in f.daemons if "0" not in f.avoided_by(i)]


def eject(f):
    f.accuse("d1", "0")
    f.accuse("d3", "0")


def test_after_an_ejection_a_single_daemon_tests_the_replica_and_acquits_it():
    f = Fleet(LOCAL_DAEMONS)
    eject(f)
    f.advance_time(FIRST_EJECTION)
    (tester,) = on_trial(f)
    d = f.daemons[tester]
    assert d.replica_to_try(f.now, list(REPLICAS.values())).id == "0"
    f.record_answer(tester, "0")
    assert len(on_trial(f)) == len(LOCAL_DAEMONS)


def test_each_failed_trial_doubles_the_ejection_and_changes_the_tester():
    f, spans, testers = Fleet(LOCAL_DAEMONS), [], set()
    eject(f)
    for _ in range(9):
        since = f.now
        while not on_trial(f):
            f.advance_time(50 * MS)
        spans.append(f.now - since)
        (tester,) = on_trial(f)
        testers.add(tester)
        f.accuse(tester, "0")
    assert spans[:4] == [FIRST_EJECTION, 2 * FIRST_EJECTION, 4 * FIRST_EJECTION, 8 * FIRST_EJECTION] and max(spans) == MAX_EJECTION
    assert len(testers) > 1


def test_the_trial_ends_after_a_while_if_the_tester_sends_nothing():
    f = Fleet(LOCAL_DAEMONS)
    eject(f)
    f.advance_time(FIRST_EJECTION + TRIAL_DURATION)
    assert len(on_trial(f)) == len(LOCAL_DAEMONS)


def test_accusations_are_withdrawn_and_no_state_is_left():
    f = Fleet(LOCAL_DAEMONS)
    eject(f)
    for _ in range(30):
        f.advance_time(SEC)
    last = {row.key: row.value for _, row in f.rows}
    assert set(last.values()) == {None}
    assert all(not d.ejection_states and not d.own_rows for d in f.daemons.values())
    f.replicas = {}
    f.advance_time(SEC)
    assert all(not d.row_numbers for d in f.daemons.values())


def test_accusations_of_a_daemon_that_was_partitioned_eject_nothing():
    f = Fleet(LOCAL_DAEMONS)
    f.partitioned.add("d1")
    for r in REPLICAS:
        f.accuse("d1", r)
    f.partitioned.clear()
    f.deliver_rows()
    assert all(f.avoided_by(i) == frozenset() for i in ("d2", "d3", "d4"))


def test_a_restarted_accuser_outranks_the_rows_of_its_earlier_process():
    f = Fleet(LOCAL_DAEMONS)
    f.daemons["d1"].on_rows(f.now, {"0 d1": ((41,), (1000,))}, REPLICAS)  # a row of its earlier process
    f.accuse("d1", "0")
    assert f.rows[-1][1].rank == (42,)
    assert f.daemons["d1"].ejection_states["0"].accusers.keys() == {"d1"}


@pytest.mark.parametrize(
    "key, value",
    [
        ("9 d1", (1000,)),  # an unknown replica
        ("0 x1", (1000,)),  # an unknown daemon
        ("0", (1000,)),
        ("", (1000,)),
        ("0 d1 d3", (1000,)),
        ("0 d1", ()),
        ("0 d1", (None,)),
        ("0 d1", (-5,)),
        ("0 d1", ("1000",)),
        ("0 d1", (True,)),
        ("0 d1", "1000"),
        ("0 d1", 7),
    ],
)
def test_malformed_rows_are_ignored(key, value):
    d = OutlierEjection(own_name="d4")
    d.set_daemons(LOCAL_DAEMONS)
    d.on_rows(SEC, {key: ((1,), value)}, REPLICAS)
    d.on_rows(SEC, {"0 d3": ((1,), (1000,))}, REPLICAS)
    assert d.avoided(SEC, list(REPLICAS.values())) == frozenset()


def test_an_accusation_is_valid_for_at_most_the_longest_ejection():
    d = OutlierEjection(own_name="d4")
    d.set_daemons(LOCAL_DAEMONS)
    d.on_rows(SEC, {"0 d1": ((1,), (10**9,))}, REPLICAS)
    d.on_rows(SEC + MAX_EJECTION + MS, {"0 d3": ((1,), (1000,))}, REPLICAS)
    assert d.avoided(SEC + MAX_EJECTION + MS, list(REPLICAS.values())) == frozenset()


@pytest.mark.parametrize("seed", range(20))
def test_daemons_with_the_same_rows_eject_the_same_replicas(seed):
    """Random accusations, answers and waits: at most half of a service is ejected; if no more is accused, all but the tester agree."""
    rng, f = random.Random(seed), Fleet(LOCAL_DAEMONS)
    for _ in range(300):
        what, i, r = rng.random(), rng.choice(list(LOCAL_DAEMONS)), rng.choice(list(REPLICAS))
        if what < 0.4:
            f.accuse(i, r)
        elif what < 0.6:
            f.record_answer(i, r)
        else:
            f.advance_time(rng.randrange(900) * MS)
        outs = [f.avoided_by(i) for i in LOCAL_DAEMONS]
        assert all(len(o) <= len(REPLICAS) // 2 for o in outs)
        held = [{x for x, c in d.ejection_states.items() if c.is_active(f.now)} for d in f.daemons.values()]
        assert all(h == held[0] for h in held) and all(o <= h for o, h in zip(outs, held))
        if len(held[0]) <= len(REPLICAS) // 2:
            trials = {x for x in held[0] if f.daemons["d1"].ejection_states[x].is_on_trial(f.now)}
            assert frozenset.union(*outs) - frozenset.intersection(*outs) <= trials


class AccusationBench(RouterBench):
    """A router that receives other daemons' accusations."""

    def __init__(self, *rs, **kw):
        super().__init__(*rs, **kw)
        self.feed("roll", tuple(member(daemon, place.zone, place.region) for daemon, place in LOCAL_DAEMONS.items()))

    def receive_accusations(self, replica, *daemons, value=(1000,), rank=(1,)):
        return self.feed("told", SUSPECT, {f"{replica} {d}": (rank, value) for d in daemons})

    def published(self, *ev):
        return [e[2][1:] for e in self.all_effects(*ev) if e[0] == "post" and e[2][:2] == ("publish", SUSPECT)]


def test_requests_avoid_an_ejected_replica_and_return_after_the_ejection():
    b = AccusationBench(route(), replicas=(endpoint("1"), endpoint("2")))
    b.receive_accusations("1", "d2", "d3")
    assert {only_effect(b.request()[1], "try")[3]["replica"] for _ in range(8)} == {"2"}
    b.advance(MAX_EJECTION / SEC + TRIAL_DURATION / SEC)
    assert {only_effect(b.request()[1], "try")[3]["replica"] for _ in range(24)} == {"1", "2"}


def test_the_only_replica_is_used_even_if_accused():
    b = AccusationBench(route(), replicas=(endpoint("1"),))
    b.receive_accusations("1", "d2", "d3", "d4")
    assert only_effect(b.request()[1], "try")[3]["replica"] == "1"


@pytest.mark.parametrize("what", [("lost", "ReadError"), ("cut", None), ("failed", 500), ("not-run", 421), ("unsent", "refused")])
def test_a_failure_of_the_replica_is_published(what):
    b = AccusationBench(route(kind="pure", tries=3))
    rid, es = b.request()
    replica = only_effect(es, "try")[3]["replica"]
    assert b.published("tried", rid, 1, *what) == [(SUSPECT, f"{replica} d1", (1,), (1000,), "")]


@pytest.mark.parametrize("what", [("failed", 404), ("not-run", 503, 0.1), ("unsent", "pool-full"), ("gone",), ("done",), ("silent",)])
def test_an_outcome_that_is_no_failure_of_the_replica_is_not_published(what):
    b = AccusationBench(route(kind="pure", tries=3))
    rid, _ = b.request()
    assert b.published("tried", rid, 1, *what) == []


def test_a_trial_uses_a_repeatable_request_and_ends_in_an_acquittal():
    b = AccusationBench(route(kind="pure", tries=2), replicas=tuple(endpoint(str(i)) for i in range(1, 9)))
    outcomes = []
    for rank in range(1, 30):  # until this daemon is the tester
        b.receive_accusations("1", "d2", "d3", rank=(rank,))
        for _ in range(20):
            b.now += SEC / 2
            rid, es = b.request()
            replica = only_effect(es, "try")[3]["replica"]
            outcomes += [(replica, row[3]) for row in b.published("tried", rid, 1, "done")]
    assert set(outcomes) == {("1", ACQUITTAL)}
