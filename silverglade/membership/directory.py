"""The daemons that the directory returns to a client (design 15.7): pure functions over the live members and the configuration."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Any

from .records import MemberRecord

MIN_ZONE_DAEMONS = 2
"""With at least so many daemons in a zone, its clients get only these."""

ReadyDaemon = tuple[MemberRecord, str]
"""A daemon that accepts clients' requests, and its address for clients."""


def serving_daemons(members: Iterable[MemberRecord]) -> list[ReadyDaemon]:
    """Return the daemons that are ready and serve clients, each with its address for clients."""
    return [
        (member, address)
        for member in members
        if member.is_ready and member.attribute("serves") and (address := member.attribute("front", ""))
    ]


def home_regions(configuration: Mapping[str, Any] | None, host: str) -> Collection[str]:
    """Return the home regions of a host.

    :returns: the home regions common to all routes of this host that have any; without a common one, those of any route; empty
        if no route has home regions.
    """
    homes = [
        set(route["homes"]) for route in (configuration or {}).get("routes", ()) if route["homes"] and route["host"].lower() == host.lower()
    ]
    return (set.intersection(*homes) or set.union(*homes)) if homes else ()


def addresses_for_client(
    members: Iterable[MemberRecord], configuration: Mapping[str, Any] | None, *, host: str, region: str, zone: str
) -> list[str]:
    """Return the addresses of daemons near a client.

    These are the daemons of the client's zone; if it has fewer than two, those of its region; if that has none, those of the
    host's home regions, from which no request body must be forwarded to another region; otherwise all.

    :param members: the live daemons.
    :param host: the host to which the client wants to send requests.
    :param region: the client's region.
    :param zone: the client's zone.
    """
    ready = serving_daemons(members)
    in_zone = [address for member, address in ready if member.zone == zone]
    if len(in_zone) >= MIN_ZONE_DAEMONS:
        return in_zone
    in_region = [address for member, address in ready if member.region == region]
    return in_region or addresses_in_home_regions(ready, configuration, host) or [address for _, address in ready]


def addresses_in_home_regions(ready: Iterable[ReadyDaemon], configuration: Mapping[str, Any] | None, host: str) -> list[str]:
    """Return the addresses of the daemons in the home regions of this host."""
    homes = home_regions(configuration, host)
    return [address for member, address in ready if member.region in homes]
