"""Duplicated and late messages between cores, also to a later process of the recipient (docs/control-safety.md, 1).

Random faults as in test_control_staleness, with every core polled for updates. One message in `DUPLICATE_ONE_IN` is delivered again, up
to `MAX_DELAY_S` seconds later, to the process that has the name by then. Only safety is checked here, not how fast cores recover.
"""

import pytest

from silverglade.testbed.faults import control_faults as trials
from silverglade.testbed.simulator import control_cluster as council

from ..support.source_mutation import without
from .test_control_staleness import settled

DUPLICATE_ONE_IN, MAX_DELAY_S = 12, 25
LIVENESS_FAULTS = {"not-back", "not-whole", "not-formed", "not-read-back", "no-service-before"}  # faults of liveness, not of safety


def duplicate_messages(c):
    """Deliver some messages a second time from now on; return a list that holds their number."""
    deliver, again = c.deliver, [0]

    def late(frm, to, body):
        x = c.cores.get(to)
        if x and x.gen:
            again[0] += 1
            x.feed(("msg", frm, body))

    def twice(frm, to, body):
        if to in c.cores and c.rng.randrange(DUPLICATE_ONE_IN) == 0:
            c.after(council.SEC * MAX_DELAY_S * c.rng.random() ** 3, late, frm.name, to, body)  # most of them after a short delay
        return deliver(frm, to, body)

    c.deliver = twice
    return again


def storm_with_duplicates(monkeypatch, seed, *, rounds=4, **kw):
    w, c = settled(monkeypatch, seed=seed, **kw)
    again = duplicate_messages(c)
    for _ in range(rounds):
        end = c.rng.choice(trials.TRIALS)(c)
        c.run(c.rng.uniform(0.5, 6))
        end()
        c.cuts.clear()
        if c.run(20, until=c.sound) is None:
            break
    ways = list(council.losses(c))
    council.closing(c, ways[seed % len(ways)])
    trials.served(c, 12)
    trials.read_back(c)
    return w, c, again[0]


@pytest.mark.parametrize("size,tolerance", [(3, (1, 1, 1)), (5, (2, 1, 1)), (5, (1, 1, 1))])
def test_duplicated_and_late_messages_break_no_guarantee(size, tolerance, monkeypatch):
    repeated = acknowledged = 0
    for seed in range(8):
        w, c, again = storm_with_duplicates(monkeypatch, seed, size=size, tolerance=tolerance)
        assert [b for b in c.faults if b[1] not in LIVENESS_FAULTS] == [], seed
        repeated, acknowledged = repeated + again, acknowledged + len(c.acks)
    assert repeated > 250 and acknowledged > 200


GUARDS = [
    ("a confirmation of any change counts", "replication", " or done.nonce != pending.nonce:", ":", "on_replicated"),
    (
        "a late recruiting snapshot is accepted",
        "snapshots",
        "snapshot.epoch <= core.epoch or snapshot.epoch < state.recruited",
        "False",
        "admit_recruiting_snapshot",
    ),
    (
        "a change is accepted on any version",
        "replication",
        "if newest_version(state.store) not in (change.previous, change.version):",
        "if False:",
        "on_replicate",
    ),
]


@pytest.mark.parametrize("what,module,old,new,target", GUARDS, ids=[g[0] for g in GUARDS])
def test_without_its_guard_a_late_message_breaks_a_guarantee(what, module, old, new, target, monkeypatch):
    without(monkeypatch, f"silverglade.control.{module}", old, new, f"silverglade.control.{module}.{target}")

    def broken(seed):
        _, c, _ = storm_with_duplicates(monkeypatch, seed, size=(3, 5)[seed % 2], tolerance=(1, 1, 1))
        return {b[1] for b in c.faults} & {"same-base", "both-won", "read-old"}

    assert any(broken(seed) for seed in range(80))
