"""The replicas that a daemon may choose from, as this daemon sees them (design 15.4).

A listed record is (id, address, zone, region, service, slots, leaving, cold ms, ms until it is gone or -1).
"""

from datetime import timedelta

from ..runtime.effects import ZERO, milliseconds

RID, ADDR, ZONE, REGION, SERVICE, SLOTS, LEAVING, COLD_MS, GONE_MS = range(9)
TYPES = (str, str, str, str, str, int, bool, int, int)
HOLD_OFF = timedelta(seconds=1)  # after a failure; doubled while failures go on
HOLD_MOST = timedelta(seconds=8)


def sound(r):
    return isinstance(r, tuple) and len(r) >= len(TYPES) and all(type(v) is t for v, t in zip(r, TYPES))


class Replica:
    """One life of a replica: what the list says, and what its answers to this daemon have shown."""

    __slots__ = (
        "id",
        "addr",
        "zone",
        "region",
        "service",
        "slots",
        "leaving",
        "cold",
        "tries",
        "work",
        "shy",
        "dark",
        "fails",
        "heard",
        "active",
        "queued",
        "asked",
        "seen",
        "gone",
        "probed",
    )

    def __init__(self, rec, now):
        (self.id, self.addr, self.zone, self.region, self.service, self.slots, self.leaving) = rec[:COLD_MS]
        self.cold = now + milliseconds(rec[COLD_MS])  # until then it bears little
        self.tries, self.work = {}, 0.0  # (rid, n) -> when sent; work of those in tokens
        self.shy, self.dark, self.fails = ZERO, False, 0  # passed over until then, while its prober hears nothing; failures on end
        self.heard = self.asked = self.probed = now
        self.active, self.queued, self.seen, self.gone = 0, 0, now, None

    def told(self, rec, now):
        """A newer word of the list about the same life. Leaving is never taken back."""
        self.leaving = self.leaving or rec[LEAVING]
        self.cold = max(self.cold, now + milliseconds(rec[COLD_MS])) if rec[COLD_MS] else self.cold
        self.seen, self.gone = now, None

    def failed(self, now):
        """No answer, or a broken one: others go first for a while, longer each time."""
        self.fails += 1
        self.shy = now + min(HOLD_MOST, HOLD_OFF * 2 ** min(self.fails - 1, 4))

    def fit(self, now):
        """Does nothing speak against it? After failures one request at a time tries it again."""
        return now >= self.shy and not self.dark and not (self.fails and self.tries)

    def worked(self, now):
        self.fails, self.shy, self.heard = 0, ZERO, now
