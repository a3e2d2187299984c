"""A daemon's settings (design 8.1): from a JSON file and flags, checked whole."""

import ipaddress
import json
from datetime import timedelta as td

from ..configuration import validation as c
from .errors import InvalidSettingsError

# what decides over requests and can be switched off one by one (docs/measures.md); rules of a deployment need none of them
MECHANISMS = ("prefix", "hot-bound", "spill", "holds", "silence", "urgency", "reuse", "probed-load", "shared-suspicion", "prefill-ledger")

# Times are seconds in files and flags, timedelta inside. docs/options.md explains each.
TUNING = {
    "pulse": c.duration(default=td(milliseconds=50)),
    "beat": c.duration(default=td(milliseconds=250)),  # roster, control heartbeats (4.3)
    "watch_beat": c.duration(default=td(milliseconds=500)),  # pulses to watchers (4.2)
    "doubt": c.duration(default=td(milliseconds=1200)),  # silence before a watcher doubts
    "gone": c.duration(default=td(seconds=4)),  # no news of a daemon from anyone
    "late": c.duration(default=td(milliseconds=900)),  # a pulse this late means frozen
    "watch": c.integer(default=4, least=1, most=16),
    "takeover": c.duration(default=td(milliseconds=1500)),  # control: silence of a member (5.4)
    "heartbeat": c.duration(default=td(milliseconds=500)),  # between cores (5.10); a third of takeover
    "core_forget": c.duration(default=td(seconds=180)),  # a core silent this long is no witness any more (5.9)
    "disk_stall": c.duration(default=td(seconds=1)),
    "settle": c.duration(default=td(milliseconds=600)),
    "op_wait": c.duration(default=td(seconds=4)),  # operator call before "unknown"
    "caller_wait": c.duration(default=td(milliseconds=800)),  # an operator's caller that has heard nothing may be gone then
    "outcome_keep": c.duration(default=td(seconds=600)),  # outcomes of changes are remembered (5.3)
    "ask_wait": c.duration(default=td(seconds=1)),  # news long-ask
    "alone": c.duration(default=td(seconds=4)),  # no confirmed news: start nothing
    "aged": c.duration(default=td(seconds=2)),  # a core whose proof is older is passed over for another (5.7)
    "hedge_after": c.duration(default=td(milliseconds=2200)),  # with an older proof another core is asked besides (5.7)
    "hedge_gap": c.duration(default=td(milliseconds=350)),  # and after so long one more; twice as long each time
    "certain": c.duration(default=td(seconds=2.5)),  # with an older proof no request is refused for want of a route (5.7)
    "trust": c.boolean(default=False),  # start with news that nobody has proved newer than this life
    "probe": c.duration(default=td(milliseconds=500)),
    "stale": c.duration(default=td(seconds=3)),  # a replica's status too old
    "queue": c.integer(default=64, least=1),  # waiting orders per tenant
    "queue_wait": c.duration(default=td(seconds=10)),
    "owner_wait": c.duration(default=td(milliseconds=1500)),
    "claim_wait": c.duration(default=td(milliseconds=1200)),
    "lease": c.duration(default=td(seconds=3)),  # a slot's lease, unless renewed (7.3)
    "learn": c.duration(default=td(milliseconds=1200)),  # a new ledger holder hears of leases first
    "claims_most": c.integer(default=20000, least=8, most=40000),  # remembered per tenant (6.3)
    "grant": c.duration(default=td(seconds=2)),  # a grant's life
    "spill_wait": c.duration(default=td(milliseconds=200)),
    "hot": c.number(default=1.25, least=1.0),  # bounded burden (7.2)
    "retry_share": c.number(default=0.10, most=1.0),
    "retry_stop": c.number(default=0.20, most=1.0),
    "retry_window": c.duration(default=td(seconds=30)),
    "forget": c.duration(default=td(seconds=600)),  # a replica or tenant gone this long leaves no record
    "drill_disk": c.number(default=0.0, most=60.0),  # seconds before each write: rehearsals of a slow disk
    "scale_every": c.duration(default=td(seconds=2)),
    "scale_trend": c.duration(default=td(seconds=10)),
    "scale_hold": c.duration(default=td(seconds=6)),
    "scale_top": c.number(default=0.8, most=1.0),
    "scale_fall": c.number(default=0.65, most=1.0),
    "scale_room": c.integer(default=20, least=1),
    "scale_fan": c.integer(default=50, least=1),
    "scale_flow": c.one_of("printed", "served", default="printed"),
    "scale_idle": c.number(default=0.5, most=1.0),
    # the forwarding path (15)
    "connect_wait": c.duration(default=td(milliseconds=400)),  # a replica that takes no connection
    "connect_near": c.duration(default=td(milliseconds=200)),  # the same in the own region
    "list_every": c.duration(default=td(milliseconds=1000)),  # the list of replicas is read
    "probe_every": c.duration(default=td(seconds=2)),
    "probe_wait": c.duration(default=td(seconds=1)),  # a probe without an answer (16.4)
    "probe_extra": c.integer(default=4),  # probes out of turn a second
    "need_window": c.duration(default=td(seconds=4)),  # ends and use of services' replicas are looked at over it (16.3)
    "need_latency": c.one_of("place", "whole", default="place"),
    "need_room": c.integer(default=0),  # K of a replica; 0: worked out from its capacity
    "budget_window": c.duration(default=td(seconds=10)),  # further tries of a service's requests (16.1)
    "budget_ratio": c.number(default=0.2, most=1.0),
    "budget_slack": c.number(default=50.0),
    "budget_ratio_part": c.number(default=0.9, most=1.0),
    "budget_slack_part": c.number(default=0.6, most=1.0),
    "budget_recall": c.duration(default=td(seconds=300)),
    "cold_excess": c.number(default=1.5, least=1.0),  # what a cold replica bears at most (16.2)
    "cold_slack": c.number(default=5.0),
    "cold_settle": c.duration(default=td(seconds=5)),
    "cold_recall": c.duration(default=td(seconds=300)),
    "cold_ramp": c.duration(default=td(seconds=3)),
    "without": c.list_of(c.one_of(*MECHANISMS), default=(), unique=True),  # mechanisms switched off, to see what they are worth
}

TOLERANCE = {k: c.integer(default=1, most=4) for k in ("machines", "zones", "regions")}

SETTINGS = {
    "name": c.text(),
    "zone": c.text(),
    "region": c.text(),
    "listen": c.address(),  # wire between daemons
    "advertise": c.text(default=""),  # what others are told instead of listen
    "http": c.address(),  # visitors, replicas, platform, operators
    "seeds": c.list_of(c.address(), least=1),
    "cores": c.list_of(c.text(), least=3, unique=True),
    "data": c.text(default=""),
    "tolerance": c.record(TOLERANCE, default=None),  # what may be lost at once (5.9)
    "first": c.boolean(default=True),  # may a core with an empty disk help to form the first view (5.5)
    **{f"{r}_{k}": c.text(default="") for r in ("operator", "replica", "platform") for k in ("key", "key_file")},
    "open": c.boolean(default=False),  # listen beyond loopback without keys
    "orders_to": c.text(default=""),
    "log_level": c.one_of("DEBUG", "INFO", "WARNING", default="INFO"),
    "tuning": c.record(TUNING, default=None),
}


def tuning(**kw):
    out, bad = c.validate(c.record(TUNING), kw)
    if bad:
        raise InvalidSettingsError(said(bad))
    return out


def said(bad):
    return "; ".join(f"{p}: {s}" for p, s in bad)


def checked(raw, /):
    out, bad = c.validate(c.record(SETTINGS), raw)
    if not bad and not 3 <= len(out["cores"]) <= 9:
        bad += (("cores", "wants three names, up to nine"),)
    if not bad and not out["data"] and out["name"] in out["cores"]:
        bad += (("data", "a core needs a data folder"),)
    bad += keyed(out) if not bad else ()
    if bad:
        raise InvalidSettingsError(said(bad))
    out["tuning"] = out["tuning"] or tuning()
    out["tolerance"] = out["tolerance"] or {k: 1 for k in TOLERANCE}
    return out


ROLES = ("operator", "replica", "platform")


def keyed(s):
    """Each role's key from its file or literal; -> faults. Beyond loopback there must be all (8.7)."""
    bad = []
    for r in ROLES:
        name, path = f"{r}_key", s[f"{r}_key_file"]
        if path and s[name]:
            bad.append((name, "is given twice, in the settings and by a file"))
        elif path:
            try:
                with open(path, encoding="utf-8") as f:
                    s[name] = f.read().strip()
            except (OSError, ValueError) as e:
                bad.append((f"{name}_file", f"cannot be read: {e}"))
                continue
            if not s[name]:
                bad.append((f"{name}_file", "holds no key"))
    held = [s[f"{r}_key"] for r in ROLES if s[f"{r}_key"]]
    if len(set(held)) < len(held):
        bad.append(("keys", "each role wants a key of its own"))
    near = ipaddress.ip_address(s["http"].rsplit(":", 1)[0].strip("[]")).is_loopback
    if not bad and not near and not s["open"] and len(held) < len(ROLES):
        bad.append(
            ("http", "listens beyond loopback: it wants operator_key, replica_key and platform_key (or their files), or open set outright")
        )
    return tuple(bad)


def read(*, path, flags):
    raw = {}
    if path:
        try:
            with open(path, encoding="utf-8") as f:
                raw = json.load(f)
        except (OSError, ValueError) as e:
            raise InvalidSettingsError(f"{path}: {e}") from e
        if not isinstance(raw, dict):
            raise InvalidSettingsError(f"{path}: wants a table")
    raw.update({k: v for k, v in flags.items() if v is not None})
    return checked(raw)
