"""Who owns and follows which shard (design 5.6, 6), as control has it: key "duty/shard/TENANT" of the store."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from ..control.replicated_state import value_of

Store = Mapping[str, tuple[Any, Any]]
"""What control has acknowledged: key to (version, value)."""

SHARD_ROLE_KEY = "duty/shard/"
"""Prefix of the store's keys that name owners and followers."""

HIGHEST_DROPPED_EPOCH_KEY = "floor/shard"
"""Key of the highest epoch of all shards that nobody needs any more."""


class ShardRole(NamedTuple):
    """The owner and the follower ("" for none) of a shard in one epoch."""

    epoch: int
    owner: str
    follower: str


def shard_role(store: Store, shard: str) -> ShardRole | None:
    """The role of a shard, or None."""
    role = value_of(store, SHARD_ROLE_KEY + shard)
    return ShardRole(*role) if role else None


def shard_roles(store: Store) -> Iterator[tuple[str, ShardRole]]:
    """Every shard with its role, in the order of the store."""
    for key, (_, role) in store.items():
        if key.startswith(SHARD_ROLE_KEY) and role:
            yield key[len(SHARD_ROLE_KEY) :], ShardRole(*role)


def is_followed_elsewhere(store: Store, shard: str, *, epoch: int, own_name: str) -> bool:
    """Whether the shard is followed by another daemon under a later epoch, or was dropped for good (design 6.3).

    Whoever follows it was given every claim before it was named.
    """
    role = shard_role(store, shard)
    if role is not None:
        return role.epoch > epoch and role.follower != own_name
    highest_dropped_epoch: int = value_of(store, HIGHEST_DROPPED_EPOCH_KEY, 0)
    return epoch <= highest_dropped_epoch
