"""The endpoint list, read by few daemons and published to all: readers, failed readings, replicas that are gone."""

import random
from datetime import timedelta

from silverglade.membership.records import MemberRecord
from silverglade.routing.endpoint_list import MISSED_LISTS_UNTIL_GONE, EndpointList, list_readers
from silverglade.routing.records import EndpointRecord
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent

SEC = timedelta(seconds=1)


def roll(*rows):
    return tuple(MemberRecord(i, "l", 1, 1, "z" + g, g, "", "", core, state, (), extra) for i, g, core, state, extra in rows)


def edges(*ids, blind=()):
    return roll(*((i, i[0], False, "ready", (("blind", True),) if i in blind else ()) for i in ids))


def rep(i, leaving=False, region="a", cold=0):
    return EndpointRecord(i, f"10.0.0.{i}:80", "z" + region, region, "s", 8, leaving, cold, -1)


class EndpointListBench:
    def __init__(self, me="a1", lists=True):
        self.p = MachineComponent(EndpointList(own_name=me, region=me[0], has_source=lists, tuning=tuning()))
        self.now, self.sent = 100 * SEC, []

    def feed(self, *ev):
        es = self.p.send((self.now, ev))
        self.sent += es
        return es

    def go(self, secs=1.0):
        self.now += timedelta(seconds=secs)
        return self.feed("pulse")

    def published(self, kind="listed"):
        return [e[2][2:] for e in self.sent if e[0] == "post" and e[1] == "membership" and e[2][:2] == ("publish", kind)]

    def held(self):
        """Return the records that the router holds, by replaying the events posted to it."""
        got = {}
        for e in self.sent:
            if e[0] == "post" and e[1] == "router" and e[2][0] == "listed":
                new = {r.name: r for r in e[2][1]}
                got = new if e[2][2] else {**got, **new}
            if e[0] == "post" and e[1] == "router" and e[2][0] == "unlisted":
                got = {i: r for i, r in got.items() if i not in e[2][1]}
        return got


def test_the_list_is_read_by_two_daemons_of_two_regions_that_can_read_it():
    ids = ("a1", "a2", "a3", "b1", "b2", "c1")
    two = list_readers(edges(*ids))
    assert len(two) == 2 and two[0][0] != two[1][0]
    for i in ids:
        got = list_readers(edges(*ids, blind=(i,)))
        assert i not in got and len(got) == 2
    assert set(list_readers(edges("a1", blind=("a1",)))) == {"a1"}  # none can read the list: one daemon still tries
    assert list_readers(roll(("k1", "a", True, "ready", ()), ("a1", "a", False, "leaving", ()))) == ()


def test_every_daemon_agrees_on_the_readers():
    rng = random.Random(1)
    ids = [f"{g}{i}" for g in "abc" for i in range(20)]
    want = list_readers(edges(*ids))
    for _ in range(20):
        rng.shuffle(ids)
        assert list_readers(edges(*ids)) == want


def test_a_daemon_that_is_no_reader_reads_once_and_then_follows_published_rows():
    ids = ("a1", "a2", "b1")
    out = next(i for i in ids if i not in list_readers(edges(*ids)))
    b = EndpointListBench(out)
    b.feed("roll", edges(*ids))
    assert ("list",) in b.go()
    assert ("list",) not in b.go()  # one at a time
    b.feed("read", None)
    assert ("list",) in b.go()
    b.feed("read", (rep("1"),))
    assert not any(("list",) in b.go() for _ in range(5))
    b.feed("told", "listed", {"2": ((0, 1), rep("2")), "1": ((1, 2), rep("1", leaving=True))})
    assert set(b.held()) == {"1", "2"} and b.held()["1"].is_leaving
    b.feed("told", "listed", {"1": ((2, 3), None)})
    assert set(b.held()) == {"2"}


def test_a_reader_keeps_reading_and_publishes_only_changes():
    b = EndpointListBench()
    b.feed("roll", edges("a1"))
    for _ in range(4):
        assert ("list",) in b.go()
        b.feed("read", (rep("1"), rep("2")))
    assert [k for k, *_ in b.published()] == ["1", "2"]
    b.go()
    b.feed("read", (rep("1", leaving=True), rep("2")))
    assert b.published()[-1][0] == "1" and EndpointRecord.of(b.published()[-1][2]).is_leaving


def test_readings_up_to_two_seconds_stale_drop_no_newly_started_replica():
    b = EndpointListBench()
    b.feed("roll", edges("a1"))
    started_s = 10.0
    readings = [10.0 + step * tuning()["list_every"].total_seconds() for step in range(12)]
    trailing_s = [0.0, *[1.99] * 11]  # the first reading is current, all others are as stale as allowed
    for at, trails in zip(readings, trailing_s):
        b.feed("read", (rep("1"), rep("2")) if at - trails >= started_s else (rep("2"),))
        assert set(b.held()) == {"1", "2"}


def test_a_replica_is_dropped_after_several_missed_lists_and_then_for_good():
    b = EndpointListBench()
    b.feed("roll", edges("a1"))
    b.feed("read", (rep("1"), rep("2")))
    b.feed("read", (rep("2"),))
    assert set(b.held()) == {"1", "2"}
    for _ in range(MISSED_LISTS_UNTIL_GONE - 1):
        b.feed("read", (rep("2"),))
    assert set(b.held()) == {"2"} and b.published()[-1][2] is None
    b.feed("read", (rep("1"), rep("2")))
    b.feed("told", "listed", {"1": ((0, 9), rep("1"))})
    assert set(b.held()) == {"2"}


def test_leaving_is_never_reset_and_outranks_earlier_rows():
    b = EndpointListBench()
    b.feed("roll", edges("a1"))
    b.feed("read", (rep("1", leaving=True),))
    b.feed("read", (rep("1"),))
    assert b.held()["1"].is_leaving
    ranks = [r for _, r, *_ in b.published()]
    assert ranks == sorted(ranks) and len(set(ranks)) == len(ranks)


def test_a_changed_record_outranks_rows_of_other_daemons():
    b = EndpointListBench()
    b.feed("roll", edges("a1"))
    b.feed("told", "listed", {"1": ((0, 40), rep("1"))})
    b.feed("read", (rep("1", leaving=True),))
    assert b.published()[-1][1] > (0, 40)


def test_a_daemon_that_cannot_read_publishes_that_and_withdraws_it():
    b = EndpointListBench()
    b.feed("roll", edges("a1"))
    said = lambda: [e[2][2] for e in b.sent if e[0] == "post" and e[2][:2] == ("extra", "blind")]  # noqa: E731
    b.feed("read", None)
    assert said() == []
    b.feed("read", None)
    b.feed("read", None)
    assert said() == [True]
    b.feed("read", (rep("1"),))
    assert said() == [True, False]


def test_malformed_records_of_the_list_or_of_other_daemons_are_ignored():
    b = EndpointListBench()
    b.feed("roll", edges("a1"))
    b.feed("read", (("1", 2), rep("2")))
    b.feed("told", "listed", {"3": ((0, 1), ("3",)), "4": ((0, 1), "x")})
    assert set(b.held()) == {"2"}


def test_loads_are_checked_and_published_when_they_differ():
    b = EndpointListBench()
    b.feed("roll", edges("a1"))
    b.feed("read", (rep("1"),))
    asked = [e for _ in range(40) for e in b.go(0.25) if e[0] == "ask"]
    assert asked and asked[0] == ("ask", "1", "10.0.0.1:80")
    b.feed("asked", "1", (3, 1, 0))
    b.feed("asked", "1", (3, 1, 0))
    assert len(b.published("load")) == 1 and b.published("load")[0][2:] == ((3, 1, 8), "a")
    b.feed("asked", "1", None)
    assert b.published("load")[-1][2][0] == -1
    need = [e[2][1] for e in b.sent if e[0] == "post" and e[1] == "service_scaler"]
    assert {"1": ("s", "a", 3, 8, True, 1)} in need and need[-1] == {"1": ("s", "a", 0, 8, False, 0)}
    b.feed("asked", "9", (1, 1, 1))  # an unknown replica


def test_without_a_list_nothing_is_read():
    b = EndpointListBench(lists=False)
    b.feed("roll", edges("a1"))
    assert [e[0] for e in b.go()] == ["due"]
