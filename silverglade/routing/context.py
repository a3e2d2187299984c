"""What the modules of the router work on: its state, and the effects of the event that is being handled."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from ..runtime.components import Component
from ..runtime.effects import AnswerClient, Effect, Post, TestReachability, log_record
from ..runtime.events import SoftStatePublished
from .callers import CallerTable
from .graceful_shutdown import GracefulShutdown
from .outlier_ejection import SUSPECT, OutlierEjection
from .prefill_placement import PrefillPlacement
from .reachability import RegionReachability
from .refused_routes import RefusedRoutes
from .replicas import ReplicaState
from .request import Request
from .retry_budget import RetryBudget
from .route_table import RouteTable, ServiceConfiguration
from .slow_start import SlowStart

FEWEST_DAEMONS = 3
"""Among which shares are divided: a daemon that knows nobody yet is not alone."""


class RouterContext:
    """The router's state.

    :ivar own_name: this daemon.
    :ivar region: its region.
    :ivar tuning: the time settings and limits (runtime/settings.py).
    :ivar switched_off: mechanisms that are switched off.
    :ivar effects: those of the event that is being handled.
    :ivar requests: requests under way, by id.
    :ivar replicas: replicas that are listed, or still have attempts of ours, by id.
    :ivar has_endpoint_list: whether a list of replicas was ever received.
    :ivar routes: the route table of the configuration.
    :ivar callers: who holds which key; None where the configuration wants no keys (design 17).
    :ivar configuration: the one in force, or None.
    :ivar services: its services by name.
    :ivar drained_zones: zones in which nothing new is started.
    :ivar proved_at: when the configuration was last proved to be the newest, or None.
    :ivar refused_routes: requests on routes that are not known, for the log.
    :ivar short_services: (region, service) that have fewer ready replicas than they need.
    :ivar peers: live daemons of the own region that forward requests, at least 1.
    :ivar daemons: live daemons that forward requests, or did lately; at least `FEWEST_DAEMONS`.
    """

    __slots__ = (
        "own_name",
        "region",
        "tuning",
        "switched_off",
        "effects",
        "requests",
        "replicas",
        "has_endpoint_list",
        "routes",
        "callers",
        "configuration",
        "services",
        "drained_zones",
        "proved_at",
        "refused_routes",
        "short_services",
        "peers",
        "daemons",
        "retry_budget",
        "slow_start",
        "reachability",
        "shutdown",
        "ejection",
        "placement",
    )

    def __init__(self, *, own_name: str, region: str, tuning: Mapping[str, Any]) -> None:
        self.own_name = own_name
        self.region = region
        self.tuning = tuning
        self.switched_off: frozenset[str] = frozenset(tuning["without"])
        self.effects: list[Effect] = []
        self.requests: dict[str, Request] = {}
        self.replicas: dict[str, ReplicaState] = {}
        self.has_endpoint_list = False
        self.routes: RouteTable = {}
        self.callers: CallerTable | None = None
        self.configuration: Mapping[str, Any] | None = None
        self.services: Mapping[str, ServiceConfiguration] = {}
        self.drained_zones: frozenset[str] = frozenset()
        self.proved_at: timedelta | None = None
        self.refused_routes = RefusedRoutes()
        self.short_services: frozenset[tuple[str, str]] = frozenset()
        self.peers = 1
        self.daemons = FEWEST_DAEMONS
        self.retry_budget = RetryBudget(tuning=tuning)
        self.slow_start = SlowStart(own_name=own_name, tuning=tuning)
        self.reachability = RegionReachability()
        self.shutdown = GracefulShutdown()
        self.ejection = OutlierEjection(own_name=own_name)
        self.placement = PrefillPlacement(own_name=own_name, region=region, is_enabled="prefill-ledger" not in self.switched_off)

    def log(self, event: str, **pairs: Any) -> None:
        """Write a line of the log."""
        self.effects.append(log_record(event, **pairs))

    def connect_timeout(self, replica: ReplicaState) -> timedelta:
        """How long a connection to the replica is waited for."""
        timeout: timedelta = self.tuning["connect_near" if replica.region == self.region else "connect_wait"]
        return timeout

    def is_configuration_certain(self, now: timedelta) -> bool:
        """Whether the configuration is surely as new as all that must be in force by now; else "no such route" says too much."""
        return self.proved_at is not None and now - self.proved_at <= self.tuning["certain"]

    def are_keys_certain(self, now: timedelta) -> bool:
        """Whether no key that is known here can have been taken away too long ago to be let in (design 17.3)."""
        limit = self.tuning["keys_alone"]
        return limit is None or self.proved_at is not None and now - self.proved_at < limit

    def note_refused_route(self, now: timedelta) -> None:
        """Note a request on a route that is not known."""
        proof_age = None if self.proved_at is None else now - self.proved_at
        self.refused_routes.note(proof_age=proof_age, is_certain=self.is_configuration_certain(now))

    def log_refused_routes(self) -> None:
        """Write the line of the log about requests on routes that are not known, if there were any."""
        line = self.refused_routes.take_line(self.configuration or {})
        if line is not None:
            self.log("routes-unknown", **line)

    def answer(self, request: Request, status: int, retry_after: float | None, code: int) -> None:
        """Answer a request with a status and a result code of our own."""
        self.finish(request)
        self.effects.append(AnswerClient(request.id, status, retry_after, code))

    def finish(self, request: Request) -> None:
        """Forget a request and its attempts."""
        self.requests.pop(request.id, None)
        for attempt in list(request.open_attempts):
            self.close_attempt(request, attempt)

    def close_attempt(self, request: Request, attempt: int) -> None:
        """Forget an attempt: what it meant for the load of its replica."""
        message = self.placement.on_read(request)
        if message is not None:
            self.effects.append(message)
        replica = self.replica_of(request, attempt)
        request.open_attempts.pop(attempt, None)
        if replica and replica.attempts.pop((request.id, attempt), None) is not None:
            replica.work = max(0.0, replica.work - request.work) if replica.attempts else 0.0

    def replica_of(self, request: Request, attempt: int) -> ReplicaState | None:
        """The replica of an attempt under way, if it is still known."""
        replica_id = request.open_attempts.get(attempt)
        return None if replica_id is None else self.replicas.get(replica_id)

    def test_unreachable_regions(self, now: timedelta) -> None:
        """Test connections to replicas of regions that take none, until one comes up."""
        present = [replica for replica in self.replicas.values() if replica.gone_since is None]
        for replica in self.reachability.due_tests(now, present):
            self.effects.append(TestReachability(replica.id, replica.address, self.connect_timeout(replica)))

    def publish_accusations(self) -> bool:
        """Publish what this daemon has to say of replicas; whether there was anything."""
        rows = self.ejection.take_rows()
        for row in rows:
            self.effects.append(Post(Component.MEMBERSHIP, SoftStatePublished(SUSPECT, row.key, row.rank, row.value)))
        return bool(rows)
