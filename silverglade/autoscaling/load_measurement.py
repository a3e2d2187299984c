"""What both scalers measure and hold (design 9.3 to 9.5)."""

from collections import deque
from datetime import timedelta

SEC = timedelta(seconds=1)


class Gauge:
    """What one kind's orders, or one service's requests, looked like here lately."""

    def __init__(self):
        self.came, self.went = deque(), deque()  # times; (time, service seconds)
        self.past, self.mean, self.named, self.low = deque(), None, 0, None

    def rates(self, now, win, long=None):
        """-> arrivals and ends a second; ends over `long` where that is given."""
        long = long or win
        while self.came and now - self.came[0] >= win:
            self.came.popleft()
        while self.went and now - self.went[0][0] >= long:
            self.went.popleft()
        return len(self.came) / (win / SEC), len(self.went) / (long / SEC)

    def trend(self, now, lam, opt):
        """The rise over the last 10 s carried 10 s ahead (design 9.3)."""
        self.past.append((now, lam))
        while len(self.past) > 1 and now - self.past[1][0] >= opt["scale_trend"]:
            self.past.popleft()
        old = self.past[0][1]
        return lam + max(0.0, lam - old)

    def service(self, *, use, ready, count, served, opt, places=1):
        """1/mu in seconds (design 9.4): by use, else by latency while use is low.

        Use says how long a request takes up a whole replica; latency how long it takes up one of its
        `places`, so it is divided by them (docs/paper.md).
        """
        if use > 0 and served > 0 and ready:
            self.mean = use * ready / (count * served)
        elif self.went and use < opt["scale_idle"]:
            self.mean = sum(s for _, s in self.went) / len(self.went) / places
        return self.mean

    def hold(self, now, m, opt):
        """Up at once; down only to what was enough all through the hold (design 9.5)."""
        if m >= self.named:
            self.named, self.low = m, None
            return self.named
        if self.low is None:
            self.low = (now, m)
        t, top = self.low
        self.low = (t, max(top, m))
        if now - t >= opt["scale_hold"]:
            self.named, self.low = self.low[1], None
        return self.named
