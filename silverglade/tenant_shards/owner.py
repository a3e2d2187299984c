"""Shard owners (design 6): one owner per tenant; queue, claim, elect, grant."""

from ..configuration.schema import key_digest
from ..control import replicated_state as bk
from ..membership.rendezvous import rank_nodes
from ..replicas.candidate_selection import select_candidates
from ..replicas.registry import ADDR, INC, S_STATE, ZONE, evacuated_zones
from ..runtime.effects import IDLE, ZERO, log, milliseconds, post, send
from .queued_request import QueuedRequest
from .retry_budget import RetryBudget
from .shard import Shard


def owner(*, me, zone, cores, opt, rng):
    shards, todo = {}, {}  # tenant -> Shard; order id -> entry
    book, reps, roll, out = {}, {}, (), []
    fresh, want, burden, evac, lid_n, turn = None, {}, {}, set(), 0, ZERO
    budget, part = RetryBudget(me=me, opt=opt), 0.0  # part: of all shards, those that are mine

    def verdict(x):
        """May this owner promise that the key never ran? "?": it cannot tell (6.5)."""
        sh = shards.get(x.tenant)
        if any(y.kd == x.kd and y is not x for y in todo.values()):
            return "maybe"  # its visitor asked twice at once
        if x.resumable:
            return "maybe" if sh and x.kd in sh.tried else "?"
        c = (sh.claims or {}).get(x.kd) if sh else None
        if c and c[0] != x.oid:
            return "yes" if c[1] == "done" else "maybe"  # another ask of the key has come first
        return "no" if x.seen else "?"

    def deny(x, code, ran=None, wait=None):
        ran = ran or verdict(x)
        todo.pop(x.oid, None)
        drop_lease(x, False)
        sh = shards.get(x.tenant)
        if sh and x.claim and ran == "no":
            out.extend(sh.mark(x.kd, x.oid, "free"))
        out.append(send(x.frm, "deny", x.oid, x.n, code, ran, wait))

    def drop_lease(x, good):
        if x.lid:
            burden[x.rid] = max(0, burden.get(x.rid, 0) - 1)
            e = book.get(f"duty/ledger/{x.rid}", (0, (0, "", "")))[1]
            out.append(send(e[1], "release", x.rid, x.lid, good))
            x.lid = ""

    def waiting(tenant):
        return [x for x in todo.values() if x.tenant == tenant and x.step == "wait"]

    def cands(x, now):
        cfg = bk.value_of(book, "config")
        home, rest = select_candidates(
            reps=reps, cfg=cfg, tenant=x.tenant, kind=x.kind, prefix=x.prefix, now=now, opt=opt, evac=evac, extra=burden
        )
        if not home and not rest:
            return []
        z0 = cfg["tenants"][x.tenant]["homes"][0]
        g = cfg["zones"][z0]["region"]
        ready = sum(
            1
            for r, s, _ in reps.values()
            if s and s[S_STATE] == "ready" and r[ZONE] in cfg["zones"] and cfg["zones"][r[ZONE]]["region"] == g and r[5] == x.kind
        )
        # spill: home cannot take it, and the estimate says that it is short (design 7.4)
        short = want.get((g, x.kind), 0) > ready
        if not home or (short and now - x.at >= min(opt["spill_wait"], x.left / 4)):
            x.spill = bool(rest)
            home = home + rest
        return [i for i in home if i not in x.avoid]

    def try_(x, now):
        """Ask the next candidate's ledger for a slot."""
        nonlocal lid_n
        x.list = [i for i in x.list if i in reps]
        if not x.list:
            x.step, x.next = "wait", now + opt["beat"]
            return
        rid = x.list.pop(0)
        duty = bk.value_of(book, f"duty/ledger/{rid}")
        if not duty:
            return try_(x, now)
        lid_n += 1
        x.set(step="lease", rid=rid, lid="", ask=f"{x.oid}/{lid_n}", till=now + opt["owner_wait"])
        out.append(send(duty[1], "lease", rid, duty[0], x.ask, x.tenant))

    def step(x, now):
        """Move a waiting order on, if it is first in its tenant's line."""
        sh = shards.get(x.tenant)
        if sh is None:
            return deny(x, 304, wait=500)
        if not x.resumable and not sh.open:
            return None  # held briefly; the pulse gives up
        if look(sh, x):
            return None
        x.list = cands(x, now)
        return try_(x, now)

    def look(sh, x):
        """The key's claim, once the claims are known; True: it was claimed before."""
        if not x.resumable and not x.seen and sh.open:
            x.seen = True
            c = sh.claims.get(x.kd)
            if c and c[0] != x.oid:
                deny(x, 401, ran="yes" if c[1] == "done" else "maybe")
                return True
        return False

    def leased(x, rid, lid, now):
        x.set(rid=rid, lid=lid)
        burden[rid] = burden.get(rid, 0) + 1
        if x.resumable:
            shards[x.tenant].tries(x.kd)
            return grant(x, now)
        sh = shards.get(x.tenant)
        if sh is None or not sh.open:
            return deny(x, 303, wait=500)
        x.seen = False  # its key may have been claimed while it waited
        if look(sh, x):
            return None
        x.set(step="claim", claim=True, till=now + opt["claim_wait"])
        out.extend(sh.claim(x.kd, x.oid))
        return None

    def grant(x, now):
        r = reps[x.rid][0]
        x.set(step="granted", till=now + x.left + opt["grant"])
        out.append(send(x.frm, "grant", x.oid, x.n, x.rid, r[INC], r[ADDR], shards[x.tenant].epoch, bool(x.spill), x.again))

    def ask(now, frm, oid, n, tenant, e, facts):
        cls, key, prefix, left, *more = facts
        cfg = bk.value_of(book, "config")
        sh = shards.get(tenant)
        no = lambda code: out.append(send(frm, "deny", oid, n, code, "?", 500))
        if cfg and cls not in cfg["tenants"].get(tenant, {"classes": ()})["classes"]:
            return no(203)
        if not cfg or sh is None or e != sh.epoch:
            return out.append(send(frm, "moved", oid, n))
        if fresh is None or now - fresh > opt["alone"]:
            return no(307)
        if oid in todo and todo[oid].n >= n:
            if todo[oid].step == "granted" and todo[oid].n == n and todo[oid].rid in reps:
                grant(todo[oid], now)
            return None
        line = waiting(tenant)
        c = cfg["tenants"][tenant]["classes"][cls]
        old = todo.get(oid)
        x = todo[oid] = QueuedRequest(
            oid=oid,
            n=n,
            frm=frm,
            tenant=tenant,
            cls=cls,
            kd=key_digest(f"{tenant}\0{key}"),
            prefix=prefix,
            kind=c["kind"],
            resumable=c["resumable"],
            at=now,
            left=milliseconds(left),
            due=now + milliseconds(left),
            next=now,
            **({"claim": old.claim, "again": old.again, "avoid": old.avoid} if old else {}),
        )
        ahead = any(w.kind == x.kind for w in line)
        if look(sh, x):
            return None
        if not allowed(sh, x, old, more[0] if more and type(more[0]) is int else 0, now):
            return deny(x, 305, wait=2000)
        if len(line) >= opt["queue"]:
            return deny(x, 302, wait=1000)
        if not ahead or not sh.open and not c["resumable"]:
            step(x, now)
        return None

    def allowed(sh, x, old, attempt, now):
        """Within the budget of retries (7.5)? Owners see every order, so they know a repeated key."""
        was = sh.asked.setdefault(x.kd, x.oid)
        if x.n > 1:  # a redispatch; what was barred before it was sent is none
            return bool(old and old.free) or budget.take(now, opt["retry_share"], part)
        if old is None and (attempt > 1 or was != x.oid):
            x.again = True
            return budget.take(now, opt["retry_stop"], part)
        if old is None:
            budget.fresh(now)
        return True

    def open_(now):
        """Shards wanted (duties that name me) against shards held."""
        nonlocal part
        for t in [t for t in shards if f"duty/shard/{t}" not in book]:
            del shards[t]  # its tenant was taken out long ago
        for k, (_, v) in book.items():
            if k.startswith("duty/shard/"):
                t, (e, holder, fol) = k[11:], v
                if holder == me and (t not in shards or shards[t].epoch < e):
                    old = shards.get(t)
                    shards[t] = Shard(
                        name=t, epoch=e, follower=fol, me=me, claims=old.claims if old and old.full(e) else None, most=opt["claims_most"]
                    )
                    out.append(log("shard-owned", shard=t, epoch=e, follower=fol or "none"))
                elif holder != me and t in shards:
                    del shards[t]
                    out.append(log("shard-passed", shard=t, epoch=e, owner=holder))
                    for x in [x for x in todo.values() if x.tenant == t]:
                        todo.pop(x.oid)
                        if x.step != "granted":
                            drop_lease(x, False)
                            out.append(send(x.frm, "moved", x.oid, x.n))

        part = len(shards) / max(1, sum(1 for k in book if k.startswith("duty/shard/")))

    def withdraw():
        """Orders that wait for a tenant or class which the configuration no longer has (6.7)."""
        ts = (bk.value_of(book, "config") or {"tenants": {}})["tenants"]
        for x in list(todo.values()):
            if x.cls not in ts.get(x.tenant, {"classes": ()})["classes"] and x.step not in ("granted", "idle"):
                deny(x, 209)

    def spare():
        """Cores that may follow my shards, in order: not in my zone where that can be."""
        live = {r[0]: r for r in roll if r[9] == "ready" and r[8] and r[0] != me}
        far = [i for i in live if live[i][4] != zone]
        near = {me} | {i for i in live if live[i][4] == zone} if far else set()
        return lambda t: rank_nodes(f"follow/{t}", far or list(live)), near

    def renew():
        """Leases last only while their owner says that it holds them (design 7.3)."""
        held = {}
        for x in todo.values():
            if x.lid:
                held.setdefault(x.rid, []).append((x.lid, x.tenant))
        for rid, ls in held.items():
            e = bk.value_of(book, f"duty/ledger/{rid}")
            if e:
                out.append(send(e[1], "renew", rid, e[0], tuple(ls)))

    def pulse(now):
        nonlocal turn
        live = {r[0] for r in roll}
        if now >= turn:
            turn = now + opt["beat"] / 2
            renew()
            budget.trim(now)
            out.append(post("membership", "extra", "pace", (budget.n["fresh"], budget.n["again"])))
            cs = spare()
            todo_ = [e for sh in shards.values() for e in sh.pulse(now, live, *cs, opt)]
            out.extend(e for e in todo_ if e[0] != "name")
            names = tuple(e[1] for e in todo_ if e[0] == "name")
            if names:  # all in one change: hundreds of shards move at once
                out.append(post("operator_api", "self", ("duties", names)))
        for x in list(todo.values()):
            if x.frm not in live and x.step == "granted":
                drop_lease(x, False)  # its claim stays: nobody knows what ran
                todo.pop(x.oid)
            elif x.step in ("granted", "idle"):
                if now > x.till:
                    drop_lease(x, False)
                    todo.pop(x.oid)
            elif x.frm not in live:
                deny(x, 405, ran="maybe")
            elif now >= x.due:
                deny(x, 301, wait=1000)
            elif x.step == "claim" and now > x.till:
                if x.tenant in shards:  # it lives but does not sync: another follows
                    sh = shards[x.tenant]
                    sh.bad[sh.follower] = now
                deny(x, 303, wait=1000)
            elif x.step == "wait":
                sh = shards.get(x.tenant)
                shut = not x.resumable and not (sh and sh.open)
                if shut and (now - x.at > opt["claim_wait"] or sh and sh.step == "shut"):
                    deny(x, 303, wait=1000)
                elif now - x.at > opt["queue_wait"]:
                    deny(x, 301, wait=1000)
                elif now >= x.next:
                    step(x, now)
            elif x.step == "lease" and now > x.till:
                try_(x, now)

    while True:
        now, ev = yield tuple(out)
        out = []
        match ev:
            case ("book", b, _):
                book, evac = b, evacuated_zones(b)
                withdraw()
                open_(now)
            case ("replicas", rs):
                reps = rs
            case ("roll", r):
                lives = {x[0]: x[1] for x in r}
                for sh in shards.values():
                    sh.follow(lives.get(sh.follower))
                roll = r
                budget.hear(now, r)
            case ("fresh", f):
                fresh = f
            case ("wanted", w):
                want = w
            case ("froze",):
                fresh = None
                for sh in shards.values():
                    sh.doubt()
            case ("pulse",):
                pulse(now)
                if not todo:
                    out.append(("due", turn if shards or budget.log else IDLE))
            case ("msg", frm, ("ask", str(oid), int(n), str(tenant), int(e), (str(), str(), str(), int(), *_) as facts)):
                ask(now, frm, oid, n, tenant, e, facts)
            case ("msg", frm, ("leased", str(lid), str(rid), int(e))):
                x = todo.get(lid.rsplit("/", 1)[0])
                if x and x.step == "lease" and x.ask == lid and rid in reps:
                    leased(x, rid, lid, now)
                else:
                    out.append(send(frm, "release", rid, lid, False))
            case ("msg", frm, ("unleased", str(lid), str(rid), str(why))):
                x = todo.get(lid.rsplit("/", 1)[0])
                if x and x.step == "lease" and x.ask == lid:
                    try_(x, now)
            case ("msg", frm, ("offer", str(rid), int(e), str(lid), str(tenant))):
                x = (
                    next(
                        (
                            x
                            for x in sorted(waiting(tenant), key=lambda x: x.due)
                            if rid in reps and (x.resumable or shards[tenant].open) and rid in cands(x, now)
                        ),
                        None,
                    )
                    if tenant in shards
                    else None
                )
                if x:
                    leased(x, rid, lid, now)
                else:
                    out.append(send(frm, "release", rid, lid, False))
            case ("msg", frm, ("claimed", str(t), int(e), str(oid))):
                x = todo.get(oid)
                if x and x.step == "claim" and t in shards and shards[t].epoch == e and x.rid in reps:
                    grant(x, now)
            case ("msg", frm, ("unclaimed", str(t), int(e), str(oid), str(why))):
                x = todo.get(oid)
                if x and x.step == "claim":
                    if why == "seen":
                        x.claim = False
                        deny(x, 401, ran="maybe")
                    else:
                        shards[t].lost(e, why)
                        deny(x, 303, wait=500)
            case ("msg", frm, (("adopted" | "unadopted" | "copied") as k, str(t), int(e), *r)) if t in shards:
                out.extend(shards[t].hear(frm, k, e, r))
            case ("msg", frm, ("fin", str(oid), int(n), str(how))):
                x = todo.get(oid)
                if x and x.n == n and x.frm == frm:
                    drop_lease(x, how == "done")
                    if how in ("unrun", "barred") and x.rid:
                        x.avoid.add(x.rid)  # the ingress may ask again under its claim
                        x.set(step="idle", till=now + opt["grant"], free=how == "barred")
                    else:
                        todo.pop(oid)
                        if x.claim and x.tenant in shards:
                            out.extend(shards[x.tenant].mark(x.kd, oid, how))
            case ("msg", frm, ("quit", str(oid))):  # the ingress will never send it
                x = todo.pop(oid, None)
                if x and x.frm == frm:
                    drop_lease(x, False)
                    if x.claim and x.tenant in shards:
                        out.extend(shards[x.tenant].mark(x.kd, oid, "free"))
            case ("look",):
                out.append(post("operator_api", "retries", dict(budget.total)))
                out.append(
                    post(
                        "operator_api",
                        "shards",
                        tuple((t, s.epoch, s.follower, s.open, len(s.claims or {}), len(waiting(t))) for t, s in sorted(shards.items())),
                    )
                )
