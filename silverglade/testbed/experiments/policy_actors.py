"""Fronts, replicas and clients of `policy_day.py`."""

import itertools
from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta

from ...routing.router import forward
from ...runtime.effects import start, to_milliseconds
from ..fake_servers.replica_engine import ReplicaEngine
from ..fake_servers.request_format import SEC
from .policy_sites import Kind


class Front:
    """One daemon: its part, and the connections that it keeps to replicas."""

    def __init__(self, *, name, zone, region, opt):
        self.name, self.zone, self.region = name, zone, region
        self.part = start(forward(me=name, region=region, opt=opt))
        self.idle = defaultdict(list)  # replica -> until when each idle connection is good
        self.heard = defaultdict(lambda: -SEC)  # replica -> when bytes of it came last


class Replica:
    """One life of a replica at an address."""

    def __init__(self, *, name, life, service, zone, region, spec, seed, now, warm):
        self.id, self.addr, self.service, self.zone, self.region = f"{name}.{life}", f"{name}:80", service, zone, region
        self.name, self.life, self.spec = name, life, spec
        self.engine = ReplicaEngine(replica_id=self.id, spec=spec, seed=seed, warm=warm, now=now)
        self.trips, self.wake_at, self.count = {}, None, itertools.count(1)
        self.hung = False  # takes requests and answers none, while its reports are good

    def record(self, now):
        return (
            self.id,
            self.addr,
            self.zone,
            self.region,
            self.service,
            self.spec.capacity,
            False,
            to_milliseconds(self.engine.slow_start_left(now)),
            -1,
        )


@dataclass(slots=True)
class Client:
    """One request as its client sees it."""

    kind: Kind
    zone: str
    parts: tuple
    tokens: tuple
    at: timedelta  # of its first try
    tries: int  # left
    body: bytes
    rid: str = ""
    front: Front | None = None
    sent: timedelta = timedelta(0)  # this try
    first: timedelta | None = None
    last: timedelta | None = None
    late: bool = False
    over: bool = False


@dataclass(slots=True)
class Trip:
    """One try of a front at a replica."""

    client: Client
    n: int
    effect: dict
    replica: Replica | None = None
    key: int = 0
    since: timedelta = timedelta(0)
    over: bool = False
    status: int = 200
