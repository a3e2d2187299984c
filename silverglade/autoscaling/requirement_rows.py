"""What a region requires of a service, told to the daemon that orders replicas (design 16.5).

Every daemon works out what its own region requires. One daemon of the region, the same for all, publishes it as soft state.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from typing import Any, NamedTuple, TypeGuard

from ..membership.records import REQUIREMENT_ROW, MemberRecord
from ..membership.rendezvous import highest_ranked
from ..runtime.events import SoftStatePublished

KEY_SEPARATOR = "/"
"""Between a service's name, which holds none, and a region's."""


class RequirementRow(NamedTuple):
    """What a region requires of a service; in soft state as an array of its fields in this order.

    :ivar required: replicas.
    :ivar ready: replicas that are.
    :ivar is_short: these are too few.
    :ivar publisher: the daemon that says so.
    """

    required: int
    ready: int
    is_short: bool
    publisher: str

    @classmethod
    def of(cls, row: tuple[Any, ...]) -> RequirementRow:
        """A record from its array; fields of a later program are dropped."""
        return cls(*row[: len(cls._fields)])


class KnownRow(NamedTuple):
    """A row as it was told last."""

    number: int
    value: tuple[Any, ...] | None


FIELD_TYPES = (int, int, bool, str)


def is_requirement_row(value: object) -> TypeGuard[tuple[Any, ...]]:
    """Whether an array from another daemon holds a `RequirementRow`, perhaps with fields of a later program behind it."""
    if not isinstance(value, tuple) or len(value) < len(FIELD_TYPES):
        return False
    return all(type(field) is field_type for field, field_type in zip(value, FIELD_TYPES)) and min(value[:2]) >= 0


def requirement_key(service: str, region: str) -> str:
    """Return the key of a row."""
    return f"{service}{KEY_SEPARATOR}{region}"


def split_requirement_key(key: str) -> tuple[str, str]:
    """Return service and region of a key."""
    service, _, region = key.partition(KEY_SEPARATOR)
    return service, region


def scalable_services(configuration: Mapping[str, Any]) -> dict[str, Mapping[str, Any]]:
    """The services whose replicas are ordered, with their `scaling`; what earlier versions stored has none."""
    services = configuration.get("services") or {}
    return {name: service["scaling"] for name, service in services.items() if service.get("scaling")}


def publisher_of(region: str, members: Iterable[MemberRecord]) -> str | None:
    """The daemon that publishes what a region requires: one that clients call, the same for all; None where there is none."""
    daemons = [member.name for member in members if member.region == region and member.is_ready and not member.is_core]
    publisher: str | None = highest_ranked(f"{REQUIREMENT_ROW} {region}", daemons)
    return publisher


class RequirementPublisher:
    """Publishes what the own region requires, where that falls to this daemon."""

    __slots__ = ("_known", "_own_name", "_region", "_started_at", "_tuning")

    def __init__(self, *, own_name: str, region: str, tuning: Mapping[str, Any]) -> None:
        self._own_name = own_name
        self._region = region
        self._tuning = tuning
        self._known: dict[str, KnownRow] = {}  # by key
        self._started_at: timedelta | None = None

    def note_rows(self, rows: Mapping[str, tuple[Any, Any]]) -> None:
        """Note rows of any daemon: what this one publishes must outrank them."""
        for key, (rank, value) in rows.items():
            known = self._known.get(key)
            if known is None or rank[0] >= known.number:
                self._known[key] = KnownRow(rank[0], value)

    def rows_due(
        self, now: timedelta, *, services: Collection[str], required: Mapping[str, tuple[int, int, bool]], members: Iterable[MemberRecord]
    ) -> list[SoftStatePublished]:
        """The rows to publish now: those that differ from what was told last.

        A daemon that has just started has not met the region's requests yet: it publishes nothing for `scale_trend`.

        :param required: service to the fields of a `ServiceRequirement`.
        """
        if self._started_at is None:
            self._started_at = now
        if now - self._started_at < self._tuning["scale_trend"] or publisher_of(self._region, members) != self._own_name:
            return []
        rows = []
        for service in sorted(set(services) & required.keys()):
            key = requirement_key(service, self._region)
            value = tuple(RequirementRow(*required[service], self._own_name))
            known = self._known.get(key, KnownRow(0, None))
            if value != known.value:
                self._known[key] = KnownRow(known.number + 1, value)
                rows.append(SoftStatePublished(REQUIREMENT_ROW, key, (known.number + 1,), value))
        return rows
