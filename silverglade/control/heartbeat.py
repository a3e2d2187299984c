"""What a core knows of the other cores by their heartbeats (design 5.10).

A heartbeat carries the sender's clock (`stamp`) and the newest stamp of ours that it has seen (`echo`), so a core knows
not only whom it hears but who hears it: one that is deaf is of no use as a member.
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
    """What another core said last.

    heard_at: when. echoed: the newest time of our own clock that it has seen, or None. unsteady_since: since when it has been
    heard without being steady (see `Peers.is_steady`), or None.
    """

    heard_at: timedelta
    able: bool
    disk: str
    sealed: int
    blank: bool
    stamp: int
    echoed: timedelta | None
    unsteady_since: timedelta | None


@dataclass(slots=True)
class Peers:
    """The other cores, by name. tuning: the time settings, shared by all parts and never written here."""

    tuning: Mapping[str, Any]
    table: dict[str, Peer] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget all: this core was frozen, so what it heard says nothing of now."""
        self.table.clear()

    def heard(self, name: str, beat: Heartbeat, now: timedelta) -> None:
        """Take in a heartbeat."""
        was = self.table.get(name)
        peer = Peer(
            heard_at=now,
            able=beat.able,
            disk=beat.disk,
            sealed=beat.sealed,
            blank=beat.blank,
            stamp=beat.stamp,
            echoed=milliseconds(beat.echo) if beat.echo >= 0 else None,
            unsteady_since=was and was.unsteady_since or now,
        )
        self.table[name] = replace(peer, unsteady_since=None) if self.is_steady(peer, now) else peer

    def is_steady(self, peer: Peer, now: timedelta) -> bool:
        """Heard of late, hearing us, and with a disk that takes writes."""
        takeover, heartbeat = self.tuning["takeover"], self.tuning["heartbeat"]
        return bool(peer.able and now - peer.heard_at <= takeover and peer.echoed is not None and now - peer.echoed <= takeover + heartbeat)

    def get(self, name: str) -> Peer | None:
        """What that core said last; None if nothing."""
        return self.table.get(name)

    def disk(self, name: str) -> str | None:
        """The disk that it named last; None if nothing was heard."""
        peer = self.table.get(name)
        return peer.disk if peer else None

    def sealed(self, name: str) -> int:
        """The epoch that it said it sealed; 0 if nothing was heard."""
        peer = self.table.get(name)
        return peer.sealed if peer else 0

    def is_blank(self, name: str) -> bool:
        """Did it say that it is empty and may form the first view?"""
        peer = self.table.get(name)
        return peer is not None and peer.blank

    def is_up(self, name: str, now: timedelta) -> bool:
        """Is it steady?"""
        peer = self.table.get(name)
        return peer is not None and self.is_steady(peer, now)

    def is_lost(self, name: str, now: timedelta, listening_since: timedelta) -> bool:
        """Is it not up, and that for longer than a moment, as far as was to be heard?"""
        peer, wait = self.table.get(name), self.tuning["takeover"]
        if peer is None or now - peer.heard_at > wait:
            return self.is_silent(name, now, listening_since, wait)
        return peer.unsteady_since is not None and now - peer.unsteady_since > wait

    def is_silent(self, name: str, now: timedelta, awake_since: timedelta, time: timedelta) -> bool:
        """Was it not heard for this time, of which we were awake and listening?"""
        peer = self.table.get(name)
        return now - max(awake_since, peer.heard_at if peer else awake_since) > time

    def echo(self, name: str) -> int:
        """Its newest stamp, to be sent back to it; -1 if none."""
        peer = self.table.get(name)
        return peer.stamp if peer else -1
