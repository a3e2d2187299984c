"""A daemon's settings (design 8.1): from a JSON file and flags, checked as a whole.

`TUNING` are the time settings and limits that all components share; `SETTINGS` are all others. Each value says of what type a
setting is, its default and its bounds; docs/options.md has the same, for operators.
"""

from __future__ import annotations

import ipaddress
import json
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import Any

from ..configuration.validation import address, boolean, duration, integer, list_of, number, one_of, optional, record, text, validate
from ..duties.duty import Duty
from ..duties.lease_times import LeaseTimes
from .errors import InvalidSettingsError

ROLES = ("operator", "replica", "platform")
"""Who calls the API with a key of their own (design 8.7)."""

MIN_CORES, MAX_CORES = 3, 9

MECHANISMS = ("prefix", "hot-bound", "spill", "holds", "silence", "urgency", "reuse", "probed-load", "shared-suspicion", "prefill-ledger")
"""What decides over requests and can be switched off one by one (docs/measures.md); rules of a deployment need none of them."""

DUTIES = tuple(Duty)

FaultList = tuple[tuple[str, str], ...]
"""(path, what is wrong) each."""

TUNING: dict[str, Any] = {
    "pulse": duration(default=timedelta(milliseconds=50)),  # least time between two timers of a component (1.5)
    "beat": duration(default=timedelta(milliseconds=250)),  # heartbeats of membership and control (4.3)
    "watch_beat": duration(default=timedelta(milliseconds=500)),  # heartbeats of a daemon to its watchers (4.2)
    "doubt": duration(default=timedelta(milliseconds=1200)),  # silence before a watcher suspects a daemon
    "gone": duration(default=timedelta(seconds=4)),  # a daemon of which nobody has heard is gone
    "late": duration(default=timedelta(milliseconds=900)),  # a timer this late means that the process was paused (4.4)
    "watch": integer(default=4, least=1, most=16),  # how many others watch each daemon (4.2)
    "takeover": duration(default=timedelta(milliseconds=1500)),  # control: silence of a member before a view change (5.4)
    "heartbeat": duration(default=timedelta(milliseconds=500)),  # between cores (5.10); a third of takeover
    "core_forget": duration(default=timedelta(seconds=180)),  # a core silent this long is no witness any more (5.9)
    "disk_stall": duration(default=timedelta(seconds=1)),  # a write that takes longer makes a core unfit (5.1)
    "settle": duration(default=timedelta(milliseconds=600)),  # longest random wait before a round of agreement
    "op_wait": duration(default=timedelta(seconds=4)),  # how long an operator's call is asked for before the answer is "unknown"
    "caller_wait": duration(default=timedelta(milliseconds=800)),  # an operator's caller that has heard nothing may be gone then
    "outcome_keep": duration(default=timedelta(seconds=600)),  # outcomes of changes are remembered (5.3)
    "ask_wait": duration(default=timedelta(seconds=1)),  # how long a core holds a request for updates
    "alone": duration(default=timedelta(seconds=4)),  # without a confirmed update for this long nothing is started
    "aged": duration(default=timedelta(seconds=2)),  # a core whose proof is older is passed over for another (5.7)
    "hedge_after": duration(default=timedelta(milliseconds=2200)),  # with an older proof another core is asked besides (5.7)
    "hedge_gap": duration(default=timedelta(milliseconds=350)),  # and after so long one more; twice as long each time
    "certain": duration(default=timedelta(seconds=2.5)),  # with an older proof no request is refused for want of a route (5.7)
    "keys_alone": optional(duration()),  # with an older proof no request that wants a key is let in; None: however old it is (17.3)
    "trust": boolean(default=False),  # start with a store that nobody has proved newer than this process
    "probe": duration(default=timedelta(milliseconds=500)),  # between health checks of a tenants' replica (7.6)
    "stale": duration(default=timedelta(seconds=3)),  # a replica's status older than this gets no work
    "queue": integer(default=64, least=1),  # requests of one tenant that may wait
    "queue_wait": duration(default=timedelta(seconds=10)),  # longest wait for a slot
    "owner_wait": duration(default=timedelta(milliseconds=1500)),  # a shard owner is asked again after this
    "claim_wait": duration(default=timedelta(milliseconds=1200)),  # longest wait for a follower
    "lease": duration(default=timedelta(seconds=3)),  # of a slot, unless renewed (7.3)
    "learn": duration(default=timedelta(milliseconds=1200)),  # a new lease holder listens this long before it hands out slots
    "claims_most": integer(default=20000, least=8, most=40000),  # remembered of a tenant (6.3)
    "grant": duration(default=timedelta(seconds=2)),  # added to a request's due before its slot is taken back
    "spill_wait": duration(default=timedelta(milliseconds=200)),  # how long the home must have had no slot before overflow (7.4)
    "hot": number(default=1.25, least=1.0),  # a replica above this many times the mean load is passed over (7.2)
    "retry_share": number(default=0.10, most=1.0),  # retries on another replica, per new request
    "retry_stop": number(default=0.20, most=1.0),  # all retries, per new request
    "retry_window": duration(default=timedelta(seconds=30)),  # the window of both
    "forget": duration(default=timedelta(seconds=600)),  # a replica or tenant gone this long leaves no record
    "drill_disk": number(default=0.0, most=60.0),  # seconds before each write, to rehearse a slow disk
    "scale_every": duration(default=timedelta(seconds=2)),  # how often the scaler publishes its counts; its window (9)
    "scale_trend": duration(default=timedelta(seconds=10)),  # window and reach of the rise
    "scale_hold": duration(default=timedelta(seconds=6)),  # how long fewer replicas must be enough before that is published
    "scale_top": number(default=0.8, most=1.0),  # no number of replicas that makes them busier than this
    "scale_fall": number(default=0.65, most=1.0),  # failing the latency target, the smallest number that makes them at most this busy
    "scale_room": integer(default=20, least=1),  # room K for each replica of the region
    "scale_fan": integer(default=50, least=1),  # dispatcher's speed and cap, times the region's replicas
    "scale_flow": one_of("printed", "served", default="printed"),  # how throughput is reckoned (docs/paper.md)
    "scale_idle": number(default=0.5, most=1.0),  # below this use the mean latency stands in for 1/mu
    "scale_step": number(default=0.1, most=1.0),  # share of a region's replicas that is given back in one step; 0: none ever (16.5)
    # the forwarding path (15)
    "connect_wait": duration(default=timedelta(milliseconds=400)),  # for a connection to a replica of another region
    "connect_near": duration(default=timedelta(milliseconds=200)),  # the same in the own region
    "list_every": duration(default=timedelta(milliseconds=500)),  # how often the endpoint list is read
    "probe_every": duration(default=timedelta(seconds=2)),  # between health checks of a service's replica (16.4)
    "probe_wait": duration(default=timedelta(seconds=1)),  # a health check without an answer for this long has failed (16.4)
    "probe_extra": integer(default=4),  # health checks out of turn a second, of suspected replicas
    "need_window": duration(default=timedelta(seconds=4)),  # ends and use of a service's replicas are looked at over it (16.3)
    "need_latency": one_of("place", "whole", default="place"),  # whether mean latency stands for a slot or all of a replica (docs/paper.md)
    "need_room": integer(default=0),  # K of a replica; 0: worked out from its capacity
    "budget_window": duration(default=timedelta(seconds=10)),  # window of the retries of a service's requests (16.1)
    "budget_ratio": number(default=0.2, most=1.0),  # attempts beyond the first, for each request
    "budget_slack": number(default=50.0),  # and so many more, for the fleet
    "budget_ratio_part": number(default=0.9, most=1.0),  # share of the ratio that the daemons use
    "budget_slack_part": number(default=0.6, most=1.0),  # share of the slack that the daemons use
    "budget_recall": duration(default=timedelta(seconds=300)),  # how long the largest fleet known stays the divisor of the slack
    "cold_excess": number(default=1.5, least=1.0),  # a cold replica is overloaded above this many times what it bears a second (16.2)
    "cold_slack": number(default=5.0),  # and so many more
    "cold_settle": duration(default=timedelta(seconds=5)),  # a daemon's age before it sends to a cold replica
    "cold_recall": duration(default=timedelta(seconds=300)),  # how long a daemon's name counts among those that share a cold replica
    "cold_ramp": duration(default=timedelta(seconds=3)),  # how long a replica that has turned warm gets more only step by step
    # duties at the platform (18)
    "duties": list_of(one_of(*DUTIES), default=(), unique=True),  # calls that one daemon at a time makes
    "duty_lease": duration(default=timedelta(seconds=3)),  # holders that follow each other may not act in turn within it
    "duty_rate": number(default=1.0),  # calls a second that the platform takes of all daemons
    "usage_window": duration(default=timedelta(seconds=5)),  # of a usage report
    "usage_late": duration(default=timedelta(seconds=10)),  # after the end of its window a report is late
    "without": list_of(one_of(*MECHANISMS), default=(), unique=True),  # mechanisms switched off, to see what they are worth
}
"""Time settings and limits (docs/options.md explains each): name -> its type. In files times are seconds."""

TOLERANCE: dict[str, Any] = {kind: integer(default=1, most=4) for kind in ("machines", "zones", "regions")}
"""What may be lost at once (design 5.9)."""

SETTINGS: dict[str, Any] = {
    "name": text(),
    "zone": text(),
    "region": text(),
    "listen": address(),  # for other daemons
    "advertise": text(default=""),  # what others are told instead of listen
    "http": address(),  # clients, replicas, platform, operators
    "seeds": list_of(address(), least=1),
    "cores": list_of(text(), least=3, unique=True),
    "data": text(default=""),
    "tolerance": record(TOLERANCE, default=None),  # what may be lost at once (5.9)
    "first": boolean(default=True),  # may a core with an empty disk help to form the first view (5.5)
    **{f"{role}_{field}": text(default="") for role in ROLES for field in ("key", "key_file")},
    "open": boolean(default=False),  # listen beyond loopback without keys
    "orders_to": text(default=""),
    "log_level": one_of("DEBUG", "INFO", "WARNING", default="INFO"),
    "tuning": record(TUNING, default=None),
}
"""A daemon's settings (docs/options.md explains each): name -> its type."""


def tuning(**values: Any) -> dict[str, Any]:
    """Return checked tuning: the values given, and defaults.

    :raises InvalidSettingsError: a value has faults.
    """
    checked_values, faults = validate(record(TUNING), values)
    if faults:
        raise InvalidSettingsError(_message(faults))
    tuning_values: dict[str, Any] = checked_values
    return tuning_values


def _message(faults: Iterable[tuple[str, str]]) -> str:
    return "; ".join(f"{path}: {what}" for path, what in faults)


def checked(raw: Mapping[str, Any], /) -> dict[str, Any]:
    """Return checked settings, with defaults for what is not given.

    :raises InvalidSettingsError: they have faults; all of them are named.
    """
    settings: dict[str, Any]
    settings, errors = validate(record(SETTINGS), raw)
    faults: FaultList = errors or _core_faults(settings) or _key_faults(settings)
    if faults:
        raise InvalidSettingsError(_message(faults))
    settings["tuning"] = settings["tuning"] or tuning()
    faults = _duty_faults(settings["tuning"])
    if faults:
        raise InvalidSettingsError(_message(faults))
    settings["tolerance"] = settings["tolerance"] or dict.fromkeys(TOLERANCE, 1)
    return settings


def _duty_faults(values: Mapping[str, Any]) -> FaultList:
    """Return what is wrong with the times of duties: a lease must outlast the ordinary age of a proof (design 18)."""
    if not values["duties"]:
        return ()
    least = LeaseTimes.shortest_lease(values)
    if values["duty_lease"] < least:
        return (("tuning.duty_lease", f"wants to be at least {least.total_seconds():.2f} s, so that a lease outlasts the age of a proof"),)
    if not values["duty_rate"] or not values["usage_window"]:
        return (("tuning.duties", "want duty_rate and usage_window above 0"),)
    return ()


def _core_faults(settings: Mapping[str, Any]) -> FaultList:
    """Return what is wrong with the cores that are named."""
    if not MIN_CORES <= len(settings["cores"]) <= MAX_CORES:
        return (("cores", "wants three names, up to nine"),)
    if not settings["data"] and settings["name"] in settings["cores"]:
        return (("data", "a core needs a data folder"),)
    return ()


def _key_faults(settings: dict[str, Any]) -> FaultList:
    """Take each role's key from its file, and return what is wrong. Beyond loopback there must be all of them (design 8.7)."""
    faults = [fault for role in ROLES for fault in _load_key(settings, role)]
    keys = [settings[f"{role}_key"] for role in ROLES if settings[f"{role}_key"]]
    if len(set(keys)) < len(keys):
        faults.append(("keys", "each role wants a key of its own"))
    if not faults and not settings["open"] and len(keys) < len(ROLES) and not _is_loopback(settings["http"]):
        faults.append(
            ("http", "listens beyond loopback: it wants operator_key, replica_key and platform_key (or their files), or open set outright")
        )
    return tuple(faults)


def _is_loopback(http: str) -> bool:
    return ipaddress.ip_address(http.rsplit(":", 1)[0].strip("[]")).is_loopback


def _load_key(settings: dict[str, Any], role: str) -> FaultList:
    """Take a role's key from its file, if there is one; return what is wrong."""
    name, path = f"{role}_key", settings[f"{role}_key_file"]
    if not path:
        return ()
    if settings[name]:
        return ((name, "is given twice, in the settings and by a file"),)
    try:
        with open(path, encoding="utf-8") as file:
            settings[name] = file.read().strip()
    except (OSError, ValueError) as error:
        return ((f"{name}_file", f"cannot be read: {error}"),)
    return () if settings[name] else ((f"{name}_file", "holds no key"),)


def read(*, path: str | None, flags: Mapping[str, Any]) -> dict[str, Any]:
    """Return the checked settings of a file and of flags, which go before it.

    :param flags: those that are None were not given.
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
            raise InvalidSettingsError(f"{path}: wants a table")
    raw.update({name: value for name, value in flags.items() if value is not None})
    return checked(raw)
