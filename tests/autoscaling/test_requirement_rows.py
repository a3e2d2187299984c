"""What a region requires, on its way to the daemon that orders replicas (design 16.5): each test fails without its rule."""

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
    made = RequirementPublisher(own_name=name, region="m", tuning=tuning())
    assert made.rows_due(0 * SECOND, services=("s",), required={"s": (3, 2, True)}, members=members) == []  # it has just started
    return made


def due(made, required=(3, 2, True), *, members=MEMBERS, now=WARM):
    return made.rows_due(now, services=("s",), required={"s": required, "other": (9, 9, False)}, members=members)


def test_one_daemon_of_the_region_that_clients_call_publishes():
    chosen = publisher_of("m", MEMBERS)
    assert chosen in ("a", "b", "c")
    published = {name: due(publisher(name)) for name in ("a", "b", "c", "core", "far")}
    assert [name for name, rows in published.items() if rows] == [chosen]
    (row,) = published[chosen]
    assert (row.kind, row.key, row.value, row.scope) == (REQUIREMENT_ROW, "s/m", (3, 2, True, chosen), "")


def test_no_core_no_daemon_of_another_region_and_none_that_is_leaving_publishes():
    for others in ({"core": True}, {"region": "n"}, {"state": "leaving"}, {"state": "joining"}):
        rows = tuple(member(f"other{i}", **others) for i in range(20))
        assert publisher_of("m", members_of((member("a"), *rows))) == "a"
        assert publisher_of("m", members_of(rows)) is None


def test_a_daemon_that_has_just_started_publishes_nothing_for_the_time_of_the_trend():
    made = publisher(publisher_of("m", MEMBERS))
    trend = tuning()["scale_trend"]
    assert due(made, now=trend - SECOND) == [] and due(made, now=trend) != []


def test_a_row_is_published_only_when_it_says_something_new():
    made = publisher(publisher_of("m", MEMBERS))
    (first,) = due(made)
    assert due(made) == []
    (second,) = due(made, (4, 2, True))
    assert second.rank > first.rank


def test_a_successor_outranks_the_rows_of_the_daemon_before_it():
    first = publisher_of("m", MEMBERS)
    rest = tuple(m for m in MEMBERS if m.name != first)
    successor = publisher(publisher_of("m", rest))
    rows = {"s/m": ((41,), (3, 2, True, first)), "s/n": ((99,), (1, 1, False, "far"))}
    successor.observe_rows(rows)
    assert due(successor) == []  # not its turn
    (row,) = due(successor, members=rest)  # the same numbers, by another daemon
    assert row.rank == (42,) and RequirementRow.of(row.value).publisher == successor._own_name


def test_an_older_row_that_comes_late_does_not_lower_the_rank():
    made = publisher(publisher_of("m", MEMBERS))
    made.observe_rows({"s/m": ((7,), None)})
    made.observe_rows({"s/m": ((3,), (1, 1, False, "x"))})
    assert due(made)[0].rank == (8,)


def test_a_core_collects_these_rows_before_it_answers_the_fleet():
    rows = CoreRows(process_id="p")
    rows.take([SoftStateRow(REQUIREMENT_ROW, "s/m", (1,), (1, 1, False, "a"), "")], 0 * SECOND)
    assert rows.has_changed and not rows.has_urgent_change
    rows.take([SoftStateRow("listed", "r", (0, 1), None, "")], 0 * SECOND)
    assert rows.has_urgent_change


def test_keys_hold_any_region():
    assert split_requirement_key(requirement_key("s", "a region/with both")) == ("s", "a region/with both")


@pytest.mark.parametrize("value", [None, (), (1, 1, False), (1, 1, 0, "a"), (True, 1, False, "a"), (-1, 1, False, "a"), [1, 1, False, "a"]])
def test_rows_of_another_form_are_told_apart(value):
    assert is_requirement_row((1, 1, False, "a")) and is_requirement_row((1, 1, False, "a", "later"))
    assert not is_requirement_row(value)


def test_services_without_scaling_are_not_scaled():
    assert scalable_services({"services": {"s": {"scaling": SCALING}, "t": {}, "u": {"scaling": None}}}) == {"s": SCALING}
    assert scalable_services({"services": None}) == scalable_services({}) == {}


def scaler_effects(services):
    """What the scaler of the region's publisher posts in half a minute."""
    made = MachineComponent(ServiceScaler(own_name="a", region="m", tuning=tuning()))
    routes = [dict(name="r", kind="pure", aim_ms=600, shares=[dict(service=name, weight=1.0) for name in services])]
    made.send((0 * SECOND, ("roll", (member("a"),))))
    made.send((0 * SECOND, ("book", {"config": ((1, 1), {"routes": routes, "services": services})}, (1, 1))))
    effects = [effect for i in range(300) for effect in made.send((i * 0.1 * SECOND, ("pulse",)))]
    return [effect[1:] for effect in effects if effect[0] == "post"]


def test_the_scaler_publishes_for_services_with_scaling_alone():
    assert scaler_effects({"s": {}, "t": {}}) == []
    assert scaler_effects({"s": {}, "t": {"scaling": SCALING}}) == [
        ("membership", ("publish", REQUIREMENT_ROW, "t/m", (1,), (0, 0, False, "a"), ""))
    ]
