"""The retry budget (design 7.5): the fleet's, in shares that owners know through the roster."""

from collections import deque

from ..membership.member import ID, extra


class RetryBudget:
    """An owner's part of it.

    Fresh orders and retries are counted where every order comes by: at its tenant's owner. Half of
    an owner's allowance goes by its own fresh orders, half by the fleet's and the part of the
    shards that it owns; over all owners that adds up to `share` of the fleet's fresh orders.
    """

    def __init__(self, *, me, opt):
        self.me, self.opt, self.log, self.n = me, opt, deque(), {"fresh": 0, "again": 0}
        self.total = {"fresh": 0, "again": 0, "refused": 0}
        self.others = {}  # daemon -> (fresh, again, when heard)

    def _add(self, now, kind):
        self.log.append((now, kind))
        self.n[kind] += 1
        self.total[kind] += 1

    def trim(self, now):
        while self.log and now - self.log[0][0] > self.opt["retry_window"]:
            self.n[self.log.popleft()[1]] -= 1
        self.others = {i: o for i, o in self.others.items() if now - o[2] <= self.opt["retry_window"]}

    def hear(self, now, roll):
        """What the others counted; of one that died, what it said last counts on for a window."""
        for r in roll:
            p = extra(r, "pace")
            if r[ID] != self.me and type(p) is tuple and len(p) >= 2 and all(type(x) is int for x in p):
                self.others[r[ID]] = (p[0], p[1], now)

    def fresh(self, now):
        self.trim(now)
        self._add(now, "fresh")

    def take(self, now, share, part):
        """One retry, where I own `part` of the shards; False when there is none left."""
        self.trim(now)
        fleet = self.n["fresh"] + sum(o[0] for o in self.others.values())
        gone = self.n["again"] + sum(o[1] for o in self.others.values())
        mine = share * (self.n["fresh"] + fleet * part) / 2
        if self.n["again"] + 1 > mine or gone + 1 > share * fleet:
            self.total["refused"] += 1
            return False
        self._add(now, "again")
        return True
