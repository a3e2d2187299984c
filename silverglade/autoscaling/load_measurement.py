"""Load measurement and scale-down hold shared by both scalers (design 9.3 to 9.5)."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, NamedTuple

from .markov_chain import RequiredReplicas, smallest_sufficient

SECOND = timedelta(seconds=1)


class Rates(NamedTuple):
    """Arrivals and completions per second."""

    arrivals: float
    completions: float


class PendingDecrease(NamedTuple):
    """A decrease that is not applied yet: when it first became possible, and the largest requirement since."""

    since: timedelta
    largest: int


class LoadMeasurement:
    """Recent requests of one kind or for one service at this daemon, and the number of replicas that they require.

    :ivar arrivals: arrival times.
    :ivar completions: (time, duration in seconds) of each finished request.
    :ivar service_time: the last estimate of 1/mu in seconds, or None.
    :ivar held_count: the number of replicas in effect.
    """

    __slots__ = ("_pending_decrease", "_past_rates", "_tuning", "arrivals", "completions", "held_count", "service_time")

    def __init__(self, tuning: Mapping[str, Any]) -> None:
        self._tuning = tuning
        self.arrivals: deque[timedelta] = deque()
        self.completions: deque[tuple[timedelta, float]] = deque()
        self.service_time: float | None = None
        self.held_count = 0
        self._past_rates: deque[tuple[timedelta, float]] = deque()
        self._pending_decrease: PendingDecrease | None = None

    def rates(self, now: timedelta, window: timedelta, completion_window: timedelta | None = None) -> Rates:
        """Return the rates over a window; completions are counted over `completion_window` if it is given."""
        completion_window = completion_window or window
        while self.arrivals and now - self.arrivals[0] >= window:
            self.arrivals.popleft()
        while self.completions and now - self.completions[0][0] >= completion_window:
            self.completions.popleft()
        return Rates(len(self.arrivals) / (window / SECOND), len(self.completions) / (completion_window / SECOND))

    def projected_rate(self, now: timedelta, rate: float) -> float:
        """Return the arrival rate plus its increase over the last `scale_trend`, which is expected to continue (design 9.3)."""
        self._past_rates.append((now, rate))
        while len(self._past_rates) > 1 and now - self._past_rates[1][0] >= self._tuning["scale_trend"]:
            self._past_rates.popleft()
        _, earlier_rate = self._past_rates[0]
        return rate + max(0.0, rate - earlier_rate)

    def update_service_time(self, *, utilization: float, ready: int, daemons: int, completions: float, slots: float = 1) -> float | None:
        """Update and return the estimate of 1/mu in seconds (design 9.4).

        It is derived from utilization; while utilization is low, from latency; otherwise it stays as it was. Utilization yields the
        time for which a request occupies a whole replica. Latency yields the time for which it occupies one slot, and is therefore
        divided by the number of slots (docs/paper.md).

        :param utilization: mean share of the ready replicas' time that is used, 0 to 1.
        :param completions: completions per second at this daemon.
        """
        if utilization > 0 and completions > 0 and ready:
            self.service_time = utilization * ready / (daemons * completions)
        elif self.completions and utilization < self._tuning["scale_idle"]:
            self.service_time = sum(seconds for _, seconds in self.completions) / len(self.completions) / slots
        return self.service_time

    def required_replicas(
        self, *, arrival_rate: float, service_time: float, replicas: int, latency_target: float, room: int
    ) -> RequiredReplicas:
        """Return the number of replicas that the chain requires (design 9.2); times are in seconds."""
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
        """Return the number to act on (design 9.5).

        It increases at once, and decreases only to a number that was sufficient throughout `scale_hold`.
        """
        if required >= self.held_count:
            self.held_count = required
            self._pending_decrease = None
            return self.held_count
        if self._pending_decrease is None:
            self._pending_decrease = PendingDecrease(now, required)
        self._pending_decrease = PendingDecrease(self._pending_decrease.since, max(self._pending_decrease.largest, required))
        if now - self._pending_decrease.since >= self._tuning["scale_hold"]:
            self.held_count = self._pending_decrease.largest
            self._pending_decrease = None
        return self.held_count
