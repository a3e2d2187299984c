"""The attributes of a daemon's own member record: which changes are published, and how often (design 4.5)."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, Final

from ..runtime.effects import ZERO, milliseconds
from .published_rows import PublishedRows
from .records import ATTRIBUTE_ROW, joined_key

LOAD_COUNTS: Final = "pace"
"""Attribute: counts of requests."""

REQUIRED_REPLICAS: Final = "parts"
"""Attribute: for each service a tuple of its name, the number of replicas, rates, and a flag."""

URGENT_ATTRIBUTES = frozenset(("version", "view"))
"""Attributes whose changes are published at once."""

SECOND = milliseconds(1000)
DEFAULT_INTERVAL = SECOND / 2
MIN_INTERVALS = {"news": SECOND, REQUIRED_REPLICAS: SECOND, LOAD_COUNTS: SECOND / 2}
"""Minimum time between two publications of an attribute; `DEFAULT_INTERVAL` for all others."""

INTERVAL_PER_MEMBER = SECOND / 20
"""Lower bound of the same interval per live daemon, so that the total rate of publications does not grow with the fleet."""

SIGNIFICANT_CHANGE_RATIO = 0.2
"""A change of a number by at most this fraction of the larger of the old and new values is not published."""


def is_significant_change(attribute: str, published: Any, wanted: Any) -> bool:
    """Whether a changed attribute must be published.

    Counts and rates must be once they differ by more than a fifth, or if they change from or to zero; all other attributes always.
    """
    if attribute == LOAD_COUNTS:
        return _differs_significantly(published, wanted)
    if attribute == REQUIRED_REPLICAS and type(published) is tuple and type(wanted) is tuple and len(published) == len(wanted):
        return any(_services_differ(old, new) for old, new in zip(published, wanted))
    return bool(published != wanted)


def _services_differ(old: tuple[Any, ...], new: tuple[Any, ...]) -> bool:
    """Whether the name, the number of replicas or the flag differs, or another number differs by more than a fifth."""
    return old[:2] != new[:2] or old[-1:] != new[-1:] or _differs_significantly(old, new)


def _differs_significantly(old: Any, new: Any) -> bool:
    if type(old) in (int, float) and type(new) in (int, float):
        return bool(abs(old - new) > SIGNIFICANT_CHANGE_RATIO * max(abs(old), abs(new)))
    if type(old) is tuple and type(new) is tuple and len(old) == len(new):
        return any(_differs_significantly(old_part, new_part) for old_part, new_part in zip(old, new))
    return bool(old != new)


class OwnAttributes:
    """The attributes of this daemon as its components last set them.

    :ivar values: the values by attribute name.
    """

    __slots__ = ("values", "_name", "_published_at")

    def __init__(self, *, name: str) -> None:
        self.values: dict[str, Any] = {}
        self._name = name
        self._published_at: dict[str, timedelta] = {}

    def reset_intervals(self) -> None:
        """Allow all attributes to be published again at once."""
        self._published_at.clear()

    def publish_changes(self, now: timedelta, published: PublishedRows, *, incarnation: int, member_count: int) -> list[timedelta]:
        """Publish the changed attributes whose interval is over.

        :param member_count: the number of live daemons.
        :returns: the times at which the other changed attributes may be published.
        """
        later = []
        for attribute, value in self.values.items():
            key = joined_key(self._name, attribute)
            row = published.rows.get((ATTRIBUTE_ROW, key))
            if row is not None and not is_significant_change(attribute, row.value, value):
                continue
            interval = max(MIN_INTERVALS.get(attribute, DEFAULT_INTERVAL), member_count * INTERVAL_PER_MEMBER)
            allowed_at = self._published_at.get(attribute, ZERO) + interval
            if row is not None and now < allowed_at and attribute not in URGENT_ATTRIBUTES:
                later.append(allowed_at)
                continue
            self._published_at[attribute] = now
            published.publish(ATTRIBUTE_ROW, key, _next_rank(incarnation, row.rank if row is not None else None), value)
        return later


def _next_rank(incarnation: int, rank: tuple[int, ...] | None) -> tuple[int, int]:
    """Return the rank that follows `rank`, or the first rank of this incarnation if `rank` is None or of another one."""
    if rank is None or rank[0] != incarnation:
        return (incarnation, 1)
    return (incarnation, rank[1] + 1)
