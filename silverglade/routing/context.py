"""The state that the router's modules share, and the effects of the event being handled."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from ..configuration.store_proof import StoreProof
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

MIN_DAEMON_COUNT = 3
"""Lower bound of the number of daemons that share a limit: a daemon that knows no other yet must not assume that it is alone."""


class RouterContext:
    """The router's state.

    :ivar own_name: name of this daemon.
    :ivar region: its region.
    :ivar tuning: the time settings and limits (runtime/settings.py).
    :ivar switched_off: names of disabled mechanisms.
    :ivar effects: effects of the event being handled.
    :ivar requests: open requests by id.
    :ivar replicas: replicas that are listed or still have open attempts of this daemon, by id.
    :ivar has_endpoint_list: whether a list of replicas was ever received.
    :ivar routes: the route table of the configuration.
    :ivar callers: key digest to caller; None if the configuration requires no keys (design 17).
    :ivar configuration: the configuration in force, or None.
    :ivar services: services of the configuration by name.
    :ivar drained_zones: zones in which no new attempts are started.
    :ivar proof: the last proof that configuration and drained zones are the newest.
    :ivar refused_routes: counts of requests on unknown routes, for the log.
    :ivar short_services: (region, service) pairs with fewer ready replicas than required.
    :ivar peers: number of live daemons of the local region that forward requests; at least 1.
    :ivar daemons: number of daemons that forward requests and are, or recently were, live; at least `MIN_DAEMON_COUNT`.
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
        "proof",
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
        self.proof = StoreProof()
        self.refused_routes = RefusedRoutes()
        self.short_services: frozenset[tuple[str, str]] = frozenset()
        self.peers = 1
        self.daemons = MIN_DAEMON_COUNT
        self.retry_budget = RetryBudget(tuning=tuning)
        self.slow_start = SlowStart(own_name=own_name, tuning=tuning)
        self.reachability = RegionReachability()
        self.shutdown = GracefulShutdown()
        self.ejection = OutlierEjection(own_name=own_name)
        self.placement = PrefillPlacement(own_name=own_name, region=region, is_enabled="prefill-ledger" not in self.switched_off)

    def log(self, event: str, **pairs: Any) -> None:
        """Emit a log record."""
        self.effects.append(log_record(event, **pairs))

    def connect_timeout(self, replica: ReplicaState) -> timedelta:
        """Return the time-out for establishing a connection to the replica."""
        timeout: timedelta = self.tuning["connect_near" if replica.region == self.region else "connect_wait"]
        return timeout

    def is_configuration_certain(self, now: timedelta) -> bool:
        """Return whether the configuration was proved recently enough to refuse unknown routes and keys for certain.

        Otherwise a route or key that this daemon does not know may already be in force elsewhere.
        """
        return self.proof.is_younger_than(self.tuning["certain"], now)

    def are_keys_certain(self, now: timedelta) -> bool:
        """Return whether the configuration was proved recently enough to accept the keys in it (design 17.3).

        A key revoked longer ago than the limit must no longer be accepted.
        """
        limit, proved_at = self.tuning["keys_alone"], self.proof.proved_at
        return limit is None or proved_at is not None and now - proved_at < limit

    def record_refused_route(self, now: timedelta) -> None:
        """Count a request on an unknown route."""
        proof_age = None if self.proof.proved_at is None else now - self.proof.proved_at
        self.refused_routes.count(proof_age=proof_age, is_certain=self.is_configuration_certain(now))

    def log_refused_routes(self) -> None:
        """Log the requests on unknown routes since the last call, if there were any."""
        line = self.refused_routes.take_log_fields(self.configuration or {})
        if line is not None:
            self.log("routes-unknown", **line)

    def answer(self, request: Request, status: int, retry_after: float | None, code: int) -> None:
        """Answer a request with a status and result code generated by this daemon."""
        self.finish(request)
        self.effects.append(AnswerClient(request.id, status, retry_after, code))

    def finish(self, request: Request) -> None:
        """Remove a request and close its attempts."""
        self.requests.pop(request.id, None)
        for attempt in list(request.open_attempts):
            self.close_attempt(request, attempt)

    def close_attempt(self, request: Request, attempt: int) -> None:
        """Close an attempt and remove its work from the load of its replica."""
        message = self.placement.end_prefill(request)
        if message is not None:
            self.effects.append(message)
        replica = self.replica_of(request, attempt)
        request.open_attempts.pop(attempt, None)
        if replica and replica.attempts.pop((request.id, attempt), None) is not None:
            replica.work = max(0.0, replica.work - request.work) if replica.attempts else 0.0

    def replica_of(self, request: Request, attempt: int) -> ReplicaState | None:
        """Return the replica of an open attempt, or None if the replica is no longer known."""
        replica_id = request.open_attempts.get(attempt)
        return None if replica_id is None else self.replicas.get(replica_id)

    def test_unreachable_regions(self, now: timedelta) -> None:
        """Start the connection tests that are due for unreachable regions."""
        present = [replica for replica in self.replicas.values() if replica.gone_since is None]
        for replica in self.reachability.due_tests(now, present):
            self.effects.append(TestReachability(replica.id, replica.address, self.connect_timeout(replica)))

    def publish_accusations(self) -> bool:
        """Publish this daemon's pending accusation rows; return whether there were any."""
        rows = self.ejection.take_rows()
        for row in rows:
            self.effects.append(Post(Component.MEMBERSHIP, SoftStatePublished(SUSPECT, row.key, row.rank, row.value)))
        return bool(rows)
