"""The HTTP server (design 2, 15.7): uvicorn by library, signals left to the daemon; one server on every address."""

import contextlib
import socket
from functools import partial

import uvicorn

from .app import app
from .forwarding_protocol import ForwardingProtocol

BACKLOG = 1024  # a full queue of new connections drops the opening packet, which costs its client seconds


class Quiet(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self):
        yield

    async def main_loop(self):
        """No ticking: nothing of it is used here, and an idle daemon is to stay idle."""
        await self.over.wait()


def bound(addr):
    ip, port = addr.rsplit(":", 1)
    # with its protocol named: asyncio sets TCP_NODELAY on no other
    s = socket.socket(socket.AF_INET6 if ":" in ip else socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((ip.strip("[]"), int(port)))
    return s


def by_address(apps):
    """The address at which a call came in says which face it meets."""
    ports = {int(a.rsplit(":", 1)[1]): f for a, f in apps.items()}

    async def run(scope, receive, send):
        if scope["type"] == "http":
            await ports[scope["server"][1]](scope, receive, send)

    return run


async def serve(d):
    apps, front = {d.s["http"]: app(d), **d.faces()}, d.outer.front if d.outer else ""
    face = partial(ForwardingProtocol, shell=d.shell, port=int(front.rsplit(":", 1)[1])) if front else "h11"
    cfg = uvicorn.Config(
        by_address(apps),
        log_config=None,
        access_log=False,
        lifespan="off",
        server_header=False,
        date_header=False,
        timeout_keep_alive=30,
        log_level="critical",
        http=face,
        ws="none",
        loop="asyncio",
        backlog=BACKLOG,
    )
    server = Quiet(cfg)
    server.over, d.open = d.closing, server.server_state.connections
    await server.serve(sockets=[bound(a) for a in (*apps, *([front] if front else ()))])
