"""The attributes of a daemon's own member record: which changes are worth publishing, and how often (design 4.5)."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, Final

from ..runtime.effects import ZERO, milliseconds
from .published_rows import PublishedRows
from .records import ATTRIBUTE_ROW, joined_key

LOAD_COUNTS: Final = "pace"
"""Attribute: counts of requests."""

REQUIRED_REPLICAS: Final = "parts"
"""Attribute: for each service a tuple of its name, numbers of replicas and rates, and a flag."""

URGENT = frozenset(("version", "view"))
"""Attributes whose changes are published at once."""

SECOND = milliseconds(1000)
DEFAULT_INTERVAL = SECOND / 2
MIN_INTERVALS = {"news": SECOND, REQUIRED_REPLICAS: SECOND, LOAD_COUNTS: SECOND / 2}
"""The least time between two publications of an attribute; of all others it is `DEFAULT_INTERVAL`."""

INTERVAL_PER_MEMBER = SECOND / 20
"""The same for each live daemon: so what all publish does not grow with the fleet."""

NOTABLE_CHANGE = 0.2
"""A number that changes by less, as a share of the larger one, is not published."""


def is_notable_change(attribute: str, published: Any, wanted: Any) -> bool:
    """Whether a changed attribute is worth publishing: counts and rates when a fifth off, or off zero; all others always."""
    if attribute == LOAD_COUNTS:
        return _differs_notably(published, wanted)
    if attribute == REQUIRED_REPLICAS and type(published) is tuple and type(wanted) is tuple and len(published) == len(wanted):
        return any(_services_differ(old, new) for old, new in zip(published, wanted))
    return bool(published != wanted)


def _services_differ(old: tuple[Any, ...], new: tuple[Any, ...]) -> bool:
    """Whether the name, the number of replicas or the flag differs, or another number by a fifth."""
    return old[:2] != new[:2] or old[-1:] != new[-1:] or _differs_notably(old, new)


def _differs_notably(old: Any, new: Any) -> bool:
    if type(old) in (int, float) and type(new) in (int, float):
        return bool(abs(old - new) > NOTABLE_CHANGE * max(abs(old), abs(new)))
    if type(old) is tuple and type(new) is tuple and len(old) == len(new):
        return any(_differs_notably(old_part, new_part) for old_part, new_part in zip(old, new))
    return bool(old != new)


class OwnAttributes:
    """The attributes of this daemon as its components last set them.

    :ivar values: by name.
    """

    __slots__ = ("values", "_name", "_published_at")

    def __init__(self, *, name: str) -> None:
        self.values: dict[str, Any] = {}
        self._name = name
        self._published_at: dict[str, timedelta] = {}

    def forget_times(self) -> None:
        """Let all attributes be published again at once."""
        self._published_at.clear()

    def publish_changes(self, now: timedelta, published: PublishedRows, *, incarnation: int, member_count: int) -> list[timedelta]:
        """Publish what has changed and may be published now.

        :param member_count: how many daemons are live.
        :returns: when each of the other changes may be.
        """
        later = []
        for attribute, value in self.values.items():
            key = joined_key(self._name, attribute)
            row = published.rows.get((ATTRIBUTE_ROW, key))
            if row is not None and not is_notable_change(attribute, row.value, value):
                continue
            interval = max(MIN_INTERVALS.get(attribute, DEFAULT_INTERVAL), member_count * INTERVAL_PER_MEMBER)
            allowed_at = self._published_at.get(attribute, ZERO) + interval
            if row is not None and now < allowed_at and attribute not in URGENT:
                later.append(allowed_at)
                continue
            self._published_at[attribute] = now
            published.publish(ATTRIBUTE_ROW, key, _next_rank(incarnation, row.rank if row is not None else None), value)
        return later


def _next_rank(incarnation: int, rank: tuple[int, ...] | None) -> tuple[int, int]:
    """Return the rank after that of this incarnation, or its first."""
    if rank is None or rank[0] != incarnation:
        return (incarnation, 1)
    return (incarnation, rank[1] + 1)
