"""Callers of forwarded requests (design 17): who holds which key, and what that means for a request."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any, NamedTuple

NOWHERE: Collection[str] = ("",)
"""Regions of which none exists: a name has a letter at least. No regions at all would mean any."""


class Caller(NamedTuple):
    """A caller as the configuration has it.

    :ivar homes: regions where its requests may be served; none: any.
    :ivar rank: goes before that of the route; None: the route's.
    """

    name: str
    homes: frozenset[str]
    rank: int | None


CallerTable = dict[str, Caller]
"""Digest of a key to the caller that holds it."""


def build_caller_table(configuration: Mapping[str, Any] | None, /) -> CallerTable | None:
    """Build the table of a configuration; None where it wants no keys."""
    callers = (configuration or {}).get("callers")
    if callers is None:
        return None
    return {
        key: caller
        for name, fields in callers.items()
        for caller in (Caller(name, frozenset(fields["homes"]), fields["rank"]),)
        for key in fields["keys"]
    }


def effective_homes(route_homes: Collection[str], caller: Caller | None, /) -> Collection[str]:
    """Return the regions where a request may be served; none: any. Where route and caller have homes, both bind."""
    if caller is None or not caller.homes:
        return route_homes
    if not route_homes:
        return caller.homes
    return caller.homes.intersection(route_homes) or NOWHERE


def effective_rank(route_rank: int, caller: Caller | None, /) -> int:
    """Return the rank of a request: the caller's goes before the route's."""
    return route_rank if caller is None or caller.rank is None else caller.rank
