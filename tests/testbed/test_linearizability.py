"""Histories of operators' calls are linearizable (design 10.6): the checker itself, plays of the cores, planted breaches."""

import itertools
import random

import pytest

from silverglade.control import outcomes
from silverglade.runtime.effects import milliseconds
from silverglade.testbed.checkers.linearizability import Operation, Table, Zone, check_history
from silverglade.testbed.faults import control_faults as trials
from silverglade.testbed.simulator.operators import Play, Trouble, played

from ..support.source_mutation import without


def op(name, action, begun, ended=None, result=None, left=None):
    return Operation(name, action, milliseconds(begun), ended and milliseconds(ended), result, left and milliseconds(left))


def fits(*ops, start=None):
    return check_history(ops, start or Zone()).order is not None


OPEN, EMPTY, READ = ("set", False), ("set", True), ("read",)


def test_a_call_that_was_given_up_and_sent_again_may_not_come_after_a_later_acknowledged_one():
    late = op("x", OPEN, 1, left=1000)
    y, z = op("y", OPEN, 1100, 1200, "ok"), op("z", EMPTY, 1300, 1400, "ok")
    assert not fits(late, y, z, op("r", READ, 5000, 5010, False))
    assert fits(late, y, z, op("r", READ, 5000, 5010, True))
    assert fits(late, z, op("r", READ, 1250, 1260, False), start=Zone(True)) is True  # taken before the later one
    assert not fits(late, z, op("r", READ, 5000, 5010, False), start=Zone(True))
    assert fits(late, op("r", READ, 2000, 2010, True), op("s", READ, 3000, 3010, False), start=Zone(True))  # late, behind no change
    assert fits(op("x", OPEN, 1, left=1350), z, op("r", READ, 5000, 5010, False))  # its caller was still there


def test_reads_and_acknowledgements_agree_with_real_time():
    z = op("z", EMPTY, 10, 20, "ok")
    assert fits(z, op("r", READ, 15, 16, False)) and fits(z, op("r", READ, 15, 16, True))
    assert not fits(z, op("r", READ, 21, 22, False))
    assert not fits(op("w", EMPTY, 10, 90, "ok"), op("r", READ, 20, 30, True), op("s", READ, 40, 50, False))
    assert fits(op("w", EMPTY, 10, 90, "ok"), op("r", READ, 20, 50, True), op("s", READ, 40, 60, False))


def put(name, base, number, *rest, **kw):
    return op(name, ("put", base, number, f"{number}/{name}"), *rest, **kw)


def table(*ops):
    return fits(*ops, start=Table())


def test_one_of_two_changes_over_a_number_is_taken_and_a_refused_one_never():
    a, b = put("a", 0, 1, 1, 10, "ok"), put("b", 0, 1, 2, 11, "ok")
    assert table(a) and not table(a, b) and table(a, b._replace(result="refused"))
    assert not table(put("b", 0, 2, 1, 5, "refused"))  # nothing else was there
    assert table(put("c", 0, 3, 1, left=5), put("b", 0, 2, 6, 9, "refused"))  # an unclear one may have been
    assert not table(a, put("b", 0, 2, 20, 30, "refused"), op("r", READ, 40, 50, "2/b"))
    assert table(a, op("r", READ, 2, 3, ""), op("s", READ, 4, 5, "1/a")) and not table(a, op("r", READ, 11, 12, ""))
    assert not table(put("a", 1, 2, 1, 10, "ok")) and not table(put("a", 0, 0, 1, 10, "ok"))


def orders(ops, start):
    """By trying all orders of all choices: the meaning of a history, written down once more."""
    for n in range(1 << len(ops)):
        some = [o for i, o in enumerate(ops) if n >> i & 1]
        if all(o in some for o in ops if o.settled) and any(right(p, start) for p in itertools.permutations(some)):
            return True
    return False


def right(order, state):
    for i, o in enumerate(order):
        for before in order[:i]:
            if o.settled and o.answered < before.invoked:
                return False
            if not o.settled and before.changes and o.given_up and o.given_up < before.invoked:
                return False
        state = state.after(o.action, o.result)
        if state is None:
            return False
    return True


@pytest.mark.parametrize("seed", range(6))
def test_the_checker_says_what_trying_all_orders_says(seed):
    rng, seen = random.Random(seed), set()
    for n in range(120):
        ops = []
        for i in range(rng.randint(2, 6)):
            begun = rng.randrange(40)
            ended = begun + rng.randrange(1, 20)
            kind = rng.random()
            if kind < 0.3:
                ops.append(op(f"o{i}", READ, begun, ended, rng.random() < 0.5))
            elif kind < 0.7:
                ops.append(op(f"o{i}", ("set", rng.random() < 0.5), begun, ended, "ok"))
            else:
                ops.append(op(f"o{i}", ("set", rng.random() < 0.5), begun, left=ended))
        got = fits(*ops)
        assert got == orders(ops, Zone())
        seen.add(got)
    assert seen == {True, False}


CALM = dict(lost=0, twice=0, alone=0, answers_lost=0)
CUT_OFF = Trouble(cut=0.6, at=("op",), **CALM)
CUT_BEFORE = Trouble(cut=0.6, at=("fence",), unseen=1.0, **CALM)


def zone(seed, trouble=CUT_OFF):
    """One operator empties and opens one zone in turn, through front-ends that are cut off in the midst of its calls."""
    return played(seed=seed, sessions=1, pace=0.1, table_share=0.0, rounds=3, secs=8, zones=("za",), trouble=trouble)


def crowd(seed, **kw):
    """Eight operators at once: tables, zones, reads; resends to other front-ends, early and late."""
    return played(seed=seed, **kw)


def broken(plays):
    return [b for p in plays for b in p.broken()]


@pytest.mark.parametrize("trouble", [CUT_OFF, CUT_BEFORE], ids=["behind", "before"])
def test_no_late_call_undoes_a_later_acknowledged_one(trouble):
    plays = [zone(seed, trouble) for seed in range(4)]
    assert broken(plays) == []
    assert all(sum(a.result == "ok" for a in p.history.attempts) > 8 for p in plays)


def test_eight_operators_at_once_see_one_history():
    plays = [crowd(seed) for seed in range(4)]
    assert broken(plays) == []
    told = [a.result for p in plays for a in p.history.attempts]
    assert min(told.count("ok"), told.count("refused"), told.count(None)) > 10


@pytest.mark.parametrize("size,tolerance", [(3, (1, 1, 1)), (5, (2, 1, 1))])
@pytest.mark.parametrize(
    "trial",
    [
        trials.primary_loses_power,
        trials.primary_freezes,
        trials.primary_is_cut_off,
        trials.primary_is_mute,
        trials.primary_is_deaf,
        trials.backups_disk_stalls,
        trials.a_disk_is_lost,
        trials.core_is_cut_in_two,
    ],
    ids=lambda t: t.__name__,
)
def test_whatever_fails_in_the_cores_operators_see_one_history(trial, size, tolerance):
    assert broken([crowd(seed, rounds=2, meanwhile=trial, size=size, tolerance=tolerance) for seed in range(2)]) == []


def few_outcomes(monkeypatch):
    monkeypatch.setattr(outcomes, "MAX_OUTCOMES", 16)
    monkeypatch.setattr(outcomes, "EVICTION_BATCH", 4)


def test_where_few_outcomes_are_kept_operators_still_see_one_history(monkeypatch):
    few_outcomes(monkeypatch)
    assert broken([crowd(seed) for seed in range(4)]) == []


DECISIONS, REPLICATION = "silverglade.control.decisions", "silverglade.control.replication"
CALLS = "silverglade.testbed.simulator.operators.OperatorCalls"


def a_cut_off_primary_is_read(seed):
    """It was idle when it was cut off; others lead, while some front-ends go on asking the old one."""
    p = Play(seed=seed, table_share=0.9, trouble=Trouble(cut=0, old_words=0.5, **CALM))
    p.quiet()
    old, end = p.c.primary(), trials.primary_is_cut_off(p.c)
    assert p.c.run(8, until=lambda: p.c.primary() != old) is not None
    p.resume()
    p.c.run(4)
    end()
    p.quiet()
    return p


BREACHES = [
    (
        "a change is taken on a version that stands no more",
        zone,
        DECISIONS,
        "if operation.base != fencing_token(store, operation) and not is_unchanged:",
        "if False:",
        DECISIONS + ".decide_evacuation",
    ),
    (
        "a change is fenced when its caller may have gone",
        lambda seed: zone(seed, CUT_BEFORE),
        "silverglade.configuration.operator_calls",
        ("if now > call.caller_deadline:", " or call.lacks_fencing_token and now > call.caller_deadline"),
        ("if False:", ""),
        CALLS,
    ),
    ("what was forgotten is judged anew", crowd, DECISIONS, "if base < horizon:", "if False:", DECISIONS + ".base_mismatch"),
    (
        "a read that nobody confirmed",
        a_cut_off_primary_is_read,
        REPLICATION,
        """    else:
        replicate(core, view, pending)""",
        """    else:
        commit(core, view, pending, now)""",
        REPLICATION + ".begin",
    ),
]


@pytest.mark.parametrize("what,play,module,old,new,target", BREACHES, ids=[b[0] for b in BREACHES])
def test_without_its_guard_a_history_fits_no_order(what, play, module, old, new, target, monkeypatch):
    few_outcomes(monkeypatch)
    without(monkeypatch, module, old, new, target)
    assert any(play(seed).broken() for seed in range(24))


def test_a_read_of_an_old_primary_that_was_confirmed_is_never_wrong():
    assert broken([a_cut_off_primary_is_read(seed) for seed in range(3)]) == []


def test_eight_operators_at_once_are_answered_in_calm():
    """One round with the backups serves all that wait: with one for each, all eight would wait for more than a second, and
    what nobody waits for any more would hold up what comes next."""
    calm = Trouble(cut=0, unseen=0, old_words=0, **CALM)
    p = Play(seed=1, trouble=calm, pace=0.2)
    p.resume()
    p.c.run(15)
    p.quiet()
    calls = [a for a in p.history.attempts if a.name not in ("seen", "end")]
    assert p.broken() == [] and len(calls) > 300
    assert sum(a.result is None for a in calls) < len(calls) / 20  # those that contend for one zone too long
