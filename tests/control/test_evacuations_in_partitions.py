"""Evacuations requested on both sides while one core is partitioned for 20 s (docs/control-safety.md, 3.1)."""

import pytest

from silverglade.control.decisions import fencing_token
from silverglade.control.operations import Evacuate
from silverglade.testbed.simulator import control_cluster as council

from ..support.source_mutation import without
from .test_control_partitions import SIZES, WAYS, core_with_role, cut


class Evacuator:
    """A client that drains a zone and returns it, with the fencing token of a core, and repeats each request until it is settled."""

    def __init__(self, c, name, at=""):
        self.c, self.name, self.at, self.on, self.n, self.job = c, name, at, False, 0, None
        c.clients[name] = self
        c.acknowledged = getattr(c, "acknowledged", {})
        self.push()

    def push(self):
        c, to = self.c, self.at or self.c.primary()
        x = c.cores.get(to)
        if x and x.gen:
            if self.job is None:
                self.n += 1
                op = ("evac", "za", self.on)
                token = fencing_token(x.state.committed_items, Evacuate(*op[1:]))
                self.job = (
                    c.rng.getrandbits(40),
                    (*op, token),
                    f"{self.name}.{self.n}",
                )
            number, op, change = self.job
            c.after(council.SEC * 0.02, x.feed, ("msg", self.name, ("op", number, change, op, str(op))))
        c.after(council.SEC / 4, self.push)

    def told(self, frm, body):
        if body[0] != "opr" or self.job is None or body[1] != self.job[0] or body[2][0] in ("unknown", "elsewhere"):
            return
        job, self.job = self.job, None
        if body[2][0] != "ok":  # stale: make a new request
            return
        version, (_, _, on, base) = body[2][1], job[1]
        if self.c.acknowledged.setdefault(version, (on, base)) != (on, base):
            self.c.bad("two-at-one-version", version)
        self.on = not on


def evacuate_during_partition(role, way, *, size, tolerance, seed):
    c = council.settled(seed=seed, size=size, tolerance=tolerance)
    name = core_with_role(c, role)
    Evacuator(c, "inside", at=name)
    Evacuator(c, "outside")
    c.run(2)
    for client in c.clients.values():  # with odd seeds there are only evacuations, no other operations
        client.open = seed % 2 == 0
    before = len(c.acknowledged)
    cut(c, name, way)
    c.run(20)
    during = len(c.acknowledged) - before
    c.cuts.clear()
    c.run(6)
    for client in list(c.clients.values()):
        client.push = client.next = lambda *_: None
    c.run(2)
    version, on = c.cores[c.primary()].state.store["evac/za"]
    newest = max(c.acknowledged)
    if version < newest or c.acknowledged.get(version, (on,))[0] != on:
        c.bad("acknowledged-and-undone", version, newest, on)
    for later, (
        wanted,
        base,
    ) in c.acknowledged.items():  # setting the current value again is allowed; otherwise the base must be the previous change
        passed_over = max((v for v in c.acknowledged if base < v < later), default=None)
        if passed_over and c.acknowledged[passed_over][0] != wanted:
            c.bad("acknowledged-and-undone", passed_over, base, later)
    return c, during


@pytest.mark.parametrize("size,tolerance", SIZES)
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("role", ["primary", "backup", "witness"])
def test_no_evacuation_acknowledged_on_either_side_is_undone(role, way, size, tolerance):
    for seed in range(2):
        c, during = evacuate_during_partition(role, way, size=size, tolerance=tolerance, seed=seed)
        assert c.faults == [], seed
        assert during >= 5


def test_an_acknowledgement_before_replication_is_detected(monkeypatch):
    def fault_rules(seeds):
        return {
            fault[1]
            for seed in seeds
            for fault in evacuate_during_partition("primary", "both", size=3, tolerance=(1, 1, 1), seed=seed)[0].faults
        }

    assert fault_rules(range(4)) == set()
    module = "silverglade.control.replication"
    old = "        if succeeded:\n            replicate(core, view, pending)"
    new = old + "\n            for told in pending.answers:\n                answer(core, told.client, told.result)"
    without(monkeypatch, module, old, new, module + ".on_written_by_primary")
    assert fault_rules(range(24)) & {"two-at-one-version", "acknowledged-and-undone", "both-won"}
