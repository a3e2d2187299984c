"""One daemon of a zone without a core asks for the others there (design 5.7): each change comes into the zone once."""

from collections import deque

from ..control import replicated_state as bk
from ..runtime.effects import IDLE, milliseconds, post, send, to_milliseconds
from .member import ADDR, CORE, ID, STATE, ZONE, fit
from .rendezvous import highest_ranked

KEPT = 1024  # messages of rows that wait for a core to be asked again
FEW = 6  # so many daemons of a zone ask a core themselves


def relay_of_zone(zone, roll):
    """Who asks for this zone, or None."""
    here = [r for r in roll if r[ZONE] == zone]
    if len(here) <= FEW or any(r[CORE] for r in here):
        return None
    return highest_ranked(f"ask/{zone}", [r[ID] for r in here if r[STATE] == "ready"])


def proxy(*, zone, opt):
    """What news has brought here is told on, as a core would; what is told goes to the core that is asked.

    Held asks are answered when the proof of the news is renewed, which happens about once in `ask_wait`: so an
    answer never adds the proxy's own wait to the age of that proof (5.7).
    """
    items, held, fresh, core, spot, asks, out = {}, bk.INITIAL_VERSION, None, "", None, [], []
    mine = ()  # whom it answers: other regions are told other rows
    kept = deque(maxlen=KEPT)  # (when, rows) told while no core is asked
    answer_after, drop_after = opt["ask_wait"] + opt["beat"], opt["ask_wait"] + 2 * opt["beat"]

    def serve(now, renewed=False):
        """Answer held asks that have news, or have been held long enough; none while no core is asked."""
        nonlocal asks
        asks = [a for a in asks if now - a[0] < drop_after]  # given up by those who asked
        if not core:
            return
        age = -((fresh - now) // milliseconds(1)) if fresh is not None else -1  # rounded up: told no younger than it is
        for t, frm, n, v, at in asks[:]:
            if renewed or held > v or now - t >= answer_after or spot not in (None, at):
                asks.remove((t, frm, n, v, at))
                out.append(
                    post("membership", "answer", frm, ("news", n, held, bk.items_since(items, v), age, to_milliseconds(now - t)), at)
                )

    def pass_on(rows):
        out.extend(("peer", r[1], r[3][ADDR]) for r in rows if r[0] == "daemon" and fit(r) and r[3])
        out.append(send(core, "told", rows))

    while True:
        now, ev = yield tuple(out)
        out = []
        match ev:
            case ("pulse",):
                serve(now)
                wait = answer_after if core else drop_after
                out.append(("due", min((a[0] for a in asks), default=IDLE - wait) + wait))
            case ("items", new, v):
                for k, iv, x in new:
                    if iv > items.get(k, (bk.INITIAL_VERSION,))[0]:
                        items[k] = (iv, x)
                for k in bk.pruned_keys(items):
                    del items[k]
                held = max(held, v)
                serve(now)
            case ("fresh", f):
                fresh = f
                if f is not None:
                    serve(now, renewed=True)
            case ("froze",):
                asks.clear()
            case ("core", c, direct):  # who only asks another proxy is none: asks wait until it asks a core again
                core = c if direct else ""
                while core and kept:
                    t, rows = kept.popleft()
                    if now - t < drop_after:
                        pass_on(rows)
            case ("spot", at):
                spot = at
                serve(now)
            case ("roll", r):
                mine = {x[ID] for x in r if x[ZONE] == zone}
            case ("msg", frm, ("get", n, v, at)) if frm in mine:
                asks.append((now, frm, n, v, at))
                serve(now)
            case ("msg", _, ("told", rows)) if core:
                pass_on(rows)
            case ("msg", _, ("told", rows)):
                kept.append((now, rows))
