"""FleetClients of a rehearsed fleet: what they sent and what they were told (design 10.4)."""

import json
import random
import time

import anyio
import httpcore

from ...server.replica_calls import EventParser
from .fleet import SLOW


class FleetClients:
    def __init__(self, *, fleet, seed):
        self.f, self.rng, self.n, self.rows, self.open = fleet, random.Random(seed), 0, [], True

    async def order(self, *, tenant, cls, prefix="", key=None, attempt=1, at=None):
        c = self.f.t["config"]["tenants"][tenant]
        up = at or self.rng.choice(
            self.f.up(self.rng.choice(c["homes"]) if self.rng.random() < 0.9 else None) or self.f.up() or sorted(self.f.daemons)
        )
        self.n += 1
        key = key or f"k{self.n}"
        body = json.dumps({"key": key}).encode()
        row = dict(
            n=self.n,
            tenant=tenant,
            cls=cls,
            key=key,
            attempt=attempt,
            at=up,
            t0=time.monotonic(),
            code=None,
            ran=None,
            dids=set(),
            pieces=[],
            wait=None,
            last=True,
        )
        self.rows.append(row)
        head = [
            ("Host", "x"),
            ("Authorization", f"Bearer key-{tenant}"),
            ("Idempotency-Key", key),
            ("Silverglade-Attempt", str(attempt)),
            ("Content-Length", str(len(body))),
        ]
        if prefix:
            head.append(("Silverglade-Prefix", prefix))
        try:
            async with httpcore.AsyncConnectionPool(max_keepalive_connections=0) as pool:
                async with pool.stream(
                    "POST", f"http://{self.f.daemons[up]['http']}/v1/orders/{cls}", headers=head, content=body, extensions={"timeout": SLOW}
                ) as r:
                    await self.take(row, r, c["classes"][cls])
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            row["code"] = row["code"] or "lost"
        row["t1"] = time.monotonic()
        return row

    async def take(self, row, r, c):
        parser, whole = EventParser(), b""
        async for b in r.aiter_stream():
            if r.status != 200 or not c["stream"]:
                whole += b
                continue
            for name, n, data in parser.feed(b):
                row.setdefault("first", time.monotonic())
                if name == "done":
                    row["code"] = 100
                elif name == "fault":
                    d = json.loads(data)
                    row.update(code=d["code"], ran=d["ran"])
                else:
                    row["dids"].add(data.split(b" ")[0].decode())
                    row["pieces"].append(n)
        if r.status != 200:
            d = json.loads(whole)
            row.update(code=d["code"], ran=d["ran"], wait=d.get("retry_after"))
        elif not c["stream"]:
            row["dids"].add(json.loads(whole)["dispatch"])
            row["code"] = 100

    async def visit(self, tenant, cls, prefix):
        row = await self.order(tenant=tenant, cls=cls, prefix=prefix)
        if row["code"] != 100 and self.open and self.rng.random() < 0.5:
            await anyio.sleep(row["wait"] or 1)  # asks again elsewhere, as told
            row["last"] = False
            await self.order(tenant=tenant, cls=cls, prefix=prefix, key=row["key"], attempt=2)

    async def flow(self, cls, rate, prefix, tg):
        while self.open:
            await anyio.sleep(self.rng.expovariate(rate))
            t = self.rng.choice(sorted(self.f.t["config"]["tenants"]))
            tg.start_soon(self.visit, t, cls, f"{prefix}-{self.rng.randrange(2)}" if prefix else "")
