"""A router on a bench: its events are made up, its effects are looked at, and nothing is sent."""

import time
from datetime import timedelta

from silverglade.configuration import schema
from silverglade.membership.records import MemberRecord
from silverglade.routing.records import EndpointRecord
from silverglade.routing.router import Router
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent

OWN_NAME = "d1"
ZONES = {"a1": {"region": "a"}, "b1": {"region": "b"}, "c1": {"region": "c"}}
LEFT_OUT = ("log", "post", "due", "limits", "forget", "renew")
"""Kinds of effects that most tests don't look at."""


def route(name="r", host="h", prefix="/r/", kind="streaming", **fields):
    """A route as an operator writes it."""
    required = dict(name=name, host=host, prefix=prefix, kind=kind, due_ms=4000, shares=[{"service": "s", "weight": 1}])
    return dict(required, **fields)


def parsed_configuration(*routes, number=1, callers=None, **services):
    """A configuration with these routes, which is valid; callers: name to fields, None: it wants no keys."""
    services = {"s": dict(conns=100, slots=8), **services}
    raw = dict(number=number, zones=ZONES, tenants={}, routes=routes, services=services)
    if callers is not None:
        raw["callers"] = callers
    configuration, errors = schema.parse_configuration(raw)
    assert not errors, errors
    return configuration


def endpoint(name, zone="a1", service="s", leaving=False, slow_start_ms=0, address=None):
    """A replica as the endpoint list has it."""
    return EndpointRecord(name, address or f"10.0.0.{name}:80", zone, ZONES[zone]["region"], service, 8, leaving, slow_start_ms, -1)


def member(name, zone="a1", region="a"):
    """A live daemon that forwards requests."""
    return MemberRecord(name, "", 1, 1, zone, region, "", "", False, "ready")


def request_facts(**facts):
    """What the HTTP layer says of a request; usual facts where none are given."""
    usual = dict(
        host="h",
        path="/r/x",
        method="POST",
        attempt="t",
        deadline_ms=4000,
        prefix=(),
        tokens=None,
        model="",
        last_event=None,
        size=0,
    )
    return dict(usual, **facts)


def only_effect(effects, kind):
    """The one effect that there is; it is of this kind."""
    assert [effect[0] for effect in effects] == [kind], effects
    return effects[0]


def new_router(name=OWN_NAME, region="a", options=None):
    """A router without configuration or replicas; options: tuning that is not the default."""
    return MachineComponent(Router(own_name=name, region=region, tuning=tuning(**(options or {}))))


class RouterBench:
    """A router that has settled: it has a configuration, three live daemons and its replicas."""

    def __init__(self, *routes, replicas=(endpoint("1"), endpoint("2")), region="a", options=None, **services):
        self.start(region=region, options=options)
        self.configure(*routes, **services)
        self.feed("roll", tuple(member(f"d{number}") for number in (1, 2, 3)))
        self.feed("listed", replicas, True)
        self.advance(30)  # past every time of settling

    def start(self, *, region="a", options=None):
        """Start a router, which knows nothing yet."""
        self.component, self.now, self.requests_made = new_router(region=region, options=options), timedelta(seconds=100), 0

    @classmethod
    def started(cls, configuration, replicas=()):
        """A bench whose router has just started: it has this configuration and these replicas, and no proof."""
        bench = cls.__new__(cls)
        bench.start()
        bench.feed("book", {"config": ((1, 2), configuration)}, (1, 2))
        bench.feed("roll", (member("d1"),))
        bench.feed("listed", replicas, True)
        return bench

    def configure(self, *routes, number=1, **services):
        """Put a configuration in force."""
        self.store = {"config": ((1, number), parsed_configuration(*routes, number=number, **services))}
        self.feed("book", self.store, (1, number))

    def drain(self, zone, on=True):
        """Let nothing new start in the zone, or take that back."""
        self.store = {**self.store, f"evac/{zone}": ((1, 99), on)}
        self.feed("book", self.store, (1, 99))

    def all_effects(self, *event):
        """Everything that the router wants done on this event."""
        return self.component.send((self.now, event))

    def feed(self, *event):
        """The effects of this event, without those that most tests don't look at."""
        return [effect for effect in self.all_effects(*event) if effect[0] not in LEFT_OUT]

    def advance(self, seconds):
        """Let time pass; the effects of what is due then."""
        self.now += timedelta(seconds=seconds)
        return self.feed("pulse")

    def request(self, path="/r/x", host="h", attempt=None, proved=0.0, **facts):
        """A client's request: its id, and the effects.

        :param proved: seconds since the proof that the configuration is the newest; None: the process was paused, and the proof is dropped.
        """
        self.feed("fresh", None if proved is None else self.now - timedelta(seconds=proved))
        request_id = f"q{self.requests_made + 1}"
        return request_id, self.request_unproved(path, host=host, attempt=attempt or f"t{self.requests_made + 1}", **facts)

    def request_unproved(self, path="/r/x", **facts):
        """The effects of a client's request, without a word on the proof of the configuration."""
        self.requests_made += 1
        return self.feed("request", f"q{self.requests_made}", request_facts(path=path, **facts))

    def report(self, request_id, attempt, outcome, *details):
        """The effects of what became of an attempt."""
        return self.feed("tried", request_id, attempt, outcome, *details)

    def part(self):
        """A function from an event to the router's effects, in real time and with a proved configuration."""
        origin = self.now - timedelta(seconds=time.monotonic())

        def effects(event):
            self.now = origin + timedelta(seconds=time.monotonic())
            if event[0] == "request":
                self.feed("fresh", self.now)
            return self.all_effects(*event)

        return effects
