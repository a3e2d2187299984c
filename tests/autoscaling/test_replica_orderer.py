"""Ordering replicas under a lease (design 16.5): each test fails without its rule."""

import random
from datetime import timedelta

import pytest

from silverglade.autoscaling.replica_orderer import FIRST_PAUSE, LONGEST_PAUSE, MOST_CALLS, OrderCalls, ReplicaOrderer
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
    """The component, driven; three replicas of the service s in each zone, of which each region requires five."""

    def __init__(self, *, zones=("a1", "a2", "b1", "b2"), leased=True, scaling=SCALING, **options):
        self.part = MachineComponent(ReplicaOrderer(tuning=tuning(**options)))
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

    def tell(self, *event):
        for effect in self.part.send((self.now * SECOND, event)):
            if effect[0] == "call-platform":
                self.calls.append(effect)
            elif effect[0] == "log":
                self.logs.append((effect[1], dict(effect[2])))
            elif effect[0] == "due":
                self.wake = effect[1]

    def configure(self, configuration, **drained):
        store = {f"evac/{zone}": ((1, 2), on) for zone, on in drained.items()}
        self.tell("book", {"config": ((1, 1), configuration), **store}, (1, 2))

    def members(self, *regions):
        self.tell("roll", tuple(member(f"edge-{region}", region) for region in regions))

    def list(self, *names, leaving=False, service="s", gone=False):
        rows = {}
        for name in names:
            zone = name.split("-")[0]
            record = (name, "10.0.0.1:80", zone, REGION_OF[zone], service, 64, leaving, 0, -1)
            rows[name] = ((0, 1), None if gone else record)
        self.tell("told", "listed", rows)

    def require(self, region, required, *, publisher=None, short=False):
        self.row_number += 1
        value = (required, 6, short, publisher or f"edge-{region}")
        self.tell("told", "required", {f"s/{region}": ((self.row_number,), value)})

    def lease(self, token, until=LONG, duty="scale"):
        self.tell("lease-changed", duty, token, until)

    def end(self, status, call=-1):
        self.tell("platform-called", self.calls[call][1], status, b"")

    def run(self, seconds):
        """Time goes on; -> the calls that were made meanwhile, as (zone, count)."""
        made = len(self.calls)
        for _ in range(int(seconds * 10)):
            self.now = round(self.now + 0.1, 1)
            self.tell("pulse")
        return [(call[5]["zone"], call[5]["count"]) for call in self.calls[made:]]


def test_no_call_until_something_differs():
    h = Holder()
    assert h.run(120) == [] and h.logs == []


def test_an_order_is_a_call_with_the_token_of_the_lease():
    h = Holder()
    h.require("a", 6)
    assert h.run(4) == [("a1", 4)]
    assert h.calls[0] == ("call-platform", h.calls[0][1], "scale", 7, "scale", {"service": "s", "zone": "a1", "count": 4})
    h.end(200)
    assert h.run(7) == []  # it boots
    h.list("a1-new")
    assert h.run(100) == []
    assert [name for name, _ in h.logs] == ["replica-order"]


def test_only_the_holder_calls_and_only_while_the_lease_may_be_used():
    h = Holder(leased=False)
    h.require("a", 8)
    assert h.run(10) == []
    h.lease(None, None)
    h.lease(7, None)  # a new holder that waits
    assert h.run(10) == []
    h.lease(7, duty="usage")
    assert h.run(10) == []
    h.lease(7, (h.now + 3) * SECOND)
    assert h.run(3) == [("a1", 5), ("a2", 4)]
    h.end(None)
    assert h.run(60) == []  # it was to be made again, but the lease has run out
    h.lease(7)
    assert h.run(4) == [("a2", 4)]
    h.lease(None, None)
    h.require("b", 9)
    assert h.run(60) == []


def test_a_new_lease_forgets_what_was_ordered_and_goes_on_from_what_is_listed():
    h = Holder()
    h.require("a", 6)
    h.run(4)
    first = h.calls[-1][1]
    h.lease(None, None)
    h.lease(9)
    h.tell("platform-called", first, 200, b"")  # an answer to a call under the old token says nothing
    assert h.run(4) == []  # what was ordered remains the order until it is found missing for long
    h.require("a", 8)
    assert {call[3] for call in h.calls[1:]} == set() and h.run(4) != []
    assert {call[3] for call in h.calls[1:]} == {9} and len({call[1] for call in h.calls}) == len(h.calls)


def test_a_number_that_was_confirmed_under_another_lease_is_sent_again():
    h = Holder()
    h.require("a", 6)
    h.run(4)
    h.end(200)
    h.lease(None, None)
    h.require("a", 5)
    h.run(70)  # the daemon that holds it now gave the replica back
    h.lease(9)
    h.require("a", 6)
    assert h.run(4) == [("a1", 4)]


def test_a_higher_fence_stops_all_calls_until_the_lease_changes():
    h = Holder()
    h.require("a", 6)
    h.run(4)
    h.end(409)
    h.require("b", 9)
    h.lease(7, 2 * LONG)  # the same lease, for longer
    assert h.run(60) == []
    h.lease(8)
    assert ("b1", 5) in h.run(4)


@pytest.mark.parametrize("status", [None, 429, 500, 503])
def test_a_call_that_failed_is_made_again_with_a_growing_pause_and_the_newest_number(status):
    h = Holder()
    h.require("a", 6)
    h.run(4)
    times = []
    for _ in range(8):
        h.end(status)
        since, made = h.now, len(h.calls)
        while len(h.calls) == made and h.now < since + 100:
            h.run(0.1)
        times.append(round(h.now - since, 1))
    assert FIRST_PAUSE == SECOND and times == [1, 2, 4, 8, 16, 32, 32, 32] and LONGEST_PAUSE == 32 * SECOND
    h.require("a", 9)
    assert h.run(4) == [("a2", 5)]  # while the call for a1 is under way
    h.end(status, call=-2)
    assert h.run(40) == [("a1", 5)]


def test_what_was_confirmed_before_a_call_that_failed_is_not_known_to_stand():
    calls = OrderCalls()
    calls.succeed(4)
    assert calls.is_settled(4)
    calls.fail(SECOND)
    assert not calls.is_settled(4)


def test_a_number_that_has_changed_while_a_call_was_under_way_is_told_next():
    h = Holder()
    h.require("a", 6)
    assert h.run(4) == [("a1", 4)]
    h.require("a", 9)
    assert h.run(4) == [("a2", 5)]
    h.end(200, call=0)
    assert h.run(1) == [("a1", 5)]


def test_those_that_add_are_told_before_those_that_give_back():
    h = Holder()
    h.require("a", 1)
    while not h.calls and h.now < 100:
        h.run(0.1)
    assert h.calls[-1][5] == {"service": "s", "zone": "a2", "count": 2}
    h.end(503)
    h.require("b", 6)
    assert h.run(1.5) == [("b1", 4), ("a2", 2)]


def test_a_number_that_is_refused_is_logged_and_not_repeated():
    h = Holder()
    h.require("a", 6)
    h.run(4)
    h.end(400)
    assert h.logs[-1] == ("replica-order-failed", {"service": "s", "zone": "a1", "count": 4, "status": 400})
    assert ("a1", 4) not in h.run(100)


def test_few_calls_are_under_way_at_once_those_that_add_first():
    h = Holder(zones=tuple(REGION_OF))
    for region in "abc":
        h.require(region, 9)
    assert len(h.run(10)) == MOST_CALLS
    h.end(200)
    assert len(h.run(1)) == 1


def test_the_word_of_a_daemon_that_is_gone_counts_for_nothing():
    h = Holder()
    h.require("a", 6, publisher="gone")
    h.require("b", 6)
    assert h.run(4) == [("b1", 4)]
    h.members("a", "b")
    h.require("a", 6)
    assert h.run(4) == [("a1", 4)]


def test_without_word_from_a_region_its_orders_stay():
    h = Holder()
    h.require("a", 1)
    h.members("b")
    assert h.run(300) == []
    h.members("a", "b")
    assert h.run(100) != []


def test_rows_of_another_form_are_passed_over():
    h = Holder()
    h.tell("told", "required", {"s/a": ((99,), None), "s/b": ((99,), ("many",)), "s": ((9,), (50, 1, True, "edge-a"))})
    h.tell("told", "listed", {"x": ((0, 1), ("x",))})
    h.tell("told", "load", {"x": ((0, 1), (1, 2, 3))})
    assert h.run(60) == []


def test_replicas_that_leave_or_are_gone_or_of_another_service_do_not_count():
    h = Holder()
    h.list("a1-0", leaving=True)
    h.list("a1-1", gone=True)
    h.list("a1-8", "a1-9", service="t")
    h.run(2)
    assert h.part.machine.services["s"].zones["a1"].listed == 1


def test_a_drained_zone_is_made_up():
    h = Holder()
    h.configure({"routes": [route("s")], "services": {"s": {"scaling": SCALING}}}, a1=True, b1=False)
    assert h.run(4) == [("a2", 6)]


def test_homes_are_kept():
    h = Holder()
    h.configure({"routes": [route("s", ("a",))], "services": {"s": {"scaling": SCALING}}}, a1=True, a2=True)
    assert h.run(60) == []
    h.configure({"routes": [route("s", ("a", "b"))], "services": {"s": {"scaling": SCALING}}}, a1=True, a2=True)
    assert h.run(4) == [("b1", 6), ("b2", 6)]


def test_a_service_without_scaling_is_not_ordered():
    h = Holder(scaling=None)
    h.require("a", 9)
    assert h.run(30) == [] and h.part.machine.services == {}
    h = Holder()
    h.configure({"routes": [route("s")], "services": {"s": {}}})
    h.require("a", 9)
    assert h.run(30) == [] and h.part.machine.services == {}


def test_the_step_down_is_an_option():
    for step, gives_back in ((0.1, True), (0.0, False)):
        h = Holder(scale_step=step)
        h.require("a", 1)
        assert bool(h.run(100)) is gives_back


def test_without_a_configuration_it_sleeps():
    part = MachineComponent(ReplicaOrderer(tuning=tuning()))
    assert part.send((SECOND, ("pulse",))) == (("due", NEVER),)


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


def test_only_cores_order_and_only_where_the_platform_lets_them():
    assert Component.REPLICA_ORDERS in machine(Duty.SCALE, disk="d").components
    assert Component.REPLICA_ORDERS not in machine(disk="d").components
    assert Component.REPLICA_ORDERS not in machine(Duty.USAGE, disk="d").components
    assert Component.REPLICA_ORDERS not in machine(Duty.SCALE).components
