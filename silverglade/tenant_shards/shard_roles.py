"""Owner and follower of each shard (design 5.6, 6) as assigned by control: key "duty/shard/TENANT" of the store."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from ..control.replicated_state import value_of

Store = Mapping[str, tuple[Any, Any]]
"""The state acknowledged by control: key to (version, value)."""

SHARD_ROLE_KEY = "duty/shard/"
"""Prefix of the store keys that hold shard roles."""

HIGHEST_DROPPED_EPOCH_KEY = "floor/shard"
"""Store key of the highest epoch among all dropped shards."""


class ShardRole(NamedTuple):
    """Owner and follower of a shard in one epoch; "" stands for no daemon."""

    epoch: int
    owner: str
    follower: str


def shard_role(store: Store, shard: str) -> ShardRole | None:
    """Return the role of a shard, or None."""
    role = value_of(store, SHARD_ROLE_KEY + shard)
    return ShardRole(*role) if role else None


def shard_roles(store: Store) -> Iterator[tuple[str, ShardRole]]:
    """Yield every shard with its role, in the order of the store."""
    for key, (_, role) in store.items():
        if key.startswith(SHARD_ROLE_KEY) and role:
            yield key[len(SHARD_ROLE_KEY) :], ShardRole(*role)


def is_followed_elsewhere(store: Store, shard: str, *, epoch: int, own_name: str) -> bool:
    """Whether another daemon follows the shard under a later epoch, or the shard was dropped permanently (design 6.3).

    A new follower receives every claim before it is assigned, so the claims held here may then be deleted.
    """
    role = shard_role(store, shard)
    if role is not None:
        return role.epoch > epoch and role.follower != own_name
    highest_dropped_epoch: int = value_of(store, HIGHEST_DROPPED_EPOCH_KEY, 0)
    return epoch <= highest_dropped_epoch
