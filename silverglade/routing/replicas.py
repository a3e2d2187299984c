"""The replicas that a daemon may choose from, as this daemon sees them (design 15.4)."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from ..runtime.effects import ZERO, milliseconds
from .records import EndpointRecord

FIRST_HOLD_OFF = timedelta(seconds=1)
"""For so long others go first after a failure; doubled while failures go on."""
LONGEST_HOLD_OFF = timedelta(seconds=8)
MOST_DOUBLINGS = 4


class ReplicaIdentity(Protocol):
    """What names a replica and where it stands: all that modules need that keep state of their own about replicas."""

    @property
    def id(self) -> str:
        """The replica's id; another one after each start."""

    @property
    def service(self) -> str:
        """The service that it belongs to."""

    @property
    def zone(self) -> str:
        """The zone in which it stands."""

    @property
    def region(self) -> str:
        """The region in which it stands."""


class ReplicaState:
    """One incarnation of a replica: what the endpoint list says, and what its answers to this daemon have shown.

    :ivar id: the replica's id; another one after each start.
    :ivar address: HOST:PORT.
    :ivar zone: the zone in which it stands.
    :ivar region: the region in which it stands.
    :ivar service: the service that it belongs to.
    :ivar slots: requests that it runs at once.
    :ivar is_leaving: it takes nothing new; never taken back.
    :ivar slow_start_until: until then it bears little.
    :ivar attempts: attempts of this daemon that are under way: (request id, number of the attempt) to when it was sent.
    :ivar work: that of these attempts, in tokens.
    :ivar held_off_until: others go first until then, after failures.
    :ivar is_unresponsive: its health checker hears nothing from it.
    :ivar failures: how many in a row.
    :ivar active: requests that run there, by its last health check.
    :ivar queued: requests that wait there, by its last health check.
    :ivar last_sent_at: when this daemon last sent it a request.
    :ivar gone_since: when it was known to be gone, or None.
    """

    __slots__ = (
        "id",
        "address",
        "zone",
        "region",
        "service",
        "slots",
        "is_leaving",
        "slow_start_until",
        "attempts",
        "work",
        "held_off_until",
        "is_unresponsive",
        "failures",
        "active",
        "queued",
        "last_sent_at",
        "gone_since",
    )

    def __init__(self, record: EndpointRecord, now: timedelta) -> None:
        self.id = record.name
        self.address = record.address
        self.zone = record.zone
        self.region = record.region
        self.service = record.service
        self.slots = record.slots
        self.is_leaving = record.is_leaving
        self.slow_start_until = now + milliseconds(record.slow_start_ms)
        self.attempts: dict[tuple[str, int], timedelta] = {}
        self.work = 0.0
        self.held_off_until = ZERO
        self.is_unresponsive = False
        self.failures = 0
        self.active = 0
        self.queued = 0
        self.last_sent_at = now
        self.gone_since: timedelta | None = None

    def update(self, record: EndpointRecord, now: timedelta) -> None:
        """Take a newer record of the same incarnation. Leaving is never taken back."""
        self.is_leaving = self.is_leaving or record.is_leaving
        if record.slow_start_ms:
            self.slow_start_until = max(self.slow_start_until, now + milliseconds(record.slow_start_ms))
        self.gone_since = None

    def on_failure(self, now: timedelta) -> None:
        """Note that it gave no answer, or a broken one: others go first for a while, longer each time."""
        self.failures += 1
        self.held_off_until = now + min(LONGEST_HOLD_OFF, FIRST_HOLD_OFF * 2 ** min(self.failures - 1, MOST_DOUBLINGS))

    def on_success(self) -> None:
        """Note that it served a request."""
        self.failures = 0
        self.held_off_until = ZERO

    def hold_off(self, until: timedelta) -> None:
        """Let others go first until then, at least."""
        self.held_off_until = max(self.held_off_until, until)

    def is_healthy(self, now: timedelta) -> bool:
        """Whether nothing speaks against it. After failures one request at a time tries it again."""
        return now >= self.held_off_until and not self.is_unresponsive and not (self.failures and self.attempts)
