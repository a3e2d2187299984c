"""Which replicas there are and how they do, read by few and told to all (design 15.4).

The list that somebody else keeps is read by the first two live daemons in an agreed order, of two regions where it may
be; each replica is asked how it does by one daemon of its region (16.4). What changes travels as soft state.
"""

from ..membership.member import extra
from ..membership.rendezvous import rank_nodes
from ..runtime.effects import IDLE, ZERO, log, post
from . import replicas as rp
from .health_checks import Prober

LISTED, LOAD = "listed", "load"  # kinds of soft state
MISSED = 2  # lists without it, before a replica counts as gone
READERS = 2


def readers(roll, /):
    """The daemons that read the list: the first in order that can, and the next of another region."""
    live = {r[0]: r for r in roll if not r[8] and r[9] == "ready"}
    order = rank_nodes("list", [i for i, r in live.items() if not extra(r, "blind")] or live)
    far = [i for i in order[1:] if live[i][5] != live[order[0]][5]]
    return (order[:1] + tuple((far or order[1:])[: READERS - 1])) if order else ()


def catalog(*, me, region, lists, opt):
    """Effects ("list",) and ("ask", id, address); events ("read", records or None), ("asked", id, state or None)."""
    prober, reads, known, missed, out = Prober(me=me, opt=opt), False, {}, {}, []
    own, busy, due, fails, loads, spoken, ranks = False, False, ZERO, 0, {}, {}, {}

    def publish(kind, rid, state, value, *scope):
        """Outranks what was told of it; a later state outranks any number."""
        n = ranks.get((kind, rid), (0, 0))[1] + 1
        ranks[kind, rid] = (state, n)
        out.append(post("membership", "publish", kind, rid, (state, n), value, *scope))

    def heard(kind, rows):
        for i, (rank, _) in rows.items():
            ranks[kind, i] = max(rank, ranks.get((kind, i), rank))

    def share():
        prober.listed({i: r[rp.REGION] for i, r in known.items() if r is not None})

    def on_read(rs, now):
        nonlocal own, fails
        if rs is None:
            fails += 1
            if fails == 2:
                out.append(post("membership", "extra", "blind", True))
                out.append(log("list-unread", fails=fails))
            return
        if fails >= 2:
            out.append(post("membership", "extra", "blind", False))
        fails, own, seen = 0, True, set()
        for r in rs:
            if not rp.sound(r):
                out.append(log("replica-record", why="unsound", record=str(r)[:80]))
                continue
            i = r[rp.RID]
            seen.add(i)
            missed.pop(i, None)
            old = known.get(i)
            if i in known and old is None:
                continue  # gone is not taken back within a life
            if old and old[rp.LEAVING]:
                r = (*r[: rp.LEAVING], True, *r[rp.LEAVING + 1 :])
            known[i] = r
            if old is None or old[: rp.COLD_MS] != r[: rp.COLD_MS] or r[rp.COLD_MS] > old[rp.COLD_MS]:
                publish(LISTED, i, int(r[rp.LEAVING]), r)
        for i in [i for i, r in known.items() if r is not None and i not in seen]:
            missed[i] = missed.get(i, 0) + 1
            if missed[i] >= MISSED:
                drop(i)
                publish(LISTED, i, 2, None)
        share()
        out.append(post("router", "listed", tuple(r for r in known.values() if r is not None), True))

    def drop(i):
        known[i] = None  # remembered for a while: it does not come back
        missed.pop(i, None)
        loads.pop(i, None)
        if i in spoken:
            publish(LOAD, i, 1, None, region)
            spoken.pop(i)

    def on_told(rows):
        new = []
        for i, (_, r) in rows.items():
            if r is None:
                if known.get(i) is not None:
                    drop(i)
            elif rp.sound(r) and not (i in known and known[i] is None):
                known[i] = r
                new.append(r)
        share()
        out.append(post("router", "listed", tuple(new), False))
        gone = tuple(i for i, (_, r) in rows.items() if r is None)
        if gone:
            out.append(post("router", "unlisted", gone))

    def on_asked(rid, state, now):
        r = known.get(rid)
        if r is None:
            return
        if state is None:
            prober.failed(rid)
        else:
            prober.answered(rid)
        value = (-1, -1, r[rp.SLOTS]) if state is None else (*state[:2], state[2] or r[rp.SLOTS])
        loads[rid] = value
        if spoken.get(rid) != value:  # told to the region when it differs
            spoken[rid] = value
            publish(LOAD, rid, 0, value, region)
        show()

    def show():
        """For the chooser and the scaler: what is known of each replica's load."""
        out.append(post("router", "loads", dict(loads)))
        out.append(
            post(
                "service_scaler",
                "loads",
                {
                    i: (r[rp.SERVICE], r[rp.REGION], max(0, loads[i][0]), loads[i][2], not r[rp.LEAVING] and loads[i][0] >= 0)
                    for i, r in known.items()
                    if r is not None and i in loads
                },
            )
        )

    while True:
        now, ev = yield tuple(out)
        out = []
        match ev:
            case ("roll", r):
                reads = me in readers(r)
                prober.known(tuple((d[0], d[5]) for d in r if not d[8] and d[9] == "ready"))
            case ("read", rs):
                busy = False
                on_read(rs, now)
            case ("told", "listed", rows):
                heard(LISTED, rows)
                on_told(rows)
            case ("told", "load", rows):
                heard(LOAD, rows)
                loads.update({i: v for i, (_, v) in rows.items() if v is not None and i not in prober.mine})
                show()
            case ("asked", rid, state):
                on_asked(rid, state, now)
            case ("doubt", rid):
                prober.suspect(rid)
            case ("froze",):
                prober.froze()
                busy = False
            case ("pulse",):
                if not lists:
                    out.append(("due", IDLE))
                    continue
                if now >= due and not busy and (reads or not own):
                    due, busy = now + opt["list_every"], True
                    out.append(("list",))
                out.extend(("ask", i, known[i][rp.ADDR]) for i in prober.due(now) if known.get(i))
                out.append(("due", min([due if reads or not own else IDLE, *prober.next.values(), now + 4 * opt["list_every"]])))
