"""Which requests a leaving daemon still sends on (design 15.9): those that are known, or can be expected, to end in time."""

from datetime import timedelta

from ..part import ZERO

WINDOW = timedelta(seconds=30)  # the longest answers are remembered for one to two of these
ELSEWHERE = 0.1  # seconds until a request that a leaving daemon refuses may come back: another daemon takes it
SAFETY = 1.25  # an answer may take so many times as long as the longest lately


class Durations:
    """The longest that the requests of each route took lately, from their arrival to the end of their answer."""

    def __init__(self):
        self.recent, self.before, self.turned_at = {}, {}, ZERO

    def ended(self, now, route, took):
        """A request of this route (its name) was answered whole after so long."""
        if now - self.turned_at >= WINDOW:
            self.before = self.recent if now - self.turned_at < 2 * WINDOW else {}
            self.recent, self.turned_at = {}, now
        self.recent[route] = max(took, self.recent.get(route, ZERO))

    def longest(self, now, route):
        """The longest of that route lately; None if none ended lately."""
        since = now - self.turned_at
        tables = (self.recent, self.before) if since < WINDOW else (self.recent,) if since < 2 * WINDOW else ()
        return max((table[route] for table in tables if route in table), default=None)


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

    def may_start(self, now, *, route, due, running):
        """May a request of this route be sent to a replica now?

        due: its own deadline. running: how long the requests of this route that are under way have taken so far. An answer that
        is given as it comes (a stream) can't be taken back: late in a departure it starts only if its deadline comes before our end.
        """
        if self.answer_at is None or due <= self.answer_at:
            return True
        if route["kind"] == "streaming" and now > self.streams_until:
            return False
        longest = self.durations.longest(now, route["name"])
        if longest is None:
            return False
        return now + max(longest, max(running, default=ZERO)) * SAFETY <= self.answer_at
