"""What both scalers measure and hold (design 9.3 to 9.5)."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from .markov_chain import RequiredReplicas, smallest_sufficient

SECOND = timedelta(seconds=1)


class Rates(NamedTuple):
    """Arrivals and completions a second."""

    arrivals: float
    completions: float


class LowerCount(NamedTuple):
    """A lower number of replicas that is not held yet: since when any was enough, and the largest that was needed since."""

    since: timedelta
    largest: int


class LoadMeasurement:
    """The requests of one kind, or for one service, that came by this daemon of late, and the replicas that they require.

    :ivar arrivals: when requests arrived.
    :ivar completions: when requests ended, and after how many seconds.
    :ivar service_time: 1/mu in seconds as it was last worked out, or None.
    :ivar held_count: the number of replicas that is held.
    """

    __slots__ = ("_lower", "_past_rates", "_tuning", "arrivals", "completions", "held_count", "service_time")

    def __init__(self, tuning: Mapping[str, Any]) -> None:
        self._tuning = tuning
        self.arrivals: deque[timedelta] = deque()
        self.completions: deque[tuple[timedelta, float]] = deque()
        self.service_time: float | None = None
        self.held_count = 0
        self._past_rates: deque[tuple[timedelta, float]] = deque()
        self._lower: LowerCount | None = None

    def rates(self, now: timedelta, window: timedelta, completion_window: timedelta | None = None) -> Rates:
        """Rates over a window; completions over one of their own where that is given."""
        completion_window = completion_window or window
        while self.arrivals and now - self.arrivals[0] >= window:
            self.arrivals.popleft()
        while self.completions and now - self.completions[0][0] >= completion_window:
            self.completions.popleft()
        return Rates(len(self.arrivals) / (window / SECOND), len(self.completions) / (completion_window / SECOND))

    def projected_rate(self, now: timedelta, rate: float) -> float:
        """The arrival rate plus its rise over the last `scale_trend`, which is expected to go on (design 9.3)."""
        self._past_rates.append((now, rate))
        while len(self._past_rates) > 1 and now - self._past_rates[1][0] >= self._tuning["scale_trend"]:
            self._past_rates.popleft()
        _, earlier_rate = self._past_rates[0]
        return rate + max(0.0, rate - earlier_rate)

    def update_service_time(self, *, use: float, ready: int, daemons: int, completions: float, slots: float = 1) -> float | None:
        """Work out 1/mu in seconds (design 9.4): by use, else by latency while use is low, else as it was.

        Use says how long a request takes up a whole replica; latency how long it takes up one of its slots, so that it is
        divided by them (docs/paper.md).

        :param use: mean share of the ready replicas' time that is used, 0 to 1.
        :param completions: a second, at this daemon.
        """
        if use > 0 and completions > 0 and ready:
            self.service_time = use * ready / (daemons * completions)
        elif self.completions and use < self._tuning["scale_idle"]:
            self.service_time = sum(seconds for _, seconds in self.completions) / len(self.completions) / slots
        return self.service_time

    def required_replicas(
        self, *, arrival_rate: float, service_time: float, replicas: int, latency_target: float, room: int
    ) -> RequiredReplicas:
        """The number of replicas that the chain asks for (design 9.2); times in seconds."""
        return smallest_sufficient(
            lam=arrival_rate,
            mu=1 / service_time,
            replicas=replicas,
            latency_target=latency_target,
            room=room,
            fan_out=self._tuning["scale_fan"],
            max_load=self._tuning["scale_top"],
            fallback_load=self._tuning["scale_fall"],
            flow=self._tuning["scale_flow"],
        )

    def hold(self, now: timedelta, required: int) -> int:
        """The number to act on (design 9.5): up at once; down only to what was enough all through `scale_hold`."""
        if required >= self.held_count:
            self.held_count = required
            self._lower = None
            return self.held_count
        if self._lower is None:
            self._lower = LowerCount(now, required)
        self._lower = LowerCount(self._lower.since, max(self._lower.largest, required))
        if now - self._lower.since >= self._tuning["scale_hold"]:
            self.held_count = self._lower.largest
            self._lower = None
        return self.held_count
