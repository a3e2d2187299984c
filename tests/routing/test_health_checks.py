"""One health checker per replica, and as few checks as suffice (design 16.4)."""

import random
from collections import Counter
from datetime import timedelta

import pytest

from silverglade.routing.health_checks import HealthChecks, health_checker
from silverglade.runtime.settings import tuning

SEC = timedelta(seconds=1)
OPT = tuning()
EVERY = OPT["probe_every"]


class Fleet:
    """Daemons in three regions, each with a possibly outdated view of the live daemons."""

    def __init__(self, *, n, replicas, rng, make=HealthChecks):
        self.rng, self.make = rng, make
        self.region = {f"d{i}": "abc"[i % 3] for i in range(n)}
        self.replica_regions = {f"r{i}": "abc"[rng.randrange(3)] for i in range(replicas)}
        self.d, self.dead, self.checks, self.pending_answers = {}, set(), [], []
        for i in self.region:
            self.start(i)
        self.update_views()

    def start(self, i):
        self.dead.discard(i)
        self.d[i] = self.make(own_name=i, tuning=OPT)

    def update_views(self, of=None):
        live = tuple((i, r) for i, r in self.region.items() if i not in self.dead)
        for i, r in live:
            if of is None or r == of:
                self.d[i].set_live_daemons(live)
                self.d[i].set_replicas(self.replica_regions)

    def step(self, now, silent=()):
        """Run one step; answers arrive 0.1 s later, none from silent replicas."""
        for at, i, x in [w for w in self.pending_answers if w[0] <= now]:
            self.pending_answers.remove((at, i, x))
            if i not in self.dead:
                self.d[i].on_answer(x)
        for i in self.region:
            if i in self.dead:
                continue
            for x in self.d[i].due(now):
                self.checks.append((now, i, x))
                if x not in silent:
                    self.pending_answers.append((now + SEC / 10, i, x))


def violations(f, calm):
    """Oracle: return a message per violation in the spans (from, until, live) in which all views were correct."""
    bad = []
    for a, b, live in calm:
        here = [x for x in f.checks if a <= x[0] < b]
        for r, place in f.replica_regions.items():
            mine = [x for x in here if x[2] == r]
            who = {x[1] for x in mine}
            some = any(f.region[i] == place for i in live)
            if len(who) > 1:
                bad.append(f"{r} probed by {who}")
            if any(f.region[i] != place for i in who):
                bad.append(f"{r} probed from another region")
            if some and b - a > 2 * EVERY and len(mine) < (b - a) // EVERY - 1:
                bad.append(f"{r} probed {len(mine)} times in {b - a}")
            if len(mine) > (b - a) // EVERY + 1:
                bad.append(f"{r} probed {len(mine)} times in {b - a}, too often")
    return bad


def random_run(seed, make=HealthChecks):
    rng = random.Random(seed)
    f = Fleet(n=rng.choice((3, 6, 9, 30)), replicas=rng.choice((1, 5, 20, 60)), rng=rng, make=make)
    calm, since = [], 0 * SEC
    at = sorted(rng.uniform(5, 60) for _ in range(4))
    for tick in range(1400):
        now = tick * SEC / 20
        while at and at[0] <= tick / 20:
            at.pop(0)
            calm.append((since, now, [i for i in f.region if i not in f.dead]))
            for i in rng.sample(sorted(f.region), max(1, len(f.region) // 3)):
                if i in f.dead:
                    f.start(i)
                else:
                    f.dead.add(i)
            f.update_views()
            since = now
        f.step(now)
    calm.append((since, 70 * SEC, [i for i in f.region if i not in f.dead]))
    return f, calm


@pytest.mark.parametrize("seed", range(20))
def test_each_replica_is_checked_by_one_daemon_of_its_region_once_per_interval(seed):
    assert violations(*random_run(seed)) == []


def planted(**kw):
    class Without(HealthChecks):
        pass

    for k, v in kw.items():
        setattr(Without, k, v)
    return Without


def everyone(self):
    self.own_replicas = frozenset(self.regions)


def local(self):
    here = dict(self.live).get(self.own_name)
    self.own_replicas = frozenset(i for i, r in self.regions.items() if r == here)


def anywhere(self):
    from silverglade.membership.rendezvous import highest_ranked

    self.own_replicas = frozenset(i for i in self.regions if highest_ranked(i, [j for j, _ in self.live]) == self.own_name)


def nobody_new(self):
    if not self.own_replicas:
        HealthChecks.assign(self)


@pytest.mark.parametrize("rule", [everyone, local, anywhere, nobody_new])
def test_the_oracle_detects_each_wrong_assignment(rule):
    assert any(violations(*random_run(s, make=planted(assign=rule))) for s in range(6))


def test_the_oracle_detects_a_daemon_that_checks_at_every_timer():
    assert violations(*random_run(1, make=planted(due=lambda self, now: tuple(self.own_replicas))))


def test_a_region_without_live_daemons_has_no_health_checker():
    assert health_checker("r", "a", (("d", "b"),)) is None
    p = HealthChecks(own_name="d", tuning=OPT)
    p.set_live_daemons((("d", "b"),))
    p.set_replicas({"r": "a"})
    assert p.due(10 * SEC) == ()


def test_health_checks_are_spread_over_the_daemons_of_a_region():
    live = tuple((f"d{i}", "a") for i in range(6))
    n = Counter(health_checker(f"r{i}", "a", live) for i in range(600))
    assert len(n) == 6 and max(n.values()) < 160


def lone(**opts):
    p = HealthChecks(own_name="d", tuning=tuning(**opts))
    p.set_live_daemons((("d", "a"),))
    p.set_replicas({f"r{i}": "a" for i in range(10)})
    got = []
    for t in range(40):
        for x in p.due(t * SEC / 20):
            got.append((t, x))
            p.on_answer(x)
    return p, got


def test_first_checks_are_spread_over_an_interval():
    _, got = lone()
    assert len(got) == 10 and max(Counter(t for t, _ in got).values()) <= 2


def test_a_suspected_replica_is_checked_out_of_turn_once_until_it_answers():
    p, _ = lone()
    now = 2.01 * SEC
    p.due(now)
    p.on_answer("r0")
    p.suspect("r0")
    assert p.due(now + SEC / 20) == ("r0",)
    p.on_failure("r0")
    p.suspect("r0")
    asked = []
    for t in range(2, 38):
        asked += [x for x in p.due(now + t * SEC / 20) if x == "r0"]
        for x in p.own_replicas - {"r0"}:
            p.on_answer(x)
    assert asked == []  # its next regular check is two seconds after the one out of turn
    assert "r0" in p.due(now + 2.1 * SEC)
    p.on_answer("r0")
    p.suspect("r0")
    assert "r0" in p.due(now + 2.2 * SEC)  # it answered, so it may be suspected again


def test_checks_out_of_turn_are_rate_limited():
    p, _ = lone(probe_extra=3, probe_every=60)
    p.next_check_at = {i: 100 * SEC for i in p.next_check_at}
    for i in range(10):
        p.suspect(f"r{i}")
    assert [len(p.due((50 + t) * SEC)) for t in range(5)] == [3, 3, 3, 1, 0]


def test_a_check_without_an_answer_delays_the_next_one_only_until_its_timeout():
    p = HealthChecks(own_name="d", tuning=tuning(probe_wait=5))
    p.set_live_daemons((("d", "a"),))
    p.set_replicas({"r": "a"})
    assert [t for t in range(0, 20) if p.due(t * SEC)] == [0, 5, 10, 15]
    p.suspect("other")  # another daemon's replica: ignored
    assert p.suspected == {}


def test_reassigned_replicas_leave_no_state_and_a_pause_resets_the_schedule():
    p = HealthChecks(own_name="d", tuning=OPT)
    p.set_live_daemons((("d", "a"),))
    p.set_replicas({"r": "a"})
    assert p.due(0 * SEC) == ("r",)
    p.suspect("r")
    p.on_process_paused()
    assert p.due(0.1 * SEC) == ("r",)
    p.set_replicas({})
    assert (p.next_check_at, p.in_progress, p.suspected, p.own_replicas) == ({}, {}, {}, frozenset())
