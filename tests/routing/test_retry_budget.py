"""The retry budget of a fleet without coordination (design 16.1), checked over sliding windows."""

import random
from datetime import timedelta

import pytest

from silverglade.routing import retry_budget as module
from silverglade.routing.retry_budget import RetryBudget
from silverglade.runtime.settings import tuning

SEC = timedelta(seconds=1)
OPT = tuning()
WINDOW, RATIO, SLACK = OPT["budget_window"], OPT["budget_ratio"], OPT["budget_slack"]


def largest_excess(asks, retry_times, win=WINDOW, ratio=RATIO, slack=SLACK):
    """Oracle: return the largest excess over the budget in any window (0 for none); times must be sorted."""
    from bisect import bisect_left as lo
    from bisect import bisect_right as hi

    worst, half = 0.0, win / 2
    starts = {x for x in retry_times} | {x - win for x in retry_times}
    for q in asks:  # windows that just exclude or include a request
        starts |= {
            q,
            q + timedelta(microseconds=1),
            q + win,
            q + win + timedelta(microseconds=1),
            q + half + timedelta(microseconds=1),
            q - half,
        }
    count = lambda d, a, b: hi(d, b) - lo(d, a)
    for s in starts:
        x = count(retry_times, s, s + win)
        if x > slack:
            most = max(count(asks, s, s + win), count(asks, s - win, s), count(asks, s - half, s + half))
            worst = max(worst, x - ratio * most - slack)
    return worst


class Fleet:
    """Daemons that share no state; each knows some of the others."""

    def __init__(self, *, n, rng, make=RetryBudget):
        self.rng, self.make, self.n = rng, make, n
        self.all = [make(tuning=OPT, started_at=0 * SEC) for _ in range(n)]
        self.partition_side = [0] * n  # side of the partition
        self.known_daemons = [n] * n
        self.asks, self.retry_times = [], []

    def restart(self, i, now):
        self.all[i] = self.make(tuning=OPT, started_at=now)
        self.known_daemons[i] = sum(s == self.partition_side[i] for s in self.partition_side)  # only the reachable ones

    def cut(self, a, b):
        for i in range(a, b):
            self.partition_side[i] = 1

    def heal(self):
        self.partition_side = [0] * self.n
        self.known_daemons = [max(k, self.n) for k in self.known_daemons]

    def send_request(self, i, now):
        """Count a request that the client sent up to 0.2 s earlier."""
        self.all[i].on_request(now, "s")
        self.asks.append(now - self.rng.random() * 0.2 * SEC)

    def try_retry(self, i, now):
        if self.all[i].spend(now, "s", daemons=self.known_daemons[i]):
            self.retry_times.append(now + self.rng.random() * 0.2 * SEC)
            return True
        return False

    def worst(self):
        return largest_excess(sorted(self.asks), sorted(self.retry_times))


def random_run(seed, make=RetryBudget, secs=45):
    """Varying load, bursts of failures, restarts, and a partition (with possible restarts on one side)."""
    rng = random.Random(seed)
    n = rng.choice((1, 3, 6, 9, 9, 30))
    f = Fleet(n=n, rng=rng, make=make)
    base = rng.choice((2.0, 10.0, 30.0, 80.0)) / n
    period, depth = rng.uniform(3, 25), rng.random()
    bad = [(rng.uniform(0, secs), rng.uniform(0.1, 8)) for _ in range(4)]
    cut = rng.uniform(5, secs)
    heal = cut + rng.uniform(1, 30)
    third = range(0, max(1, n // 3))
    plan = [(rng.uniform(5, secs), rng.randrange(n)) for _ in range(rng.randrange(4))]
    plan += [(rng.uniform(cut, heal), i) for i in third] if rng.random() < 0.5 and n > 1 else []
    plan.sort()
    state, step = 0, SEC / 20
    for tick in range(secs * 20):
        now, t = tick * step, tick / 20
        if n > 1 and state == 0 and t >= cut:
            f.cut(third.start, third.stop)
            state = 1
        if state == 1 and t >= heal:
            f.heal()
            state = 2
        while plan and plan[0][0] <= t:
            f.restart(plan.pop(0)[1], now)
        level = 1 - depth if (t % period) > period / 2 else 1 + depth
        failing = any(a <= t < a + d for a, d in bad)
        for i in range(n):
            lam = base * level / 20
            while rng.random() < lam / (1 + lam):
                at = now + rng.random() * step
                f.send_request(i, at)
                if failing:
                    for _ in range(3):
                        f.try_retry(i, at)
            if failing:
                f.try_retry(i, now + step)  # streams that are resumed elsewhere
    return f


@pytest.mark.parametrize("seed", range(40))
def test_no_sliding_window_has_more_retries_than_the_budget(seed):
    assert random_run(seed).worst() == 0


def planted(**kw):
    """Return a subclass with one rule replaced."""

    class Without(RetryBudget):
        pass

    for k, v in kw.items():
        setattr(Without, k, v)
    return Without


def whole_slack(self, now, daemons):
    return OPT["budget_slack"] * OPT["budget_slack_part"]


def no_first_window(self, now, daemons):
    return OPT["budget_slack"] * OPT["budget_slack_part"] / max(1, self.largest_fleet(now, daemons))


def test_the_oracle_detects_daemons_that_each_spend_the_whole_slack():
    assert any(random_run(s, make=planted(share=whole_slack)).worst() > 0 for s in range(6))


def test_the_oracle_detects_daemons_that_spend_slack_again_after_each_restart():
    f = Fleet(n=9, rng=random.Random(1), make=planted(share=no_first_window))
    g = Fleet(n=9, rng=random.Random(1))
    for h in (f, g):
        for tick in range(400):
            now = 20 * SEC + tick * SEC / 50
            for i in range(9):
                if tick % 100 == 50:
                    h.restart(i, now)
                h.try_retry(i, now)
    assert f.worst() > 0 and g.worst() == 0


def test_the_oracle_detects_daemons_that_each_use_the_largest_of_their_three_counts(monkeypatch):
    """Half of the fleet has requests in one window, half in the next: the sum of the largest counts exceeds the largest sum."""

    def run():
        f = Fleet(n=20, rng=random.Random(3))
        for i in range(20):
            for j in range(400):
                at = (16 * SEC if i % 2 else 22.5 * SEC) + j * SEC / 1000
                f.send_request(i, at)
        for j in range(200):
            for i in range(20):
                f.try_retry(i, 25 * SEC + j * SEC / 1000)
        return f.worst()

    assert run() == 0
    monkeypatch.setattr(module, "MIX", module.WindowMix(1.0, 1.0, 1.0))
    assert run() > 0


def test_the_oracle_detects_a_budget_based_on_the_last_window_alone():
    """If retries are limited by the last window's requests alone, a later window contains the retries without the requests."""

    class Plain(RetryBudget):
        def spend(self, now, service, *, daemons):
            k = self.slot(now)
            mine = sum(x.count for x in self.retries.get(service, ()) if x.slot > k - 40) + 1
            asks = sum(x.count for x in self.requests.get(service, ()) if x.slot > k - 40)
            if mine > 0.2 * asks + self.share(now, daemons):
                return False
            module.increment_count(self.retries, service, k)
            return True

    def run(make):
        f = Fleet(n=3, rng=random.Random(4), make=make)
        for i in range(3):
            for j in range(400):
                f.send_request(i, 20.5 * SEC + j * SEC / 1000)
            for j in range(400):
                f.send_request(i, 28.5 * SEC + j * SEC / 1000)
        for j in range(600):
            for i in range(3):
                f.try_retry(i, 30 * SEC + j * SEC / 1000)
        return f.worst()

    assert run(Plain) > 0
    assert run(RetryBudget) == 0


def test_a_service_with_constant_load_gets_nearly_the_whole_ratio():
    b, got, asked = RetryBudget(tuning=OPT, started_at=0 * SEC), 0, 0
    for tick in range(60 * 50):
        now = tick * SEC / 50
        b.on_request(now, "s")
        if now >= 30 * SEC:
            asked += 1
            got += b.spend(now, "s", daemons=10**9)
    assert 0.8 * RATIO * asked < got <= RATIO * OPT["budget_ratio_part"] * asked


def test_no_slack_without_known_daemons_or_during_the_first_window():
    b = RetryBudget(tuning=OPT, started_at=0 * SEC)
    assert not b.spend(30 * SEC, "s", daemons=0)
    assert b.spend(30 * SEC, "s", daemons=3)
    b = RetryBudget(tuning=OPT, started_at=29 * SEC)
    assert not b.spend(30 * SEC, "s", daemons=3)
    assert not b.spend(39 * SEC, "s", daemons=3)
    assert b.spend(40 * SEC, "s", daemons=3)


def test_slack_is_divided_by_the_largest_recent_fleet():
    b = RetryBudget(tuning=OPT, started_at=0 * SEC)
    b.largest_fleet(20 * SEC, 9)
    part = OPT["budget_slack"] * OPT["budget_slack_part"]
    assert b.share(21 * SEC, 3) == part / 9
    assert b.share(22 * SEC + OPT["budget_recall"], 3) == part / 3


def test_each_service_has_its_own_budget():
    b = RetryBudget(tuning=OPT, started_at=0 * SEC)
    for j in range(1000):
        b.on_request(20 * SEC + j * SEC / 1000, "a")
    assert not b.spend(22 * SEC, "b", daemons=0)
    assert b.spend(22 * SEC, "a", daemons=0)
