"""Regions that take no connection, as one daemon sees them (design 15.5).

A cut between regions shows as connections that do not come up, replica by replica, each at the price of a connection's
wait. So once a few replicas of a region have taken none within a moment, the region as a whole goes last: its replicas are
tried when nobody else can take a request, and then by one request in a while that grows, until one of them answers.
"""

from datetime import timedelta

FEW = 2  # replicas that took no connection, before their region is doubted
MOMENT = timedelta(seconds=5)  # within which they count together
PAUSE, PAUSE_MOST = timedelta(milliseconds=500), timedelta(seconds=2)  # between tries of a doubted region


class Doubt:
    """One region's replicas that took no connection; `next` is when it may be tried again, `pause` what follows."""

    __slots__ = ("replicas", "at", "next", "pause", "probed")

    def __init__(self, now):
        self.replicas, self.at, self.next, self.pause = set(), now, now, PAUSE
        self.probed = None  # since when a request looks whether it is back


class Reach:
    def __init__(self):
        self.doubts = {}  # region -> Doubt
        self.heard = {}  # region -> when one of its replicas answered last

    def failed(self, now, region, replica, *, since):
        """A connection to the replica, begun then, did not come up in its time. It speaks against the replica alone if
        another of its region answered meanwhile."""
        if self.heard.get(region, since) > since:
            return
        doubt = self.doubts.get(region)
        if self.closed(region):
            doubt.replicas.add(replica)
            if doubt.probed is not None and since >= doubt.probed:  # else it was under way when the region was closed
                doubt.next, doubt.pause, doubt.probed = now + doubt.pause, min(PAUSE_MOST, 2 * doubt.pause), None
            return
        if doubt is None or now - doubt.at > MOMENT:
            doubt = self.doubts[region] = Doubt(now)
        doubt.replicas.add(replica)
        doubt.at = doubt.next = now

    def answered(self, now, region):
        """A replica of the region was reached."""
        self.heard[region] = now
        self.doubts.pop(region, None)

    def closed(self, region):
        """Does the region take no connection, as far as is known?"""
        doubt = self.doubts.get(region)
        return doubt is not None and len(doubt.replicas) >= FEW

    def may(self, now, region):
        """May a request try it nevertheless? One in each pause."""
        return not self.closed(region) or now >= self.doubts[region].next

    def untested(self, region, replica):
        """Is it not among those that took no connection? It may be that only the others are cut off."""
        return replica not in self.doubts[region].replicas

    def tried(self, now, region):
        """A request is sent to a replica of the region."""
        if self.closed(region):
            doubt = self.doubts[region]
            doubt.probed, doubt.next = now, now + doubt.pause
