"""The operator's configuration (design 8.2): whole, typed, refused whole."""
from hashlib import blake2b

from . import check as c

CLASS = c.table({
    "kind": c.text(default="model"),
    "stream": c.flag(default=False),
    "resumable": c.flag(default=False),
    "aim_ms": c.whole(least=1),
    "due_ms": c.whole(default=30000, least=1, most=600000),
})
SPEC = c.table({
    "zones": c.named(c.table({
        "region": c.text(),
        "least": c.whole(default=1, least=0, most=10000),
    }), least=1),
    "tenants": c.named(c.table({
        "homes": c.each(c.text(), least=1, unique=True),
        "keys": c.each(c.text(least=32, most=64), least=1, unique=True),
        "classes": c.named(CLASS, least=1),
    })),
    "body_cap": c.whole(default=1024 * 1024, least=1, most=4 * 1024 * 1024),
})


def digest(s, /):
    """What is kept of a key: a digest, never the key (design 2.1)."""
    return blake2b(s.encode(), digest_size=16).hexdigest()


def checked(raw, /):
    """-> (configuration, faults); a fault is (path, sentence)."""
    out, bad = c.run(SPEC, raw)
    if bad:
        return None, bad
    bad, keys = [], {}
    for t, d in out["tenants"].items():
        for i, z in enumerate(d["homes"]):
            if z not in out["zones"]:
                bad.append((f"tenants.{t}.homes[{i}]", f"unknown zone {z}"))
        for i, k in enumerate(d["keys"]):
            if k in keys:
                bad.append((f"tenants.{t}.keys[{i}]", f"also a key of {keys[k]}"))
            keys[k] = t
    return (None, tuple(bad)) if bad else (out, ())


def homes(cfg, tenant, /):
    """A tenant's homes; none without a configuration, or when it was taken out."""
    return cfg["tenants"].get(tenant, {"homes": ()})["homes"] if cfg else ()


def by_key(cfg, key, /):
    d = digest(key)
    for t, x in cfg["tenants"].items():
        if d in x["keys"]:
            return t
    return None
