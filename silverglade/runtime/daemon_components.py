"""Builds the components of a daemon with their initial arguments (docs/architecture.md)."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any, NamedTuple

from ..autoscaling.service_scaler import ServiceScaler
from ..autoscaling.tenant_scaler import TenantScaler
from ..configuration.operator_api import OperatorApi
from ..configuration.updater import Updater
from ..duties.duty import Duty
from ..membership.member import Membership
from ..membership.zone_relay import ZoneRelay
from ..replicas.registry import ReplicaRegistry
from ..replicas.slot_leases import SlotLeases
from ..routing.endpoint_list import EndpointList
from ..routing.router import Router
from ..tenant_requests.ingress import TenantIngress
from ..tenant_shards.owner import ShardOwner
from .components import Component
from .state_machine import MachineComponent, StateMachine


class DaemonIdentity(NamedTuple):
    """A daemon's name, location and addresses.

    :ivar process_id: the id of this process.
    :ivar peer_address: where the daemon listens for other daemons, HOST:PORT.
    :ivar http_address: where it serves the product's own API, HOST:PORT.
    """

    name: str
    process_id: str
    zone: str
    region: str
    peer_address: str
    http_address: str


def build_components(
    *,
    identity: DaemonIdentity,
    seeds: tuple[str, ...],
    first_cores: tuple[str, ...],
    tuning: Mapping[str, Any],
    rng: random.Random,
    disk: str,
    saved: Mapping[str, Mapping[str, Any]],
    serves_clients: bool,
    reads_endpoint_list: bool,
    tolerance: tuple[int, int, int],
    may_form_first_view: bool,
) -> dict[str, MachineComponent]:
    """Return the components of a daemon by name (`Component`), ready to receive events.

    Timer events are delivered in the order of the returned dict. The control core is constructed first, because it draws from `rng`
    before the other components do.

    :param disk: the id of the daemon's disk; empty if the daemon is not a core.
    :param saved: the tables on its disk.
    :param serves_clients: whether clients send requests to this daemon.
    :param tolerance: numbers of machines, zones and regions that may be lost at once (design 5.9).
    """
    core_components = (
        _core_components(identity, seeds, first_cores, tuning, rng, disk, saved, tolerance, may_form_first_view) if disk else {}
    )
    components = _common_components(identity, seeds, tuning, rng, bool(disk), reads_endpoint_list)
    if disk:
        components.update(core_components)
    else:
        components[Component.ZONE_RELAY] = MachineComponent(ZoneRelay(zone=identity.zone, tuning=tuning))
    if tuning["duties"]:
        components.update(_duty_components(identity, tuning, bool(disk), serves_clients))
    return components


def _duty_components(
    identity: DaemonIdentity, tuning: Mapping[str, Any], is_core: bool, serves_clients: bool
) -> dict[str, MachineComponent]:
    """Return the components for duties at the platform (design 18).

    Cores hold the duties; daemons that serve clients count usage.
    """
    from ..autoscaling.replica_orderer import ReplicaOrderer
    from ..duties.leases import DutyLeases
    from ..duties.usage_counter import UsageCounter
    from ..duties.usage_reporter import UsageReporter

    machines: dict[Component, StateMachine] = {}
    if is_core:
        machines[Component.DUTY_LEASES] = DutyLeases(own_name=identity.name, tuning=tuning)
    if is_core and Duty.USAGE in tuning["duties"]:
        machines[Component.USAGE_REPORTER] = UsageReporter(tuning=tuning)
    if is_core and Duty.SCALE in tuning["duties"]:
        machines[Component.REPLICA_ORDERS] = ReplicaOrderer(tuning=tuning)
    if serves_clients and Duty.USAGE in tuning["duties"]:
        machines[Component.USAGE_COUNTER] = UsageCounter(process_id=identity.process_id, tuning=tuning)
    return {component: MachineComponent(machine) for component, machine in machines.items()}


def _common_components(
    identity: DaemonIdentity,
    seeds: tuple[str, ...],
    tuning: Mapping[str, Any],
    rng: random.Random,
    is_core: bool,
    reads_endpoint_list: bool,
) -> dict[str, MachineComponent]:
    """Return the components that every daemon has."""
    name, zone, region = identity.name, identity.zone, identity.region
    membership = Membership(
        name=name,
        process_id=identity.process_id,
        zone=zone,
        region=region,
        peer_address=identity.peer_address,
        http_address=identity.http_address,
        is_core=is_core,
        tuning=tuning,
    )
    updater = Updater(
        own_name=name,
        zone=zone,
        region=region,
        is_core=is_core,
        own_address=identity.peer_address,
        seeds=seeds,
        tuning=tuning,
        rng=rng,
    )
    machines: dict[Component, StateMachine] = {
        Component.MEMBERSHIP: membership,
        Component.REPLICA_REGISTRY: ReplicaRegistry(is_core=is_core, tuning=tuning),
        Component.UPDATER: updater,
        Component.SLOT_LEASES: SlotLeases(own_name=name, tuning=tuning),
        Component.SHARD_OWNER: ShardOwner(own_name=name, zone=zone, tuning=tuning),
        Component.TENANT_INGRESS: TenantIngress(own_name=name, process_id=identity.process_id, zone=zone, tuning=tuning),
        Component.ROUTER: Router(own_name=name, region=region, tuning=tuning),
        Component.ENDPOINT_LIST: EndpointList(own_name=name, region=region, has_source=reads_endpoint_list, tuning=tuning),
        Component.SERVICE_SCALER: ServiceScaler(own_name=name, region=region, tuning=tuning),
        Component.TENANT_SCALER: TenantScaler(region=region, tuning=tuning),
        Component.OPERATOR_API: OperatorApi(own_name=name, tuning=tuning, rng=rng),
    }
    return {component: MachineComponent(machine) for component, machine in machines.items()}


def _core_components(
    identity: DaemonIdentity,
    seeds: tuple[str, ...],
    first_cores: tuple[str, ...],
    tuning: Mapping[str, Any],
    rng: random.Random,
    disk: str,
    saved: Mapping[str, Mapping[str, Any]],
    tolerance: tuple[int, int, int],
    may_form_first_view: bool,
) -> dict[str, MachineComponent]:
    """Return the components that only a daemon with a disk has.

    Their modules are imported here rather than at the top: daemons without a disk, which are the majority, start faster without them.
    """
    from ..control.core import control_component
    from ..control.role_assigner import RoleAssigner
    from ..membership.core_table import CoreTable
    from ..tenant_shards.follower import ClaimFollower

    control = control_component(
        name=identity.name,
        disk=disk,
        cores=first_cores,
        saved=saved,
        tuning=tuning,
        rng=rng,
        place=(identity.zone, identity.region),
        tolerance=tolerance,
        first=may_form_first_view,
    )
    core_table = CoreTable(
        name=identity.name, process_id=identity.process_id, peer_address=identity.peer_address, seeds=seeds, tuning=tuning
    )
    return {
        Component.CONTROL: control,
        Component.CORE_TABLE: MachineComponent(core_table),
        Component.ROLE_ASSIGNER: MachineComponent(RoleAssigner(tuning=tuning)),
        Component.CLAIM_FOLLOWER: MachineComponent(ClaimFollower(own_name=identity.name, saved=saved, tuning=tuning)),
    }
