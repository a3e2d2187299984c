"""Routing of requests to routes and services (design 15.2): a table built once per configuration."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple, NotRequired, TypedDict

from ..membership.rendezvous import hash_score

SCORE_BITS = 64
"""Number of bits of a rendezvous score."""


class ServiceShare(TypedDict):
    """A service of a route, and its relative weight."""

    service: str
    weight: int


class Route(TypedDict):
    """A route of the configuration (configuration/schema.py)."""

    name: str
    host: str
    prefix: str
    kind: str
    shares: list[ServiceShare]
    due_ms: int
    aim_ms: int
    gap_ms: int
    rank: int
    tries: int
    homes: list[str]
    by_prefix: bool
    resumable: bool
    public: NotRequired[bool]


class ServiceConfiguration(TypedDict):
    """A service of the configuration (configuration/schema.py)."""

    conns: int
    slots: int
    cold_ms: int
    cold_per_s: float
    keeps: int


class HostRoutes(NamedTuple):
    """The routes of one host.

    :ivar lengths: lengths of its path prefixes, longest first.
    :ivar by_prefix: prefix to route.
    """

    lengths: tuple[int, ...]
    by_prefix: dict[str, Route]


RouteTable = dict[str, HostRoutes]
"""Host to its routes."""

NO_ROUTES = HostRoutes((), {})


def build_route_table(configuration: Mapping[str, Any] | None, /) -> RouteTable:
    """Build the route table of a configuration; empty without a configuration."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in (configuration or {}).get("routes", ()):
        by_host.setdefault(route["host"].lower(), {})[route["prefix"]] = route
    return {
        host: HostRoutes(tuple(sorted({len(prefix) for prefix in by_prefix}, reverse=True)), by_prefix)
        for host, by_prefix in by_host.items()
    }


def find_route(table: RouteTable, host: str, path: str, /) -> Route | None:
    """Find the host's route with the longest prefix that matches the path.

    Costs one look-up per distinct prefix length of the host, regardless of the number of routes.
    """
    lengths, by_prefix = table.get(host, NO_ROUTES)
    for length in lengths:
        if length <= len(path) and (route := by_prefix.get(path[:length])):
            return route
    return None


def choose_service(route: Route, key: str, /) -> str:
    """Choose one service by weight, by hashing the key: every daemon chooses the same service for the same key."""
    shares = route["shares"]
    if len(shares) == 1:
        return shares[0]["service"]
    score = int.from_bytes(hash_score("share", key), "big") / 2**SCORE_BITS
    remaining = score * sum(share["weight"] for share in shares)
    for share in shares:
        remaining -= share["weight"]
        if remaining < 0:
            return share["service"]
    return next(share["service"] for share in reversed(shares) if share["weight"] > 0)
