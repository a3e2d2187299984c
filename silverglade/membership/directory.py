"""Which daemons the directory names to a client (design 15.7): pure functions over the live members and the configuration."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import Any

from .records import MemberRecord

ENOUGH_IN_ZONE = 2
"""So many daemons of a zone are enough for its clients."""

ReadyDaemon = tuple[MemberRecord, str]
"""A daemon that takes clients' requests, and its address for clients."""


def serving(members: Iterable[MemberRecord]) -> list[ReadyDaemon]:
    """Return the daemons that are ready and serve, each with its address for clients."""
    return [
        (member, address)
        for member in members
        if member.is_ready and member.attribute("serves") and (address := member.attribute("front", ""))
    ]


def home_regions(configuration: Mapping[str, Any] | None, host: str) -> Collection[str]:
    """Return the regions in which requests for a host may be served.

    :returns: the regions that all routes of this host with homes share; those of any, if they share none; empty without homes.
    """
    homes = [
        set(route["homes"]) for route in (configuration or {}).get("routes", ()) if route["homes"] and route["host"].lower() == host.lower()
    ]
    return (set.intersection(*homes) or set.union(*homes)) if homes else ()


def addresses_for_client(
    members: Iterable[MemberRecord], configuration: Mapping[str, Any] | None, *, host: str, region: str, zone: str
) -> list[str]:
    """Return the addresses of daemons near a client.

    They are those of the client's zone; where it has fewer than two, of its region; where that has none, of the host's home
    regions, from where no body need go further; else all.

    :param members: the live daemons.
    :param host: that the client wants to send requests to.
    :param region: of the client; `zone` likewise.
    """
    ready = serving(members)
    in_zone = [address for member, address in ready if member.zone == zone]
    if len(in_zone) >= ENOUGH_IN_ZONE:
        return in_zone
    in_region = [address for member, address in ready if member.region == region]
    return in_region or addresses_at_home(ready, configuration, host) or [address for _, address in ready]


def addresses_at_home(ready: Iterable[ReadyDaemon], configuration: Mapping[str, Any] | None, host: str) -> list[str]:
    """Return the addresses of the daemons in the home regions of this host."""
    homes = home_regions(configuration, host)
    return [address for member, address in ready if member.region in homes]
