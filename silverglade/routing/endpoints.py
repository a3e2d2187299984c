"""Updates of the router's replicas from the endpoint list, health checks and the configuration (design 15.4)."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from ..runtime.effects import CloseReplicaConnections, ExpireIdleConnections, milliseconds
from .context import RouterContext
from .records import EndpointRecord
from .replicas import ReplicaState


class Endpoints:
    """Keeps the context's replicas up to date."""

    __slots__ = ("context",)

    def __init__(self, context: RouterContext) -> None:
        self.context = context

    def on_listed(self, rows: Iterable[tuple[Any, ...]], is_complete: bool, now: timedelta) -> None:
        """Add and update replicas from endpoint records.

        :param is_complete: whether replicas without a record are gone.
        """
        self.context.has_endpoint_list = True
        seen = set()
        for row in rows:
            record = EndpointRecord.of(row)
            seen.add(record.name)
            replica = self.context.replicas.get(record.name)
            if replica is None:
                self.add(record, now)
            else:
                self.update(replica, record, now)
        if is_complete:
            self.on_removed([name for name in self.context.replicas if name not in seen], now)
        self.context.test_unreachable_regions(now)

    def add(self, record: EndpointRecord, now: timedelta) -> None:
        """Add a replica that was not listed before."""
        replica = self.context.replicas[record.name] = ReplicaState(record, now)
        self.context.reachability.on_replica_listed(now, replica.region)
        self.context.log("replica-listed", id=record.name, service=record.service, zone=record.zone, slow_start_ms=record.slow_start_ms)

    def update(self, replica: ReplicaState, record: EndpointRecord, now: timedelta) -> None:
        """Apply a newer record of a replica."""
        if record.is_leaving and not replica.is_leaving:
            self.context.log("replica-draining", id=replica.id)
        replica.update(record, now)

    def on_removed(self, names: Iterable[str], now: timedelta) -> None:
        """Drop replicas that are gone; one with open attempts is kept until it is reported gone again without any."""
        replicas = self.context.replicas
        for name in [name for name in names if name in replicas]:
            replica = replicas[name]
            if replica.gone_since is None:
                replica.gone_since = now
                self.context.effects.append(CloseReplicaConnections(name))
            if not replica.attempts:
                del replicas[name]
        self.context.slow_start.keep_only(replicas)

    def on_loads(self, loads: Mapping[str, tuple[int, int, int]]) -> None:
        """Apply health check results: replica to (active, queued, slots); active is -1 if it did not answer."""
        uses_loads = "probed-load" not in self.context.switched_off
        for name, (active, queued, _) in loads.items():
            replica = self.context.replicas.get(name)
            if replica is None:
                continue
            is_unresponsive = active < 0
            if is_unresponsive and not replica.is_unresponsive:
                self.context.effects.append(ExpireIdleConnections(name))
            replica.is_unresponsive = is_unresponsive
            if uses_loads:
                replica.active = max(0, active)
                replica.queued = max(0, queued)

    def set_slots(self) -> None:
        """Set the replicas' slots from the configuration where it specifies them."""
        for name, service in self.context.services.items():
            for replica in self.context.replicas.values():
                if replica.service == name and service["slots"]:
                    replica.slots = service["slots"]

    def on_zone_returned(self, zone: str, now: timedelta) -> None:
        """Restart the slow start of all replicas of a zone that is no longer drained: they may be newly started (design 15.6)."""
        if self.context.configuration is None:
            return
        for replica in self.context.replicas.values():
            if replica.zone == zone:
                service = self.context.services.get(replica.service)
                slow_start_ms = service["cold_ms"] if service else 0
                replica.slow_start_until = max(replica.slow_start_until, now + milliseconds(slow_start_ms))
