"""Who lives (design 4): monotone records along rendezvous watch edges."""
from .part import log, ms, send
from .rank import score

# record: id, life, inc, beat, zone, region, addr, http, core, state, doubts, extra
ID, LIFE, INC, BEAT, ZONE, REGION, ADDR, HTTP, CORE, STATE, DOUBTS, EXTRA = range(12)
FIELD = {"INC": INC, "BEAT": BEAT, "STATE": STATE, "DOUBTS": DOUBTS, "EXTRA": EXTRA}
TYPES = (str, str, int, int, str, str, str, str, bool, str, tuple, tuple)
STATES = ("joining", "ready", "leaving", "left")


def sound(r):
    return (isinstance(r, tuple) and len(r) >= len(TYPES)      # a later program may add fields: passed on
            and all(type(v) is t for v, t in zip(r, TYPES))
            and r[STATE] in STATES and r[INC] > 0 and r[BEAT] >= 0
            and all(isinstance(d, tuple) and len(d) == 2 and isinstance(d[0], str)
                    and type(d[1]) is int for d in r[DOUBTS])
            and all(isinstance(e, tuple) and len(e) == 2 and isinstance(e[0], str)
                    for e in r[EXTRA]))


def newer(a, b):
    """Is a newer than b? Order by incarnation, then beat (design 4.1)."""
    return b is None or (a[INC], a[BEAT]) > (b[INC], b[BEAT])


def extra(r, k, d=None):
    return next((v for n, v in r[EXTRA] if n == k), d)


def watched(me, recs, n):
    """About n others by rendezvous, one at least in another zone (design 4.2)."""
    ids = [i for i, r in recs.items() if i != me and r[STATE] != "left"]
    order = sorted(ids, key=lambda i: score(me, i), reverse=True)
    w = order[:n]
    z = recs[me][ZONE]
    if w and all(recs[i][ZONE] == z for i in w):
        far = [i for i in order[n:] if recs[i][ZONE] != z]
        w = w[:-1] + far[:1] if far else w
    return tuple(w)


def dead_set(me, recs, n, age, gone):
    """Two watchers agree where there are two (design 4.3); silence from all settles it."""
    live = {i for i, r in recs.items() if r[STATE] != "left"}
    quiet = {i for i in live if i != me and age(i) > gone}
    watch = {i: watched(i, recs, n) for i in live - quiet}
    dead = set(quiet)
    for x in live - quiet - {me}:
        ws = [w for w in watch if w != x and x in watch[w]]
        votes = sum((x, recs[x][INC]) in recs[w][DOUBTS] for w in ws)
        if ws and votes >= min(2, len(ws)):
            dead.add(x)
    return dead


def roster(*, me, life, place, seeds, opt):
    """place = (zone, region, addr, http, core). Events: pulse, msg, extra, state."""
    zone, region, addr, http, core = place
    mine = (me, life, 1, 0, zone, region, addr, http, core, "joining", (), ())
    recs, seen, heard = {me: mine}, {}, {}
    due, born, last, roll, joined = None, None, None, None, False
    more, state, out = {}, "ready", []

    def put(**kw):
        r = list(recs[me])
        for k, v in kw.items():
            r[FIELD[k]] = v
        recs[me] = tuple(r)

    def take(rs, now):
        fresh = False
        for r in rs if isinstance(rs, tuple) else ():
            if type(r) is tuple and len(r) >= len(TYPES) and type(r[ID]) is str and r[ID] != me:
                old = recs.get(r[ID])            # most are known already: look no further
                if old and r[INC] == old[INC] and type(r[BEAT]) is int and r[BEAT] <= old[BEAT]:
                    continue
            if not sound(r):
                out.append(log("bad-record", record=str(r)[:80]))
                continue
            i = r[ID]
            if i == me:
                if r[LIFE] != life and r[INC] >= recs[me][INC]:
                    put(INC=r[INC] + 1)          # an earlier life of mine: outrank it
                    fresh = True
                continue
            if newer(r, recs.get(i)):
                old = recs.get(i)
                fresh |= (old is None or old[INC] != r[INC] or old[STATE] != r[STATE]
                          or old[DOUBTS] != r[DOUBTS])
                if old is None or old[INC] != r[INC]:
                    heard[i] = now
                if old is None or old[ADDR] != r[ADDR]:
                    out.append(("peer", i, r[ADDR]))
                recs[i], seen[i] = r, now
        return fresh

    def doubts(now):
        d = tuple(sorted((i, recs[i][INC]) for i in watched(me, recs, opt["watch"])
                         if now - heard.get(i, now) > opt["doubt"]))
        if any((me, recs[me][INC]) in r[DOUBTS] for r in recs.values()):
            put(INC=recs[me][INC] + 1)           # refute
        return d

    def publish(now):
        nonlocal roll
        dead = dead_set(me, recs, opt["watch"], lambda i: now - seen.get(i, now), opt["gone"])
        r = tuple(sorted(r for i, r in recs.items() if i not in dead and r[STATE] != "left"))
        if r != roll:
            was = {x[ID] for x in roll or ()}
            names = {x[ID] for x in r}
            for i in sorted(names - was):
                out.append(log("daemon-live", daemon=i))
            for i in sorted(was - names):
                out.append(log("daemon-dead", daemon=i))
            roll = r
            out.append(("cast", ("roll", roll)))

    def edges():
        w = watched(me, recs, opt["watch"])
        return w + tuple(i for i in recs if i not in w and i != me and recs[i][STATE] != "left"
                         and me in watched(i, recs, opt["watch"]))

    while True:
        now, ev = yield tuple(out)
        out = []
        if born is None:
            born = due = last = now
        match ev:
            case ("pulse",):
                if now - last > opt["late"]:     # frozen: distrust what was held (4.4)
                    out += [log("frozen", late_ms=ms(now - last)), ("cast", ("froze",))]
                    for i in recs:
                        seen[i] = heard[i] = now
                last = now
                if now >= due:
                    due = now + opt["beat"]
                    put(BEAT=recs[me][BEAT] + 1, DOUBTS=doubts(now), EXTRA=tuple(sorted(more.items())),
                        STATE=state if joined else "joining")
                    all_ = tuple(recs.values())
                    w = watched(me, recs, opt["watch"])
                    out += [send(i, "ping", ms(now), all_) for i in w]
                    if not joined or len(recs) < 2 or all(now - heard.get(i, born) > opt["doubt"] for i in w):
                        out += [send("@" + s, "ping", ms(now), all_) for s in seeds if s != addr]
                        if now - born > opt["takeover"]:
                            joined = True        # alone from the start: its own roll
                    publish(now)
                    here = {r[ADDR] for r in roll}
                    if recs[me][BEAT] % 4 == 0:  # sides that began apart find each other by their seeds
                        out += [send("@" + s, "ping", ms(now), all_) for s in seeds if s != addr and s not in here]
            case ("msg", frm, ("ping", t, rs)):
                if take(rs, now):
                    publish(now)
                out.append(send(frm, "pong", t, tuple(recs.values())))
            case ("msg", frm, ("pong", _, rs)):
                heard[frm], joined = now, True
                if take(rs, now):
                    publish(now)
            case ("msg", frm, ("bye", r)):
                if take((r,), now):
                    publish(now)
                    out += [send(i, "bye", r) for i in edges() if i != frm]
            case ("extra", k, v):
                more[k] = v
            case ("state", s):
                state = s
                put(BEAT=recs[me][BEAT] + 1, STATE=s)
                publish(now)
                out += [send(i, "bye", recs[me]) for i in edges()]
