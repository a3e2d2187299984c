"""Recorded outcomes of operators' changes (design 5.3): a repeat of an accepted change is acknowledged again.

The store holds an outcome under the change's id, an idempotency key: (digest of the call, version, number). The version
`INITIAL_VERSION` means that the change was permanently refused, since it named a base that did not exist yet. `number` is the operator's
number, 0 for none.

The horizon (version, number) marks what has been forgotten: all outcomes up to that version, except that of the configuration in
force, and the highest number among them. The primary advances it as part of an accepted change, so that backups, snapshots and
later primaries forget the same outcomes. Numbers and versions increase with each accepted change. So a change whose base is not
below the horizon either still has a recorded outcome or was never accepted, and one whose base is below it can no longer be
evaluated.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple

Version = tuple[int, int]
"""(epoch, number) of a change."""

StoreView = Mapping[str, tuple[Version, Any]]
"""Read-only view of the store: key to (version, value)."""

Item = tuple[str, Version, Any]
"""An item in the form sent on the wire: key, version of the change that set it, value."""

INITIAL_VERSION: Version = (0, 0)
"""The version before all others."""

OUTCOME_PREFIX = "change/"
"""Prefix of the keys of outcomes; the change id follows."""

HORIZON_KEY = "forgotten"
"""Key of the horizon."""

MAX_OUTCOMES = 4096
"""Maximum number of outcomes kept, each of about 200 bytes at most."""

EVICTION_BATCH = MAX_OUTCOMES // 4
"""Number of outcomes evicted together when there are `MAX_OUTCOMES`."""

AGE_SAMPLES = 8
"""Number of samples into which the retention time of outcomes is divided."""

CONFIGURATION_KEY = "config"


class Outcome(NamedTuple):
    """The outcome of a change.

    :ivar digest: digest of the change's text.
    :ivar version: the version that it got; `INITIAL_VERSION` if it was permanently refused.
    :ivar number: the operator's number of it; 0 for none, None if an earlier program version recorded none.
    """

    digest: str
    version: Version
    number: int | None = None


class Horizon(NamedTuple):
    """The version, and the operator's number, up to which outcomes may have been forgotten."""

    version: Version
    number: int


def is_private(key: str) -> bool:
    """Return whether a key is for members of the view only and is never sent to daemons."""
    return key.startswith(OUTCOME_PREFIX) or key == HORIZON_KEY


def horizon(store: StoreView) -> Horizon:
    """Return the horizon; before the first one is set, nothing has been forgotten."""
    if HORIZON_KEY not in store:
        return Horizon(INITIAL_VERSION, 0)
    _, value = store[HORIZON_KEY]
    return Horizon(*value)


def find_outcome(store: StoreView, change_id: str) -> Outcome | None:
    """Return the outcome of a change; None if there is none."""
    if not change_id or OUTCOME_PREFIX + change_id not in store:
        return None
    _, value = store[OUTCOME_PREFIX + change_id]
    return Outcome(*value)


def outcome_item(*, change_id: str, digest: str, version: Version, number: int, accepted: bool = True) -> Item:
    """Return an outcome as an item of the change at `version`.

    :param accepted: whether the change was accepted; False if it was permanently refused.
    """
    outcome = Outcome(digest, version if accepted else INITIAL_VERSION, number)
    return (OUTCOME_PREFIX + change_id, version, tuple(outcome))


def version_in_force(store: StoreView) -> Version:
    """Return the version of the configuration in force."""
    if CONFIGURATION_KEY not in store:
        return INITIAL_VERSION
    version, _ = store[CONFIGURATION_KEY]
    return version


def forgotten_keys(store: StoreView) -> list[str]:
    """Return the keys of outcomes up to the horizon. Every member drops the same ones, since the horizon is in the store."""
    forgotten_up_to, in_force = horizon(store).version, version_in_force(store)
    return [
        key for key, (version, _) in store.items() if version <= forgotten_up_to and key.startswith(OUTCOME_PREFIX) and version != in_force
    ]


def advanced_horizon(store: StoreView, *, version: Version, aged: Version) -> tuple[Item, ...]:
    """Return the new horizon as an item if it advances with the change at `version`; empty if it does not.

    :param aged: the newest version whose outcomes have been kept for the retention time.
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
    """Return the newest version to evict because there are too many outcomes, given all their versions in order."""
    if len(versions) < MAX_OUTCOMES:
        return INITIAL_VERSION
    return versions[len(versions) - MAX_OUTCOMES + EVICTION_BATCH - 1]


def operator_number(store: StoreView, outcome: Outcome) -> int:
    """Return the operator's number of an outcome; if none was recorded, the one in force, which is an upper bound."""
    if outcome.number is not None:
        return outcome.number
    if CONFIGURATION_KEY not in store:
        return 0
    _, configuration = store[CONFIGURATION_KEY]
    number: int = configuration.get("number", 0)
    return number


@dataclass(slots=True)
class VersionAges:
    """The ages of versions, counted only while this primary runs without a pause; a new primary starts again.

    :ivar samples: (time, newest version at that time), oldest first.
    :ivar aged: the newest version that is old enough to be forgotten.
    """

    samples: list[tuple[timedelta, Version]] = field(default_factory=list)
    aged: Version = INITIAL_VERSION

    def newest_aged(self, now: timedelta, awake_since: timedelta, version: Version, retention: timedelta) -> Version:
        """Return the newest version that is older than `retention`.

        :param awake_since: the time of the last pause of this process or change of view.
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
