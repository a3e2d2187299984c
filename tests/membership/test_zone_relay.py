"""The zone relay (design 5.7): which requests and rows it keeps, when it answers, and which age of its proof it states."""

from silverglade.membership.records import MemberRecord
from silverglade.membership.zone_relay import MAX_PENDING_MESSAGES, ZoneRelay, relay_of_zone
from silverglade.runtime.effects import ZERO, milliseconds
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.testbed.simulator.scenario import SEC

from .test_membership import many

ROW = ("thing", "k", (1,), 1, "")
RECORD = MemberRecord("edge", "life", 1, 1, "zone", "r", "a", "h", False, "ready", (), ())


class Relay:
    """The relay of a zone with one daemon to answer; `at` sends it an event and returns its effects."""

    def __init__(self):
        self.component = MachineComponent(ZoneRelay(zone="zone", tuning=tuning()))
        self.at(0, "roll", (RECORD,))

    def at(self, now_ms, *event):
        return self.component.send((milliseconds(now_ms), event))

    def request(self, now_ms, number):
        """The daemon of the zone asks for updates."""
        return self.at(now_ms, "msg", "edge", ("get", number, (1, 1), 7))


def ages(effects):
    """Number and stated age of the answers among the relay's effects."""
    found = []
    for effect in effects:
        match effect:
            case ("post", "membership", ("answer", "edge", ("news", number, _, _, age_ms, _), _)):
                found.append((number, age_ms))
            case ("post", *_):
                raise AssertionError(effect)
    return found


def test_an_ask_that_comes_while_no_core_is_asked_is_held_and_answered_when_one_is():
    relay = Relay()
    relay.at(0, "items", (), (1, 1))
    relay.at(0, "core", "@10.0.0.1:1", False)
    assert relay.request(100, 5) == () and ages(relay.at(150, "pulse")) == []
    relay.at(200, "core", "core", True)
    assert ages(relay.at(400, "fresh", milliseconds(300))) == [(5, 100)]


def test_an_ask_that_its_asker_has_given_up_is_dropped():
    relay = Relay()
    relay.at(0, "core", "@10.0.0.1:1", False)
    relay.request(100, 5)
    relay.at(1600, "pulse")
    relay.at(1700, "core", "core", True)
    assert ages(relay.at(1800, "fresh", milliseconds(1700))) == []


def test_rows_told_while_no_core_is_asked_go_to_the_next_one_unless_they_are_old():
    relay = Relay()
    for k in range(MAX_PENDING_MESSAGES + 5):
        relay.at(0, "msg", "edge", ("told", (ROW, (k,))))
    relay.at(1400, "msg", "edge", ("told", (ROW,)))
    assert relay.at(1500, "core", "@10.0.0.1:1", False) == ()
    assert relay.at(1600, "core", "core", True) == (("send", "core", ("told", (ROW,))),)
    assert relay.at(1700, "core", "core", True) == ()


def test_an_answer_goes_out_with_the_renewed_proof_and_does_not_add_the_proxys_wait_to_its_age():
    relay = Relay()
    relay.at(0, "items", (), (1, 1))
    relay.at(0, "core", "core", True)
    relay.at(0, "spot", 7)
    relay.at(1000, "fresh", milliseconds(100))
    relay.request(1000, 1)
    assert ages(relay.at(2020, "pulse")) == []  # the core's next answer is on its way
    assert ages(relay.at(2050, "fresh", milliseconds(1150))) == [(1, 900)]
    relay.request(2050, 2)
    assert ages(relay.at(3250, "pulse")) == [] and ages(relay.at(3300, "pulse")) == [(2, 2150)]  # none came: told as old as it is


def test_no_daemon_of_a_calm_fleet_leaves_its_proxy_because_of_the_proofs_age():
    s = many()
    s.w.run(4)
    daemons = [n for n in s.w.nodes.values() if n.hub]
    asked, oldest = {n.name: n.queried_core for n in daemons}, ZERO
    for _ in range(120):
        s.w.run(0.1)
        oldest = max(oldest, *(s.w.now - n.store_proved_at for n in daemons))
    assert {n.name: n.queried_core for n in daemons} == asked
    proxies = [n.name for n in daemons if relay_of_zone(n.zone, n.members) == n.name]
    assert len(proxies) == 9 and set(proxies) <= set(asked.values())
    assert oldest < 2.8 * SEC
