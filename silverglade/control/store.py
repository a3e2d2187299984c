"""Functions on a core's store: apply items, and derive the disk operations and the items to send (design 5.4)."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any

from . import outcomes
from .disk_writes import COMMITTED_TABLE, STORE_TABLE, DiskOperation
from .replicated_state import INITIAL_VERSION, Items, Version, pruned_keys, version_of

Store = dict[str, tuple[Version, Any]]
"""Maps a key to (version, value); values are never changed in place."""


def rewrite_all(store: Store) -> list[DiskOperation]:
    """Return the disk operations that rewrite the whole store."""
    return [("wipe", STORE_TABLE)] + [("put", STORE_TABLE, key, held) for key, held in store.items()]


def change_operations(items: Items, pruned: Collection[str], table: str = STORE_TABLE) -> list[DiskOperation]:
    """Return the disk operations of a change: put the items and delete the keys in `pruned`."""
    puts: Iterable[DiskOperation] = (("put", table, key, (version, value)) for key, version, value in items)
    return [*puts, *(("del", table, key) for key in pruned)]


def newer_items(store: Store, since: Version = INITIAL_VERSION) -> Items:
    """Return all items newer than `since`, sorted by key, in the form sent on the wire."""
    return tuple(sorted((key, version, value) for key, (version, value) in store.items() if version > since))


def apply(store: Store, items: Items) -> Collection[str]:
    """Put items into the store and prune it; return the pruned keys, which are the same on primary and backup."""
    store.update({key: (version, value) for key, version, value in items})
    pruned: Collection[str] = pruned_keys(store)
    for key in pruned:
        del store[key]
    return pruned


def commit(committed: Store, items: Items) -> list[DiskOperation]:
    """Put acknowledged items into the committed store where they are newer; return the disk operations for that."""
    new = tuple(
        (key, version, value) for key, version, value in items if version > version_of(committed, key) and not outcomes.is_private(key)
    )
    return change_operations(new, apply(committed, new), COMMITTED_TABLE) if new else []
