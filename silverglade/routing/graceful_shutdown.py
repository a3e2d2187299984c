"""Graceful shutdown (design 15.9): a stopping daemon still forwards requests that are known or expected to end in time."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from ..runtime.effects import ZERO
from .route_table import Route

WINDOW = timedelta(seconds=10)
"""The slowest responses are kept for one to two windows."""
RETRY_ELSEWHERE_S = 0.1
"""Retry delay in seconds for a request refused during shutdown; another daemon takes it."""
SAFETY_FACTOR = 1.25
"""Allowance for a non-streaming response: it may take this many times as long as the slowest recent one."""


class SlowestResponses:
    """The longest response time of a route, in total and per unit of work.

    :ivar longest: time from a request's arrival to the end of its response.
    :ivar per_work: the same divided by the request's work.
    """

    __slots__ = ("longest", "per_work")

    def __init__(self) -> None:
        self.longest = ZERO
        self.per_work = ZERO

    def add(self, took: timedelta, work: float) -> None:
        """Add one response."""
        self.longest = max(self.longest, took)
        self.per_work = max(self.per_work, took / work)

    def expected(self, work: float) -> timedelta:
        """Return the expected upper bound of the response time for this much work, which may be as large as a client states."""
        if not self.per_work or work >= self.longest / self.per_work:
            return self.longest
        return self.per_work * work


class ResponseTimes:
    """Recent response times of each route, from a request's arrival to the end of its response.

    :ivar recent: route to its slowest responses since `window_began_at`.
    :ivar previous: the same for the window before.
    """

    def __init__(self) -> None:
        self.recent: dict[str, SlowestResponses] = {}
        self.previous: dict[str, SlowestResponses] = {}
        self.window_began_at = ZERO

    def add(self, now: timedelta, route: str, took: timedelta, work: float) -> None:
        """Add a complete response of this route with its response time and work (weighted tokens)."""
        if now - self.window_began_at >= WINDOW:
            self.previous = self.recent if now - self.window_began_at < 2 * WINDOW else {}
            self.recent = {}
            self.window_began_at = now
        self.recent.setdefault(route, SlowestResponses()).add(took, work)

    def expected(self, now: timedelta, route: str, work: float) -> timedelta | None:
        """Return the expected upper bound of the response time, or None without a recent response of the route."""
        age = now - self.window_began_at
        tables: tuple[dict[str, SlowestResponses], ...] = ()
        if age < WINDOW:
            tables = (self.recent, self.previous)
        elif age < 2 * WINDOW:
            tables = (self.recent,)
        return max((table[route].expected(work) for table in tables if route in table), default=None)


class GracefulShutdown:
    """Limits on requests during a daemon's shutdown; before it there are none.

    :ivar response_times: recent response times.
    :ivar streams_until: until then new streams are accepted; None before the shutdown, like the two below.
    :ivar answer_at: by then all non-streaming requests must be answered.
    :ivar end_at: when the daemon ends.
    """

    def __init__(self) -> None:
        self.response_times = ResponseTimes()
        self.streams_until: timedelta | None = None
        self.answer_at: timedelta | None = None
        self.end_at: timedelta | None = None

    def begin(self, *, streams_until: timedelta, answer_at: timedelta, end_at: timedelta) -> None:
        """Start the shutdown with its times (runtime/shutdown_timetable.py)."""
        self.streams_until = streams_until
        self.answer_at = answer_at
        self.end_at = end_at

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has started."""
        return self.answer_at is not None

    def deadline(self, deadline: timedelta, route: Route) -> timedelta:
        """Return a request's deadline, limited by the shutdown: `end_at` for a stream, `answer_at` for all others."""
        if self.answer_at is None or self.end_at is None:
            return deadline
        return min(deadline, self.end_at if route["kind"] == "streaming" else self.answer_at)

    def may_start(
        self,
        now: timedelta,
        *,
        route: Route,
        deadline: timedelta,
        work: float,
        running: Iterable[tuple[timedelta, float]],
    ) -> bool:
        """Return whether a request of this route may be sent to a replica now.

        A stream that has begun cannot be answered otherwise: after `streams_until` one is started only if its deadline is not
        after `answer_at`.

        :param deadline: the request's own deadline.
        :param work: its weighted tokens.
        :param running: elapsed time and work of each open request of this route.
        """
        if self.answer_at is None or deadline <= self.answer_at:
            return True
        is_stream = route["kind"] == "streaming"
        if is_stream and self.streams_until is not None and now > self.streams_until:
            return False
        expected = self.response_times.expected(now, route["name"], work)
        if expected is None:
            return False
        open_responses = SlowestResponses()
        for took, its_work in running:
            open_responses.add(took, its_work)
        expected = max(expected, open_responses.expected(work))
        return now + expected * (1 if is_stream else SAFETY_FACTOR) <= self.answer_at
