"""The HTTP server (design 2, 15.7): uvicorn by library, signals left to the daemon; one server on every address."""

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
"""A full queue of new connections drops the opening packet, which costs its client seconds."""

KEEP_ALIVE_S = 30

SETUP_S = 0.05
"""For connections that were accepted last to be set up: some turns of the event loop."""


class ResponseBrokenOffError(Exception):
    """A response broke off after its beginning; the server closes the connection, so that it does not look complete."""


class Server(uvicorn.Server):
    """Uvicorn's server without its handling of signals, and idle while nothing comes in.

    :ivar closing: set when it is to close.
    """

    def __init__(self, config: uvicorn.Config, closing: anyio.Event) -> None:
        super().__init__(config)
        self.closing = closing

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the daemon."""
        yield

    async def main_loop(self) -> None:
        """Wait without uvicorn's ticking: nothing of it is used here, and an idle daemon is to stay idle."""
        await self.closing.wait()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Close: first nothing more is accepted, then what was accepted comes up, then listeners and idle connections close.

        A connection that asyncio has accepted but not set up when its listener closes would be neither read nor closed.
        """
        loop = asyncio.get_running_loop()
        for listening in sockets or []:
            loop.remove_reader(listening)
        await anyio.sleep(SETUP_S)
        await super().shutdown(sockets)


def port_of(address: str) -> int:
    """Return the port of "IP:PORT"."""
    return int(address.rsplit(":", 1)[1])


def bound_socket(address: str) -> socket.socket:
    """Return a socket bound to an address, with its protocol named: asyncio sets TCP_NODELAY on no other."""
    ip, port = address.rsplit(":", 1)
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((ip.strip("[]"), int(port)))
    return bound


def by_address(apps: Mapping[str, App]) -> App:
    """Return an app that hands each call to the app of the address at which it came in."""
    apps_by_port = {port_of(address): each for address, each in apps.items()}

    async def run(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            await apps_by_port[scope["server"][1]](scope, receive, send)

    return run


def with_faults_contained(inner: App, faults: FaultLog) -> App:
    """Return an app in which a fault of the program ends the one call in which it arose.

    Its client is told that it may have run, or, once its answer has begun, gets one that does not look complete.
    """

    async def run(scope: Scope, receive: Receive, send: Send) -> None:
        has_begun = False

        async def noting_send(message: Message) -> None:
            nonlocal has_begun
            has_begun = True
            await send(message)

        try:
            await inner(scope, receive, noting_send)
        except Exception as error:  # noqa: BLE001  any fault
            faults.record("call", error)
            if has_begun:
                raise ResponseBrokenOffError from error
            await send_error(send, result_codes.LINK_LOST, ran="maybe")

    return run


async def serve(daemon: Daemon) -> None:
    """Serve a daemon's APIs until it closes them."""
    apps: dict[str, App] = {daemon.settings["http"]: app(daemon), **daemon.apps()}
    client_address = daemon.adapter.client_address if daemon.adapter else ""
    protocol: Any = "h11"
    if client_address:
        protocol = partial(ForwardingProtocol, forwarder=daemon.forwarder, port=port_of(client_address))
    config = uvicorn.Config(
        with_faults_contained(by_address(apps), daemon.faults),
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
