"""Fuzz tests of the view register (design 5.2), with an oracle that sees every chosen view."""

import random

from silverglade.control import register as rg
from silverglade.control.decision_types import Apply
from silverglade.control.decisions import decide
from silverglade.control.messages import Accept, Accepted, Prepare, Rejected
from silverglade.control.operation_results import Refused
from silverglade.control.operations import AssignRole, ConfigurationChange, Evacuate
from silverglade.control.view import Ballot, View, is_view

NAMES = tuple("abcdefghi")


class RegisterSimulation:
    """Simulates witnesses that join, leave and lose their disks, on a network that drops, delays and duplicates messages."""

    def __init__(self, seed):
        self.rng, self.n = random.Random(seed), 0
        self.disk = {c: c + "0" for c in NAMES}
        self.reg = {c: rg.Register() for c in NAMES}
        first = View(1, "a", ("b",), tuple((c, self.disk[c]) for c in NAMES[: 3 + 2 * (seed % 2)]))
        for c in rg.disks(first):
            self.reg[c] = rg.Register(base=first, promised=Ballot(1, "a"))
        self.chosen, self.rounds, self.mail, self.highest_ballot = {1: first}, {}, [], 1
        self.loss, self.reach = (0.02, 0.1, 0.3)[seed % 3], (1.0, 0.75)[seed // 3 % 2]

    def propose(self):
        """Start a round in which a member of a chosen view proposes the next one, as a core would."""
        r, e = self.rng, max(self.chosen)
        v = self.chosen[max(1, e - (r.random() < 0.5))]
        proposer_name = r.choice(rg.members(v))
        if dict(v[3])[proposer_name] != self.disk[proposer_name]:
            return
        names = set(rg.disks(v))
        if r.random() < 0.5:  # several witnesses join and leave at once
            names ^= set(r.sample(NAMES, r.randrange(1, 4)))
        names |= {proposer_name}
        if len(names) < 3:
            return
        named_disks = {c: rg.disks(v).get(c, self.disk[c]) for c in names}
        if r.random() < 0.7:  # name the present disks
            named_disks = {c: self.disk[c] for c in names}
        pool = sorted(names - {proposer_name})
        self.highest_ballot += r.randrange(1, 3)
        b = Ballot(self.highest_ballot, proposer_name)
        want = View(
            v[0] + 1, proposer_name, tuple(r.sample(pool, r.randrange(1, min(3, len(pool)) + 1))), tuple(sorted(named_disks.items()))
        )
        assert is_view(want)
        reachable = [c for c in rg.disks(v) if r.random() < self.reach]  # the witnesses reachable in this round
        self.rounds[b] = (rg.Round(ballot=b, base=v, preferred=want), reachable)
        self.post(b, self.rounds[b][0].begin())

    def post(self, b, message):
        match message:
            case Prepare() | Accept():
                self.mail = self.mail[-40:] + [(b, c, message) for c in self.rounds[b][1]]
            case rg.Chosen(view):
                assert self.chosen.setdefault(view.epoch, view) == view, "two views of one epoch"
            case rg.Superseded(view):
                assert self.chosen[view.epoch] == view, "a base that was not chosen"
        if isinstance(message, rg.Chosen | rg.Preempted | rg.Superseded):
            self.rounds.pop(b, None)

    def emptied_disks(self):
        """Return how many disks of the newest view are lost, and how many may be."""
        newest = dict(self.chosen[max(self.chosen)][3])
        return sum(self.disk[c] != d for c, d in newest.items()), (len(newest) - 1) // 2

    def step(self):
        r = self.rng
        k = r.random()
        if k < 0.02:
            return self.propose()
        if k < 0.025:  # a disk lost; a majority of the newest view keeps its own
            gone, most = self.emptied_disks()
            c = r.choice(NAMES)
            if gone < most or c not in dict(self.chosen[max(self.chosen)][3]):
                self.n += 1
                self.disk[c], self.reg[c] = f"{c}{self.n}", rg.Register()
            return None
        if k < 0.04:  # a witness learns a chosen view
            c, v = r.choice(NAMES), self.chosen[r.choice(sorted(self.chosen))]
            self.reg[c] = rg.with_base(self.reg[c], v)
        if not self.mail:
            return None
        i = r.randrange(len(self.mail))
        b, c, message = self.mail[i]
        if r.random() < 0.85:
            self.mail.pop(i)
        if r.random() < self.loss:
            return None
        if not isinstance(message, Prepare | Accept):  # a witness's answer
            if b in self.rounds:
                self.post(b, self.rounds[b][0].answer(c, message))
            return None
        f = rg.prepare if isinstance(message, Prepare) else rg.accept
        self.reg[c], answer = f(self.reg[c], message, disk=self.disk[c])
        self.mail.append((b, c, answer))
        return None


def fuzz(seeds=150, steps=6000):
    """Run all seeds; return the highest epoch reached."""
    most = 0
    for seed in range(seeds):
        b = RegisterSimulation(seed)
        for _ in range(steps):
            b.step()
        most = max(most, max(b.chosen))
    return most


def count_violations(seeds=150, steps=6000):
    violations = 0
    for seed in range(seeds):
        try:
            b = RegisterSimulation(seed)
            for _ in range(steps):
                b.step()
        except AssertionError:
            violations += 1
    return violations


def test_only_one_view_is_chosen_per_epoch_despite_loss_duplicates_and_emptied_disks():
    assert fuzz() > 12


def test_without_the_disk_check_on_votes_two_views_win(monkeypatch):
    """With the guard removed, votes count whatever the disk; the simulation must detect it."""

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
    assert count_violations()


def test_if_the_proposed_witnesses_could_vote_two_views_would_win(monkeypatch):
    """With the guard removed, the witnesses of the proposed view vote instead of those of its base."""
    real = rg.Round

    def without_guard(*, ballot, base, preferred):
        return real(ballot=ballot, base=base._replace(witnesses=preferred.witnesses), preferred=preferred)

    monkeypatch.setattr(rg, "Round", without_guard)
    assert count_violations()


def complete_an_old_view():
    """After views 2 and 3 were chosen, a proposer that has learnt of neither completes view 2 with the old witnesses.

    Return the chosen view 3, and the view that a later round for epoch 3 chooses, or None.
    """
    names = "abcde"
    v1 = View(1, "a", ("b",), tuple((c, c) for c in "abc"))
    v2 = View(2, "b", ("c",), tuple((c, c) for c in names))
    v3, v3b = View(3, "c", ("d",), v2.witnesses), View(3, "b", ("a",), v2.witnesses)
    reg = {c: rg.Register(base=v1 if c in "abc" else None) for c in names}

    def run(proposer_name, n, base, want, prep, acc):
        proposer = rg.Round(ballot=Ballot(n, proposer_name), base=base, preferred=want)
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


def test_a_witness_accepts_no_successor_of_an_older_view(monkeypatch):
    chosen, again = complete_an_old_view()
    assert again in (None, chosen)

    def without_guard(reg, message, /, *, disk):
        ballot, base, view = message
        if ballot < reg.promised:
            return reg, Rejected(ballot, disk, reg.promised)
        return rg.Register(promised=ballot, base=base, accepted=ballot, view=view), Accepted(ballot, disk)

    monkeypatch.setattr(rg, "accept", without_guard)
    chosen, again = complete_an_old_view()
    assert again not in (None, chosen)


def test_if_a_minority_could_choose_two_views_would_win(monkeypatch):
    monkeypatch.setattr(rg, "majority", lambda n: n // 2)
    assert count_violations()


def test_a_register_in_the_single_backup_format_is_read():
    old = (3, "a", "b", (("a", "1"), ("b", "2"), ("c", "3")))
    nxt = (4, "b", "c", old[3])
    got = rg.read({"reg": dict(promised=(7, "b"), ballot=(7, "b"), view=nxt), "view": ((6, "a"), old)})
    assert got.stored() == dict(promised=(7, "b"), base=(3, "a", ("b",), old[3]), ballot=(7, "b"), view=(4, "b", ("c",), old[3]))
    assert is_view(got.base) and rg.read({"reg": got.stored()}) == got and rg.read({}) == rg.Register()
    assert {type(x) for x in got.stored().values()} == {tuple}  # the register is stored as plain arrays
    done = rg.read({"reg": dict(promised=(7, "b"), ballot=(7, "b"), view=nxt), "view": ((7, "b"), nxt)})
    assert done.base.epoch == 4 and done.view is None and done.promised == (7, "b")


def refusal_code(decision):
    assert isinstance(decision, Refused)
    return decision.code


def test_only_one_of_two_changes_with_the_same_base_is_accepted():
    raw = {"zones": {"z": {"region": "r"}}, "tenants": {}}
    first = decide({}, ConfigurationChange((0, 0), raw), (1, 1))
    assert isinstance(first, Apply)
    store = {key: ((1, 1), value) for key, value in first.values}
    assert refusal_code(decide(store, ConfigurationChange((0, 0), raw), (1, 2))) == 501
    assert refusal_code(decide(store, ConfigurationChange((1, 1), {"zones": 3}), (1, 2))) == 502
    assert refusal_code(decide(store, Evacuate("nowhere", True), (1, 2))) == 505
    assert refusal_code(decide(store, AssignRole("shard", "t", 1, "a", ""), (1, 2))) == 501
