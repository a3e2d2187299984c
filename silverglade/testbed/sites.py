"""The deployments that are rehearsed (design 10.4): sizes of the brief, traffic of its callers."""

import random

from ..configuration.schema import key_digest
from .fake_servers.request_format import MS, SEC, ReplicaSpec


def tenant(name, homes, classes):
    return dict(homes=list(homes), keys=[key_digest(f"key-{name}")], classes=classes)


LOOKUP = dict(kind="model", stream=True, resumable=True, aim_ms=1500, due_ms=15000)
CHAT = dict(kind="model", stream=True, resumable=False, aim_ms=3000, due_ms=20000)
RECEIPT = dict(kind="accounts", stream=False, resumable=True, aim_ms=500, due_ms=5000)
ROSTER = dict(kind="model", stream=False, resumable=False, aim_ms=4000, due_ms=30000)
SWAP = dict(kind="model", stream=True, resumable=False, aim_ms=2000, due_ms=20000)


def town(*, zones, edges, replicas, accounts, tenants, delay, mix):
    """A deployment as tables: daemons, replicas, configuration, traffic."""
    zs = list(zones)
    daemons = [(f"core-{z}", z, zones[z], True) for z in zs]
    daemons += [(f"edge-{z}-{i}", z, zones[z], False) for z in zs for i in range(edges)]
    reps = [dict(rid=f"model-{z}-{i}", zone=z, slots=4, homes=[z], prefixes=[f"rules-{i}"]) for z, n in replicas.items() for i in range(n)]
    reps += [dict(rid=f"accounts-{z}-{i}", zone=z, slots=8, kind="accounts", homes=[z]) for z, n in accounts.items() for i in range(n)]
    cfg = dict(zones={z: dict(region=zones[z], least=1) for z in zs}, tenants=tenants)
    return dict(daemons=daemons, replicas=reps, config=cfg, delay=delay, mix=mix)


def navrang():
    z = {"ahmedabad": "gujarat-a", "vadodara": "gujarat-v", "surat": "gujarat-s"}
    zs = list(z)
    cls = dict(lookup=LOOKUP, chat=CHAT, receipt=RECEIPT)
    ts = {
        f"club-{n}": tenant(f"club-{n}", h, cls)
        for n, h in (("east", zs[:2]), ("west", [zs[1], zs[2]]), ("river", [zs[2], zs[0]]), ("lake", [zs[0]]), ("old", zs))
    }
    mix = [("lookup", 1.0, "rules"), ("chat", 1.5, ""), ("receipt", 6.0, "")]
    return town(zones=z, edges=3, replicas=dict(zip(zs, (2, 2, 1))), accounts=dict.fromkeys(zs, 1), tenants=ts, delay=15.0, mix=mix)


def banyan():
    z = {"taipei": "north", "taichung": "middle", "kaohsiung": "south"}
    zs = list(z)
    cls = dict(roster=ROSTER, swap=SWAP)
    ts = {
        f"{k}-{i}": tenant(f"{k}-{i}", h, cls)
        for k in ("shop", "clinic")
        for i, h in enumerate(([zs[0], zs[1]], [zs[1], zs[2]], [zs[2], zs[0]], [zs[0]]))
    }
    mix = [("roster", 1.0, "rules"), ("swap", 2.0, "")]
    return town(zones=z, edges=2, replicas=dict(zip(zs, (3, 2, 2))), accounts={}, tenants=ts, delay=6.0, mix=mix)


def hamlet():
    """Small: for directed runs. lone lives in one zone, pair in two."""
    z = {"north": "n", "middle": "m", "south": "s"}
    cls = dict(lookup=LOOKUP, chat=CHAT, receipt=dict(RECEIPT, kind="model"))
    ts = {"lone": tenant("lone", ["north"], cls), "pair": tenant("pair", ["middle", "south"], cls)}
    return town(
        zones=z,
        edges=1,
        replicas=dict.fromkeys(z, 1),
        accounts={},
        tenants=ts,
        delay=10.0,
        mix=[("lookup", 2.0, "rules"), ("chat", 2.0, ""), ("receipt", 2.0, "")],
    )


def parish(tenants=60):
    """Many small tenants over few slots: for crowds (design 7.3). All live in the same two zones."""
    z = {"north": "n", "middle": "m", "south": "s"}
    cls = dict(lookup=LOOKUP, chat=CHAT)
    ts = {f"t{i}": tenant(f"t{i}", ["middle", "south"], cls) for i in range(tenants)}
    return town(
        zones=z,
        edges=1,
        replicas=dict.fromkeys(z, 2),
        accounts={},
        tenants=ts,
        delay=10.0,
        mix=[("lookup", 3.0, "rules"), ("chat", 3.0, "")],
    )


def borough():
    """Tens of daemons: 30 in three zones, 18 replicas, 60 tenants."""
    z = {"upper": "u", "inner": "i", "lower": "l"}
    zs, cls = list(z), dict(lookup=LOOKUP, chat=CHAT)
    ts = {f"t{i}": tenant(f"t{i}", [zs[i % 3], zs[(i + 1) % 3]], cls) for i in range(60)}
    return town(
        zones=z,
        edges=9,
        replicas=dict.fromkeys(z, 6),
        accounts={},
        tenants=ts,
        delay=20.0,
        mix=[("lookup", 6.0, "rules"), ("chat", 6.0, "")],
    )


def county():
    """Five cores over five zones in three regions; two disks, a zone or a region may be lost at once."""
    z = {"north": "n", "middle": "m", "south": "s", "north-2": "n", "middle-2": "m"}
    zs, cls = list(z), dict(lookup=LOOKUP, chat=CHAT)
    ts = {f"t{i}": tenant(f"t{i}", [zs[i], zs[(i + 1) % 5]], cls) for i in range(3)}
    return dict(
        town(
            zones=z,
            edges=1,
            replicas=dict.fromkeys(z, 1),
            accounts={},
            tenants=ts,
            delay=55.0,
            mix=[("lookup", 2.0, "rules"), ("chat", 1.0, "")],
        ),
        tolerance=(2, 1, 1),
    )


TOWNS = {"navrang": navrang, "banyan": banyan, "hamlet": hamlet, "borough": borough, "parish": parish, "county": county}


def route(name, service, *, kind="streaming", due, aim, **kw):
    """A route; its prefix is its name. Several services share it by their weights."""
    shares = [dict(service=s, weight=w) for s, w in (service if isinstance(service, list) else [(service, 1)])]
    return dict(name=name, host="town.example", prefix=f"/{name}/", kind=kind, due_ms=due, aim_ms=aim, shares=shares, **kw)


def site(*, zones, edges, seats, routes, specs, mix, delay):
    """A deployment whose requests are forwarded (design 15): replicas work by the engine.

    seats: service -> how many replicas in each zone; mix: (route, a second in each zone, tokens in that are shared,
    tokens in, most out).
    """
    zs = list(zones)
    daemons = [(f"core-{z}", z, zones[z], True) for z in zs[:3]]
    daemons += [(f"edge-{z}-{i}", z, zones[z], False) for z, n in zip(zs, edges) for i in range(n)]
    rows = [
        dict(name=f"{s}-{z}-{i}", service=s, zone=z, spec=specs[s]) for s, ns in seats.items() for z, n in zip(zs, ns) for i in range(n)
    ]
    cfg = dict(
        zones={z: dict(region=zones[z], least=1) for z in zs},
        tenants={},
        routes=routes,
        services={
            s: dict(
                conns=x.conns,
                slots=x.capacity,
                cold_ms=int(x.cold / MS) if x.cold_per_s else 0,
                cold_per_s=x.cold_per_s,
                keeps=x.cache_tokens,
                stride=x.stride,
            )
            for s, x in specs.items()
        },
    )
    return dict(daemons=daemons, seats=rows, config=cfg, delay=delay, mix=mix)


MODEL = ReplicaSpec(capacity=64, cache_tokens=250000, step=3 * MS, per_slot=0.1 * MS, read=57.0, stride=8, conns=370, cold_per_s=11.0)
BOOKS = ReplicaSpec(capacity=6, queue=24, work=20 * MS, conns=110, cold=0 * SEC, cold_per_s=0.0)


def navrang_site():
    z = {"ahmedabad": "gujarat-a", "vadodara": "gujarat-v", "surat": "gujarat-s"}
    return site(
        zones=z,
        edges=(3, 4, 2),
        seats=dict(model=(2, 2, 1), books=(1, 1, 1), ledger=(1, 1, 0)),
        delay=55.0,
        specs=dict(model=MODEL, books=BOOKS, ledger=BOOKS),
        routes=[
            route("lookup", "model", due=4000, aim=800, gap_ms=600, rank=1, by_prefix=True),
            route(
                "chat", "model", due=10000, aim=600, gap_ms=600, tries=2, by_prefix=True, resumable=True, homes=["gujarat-a", "gujarat-v"]
            ),
            route("receipt", [("books", 90), ("ledger", 10)], kind="pure", due=3000, aim=325, tries=2, rank=2),
            route("dues", "books", kind="effectful", due=3000, aim=325, tries=2, rank=2),
        ],
        mix=[("lookup", 2.9, 6300, 2890, 56), ("chat", 4.2, 198, 628, 288), ("receipt", 1.8, 0, 0, 40), ("dues", 0.9, 0, 0, 40)],
    )


def banyan_site():
    z = {"taipei": "north", "taichung": "middle", "kaohsiung": "south"}
    return site(
        zones=z,
        edges=(2, 2, 2),
        seats=dict(model=(3, 2, 2), other=(1, 1, 0)),
        delay=35.0,
        specs=dict(
            model=MODEL._replace(step=5.2 * MS, read=38.0, stride=5, conns=360), other=MODEL._replace(capacity=8, queue=24, stride=5)
        ),
        routes=[
            route("roster", "model", due=5000, aim=800, gap_ms=400, tries=2, by_prefix=True, resumable=True),
            route("swap", "model", due=15000, aim=1200, gap_ms=400, rank=1, by_prefix=True, homes=["north", "middle"]),
        ],
        mix=[("roster", 2.3, 6300, 2890, 50), ("swap", 6.9, 198, 628, 290)],
    )


def hamlet_site():
    """Small: for directed runs."""
    z = {"north": "n", "middle": "m", "south": "s"}
    return site(
        zones=z,
        edges=(1, 1, 1),
        seats=dict(model=(1, 1, 1), books=(1, 1, 1), ledger=(1, 1, 1)),
        delay=10.0,
        specs=dict(model=MODEL._replace(cold_per_s=4.0), books=BOOKS, ledger=BOOKS),
        routes=[
            route("talk", "model", due=6000, aim=600, tries=3, resumable=True, homes=["n", "m"], by_prefix=True),
            route("long", "model", due=6000, aim=600, tries=2),
            route("fetch", "books", kind="pure", due=3000, aim=300, tries=3),
            route("pay", "books", kind="effectful", due=3000, aim=300, tries=2),
        ],
        mix=[("talk", 4, 200, 300, 160), ("long", 2, 0, 300, 160), ("fetch", 4, 0, 0, 40), ("pay", 4, 0, 0, 40)],
    )


def drawn(seed):
    """A town drawn by the seed: zones, machines, replicas, routes, delays, tolerance."""
    rng = random.Random(f"town/{seed}")
    zs = {f"z{i}": f"g{i}" for i in range(rng.choice((3, 3, 4, 5)))}
    gs = list(zs.values())
    model = MODEL._replace(
        capacity=rng.choice((4, 16, 64)),
        queue=rng.choice((8, 64, 192)),
        stride=rng.choice((1, 4, 8)),
        step=rng.choice((2, 5, 9)) * MS,
        conns=rng.choice((60, 360)),
        cache_tokens=rng.choice((30000, 250000)),
        cold_per_s=rng.choice((3.0, 11.0, 40.0)),
        drops=rng.random() < 0.8,
    )
    books = BOOKS._replace(capacity=rng.choice((2, 6, 30)), work=rng.choice((5, 20, 120)) * MS, queue=rng.choice((4, 24)))

    def places(most):
        return [rng.randint(0, most) or rng.randint(0, 1) for _ in zs]

    def homes():
        return rng.sample(gs, rng.randint(1, len(gs))) if rng.random() < 0.4 else []

    seats = dict(model=[1 + n for n in places(3)], books=[1 + n for n in places(1)], ledger=[1, 1] + places(1)[2:])
    rate = rng.uniform(0.5, 4)
    return site(
        zones=zs,
        edges=[rng.randint(1, 4) for _ in zs],
        seats=seats,
        delay=rng.choice((2.0, 20.0, 60.0, 120.0)),
        specs=dict(model=model, books=books, ledger=books),
        routes=[
            route(
                "long",
                "model",
                due=rng.choice((3000, 8000)),
                aim=800,
                rank=1,
                by_prefix=rng.random() < 0.7,
                homes=homes(),
                tries=rng.randint(1, 3),
                resumable=rng.random() < 0.5,
            ),
            route(
                "talk",
                "model",
                due=rng.choice((6000, 15000)),
                aim=600,
                tries=rng.randint(1, 3),
                by_prefix=rng.random() < 0.7,
                resumable=rng.random() < 0.5,
                homes=homes(),
            ),
            route("fetch", [("books", 9), ("ledger", 1)], kind="pure", due=3000, aim=300, tries=rng.randint(1, 3), homes=homes()),
            route("pay", "books", kind="effectful", due=rng.choice((1000, 3000)), aim=300, tries=rng.randint(1, 3), homes=homes()),
        ],
        mix=[("long", rate / 2, 4000, 2000, 60), ("talk", rate, 200, 600, 200), ("fetch", rate, 0, 0, 40), ("pay", rate / 2, 0, 0, 40)],
    )


SITES = {"hamlet": lambda seed: hamlet_site(), "navrang": lambda seed: navrang_site(), "banyan": lambda seed: banyan_site(), "drawn": drawn}
