"""The last heartbeat of each other core, and whether a core is up, lost or silent according to it (design 5.10).

A heartbeat carries the sender's clock (`stamp`) and the newest stamp that it has received from the recipient (`echo`). This detects
failures of either direction of a link: a core that can send but not receive is of no use as a member.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

from ..runtime.effects import milliseconds
from .messages import Heartbeat


@dataclass(frozen=True, slots=True)
class Peer:
    """The last heartbeat of another core, and what was derived from it.

    :ivar received_at: when the heartbeat arrived.
    :ivar last_echoed: when this core sent the newest of its heartbeats that the peer has received, by this core's clock; None if unknown.
    :ivar unhealthy_since: since when heartbeats have arrived without the peer being healthy (`Peers.is_healthy`), or None.
    """

    received_at: timedelta
    eligible: bool
    disk: str
    sealed: int
    can_form: bool
    stamp: int
    last_echoed: timedelta | None
    unhealthy_since: timedelta | None


@dataclass(slots=True)
class Peers:
    """The last heartbeats of the other cores.

    :ivar tuning: time settings, shared by all components and never written here.
    :ivar table: maps the name of each core to its last heartbeat.
    """

    tuning: Mapping[str, Any]
    table: dict[str, Peer] = field(default_factory=dict)

    def clear(self) -> None:
        """Discard all heartbeats: after a pause of this process they do not show the present state."""
        self.table.clear()

    def record_heartbeat(self, name: str, heartbeat: Heartbeat, now: timedelta) -> None:
        """Replace the record of a core by one made from its newest heartbeat."""
        previous = self.table.get(name)
        peer = Peer(
            received_at=now,
            eligible=heartbeat.eligible,
            disk=heartbeat.disk,
            sealed=heartbeat.sealed,
            can_form=heartbeat.can_form,
            stamp=heartbeat.stamp,
            last_echoed=milliseconds(heartbeat.echo) if heartbeat.echo >= 0 else None,
            unhealthy_since=previous and previous.unhealthy_since or now,
        )
        self.table[name] = replace(peer, unhealthy_since=None) if self.is_healthy(peer, now) else peer

    def is_healthy(self, peer: Peer, now: timedelta) -> bool:
        """Return whether a peer is healthy.

        Its last heartbeat is then recent, shows that it has recently received one from this core, and reports it as eligible.
        """
        takeover, heartbeat = self.tuning["takeover"], self.tuning["heartbeat"]
        return bool(
            peer.eligible
            and now - peer.received_at <= takeover
            and peer.last_echoed is not None
            and now - peer.last_echoed <= takeover + heartbeat
        )

    def get(self, name: str) -> Peer | None:
        """Return the record of a core's last heartbeat; None if there was none."""
        return self.table.get(name)

    def disk(self, name: str) -> str | None:
        """Return the disk id in a core's last heartbeat; None if there was none."""
        peer = self.table.get(name)
        return peer.disk if peer else None

    def sealed(self, name: str) -> int:
        """Return the newest epoch that a core reported as sealed; 0 if there is none or no heartbeat."""
        peer = self.table.get(name)
        return peer.sealed if peer else 0

    def can_form_first_view(self, name: str) -> bool:
        """Return whether a core reported that its disk is empty and that it may form the first view."""
        peer = self.table.get(name)
        return peer is not None and peer.can_form

    def is_up(self, name: str, now: timedelta) -> bool:
        """Return whether a core is up: its last heartbeat is recent and healthy."""
        peer = self.table.get(name)
        return peer is not None and self.is_healthy(peer, now)

    def is_lost(self, name: str, now: timedelta, listening_since: timedelta) -> bool:
        """Return whether a core has not been up for longer than the setting `takeover`.

        :param listening_since: since when its heartbeats would have reached this core; time before that does not count.
        """
        peer, wait = self.table.get(name), self.tuning["takeover"]
        if peer is None or now - peer.received_at > wait:
            return self.is_silent(name, now, listening_since, wait)
        return peer.unhealthy_since is not None and now - peer.unhealthy_since > wait

    def is_silent(self, name: str, now: timedelta, awake_since: timedelta, timeout: timedelta) -> bool:
        """Return whether no heartbeat of a core arrived for longer than `timeout`, counted from `awake_since` at the earliest."""
        peer = self.table.get(name)
        return now - max(awake_since, peer.received_at if peer else awake_since) > timeout

    def echo(self, name: str) -> int:
        """Return the newest stamp of a core, to be echoed to it; -1 if there is none."""
        peer = self.table.get(name)
        return peer.stamp if peer else -1
