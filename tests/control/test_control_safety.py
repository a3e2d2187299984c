"""Adversarial interleavings of messages, disk writes and restarts against a single core (docs/control-safety.md).

The test supplies the messages and the disk. It checks only what the core sends, how it answers requests for updates, and what is
on its disk when it restarts.
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


class SingleCore:
    """One core of the view, its disk (`tables`: the synced contents), and the messages it has sent.

    :ivar full: the disk fails writes of more operations than this; None for no limit.
    :ivar stalled: the writes that wait while the disk hangs; None if it does not hang.
    :ivar updates: the answers to requests for updates.
    """

    def __init__(self, *, me="c", disk=None, tables=None, at=5.0, seed=1, view=VIEW, shown=(3, 4)):
        self.me, self.now, self.full, self.sent, self.updates = me, at, None, [], []
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
                    case ("post", "core_table", ("answer", _, request_update, _)):
                        self.updates.append(request_update)
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
        """Make the disk hang, or let it continue with the waiting writes."""
        waiting, self.stalled = self.stalled or (), [] if on else None
        for token, operations in waiting:
            self.feed(("disk", token, self.write(operations), None))

    def last(self, kind, to=None):
        """Return the newest message of a kind sent, to any core or to `to`; None if there is none."""
        return next((body for name, body in reversed(self.sent) if body[0] == kind and to in (None, name)), None)

    def count(self, kind):
        return sum(body[0] == kind for _, body in self.sent)

    def receive(self, sender, *body):
        self.feed(("msg", sender, body))

    def heartbeat(self, sender, *, echo=-1, age=-1, stamp=1, shown=(3, 4), sealed=0):
        self.receive(sender, "hb", 3, shown, True, sender.upper(), sealed, False, stamp, echo, age)

    def stamp(self, to):
        """Return the stamp in the newest heartbeat sent to a core."""
        return [body[7] for name, body in self.sent if name == to and body[0] == "hb"][-1]

    def request_update(self, since=(0, 0)):
        """Request an update as a daemon that has version `since`; return (version, items, age of the proof)."""
        n = len(self.updates)
        self.receive("edge", "get", 1, since, None)
        self.now += 1.1
        self.feed(("pulse",))
        assert len(self.updates) == n + 1
        return self.updates[-1][2:5]


def test_a_stamp_of_an_earlier_process_is_no_proof():
    """c restarts with its monotonic clock reset, and a echoes a stamp that c's earlier process sent after 30 days of uptime."""
    c = SingleCore()
    c.heartbeat("a", echo=30 * 86400 * 1000, age=10)
    assert c.request_update()[2] == -1  # the peer has received nothing from this process
    c.heartbeat("a", echo=c.stamp("a"), age=10)
    assert 10 <= c.request_update()[2] <= 3000  # a proof is accepted at once, not only after 30 days of uptime


def test_a_stamp_that_was_meant_for_another_core_is_no_proof():
    """A heartbeat meant for the core that had this address before echoes that core's clock, which was slightly behind this one's."""
    c = SingleCore(at=5000.0)
    c.now += 2
    c.heartbeat("a", echo=5001 * 1000, age=10)
    assert c.request_update()[2] == -1


def test_after_a_failed_write_a_restarted_core_serves_no_gap_in_committed_items():
    """On a nearly full disk the write of a configuration fails and a later small one succeeds; then power is lost."""
    c = SingleCore(shown=(3, 4))
    c.full = 2
    c.receive("a", "items", 3, (3, 4), (3, 5), (("config", (3, 5), NEW), ("source", (3, 5), "text")))
    c.receive("a", "items", 3, (3, 5), (3, 6), (("evac/z", (3, 6), True),))
    again = SingleCore(tables=c.tables)
    version, items, _ = again.request_update(since=(3, 4))
    assert version < (3, 5) or "config" in {key for key, _, _ in items}


def first_prepare_ballot(seed):
    """Return the ballot of the first prepare request of b, whose primary is silent."""
    b = SingleCore(me="b", seed=seed)
    for _ in range(200):
        b.now += 0.1
        b.feed(("pulse",))
        b.heartbeat("c", echo=b.stamp("c") if any(to == "c" and body[0] == "hb" for to, body in b.sent) else -1)
        for to, body in b.sent[-8:]:
            if body[0] == "snap" and to == "c":
                b.receive("c", "snapok", body[1], body[2], "C")
            if body[0] == "prep":
                return body[1]
    raise AssertionError("b sent no prepare request")


def test_two_processes_of_a_core_never_use_the_same_ballot():
    """A core starts twice from the same disk contents (its promise to itself was not synced), or with an emptied disk. A late
    acceptance of the first process's ballot must not count for the second process."""
    ballots = [first_prepare_ballot(seed) for seed in range(8)]
    assert len(set(ballots)) == len(ballots)


def test_unexpected_snapshot_confirmations_are_not_stored():
    """Memory must not grow with confirmations from a minority that proposes a view for days, or from an unknown sender."""
    b = SingleCore(me="b")
    for nonce in range(500):
        b.receive("c", "snapok", 4, nonce, "C")
    assert len(b.gen.state.recruits_synced) == 0


OLD, ONE, TWO = (("config", (2, 9), NEW),), (("evac/z", (3, 1), True),), (("evac/z", (3, 2), False),)


def backup(**kw):
    """Return b, a backup of the view that has synced the opening snapshot and one change."""
    b = SingleCore(me="b", shown=(2, 9), **kw)
    b.receive("a", "snap", 3, 77, VIEW, OLD)
    b.receive("a", "repl", 3, 1, (2, 9), (3, 1), ONE)
    return b


def test_a_late_snapshot_never_undoes_a_synced_change():
    b = backup()
    assert b.last("snapok") == ("snapok", 3, 77, "B") and b.last("repd") == ("repd", 3, 1)
    b.receive("a", "snap", 3, 77, VIEW, OLD)  # a duplicate of the opening snapshot, delayed
    b.receive("c", "snap", 3, 78, None, ())  # a delayed recruiting snapshot for the current view
    assert b.count("snapok") == 1 and b.tables["book"]["evac/z"] == ((3, 1), True)
    again = SingleCore(me="b", tables=b.tables)
    again.receive("a", "snap", 3, 77, VIEW, OLD)
    assert again.count("snapok") == 0 and again.tables["book"]["evac/z"] == ((3, 1), True)
    again.receive("a", "repl", 3, 2, (3, 1), (3, 2), TWO)
    assert again.last("repd") == ("repd", 3, 2)


def test_a_backup_answers_only_after_its_disk_has_synced():
    b = SingleCore(me="b", shown=(2, 9))
    b.stall(True)
    b.receive("a", "snap", 3, 77, VIEW, OLD)
    assert b.count("snapok") == 0
    b.stall(False)
    assert b.count("snapok") == 1
    b.stall(True)
    b.receive("a", "repl", 3, 1, (2, 9), (3, 1), ONE)
    b.receive("c", "prep", (5, "c"))
    assert b.count("repd") == b.count("prom") == 0
    b.stall(False)
    assert b.count("repd") == b.count("prom") == 1


def test_a_recruited_member_confirms_no_more_changes_of_its_view():
    b = backup()
    b.receive("c", "snap", 4, 9, None, OLD + ONE)
    assert b.last("snapok") == ("snapok", 4, 9, "B")
    b.receive("a", "repl", 3, 2, (3, 1), (3, 2), TWO)
    b.receive("a", "repl", 3, 3, (3, 1), (3, 1), ())  # a confirmation request for a read
    assert b.count("repd") == 1
    again = SingleCore(me="b", tables=b.tables)  # a restart does not lift the seal
    again.receive("a", "repl", 3, 2, (3, 1), (3, 2), TWO)
    assert again.count("repd") == 0


def test_no_snapshot_is_sent_before_the_seal_is_on_disk():
    b = backup()
    b.stall(True)
    for _ in range(60):
        b.now += 0.05
        b.feed(("pulse",))
        b.heartbeat("c", echo=b.stamp("c") if b.last("hb", "c") else -1)
    assert b.count("snap") == 0 and any(op[2] == "sealed" for _, ops in b.stalled for op in ops if op[0] == "put")
    b.receive("a", "repl", 3, 2, (3, 1), (3, 2), TWO)  # the primary was only slow
    b.stall(False)
    assert b.count("repd") == 1 and b.tables["meta"]["sealed"] == 3


def test_an_emptied_core_never_answers_for_its_former_disk():
    """Messages meant for its earlier process reach it: its answers name the new disk, or it sends none."""
    for tables in (None, {}):
        b = SingleCore(me="b", disk="B2", tables=tables)
        b.receive("a", "snap", 3, 77, VIEW, OLD)
        b.receive("a", "repl", 3, 1, (2, 9), (3, 1), ONE)
        b.receive("a", "repl", 3, 2, (3, 1), (3, 1), ())
        assert b.count("snapok") == b.count("repd") == 0
        b.receive("c", "snap", 4, 9, None, OLD)
        b.receive("c", "prep", (5, "c"))
        b.receive("c", "acc", (5, "c"), VIEW, (4, "c", ("b",), VIEW[3]))
        assert b.last("snapok")[3] == b.last("prom")[2] == b.last("accd")[2] == "B2"


def primary():
    """Return a, the primary of the view, which it has opened."""
    a = SingleCore(me="a", shown=(2, 9))
    a.receive("b", "snapok", 3, a.last("snap")[2], "B")
    return a


def test_a_primary_whose_view_is_not_open_sends_no_proof():
    """The primary restarts before its only backup learnt of the newest acknowledgement, so both store the change but neither has it
    committed. The backup would take a heartbeat with an age as a proof of the present moment."""
    a = SingleCore(me="a", shown=(2, 9))
    a.now += 1
    a.heartbeat("b", echo=a.stamp("b"), age=10, shown=(2, 9))
    a.feed(("pulse",))
    assert a.last("hb", "b")[9] == -1
    a.receive("b", "snapok", 3, a.last("snap")[2], "B")
    a.now += 1
    a.heartbeat("b", echo=a.stamp("b"), age=10, shown=(2, 9))
    a.feed(("pulse",))
    assert 0 <= a.last("hb", "b")[9] <= 2000


STALE = ("config", (9, 9), NEW)


def test_a_primary_answers_only_after_a_fresh_confirmation_by_its_backup():
    """An isolated primary can neither acknowledge, refuse nor serve reads; an earlier confirmation does not count for a new operation."""
    for op in (STALE, ("config", (0, 0), {"zones": 3}), ("evac", "nowhere", True), ("read",), ("config", (0, 0), NEW)):
        a = primary()
        a.receive("edge", "op", 1, "", ("read",), "x")
        before = a.last("repl")
        assert before and a.count("opr") == 0
        a.receive("b", "repd", 3, before[2])
        assert a.count("opr") == 1
        a.receive("edge", "op", 2, "change", op, "y")
        asked = a.last("repl")
        a.receive("b", "repd", 3, before[2])  # a duplicate of the previous confirmation
        a.receive("b", "repd", 2, asked[2])
        a.receive("c", "repd", 3, asked[2])  # c is not a backup
        assert asked != before and a.count("opr") == 1
        b = a.last("opr")
        a.receive("b", "repd", 3, asked[2])
        assert a.count("opr") == 2 and a.last("opr")[1] == 2 != b[1]


def test_a_superseded_primary_answers_unknown_to_all_pending_operations():
    a = primary()
    a.receive("edge", "op", 1, "one", ("config", (0, 0), NEW), "x")
    a.receive("edge", "op", 2, "two", STALE, "y")
    asked = a.last("repl")
    a.receive("b", "view", (4, "b", ("c",), VIEW[3]))
    assert [body[1:] for _, body in a.sent if body[0] == "opr"] == [(1, ("unknown",)), (2, ("unknown",))]
    a.receive("b", "repd", 3, asked[2])
    a.receive("c", "view", (5, "a", ("b",), VIEW[3]))
    a.receive("b", "repd", 3, asked[2])
    a.receive("b", "repd", 5, asked[2])
    a.now += 1
    a.feed(("pulse",))
    a.receive("b", "snapok", 5, a.last("snap")[2], "B")
    a.receive("edge", "op", 3, "", ("read",), "z")
    assert a.last("repl")[1] == 5 and a.count("opr") == 2  # it leads again, and the earlier operations are gone


def test_a_change_is_replicated_only_after_the_primarys_own_disk_has_synced():
    a = primary()
    a.stall(True)
    a.receive("edge", "op", 1, "one", ("config", (0, 0), NEW), "x")
    assert a.count("repl") == 0  # the primary's disk is never behind its backups
    a.stall(False)
    a.receive("b", "repd", 3, a.last("repl")[2])
    assert a.last("opr")[2][0] == "ok" and a.tables["book"]["config"][0] == (3, 1)
