"""Interleavings that an adversary would choose against one core (docs/control-safety.md).

A core alone between a disk and messages that the test writes: what it sends, what it says to daemons that ask for
news, and what is on its disk when it starts again are all that is looked at.
"""

import random
from datetime import timedelta

from silverglade.control import register as rg
from silverglade.control.core import core
from silverglade.control.view import View
from silverglade.options import tuning
from silverglade.part import start

SEC = timedelta(seconds=1)
VIEW = (3, "a", ("b",), (("a", "A"), ("b", "B"), ("c", "C")))
NEW = {"zones": {"z": {"region": "r"}}, "tenants": {}}


class Alone:
    """One core of the view, its disk (`tables`: what is synced), and what it has sent.

    full: its disk refuses writes of more operations than that.
    """

    def __init__(self, *, me="c", tables=None, at=5.0, seed=1, view=VIEW, shown=(3, 4)):
        self.me, self.now, self.full, self.sent, self.told = me, at, None, [], []
        self.tables = tables if tables is not None else {"meta": {"reg": rg.Register(base=View(*view)).stored(), "shown": shown}}
        self.gen = start(
            core(
                me=me,
                disk=me.upper(),
                cores=("a", "b", "c"),
                saved={t: dict(rows) for t, rows in self.tables.items()},
                opt=tuning(),
                rng=random.Random(seed),
                place=(f"z{me}", f"r{me}"),
            )
        )
        self.feed(("pulse",))

    def feed(self, event):
        events = [event]
        while events:
            for effect in self.gen.send((self.now * SEC, events.pop(0))):
                match effect:
                    case ("send", to, body) if to == self.me:
                        events.append(("msg", to, body))
                    case ("send", to, body):
                        self.sent.append((to, body))
                    case ("post", "control", posted):
                        events.append(posted)
                    case ("post", "table", ("answer", _, news, _)):
                        self.told.append(news)
                    case ("disk", token, operations):
                        events.append(("disk", token, self.write(operations), None))

    def write(self, operations):
        if self.full is not None and len(operations) > self.full:
            return False
        for operation in operations:
            match operation:
                case ("put", table, key, value):
                    self.tables.setdefault(table, {})[key] = value
                case ("del", table, key):
                    self.tables.get(table, {}).pop(key, None)
                case ("wipe", table):
                    self.tables[table] = {}
        return True

    def hear(self, sender, *body):
        self.feed(("msg", sender, body))

    def heartbeat(self, sender, *, echo=-1, age=-1, stamp=1, shown=(3, 4), sealed=0):
        self.hear(sender, "hb", 3, shown, True, sender.upper(), sealed, False, stamp, echo, age)

    def stamp(self, to):
        """The clock in the newest heartbeat that was sent to a core."""
        return [body[7] for name, body in self.sent if name == to and body[0] == "hb"][-1]

    def news(self, since=(0, 0)):
        """What a daemon is told that asks with a version -> (version, items, age of the proof)."""
        n = len(self.told)
        self.hear("edge", "get", 1, since, None)
        self.now += 1.1
        self.feed(("pulse",))
        assert len(self.told) == n + 1
        return self.told[-1][2:5]


def test_a_stamp_of_an_earlier_life_is_no_proof():
    """The machine of c started again, and its steady clock with it; a still echoes what c said before, thirty days up."""
    c = Alone()
    c.heartbeat("a", echo=30 * 86400 * 1000, age=10)
    assert c.news()[2] == -1  # nothing that c sent in this life was seen
    c.heartbeat("a", echo=c.stamp("a"), age=10)
    assert 10 <= c.news()[2] <= 3000  # and it is proved as ever, not only in thirty days


def test_a_stamp_that_was_meant_for_another_core_is_no_proof():
    """A heartbeat for the core that had this address before: its clock stood a moment behind ours."""
    c = Alone(at=5000.0)
    c.now += 2
    c.heartbeat("a", echo=5001 * 1000, age=10)
    assert c.news()[2] == -1


def test_a_core_whose_disk_refused_one_of_two_changes_tells_both_or_neither_after_a_restart():
    """Nearly full: a configuration does not fit, the small change after it does; then the power is lost."""
    c = Alone(shown=(3, 4))
    c.full = 2
    c.hear("a", "items", 3, (3, 4), (3, 5), (("config", (3, 5), NEW), ("source", (3, 5), "text")))
    c.hear("a", "items", 3, (3, 5), (3, 6), (("evac/z", (3, 6), True),))
    again = Alone(tables=c.tables)
    version, items, _ = again.news(since=(3, 4))
    assert version < (3, 5) or "config" in {key for key, _, _ in items}


def seeking(seed):
    """The ballot with which b, whose primary is silent, asks for promises."""
    b = Alone(me="b", seed=seed)
    for _ in range(200):
        b.now += 0.1
        b.feed(("pulse",))
        b.heartbeat("c", echo=b.stamp("c") if any(to == "c" and body[0] == "hb" for to, body in b.sent) else -1)
        for to, body in b.sent[-8:]:
            if body[0] == "snap" and to == "c":
                b.hear("c", "snapok", body[1], body[2], "C")
            if body[0] == "prep":
                return body[1]
    raise AssertionError("it never sought")


def test_no_two_lives_of_a_core_use_one_ballot():
    """Started twice from what one disk holds (the promise to itself was not synced), or with an emptied one: an
    acceptance of the first life's ballot that comes late must not count for the second's."""
    ballots = [seeking(seed) for seed in range(8)]
    assert len(set(ballots)) == len(ballots)


def test_words_of_synced_copies_that_nobody_waits_for_are_not_kept():
    """A minority that seeks for days, or anyone strange: nothing grows with them."""
    b = Alone(me="b")
    for nonce in range(500):
        b.hear("c", "snapok", 4, nonce, "C")
    assert len(b.gen.state.recruits_synced) == 0
