"""What a cold replica gets from a fleet whose daemons send each other no word about it (design 16.2).

It bears per_s requests a second from all daemons together. Each daemon takes a share that
follows from the names of the edge daemons and the replica's id alone. Shares only fall when
names are added, so the sum keeps the bound as long as every daemon that sends knows at least
all the others that send. Hence names are remembered long, and a daemon that has just started
or thawed sends nothing until the others must know it and it must know them.

A replica that is thought warm may have turned cold a moment ago; the list says so late, and to a daemon
that is cut off never. So what it would bear if it were cold (per_s times the rule's excess, and its
slack) is dealt out to all daemons too, two parts to each of the replica's region for one to each other:
within its part a daemon sends at any time, whoever knows what. Beyond its part it sends only while no other
replica has room in its own, and only while it hears from those who read the list.
"""

from collections import deque
from datetime import timedelta
from math import floor

from ..rank import ranked

SEC = timedelta(seconds=1)
FEW = 2  # requests: a part below this is counted over more than a second


def share(*, per_s, replica, me, members):
    """Requests a second that `me` may send to a cold replica; over all members at most per_s."""
    n, all_ = len(members), floor(per_s + 1e-9)
    if me not in members or all_ < 1:
        return 0
    each, more = divmod(all_, n)
    return each + (me in ranked(replica, members)[:more]) if more else each


def deal(*, units, replica, me, near, far):
    """Whole requests a second that `me` may send to a replica of which nothing is known; over all daemons `units`.

    Dealt out one by one: to those of its region, to the others, to those of its region again, and so on. With more
    names everybody's turns only come later, so parts only fall.
    """
    near, far = ranked(replica, tuple(near)), ranked(replica, tuple(far))
    turns = (*near, *far, *near)
    if me not in turns:
        return 0
    rounds, rest = divmod(units, len(turns))
    return rounds * turns.count(me) + turns[:rest].count(me)


class Cold:
    def __init__(self, *, opt, born=None):
        self.opt, self.born = opt, born
        self.names = {}  # daemon -> when it was last known
        self.all, self.last = frozenset(), None  # the same names; (when, members) looked at last
        self.sent = {}  # replica -> times of requests, for as long as they count
        self.was = {}  # replica -> (per_s while it was cold, when it turned warm)
        self.held = {}  # replica -> (per_s, members, share), worked out once
        self.regions = {}  # daemon -> its region, of those in `names`
        self.parts = {}  # replica -> (bound, members, (most, time for it)), worked out once

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

    def placed(self, regions):
        """Which region each daemon is in, also of those that were known before."""
        self.regions = {i: r for i, r in {**self.regions, **regions}.items() if i in regions or i in self.names}

    def froze(self, now):
        """Others may have forgotten this daemon: settle anew."""
        self.born = now

    def settled(self, now):
        """Must the others know this daemon by now, and it them?"""
        return self.born is not None and now - self.born >= self.opt["cold_settle"]

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
        if not self.settled(now):
            return False
        return self.count(now, replica, self.mine(replica, per_s, me))

    def count(self, now, replica, most):
        return self.lately(now, replica) < most and self.note(now, replica)

    def ramp(self, now, replica, me):
        """A replica that has just turned warm: its cold share for a second, then twice that each half second."""
        if replica not in self.was:
            return self.note(now, replica)
        per_s, at = self.was[replica]
        at = at or now
        self.was[replica] = (per_s, at)
        if now - at >= self.opt["cold_ramp"]:
            for held in (self.was, self.held):
                held.pop(replica, None)
            return self.note(now, replica)
        turns = max(0, (now - at - SEC) // (SEC / 2) + 1)
        base = self.mine(replica, per_s, me)
        return self.count(now, replica, max(1, base) * 2**turns if turns else base)

    def part(self, replica, *, bound, region, me):
        """-> (requests, in so long) that this daemon may send to a replica whoever knows whether it is cold.

        In a large fleet its part is less than a request a second: then it is counted over a longer time.
        """
        old = self.parts.get(replica)
        if old and old[:2] == (bound, self.all):
            return old[2]
        near = [i for i in self.all if self.regions.get(i) == region]
        far = [i for i in self.all if self.regions.get(i) != region]
        most, span = deal(units=floor(bound + 1e-9), replica=replica, me=me, near=near, far=far), SEC
        if most < FEW and me in self.all:
            each = bound * (1 + (me in near)) / (2 * len(near) + len(far))
            most, span = FEW, max(SEC, SEC * FEW / each)
        self.parts[replica] = (bound, self.all, (most, span))
        return most, span

    def used(self, now, replica, *, per_s, region, me):
        """How much of its part of a replica this daemon has used: 1 is all of it."""
        most, span = self.part(replica, bound=per_s * self.opt["cold_excess"] + self.opt["cold_slack"], region=region, me=me)
        if not self.settled(now) or self.all == {me}:  # its part is not known yet
            most, span = min(most, FEW), SEC
        return self.lately(now, replica, span) / most if most else 1.0

    def lately(self, now, replica, span=SEC):
        """Requests sent to the replica within so long."""
        n = 0
        for t in reversed(self.sent.get(replica, ())):
            if now - t >= span:
                break
            n += 1
        return n

    def note(self, now, replica):
        d = self.sent.setdefault(replica, deque())
        d.append(now)
        part = self.parts.get(replica)
        span = max(SEC, part[2][1]) if part else SEC
        while now - d[0] >= span:
            d.popleft()
        return True

    def forget(self, replicas):
        """Keeps what is held of these replicas only."""
        for held in (self.was, self.sent, self.held, self.parts):
            for r in [r for r in held if r not in replicas]:
                del held[r]
