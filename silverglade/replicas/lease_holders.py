"""Who holds the slot leases of which replica (design 5.6, 7.3), as control has it: key "duty/ledger/REPLICA" of the store."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

Store = Mapping[str, tuple[Any, Any]]
"""What control has acknowledged: key to (version, value)."""

LEASE_HOLDER_KEY = "duty/ledger/"
"""Prefix of the store's keys that name the lease holders."""


class LeaseHolder(NamedTuple):
    """The daemon that hands out a replica's slots, and its epoch."""

    epoch: int
    daemon: str


def lease_holders(store: Store) -> Iterator[tuple[str, LeaseHolder]]:
    """Every replica that has a lease holder, with it, in the order of the store."""
    for key, (_, role) in store.items():
        if key.startswith(LEASE_HOLDER_KEY) and role:
            yield key[len(LEASE_HOLDER_KEY) :], LeaseHolder(role[0], role[1])
