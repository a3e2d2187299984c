"""Outcomes of operators' changes (design 5.3): a change that was taken is acknowledged again whenever it is sent again.

An outcome stands in the store under its change's id: (digest of the call, version, number). `INITIAL_VERSION` as its version says that
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
from typing import Any, NamedTuple

Version = tuple[int, int]
"""(epoch, number) of a change."""

StoreView = Mapping[str, tuple[Version, Any]]
"""The store, to be read alone: key to (version, value)."""

Item = tuple[str, Version, Any]
"""An item as it travels: its key, the version of the change that set it, its value."""

INITIAL_VERSION: Version = (0, 0)
"""Before every other version."""

OUTCOME_PREFIX = "change/"
"""Of the keys of outcomes; the change id follows."""

HORIZON_KEY = "forgotten"
"""Key of the horizon."""

MAX_OUTCOMES = 4096
"""Outcomes kept, of some 200 bytes at most."""

EVICTION_BATCH = MAX_OUTCOMES // 4
"""Outcomes that are forgotten at once when there are `MAX_OUTCOMES`."""

AGE_SAMPLES = 8
"""Steps in which the time for which outcomes are kept is counted."""

CONFIGURATION_KEY = "config"


class Outcome(NamedTuple):
    """What became of a change.

    :ivar digest: of the change's text.
    :ivar version: the one that it got; `INITIAL_VERSION` where it was refused for good.
    :ivar number: the operator's own number of it; 0 for none, None where an earlier program kept none.
    """

    digest: str
    version: Version
    number: int | None = None


class Horizon(NamedTuple):
    """Up to which version, and which operator's number, outcomes may be forgotten."""

    version: Version
    number: int


def is_private(key: str) -> bool:
    """Tell whether a key is for members alone, so that no daemon is told of it."""
    return key.startswith(OUTCOME_PREFIX) or key == HORIZON_KEY


def horizon(store: StoreView) -> Horizon:
    """Return the horizon; nothing is forgotten before the first is set."""
    if HORIZON_KEY not in store:
        return Horizon(INITIAL_VERSION, 0)
    _, value = store[HORIZON_KEY]
    return Horizon(*value)


def find_outcome(store: StoreView, change_id: str) -> Outcome | None:
    """Return the outcome of a change; None where there is none."""
    if not change_id or OUTCOME_PREFIX + change_id not in store:
        return None
    _, value = store[OUTCOME_PREFIX + change_id]
    return Outcome(*value)


def outcome_item(*, change_id: str, digest: str, version: Version, number: int, taken: bool = True) -> Item:
    """Return an outcome as an item of the change at `version`.

    :param taken: False where the change was refused for good.
    """
    outcome = Outcome(digest, version if taken else INITIAL_VERSION, number)
    return (OUTCOME_PREFIX + change_id, version, tuple(outcome))


def version_in_force(store: StoreView) -> Version:
    """Return the version of the configuration in force."""
    if CONFIGURATION_KEY not in store:
        return INITIAL_VERSION
    version, _ = store[CONFIGURATION_KEY]
    return version


def forgotten_keys(store: StoreView) -> list[str]:
    """Return the keys of outcomes behind the horizon. Every member drops the same, since the horizon is in the store."""
    forgotten_up_to, in_force = horizon(store).version, version_in_force(store)
    return [
        key for key, (version, _) in store.items() if version <= forgotten_up_to and key.startswith(OUTCOME_PREFIX) and version != in_force
    ]


def advanced_horizon(store: StoreView, *, version: Version, aged: Version) -> tuple[Item, ...]:
    """Return the horizon as an item, if it is to move with the change at `version`.

    :param aged: the newest version whose outcomes were kept long enough.
    """
    kept = sorted((at, value) for key, (at, value) in store.items() if key.startswith(OUTCOME_PREFIX))
    forgotten_up_to = max(aged, newest_evicted([at for at, _ in kept]))
    old = horizon(store)
    expired = [Outcome(*value) for at, value in kept if old.version < at <= forgotten_up_to]
    if not expired:
        return ()
    number = max(old.number, *(operator_number(store, outcome) for outcome in expired))
    return ((HORIZON_KEY, version, (forgotten_up_to, number)),)


def newest_evicted(versions: list[Version]) -> Version:
    """Return the newest of the outcomes that go since there are too many, of all versions in their order."""
    if len(versions) < MAX_OUTCOMES:
        return INITIAL_VERSION
    return versions[len(versions) - MAX_OUTCOMES + EVICTION_BATCH - 1]


def operator_number(store: StoreView, outcome: Outcome) -> int:
    """Return the operator's number of an outcome; where an earlier program kept none, the one in force bounds it."""
    if outcome.number is not None:
        return outcome.number
    if CONFIGURATION_KEY not in store:
        return 0
    _, configuration = store[CONFIGURATION_KEY]
    number: int = configuration.get("number", 0)
    return number


@dataclass(slots=True)
class VersionAges:
    """How old versions are, in the time that this primary was awake; a new primary begins anew.

    :ivar marks: (time, version that was the newest then), oldest first.
    :ivar aged: the newest version that is old enough to be forgotten.
    """

    samples: list[tuple[timedelta, Version]] = field(default_factory=list)
    aged: Version = INITIAL_VERSION

    def newest_aged(self, now: timedelta, awake_since: timedelta, version: Version, retention: timedelta) -> Version:
        """Return the newest version that is older than `keep`.

        :param awake_since: since when this process has not paused, nor the view changed.
        """
        newest_sample = self.samples[-1][0] if self.samples else None
        if newest_sample is None or now - newest_sample >= retention / AGE_SAMPLES:
            self.samples.append((now, version))
        while self.samples:
            sampled_at, sampled_version = self.samples[0]
            if now - max(sampled_at, awake_since) < retention:
                break
            self.samples.pop(0)
            self.aged = max(self.aged, sampled_version)
        return self.aged
