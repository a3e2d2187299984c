"""Outcomes of operators' changes (design 5.3): a change that was taken is acknowledged again whenever it is sent again.

An outcome stands in the store under its change's id: (digest of the call, version, number). The version START says that
the change was refused for good, since it named a base that was still to come. `number` is the operator's own, 0 for none.

The horizon (version, number) says what was forgotten: every outcome up to that version but the one of the configuration in
force; the highest number among them. The primary moves it, as part of a change that it takes, so that backups, snapshots
and later primaries forget alike. Numbers and versions rise with each change that is taken; so a change whose base is not
below the horizon is either remembered or was never taken, and one below it can't be judged any more.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

Version = tuple[int, int]
Held = Mapping[str, tuple[Version, Any]]

START: Version = (0, 0)
PREFIX = "change/"
"""Of the keys of outcomes; the change id follows."""

HORIZON = "forgotten"
"""Key of the horizon."""

MOST = 4096
"""Outcomes kept, of some 200 bytes at most."""
CHUNK = MOST // 4
"""Outcomes that are forgotten at once when there are `MOST`."""
MARKS = 8
"""Steps in which the time for which outcomes are kept is counted."""


def private(key: str) -> bool:
    """Tell whether a key is for members alone, so that no daemon is told of it."""
    return key.startswith(PREFIX) or key == HORIZON


def horizon(store: Held) -> tuple[Version, int]:
    """Return up to which version, and which operator's number, outcomes may be forgotten."""
    held: tuple[Version, int] = store[HORIZON][1] if HORIZON in store else (START, 0)
    return held


def find(store: Held, change: str) -> tuple[str, Version] | None:
    """Return the outcome of a change as (digest, version); None where there is none."""
    found = store.get(PREFIX + change) if change else None
    return (found[1][0], found[1][1]) if found is not None else None


def item(*, change: str, key: str, at: Version, number: int, taken: bool = True) -> tuple[str, Version, Any]:
    """Return an outcome as an item of the change at version `at`."""
    return (PREFIX + change, at, (key, at if taken else START, number))


def forgotten(store: Held) -> list[str]:
    """Return the keys of outcomes behind the horizon. Every member drops the same, since the horizon is in the store."""
    cut, _ = horizon(store)
    in_force = store["config"][0] if "config" in store else START
    return [key for key, (version, _) in store.items() if version <= cut and key.startswith(PREFIX) and version != in_force]


def moved(store: Held, *, at: Version, aged: Version) -> tuple[tuple[str, Version, Any], ...]:
    """Return the horizon as an item, if it is to move with the change at version `at`.

    :param aged: the newest version whose outcomes were kept long enough.
    """
    kept = sorted((version, value) for key, (version, value) in store.items() if key.startswith(PREFIX))
    cut, number = horizon(store)
    by_count = kept[len(kept) - MOST + CHUNK - 1][0] if len(kept) >= MOST else START
    reach = max(aged, by_count)
    behind = [value for version, value in kept if cut < version <= reach]
    if not behind:
        return ()
    return ((HORIZON, at, (reach, max(number, *(number_of(store, value) for value in behind)))),)


def number_of(store: Held, outcome: tuple[Any, ...]) -> int:
    """Return the operator's number of an outcome; where an earlier program kept none, the one in force bounds it."""
    in_force = store["config"][1].get("number", 0) if "config" in store else 0
    number: int = outcome[2] if len(outcome) > 2 else in_force
    return number


@dataclass(slots=True)
class Ages:
    """How old versions are, in the time that this primary was awake; a new primary begins anew.

    :ivar marks: (time, version that was the newest then), oldest first.
    :ivar aged: the newest version that is old enough to be forgotten.
    """

    marks: list[tuple[timedelta, Version]] = field(default_factory=list)
    aged: Version = START

    def newest_aged(self, now: timedelta, awake_since: timedelta, version: Version, keep: timedelta) -> Version:
        """Return the newest version that is older than `keep`.

        :param awake_since: since when this process has not paused, nor the view changed.
        """
        if not self.marks or now - self.marks[-1][0] >= keep / MARKS:
            self.marks.append((now, version))
        while self.marks and now - max(self.marks[0][0], awake_since) >= keep:
            self.aged = max(self.aged, self.marks.pop(0)[1])
        return self.aged
