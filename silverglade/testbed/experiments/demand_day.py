"""A long simulated day of a region whose replicas nobody orders (design 16.3): what each daemon's scaler says.

Replicas run `capacity` requests at once and slow as they fill; daemons send to the least busy one and hear
the replicas' reports every two seconds. Arrivals swing, a crowd comes, requests turn long and short again.
"""

import random
from collections import deque
from datetime import timedelta
from math import ceil, pi, sin

from ...autoscaling.markov_chain import room_of_replica, smallest_sufficient
from ...autoscaling.service_scaler import ServiceScaler
from ...runtime.settings import tuning
from ...runtime.state_machine import MachineComponent

SEC = timedelta(seconds=1)
STEP = 0.02
SLOWER = 1.5  # a full replica needs so much more, beyond once, for each request


class Replica:
    def __init__(self, capacity):
        self.capacity, self.runs, self.queue = capacity, [], deque()

    def pace(self):
        return 1 + SLOWER * len(self.runs) / self.capacity

    def step(self, t):
        """-> (daemon, seconds) of what ended."""
        while self.queue and len(self.runs) < self.capacity:
            self.runs.append(self.queue.popleft())
        done, dt = [], STEP / self.pace() if self.runs else 0
        for x in self.runs:
            x[0] -= dt
        for x in [x for x in self.runs if x[0] <= 0]:
            self.runs.remove(x)
            done.append((x[1], t - x[2]))
        return done


def lam_of(x, peak):
    """Arrivals a second at the part x of the day."""
    return peak * (0.08 + 0.92 * max(0.0, sin(pi * x)) ** 2) * (2.5 if 0.25 < x < 0.29 else 1.0)


def work_of(x, work):
    return work * (3 if 0.7 < x < 0.78 else 1)


def day(*, capacity=16, replicas=4, daemons=3, work=0.3, peak=None, aim_ms=600, secs=600, seed=1, **opts):
    """-> figures of the day. `peak` fills two thirds of the region unless given."""
    rng, opt = random.Random(seed), tuning(**opts)
    top = 0.8 * capacity / (work * (1 + SLOWER * 0.8))  # what one replica takes at a load of 0.8
    peak = peak or 0.67 * replicas * top
    reps = {f"r{i}": Replica(capacity) for i in range(replicas)}
    cfg = {
        "routes": [{"name": "a", "shares": [{"service": "s", "weight": 1.0}], "aim_ms": aim_ms, "kind": "pure"}],
        "services": {"s": {"capacity": capacity}},
    }
    parts = [MachineComponent(ServiceScaler(region="m", tuning=opt)) for i in range(daemons)]
    roll = tuple((f"d{i}", "l", 1, 1, "z", "m", "", "", False, "ready", (), ()) for i in range(daemons))
    said, lines, rows, crowd = [(0, 0, False)] * daemons, 0, [], None

    def tell(i, t, ev):
        nonlocal lines
        for e in parts[i].send((t * SEC, ev)):
            lines += e[0] == "log"
            if e[0] == "cast" and e[1][0] == "short":
                said[i] = e[1][1]["m", "s"]

    for i in range(daemons):
        tell(i, 0, ("roll", roll))
        tell(i, 0, ("book", {"config": ((1, 1), cfg)}, (1, 1)))
    for tick in range(int(secs / STEP)):
        t, x = tick * STEP, tick * STEP / secs
        lam, wk = lam_of(x, peak), work_of(x, work)
        n, p = 0, rng.expovariate(lam)
        while p < STEP:
            n, p = n + 1, p + rng.expovariate(lam)
        for _ in range(n):
            i = rng.randrange(daemons)
            r = min(reps.values(), key=lambda r: len(r.runs) + len(r.queue))
            r.queue.append([wk * rng.choice((0.4, 0.8, 1.0, 1.8)), i, t])
            tell(i, t, ("arrived", "s", False))
        for r in reps.values():
            for i, took in r.step(t):
                tell(i, t, ("served", "s", took))
        if tick % 100 == 0:
            loads = {k: ("s", "m", len(r.runs), capacity, True) for k, r in reps.items()}
            for i in range(daemons):
                tell(i, t, ("loads", loads))
        if tick % 10 == 0:
            for i in range(daemons):
                tell(i, t, ("pulse",))
        if tick % 50 == 0 and t > 12:
            true = max(1, ceil(lam / (top * work / wk) - 1e-9))
            ms = [s[0] for s in said]
            rows.append((t, true, ms, [s[2] for s in said], true > replicas))
            if crowd is None and 0.25 < x and max(ms) >= true:
                crowd = round(t - 0.25 * secs, 1)
    looks = len(rows) * daemons
    return dict(
        capacity=capacity,
        looks=looks,
        under=round(sum(m < r[1] for r in rows for m in r[2]) / looks, 3),
        over=round(sum(max(0, m - r[1]) for r in rows for m in r[2]) / looks, 2),
        mean=round(sum(m for r in rows for m in r[2]) / looks, 2),
        true=round(sum(r[1] for r in rows) / len(rows), 2),
        missed=round(sum(not s for r in rows for s in r[3] if r[4]) / max(1, sum(len(r[3]) for r in rows if r[4])), 3),
        false=round(sum(s for r in rows for s in r[3] if not r[4]) / max(1, sum(len(r[3]) for r in rows if not r[4])), 3),
        crowd_s=crowd,
        apart=round(sum(max(r[2]) - min(r[2]) for r in rows) / len(rows), 2),
        lines=lines,
    )


VARIANTS = (
    ("as it is", {}),
    ("K of 20", dict(need_room=20)),
    ("ends over 2 s", dict(need_window=2)),
    ("ends over 10 s", dict(need_window=10)),
    ("latency of a whole replica", dict(need_latency="whole")),
    ("W by served", dict(scale_flow="served")),
)


def main(seed, secs):
    for capacity in (6, 16, 64):
        for what, kw in VARIANTS:
            print(f"{what}:", day(capacity=capacity, secs=secs, seed=seed, **kw))
    for what, kw in VARIANTS[0], VARIANTS[4]:
        print(f"a request a second, {what}:", day(capacity=64, replicas=2, peak=1.0, secs=secs, seed=seed, **kw))
    for capacity in (6, 16, 64):
        print(f"K of {capacity} at once:", rooms(capacity))
    for replicas in (7, 30, 60, 90, 120):
        print(f"{replicas} replicas, seven tenths used:", {f: wide(replicas, f) for f in ("printed", "served")})
    return 0


def wide(replicas, flow):
    """(m, met) in a region of many replicas of 64 places; a request takes as long as the aim."""
    mu, aim = 64 / 0.6, 0.6
    return smallest_sufficient(
        lam=0.7 * replicas * mu,
        mu=mu,
        replicas=replicas,
        latency_target=aim,
        room=room_of_replica(capacity=64, mu=mu, latency_target=aim),
        fan_out=50,
        max_load=0.8,
        fallback_load=0.65,
        flow=flow,
    )


def rooms(capacity):
    """m by the room worked out, and how often another room gives another m: loads of 0.1 to 1.4 a replica."""
    got, other, mu = {}, dict.fromkeys(("capacity", "20", "4 x capacity"), 0), capacity / 0.6
    for aim in (0.3, 0.6, 2.0):
        k = room_of_replica(capacity=capacity, mu=mu, latency_target=aim)
        for replicas in (1, 2, 5):
            for x in range(1, 15 * replicas):
                kw = dict(lam=x / 10 * mu, mu=mu, replicas=replicas, latency_target=aim, fan_out=50, max_load=0.8, fallback_load=0.65)
                m = got[aim, replicas, x] = smallest_sufficient(room=k, **kw)
                for name, n in (("capacity", capacity), ("20", 20), ("4 x capacity", 4 * capacity)):
                    other[name] += smallest_sufficient(room=n, **kw) != m
    return dict(
        rooms=[room_of_replica(capacity=capacity, mu=mu, latency_target=a) for a in (0.3, 0.6, 2.0)],
        cases=len(got),
        other=other,
        m_of_five=[got[0.6, 5, x][0] for x in (5, 20, 40, 60)],
    )
