"""SlowStart replicas in a fleet without messages (design 16.2), against a sliding second."""

import random
from bisect import bisect_left
from datetime import timedelta
from functools import lru_cache

import pytest

from silverglade.routing import slow_start as module
from silverglade.routing.slow_start import SlowStart, share
from silverglade.runtime.settings import tuning

SEC = timedelta(seconds=1)
OPT = tuning()
EXCESS, SLACK = OPT["cold_excess"], OPT["cold_slack"]


def most(times):
    """The oracle: the most requests in any sliding second."""
    t = sorted(times)
    return max((bisect_left(t, a + SEC) - i for i, a in enumerate(t)), default=0)


@pytest.fixture(autouse=True)
def ranks(monkeypatch):
    """One process plays all daemons: they rank the same names but once."""
    monkeypatch.setattr(module, "rank_nodes", lru_cache(4096)(module.rank_nodes))


class Fleet:
    """Edge daemons with a roster like the real one: who is reached within a second or two is known, and for a
    minute after it was reached last."""

    def __init__(self, *, n, rng, make=SlowStart, restless=True):
        self.rng, self.make = rng, make
        self.ids = [f"d{i}" for i in range(n)]
        self.d = {i: make(own_name=i, tuning=OPT, started_at=-60 * SEC) for i in self.ids}
        self.side = dict.fromkeys(self.ids, 0)
        self.down, self.frozen, self.sent, self.view = {}, {}, [], {}
        self.seen = {i: dict.fromkeys(self.ids, 0 * SEC) for i in self.ids}
        self.lag = rng.uniform(0.2, 3) * SEC
        self.up = dict.fromkeys(self.ids, -60 * SEC)

    def lives(self, i):
        return i not in self.down and i not in self.frozen

    def gossip(self, now):
        live = [i for i in self.ids if self.lives(i)]
        old = {x: dict.fromkeys((i for i in live if self.side[i] == x and now - self.up[i] >= self.lag), now) for x in (0, 1)}
        for i in live:
            self.seen[i][i] = now
            if now - self.up[i] >= self.lag:
                self.seen[i].update(old[self.side[i]])

    def members(self, i, now):
        """Looked at anew once a second, as a daemon's roster is."""
        at, names = self.view.get(i, (None, None))
        if at is None or not SEC > now - at or at < self.up[i]:
            at, names = self.view[i] = (now, frozenset(j for j, t in self.seen[i].items() if now - t < 60 * SEC))
        return names

    def kill(self, i):
        self.down[i] = True

    def start(self, i, now):
        self.down.pop(i, None)
        self.d[i], self.up[i], self.seen[i] = self.make(own_name=i, tuning=OPT, started_at=now), now, {i: now}

    def thaw(self, i, now):
        if self.frozen.pop(i, None):
            self.seen[i] = dict.fromkeys(self.seen[i], now)  # a roster that was frozen believes in all anew
            self.d[i].on_process_paused(now)

    def rush(self, now, per_s, k, replica="r"):
        """Every live daemon tries k times in a tenth of a second."""
        for i in self.ids:
            if self.lives(i):
                names = self.members(i, now)
                for j in range(k):
                    at = now + j * SEC / 10 / k
                    if not self.d[i].take(at, replica, per_second=per_s, members=names):
                        break
                    self.sent.append(at)


def play(seed, make=SlowStart, n=None, secs=40, rush=True):
    rng = random.Random(seed)
    n = n or rng.choice((3, 6, 9, 12, 45))
    f = Fleet(n=n, rng=rng, make=make)
    per_s = rng.choice((1.0, 3.5, 8.0, 11.0, 25.0, 60.0, 200.0))
    cut, heal = rng.uniform(2, 20), rng.uniform(20, 40)
    side = f.ids[: max(1, n // 3)]
    ev = [(cut, "cut", None), (heal, "heal", None)]
    for _ in range(rng.randrange(6)):
        i, t = rng.choice(f.ids), rng.uniform(1, 30)
        ev += [(t, "kill", i), (t + rng.uniform(0.1, 8), "start", i)]
    for _ in range(rng.randrange(3)):
        i, t = rng.choice(f.ids), rng.uniform(1, 30)
        ev += [(t, "freeze", i), (t + rng.uniform(0.1, 20), "thaw", i)]
    ev.sort(key=lambda e: e[0])
    for tick in range(secs * 10):
        now = tick * SEC / 10
        while ev and ev[0][0] <= tick / 10:
            _, what, i = ev.pop(0)
            match what:
                case "cut":
                    f.side.update(dict.fromkeys(side, 1))
                case "heal":
                    f.side = dict.fromkeys(f.ids, 0)
                case "kill":
                    f.kill(i)
                case "start":
                    f.start(i, now)
                case "freeze":
                    f.frozen[i] = True
                case "thaw":
                    f.thaw(i, now)
        if n < 100 or tick % 5 == 0:
            f.gossip(now)
        f.rush(now, per_s, int(per_s) + 2)
    return f, per_s


@pytest.mark.parametrize("seed", range(30))
def test_no_sliding_second_brings_a_cold_replica_more_than_it_bears(seed):
    f, per_s = play(seed)
    assert most(f.sent) <= per_s * EXCESS + SLACK


@pytest.mark.parametrize("n,per_s", [(3, 11.0), (9, 11.0), (420, 11.0), (420, 900.5), (45, 44.9), (9, 0.5)])
def test_a_calm_fleet_sends_what_the_replica_bears_and_no_more(n, per_s):
    f = Fleet(n=n, rng=random.Random(n))
    for tick in range(30):
        now = tick * SEC / 10
        f.rush(now, per_s, int(per_s) + 2)
    assert most(f.sent) == int(per_s)


@pytest.mark.parametrize("seed", range(2))
def test_a_fleet_of_four_hundred_and_twenty_keeps_the_bound_through_cuts_and_restarts(seed):
    f, per_s = play(seed + 100, n=420, secs=12)
    assert f.sent and most(f.sent) <= per_s * EXCESS + SLACK


def test_shares_sum_to_the_bound_and_only_fall_when_names_are_added():
    rng = random.Random(2)
    for _ in range(400):
        n, per_s = rng.randrange(1, 40), rng.uniform(0, 60)
        few = [f"d{i}" for i in range(n)]
        many = few + [f"e{i}" for i in range(rng.randrange(1, 20))]
        of = lambda names: {i: share(per_second=per_s, replica="r", own_name=i, members=frozenset(names)) for i in names}
        a, b = of(few), of(many)
        assert sum(a.values()) == sum(b.values()) == int(per_s)
        assert all(b[i] <= a[i] for i in few)
        assert max(a.values()) - min(a.values()) <= 1


def test_who_gets_the_remainder_differs_from_replica_to_replica():
    names = frozenset(f"d{i}" for i in range(30))
    who = {r: {i for i in names if share(per_second=5.0, replica=r, own_name=i, members=names)} for r in "abcdef"}
    assert len(set.union(*who.values())) > 10


def test_a_daemon_that_started_or_thawed_sends_nothing_until_it_has_settled():
    names = frozenset({"a", "b"})
    c = SlowStart(own_name="a", tuning=OPT, started_at=0 * SEC)
    assert not c.take(4.9 * SEC, "r", per_second=4.0, members=names)
    assert c.take(5 * SEC, "r", per_second=4.0, members=names)
    c.on_process_paused(20 * SEC)
    assert not c.take(24 * SEC, "r", per_second=4.0, members=names)
    assert c.take(25 * SEC, "r", per_second=4.0, members=names)


def test_a_daemon_that_knows_nobody_takes_one_a_second_and_one_that_is_not_a_member_none():
    c = SlowStart(own_name="a", tuning=OPT, started_at=0 * SEC)
    at = [t for t in range(100, 200) if c.take(t * SEC / 10, "r", per_second=40.0, members={"a"})]
    assert at == list(range(100, 200, 10))
    c = SlowStart(own_name="a", tuning=OPT, started_at=0 * SEC)
    assert not c.take(10 * SEC, "r", per_second=40.0, members={"b", "c"})


def test_names_count_long_after_the_roster_dropped_them():
    c, names = SlowStart(own_name="d0", tuning=OPT, started_at=0 * SEC), {f"d{i}" for i in range(4)}
    count = lambda t, ns: sum(c.take(t * SEC, "r", per_second=8.0, members=ns) for _ in range(20))
    assert count(10, names) == 2
    assert count(100, {"d0", "d1"}) == 2
    assert count(12 + OPT["cold_recall"] / SEC, {"d0", "d1"}) == 4


def test_names_that_are_not_given_again_stay():
    c = SlowStart(own_name="a", tuning=OPT, started_at=0 * SEC)
    c.update_members(1 * SEC, ["a", "b"])
    for t in range(10, 2000, 10):
        assert sum(c.take(t * SEC, "r", per_second=8.0, members=()) for _ in range(20)) == 4
    c.update_members(2000 * SEC, ["a"])
    assert sum(c.take(2001 * SEC, "r", per_second=8.0, members=()) for _ in range(20)) == 4
    assert sum(c.take(2400 * SEC, "r", per_second=8.0, members=()) for _ in range(20)) == 1


def test_a_replica_that_turns_warm_is_not_flooded():
    c, names, got = SlowStart(own_name="a", tuning=OPT, started_at=0 * SEC), {"a", "b"}, {}
    assert c.take(10 * SEC, "r", per_second=4.0, members=names)
    for tick in range(80):
        t = 12 * SEC + tick * SEC / 20
        got[tick] = sum(c.take(t, "r", per_second=None, members=names) for _ in range(100))
    sums = [sum(got[i] for i in range(a, a + 10)) for a in range(0, 80, 10)]
    assert sums[0] == 2 and sums[1] == 0  # the cold share in its first second
    assert sums[2] == 4 and 4 <= sums[3] <= 8  # then twice as much each half second
    assert got[60] == 100  # and in the end what comes
    assert c.take(30 * SEC, "never-cold", per_second=None, members=names)


def planted(**kw):
    class Without(SlowStart):
        pass

    for k, v in kw.items():
        setattr(Without, k, v)
    return Without


def breaks(make, seeds=range(8)):
    return any(most(f.sent) > per_s * EXCESS + SLACK for f, per_s in (play(s, make=make) for s in seeds))


def test_the_oracle_finds_a_fleet_in_which_each_takes_all_that_the_replica_bears():
    assert breaks(planted(own_share=lambda self, replica, per_second: int(per_second)))


def test_the_oracle_finds_daemons_that_count_whole_seconds_instead_of_sliding_ones():
    def count(self, now, replica, n):
        k = (replica, now // SEC)
        self.whole = getattr(self, "whole", {})
        self.whole[k] = self.whole.get(k, 0) + 1
        return self.whole[k] <= n

    def run(make):
        f = Fleet(n=3, rng=random.Random(1), make=make)
        for t in (10.9, 11.0):
            f.rush(t * SEC, 30.0, 40)
        return most(f.sent)

    assert run(planted(count=count)) > 30 * EXCESS + SLACK >= run(SlowStart)


def test_the_oracle_finds_daemons_that_know_only_who_is_in_touch():
    """A cut that lasts longer than the roster's memory, both sides still reaching the replica."""

    def run(recall):
        opt = {**OPT, "cold_recall": recall}
        f = Fleet(n=9, rng=random.Random(1))
        for i in f.ids:
            f.d[i] = SlowStart(own_name=i, tuning=opt, started_at=-60 * SEC)
        f.side.update(dict.fromkeys(f.ids[:4], 1))
        for t in range(0, 100):
            f.gossip(t * SEC)
            f.rush(t * SEC, 27.0, 30)
        return most(f.sent)

    assert run(0 * SEC) > 27 * EXCESS + SLACK
    assert run(OPT["cold_recall"]) <= 27


def test_the_oracle_finds_daemons_that_do_not_settle():
    """All are killed and started at once, and none knows another yet."""

    def run(opt):
        f = Fleet(n=9, rng=random.Random(1))
        f.lag = 2 * SEC
        for i in f.ids:
            f.kill(i)
            f.start(i, 0 * SEC)
            f.d[i] = SlowStart(own_name=i, tuning=opt, started_at=0 * SEC)
            f.seen[i].update(dict.fromkeys(f.ids[:2], 0 * SEC))  # its seeds
        for t in range(0, 120):
            f.gossip(t * SEC / 10)
            f.rush(t * SEC / 10, 11.0, 12)
        return most(f.sent)

    assert run({**OPT, "cold_settle": 0 * SEC}) > 11 * EXCESS + SLACK
    assert run(OPT) <= 11


def test_the_oracle_finds_thawed_daemons_that_go_on_as_if_nothing_had_been():
    """Frozen for longer than the others remember it, a side comes back while its part is spent by others."""

    def run(make):
        f, opt = Fleet(n=8, rng=random.Random(1)), {**OPT, "cold_recall": 70 * SEC}
        for i in f.ids:
            f.d[i] = make(own_name=i, tuning=opt, started_at=-60 * SEC)
        for t in range(0, 160):
            now = t * 1.2 * SEC
            if t == 2:
                f.frozen.update(dict.fromkeys(f.ids[:4], True))
            if t == 150:
                for i in f.ids[:4]:
                    f.thaw(i, now)
                f.rush(now, 24.0, 30)  # before anyone heard of it
            f.gossip(now)
            f.rush(now, 24.0, 30)
        return most(f.sent)

    assert run(planted(on_process_paused=lambda self, now: None)) > 24
    assert run(SlowStart) <= 24
