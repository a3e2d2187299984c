"""Slow start of replicas in a fleet without coordination (design 16.2), checked over sliding seconds."""

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


def max_per_second(times):
    """Oracle: return the largest number of requests in any sliding second."""
    t = sorted(times)
    return max((bisect_left(t, a + SEC) - i for i, a in enumerate(t)), default=0)


@pytest.fixture(autouse=True)
def ranks(monkeypatch):
    """Cache the ranking: one process simulates all daemons, which rank the same names."""
    monkeypatch.setattr(module, "rank_nodes", lru_cache(4096)(module.rank_nodes))


class Fleet:
    """Edge daemons with a membership like the real one: a daemon is known a second or two after its start, and for a
    minute after it was last reachable."""

    def __init__(self, *, n, rng, make=SlowStart, restless=True):
        self.rng, self.make = rng, make
        self.ids = [f"d{i}" for i in range(n)]
        self.d = {i: make(own_name=i, tuning=OPT, started_at=-60 * SEC) for i in self.ids}
        self.side = dict.fromkeys(self.ids, 0)
        self.down, self.paused, self.sent, self.view = {}, {}, [], {}
        self.last_seen = {i: dict.fromkeys(self.ids, 0 * SEC) for i in self.ids}
        self.lag = rng.uniform(0.2, 3) * SEC
        self.up = dict.fromkeys(self.ids, -60 * SEC)

    def is_running(self, i):
        return i not in self.down and i not in self.paused

    def gossip(self, now):
        live = [i for i in self.ids if self.is_running(i)]
        old = {x: dict.fromkeys((i for i in live if self.side[i] == x and now - self.up[i] >= self.lag), now) for x in (0, 1)}
        for i in live:
            self.last_seen[i][i] = now
            if now - self.up[i] >= self.lag:
                self.last_seen[i].update(old[self.side[i]])

    def members(self, i, now):
        """Return the known members, refreshed once a second as in a daemon."""
        at, names = self.view.get(i, (None, None))
        if at is None or not SEC > now - at or at < self.up[i]:
            at, names = self.view[i] = (now, frozenset(j for j, t in self.last_seen[i].items() if now - t < 60 * SEC))
        return names

    def kill(self, i):
        self.down[i] = True

    def start(self, i, now):
        self.down.pop(i, None)
        self.d[i], self.up[i], self.last_seen[i] = self.make(own_name=i, tuning=OPT, started_at=now), now, {i: now}

    def resume(self, i, now):
        if self.paused.pop(i, None):
            self.last_seen[i] = dict.fromkeys(self.last_seen[i], now)  # after a pause all members count as just seen
            self.d[i].on_process_paused(now)

    def send_burst(self, now, per_s, k, replica="r"):
        """Let every live daemon try k requests within 0.1 s."""
        for i in self.ids:
            if self.is_running(i):
                names = self.members(i, now)
                for j in range(k):
                    at = now + j * SEC / 10 / k
                    if not self.d[i].take(at, replica, per_second=per_s, members=names):
                        break
                    self.sent.append(at)


def random_run(seed, make=SlowStart, n=None, secs=40, rush=True):
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
                    f.paused[i] = True
                case "thaw":
                    f.resume(i, now)
        if n < 100 or tick % 5 == 0:
            f.gossip(now)
        f.send_burst(now, per_s, int(per_s) + 2)
    return f, per_s


@pytest.mark.parametrize("seed", range(30))
def test_no_sliding_second_exceeds_the_limit_of_a_replica_in_slow_start(seed):
    f, per_s = random_run(seed)
    assert max_per_second(f.sent) <= per_s * EXCESS + SLACK


@pytest.mark.parametrize("n,per_s", [(3, 11.0), (9, 11.0), (420, 11.0), (420, 900.5), (45, 44.9), (9, 0.5)])
def test_a_fleet_without_faults_sends_exactly_the_limit(n, per_s):
    f = Fleet(n=n, rng=random.Random(n))
    for tick in range(30):
        now = tick * SEC / 10
        f.send_burst(now, per_s, int(per_s) + 2)
    assert max_per_second(f.sent) == int(per_s)


@pytest.mark.parametrize("seed", range(2))
def test_a_fleet_of_420_daemons_stays_within_the_limit_through_partitions_and_restarts(seed):
    f, per_s = random_run(seed + 100, n=420, secs=12)
    assert f.sent and max_per_second(f.sent) <= per_s * EXCESS + SLACK


def test_shares_sum_to_the_limit_and_only_decrease_when_names_are_added():
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


def test_a_daemon_sends_nothing_until_it_has_settled_after_a_start_or_pause():
    names = frozenset({"a", "b"})
    c = SlowStart(own_name="a", tuning=OPT, started_at=0 * SEC)
    assert not c.take(4.9 * SEC, "r", per_second=4.0, members=names)
    assert c.take(5 * SEC, "r", per_second=4.0, members=names)
    c.on_process_paused(20 * SEC)
    assert not c.take(24 * SEC, "r", per_second=4.0, members=names)
    assert c.take(25 * SEC, "r", per_second=4.0, members=names)


def test_a_daemon_that_knows_no_other_sends_one_request_per_second_and_a_non_member_none():
    c = SlowStart(own_name="a", tuning=OPT, started_at=0 * SEC)
    at = [t for t in range(100, 200) if c.take(t * SEC / 10, "r", per_second=40.0, members={"a"})]
    assert at == list(range(100, 200, 10))
    c = SlowStart(own_name="a", tuning=OPT, started_at=0 * SEC)
    assert not c.take(10 * SEC, "r", per_second=40.0, members={"b", "c"})


def test_names_are_retained_long_after_membership_dropped_them():
    c, names = SlowStart(own_name="d0", tuning=OPT, started_at=0 * SEC), {f"d{i}" for i in range(4)}
    count = lambda t, ns: sum(c.take(t * SEC, "r", per_second=8.0, members=ns) for _ in range(20))
    assert count(10, names) == 2
    assert count(100, {"d0", "d1"}) == 2
    assert count(12 + OPT["cold_recall"] / SEC, {"d0", "d1"}) == 4


def test_members_are_kept_when_none_are_given():
    c = SlowStart(own_name="a", tuning=OPT, started_at=0 * SEC)
    c.update_members(1 * SEC, ["a", "b"])
    for t in range(10, 2000, 10):
        assert sum(c.take(t * SEC, "r", per_second=8.0, members=()) for _ in range(20)) == 4
    c.update_members(2000 * SEC, ["a"])
    assert sum(c.take(2001 * SEC, "r", per_second=8.0, members=()) for _ in range(20)) == 4
    assert sum(c.take(2400 * SEC, "r", per_second=8.0, members=()) for _ in range(20)) == 1


def test_the_limit_doubles_gradually_after_the_slow_start():
    c, names, got = SlowStart(own_name="a", tuning=OPT, started_at=0 * SEC), {"a", "b"}, {}
    assert c.take(10 * SEC, "r", per_second=4.0, members=names)
    for tick in range(80):
        t = 12 * SEC + tick * SEC / 20
        got[tick] = sum(c.take(t, "r", per_second=None, members=names) for _ in range(100))
    sums = [sum(got[i] for i in range(a, a + 10)) for a in range(0, 80, 10)]
    assert sums[0] == 2 and sums[1] == 0  # this daemon's share in the first second
    assert sums[2] == 4 and 4 <= sums[3] <= 8  # then doubled every half second
    assert got[60] == 100  # finally unlimited
    assert c.take(30 * SEC, "never-cold", per_second=None, members=names)


def planted(**kw):
    class Without(SlowStart):
        pass

    for k, v in kw.items():
        setattr(Without, k, v)
    return Without


def breaks(make, seeds=range(8)):
    return any(max_per_second(f.sent) > per_s * EXCESS + SLACK for f, per_s in (random_run(s, make=make) for s in seeds))


def test_the_oracle_detects_daemons_that_each_use_the_whole_limit():
    assert breaks(planted(own_share=lambda self, replica, per_second: int(per_second)))


def test_the_oracle_detects_daemons_that_count_fixed_instead_of_sliding_seconds():
    def count(self, now, replica, n):
        k = (replica, now // SEC)
        self.whole = getattr(self, "whole", {})
        self.whole[k] = self.whole.get(k, 0) + 1
        return self.whole[k] <= n

    def run(make):
        f = Fleet(n=3, rng=random.Random(1), make=make)
        for t in (10.9, 11.0):
            f.send_burst(t * SEC, 30.0, 40)
        return max_per_second(f.sent)

    assert run(planted(count=count)) > 30 * EXCESS + SLACK >= run(SlowStart)


def test_the_oracle_detects_daemons_that_retain_no_names_of_unreachable_members():
    """A partition that outlasts the membership's memory, while both sides still reach the replica."""

    def run(recall):
        opt = {**OPT, "cold_recall": recall}
        f = Fleet(n=9, rng=random.Random(1))
        for i in f.ids:
            f.d[i] = SlowStart(own_name=i, tuning=opt, started_at=-60 * SEC)
        f.side.update(dict.fromkeys(f.ids[:4], 1))
        for t in range(0, 100):
            f.gossip(t * SEC)
            f.send_burst(t * SEC, 27.0, 30)
        return max_per_second(f.sent)

    assert run(0 * SEC) > 27 * EXCESS + SLACK
    assert run(OPT["cold_recall"]) <= 27


def test_the_oracle_detects_daemons_that_do_not_settle():
    """All daemons are restarted at once, and none knows the others yet."""

    def run(opt):
        f = Fleet(n=9, rng=random.Random(1))
        f.lag = 2 * SEC
        for i in f.ids:
            f.kill(i)
            f.start(i, 0 * SEC)
            f.d[i] = SlowStart(own_name=i, tuning=opt, started_at=0 * SEC)
            f.last_seen[i].update(dict.fromkeys(f.ids[:2], 0 * SEC))  # its seed members
        for t in range(0, 120):
            f.gossip(t * SEC / 10)
            f.send_burst(t * SEC / 10, 11.0, 12)
        return max_per_second(f.sent)

    assert run({**OPT, "cold_settle": 0 * SEC}) > 11 * EXCESS + SLACK
    assert run(OPT) <= 11


def test_the_oracle_detects_paused_daemons_that_do_not_settle_again():
    """One side is paused for longer than the others retain its names, and resumes while they use its share."""

    def run(make):
        f, opt = Fleet(n=8, rng=random.Random(1)), {**OPT, "cold_recall": 70 * SEC}
        for i in f.ids:
            f.d[i] = make(own_name=i, tuning=opt, started_at=-60 * SEC)
        for t in range(0, 160):
            now = t * 1.2 * SEC
            if t == 2:
                f.paused.update(dict.fromkeys(f.ids[:4], True))
            if t == 150:
                for i in f.ids[:4]:
                    f.resume(i, now)
                f.send_burst(now, 24.0, 30)  # before any member is seen again
            f.gossip(now)
            f.send_burst(now, 24.0, 30)
        return max_per_second(f.sent)

    assert run(planted(on_process_paused=lambda self, now: None)) > 24
    assert run(SlowStart) <= 24
