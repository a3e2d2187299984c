"""The scaler for services of replicas that nobody here can order (design 16.3).

The count it keeps orders nothing: set against the ready replicas it says what the region cannot take.
"""

from collections import deque
from datetime import timedelta

from ..control import replicated_state as bk
from ..membership.member import CORE, REGION, STATE
from ..runtime.effects import IDLE, ZERO, log
from .load_measurement import Gauge
from .markov_chain import room_of, smallest

SEC = timedelta(seconds=1)
SERVICE, PLACE, ACTIVE, CAPACITY, READY = range(5)  # of a load


class Pool:
    """One service's replicas in the region, as they reported."""

    def __init__(self, now):
        self.gauge, self.again, self.uses, self.born = Gauge(), deque(), deque(), now

    def use(self, now, loads, opt):
        """Mean use over `need_window` of what is ready: sum of active over sum of capacity at each look."""
        places = sum(x[CAPACITY] for x in loads)
        if places:
            self.uses.append((now, sum(x[ACTIVE] for x in loads) / places))
        while self.uses and now - self.uses[0][0] >= opt["need_window"]:
            self.uses.popleft()
        return min(1.0, sum(u for _, u in self.uses) / len(self.uses)) if self.uses else 0.0

    def repeats(self, now, win):
        while self.again and now - self.again[0] >= win:
            self.again.popleft()
        return len(self.again) / (win / SEC)


def goals(cfg):
    """service -> the tightest goal of the routes that lead to it, in seconds."""
    g = {}
    for r in cfg["routes"]:
        for s in r["shares"]:
            if s["weight"] > 0:
                g[s["service"]] = min(g.get(s["service"], r["aim_ms"]), r["aim_ms"])
    return {s: a / 1000 for s, a in g.items()}


def peers(roll, region):
    """The region's ready daemons that clients call: those that are no cores, where there are any."""
    here = [r for r in roll if r[REGION] == region and r[STATE] == "ready"]
    return max(1, sum(not r[CORE] for r in here) or len(here))


def need(*, me, region, opt):
    """Casts ("short", {(region, service): (m, ready, short)}) when it changes. Generator; see part.py."""
    pools, roll, cfg, loads, due, told, out = {}, (), None, {}, ZERO, {}, []

    def pool(service):
        if service not in pools:
            pools[service] = Pool(now)
        return pools[service]

    def one(now, service, aim, count):
        """-> (m, ready, short), and what it followed from."""
        p, g = pool(service), pool(service).gauge
        here = [x for x in loads.values() if x[SERVICE] == service and x[PLACE] == region and x[READY]]
        ready, places = len(here), sum(x[CAPACITY] for x in here)
        long = max(opt["scale_every"], min(opt["need_window"], now - p.born))
        came, served = g.rates(now, opt["scale_every"], long)
        lam = g.trend(now, came * count, opt)
        use = p.use(now, here, opt)
        each = max(1.0, places / ready) if ready else 1.0
        sv = g.service(use=use, ready=ready, count=count, served=served, opt=opt, places=each if opt["need_latency"] == "place" else 1)
        m, low = 0, lam > 0 and not ready
        if lam > 0 and sv:
            room = opt["need_room"] or room_of(capacity=round(each), mu=1 / sv, aim=aim)
            m, met = smallest(
                lam=lam,
                mu=1 / sv,
                replicas=ready,
                aim=aim,
                room=room,
                fan=opt["scale_fan"],
                top=opt["scale_top"],
                fall=opt["scale_fall"],
                flow=opt["scale_flow"],
            )
            low = low or not met and m >= opt["scale_fan"] * max(1, ready)
        m = g.hold(now, m, opt)
        return (m, ready, low or m > ready), dict(lam=lam, repeats=p.repeats(now, opt["scale_every"]), service_s=sv or 0.0, use=use)

    def look(now):
        nonlocal told
        count, new = peers(roll, region), {}
        for service, aim in sorted(goals(cfg).items()):
            new[region, service], why = one(now, service, aim, count)
            if new[region, service] != told.get((region, service)):
                m, ready, low = new[region, service]
                out.append(
                    log(
                        "need",
                        region=region,
                        service=service,
                        wanted=m,
                        ready=ready,
                        short=low,
                        daemons=count,
                        **{k: f"{v:.4g}" for k, v in why.items()},
                    )
                )
        for s in [s for s in pools if (region, s) not in new]:
            del pools[s]
        if new != told:
            told = new
            out.append(("cast", ("short", new)))

    while True:
        now, ev = yield tuple(out)
        out = []
        match ev:
            case ("roll", r):
                roll = r
            case ("routes", c):
                cfg = c
            case ("book", b, _):
                new = bk.value_of(b, "config")
                cfg = new if new and new.get("services") else cfg
            case ("loads", x):
                loads = x
            case ("arrived", service, repeat):
                p = pool(service)
                (p.again if repeat else p.gauge.came).append(now)
            case ("served", service, took) if isinstance(took, (int, float)):
                pool(service).gauge.went.append((now, took))
            case ("pulse",):
                if now >= due:
                    due = now + opt["scale_every"]
                    if cfg:
                        look(now)
                out.append(("due", due if cfg else IDLE))
