"""Which requests a leaving daemon still sends on (design 15.9): those that are known, or can be expected, to end in time."""

from datetime import timedelta

from ..runtime.effects import ZERO

WINDOW = timedelta(seconds=10)  # the slowest answers are remembered for one to two of these
ELSEWHERE = 0.1  # seconds until a request that a leaving daemon refuses may come back: another daemon takes it
SAFETY = 1.25  # an answer that must end in time may take so many times as long as the slowest lately


class Slowest:
    """The longest and the slowest for its work (the seconds for each unit of it) of a route's answers."""

    __slots__ = ("longest", "pace")

    def __init__(self):
        self.longest, self.pace = ZERO, ZERO

    def add(self, took, work):
        self.longest, self.pace = max(self.longest, took), max(self.pace, took / work)

    def expected(self, work):
        """How long an answer of so much work takes at most, by what was seen."""
        return min(self.longest, self.pace * work)


class Durations:
    """How long the requests of each route took lately, from their arrival to the end of their answer."""

    def __init__(self):
        self.recent, self.before, self.turned_at = {}, {}, ZERO

    def ended(self, now, route, took, work):
        """A request of this route (its name) and so much work (tokens, weighed) was answered whole after so long."""
        if now - self.turned_at >= WINDOW:
            self.before = self.recent if now - self.turned_at < 2 * WINDOW else {}
            self.recent, self.turned_at = {}, now
        self.recent.setdefault(route, Slowest()).add(took, work)

    def expected(self, now, route, work):
        """How long a request of this route takes at most, by what was seen lately; None: nothing was."""
        since = now - self.turned_at
        tables = (self.recent, self.before) if since < WINDOW else (self.recent,) if since < 2 * WINDOW else ()
        return max((table[route].expected(work) for table in tables if route in table), default=None)


class Departure:
    """What a daemon knows of its own end; a daemon that stays has none and takes everything."""

    def __init__(self):
        self.durations, self.streams_until, self.answer_at, self.end_at = Durations(), None, None, None

    def begin(self, *, streams_until, answer_at, end_at):
        """The daemon leaves: see `leaving.Timetable`."""
        self.streams_until, self.answer_at, self.end_at = streams_until, answer_at, end_at

    @property
    def begun(self):
        return self.answer_at is not None

    def due(self, due, route):
        """The deadline of a request, no later than the daemon's own end: a stream may run on until it, another answer is given before."""
        if self.answer_at is None:
            return due
        return min(due, self.end_at if route["kind"] == "streaming" else self.answer_at)

    def may_start(self, now, *, route, due, work, running):
        """May a request of this route be sent to a replica now?

        due: its own deadline. work: its tokens, weighed. running: (how long it has taken so far, its work) of each request of this
        route that is under way. An answer that is given as it comes (a stream) can't be taken back: late in a departure it starts only
        if its deadline comes before our end.
        """
        if self.answer_at is None or due <= self.answer_at:
            return True
        stream = route["kind"] == "streaming"
        if stream and now > self.streams_until:
            return False
        expected = self.durations.expected(now, route["name"], work)
        if expected is None:
            return False
        present = Slowest()
        for took, its_work in running:
            present.add(took, its_work)
        expected = max(expected, present.expected(work))
        return now + expected * (1 if stream else SAFETY) <= self.answer_at
