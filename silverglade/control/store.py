"""What a core writes and sends of its store (design 5.4)."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any

from . import outcomes
from . import replicated_state as bk
from .messages import Items, Version
from .writes import DiskOperation

Store = dict[str, tuple[Version, Any]]
"""key -> (version, value); values are never changed in place."""


def whole(store: Store) -> list[DiskOperation]:
    """The disk operations that write the whole store anew."""
    return [("wipe", "book")] + [("put", "book", key, held) for key, held in store.items()]


def changed(items: Items, gone: Collection[str], table: str = "book") -> list[DiskOperation]:
    """The disk operations of a change: the items put, the keys of `gone` deleted."""
    puts: Iterable[DiskOperation] = (("put", table, key, (version, value)) for key, version, value in items)
    return [*puts, *(("del", table, key) for key in gone)]


def rows(store: Store, since: Version = bk.INITIAL_VERSION) -> Items:
    """All that is newer than `since`, as it travels."""
    return tuple(sorted((key, version, value) for key, (version, value) in store.items() if version > since))


def take(store: Store, items: Items) -> Collection[str]:
    """Changes into the store -> keys that go, on primary and backup alike."""
    store.update({key: (version, value) for key, version, value in items})
    gone: Collection[str] = bk.pruned_keys(store)
    for key in gone:
        del store[key]
    return gone


def show(shown_items: Store, items: Items) -> list[DiskOperation]:
    """What was acknowledged into what may be told; the newer of each key stays -> what is to be written of it."""
    new = tuple(
        (key, version, value)
        for key, version, value in items
        if version > shown_items.get(key, (bk.INITIAL_VERSION,))[0] and not outcomes.private(key)
    )
    return changed(new, take(shown_items, new), "shown") if new else []
