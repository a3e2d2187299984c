"""Which requests a daemon that shuts down still sends on (design 15.9): those that are known, or can be expected, to end in time."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from ..runtime.effects import ZERO
from .route_table import Route

WINDOW = timedelta(seconds=10)
"""The slowest responses are remembered for one to two of these."""
RETRY_ELSEWHERE_S = 0.1
"""Seconds until a request that a daemon refuses at its end may come back: another daemon takes it."""
SAFETY_FACTOR = 1.25
"""A response that must end in time may take so many times as long as the slowest lately."""


class SlowestResponses:
    """The longest response of a route, and the slowest one for its work.

    :ivar longest: from a request's arrival to the end of its response.
    :ivar per_work: the same for each unit of work.
    """

    __slots__ = ("longest", "per_work")

    def __init__(self) -> None:
        self.longest = ZERO
        self.per_work = ZERO

    def add(self, took: timedelta, work: float) -> None:
        """Count one response."""
        self.longest = max(self.longest, took)
        self.per_work = max(self.per_work, took / work)

    def expected(self, work: float) -> timedelta:
        """How long a response of so much work takes at most, by what was seen."""
        return min(self.longest, self.per_work * work)


class ResponseTimes:
    """How long the requests of each route took lately, from their arrival to the end of their response.

    :ivar recent: route to its slowest responses since `window_began_at`.
    :ivar previous: the same of the window before.
    """

    def __init__(self) -> None:
        self.recent: dict[str, SlowestResponses] = {}
        self.previous: dict[str, SlowestResponses] = {}
        self.window_began_at = ZERO

    def add(self, now: timedelta, route: str, took: timedelta, work: float) -> None:
        """Count a request of this route and so much work (weighed tokens) that was answered in full after so long."""
        if now - self.window_began_at >= WINDOW:
            self.previous = self.recent if now - self.window_began_at < 2 * WINDOW else {}
            self.recent = {}
            self.window_began_at = now
        self.recent.setdefault(route, SlowestResponses()).add(took, work)

    def expected(self, now: timedelta, route: str, work: float) -> timedelta | None:
        """How long a request of this route takes at most, by what was seen lately; None: nothing was."""
        age = now - self.window_began_at
        tables: tuple[dict[str, SlowestResponses], ...] = ()
        if age < WINDOW:
            tables = (self.recent, self.previous)
        elif age < 2 * WINDOW:
            tables = (self.recent,)
        return max((table[route].expected(work) for table in tables if route in table), default=None)


class GracefulShutdown:
    """What a daemon knows of its own end; one that goes on takes everything.

    :ivar response_times: how long requests took lately.
    :ivar streams_until: new streams are taken until then; None before the shutdown, as the two below.
    :ivar answer_at: by then what is no stream is answered.
    :ivar end_at: the daemon's end.
    """

    def __init__(self) -> None:
        self.response_times = ResponseTimes()
        self.streams_until: timedelta | None = None
        self.answer_at: timedelta | None = None
        self.end_at: timedelta | None = None

    def begin(self, *, streams_until: timedelta, answer_at: timedelta, end_at: timedelta) -> None:
        """Note the moments of the shutdown (runtime/shutdown_timetable.py)."""
        self.streams_until = streams_until
        self.answer_at = answer_at
        self.end_at = end_at

    @property
    def has_begun(self) -> bool:
        """Whether the daemon was told to stop."""
        return self.answer_at is not None

    def deadline(self, deadline: timedelta, route: Route) -> timedelta:
        """The deadline of a request, no later than the daemon's own end: a stream may run on until it, all else is answered before."""
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
        """Whether a request of this route may be sent to a replica now.

        A response that is handed on as it comes (a stream) can't be taken back: late in a shutdown it starts only
        if its deadline comes before our end.

        :param deadline: the request's own.
        :param work: its weighed tokens.
        :param running: how long it has taken so far, and its work, of each request of this route that is under way.
        """
        if self.answer_at is None or deadline <= self.answer_at:
            return True
        is_stream = route["kind"] == "streaming"
        if is_stream and self.streams_until is not None and now > self.streams_until:
            return False
        expected = self.response_times.expected(now, route["name"], work)
        if expected is None:
            return False
        under_way = SlowestResponses()
        for took, its_work in running:
            under_way.add(took, its_work)
        expected = max(expected, under_way.expected(work))
        return now + expected * (1 if is_stream else SAFETY_FACTOR) <= self.answer_at
