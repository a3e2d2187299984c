"""Publication of a region's requirements to the daemon that orders replicas (design 16.5).

Each test fails if the rule that it checks is removed.
"""

from datetime import timedelta

import pytest

from silverglade.autoscaling.requirement_rows import (
    RequirementPublisher,
    RequirementRow,
    is_requirement_row,
    publisher_of,
    requirement_key,
    scalable_services,
    split_requirement_key,
)
from silverglade.autoscaling.service_scaler import ServiceScaler
from silverglade.membership.core_rows import CoreRows
from silverglade.membership.records import REQUIREMENT_ROW, SoftStateRow, members_of
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent

SECOND = timedelta(seconds=1)
WARM = 30 * SECOND
SCALING = {"least": 1, "most": 9, "boot_ms": 8000}


def member(name, region="m", core=False, state="ready"):
    return (name, "l", 1, 1, "z", region, "", "", core, state, (), ())


MEMBERS = members_of((member("a"), member("b"), member("c"), member("core", core=True), member("far", region="n")))


def publisher(name, *, members=MEMBERS):
    instance = RequirementPublisher(own_name=name, region="m", tuning=tuning())
    assert (
        instance.rows_due(0 * SECOND, services=("s",), required={"s": (3, 2, True)}, members=members) == []
    )  # still within scale_trend of its start
    return instance


def due(instance, required=(3, 2, True), *, members=MEMBERS, now=WARM):
    return instance.rows_due(now, services=("s",), required={"s": required, "other": (9, 9, False)}, members=members)


def test_exactly_one_client_facing_daemon_of_the_region_publishes():
    chosen = publisher_of("m", MEMBERS)
    assert chosen in ("a", "b", "c")
    published = {name: due(publisher(name)) for name in ("a", "b", "c", "core", "far")}
    assert [name for name, rows in published.items() if rows] == [chosen]
    (row,) = published[chosen]
    assert (row.kind, row.key, row.value, row.scope) == (REQUIREMENT_ROW, "s/m", (3, 2, True, chosen), "")


def test_cores_foreign_daemons_and_daemons_that_are_not_ready_do_not_publish():
    for others in ({"core": True}, {"region": "n"}, {"state": "leaving"}, {"state": "joining"}):
        rows = tuple(member(f"other{i}", **others) for i in range(20))
        assert publisher_of("m", members_of((member("a"), *rows))) == "a"
        assert publisher_of("m", members_of(rows)) is None


def test_a_daemon_publishes_nothing_for_scale_trend_after_its_start():
    instance = publisher(publisher_of("m", MEMBERS))
    trend = tuning()["scale_trend"]
    assert due(instance, now=trend - SECOND) == [] and due(instance, now=trend) != []


def test_a_row_is_published_only_when_its_value_changes():
    instance = publisher(publisher_of("m", MEMBERS))
    (first,) = due(instance)
    assert due(instance) == []
    (second,) = due(instance, (4, 2, True))
    assert second.rank > first.rank


def test_a_successor_outranks_the_rows_of_the_daemon_before_it():
    first = publisher_of("m", MEMBERS)
    rest = tuple(m for m in MEMBERS if m.name != first)
    successor = publisher(publisher_of("m", rest))
    rows = {"s/m": ((41,), (3, 2, True, first)), "s/n": ((99,), (1, 1, False, "far"))}
    successor.observe_rows(rows)
    assert due(successor) == []  # not the publisher yet
    (row,) = due(successor, members=rest)  # the same numbers from another publisher
    assert row.rank == (42,) and RequirementRow.of(row.value).publisher == successor._own_name


def test_a_delayed_older_row_does_not_lower_the_rank():
    instance = publisher(publisher_of("m", MEMBERS))
    instance.observe_rows({"s/m": ((7,), None)})
    instance.observe_rows({"s/m": ((3,), (1, 1, False, "x"))})
    assert due(instance)[0].rank == (8,)


def test_requirement_rows_are_not_urgent_for_cores():
    rows = CoreRows(process_id="p")
    rows.insert([SoftStateRow(REQUIREMENT_ROW, "s/m", (1,), (1, 1, False, "a"), "")], 0 * SECOND)
    assert rows.has_changed and not rows.has_urgent_change
    rows.insert([SoftStateRow("listed", "r", (0, 1), None, "")], 0 * SECOND)
    assert rows.has_urgent_change


def test_keys_can_contain_any_region_name():
    assert split_requirement_key(requirement_key("s", "a region/with both")) == ("s", "a region/with both")


@pytest.mark.parametrize("value", [None, (), (1, 1, False), (1, 1, 0, "a"), (True, 1, False, "a"), (-1, 1, False, "a"), [1, 1, False, "a"]])
def test_malformed_rows_are_recognized(value):
    assert is_requirement_row((1, 1, False, "a")) and is_requirement_row((1, 1, False, "a", "later"))
    assert not is_requirement_row(value)


def test_services_without_scaling_are_not_scaled():
    assert scalable_services({"services": {"s": {"scaling": SCALING}, "t": {}, "u": {"scaling": None}}}) == {"s": SCALING}
    assert scalable_services({"services": None}) == scalable_services({}) == {}


def scaler_effects(services):
    """Return what the scaler of the region's publisher posts in half a minute."""
    instance = MachineComponent(ServiceScaler(own_name="a", region="m", tuning=tuning()))
    routes = [dict(name="r", kind="pure", aim_ms=600, shares=[dict(service=name, weight=1.0) for name in services])]
    instance.send((0 * SECOND, ("roll", (member("a"),))))
    instance.send((0 * SECOND, ("book", {"config": ((1, 1), {"routes": routes, "services": services})}, (1, 1))))
    effects = [effect for i in range(300) for effect in instance.send((i * 0.1 * SECOND, ("pulse",)))]
    return [effect[1:] for effect in effects if effect[0] == "post"]


def test_the_scaler_publishes_only_for_services_with_scaling():
    assert scaler_effects({"s": {}, "t": {}}) == []
    assert scaler_effects({"s": {}, "t": {"scaling": SCALING}}) == [
        ("membership", ("publish", REQUIREMENT_ROW, "t/m", (1,), (0, 0, False, "a"), ""))
    ]
