"""The surface (design 2): visitors, replicas, platform and operators, as one ASGI app."""

import json
import random

import anyio

from ..runtime.errors import BodyTooLargeError, SilvergladeError, SlowBodyError, TruncatedBodyError, http_status
from ..runtime.errors import error_body as fault_body
from .handlers import route

CAP = 4 * 1024 * 1024 + 1024
BODY_SECS = 20


def headers(scope):
    return {k.decode("latin-1").lower(): v.decode("latin-1") for k, v in scope["headers"]}


async def read(receive, head, cap=CAP):
    """The body stage: the whole of it, capped, in bounded time; a body cut off is refused."""
    want = head.get("content-length", "")
    if want.isdigit() and int(want) > cap:
        raise BodyTooLargeError(f"{cap} bytes at most")
    got, size = [], 0
    with anyio.move_on_after(BODY_SECS):
        while True:
            m = await receive()
            if m["type"] == "http.disconnect":
                raise TruncatedBodyError()
            got.append(m.get("body", b""))
            size += len(got[-1])
            if size > cap:
                raise BodyTooLargeError(f"{cap} bytes at most")
            if not m.get("more_body"):
                return b"".join(got)
    raise SlowBodyError()


async def answer(send, code, data, extra=()):
    b = json.dumps(data).encode() + b"\n"
    await send(
        {
            "type": "http.response.start",
            "status": code,
            "headers": [(b"content-type", b"application/json"), (b"content-length", str(len(b)).encode()), *extra],
        }
    )
    await send({"type": "http.response.body", "body": b})


async def refuse(send, code, *, ran="no", wait=None, detail="", extra=()):
    """A fault as JSON; Retry-After carries jitter so that a crowd does not return at once."""
    after = None
    if wait:
        after = max(1, round(wait / 1000 * random.uniform(0.8, 1.6) + 0.5))
        extra = (*extra, (b"retry-after", str(after).encode()))
    await answer(send, http_status(code), fault_body(code=code, ran=ran, retry_after=after, detail=detail), extra)


def bearer(head):
    a = head.get("authorization", "")
    return a[7:].strip() if a[:7].lower() == "bearer " else ""


async def visit(d, cls, scope, receive, send):
    """One order: its head, then room for its body, then the body, then its results as they come."""
    head = headers(scope)
    key, due, prefix, attempt = (
        head.get(k, "") for k in ("idempotency-key", "silverglade-due", "silverglade-prefix", "silverglade-attempt")
    )
    ran = "no" if not key or attempt == "1" else "maybe"  # no owner has looked (design 6.5)
    try:
        code, kw = await d.call("head", (bearer(head), cls, key, due, prefix, attempt))
        if code != 100:
            return await refuse(send, code, ran=kw.get("ran", ran), wait=kw.get("wait"), detail=kw.get("detail", ""))
        n = head.get("content-length", "")
        with d.hold(min(int(n), kw["cap"]) if n.isdigit() and len(n) < 12 else kw["cap"]):
            b = await read(receive, head, kw["cap"])
            oid = d.oid()
            res = await d.order(oid, (bearer(head), cls, key, due, prefix, attempt, b))
            return await results(d, oid, res, receive, send)
    except SilvergladeError as e:
        return await refuse(send, e.code, ran=ran, wait=1000 if e.code == 310 else None, detail=e.detail)


async def results(d, oid, res, receive, send):
    """An order's results to its visitor, as they come."""
    key, began, ended = "", False, False
    async with anyio.create_task_group() as tg:

        async def watch():
            while (await receive())["type"] != "http.disconnect":
                pass
            await d.gone(oid)
            tg.cancel_scope.cancel()

        tg.start_soon(watch)
        async for r in res:
            mark = ((b"idempotency-key", key.encode("latin-1", "replace")),) if key else ()
            match r:
                case ("key", k, _):
                    key = k
                case ("whole", data):
                    await send(
                        {
                            "type": "http.response.start",
                            "status": 200,
                            "headers": [(b"content-type", b"application/json"), *mark, (b"content-length", str(len(data)).encode())],
                        }
                    )
                    await send({"type": "http.response.body", "body": data})
                    ended = True
                case ("piece", n, data):
                    if not began:  # the status waits for the first piece
                        began = True
                        await send(
                            {"type": "http.response.start", "status": 200, "headers": [(b"content-type", b"text/event-stream"), *mark]}
                        )
                    await send(event("", n, data))
                    if n % 32 == 0:
                        await d.drained(oid, n)
                case ("done", n, *_):
                    await send(event("done", n, b""))
                    await send({"type": "http.response.body", "body": b""})
                    ended = True
                case ("fault", code, ran, *w):
                    wait, detail = (*w, None, "")[:2]
                    if began:  # an unclean close after the fault event
                        data = json.dumps(fault_body(code=code, ran=ran)).encode()
                        await send(event("fault", -1, data))
                    else:
                        await refuse(send, code, ran=ran, wait=wait, detail=detail or "", extra=mark)
                    ended = True
        if not ended and not began:
            await refuse(send, 405, ran="maybe")
        tg.cancel_scope.cancel()


def event(name, n, data):
    ls = [b"event: " + name.encode()] if name else []
    ls += [b"id: " + str(n).encode()] if n >= 0 else []
    ls += [b"data: " + x for x in data.split(b"\n")]
    return {"type": "http.response.body", "body": b"\n".join(ls) + b"\n\n", "more_body": True}


def app(d):
    async def run(scope, receive, send):
        if scope["type"] != "http":
            return
        path, verb = scope["path"], scope["method"]
        if path.startswith("/v1/orders/") and verb == "POST":
            return await visit(d, path[11:], scope, receive, send)
        head = headers(scope)
        try:
            await route(d, verb, path, head, lambda: read(receive, head), receive, send, answer, bearer(head))
        except SilvergladeError as e:
            await refuse(send, e.code, detail=e.detail)

    return run
