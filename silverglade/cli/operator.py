"""The operator's command line over the whole fleet (design 11.1)."""

import difflib
import json
import secrets
import time

from ..configuration import schema as cf
from ..runtime.errors import InvalidCallError, InvalidConfigurationError, SilvergladeError
from .client import ask, everywhere, good

DONE, PARTIAL, FAULT, NOBODY, UNKNOWN = 0, 1, 2, 3, 4
WAIT = "7000"  # ms that a change waits for its answer; less than the client does


def table(rows):
    """Rows of text in columns."""
    rows = [[str(c) for c in r] for r in rows]
    w = [max(len(r[i]) for r in rows) for i in range(len(rows[0]))]
    return "\n".join("  ".join(c.ljust(n) for c, n in zip(r, w)).rstrip() for r in rows)


def out(a, data, text):
    print(json.dumps(data, indent=1, sort_keys=True) if a.json else text)


def version(v):
    return ".".join(map(str, v)) if v else "-"


def fleet(a):
    """Every daemon: version, view, news and its age; silent ones are named."""
    known, got = everywhere(a.at, "/v1/status", key=a.key)
    rows = [("DAEMON", "ZONE", "STATE", "VERSION", "VIEW", "PRIMARY", "NEWS", "AGE", "CONFIG", "EMPTIED")]
    for n, d in sorted(known.items()):
        s = got[n]
        rows.append(
            (n, d["zone"], d["state"], d["version"], "silent", "-", "-", "-", "-", "-")
            if s is None
            else (
                n,
                d["zone"],
                s["state"],
                s["version"],
                s["view"][0],
                s["view"][1],
                version(s["news"]),
                f"{s['age_ms']}ms" if s["age_ms"] is not None else "none",
                version(s["config"]),
                ",".join(s["evacuated"]) or "-",
            )
        )
    silent = sorted(n for n, s in got.items() if s is None)
    out(a, dict(fleet=known, status=got, silent=silent), table(rows))
    return PARTIAL if silent else DONE


def load(path):
    try:
        with open(path, encoding="utf-8") as f:
            raw = json.load(f)
    except (OSError, ValueError) as e:
        raise InvalidConfigurationError(f"{path}: {e}") from e
    return raw


def check(a):
    _, bad = cf.parse_configuration(load(a.file))
    for p, s in bad:
        print(f"{p}: {s}")
    print("sound" if not bad else f"{len(bad)} faults")
    return FAULT if bad else DONE


def config(a):
    if a.what == "check":
        return check(a)
    now = good(ask(a.at, "GET", "/v1/config", key=a.key))
    if a.what == "get":
        out(a, now, f"# version {version(now['version'])}\n{json.dumps(now['config'], indent=1, sort_keys=True)}")
        return DONE
    raw = load(a.file)
    new, bad = cf.parse_configuration(raw)
    if bad:
        raise InvalidConfigurationError("; ".join(f"{p}: {s}" for p, s in bad))
    if a.what == "diff":
        x, y = (json.dumps(c, indent=1, sort_keys=True).splitlines() for c in (now["config"], new))
        ls = list(difflib.unified_diff(x, y, f"in force {version(now['version'])}", a.file, lineterm=""))
        print("\n".join(ls) if ls else "no difference")
        return PARTIAL if ls else DONE
    base = a.version or version(now["version"])
    return change(a, "PUT", "/v1/config", raw, [("If-Match", base)])


def change(a, verb, path, body=None, head=()):
    """A change with an id of its own: asked again by that id while its outcome is unknown."""
    cid = a.change or secrets.token_hex(8)
    for _ in range(3):
        st, d, _ = ask(a.at, verb, path, body, key=a.key, head=[*head, ("Silverglade-Change", cid), ("Silverglade-Wait", WAIT)])
        if d.get("code") != 503:
            break
    if d.get("code") == 503:
        print(f"outcome unknown; ask again with --change {cid}")
        return UNKNOWN
    v = good((st, d, {}))["version"]
    print(f"acknowledged as {version(v)} (change {cid})")
    return wait(a, v) if a.wait else DONE


def wait(a, v):
    """Until every live daemon holds this version; says when, or who does not."""
    t0 = time.monotonic()
    while time.monotonic() - t0 < a.wait:
        _, got = everywhere(a.at, "/v1/status", key=a.key)
        behind = sorted(n for n, s in got.items() if s is None or s["news"] < v)
        if not behind:
            print(f"in force at {len(got)} daemons after {time.monotonic() - t0:.2f} s")
            return DONE
        time.sleep(0.1)
    print(f"not yet at: {', '.join(behind)}")
    return PARTIAL


def zone(a):
    return change(a, "PUT" if a.what == "empty" else "DELETE", f"/v1/zones/{a.zone}/evacuation")


def replicas(a):
    d = good(ask(a.at, "GET", "/v1/replicas", key=a.key))["replicas"]
    rows = [("REPLICA", "ZONE", "KIND", "STATE", "USED", "CAP", "SLOTS", "USE", "LEAVING", "AGE", "HOMES", "PREFIXES")]
    for i, r in sorted(d.items()):
        rows.append(
            (
                i,
                r["zone"],
                r["kind"],
                r["state"],
                r["used"],
                r["cap"],
                r["slots"],
                r["use"],
                r["leaving"],
                f"{r['age_ms']}ms",
                ",".join(r["homes"]),
                ",".join(r["prefixes"]),
            )
        )
    out(a, d, table(rows))
    return DONE


def shards(a):
    if a.what == "reopen":
        if not a.tenant or not a.yes:
            raise InvalidCallError("reopen wants a tenant and --yes: keys that ran before may run again")
        return change(a, "PUT", f"/v1/shards/{a.tenant}/reopen")
    duty = good(ask(a.at, "GET", "/v1/fleet", key=a.key))["duties"]
    _, got = everywhere(a.at, "/v1/status", key=a.key)
    held = {t: (n, s) for n, x in got.items() if x for t, s in x.get("shards", {}).items()}
    rows = [("SHARD", "EPOCH", "OWNER", "FOLLOWER", "OPEN", "CLAIMS", "WAITING")]
    for k, (e, own, fol) in sorted(duty.items()):
        if k.startswith("shard/"):
            n, s = held.get(k[6:], (None, {}))
            rows.append((k[6:], e, own, fol or "-", s.get("open", "?") if n == own else "?", s.get("claims", "?"), s.get("waiting", "?")))
    out(a, dict(duties=duty, held={t: s for t, (_, s) in held.items()}), table(rows))
    return PARTIAL if any(x is None for x in got.values()) else DONE


def scaler(a):
    cfg = good(ask(a.at, "GET", "/v1/config", key=a.key))["config"] or {"zones": {}}
    data = {g: good(ask(a.at, "GET", f"/v1/regions/{g}/orders", key=a.key)) for g in sorted({z["region"] for z in cfg["zones"].values()})}
    rows = [("REGION", "KIND", "WANTED", "READY", "STARTING", "LEAST", "DAEMONS", "ARRIVALS")]
    for g, d in data.items():
        for kind, k in sorted(d["kinds"].items()):
            lam = max((p[2] for p in k["parts"].values()), default=0)
            rows.append((g, kind, k["wanted"], k["ready"], k["starting"], d["least"], len(k["parts"]), lam))
    out(a, data, table(rows))
    return DONE


def trace(a):
    """One order by its key or id, at whichever daemons met it."""
    _, got = everywhere(a.at, f"/v1/trace/{a.order}", key=a.key)
    found = {n: d["orders"] for n, d in got.items() if d}
    ls = [
        f"{n} {o['order']} {o.get('tenant', '?')}/{o['cls']} +{t}ms {what}"
        for n, os_ in sorted(found.items())
        for o in os_
        for t, what in o["steps"]
    ]
    out(a, found, "\n".join(ls) or "no daemon remembers it")
    return DONE if found else PARTIAL


RUN = dict(fleet=fleet, config=config, zone=zone, replicas=replicas, shards=shards, scaler=scaler, trace=trace)


def parsers(sub):
    def new(name, about):
        p = sub.add_parser(name, help=about)
        p.add_argument("--at", default="127.0.0.1:8000", help="IP:PORT of any daemon's HTTP address")
        p.add_argument("--key", default="", help="the operator's key, where one is set")
        p.add_argument("--json", action="store_true")
        return p

    def changing(p):
        p.add_argument("--change", default="", help="the id of a change asked for before")
        p.add_argument("--wait", type=float, default=10.0, metavar="SECONDS", help="wait until it is in force everywhere; 0: do not")

    new("fleet", "every daemon's state")
    p = new("config", "the configuration in force, and changing it whole")
    p.add_argument("what", choices=["get", "check", "diff", "put"])
    p.add_argument("file", nargs="?")
    p.add_argument("--version", default="", help="the version that is replaced; default: the one read now")
    changing(p)
    p = new("zone", "empty a zone or return it")
    p.add_argument("what", choices=["empty", "return"])
    p.add_argument("zone")
    changing(p)
    new("replicas", "replicas as declared and probed")
    p = new("shards", "tenant shards, owners and followers; reopen one whose claims are lost")
    p.add_argument("what", nargs="?", choices=["list", "reopen"], default="list")
    p.add_argument("tenant", nargs="?")
    p.add_argument("--yes", action="store_true", help="keys that ran before may run again")
    changing(p)
    new("scaler", "replicas wanted and ready by region")
    p = new("trace", "what became of one order")
    p.add_argument("order", help="its idempotency key or its id")


def run(a):
    if a.cmd == "config" and a.what != "get" and not a.file:
        raise InvalidCallError(f"config {a.what} wants a file")
    try:
        return RUN[a.cmd](a)
    except SilvergladeError as e:
        if e.code == 705:
            print(f"silverglade: {e}")
            return NOBODY
        raise
