"""The lease holder of each replica (design 5.6, 7.3) as assigned by control: key "duty/ledger/REPLICA" of the store."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

Store = Mapping[str, tuple[Any, Any]]
"""The state acknowledged by control: key to (version, value)."""

LEASE_HOLDER_KEY = "duty/ledger/"
"""Prefix of the store keys that hold the assignments of lease holders."""


class LeaseHolder(NamedTuple):
    """The daemon that leases a replica's slots, and the epoch of its assignment."""

    epoch: int
    daemon: str


def lease_holders(store: Store) -> Iterator[tuple[str, LeaseHolder]]:
    """Yield each replica that has a lease holder, with the holder, in the order of the store."""
    for key, (_, role) in store.items():
        if key.startswith(LEASE_HOLDER_KEY) and role:
            yield key[len(LEASE_HOLDER_KEY) :], LeaseHolder(role[0], role[1])
