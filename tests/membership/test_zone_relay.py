"""The zone relay (design 5.7): which requests and rows it holds, when it answers, and which proof age its answers contain."""

from silverglade.membership.records import MemberRecord
from silverglade.membership.zone_relay import MAX_PENDING_MESSAGES, ZoneRelay, relay_of_zone
from silverglade.runtime.effects import ZERO, milliseconds
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.testbed.simulator.scenario import SEC

from .test_membership import large_idle_fleet

ROW = ("thing", "k", (1,), 1, "")
RECORD = MemberRecord("edge", "life", 1, 1, "zone", "r", "a", "h", False, "ready", (), ())


class Relay:
    """The relay of a zone with one other daemon."""

    def __init__(self):
        self.component = MachineComponent(ZoneRelay(zone="zone", tuning=tuning()))
        self.at(0, "roll", (RECORD,))

    def at(self, now_ms, *event):
        """Handle an event at a time and return the effects."""
        return self.component.send((milliseconds(now_ms), event))

    def request(self, now_ms, number):
        """Handle an update request of the zone's daemon."""
        return self.at(now_ms, "msg", "edge", ("get", number, (1, 1), 7))


def ages(effects):
    """Return the number and the proof age of each answer among the relay's effects."""
    found = []
    for effect in effects:
        match effect:
            case ("post", "membership", ("answer", "edge", ("news", number, _, _, age_ms, _), _)):
                found.append((number, age_ms))
            case ("post", *_):
                raise AssertionError(effect)
    return found


def test_a_request_without_a_queried_core_is_held_until_there_is_one():
    relay = Relay()
    relay.at(0, "items", (), (1, 1))
    relay.at(0, "core", "@10.0.0.1:1", False)
    assert relay.request(100, 5) == () and ages(relay.at(150, "pulse")) == []
    relay.at(200, "core", "core", True)
    assert ages(relay.at(400, "fresh", milliseconds(300))) == [(5, 100)]


def test_a_request_given_up_by_its_sender_is_dropped():
    relay = Relay()
    relay.at(0, "core", "@10.0.0.1:1", False)
    relay.request(100, 5)
    relay.at(1600, "pulse")
    relay.at(1700, "core", "core", True)
    assert ages(relay.at(1800, "fresh", milliseconds(1700))) == []


def test_rows_received_without_a_queried_core_go_to_the_next_one_unless_expired():
    relay = Relay()
    for k in range(MAX_PENDING_MESSAGES + 5):
        relay.at(0, "msg", "edge", ("told", (ROW, (k,))))
    relay.at(1400, "msg", "edge", ("told", (ROW,)))
    assert relay.at(1500, "core", "@10.0.0.1:1", False) == ()
    assert relay.at(1600, "core", "core", True) == (("send", "core", ("told", (ROW,))),)
    assert relay.at(1700, "core", "core", True) == ()


def test_an_answer_is_sent_with_the_renewed_proof_without_the_relays_wait_in_its_age():
    relay = Relay()
    relay.at(0, "items", (), (1, 1))
    relay.at(0, "core", "core", True)
    relay.at(0, "spot", 7)
    relay.at(1000, "fresh", milliseconds(100))
    relay.request(1000, 1)
    assert ages(relay.at(2020, "pulse")) == []  # the core's next answer is on its way
    assert ages(relay.at(2050, "fresh", milliseconds(1150))) == [(1, 900)]
    relay.request(2050, 2)
    assert ages(relay.at(3250, "pulse")) == [] and ages(relay.at(3300, "pulse")) == [
        (2, 2150)
    ]  # no proof arrived: the answer contains the full age


def test_no_daemon_of_an_idle_fleet_leaves_its_relay_because_of_the_proofs_age():
    scene = large_idle_fleet()
    scene.w.run(4)
    daemons = [node for node in scene.w.nodes.values() if node.hub]
    queried, max_age = {node.name: node.queried_core for node in daemons}, ZERO
    for _ in range(120):
        scene.w.run(0.1)
        max_age = max(max_age, *(scene.w.now - node.store_proved_at for node in daemons))
    assert {node.name: node.queried_core for node in daemons} == queried
    relays = [node.name for node in daemons if relay_of_zone(node.zone, node.members) == node.name]
    assert len(relays) == 9 and set(relays) <= set(queried.values())
    assert max_age < 2.8 * SEC
