"""The cores alone (design 10.6): every fault of the core over many seeds, and a planted breach for every check."""

import pytest

from silverglade.control import placement
from silverglade.control import register as rg
from silverglade.runtime.effects import milliseconds
from silverglade.testbed.faults import control_faults as trials
from silverglade.testbed.simulator import control_cluster as council

from ..support.source_mutation import without

CONTROL = "silverglade.control"
REPLICATION, VIEW_CHANGE, STATE = CONTROL + ".replication", CONTROL + ".view_change", CONTROL + ".state"
SIZES = [(3, (1, 1, 1)), (5, (2, 1, 1))]


def fell(seeds, play):
    """Rules that were broken in any of the seeds."""
    return {b[1] for s in seeds for b in play(s).faults}


@pytest.mark.parametrize("size,tolerance", SIZES)
@pytest.mark.parametrize("trial", trials.TRIALS, ids=[t.__name__ for t in trials.TRIALS])
def test_control_is_back_within_seconds_and_whole_again_after(trial, size, tolerance):
    for seed in range(5):
        c, t = trials.one(trial, seed=seed, size=size, tolerance=tolerance)
        assert c.faults == [], seed
        assert t <= 6 and c.acks


@pytest.mark.parametrize(
    "size,tolerance,seeds", [(3, (1, 1, 1), 12), (5, (2, 1, 1), 36), (5, (1, 1, 1), 12), (7, (2, 1, 1), 12), (9, (2, 2, 1), 5)]
)
def test_what_was_acknowledged_outlives_every_loss_that_the_tolerance_names(size, tolerance, seeds):
    for seed in range(seeds):
        c, t = trials.last(seed=seed, size=size, tolerance=tolerance)
        assert c.faults == [], seed
        assert t <= 8


@pytest.mark.parametrize("size,tolerance", SIZES)
def test_faults_one_upon_another_break_no_rule(size, tolerance):
    for seed in range(100, 112):
        c, _ = trials.storm(seed=seed, size=size, tolerance=tolerance)
        assert c.faults == [], seed


def last(size=5, tolerance=(2, 1, 1)):
    return lambda seed: trials.last(seed=seed, size=size, tolerance=tolerance)[0]


def one(trial, size=5, tolerance=(2, 1, 1)):
    return lambda seed: trials.one(trial, seed=seed, size=size, tolerance=tolerance)[0]


def storm(size=5, tolerance=(2, 1, 1)):
    return lambda seed: trials.storm(seed=seed, size=size, tolerance=tolerance)[0]


def a_cut_off_primary_is_read(seed):
    """It was idle when it was cut off; others lead and take changes; then it is asked."""
    c = council.settled(seed=seed, size=5, tolerance=(2, 1, 1))
    ops, x = list(c.clients.values()), trials.lead(c)
    for o in ops:
        o.open = False
    c.run(1.5)
    end = trials.primary_is_cut_off(c)
    assert c.run(5, until=lambda: c.primary() != x.name)
    for o in ops:
        o.open = True
        o.next()
    assert trials.served(c, trials.BACK)
    council.Operator(c, "reader", reads=1.0, at=x.name)
    c.run(2)
    end()
    c.run(4)
    return c


def the_slower_backup_alone_is_left(seed):
    c = council.settled(seed=seed, size=5, tolerance=(2, 1, 1))
    slow, other = c.rng.sample(c.view()[2], 2)
    c.cores[slow].disk.slow = milliseconds(400)
    c.run(2)
    council.closing(c, {c.primary(), other})
    c.cores[slow].disk.slow = milliseconds(0)
    trials.served(c, 12)
    trials.read_back(c)
    return c


def both_sides_of_a_cut_lead(seed):
    c = council.settled(seed=seed, size=5, tolerance=(1, 1, 1))
    p, other = c.primary(), c.rng.choice(c.view()[2])
    side = {p, c.rng.choice([n for n in c.cores if n not in c.view()[2] and n != p])}
    c.cut(side, set(c.cores) - side)
    council.Operator(c, "here", at=p)
    council.Operator(c, "there", at=other)
    c.run(8)
    c.cuts.clear()
    c.run(6)
    return c


DECISIONS, REG = "silverglade.control.decisions", "silverglade.control.register"
BREACHES = [
    (
        "answered before the backups have synced",
        last(),
        {"both-won", "read-old"},
        REPLICATION,
        """        if succeeded:
            replicate(core, view, pending)""",
        """        if succeeded:
            replicate(core, view, pending)
            answer(core, *pending.answers[0])""",
        REPLICATION + ".on_written_by_primary",
    ),
    (
        "answered when one of two backups has synced",
        the_slower_backup_alone_is_left,
        {"both-won", "read-old"},
        REPLICATION,
        "pending.synced_here and pending.synced_by >= set(led.backups)",
        "pending.synced_here and pending.synced_by",
        REPLICATION + ".on_replicated",
    ),
    (
        "a backup's word before its own sync",
        the_slower_backup_alone_is_left,
        {"both-won", "read-old"},
        REPLICATION,
        ("    pruned = store.apply(state.store, change.items)", "    if succeeded:\n        core.send_outgoing(written.outgoing)"),
        ("    core.send_outgoing(confirmation)\n    pruned = store.apply(state.store, change.items)", ""),
        (REPLICATION + ".on_replicate", REPLICATION + ".on_written_by_backup"),
    ),
    (
        "a read that nobody confirmed",
        a_cut_off_primary_is_read,
        {"read-old"},
        REPLICATION,
        """    else:
        replicate(core, view, pending)""",
        """    else:
        commit(core, view, pending, now)""",
        REPLICATION + ".begin",
    ),
    (
        "views chosen by less than a majority",
        both_sides_of_a_cut_lead,
        {"two-views"},
        REG,
        "return n // 2 + 1",
        "return n // 2",
        REG + ".majority",
    ),
    (
        "two primaries of one epoch",
        both_sides_of_a_cut_lead,
        {"two-primaries"},
        REG,
        "return n // 2 + 1",
        "return n // 2",
        REG + ".majority",
    ),
    (
        "a change on a number that is not in force",
        storm(),
        {"same-base", "both-won"},
        DECISIONS,
        """    if operation.base != held:
        _, horizon = outcomes.horizon(store)
        return base_mismatch(operation.base, held, horizon) or base_conflict(held)
    configuration, faults = schema.parse_configuration(operation.raw)
    if not faults and not operation.number == configuration["number"] > held:""",
        """    configuration, faults = schema.parse_configuration(operation.raw)
    if False:""",
        DECISIONS + ".decide_numbered_configuration",
    ),
    (
        "another text is read than was sent",
        last(),
        {"read-foreign"},
        DECISIONS,
        "(SOURCE_KEY, operation.source)",
        '(SOURCE_KEY, operation.source + "?")',
        DECISIONS + ".decide_numbered_configuration",
    ),
    (
        "nobody takes over",
        one(trials.primary_loses_power),
        {"not-back"},
        VIEW_CHANGE,
        "    return problem",
        "    return None if problem == 'silent' else problem",
        VIEW_CHANGE + ".view_change_reason",
    ),
    (
        "nobody steps aside when it leaves",
        one(trials.all_leave_in_turn),
        {"not-back"},
        CONTROL + ".core",
        "self.state.writes.leaving = event.state != MemberState.READY",
        "",
        CONTROL + ".core.ControlCore",
    ),
    (
        "nobody is admitted",
        one(trials.a_disk_is_lost),
        {"not-whole", "not-formed"},
        VIEW_CHANGE,
        "state.better = BetterView(state.live_since, new) if new else None",
        "state.better = None",
        VIEW_CHANGE + ".look_for_better_view",
    ),
]


@pytest.mark.parametrize("what,play,rules,module,old,new,target", BREACHES, ids=[b[0] for b in BREACHES])
def test_without_its_guard_a_rule_falls(what, play, rules, module, old, new, target, monkeypatch):
    assert fell(range(3), play) == set()
    without(monkeypatch, module, old, new, *((target,) if isinstance(target, str) else target))
    assert fell(range(24), play) & rules


PLACES = {n: (z, g) for n, z, g in council.SITES[5]}


def score(names, need, places=PLACES, tolerance=(2, 1, 1)):
    return placement.losses_tolerated(names, need=need, places=places, tolerance=tolerance)


def test_a_set_of_cores_is_weighed_by_what_may_be_lost_of_it():
    assert score("abcde", 3) == (2, 1, 1)  # a majority of five is left after two, a zone, a region
    assert score("abc", 2) == (1, 1, 1)
    assert score("abcd", 3) == (1, 1, 0)  # the region of a and d
    assert score("abd", 2) == (1, 1, 0) and score("ad", 1) == (1, 1, 0)
    assert score("ab", 3) == (-1, -1, -1)
    assert score("abc", 2, places={}) == (1, 0, 0)  # of cores that nobody placed nothing is counted on


def test_backups_are_spread_and_those_there_are_stay():
    def pick(me, names, was=(), tolerance=(2, 1, 1)):
        return placement.choose_backups(own_name=me, names=names, current=was, places=PLACES, tolerance=tolerance)

    assert set(pick("a", "abcde", was="bc")) == {"b", "c"}
    assert set(pick("a", "abde")) & {"b", "e"}  # never d alone, which is in its region
    assert pick("a", "ad") == ("d",) and pick("a", "a") is None
    assert pick("a", "abcde", tolerance=(1, 1, 1))[0] in "bce" and len(pick("a", "abcde", tolerance=(1, 2, 1))) == 2


def test_witnesses_grow_while_that_bears_no_less_and_shrink_only_with_time():
    def pick(was, live, gone=(), tolerance=(2, 1, 1), places=PLACES):
        return "".join(
            sorted(placement.choose_witnesses(current=tuple(was), live=live, gone=set(gone), places=places, tolerance=tolerance))
        )

    assert pick("abc", "abc") == "abc"
    assert pick("abc", "abcd") == "abc"  # four would not bear the region of a and d
    assert pick("abc", "abcde") == "abcde"
    assert pick("abcde", "abcd") == "abcde"  # silent, not gone
    assert pick("abcde", "abcd", gone="e") == "abcd"
    more = {**PLACES, "f": ("ze", "y")}
    assert pick("abcde", "abcdf", places=more) == "abcdf"  # its place is taken
    assert pick("abcdf", "abcdef", places=more) == "abcdf"  # and it waits when it is back
    assert pick("abc", "ab", gone="c", tolerance=(1, 1, 1)) == "abc"  # never fewer than three


def test_seeds_that_come_back_empty_form_no_second_first_view(monkeypatch):
    """More disks lost than the tolerance names: control stays shut rather than begin again."""

    def play():
        c = council.settled(seed=4, size=5, tolerance=(2, 1, 1))
        for n, x in c.cores.items():
            x.empty() if n in c.named else x.power()
        for n in c.named:
            c.cores[n].boot()
        n = len(c.acks)
        c.run(8)
        return len(c.acks) > n, {rg.epoch(c.cores[m].state.view) for m in c.named}

    assert play() == (False, {0})
    guard = " and (first or formed_before)"
    without(monkeypatch, STATE, guard, "", CONTROL + ".core.may_form_first_view")
    assert play()[0]


def test_a_seed_that_stops_before_the_first_forming_still_forms_it():
    c = council.Council(seed=1, size=3, tolerance=(1, 1, 1))
    c.run(0.3)
    for x in c.cores.values():
        x.power()
    assert all(x.state.view is None for x in c.cores.values() if x.gen)
    for x in c.cores.values():
        x.boot()  # with `first` false, as after any start but the first
    assert c.run(10, until=c.sound) is not None


def test_a_core_that_is_gone_for_long_is_no_witness_any_more():
    from silverglade.runtime.settings import tuning

    c = council.settled(seed=2, size=5, tolerance=(1, 1, 1), opt=tuning(core_forget=20))
    x = trials.lead(c)
    x.power()
    del c.cores[x.name]
    c.run(12)
    assert x.name in rg.disks(c.view())
    c.run(20)
    left = set(rg.disks(c.view()))
    assert left < set(c.cores) and len(left) == 3  # four in three regions could not lose the one with two
    assert score(left, 2, tolerance=(1, 1, 1)) == (1, 1, 1) and score(c.cores, 3, tolerance=(1, 1, 1)) == (1, 1, 0)
    assert trials.served(c, 3) and c.faults == []
