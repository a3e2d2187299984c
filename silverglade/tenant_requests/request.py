"""One order's way at its home ingress (design 6.5): ask, dispatch, relay.

A generator; sent (now, event) and yields effects. Its last yield has ("end", oid). Context
`ctx` reads what the path part holds: duty(tenant), at_home(id, tenant), barred(rid, inc, f, now),
fresh(now).
"""

from ..runtime.effects import ZERO, log, milliseconds, send, to_milliseconds
from .admission import sure

ENDS = ("whole", "done", "fault")


def order(*, oid, f, body, opt, ctx, me, now):
    due, born = now + f["left"], now
    n, ran, sent, piece = 0, "no", False, 0  # ran: worst over this order's dispatches
    out, cause = [], None

    def result(kind, *r):
        out.append(("result", oid, kind, *r))

    def fault(code, ran_, wait=None):
        """The final answer, at once; `ran` is only ever as good as what is sure."""
        if ran != "no":
            ran_ = ran
        # "?": the owner knows of no other ask of the key; "blind": no owner has looked. After a while,
        # or when nobody looked, its visitor may have asked elsewhere.
        if ran_ in ("?", "blind"):
            soon = f["minted"] or now - born <= (opt["settle"] if ran_ == "?" else ZERO)
            ran_ = "no" if soon and sure(f) else "maybe"
        if ran_ == "no" and now > due + opt["beat"] and not f["minted"]:
            ran_ = "maybe"  # frozen meanwhile: the owner's word is old
        result("fault", code, ran_, wait)
        out.append(("end", oid))

    def repeated():
        """Its owner knew the key: no arrival of the scaler's after all (9.3)."""
        if f["counted"]:
            f["counted"] = False
            out.append(("repeat", f["kind"]))

    while True:
        n += 1
        holder = epoch = at = None
        began, grant, moved = now, None, None
        # ask: the shard's owner for a replica and, where needed, a claim
        while grant is None:
            d = ctx.duty(f["tenant"])
            # a daemon without news may hold homes that are none any more: it asks nobody (5.7)
            ok = d is not None and d[1] and ctx.fresh(now) and ctx.at_home(d[1], f["tenant"])
            if ok and ((epoch, holder) != d[:2] or now - at > opt["owner_wait"]) and (moved is None or now - moved > opt["beat"] / 2):
                epoch, holder, at = d[0], d[1], now
                out.append(
                    send(
                        holder,
                        "ask",
                        oid,
                        n,
                        f["tenant"],
                        epoch,
                        (f["cls"], f["key"], f["prefix"], max(1, to_milliseconds(due - now)), f["attempt"]),
                    )
                )
                began = now
            if now >= due:
                out += [send(holder, "quit", oid)] if holder else []
                fault(207 if n == 1 else 403, "blind", 1000)
                yield tuple(out)
                return
            if not ok and now - began > opt["owner_wait"] * 3:
                fault(304, "blind", 1000)
                yield tuple(out)
                return
            now, ev = yield tuple(out)
            out = []
            match ev:
                case ("grant", k, rid, inc, addr, _, spill, *more) if k == n:
                    grant = (rid, inc, addr)
                    if more and more[0] is True:
                        repeated()
                    ctx.spills += bool(spill)
                case ("deny", k, code, r, wait) if k == n:
                    if code == 304 and now - began < opt["owner_wait"]:
                        epoch, moved = None, now
                        continue
                    if n == 1 and code in (305, 401):
                        repeated()
                    if code == 305 and n > 1:  # no more tries: what befell the last one
                        code, r = cause
                    fault(code, "blind" if r == "?" and code in (203, 307) else r, wait)
                    yield tuple(out)
                    return
                case ("moved", k) if k == n:
                    epoch, moved = None, now
                case ("gone",):
                    out += [send(holder, "quit", oid)] if holder else []
                    out.append(("end", oid))
                    yield tuple(out)
                    return
        rid, inc, addr = grant
        did, start = f"{oid}.{n}", now
        # dispatch: checked again just before it is sent (7.2)
        why = ctx.barred(rid, inc, f, now)
        if why:
            how, r = "refused", "no"
            out.append(log("dispatch-barred", order=oid, replica=rid, why=why))
        else:
            out.append(
                (
                    "dispatch",
                    did,
                    rid,
                    addr,
                    dict(
                        tenant=f["tenant"],
                        cls=f["cls"],
                        stream=f["stream"],
                        prefix=f["prefix"],
                        kind=f["kind"],
                        due=to_milliseconds(due - now),
                    ),
                    body,
                )
            )
            sent, how = True, None
        while how is None:
            now, ev = yield tuple(out)
            out = []
            if now >= due:
                how, r = "late", "maybe"
                break
            match ev:
                case ("ran", "refused"):
                    how, r = "refused", "no"
                case ("ran", "fault", r):
                    how = "fault"
                case ("ran", "piece", k, data) if f["stream"]:
                    if k != piece + 1:  # lost, repeated or foreign: never passed on
                        how, r = "fault", "yes"
                        continue
                    piece = k
                    result("piece", k, data)
                case ("ran", "done", k) if f["stream"]:
                    how = "done" if k == piece and piece else "fault"
                    r = "yes"
                case ("ran", "whole", data) if not f["stream"]:
                    how, r = "done", "yes"
                    result("whole", data)
                case ("ran", *_):
                    how, r = "fault", "yes"
                case ("gone",):
                    how, r = "gone", "maybe"
        if sent and how in ("late", "gone", "fault"):
            out.append(("abort", did))
        out.append(send(holder, "fin", oid, n, "barred" if why else {"refused": "unrun", "done": "done"}.get(how, "ran")))
        if how == "done":
            out += [("served", f, now - start, now - (due - f["left"]))]
            if f["stream"]:
                result("done", piece)
            out.append(("end", oid))
            yield tuple(out)
            return
        ran = "no" if r == "no" and ran == "no" else "yes" if "yes" in (r, ran) or piece else "maybe"
        again = (how == "refused" or (how == "fault" and f["resumable"])) and not piece
        cause = (
            404 if piece else 403 if how == "late" else 402 if ran != "no" else 301,
            "blind" if f["resumable"] or ran != "no" else "no",
        )
        if how == "gone" or not (again and due - now > milliseconds(50)):
            if how != "gone":
                if ran == "no":
                    out.append(send(holder, "quit", oid))
                fault(*cause, 1000)
            else:
                out.append(("end", oid))
            yield tuple(out)
            return
        sent = False
