"""A core that missed hundreds of changes catches up while further changes arrive (docs/control-safety.md, 3.4)."""

import pytest

from silverglade.runtime.settings import tuning
from silverglade.testbed.experiments import change_backlog as backlog

SMALL = dict(size=3, tolerance=(1, 1, 1), catch_up=4.0)
GROWN = dict(size=5, tolerance=(2, 1, 1), catch_up=6.0)
ROLES = ("primary", "backup", "witness")
LIVENESS = "silverglade.control.liveness"


def play(role, way, site, **kw):
    c, seconds, received, whole = backlog.play(role, way, seed=1, **site, **kw)
    assert c.faults == [], (role, way)
    assert seconds <= site["catch_up"] and received <= 3 * whole + 20_000
    return c


@pytest.mark.parametrize("way", backlog.AWAY)
@pytest.mark.parametrize("role", ROLES)
def test_a_core_that_missed_500_changes_catches_up_within_seconds(role, way):
    play(role, way, SMALL)


@pytest.mark.parametrize("role,way", list(zip(ROLES, backlog.AWAY)))
def test_a_core_of_five_catches_up_within_seconds(role, way):
    play(role, way, GROWN)


def test_outcomes_are_pruned_after_their_retention_time():
    """Of 2,000 changes within a few minutes, the outcomes kept for 20 s are about a tenth."""
    c = play("witness", "down", SMALL, changes=2000, opt=tuning(outcome_keep=20))
    assert len(c.acks) > 2000
    assert max(backlog.rows(x) for x in c.cores.values() if x.gen) < 700


def test_a_core_that_never_pulls_missing_items_is_detected(monkeypatch):
    def pull(core, sender, now):
        pass

    monkeypatch.setattr(LIVENESS + ".pull_committed_items", pull)
    c, *_ = backlog.play("witness", "cut off", seed=1, changes=40, **SMALL)
    assert {fault[1] for fault in c.faults} & {"never-caught-up", "left-behind"}
