"""Machines that start again while changes go on (design 5.7); incident refused-by-an-older-version.

Days of losses and restarts, judged after each event of each daemon: a store that is proved holds all that was acknowledged before its
proof, and a router that would refuse an unknown route holds all that was acknowledged `apply_ms` before.
"""

import pytest

from silverglade.testbed.simulator import restart_days
from silverglade.testbed.simulator.restart_days import RELAYED
from silverglade.testbed.simulator.scenario import SEC

from ..support.source_mutation import without

FEWEST_PROOFS = 10_000
"""Judged in one day."""


def judged(day):
    """The day, which was judged often enough and shows no breach."""
    assert day.o.breaches == []
    assert day.o.judged > FEWEST_PROOFS and day.o.certain_answers > FEWEST_PROOFS / 4
    return day


# guards against: an edge that started beside a region's return refuses a route that was acknowledged long before
@pytest.mark.parametrize("seed", range(3))
def test_an_edge_that_started_beside_a_lost_region_is_never_certain_of_an_older_version(seed):
    judged(restart_days.as_in_the_record(seed))


# guards against: a proof that is told for a store which lacks an acknowledged change, whatever failed before
@pytest.mark.parametrize("seed", range(3))
def test_a_proof_holds_all_that_was_acknowledged_before_it_through_losses_and_restarts(seed):
    judged(restart_days.stormy(seed, seconds=20))


# guards against: a zone relay that passes a proof on with an older store
def test_a_proof_that_a_zone_relay_passes_on_holds_all_that_was_acknowledged_before_it():
    judged(restart_days.stormy(0, seconds=20, size=RELAYED))


KNOWN_WITHIN_S = 1.0
"""A machine that starts holds what is in force, and its proof, though one core of three is away."""


# guards against: an edge that starts waits 1.5 s for a core that is away before it asks another
@pytest.mark.parametrize("seed", range(12))
def test_an_edge_that_starts_while_a_core_is_away_soon_knows_what_is_in_force(seed):
    day, edge = restart_days.started_while_a_core_is_away(seed)
    assert [took for took, name in day.o.ready_after if name == edge and took < KNOWN_WITHIN_S * SEC], day.o.ready_after
    assert day.o.breaches == []


UPDATER, ROUTER, RELAY = "silverglade.configuration.updater", "silverglade.routing.router", "silverglade.membership.zone_relay"
LIVENESS, DAEMON_PARTS = "silverglade.control.liveness", "silverglade.runtime.daemon_components"
BREACHES = [
    (
        "a proof is as new as its answer",
        (UPDATER, "proved_at = answered_at - milliseconds(answer.proof_age_ms)", "proved_at = now", f"{DAEMON_PARTS}.Updater"),
        {"proved-what-is-old"},
    ),
    (
        "the items of an answer are left out",
        (UPDATER, "newer = [item for item in answer.items if is_newer(item, self.store)]", "newer = []", f"{DAEMON_PARTS}.Updater"),
        {"proved-without-an-item"},
    ),
    (
        "the router misses changes",
        (ROUTER, "if configuration is not context.configuration and", "if context.configuration is None and", f"{DAEMON_PARTS}.Router"),
        {"router-beside-its-store"},
    ),
    (
        "a route is refused whatever the age of the proof",
        (
            "silverglade.routing.context",
            'return self.proved_at is not None and now - self.proved_at <= self.tuning["certain"]',
            "return True",
            f"{ROUTER}.RouterContext",
        ),
        {"certain-of-an-older-version"},
    ),
    (
        "a zone relay says that each proof is new",
        (RELAY, "return -((self._proved_at - now) // milliseconds(1))", "return 0", f"{DAEMON_PARTS}.ZoneRelay"),
        {"proved-what-is-old"},
    ),
    (
        "a core takes a proof of one who shows more",
        (LIVENESS, "    elif heartbeat.age >= 0:", "    if heartbeat.age >= 0:", f"{LIVENESS}.on_heartbeat"),
        {"proved-what-is-old"},
    ),
    (
        "a core's proof is as new as the heartbeat that brought it",
        (LIVENESS, "milliseconds(heartbeat.echo - age))", "now)", f"{LIVENESS}.on_heartbeat"),
        {"proved-what-is-old"},
    ),
]


MOST_DAYS = 8
"""Played with a guard cut out until the oracle sees what is wrong."""


@pytest.mark.parametrize("mutation, rules", [breach[1:] for breach in BREACHES], ids=[breach[0] for breach in BREACHES])
def test_the_oracle_sees_a_proof_that_is_wrong(mutation, rules, monkeypatch):
    without(monkeypatch, *mutation)
    days = (restart_days.stormy(seed, seconds=15, size=RELAYED) for seed in range(MOST_DAYS))
    assert any(rules <= {rule for _, rule, *_ in day.o.breaches} for day in days)
