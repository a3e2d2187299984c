"""The view register under fuzz (design 5.2), with an oracle that sees every choice."""

import random

from silverglade.control import register as rg
from silverglade.control.decisions import decide
from silverglade.control.judgements import Apply
from silverglade.control.messages import Accept, Accepted, Prepare, Rejected
from silverglade.control.operation_results import Refused
from silverglade.control.operations import AssignRole, ConfigurationChange, Evacuate
from silverglade.control.view import Ballot, View, is_view

NAMES = tuple("abcdefghi")


class Bench:
    """Witnesses that come, go and are emptied; a network that drops, delays and repeats."""

    def __init__(self, seed):
        self.rng, self.n = random.Random(seed), 0
        self.disk = {c: c + "0" for c in NAMES}
        self.reg = {c: rg.Register() for c in NAMES}
        first = View(1, "a", ("b",), tuple((c, self.disk[c]) for c in NAMES[: 3 + 2 * (seed % 2)]))
        for c in rg.disks(first):
            self.reg[c] = rg.Register(base=first, promised=Ballot(1, "a"))
        self.chosen, self.rounds, self.mail, self.top = {1: first}, {}, [], 1
        self.loss, self.reach = (0.02, 0.1, 0.3)[seed % 3], (1.0, 0.75)[seed // 3 % 2]

    def propose(self):
        """A member of a view that was chosen seeks the next, as the core part would."""
        r, e = self.rng, max(self.chosen)
        v = self.chosen[max(1, e - (r.random() < 0.5))]
        me = r.choice(rg.members(v))
        if dict(v[3])[me] != self.disk[me]:
            return
        names = set(rg.disks(v))
        if r.random() < 0.5:  # several come and go at once
            names ^= set(r.sample(NAMES, r.randrange(1, 4)))
        names |= {me}
        if len(names) < 3:
            return
        ds = {c: rg.disks(v).get(c, self.disk[c]) for c in names}
        if r.random() < 0.7:  # admit the disks seen now
            ds = {c: self.disk[c] for c in names}
        pool = sorted(names - {me})
        self.top += r.randrange(1, 3)
        b = Ballot(self.top, me)
        want = View(v[0] + 1, me, tuple(r.sample(pool, r.randrange(1, min(3, len(pool)) + 1))), tuple(sorted(ds.items())))
        assert is_view(want)
        near = [c for c in rg.disks(v) if r.random() < self.reach]  # who can be reached this time
        self.rounds[b] = (rg.Round(ballot=b, base=v, want=want), near)
        self.post(b, self.rounds[b][0].begin())

    def post(self, b, msg):
        match msg:
            case Prepare() | Accept():
                self.mail = self.mail[-40:] + [(b, c, msg) for c in self.rounds[b][1]]
            case rg.Chosen(view):
                assert self.chosen.setdefault(view.epoch, view) == view, "two views of one epoch"
            case rg.Superseded(view):
                assert self.chosen[view.epoch] == view, "a base that was not chosen"
        if isinstance(msg, rg.Chosen | rg.Preempted | rg.Superseded):
            self.rounds.pop(b, None)

    def bare(self):
        """Disks of the newest view that are gone, and how many may be."""
        newest = dict(self.chosen[max(self.chosen)][3])
        return sum(self.disk[c] != d for c, d in newest.items()), (len(newest) - 1) // 2

    def step(self):
        r = self.rng
        k = r.random()
        if k < 0.02:
            return self.propose()
        if k < 0.025:  # a disk lost; a majority of the newest view keeps its own
            gone, most = self.bare()
            c = r.choice(NAMES)
            if gone < most or c not in dict(self.chosen[max(self.chosen)][3]):
                self.n += 1
                self.disk[c], self.reg[c] = f"{c}{self.n}", rg.Register()
            return None
        if k < 0.04:  # someone tells what was chosen
            c, v = r.choice(NAMES), self.chosen[r.choice(sorted(self.chosen))]
            self.reg[c] = rg.with_base(self.reg[c], v)
        if not self.mail:
            return None
        i = r.randrange(len(self.mail))
        b, c, msg = self.mail[i]
        if r.random() < 0.85:
            self.mail.pop(i)
        if r.random() < self.loss:
            return None
        if not isinstance(msg, Prepare | Accept):  # a witness's answer
            if b in self.rounds:
                self.post(b, self.rounds[b][0].answer(c, msg))
            return None
        f = rg.prepare if isinstance(msg, Prepare) else rg.accept
        self.reg[c], ans = f(self.reg[c], msg, disk=self.disk[c])
        self.mail.append((b, c, ans))
        return None


def fuzz(seeds=150, steps=6000):
    """-> the highest epoch reached."""
    most = 0
    for seed in range(seeds):
        b = Bench(seed)
        for _ in range(steps):
            b.step()
        most = max(most, max(b.chosen))
    return most


def falls(seeds=150, steps=6000):
    fell = 0
    for seed in range(seeds):
        try:
            b = Bench(seed)
            for _ in range(steps):
                b.step()
        except AssertionError:
            fell += 1
    return fell


def test_one_view_of_an_epoch_is_chosen_whatever_is_lost_repeated_emptied_or_replaced():
    assert fuzz() > 12


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

    real = rg.disks
    monkeypatch.setattr(rg, "disks", lambda v: Any(real(v)))
    assert falls()


def test_new_witnesses_that_voted_on_their_own_coming_would_let_two_views_win(monkeypatch):
    """The guard out: the votes that count are those of the view wanted, not of its base."""
    real = rg.Round

    def careless(*, ballot, base, want):
        return real(ballot=ballot, base=base._replace(witnesses=want.witnesses), want=want)

    monkeypatch.setattr(rg, "Round", careless)
    assert falls()


def overwritten():
    """Views 2 and 3 are chosen; one who knows of neither completes 2 with the old witnesses. -> view 3, twice."""
    names = "abcde"
    v1 = View(1, "a", ("b",), tuple((c, c) for c in "abc"))
    v2 = View(2, "b", ("c",), tuple((c, c) for c in names))
    v3, v3b = View(3, "c", ("d",), v2.witnesses), View(3, "b", ("a",), v2.witnesses)
    reg = {c: rg.Register(base=v1 if c in "abc" else None) for c in names}

    def run(me, n, base, want, prep, acc):
        proposer = rg.Round(ballot=Ballot(n, me), base=base, want=want)
        got = None
        for c in prep:
            reg[c], answer = rg.prepare(reg[c], proposer.begin(), disk=c)
            got = proposer.answer(c, answer)
            if isinstance(got, Accept):
                break
        asked, end = got, None
        for c in acc:
            reg[c], answer = rg.accept(reg[c], asked, disk=c)
            end = end or proposer.answer(c, answer)
        return end.view if isinstance(end, rg.Chosen) else None

    assert run("b", 2, v1, v2, "bac", "ac") == v2
    assert run("c", 3, v2, v3, "cde", "cde") == v3
    run("a", 4, v1, View(2, "a", ("b",), v1.witnesses), "ab", "abc")
    return v3, run("b", 5, v2, v3b, "abc", "abc")


def test_a_witness_takes_nothing_that_follows_an_older_view(monkeypatch):
    chosen, again = overwritten()
    assert again in (None, chosen)

    def careless(reg, message, /, *, disk):
        ballot, base, view = message
        if ballot < reg.promised:
            return reg, Rejected(ballot, disk, reg.promised)
        return rg.Register(promised=ballot, base=base, accepted=ballot, view=view), Accepted(ballot, disk)

    monkeypatch.setattr(rg, "accept", careless)
    chosen, again = overwritten()
    assert again not in (None, chosen)


def test_a_minority_that_chose_would_let_two_views_win(monkeypatch):
    monkeypatch.setattr(rg, "majority", lambda n: n // 2)
    assert falls()


def test_a_register_written_before_views_had_several_backups_is_read():
    old = (3, "a", "b", (("a", "1"), ("b", "2"), ("c", "3")))
    nxt = (4, "b", "c", old[3])
    got = rg.read({"reg": dict(promised=(7, "b"), ballot=(7, "b"), view=nxt), "view": ((6, "a"), old)})
    assert got.stored() == dict(promised=(7, "b"), base=(3, "a", ("b",), old[3]), ballot=(7, "b"), view=(4, "b", ("c",), old[3]))
    assert is_view(got.base) and rg.read({"reg": got.stored()}) == got and rg.read({}) == rg.Register()
    assert {type(x) for x in got.stored().values()} == {tuple}  # plain arrays are stored
    done = rg.read({"reg": dict(promised=(7, "b"), ballot=(7, "b"), view=nxt), "view": ((7, "b"), nxt)})
    assert done.base.epoch == 4 and done.view is None and done.promised == (7, "b")


def refusal_code(decision):
    assert isinstance(decision, Refused)
    return decision.code


def test_the_store_takes_one_of_two_changes_over_the_same_version():
    raw = {"zones": {"z": {"region": "r"}}, "tenants": {}}
    first = decide({}, ConfigurationChange((0, 0), raw), (1, 1))
    assert isinstance(first, Apply)
    store = {key: ((1, 1), value) for key, value in first.values}
    assert refusal_code(decide(store, ConfigurationChange((0, 0), raw), (1, 2))) == 501
    assert refusal_code(decide(store, ConfigurationChange((1, 1), {"zones": 3}), (1, 2))) == 502
    assert refusal_code(decide(store, Evacuate("nowhere", True), (1, 2))) == 505
    assert refusal_code(decide(store, AssignRole("shard", "t", 1, "a", ""), (1, 2))) == 501
