"""Callers of forwarded requests (design 17): who holds which key, and what that means for a request."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any, NamedTuple

NOWHERE: Collection[str] = ("",)
"""Regions of which none exists: a name has a letter at least. No regions at all would mean any."""


class Caller(NamedTuple):
    """A caller as the configuration has it.

    :ivar homes: regions where its requests may be served; none: any.
    :ivar rank_offset: what its rank adds to that of a route: all ranks of routes for each rank of callers that goes first.
    """

    name: str
    homes: frozenset[str]
    rank_offset: int


CallerTable = dict[str, Caller]
"""Digest of a key to the caller that holds it."""


def build_caller_table(configuration: Mapping[str, Any] | None, /) -> CallerTable | None:
    """Build the table of a configuration; None where it wants no keys."""
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
    """Return each rank of a caller with its offset: a caller's rank goes before any rank of a route."""
    ranks_of_routes = 1 + max((route["rank"] for route in configuration["routes"]), default=0)
    ranks = sorted({fields["rank"] or 0 for fields in configuration["callers"].values()})
    return {rank: index * ranks_of_routes for index, rank in enumerate(ranks)}


def effective_homes(route_homes: Collection[str], caller: Caller | None, /) -> Collection[str]:
    """Return the regions where a request may be served; none: any. Where route and caller have homes, both bind."""
    if caller is None or not caller.homes:
        return route_homes
    if not route_homes:
        return caller.homes
    return caller.homes.intersection(route_homes) or NOWHERE


def effective_rank(route_rank: int, caller: Caller | None, /) -> int:
    """Return the rank of a request: among those of one caller's rank the route's decides."""
    return route_rank if caller is None else caller.rank_offset + route_rank
