"""A fake replica as a process of its own (design 10.2), which knows only the published protocol of the product's API.

It appends each run's start and end to a file, one JSON array a line, which the checks of a local fleet read:
`["run", time, dispatch, tenant, class, zone, replica, prefix, hit, running, done, key]` and `["end", time, dispatch, ok]`.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from typing import Any, NamedTuple

import anyio
import httpcore
import uvicorn

REGISTRATION_TIMEOUT = {"connect": 1.0, "read": 2.0, "write": 2.0, "pool": 2.0}  # seconds
REGISTER_EVERY_S = 1.0
WARM_AFTER = 4  # runs, until it says that it is warm
UNKNOWN_PREFIX_FACTOR = 3  # prefill of a prefix that it has not seen takes so many times as long
OVERLOAD_FACTOR = 2  # it refuses beyond so many requests a slot
EVENTS = 5  # of a stream
PLAIN_CLASSES = ("receipt", "roster")  # classes of requests that get a plain answer
JSON = (b"content-type", b"application/json")

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Header = tuple[bytes, bytes]


class Run(NamedTuple):
    """A request to run.

    :ivar dispatch: id of the dispatch.
    :ivar tenant: whose it is.
    :ivar request_class: class of the request.
    :ivar prefix: of its prompt; empty without one.
    :ivar key: idempotency key, as the client put it into the body.
    """

    dispatch: str
    tenant: str
    request_class: str
    prefix: str
    key: str

    @classmethod
    def decode(cls, headers: Mapping[str, str], body: bytes) -> Run:
        """Read it from the headers and the body."""
        return cls(
            dispatch=headers["silverglade-dispatch"],
            tenant=headers["silverglade-tenant"],
            request_class=headers["silverglade-class"],
            prefix=headers.get("silverglade-prefix", ""),
            key=json.loads(body).get("key", ""),
        )


class FakeReplica:
    """The application: prefill, then decode in steps; a prefix seen before is cheap."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Open the file of runs.

        :param options: see `parser`.
        """
        self.options = options
        self.running, self.done = 0, 0
        self.known_prefixes: set[str] = set()
        self.runs = open(options.runs, "ab", buffering=0)

    def record(self, kind: str, *values: object) -> None:
        """Append a line to the file of runs, with the time."""
        os.write(self.runs.fileno(), (json.dumps((kind, time.monotonic(), *values)) + "\n").encode())

    def state(self) -> dict[str, object]:
        """Return what it says of itself."""
        return dict(
            incarnation=self.options.incarnation,
            state="ready",
            use=min(1.0, self.running / self.options.slots),
            served=self.done,
            running=self.running,
            warm=self.done >= WARM_AFTER,
        )

    async def run(self, run: Run, send: Send) -> None:
        """Do the work of a request and answer it."""
        self.running += 1
        known_prefix = run.prefix in self.known_prefixes
        replica = (self.options.zone, self.options.id)
        counts = (self.running, self.done)
        self.record("run", run.dispatch, run.tenant, run.request_class, *replica, run.prefix, known_prefix, *counts, run.key)
        self.known_prefixes.add(run.prefix)
        answered = False
        try:
            slowness = 1 + self.running / self.options.slots
            prefill_factor = 1 if known_prefix or not run.prefix else UNKNOWN_PREFIX_FACTOR
            await anyio.sleep(self.options.prefill / 1000 * slowness * prefill_factor)
            if run.request_class in PLAIN_CLASSES:
                await send_plain(send, run.dispatch)
            else:
                await send_stream(send, run.dispatch, self.options.step / 1000 * slowness)
            answered = True
        finally:
            self.running -= 1
            self.done += 1
            self.record("end", run.dispatch, answered)

    async def app(self, scope: Mapping[str, Any], receive: Receive, send: Send) -> None:
        """Answer a request, as an ASGI application."""
        if scope["type"] != "http":
            return
        headers = {name.decode().lower(): value.decode() for name, value in scope["headers"]}
        if scope["path"] == "/v1/state":
            return await send_json(send, 200, self.state())
        if scope["path"] == "/v1/run" and scope["method"] == "POST":
            body = await read_body(receive)
            if self.running >= self.options.slots * OVERLOAD_FACTOR:
                return await send_json(send, 503, {"ran": "no"}, (b"silverglade-ran", b"no"))
            return await self.run(Run.decode(headers, body), send)
        return await send_json(send, 404, {})


async def read_body(receive: Receive) -> bytes:
    """Receive the whole body of a request."""
    body, more = b"", True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    return body


async def send_head(send: Send, status: int, *headers: Header) -> None:
    """Begin an answer."""
    await send({"type": "http.response.start", "status": status, "headers": list(headers)})


async def send_json(send: Send, status: int, data: object, *headers: Header) -> None:
    """Send a whole answer."""
    body = json.dumps(data).encode()
    await send_head(send, status, JSON, (b"content-length", str(len(body)).encode()), *headers)
    await send({"type": "http.response.body", "body": body})


async def send_plain(send: Send, dispatch: str) -> None:
    """Send the plain answer of a run."""
    body = json.dumps({"dispatch": dispatch, "words": ["one"] * 5}).encode()
    await send_head(send, 200, dispatch_header(dispatch), JSON, (b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.body", "body": body})


async def send_stream(send: Send, dispatch: str, pause_s: float) -> None:
    """Send the events of a run, with a pause behind each, and the one that ends the stream."""
    await send_head(send, 200, dispatch_header(dispatch), (b"content-type", b"text/event-stream"))
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: {dispatch} {number}\n\n".encode()
        await send({"type": "http.response.body", "more_body": True, "body": event})
        await anyio.sleep(pause_s)
    await send({"type": "http.response.body", "body": b"event: done\nid: %d\ndata:\n\n" % EVENTS})


def dispatch_header(dispatch: str) -> Header:
    """Return the header by which a replica confirms which dispatch it answers."""
    return (b"silverglade-dispatch", dispatch.encode())


def registration(options: argparse.Namespace) -> bytes:
    """Return what the replica declares of itself to a daemon."""
    return json.dumps(
        dict(
            incarnation=options.incarnation,
            address=options.told or options.address,
            zone=options.zone,
            kind=options.kind,
            homes=options.homes.split(","),
            prefixes=[prefix for prefix in options.prefixes.split(",") if prefix],
            slots=options.slots,
        )
    ).encode()


def registration_key(file_name: str) -> str:
    """Return the key with which it registers; "none" without a file."""
    if not file_name:
        return "none"
    with open(file_name, encoding="utf-8") as file:
        return file.read().strip()


async def register(options: argparse.Namespace) -> None:
    """Declare homes and prefixes at one daemon after another, until cancelled."""
    body, key = registration(options), registration_key(options.key_file)
    headers = [("Host", "x"), ("Content-Length", str(len(body))), ("Authorization", f"Bearer {key}")]
    daemons = options.daemons.split(",")
    attempts = 0
    async with httpcore.AsyncConnectionPool(max_keepalive_connections=0) as pool:
        while True:
            daemon = daemons[attempts % len(daemons)]
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                url = f"http://{daemon}/v1/replicas/{options.id}"
                await pool.request("PUT", url, content=body, headers=headers, extensions={"timeout": REGISTRATION_TIMEOUT})
            attempts += 1
            await anyio.sleep(REGISTER_EVERY_S)


def parser() -> argparse.ArgumentParser:
    """Return the parser of its options; `--prefill` and `--step` are in milliseconds."""
    parser = argparse.ArgumentParser(prog="silverglade.testbed.fake_servers.replica_process")
    for name in ("id", "address", "zone", "kind", "homes", "daemons", "runs"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--told", default="")
    parser.add_argument("--key-file", default="", help="holds the key with which it registers")
    parser.add_argument("--prefixes", default="")
    for name, default in (("slots", 4), ("incarnation", 1), ("prefill", 60), ("step", 20)):
        parser.add_argument("--" + name, type=int, default=default)
    return parser


async def main(options: argparse.Namespace) -> None:
    """Serve and register until the process is told to stop."""
    host, port = options.address.rsplit(":", 1)
    configuration = uvicorn.Config(
        FakeReplica(options).app,
        host=host,
        port=int(port),
        log_config=None,
        lifespan="off",
        log_level="critical",
        http="h11",
        ws="none",
        interface="asgi3",
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(register, options)
        await uvicorn.Server(configuration).serve()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(main, parser().parse_args())
    sys.exit(0)
