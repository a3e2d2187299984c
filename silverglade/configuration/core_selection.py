"""Selection of the daemon that is queried for updates (design 5.7): the zone's relay, else the nearest core, else a seed."""

from __future__ import annotations

import random
from datetime import timedelta

from ..membership.records import MemberRecord
from ..membership.zone_relay import relay_of_zone
from ..runtime.effects import ZERO

SEED_PREFIX = "@"
"""Prefix of a seed's address where it is used in place of a daemon's name."""

Location = tuple[str, str]
"""(zone, region) of a daemon."""


class CoreSelector:
    """Selects the daemon to query for updates, and avoids for a time those that gave no answer or a stale one.

    :ivar members: the live daemons.
    """

    def __init__(
        self, *, own_name: str, zone: str, region: str, is_core: bool, own_address: str, seeds: tuple[str, ...], rng: random.Random
    ) -> None:
        """Start without members.

        :param own_address: the address at which this daemon accepts peer connections; it is skipped among the seeds.
        :param seeds: addresses to query while no core is available.
        """
        self.members: tuple[MemberRecord, ...] = ()
        self._own_name = own_name
        self._zone = zone
        self._region = region
        self._is_core = is_core
        self._own_address = own_address
        self._seeds = seeds
        self._rng = rng
        self._seed_index = rng.randrange(len(seeds) or 1)  # random, so that daemons that start together do not all query the same seed
        self._avoided_until: dict[str, timedelta] = {}

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use these seeds instead of the present ones, none of which is avoided any longer."""
        self._seeds = seeds
        self._avoided_until = {name: until for name, until in self._avoided_until.items() if not name.startswith(SEED_PREFIX)}

    def avoid(self, name: str, until: timedelta) -> None:
        """Prefer other daemons to this one until the given time; an avoided core is still selected if there is no other daemon to query."""
        self._avoided_until[name] = until

    def is_core_member(self, name: str) -> bool:
        """Return whether a live daemon of this name is a core."""
        return any(member.name == name and member.is_core for member in self.members)

    def select(self, now: timedelta, *, last_queried: str | None) -> str | None:
        """Select the daemon to query.

        :param last_queried: the daemon that was queried last; it is preferred among equally near cores.
        :returns: the name of a daemon, "@address" of a seed, or None if there is neither.
        """
        relay: str | None = relay_of_zone(self._zone, self.members)
        if relay is not None and relay != self._own_name and not self._is_avoided(relay, now):
            return relay
        core = self._nearest_core(now, last_queried)
        if core is None or self._is_avoided(core, now):
            return self._next_seed() or core
        return core

    def _is_avoided(self, name: str, now: timedelta) -> bool:
        return self._avoided_until.get(name, ZERO) > now

    def _nearest_core(self, now: timedelta, last_queried: str | None) -> str | None:
        """Return the nearest core that is not avoided, else the one that is avoided for the shortest remaining time; None without cores."""
        locations = {member.name: (member.zone, member.region) for member in self.members if member.is_core}
        if self._is_core:
            locations[self._own_name] = (self._zone, self._region)

        def rank(core: str) -> tuple[timedelta, bool, bool, bool, bool, float]:
            zone, region = locations[core]
            return (
                max(self._avoided_until.get(core, ZERO), now),
                core != self._own_name,
                zone != self._zone,
                region != self._region,
                core != last_queried,
                self._rng.random(),
            )

        return min(locations, default=None, key=rank)

    def _next_seed(self) -> str | None:
        """Return the next seed, round-robin; None if there is no seed but this daemon itself."""
        others = [seed for seed in self._seeds if seed != self._own_address]
        if not others:
            return None
        self._seed_index += 1
        return SEED_PREFIX + others[self._seed_index % len(others)]
