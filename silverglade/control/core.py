"""A core's control part (design 5): witness, primary or backup.

Safety rests on four rules: a change is answered only when all members of the view have synced it; a member seals its
epoch on disk before it copies its store for a new view; the register lets one proposal of an epoch win; a new primary
opens only after its backups have synced the whole store under the new epoch.
"""
from ..part import ZERO, log, ms, post, send, span
from . import book as bk
from . import copy as cp
from . import plan as pl
from . import register as rg
from .heartbeat import Peers
from .heartbeat import sound as sound_hb
from .seek import seeker


def core(*, me, disk, cores, saved, opt, rng, place=("", ""), tolerance=(1, 1, 1), first=True):
    """saved: tables "meta" and "book" as last synced. Generator; see part.py.

    cores: those that form the first view; others are met by the roll and by their heartbeats."""
    meta, store = dict(saved.get("meta", {})), dict(saved.get("book", {}))
    view = (reg := rg.read(meta))["base"]     # the newest view known to be chosen
    # epochs: sealed; recruited for; the one whose opening copy this store began from
    sealed, recruited, served = (meta.get(k, 0) for k in ("sealed", "recruited", "served"))
    may_form = me in cores and (first or meta.get("first", False))
    book, shown = dict(saved.get("shown", {})), meta.get("shown", bk.START)   # what may be told to others (5.7)
    peers, places, seen = Peers(opt=opt), {me: place}, set()
    writes, ops, asks, out, proof, told = cp.Writes(opt=opt), [], [], [], {}, {}
    opened, fresh, due, awake, behind = 0, None, None, ZERO, None
    pend = snap = None                # the change in flight; the copy in flight
    # is the store on disk as held; (since, a better view); the epoch that I sealed to seek the next
    whole_ok, wish, mine = True, None, 0
    seek, snapok, given, spot = None, {}, set(), None

    def others():
        return sorted(({*cores, *rg.disks(view)} | seen) - {me})

    def write(todo, then, now):
        out.append(writes.put(todo, then, now))

    def is_primary():
        return view is not None and view[1] == me and rg.disks(view).get(me) == disk

    def is_backup():
        return view is not None and me in view[2] and rg.disks(view).get(me) == disk

    def adopt(v, now):
        """Take a chosen view; lower epochs are refused from here on."""
        nonlocal view, snap, opened, reg, seek, wish, due, awake
        if rg.epoch(v) <= rg.epoch(view):
            return
        reg, view = rg.based(reg, v), v
        out.append(log("view", epoch=v[0], primary=v[1], backups=",".join(v[2])))
        known()
        write(cp.keep(reg=reg), None, now)
        seek, snap, opened, wish, due, awake = None, None, 0, None, now, now
        snapok.clear(), proof.clear(), given.clear()
        rewrite(now) if is_primary() else unsure()

    def known():
        if view:
            out.append(("post", "roster", ("extra", "view", (view[0], *rg.members(view)))))

    def unsure():
        """What waits may be settled under another view, or not."""
        nonlocal pend
        if pend:
            answer(pend["cid"], ("unknown",))
        for cid, *_ in ops:
            answer(cid, ("unknown",))
        pend = ops.clear()

    def rewrite(now):
        """A new primary's own store on disk, whole: an earlier write may have failed."""
        nonlocal whole_ok
        whole_ok = None
        write(cp.whole(store), on_disk(), now)

    def on_disk(then=lambda: None):
        e = rg.epoch(view)
        def done(ok, now):
            nonlocal whole_ok
            whole_ok = ok if rg.epoch(view) == e else whole_ok
            if ok:
                then()
        return done

    def answer(cid, res):
        if cid:
            out.append(send(cid[0], "opr", cid[1], res))

    def show(items, v, now):
        """Acknowledged. Kept on disk by and by: a core that starts again tells it at once (5.7)."""
        nonlocal shown, behind
        todo, behind = cp.show(book, items), None
        if v > shown or todo:
            shown = max(shown, v)
            write(todo + cp.keep(shown=shown), None, now)

    def commit(now):
        """All members have synced: show it, answer, tell the others."""
        nonlocal pend
        p, pend = pend, None
        if p["items"]:
            show(p["items"], p["at"], now)
            out.extend(send(c, "items", view[0], p["prev"], shown, () if c in view[2] else p["items"])
                       for c in others())            # backups hold the items already
        answer(p["cid"], p["res"])
        serve(now)

    def begin(now):
        """Next op in line, one in flight (design 5.4)."""
        nonlocal pend
        while ops and not pend and opened == view[0] > sealed and whole_ok:
            cid, change, op, key = ops.pop(0)
            prev = bk.version(store)
            at = (view[0], prev[1] + 1 if prev[0] == view[0] else 1)
            got, items = bk.outcome(store, change=change, op=op, key=key, at=at, prev=prev)
            pend = dict(cid=cid, res=got, items=items, at=at if items else prev, prev=prev,
                        mine=not items, n=rng.getrandbits(48), done=set(), sent=now)
            if items:
                p = pend
                gone = cp.take(store, items)

                def synced(ok, now, p=p):
                    p["mine"] = ok
                    if pend is p and ok:
                        replicate()
                write_items(items, gone, synced, now)
            else:
                replicate()

    def write_items(items, gone, then, now):
        def done(ok, now):
            nonlocal whole_ok
            whole_ok = whole_ok and ok
            then(ok, now)
        write(cp.changed(items, gone), done, now)

    def replicate():
        body = ("repl", view[0], pend["n"], pend["prev"], pend["at"], pend["items"])
        out.extend(send(c, *body) for c in view[2] if c not in pend["done"])

    def serve(now):
        """Answer held asks that have news, or have been held long enough (design 5.7)."""
        a = age(now)
        for t, frm, n, v, at in asks[:]:
            if shown > v or now - t >= opt["ask_wait"] or spot not in (None, at):
                asks.remove((t, frm, n, v, at))      # the table adds what is new of soft state (4.3)
                out.append(post("table", "answer", frm, (
                    "news", n, shown, bk.since(book, v), a, ms(now - t)), at))

    def age(now):
        return -1 if fresh is None else ms(now - fresh)

    def hb(c, now):
        told[c] = now
        out.append(send(c, "hb", rg.epoch(view), shown, writes.fit, disk, sealed,
                        view is None and reg["view"] is None and may_form, ms(now), peers.echo(c), age(now)))

    def watched(c, now):
        """Who is told regularly: all by the primary, it by all; by one who misses it, or seeks, all (design 5.10)."""
        return view is None or seek or me == view[1] or c == view[1] or not peers.up(view[1], now)

    def beat(now):
        for c in others():
            # a backup answers its primary at once; the primary tells the rest when its proof is new
            late = is_backup() and c == view[1] or is_primary() and opened == view[0] and c not in view[2]
            if watched(c, now) and now - told.get(c, -2 * opt["heartbeat"]) >= opt["heartbeat"] * (0.5 + late):
                hb(c, now)
        if is_primary() and writes.fit and sealed < view[0]:
            if opened != view[0]:
                open_up(now)
            elif pend and pend["mine"] and now - pend["sent"] >= opt["takeover"] / 2:
                pend["sent"] = now               # synced here first: the primary is never behind
                replicate()

    def open_up(now):
        """The new primary's whole store, synced by itself and its backups, before anything else."""
        nonlocal snap
        if whole_ok is False:
            rewrite(now)
        if snap and now - snap[1] < opt["takeover"] / 2:
            return
        snap = (snap[0] if snap else rng.getrandbits(48), now)
        out.extend(send(c, "snap", view[0], snap[0], view, cp.rows(store)) for c in view[2] if c not in given)

    def opening(now):
        """Open when all have synced the copy."""
        nonlocal opened
        if not (is_primary() and opened != view[0] > sealed and whole_ok and given >= set(view[2])):
            return
        opened = view[0]
        out.append(log("primary-open", epoch=opened))
        show(cp.rows(store), bk.version(store), now)
        if pend:                                 # now part of the synced store
            commit(now)
        any(hb(c, now) for c in others())        # all are told
        serve(now)

    def on_snap(frm, e, n, v, items, now):
        nonlocal store, recruited, served, sealed
        ok = v is None and e > rg.epoch(view) and e >= recruited
        if v is not None and e == v[0] and v[1] == frm and me in v[2]:   # opens its view
            if rg.disks(v).get(me) != disk or e < rg.epoch(view) or sealed >= e:
                return
            adopt(v, now)
            ok = served != e or max((iv for _, iv, _ in items), default=bk.START) >= bk.version(store)
            served = e if ok else served        # a late copy never undoes synced changes
        elif me in rg.members(view):            # a member recruited for a later view takes no more in this
            sealed = max(sealed, rg.epoch(view)) if ok else sealed
        if not ok or not bk.sound(items):
            return
        if v is None:
            unsure()
        recruited, store = max(recruited, e), {k: (iv, x) for k, iv, x in items}
        write(cp.whole(store) + cp.keep(recruited=recruited, served=served, sealed=sealed, reg=reg),
              on_disk(lambda: out.append(send(frm, "snapok", e, n, disk))), now)

    def on_repl(frm, e, n, prev, at, items, now):
        if not (is_backup() and view[0] == e and view[1] == frm and served == e and sealed < e):
            return None
        if bk.version(store) not in (prev, at):
            return None                 # the primary will copy afresh on its next opening
        tell = send(frm, "repd", e, n)
        if not items:                   # a question whether the view still holds
            return out.append(tell)
        return write_items(items, cp.take(store, items), lambda k, t: out.append(tell) if k else None, now)

    def on_hb(frm, m, now):
        nonlocal fresh, behind
        e, sh, _, _, sl, _, _, echo, a = m
        peers.heard(frm, m, now)
        seen.add(frm)
        if e < rg.epoch(view):
            out.append(send(frm, "view", view))
        if is_backup() and frm == view[1] or (e > rg.epoch(view) or not watched(frm, now)) and (
                now - told.get(frm, -opt["heartbeat"]) >= opt["heartbeat"] / 2):
            hb(frm, now)                         # the primary's proof that it still is; or an answer to one who asks
        if not view or e != view[0] or echo < 0:
            return
        if is_primary() and opened == e and frm in view[2] and sl < e:
            proof[frm] = max(proof.get(frm, ZERO), span(echo))
            if len(proof) == len(view[2]):
                fresh = max(fresh or ZERO, min(proof.values()))
                for c in [c for c in others() if c not in view[2] and now - told.get(c, ZERO) >= opt["heartbeat"] / 2]:
                    hb(c, now)
        if sh > shown:                           # what any core of this view shows was acknowledged
            if shown == bk.START or behind and now - behind >= opt["heartbeat"] / 2:
                out.append(send(frm, "pull", shown))
                behind = None                    # else it may be on its way
            behind = behind or now
        elif a >= 0:                             # an only backup that has not sealed is itself the proof
            a *= not (frm == view[1] and view[2] == (me,) and is_backup() and max(sl, sealed) < e)
            fresh = max(fresh or ZERO, span(echo - a))

    def witness(frm, now, new, ans):
        nonlocal reg
        tell, was, reg = send(frm, *ans[:2], disk, *ans[2:]), reg, new
        if new is was:
            return out.append(tell)
        return write(cp.keep(reg=reg), lambda k, t: out.append(tell) if k else None, now)

    def seal(now, then):
        nonlocal sealed, mine
        sealed = mine = rg.epoch(view)
        write(cp.keep(sealed=sealed), lambda k, t: then() if k else None, now)

    def stuck(now):
        """Why a member should seek a new view, or None (design 5.4)."""
        bad = pl.why(me=me, disk=disk, view=view, peers=peers, sealed=sealed, fit=writes.fit, now=now,
                     torn=is_primary() and opened == view[0] and whole_ok is False,
                     fair=now - awake > opt["takeover"])
        return bad or ("better" if wish and now - wish[0] >= opt["settle"] else None)

    def ponder(now):
        """The primary of a view that works looks for a better spread (design 5.9)."""
        nonlocal wish
        able = is_primary() and opened == view[0] and writes.fit
        new = able and pl.better(me=me, disk=disk, view=view, peers=peers, names=others(), places=places, now=now,
                                 tolerance=tolerance, awake=awake, opt=opt)
        if not new or not wish or wish[1] != new:
            wish = new and (now, new)

    def plan(now):
        """-> (base, wanted view, recruits) or None."""
        if view is None:
            if reg["view"] is not None:          # a first forming broken off: complete it
                return None, reg["view"], ()
            new = may_form and pl.first(me=me, disk=disk, cores=cores, peers=peers, places=places,
                                        tolerance=tolerance, now=now)
            return (None, new, ()) if new else None
        new = wish[1] if stuck(now) == "better" else pl.after(
            me=me, view=view, places=places, tolerance=tolerance,
            here=pl.live(me=me, disk=disk, peers=peers, now=now, names=others()))
        return (view, new, new[2]) if new else None

    def pulse(now):
        nonlocal due, seek
        out.extend(writes.look(now))
        if now >= due:
            due = now + opt["heartbeat"]
            beat(now)
            ponder(now)
        if seek is None and (stuck(now) or view is None):
            bad = stuck(now)                     # sealed by another: it seeks already
            due = now                            # so that all are heard before a plan is made
            late = 0 if bad == "better" else rng.random() + (bad == "sealed" and mine != rg.epoch(view))
            seek = seeker(me=me, opt=opt, rng=rng, plan=plan, seal=seal, snapok=snapok,
                          wait=opt["settle"] * late, copy=lambda: cp.rows(store))
            next(seek)
        elif seek and view and not stuck(now):
            seek = None
        serve(now)
        if seek:
            seek.send((now, ("pulse",), reg["promised"], out))

    while True:
        now, ev = yield tuple(out)
        out = []
        if due is None:
            due = awake = now
            if may_form and view is None and not meta.get("first"):
                write(cp.keep(first=True), None, now)
            known()                              # after a blackout nobody else says who is primary
        match ev:
            case ("pulse",):
                pulse(now)
            case ("roll", r):
                seen = {x[0] for x in r if x[8]} - {me}
                places.update({x[0]: (x[4], x[5]) for x in r if x[8]})
            case ("state", s):
                writes.leaving, due = s != "ready", now
            case ("froze",):
                fresh, awake = None, now
                peers.clear(), proof.clear()
            case ("disk", ("control", n), ok, _):
                then, more = writes.ended(n, ok, now)
                out.extend(more)
                then and then(ok, now)
                opening(now)
            case ("msg", frm, ("hb", *m)) if frm != me and sound_hb(m):
                on_hb(frm, m, now)
            case ("msg", frm, ("view", v)) if rg.sound(v):
                adopt(v, now)
            case ("msg", frm, ("prep", b)) if rg.sound_ballot(b) and b[1] == frm:
                witness(frm, now, *rg.prepare(reg, b))
            case ("msg", frm, ("acc", b, base, v)) if (
                    rg.sound_ballot(b) and b[1] == frm and rg.sound(base) and v and rg.sound(v)):
                adopt(base, now)
                witness(frm, now, *rg.accept(reg, b, base, v))
            case ("msg", frm, (("prom" | "accd" | "nack") as k, b, d, *r)) if seek:
                seek.send((now, ("answer", frm, d, (k, b, *r)), reg["promised"], out))
            case ("chosen", v):
                adopt(v, now)
                out.extend(send(c, "view", v) for c in others())
            case ("msg", frm, ("snap", e, n, v, items)) if frm != me and rg.sound(v):
                on_snap(frm, e, n, v, items, now)
            case ("msg", frm, ("snapok", e, n, d)):
                snapok[(frm, e, n)] = d
                if (is_primary() and snap and n == snap[0] and e == view[0] and frm in view[2]
                        and d == rg.disks(view)[frm]):
                    given.add(frm)
                    opening(now)
            case ("msg", frm, ("repl", e, n, prev, at, items)) if bk.sound(items):
                on_repl(frm, e, n, prev, at, items, now)
            case ("msg", frm, ("repd", e, n)) if pend and is_primary() and e == view[0] and n == pend["n"]:
                if frm in view[2]:
                    pend["done"].add(frm)
                if opened == e and pend["mine"] and pend["done"] >= set(view[2]):
                    commit(now)
            case ("msg", frm, ("items", e, prev, at, items)) if view and e == view[0]:
                if not items and is_backup() and bk.version(store) == at:
                    items = cp.rows(store, prev)
                if items and bk.sound(items) and bk.sound_version(at) and shown >= prev:
                    show(items, at, now)
                    serve(now)
            case ("msg", frm, ("pull", v)) if bk.sound_version(v):
                if view and (not is_primary() or opened == view[0]):
                    out.append(send(frm, "items", view[0], v, shown, cp.rows(book, v)))
            case ("msg", frm, ("get", n, v, at)) if bk.sound_version(v):
                asks.append((now, frm, n, v, at))
                out.append(post("table", "asked", frm))
                serve(now)
            case ("spot", spot):
                serve(now)
            case ("msg", frm, ("op", n, change, op, key)):
                if not is_primary() or not writes.fit:
                    out.append(send(frm, "opr", n, ("elsewhere", view[1] if view else "")))
                elif len(ops) < 256 and not any(o[0] == (frm, n) for o in ops) and not (
                        pend and pend["cid"] == (frm, n)):
                    # asked again while it waits: once is enough. No room: no word, asked again
                    ops.append(((frm, n), change, op, key))
            case ("duties" | "drop" as what, *todo):
                # only what was decided in touch with the backups: a cut-off roll is no ground
                near = fresh is not None and now - fresh <= opt["takeover"]
                if is_primary() and opened == view[0] and near and not ops and not pend:
                    ops.append((None, "", (what, *todo), ""))
        if is_primary() and opened == view[0]:
            begin(now)
