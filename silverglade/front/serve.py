"""The HTTP server (design 2): uvicorn by library, signals left to the daemon."""
import contextlib

import uvicorn

from .app import app


class Quiet(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self):
        yield


async def serve(d):
    ip, port = d.s["http"].rsplit(":", 1)
    cfg = uvicorn.Config(app(d), host=ip, port=int(port), log_config=None, access_log=False,
                         lifespan="off", server_header=False, timeout_keep_alive=30,
                         log_level="critical", http="h11",
                         ws="none", loop="asyncio")
    await Quiet(cfg).serve()
