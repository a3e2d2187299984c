"""What the components of a simulated daemon hold, by neutral names: for faults, figures, checkers and tests alone.

A component's inside may change; whoever looks at it does so through one of these properties.
"""

from typing import Any


class DaemonInspection:
    """Read access to the components of the daemon whose state machine is `hub`."""

    hub: Any

    def _held(self, component: str, name: str) -> Any:
        """A field of a component's state machine, or a local variable of one that is a generator."""
        part = self.hub.components[component]
        if hasattr(part, "machine"):
            return getattr(part.machine, name)
        return part.gi_frame.f_locals[name]

    @property
    def store(self) -> Any:
        """What control has acknowledged, as this daemon knows it: key to (version, value)."""
        return self._held("updater", "store")

    @property
    def store_version(self) -> Any:
        """The version of the store."""
        return self._held("updater", "store_version")

    @property
    def store_proved_at(self) -> Any:
        """When the store was last proved to be the newest, or None."""
        return self._held("updater", "proved_at")

    @property
    def pending_update_request(self) -> Any:
        """The request for updates that has no answer yet: (number, core, when), or None."""
        return self._held("updater", "pending_request")

    @property
    def members(self) -> Any:
        """The live daemons, as this daemon knows them."""
        return self._held("operator_api", "reported").members

    @property
    def known_view(self) -> Any:
        """The newest view that any member speaks of: (epoch, primary, backups...)."""
        return self._held("operator_api", "known_view")

    @property
    def required_replicas(self) -> Any:
        """How many replicas must be ready: (region, kind) to count."""
        return self._held("operator_api", "reported").required_replicas

    @property
    def queried_core(self) -> Any:
        """The daemon that is asked for updates."""
        return self._held("membership", "queried_core")

    @property
    def has_joined(self) -> Any:
        """Whether the cores know this life of the daemon."""
        return self._held("membership", "has_joined")

    @property
    def published_rows(self) -> Any:
        """The rows of soft state that this daemon publishes: (kind, key) to (rank, value, scope)."""
        return self._held("membership", "published").rows

    @property
    def soft_state(self) -> Any:
        """The daemon's table of soft state."""
        return self._held("membership", "table")

    @property
    def core_soft_state(self) -> Any:
        """A core's table of soft state, which it keeps in agreement with the other cores."""
        return self._held("core_table", "table")

    @property
    def replica_records(self) -> Any:
        """Replicas that registered: id to record."""
        return self._held("replica_registry", "table").records

    @property
    def leaving_replicas(self) -> Any:
        """Replicas that are known to leave: id to incarnation."""
        return self._held("replica_registry", "table").leaving_incarnations

    @property
    def tenant_context(self) -> Any:
        """What the tenant ingress shares with the requests under way."""
        return self._held("tenant_ingress", "context")

    @property
    def router_requests(self) -> Any:
        """Forwarded requests under way by id."""
        return self._held("router", "requests")

    @property
    def router_replicas(self) -> Any:
        """Replicas that the router may choose from, by id."""
        return self._held("router", "replicas")

    @property
    def scaler_gauges(self) -> Any:
        """What the scaler has measured, by kind of request."""
        return self._held("tenant_scaler", "measurements")
