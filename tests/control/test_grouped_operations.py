"""Queued operations are settled together, as one change (design 5.4)."""

import random

import pytest

from silverglade.control import outcomes, replication, store
from silverglade.control.decisions import fencing_token
from silverglade.control.messages import Operation
from silverglade.control.operations import Evacuate
from silverglade.control.view import View
from silverglade.runtime.effects import milliseconds
from silverglade.testbed.simulator import control_cluster as council

RAW = {"zones": {z: {"region": "x"} for z in ("za", "zb")}, "tenants": {}}


def settled():
    c = council.settled(seed=2, size=3, tolerance=(1, 1, 1), operators=0)
    return c, c.cores[c.primary()].gen.machine


def ask(machine, number, op, change=""):
    replication.on_operation(machine, "edge", Operation(number, change or f"c{number}", op, str(op[:3])))


def table(base, number):
    return ("table", base, number, dict(RAW, number=number), f"text {number}")


def zone(machine, name, on):
    return ("evac", name, on, fencing_token(machine.state.store, Evacuate(name, on)))


def record_answers(c):
    """Register the client `edge`; return the list that collects its answers."""

    class Client:
        got = []

        def told(self, frm, body):
            self.got.append(body[1:])

    c.clients["edge"] = client = Client()
    return client.got


def test_queued_operations_form_one_change_up_to_a_configuration():
    c, machine = settled()
    got = record_answers(c)
    ask(machine, 1, table(0, 1))
    c.cores[c.primary()].feed(("pulse",))
    for n in (2, 3, 4):
        ask(machine, n, ("read",))
    ask(machine, 5, table(1, 2))
    ask(machine, 6, table(1, 3))
    assert len(machine.state.pending.answers) == 1
    c.run(1)
    assert [n for n, _ in got] == [1, 2, 3, 4, 5, 6]
    results = dict(got)
    assert results[2] == results[3] == results[4] and results[2][2] == "text 1"
    assert results[5][0] == "ok" and results[6][:2] == ("refuse", 501) and c.faults == []


def test_a_group_ends_with_a_configuration_and_is_answered_as_a_whole_or_not_at_all():
    c, machine = settled()
    got = record_answers(c)
    for n, op in enumerate((("read",), table(0, 1), table(1, 2), ("read",)), 1):
        ask(machine, n, op)
    p = c.cores[c.primary()]
    p.feed(("pulse",))
    assert [a.client[1] for a in machine.state.pending.answers] == [1, 2] and got == []
    c.run(1)
    assert [n for n, _ in got] == [1, 2, 3, 4] and dict(got)[4][2] == "text 2"
    ask(machine, 5, zone(machine, "za", True))
    ask(machine, 6, ("read",))
    p.feed(("pulse",))
    c.cut([p.name], [x for x in c.cores if x != p.name])  # isolate the primary while a group is in flight
    c.run(8)
    c.cuts.clear()
    c.run(8)
    assert {n: r for n, r in got if n > 4} == {5: ("unknown",), 6: ("unknown",)}


@pytest.mark.parametrize("seed", range(8))
def test_a_backup_reaches_the_same_store_as_the_primary_for_any_grouping(seed, monkeypatch):
    monkeypatch.setattr(outcomes, "MAX_OUTCOMES", 12)
    monkeypatch.setattr(outcomes, "EVICTION_BATCH", 4)
    rng, machine, backup, number, n = random.Random(seed), settled()[1], {}, 0, 0
    view = machine.state.view
    assert isinstance(view, View)
    backup.update(machine.state.store)
    for _ in range(150):
        for _ in range(rng.randint(1, 9)):
            n += 1
            if number == 0 or rng.random() < 0.25:
                ask(machine, n, table(number, number + 1))
                number += 1
            elif rng.random() < 0.2:
                ask(machine, n, ("read",))
            else:
                ask(machine, n, zone(machine, rng.choice(["za", "zb"]), rng.random() < 0.5))
        while machine.state.queue:
            _, items, pruned = replication.settle_queue(machine, view, milliseconds(n))
            assert not pruned & machine.state.store.keys()
            store.apply(backup, items)
            assert backup == machine.state.store
        number = machine.state.store["config"][1]["number"]
    assert outcomes.HORIZON_KEY in backup and sum(k.startswith(outcomes.OUTCOME_PREFIX) for k in backup) <= 13
