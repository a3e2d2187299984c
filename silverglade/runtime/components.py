"""Names of a daemon's components, used as the target of `Post` effects and as the owner of disk writes."""

from enum import StrEnum


class Component(StrEnum):
    """A component of a daemon, which is a state machine (docs/architecture.md describes the state that each holds)."""

    MEMBERSHIP = "membership"
    CORE_TABLE = "core_table"
    ZONE_RELAY = "zone_relay"
    UPDATER = "updater"
    OPERATOR_API = "operator_api"
    ROLE_ASSIGNER = "role_assigner"
    CONTROL = "control"
    REPLICA_REGISTRY = "replica_registry"
    SLOT_LEASES = "slot_leases"
    SHARD_OWNER = "shard_owner"
    CLAIM_FOLLOWER = "claim_follower"
    TENANT_INGRESS = "tenant_ingress"
    TENANT_SCALER = "tenant_scaler"
    ROUTER = "router"
    ENDPOINT_LIST = "endpoint_list"
    SERVICE_SCALER = "service_scaler"
    DUTY_LEASES = "duty_leases"
    USAGE_COUNTER = "usage_counter"
    USAGE_REPORTER = "usage_reporter"
    REPLICA_ORDERS = "replica_orders"
