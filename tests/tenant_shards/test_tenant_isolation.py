"""Isolation of tenants (design 7.3): 6 of 60 tenants fill every slot with long-running requests; the others are still served."""

from silverglade.runtime.settings import tuning
from silverglade.testbed.experiments.recovery_figures import SEC, apart

from ..support.source_mutation import without


def overloaded(**options):
    return apart(1, 6, slow=20, rate=20.0, secs=10, **options)


def test_light_tenants_are_served_while_heavy_tenants_fill_every_slot():
    alone, lost, _, _ = apart(1, 0, slow=20, secs=10)
    assert lost == 0
    waits, lost, _, scene = overloaded()
    assert lost == 0 and scene.o.faults == []
    assert waits[int(len(waits) * 0.95)] < 3 * alone[int(len(alone) * 0.95)]


def test_without_fair_slot_leases_light_tenants_lose_requests(monkeypatch):
    without(
        monkeypatch,
        "silverglade.replicas.slot_leases",
        ("return slots.is_fair_to_lease(tenant)", "while self._free_slots(name, slots, now) and slots.waiting:"),
        ("return True", "while False:"),
        "silverglade.runtime.daemon_components.SlotLeases",
    )
    assert overloaded()[1] > 0


def share_refused_promptly(scene):
    """Return the share of refused requests that were answered within 0.1 s."""
    refused = [order for order in scene.o.orders.values() if order["told"] and order["told"][0] == "fault"]
    return sum(order["when"] - order["at"] < 0.1 * SEC for order in refused) / len(refused)


def test_requests_beyond_the_queue_limit_are_refused_promptly_and_wait_without_the_limit():
    assert share_refused_promptly(overloaded()[3]) > 0.4
    assert share_refused_promptly(overloaded(opt=tuning(queue=100000))[3]) == 0
