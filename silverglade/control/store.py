"""What a core writes to disk and sends of its store (design 5.4)."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any

from . import outcomes
from .replicated_state import INITIAL_VERSION, Items, Version, pruned_keys, version_of
from .writes import COMMITTED_TABLE, STORE_TABLE, DiskOperation

Store = dict[str, tuple[Version, Any]]
"""key -> (version, value); values are never changed in place."""


def rewrite_all(store: Store) -> list[DiskOperation]:
    """Return the disk operations that write the whole store anew."""
    return [("wipe", STORE_TABLE)] + [("put", STORE_TABLE, key, held) for key, held in store.items()]


def change_operations(items: Items, pruned: Collection[str], table: str = STORE_TABLE) -> list[DiskOperation]:
    """Return the disk operations of a change: the items are put, the keys in `pruned` deleted."""
    puts: Iterable[DiskOperation] = (("put", table, key, (version, value)) for key, version, value in items)
    return [*puts, *(("del", table, key) for key in pruned)]


def newer_items(store: Store, since: Version = INITIAL_VERSION) -> Items:
    """Return all that is newer than `since`, as it travels."""
    return tuple(sorted((key, version, value) for key, (version, value) in store.items() if version > since))


def apply(store: Store, items: Items) -> Collection[str]:
    """Put items into the store; return the keys that were pruned, the same on primary and backup."""
    store.update({key: (version, value) for key, version, value in items})
    pruned: Collection[str] = pruned_keys(store)
    for key in pruned:
        del store[key]
    return pruned


def commit(committed: Store, items: Items) -> list[DiskOperation]:
    """Put acknowledged items into the committed ones, where they are newer; return the disk operations for that."""
    new = tuple(
        (key, version, value) for key, version, value in items if version > version_of(committed, key) and not outcomes.is_private(key)
    )
    return change_operations(new, apply(committed, new), COMMITTED_TABLE) if new else []
