"""The daemons that the directory returns to clients (design 15.7)."""

import pytest

from silverglade.configuration import schema as config
from silverglade.membership.directory import addresses_for_client, home_regions
from silverglade.membership.records import MemberRecord

from ..support.router_bench import ZONES, route


def record(name, zone, state="ready", serves=True):
    """Return the record of a daemon in the list of live members."""
    attributes = (("front", f"{name}:80"), ("serves", serves))
    return MemberRecord(name, "life", 1, 1, zone, ZONES[zone]["region"], "", "", False, state, (), attributes)


def configuration_with_homes(*homes):
    """Return a configuration with one route for each list of home regions."""
    routes = [route(f"r{i}", prefix=f"/r{i}/", homes=list(regions)) for i, regions in enumerate(homes)]
    parsed, faults = config.parse_configuration(
        dict(number=1, zones=ZONES, tenants={}, routes=routes, services={"s": dict(conns=9, slots=8)})
    )
    assert not faults, faults
    return parsed


MEMBERS = [record("a", "a1"), record("aa", "a1"), record("b", "b1"), record("c", "c1")]


def listed_for(members, configuration, zone="a1", host="h"):
    """Return the names of the daemons that the directory returns to a client, sorted."""
    return sorted(
        address.removesuffix(":80")
        for address in addresses_for_client(members, configuration, host=host, region=ZONES[zone]["region"], zone=zone)
    )


def test_daemons_of_the_zone_come_before_those_of_the_region():
    assert listed_for(MEMBERS, configuration_with_homes(())) == ["a", "aa"]
    assert listed_for(MEMBERS, configuration_with_homes(()), zone="b1") == ["b"]


@pytest.mark.parametrize("state", ["joining", "leaving", "left"])
def test_a_daemon_that_is_not_ready_is_not_listed(state):
    assert listed_for([record("a", "a1", state), *MEMBERS[1:]], configuration_with_homes(())) == ["aa"]


def test_without_daemons_in_the_region_those_of_the_home_regions_are_listed():
    unavailable = [record("a", "a1", "leaving"), record("aa", "a1", serves=False), *MEMBERS[2:]]
    assert listed_for(unavailable, configuration_with_homes(("c",))) == ["c"]
    assert listed_for(unavailable, configuration_with_homes(("b", "c"), ("c",))) == ["c"]  # the home region common to all routes
    assert listed_for(unavailable, configuration_with_homes(("b",), ("c",))) == ["b", "c"]
    assert (
        listed_for(unavailable, configuration_with_homes(()))
        == listed_for(unavailable, None)
        == listed_for(unavailable, configuration_with_homes(("a",)))
        == ["b", "c"]
    )
    assert listed_for(unavailable, configuration_with_homes(("c",)), host="other") == ["b", "c"]


def test_home_regions_of_a_host():
    assert home_regions(configuration_with_homes(("a", "b"), ("b", "c"), ()), "H") == {"b"}
    assert not home_regions(None, "h") and not home_regions(configuration_with_homes(("a",)), "x")
