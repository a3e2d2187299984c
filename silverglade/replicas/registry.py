"""What replicas declared and what probes found (design 7.1), known to every daemon.

record: id, incarnation, beat, address, zone, kind, homes, prefixes, slots, leaving
status: id, incarnation, ledger epoch, number, state, use, served, running, cap, used
Both merge monotonically and travel along the roster's edges.
"""
from .. import check as c
from ..control import book as bk
from ..part import ZERO, log, send

RID, INC, BEAT, ADDR, ZONE, KIND, HOMES, PREFIXES, SLOTS, LEAVING = range(10)
S_RID, S_INC, S_EPOCH, S_NUM, S_STATE, S_USE, S_SERVED, S_RUNNING, S_CAP, S_USED = range(10)
REC = (str, int, int, str, str, str, tuple, tuple, int, bool)
STAT = (str, int, int, int, str, float, float, int, int, int)

ANNOTATIONS = c.table({
    "incarnation": c.whole(least=1),
    "address": c.address(),
    "zone": c.text(),
    "kind": c.text(default="model"),
    "homes": c.each(c.text(), least=1, unique=True),
    "prefixes": c.each(c.text(), default=(), unique=True),
    "slots": c.whole(least=1, most=1024),
})


def sound(r, types):
    return isinstance(r, tuple) and len(r) >= len(types) and all(
        type(v) is t for v, t in zip(r, types))


def left(r):
    """The record of a replica that leaves; what a later program added stays."""
    return r[:LEAVING] + (True, *r[LEAVING + 1:])


def partners(me, others, turn):
    """Whom to tell on this turn (design 7.1): on a ring of the live, 1, 2, 4, ... places on.

    Everyone tells somebody else each time, and in log2 of their number of turns all is known
    to all.
    """
    if not others:
        return ()
    ring = sorted((me, *others))
    n = len(ring)
    at, steps = ring.index(me), max(1, (n - 1).bit_length())
    return tuple(dict.fromkeys(ring[(at + 2 ** ((turn + i) % steps)) % n] for i in (0, 1)
                               if 2 ** ((turn + i) % steps) % n))


def registry(*, me, opt):
    """Casts ("replicas", {id: (record, status or None, when heard)})."""
    recs, stats, heard, marks = {}, {}, {}, {}   # marks: id -> newest incarnation known to leave
    fresh, gone = {}, {}                         # id -> when its record last went forward; who was forgotten
    edges, due, last, out, dirty, turn, zones, clock = (), ZERO, None, [], False, 0, set(), ZERO
    seen = ZERO

    def put(r):
        """Newer by incarnation, then beat; leaving is never taken back in a life."""
        old = recs.get(r[RID])
        if r[RID] in gone:
            if r[INC:ADDR] <= gone[r[RID]][0]:
                return False                     # forgotten here; somebody else has not yet
            if r[INC] == gone[r[RID]][0][0] and gone[r[RID]][2]:
                marks[r[RID]] = r[INC]           # leaving is not taken back by being forgotten
            del gone[r[RID]]
        if old is None or r[INC:ADDR] > old[INC:ADDR]:
            fresh[r[RID]] = clock
        if marks.get(r[RID], 0) >= r[INC]:
            r = left(r)                          # it was marked before it was known here
        if old and r[INC] == old[INC] and (r[LEAVING] or old[LEAVING]):
            r = left(r)
            old_ = left(old)
            if r[BEAT] <= old[BEAT] and old_ != old:
                recs[r[RID]] = old_
                return True
        if old and (r[INC], r[BEAT]) <= (old[INC], old[BEAT]):
            return False
        recs[r[RID]] = r
        return old is None or old[:BEAT] + old[BEAT + 1:] != r[:BEAT] + r[BEAT + 1:]

    def stat(s, now):
        old = stats.get(s[S_RID])
        if old and s[1:4] <= old[1:4]:
            return False
        stats[s[S_RID]], heard[s[S_RID]] = s, now
        return old is None or old[S_STATE] != s[S_STATE]

    def show():
        out.append(("cast", ("replicas", {i: (r, s if (s := stats.get(i)) and s[S_INC] == r[INC]
                                              else None, heard.get(i)) for i, r in recs.items()})))

    def tell(to):
        out.extend(send(i, "reps", tuple(recs.values()), tuple(stats.values()),
                        tuple(marks.items())) for i in to)

    def leave(rid, inc, why):
        if marks.get(rid, 0) >= inc:
            return False
        if rid in gone and inc <= gone[rid][0][0]:
            return False
        marks[rid], r = inc, recs.get(rid)
        fresh.setdefault(rid, clock)
        if r and r[INC] <= inc and not r[LEAVING]:
            recs[rid] = left(r)
        out.append(log("replica-leaving", replica=rid, incarnation=inc, why=why))
        return True

    def forget(now):
        """A name that was not renewed for long leaves no record; nor does its mark."""
        nonlocal seen
        if now - seen > opt["late"]:             # frozen, or the clock leapt: nothing was heard meanwhile
            for i in fresh:
                fresh[i] = now
        seen = now
        for rid in [i for i, t in fresh.items() if now - t > opt["forget"]]:
            r = recs.pop(rid, None)
            gone[rid] = ((r[INC], r[BEAT]) if r else (marks[rid], 1 << 62), now, r is None or r[LEAVING])
            for d in (stats, heard, marks, fresh):
                d.pop(rid, None)
            out.append(log("replica-forgotten", replica=rid))
        for rid in [i for i, (_, t, _) in gone.items() if now - t > opt["forget"]]:
            del gone[rid]

    while True:
        now, ev = yield tuple(out)
        out, dirty, clock = [], False, now
        match ev:
            case ("roll", roll):
                edges = tuple(r[0] for r in roll if r[0] != me)
            case ("book", b, _):
                zones = set((bk.get(b, "config") or {"zones": ()})["zones"])
            case ("pulse",) if now >= due:
                due = now + opt["beat"]
                turn += 1
                forget(now)
                tell(partners(me, edges, turn))
                show()
            case ("msg", _, ("reps", tuple(rs), tuple(ss), tuple(ms_))):
                for rid, inc in ms_:
                    dirty |= leave(rid, inc, "heard")
                for r in rs:
                    dirty |= sound(r, REC) and put(r)
                for s in ss:
                    dirty |= sound(s, STAT) and stat(s, now)
            case ("status", s):
                dirty = stat(s, now)
                if s[S_STATE] == "leaving":
                    dirty |= leave(s[S_RID], s[S_INC], "said so when probed")
                show()
            case ("call", cid, "replica-put", (rid, raw)):
                a, bad = c.run(ANNOTATIONS, raw)
                old = recs.get(rid)
                if bad:
                    out.append(("reply", cid, 508, {"detail": "; ".join(f"{p}: {s}" for p, s in bad)}))
                elif zones and a["zone"] not in zones:
                    out.append(("reply", cid, 508, {"detail": f"zone: unknown zone {a['zone']}"}))
                elif old and a["incarnation"] == old[INC] and (a["address"], a["zone"], a["kind"]) != (
                        old[ADDR], old[ZONE], old[KIND]):
                    out.append(("reply", cid, 512, {"held": old[ADDR]}))
                elif a["incarnation"] < (old or (rid, *gone.get(rid, ((0,),))[0]))[INC]:
                    out.append(("reply", cid, 509, {"held": old[INC] if old else gone[rid][0][0]}))
                else:
                    top = old or (rid, *gone[rid][0]) if old or rid in gone else None
                    dirty = put((rid, a["incarnation"], top[BEAT] + 1 if top else 1, a["address"],
                                 a["zone"], a["kind"], a["homes"], a["prefixes"], a["slots"], False))
                    out.append(("reply", cid, 100, {"leaving": recs[rid][LEAVING]}))
                    if dirty:
                        out.append(log("replica", replica=rid, incarnation=a["incarnation"],
                                       zone=a["zone"], slots=a["slots"]))
            case ("call", cid, "replica-leave", (rid,)):
                dirty = rid in recs and leave(rid, recs[rid][INC], "signed off")
                out.append(("reply", cid, 100 if rid in recs else 507, {}))
            case ("call", cid, "platform", (rows,)):
                for rid, inc, leaving in rows:
                    if inc is None and rid in recs:
                        inc = recs[rid][INC]     # the platform does not count lives: this one
                    if leaving and inc is not None:
                        dirty |= leave(rid, inc, "marked by the platform")
                out.append(("reply", cid, 100, {"known": sorted(recs)}))
        if dirty:                                   # of note: tell all at once
            show()
            tell(edges)
        if ev[0] in ("call", "msg", "pulse", "status") and last != (
                ls := tuple(sorted((i, r[ZONE]) for i, r in recs.items()))):
            last = ls
            out.append(("cast", ("ledgers", ls)))


def usable(e, *, now, opt, evac, homes=None, kind=None):
    """May this replica get new work now (design 7.2)? Checked at election and before sending."""
    r, s, at = e
    return (s is not None and s[S_STATE] == "ready" and not r[LEAVING] and r[ZONE] not in evac
            and at is not None and now - at <= opt["stale"]
            and (kind is None or r[KIND] == kind)
            and (homes is None or r[ZONE] in homes and any(h in homes for h in r[HOMES])))


def evacuated(book):
    return {k[5:] for k, (_, on) in book.items() if k.startswith("evac/") and on}
