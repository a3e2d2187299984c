"""Tenants apart (design 7.3): six of sixty fill every slot with long answers; the quiet ones go on."""

from silverglade.runtime.settings import tuning
from silverglade.testbed.experiments.recovery_figures import SEC, apart

from ..support.source_mutation import without


def crowd(**kw):
    return apart(1, 6, slow=20, rate=20.0, secs=10, **kw)


def test_quiet_tenants_are_served_beside_a_crowd_that_fills_every_slot():
    alone, lost, _, _ = apart(1, 0, slow=20, secs=10)
    assert lost == 0
    ws, lost, _, s = crowd()
    assert lost == 0 and s.o.faults == []
    assert ws[int(len(ws) * 0.95)] < 3 * alone[int(len(alone) * 0.95)]


def test_without_the_ledgers_fairness_they_are_not(monkeypatch):
    without(
        monkeypatch,
        "silverglade.replicas.slot_leases",
        ("return slots.is_fair_to_lease(tenant)", "while self._free_slots(name, slots, now) and slots.waiting:"),
        ("return True", "while False:"),
        "silverglade.runtime.daemon_components.SlotLeases",
    )
    assert crowd()[1] > 0


def prompt(s):
    """Of the orders refused, how many were told within a tenth of a second?"""
    no = [o for o in s.o.orders.values() if o["told"] and o["told"][0] == "fault"]
    return sum(o["when"] - o["at"] < 0.1 * SEC for o in no) / len(no)


def test_a_crowd_beyond_its_line_is_answered_at_once_and_without_the_lines_bound_it_waits():
    assert prompt(crowd()[3]) > 0.4
    assert prompt(crowd(opt=tuning(queue=100000))[3]) == 0
