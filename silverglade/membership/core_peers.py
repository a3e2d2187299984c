"""Anti-entropy between the cores' tables of soft state (design 4.3).

Each core pushes the rows that it stamped to the other cores, and sends them its version vector periodically.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from ..runtime.effects import ZERO, Effect, Send
from ..runtime.record import Record, field
from .messages import PublishRows, SyncTables
from .records import SoftStateRow
from .replicated_table import ReplicatedTable, VersionVector, covers, difference, to_pairs

PUSH_TRUST_FACTOR = 1.5
"""For how long, as a multiple of the tuning "ask_wait", a core is assumed to have received the rows pushed to it."""

FULL_VECTOR, PARTIAL_VECTOR = 1, 0
"""Values of `SyncTables.is_complete`."""


class CorePeer(Record):
    """What is known about another core's table.

    :ivar last_sync_at: when the core last sent its version vector.
    :ivar vector: the version vector that it sent.
    :ivar pushed_number: the highest number among the rows stamped here that were pushed to it.
    :ivar pushed_at: when rows were last pushed to it.
    """

    last_sync_at: timedelta
    vector: VersionVector = field(default_factory=dict)
    pushed_number: int = 0
    pushed_at: timedelta = ZERO


class CorePeers:
    """Keeps a core's table consistent with those of the other cores.

    :ivar peers: the known other cores, by name.
    :ivar has_synced: whether this table has at some time held every row that another core had reported.
    """

    __slots__ = ("peers", "has_synced", "_table", "_tuning")

    def __init__(self, *, table: ReplicatedTable, tuning: Mapping[str, Any]) -> None:
        self.peers: dict[str, CorePeer] = {}
        self.has_synced = False
        self._table = table
        self._tuning = tuning

    def reset_silence_timers(self, now: timedelta) -> None:
        """Measure the silence of every core from now on, because the process has just started or was paused."""
        for peer in self.peers.values():
            peer.last_sync_at = now

    def set_cores(self, cores: set[str], live: Iterable[str], now: timedelta) -> None:
        """Drop the peers that are not in `cores`, and add the new ones of `live`."""
        for core in [core for core in self.peers if core not in cores]:
            del self.peers[core]
        for core in sorted(live):
            self.peers.setdefault(core, CorePeer(last_sync_at=now))

    def last_sync_at(self, core: str, default: timedelta) -> timedelta:
        """Return when a core last sent its version vector, or `default` for an unknown core."""
        peer = self.peers.get(core)
        return peer.last_sync_at if peer is not None else default

    def sync_all(self, now: timedelta) -> list[Effect]:
        """Return the messages that send each peer this table's version vector and the rows that the peer lacks."""
        return [self._sync(core, now) for core in sorted(self.peers)]

    def push(self, core: str, now: timedelta) -> list[Effect]:
        """Return the message with the rows stamped here that a core lacks. It receives all other rows from the cores that stamped them."""
        own = self._table.process_id
        number = self._table.vector.get(own, 0)
        known = self._estimated_vector(core, now).get(own, 0)
        if number <= known:
            return []
        peer = self.peers[core]
        peer.pushed_number, peer.pushed_at = number, now
        rows = self._table.rows_since({**self._table.vector, own: known})
        return [Send(core, SyncTables(PARTIAL_VECTOR, ((own, number),), ((own, known),), rows).to_array())]

    def contact_seed(self, address: str, own_record: SoftStateRow) -> list[Effect]:
        """Return the messages that send a seed, which is no known member, this core's record and version vector.

        Groups of cores that started separately find each other this way.
        """
        seed = f"@{address}"
        publisher_fields = own_record[:5]
        return [
            Send(seed, PublishRows((publisher_fields,)).to_array()),
            Send(seed, SyncTables(FULL_VECTOR, to_pairs(self._table.vector), (), ()).to_array()),
        ]

    def on_sync(self, core: str, message: SyncTables, now: timedelta) -> tuple[bool, list[Effect]]:
        """Handle the version vector of another core, after the rows of the message were merged.

        :returns: whether this table's vector has changed, and the messages to send in reply.
        """
        vector, base = dict(message.vector), dict(message.base)
        peer = self._update_peer(core, message, vector, now)
        if not covers(self._table.vector, {**vector, **base}):
            return False, [self._sync(core, now)]  # the rows build on a vector that this table does not cover
        has_moved = not covers(self._table.vector, vector)
        self._table.advance_to(vector)
        self.has_synced = True
        if message.is_complete and self._lacks_rows(peer, vector, now):
            return has_moved, [self._sync(core, now)]
        return has_moved, []

    def _update_peer(self, core: str, message: SyncTables, vector: VersionVector, now: timedelta) -> CorePeer:
        peer = self.peers.setdefault(core, CorePeer(last_sync_at=now))
        peer.last_sync_at = now
        peer.vector = vector if message.is_complete else {**peer.vector, **vector}
        if message.is_complete and vector.get(self._table.process_id, 0) < peer.pushed_number:
            peer.pushed_number = 0  # its own vector overrides the assumption that the push arrived
        return peer

    def _lacks_rows(self, peer: CorePeer, vector: VersionVector, now: timedelta) -> bool:
        """Whether a core with this version vector lacks rows that no core is about to push to it."""
        own = self._table.process_id
        push_may_be_lost = now - peer.pushed_at > self._tuning["settle"]
        return any(vector.get(origin, 0) < number for origin, number in self._table.vector.items() if origin != own or push_may_be_lost)

    def _estimated_vector(self, core: str, now: timedelta) -> VersionVector:
        """Return the presumed version vector of a core: the one that it sent, raised by rows pushed recently."""
        peer = self.peers[core]
        vector = dict(peer.vector)
        if now - peer.pushed_at < self._tuning["ask_wait"] * PUSH_TRUST_FACTOR:
            own = self._table.process_id
            vector[own] = max(vector.get(own, 0), peer.pushed_number)
        return vector

    def _sync(self, core: str, now: timedelta) -> Effect:
        """Return the message with this table's version vector and all rows that the other core presumably lacks."""
        table = self._table
        known = self._estimated_vector(core, now)
        message = SyncTables(FULL_VECTOR, to_pairs(table.vector), to_pairs(difference(known, table.vector)), table.rows_since(known))
        return Send(core, message.to_array())
