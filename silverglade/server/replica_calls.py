"""Calls to replicas (design 7.6): dispatches and probes, over HTTP/1.1 by library."""

import json

import anyio
import httpcore

SLOW = {"connect": 1.0, "read": None, "write": 10.0, "pool": None}
CAP = 16 * 1024 * 1024


def pool(*, local=None):
    # no connection is kept: a dispatch that cannot connect was surely not received
    return httpcore.AsyncConnectionPool(max_connections=None, max_keepalive_connections=0, local_address=local)


def header(rsp, name):
    return next((v.decode("latin-1") for k, v in rsp.headers if k.lower() == name), "")


def events(*, cap=CAP):
    """Generator: bytes in, server-sent events (name, id, data) out."""
    buf, out = b"", ()
    while True:
        buf += (yield out) or b""
        got = []
        buf = buf.replace(b"\r\n", b"\n")
        while b"\n\n" in buf:
            one, buf = buf.split(b"\n\n", 1)
            name, n, data = "", "", []
            for ln in one.split(b"\n"):
                k, _, v = ln.partition(b":")
                v = v[1:] if v.startswith(b" ") else v
                if k == b"event":
                    name = v.decode("utf-8", "replace")
                elif k == b"id":
                    n = v.decode("utf-8", "replace")
                elif k == b"data":
                    data.append(v)
            got.append((name, int(n) if n.isdigit() and len(n) < 12 else -1, b"\n".join(data)))
        if len(buf) > cap:
            raise ValueError("an event is too long")
        out = tuple(got)


async def dispatch(*, pool, did, addr, meta, body, tell, room):
    """Run one dispatch; `tell` gets ("ran", did, ...) tuples; `room` waits for the visitor."""
    head = [
        ("Host", addr),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Silverglade-Dispatch", did),
        ("Silverglade-Tenant", meta["tenant"]),
        ("Silverglade-Class", meta["cls"]),
        ("Silverglade-Due", str(meta["due"])),
    ]
    if meta["prefix"]:
        head.append(("Silverglade-Prefix", meta["prefix"]))
    try:
        with anyio.fail_after(meta["due"] / 1000 + 1):
            async with pool.stream("POST", f"http://{addr}/v1/run", headers=head, content=body, extensions={"timeout": SLOW}) as r:
                if r.status == 503 and header(r, b"silverglade-ran") == "no":
                    return await tell("refused")
                if r.status != 200 or header(r, b"silverglade-dispatch") != did:
                    return await tell("fault", "maybe")
                if meta["stream"]:
                    return await stream(r, tell, room)
                return await whole(r, tell)
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        return await tell("refused")
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, TimeoutError, ValueError):
        return await tell("fault", "maybe")


async def whole(r, tell):
    n, got, size = header(r, b"content-length"), [], 0
    async for b in r.aiter_stream():
        size += len(b)
        if size > CAP:
            return await tell("fault", "yes")
        got.append(b)
    if not n.isdigit() or int(n) != size:  # length and dispatch checked, then success
        return await tell("fault", "yes")
    return await tell("whole", b"".join(got))


async def stream(r, tell, room):
    ev = events()
    next(ev)
    async for b in r.aiter_stream():
        for name, n, data in ev.send(b):
            await room()
            if name == "done":
                return await tell("done", n)
            if name == "fault":
                return await tell("fault", "yes")
            await tell("piece", n, data)
    return await tell("fault", "yes")  # ended without its mark of success


async def tell(*, pool, addr, data):
    """A region's orders to the platform's address; true if it took them."""
    b = json.dumps(data).encode()
    try:
        with anyio.fail_after(2):
            r = await pool.request(
                "PUT",
                f"http://{addr}/v1/orders",
                content=b,
                headers=[("Host", addr), ("Content-Type", "application/json"), ("Content-Length", str(len(b)))],
            )
        return r.status < 300
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, TimeoutError):
        return False


async def get(*, pool, addr, path, wait=1.0):
    """-> (status, body); (0, b"") where no whole answer came in time."""
    try:
        with anyio.fail_after(wait):
            r = await pool.request("GET", f"http://{addr}{path}", headers=[("Host", addr)], extensions={"timeout": SLOW})
        return r.status, r.content
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, TimeoutError):
        return 0, b""


async def probe(*, pool, addr):
    """-> (incarnation, state, use, served, running, warm) or None."""
    try:
        with anyio.fail_after(1):
            r = await pool.request("GET", f"http://{addr}/v1/state", headers=[("Host", addr)], extensions={"timeout": SLOW})
        d = json.loads(r.content)
        if r.status != 200 or d["state"] not in ("starting", "ready", "leaving"):
            return None
        return (int(d["incarnation"]), d["state"], float(d["use"]), float(d["served"]), int(d["running"]), d.get("warm") is True)
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, TimeoutError, ValueError, KeyError, TypeError):
        return None
