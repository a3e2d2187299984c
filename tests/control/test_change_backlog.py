"""A core that was away for hundreds of changes (docs/control-safety.md, 3.4): it catches up while changes go on."""

import pytest

from silverglade.runtime.settings import tuning
from silverglade.testbed.experiments import change_backlog as backlog

SMALL = dict(size=3, tolerance=(1, 1, 1), catch_up=4.0)
GROWN = dict(size=5, tolerance=(2, 1, 1), catch_up=6.0)
ROLES = ("primary", "backup", "witness")
LIVENESS = "silverglade.control.liveness"


def judged(role, way, site, **kw):
    c, seconds, received, whole = backlog.play(role, way, seed=1, **site, **kw)
    assert c.faults == [], (role, way)
    assert seconds <= site["catch_up"] and received <= 3 * whole + 20_000
    return c


@pytest.mark.parametrize("way", backlog.AWAY)
@pytest.mark.parametrize("role", ROLES)
def test_a_core_that_missed_five_hundred_changes_is_up_to_date_within_seconds(role, way):
    judged(role, way, SMALL)


@pytest.mark.parametrize("role,way", list(zip(ROLES, backlog.AWAY)))
def test_so_it_is_among_five(role, way):
    judged(role, way, GROWN)


def test_two_thousand_changes_are_kept_no_longer_than_their_outcomes_are_remembered():
    """Of 2,000 changes in some minutes: what is remembered for 20 s is a tenth of them."""
    c = judged("witness", "down", SMALL, changes=2000, opt=tuning(outcome_keep=20))
    assert len(c.acks) > 2000
    assert max(backlog.rows(x) for x in c.cores.values() if x.gen) < 700


def test_one_that_never_asks_for_what_it_lacks_is_seen(monkeypatch):
    def pull(core, sender, now):
        pass

    monkeypatch.setattr(LIVENESS + ".pull_committed_items", pull)
    c, *_ = backlog.play("witness", "cut off", seed=1, changes=40, **SMALL)
    assert {fault[1] for fault in c.faults} & {"never-caught-up", "left-behind"}
