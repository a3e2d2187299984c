"""Ordering of replicas under a lease (design 16.5).

Each test fails if the rule that it checks is removed.
"""

import random
from datetime import timedelta

import pytest

from silverglade.autoscaling.replica_orderer import INITIAL_BACKOFF, MAX_BACKOFF, MAX_CONCURRENT_CALLS, OrderCalls, ReplicaOrderer
from silverglade.duties.duty import Duty
from silverglade.runtime.components import Component
from silverglade.runtime.daemon_machine import DaemonMachine
from silverglade.runtime.effects import NEVER
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent

SECOND = timedelta(seconds=1)
LONG = timedelta(days=1)
SCALING = {"least": 1, "most": 9, "boot_ms": 8000}
REGION_OF = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}


def member(name, region, state="ready"):
    return (name, "l", 1, 1, "z", region, "", "", False, state, (), ())


def route(service, homes=()):
    return {"homes": homes, "shares": [{"service": service, "weight": 1.0}]}


class Holder:
    """Drives the component. Each zone has three replicas of service s, and each region requires five."""

    def __init__(self, *, zones=("a1", "a2", "b1", "b2"), leased=True, scaling=SCALING, **options):
        self.orderer = MachineComponent(ReplicaOrderer(tuning=tuning(**options)))
        self.now, self.calls, self.logs, self.row_number, self.wake = 0.0, [], [], 0, None
        self.regions = sorted({REGION_OF[zone] for zone in zones})
        services = {"s": {"scaling": scaling} if scaling else {}, "t": {}}
        self.configure({"routes": [route("s"), route("t")], "services": services})
        self.members(*self.regions)
        for zone in zones:
            self.list(*[f"{zone}-{i}" for i in range(3)])
        for region in self.regions:
            self.require(region, 5)
        if leased:
            self.lease(7)
        self.run(4)

    def send(self, *event):
        for effect in self.orderer.send((self.now * SECOND, event)):
            if effect[0] == "call-platform":
                self.calls.append(effect)
            elif effect[0] == "log":
                self.logs.append((effect[1], dict(effect[2])))
            elif effect[0] == "due":
                self.wake = effect[1]

    def configure(self, configuration, **drained):
        store = {f"evac/{zone}": ((1, 2), on) for zone, on in drained.items()}
        self.send("book", {"config": ((1, 1), configuration), **store}, (1, 2))

    def members(self, *regions):
        self.send("roll", tuple(member(f"edge-{region}", region) for region in regions))

    def list(self, *names, leaving=False, service="s", gone=False):
        rows = {}
        for name in names:
            zone = name.split("-")[0]
            record = (name, "10.0.0.1:80", zone, REGION_OF[zone], service, 64, leaving, 0, -1)
            rows[name] = ((0, 1), None if gone else record)
        self.send("told", "listed", rows)

    def require(self, region, required, *, publisher=None, short=False):
        self.row_number += 1
        value = (required, 6, short, publisher or f"edge-{region}")
        self.send("told", "required", {f"s/{region}": ((self.row_number,), value)})

    def lease(self, token, until=LONG, duty="scale"):
        self.send("lease-changed", duty, token, until)

    def end(self, status, call=-1):
        self.send("platform-called", self.calls[call][1], status, b"")

    def run(self, seconds):
        """Advance the clock; return the calls made meanwhile, as (zone, count)."""
        made = len(self.calls)
        for _ in range(int(seconds * 10)):
            self.now = round(self.now + 0.1, 1)
            self.send("pulse")
        return [(call[5]["zone"], call[5]["count"]) for call in self.calls[made:]]


def test_no_call_is_made_while_the_listed_replicas_match_the_requirement():
    holder = Holder()
    assert holder.run(120) == [] and holder.logs == []


def test_an_order_is_sent_with_the_fencing_token():
    holder = Holder()
    holder.require("a", 6)
    assert holder.run(4) == [("a1", 4)]
    assert holder.calls[0] == ("call-platform", holder.calls[0][1], "scale", 7, "scale", {"service": "s", "zone": "a1", "count": 4})
    holder.end(200)
    assert holder.run(7) == []  # the replica boots
    holder.list("a1-new")
    assert holder.run(100) == []
    assert [name for name, _ in holder.logs] == ["replica-order"]


def test_calls_are_made_only_while_the_lease_is_usable():
    holder = Holder(leased=False)
    holder.require("a", 8)
    assert holder.run(10) == []
    holder.lease(None, None)
    holder.lease(7, None)  # a new holder during the takeover wait
    assert holder.run(10) == []
    holder.lease(7, duty="usage")
    assert holder.run(10) == []
    holder.lease(7, (holder.now + 3) * SECOND)
    assert holder.run(3) == [("a1", 5), ("a2", 4)]
    holder.end(None)
    assert holder.run(60) == []  # a retry is due, but the lease has expired
    holder.lease(7)
    assert holder.run(4) == [("a2", 4)]
    holder.lease(None, None)
    holder.require("b", 9)
    assert holder.run(60) == []


def test_under_a_new_lease_orders_start_from_the_listed_replicas():
    holder = Holder()
    holder.require("a", 6)
    holder.run(4)
    first = holder.calls[-1][1]
    holder.lease(None, None)
    holder.lease(9)
    holder.send("platform-called", first, 200, b"")  # an answer to a call under the old token is ignored
    assert holder.run(4) == []  # the ordered count stays until replicas are missing for long
    holder.require("a", 8)
    assert {call[3] for call in holder.calls[1:]} == set() and holder.run(4) != []
    assert {call[3] for call in holder.calls[1:]} == {9} and len({call[1] for call in holder.calls}) == len(holder.calls)


def test_a_count_confirmed_under_another_lease_is_sent_again():
    holder = Holder()
    holder.require("a", 6)
    holder.run(4)
    holder.end(200)
    holder.lease(None, None)
    holder.require("a", 5)
    holder.run(70)  # meanwhile the current holder has given the replica back
    holder.lease(9)
    holder.require("a", 6)
    assert holder.run(4) == [("a1", 4)]


def test_a_fenced_call_stops_all_calls_until_the_token_changes():
    holder = Holder()
    holder.require("a", 6)
    holder.run(4)
    holder.end(409)
    holder.require("b", 9)
    holder.lease(7, 2 * LONG)  # the same lease, for longer
    assert holder.run(60) == []
    holder.lease(8)
    assert ("b1", 5) in holder.run(4)


@pytest.mark.parametrize("status", [None, 429, 500, 503])
def test_a_failed_call_is_retried_with_backoff_and_the_newest_count(status):
    holder = Holder()
    holder.require("a", 6)
    holder.run(4)
    times = []
    for _ in range(8):
        holder.end(status)
        since, made = holder.now, len(holder.calls)
        while len(holder.calls) == made and holder.now < since + 100:
            holder.run(0.1)
        times.append(round(holder.now - since, 1))
    assert INITIAL_BACKOFF == SECOND and times == [1, 2, 4, 8, 16, 32, 32, 32] and MAX_BACKOFF == 32 * SECOND
    holder.require("a", 9)
    assert holder.run(4) == [("a2", 5)]  # while the call for a1 is under way
    holder.end(status, call=-2)
    assert holder.run(40) == [("a1", 5)]


def test_a_failed_call_clears_the_confirmed_count():
    calls = OrderCalls()
    calls.record_success(4)
    assert calls.is_settled(4)
    calls.record_failure(SECOND)
    assert not calls.is_settled(4)


def test_a_count_that_changes_during_a_call_is_sent_next():
    holder = Holder()
    holder.require("a", 6)
    assert holder.run(4) == [("a1", 4)]
    holder.require("a", 9)
    assert holder.run(4) == [("a2", 5)]
    holder.end(200, call=0)
    assert holder.run(1) == [("a1", 5)]


def test_orders_that_add_replicas_are_sent_first():
    holder = Holder()
    holder.require("a", 1)
    while not holder.calls and holder.now < 100:
        holder.run(0.1)
    assert holder.calls[-1][5] == {"service": "s", "zone": "a2", "count": 2}
    holder.end(503)
    holder.require("b", 6)
    assert holder.run(1.5) == [("b1", 4), ("a2", 2)]


def test_a_refused_count_is_logged_and_not_sent_again():
    holder = Holder()
    holder.require("a", 6)
    holder.run(4)
    holder.end(400)
    assert holder.logs[-1] == ("replica-order-failed", {"service": "s", "zone": "a1", "count": 4, "status": 400})
    assert ("a1", 4) not in holder.run(100)


def test_the_number_of_concurrent_calls_is_limited():
    holder = Holder(zones=tuple(REGION_OF))
    for region in "abc":
        holder.require(region, 9)
    assert len(holder.run(10)) == MAX_CONCURRENT_CALLS
    holder.end(200)
    assert len(holder.run(1)) == 1


def test_requirements_of_a_publisher_that_is_gone_are_ignored():
    holder = Holder()
    holder.require("a", 6, publisher="gone")
    holder.require("b", 6)
    assert holder.run(4) == [("b1", 4)]
    holder.members("a", "b")
    holder.require("a", 6)
    assert holder.run(4) == [("a1", 4)]


def test_without_a_requirement_the_orders_of_a_region_stay():
    holder = Holder()
    holder.require("a", 1)
    holder.members("b")
    assert holder.run(300) == []
    holder.members("a", "b")
    assert holder.run(100) != []


def test_malformed_rows_are_ignored():
    holder = Holder()
    holder.send("told", "required", {"s/a": ((99,), None), "s/b": ((99,), ("many",)), "s": ((9,), (50, 1, True, "edge-a"))})
    holder.send("told", "listed", {"x": ((0, 1), ("x",))})
    holder.send("told", "load", {"x": ((0, 1), (1, 2, 3))})
    assert holder.run(60) == []


def test_leaving_removed_and_foreign_replicas_are_not_counted():
    holder = Holder()
    holder.list("a1-0", leaving=True)
    holder.list("a1-1", gone=True)
    holder.list("a1-8", "a1-9", service="t")
    holder.run(2)
    assert holder.orderer.machine.services["s"].zones["a1"].listed == 1


def test_a_drained_zone_is_compensated_in_another_zone():
    holder = Holder()
    holder.configure({"routes": [route("s")], "services": {"s": {"scaling": SCALING}}}, a1=True, b1=False)
    assert holder.run(4) == [("a2", 6)]


def test_replicas_are_ordered_in_home_regions_only():
    holder = Holder()
    holder.configure({"routes": [route("s", ("a",))], "services": {"s": {"scaling": SCALING}}}, a1=True, a2=True)
    assert holder.run(60) == []
    holder.configure({"routes": [route("s", ("a", "b"))], "services": {"s": {"scaling": SCALING}}}, a1=True, a2=True)
    assert holder.run(4) == [("b1", 6), ("b2", 6)]


def test_a_service_without_scaling_is_not_ordered():
    holder = Holder(scaling=None)
    holder.require("a", 9)
    assert holder.run(30) == [] and holder.orderer.machine.services == {}
    holder = Holder()
    holder.configure({"routes": [route("s")], "services": {"s": {}}})
    holder.require("a", 9)
    assert holder.run(30) == [] and holder.orderer.machine.services == {}


def test_a_zero_scale_step_disables_decreases():
    for step, gives_back in ((0.1, True), (0.0, False)):
        holder = Holder(scale_step=step)
        holder.require("a", 1)
        assert bool(holder.run(100)) is gives_back


def test_without_a_configuration_no_timer_is_set():
    orderer = MachineComponent(ReplicaOrderer(tuning=tuning()))
    assert orderer.send((SECOND, ("pulse",))) == (("due", NEVER),)


def machine(*duties, **options):
    return DaemonMachine(
        name="c1",
        process_id="l",
        zone="a1",
        region="a",
        peer_address="10.0.0.1:1",
        http_address="10.0.0.1:2",
        seeds=(),
        first_cores=("c1", "c2", "c3"),
        tuning=tuning(duties=duties, duty_rate=50.0) if duties else tuning(),
        rng=random.Random(1),
        **options,
    )


def test_the_component_exists_only_in_cores_with_the_scale_duty():
    assert Component.REPLICA_ORDERS in machine(Duty.SCALE, disk="d").components
    assert Component.REPLICA_ORDERS not in machine(disk="d").components
    assert Component.REPLICA_ORDERS not in machine(Duty.USAGE, disk="d").components
    assert Component.REPLICA_ORDERS not in machine(Duty.SCALE).components
