"""The path part (design 6.5, 6.6): orders at their ingress, and orders handed towards home."""

from boltons.cacheutils import LRI

from ..configuration.schema import homes_of_tenant
from ..control import replicated_state as bk
from ..membership.rendezvous import rank_nodes
from ..replicas.registry import INC, evacuated_zones, is_usable
from ..runtime.effects import IDLE, send, to_milliseconds
from ..runtime.errors import SilvergladeError
from .admission import admit, sure
from .request import order

WINDOW = 128  # pieces handed on that its visitor has not taken yet (6.6)
KNOWN = 4096  # keys remembered, to tell a repeated one without its header
TALES = 512  # orders whose steps are remembered for `silverglade trace`


class Ctx:
    """What an order may look at (held and filled by the path part alone)."""

    def __init__(self, *, opt):
        self.opt, self.book, self.reps, self.roll, self.ids = opt, {}, {}, (), {}
        self.spills, self.evac, self.heard = 0, set(), None

    def duty(self, tenant):
        return bk.value_of(self.book, f"duty/shard/{tenant}")

    def live(self, i):
        return i in self.ids

    def at_home(self, i, tenant):
        """Does this daemon live, in a zone of the tenant's homes as they are now? An owner may not yet be moved."""
        return self.ids.get(i) in homes_of_tenant(bk.value_of(self.book, "config"), tenant)

    def fresh(self, now):
        return self.heard is not None and now - self.heard <= self.opt["alone"]

    def barred(self, rid, inc, f, now):
        """Why this replica may not be sent this order now, or "" (design 7.2)."""
        e = self.reps.get(rid)
        if not self.fresh(now):
            return "stale"
        if e is None or e[0][INC] != inc:
            return "incarnation"
        if e[2] is None or now - e[2] > self.opt["stale"]:
            return "unheard"
        return (
            ""
            if is_usable(
                e,
                now=now,
                tuning=self.opt,
                drained_zones=self.evac,
                homes=homes_of_tenant(bk.value_of(self.book, "config"), f["tenant"]),
                kind=f["kind"],
            )
            else "unusable"
        )


def ingress(*, me, life, zone, opt):
    ctx, gens, hands, guests, out = Ctx(opt=opt), {}, {}, {}, []
    num, drain, tale, clock, known = 0, False, LRI(max_size=TALES), None, LRI(max_size=KNOWN)

    def run(oid, now, ev):
        """Drive one order's generator and sort its effects."""
        for e in gens[oid].send((now, ev)):
            settle(oid, e)

    def mark(oid, now, what):
        """What befell an order lately, for `silverglade trace` (design 8.6); no content."""
        if oid in tale:
            tale[oid]["steps"].append((to_milliseconds(now - tale[oid]["born"]), what))

    def told(e):
        match e:
            case ("send", to, ("ask" | "hand", *_)):
                return f"asked {to}"
            case ("dispatch", did, rid, *_):
                return f"dispatched {did} to {rid}"
            case ("result", _, "fault", code, ran, *_):
                return f"told {code} ran={ran}"
            case ("result", _, "whole" | "done", *_):
                return "told done"
            case ("result", _, "piece", 1, _):
                return "first piece"
        return None

    def settle(oid, e):
        if what := told(e):
            mark(oid, clock, what)
        match e:
            case ("end", _):
                gens.pop(oid, None)
                guests.pop(oid, None)
            case ("result", _, *r) if oid in guests:
                g = guests[oid]
                g["seq"] += 1
                if r[0] == "piece":  # its visitor is slow: the replica is not read on
                    g["piece"] = r[1]
                    if not g["held"] and r[1] - g["taken"] > WINDOW:
                        g["held"] = True
                        out.append(("ease", oid, False))
                out.append(send(g["to"], "res", oid, g["seq"], *r))
            case ("served" | "repeat", *_):
                out.append(("cast", e))
            case _:
                out.append(e)

    def start_(oid, f, body, now):
        k = (f["tenant"], f["key"])
        f["counted"] = f["attempt"] < 2 and k not in known  # a retry never feeds lambda (9.3)
        known[k] = True
        if f["counted"]:
            out.append(("cast", ("arrived", f["kind"])))
        gens[oid] = g = order(oid=oid, f=f, body=body, opt=opt, ctx=ctx, me=me, now=now)
        for e in next(g):
            settle(oid, e)

    def refuse(oid, code, ran, wait=None, detail=""):
        out.append(("result", oid, "fault", code, ran, wait, detail))
        mark(oid, clock, f"told {code} ran={ran}")

    def head(bearer, cls, key, due, prefix, attempt, now):
        """The head of an order, before its body is read: -> (code, what to say or the body's cap)."""
        cfg = bk.value_of(ctx.book, "config")
        try:
            f = admit(cfg=cfg, bearer=bearer, cls=cls, key=key, due=due, prefix=prefix, attempt=attempt, size=0, minted="-")
        except SilvergladeError as e:
            return e.code, dict(ran=blank(e, key, attempt), detail=e.detail, wait=1000 if e.code == 309 else None)
        if drain:
            return 308, dict(ran="no" if sure(f) else "maybe", wait=1000)
        return 100, dict(cap=cfg["body_cap"])

    def blank(e, key, attempt):
        """What a refusal of the head may promise."""
        known = key and (attempt.isdigit() and int(attempt) > 1 or e.code == 309 and attempt != "1")
        return "maybe" if known else "no"

    def fresh_order(oid, spec, now):
        nonlocal num
        tale[oid] = dict(order=oid, key=spec[2], cls=spec[1], born=now, steps=[])
        bearer, cls, key, due, prefix, attempt, body = spec
        num += 1
        cfg = bk.value_of(ctx.book, "config")
        try:
            f = admit(
                cfg=cfg,
                bearer=bearer,
                cls=cls,
                key=key,
                due=due,
                prefix=prefix,
                attempt=attempt,
                size=len(body),
                minted=f"{me}-{life}-{num}",
            )
        except SilvergladeError as e:
            return refuse(oid, e.code, blank(e, key, attempt), 1000 if e.code == 309 else None, e.detail)
        tale[oid].update(key=f["key"], tenant=f["tenant"])
        out.append(("result", oid, "key", f["key"], f["stream"]))
        maybe = "no" if sure(f) else "maybe"
        if drain:
            return refuse(oid, 308, maybe, 1000)
        if not ctx.fresh(now):
            return refuse(oid, 307, maybe, 1000)
        if zone in f["homes"]:
            return start_(oid, f, body, now)
        to = homeward(f)
        if not to:
            return refuse(oid, 306, maybe, 1000)
        hands[oid] = dict(to=to, seq=0, at=now, due=now + f["left"], f=f, out=False, told=False)
        out.append(send(to, "hand", oid, bearer, cls, f["key"], f["minted"], to_milliseconds(f["left"]), prefix, f["attempt"], body))
        return None

    def homeward(f):
        """The shard's owner where it lives, else a live daemon of the homes in their order."""
        d = ctx.duty(f["tenant"])
        if d and ctx.at_home(d[1], f["tenant"]):
            return d[1]
        for z in f["homes"]:
            ids = [r[0] for r in ctx.roll if r[4] == z and r[9] == "ready"]
            if ids:
                return rank_nodes(f["key"], ids)[0]
        return None

    def guest(frm, oid, bearer, cls, key, minted, left, prefix, attempt, body, now):
        """An order handed to us from outside its homes; we are its ingress now."""
        if oid in guests:
            return
        guests[oid] = dict(to=frm, seq=0, at=now, piece=0, taken=0, held=False)
        no = lambda code, ran: (settle(oid, ("result", oid, "fault", code, ran, 1000)), settle(oid, ("end", oid)))
        try:
            f = admit(
                cfg=bk.value_of(ctx.book, "config"),
                bearer=bearer,
                cls=cls,
                key=key,
                due=str(left),
                prefix=prefix,
                attempt=str(attempt or ""),
                size=len(body),
                minted="",
            )
        except SilvergladeError as e:
            no(e.code, "no" if minted or attempt == 1 else "maybe")
            return
        f["minted"] = minted
        if zone not in f["homes"]:
            no(306, "no" if sure(f) else "maybe")  # never passed on to a third region
        elif drain or not ctx.fresh(now):
            no(308 if drain else 307, "no" if sure(f) else "maybe")
        else:
            start_(oid, f, body, now)

    def relay(oid, h, seq, r, now):
        if seq != h["seq"] + 1:
            out.append(send(h["to"], "left", oid))
            return lose(oid, h, 405)
        h["seq"], h["told"] = seq, True
        if r[0] == "piece":
            h["out"] = True
        if r[0] == "fault" and r[1] in (404,) or r[0] in ("done", "whole", "fault"):
            hands.pop(oid)
        if r[0] in ("piece", "done", "whole", "fault"):
            out.append(("result", oid, *r))
        return None

    def lose(oid, h, code):
        hands.pop(oid)
        refuse(oid, 404 if h["out"] else code, "yes" if h["out"] else "maybe", 1000)

    def pulse(now):
        for oid in list(gens):
            run(oid, now, ("pulse",))
        for oid, g in list(guests.items()):
            if not ctx.live(g["to"]) and now - g["at"] > opt["gone"]:
                if oid in gens:
                    run(oid, now, ("gone",))
        for oid, h in list(hands.items()):
            if now >= h["due"] + opt["settle"]:
                out.append(send(h["to"], "left", oid))
                lose(oid, h, 403)
            elif not ctx.live(h["to"]):
                lose(oid, h, 405)

    while True:
        now, ev = yield tuple(out)
        out, clock = [], now
        match ev:
            case ("pulse",):
                pulse(now)
                if not gens and not guests and not hands:
                    out.append(("due", IDLE))
            case ("call", cid, "trace", (word,)):
                rows = [dict(t, born=to_milliseconds(now - t["born"])) for t in tale.values() if word in (t["order"], t["key"])]
                out.append(("reply", cid, 100 if rows else 507, dict(orders=rows)))
            case ("book", b, _):
                ctx.book, ctx.evac = b, evacuated_zones(b)
            case ("replicas", rs):
                ctx.reps = rs
            case ("roll", r):
                ctx.roll, ctx.ids = r, {x[0]: x[4] for x in r}
            case ("fresh", f):
                ctx.heard = f
            case ("froze",):
                ctx.heard = None
            case ("drain",):
                drain = True
            case ("call", cid, "head", spec):
                out.append(("reply", cid, *head(*spec, now)))
            case ("drained", oid, n) if oid in hands:
                out.append(send(hands[oid]["to"], "more", oid, n))
            case ("msg", frm, ("more", str(oid), int(n))) if oid in guests and guests[oid]["to"] == frm:
                g = guests[oid]
                g["taken"] = max(g["taken"], n)
                if g["held"] and g["piece"] - g["taken"] <= WINDOW // 2:
                    g["held"] = False
                    out.append(("ease", oid, True))
            case ("order", oid, spec):
                fresh_order(oid, spec, now)
            case ("gone", oid):
                if oid in gens:
                    run(oid, now, ("gone",))
                elif oid in hands:
                    out.append(send(hands.pop(oid)["to"], "left", oid))
            case ("ran", did, *r):
                oid = did.rsplit(".", 1)[0]
                if oid in gens:
                    run(oid, now, ("ran", *r))
            case ("msg", frm, (("grant" | "deny" | "moved") as k, str(oid), *r)) if oid in gens:
                run(oid, now, (k, *r))
            case ("msg", frm, ("grant", str(oid), *_)):
                out.append(send(frm, "quit", oid))  # nobody waits: it will not be sent
            case ("msg", frm, ("hand", str(oid), str(b), str(c), str(k), bool(m), int(left), str(p), int(a), bytes(body))):
                guest(frm, oid, b, c, k, m, left, p, a, body, now)
            case ("msg", frm, ("left", str(oid))) if oid in gens and oid in guests:
                run(oid, now, ("gone",))
            case ("msg", frm, ("res", str(oid), int(seq), *r)) if r and oid in hands:
                if frm == hands[oid]["to"]:
                    relay(oid, hands[oid], seq, r, now)
            case ("look",):
                out.append(("post", "operator_api", ("orders", len(gens), len(hands), ctx.spills)))
