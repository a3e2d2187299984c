"""A core's control part (design 5): witness, primary or backup, and the third.

Safety rests on four rules: a change is answered only when both members of the view have
synced it; a member seals its epoch on disk before it copies its store for a new view; the
register lets one proposal of an epoch win; a new primary opens only after its backup has
synced the whole store under the new epoch.
"""
from ..part import ZERO, log, ms, send, span
from . import book as bk
from . import register as rg
from .seek import seeker

HB = (tuple, object, tuple, bool, str, int, bool, int, int, int)


def sound_hb(m):
    return (len(m) == len(HB) and all(t is object or type(x) is t for x, t in zip(m, HB))
            and rg.sound_ballot(m[0]) and rg.sound(m[1]) and bk.sound_version(m[2]))


def core(*, me, disk, cores, saved, opt, rng):
    """saved: tables "meta" and "book" as last synced. Generator; see part.py."""
    meta, store = dict(saved.get("meta", {})), dict(saved.get("book", {}))
    reg = meta.get("reg") or rg.blank()
    vb, view = meta.get("view") or (rg.NONE, None)
    sealed, recruited = meta.get("sealed", 0), meta.get("recruited", 0)
    served = meta.get("served", 0)    # the epoch whose opening copy this store began from
    book, shown = {}, bk.START        # what may be told to others
    others = tuple(c for c in cores if c != me)
    peer, wait, ops, asks, out = {}, {}, [], [], []
    tok, fit, opened, fresh, due, probe = 0, True, 0, None, None, ZERO
    pend = snap = None                # the change in flight; the copy in flight
    seek, snapok = None, {}

    def write(todo, then, now):
        nonlocal tok
        tok += 1
        wait[tok] = (now, then)
        out.append(("disk", ("control", tok), tuple(todo)))

    def keep(**kw):
        return [("put", "meta", k, v) for k, v in kw.items()]

    def whole(s):
        return [("wipe", "book")] + [("put", "book", k, v) for k, v in s.items()]

    def is_primary():
        return view is not None and view[1] == me and rg.disks(view).get(me) == disk

    def adopt(b, v, now):
        """Take a chosen view; lower epochs are refused from here on."""
        nonlocal vb, view, pend, snap, opened, reg, seek
        if rg.epoch(v) <= rg.epoch(view):
            return
        vb, view = b, v
        if b > reg["ballot"]:
            reg = dict(promised=max(reg["promised"], b), ballot=b, view=v)
        out.append(log("view", epoch=v[0], primary=v[1], backup=v[2]))
        out.append(("post", "roster", ("extra", "view", (v[0], v[1], v[2]))))
        write(keep(view=(vb, view), reg=reg), None, now)
        seek, snap, opened = None, None, 0
        snapok.clear()
        if not is_primary():
            if pend and pend["cid"]:
                answer(pend["cid"], ("unknown",))
            pend = None
            for cid, *_ in ops:
                answer(cid, ("unknown",))
            ops.clear()

    def answer(cid, res):
        if cid:
            out.append(send(cid[0], "opr", cid[1], res))

    def up(c, now):
        p = peer.get(c)
        return bool(p and now - p["at"] <= opt["takeover"] and p["fit"])

    def show(items, v):
        nonlocal shown
        for k, iv, x in items:
            if iv > book.get(k, (bk.START,))[0]:
                book[k] = (iv, x)
        for k in bk.pruned(book):
            del book[k]
        shown = max(shown, v)

    def commit(now):
        """Both members have synced: show it, answer, tell the others."""
        nonlocal pend
        p, pend = pend, None
        if p["items"]:
            show(p["items"], p["at"])
            tell = ("items", view[0], p["prev"], shown, p["items"])
            out.extend(send(c, *tell) for c in others)
        answer(p["cid"], p["res"])
        serve(now)

    def begin(now):
        """Next op in line, one in flight (design 5.4)."""
        nonlocal pend
        while ops and not pend and opened == view[0] > sealed:
            cid, change, op, key = ops.pop(0)
            prev = bk.version(store)
            at = (view[0], prev[1] + 1 if prev[0] == view[0] else 1)
            old = bk.get(store, "change/" + change) if change else None
            if old is not None:
                got = ("ok", old[1]) if old[0] == key else ("refuse", 506, "change id was used")
            else:
                got = bk.decide(store, op, at)
            items = ()
            if got[0] == "say":                  # told once the backup has confirmed it
                got = ("ok", prev, got[1])
            if got[0] == "take":
                items = tuple((k, at, x) for k, x in got[1])
                if change:
                    items += (("change/" + change, at, (key, at)),)
                got = ("ok", at)
            pend = dict(cid=cid, res=got, items=items, at=at if items else prev, prev=prev,
                        mine=not items, n=rng.getrandbits(48))
            if items:
                p = pend
                store.update({k: (v, x) for k, v, x in items})
                gone = bk.pruned(store)
                for k in gone:
                    del store[k]

                def synced(ok, now, p=p):
                    p["mine"] = ok
                    if pend is p and ok:
                        replicate()
                write([("put", "book", k, (v, x)) for k, v, x in items]
                      + [("del", "book", k) for k in gone], synced, now)
            else:
                replicate()

    def replicate():
        out.append(send(view[2], "repl", view[0], pend["n"], pend["prev"], pend["at"], pend["items"]))

    def serve(now):
        """Answer held asks that have news, or have been held long enough (design 5.7)."""
        a = age(now)
        for t, frm, n, v in asks[:]:
            if shown > v or now - t >= opt["ask_wait"]:
                asks.remove((t, frm, n, v))
                out.append(send(frm, "news", n, shown, bk.since(book, v), a, ms(now - t)))

    def age(now):
        return ms(now - fresh) if fresh is not None else -1

    def hb(c, now):
        p, blank = peer.get(c), view is None and reg["view"] is None
        out.append(send(c, "hb", vb, view, shown, fit, disk, sealed, blank, ms(now),
                        p["stamp"] if p else -1, age(now)))

    def beat(now):
        for c in others:
            hb(c, now)
        if is_primary() and fit:
            if opened != view[0]:
                open_up(now)
            elif pend and pend["mine"]:      # synced here first: the primary is never behind
                replicate()

    def open_up(now):
        """The new primary's whole store, synced by its backup, before anything else."""
        nonlocal snap
        if snap is None:
            snap = rng.getrandbits(48)
        out.append(send(view[2], "snap", view[0], snap, vb, view, tuple(sorted(
            (k, v, x) for k, (v, x) in store.items()))))

    def on_snap(frm, e, n, b, v, items, now):
        nonlocal store, recruited, served
        ok = e > rg.epoch(view) and e >= recruited
        if v is not None and e == v[0] and v[1] == frm and v[2] == me:   # opens its view
            if rg.disks(v).get(me) != disk or e < rg.epoch(view):
                return
            adopt(b, v, now)
            ok = served != e or max((iv for _, iv, _ in items), default=bk.START) >= bk.version(store)
            served = e if ok else served        # a late copy never undoes synced changes
        if not ok or not bk.sound(items):
            return
        recruited, store = max(recruited, e), {k: (iv, x) for k, iv, x in items}
        write(whole(store) + keep(recruited=recruited, served=served, view=(vb, view)),
              lambda k, t: out.append(send(frm, "snapok", e, n, disk)) if k else None, now)

    def on_repl(frm, e, n, prev, at, items, now):
        if not (view and view[0] == e and view[1] == frm and view[2] == me and sealed < e
                and rg.disks(view).get(me) == disk):
            return
        have = bk.version(store)
        if have not in (prev, at):
            return                      # the primary will copy afresh on its next opening
        store.update({k: (v, x) for k, v, x in items})
        gone = bk.pruned(store)                  # as its primary did
        for k in gone:
            del store[k]
        write([("put", "book", k, (v, x)) for k, v, x in items] + [("del", "book", k) for k in gone]
              or keep(last=n),
              lambda k, t: out.append(send(frm, "repd", e, n)) if k else None, now)

    def on_hb(frm, m, now):
        nonlocal fresh
        b, v, sh, ft, dk, sl, bl, stamp, echo, a = m
        peer[frm] = dict(at=now, fit=ft, disk=dk, sealed=sl, blank=bl, stamp=stamp,
                         epoch=rg.epoch(v))
        if v and rg.epoch(v) > rg.epoch(view):
            adopt(b, v, now)
        if view and frm == view[1] and me == view[2]:
            hb(frm, now)                         # at once: the primary's proof that it still is
        if not view or rg.epoch(v) != view[0] or echo < 0:
            return
        if is_primary() and opened == view[0] and frm == view[2] and sl < view[0]:
            fresh = max(fresh or ZERO, span(echo))
        if sh > shown:                           # what any core of this view shows was acknowledged
            out.append(send(frm, "pull", shown))
        elif a >= 0:
            fresh = max(fresh or ZERO, span(echo - a))

    def witness(frm, b, now, new, ans):
        nonlocal reg
        if new is reg:
            out.append(send(frm, *ans[:2], disk, *ans[2:]))
            return
        reg = new
        write(keep(reg=reg), lambda k, t: out.append(send(frm, *ans[:2], disk, *ans[2:]))
              if k else None, now)

    def seal(now, then):
        nonlocal sealed
        sealed = max(sealed, rg.epoch(view))
        write(keep(sealed=sealed), lambda k, t: then() if k else None, now)

    def stuck(now):
        """Why a member should seek a new view, or None (design 5.4)."""
        if not view or me not in rg.members(view) or not fit or rg.disks(view).get(me) != disk:
            return None
        o = view[2] if view[1] == me else view[1]
        p = peer.get(o)
        if not up(o, now):
            return "silent"
        if p["disk"] != rg.disks(view).get(o):
            return "emptied"
        if sealed >= view[0] or p["sealed"] >= view[0]:
            return "sealed"
        if view[1] == me and opened == view[0] and any(
                up(c, now) and peer[c]["disk"] != rg.disks(view)[c] for c in others):
            return "admit"
        return None

    def plan(now):
        """-> (basis, wanted view, recruit) or None."""
        e = rg.epoch(view)
        if view is None:
            if reg["view"] is not None:          # a first forming broken off: complete it
                return 0, reg["view"], None
            if (me == min(cores) and reg["view"] is None
                    and all(up(c, now) and peer[c]["blank"] for c in others)):
                ds = tuple(sorted([(me, disk)] + [(c, peer[c]["disk"]) for c in others]))
                return 0, (1, me, min(others), ds), None
            return None
        old = view[2] if view[1] == me else view[1]
        third = next(c for c in others if c != old)
        why = stuck(now)
        pick = [c for c in ((old, third) if why in ("admit", "sealed") else (third, old)) if up(c, now)]
        if not pick:
            return None
        ds = dict(rg.disks(view))
        ds.update({c: peer[c]["disk"] for c in others if up(c, now)})
        return e, (e + 1, me, pick[0], tuple(sorted(ds.items()))), pick[0]

    while True:
        now, ev = yield tuple(out)
        out = []
        if due is None:
            due = now
            if view:                             # after a blackout nobody else says who is primary
                out.append(("post", "roster", ("extra", "view", view[:3])))
        match ev:
            case ("pulse",):
                slow = any(now - t > opt["disk_stall"] for t, _ in wait.values())
                if slow and fit:
                    fit = False
                    out.append(log("disk-stalled"))
                if not fit and not wait and now - probe > opt["disk_stall"]:
                    probe = now
                    write(keep(alive=ms(now)), None, now)
                if now >= due:
                    due = now + opt["beat"]
                    beat(now)
                    if seek is None and (stuck(now) or view is None):
                        seek = seeker(me=me, opt=opt, rng=rng, cores=cores, plan=plan,
                                      seal=seal, snapok=snapok, copy=lambda: tuple(sorted(
                                          (k, v, x) for k, (v, x) in store.items())))
                        next(seek)
                    elif seek and view and not stuck(now):
                        seek = None
                serve(now)
                if seek:
                    seek.send((now, ("pulse",), reg["promised"], out))
            case ("froze",):
                peer.clear()
                fresh = None
            case ("disk", ("control", n), ok, _):
                t, then = wait.pop(n, (now, None))
                if fit != ok and not (ok and wait):
                    fit = ok
                    out.append(log("disk-fit" if ok else "disk-fault"))
                if then:
                    then(ok, now)
            case ("msg", frm, ("hb", *m)) if frm in others and sound_hb(m):
                on_hb(frm, m, now)
            case ("msg", frm, ("prep", b)) if frm in cores and rg.sound_ballot(b):
                witness(frm, b, now, *rg.prepare(reg, b))
            case ("msg", frm, ("acc", b, v)) if frm in cores and rg.sound_ballot(b) and rg.sound(v):
                witness(frm, b, now, *rg.accept(reg, b, v))
            case ("msg", frm, (("prom" | "accd" | "nack") as k, b, d, *r)) if frm in cores and seek:
                seek.send((now, ("answer", frm, d, (k, b, *r)), reg["promised"], out))
            case ("chosen", b, v):
                adopt(b, v, now)
            case ("msg", frm, ("snap", e, n, b, v, items)) if frm in others and rg.sound(v):
                on_snap(frm, e, n, b, v, items, now)
            case ("msg", frm, ("snapok", e, n, d)) if frm in others:
                snapok[(frm, e, n)] = d
                if (is_primary() and n == snap and e == view[0] and frm == view[2]
                        and d == rg.disks(view)[frm] and opened != e):
                    opened = e
                    at = bk.version(store)
                    out.append(log("primary-open", epoch=e))
                    show([(k, v, x) for k, (v, x) in store.items()], at)
                    if pend:                     # now part of the synced store
                        pend["items"] = ()
                        commit(now)
                    begin(now)
            case ("msg", frm, ("repl", e, n, prev, at, items)) if frm in others and bk.sound(items):
                on_repl(frm, e, n, prev, at, items, now)
            case ("msg", frm, ("repd", e, n)) if pend and n == pend["n"] and view and e == view[0]:
                if frm == view[2] and opened == e and pend["mine"]:
                    commit(now)
            case ("msg", frm, ("items", e, prev, at, items)) if view and frm in others and e == view[0]:
                if bk.sound(items) and bk.sound_version(at) and shown >= prev:
                    show(items, at)
                    serve(now)
            case ("msg", frm, ("pull", v)) if bk.sound_version(v):
                if view and (not is_primary() or opened == view[0]):
                    its = tuple(sorted((k, iv, x) for k, (iv, x) in book.items() if iv > v))
                    out.append(send(frm, "items", view[0], v, shown, its))
            case ("msg", frm, ("get", n, v)) if bk.sound_version(v):
                asks.append((now, frm, n, v))
                serve(now)
            case ("msg", frm, ("op", n, change, op, key)):
                if not is_primary() or not fit:
                    out.append(send(frm, "opr", n, ("elsewhere", view[1] if view else "")))
                elif len(ops) < 256 and not any(o[0] == (frm, n) for o in ops) and not (
                        pend and pend["cid"] == (frm, n)):
                    # asked again while it waits: once is enough. No room: no word, asked again
                    ops.append(((frm, n), change, op, key))
            case ("duties" | "drop" as what, *todo):
                # only what was decided in touch with the backup: a cut-off roll is no ground
                near = fresh is not None and now - fresh <= opt["takeover"]
                if is_primary() and opened == view[0] and near and not ops and not pend:
                    ops.append((None, "", (what, *todo), ""))
        if is_primary() and opened == view[0]:
            begin(now)
