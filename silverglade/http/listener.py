"""The HTTP server (design 2, 15.7): one uvicorn server on all addresses; signals are handled by the daemon."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn

from ..runtime import result_codes
from .app import app
from .asgi import App, Message, Receive, Scope, Send, send_error
from .forwarding_protocol import ForwardingProtocol

if TYPE_CHECKING:
    from ..server.daemon import Daemon
    from ..server.fault_containment import FaultLog

BACKLOG = 1024
"""When the queue of new connections is full, SYN packets are dropped, which delays clients by seconds."""

KEEP_ALIVE_S = 30

CONNECTION_SETUP_S = 0.05
"""Lets connections that have just been accepted be set up, which takes a few iterations of the event loop."""


class TruncatedResponseError(Exception):
    """A response failed after it had started; the server closes the connection, so that it does not look complete."""


class Server(uvicorn.Server):
    """Uvicorn's server without signal handling and without periodic work.

    :ivar closing: set to make the server close.
    """

    def __init__(self, config: uvicorn.Config, closing: anyio.Event) -> None:
        super().__init__(config)
        self.closing = closing

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the daemon has its own."""
        yield

    async def main_loop(self) -> None:
        """Wait for `closing` without uvicorn's periodic tick, which is not needed here and would use processor time in an idle daemon."""
        await self.closing.wait()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop accepting, wait until accepted connections are set up, then close listeners and idle connections.

        A connection that asyncio has accepted but not yet set up when its listener closes would be neither read nor closed.
        """
        loop = asyncio.get_running_loop()
        for listening in sockets or []:
            loop.remove_reader(listening)
        await anyio.sleep(CONNECTION_SETUP_S)
        await super().shutdown(sockets)


def port_of(address: str) -> int:
    """Return the port of "IP:PORT"."""
    return int(address.rsplit(":", 1)[1])


def bound_socket(address: str) -> socket.socket:
    """Return a socket that is bound to an address.

    It is created with an explicit protocol number, because asyncio sets TCP_NODELAY only on connections of such sockets.
    """
    ip, port = address.rsplit(":", 1)
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((ip.strip("[]"), int(port)))
    return bound


def dispatch_by_address(apps: Mapping[str, App]) -> App:
    """Return an app that passes each call to the app of the address (its port) on which the call arrived."""
    apps_by_port = {port_of(address): each for address, each in apps.items()}

    async def run(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            await apps_by_port[scope["server"][1]](scope, receive, send)

    return run


def with_faults_contained(inner: App, faults: FaultLog) -> App:
    """Return an app in which an unexpected exception ends only the call that raised it.

    The client gets an error that says that the call may have run, or, if its response has started, a response that does not look
    complete.
    """

    async def run(scope: Scope, receive: Receive, send: Send) -> None:
        has_begun = False

        async def recording_send(message: Message) -> None:
            nonlocal has_begun
            has_begun = True
            await send(message)

        try:
            await inner(scope, receive, recording_send)
        except Exception as error:  # noqa: BLE001  any exception
            faults.record("call", error)
            if has_begun:
                raise TruncatedResponseError from error
            await send_error(send, result_codes.LINK_LOST, ran="maybe")

    return run


async def serve(daemon: Daemon) -> None:
    """Serve a daemon's APIs until `daemon.closing` is set."""
    apps: dict[str, App] = {daemon.settings["http"]: app(daemon), **daemon.apps()}
    client_address = daemon.adapter.client_address if daemon.adapter else ""
    protocol: Any = "h11"
    if client_address:
        protocol = partial(ForwardingProtocol, forwarder=daemon.forwarder, port=port_of(client_address))
    config = uvicorn.Config(
        with_faults_contained(dispatch_by_address(apps), daemon.faults),
        log_config=None,
        access_log=False,
        lifespan="off",
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        log_level="critical",
        http=protocol,
        ws="none",
        loop="asyncio",
        backlog=BACKLOG,
    )
    server = Server(config, daemon.closing)
    daemon.open_connections = server.server_state.connections
    addresses = [*apps, *([client_address] if client_address else [])]
    await server.serve(sockets=[bound_socket(address) for address in addresses])
