"""The replicated store, which maps a key to (version, value), and queries on it (design 5.3).

Keys:

- "config": the configuration in force;
- "source": the text in which an operator sent the configuration;
- "evac/ZONE": whether a zone is drained;
- "duty/KIND/NAME" and "floor/KIND": singleton roles;
- "usage": the newest usage report (design 18.2);
- "change/ID" and "forgotten": outcomes of changes (outcomes.py).

"source" and outcomes are not sent to daemons; "usage" is sent only to cores.

A role that is no longer needed has the value None for a while, as a tombstone, so that daemons drop it. Its epoch is kept in the
epoch floor of its kind, and the epochs of new roles start above that floor (design 5.6). A version is (epoch, number);
`INITIAL_VERSION` is the lowest.
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
"""Maximum number of dropped roles kept as tombstones, so that daemons that were unreachable learn of them."""

SOURCE_KEY = "source"
USAGE_KEY = "usage"
EVACUATION_PREFIX = "evac/"
ROLE_PREFIX = "duty/"
EPOCH_FLOOR_PREFIX = "floor/"

SHARD_ROLE = "shard"
"""Kind of role: owner of a tenant's shard, named after the tenant."""

SLOT_LEASES_ROLE = "ledger"
"""Kind of role: holder of a replica's slot leases, named after the replica."""

DUTY_ROLE = "platform"
"""Kind of role: holder of a platform duty (design 18), named after the duty. It is never dropped, so its epoch only increases."""


class RoleAssignment(NamedTuple):
    """The holder of a singleton role (design 5.6).

    :ivar epoch: increases by one with each assignment.
    :ivar holder: name of the daemon.
    :ivar follower: the daemon that keeps a replica for the holder; "" for none.
    """

    epoch: int
    holder: str
    follower: str


class UsageRecord(NamedTuple):
    """The usage report of a window, recorded before it is sent (design 18.2).

    :ivar window: the number of the window; all windows below it are closed.
    :ivar counts: (tenant, number of requests) pairs.
    """

    window: int
    counts: tuple[tuple[str, int], ...]


def evacuation_key(zone: str) -> str:
    """Return the key that holds whether a zone is drained."""
    return f"{EVACUATION_PREFIX}{zone}"


def role_key(kind: str, name: str) -> str:
    """Return the key of a singleton role."""
    return f"{ROLE_PREFIX}{kind}/{name}"


def epoch_floor_key(kind: str) -> str:
    """Return the key of the highest epoch among the dropped roles of a kind."""
    return f"{EPOCH_FLOOR_PREFIX}{kind}"


def newest_version(store: StoreView) -> Version:
    """Return the version of the whole store, which is that of its newest item."""
    return max((version for version, _ in store.values()), default=INITIAL_VERSION)


def version_of(store: StoreView, key: str) -> Version:
    """Return the version of the change that set an item; `INITIAL_VERSION` if there is none."""
    held = store.get(key)
    return INITIAL_VERSION if held is None else held[0]


def value_of(store: StoreView, key: str, default: Any = None) -> Any:
    """Return the value of an item; `default` if there is none."""
    held = store.get(key)
    return default if held is None else held[1]


def items_since(store: StoreView, version: Version, *, for_core: bool = False) -> Items:
    """Return the items of an update for a daemon that has `version`, sorted by key.

    :param for_core: whether the daemon is a core, which gets "usage" too.
    """
    hidden_keys = (SOURCE_KEY,) if for_core else (SOURCE_KEY, USAGE_KEY)
    return tuple(
        sorted(
            (key, item_version, value)
            for key, (item_version, value) in store.items()
            if item_version > version and not outcomes.is_private(key) and key not in hidden_keys
        )
    )


def pruned_keys(store: StoreView) -> tuple[str, ...]:
    """Return the keys to prune: forgotten outcomes, and the oldest surplus tombstones. Every member prunes the same keys."""
    dropped = sorted((version, key) for key, (version, value) in store.items() if value is None)
    surplus = dropped[: max(0, len(dropped) - MAX_DROPPED_ROLES)]
    return (*outcomes.forgotten_keys(store), *(key for _, key in surplus))


def role_assignment(store: StoreView, kind: str, name: str) -> RoleAssignment | None:
    """Return the assignment of a singleton role; None if it was never assigned or was dropped."""
    row = value_of(store, role_key(kind, name))
    return None if row is None else RoleAssignment(*row)


def usage_record(store: StoreView) -> UsageRecord | None:
    """Return the newest recorded usage report; None if there is none."""
    row = value_of(store, USAGE_KEY)
    return None if row is None else UsageRecord(*row)


def epoch_floor(store: StoreView, kind: str) -> int:
    """Return the highest epoch among the dropped roles of a kind; 0 if there are none."""
    floor: int = value_of(store, epoch_floor_key(kind), 0)
    return floor


def evacuated_zones(store: StoreView) -> frozenset[str]:
    """Return the zones that are drained."""
    drained_keys = [key for key, (_, value) in store.items() if key.startswith(EVACUATION_PREFIX) and value]
    return frozenset(key.removeprefix(EVACUATION_PREFIX) for key in drained_keys)


def configuration_number(store: StoreView) -> int:
    """Return the operator's number of the configuration in force; 0 for none."""
    number: int = (value_of(store, CONFIGURATION_KEY) or {}).get("number", 0)
    return number


def fencing_token_of(store: StoreView, keys: Iterable[str]) -> Version:
    """Return the newest version among these keys, which stays valid as a fencing token until one of them changes."""
    return max(version_of(store, key) for key in keys)


def is_version(value: Any) -> bool:
    """Return whether an untrusted value is a version."""
    return isinstance(value, tuple) and len(value) == 2 and all(type(n) is int and n >= 0 for n in value)


def is_item_list(value: Any) -> bool:
    """Return whether an untrusted value is a tuple of items; their values are not checked."""
    return isinstance(value, tuple) and all(
        isinstance(item, tuple) and len(item) == 3 and isinstance(item[0], str) and is_version(item[1]) for item in value
    )
