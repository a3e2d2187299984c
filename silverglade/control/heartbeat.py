"""What a core knows of the other cores by their heartbeats (design 5.10).

A heartbeat carries the sender's clock (`stamp`) and the newest stamp of the receiver that it has seen (`echo`). So a core knows
not only which cores it hears but also which ones hear it: one that receives nothing is of no use as a member.
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
    """What another core said last, besides the fields of its heartbeat.

    :ivar heard_at: when it was heard.
    :ivar echoed: the newest time of this core's own clock that it has seen, or None.
    :ivar unsteady_since: since when it has been heard without being steady (`Peers.is_steady`), or None.
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
    """The other cores, by name.

    :ivar tuning: time settings, shared by all components and never written here.
    :ivar table: what each core said last.
    """

    tuning: Mapping[str, Any]
    table: dict[str, Peer] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget all: after a pause of this process what it heard says nothing of now."""
        self.table.clear()

    def record_heartbeat(self, name: str, heartbeat: Heartbeat, now: timedelta) -> None:
        """Take in a heartbeat."""
        was = self.table.get(name)
        peer = Peer(
            received_at=now,
            eligible=heartbeat.eligible,
            disk=heartbeat.disk,
            sealed=heartbeat.sealed,
            can_form=heartbeat.can_form,
            stamp=heartbeat.stamp,
            last_echoed=milliseconds(heartbeat.echo) if heartbeat.echo >= 0 else None,
            unhealthy_since=was and was.unhealthy_since or now,
        )
        self.table[name] = replace(peer, unhealthy_since=None) if self.is_healthy(peer, now) else peer

    def is_healthy(self, peer: Peer, now: timedelta) -> bool:
        """Tell whether a core was heard lately, has heard this one lately, and has a disk that takes writes."""
        takeover, heartbeat = self.tuning["takeover"], self.tuning["heartbeat"]
        return bool(
            peer.eligible
            and now - peer.received_at <= takeover
            and peer.last_echoed is not None
            and now - peer.last_echoed <= takeover + heartbeat
        )

    def get(self, name: str) -> Peer | None:
        """Return what a core said last; None if nothing was heard."""
        return self.table.get(name)

    def disk(self, name: str) -> str | None:
        """Return the disk that a core named last; None if nothing was heard."""
        peer = self.table.get(name)
        return peer.disk if peer else None

    def sealed(self, name: str) -> int:
        """Return the newest epoch that a core said it sealed; 0 if nothing was heard."""
        peer = self.table.get(name)
        return peer.sealed if peer else 0

    def can_form_first_view(self, name: str) -> bool:
        """Tell whether a core said that its disk is empty and that it may form the first view."""
        peer = self.table.get(name)
        return peer is not None and peer.can_form

    def is_up(self, name: str, now: timedelta) -> bool:
        """Tell whether a core is heard and steady now."""
        peer = self.table.get(name)
        return peer is not None and self.is_healthy(peer, now)

    def is_lost(self, name: str, now: timedelta, listening_since: timedelta) -> bool:
        """Tell whether a core has not been up for longer than `takeover`, counted only while it would have been heard."""
        peer, wait = self.table.get(name), self.tuning["takeover"]
        if peer is None or now - peer.received_at > wait:
            return self.is_silent(name, now, listening_since, wait)
        return peer.unhealthy_since is not None and now - peer.unhealthy_since > wait

    def is_silent(self, name: str, now: timedelta, awake_since: timedelta, time: timedelta) -> bool:
        """Tell whether a core was not heard for this time, counted only while this process was awake."""
        peer = self.table.get(name)
        return now - max(awake_since, peer.received_at if peer else awake_since) > time

    def echo(self, name: str) -> int:
        """Return the newest stamp of a core, to be echoed to it; -1 for none."""
        peer = self.table.get(name)
        return peer.stamp if peer else -1
