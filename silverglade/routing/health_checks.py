"""Who asks which replica how it does, and when (design 16.4).

One prober a replica: the first live edge daemon of the replica's region in rendezvous order on the
replica's id. Nobody has to be told who that is; while daemons differ about who lives, two may probe, or
none, for that while. Probes take a slot and are priced, so there is one in each turn, and one more out of turn
when a replica has become suspicious.
"""

from collections import deque
from datetime import timedelta

from ..membership.rendezvous import highest_ranked

SEC = timedelta(seconds=1)
SPREAD = 8  # parts of a turn over which first probes are spread


def prober(replica, place, live, /):
    """-> the daemon that probes it, None when none lives in its region. live: ((daemon, region), ...)."""
    return highest_ranked(replica, [i for i, r in live if r == place])


class Prober:
    """One daemon's probes. `due` says whom to ask now; `answered` and `failed` say what came of it."""

    def __init__(self, *, me, opt):
        self.me, self.opt = me, opt
        self.live, self.places, self.mine = (), {}, frozenset()
        self.next, self.asked = {}, {}  # replica -> its next turn; -> since when a probe is under way
        self.doubted = {}  # replica -> has it been asked out of turn? until it answers
        self.extra = deque()  # times of probes out of turn in the last second

    def known(self, live):
        """The live edge daemons: ((daemon, region), ...)."""
        live = tuple(sorted(live))
        if live != self.live:
            self.live = live
            self.share()

    def listed(self, places):
        """The replicas, {id: region}, without those that are gone."""
        if places != self.places:
            self.places = dict(places)
            self.share()

    def share(self):
        by = {}
        for i, r in self.live:
            by.setdefault(r, []).append(i)
        self.mine = frozenset(i for i, r in self.places.items() if highest_ranked(i, by.get(r, ())) == self.me)
        for held in (self.next, self.asked, self.doubted):
            for i in [i for i in held if i not in self.mine]:
                del held[i]

    def suspect(self, replica):
        """It is silent, or failed a request: asked out of turn, once until it answers."""
        if replica in self.mine:
            self.doubted.setdefault(replica, False)

    def due(self, now):
        """-> the replicas to ask now; they count as under way until answered, failed or `probe_wait` is over."""
        got = []
        for n, i in enumerate(sorted(self.mine)):
            if i in self.asked and now - self.asked[i] < self.opt["probe_wait"]:
                continue
            turn = self.next.setdefault(i, now + n % SPREAD * self.opt["probe_every"] / SPREAD)
            if now >= turn or self.early(now, i):
                self.next[i], self.asked[i] = now + self.opt["probe_every"], now
                got.append(i)
        return tuple(got)

    def early(self, now, replica):
        """May it be asked out of turn? For all replicas together `probe_extra` times a second."""
        if self.doubted.get(replica, True):
            return False
        while self.extra and now - self.extra[0] >= SEC:
            self.extra.popleft()
        if len(self.extra) >= self.opt["probe_extra"]:
            return False
        self.doubted[replica] = True
        self.extra.append(now)
        return True

    def answered(self, replica):
        """Its answer to the probe came."""
        self.asked.pop(replica, None)
        self.doubted.pop(replica, None)

    def failed(self, replica):
        """No answer came: it is asked again in its turn."""
        self.asked.pop(replica, None)

    def froze(self):
        """What was under way is lost, and turns begin anew."""
        self.asked.clear()
        self.next.clear()
