"""Each number that a client, replica, peer, platform or operator sends, at its largest and smallest, wherever a state machine uses it.

Guards against incident daemon-ended-by-a-number: a request whose Token-Counts name 2^53 - 1 tokens ended a daemon that was stopping.
"""

import itertools
import sys
from datetime import timedelta

import pytest

from silverglade.autoscaling.replica_orderer import ReplicaOrderer
from silverglade.autoscaling.service_scaler import ServiceScaler
from silverglade.autoscaling.tenant_scaler import TenantScaler
from silverglade.configuration import schema
from silverglade.duties.usage_reporter import UsageReporter
from silverglade.duties.wall_clock import WindowClock
from silverglade.http.dialect import DEFAULT_DIALECT
from silverglade.http.request_facts import MAX_INTEGER, request_facts
from silverglade.membership.attribute_checks import is_valid_attribute
from silverglade.membership.records import MemberRecord
from silverglade.replicas.records import ReplicaEntry, ReplicaRecord, ReplicaStatus
from silverglade.routing.endpoint_list import EndpointList
from silverglade.routing.router import Router
from silverglade.runtime.errors import InvalidInputError
from silverglade.runtime.outside_input import MAX_COUNT, bounded_integer, bounded_number, parse_json
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.transport.framing import encode_frame
from silverglade.transport.message_schemas import is_valid_message

from ..support.router_bench import ZONES, RouterBench, endpoint, route
from .test_platform import endpoint_list

SECOND = timedelta(seconds=1)
COUNTS = (0, 1, MAX_COUNT, MAX_COUNT + 1, MAX_INTEGER - 1)
"""Numbers of tokens that a header may state."""

JSON_NUMBERS = ("0", "-1", "2147483648", "9223372036854775807", "-9223372036854775808", "1e308", "-1e308", "1e-320", "0.5")
"""Numbers that a JSON document may have."""


def assert_can_be_sent(effects):
    """Assert that each message and each published row among the effects can be sent to other daemons, and is taken there."""
    for effect in effects:
        if effect[0] == "send":
            encode_frame(sender="a", process_id="p", body=effect[2])
            assert is_valid_message(effect[2]), effect
        if effect[0] == "post" and effect[1] == "membership" and effect[2][0] == "publish":
            row = effect[2][1:]
            encode_frame(sender="a", process_id="p", body=("told", (row,)))
            assert is_valid_message(("told", (row,))), effect


def facts_of(**headers):
    """The facts of a request with these headers, named as in the dialect."""
    fields = {getattr(DEFAULT_DIALECT, name): value.encode() for name, value in headers.items()}
    fields[b"host"] = b"h"
    fields[DEFAULT_DIALECT.attempt] = b"t"
    return request_facts(method="POST", target=b"/r/x", fields=fields, size=0, dialect=DEFAULT_DIALECT)


# a client


class ClientBench(RouterBench):
    """A router whose route sends prompts where they are cached, with the holders of backlogs among its peers."""

    def __init__(self):
        replicas = [endpoint(str(number)) for number in range(4)]
        super().__init__(route(due_ms=15000, by_prefix=True, resumable=True, tries=3, gap_ms=600.0), replicas=replicas)

    def play(self, facts):
        """One request from its arrival to its end."""
        request_id = f"x{self.requests_made}"
        self.requests_made += 1
        effects = list(self.all_effects("request", request_id, facts))
        self.now += SECOND / 10
        effects += self.all_effects("pulse")
        started = [effect for effect in effects if effect[0] == "try"]
        for outcome in ("began", "silent", "done") if started else ():
            self.now += SECOND / 10
            effects += self.all_effects("tried", request_id, started[0][2], outcome)
        return effects


@pytest.mark.parametrize("is_stopping", [False, True], ids=["running", "stopping"])
def test_a_request_with_any_numbers_of_tokens_ends_no_daemon(is_stopping):
    """The case of review/6, at every number; requests with the route's usual numbers were served before."""
    bench = ClientBench()
    for tokens_in, tokens_out in itertools.product(COUNTS, COUNTS):
        bench.play(facts_of(tokens="826,40", prefix="a1:198,b2:628"))
        if is_stopping:
            bench.feed("leaving", *(bench.now + delay * SECOND for delay in (2.75, 6.5, 7)))
        for shared, own in itertools.product(COUNTS, COUNTS):
            headers = {"tokens": f"{tokens_in},{tokens_out}", "prefix": f"a1:{shared},b2:{own}"}
            assert_can_be_sent(bench.play(facts_of(**headers)))


@pytest.mark.parametrize("deadline", ["0", "1", str(MAX_INTEGER - 1), str(MAX_INTEGER), "9" * 30, "-1"])
def test_any_deadline_ends_no_daemon(deadline):
    bench = ClientBench()
    assert_can_be_sent(bench.play(facts_of(deadline=deadline, tokens="826,40")))


def test_a_head_full_of_the_longest_prompt_parts_can_be_reported_to_other_daemons():
    """Guards against a sum of tokens that no message between daemons can hold."""
    bench = ClientBench()
    prefix = ",".join(f"{number:x}:{MAX_INTEGER - 1}" for number in range(40_000))
    for _ in range(4):
        assert_can_be_sent(bench.play(facts_of(tokens=f"{MAX_INTEGER - 1},1", prefix=prefix)))
        shared = tuple((f"{number:x}", MAX_COUNT) for number in range(40_000))
        bench.feed("msg", "d2", ("load-put", "1", 2**62, shared, 2**62))
        assert_can_be_sent(bench.all_effects("msg", "d2", ("load-ask", 2**62, "1", shared, 2**62)))


# a replica, and the platform's list of replicas


def scaled_configuration(**service):
    """A configuration with one route to a service whose replicas are ordered."""
    scaling = {"least": 0, "most": 10000, "boot_ms": 3_600_000}
    raw = {
        "zones": ZONES,
        "tenants": {},
        "routes": [route(due_ms=15000)],
        "services": {"s": {"conns": 100, "scaling": scaling, **service}},
    }
    configuration, errors = schema.parse_configuration(raw)
    assert not errors, errors
    return configuration


class EdgeBench:
    """The components of a daemon that hear of replicas, connected as in a daemon, with a request now and then."""

    def __init__(self, configuration):
        options = tuning(cold_settle=0.1, scale_trend=0.5, duties=["scale"])
        self.machines = {
            "endpoint_list": EndpointList(own_name="d1", region="a", has_source=True, tuning=options),
            "router": Router(own_name="d1", region="a", tuning=options),
            "service_scaler": ServiceScaler(own_name="d1", region="a", tuning=options),
            "replica_orders": ReplicaOrderer(tuning=options),
        }
        self.components = {name: MachineComponent(machine) for name, machine in self.machines.items()}
        self.now, self.requests = 100 * SECOND, 0
        self.broadcast("roll", tuple(MemberRecord(name, "", 1, 1, "a1", "a", "", "", False, "ready") for name in ("d1", "d2")))
        self.broadcast("book", {"config": ((1, 1), configuration)}, (1, 1))
        self.broadcast("fresh", self.now)

    def broadcast(self, *event):
        for name in self.components:
            self.feed(name, *event)

    def feed(self, name, *event):
        """Feed an event, and what follows from it in the other components."""
        effects = self.components[name].send((self.now, event))
        assert_can_be_sent(effects)
        for effect in effects:
            if effect[0] == "post" and effect[1] in self.components:
                self.feed(effect[1], *effect[2])
            elif effect[0] == "post" and effect[1] == "membership" and effect[2][0] == "publish":
                _, kind, key, rank, value, _ = effect[2]
                self.broadcast("told", kind, {key: (rank, value)})
            elif effect[0] == "cast":
                self.broadcast(*effect[1])

    def serve(self, seconds=6):
        """Requests for a while, each answered."""
        for _ in range(seconds * 4):
            self.now += SECOND / 4
            self.requests += 1
            request_id = f"q{self.requests}"
            self.feed("router", "request", request_id, facts_of(tokens="826,40"))
            self.feed("router", "tried", request_id, 1, "done")
            self.broadcast("pulse")


@pytest.mark.parametrize("active", JSON_NUMBERS)
@pytest.mark.parametrize("capacity", JSON_NUMBERS)
def test_a_load_report_with_any_numbers_ends_no_daemon(active, capacity):
    body = f'{{"active": {active}, "queued": {active}, "capacity": {capacity}}}'.encode()
    report = endpoint_list.parse_report(body)
    assert report is not None and all(0 <= number <= MAX_COUNT for number in report)
    bench = EdgeBench(scaled_configuration())
    bench.feed("endpoint_list", "read", (tuple(endpoint("1")), tuple(endpoint("2"))))
    for _ in range(3):
        bench.feed("endpoint_list", "asked", "1", report)
        bench.feed("endpoint_list", "asked", "2", report)
        bench.serve(2)
    assert bench.machines["service_scaler"].measurements["s"].load.service_time is not None


@pytest.mark.parametrize("capacity, cold_ms, removed_ms", [*itertools.product(JSON_NUMBERS, JSON_NUMBERS, ("null", *JSON_NUMBERS))])
def test_an_entry_of_the_list_with_any_numbers_ends_no_daemon(capacity, cold_ms, removed_ms):
    entry = parse_json(
        f'{{"id": "1", "address": "10.0.0.1:80", "zone": "a1", "target": "s", "phase": "serving",'
        f' "capacity": {capacity}, "cold_left_ms": {cold_ms}, "remaining_ms": {removed_ms}}}'
    )
    bench = EdgeBench(scaled_configuration(cold_ms=3_600_000, cold_per_s=1e6))
    bench.feed("endpoint_list", "read", (endpoint_list.endpoint_record(entry, {"a1": "a"}),))
    assert set(bench.machines["router"].replicas) == {"1"}
    bench.serve(1)


@pytest.mark.parametrize("use", JSON_NUMBERS)
def test_a_tenants_replica_with_any_figures_ends_no_daemon(use, monkeypatch):
    import anyio

    from silverglade.server import replica_calls

    async def get(**_):
        figures = f'"use": {use}, "served": {use}, "running": {use}'
        return 200, f'{{"incarnation": 1, "state": "ready", {figures}}}'.encode()

    monkeypatch.setattr(replica_calls, "get", get)
    report = anyio.run(lambda: replica_calls.check_health(pool=None, address=""))
    assert 0 <= report.use <= 1 and 0 <= report.served <= MAX_COUNT and 0 <= report.running <= MAX_COUNT
    record = ReplicaRecord("r", 1, 1, "10.0.0.1:80", "a1", "model", ("a1",), (), 8, False)
    status = ReplicaStatus.parse(("r", 1, 1, 1, "ready", report.use, report.served, report.running, 8, 0))
    scaler = MachineComponent(TenantScaler(region="a", tuning=tuning()))
    tenant = {"homes": ["a1"], "keys": [schema.key_digest("k")], "classes": {"chat": {"aim_ms": 2**53}}}
    configuration, errors = schema.parse_configuration({"zones": ZONES, "tenants": {"t": tenant}})
    assert not errors
    scaler.send((SECOND, ("book", {"config": ((1, 1), configuration)}, (1, 1))))
    scaler.send((SECOND, ("replicas", {"r": ReplicaEntry(record, status, SECOND)})))
    for turn in range(1, 20):
        scaler.send((turn * SECOND, ("arrived", "model")))
        scaler.send((turn * SECOND, ("served", "model", SECOND / 10, SECOND / 10)))
        assert_can_be_sent(scaler.send((turn * SECOND, ("pulse",))))


def test_numbers_of_documents_are_bounded_and_others_refused():
    assert [bounded_integer(parse_json(text)) for text in JSON_NUMBERS] == [0, 0, MAX_COUNT, MAX_COUNT, 0, MAX_COUNT, 0, 0, 0]
    assert bounded_number(0.5) == 0.5 and bounded_number(1e308, most=1) == 1
    for wrong in (None, True, "1", float("nan"), [], {}):
        with pytest.raises(InvalidInputError):
            bounded_integer(wrong)


# a peer

HUGE = (2**62, 2**63 - 1, 2**64 - 1, -(2**63))
FLOATS = (float("nan"), float("inf"), 1e308, -1e308, sys.float_info.min)


@pytest.mark.parametrize("number", HUGE)
def test_rows_of_peers_with_any_numbers_end_no_daemon(number):
    bench = EdgeBench(scaled_configuration())
    bench.feed("endpoint_list", "read", (tuple(endpoint("1")),))
    rows = [
        ("load", "1", (number, number, number)),
        ("load", "1", (number,)),
        ("load", "1", "busy"),
        ("listed", "7", (*endpoint("7")[:5], number, False, 0, -1)),
        ("listed", "8", (*endpoint("8")[:5], 8, False, number, number)),
        ("suspect", "1 d2", (number,)),
        ("required", "s/a", (abs(number), abs(number), True, "d2")),
    ]
    for count, (kind, key, value) in enumerate(rows):
        if is_valid_message(("told", ((kind, key, (0, count), value, ""),))):
            bench.broadcast("told", kind, {key: ((0, count), value)})
            bench.serve(1)


@pytest.mark.parametrize("number", HUGE)
def test_a_message_with_a_number_whose_successor_cannot_be_sent_is_refused(number):
    assert is_valid_message(("alive", 1, 0)) and is_valid_message(("alive", 2**62, 0))
    assert is_valid_message(("alive", number, 0)) == (number == 2**62)
    assert is_valid_message(("pull", (1, number))) == (number == 2**62)
    assert is_valid_message(("prep", (number, "a"))) == (number == 2**62)
    assert is_valid_message(("told", (("k", "x", (number,), 1, ""),))) == (number == 2**62)
    assert not is_valid_message(("ask", "r", 1, "t", 1, ("chat", "k", "", number)))


@pytest.mark.parametrize("figure", FLOATS)
def test_figures_of_peers_that_cannot_be_calculated_with_are_refused(figure):
    is_small = figure == sys.float_info.min
    assert is_valid_attribute("parts", (("model", 1, figure, 1.0, 1.0, True),)) == is_small
    assert (ReplicaStatus.parse(("r", 1, 1, 1, "ready", figure, 0.0, 0, 8, 0)) is not None) == is_small


@pytest.mark.parametrize("window", [*HUGE, 0])
def test_a_usage_window_with_any_number_has_an_end(window):
    clock = WindowClock(length=5 * SECOND)
    clock.update_offset(10**9 * SECOND, SECOND)
    assert isinstance(clock.window_end(window), timedelta)
    assert clock.window_end(3) == 20 * SECOND - clock.offset


# an operator


@pytest.mark.parametrize("largest", [False, True], ids=["smallest", "largest"])
def test_a_configuration_with_its_largest_and_smallest_numbers_ends_no_daemon(largest):
    def either(least, most):
        return most if largest else least

    limits = {
        "header_bytes": either(256, 2**20),
        "body_bytes": either(0, 2**26),
        "header_ms": either(1, 2**53),
        "idle_ms": either(1, 2**53),
    }
    service = {
        "conns": either(1, 100000),
        "cold_ms": either(0, 3_600_000),
        "cold_per_s": either(sys.float_info.min, 1e6),
        "slots": either(0, 100000),
        "keeps": either(0, 2**53),
        "stride": either(1, 100000),
    }
    figures = {
        "due_ms": either(1, 86_400_000),
        "aim_ms": either(0.001, 1e12),
        "gap_ms": either(sys.float_info.min, 1e12),
        "rank": either(0, 1000),
        "tries": either(1, 100),
        "shares": [{"service": name, "weight": either(sys.float_info.min, 1e12)} for name in ("s", "t")],
    }
    raw = {"number": either(0, 2**53), "zones": ZONES, "tenants": {}, "limits": limits}
    raw["routes"] = [dict(route(), **figures), dict(route("p", prefix="/p/", kind="pure"), **figures)]
    raw["services"] = {"s": {**service, "scaling": {"least": 0, "most": 10000, "boot_ms": 3_600_000}}, "t": service}
    raw["callers"] = {"c": {"keys": [schema.key_digest("k")], "rank": either(0, 1000)}}
    configuration, errors = schema.parse_configuration(raw)
    assert not errors, errors
    bench = EdgeBench(configuration)
    bench.feed("endpoint_list", "read", (tuple(endpoint("1")), tuple(endpoint("2", service="t"))))
    bench.serve(3)


@pytest.mark.parametrize("rate", [sys.float_info.min, 1e-300, 1e12])
def test_any_rate_of_duty_calls_starts_a_daemon(rate):
    UsageReporter(tuning=tuning(duties=["usage"], duty_rate=rate))
