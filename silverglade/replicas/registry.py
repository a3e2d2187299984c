"""What replicas declared and what probes found (design 7.1), known to every daemon.

record: id, incarnation, beat, address, zone, kind, homes, prefixes, slots, leaving
status: id, incarnation, ledger epoch, number, state, use, served, running, cap, used
Both merge monotonically and travel as soft state (4.1): kinds "replica", "mark" and "status".
"""

from ..configuration import validation as c
from ..control import replicated_state as bk
from ..runtime.effects import ZERO, log, milliseconds, post

RID, INC, BEAT, ADDR, ZONE, KIND, HOMES, PREFIXES, SLOTS, LEAVING = range(10)
S_RID, S_INC, S_EPOCH, S_NUM, S_STATE, S_USE, S_SERVED, S_RUNNING, S_CAP, S_USED = range(10)
REC = (str, int, int, str, str, str, tuple, tuple, int, bool)
STAT = (str, int, int, int, str, float, float, int, int, int)

ANNOTATIONS = c.record(
    {
        "incarnation": c.integer(least=1),
        "address": c.address(),
        "zone": c.text(),
        "kind": c.text(default="model"),
        "homes": c.list_of(c.text(), least=1, unique=True),
        "prefixes": c.list_of(c.text(), default=(), unique=True),
        "slots": c.integer(least=1, most=1024),
    }
)


def sound(r, types):
    return isinstance(r, tuple) and len(r) >= len(types) and all(type(v) is t for v, t in zip(r, types))


def left(r):
    """The record of a replica that leaves; what a later program added stays."""
    return r[:LEAVING] + (True, *r[LEAVING + 1 :])


def rough(s):
    """What of a status is worth telling (design 7.1): its use in tenths, what it served in fifths."""
    return s[S_INC], s[S_EPOCH], s[S_STATE], s[S_RUNNING], s[S_CAP], s[S_USED], round(s[S_USE], 1)


def registry(*, me, core, opt):
    """Casts ("replicas", {id: (record, status or None, when heard)})."""
    recs, stats, heard, marks = {}, {}, {}, {}  # marks: id -> newest incarnation known to leave
    fresh, gone = {}, {}  # id -> when its record last went forward; who was forgotten
    due, last, out, dirty, zones, clock = ZERO, None, [], False, set(), ZERO
    seen, live, sure, holds, told, changed = ZERO, (), None, {}, {}, True

    def put(r):
        """Newer by incarnation, then beat; leaving is never taken back in a life."""
        old = recs.get(r[RID])
        if r[RID] in gone:
            if r[INC:ADDR] <= gone[r[RID]][0]:
                return False  # forgotten here; somebody else has not yet
            if r[INC] == gone[r[RID]][0][0] and gone[r[RID]][2]:
                marks[r[RID]] = r[INC]  # leaving is not taken back by being forgotten
            del gone[r[RID]]
        if old is None or r[INC:ADDR] > old[INC:ADDR]:
            fresh[r[RID]] = clock
        if marks.get(r[RID], 0) >= r[INC]:
            r = left(r)  # it was marked before it was known here
        if old and r[INC] == old[INC] and (r[LEAVING] or old[LEAVING]):
            r = left(r)
            old_ = left(old)
            if r[BEAT] <= old[BEAT] and old_ != old:
                recs[r[RID]] = old_
                return True
        if old and (r[INC], r[BEAT]) <= (old[INC], old[BEAT]):
            return False
        recs[r[RID]] = r
        return old is None or old[:BEAT] + old[BEAT + 1 :] != r[:BEAT] + r[BEAT + 1 :]

    def stat(s, now):
        old = stats.get(s[S_RID])
        if old and s[1:4] <= old[1:4]:
            return False
        stats[s[S_RID]], heard[s[S_RID]] = s, now
        return old is None or old[S_STATE] != s[S_STATE]

    def show():
        out.append(
            (
                "cast",
                ("replicas", {i: (r, s if (s := stats.get(i)) and s[S_INC] == r[INC] else None, heard.get(i)) for i, r in recs.items()}),
            )
        )

    def tell(kind, rid, rank, value):
        out.append(post("membership", "publish", kind, rid, rank, value))

    def status(s, now):
        """What my own probe found: told when it changed, under load not each time."""
        was, at = told.get(s[S_RID], (None, now))
        gap = max(opt["probe"], milliseconds(10 * len(live)))
        new = was is None or was[:S_NUM] != s[:S_NUM] or was[S_STATE] != s[S_STATE]
        if new or now - at >= gap and (rough(was) != rough(s) or abs(was[S_SERVED] - s[S_SERVED]) > 0.2 * s[S_SERVED]):
            told[s[S_RID]] = s, now
            tell("status", s[S_RID], s[S_INC:S_STATE], s)

    def steady(now):
        """A replica was heard of while the holder of its ledger lives and says nothing else (7.1)."""
        if sure is not None:  # as of the proof of one's own news, no later
            for rid, s in stats.items():
                e, who = holds.get(rid, (0, ""))
                if who in live and e == s[S_EPOCH] and s[S_INC] == recs.get(rid, (rid, 0))[INC]:
                    heard[rid] = max(heard.get(rid, sure), sure)

    def leave(rid, inc, why):
        if marks.get(rid, 0) >= inc:
            return False
        if rid in gone and inc <= gone[rid][0][0]:
            return False
        marks[rid], r = inc, recs.get(rid)
        fresh.setdefault(rid, clock)
        if r and r[INC] <= inc and not r[LEAVING]:
            recs[rid] = left(r)
        if why != "heard":
            tell("mark", rid, (inc,), inc)
        out.append(log("replica-leaving", replica=rid, incarnation=inc, why=why))
        return True

    def forget(now):
        """A name that was not renewed for long leaves no record; nor does its mark."""
        nonlocal seen
        if now - seen > opt["late"]:  # frozen, or the clock leapt: nothing was heard meanwhile
            for i in fresh:
                fresh[i] = now
        seen = now
        for rid in [i for i, t in fresh.items() if now - t > opt["forget"]]:
            r = recs.pop(rid, None)
            gone[rid] = ((r[INC], r[BEAT]) if r else (marks[rid], 1 << 62), now, r is None or r[LEAVING])
            if core:  # the soft state goes with it
                for kind, rank in (
                    ("replica", gone[rid][0]),
                    ("mark", (gone[rid][0][0],)),
                    ("status", stats[rid][S_INC:S_STATE] if rid in stats else None),
                ):
                    if rank:
                        tell(kind, rid, (*rank, 1), None)
            for d in (stats, heard, marks, fresh, told):
                d.pop(rid, None)
            out.append(log("replica-forgotten", replica=rid))
        for rid in [i for i, (_, t, _) in gone.items() if now - t > opt["forget"]]:
            del gone[rid]

    while True:
        now, ev = yield tuple(out)
        out, dirty, clock = [], False, now
        match ev:
            case ("roll", roll):
                live = frozenset(r[0] for r in roll)
            case ("fresh", f):
                sure = f
            case ("book", b, _):
                holds = {k[12:]: v[:2] for k, (_, v) in b.items() if k.startswith("duty/ledger/") and v}
                zones = set((bk.value_of(b, "config") or {"zones": ()})["zones"])
            case ("pulse",) if now < due:
                out.append(("due", due))
            case ("pulse",):
                due = now + opt["stale"] / 4
                forget(now)
                steady(now)
                changed |= bool(stats)
                out.append(("due", due))
            case ("told", "mark", got):
                for rid, (_, inc) in got.items():
                    dirty |= type(inc) is int and leave(rid, inc, "heard")
            case ("told", "replica", got):
                for rid, (_, r) in got.items():
                    dirty |= sound(r, REC) and r[RID] == rid and put(r)
            case ("told", "status", got):
                for rid, (_, s) in got.items():
                    changed |= sound(s, STAT) and s[S_RID] == rid and (stat(s, now) or True)
            case ("status", s):
                dirty = stat(s, now)
                status(s, now)
                if s[S_STATE] == "leaving":
                    dirty |= leave(s[S_RID], s[S_INC], "said so when probed")
                show()
            case ("call", cid, "replica-put", (rid, raw)):
                a, bad = c.validate(ANNOTATIONS, raw)
                old = recs.get(rid)
                if bad:
                    out.append(("reply", cid, 508, {"detail": "; ".join(f"{p}: {s}" for p, s in bad)}))
                elif zones and a["zone"] not in zones:
                    out.append(("reply", cid, 508, {"detail": f"zone: unknown zone {a['zone']}"}))
                elif old and a["incarnation"] == old[INC] and (a["address"], a["zone"], a["kind"]) != (old[ADDR], old[ZONE], old[KIND]):
                    out.append(("reply", cid, 512, {"held": old[ADDR]}))
                elif a["incarnation"] < (old or (rid, *gone.get(rid, ((0,),))[0]))[INC]:
                    out.append(("reply", cid, 509, {"held": old[INC] if old else gone[rid][0][0]}))
                else:
                    top = old or (rid, *gone[rid][0]) if old or rid in gone else None
                    r = (
                        rid,
                        a["incarnation"],
                        top[BEAT] + 1 if top else 1,
                        a["address"],
                        a["zone"],
                        a["kind"],
                        a["homes"],
                        a["prefixes"],
                        a["slots"],
                        False,
                    )
                    if (
                        not old
                        or r[:BEAT] + r[ADDR:LEAVING] != old[:BEAT] + old[ADDR:LEAVING]
                        or (now - fresh.get(rid, now) > opt["forget"] / 4)
                    ):
                        dirty = put(r)
                        tell("replica", rid, recs[rid][INC:ADDR], recs[rid])
                    out.append(("reply", cid, 100, {"leaving": recs[rid][LEAVING]}))
                    if dirty:
                        out.append(log("replica", replica=rid, incarnation=a["incarnation"], zone=a["zone"], slots=a["slots"]))
            case ("call", cid, "replica-leave", (rid,)):
                dirty = rid in recs and leave(rid, recs[rid][INC], "signed off")
                out.append(("reply", cid, 100 if rid in recs else 507, {}))
            case ("call", cid, "platform", (rows,)):
                for rid, inc, leaving in rows:
                    if inc is None and rid in recs:
                        inc = recs[rid][INC]  # the platform does not count lives: this one
                    if leaving and inc is not None:
                        dirty |= leave(rid, inc, "marked by the platform")
                out.append(("reply", cid, 100, {"known": sorted(recs)}))
        if dirty or changed:
            show()
            changed = False
        if ev[0] in ("call", "told", "pulse", "status") and last != (ls := tuple(sorted((i, r[ZONE]) for i, r in recs.items()))):
            last = ls
            out.append(("cast", ("ledgers", ls)))


def is_usable(e, *, now, opt, evac, homes=None, kind=None):
    """May this replica get new work now (design 7.2)? Checked at election and before sending."""
    r, s, at = e
    return (
        s is not None
        and s[S_STATE] == "ready"
        and not r[LEAVING]
        and r[ZONE] not in evac
        and at is not None
        and now - at <= opt["stale"]
        and (kind is None or r[KIND] == kind)
        and (homes is None or r[ZONE] in homes and any(h in homes for h in r[HOMES]))
    )


def evacuated_zones(book):
    return {k[5:] for k, (_, on) in book.items() if k.startswith("evac/") and on}
