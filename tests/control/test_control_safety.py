"""Interleavings that an adversary would choose against one core (docs/control-safety.md).

A core alone between a disk and messages that the test writes: what it sends, what it says to daemons that ask for
news, and what is on its disk when it starts again are all that is looked at.
"""

import random
from datetime import timedelta

from silverglade.control import register as rg
from silverglade.control.core import control_component
from silverglade.control.view import View
from silverglade.runtime.effects import prime_generator
from silverglade.runtime.settings import tuning

SEC = timedelta(seconds=1)
VIEW = (3, "a", ("b",), (("a", "A"), ("b", "B"), ("c", "C")))
NEW = {"zones": {"z": {"region": "r"}}, "tenants": {}}


class Alone:
    """One core of the view, its disk (`tables`: what is synced), and what it has sent.

    full: its disk refuses writes of more operations than that. stalled: None, or the writes that wait for its disk.
    """

    def __init__(self, *, me="c", disk=None, tables=None, at=5.0, seed=1, view=VIEW, shown=(3, 4)):
        self.me, self.now, self.full, self.sent, self.told = me, at, None, [], []
        self.disk, self.stalled = disk or me.upper(), None
        self.tables = tables if tables is not None else {"meta": {"reg": rg.Register(base=View(*view)).stored(), "shown": shown}}
        self.gen = prime_generator(
            control_component(
                name=me,
                disk=self.disk,
                cores=("a", "b", "c"),
                saved={t: dict(rows) for t, rows in self.tables.items()},
                tuning=tuning(),
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
                    case ("post", "core_table", ("answer", _, news, _)):
                        self.told.append(news)
                    case ("disk", token, operations) if self.stalled is not None:
                        self.stalled.append((token, operations))
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

    def stall(self, on):
        """The disk hangs; or it goes on, with what waited."""
        waiting, self.stalled = self.stalled or (), [] if on else None
        for token, operations in waiting:
            self.feed(("disk", token, self.write(operations), None))

    def last(self, kind, to=None):
        """The newest message of a kind, or None."""
        return next((body for name, body in reversed(self.sent) if body[0] == kind and to in (None, name)), None)

    def count(self, kind):
        return sum(body[0] == kind for _, body in self.sent)

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


OLD, ONE, TWO = (("config", (2, 9), NEW),), (("evac/z", (3, 1), True),), (("evac/z", (3, 2), False),)


def backup(**kw):
    """b, a backup of the view, which has synced the copy that opens it and one change."""
    b = Alone(me="b", shown=(2, 9), **kw)
    b.hear("a", "snap", 3, 77, VIEW, OLD)
    b.hear("a", "repl", 3, 1, (2, 9), (3, 1), ONE)
    return b


def test_a_late_copy_never_undoes_a_synced_change():
    b = backup()
    assert b.last("snapok") == ("snapok", 3, 77, "B") and b.last("repd") == ("repd", 3, 1)
    b.hear("a", "snap", 3, 77, VIEW, OLD)  # sent again while the first was under way, held up since
    b.hear("c", "snap", 3, 78, None, ())  # and of one who sought this very view
    assert b.count("snapok") == 1 and b.tables["book"]["evac/z"] == ((3, 1), True)
    again = Alone(me="b", tables=b.tables)
    again.hear("a", "snap", 3, 77, VIEW, OLD)
    assert again.count("snapok") == 0 and again.tables["book"]["evac/z"] == ((3, 1), True)
    again.hear("a", "repl", 3, 2, (3, 1), (3, 2), TWO)
    assert again.last("repd") == ("repd", 3, 2)


def test_a_backup_says_nothing_before_its_disk():
    b = Alone(me="b", shown=(2, 9))
    b.stall(True)
    b.hear("a", "snap", 3, 77, VIEW, OLD)
    assert b.count("snapok") == 0
    b.stall(False)
    assert b.count("snapok") == 1
    b.stall(True)
    b.hear("a", "repl", 3, 1, (2, 9), (3, 1), ONE)
    b.hear("c", "prep", (5, "c"))
    assert b.count("repd") == b.count("prom") == 0
    b.stall(False)
    assert b.count("repd") == b.count("prom") == 1


def test_a_member_that_is_recruited_confirms_nothing_more_of_its_view():
    b = backup()
    b.hear("c", "snap", 4, 9, None, OLD + ONE)
    assert b.last("snapok") == ("snapok", 4, 9, "B")
    b.hear("a", "repl", 3, 2, (3, 1), (3, 2), TWO)
    b.hear("a", "repl", 3, 3, (3, 1), (3, 1), ())  # a read, to be confirmed
    assert b.count("repd") == 1
    again = Alone(me="b", tables=b.tables)  # nor after a restart
    again.hear("a", "repl", 3, 2, (3, 1), (3, 2), TWO)
    assert again.count("repd") == 0


def test_no_copy_leaves_before_the_seal_is_on_disk():
    b = backup()
    b.stall(True)
    for _ in range(60):
        b.now += 0.05
        b.feed(("pulse",))
        b.heartbeat("c", echo=b.stamp("c") if b.last("hb", "c") else -1)
    assert b.count("snap") == 0 and any(op[2] == "sealed" for _, ops in b.stalled for op in ops if op[0] == "put")
    b.hear("a", "repl", 3, 2, (3, 1), (3, 2), TWO)  # the primary was only held up
    b.stall(False)
    assert b.count("repd") == 1 and b.tables["meta"]["sealed"] == 3


def test_an_emptied_core_says_nothing_for_the_disk_that_it_had():
    """Messages for its former life reach it: what it answers names its new disk, or it is silent."""
    for tables in (None, {}):
        b = Alone(me="b", disk="B2", tables=tables)
        b.hear("a", "snap", 3, 77, VIEW, OLD)
        b.hear("a", "repl", 3, 1, (2, 9), (3, 1), ONE)
        b.hear("a", "repl", 3, 2, (3, 1), (3, 1), ())
        assert b.count("snapok") == b.count("repd") == 0
        b.hear("c", "snap", 4, 9, None, OLD)
        b.hear("c", "prep", (5, "c"))
        b.hear("c", "acc", (5, "c"), VIEW, (4, "c", ("b",), VIEW[3]))
        assert b.last("snapok")[3] == b.last("prom")[2] == b.last("accd")[2] == "B2"


def primary():
    """a, the primary of the view, open."""
    a = Alone(me="a", shown=(2, 9))
    a.hear("b", "snapok", 3, a.last("snap")[2], "B")
    return a


def test_a_primary_that_has_not_opened_proves_nothing():
    """Started again before its only backup heard of the newest acknowledgement: both hold it and neither shows it. The backup takes a
    heartbeat with an age for a proof of this moment."""
    a = Alone(me="a", shown=(2, 9))
    a.now += 1
    a.heartbeat("b", echo=a.stamp("b"), age=10, shown=(2, 9))
    a.feed(("pulse",))
    assert a.last("hb", "b")[9] == -1
    a.hear("b", "snapok", 3, a.last("snap")[2], "B")
    a.now += 1
    a.heartbeat("b", echo=a.stamp("b"), age=10, shown=(2, 9))
    a.feed(("pulse",))
    assert 0 <= a.last("hb", "b")[9] <= 2000


STALE = ("config", (9, 9), NEW)


def test_a_primary_answers_nothing_that_its_backup_has_not_confirmed_just_now():
    """Cut off, it can neither acknowledge nor refuse nor be read; what was confirmed before counts for nothing new."""
    for op in (STALE, ("config", (0, 0), {"zones": 3}), ("evac", "nowhere", True), ("read",), ("config", (0, 0), NEW)):
        a = primary()
        a.hear("edge", "op", 1, "", ("read",), "x")
        before = a.last("repl")
        assert before and a.count("opr") == 0
        a.hear("b", "repd", 3, before[2])
        assert a.count("opr") == 1
        a.hear("edge", "op", 2, "change", op, "y")
        asked = a.last("repl")
        a.hear("b", "repd", 3, before[2])  # of the one before, a second time
        a.hear("b", "repd", 2, asked[2])
        a.hear("c", "repd", 3, asked[2])  # no backup
        assert asked != before and a.count("opr") == 1
        b = a.last("opr")
        a.hear("b", "repd", 3, asked[2])
        assert a.count("opr") == 2 and a.last("opr")[1] == 2 != b[1]


def test_a_primary_that_was_overtaken_says_unknown_and_nothing_more():
    a = primary()
    a.hear("edge", "op", 1, "one", ("config", (0, 0), NEW), "x")
    a.hear("edge", "op", 2, "two", STALE, "y")
    asked = a.last("repl")
    a.hear("b", "view", (4, "b", ("c",), VIEW[3]))
    assert [body[1:] for _, body in a.sent if body[0] == "opr"] == [(1, ("unknown",)), (2, ("unknown",))]
    a.hear("b", "repd", 3, asked[2])
    a.hear("c", "view", (5, "a", ("b",), VIEW[3]))
    a.hear("b", "repd", 3, asked[2])
    a.hear("b", "repd", 5, asked[2])
    a.now += 1
    a.feed(("pulse",))
    a.hear("b", "snapok", 5, a.last("snap")[2], "B")
    a.hear("edge", "op", 3, "", ("read",), "z")
    assert a.last("repl")[1] == 5 and a.count("opr") == 2  # it leads again, and what waited then is nobody's now


def test_a_change_is_answered_only_when_it_is_on_the_primarys_disk_too():
    a = primary()
    a.stall(True)
    a.hear("edge", "op", 1, "one", ("config", (0, 0), NEW), "x")
    assert a.count("repl") == 0  # the primary is never behind its backups
    a.stall(False)
    a.hear("b", "repd", 3, a.last("repl")[2])
    assert a.last("opr")[2][0] == "ok" and a.tables["book"]["config"][0] == (3, 1)
