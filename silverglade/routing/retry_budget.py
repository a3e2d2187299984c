"""Further tries in a fleet whose daemons send each other no word about them (design 16.1).

The rule, summed over all daemons: in every sliding window the arrivals beyond the first of
each request are at most ratio times the requests plus slack. Requests may be counted in that
window, in the one before it, or in the one half a window before, whichever has most. Which
one has, a daemon alone cannot know. So each daemon keeps, for every window still open, its
own extras to ratio times one fixed mix of its own three counts. The mix is linear: summed
over daemons it is never more than the largest of the three sums. A daemon that starts anew
needs no memory for that part; of the slack it spends its share only after a window of life,
when no window can hold what an earlier life of it spent.
"""

from bisect import bisect_left
from collections import deque
from itertools import accumulate

SLOTS = 40  # of a window
HALF = SLOTS // 2
MIX = (0.5, 0.25, 0.25)  # of the window before, half a window before, the window itself: sums to 1


class Budget:
    """Counts stand in slots; each is rounded against the spender, with one slot for delays on the way."""

    def __init__(self, *, opt, born=None):
        self.opt, self.born = opt, born
        self.slot = opt["budget_window"] / SLOTS
        self.asks, self.extras = {}, {}  # service -> deque of [slot, count]
        self.fleet = deque()  # (time, daemons), counts falling

    def at(self, now):
        if self.born is None:
            self.born = now
        return now // self.slot

    def came(self, now, service):
        """One request for the service came from a client here (once, however often it is tried)."""
        put(self.asks, service, self.at(now))

    def known(self, now, daemons):
        """-> the most edge daemons known lately, `daemons` of them now."""
        while self.fleet and self.fleet[-1][1] <= daemons:
            self.fleet.pop()
        self.fleet.append((now, daemons))
        while now - self.fleet[0][0] > self.opt["budget_recall"]:
            self.fleet.popleft()
        return self.fleet[0][1]

    def share(self, now, daemons):
        """This daemon's part of the slack: none in its first window, none without a known fleet."""
        most = self.known(now, daemons)
        if most < 1 or now - self.born < self.opt["budget_window"] + 3 * self.slot:
            return 0.0
        return self.opt["budget_slack"] * self.opt["budget_slack_part"] / most

    def spend(self, now, service, *, daemons):
        """May one arrival beyond the first be sent now? True: it is counted."""
        k = self.at(now)
        part = self.opt["budget_ratio"] * self.opt["budget_ratio_part"]
        share = self.share(now, daemons)
        asks = self.asks.get(service, ())
        slots, sums = [i for i, _ in asks], [0, *accumulate(n for _, n in asks)]

        def asked(a, b):
            """Requests of slots a to b."""
            return sums[bisect_left(slots, max(a, b + 1))] - sums[bisect_left(slots, a)] if b >= a else 0

        todo, mine = list(self.extras.get(service, ())), 1
        for s in range(k + 1, k - SLOTS - 1, -1):  # windows that begin within slot s
            while todo and todo[-1][0] >= s - 1:
                mine += todo.pop()[1]
            mix = MIX[0] * asked(s - SLOTS + 2, s - 1) + MIX[1] * asked(s - HALF + 2, s + HALF - 1) + MIX[2] * asked(s + 2, s + SLOTS - 1)
            if mine > part * mix + share:
                return False
        put(self.extras, service, k)
        return True


def put(held, service, k):
    d = held.setdefault(service, deque())
    if d and d[-1][0] == k:
        d[-1][1] += 1
    else:
        d.append([k, 1])
    while d[0][0] < k - 3 * SLOTS:
        d.popleft()
