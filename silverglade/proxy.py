"""One daemon of a zone without a core asks for the others there (design 5.7): each change comes into the zone once."""

from .control import book as bk
from .part import IDLE, ms, post, send
from .rank import first
from .roster import ADDR, CORE, ID, STATE, ZONE, fit

FEW = 6  # so many daemons of a zone ask a core themselves


def proxy_of(zone, roll):
    """Who asks for this zone, or None."""
    here = [r for r in roll if r[ZONE] == zone]
    if len(here) <= FEW or any(r[CORE] for r in here):
        return None
    return first(f"ask/{zone}", [r[ID] for r in here if r[STATE] == "ready"])


def proxy(*, zone, opt):
    """What news has brought here is told on, as a core would; what is told goes to the core that is asked."""
    items, held, fresh, core, spot, asks, out = {}, bk.START, None, "", None, [], []
    mine = ()  # whom it answers: other regions are told other rows

    def serve(now):
        age = ms(now - fresh) if fresh is not None else -1
        for t, frm, n, v, at in asks[:]:
            if held > v or now - t >= opt["ask_wait"] or spot not in (None, at):
                asks.remove((t, frm, n, v, at))
                out.append(post("roster", "answer", frm, ("news", n, held, bk.since(items, v), age, ms(now - t)), at))

    while True:
        now, ev = yield tuple(out)
        out = []
        match ev:
            case ("pulse",):
                serve(now)
                out.append(("due", min((a[0] for a in asks), default=IDLE - opt["ask_wait"]) + opt["ask_wait"]))
            case ("items", new, v):
                for k, iv, x in new:
                    if iv > items.get(k, (bk.START,))[0]:
                        items[k] = (iv, x)
                for k in bk.pruned(items):
                    del items[k]
                held = max(held, v)
                serve(now)
            case ("fresh", f):
                fresh = f
            case ("froze",):
                asks.clear()
            case ("core", c, direct):  # who only asks another proxy is none
                core = c if direct else ""
                if not core:
                    asks.clear()
            case ("spot", at):
                spot = at
                serve(now)
            case ("roll", r):
                mine = {x[ID] for x in r if x[ZONE] == zone}
            case ("msg", frm, ("get", n, v, at)) if core and frm in mine:
                asks.append((now, frm, n, v, at))
                serve(now)
            case ("msg", frm, ("told", rows)) if core:
                out += [("peer", r[1], r[3][ADDR]) for r in rows if r[0] == "daemon" and fit(r) and r[3]]
                out.append(send(core, "told", rows))
