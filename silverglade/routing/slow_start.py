"""What a cold replica gets from a fleet whose daemons send each other no word about it (design 16.2).

It bears per_s requests a second from all daemons together. Each daemon takes a share that
follows from the names of the edge daemons and the replica's id alone. Shares only fall when
names are added, so the sum keeps the bound as long as every daemon that sends knows at least
all the others that send. Hence names are remembered long, and a daemon that has just started
or thawed sends nothing until the others must know it and it must know them.
"""

from collections import deque
from datetime import timedelta
from math import floor

from ..membership.rendezvous import rank_nodes

SEC = timedelta(seconds=1)


def share(*, per_s, replica, me, members):
    """Requests a second that `me` may send to a cold replica; over all members at most per_s."""
    n, all_ = len(members), floor(per_s + 1e-9)
    if me not in members or all_ < 1:
        return 0
    each, more = divmod(all_, n)
    return each + (me in rank_nodes(replica, members)[:more]) if more else each


class Cold:
    def __init__(self, *, opt, born=None):
        self.opt, self.born = opt, born
        self.names = {}  # daemon -> when it was last known
        self.all, self.last = frozenset(), None  # the same names; (when, members) looked at last
        self.sent = {}  # replica -> times of the last second's requests
        self.was = {}  # replica -> (per_s while it was cold, when it turned warm)
        self.held = {}  # replica -> (per_s, members, share), worked out once

    def knew(self, now, members):
        """The edge daemons known now, none given: as before. Also to be called when the roll changes."""
        if self.born is None:
            self.born = now
        old = self.last
        members = frozenset(members) or (old[1] if old else frozenset())
        if old and now - old[0] < SEC and members == old[1]:
            return
        self.last = (now, members)
        self.names.update(dict.fromkeys(members, now))
        self.names = {i: t for i, t in self.names.items() if now - t <= self.opt["cold_recall"]}
        self.all = frozenset(self.names)

    def froze(self, now):
        """Others may have forgotten this daemon: settle anew."""
        self.born = now

    def mine(self, replica, per_s, me):
        if self.all == {me}:  # alone, or cut off since the start: who can tell
            return min(1, floor(per_s + 1e-9))
        old = self.held.get(replica)
        if not old or old[:2] != (per_s, self.all):
            n = share(per_s=per_s, replica=replica, me=me, members=self.all)
            old = self.held[replica] = (per_s, self.all, n)
        return old[2]

    def may(self, now, replica, *, per_s, me, members):
        """May a request go to the replica now? True: it is counted. per_s None: it is warm."""
        self.knew(now, members)
        if per_s is None:
            return self.ramp(now, replica, me)
        self.was[replica] = (per_s, None)
        if now - self.born < self.opt["cold_settle"]:
            return False
        return self.count(now, replica, self.mine(replica, per_s, me))

    def count(self, now, replica, most):
        d = self.sent.setdefault(replica, deque())
        while d and now - d[0] >= SEC:
            d.popleft()
        if len(d) >= most:
            return False
        d.append(now)
        return True

    def ramp(self, now, replica, me):
        """A replica that has just turned warm: its cold share for a second, then twice that each half second."""
        if replica not in self.was:
            return True
        per_s, at = self.was[replica]
        at = at or now
        self.was[replica] = (per_s, at)
        if now - at >= self.opt["cold_ramp"]:
            for held in (self.was, self.sent, self.held):
                held.pop(replica, None)
            return True
        turns = max(0, (now - at - SEC) // (SEC / 2) + 1)
        base = self.mine(replica, per_s, me)
        return self.count(now, replica, max(1, base) * 2**turns if turns else base)

    def forget(self, replicas):
        """Keeps what is held of these replicas only."""
        for held in (self.was, self.sent, self.held):
            for r in [r for r in held if r not in replicas]:
                del held[r]
