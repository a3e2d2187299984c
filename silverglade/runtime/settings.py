"""Settings of a daemon (design 8.1), read from a JSON file and command-line flags and validated as a whole.

`TUNING` has the time settings and limits that all components share, `SETTINGS` has all others. Each entry defines the type of a
setting, its default and its bounds; docs/options.md documents them for operators.
"""

from __future__ import annotations

import ipaddress
import json
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from ..configuration.validation import address, boolean, duration, integer, list_of, number, one_of, optional, record, text, validate
from ..duties.duty import Duty
from .errors import InvalidSettingsError

API_ROLES = ("operator", "replica", "platform")
"""Roles of API callers, each with a key of its own (design 8.7)."""

MIN_CORES, MAX_CORES = 3, 9

MECHANISMS = ("prefix", "hot-bound", "spill", "holds", "silence", "urgency", "reuse", "probed-load", "shared-suspicion", "prefill-ledger")
"""Mechanisms of request handling that can be disabled one by one (docs/measures.md); no rule of a deployment depends on them."""

DUTIES = tuple(Duty)

FaultList = tuple[tuple[str, str], ...]
"""(path of the setting, what is wrong with it) for each fault."""

TUNING: dict[str, Any] = {
    "pulse": duration(default=timedelta(milliseconds=50)),  # minimum interval between two timer events of a component (1.5)
    "beat": duration(default=timedelta(milliseconds=250)),  # heartbeat interval of membership and control (4.3)
    "watch_beat": duration(default=timedelta(milliseconds=500)),  # heartbeat interval of a daemon towards its watchers (4.2)
    "doubt": duration(default=timedelta(milliseconds=1200)),  # silence before a watcher suspects a daemon
    "gone": duration(default=timedelta(seconds=4)),  # silence after which a daemon is considered gone
    "late": duration(default=timedelta(milliseconds=900)),  # a timer event delayed by this much means that the process was paused (4.4)
    "watch": integer(default=4, least=1, most=16),  # number of daemons that watch each daemon (4.2)
    "takeover": duration(default=timedelta(milliseconds=1500)),  # silence of a control member before a view change (5.4)
    "heartbeat": duration(default=timedelta(milliseconds=500)),  # heartbeat interval between cores (5.10); a third of takeover
    "core_forget": duration(default=timedelta(seconds=180)),  # a core silent for this long is no longer a witness (5.9)
    "disk_stall": duration(default=timedelta(seconds=1)),  # a disk write that takes longer makes a core unfit (5.1)
    "settle": duration(default=timedelta(milliseconds=600)),  # upper bound of the random wait before a round of agreement
    "op_wait": duration(default=timedelta(seconds=4)),  # how long an operator's call is retried before the answer is "unknown"
    "caller_wait": duration(default=timedelta(milliseconds=800)),  # an operator that received no answer for this long may have disconnected
    "outcome_keep": duration(default=timedelta(seconds=600)),  # how long outcomes of changes are remembered (5.3)
    "ask_wait": duration(default=timedelta(seconds=1)),  # how long a core holds a request for updates
    "alone": duration(default=timedelta(seconds=4)),  # without a confirmed update for this long no work is started
    "aged": duration(default=timedelta(seconds=2)),  # a core whose proof is older is replaced by another (5.7)
    "hedge_after": duration(default=timedelta(milliseconds=2200)),  # with an older proof a hedged request is sent to another core (5.7)
    "hedge_gap": duration(default=timedelta(milliseconds=350)),  # wait before each further hedged request, doubled each time
    "certain": duration(default=timedelta(seconds=2.5)),  # with an older proof no request is refused because its route is unknown (5.7)
    "keys_alone": optional(duration()),  # with an older proof no request that needs a key is admitted; None: no limit (17.3)
    "trust": boolean(default=False),  # accept a store at start-up without a proof more recent than the start of this process
    "probe": duration(default=timedelta(milliseconds=500)),  # interval between health checks of a tenants' replica (7.6)
    "stale": duration(default=timedelta(seconds=3)),  # a replica whose status is older than this gets no work
    "queue": integer(default=64, least=1),  # maximum number of waiting requests of one tenant
    "queue_wait": duration(default=timedelta(seconds=10)),  # longest wait for a slot
    "owner_wait": duration(default=timedelta(milliseconds=1500)),  # a request to a shard owner is repeated after this
    "claim_wait": duration(default=timedelta(milliseconds=1200)),  # longest wait for a follower
    "lease": duration(default=timedelta(seconds=3)),  # term of a slot lease, unless renewed (7.3)
    "learn": duration(default=timedelta(milliseconds=1200)),  # a new lease holder waits this long for renewals before it grants slots
    "claims_most": integer(default=20000, least=8, most=40000),  # maximum number of remembered claims of a tenant (6.3)
    "grant": duration(default=timedelta(seconds=2)),  # added to a request's deadline before its slot is revoked
    "spill_wait": duration(default=timedelta(milliseconds=200)),  # how long the home must have had no free slot before overflow (7.4)
    "hot": number(default=1.25, least=1.0),  # a replica whose load is above this multiple of the mean is skipped (7.2)
    "retry_share": number(default=0.10, most=1.0),  # retries on another replica, per new request
    "retry_stop": number(default=0.20, most=1.0),  # all retries, per new request
    "retry_window": duration(default=timedelta(seconds=30)),  # window of retry_share and retry_stop
    "forget": duration(default=timedelta(seconds=600)),  # records of a replica or tenant that has been gone for this long are deleted
    "drill_disk": number(default=0.0, most=60.0),  # delay in seconds before each write, to simulate a slow disk
    "scale_every": duration(default=timedelta(seconds=2)),  # how often the scaler publishes its counts, and its window (9)
    "scale_trend": duration(default=timedelta(seconds=10)),  # window for measuring a rise in arrivals, and extrapolation time
    "scale_hold": duration(default=timedelta(seconds=6)),  # how long a smaller number of replicas must suffice before it is published
    "scale_top": number(default=0.8, most=1.0),  # highest utilization for which replicas are planned
    "scale_fall": number(default=0.65, most=1.0),  # if the latency target cannot be met: utilization for which replicas are planned
    "scale_room": integer(default=20, least=1),  # capacity K of the queueing model for each replica of the region
    "scale_fan": integer(default=50, least=1),  # rate and limit of the dispatcher, as a multiple of the region's replicas
    "scale_flow": one_of("printed", "served", default="printed"),  # how throughput is calculated (docs/paper.md)
    "scale_idle": number(default=0.5, most=1.0),  # below this utilization the mean latency is used as 1/mu
    "scale_step": number(default=0.1, most=1.0),  # share of a region's replicas that is removed in one step; 0: never any (16.5)
    # the forwarding path (15)
    "connect_wait": duration(default=timedelta(milliseconds=400)),  # time-out for connecting to a replica of another region
    "connect_near": duration(default=timedelta(milliseconds=200)),  # time-out for connecting to a replica of the own region
    "list_every": duration(default=timedelta(milliseconds=500)),  # how often the endpoint list is read
    "probe_every": duration(default=timedelta(seconds=2)),  # interval between health checks of a service's replica (16.4)
    "probe_wait": duration(default=timedelta(seconds=1)),  # a health check that is not answered within this time has failed (16.4)
    "probe_extra": integer(default=4),  # extra health checks of suspected replicas per second
    "need_window": duration(default=timedelta(seconds=4)),  # window for completions and use of a service's replicas (16.3)
    "need_latency": one_of("place", "whole", default="place"),  # mean latency is that of a slot or of a whole replica (docs/paper.md)
    "need_room": integer(default=0),  # K of a replica; 0: derived from its capacity
    "budget_window": duration(default=timedelta(seconds=10)),  # window of the retry budget of a service (16.1)
    "budget_ratio": number(default=0.2),  # retry budget: attempts beyond the first, per request
    "budget_slack": number(default=50.0),  # additional attempts for the whole fleet
    "budget_ratio_part": number(default=0.9, most=1.0),  # share of budget_ratio that the daemons use
    "budget_slack_part": number(default=0.6, most=1.0),  # share of budget_slack that the daemons use
    "budget_recall": duration(default=timedelta(seconds=300)),  # how long the largest known fleet size remains the divisor of budget_slack
    "cold_excess": number(default=1.5),  # a cold replica is overloaded above this multiple of its capacity per second (16.2)
    "cold_slack": number(default=5.0),  # added to that limit
    "cold_settle": duration(default=timedelta(seconds=5)),  # minimum age of a daemon before it sends to a cold replica
    "cold_recall": duration(default=timedelta(seconds=300)),  # how long a daemon counts as one of those that share a cold replica
    "cold_ramp": duration(default=timedelta(seconds=3)),  # slow start: duration of the gradual increase of traffic to a newly warm replica
    # duties at the platform (18)
    "duties": list_of(one_of(*DUTIES), default=(), unique=True),  # duties, each of which one daemon at a time carries out
    "duty_lease": duration(default=timedelta(seconds=3)),  # consecutive holders cannot both act within this time
    "duty_rate": number(default=1.0),  # calls per second that the platform accepts from all daemons together
    "usage_window": duration(default=timedelta(seconds=5)),  # window of a usage report
    "usage_late": duration(default=timedelta(seconds=10)),  # a usage report is late this long after the end of its window
    "without": list_of(one_of(*MECHANISMS), default=(), unique=True),  # mechanisms that are disabled, to measure their effect
}
"""Time settings and limits (documented in docs/options.md): name -> type. Times are given in seconds in files."""

TOLERANCE: dict[str, Any] = {kind: integer(default=1) for kind in ("machines", "zones", "regions")}
"""Numbers of machines, zones and regions that may be lost at once (design 5.9): kind -> type."""

SETTINGS: dict[str, Any] = {
    "name": text(),
    "zone": text(),
    "region": text(),
    "listen": address(),  # address to listen on for other daemons
    "advertise": text(default=""),  # address advertised to other daemons instead of listen
    "http": address(),  # address to listen on for clients, replicas, platform, operators
    "seeds": list_of(address()),  # at least one for the first start of a fleet
    "cores": list_of(text(), unique=True),  # three to nine for the first start of a fleet; not used after it
    "data": text(default=""),
    "tolerance": record(TOLERANCE, default=None),  # numbers of failures tolerated at once (5.9)
    "first": boolean(default=True),  # whether a core with an empty disk may take part in forming the first view (5.5)
    **{f"{role}_{field}": text(default="") for role in API_ROLES for field in ("key", "key_file")},
    "open": boolean(default=False),  # allow listening beyond loopback without keys
    "orders_to": text(default=""),
    "log_level": one_of("DEBUG", "INFO", "WARNING", default="INFO"),
    "tuning": record(TUNING, default=None),
}
"""All other settings of a daemon (documented in docs/options.md): name -> type."""


def tuning(**values: Any) -> dict[str, Any]:
    """Return validated tuning: the given values, and defaults for all others.

    :raises InvalidSettingsError: a value has faults.
    """
    checked_values, faults = validate(record(TUNING), values)
    if faults:
        raise InvalidSettingsError(_format_faults(faults))
    tuning_values: dict[str, Any] = checked_values
    return tuning_values


def _format_faults(faults: Iterable[tuple[str, str]]) -> str:
    return "; ".join(f"{path}: {what}" for path, what in faults)


def checked(raw: Mapping[str, Any], /) -> dict[str, Any]:
    """Return validated settings, with defaults for those that are not given.

    :raises InvalidSettingsError: they have faults; the message lists those found.
    """
    settings: dict[str, Any]
    settings, errors = validate(record(SETTINGS), raw)
    faults: FaultList = (*errors, *_first_start_faults(settings)) or _key_faults(settings)
    if faults:
        raise InvalidSettingsError(_format_faults(faults))
    settings["tuning"] = settings["tuning"] or tuning()
    faults = _duty_faults(settings["tuning"])
    if faults:
        raise InvalidSettingsError(_format_faults(faults))
    settings["tolerance"] = settings["tolerance"] or dict.fromkeys(TOLERANCE, 1)
    return settings


def _duty_faults(values: Mapping[str, Any]) -> FaultList:
    """Return the faults of the duty settings (design 18)."""
    if values["duties"] and not (values["duty_rate"] and values["usage_window"]):
        return (("tuning.duties", "need duty_rate and usage_window above 0"),)
    return ()


def _first_start_faults(settings: Any) -> FaultList:
    """Return the faults that prevent a fleet from starting for the first time (design 5.5).

    Without the setting `first` the fleet has been started before: seeds and cores are then whichever the operator still runs.
    """
    if not isinstance(settings, dict) or settings.get("first") is not True:
        return ()
    seeds, cores, name = settings.get("seeds"), settings.get("cores"), settings.get("name")
    faults = []
    if isinstance(seeds, tuple) and not seeds:
        faults.append(("seeds", "must have at least 1 for the first start"))
    if isinstance(cores, tuple) and not MIN_CORES <= len(cores) <= MAX_CORES:
        faults.append(("cores", f"must have {MIN_CORES} to {MAX_CORES} for the first start"))
    if isinstance(cores, tuple) and name in cores and not settings.get("data"):
        faults.append(("data", "a core needs a data folder"))
    return tuple(faults)


def _key_faults(settings: dict[str, Any]) -> FaultList:
    """Load each role's key from its file and return the faults.

    A daemon that listens beyond loopback needs the keys of all roles, unless "open" is set (design 8.7).
    """
    faults = [fault for role in API_ROLES for fault in _load_key(settings, role)]
    keys = [settings[f"{role}_key"] for role in API_ROLES if settings[f"{role}_key"]]
    if len(set(keys)) < len(keys):
        faults.append(("keys", "each role needs a key of its own"))
    if not faults and not settings["open"] and len(keys) < len(API_ROLES) and not _is_loopback(settings["http"]):
        faults.append(
            ("http", "listens beyond loopback: needs operator_key, replica_key and platform_key (or their files), or open set explicitly")
        )
    return tuple(faults)


def _is_loopback(http: str) -> bool:
    return ipaddress.ip_address(http.rsplit(":", 1)[0].strip("[]")).is_loopback


def _load_key(settings: dict[str, Any], role: str) -> FaultList:
    """Load a role's key from its file, if one is set, and return the faults."""
    name, path = f"{role}_key", settings[f"{role}_key_file"]
    if not path:
        return ()
    if settings[name]:
        return ((name, "is given twice: in the settings and in a file"),)
    try:
        with open(path, encoding="utf-8") as file:
            settings[name] = file.read().strip()
    except (OSError, ValueError) as error:
        return ((f"{name}_file", f"cannot be read: {error}"),)
    return () if settings[name] else ((f"{name}_file", "holds no key"),)


def read(*, path: str | None, flags: Mapping[str, Any]) -> dict[str, Any]:
    """Return the validated settings from a file and from flags; flags take precedence.

    :param flags: name -> value; None for a flag that was not given.
    :raises InvalidSettingsError: the file cannot be read, or the settings have faults.
    """
    raw: Any = {}
    if path:
        try:
            with open(path, encoding="utf-8") as file:
                raw = json.load(file)
        except (OSError, ValueError) as error:
            raise InvalidSettingsError(f"{path}: {error}") from error
        if not isinstance(raw, dict):
            raise InvalidSettingsError(f"{path}: is not a JSON object")
    raw.update({name: value for name, value in flags.items() if value is not None})
    return checked(raw)
