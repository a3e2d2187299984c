"""The daemon that asks for its zone (design 5.7): what it holds, when it answers, and how old its proof is told to be."""

from silverglade.membership.records import MemberRecord
from silverglade.membership.zone_relay import MAX_PENDING_MESSAGES, ZoneRelay, relay_of_zone
from silverglade.runtime.effects import ZERO, milliseconds
from silverglade.runtime.settings import tuning
from silverglade.runtime.state_machine import MachineComponent
from silverglade.testbed.simulator.scenario import SEC

from .test_membership import many

ROW = ("thing", "k", (1,), 1, "")
RECORD = MemberRecord("edge", "life", 1, 1, "zone", "r", "a", "h", False, "ready", (), ())


class Proxy:
    """A proxy of one zone with one daemon to answer; `at` sends it an event and keeps what comes out."""

    def __init__(self):
        self.part = MachineComponent(ZoneRelay(zone="zone", tuning=tuning()))
        self.at(0, "roll", (RECORD,))

    def at(self, now_ms, *event):
        return self.part.send((milliseconds(now_ms), event))

    def get(self, milliseconds, number):
        return self.at(milliseconds, "msg", "edge", ("get", number, (1, 1), 7))


def ages(effects):
    """Number and age of the answers among a part's effects."""
    return [(e[2][2][1], e[2][2][4]) for e in effects if e[:2] == ("post", "membership")]


def test_an_ask_that_comes_while_no_core_is_asked_is_held_and_answered_when_one_is():
    p = Proxy()
    p.at(0, "items", (), (1, 1))
    p.at(0, "core", "@10.0.0.1:1", False)
    assert p.get(100, 5) == () and ages(p.at(150, "pulse")) == []
    p.at(200, "core", "core", True)
    assert ages(p.at(400, "fresh", milliseconds(300))) == [(5, 100)]


def test_an_ask_that_its_asker_has_given_up_is_dropped():
    p = Proxy()
    p.at(0, "core", "@10.0.0.1:1", False)
    p.get(100, 5)
    p.at(1600, "pulse")
    p.at(1700, "core", "core", True)
    assert ages(p.at(1800, "fresh", milliseconds(1700))) == []


def test_rows_told_while_no_core_is_asked_go_to_the_next_one_unless_they_are_old():
    p = Proxy()
    for k in range(MAX_PENDING_MESSAGES + 5):
        p.at(0, "msg", "edge", ("told", (ROW, (k,))))
    p.at(1400, "msg", "edge", ("told", (ROW,)))
    assert p.at(1500, "core", "@10.0.0.1:1", False) == ()
    assert p.at(1600, "core", "core", True) == (("send", "core", ("told", (ROW,))),)
    assert p.at(1700, "core", "core", True) == ()


def test_an_answer_goes_out_with_the_renewed_proof_and_does_not_add_the_proxys_wait_to_its_age():
    p = Proxy()
    p.at(0, "items", (), (1, 1))
    p.at(0, "core", "core", True)
    p.at(0, "spot", 7)
    p.at(1000, "fresh", milliseconds(100))
    p.get(1000, 1)
    assert ages(p.at(2020, "pulse")) == []  # the core's next answer is on its way
    assert ages(p.at(2050, "fresh", milliseconds(1150))) == [(1, 900)]
    p.get(2050, 2)
    assert ages(p.at(3250, "pulse")) == [] and ages(p.at(3300, "pulse")) == [(2, 2150)]  # none came: told as old as it is


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
