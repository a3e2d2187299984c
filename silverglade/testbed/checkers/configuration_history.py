"""What operators sent to the forwarding path, and what may be in force at a moment (design 15)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

from ...configuration.schema import key_digest
from ...routing import route_table

Configuration = Mapping[str, Any]


@dataclass(slots=True, eq=False)
class ConfigurationChange:
    """A configuration as an operator sent it.

    :ivar configuration: as it was sent.
    :ivar number: of the configuration.
    :ivar base: number of the one that it is to follow.
    :ivar valid: whether validation must take it.
    :ivar asked: when it was sent.
    :ivar table: its routes, by which requests are looked up.
    :ivar acknowledged: when the operator was told that it was taken.
    :ivar refused: the operator was told that it was refused, and never that it was taken.
    """

    configuration: Configuration
    number: int
    base: int
    valid: bool
    asked: timedelta
    table: Any
    acknowledged: timedelta | None = None
    refused: bool = False

    def route(self, host: str, path: str) -> Mapping[str, Any] | None:
        """Return the route that such a request takes under it."""
        found: Mapping[str, Any] | None = route_table.find_route(self.table, host, path)
        return found

    @property
    def callers(self) -> Mapping[str, Any] | None:
        """Callers by name; None: it wants no keys."""
        callers: Mapping[str, Any] | None = self.configuration.get("callers") if self.valid else None
        return callers

    def caller(self, key: str | None) -> str | None:
        """Return who holds a key under it."""
        digest = key_digest(key) if key else None
        return next((name for name, caller in (self.callers or {}).items() if digest in caller["keys"]), None)

    def admits(self, host: str, path: str, key: str | None) -> bool:
        """Return whether such a request has a route under it that wants no key, or has the key of a caller."""
        route = self.route(host, path)
        if route is None:
            return False
        return self.callers is None or bool(route.get("public")) or self.caller(key) is not None

    def homes(self, host: str, path: str, key: str | None) -> frozenset[str] | None:
        """Return the regions in which a request that it admits may be served; None: any."""
        route, name = self.route(host, path), self.caller(key)
        assert route is not None
        lists = [route["homes"], self.callers[name]["homes"] if self.callers and name else ()]
        binding = [frozenset(homes) for homes in lists if homes]
        return frozenset.intersection(*binding) if binding else None

    def services(self, host: str, path: str) -> frozenset[str]:
        """Return the services to which such a request may go under it; empty if there is no route."""
        route = self.route(host, path)
        return frozenset(share["service"] for share in route["shares"] if share["weight"] > 0) if route else frozenset()

    def allows(self, host: str, path: str, service: str | None, key: str | None) -> bool:
        """Return whether such a request may go to the service under it; None: whether it has no route."""
        services = self.services(host, path)
        return service in services and self.admits(host, path, key) if service is not None else not services

    def denies_key(self, host: str, path: str, key: str | None) -> bool:
        """Return whether such a request has a route under it, and lacks the key that this wants."""
        return self.route(host, path) is not None and not self.admits(host, path, key)


class Handling(NamedTuple):
    """Which configurations allow a request to be handled as it was.

    :ivar numbers: of those that may ever be in force.
    :ivar ever: whether any valid one that was ever sent does.
    """

    numbers: list[int]
    ever: bool


class ConfigurationHistory:
    """All configurations that were sent, in that order."""

    def __init__(self) -> None:
        """Begin with none."""
        self.changes: list[ConfigurationChange] = []

    def asked(
        self, now: timedelta, configuration: Configuration, *, base: int, valid: bool = True, number: int | None = None
    ) -> ConfigurationChange:
        """Note that an operator sends a configuration.

        :param now: the time.
        :param configuration: as it is sent.
        :param base: number of the one that it is to follow.
        :param valid: whether validation must take it.
        :param number: its number, if it has none that can be read.
        :returns: its record, for `told`.
        """
        change = ConfigurationChange(
            configuration=configuration,
            number=configuration["number"] if number is None else number,
            base=base,
            valid=valid,
            asked=now,
            table=route_table.build_route_table(configuration) if valid else {},
        )
        self.changes.append(change)
        return change

    def told(self, now: timedelta, change: ConfigurationChange, ok: bool | None) -> str | None:
        """Note what the operator was told.

        :param now: the time.
        :param change: of which.
        :param ok: True: taken; False: refused; None: the outcome is unknown.
        :returns: the rule that this breaks, or None.
        """
        if ok is False:
            change.refused = change.acknowledged is None
        if not ok:
            return None
        change.acknowledged = change.acknowledged or now
        if not change.valid:
            return "invalid one acknowledged"
        same_base = (other for other in self.changes if other is not change and other.acknowledged and other.base == change.base)
        if any(other.number != change.number for other in same_base):
            return "two on one base acknowledged"
        return None

    def possible(self) -> list[ConfigurationChange]:
        """Return those that may ever be in force: what lost its race to an acknowledged one may not."""
        winners = {change.base: change.number for change in self.changes if change.acknowledged}
        candidates = (change for change in self.changes if change.valid and not change.refused)
        return [change for change in candidates if winners.get(change.base, change.number) == change.number]

    def homes(self, host: str, path: str, key: str | None, least: int | None = None) -> set[str] | None:
        """Return the regions in which such a request may be served; None: any, or none of these admits it at all.

        :param host: of the request.
        :param path: of the request.
        :param key: of its client.
        :param least: only configurations of this number or above count.
        """
        changes = [change for change in self.possible() if least is None or change.number >= least]
        homes = [change.homes(host, path, key) for change in changes if change.admits(host, path, key)]
        if not homes or None in homes:
            return None
        return {region for regions in homes for region in regions or ()}

    def tenants(self, key: str | None) -> set[str | None] | None:
        """Return whom a replica may be told of as the key's holder, None for nobody; None: what the client said, for no keys are wanted."""
        possible = self.possible()
        return None if any(change.callers is None for change in possible) else {change.caller(key) for change in possible}

    def may_show_key(self) -> bool:
        """Return whether a replica may be shown the key: some configuration that may be in force wants none."""
        return any(change.callers is None for change in self.possible())

    def key_taken_away(self, host: str, path: str, key: str | None, by: timedelta) -> bool:
        """Return whether a key was taken away by a configuration that was acknowledged by then, and is in none since.

        A route that may be public wants none.
        """
        newest, possible = self.newest(by), self.possible()
        if newest is None or any(route.get("public") for change in possible if (route := change.route(host, path))):
            return False
        if any(change.callers is None or change.caller(key) for change in possible if change.number >= newest):
            return False
        return any(change.caller(key) for change in possible)

    def most_attempts(self, host: str, path: str) -> int:
        """Return to how many replicas such a request may be sent at most."""
        routes = [route for change in self.possible() if (route := change.route(host, path))]
        return max((route["tries"] for route in routes), default=1)

    def newest(self, by: timedelta) -> int | None:
        """Return the highest number acknowledged by then."""
        numbers = (change.number for change in self.changes if change.acknowledged is not None and change.acknowledged <= by)
        return max(numbers, default=None)

    def handling(self, host: str, path: str, service: str | None, key: str | None) -> Handling:
        """Return which configurations allow such a request to go to the service; None: to be answered that it has no route."""
        numbers = [change.number for change in self.possible() if change.allows(host, path, service, key)]
        return Handling(numbers, any(change.allows(host, path, service, key) for change in self.changes if change.valid))

    def denying_key(self, host: str, path: str, key: str | None) -> Handling:
        """Return which configurations allow such a request to be answered that its key is unknown."""
        numbers = [change.number for change in self.possible() if change.denies_key(host, path, key)]
        return Handling(numbers, any(change.denies_key(host, path, key) for change in self.changes if change.valid))
