"""How a daemon learns what control holds (design 5.7): it asks with the version held."""

from ..control import replicated_state as bk
from ..membership.zone_relay import relay_of_zone
from ..runtime.effects import ZERO, log, milliseconds, send, to_milliseconds

ASKS_KEPT = 8


def before(version):
    """The version just before one that was acknowledged."""
    epoch, number = version
    return (epoch, number - 1) if number else version


def news(*, me, zone, region, core, addr, seeds, opt, rng):
    """Casts ("book", book, version) and ("fresh", time of the last confirmed news).

    The cores are those of the roll; while there is none to ask, the seeds. What an answer says of
    soft state is the roster's, which then says where it stands (4.3).
    """
    book, held, fresh = {}, bk.INITIAL_VERSION, None
    roll, pend, out, bad = (), None, [], {}
    born, sure = None, False  # sure: news was proved newer than this life (5.7)
    unproved_since = None  # when the first answer of this life came
    at, last, due, turn = (), None, ZERO, rng.randrange(len(seeds) or 1)
    asks = {}  # number -> (when, position) of those without an answer: over a slow link one may come late
    unproved_from, gap = None, opt["hedge_gap"]  # since when there is no proof at all; until the next core is asked besides
    transit = ZERO  # how long the last answer was on its way: over a slow link no more is asked for meanwhile

    def near(now):
        """The nearest core that nothing speaks against; else the one that may be tried again first."""
        nonlocal turn
        z = {r[0]: (r[4], r[5]) for r in roll if r[8]}
        if core:
            z[me] = (zone, region)
        p = relay_of_zone(zone, roll)
        if p not in (None, me) and bad.get(p, ZERO) <= now:
            return p
        c = min(
            z,
            default=None,
            key=lambda c: (max(bad.get(c, ZERO), now), c != me, z[c][0] != zone, z[c][1] != region, c != last, rng.random()),
        )
        others = [s for s in seeds if s != addr]
        if others and (c is None or bad.get(c, ZERO) > now):
            turn += 1
            return "@" + others[turn % len(others)]
        return c

    def overdue():
        """When another core is asked besides the one that has not answered: the proof that is held has grown old."""
        return max((unproved_from if fresh is None else fresh) + opt["hedge_after"], pend[2] + max(gap, 2 * transit))

    def hedge(now):
        """Ask another core, which answers at once; the one that was asked may be behind, cut off or silent."""
        nonlocal gap
        silent = now - pend[2] > opt["ask_wait"] + opt["beat"] * 2
        bad[pend[1]] = now + opt["gone" if silent else "settle"]
        if not silent:
            out.append(log("news-overdue", core=pend[1], age_ms=to_milliseconds(now - fresh) if fresh is not None else -1))
        gap = min(gap * 2, opt["ask_wait"] + opt["beat"] * 2)
        ask(now, urgent=True)

    def give_up_at():
        """When the core that was asked is passed over for another."""
        return min(pend[2] + opt["ask_wait"] + opt["beat"] * 2, overdue())

    def ask(now, urgent=False):
        """urgent: as one who lacks the last change, so that a core which has it does not hold the request."""
        nonlocal pend, last
        c = near(now)
        if c is None:
            return
        pend = (rng.getrandbits(48), c, now)
        asks[pend[0]] = (now, at)
        while len(asks) > ASKS_KEPT:
            asks.pop(next(iter(asks)))
        if c != last:  # it hears who I am first
            last = c
            out.append(("post", "membership", ("core", c)))
            out.append(("post", "zone_relay", ("core", c, any(r[0] == c and r[8] for r in roll))))
        out.append(("post", "updater", ("go", c, pend[0], before(held) if urgent else held)))

    while True:
        now, ev = yield tuple(out)
        out = []
        born, unproved_from = born or now, unproved_from or now
        match ev:
            case ("pulse",):
                if pend is None and now >= due:
                    ask(now)
                elif pend and now > give_up_at():
                    hedge(now)
                out.append(("due", give_up_at() if pend else max(due, now)))
            case ("roll", r):
                roll = r
            case ("seeds", s):  # the settings were read again: those of before are asked no more
                seeds = s
                bad = {c: t for c, t in bad.items() if not c.startswith("@")}
            case ("go", c, n, version):
                out.append(send(c, "get", n, version, at))
            case ("at", pos):
                at = at if pos is None else pos
                if pend is None and now >= due:
                    if type(at) is tuple:  # not agreed yet: not in a hurry
                        due = now + opt["beat"] / 2
                    else:
                        ask(now)
            case ("froze",):
                fresh, unproved_from = None, now
                out.append(("cast", ("fresh", None)))
                ask(now)
            case ("msg", frm, ("news", n, v, items, age, held_ms, delta)) if n in asks:
                asked, asked_at = asks.pop(n)
                transit = max(ZERO, now - asked - milliseconds(held_ms))
                late = not pend or n != pend[0]
                if not late:
                    pend = None
                if asked_at == at:  # a late delta may begin where the roster stands no more
                    out.append(("post", "membership", ("delta", frm, delta)))  # it says where it stands; then I ask on
                if v < held and late:  # newer news came meanwhile
                    continue
                if v < held:
                    out.append(log("news-older", core=frm, held=held, told=v))
                    bad[frm] = now + opt["settle"]
                    continue
                f = asked + milliseconds(min(held_ms, to_milliseconds(now - asked))) - milliseconds(age)
                aged = age < 0 or age > to_milliseconds(opt["aged"])  # perhaps another's proof is newer
                unproved_since = unproved_since or now
                if opt["trust"]:  # a core with an old proof was cut off: others are asked first; one without any began anew
                    sure = sure or age <= to_milliseconds(opt["aged"]) or now - unproved_since >= opt["settle"]
                else:  # an earlier life may have held newer: wait for proof
                    sure = sure or age >= 0 and f >= born
                if not sure:
                    due = now + (opt["beat"] if opt["trust"] else opt["pulse"])
                    if aged:
                        bad[frm] = now + opt["settle"]
                    continue
                new = [i for i in items if i[1] > book.get(i[0], (bk.INITIAL_VERSION,))[0]]
                if new or v > held:
                    book = {
                        k: v for k, v in {**book, **{k: (iv, x) for k, iv, x in new}}.items() if v[1] is not None
                    }  # a duty dropped is none here
                    held = max(held, v)
                    out += [
                        ("cast", ("book", book, held)),
                        ("post", "zone_relay", ("items", items, held)),
                        ("post", "membership", ("extra", "news", held)),
                    ]
                    if any(k == "config" or k.startswith("evac/") for k, _, _ in new):
                        out.append(log("news", version=f"{held[0]}.{held[1]}", keys=",".join(k for k, _, _ in new)[:200]))
                if age >= 0 and (fresh is None or f > fresh):
                    fresh, gap = f, opt["hedge_gap"]
                    out.append(("cast", ("fresh", fresh)))
                if aged:
                    bad[frm] = now + opt["settle"]
