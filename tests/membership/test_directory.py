"""Whom the directory names (design 15.7)."""

import pytest

from silverglade.configuration import schema as config
from silverglade.membership.directory import addresses_for_client, home_regions
from silverglade.membership.records import MemberRecord

from ..support.router_bench import ZONES, route


def record(name, zone, state="ready", serves=True):
    """A daemon as the roll has it."""
    extras = (("front", f"{name}:80"), ("serves", serves))
    return MemberRecord(name, "life", 1, 1, zone, ZONES[zone]["region"], "", "", False, state, (), extras)


def configured(*homes):
    rows = [route(f"r{i}", prefix=f"/r{i}/", homes=list(h)) for i, h in enumerate(homes)]
    got, bad = config.parse_configuration(dict(number=1, zones=ZONES, tenants={}, routes=rows, services={"s": dict(conns=9, slots=8)}))
    assert not bad, bad
    return got


ROLL = [record("a", "a1"), record("aa", "a1"), record("b", "b1"), record("c", "c1")]


def ask(roll, configuration, zone="a1", host="h"):
    return sorted(
        x.removesuffix(":80") for x in addresses_for_client(roll, configuration, host=host, region=ZONES[zone]["region"], zone=zone)
    )


def test_the_zone_goes_first_then_the_region():
    assert ask(ROLL, configured(())) == ["a", "aa"]
    assert ask(ROLL, configured(()), zone="b1") == ["b"]


@pytest.mark.parametrize("state", ["joining", "leaving", "left"])
def test_who_is_not_ready_is_not_named(state):
    assert ask([record("a", "a1", state), *ROLL[1:]], configured(())) == ["aa"]


def test_where_nobody_is_near_the_homes_of_the_host_go_before_all_others():
    away = [record("a", "a1", "leaving"), record("aa", "a1", serves=False), *ROLL[2:]]
    assert ask(away, configured(("c",))) == ["c"]
    assert ask(away, configured(("b", "c"), ("c",))) == ["c"]  # what all have in common
    assert ask(away, configured(("b",), ("c",))) == ["b", "c"]
    assert ask(away, configured(())) == ask(away, None) == ask(away, configured(("a",))) == ["b", "c"]
    assert ask(away, configured(("c",)), host="other") == ["b", "c"]


def test_the_homes_of_a_host():
    assert home_regions(configured(("a", "b"), ("b", "c"), ()), "H") == {"b"}
    assert not home_regions(None, "h") and not home_regions(configured(("a",)), "x")
