"""Who lives (design 4): a daemon's record and what else it tells the cores; pulses to its few watchers;
the roll and all soft state as the cores tell them."""

from bisect import bisect

from ..runtime.effects import ZERO, log, milliseconds, post, send, to_milliseconds
from . import replicated_table as soft
from .rendezvous import hash_score
from .replicated_table import CORES, KIND, RANK, VALUE

# record: id, life, inc, number, zone, region, addr, http, core, state, doubts (unused), extra
ID, LIFE, INC, BEAT, ZONE, REGION, ADDR, HTTP, CORE, STATE, DOUBTS, EXTRA = range(12)
TYPES = (str, str, int, int, str, str, str, str, bool, str, tuple, tuple)
STATES = ("joining", "ready", "leaving", "left")
URGENT = ("version", "view")  # extras that do not wait
SECOND = milliseconds(1000)
WAIT = {"news": SECOND, "parts": SECOND, "pace": SECOND / 2}  # a change waits so long, at least (4.5)


PULSE, OVER, ANSWER = range(3)  # an "alive": of many, the last to you, asked for


def record(r):
    return (
        isinstance(r, tuple)
        and len(r) >= len(TYPES)  # a later program may add fields: passed on
        and all(type(v) is t for v, t in zip(r, TYPES))
        and r[STATE] in STATES
        and r[INC] > 0
        and r[BEAT] >= 0
    )


def fit(r):
    """Is a row of the kinds that cores and roster read themselves as it should be? (A tombstone is.)"""
    v = r[VALUE]
    match r[KIND]:
        case "daemon":
            return v is None or record(v) and v[ID] == r[1]
        case "extra":
            return " " in r[1]
        case "doubt":
            return " " in r[1] and (v is None or type(v) is int)
        case "via":
            return v is None or type(v) is str
        case "silent":
            return v is None or type(v) is tuple and len(v) == 2 and type(v[0]) is int and type(v[1]) is str
    return True


def extra(r, k, d=None):
    return next((v for n, v in r[EXTRA] if n == k), d)


def ring(x, ids):
    """The others in the order in which they follow x on a ring of hashes."""
    hs = sorted((hash_score("ring", i), i) for i in ids if i != x)
    at = bisect(hs, (hash_score("ring", x), x))
    return [i for _, i in hs[at:] + hs[:at]]


def watchers(x, recs, n):
    """Who hears the pulses of x (4.2): half of its own zone, half of others, and of two of those if it may be."""
    z = recs[x][ZONE]
    ids = [i for i, r in recs.items() if r[STATE] != "left"]
    near = ring(x, [i for i in ids if recs[i][ZONE] == z])
    far = ring(x, [i for i in ids if recs[i][ZONE] != z])
    if far:
        second = next((i for i in far if recs[i][ZONE] != recs[far[0]][ZONE]), None)
        far = far[:1] + [i for i in [second] if i] + [i for i in far[1:] if i != second]
    k = max(n // 2, n - len(far))
    w = near[:k]
    return tuple(w + far[: n - len(w)])


def differs(k, a, b):
    """Is a changed extra worth telling? Counts and rates: when a fifth off, or off zero (4.5)."""

    def off(x, y):
        if type(x) in (int, float) and type(y) in (int, float):
            return abs(x - y) > 0.2 * max(abs(x), abs(y))
        if type(x) is tuple and type(y) is tuple and len(x) == len(y):
            return any(off(p, q) for p, q in zip(x, y))
        return x != y

    if k == "pace":
        return off(a, b)
    if k == "parts" and type(a) is tuple and type(b) is tuple and len(a) == len(b):
        return any(p[:2] != q[:2] or p[-1:] != q[-1:] or off(p, q) for p, q in zip(a, b))
    return a != b


def roster(*, me, life, place, opt):
    """place = (zone, region, addr, http, core). Events: pulse, msg, extra, state, publish, delta."""
    zone, region, addr, http, core = place
    t = soft.Table()
    teller, moves = soft.Teller(t), 0  # for my zone, should I ask for it (5.7)
    inc, num, state, want, joined = 1, 0, "joining", "ready", False
    mine, sent = {}, {}  # (kind, key) -> (rank, value, scope); what was sent when
    more, lately = {}, {}  # extras wanted; when each was told
    heard, doubted, doubts = {}, {}, 0  # whom I hear pulse, and when; whom I doubt
    mates, at_core, contact, behind = (), "", None, None
    born = last = due = None
    wanted = ZERO  # the next pulse, as told to the hub
    roll, shown, dead, stale, out = (), None, frozenset(), True, []
    old_roll, retold = None, False  # held while a snapshot is awaited; was mine told again?

    def publish(kind, key, rank, value, scope=""):
        mine[kind, key] = (rank, value, scope)
        sent.pop((kind, key), None)

    def present():
        nonlocal num
        num += 1
        publish("daemon", me, (inc, num), (me, life, inc, num, zone, region, addr, http, core, state, (), ()))

    def tell(now, every=False):
        """What my core is not known to hold goes out, again after a while."""
        rows = []
        for k, (rank, value, scope) in list(mine.items()):
            row = t.rows.get(k)
            if not every and row is not None and row[RANK] >= rank and k != ("daemon", me):
                if row[RANK] > rank or value is None:
                    del mine[k]  # outranked by another's, or gone for good
                continue
            if not every and k == ("daemon", me) and row is not None and row[RANK] == rank and row[VALUE] == value:
                continue
            if not every and row is None and scope == CORES and k in sent:
                if value is None and now - sent[k] > opt["gone"]:
                    del mine[k]  # cores tell nobody of these: sent a few times
                if now - sent[k] < opt["gone"] or k[0] == "via":
                    continue
            if every or now - sent.get(k, born - opt["settle"]) >= opt["settle"]:
                sent[k] = now
                rows.append((*k, rank, value, scope))
        if rows and at_core:
            out.append(send(at_core, "told", tuple(rows)))

    def ask_of_me():
        """Whom the cores are to ask after me (4.3)."""
        nonlocal moves
        if at_core and not at_core.startswith("@"):
            moves += 1
            publish("via", me, (inc, moves), at_core, CORES)

    def call():
        """A core that I ask for the first time knows where I am before it is asked."""
        rank, value, scope = mine["daemon", me]
        out.append(send(at_core, "told", (("daemon", me, rank, value, scope),)))

    def extras(now):
        """What changed and may be told now; -> when the rest may."""
        waits = []
        for k, v in more.items():
            was = mine.get(("extra", f"{me} {k}"))
            if was and not differs(k, was[1], v):
                continue
            at = lately.get(k, ZERO) + max(WAIT.get(k, SECOND / 2), len(roll) * SECOND / 20)
            if k in URGENT or was is None or now >= at:
                lately[k] = now
                publish("extra", f"{me} {k}", (inc, was[0][1] + 1 if was and was[0][0] == inc else 1), v)
            else:
                waits.append(at)
        return waits

    def outrank(rank):
        """A row of mine of this incarnation or a later one is not what I say now: I take a higher one."""
        nonlocal inc
        if rank[0] >= inc:
            inc = rank[0] + 1
            lately.clear()
            for k in [k for k in mine if k[0] in ("extra", "doubt")]:
                del mine[k]
            present()
            ask_of_me()

    def begin_anew(frm):
        """The table is to be told whole; until then the roll is held."""
        nonlocal old_roll, behind, t, stale, teller
        old_roll, behind, t, stale = roll, None, soft.Table(), True
        teller = soft.Teller(t)
        out.append(log("table-anew", core=frm))

    def take(now, frm, d):
        """A core's answer (4.3)."""
        nonlocal contact, behind, dead, stale, joined, state, old_roll, at_core, retold
        was, contact = contact, now
        if was is not None and now - was > opt["forget"]:  # tombstones of that time are gone: no delta brings them
            begin_anew(frm)
            outrank((inc,))  # and some may still hold one of mine
            return None
        if len(d) < 4:
            return None if d else True
        token, vec, rows, dead_ = d[0], dict(d[1]), d[2], d[3]
        kinds = {}
        for r in t.merge([r for r in rows if fit(r)], now):
            if r[KIND] in ("daemon", "extra"):
                stale = True
                if r[KIND] == "daemon" and record(r[VALUE]) and r[1] != me:
                    out.append(("peer", r[1], r[VALUE][ADDR]))
            else:
                kinds.setdefault(r[KIND], {})[r[1]] = (r[RANK], r[VALUE])
        for kind, got in kinds.items():
            out.append(("cast", ("told", kind, got)))
        own = t.rows.get(("daemon", me))
        if own and (own[VALUE] is None or own[VALUE][LIFE] != life):
            outrank(own[RANK])
        if me in dead_ and not at_core.startswith("@"):
            ask_of_me()  # perhaps they ask the wrong one after me
        dead, stale = frozenset(dead_), stale or frozenset(dead_) != dead
        if soft.covers(vec, {o: n for o, n in t.vec.items() if t.log.get(o)}):
            t.vec, behind, old_roll, retold = vec, None, None, False
            if not core:
                out.append(post("zone_relay", "spot", teller.move(dead_)))
            if not joined and own and own[VALUE] and own[VALUE][LIFE] == life:
                joined, state = True, want
                present()
            return token
        if behind is None:  # it stands behind me: what is mine it hears again
            behind = now
        elif not retold and now - behind >= opt["beat"] / 2:
            at_core, retold = frm, True
            tell(now, True)
        elif now - behind > opt["takeover"]:  # for good: it began anew, and so does this
            begin_anew(frm)
        return None

    def show(now):
        """The roll: what the cores hold for live; without them, whom I hear myself."""
        nonlocal roll, shown, stale, mates
        cut = contact is None or now - contact > opt["gone"]
        if not stale and shown == cut and not cut:
            return
        shown, stale = cut, False
        ex = {}
        for k, r in t.rows.items():
            if k[0] == "extra" and r[VALUE] is not None:
                i, n = k[1].split(" ", 1)
                ex.setdefault(i, []).append((n, r[VALUE]))
        ex[me] = list({**dict(ex.get(me, ())), **more}.items())
        own = mine["daemon", me][1]
        rs = {k[1]: r[VALUE] for k, r in t.rows.items() if k[0] == "daemon" and record(r[VALUE])}
        rs = {
            i: r
            for i, r in rs.items()
            if i not in dead and r[STATE] != "left" and (not cut or now - heard.get(i, born - opt["gone"]) < opt["gone"])
        }
        if own[STATE] != "left":
            rs[me] = own
        new = tuple(sorted((*r[:EXTRA], tuple(sorted(ex.get(i, ()), key=lambda e: e[0])), *r[EXTRA + 1 :]) for i, r in rs.items()))
        if new != roll and old_roll is None:
            was, names = {x[ID] for x in roll}, {x[ID] for x in new}
            out.extend(log("daemon-live", daemon=i) for i in sorted(names - was))
            out.extend(log("daemon-dead", daemon=i) for i in sorted(was - names))
            roll = new
            out.append(("cast", ("roll", roll)))

    def beat(now):
        """Pulses to my watchers (4.2)."""
        nonlocal mates
        live = {r[ID]: r for r in roll}
        w = watchers(me, live, opt["watch"]) if me in live else ()
        out.extend(send(i, "alive", inc, OVER) for i in mates if i not in w)
        mates = w
        out.extend(send(i, "alive", inc, PULSE) for i in w)
        for i in [i for i in heard if i not in live and now - heard[i] > opt["gone"] * 2]:
            del heard[i]
        for i in [i for i in doubted if t.rows.get(("daemon", i), (None,) * 7)[VALUE] is None]:
            del doubted[i]  # forgotten: the cores drop what was said of it
            mine.pop(("doubt", f"{i} {me}"), None)

    def listen(now):
        """Those whose pulses ceased are doubted."""
        for i in [i for i, at in heard.items() if now - at > opt["doubt"]]:
            r = t.rows.get(("daemon", i))
            if r and record(r[VALUE]) and r[VALUE][STATE] != "left" and doubted.get(i) != r[VALUE][INC]:
                doubt(i, r[VALUE][INC])

    def doubt(i, n):
        nonlocal doubts
        doubts += 1
        publish("doubt", f"{i} {me}", (inc, doubts), n, CORES)
        doubted.pop(i, None)
        if n is not None:
            doubted[i] = n

    while True:
        now, ev = yield tuple(out)
        out = []
        if born is None:
            born = due = last = now
            present()
        match ev:
            case ("pulse",):
                if now - max(last, wanted) > opt["late"]:  # frozen: distrust what was held (4.4)
                    out += [log("frozen", late_ms=to_milliseconds(now - last)), ("cast", ("froze",))]
                    heard.update(dict.fromkeys(heard, now))
                    if now - last <= opt["forget"]:
                        contact = contact and now
                last = now
                waits = extras(now)
                listen(now)
                if now >= due:
                    due = now + opt["watch_beat"]
                    beat(now)
                    tell(now)
                    t.bury(now, opt["forget"])
                elif any(k not in sent for k in mine):
                    tell(now)
                show(now)
                wanted = min([due, *waits, *(at + opt["doubt"] for i, at in heard.items() if i not in doubted)])
                out.append(("due", wanted))
            case ("msg", frm, ("alive", _, what)):
                out.append(post("core_table", "msg", frm, ("alive",)))
                if what == OVER:
                    heard.pop(frm, None)
                elif what == PULSE or frm in heard:
                    heard[frm] = now
                if frm in doubted:
                    doubt(frm, None)
            case ("msg", frm, ("doubted",)):
                out.append(send(frm, "alive", inc, ANSWER))
            case ("core", c):  # whom news asks from here on
                if c != at_core:
                    at_core = c
                    call()
                    ask_of_me()
            case ("delta", frm, d):
                got = take(now, frm, d)
                if got is not True:
                    out.append(post("updater", "at", soft.pairs(t.vec) if got is None else got))
                else:
                    out.append(post("updater", "at", None))
                show(now)
                if any(k not in sent for k in mine):
                    tell(now)
            case ("answer", frm, body, at):
                out.append(send(frm, *body, teller.answer(frm, at)))
            case ("extra", k, v):
                more[k] = v
            case ("publish", kind, key, rank, value, *scope):
                if value is not None or core or (kind, key) in mine:
                    publish(kind, key, rank, value, *scope)
            case ("state", s):
                want = s
                if joined or s in ("leaving", "left"):
                    state = s
                    present()
                    tell(now)
                    stale = True
                    show(now)
