"""What a core knows of the other cores by their heartbeats (design 5.10).

A heartbeat: (epoch, shown version, fit, disk, sealed, blank, stamp, echo, age). `stamp` is the
sender's clock, `echo` the newest stamp of ours that it has seen, `age` that of its proof that the
primary is still primary (-1: none); all in ms. So a core knows not only whom it hears but who
hears it: one that is deaf is of no use as a member.
"""

from ..part import span
from . import book as bk

HB = (int, tuple, bool, str, int, bool, int, int, int)


def sound(m):
    return len(m) == len(HB) and all(type(x) is t for x, t in zip(m, HB)) and bk.sound_version(m[1])


class Peers:
    def __init__(self, *, opt):
        self.opt, self.table = opt, {}

    def clear(self):
        self.table.clear()

    def heard(self, c, m, now):
        e, _, fit, disk, sealed, blank, stamp, echo, _ = m
        was = self.table.get(c)
        p = self.table[c] = dict(
            at=now, epoch=e, fit=fit, disk=disk, sealed=sealed, blank=blank, stamp=stamp, back=span(echo) if echo >= 0 else None, since=now
        )
        if was and was["disk"] == disk and fit and self.steady(was, now):
            p["since"] = was["since"]

    def steady(self, p, now):
        return (
            p["fit"]
            and now - p["at"] <= self.opt["takeover"]
            and p["back"] is not None
            and now - p["back"] <= self.opt["takeover"] + self.opt["heartbeat"]
        )

    def up(self, c, now):
        """Heard of late, hearing us, and with a disk that takes writes."""
        return c in self.table and self.steady(self.table[c], now)

    def long(self, c, now, t):
        """Up without a break for t."""
        return self.up(c, now) and now - self.table[c]["since"] >= t

    def silent(self, c, now, since, t):
        """Not heard for t, of which we were awake and listening."""
        return now - max(since, self.get(c, "at", since)) > t

    def get(self, c, k, d=None):
        return self.table[c][k] if c in self.table else d

    def echo(self, c):
        return self.get(c, "stamp", -1)
