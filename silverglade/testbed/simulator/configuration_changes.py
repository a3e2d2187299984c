"""What simulated operators really change in a configuration (design 10.3), and keys that visitors hold."""

import copy

from ...configuration.schema import key_digest

ANNEX = "annex"  # a zone that comes and goes; no machine stands there


class Changes:
    def __init__(self, *, base, rng):
        self.base, self.rng, self.n = base, rng, 0
        self.keys = {key_digest(f"key-{t}"): f"key-{t}" for t in base["tenants"]}

    def bearer(self, cfg, tenant):
        """The key that a tenant's visitors use by this configuration; their first one without."""
        ks = (cfg or self.base)["tenants"].get(tenant, {"keys": ()})["keys"]
        return next((self.keys[k] for k in ks if k in self.keys), f"key-{tenant}")

    def some(self, cfg, kind=""):
        """One change of one kind, on a copy of the configuration that was read."""
        cfg = copy.deepcopy(cfg or self.base)
        kind = kind or self.rng.choice(["cap", "homes", "key", "tenant", "aim", "zone"])
        ts = sorted(t for t in cfg["tenants"] if t in self.base["tenants"])
        t = self.rng.choice(ts) if ts else None
        if t:
            dict(cap=self.cap, homes=self.homes, key=self.key, tenant=self.tenant, aim=self.aim, zone=self.zone)[kind](
                cfg, cfg["tenants"][t], t
            )
        return cfg

    def cap(self, cfg, d, t):
        pass  # every configuration is told apart by its cap anyway

    def homes(self, cfg, d, t):
        zs = sorted(self.base["zones"])
        self.rng.shuffle(zs)
        d["homes"] = zs[: self.rng.randint(1, len(zs))]

    def key(self, cfg, d, t):
        """The old key is revoked; the tenant's visitors learn the new one."""
        self.n += 1
        k = f"key-{t}-{self.n}"
        self.keys[key_digest(k)] = k
        d["keys"] = [key_digest(k)]

    def tenant(self, cfg, d, t):
        """One tenant out; any that was out comes back."""
        gone = [x for x in sorted(self.base["tenants"]) if x not in cfg["tenants"]]
        for x in gone:
            cfg["tenants"][x] = copy.deepcopy(self.base["tenants"][x])
        if not gone:
            del cfg["tenants"][t]

    def aim(self, cfg, d, t):
        c = d["classes"][self.rng.choice(sorted(d["classes"]))]
        c["aim_ms"] = self.rng.choice([500, 1500, 4000])
        c["due_ms"] = self.rng.choice([4000, 15000, 30000])

    def zone(self, cfg, d, t):
        if ANNEX in cfg["zones"]:
            del cfg["zones"][ANNEX]
            for x in cfg["tenants"].values():
                x["homes"] = [z for z in x["homes"] if z != ANNEX]
        else:
            cfg["zones"][ANNEX] = dict(region="annexed", least=0)
            d["homes"] = [*d["homes"], ANNEX]
