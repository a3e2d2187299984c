"""One core partitioned for 20 s, in either or both directions, with operators on both sides (docs/control-safety.md, 3.1)."""

import pytest

from silverglade.testbed.faults import control_faults as trials
from silverglade.testbed.simulator import control_cluster as council

from ..support.source_mutation import without

SIZES = [(3, (1, 1, 1)), (5, (2, 1, 1))]
WAYS = ("both", "in", "out")


class RefusalClient:
    """A client that repeatedly requests changes that one core must refuse: on an old base, or invalid.

    A refusal names the number in force, which must not be lower than the highest number acknowledged before the request.
    """

    def __init__(self, c, name, at, invalid=True):
        self.c, self.name, self.at, self.invalid, self.refusals, self.asked = c, name, at, invalid, 0, {}
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
                self.refusals += 1
                if int(said.rsplit(" ", 1)[1]) < floor:
                    self.c.bad("refused-by-what-is-old", said, floor)
            case ("refuse", *_):
                self.refusals += 1


def cut(c, name, way):
    """Cut the core off from all others: in both directions, or only incoming ("in") or outgoing ("out") messages."""
    others = [n for n in c.cores if n != name]
    if way == "in":
        c.cut(others, [name], both=False)
    else:
        c.cut([name], others, both=way == "both")


def core_with_role(c, role):
    view = c.view()
    if role == "witness":
        return next(n for n in sorted(c.cores) if n not in view[1:2] and n not in view[2])
    return view[1] if role == "primary" else view[2][0]


def isolate_for_20_s(role, way, *, size, tolerance, seed):
    """Isolate a core; return the cluster afterwards, the seconds until it served again, and the number of refusals on either side."""
    c = council.settled(seed=seed, size=size, tolerance=tolerance)
    c.run(1)
    name = core_with_role(c, role)
    refusal_clients = [RefusalClient(c, f"judge-{n}", n) for n in c.cores]
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
    return c, served, sum(client.refusals for client in refusal_clients)


@pytest.mark.parametrize("size,tolerance", SIZES)
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("role", ["primary", "backup", "witness"])
def test_a_core_isolated_for_20_s_answers_consistently_with_the_others(role, way, size, tolerance):
    for seed in range(5):
        c, served, refusals = isolate_for_20_s(role, way, size=size, tolerance=tolerance, seed=seed)
        assert c.faults == [], seed
        assert served <= 6 and refusals and c.reads


def isolate_idle_primary(seed):
    """Isolate an idle primary while the others accept changes, then send it a request that it must refuse; return the faults seen."""
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
    RefusalClient(
        c, "judge", x.name, invalid=False
    )  # with invalid=True it might get a base that has not reached it, whose refusal it would record and so have to replicate
    c.run(3)
    return {b[1] for b in c.faults}


def test_an_unconfirmed_refusal_contradicts_the_other_cores(monkeypatch):
    assert isolate_idle_primary(1) == set()
    module = "silverglade.control.replication"
    without(
        monkeypatch,
        module,
        "    else:\n        replicate(core, view, pending)\n",
        "    else:\n        commit(core, view, pending, now)\n",
        f"{module}.begin",
    )
    assert "refused-by-what-is-old" in isolate_idle_primary(1)
