"""What daemons tell each other of replicas that fail their requests (design 15.10): ejection by a quorum of accusers.

A daemon of a large fleet sends a replica few requests, so alone it learns late that one hangs, and learns it with a request of
its own. Here each daemon tells the others what it met (soft state, rows of kind `SUSPECT`), and passes over a replica that enough
others accuse. One daemon's word never takes a replica from all, and all their words never take more than half of a service's
replicas in a region. After a while one daemon, the same for all, tries the replica again and acquits it if it answers.

Silence is no accusation: a busy replica is silent to some for long, and where it was one, load ejected replicas and so grew.

Pure state: no clock is read, nothing is sent. All times are timedeltas on the caller's monotonic clock.
"""

from collections import Counter
from datetime import timedelta
from typing import NamedTuple

from ..membership.rendezvous import highest_ranked
from ..runtime.effects import milliseconds, to_milliseconds

SUSPECT = "suspect"  # kind of soft state: "REPLICA DAEMON" -> (for how many ms the accusation counts,)
SOUND = (0,)  # the same row: this daemon tried the replica, which ends all that was said
QUORUM = 2  # daemons whose accusations eject a replica
HOLD, HOLD_MOST = timedelta(seconds=1), timedelta(seconds=8)  # how long an ejection lasts: doubled each time up to the most
TRIAL = timedelta(seconds=2)  # how long after an ejection one daemon alone may try the replica
CALM = timedelta(seconds=10)  # after so long without an accusation the next ejection is short again
PANIC = 2  # one of so many replicas of a service in a region may be ejected, no more


class Member(NamedTuple):
    """A daemon that forwards requests."""

    zone: str
    region: str


class Publication(NamedTuple):
    """A row of soft state of the kind `SUSPECT` that this daemon wants told to all."""

    key: str
    rank: tuple
    value: tuple | None


class Case:
    """What speaks against one replica.

    accusers: daemon -> until when its word counts; rounds: ejections so far, by which the next one's length goes; out_until,
    trial_until: of this ejection; last: when it was accused last.
    """

    __slots__ = ("accusers", "rounds", "out_until", "trial_until", "last")

    def __init__(self, now):
        self.accusers, self.rounds, self.last = {}, 0, now
        self.out_until = self.trial_until = None

    def eject(self, now):
        hold = min(HOLD_MOST, HOLD * 2 ** min(self.rounds, 8))
        self.rounds += 1
        self.out_until = now + hold
        self.trial_until = self.out_until + TRIAL

    def held(self, now):
        """Is it ejected, or on trial?"""
        return self.trial_until is not None and now < self.trial_until

    def on_trial(self, now):
        return self.held(now) and now >= self.out_until

    def settle(self):
        """It was found sound: what was said before counts no more, how often it was ejected is remembered for `CALM`."""
        self.accusers.clear()
        self.out_until = self.trial_until = None


class Suspicions:
    """One daemon's view of all accusations. Replicas are objects with `id`, `service`, `zone` and `region`."""

    def __init__(self, *, me):
        self.me, self.members, self.regions, self.cases = me, {}, set(), {}
        self.ranks = {}  # replica -> the highest number seen of this daemon's rows about it
        self.mine = {}  # replica -> until when this daemon's own word stands
        self.published = []

    def known(self, members):
        """The live daemons that forward requests: {id: Member}."""
        self.members = members
        self.regions = {m.region for m in members.values()}

    def witness(self, daemon, replica):
        """Does this daemon's word about the replica count? A region's own daemons judge it: others may be cut off from it."""
        member = self.members.get(daemon)
        return member is not None and (member.region == replica.region or replica.region not in self.regions)

    def taken(self):
        """-> the rows to publish since the last call."""
        out, self.published = self.published, []
        return out

    def publish(self, replica, value):
        self.ranks[replica] = self.ranks.get(replica, 0) + 1
        self.published.append(Publication(f"{replica} {self.me}", (self.ranks[replica],), value))

    # what this daemon meets itself
    def accuse(self, now, replica, replicas):
        """A request to it failed for no reason of the request's own. replicas: all that there are."""
        if replica.id in self.mine or not self.witness(self.me, replica):
            return
        case = self.case(now, replica.id)
        if case.held(now) and not case.on_trial(now) or self.said_enough(now, case):
            return  # known already
        peers = [r for r in replicas if r.service == replica.service and r.region == replica.region]
        if sum(r.id in self.mine for r in peers) >= max(1, len(peers) // PANIC):
            return  # one that finds most replicas ill is likely to be cut off itself
        self.mine[replica.id] = now + HOLD
        self.publish(replica.id, (to_milliseconds(HOLD),))
        self.accused(now, replica, self.me, HOLD)

    def answered(self, now, replica):
        """It answered a request of this daemon's well."""
        case = self.cases.get(replica.id)
        if case is None:
            return
        if case.on_trial(now) and self.tester(replica) == self.me:
            case.settle()
            self.mine[replica.id] = now + HOLD
            self.publish(replica.id, SOUND)
        elif case.accusers.pop(self.me, None) is not None:  # an acquittal stands until it is old: others are to hear it
            self.withdraw(replica.id)

    def withdraw(self, replica):
        if self.mine.pop(replica, None) is not None:
            self.publish(replica, None)

    # what others tell
    def told(self, now, rows, replicas):
        """Rows of soft state, {key: (rank, value)}. replicas: {id: replica}; words about others are passed over."""
        for key, (rank, value) in rows.items():
            replica, _, daemon = key.partition(" ")
            if daemon == self.me:  # an earlier life's, perhaps: mine must outrank it
                self.ranks[replica] = max(self.ranks.get(replica, 0), rank[0])
            elif replica in replicas and self.witness(daemon, replicas[replica]):
                self.word(now, replicas[replica], daemon, value)

    def word(self, now, replica, daemon, value):
        """One daemon's word about one replica."""
        if value is None:
            if replica.id in self.cases:
                self.cases[replica.id].accusers.pop(daemon, None)
        elif value == SOUND:
            if replica.id in self.cases:
                self.cases[replica.id].settle()
        elif fit(value):
            self.case(now, replica.id)
            self.accused(now, replica, daemon, min(HOLD_MOST, milliseconds(value[0])))

    def case(self, now, replica):
        return self.cases.setdefault(replica, Case(now))

    def accused(self, now, replica, accuser, hold):
        case = self.cases[replica.id]
        case.last = now
        case.accusers[accuser] = now + hold
        if case.on_trial(now) or not case.held(now) and self.quorum(now, replica, case):
            case.eject(now)

    @staticmethod
    def live_accusers(now, case):
        return [a for a, until in case.accusers.items() if now < until]

    def quorum(self, now, replica, case):
        """Enough daemons, of two zones or with one of the replica's own: those of one zone may be cut off together."""
        accusers = self.live_accusers(now, case)
        zones = {self.members[a].zone for a in accusers if a in self.members}
        return len(accusers) >= QUORUM and (len(zones) > 1 or replica.zone in zones)

    def said_enough(self, now, case):
        """Would another word of this daemon's zone add nothing?"""
        accusers = self.live_accusers(now, case)
        zones = {self.members[a].zone for a in accusers if a in self.members}
        return len(accusers) >= QUORUM and self.members[self.me].zone in zones

    # the decision
    def tester(self, replica):
        """The daemon that tries the replica after this ejection; another one after the next."""
        near = [i for i, m in self.members.items() if m.region == replica.region] or list(self.members)
        return highest_ranked(f"{replica.id} {self.cases[replica.id].rounds}", near)

    def passed_over(self, now, replicas):
        """Of these replicas of one service, the ids of those that this daemon does not choose now."""
        if not self.cases:
            return frozenset()
        counts = Counter(r.region for r in replicas)
        held = {}
        for r in replicas:
            case = self.cases.get(r.id)
            if case and case.held(now):
                held.setdefault(r.region, []).append(r)
        return frozenset(r.id for region, rs in held.items() for r in self.ejected(rs, counts[region]) if not self.mine_to_try(now, r))

    def ejected(self, held, count):
        """Of the held ones among `count` replicas of a region those that are passed over: the bound on how many."""
        held.sort(key=lambda r: (-len(self.cases[r.id].accusers), r.id))
        return held[: count // PANIC]

    def mine_to_try(self, now, replica):
        return self.cases[replica.id].on_trial(now) and self.tester(replica) == self.me

    def to_be_tried(self, now, replicas):
        """Of these the one that this daemon is to try now, or None."""
        if not self.cases:
            return None
        return next((r for r in replicas if r.id in self.cases and self.mine_to_try(now, r)), None)

    def tidy(self, now, replicas):
        """What has grown old goes; own words about it are taken back. replicas: the ids that are listed."""
        for i in [i for i, until in self.mine.items() if now >= until + TRIAL or i not in replicas]:
            self.withdraw(i)
        for i, case in list(self.cases.items()):
            if i not in replicas or now - case.last > CALM and not case.held(now):
                del self.cases[i]
        for i in [i for i in self.ranks if i not in replicas]:
            del self.ranks[i]


def fit(value):
    """Is it what an accusation says: for how many milliseconds it counts?"""
    return type(value) is tuple and len(value) >= 1 and type(value[0]) is int and value[0] > 0
