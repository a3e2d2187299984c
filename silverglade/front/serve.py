"""The HTTP server (design 2, 15.7): uvicorn by library, signals left to the daemon; one server on every address."""
import contextlib
import socket

import uvicorn

from .app import app


class Quiet(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self):
        yield

    async def main_loop(self):
        """No ticking: nothing of it is used here, and an idle daemon is to stay idle."""
        await self.over.wait()


def bound(addr):
    ip, port = addr.rsplit(":", 1)
    s = socket.socket(socket.AF_INET6 if ":" in ip else socket.AF_INET, socket.SOCK_STREAM)
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
    apps = {d.s["http"]: app(d), **d.faces()}
    cfg = uvicorn.Config(by_address(apps), log_config=None, access_log=False,
                         lifespan="off", server_header=False, date_header=False, timeout_keep_alive=30,
                         log_level="critical", http="h11", ws="none", loop="asyncio", backlog=512)
    server = Quiet(cfg)
    server.over = d.closing
    await server.serve(sockets=[bound(a) for a in apps])
