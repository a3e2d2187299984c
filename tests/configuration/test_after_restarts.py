"""Restarts of machines during changes (design 5.7); guards against incident refused-by-an-older-version.

Simulated losses and restarts, checked after each event of each daemon: a store with a proof holds all changes acknowledged before the
time of the proof, and a router that would refuse an unknown route holds all changes acknowledged `apply_ms` earlier.
"""

import pytest

from silverglade.testbed.simulator import restart_days
from silverglade.testbed.simulator.restart_days import RELAYED
from silverglade.testbed.simulator.scenario import SEC

from ..support.source_mutation import without

MIN_CHECKED_PROOFS = 10_000
"""Least number of proofs that one simulated run must check."""


def assert_no_breach(day):
    """Assert that the run made enough checks and found no breach; returns the run."""
    assert day.o.breaches == []
    assert day.o.judged > MIN_CHECKED_PROOFS and day.o.certain_answers > MIN_CHECKED_PROOFS / 4
    return day


# Guards against an edge that starts while a lost region returns, and refuses a route that was acknowledged long before.
@pytest.mark.parametrize("seed", range(3))
def test_an_edge_that_starts_beside_a_lost_region_never_relies_on_an_outdated_version(seed):
    assert_no_breach(restart_days.as_in_the_record(seed))


# Guards against a proof that is reported for a store without an acknowledged change, whatever failed before.
@pytest.mark.parametrize("seed", range(3))
def test_a_proved_store_holds_all_earlier_acknowledged_changes_despite_losses_and_restarts(seed):
    assert_no_breach(restart_days.stormy(seed, seconds=20))


# Guards against a zone relay that forwards a proof with an older store.
def test_a_store_proved_through_a_zone_relay_holds_all_earlier_acknowledged_changes():
    assert_no_breach(restart_days.stormy(0, seconds=20, size=RELAYED))


READY_WITHIN_S = 1.0
"""Within this time a machine that starts holds the configuration in force and its proof, although one core of three is down."""


# Guards against an edge that at its start waits 1.5 s for a core that is down before it queries another.
@pytest.mark.parametrize("seed", range(12))
def test_an_edge_that_starts_while_a_core_is_away_soon_knows_what_is_in_force(seed):
    day, edge = restart_days.started_while_a_core_is_away(seed)
    assert [elapsed for elapsed, name in day.o.ready_after if name == edge and elapsed < READY_WITHIN_S * SEC], day.o.ready_after
    assert day.o.breaches == []


UPDATER, ROUTER, RELAY = "silverglade.configuration.updater", "silverglade.routing.router", "silverglade.membership.zone_relay"
LIVENESS, DAEMON_PARTS = "silverglade.control.liveness", "silverglade.runtime.daemon_components"
BREACHES = [
    (
        "a proof is dated to the arrival of its answer",
        (UPDATER, "proved_at = answered_at - milliseconds(answer.proof_age_ms)", "proved_at = now", f"{DAEMON_PARTS}.Updater"),
        {"proved-what-is-old"},
    ),
    (
        "the items of an answer are not applied",
        (UPDATER, "newer = [item for item in answer.items if is_newer(item, self.store)]", "newer = []", f"{DAEMON_PARTS}.Updater"),
        {"proved-without-an-item"},
    ),
    (
        "the router ignores later configurations",
        (
            ROUTER,
            "if configuration is not None and configuration is not context.configuration:",
            "if configuration is not None and context.configuration is None:",
            f"{DAEMON_PARTS}.Router",
        ),
        {"router-beside-its-store"},
    ),
    (
        "a route is refused regardless of the age of the proof",
        (
            "silverglade.routing.context",
            'return self.proof.is_younger_than(self.tuning["certain"], now)',
            "return True",
            f"{ROUTER}.RouterContext",
        ),
        {"certain-of-an-older-version"},
    ),
    (
        "a zone relay reports every proof as new",
        (RELAY, "return -((self._proved_at - now) // milliseconds(1))", "return 0", f"{DAEMON_PARTS}.ZoneRelay"),
        {"proved-what-is-old"},
    ),
    (
        "a core adopts the proof of a core with a newer version",
        (LIVENESS, "    elif heartbeat.age >= 0:", "    if heartbeat.age >= 0:", f"{LIVENESS}.on_heartbeat"),
        {"proved-what-is-old"},
    ),
    (
        "a core dates a proof to the heartbeat that carried it",
        (LIVENESS, "milliseconds(heartbeat.echo - age))", "now)", f"{LIVENESS}.on_heartbeat"),
        {"proved-what-is-old"},
    ),
]


MAX_RUNS = 8
"""Largest number of runs without a guard in which the oracle must detect the fault."""


@pytest.mark.parametrize("mutation, rules", [breach[1:] for breach in BREACHES], ids=[breach[0] for breach in BREACHES])
def test_the_oracle_detects_a_wrong_proof(mutation, rules, monkeypatch):
    without(monkeypatch, *mutation)
    days = (restart_days.stormy(seed, seconds=15, size=RELAYED) for seed in range(MAX_RUNS))
    assert any(rules <= {rule for _, rule, *_ in day.o.breaches} for day in days)
