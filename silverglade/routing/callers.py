"""Callers of forwarded requests (design 17): identification by key, home regions and rank."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any, NamedTuple

NO_REGION: Collection[str] = ("",)
"""A set of regions that matches none: a region name is never empty. An empty set would mean any region."""


class Caller(NamedTuple):
    """A caller of the configuration.

    :ivar homes: regions where its requests may be served; empty for any.
    :ivar rank_offset: added to the rank of a route: the number of route ranks for each caller rank that comes first.
    """

    name: str
    homes: frozenset[str]
    rank_offset: int


CallerTable = dict[str, Caller]
"""Key digest to the caller that holds the key."""


def build_caller_table(configuration: Mapping[str, Any] | None, /) -> CallerTable | None:
    """Build the caller table of a configuration; None if it requires no keys."""
    callers = (configuration or {}).get("callers")
    if callers is None:
        return None
    offsets = rank_offsets(configuration or {})
    return {
        key: caller
        for name, fields in callers.items()
        for caller in (Caller(name, frozenset(fields["homes"]), offsets[fields["rank"] or 0]),)
        for key in fields["keys"]
    }


def rank_offsets(configuration: Mapping[str, Any], /) -> dict[int, int]:
    """Return the offset of each caller rank, such that the caller's rank takes precedence over the route's rank."""
    ranks_of_routes = 1 + max((route["rank"] for route in configuration["routes"]), default=0)
    ranks = sorted({fields["rank"] or 0 for fields in configuration["callers"].values()})
    return {rank: index * ranks_of_routes for index, rank in enumerate(ranks)}


def effective_homes(route_homes: Collection[str], caller: Caller | None, /) -> Collection[str]:
    """Return the regions where a request may be served; empty for any. If both route and caller have homes, both apply."""
    if caller is None or not caller.homes:
        return route_homes
    if not route_homes:
        return caller.homes
    return caller.homes.intersection(route_homes) or NO_REGION


def effective_rank(route_rank: int, caller: Caller | None, /) -> int:
    """Return the rank of a request: the caller's rank first, then the route's."""
    return route_rank if caller is None else caller.rank_offset + route_rank
