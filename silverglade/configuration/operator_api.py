"""The desk (design 2.3, 5.4): control calls, taken by every daemon, settled by the primary."""

from .. import __version__
from ..control import replicated_state as bk
from ..membership.directory import addresses_for_client
from ..membership.member import extra
from ..replicas.registry import ADDR, HOMES, INC, KIND, LEAVING, PREFIXES, S_CAP, S_RUNNING, S_STATE, S_USE, S_USED, SLOTS, ZONE
from ..runtime.effects import IDLE, to_milliseconds
from ..transport import framing as wire
from .operator_calls import Calls, reply


def desk(*, me, cores, opt, rng):
    book, held, reps, roll, fresh, want, out, notes = {}, bk.INITIAL_VERSION, {}, (), None, {}, [], {}

    def primary():
        """The newest view that anyone in the roll speaks of: (epoch, primary)."""
        v = max((extra(r, "view", (0, "", "")) for r in roll), default=(0, "", ""))
        return v

    calls = Calls(opt=opt, rng=rng, primary=lambda: primary()[1])

    def status(now):
        mine = next((r for r in roll if r[0] == me), None)
        return dict(
            daemon=me,
            version=__version__,
            wire=wire.WIRE_VERSION,
            zone=mine and mine[4],
            state=mine and mine[9],
            view=list(primary()),
            news=list(held),
            age_ms=to_milliseconds(now - fresh) if fresh is not None else None,
            config=list(book.get("config", (bk.INITIAL_VERSION,))[0]),
            evacuated=sorted(k[5:] for k, (_, on) in book.items() if k.startswith("evac/") and on),
            **notes,
        )

    def fleet():
        return {
            r[0]: dict(
                zone=r[4],
                region=r[5],
                wire=r[6],
                http=r[7],
                core=r[8],
                state=r[9],
                incarnation=r[2],
                view=list(extra(r, "view", ())),
                news=list(extra(r, "news", ())),
                version=extra(r, "version", ""),
            )
            for r in roll
        }

    def replicas(now):
        return {
            i: dict(
                incarnation=r[INC],
                address=r[ADDR],
                zone=r[ZONE],
                kind=r[KIND],
                homes=list(r[HOMES]),
                prefixes=list(r[PREFIXES]),
                slots=r[SLOTS],
                leaving=r[LEAVING],
                state=s[S_STATE] if s else "unknown",
                use=s[S_USE] if s else None,
                running=s[S_RUNNING] if s else None,
                cap=s[S_CAP] if s else None,
                used=s[S_USED] if s else None,
                age_ms=to_milliseconds(now - at) if at is not None else None,
            )
            for i, (r, s, at) in sorted(reps.items())
        }

    def orders(region):
        cfg = bk.value_of(book, "config") or {"zones": {}}
        zs = {z for z, d in cfg["zones"].items() if d["region"] == region}
        kinds = {}
        for (g, kind), m in sorted(want.items()):
            if g == region:
                here = [(r, s) for r, s, _ in reps.values() if r[ZONE] in zs and r[KIND] == kind]
                kinds[kind] = dict(
                    wanted=m,
                    ready=sum(1 for _, s in here if s and s[S_STATE] == "ready"),
                    starting=sum(1 for _, s in here if s and s[S_STATE] == "starting"),
                    parts={r[0]: list(p[1:]) for r in roll for p in extra(r, "parts", ()) if r[5] == region and p[0] == kind},
                )
        return dict(region=region, kinds=kinds, least=sum(cfg["zones"][z]["least"] for z in zs))

    while True:
        now, ev = yield tuple(out)
        out = []
        match ev:
            case ("book", b, v):
                book, held = b, v
            case ("replicas", rs):
                reps = rs
            case ("roll", r):
                roll = r
            case ("fresh", f):
                fresh = f
            case ("wanted", w):
                want = w
            case ("self", op):
                calls.begin_own(op, now, out)
            case ("note", k, v):
                notes[k] = v
            case ("orders", run, handed, spills):
                notes.update(orders=dict(running=run, handed=handed), spills=spills)
            case ("retries", n):
                notes["retries"] = n
            case ("shards", rows):
                notes["shards"] = {t: dict(epoch=e, follower=f, open=o, claims=c, waiting=w) for t, e, f, o, c, w in rows}
            case ("call", cid, "config-get", _):
                at, raw = book.get("config", (bk.INITIAL_VERSION, None))
                out.append(reply(cid, 100, version=list(at), config=raw))
            case ("call", cid, "config-put", (base, change, raw)):
                calls.begin(cid, change, ("config", base, raw), now, out)
            case ("call", cid, "table-put", (base, number, change, raw, source)):
                calls.begin(cid, change, ("table", base, number, raw, source), now, out)
            case ("call", cid, "table-read", _):
                calls.begin(cid, "", ("read",), now, out)
            case ("call", cid, "evac", (zone, on, change, *wait)):
                calls.begin(cid, change, ("evac", zone, on), now, out, *wait)
            case ("call", cid, "reopen", (name, change, *wait)):
                calls.begin(cid, change, ("reopen", name), now, out, *wait)
            case ("call-gone", cid):
                calls.left(cid)
            case ("froze",):
                calls.froze(now, out)
            case ("call", cid, "fleet", _):
                out.append(
                    reply(cid, 100, fleet=fleet(), duties={k[5:]: list(v) for k, (_, v) in sorted(book.items()) if k.startswith("duty/")})
                )
            case ("call", cid, "replicas", _):
                out.append(reply(cid, 100, replicas=replicas(now)))
            case ("call", cid, "fronts", (host, region, zone)):
                addresses = addresses_for_client(roll, bk.value_of(book, "config"), host=host, region=region, zone=zone)
                out.append(reply(cid, 100, fronts=sorted(addresses, key=lambda _: rng.random())))
            case ("call", cid, "orders", (region,)):
                out.append(reply(cid, 100, **orders(region)))
            case ("call", cid, "status", _):
                out += [("cast", ("look",)), ("post", "operator_api", ("status", cid))]
            case ("status", cid):
                out.append(reply(cid, 100, **status(now)))
            case ("msg", frm, ("opr", n, res)) if isinstance(res, tuple) and res:
                calls.answered(n, frm, res, now, out)
            case ("msg", _, ("fenced", n, base)):
                calls.fenced(n, base, now, out)
            case ("pulse",):
                calls.pulse(now, out)
                if not calls.under_way:
                    out.append(("due", IDLE))
