"""A long simulated day of a region whose replicas nobody orders (design 16.3): what each daemon's scaler says.

Replicas run `capacity` requests at once and slow as they fill; daemons send to the least busy one and hear
the replicas' reports every two seconds. Arrivals swing, a crowd comes, requests turn long and short again.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from math import ceil, pi, sin
from typing import Any, NamedTuple

from ...autoscaling.markov_chain import room_of_replica, smallest_sufficient
from ...autoscaling.service_scaler import ServiceScaler
from ...runtime.settings import tuning
from ...runtime.state_machine import MachineComponent

SEC = timedelta(seconds=1)
STEP = 0.02  # seconds
LOADS_EVERY, PULSE_EVERY, SAMPLE_EVERY = 100, 10, 50  # steps
SETTLED_S = 12  # from when on samples are taken
WORK_FACTORS = (0.4, 0.8, 1.0, 1.8)  # of the mean
SLOWER = 1.5  # a full replica needs so much more, beyond once, for each request


@dataclass(slots=True, eq=False)
class Work:
    """A request at a replica.

    :ivar left: seconds of work that it still needs, alone on a replica.
    :ivar daemon: number of the daemon that sent it.
    :ivar arrived: when it was sent, seconds of the day.
    """

    left: float
    daemon: int
    arrived: float


class Served(NamedTuple):
    """A request that ended: number of the daemon that sent it, and the seconds that it took."""

    daemon: int
    seconds: float


class Replica:
    """A replica that becomes slower the more requests run on it."""

    def __init__(self, capacity: int) -> None:
        """Begin idle.

        :param capacity: requests that run at once.
        """
        self.capacity = capacity
        self.runs: list[Work] = []
        self.queue: deque[Work] = deque()

    def load(self) -> int:
        """Return how many requests it has."""
        return len(self.runs) + len(self.queue)

    def slowness(self) -> float:
        """Return how much longer than alone a request takes now."""
        return 1 + SLOWER * len(self.runs) / self.capacity

    def step(self, now: float) -> list[Served]:
        """Work for one step; return what ended."""
        while self.queue and len(self.runs) < self.capacity:
            self.runs.append(self.queue.popleft())
        progress = STEP / self.slowness() if self.runs else 0
        for work in self.runs:
            work.left -= progress
        ended = [work for work in self.runs if work.left <= 0]
        for work in ended:
            self.runs.remove(work)
        return [Served(work.daemon, now - work.arrived) for work in ended]


class Sample(NamedTuple):
    """What the daemons said at a moment.

    :ivar required: replicas that the arrivals of that moment need.
    :ivar said: replicas that each daemon's scaler wanted.
    :ivar short: whether each daemon's scaler said that there are too few.
    :ivar is_short: whether there are.
    """

    required: int
    said: list[int]
    short: list[bool]
    is_short: bool


def arrival_rate(part: float, peak: float) -> float:
    """Return the arrivals a second.

    :param part: of the day that has passed, 0 to 1.
    :param peak: arrivals a second at noon; a crowd comes on top of it.
    """
    crowd = 2.5 if 0.25 < part < 0.29 else 1.0
    return peak * (0.08 + 0.92 * max(0.0, sin(pi * part)) ** 2) * crowd


def mean_work(part: float, work: float) -> float:
    """Return the mean seconds of a request; they are long for a while in the afternoon."""
    return work * (3 if 0.7 < part < 0.78 else 1)


def full_rate(capacity: int, work: float) -> float:
    """Return the requests a second that one replica takes at a load of 0.8."""
    return 0.8 * capacity / (work * (1 + SLOWER * 0.8))


class Day:
    """One simulated day."""

    def __init__(
        self,
        *,
        capacity: int,
        replicas: int,
        daemons: int,
        work: float,
        peak: float | None,
        aim_ms: int,
        secs: float,
        seed: int,
        **opts: Any,
    ) -> None:
        """Set up the replicas and the daemons' scalers; see `day`."""
        self.rng, opt = random.Random(seed), tuning(**opts)
        self.capacity, self.daemons, self.work, self.seconds = capacity, daemons, work, secs
        self.full_rate = full_rate(capacity, work)
        self.peak = peak or 0.67 * replicas * self.full_rate
        self.replicas = {f"r{i}": Replica(capacity) for i in range(replicas)}
        self.said: list[tuple[Any, ...]] = [(0, 0, False)] * daemons  # by daemon: wanted, there, too few?
        self.log_lines = 0
        self.samples: list[Sample] = []
        self.crowd_s: float | None = None  # how long after the crowd came somebody wanted enough replicas
        self.scalers = [MachineComponent(ServiceScaler(region="m", tuning=opt)) for _ in range(daemons)]
        self._begin(aim_ms)

    def _begin(self, aim_ms: int) -> None:
        """Tell the scalers of the daemons and of the configuration."""
        members = tuple((f"d{i}", "l", 1, 1, "z", "m", "", "", False, "ready", (), ()) for i in range(self.daemons))
        configuration = {
            "routes": [{"name": "a", "shares": [{"service": "s", "weight": 1.0}], "aim_ms": aim_ms, "kind": "pure"}],
            "services": {"s": {"capacity": self.capacity}},
        }
        for daemon in range(self.daemons):
            self._feed(daemon, 0, ("roll", members))
            self._feed(daemon, 0, ("book", {"config": ((1, 1), configuration)}, (1, 1)))

    def _feed(self, daemon: int, now: float, event: tuple[Any, ...]) -> None:
        """Hand a scaler an event, and note what it says."""
        for effect in self.scalers[daemon].send((now * SEC, event)):
            self.log_lines += effect[0] == "log"
            if effect[0] == "cast" and effect[1][0] == "short":
                self.said[daemon] = effect[1][1]["m", "s"]

    def run(self) -> None:
        """Play the day."""
        for tick in range(int(self.seconds / STEP)):
            now, part = tick * STEP, tick * STEP / self.seconds
            rate, work = arrival_rate(part, self.peak), mean_work(part, self.work)
            self._send_requests(now, rate, work)
            for replica in self.replicas.values():
                for served in replica.step(now):
                    self._feed(served.daemon, now, ("served", "s", served.seconds))
            if tick % LOADS_EVERY == 0:
                loads = {name: ("s", "m", len(replica.runs), self.capacity, True) for name, replica in self.replicas.items()}
                self._feed_all(now, ("loads", loads))
            if tick % PULSE_EVERY == 0:
                self._feed_all(now, ("pulse",))
            if tick % SAMPLE_EVERY == 0 and now > SETTLED_S:
                self._sample(now, part, rate / (self.full_rate * self.work / work))

    def _feed_all(self, now: float, event: tuple[Any, ...]) -> None:
        for daemon in range(self.daemons):
            self._feed(daemon, now, event)

    def _send_requests(self, now: float, rate: float, work: float) -> None:
        """Send the requests of one step, each to the replica with the fewest."""
        count, at = 0, self.rng.expovariate(rate)
        while at < STEP:
            count, at = count + 1, at + self.rng.expovariate(rate)
        for _ in range(count):
            daemon = self.rng.randrange(self.daemons)
            replica = min(self.replicas.values(), key=Replica.load)
            replica.queue.append(Work(work * self.rng.choice(WORK_FACTORS), daemon, now))
            self._feed(daemon, now, ("arrived", "s", False))

    def _sample(self, now: float, part: float, busy_replicas: float) -> None:
        """Note what the daemons say.

        :param busy_replicas: how many the arrivals keep at a load of 0.8.
        """
        required = max(1, ceil(busy_replicas - 1e-9))
        said = [row[0] for row in self.said]
        self.samples.append(Sample(required, said, [row[2] for row in self.said], required > len(self.replicas)))
        if self.crowd_s is None and 0.25 < part and max(said) >= required:
            self.crowd_s = round(now - 0.25 * self.seconds, 1)

    def figures(self) -> dict[str, Any]:
        """Return the figures of the day; see `day`."""
        samples = self.samples
        looks = len(samples) * self.daemons
        pairs = [(said, sample.required) for sample in samples for said in sample.said]
        when_short = [short for sample in samples for short in sample.short if sample.is_short]
        when_enough = [short for sample in samples for short in sample.short if not sample.is_short]
        return dict(
            capacity=self.capacity,
            looks=looks,
            under=round(sum(said < required for said, required in pairs) / looks, 3),
            over=round(sum(max(0, said - required) for said, required in pairs) / looks, 2),
            mean=round(sum(said for said, _ in pairs) / looks, 2),
            true=round(sum(sample.required for sample in samples) / len(samples), 2),
            missed=round(sum(not short for short in when_short) / max(1, len(when_short)), 3),
            false=round(sum(when_enough) / max(1, len(when_enough)), 3),
            crowd_s=self.crowd_s,
            apart=round(sum(max(sample.said) - min(sample.said) for sample in samples) / len(samples), 2),
            lines=self.log_lines,
        )


def day(
    *,
    capacity: int = 16,
    replicas: int = 4,
    daemons: int = 3,
    work: float = 0.3,
    peak: float | None = None,
    aim_ms: int = 600,
    secs: float = 600,
    seed: int = 1,
    **opts: Any,
) -> dict[str, Any]:
    """Play a day.

    :param capacity: requests that a replica runs at once.
    :param work: mean seconds of a request alone on a replica.
    :param peak: arrivals a second at noon; it fills two thirds of the region unless given.
    :param aim_ms: latency target.
    :param secs: length of the day.
    :param opts: tuning of the daemons.
    :returns: shares of the looks that were under the required replicas, mean excess, and so on.
    """
    played = Day(capacity=capacity, replicas=replicas, daemons=daemons, work=work, peak=peak, aim_ms=aim_ms, secs=secs, seed=seed, **opts)
    played.run()
    return played.figures()


VARIANTS: tuple[tuple[str, dict[str, Any]], ...] = (
    ("as it is", {}),
    ("K of 20", dict(need_room=20)),
    ("ends over 2 s", dict(need_window=2)),
    ("ends over 10 s", dict(need_window=10)),
    ("latency of a whole replica", dict(need_latency="whole")),
    ("W by served", dict(scale_flow="served")),
)


def main(seed: int, secs: float) -> int:
    """Print the figures of all variants."""
    for capacity in (6, 16, 64):
        for what, options in VARIANTS:
            print(f"{what}:", day(capacity=capacity, secs=secs, seed=seed, **options))
    for what, options in VARIANTS[0], VARIANTS[4]:
        print(f"a request a second, {what}:", day(capacity=64, replicas=2, peak=1.0, secs=secs, seed=seed, **options))
    for capacity in (6, 16, 64):
        print(f"K of {capacity} at once:", rooms(capacity))
    for replicas in (7, 30, 60, 90, 120):
        print(f"{replicas} replicas, seven tenths used:", {f: wide(replicas, f) for f in ("printed", "served")})
    return 0


def wide(replicas: int, flow: str) -> Any:
    """Return (m, met) in a region of many replicas of 64 places; a request takes as long as the aim."""
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


def rooms(capacity: int) -> dict[str, Any]:
    """Return m by the room worked out, and how often another room gives another m: loads of 0.1 to 1.4 a replica."""
    got, other, mu = {}, dict.fromkeys(("capacity", "20", "4 x capacity"), 0), capacity / 0.6
    for aim in (0.3, 0.6, 2.0):
        k = room_of_replica(capacity=capacity, mu=mu, latency_target=aim)
        for replicas in (1, 2, 5):
            for x in range(1, 15 * replicas):
                load: dict[str, Any] = dict(
                    lam=x / 10 * mu, mu=mu, replicas=replicas, latency_target=aim, fan_out=50, max_load=0.8, fallback_load=0.65
                )
                m = got[aim, replicas, x] = smallest_sufficient(room=k, **load)
                for name, n in (("capacity", capacity), ("20", 20), ("4 x capacity", 4 * capacity)):
                    other[name] += smallest_sufficient(room=n, **load) != m
    return dict(
        rooms=[room_of_replica(capacity=capacity, mu=mu, latency_target=a) for a in (0.3, 0.6, 2.0)],
        cases=len(got),
        other=other,
        m_of_five=[got[0.6, 5, x][0] for x in (5, 20, 40, 60)],
    )
