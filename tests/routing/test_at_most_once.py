"""At-most-once execution (docs/control-safety.md 5) in seeded runs with silence, resets, paused daemons and SIGTERM."""

import pytest

from silverglade.testbed.faults import forwarding_faults as forward_faults

FAULTS = {
    "frozen": ("freeze", "dark"),
    "terminated": ("term", "roll_term", "dark", "crash"),
    "cut": ("cut_machine", "cut_replicas", "dark"),
    "reset": ("crash", "spoil", "forget"),
}


@pytest.mark.parametrize("name", FAULTS)
def test_no_request_runs_twice_or_gets_the_response_of_another(name):
    s, bad = forward_faults.run(town="hamlet", seed=31, kinds=FAULTS[name], secs_=14, gap=0.8)
    assert bad == [] and s.told()["200"] > 1000
    once = [a for a, sent in s.r.sent.items() if not sent.again]
    assert len(once) > 500 and all(len(s.r.runs_of[a]) <= 1 for a in once)
    unpromised = {a for a, g in s.r.got.items() if g.status not in (408, 421, 429, 503)}
    assert all(a in unpromised for a in once if s.r.runs_of[a])


def test_a_router_that_retries_after_a_loss_is_detected(monkeypatch):
    from silverglade.routing.request import Request

    monkeypatch.setattr(Request, "is_repeatable", property(lambda q: True))
    assert "TWICE" in {b[1] for b in forward_faults.run(town="hamlet", seed=31, kinds=FAULTS["reset"], secs_=14, gap=0.8, stop=True)[1]}
