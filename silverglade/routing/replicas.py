"""State that one daemon keeps about each replica that it can choose (design 15.4)."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

from ..runtime.effects import ZERO, milliseconds
from .records import EndpointRecord

FIRST_BACKOFF = timedelta(seconds=1)
"""For how long other replicas are preferred after a failure; doubled with each consecutive failure."""
MAX_BACKOFF = timedelta(seconds=8)
MAX_DOUBLINGS = 4


class ReplicaIdentity(Protocol):
    """Identity and location of a replica; sufficient for modules that keep their own state about replicas."""

    @property
    def id(self) -> str:
        """The replica's id; it changes with each start."""

    @property
    def service(self) -> str:
        """The service that the replica serves."""

    @property
    def zone(self) -> str:
        """The zone in which the replica runs."""

    @property
    def region(self) -> str:
        """The region in which the replica runs."""


class ReplicaState:
    """One incarnation of a replica: its endpoint record, and the state derived from its responses to this daemon.

    :ivar id: the replica's id; it changes with each start.
    :ivar address: HOST:PORT.
    :ivar zone: the zone in which it runs.
    :ivar region: the region in which it runs.
    :ivar service: the service that it serves.
    :ivar slots: number of requests that it runs concurrently.
    :ivar is_leaving: whether it accepts no new requests; never reset.
    :ivar slow_start_until: end of its slow start, during which its capacity is reduced.
    :ivar attempts: open attempts of this daemon: (request id, attempt number) to the time of sending.
    :ivar work: total work of these attempts, in tokens.
    :ivar backoff_until: until then other replicas are preferred, after failures.
    :ivar is_unresponsive: whether its last health check got no answer.
    :ivar failures: number of consecutive failures.
    :ivar active: requests running there, by its last health check.
    :ivar queued: requests queued there, by its last health check.
    :ivar last_sent_at: when this daemon last sent a request to it.
    :ivar gone_since: when this daemon learned that it is gone, or None.
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
        "backoff_until",
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
        self.backoff_until = ZERO
        self.is_unresponsive = False
        self.failures = 0
        self.active = 0
        self.queued = 0
        self.last_sent_at = now
        self.gone_since: timedelta | None = None

    def update(self, record: EndpointRecord, now: timedelta) -> None:
        """Apply a newer record of the same incarnation. `is_leaving` is never reset."""
        self.is_leaving = self.is_leaving or record.is_leaving
        if record.slow_start_ms:
            self.slow_start_until = max(self.slow_start_until, now + milliseconds(record.slow_start_ms))
        self.gone_since = None

    def on_failure(self, now: timedelta) -> None:
        """Record a missing or incomplete response: start a backoff, exponential in the number of consecutive failures."""
        self.failures += 1
        self.backoff_until = now + min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** min(self.failures - 1, MAX_DOUBLINGS))

    def on_success(self) -> None:
        """Record a successful response: reset the failure count and the backoff."""
        self.failures = 0
        self.backoff_until = ZERO

    def extend_backoff(self, until: timedelta) -> None:
        """Extend the backoff to at least `until`."""
        self.backoff_until = max(self.backoff_until, until)

    def is_healthy(self, now: timedelta) -> bool:
        """Return whether the replica is considered healthy. After failures it gets one request at a time until one succeeds."""
        return now >= self.backoff_until and not self.is_unresponsive and not (self.failures and self.attempts)
