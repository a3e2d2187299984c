"""The deployments that are rehearsed (design 10.4): sizes of the brief, traffic of its callers."""
from ..config import digest


def tenant(name, homes, classes):
    return dict(homes=list(homes), keys=[digest(f"key-{name}")], classes=classes)


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
    reps = [dict(rid=f"model-{z}-{i}", zone=z, slots=4, homes=[z], prefixes=[f"rules-{i}"])
            for z, n in replicas.items() for i in range(n)]
    reps += [dict(rid=f"accounts-{z}-{i}", zone=z, slots=8, kind="accounts", homes=[z])
             for z, n in accounts.items() for i in range(n)]
    cfg = dict(zones={z: dict(region=zones[z], least=1) for z in zs}, tenants=tenants)
    return dict(daemons=daemons, replicas=reps, config=cfg, delay=delay, mix=mix)


def navrang():
    z = {"ahmedabad": "gujarat-a", "vadodara": "gujarat-v", "surat": "gujarat-s"}
    zs = list(z)
    cls = dict(lookup=LOOKUP, chat=CHAT, receipt=RECEIPT)
    ts = {f"club-{n}": tenant(f"club-{n}", h, cls) for n, h in (
        ("east", zs[:2]), ("west", [zs[1], zs[2]]), ("river", [zs[2], zs[0]]), ("lake", [zs[0]]),
        ("old", zs))}
    mix = [("lookup", 1.0, "rules"), ("chat", 1.5, ""), ("receipt", 6.0, "")]
    return town(zones=z, edges=3, replicas=dict(zip(zs, (2, 2, 1))), accounts=dict.fromkeys(zs, 1),
                tenants=ts, delay=15.0, mix=mix)


def banyan():
    z = {"taipei": "north", "taichung": "middle", "kaohsiung": "south"}
    zs = list(z)
    cls = dict(roster=ROSTER, swap=SWAP)
    ts = {f"{k}-{i}": tenant(f"{k}-{i}", h, cls) for k in ("shop", "clinic") for i, h in enumerate(
        ([zs[0], zs[1]], [zs[1], zs[2]], [zs[2], zs[0]], [zs[0]]))}
    mix = [("roster", 1.0, "rules"), ("swap", 2.0, "")]
    return town(zones=z, edges=2, replicas=dict(zip(zs, (3, 2, 2))), accounts={}, tenants=ts,
                delay=6.0, mix=mix)


def hamlet():
    """Small: for directed runs. lone lives in one zone, pair in two."""
    z = {"north": "n", "middle": "m", "south": "s"}
    cls = dict(lookup=LOOKUP, chat=CHAT, receipt=dict(RECEIPT, kind="model"))
    ts = {"lone": tenant("lone", ["north"], cls), "pair": tenant("pair", ["middle", "south"], cls)}
    return town(zones=z, edges=1, replicas=dict.fromkeys(z, 1), accounts={}, tenants=ts, delay=10.0,
                mix=[("lookup", 2.0, "rules"), ("chat", 2.0, ""), ("receipt", 2.0, "")])


def parish(tenants=60):
    """Many small tenants over few slots: for crowds (design 7.3). All live in the same two zones."""
    z = {"north": "n", "middle": "m", "south": "s"}
    cls = dict(lookup=LOOKUP, chat=CHAT)
    ts = {f"t{i}": tenant(f"t{i}", ["middle", "south"], cls) for i in range(tenants)}
    return town(zones=z, edges=1, replicas=dict.fromkeys(z, 2), accounts={}, tenants=ts, delay=10.0,
                mix=[("lookup", 3.0, "rules"), ("chat", 3.0, "")])


def borough():
    """Tens of daemons: 30 in three zones, 18 replicas, 60 tenants."""
    z = {"upper": "u", "inner": "i", "lower": "l"}
    zs, cls = list(z), dict(lookup=LOOKUP, chat=CHAT)
    ts = {f"t{i}": tenant(f"t{i}", [zs[i % 3], zs[(i + 1) % 3]], cls) for i in range(60)}
    return town(zones=z, edges=9, replicas=dict.fromkeys(z, 6), accounts={}, tenants=ts, delay=20.0,
                mix=[("lookup", 6.0, "rules"), ("chat", 6.0, "")])


def county():
    """Five cores over five zones in three regions; two disks, a zone or a region may be lost at once."""
    z = {"north": "n", "middle": "m", "south": "s", "north-2": "n", "middle-2": "m"}
    zs, cls = list(z), dict(lookup=LOOKUP, chat=CHAT)
    ts = {f"t{i}": tenant(f"t{i}", [zs[i], zs[(i + 1) % 5]], cls) for i in range(3)}
    return dict(town(zones=z, edges=1, replicas=dict.fromkeys(z, 1), accounts={}, tenants=ts, delay=55.0,
                     mix=[("lookup", 2.0, "rules"), ("chat", 1.0, "")]), tolerance=(2, 1, 1))


TOWNS = {"navrang": navrang, "banyan": banyan, "hamlet": hamlet, "borough": borough, "parish": parish, "county": county}
