"""Bounds for the published requirement of a region, derived from the load that its replicas report (design 16.5).

The arrivals at one daemon are a small sample of those of a large fleet, and the requirement that the Markov chain derives from a
sample fluctuates. The reports cover the whole region: how much work its replicas do together, and whether requests queue there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from math import ceil
from typing import Any, NamedTuple, Protocol

SATURATION_QUEUE_LENGTH = 1.0
"""Mean number of queued requests per replica from which on a region's replicas count as saturated."""

MIN_SATURATION_UTILIZATION = 0.25
"""Lowest utilization taken for saturation. Long prompts, for example, can saturate a replica that uses few of its slots."""

SATURATION_RECOVERY = 0.002
"""Increase of the saturation utilization with each sample, until it is back at 1."""

MAX_GROWTH_FACTOR = 1.5
"""Limit for the requirement of a saturated region, as a multiple of its ready replicas. More is seen once the new ones serve."""

ROUNDING_TOLERANCE = 1e-9
"""Floating-point error that a quotient may have without being rounded up."""


class ReportedLoad(Protocol):
    """The fields of a replica's load report that are used here."""

    @property
    def active(self) -> int:
        """Running requests."""

    @property
    def queued(self) -> int:
        """Queued requests."""

    @property
    def slots(self) -> int:
        """The number of requests that the replica runs concurrently."""


class LoadSample(NamedTuple):
    """The load of the region's ready replicas at one time.

    :ivar busy: used slots, expressed as a number of whole replicas.
    :ivar queued: mean number of queued requests per replica.
    """

    at: timedelta
    busy: float
    queued: float


class LoadBounds:
    """Bounds for the requirement of one service in the region.

    :ivar saturation_utilization: the share of used slots at which requests were last seen to queue; it recovers slowly to 1.
    """

    __slots__ = ("_ready_replicas", "_samples", "_tuning", "saturation_utilization")

    def __init__(self, *, tuning: Mapping[str, Any]) -> None:
        self._tuning = tuning
        self._samples: deque[LoadSample] = deque()
        self._ready_replicas = 0
        self.saturation_utilization = 1.0

    def add_sample(self, now: timedelta, loads: Iterable[ReportedLoad]) -> None:
        """Add a sample of the loads of the service's ready replicas in the region."""
        loads = list(loads)
        self._ready_replicas = len(loads)
        slots = max(1, sum(load.slots for load in loads))
        utilization = min(1.0, sum(load.active for load in loads) / slots)
        queued = sum(load.queued for load in loads) / max(1, self._ready_replicas)
        self._samples.append(LoadSample(now, utilization * self._ready_replicas, queued))
        while now - self._samples[0].at > self._tuning["scale_trend"]:
            self._samples.popleft()
        self.saturation_utilization = min(1.0, self.saturation_utilization + SATURATION_RECOVERY)
        if self._is_saturated(now):
            self.saturation_utilization = max(MIN_SATURATION_UTILIZATION, min(self.saturation_utilization, utilization))

    def clamp(self, now: timedelta, required: int) -> int:
        """Return the requirement, limited to the range in which the load of one replica is at most `scale_top` and at least `scale_fall`.

        The upper limit of a saturated region is at least `MAX_GROWTH_FACTOR` times its ready replicas.

        Without a ready replica there is no load to judge by, and the requirement is returned unchanged.
        """
        if not self._ready_replicas:
            return required
        replicas = self._projected_busy_replicas(now) / self.saturation_utilization
        lower_bound: int = ceil(replicas / self._tuning["scale_top"] - ROUNDING_TOLERANCE)
        upper_bound: int = max(lower_bound, ceil(replicas / self._tuning["scale_fall"] - ROUNDING_TOLERANCE))
        if self._is_saturated(now):
            upper_bound = max(upper_bound, ceil(self._ready_replicas * MAX_GROWTH_FACTOR))
        return max(lower_bound, min(required, upper_bound))

    def _recent_samples(self, now: timedelta) -> list[LoadSample]:
        return [sample for sample in self._samples if now - sample.at < self._tuning["need_window"]]

    def _projected_busy_replicas(self, now: timedelta) -> float:
        """Return the mean over `need_window` plus its increase since the oldest samples, which is expected to continue (design 9.3)."""
        recent = self._recent_samples(now)
        mean = sum(sample.busy for sample in recent) / max(1, len(recent))
        oldest = [sample.busy for sample in self._samples if now - sample.at > self._tuning["scale_trend"] - self._tuning["need_window"]]
        return mean + max(0.0, mean - sum(oldest) / len(oldest)) if oldest else mean

    def _is_saturated(self, now: timedelta) -> bool:
        recent = self._recent_samples(now)
        return sum(sample.queued for sample in recent) >= SATURATION_QUEUE_LENGTH * max(1, len(recent))
