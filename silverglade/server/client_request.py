"""One client's request under way (design 15.3), the way back to it, and what may come of it."""

import asyncio
import json
from collections import deque
from datetime import timedelta
from typing import NamedTuple

from ..runtime.errors import RESULT_CODES

HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-authentication-info",
    )
)


class Limits(NamedTuple):
    """What a client may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=5)
    idle_timeout: timedelta = timedelta(seconds=30)

    @classmethod
    def of(cls, d):
        """From a configuration's table, or none."""
        return (
            cls(d["header_bytes"], d["body_bytes"], timedelta(milliseconds=d["header_ms"]), timedelta(milliseconds=d["idle_ms"]))
            if d
            else cls()
        )


def end_to_end_headers(headers, fields):
    """Headers without those of one connection only, and what that connection's own header names."""
    named = fields.get(b"connection")
    drop = HOP | {w.strip().lower() for w in named.split(b",")} if named else HOP
    return [(k, v) for k, v in headers if k.lower() not in drop]


class ClientRequest:
    """One request of a client, and the way back to it: `send` as in ASGI, and the client's connection."""

    def __init__(self, *, rid, method, target, headers, attempt, body, send, client, cycle, closing):
        self.rid, self.method, self.target, self.headers = rid, method, target, headers
        self.attempt, self.body, self.send, self.closing = attempt, body, send, closing
        self.client, self.cycle = client, cycle  # the client's connection, and this request's turn on it
        self.box, self.waits, self.scope, self.n = deque(), None, None, 0
        self.head, self.started, self.last, self.held, self.tried = None, False, None, None, False
        self.until, self.guard = 0.0, None

    # from the daemon
    def put(self, e):
        match e:
            case ("drop", _, n):
                self.box = deque(x for x in self.box if x[0] != "try" or x[2] != n)
                if n == self.n:
                    self.held = None
                    if self.scope:
                        self.scope.cancel()
                return
            case ("pass", *_):
                pass
            case _ if self.scope:
                self.scope.cancel()
        self.box.append(e)
        if self.waits and not self.waits.done():
            self.waits.set_result(None)

    async def take(self):
        while not self.box:
            self.waits = asyncio.get_running_loop().create_future()
            try:
                await self.waits
            finally:
                self.waits = None
        return self.box.popleft()

    # to the client
    async def start(self, status, headers):
        self.started = True
        if self.closing():
            headers = [*headers, (b"connection", b"close")]
        await self.send({"type": "http.response.start", "status": status, "headers": headers})

    def cut(self):
        """End the connection so that the answer does not look complete."""
        self.client.cut(self.cycle)

    async def data(self, b):
        await self.send({"type": "http.response.body", "body": b, "more_body": True})

    async def end(self, b=b""):
        with self.client.together():
            await self.send({"type": "http.response.body", "body": b})

    async def whole(self, status, headers, body, *, more=False):
        """A head and what comes with it, in one piece."""
        with self.client.together():
            await self.start(status, headers)
            await self.send({"type": "http.response.body", "body": body, "more_body": more})


async def small(send, status, code, *, wait=None, close=False):
    """An answer of the daemon's own."""
    b = json.dumps({"code": code, "name": RESULT_CODES[code][0]} if code in RESULT_CODES else {"code": code}).encode()
    headers = [(b"content-type", b"application/json"), (b"content-length", b"%d" % len(b))]
    if wait is not None:
        headers.append((b"retry-after", b"%.2f" % max(0.0, wait)))
    if close:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b})


def seconds(b):
    try:
        v = float(b)
    except ValueError:
        return None
    return v if 0 <= v < 1e6 else None
