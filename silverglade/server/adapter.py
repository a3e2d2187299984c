"""Interface between a daemon and the platform on which it runs (design 15.8).

An adapter translates names and formats; it makes no decisions.
"""

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
"""Sends a GET to an address and a path and returns the status and the body; raises no exceptions."""


class PlatformAdapter(Protocol):
    """Header names, addresses and shutdown times of a platform, and the translation of its API.

    :ivar dialect: header names used between clients, daemons and replicas.
    :ivar client_address: address on which clients' requests for forwarding are accepted, or empty.
    :ivar api_addresses: further addresses on which the platform's own API is served.
    :ivar endpoint_list_address: address of the platform's list of replicas, or empty.
    :ivar grace: how long a daemon may take to stop after SIGTERM.
    :ivar linger: how long after SIGTERM clients may still use the daemon's address.
    :ivar cut_streams_for: streams requested no later than this after the signal may be broken off at the end of the grace period.
    """

    dialect: Dialect
    client_address: str
    api_addresses: tuple[str, ...]
    endpoint_list_address: str
    grace: timedelta
    linger: timedelta
    cut_streams_for: timedelta

    def app(self, daemon: Daemon) -> AsgiApp:
        """Return the platform's own API as an ASGI app."""

    def parse_report(self, body: bytes) -> ReplicaReport | None:
        """Parse a replica's load report; return None if it is invalid."""

    async def read_endpoint_list(self, get: Get) -> tuple[tuple[Any, ...], ...] | None:
        """Return the records of the platform's list of replicas, or None if the complete list could not be read."""

    def platform_request(self, path_kind: str, token: int, body: Mapping[str, Any]) -> PlatformRequest:
        """Return a duty holder's call, translated to the platform's API (design 18.3).

        :param path_kind: the `Duty` that the call belongs to; selects the path.
        :param token: the fencing token.
        :param body: the fields under the names that Silverglade uses.
        """
