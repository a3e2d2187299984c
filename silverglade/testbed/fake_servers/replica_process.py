"""A stand-in replica as a process of its own (design 10.2): the published protocol only."""

import argparse
import contextlib
import json
import os
import sys
import time

import anyio
import httpcore
import uvicorn

SLOW = {"connect": 1.0, "read": 2.0, "write": 2.0, "pool": 2.0}


class Engine:
    """Prefill, then decode in steps; a prefix seen before is cheap; cold at first."""

    def __init__(self, a):
        self.a, self.running, self.done, self.cache, self.hits = a, 0, 0, set(), 0
        self.out = open(a.runs, "ab", buffering=0)
        self.leaving = False

    def note(self, *row):
        row = (row[0], time.monotonic(), *row[1:])
        os.write(self.out.fileno(), (json.dumps(row) + "\n").encode())

    def state(self):
        return dict(
            incarnation=self.a.incarnation,
            state="leaving" if self.leaving else "ready",
            use=min(1.0, self.running / self.a.slots),
            served=self.done,
            running=self.running,
            warm=self.done >= 4,
        )

    async def run(self, head, body, send):
        key = json.loads(body).get("key", "")
        did, prefix = head["silverglade-dispatch"], head.get("silverglade-prefix", "")
        self.running += 1
        hit = prefix in self.cache
        self.note(
            "run",
            did,
            head["silverglade-tenant"],
            head["silverglade-class"],
            self.a.zone,
            self.a.id,
            prefix,
            hit,
            self.running,
            self.done,
            key,
        )
        self.cache.add(prefix)
        mark = (b"silverglade-dispatch", did.encode())
        ok = False
        try:
            slow = 1 + self.running / self.a.slots
            await anyio.sleep(self.a.prefill / 1000 * slow * (1 if hit or not prefix else 3))
            if head["silverglade-class"] in ("receipt", "roster"):
                b = json.dumps({"dispatch": did, "words": ["one"] * 5}).encode()
                await send(
                    {
                        "type": "http.response.start",
                        "status": 200,
                        "headers": [mark, (b"content-type", b"application/json"), (b"content-length", str(len(b)).encode())],
                    }
                )
                await send({"type": "http.response.body", "body": b})
            else:
                await send({"type": "http.response.start", "status": 200, "headers": [mark, (b"content-type", b"text/event-stream")]})
                for k in range(1, 6):
                    await send({"type": "http.response.body", "more_body": True, "body": f"id: {k}\ndata: {did} {k}\n\n".encode()})
                    await anyio.sleep(self.a.step / 1000 * slow)
                await send({"type": "http.response.body", "body": b"event: done\nid: 5\ndata:\n\n"})
            ok = True
        finally:
            self.running -= 1
            self.done += 1
            self.note("end", did, ok)

    async def app(self, scope, receive, send):
        if scope["type"] != "http":
            return
        head = {k.decode().lower(): v.decode() for k, v in scope["headers"]}
        if scope["path"] == "/v1/state":
            return await reply(send, 200, self.state())
        if scope["path"] == "/v1/run" and scope["method"] == "POST":
            body, more = b"", True
            while more:
                m = await receive()
                body, more = body + m.get("body", b""), m.get("more_body")
            if self.running >= self.a.slots * 2:
                return await reply(send, 503, {"ran": "no"}, (b"silverglade-ran", b"no"))
            return await self.run(head, body, send)
        return await reply(send, 404, {})


async def reply(send, code, data, *extra):
    b = json.dumps(data).encode()
    await send(
        {
            "type": "http.response.start",
            "status": code,
            "headers": [(b"content-type", b"application/json"), (b"content-length", str(len(b)).encode()), *extra],
        }
    )
    await send({"type": "http.response.body", "body": b})


async def renew(a):
    """Declare homes and prefixes at some daemon, again and again."""
    b = json.dumps(
        dict(
            incarnation=a.incarnation,
            address=a.told or a.address,
            zone=a.zone,
            kind=a.kind,
            homes=a.homes.split(","),
            prefixes=[p for p in a.prefixes.split(",") if p],
            slots=a.slots,
        )
    ).encode()
    n, key = 0, "none"
    if a.key_file:
        with open(a.key_file, encoding="utf-8") as f:
            key = f.read().strip()
    async with httpcore.AsyncConnectionPool(max_keepalive_connections=0) as pool:
        while True:
            at = a.daemons.split(",")
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                await pool.request(
                    "PUT",
                    f"http://{at[n % len(at)]}/v1/replicas/{a.id}",
                    content=b,
                    headers=[("Host", "x"), ("Content-Length", str(len(b))), ("Authorization", f"Bearer {key}")],
                    extensions={"timeout": SLOW},
                )
            n += 1
            await anyio.sleep(1)


def parser():
    p = argparse.ArgumentParser(prog="silverglade.testbed.fake_servers.replica_process")
    for k in ("id", "address", "zone", "kind", "homes", "daemons", "runs"):
        p.add_argument("--" + k, required=True)
    p.add_argument("--told", default="")
    p.add_argument("--key-file", default="", help="holds the key with which it registers")
    p.add_argument("--prefixes", default="")
    for k, v in (("slots", 4), ("incarnation", 1), ("prefill", 60), ("step", 20)):
        p.add_argument("--" + k, type=int, default=v)
    return p


async def main(a):
    ip, port = a.address.rsplit(":", 1)
    cfg = uvicorn.Config(
        Engine(a).app,
        host=ip,
        port=int(port),
        log_config=None,
        lifespan="off",
        log_level="critical",
        http="h11",
        ws="none",
        interface="asgi3",
    )
    async with anyio.create_task_group() as tg:
        tg.start_soon(renew, a)
        await uvicorn.Server(cfg).serve()
        tg.cancel_scope.cancel()


if __name__ == "__main__":
    a_ = parser().parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(main, a_)
    sys.exit(0)
