"""The view register under fuzz (design 5.2), with an oracle that sees every choice."""
import random

from silverglade.control import book as bk
from silverglade.control import register as rg

CORES = ("a", "b", "c")


class Bench:
    """Three witnesses, a network that drops, delays and repeats, disks that are emptied."""

    def __init__(self, seed):
        self.rng, self.n = random.Random(seed), 0
        self.disk = {c: c + "0" for c in CORES}
        first = (1, "a", "b", tuple(sorted(self.disk.items())))
        self.reg = {c: dict(promised=(1, "a"), ballot=(1, "a"), view=first) for c in CORES}
        self.chosen = {1: first}
        self.rounds, self.mail, self.top = {}, [], 1

    def propose(self):
        """A member of the newest chosen view seeks the next, as the core part would."""
        r, e = self.rng, max(self.chosen)
        v = self.chosen[max(1, e - (r.random() < 0.5))]
        me = r.choice(v[1:3])
        if dict(v[3])[me] != self.disk[me]:
            return
        other = r.choice([c for c in CORES if c != me])
        ds = dict(v[3])
        if r.random() < 0.7:                   # admit the disks seen now
            ds.update({c: self.disk[c] for c in CORES})
        self.top += r.randrange(1, 3)
        b = (self.top, me)
        g = rg.round_(me=me, ballot=b, basis=v[0], want=(v[0] + 1, me, other, tuple(sorted(ds.items()))),
                      cores=CORES)
        self.rounds[b] = g
        self.post(b, next(g))

    def post(self, b, msg):
        if msg[0] in ("prep", "acc"):
            self.mail += [(b, c, msg) for c in CORES]
        elif msg[0] == "chosen":
            e = msg[2][0]
            assert self.chosen.setdefault(e, msg[2]) == msg[2], "two views of one epoch"
        if msg[0] in ("chosen", "lost"):
            self.rounds.pop(b, None)

    def step(self):
        r = self.rng
        k = r.random()
        if k < 0.04:
            return self.propose()
        if k < 0.08:                           # a disk lost; never two unadmitted at once
            newest = dict(self.chosen[max(self.chosen)][3])
            if all(self.disk[c] == newest[c] for c in CORES):
                c = r.choice(CORES)
                self.n += 1
                self.disk[c], self.reg[c] = f"{c}{self.n}", rg.blank()
            return None
        if not self.mail:
            return None
        i = r.randrange(len(self.mail))
        b, c, msg = self.mail[i]
        if r.random() < 0.85:
            self.mail.pop(i)
        if r.random() < 0.35:
            return None
        if len(msg) > 3 or msg[0] == "answer":
            frm, disk, ans = msg[1:]
            if b in self.rounds:
                self.post(b, self.rounds[b].send((frm, disk, ans)))
            return None
        f = rg.prepare if msg[0] == "prep" else rg.accept
        self.reg[c], ans = f(self.reg[c], *msg[1:])
        self.mail.append((b, c, ("answer", c, self.disk[c], ans)))
        return None


def test_one_view_of_an_epoch_is_chosen_whatever_is_lost_repeated_or_emptied():
    most = 0
    for seed in range(150):
        b = Bench(seed)
        for _ in range(900):
            b.step()
        most = max(most, max(b.chosen))
    assert most > 5


def test_an_emptied_witness_that_voted_as_before_would_let_two_views_win(monkeypatch):
    """The guard out: votes counted whatever the disk. The bench must notice."""
    class Any(dict):
        def get(self, k, d=None):
            return Same()

    class Same:
        def __eq__(self, o):
            return True

        def __hash__(self):
            return 0
    monkeypatch.setattr(rg, "disks", lambda v: Any())
    fell = 0
    for seed in range(150):
        b = Bench(seed)
        try:
            for _ in range(900):
                b.step()
        except AssertionError:
            fell += 1
    assert fell


def test_the_book_takes_one_of_two_changes_over_the_same_version():
    raw = {"zones": {"z": {"region": "r"}}, "tenants": {}}
    got = bk.decide({}, ("config", (0, 0), raw), (1, 1))
    assert got[0] == "take"
    book = {k: ((1, 1), v) for k, v in got[1]}
    assert bk.decide(book, ("config", (0, 0), raw), (1, 2))[:2] == ("refuse", 501)
    assert bk.decide(book, ("config", (1, 1), {"zones": 3}), (1, 2))[:2] == ("refuse", 502)
    assert bk.decide(book, ("evac", "nowhere", True), (1, 2))[:2] == ("refuse", 505)
    assert bk.decide(book, ("duty", "shard", "t", 1, "a", ""), (1, 2))[:2] == ("refuse", 501)
