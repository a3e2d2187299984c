"""One daemon's parts as one sans-IO machine (design 1.2).

`feed(now, event)` runs the parts to rest and returns the effects that leave the daemon.
The daemon program and the simulator drive this same function.
"""

from collections import deque

from .. import __version__
from ..autoscaling.scaler import scaler
from ..autoscaling.unordered_scaler import need
from ..configuration.operator_api import OperatorApi
from ..configuration.updater import Updater
from ..control.core import control_component
from ..control.role_assigner import RoleAssigner
from ..membership.core_table import table
from ..membership.member import roster
from ..membership.zone_relay import proxy
from ..replicas.registry import registry
from ..replicas.slot_leases import ledger
from ..routing.endpoint_list import catalog
from ..routing.router import forward
from ..tenant_requests.ingress import ingress
from ..tenant_shards.follower import follower
from ..tenant_shards.owner import owner
from ..transport.message_schemas import is_valid_message, known_fields
from .effects import ZERO, log, start
from .state_machine import MachineComponent

# which part hears which message between daemons
MESSAGE_RECEIVERS = {
    "membership": ("alive", "doubted"),
    "core_table": ("told", "sync"),
    "zone_relay": ("told", "get", "sync"),
    "slot_leases": ("lease", "release", "renew"),
    "shard_owner": ("ask", "leased", "unleased", "offer", "claimed", "unclaimed", "adopted", "unadopted", "copied", "fin", "quit"),
    "tenant_ingress": ("grant", "deny", "moved", "hand", "left", "res", "more"),
    "router": ("load-ask", "load-told", "load-put", "load-read"),
    "updater": ("news",),
    "operator_api": ("opr", "fenced"),
    "control": (
        "hb",
        "view",
        "prep",
        "acc",
        "prom",
        "accd",
        "nack",
        "snap",
        "snapok",
        "repl",
        "repd",
        "items",
        "pull",
        "get",
        "op",
        "fence",
    ),
    "claim_follower": ("claim", "mark", "adopt", "copy"),
}
CALLS = {
    "replica-put": "replica_registry",
    "replica-leave": "replica_registry",
    "platform": "replica_registry",
    "trace": "tenant_ingress",
    "head": "tenant_ingress",
    "serving": "router",
}


class DaemonMachine:
    def __init__(
        self,
        *,
        me,
        life,
        zone,
        region,
        addr,
        http,
        seeds,
        cores,
        opt,
        rng,
        disk="",
        saved=None,
        front="",
        lists=False,
        tolerance=(1, 1, 1),
        first=True,
    ):
        self.me = me
        saved = saved or {}
        if disk:  # made first, since it draws from `rng` before the others do
            control = control_component(
                name=me, disk=disk, cores=cores, saved=saved, tuning=opt, rng=rng, place=(zone, region), tolerance=tolerance, first=first
            )
        updater = Updater(
            own_name=me, zone=zone, region=region, is_core=bool(disk), own_address=addr, seeds=tuple(seeds), tuning=opt, rng=rng
        )
        p = self.parts = {
            "membership": roster(me=me, life=life, place=(zone, region, addr, http, bool(disk)), opt=opt),
            "replica_registry": registry(me=me, core=bool(disk), opt=opt),
            "updater": MachineComponent(updater),
            "slot_leases": ledger(me=me, opt=opt),
            "shard_owner": owner(me=me, zone=zone, cores=cores, opt=opt, rng=rng),
            "tenant_ingress": ingress(me=me, life=life, zone=zone, opt=opt),
            "router": forward(me=me, region=region, opt=opt),
            "endpoint_list": catalog(me=me, region=region, lists=lists, opt=opt),
            "service_scaler": need(me=me, region=region, opt=opt),
            "tenant_scaler": scaler(me=me, region=region, opt=opt),
            "operator_api": MachineComponent(OperatorApi(own_name=me, tuning=opt, rng=rng)),
        }
        if disk:
            p["control"] = control
            p["core_table"] = table(me=me, life=life, addr=addr, seeds=tuple(seeds), opt=opt)
            p["role_assigner"] = MachineComponent(RoleAssigner(tuning=opt))
            p["claim_follower"] = follower(me=me, saved=saved, opt=opt)
        else:
            p["zone_relay"] = proxy(zone=zone, opt=opt)
        for g in p.values():
            start(g)
        self.hear = {k: n for n, ks in MESSAGE_RECEIVERS.items() for k in ks if n in p}
        self.due = dict.fromkeys(p, ZERO)  # part -> when it wants its next pulse (1.5)
        self.queue = deque([("membership", ("extra", "version", __version__))])
        if front:
            self.queue.append(("membership", ("extra", "front", front)))

    def next(self):
        """When the next pulse is wanted."""
        return min(self.due.values())

    def aim(self, now, ev):
        """-> the parts an outside event goes to."""
        match ev:
            case ("pulse",):
                return tuple(n for n, t in self.due.items() if t <= now)
            case ("msg", _, (kind, *_)):
                return (self.hear[kind],) if kind in self.hear else ()
            case ("disk", (part, _), _, _):
                return (part,)
            case ("order" | "gone" | "ran" | "drain" | "drained", *_):
                return ("tenant_ingress",)
            case ("request" | "tried" | "reached" | "leaving", *_):
                return ("router",)
            case ("read" | "asked", *_):
                return ("endpoint_list",)
            case ("probed", *_):
                return ("slot_leases",)
            case ("call-gone", _):
                return ("operator_api",)
            case ("call", _, op, _):
                return (CALLS.get(op, "operator_api"),)
            case ("state", _):
                return ("membership", "control")
            case ("seeds", _):
                return ("updater", "core_table")
        return ()

    def feed(self, now, ev):
        out = []
        to = self.aim(now, ev)
        if not to and ev == ("pulse",):
            return out
        if not to or (ev[0] == "msg" and not is_valid_message(ev[2])):
            return [log("message-refused", sender=str(ev[1:2])[:40], what=str(ev)[:80])]
        if ev[0] == "msg":
            ev = (*ev[:2], known_fields(ev[2]))
        self.queue.extend((t, ev) for t in to)
        while self.queue:
            part, e = self.queue.popleft()
            if part not in self.parts:
                continue
            self.due[part] = ZERO
            for f in self.parts[part].send((now, e)):
                match f:
                    case ("due", t):
                        self.due[part] = t
                    case ("post", p, x):
                        self.queue.append((p, x))
                    case ("cast", x):
                        self.queue.extend((p, x) for p in self.parts)
                    case ("send", to, body) if to == self.me:
                        k = self.hear.get(body[0])
                        if k:
                            self.queue.append((k, ("msg", self.me, body)))
                    case _:
                        out.append(f)
        return out
