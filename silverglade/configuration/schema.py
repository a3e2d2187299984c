"""The operator's configuration (design 8.2): whole, typed, refused whole."""

from hashlib import blake2b

from . import validation as c
from .validation import Kind

CLASS = c.record(
    {
        "kind": c.text(default="model"),
        "stream": c.boolean(default=False),
        "resumable": c.boolean(default=False),
        "aim_ms": c.integer(least=1),
        "due_ms": c.integer(default=30000, least=1, most=600000),
    }
)
SERVICE = c.record(
    {  # what routes lead to (design 15.2)
        "health": c.text(default="", least=0),
        "conns": c.integer(default=256, least=1, most=100000),  # connections that one replica takes from all daemons
        "cold_ms": c.integer(default=0, most=3600000),  # a replica that was started is slow so long
        "cold_per_s": c.number(default=0.0, most=1e6),  # requests that it bears meanwhile; 0: no bound
        "slots": c.integer(default=0, most=100000),  # requests at once; 0: as each replica declares
        "keeps": c.integer(default=0),  # tokens of prompts and runs that it holds
        "stride": c.integer(default=1, least=1, most=100000),  # tokens in one event of a stream
    }
)
ROUTE = c.record(
    {
        "name": c.text(),
        "host": c.text(most=255),
        "prefix": c.text(most=2000),
        "kind": c.one_of("pure", "effectful", "streaming"),
        "due_ms": c.integer(least=1, most=86400000),
        "aim_ms": c.number(default=1000.0, least=0.001),
        "gap_ms": c.number(default=0.0),  # longest pause between events that is in time; 0: none set
        "rank": c.integer(default=0, most=1000),
        "tries": c.integer(default=1, least=1, most=100),  # replicas to which one try may be sent
        "homes": c.list_of(c.text(), default=(), unique=True),  # regions; none: any
        "by_prefix": c.boolean(default=False),
        "resumable": c.boolean(default=False),
        "shares": c.list_of(c.record({"service": c.text(), "weight": c.number()}), least=1),
    }
)
LIMITS = c.record(
    {
        "header_bytes": c.integer(default=16384, least=256, most=1 << 20),
        "body_bytes": c.integer(default=4 * 1024 * 1024, most=64 * 1024 * 1024),
        "header_ms": c.integer(default=5000, least=1),
        "idle_ms": c.integer(default=30000, least=1),
    }
)


def maybe(kind):
    """A part that may be left out; what was kept of one left out is taken again."""
    return Kind(lambda v, p, bad: None if v is None else kind.fn(v, p, bad), default=None)


SPEC = c.record(
    {
        "number": c.integer(default=0),  # the operator's own version; 0: told apart by control's alone
        "routes": c.list_of(ROUTE, default=()),
        "services": maybe(c.mapping_of(SERVICE)),
        "limits": maybe(LIMITS),
        "zones": c.mapping_of(
            c.record(
                {
                    "region": c.text(),
                    "least": c.integer(default=1, least=0, most=10000),
                }
            ),
            least=1,
        ),
        "tenants": c.mapping_of(
            c.record(
                {
                    "homes": c.list_of(c.text(), least=1, unique=True),
                    "keys": c.list_of(c.text(least=32, most=64), least=1, unique=True),
                    "classes": c.mapping_of(CLASS, least=1),
                }
            )
        ),
        "body_cap": c.integer(default=1024 * 1024, least=1, most=4 * 1024 * 1024),
    }
)


def key_digest(s, /):
    """What is kept of a key: a digest, never the key (design 2.1)."""
    return blake2b(s.encode(), digest_size=16).hexdigest()


def parse_configuration(raw, /):
    """-> (configuration, faults); a fault is (path, sentence)."""
    out, bad = c.validate(SPEC, raw)
    if bad:
        return None, bad
    bad, keys = routed(out), {}
    for t, d in out["tenants"].items():
        for i, z in enumerate(d["homes"]):
            if z not in out["zones"]:
                bad.append((f"tenants.{t}.homes[{i}]", f"unknown zone {z}"))
        for i, k in enumerate(d["keys"]):
            if k in keys:
                bad.append((f"tenants.{t}.keys[{i}]", f"also a key of {keys[k]}"))
            keys[k] = t
    return (None, tuple(bad)) if bad else (out, ())


def routed(cfg):
    """Faults between routes, services and regions (design 15.2)."""
    bad, seen, regions = [], {}, {z["region"] for z in cfg["zones"].values()}
    for i, r in enumerate(cfg["routes"]):
        p, place = f"routes[{i}]", (r["host"].lower(), r["prefix"])
        if not (r["prefix"].startswith("/") and r["prefix"].endswith("/")):
            bad.append((f"{p}.prefix", "wants to begin and end with /"))
        if place in seen:
            bad.append((f"{p}.prefix", f"stands at the same place as {seen[place]}"))
        seen[place] = r["name"]
        for j, s in enumerate(r["shares"]):
            if s["service"] not in (cfg["services"] or {}):
                bad.append((f"{p}.shares[{j}].service", f"unknown service {s['service']}"))
        if not sum(s["weight"] for s in r["shares"]) > 0:
            bad.append((f"{p}.shares", "the weights sum to 0"))
        for j, h in enumerate(r["homes"]):
            if h not in regions:
                bad.append((f"{p}.homes[{j}]", f"unknown region {h}"))
    return bad


def homes_of_tenant(cfg, tenant, /):
    """A tenant's homes; none without a configuration, or when it was taken out."""
    return cfg["tenants"].get(tenant, {"homes": ()})["homes"] if cfg else ()


def tenant_of_key(cfg, key, /):
    d = key_digest(key)
    for t, x in cfg["tenants"].items():
        if d in x["keys"]:
            return t
    return None
