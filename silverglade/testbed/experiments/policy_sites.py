"""Shapes of deployments and days for `policy_day.py`: kinds of requests, replicas, troubles."""

import itertools
import random
from dataclasses import dataclass
from datetime import timedelta
from math import log, sqrt

from ...configuration import schema as config
from ...runtime.effects import to_milliseconds
from ..fake_servers.request_format import MS, SEC, ReplicaSpec


@dataclass(slots=True)
class Kind:
    """A kind of request. chain: (parts to choose from, mean tokens of one) of what its prompts share."""

    name: str
    service: str
    kind: str
    per_s: float  # over all zones
    aim: timedelta
    due: timedelta
    worth: float
    late_worth: float
    rank: int
    tries: int = 1
    resumable: bool = False
    homes: tuple = ()
    chain: tuple = ()
    own_tokens: int = 0
    out_tokens: int = 40
    gap_ms: int = 0

    @property
    def again(self):
        return self.kind == "pure" or self.resumable


@dataclass(slots=True)
class Site:
    """A deployment's shape: zones with their region and fronts, replicas by service, kinds of requests."""

    zones: dict  # zone -> (region, fronts)
    specs: dict  # service -> ReplicaSpec
    seats: dict  # service -> replicas in each zone
    kinds: tuple
    far: timedelta  # one way between regions
    between: timedelta  # one way between zones of a region


@dataclass(slots=True)
class Trouble:
    """what: hang, crash, replace (each for a share of a service's replicas), burst (share: how many times the traffic)."""

    what: str
    at: float
    lasts: float
    share: float
    name: str  # the service, or the kind of request


class Prompts:
    """Draws prompts: shared parts by popularity, lengths with a long tail."""

    def __init__(self, rng):
        self.rng, self.numbers = rng, itertools.count(1)

    def length(self, average):
        """A long-tailed number of tokens."""
        spread = sqrt(log(2))
        return max(1, int(average * self.rng.lognormvariate(-spread * spread / 2, spread)))

    def draw(self, kind):
        """-> ((part, tokens), ...) with the request's own part last, and the tokens of that."""
        parts = []
        for level, (count, average) in enumerate(kind.chain):
            i = int(count * self.rng.random() ** 1.2)
            parts.append((f"{kind.name}{level}.{i}", max(1, int(average * random.Random(f"{kind.name}/{level}/{i}").uniform(0.4, 1.6)))))
        own = self.length(kind.own_tokens) if kind.own_tokens else 0
        if own:
            parts.append((f"own{next(self.numbers)}", own))
        return tuple(parts), own


def configuration(site):
    """The checked configuration of a site's routes and services."""
    raw = dict(
        number=1,
        zones={z: {"region": g} for z, g in ((z, region) for z, (region, _) in site.zones.items())},
        tenants={},
        routes=[
            dict(
                name=k.name,
                host="h",
                prefix=f"/{k.name}/",
                kind=k.kind,
                due_ms=to_milliseconds(k.due),
                aim_ms=to_milliseconds(k.aim),
                gap_ms=k.gap_ms,
                rank=k.rank,
                tries=k.tries,
                homes=list(k.homes),
                by_prefix=bool(k.chain),
                resumable=k.resumable,
                shares=[dict(service=k.service, weight=1)],
            )
            for k in site.kinds
        ],
        services={
            s: dict(
                conns=x.conns,
                slots=x.capacity,
                cold_ms=to_milliseconds(x.cold),
                cold_per_s=x.cold_per_s,
                keeps=x.cache_tokens,
                stride=x.stride,
            )
            for s, x in site.specs.items()
        },
    )
    got, bad = config.parse_configuration(raw)
    assert not bad, bad
    return got


MODEL = ReplicaSpec(
    capacity=64, queue=115, cache_tokens=188495, step=3.09 * MS, per_slot=0.102 * MS, read=56.9, chunk=4096, stride=9, conns=770
)
DESK = ReplicaSpec(capacity=6, queue=24, work=30 * MS, conns=510, cold=0 * SEC, cold_per_s=0.0)


def two_regions(replicas=(6, 4, 6, 4, 6, 4)):
    """Two regions, three zones each, 75 fronts at few requests a second each, prompts that share long runs."""
    zones = {"n1": ("north", 12), "s1": ("south", 15), "n2": ("north", 12), "s2": ("south", 11), "n3": ("north", 12), "s3": ("south", 13)}
    kinds = (
        Kind(
            name="clause",
            service="model",
            kind="streaming",
            per_s=70,
            aim=SEC,
            due=4 * SEC,
            worth=2,
            late_worth=0.6,
            rank=1,
            tries=2,
            resumable=True,
            chain=((4, 2520), (794, 3780)),
            own_tokens=2890,
            out_tokens=52,
            gap_ms=600,
        ),
        Kind(
            name="reply",
            service="model",
            kind="streaming",
            per_s=102,
            aim=0.8 * SEC,
            due=12 * SEC,
            worth=3,
            late_worth=0.9,
            rank=0,
            homes=("north",),
            chain=((40, 119), (1736, 79)),
            own_tokens=628,
            out_tokens=290,
            gap_ms=600,
        ),
        Kind(
            name="status",
            service="desk",
            kind="effectful",
            per_s=43,
            aim=0.4 * SEC,
            due=6 * SEC,
            worth=1,
            late_worth=0.3,
            rank=2,
        ),
    )
    return Site(
        zones=zones,
        specs=dict(model=MODEL, desk=DESK),
        seats=dict(model=replicas, desk=(1,) * 6),
        kinds=kinds,
        far=55 * MS,
        between=0.5 * MS,
    )


DAYS = {
    "quiet": (0.6, ()),
    "load": (1.1, (Trouble("burst", 8, 4, 1.5, "clause"), Trouble("burst", 16, 8, 2.0, "reply"))),
    "hang": (1.0, (Trouble("hang", 6, 7, 0.1, "model"),)),
    "overload": (1.6, (Trouble("hang", 6, 7, 0.1, "model"), Trouble("burst", 14, 6, 1.5, "clause"))),
    "crash": (0.9, (Trouble("crash", 6, 4.5, 0.17, "model"), Trouble("replace", 14, 0.3, 0.3, "model"))),
}
