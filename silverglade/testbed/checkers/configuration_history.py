"""What operators sent to the forwarding path, and what may be in force at a moment (design 15)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

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

    def services(self, host: str, path: str) -> frozenset[str]:
        """Return the services to which such a request may go under it; empty if there is no route."""
        route = self.route(host, path)
        return frozenset(share["service"] for share in route["shares"] if share["weight"] > 0) if route else frozenset()

    def allows(self, host: str, path: str, service: str | None) -> bool:
        """Return whether such a request may go to the service under it; None: whether it has no route."""
        services = self.services(host, path)
        return service in services if service is not None else not services


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
            table=route_table.table(configuration) if valid else {},
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

    def homes(self, host: str, path: str, least: int | None = None) -> set[str] | None:
        """Return the regions in which such a request may be served; None: any.

        :param host: of the request.
        :param path: of the request.
        :param least: only configurations of this number or above count.
        """
        regions: set[str] = set()
        for change in self.possible():
            if least is not None and change.number < least:
                continue
            route = change.route(host, path)
            if route and not route["homes"]:
                return None
            regions |= set(route["homes"]) if route else set()
        return regions

    def most_attempts(self, host: str, path: str) -> int:
        """Return to how many replicas such a request may be sent at most."""
        routes = [route for change in self.possible() if (route := change.route(host, path))]
        return max((route["tries"] for route in routes), default=1)

    def newest(self, by: timedelta) -> int | None:
        """Return the highest number acknowledged by then."""
        numbers = (change.number for change in self.changes if change.acknowledged is not None and change.acknowledged <= by)
        return max(numbers, default=None)

    def handling(self, host: str, path: str, service: str | None) -> Handling:
        """Return which configurations allow such a request to go to the service; None: to be answered that it has no route."""
        numbers = [change.number for change in self.possible() if change.allows(host, path, service)]
        return Handling(numbers, any(change.allows(host, path, service) for change in self.changes if change.valid))
