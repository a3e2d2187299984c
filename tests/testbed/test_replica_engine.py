"""The model of a replica (design 15): its queue, batches and prefix cache, and each of its faults."""

from datetime import timedelta

import pytest

from silverglade.testbed.fake_servers.replica_answers import (
    Body,
    Crashed,
    Cut,
    Ended,
    Garbage,
    Head,
    Refused,
    RunBegan,
    StreamEvent,
    Surplus,
)
from silverglade.testbed.fake_servers.replica_engine import ReplicaEngine
from silverglade.testbed.fake_servers.request_format import MS, SEC, ReplicaRequest, ReplicaSpec, event_count

ZERO = 0 * SEC


class Bed:
    """An engine and its clock."""

    def __init__(self, seed=1, warm=True, **kw):
        self.e = ReplicaEngine(replica_id="r", spec=ReplicaSpec(**kw), seed=seed, warm=warm)
        self.now, self.said, self.times = ZERO, [], {}

    def hear(self, got):
        for x in got:
            self.said.append(x)
            self.times.setdefault(x, self.now)

    def ask(self, key, **kw):
        self.hear(self.e.submit(self.now, key, ReplicaRequest(**{"attempt": f"a{key}", "body": str(key).encode(), **kw})))

    def run(self, secs=600.0):
        end = self.now + timedelta(seconds=secs)
        while (t := self.e.next_wakeup()) is not None and t <= end:
            self.now = max(t, self.now)
            self.hear(self.e.tick(self.now))
        self.now = end

    def of(self, key, *what):
        return [x for x in self.said if getattr(x, "key", None) == key and (not what or type(x) in what)]


def test_a_stream_comes_whole_in_order_with_several_tokens_an_event():
    b = Bed(stride=8)
    b.ask(1, tokens=(100, 80))
    b.run()
    n = event_count(b"1", 80, 8)
    assert [type(x) for x in b.of(1)] == [RunBegan, Head] + [StreamEvent] * n + [Ended]
    assert [x.number for x in b.of(1, StreamEvent)] == list(range(1, n + 1))
    assert {x.data.split()[0] for x in b.of(1, StreamEvent)} == {b"r.1"} and b.of(1, Head)[0].seal


def test_a_token_comes_slower_the_more_run():
    took = []
    for n in (1, 40):
        b = Bed(stride=1)
        for i in range(n):
            b.ask(i, tokens=(1, 40), body=b"same")
        b.run()
        took.append(b.now - b.now + max(b.times.values()))
    assert took[1] > 1.5 * took[0]


def test_kept_parts_are_not_read_again_and_count_only_behind_kept_ones():
    b = Bed()
    b.ask(1, parts=(("a", 1000), ("b", 500)), tokens=(1500, 8))
    b.run()
    for key, parts, read in ((2, (("a", 1000), ("c", 500)), 500), (3, (("x", 1000), ("b", 500)), 1500), (4, (("a", 1000), ("b", 500)), 1)):
        was = b.e.prefilled_tokens
        b.ask(key, parts=parts, tokens=(1500, 8))
        b.run()
        assert b.e.prefilled_tokens - was == read, key


def test_parts_unused_longest_give_way():
    b = Bed(cache_tokens=3000)
    for key, p in ((1, "a"), (2, "b"), (3, "a"), (4, "c")):
        b.ask(key, parts=((p, 1200),), tokens=(1200, 8))
        b.run()
    assert "a" in b.e.prefix_cache and "c" in b.e.prefix_cache and "b" not in b.e.prefix_cache


def test_short_of_memory_the_newest_of_the_least_urgent_is_put_back_and_ends_all_the_same():
    b = Bed(cache_tokens=800, stride=4)
    for i, u in enumerate((0, 9, 9)):
        b.ask(i, tokens=(250, 300), body=b"long%d" % i, urgency=u)
    b.run()
    assert b.e.preemptions > 0
    assert all([x.number for x in b.of(i, StreamEvent)] == list(range(1, event_count(b"long%d" % i, 300, 4) + 1)) for i in range(3))
    assert all(len(b.of(i, RunBegan)) == len(b.of(i, Ended)) == 1 for i in range(3))


def test_more_urgent_ones_go_first_and_take_the_place_of_others():
    b = Bed(capacity=1, queue=2)
    for i, u in enumerate((5, 5, 9, 0, 9)):
        b.ask(i, urgency=u)
    assert b.of(2, Refused)[0].status == b.of(4, Refused)[0].status == 503 and b.of(4, Refused)[0].retry_after_s > 0
    b.run()
    assert b.times[b.of(3, RunBegan)[0]] < b.times[b.of(1, RunBegan)[0]]


def test_what_is_turned_away_never_ran():
    b = Bed(capacity=1, queue=9)
    b.ask(0, tokens=(1, 2000), body=b"0")
    b.ask(1, left=50 * MS)  # passes its time in the queue
    b.ask(2, attempt="")
    b.ask(3, expect="another")
    b.ask(4, tokens=(10**6, 5))  # larger than the memory
    b.ask(5, expect="r")
    b.run()
    refused = [b.of(i)[0] for i in (1, 2, 3, 4)]
    assert [(type(x), x.key, x.status) for x in refused] == [(Refused, i, c) for i, c in ((1, 503), (2, 400), (3, 421), (4, 503))]
    assert all(not b.of(i, RunBegan) for i in (1, 2, 3, 4)) and b.of(5, Ended)


def test_a_cold_one_falls_over_well_above_its_bound_and_not_below():
    for gap, falls in ((200, False), (10, True)):
        b = Bed(warm=False, cold_per_s=6.0, capacity=500)
        for i in range(60):
            b.ask(i, tokens=(1, 1))
            b.run(gap / 1000)
        assert (Crashed() in b.said) == falls == (not b.e.up)
    b = Bed(warm=False)
    assert b.e.health(ZERO) == (True, 3000) and b.e.health(4 * SEC) == (True, 0)


def test_leaving_at_short_notice_cuts_what_runs_and_says_so_before():
    b = Bed()
    b.ask(1, tokens=(100, 5000), body=b"1")
    b.e.drain(b.now, left=20 * MS)
    assert b.e.health(b.now)[0] is False
    b.run()
    assert b.said[-2:] == [Cut(1), Crashed()]
    b.ask(2)
    assert b.of(2) == [Cut(2)]


def test_a_resumed_stream_goes_on_behind_the_event_it_names():
    b = Bed(stride=4)
    b.ask(1, body=b"same", tokens=(10, 80))
    b.ask(2, body=b"same", tokens=(10, 80), last=3)
    b.run()
    n = event_count(b"same", 80, 4)
    assert n > 3
    assert [x.number for x in b.of(2, StreamEvent)] == list(range(4, n + 1)) and type(b.of(2)[1]) is Head


def test_a_plain_service_takes_its_time_in_turn():
    b = Bed(work=20 * MS, capacity=2, queue=4)
    for i in range(7):
        b.ask(i, tokens=(0, 10))
    b.run()
    assert [i for i in range(7) if b.of(i, Refused)] == [6]
    assert [type(x) for x in b.of(0)] == [RunBegan, Head, Body, Ended] and b.of(0, Body)[0].data.startswith(b"r.1 a0 ")
    assert b.times[Ended(5)] >= 30 * MS


@pytest.mark.parametrize("work", [ZERO, 20 * MS])
@pytest.mark.parametrize(
    "kind,ends", [("fail", [RunBegan, Head, Body, Ended]), ("garbage", [RunBegan, Garbage]), ("lost", [RunBegan, Cut])]
)
def test_troubles_of_one_answer(kind, ends, work):
    b = Bed(work=work)
    b.e.fault_rates[kind] = 1.0
    b.ask(1)
    b.run()
    assert [type(x) for x in b.of(1)] == ends and (kind != "fail" or b.of(1, Head)[0].status == 500)


@pytest.mark.parametrize("work", [ZERO, 20 * MS])
def test_troubles_in_an_answer(work):
    for kind in ("cut", "again", "late", "unsealed"):
        b = Bed(work=work, stride=2)
        b.e.fault_rates[kind] = 1.0
        b.ask(1, tokens=(10, 90), body=b"x")
        b.run()
        last = b.of(1)[-1]
        assert last == {"cut": Cut(1), "unsealed": Ended(1)}.get(kind, Surplus(1, late=kind == "late"))
        assert (b.of(1, Head)[0].seal is None) == (kind == "unsealed")
        assert kind != "cut" or len(b.of(1, StreamEvent)) < event_count(b"x", 90, 2)


def test_a_dark_one_takes_all_and_says_nothing_until_it_is_awake():
    b = Bed()
    b.ask(1, tokens=(10, 400), body=b"1")
    b.run(0.05)
    b.e.pause()
    was = len(b.said)
    b.ask(2)
    b.ask(3)
    b.hear(b.e.disconnect(b.now, 3))
    b.now += SEC
    b.hear(b.e.tick(b.now))
    assert len(b.said) == was
    b.hear(b.e.resume(b.now))
    b.run()
    assert len(b.of(1, Ended)) == len(b.of(2, Ended)) == 1 and not b.of(3, Ended)
    assert len(b.of(1, RunBegan)) == len(b.of(2, RunBegan)) == 1


def test_a_hang_up_drops_the_work_and_a_liar_says_that_it_is_well():
    b = Bed()
    b.ask(1, body=b"1")
    b.hear(b.e.disconnect(b.now, 1))
    b.run()
    assert not b.of(1, Ended) and b.e.report(b.now)[:3] == (0, 0, 0)
    b.e.drain(b.now)
    assert not b.e.health(b.now)[0]
    b.e.always_healthy = True
    assert b.e.health(b.now)[0]


def test_a_report_is_a_while_old():
    b = Bed()
    b.ask(1, tokens=(100, 4000), body=b"long")
    b.run(0.05)
    assert b.e.report(b.now)[1] == 0
    b.run(0.2)
    assert b.e.report(b.now)[1] == 1


def test_the_same_seed_gives_the_same_day():
    def day():
        b = Bed(seed=7)
        b.e.fault_rates.update(dict.fromkeys(("cut", "garbage", "late"), 0.2))
        for i in range(50):
            b.ask(i)
            b.run(0.02)
        b.run()
        return b.said

    assert day() == day()
