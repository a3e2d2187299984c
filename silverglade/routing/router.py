"""The part that decides over requests (design 15.3): it holds the snapshot, the shell delivers.

At most once: each try of a client has an id of its own, so this daemon decides alone. A request that may not
be repeated goes to a second replica only if the first said that it did not run it, or was sent not one byte.
"""

from datetime import timedelta

from ..control import replicated_state as bk
from ..replicas.registry import evacuated_zones
from ..runtime.effects import ZERO, log, milliseconds
from . import replica_selection as choose
from . import replicas as rp
from . import route_table as routes
from .graceful_shutdown import ELSEWHERE, Departure
from .outlier_ejection import SUSPECT, Member, Suspicions
from .prefill_placement import Placement
from .reachability import Reach
from .request import Request, described, work_of
from .retry_budget import Budget
from .slow_start import Cold

SECOND = timedelta(seconds=1)
MEMBER = timedelta(seconds=60)  # a daemon that was known lately counts, also dead or cut off
UNSENT = 4  # replicas that could not be reached, for one try of a client
UNREACHED = 3  # of these such that took no connection in its time: each costs that time
FEWEST = 3  # daemons, for shares: one that knows nobody yet is not alone
EARLY = milliseconds(15)  # what is left of a deadline for the way back
UNCERTAIN = 0.5  # seconds until the configuration is likely to be proved anew


def forward(*, me, region, opt):
    """Events and effects: design 15.3. Generator; see part.py."""
    tab, cfg, evac, reqs, reps = {}, None, frozenset(), {}, {}
    peers, members, edges, out, short = 1, {}, FEWEST, [], frozenset()
    budget, cold, listed, told = Budget(opt=opt), Cold(opt=opt), False, False
    reach, departure, fresh, suspicions = Reach(), Departure(), None, Suspicions(me=me)
    placement = Placement(me=me, region=region, enabled="prefill-ledger" not in opt["without"])

    def answer(q, status, wait, code):
        end(q)
        out.append(("answer", q.rid, status, wait, code))

    def end(q):
        reqs.pop(q.rid, None)
        for n in list(q.live):
            leave(q, n)

    def leave(q, n):
        out.extend(placement.read(q))
        r = reps.get(q.live.pop(n, None))
        if r and r.tries.pop((q.rid, n), None) is not None:
            r.work = max(0.0, r.work - q.weight) if r.tries else 0.0

    def settle(q, now):
        """Route, service and deadline, once."""
        f = q.f
        q.route = routes.find_route(tab, f["host"], f["path"])
        if cfg is None or not listed:
            return answer(q, 503, 1.0, 801)
        if q.route is None:
            return answer(q, 404, None, 802) if certain(now) else answer(q, 503, UNCERTAIN, 812)
        if not f["attempt"]:
            return answer(q, 400, None, 803)
        q.service = routes.service(q.route, f["attempt"])
        q.weight = work_of(f)
        q.own_due = q.born + milliseconds(min(q.route["due_ms"], f["deadline_ms"] or q.route["due_ms"]))
        q.due = departure.due(q.own_due, q.route)
        out.append(("post", "service_scaler", ("arrived", q.service, False)))
        budget.came(now, q.service)
        placement.came(q)
        return go(q, now)

    def go(q, now, instead=False):
        """Send it to the next replica, or give it up at once; `instead` of one that is silent: or let that go on."""

        def none(*what):
            return None if instead else stop(q, *what)

        if departure.begun and not q.begun and not in_time(q, now):
            return none(503, ELSEWHERE, 811)
        left = q.due - now - EARLY
        if left <= ZERO:
            return none(504, None, 804)
        if q.sent >= q.route["tries"] or len(q.tried) - q.sent >= UNSENT or q.unreached.total() >= UNREACHED:
            return none(503, 0.25, 805)
        s = cfg["services"].get(q.service)
        fit = choose.usable(reps.values(), service=q.service, homes=q.route["homes"], evac=evac, tried=q.tried)
        avoid = suspicions.passed_over(now, fit)
        trial = suspicions.to_be_tried(now, fit) if q.again else None
        groups = reach.groups(fit, q.unreached)
        if q.prompt and not q.arrivals and groups and ask_first(q, groups[0], avoid, now):
            return None  # the answers, or the time for them, send it on
        r = next((r for rs in groups if (r := chosen(q, rs, s["cold_per_s"], now, avoid, trial))), None)
        if r is None:
            return none(503, 0.5 if fit else 1.0, 806)
        if q.arrivals and not budget.spend(now, q.service, daemons=edges):
            return none(503, 0.5, 807)
        for n in list(q.live):  # instead of a silent one, which may have run it: no promise can be given any more
            leave(q, n)
            q.why = "lost"
        q.n += 1
        q.sent += 1
        q.arrivals += 1
        q.tried.add(r.id)
        q.live[q.n], q.at = r.id, now
        r.tries[q.rid, q.n], r.asked = now, now
        r.work += q.weight
        out.extend(placement.sent(now, q, r))
        out.append(("try", q.rid, q.n, described(q, r, s, left=left, near=r.region == region, edges=edges, opt=opt)))

    def in_time(q, now):
        """Can it be expected to end before this daemon does?"""
        name = q.route["name"]
        running = ((now - x.born, x.weight) for x in reqs.values() if x.live and x.route["name"] == name)
        return departure.may_start(now, route=q.route, due=q.own_due, work=q.weight, running=running)

    def certain(now):
        """Is what is held surely as new as all that must be in force by now? Else "no such route" says too much."""
        return fresh is not None and now - fresh <= opt["certain"]

    def leave_soon(**times):
        """The daemon was told to stop: what is under way gets no try that would go on beyond its end."""
        departure.begin(**times)
        for q in reqs.values():
            q.due = departure.due(q.due, q.route)

    def test_reach(now):
        """Bare connections to replicas of regions that take none, until one comes up."""
        for r in reach.due_tests(now, [r for r in reps.values() if r.gone is None]):
            out.append(("reach", r.id, r.addr, opt["connect_near"] if r.region == region else opt["connect_wait"]))

    def ask_first(q, fit, avoid, now):
        """Are the ledgers asked now, and is an answer waited for?"""
        messages, waits = placement.ask(now, q, in_order(q, fit, avoid, now))
        out.extend(messages)
        return waits

    def in_order(q, fit, avoid, now):
        short_here = {g for g, v in short if v == q.service}
        how = dict(prefix=q.f["prefix"], by_prefix=q.route["by_prefix"], short=short_here, peers=peers, avoid=avoid)
        return choose.order(fit, now=now, region=region, weight=q.weight, without=opt["without"], **how)

    def chosen(q, fit, bears, now, avoid, trial):
        """The replica of these that gets it, or None."""

        def may(r):
            return not bears or cold.may(now, r.id, per_s=bears if now < r.cold else None, me=me, members=())

        if trial in fit and not trial.tries and may(trial):
            return trial
        order = placement.preferred(q, in_order(q, fit, avoid, now))
        return next((r for r in order if may(r)), None)

    def stop(q, status, wait, code):
        """Nothing more can be done for it: the answer is given now, and promises no more than is known."""
        if q.begun:
            end(q)
            return out.append(("break", q.rid))
        if q.why in ("lost", "cut") and not q.again:
            return answer(q, 502, None, 808)
        if q.why in ("lost", "cut") and status == 503:
            return answer(q, 502, None, 808)
        return answer(q, status, wait, code)

    def accuse(r, now):
        """Others are to know that it failed a request (15.10)."""
        if "shared-suspicion" in opt["without"]:
            return
        suspicions.accuse(now, r, [x for x in reps.values() if x.gone is None])
        if tell_suspicions():
            out.append(log("request-accused", replica=r.id))

    def vouch(r, now):
        """It served one."""
        r.worked(now)
        suspicions.answered(now, r)
        tell_suspicions()

    def tell_suspicions():
        """-> was there something to tell?"""
        rows = suspicions.taken()
        out.extend(("post", "membership", ("publish", SUSPECT, row.key, row.rank, row.value)) for row in rows)
        return bool(rows)

    def doubted(r, now, *, dark):
        """It is silent or broke off: others go first and its prober asks it; if it may be dark, idle connections end.

        A machine that goes dark ends no connection. What is written on an old one to its next life is lost, whereas a
        new one says for sure that nothing arrived, or brings that life's word.
        """
        r.failed(now)
        out.append(("post", "endpoint_list", ("doubt", r.id)))
        if dark:
            out.append(("renew", r.id))

    def on_tried(q, n, what, more, now):
        if n != q.n and what not in ("done", "gone"):
            return  # a try that was given up for another
        r = reps.get(q.live.get(n))
        if what not in ("began", "first", "silent"):
            leave(q, n)
        if r and what in ("began", "first", "done", "not-run", "failed"):
            reach.answered(now, r.region)
        match what:
            case "began" | "first":
                out.extend(placement.read(q))
                q.begun = q.begun or q.route["kind"] == "streaming"
                if r:
                    vouch(r, now)
            case "done":
                if r:
                    vouch(r, now)
                out.append(("post", "service_scaler", ("served", q.service, (now - q.at).total_seconds())))
                departure.durations.ended(now, q.route["name"], now - q.born, q.weight)
                end(q)
            case "unsent":
                q.sent, q.arrivals = q.sent - 1, q.arrivals - 1  # nothing of it arrived
                why = more[0] if more else ""
                if r and why != "pool-full":  # that is this daemon's own bound
                    r.failed(now)
                    accuse(r, now)
                if r and why == "connect-timeout":
                    reach.failed(now, r.region, r.id, since=q.at)
                    q.unreached[r.region] += 1
                    test_reach(now)
                go(q, now)
            case "not-run":
                if r and more[0] == 421 and q.f.get("version"):  # that life, or other weights: both say so alike
                    r.shy, q.sent = max(r.shy, now + milliseconds(200)), q.sent - 1
                elif r and more[0] == 421:  # another life has the address: it never came to a replica of ours
                    r.gone, q.sent = now, q.sent - 1  # an arrival all the same: the budget pays for what follows
                    accuse(r, now)
                    out.append(("forget", r.id))
                elif r:
                    r.active = max(r.active, r.slots)  # full: until the next probe or answer
                    r.shy = max(r.shy, now + milliseconds(200))
                wait = more[1] if len(more) > 1 and more[1] else 0.25
                if q.why not in ("lost", "cut"):
                    q.why = "not-run"
                if q.sent >= q.route["tries"]:
                    return stop(q, 503, wait, 809)
                go(q, now)
            case "failed":
                if r and more[0] >= 500:
                    accuse(r, now)
                if q.again and more[0] >= 500 and q.sent < q.route["tries"] and not q.begun:
                    q.why = "lost"
                    return go(q, now)
                if q.begun:  # a stream's other half was refused: it ends as broken
                    return stop(q, 502, None, 808)
                out.append(("pass", q.rid, n))
                end(q)
            case "lost" | "cut":
                if r:
                    doubted(r, now, dark=what == "lost" and more[:1] == ["ReadError"])
                    accuse(r, now)
                if what == "cut" and more and more[0] is not None:
                    q.last = more[0]
                q.why = what
                if not q.again:
                    out.append(log("request-lost", rid=q.rid, replica=r.id if r else "", tries=q.arrivals, why=more[0] if more else ""))
                    return stop(q, 502, None, 808)
                go(q, now)
            case "silent":
                if more and more[0] is not None:
                    q.last = more[0]
                if r:
                    doubted(r, now, dark=True)
                if q.again:
                    go(q, now, instead=True)
            case "gone":
                end(q)

    def on_listed(rs, whole, now):
        nonlocal listed
        listed, seen = True, set()
        for rec in rs:
            seen.add(rec[rp.RID])
            r = reps.get(rec[rp.RID])
            if r is None:
                r = reps[rec[rp.RID]] = rp.Replica(rec, now)
                reach.appeared(now, r.region)
                out.append(log("replica", id=rec[rp.RID], service=rec[rp.SERVICE], zone=rec[rp.ZONE], cold_ms=rec[rp.COLD_MS]))
            else:
                if rec[rp.LEAVING] and not r.leaving:
                    out.append(log("replica-leaving", id=r.id))
                r.told(rec, now)
        if whole:
            on_unlisted([i for i in reps if i not in seen], now)
        test_reach(now)

    def on_unlisted(ids, now):
        for i in [i for i in ids if i in reps]:
            if reps[i].gone is None:
                reps[i].gone = now
                out.append(("forget", i))
            if not reps[i].tries:
                del reps[i]
        cold.forget(reps)

    def on_loads(loads):
        for i, (active, queued, _) in loads.items():
            r = reps.get(i)
            if r:
                if active < 0 and not r.dark:
                    out.append(("renew", i))
                r.dark = active < 0  # its prober got no answer
                if "probed-load" not in opt["without"]:
                    r.active, r.queued = max(0, active), max(0, queued)

    def on_book(b, now):
        nonlocal cfg, tab, evac
        new = bk.value_of(b, "config")
        if new is not cfg and new is not None and new.get("services"):
            cfg, tab = new, routes.table(new)
            placement.rooms = {i: d["keeps"] for i, d in cfg["services"].items()}
            out.append(("limits", cfg["limits"]))
            for s, d in cfg["services"].items():
                for r in reps.values():
                    if r.service == s and d["slots"]:
                        r.slots = d["slots"]
        held = frozenset(evacuated_zones(b))
        for z in evac - held:  # taken back: its replicas may be cold (15.6)
            for r in reps.values():
                if r.zone == z and cfg:
                    r.cold = max(r.cold, now + milliseconds(cfg["services"].get(r.service, {"cold_ms": 0})["cold_ms"]))
        evac = held

    while True:
        now, ev = yield tuple(out)
        out = []
        budget.born = budget.born or now
        match ev:
            case ("request", rid, f):
                q = reqs[rid] = Request(rid, f, now)
                settle(q, now)
            case ("tried", rid, n, what, *more) if rid in reqs:
                on_tried(reqs[rid], n, what, more, now)
            case ("reached", i, ok) if i in reps:
                if ok:
                    reach.answered(now, reps[i].region)
                else:
                    reach.failed(now, reps[i].region, i, since=now - opt["connect_wait"])
            case ("listed", rs, whole):
                on_listed(rs, whole, now)
            case ("unlisted", ids):
                on_unlisted(ids, now)
            case ("loads", x):
                on_loads(x)
            case ("book", b, _):
                on_book(b, now)
            case ("roll", roll):
                here = [r for r in roll if not r[8]]
                for r in here:
                    members[r[0]] = now
                cold.knew(now, [r[0] for r in here])
                peers = max(1, sum(1 for r in here if r[5] == region))
                suspicions.known({r[0]: Member(r[4], r[5]) for r in here})
                placement.known((r[0], r[5]) for r in here if r[9] == "ready")
            case ("msg", frm, body):
                messages, q = placement.heard(now, frm, body, reps)
                out.extend(messages)
                if q and q.rid in reqs and not q.live:
                    go(q, now)
            case ("told", kind, rows) if kind == SUSPECT and "shared-suspicion" not in opt["without"]:
                suspicions.told(now, rows, reps)
            case ("fresh", f):
                fresh = f
            case ("leaving", streams_until, answer_at, end_at):
                leave_soon(streams_until=streams_until, answer_at=answer_at, end_at=end_at)
            case ("froze",):
                cold.froze(now)
            case ("short", s):
                short = frozenset(k for k, (_, _, low) in s.items() if low)
            case ("call", cid, "serving", _):
                out.append(("reply", cid, 100, dict(ready=cfg is not None and listed and bool(members))))
            case ("pulse",):
                test_reach(now)
                out.append(("due", reach.next_test(now + (4 if told else 1) * SECOND)))
                if not told and cfg is not None and listed:
                    told = True
                    out.append(("post", "membership", ("extra", "serves", True)))
                for i in [i for i, t in members.items() if now - t > MEMBER]:
                    del members[i]
                edges = max(len(members), FEWEST)
                suspicions.tidy(now, reps)
                placement.tidy(now, reps)
                for q in [q for q in placement.overdue(now) if q.rid in reqs and not q.live]:
                    go(q, now)
                tell_suspicions()
                for q in [q for q in reqs.values() if now >= q.due and not q.live]:
                    stop(q, 504, None, 804)
