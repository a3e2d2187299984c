"""The control API of a daemon (design 2.3, 5.4): every daemon accepts every call, and forwards changes to the primary."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any, ClassVar

from ..control.operations import ConfigurationChange, Evacuate, NumberedConfigurationChange, ReadSource, ReopenShard
from ..control.replicated_state import INITIAL_VERSION, value_of
from ..membership.directory import addresses_for_client
from ..membership.records import members_of
from ..runtime import result_codes
from ..runtime.components import Component
from ..runtime.effects import NEVER, Broadcast, Effect, Post, Reply, WakeAt
from ..runtime.events import (
    ApiCall,
    CallerDisconnected,
    Event,
    MembershipChanged,
    MessageReceived,
    OwnOperationRequested,
    ProcessPaused,
    ProofRenewed,
    ReplicasChanged,
    ReportRequested,
    RequiredReplicasChanged,
    RetryCounts,
    ShardReport,
    StatusFieldSet,
    StatusReady,
    StoreUpdated,
    TenantRequestCounts,
    TimerFired,
)
from .messages import FencingTokenAnswer, OperationAnswer, decode_primary_answer
from .operator_calls import OperatorCalls
from .status_reports import (
    Report,
    ReportedState,
    View,
    capacity_report,
    fleet_report,
    replicas_report,
    roles_report,
    status_report,
)

Operation = ConfigurationChange | NumberedConfigurationChange | ReadSource | Evacuate | ReopenShard


class OperatorApi:
    """Answers the calls of the control API, and forwards operators' changes to the primary.

    :ivar reported: the state that the components of this daemon have reported.
    :ivar calls: the calls that wait for an answer of the primary.
    """

    handled_events: ClassVar[tuple[type[Event], ...]] = (
        TimerFired,
        MessageReceived,
        ApiCall,
        CallerDisconnected,
        StatusReady,
        ProcessPaused,
        OwnOperationRequested,
        StoreUpdated,
        ProofRenewed,
        MembershipChanged,
        ReplicasChanged,
        RequiredReplicasChanged,
        StatusFieldSet,
        TenantRequestCounts,
        RetryCounts,
        ShardReport,
    )

    def __init__(self, *, own_name: str, tuning: Mapping[str, Any], rng: random.Random) -> None:
        """Start without calls in flight."""
        self.reported = ReportedState(own_name)
        self.calls = OperatorCalls(tuning=tuning, rng=rng, primary=self._known_primary)
        self._rng = rng
        self._operations: dict[str, Callable[[ApiCall, timedelta], list[Effect]]] = {
            "config-get": self._get_configuration,
            "config-put": self._replace_configuration,
            "table-put": self._replace_configuration_by_number,
            "table-read": self._read_source,
            "evac": self._set_evacuation,
            "reopen": self._reopen_shard,
            "status": self._collect_status,
            "fleet": self._report_fleet,
            "replicas": self._report_replicas,
            "fronts": self._find_daemons_for_client,
            "orders": self._report_capacity,
        }

    @property
    def known_view(self) -> View:
        """The newest view that any member advertises."""
        return self.reported.known_view

    def step(self, now: timedelta, event: Event) -> list[Effect]:
        """Handle one event and return its effects."""
        match event:
            case TimerFired():
                return self._on_timer(now)
            case MessageReceived():
                return self._on_message(event, now)
            case ApiCall():
                operation = self._operations.get(event.operation)
                return operation(event, now) if operation else []
            case CallerDisconnected():
                self.calls.on_caller_disconnected(event.call_id)
            case StatusReady():
                return [_success(event.call_id, status_report(self.reported, now))]
            case ProcessPaused():
                return self.calls.on_process_paused(now)
            case OwnOperationRequested():
                return self.calls.begin_own(event.operation, now)
            case _:
                self._on_report(event)
        return []

    def _known_primary(self) -> str:
        """Return the primary of the newest view that any member advertises; empty if there is none."""
        return str(self.known_view[1])

    def _on_timer(self, now: timedelta) -> list[Effect]:
        """Retry or time out the calls in flight; without any, ask for no further timer."""
        effects = self.calls.on_timer(now)
        if not self.calls.in_flight:
            effects.append(WakeAt(NEVER))
        return effects

    def _on_message(self, event: MessageReceived, now: timedelta) -> list[Effect]:
        """Pass an answer of the primary to the call that waits for it."""
        match decode_primary_answer(event.body):
            case OperationAnswer(number, result):
                return self.calls.on_result(number, event.sender, result, now)
            case FencingTokenAnswer(number, token):
                return self.calls.on_fencing_token(number, token, now)
        return []

    # --- reports of components

    def _on_report(self, event: Event) -> None:
        """Store the state that a component has reported."""
        match event:
            case StoreUpdated(store, version):
                self.reported.store, self.reported.store_version = store, version
            case ProofRenewed(proved_at):
                self.reported.proof.renew(proved_at)
            case MembershipChanged(members):
                self.reported.members = members_of(members)
            case ReplicasChanged(replicas):
                self.reported.replicas = replicas
            case RequiredReplicasChanged(required):
                self.reported.required_replicas = required
            case _:
                self._on_status_fields(event)

    def _on_status_fields(self, event: Event) -> None:
        """Store the fields that a component contributes to the status of this daemon."""
        fields = self.reported.status_fields
        match event:
            case StatusFieldSet(name, value):
                fields[name] = value
            case TenantRequestCounts(running, forwarded, overflowed):
                fields["orders"] = {"running": running, "handed": forwarded}
                fields["spills"] = overflowed
            case RetryCounts(totals):
                fields["retries"] = totals
            case ShardReport(rows):
                fields["shards"] = {
                    tenant: {"epoch": epoch, "follower": follower, "open": is_open, "claims": claims, "waiting": waiting}
                    for tenant, epoch, follower, is_open, claims, waiting in rows
                }

    # --- calls that are forwarded to the primary

    def _begin(
        self, call: ApiCall, change_id: str, operation: Operation, now: timedelta, *, caller_timeout: timedelta | None = None
    ) -> list[Effect]:
        return self.calls.begin(call.call_id, change_id, operation.encode(), now, caller_timeout=caller_timeout)

    def _replace_configuration(self, call: ApiCall, now: timedelta) -> list[Effect]:
        base, change_id, raw = call.arguments
        return self._begin(call, change_id, ConfigurationChange(base, raw), now)

    def _replace_configuration_by_number(self, call: ApiCall, now: timedelta) -> list[Effect]:
        base, number, change_id, raw, source = call.arguments
        return self._begin(call, change_id, NumberedConfigurationChange(base, number, raw, source), now)

    def _read_source(self, call: ApiCall, now: timedelta) -> list[Effect]:
        return self._begin(call, "", ReadSource(), now)

    def _set_evacuation(self, call: ApiCall, now: timedelta) -> list[Effect]:
        zone, is_evacuated, change_id, *wait = call.arguments
        return self._begin(call, change_id, Evacuate(zone, is_evacuated), now, caller_timeout=wait[0] if wait else None)

    def _reopen_shard(self, call: ApiCall, now: timedelta) -> list[Effect]:
        tenant, change_id, *wait = call.arguments
        return self._begin(call, change_id, ReopenShard(tenant), now, caller_timeout=wait[0] if wait else None)

    # --- calls that this daemon answers itself

    def _get_configuration(self, call: ApiCall, now: timedelta) -> list[Effect]:
        version, configuration = self.reported.store.get("config", (INITIAL_VERSION, None))
        return [_success(call.call_id, {"version": list(version), "config": configuration})]

    def _collect_status(self, call: ApiCall, now: timedelta) -> list[Effect]:
        """Ask all components to report; the call is answered by the `StatusReady` that follows."""
        return [Broadcast(ReportRequested()), Post(Component.OPERATOR_API, StatusReady(call.call_id))]

    def _report_fleet(self, call: ApiCall, now: timedelta) -> list[Effect]:
        report = {"fleet": fleet_report(self.reported.members), "duties": roles_report(self.reported.store)}
        return [_success(call.call_id, report)]

    def _report_replicas(self, call: ApiCall, now: timedelta) -> list[Effect]:
        return [_success(call.call_id, {"replicas": replicas_report(self.reported.replicas, now)})]

    def _report_capacity(self, call: ApiCall, now: timedelta) -> list[Effect]:
        (region,) = call.arguments
        return [_success(call.call_id, capacity_report(self.reported, region))]

    def _find_daemons_for_client(self, call: ApiCall, now: timedelta) -> list[Effect]:
        """Answer with the addresses of daemons that a client may use, in random order (design 15.7).

        After a pause of this process there is no answer until its store is proved again: homes and daemons may have changed.
        """
        if self.reported.proof.is_dropped:
            return [Reply(call.call_id, result_codes.UNCERTAIN_CONFIGURATION, {})]
        host, region, zone = call.arguments
        configuration = value_of(self.reported.store, "config")
        addresses = addresses_for_client(self.reported.members, configuration, host=host, region=region, zone=zone)
        return [_success(call.call_id, {"fronts": sorted(addresses, key=lambda _: self._rng.random())})]


def _success(call_id: str, fields: Report) -> Reply:
    """Return the reply to a call that succeeded."""
    return Reply(call_id, result_codes.OK, fields)
