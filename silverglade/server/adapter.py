"""What a daemon asks of the platform on which it runs (design 15.8): an adapter translates, and decides nothing."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import TYPE_CHECKING, Any, Protocol

from ..http.dialect import Dialect

if TYPE_CHECKING:
    from .daemon import Daemon
    from .platform_calls import PlatformRequest

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]

ReplicaReport = tuple[int, int, int]
"""(active requests, queued requests, slots or 0)."""

Get = Callable[[str, str], Awaitable[tuple[int, bytes]]]
"""Takes an address and a path, returns status and body of a GET; raises nothing."""


class PlatformAdapter(Protocol):
    """A platform's names and addresses.

    :ivar dialect: names of headers between clients, daemons and replicas.
    :ivar client_address: where clients' forwarded requests come in, or empty.
    :ivar api_addresses: further addresses on which the platform's own API is served.
    :ivar endpoint_list_address: of the platform's list of replicas, or empty.
    :ivar grace: how long a daemon may take to stop.
    :ivar linger: how long clients may hold on to its address meanwhile.
    :ivar cut_streams_for: streams sent no later than this after the signal may be cut at the end.
    """

    dialect: Dialect
    client_address: str
    api_addresses: tuple[str, ...]
    endpoint_list_address: str
    grace: timedelta
    linger: timedelta
    cut_streams_for: timedelta

    def app(self, daemon: Daemon) -> AsgiApp:
        """Return the platform's own API, as an ASGI app."""

    def parse_report(self, body: bytes) -> ReplicaReport | None:
        """Return what a replica reports of itself, or None where it cannot be read."""

    async def read_endpoint_list(self, get: Get) -> tuple[tuple[Any, ...], ...] | None:
        """Return the records of the platform's list of replicas, or None where it could not be had complete."""

    def platform_request(self, path_kind: str, token: int, body: Mapping[str, Any]) -> PlatformRequest:
        """Return a call to the platform in its own words (design 18.3).

        :param path_kind: what is called for, a `Duty`.
        :param token: the fencing token.
        :param body: in the product's names.
        """
