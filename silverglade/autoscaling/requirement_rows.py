"""Soft-state rows that carry the requirements of a region to the daemon that orders replicas (design 16.5).

Every daemon computes what its own region requires. One daemon per region, which all agree on, publishes the result.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple, TypeGuard

from ..membership.records import REQUIREMENT_ROW, MemberRecord
from ..membership.rendezvous import highest_ranked
from ..runtime.events import SoftStatePublished

KEY_SEPARATOR = "/"
"""Separates the name of a service, which cannot contain it, from that of a region."""


class RequirementRow(NamedTuple):
    """The requirement of a region for a service; in soft state an array of its fields in this order.

    :ivar required: required replicas.
    :ivar ready: ready replicas.
    :ivar is_short: the ready replicas are too few.
    :ivar publisher: the daemon that published the row.
    """

    required: int
    ready: int
    is_short: bool
    publisher: str

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> RequirementRow:
        """Return the row that an array encodes; fields added by later versions are dropped."""
        return cls(*row[: len(cls._fields)])


class PublishedRow(NamedTuple):
    """The newest known version of a row: its version number and value."""

    number: int
    value: tuple[Any, ...] | None


FIELD_TYPES = (int, int, bool, str)


def is_requirement_row(value: object) -> TypeGuard[tuple[Any, ...]]:
    """Return whether a value from another daemon is a valid `RequirementRow`; later versions may append fields."""
    if not isinstance(value, tuple) or len(value) < len(FIELD_TYPES):
        return False
    return all(type(field) is field_type for field, field_type in zip(value, FIELD_TYPES)) and min(value[:2]) >= 0


def requirement_key(service: str, region: str) -> str:
    """Return the soft-state key of a row."""
    return f"{service}{KEY_SEPARATOR}{region}"


def split_requirement_key(key: str) -> tuple[str, str]:
    """Return the service and the region that a key names."""
    service, _, region = key.partition(KEY_SEPARATOR)
    return service, region


def scalable_services(configuration: Mapping[str, Any]) -> dict[str, Mapping[str, Any]]:
    """Return the `scaling` of each service whose replicas are ordered. Configurations stored by earlier versions have none."""
    services = configuration.get("services") or {}
    return {name: service["scaling"] for name, service in services.items() if service.get("scaling")}


def publisher_of(region: str, members: Iterable[MemberRecord]) -> str | None:
    """Return the daemon that publishes the requirements of a region, or None.

    It is one that serves clients, and the same for all daemons with the same member list.
    """
    daemons = [member.name for member in members if member.region == region and member.is_ready and not member.is_core]
    publisher: str | None = highest_ranked(f"{REQUIREMENT_ROW} {region}", daemons)
    return publisher


class RequirementPublisher:
    """Publishes the requirements of the own region if this daemon is the publisher."""

    __slots__ = ("_own_name", "_published", "_region", "_started_at", "_tuning")

    def __init__(self, *, own_name: str, region: str, tuning: Mapping[str, Any]) -> None:
        self._own_name = own_name
        self._region = region
        self._tuning = tuning
        self._published: dict[str, PublishedRow] = {}  # by key
        self._started_at: timedelta | None = None

    def observe_rows(self, rows: Mapping[str, tuple[Any, Any]]) -> None:
        """Record the version numbers of rows from any daemon, which rows published here must outrank."""
        for key, (rank, value) in rows.items():
            known = self._published.get(key)
            if known is None or rank[0] >= known.number:
                self._published[key] = PublishedRow(rank[0], value)

    def rows_due(
        self, now: timedelta, *, services: Collection[str], required: Mapping[str, tuple[int, int, bool]], members: Iterable[MemberRecord]
    ) -> list[SoftStatePublished]:
        """Return the rows to publish now: those that differ from the newest known version.

        A daemon that has just started has not yet seen a representative share of the region's requests, so it publishes nothing for
        `scale_trend`.

        :param required: the fields of a `ServiceRequirement` by service.
        """
        if self._started_at is None:
            self._started_at = now
        if now - self._started_at < self._tuning["scale_trend"] or publisher_of(self._region, members) != self._own_name:
            return []
        rows = []
        for service in sorted(set(services) & required.keys()):
            key = requirement_key(service, self._region)
            value = tuple(RequirementRow(*required[service], self._own_name))
            known = self._published.get(key, PublishedRow(0, None))
            if value != known.value:
                self._published[key] = PublishedRow(known.number + 1, value)
                rows.append(SoftStatePublished(REQUIREMENT_ROW, key, (known.number + 1,), value))
        return rows
