"""The retry budget (design 7.5): each daemon's share over a sliding window."""
from collections import deque


class Budget:
    def __init__(self, *, opt):
        self.opt, self.log, self.n = opt, deque(), {"fresh": 0, "again": 0}
        self.total = {"fresh": 0, "again": 0, "refused": 0}

    def _add(self, now, kind):
        self.log.append((now, kind))
        self.n[kind] += 1
        self.total[kind] += 1

    def fresh(self, now):
        self._trim(now)
        self._add(now, "fresh")

    def _trim(self, now):
        while self.log and now - self.log[0][0] > self.opt["retry_window"]:
            self.n[self.log.popleft()[1]] -= 1

    def take(self, now, share):
        """One retry out of `share` of the window's fresh orders; False when there is none."""
        self._trim(now)
        if self.n["again"] + 1 > share * self.n["fresh"]:
            self.total["refused"] += 1
            return False
        self._add(now, "again")
        return True

    def dispatch(self, now):
        return self.take(now, self.opt["retry_share"])

    def visitor(self, now):
        return self.take(now, self.opt["retry_stop"])
