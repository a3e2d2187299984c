"""Choice of the core that follows a shard (design 6.3, 6.4)."""

from __future__ import annotations

from typing import NamedTuple

from ..membership.rendezvous import rank_nodes
from ..runtime.record import Record


class FollowerAssignment(NamedTuple):
    """A role for control to assign, as a row of the control operation "duties"."""

    kind: str
    shard: str
    epoch: int
    owner: str
    follower: str


class FollowerCandidates(Record):
    """The cores that may follow this daemon's shards.

    :ivar live: all live daemons.
    :ivar eligible: ready cores; only those in other zones, if there are any.
    :ivar same_zone: this daemon and the cores in its zone, if there are cores in other zones: the failure of one zone must not take
        owner and follower together.
    """

    live: set[str]
    eligible: list[str]
    same_zone: set[str]

    def ranked(self, shard: str) -> tuple[str, ...]:
        """Return the eligible cores in order of preference for this shard (rendezvous hashing)."""
        ranked: tuple[str, ...] = rank_nodes(f"follow/{shard}", self.eligible)
        return ranked
