"""The store: what control holds, key to (version, value) (design 5.3).

Keys are "config"; "source", the text in which an operator sent the configuration; "evac/ZONE"; "duty/KIND/NAME" and
"floor/KIND" for singleton roles; "usage", the newest usage report (design 18.2); "change/ID" and "forgotten" for outcomes of
changes (outcomes.py). Daemons are not told of "source" and of outcomes, and of "usage" only where they are cores.

A role that nobody needs any more has the value None for a while, so that daemons drop it; its epoch is kept in the floor of its
kind, above which every new role begins (design 5.6). A version is (epoch, number); `INITIAL_VERSION` is before every other.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from . import outcomes
from .outcomes import CONFIGURATION_KEY, INITIAL_VERSION, Item, StoreView, Version

__all__ = [
    "CONFIGURATION_KEY",
    "DUTY_ROLE",
    "EPOCH_FLOOR_PREFIX",
    "EVACUATION_PREFIX",
    "INITIAL_VERSION",
    "MAX_DROPPED_ROLES",
    "ROLE_PREFIX",
    "SHARD_ROLE",
    "SLOT_LEASES_ROLE",
    "SOURCE_KEY",
    "USAGE_KEY",
    "Item",
    "Items",
    "RoleAssignment",
    "StoreView",
    "UsageRecord",
    "Version",
    "configuration_number",
    "epoch_floor",
    "epoch_floor_key",
    "evacuated_zones",
    "evacuation_key",
    "fencing_token_of",
    "is_item_list",
    "is_version",
    "items_since",
    "newest_version",
    "pruned_keys",
    "role_assignment",
    "role_key",
    "usage_record",
    "value_of",
    "version_of",
]

Items = tuple[Item, ...]

MAX_DROPPED_ROLES = 256
"""Dropped roles that are kept, so that daemons which were away learn of them."""

SOURCE_KEY = "source"
USAGE_KEY = "usage"
EVACUATION_PREFIX = "evac/"
ROLE_PREFIX = "duty/"
EPOCH_FLOOR_PREFIX = "floor/"

SHARD_ROLE = "shard"
"""Kind of role: owner of a tenant's shard; its name is the tenant's."""

SLOT_LEASES_ROLE = "ledger"
"""Kind of role: holder of a replica's slot leases; its name is the replica's."""

DUTY_ROLE = "platform"
"""Kind of role: holder of a duty at the platform (design 18); its name is the duty's. It is never dropped, so its epoch only rises."""


class RoleAssignment(NamedTuple):
    """Who holds a singleton role (design 5.6).

    :ivar epoch: rises by one with each assignment.
    :ivar holder: name of the daemon.
    :ivar follower: the daemon that keeps a copy for it; "" for none.
    """

    epoch: int
    holder: str
    follower: str


class UsageRecord(NamedTuple):
    """What is reported of a window of usage, recorded before it is sent (design 18.2).

    :ivar window: its number; those below it are closed.
    :ivar counts: (tenant, requests) each.
    """

    window: int
    counts: tuple[tuple[str, int], ...]


def evacuation_key(zone: str) -> str:
    """Return the key that says whether a zone is drained."""
    return f"{EVACUATION_PREFIX}{zone}"


def role_key(kind: str, name: str) -> str:
    """Return the key of a singleton role."""
    return f"{ROLE_PREFIX}{kind}/{name}"


def epoch_floor_key(kind: str) -> str:
    """Return the key of the highest epoch among the dropped roles of a kind."""
    return f"{EPOCH_FLOOR_PREFIX}{kind}"


def newest_version(store: StoreView) -> Version:
    """Return the version of the whole store: that of its newest item."""
    return max((version for version, _ in store.values()), default=INITIAL_VERSION)


def version_of(store: StoreView, key: str) -> Version:
    """Return the version of the change that set an item, or `INITIAL_VERSION`."""
    held = store.get(key)
    return INITIAL_VERSION if held is None else held[0]


def value_of(store: StoreView, key: str, default: Any = None) -> Any:
    """Return the value of an item, or `default`."""
    held = store.get(key)
    return default if held is None else held[1]


def items_since(store: StoreView, version: Version, *, for_core: bool = False) -> Items:
    """Return the items that an update brings to a daemon which holds `version`, sorted by key."""
    hidden_keys = (SOURCE_KEY,) if for_core else (SOURCE_KEY, USAGE_KEY)
    return tuple(
        sorted(
            (key, item_version, value)
            for key, (item_version, value) in store.items()
            if item_version > version and not outcomes.is_private(key) and key not in hidden_keys
        )
    )


def pruned_keys(store: StoreView) -> tuple[str, ...]:
    """Return the keys that go: outcomes that are forgotten, and dropped roles beyond those kept. Every member gets the same."""
    dropped = sorted((version, key) for key, (version, value) in store.items() if value is None)
    surplus = dropped[: max(0, len(dropped) - MAX_DROPPED_ROLES)]
    return (*outcomes.forgotten_keys(store), *(key for _, key in surplus))


def role_assignment(store: StoreView, kind: str, name: str) -> RoleAssignment | None:
    """Return who holds a singleton role; None where nobody was named, or the role was dropped."""
    row = value_of(store, role_key(kind, name))
    return None if row is None else RoleAssignment(*row)


def usage_record(store: StoreView) -> UsageRecord | None:
    """Return the newest usage report that was recorded; None for none."""
    row = value_of(store, USAGE_KEY)
    return None if row is None else UsageRecord(*row)


def epoch_floor(store: StoreView, kind: str) -> int:
    """Return the highest epoch among the dropped roles of a kind; 0 for none."""
    floor: int = value_of(store, epoch_floor_key(kind), 0)
    return floor


def evacuated_zones(store: StoreView) -> frozenset[str]:
    """Return the zones that are drained."""
    drained_keys = [key for key, (_, value) in store.items() if key.startswith(EVACUATION_PREFIX) and value]
    return frozenset(key.removeprefix(EVACUATION_PREFIX) for key in drained_keys)


def configuration_number(store: StoreView) -> int:
    """Return the operator's own number of the configuration in force; 0 for none."""
    number: int = (value_of(store, CONFIGURATION_KEY) or {}).get("number", 0)
    return number


def fencing_token_of(store: StoreView, keys: Iterable[str]) -> Version:
    """Return the newest version among these keys: it stands until one of them changes."""
    return max(version_of(store, key) for key in keys)


def is_version(value: Any) -> bool:
    """Tell whether a value from outside is a version."""
    return isinstance(value, tuple) and len(value) == 2 and all(type(n) is int and n >= 0 for n in value)


def is_item_list(value: Any) -> bool:
    """Tell whether a value from outside is a tuple of items, whatever their values are."""
    return isinstance(value, tuple) and all(
        isinstance(item, tuple) and len(item) == 3 and isinstance(item[0], str) and is_version(item[1]) for item in value
    )
