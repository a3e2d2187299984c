"""Regions that take no connection, as one daemon sees them (design 15.5).

A cut between regions shows as connections that do not come up, replica by replica, each at the price of a connection's
wait. So once a few replicas of a region have taken none within a moment, the region as a whole is closed: no request is sent
there, and none waits. The daemon tries bare connections instead, to replicas that were not tried yet first, until one comes up.
"""

from datetime import timedelta

FEW = 2  # replicas that took no connection, before their region is closed; how many are tried at once
MOMENT = timedelta(seconds=5)  # within which they count together
PAUSE, PAUSE_MOST = timedelta(milliseconds=500), timedelta(seconds=1)  # between tests of a closed region


class Doubt:
    """One region's replicas that took no connection; `test_at`: when the region is tested next, once it is closed."""

    __slots__ = ("replicas", "at", "test_at", "pause", "turn")

    def __init__(self, now):
        self.replicas, self.at, self.test_at, self.pause, self.turn = set(), now, now, PAUSE, 0

    def choose(self, replicas):
        """Those of the region's replicas (with an `id`) to be tested now: not tried yet, else one after another."""
        untested = [r for r in replicas if r.id not in self.replicas]
        if untested:
            return untested[:FEW]
        self.turn += 1
        return replicas[self.turn % len(replicas) :][:1] if replicas else []


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
        if doubt is None or now - doubt.at > MOMENT and not self.closed(region):
            doubt = self.doubts[region] = Doubt(now)
        doubt.replicas.add(replica)
        doubt.at = now

    def answered(self, now, region):
        """A replica of the region was reached."""
        self.heard[region] = now
        self.doubts.pop(region, None)

    def closed(self, region):
        """Does the region take no connection, as far as is known?"""
        doubt = self.doubts.get(region)
        return doubt is not None and len(doubt.replicas) >= FEW

    def groups(self, replicas, unreached):
        """The replicas in the order in which their regions take connections: a region that takes none is passed over.

        unreached: region -> how many of its replicas took none for this request.
        """
        if not self.doubts and not unreached:
            return [replicas]
        left = [r for r in replicas if unreached[r.region] < FEW and not self.closed(r.region)]
        groups = [r for r in left if not unreached[r.region]], [r for r in left if unreached[r.region]]
        return [group for group in groups if group]

    def appeared(self, now, region):
        """A new replica of the region is listed: it is tried at once."""
        if self.closed(region):
            self.doubts[region].test_at = now

    def due_tests(self, now, replicas):
        """The replicas to which a connection is to be tried now. replicas: all that are there, each with `id` and `region`."""
        chosen = []
        for region, doubt in self.doubts.items():
            if self.closed(region) and now >= doubt.test_at:
                doubt.test_at, doubt.pause = now + doubt.pause, min(PAUSE_MOST, 2 * doubt.pause)
                chosen += doubt.choose([r for r in replicas if r.region == region])
        return chosen

    def next_test(self, default):
        """When a closed region is to be tested next."""
        return min((d.test_at for region, d in self.doubts.items() if self.closed(region)), default=default)
