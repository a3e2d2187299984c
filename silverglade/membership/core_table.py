"""A core's table of soft state (design 4): takes what daemons tell, agrees with the other cores by
deltas, works out who is dead, and answers askers with what changed since they asked last."""

from ..runtime.effects import ZERO, milliseconds, send
from . import replicated_table as soft
from .member import ADDR, CORE, INC, LIFE, STATE, fit, watchers
from .replicated_table import CORES, KEY, KIND, RANK, SCOPE, VALUE

PATIENCE = milliseconds(2)  # for each daemon of the fleet


def table(*, me, life, addr, seeds, opt):
    """Casts ("spot", token): where the table stands; control holds asks that stand there.

    Of each core it keeps what that said it holds, and the number of my rows sent to it last.
    """
    t = soft.Table(life=life)
    born = last = due = None
    spot, stirred, pressing, moved, out = None, False, False, ZERO, []
    teller = soft.Teller(t)
    peers, met = {}, False  # core -> dict(at, told, sent, when)
    asked, probed, alive = {}, {}, {}  # daemon -> when: it asked here; doubt known; answered a probe
    dead, mourned, shown, greeted = {}, {}, (), None

    def recs():
        return {k[1]: r[VALUE] for k, r in t.rows.items() if k[0] == "daemon" and r[VALUE] is not None}

    def put(kind, key, rank, value, scope, now):
        nonlocal stirred, pressing
        if t.take((kind, key, rank, value, scope), now):
            stirred = pressing = True

    def silent(x, v, now):
        r = t.rows.get(("silent", x))
        put("silent", x, ((r[RANK][0] if r else 0) + 1,), v, CORES, now)

    def noted(rows, now):
        """Addresses and doubts among new rows; what must not wait."""
        nonlocal pressing
        for r in rows:
            pressing |= r[KIND] not in ("extra", "status") or r[KEY].endswith(" view")
            if r[KIND] == "daemon" and r[VALUE] is not None:
                out.append(("peer", r[KEY], r[VALUE][ADDR]))
            elif r[KIND] == "doubt" and r[VALUE] is not None:
                i = r[KEY].split(" ")[0]
                probed.setdefault(i, now)
                out.append(send(i, "doubted"))

    def deaths(now, all_):
        """Two watchers agree, or all if fewer; or its core has not heard it, or nobody its core (4.3)."""
        live = {i: r for i, r in all_.items() if r[STATE] != "left"}
        votes, via, mute = {}, t.of("via"), t.of("silent")
        for k, r in t.rows.items():
            if k[0] == "doubt" and r[VALUE] is not None:
                x, w = k[1].split(" ", 1)
                if x in live and r[VALUE] == live[x][INC] and w in live and live[w][INC] == r[RANK][0]:
                    votes.setdefault(x, set()).add(w)
        up = {i: r for i, r in live.items() if i not in dead}
        new = {}
        for x in live:
            if x == me:
                continue
            c = via[x][VALUE] if x in via else None
            heard = max(asked.get(x, born), alive.get(x, born))
            if c not in (None, me) and c in live:
                if live[c][CORE]:
                    heard = max(heard, peers[c]["at"] if c in peers else born)
                else:  # a proxy of its zone: as long as that lives
                    heard = max(heard, mourned.get(c, now))
            if now - heard > opt["gone"]:
                new[x] = "silent"
                if c == me and (x not in mute or mute[x][VALUE] != (live[x][INC], me)):
                    silent(x, (live[x][INC], me), now)
            elif c != me and x in mute and mute[x][VALUE] == (live[x][INC], c):
                new[x] = "silent"  # says the core that it asked
        for x, ws in votes.items():
            ws &= set(watchers(x, {**up, x: live[x]}, opt["watch"]))
            n = len(watchers(x, {**up, x: live[x]}, opt["watch"]))
            if x != me and ws and len(ws) >= min(2, n) and now - probed.get(x, now) > opt["settle"] / 3 and alive.get(x, born) < probed[x]:
                new[x] = "doubted"
        for x in [x for x in probed if x not in votes]:
            del probed[x]
        return new

    def watch(now, all_):
        for x in probed:  # doubted: asked directly, twice a second
            out.append(send(x, "doubted"))
        for x in [x for x, at in alive.items() if x in probed and now - at < opt["doubt"]]:
            probed[x] = now  # it answers here: only a link of its watchers' is down
        mourned.update({x: now for x in dead if x not in mourned})
        for x in [x for x in mourned if x not in dead and all_.get(x, ("",) * 12)[STATE] != "left"]:
            del mourned[x]
        for x, r in all_.items():
            if r[STATE] == "left":
                mourned.setdefault(x, now)
        for x in [x for x, at in mourned.items() if now - at > opt["forget"]]:
            bury(x, now)
        for x in [x for x in (*asked, *alive) if x not in all_]:
            asked.pop(x, None), alive.pop(x, None)
        for k in [k for k, r in t.rows.items() if k[0] == "doubt" and r[VALUE] is not None]:
            x, w = k[1].split(" ", 1)
            if x not in all_ or w not in all_:  # nobody is left to take it back
                put("doubt", k[1], (*t.rows[k][RANK], 1)[:4], None, CORES, now)

    def bury(x, now):
        """One gone for long leaves tombstones, and later nothing."""
        del mourned[x]
        for k, r in list(t.rows.items()):
            if r[VALUE] is not None and (
                k in (("daemon", x), ("via", x), ("silent", x))
                or k[0] == "extra"
                and k[1].split(" ")[0] == x
                or k[0] == "suspect"
                and k[1].split(" ")[-1] == x
            ):
                put(*k, (*r[RANK], 1)[:4], None, r[SCOPE], now)

    def base(c, now):
        """What the other core holds: its own word, and what was sent to it a moment ago."""
        p = peers[c]
        b = dict(p["told"])
        if now - p["when"] < opt["ask_wait"] * 1.5:
            b[life] = max(b.get(life, 0), p["sent"])
        return b

    def sync(c, now):
        """Where this table stands, with all that the other core lacks as far as is known."""
        b = base(c, now)
        out.append(send(c, "sync", 1, soft.pairs(t.vec), soft.pairs(soft.short(b, t.vec)), t.since(b)))

    def push(c, now):
        """What was taken here first goes to each core at once; the rest they have from where it was (4.3)."""
        n, b = t.vec.get(life, 0), base(c, now).get(life, 0)
        if n > b:
            peers[c].update(sent=n, when=now)
            out.append(send(c, "sync", 0, ((life, n),), ((life, b),), t.since({**t.vec, life: b})))

    def move(now):
        """The table has changed: the other cores get what they lack, askers their answers."""
        nonlocal spot, stirred, pressing, shown, moved
        if not met and now - born <= opt["takeover"]:
            return
        d = tuple(sorted(dead))
        if not stirred and d == shown and spot is not None:
            return
        if not pressing and d == shown and spot is not None and now - moved < len(t.of("daemon")) * PATIENCE:
            return  # counts and rates of a large fleet come together (4.5)
        if stirred:
            for c in sorted(peers):
                if c in recs() and c not in dead:
                    push(c, now)
        stirred, pressing, shown, moved = False, False, d, now
        spot = teller.move(shown)
        out.append(("cast", ("spot", spot)))

    while True:
        now, ev = yield tuple(out)
        out = []
        if born is None:
            born = last = due = now
        match ev:
            case ("pulse",):
                if now - max(last, due) > opt["late"]:  # frozen: what was not heard says nothing
                    born = now
                    for d in (asked, alive, probed):
                        d.update(dict.fromkeys(d, now))
                    for p in peers.values():
                        p["at"] = now
                last = now
                if now >= due:
                    due = now + opt["watch_beat"]
                    all_ = recs()
                    dead = deaths(now, all_)
                    watch(now, all_)
                    here = {r[ADDR] for i, r in all_.items() if i not in dead}
                    cores = {i for i, r in all_.items() if r[CORE] and i != me and r[STATE] != "left"}
                    for c in [c for c in peers if c not in cores]:
                        del peers[c]
                    for c in sorted(cores - dead.keys()):
                        peers.setdefault(c, dict(at=now, told={}, sent=0, when=ZERO))
                    if greeted is None and ("daemon", me) in t.rows or greeted is not None and now >= greeted:
                        greeted = now + opt["ask_wait"]
                        t.bury(now, opt["forget"])
                        t.prune({r[LIFE] for r in all_.values()})
                        for c in sorted(peers):
                            sync(c, now)
                        mine = t.rows.get(("daemon", me))
                        if mine:  # sides that began apart find each other by their seeds
                            for s in seeds:
                                if s != addr and s not in here:
                                    out.append(send("@" + s, "told", (mine[:5],)))
                                    out.append(send("@" + s, "sync", 1, soft.pairs(t.vec), (), ()))
                elif probed:
                    dead = deaths(now, recs())
                move(now)
                if not probed and not stirred:
                    out.append(("due", due))
            case ("msg", frm, ("told", rows)):
                new = [r for r in rows if fit(r) and t.take(r[:5], now)]
                stirred |= bool(new)
                noted(new, now)
            case ("msg", frm, ("sync", all_, vec, lacks, rows)):
                new = t.merge([r for r in rows if fit(r)], now)
                vec, lacks = dict(vec), dict(lacks)
                stirred |= bool(new)
                noted(new, now)
                if frm not in peers:
                    peers[frm] = dict(at=now, told={}, sent=0, when=ZERO)
                p = peers[frm]
                p.update(at=now, told=vec if all_ else {**p["told"], **vec})
                if all_ and vec.get(life, 0) < p["sent"]:
                    p["sent"] = 0  # its own word goes before what was sent to it
                if soft.covers(t.vec, {**vec, **lacks}):
                    stirred |= not soft.covers(t.vec, vec)
                    t.adopt(vec)
                    met = True
                    if all_ and any(vec.get(o, 0) < n for o, n in t.vec.items() if o != life or now - p["when"] > opt["settle"]):
                        sync(frm, now)  # it lacks what nobody will push to it
                else:  # it takes me to hold more: this is where I stand
                    sync(frm, now)
            case ("msg", frm, ("alive", *_)):
                alive[frm] = now
            case ("seeds", s):
                seeds = s
            case ("asked", frm):
                asked[frm] = now
                if t.rows.get(("silent", frm), (None,) * 7)[VALUE] is not None:
                    silent(frm, None, now)
            case ("answer", frm, body, pos):
                out.append(send(frm, *body, teller.answer(frm, pos)))
