"""Callers of forwarded requests in the configuration (design 17): accepted, rejected, and absent from configurations stored earlier."""

import pytest

from silverglade.configuration.schema import key_digest, parse_configuration
from silverglade.routing.callers import build_caller_table

from ..support.router_bench import ZONES, RouterBench, only_effect, parsed_configuration, route

KEY, OTHER = key_digest("key"), key_digest("other")


def parsed(callers, **fields):
    """Parse a configuration with these callers -> the configuration, its errors."""
    raw = dict(zones=ZONES, tenants={}, services={"s": {}}, routes=[route(**fields)], callers=callers)
    return parse_configuration(raw)


def test_callers_are_accepted_with_their_defaults():
    configuration, errors = parsed({"ann": {"keys": [KEY]}, "bob": {"keys": [], "homes": ["a"], "rank": 0}})
    assert errors == ()
    assert configuration["callers"]["ann"] == {"keys": (KEY,), "homes": (), "rank": None}
    assert configuration["callers"]["bob"] == {"keys": (), "homes": ("a",), "rank": 0}


@pytest.mark.parametrize(
    "callers, path",
    [
        ({"ann": {"keys": [KEY]}, "bob": {"keys": [OTHER, KEY]}}, "callers.bob.keys[1]"),
        ({"ann": {"keys": [KEY], "homes": ["a", "nowhere"]}}, "callers.ann.homes[1]"),
        ({"ann": {"keys": [KEY], "rank": -1}}, "callers.ann.rank"),
        ({"ann": {"keys": ["short"]}}, "callers.ann.keys[0]"),
        ({"ann": {"keys": KEY}}, "callers.ann.keys"),
        ({"ann": {"keys": [], "key": 1}}, "callers.ann.key"),
        ({"ann\r\nX: y": {"keys": []}}, "callers.ann\r\nX: y"),
        ({"änn": {"keys": []}}, "callers.änn"),
        ([], "callers"),
        (None, "callers"),
    ],
)
def test_an_invalid_caller_makes_the_configuration_invalid(callers, path):
    configuration, errors = parsed(callers)
    assert configuration is None and [error.path for error in errors] == [path]


def test_a_route_may_be_public():
    assert parsed({}, public=True)[0]["routes"][0]["public"] is True
    assert [error.path for error in parsed({}, public=1)[1]] == ["routes[0].public"]


def test_a_configuration_without_callers_is_stored_without_the_fields_of_callers():
    """Guards against new fields in the stored and sent form of a configuration that does not use them."""
    configuration = parsed_configuration(route())
    assert "callers" not in configuration and "public" not in configuration["routes"][0]
    assert parse_configuration(configuration) == (configuration, ())


def test_a_configuration_stored_before_callers_existed_is_served():
    """Guards against a daemon that fails with a configuration stored by an earlier version, without `callers` and `public`."""
    bench = RouterBench(route())
    stored = bench.store["config"][1]
    assert "callers" not in stored and "public" not in stored["routes"][0]
    assert build_caller_table(stored) is None and build_caller_table(None) is None
    assert only_effect(bench.request()[1], "try")
