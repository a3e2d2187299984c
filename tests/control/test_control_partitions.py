"""One core cut off for twenty seconds, each way, with operators on either side (docs/control-safety.md, 3.1)."""

import pytest

from silverglade.testbed.faults import control_faults as trials
from silverglade.testbed.simulator import control_cluster as council

from ..support.source_mutation import without

SIZES = [(3, (1, 1, 1)), (5, (2, 1, 1))]
WAYS = ("both", "in", "out")


class Refused:
    """Asks one core again and again for what must be refused: a change on a base of long ago, or an invalid one.

    A refusal names the number that is in force: never less than what was acknowledged before it was asked for.
    """

    def __init__(self, c, name, at, invalid=True):
        self.c, self.name, self.at, self.invalid, self.told_of, self.asked = c, name, at, invalid, 0, {}
        c.clients[name] = self
        self.ask()

    def ask(self):
        c, n = self.c, self.c.rng.getrandbits(40)
        cfg = dict(council.BASE, number=10**6)
        op = ("table", 0, 10**6, cfg, "never")
        if self.invalid and c.rng.random() < 0.5:
            op = ("table", c.newest(), 10**6, {"zones": 3}, "never")
        self.asked[n] = (op, c.newest())
        if self.at in c.cores:
            c.after(council.SEC * 0.01, c.cores[self.at].feed, ("msg", self.name, ("op", n, f"{self.name}.{n}", op, str(n))))
        c.after(council.SEC * 0.3, self.ask)

    def told(self, frm, body):
        if body[0] != "opr" or body[1] not in self.asked:
            return
        (op, floor), answer = self.asked.pop(body[1]), body[2]
        match answer:
            case ("ok", *_) if floor:
                self.c.bad("took-what-is-invalid", op)
            case ("refuse", 501, said):
                self.told_of += 1
                if int(said.rsplit(" ", 1)[1]) < floor:
                    self.c.bad("refused-by-what-is-old", said, floor)
            case ("refuse", *_):
                self.told_of += 1


def cut(c, name, way):
    """The core from all others: both ways, what comes in, or what goes out."""
    others = [n for n in c.cores if n != name]
    if way == "in":
        c.cut(others, [name], both=False)
    else:
        c.cut([name], others, both=way == "both")


def the_one(c, role):
    view = c.view()
    if role == "witness":
        return next(n for n in sorted(c.cores) if n not in view[1:2] and n not in view[2])
    return view[1] if role == "primary" else view[2][0]


def twenty_seconds(role, way, *, size, tolerance, seed):
    """-> the council after it, and the refusals heard on either side."""
    c = council.settled(seed=seed, size=size, tolerance=tolerance)
    c.run(1)
    name = the_one(c, role)
    judges = [Refused(c, f"judge-{n}", n) for n in c.cores]
    council.Operator(c, "here", at=name)
    reader = council.Operator(c, "reader", at=name, reads=1.0)
    cut(c, name, way)
    served = trials.served(c, trials.BACK)
    c.run(20)
    c.cuts.clear()
    trials.served(c, trials.BACK)
    reader.open = False
    if c.run(20, until=c.sound) is None:
        c.bad("not-whole", c.view())
    return c, served, sum(j.told_of for j in judges)


@pytest.mark.parametrize("size,tolerance", SIZES)
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("role", ["primary", "backup", "witness"])
def test_a_core_that_is_cut_off_for_twenty_seconds_says_nothing_that_the_others_contradict(role, way, size, tolerance):
    for seed in range(5):
        c, served, refusals = twenty_seconds(role, way, size=size, tolerance=tolerance, seed=seed)
        assert c.faults == [], seed
        assert served <= 6 and refusals and c.reads


def an_idle_primary_is_cut_off(seed):
    """The others lead and take changes; then it is asked for what it must refuse, by what it holds."""
    c = council.settled(seed=seed, size=5, tolerance=(2, 1, 1))
    operators, x = list(c.clients.values()), trials.lead(c)
    for o in operators:
        o.open = False
    c.run(1.5)
    trials.primary_is_cut_off(c)
    assert c.run(5, until=lambda: c.primary() != x.name)
    for o in operators:
        o.open = True
        o.next()
    assert trials.served(c, trials.BACK)
    Refused(c, "judge", x.name, invalid=False)  # a base that it does not know yet it would note, and be held up by that
    c.run(3)
    return {b[1] for b in c.faults}


def test_a_refusal_that_nobody_confirmed_would_contradict_the_others(monkeypatch):
    assert an_idle_primary_is_cut_off(1) == set()
    module = "silverglade.control.replication"
    without(
        monkeypatch,
        module,
        "    else:\n        replicate(core, view, pending)\n",
        "    else:\n        commit(core, view, pending, now)\n",
        f"{module}.begin",
    )
    assert "refused-by-what-is-old" in an_idle_primary_is_cut_off(1)
