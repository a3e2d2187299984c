"""What a region's replicas report bounds what it is said to require, where replicas are ordered (design 16.5).

One daemon's arrivals are a small sample of a large fleet's, and what the chain makes of a sample swings. The reports are the whole
region's: how many replicas' work they do together, and whether requests wait there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta
from math import ceil
from typing import Any, NamedTuple, Protocol

QUEUED_UNTIL_FULL = 1.0
"""Requests that wait at a replica, in the mean, from which on a region's replicas are full."""

LEAST_FULL_USE = 0.25
"""Replicas may be full with fewer of their slots used, by long prompts for example, but not with fewer than this share."""

FULL_USE_RECOVERY = 0.002
"""By how much the use at which replicas are taken for full rises again with each look."""

MOST_GROWTH = 1.5
"""A region whose replicas are full is said to require at most so many times those that are ready: more is seen once these serve."""

ROUNDING = 1e-9
"""What a quotient may be off before it is rounded up."""


class ReportedLoad(Protocol):
    """What is looked at of a replica's load."""

    @property
    def active(self) -> int:
        """Requests that run."""

    @property
    def queued(self) -> int:
        """Requests that wait there."""

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""


class Look(NamedTuple):
    """The region's ready replicas at one time.

    :ivar busy: so many replicas' slots are used.
    :ivar queued: requests that wait, for each replica.
    """

    at: timedelta
    busy: float
    queued: float


class LoadBounds:
    """The bounds of one service's requirement in the region.

    :ivar full_use: the share of slots at which requests begin to wait, as it was met lately.
    """

    __slots__ = ("_looks", "_ready", "_tuning", "full_use")

    def __init__(self, *, tuning: Mapping[str, Any]) -> None:
        self._tuning = tuning
        self._looks: deque[Look] = deque()
        self._ready = 0
        self.full_use = 1.0

    def look(self, now: timedelta, loads: Iterable[ReportedLoad]) -> None:
        """Take the loads of the service's ready replicas in the region."""
        loads = list(loads)
        self._ready = len(loads)
        slots = max(1, sum(load.slots for load in loads))
        use = min(1.0, sum(load.active for load in loads) / slots)
        queued = sum(load.queued for load in loads) / max(1, self._ready)
        self._looks.append(Look(now, use * self._ready, queued))
        while now - self._looks[0].at > self._tuning["scale_trend"]:
            self._looks.popleft()
        self.full_use = min(1.0, self.full_use + FULL_USE_RECOVERY)
        if self._is_full(now):
            self.full_use = max(LEAST_FULL_USE, min(self.full_use, use))

    def bounded(self, now: timedelta, required: int) -> int:
        """Bound what the chain asks for: no less than bears this load at `scale_top`, no more than bears it at `scale_fall`.

        Where no replica is ready nothing is known, and the number stands.
        """
        if not self._ready:
            return required
        replicas = self._projected_busy(now) / self.full_use
        least: int = ceil(replicas / self._tuning["scale_top"] - ROUNDING)
        most: int = max(least, ceil(replicas / self._tuning["scale_fall"] - ROUNDING))
        if self._is_full(now):
            most = max(most, ceil(self._ready * MOST_GROWTH))
        return max(least, min(required, most))

    def _recent(self, now: timedelta) -> list[Look]:
        return [look for look in self._looks if now - look.at < self._tuning["need_window"]]

    def _projected_busy(self, now: timedelta) -> float:
        """The mean over `need_window`, and its rise since the oldest look, which is expected to go on (9.3)."""
        recent = self._recent(now)
        mean = sum(look.busy for look in recent) / max(1, len(recent))
        oldest = [look.busy for look in self._looks if now - look.at > self._tuning["scale_trend"] - self._tuning["need_window"]]
        return mean + max(0.0, mean - sum(oldest) / len(oldest)) if oldest else mean

    def _is_full(self, now: timedelta) -> bool:
        recent = self._recent(now)
        return sum(look.queued for look in recent) >= QUEUED_UNTIL_FULL * max(1, len(recent))
