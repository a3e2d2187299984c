"""The model checker: the program is sound within its scope, and every guard cut out of the source is found."""

import inspect
import json
import random

import pytest

from silverglade.control import register
from silverglade.testbed.__main__ import run_command
from silverglade.testbed.model_checker import actions as act
from silverglade.testbed.model_checker import invariants, schedule
from silverglade.testbed.model_checker.explorer import explore, replay, walks
from silverglade.testbed.model_checker.scenarios import STARTING, acknowledged
from silverglade.testbed.model_checker.world import World

from ..support.source_mutation import without

PACKAGE = "silverglade.control."
NUMBER_IN_FORCE = """    if operation.base != held:
        _, horizon = outcomes.horizon(store)
        return base_mismatch(operation.base, held, horizon) or base_conflict(held)
    configuration, faults = schema.parse_configuration(operation.raw)
    if not faults and not operation.number == configuration["number"] > held:"""
ANY_NUMBER = """    configuration, faults = schema.parse_configuration(operation.raw)
    if False:"""
CONFIRMED = "    else:\n        replicate(core, view, pending)\n"


def without_in_methods(mp, old, new, *names):
    """Methods of the register's round with text replaced; all classes stay those that others know."""
    source = inspect.getsource(register)
    for a, b in zip(old, new):
        assert a in source
        source = source.replace(a, b)
    space = dict(vars(register))
    exec(compile(source, register.__file__, "exec"), space)
    changed = space["Round"]
    space.update({k: v for k, v in vars(register).items() if isinstance(v, type)})
    for name in names:
        mp.setattr(register.Round, name, vars(changed)[name])


def cut(module, old, new, *targets):
    """A guard of a module's functions taken out."""
    return lambda mp: without(mp, PACKAGE + module, old, new, *(PACKAGE + t for t in targets))


def seal_is_not_kept(mp):
    cut("view_change", "state.sealed = state.sealed_by_self = core.epoch\n", "state.sealed_by_self = core.epoch\n", "view_change.seal")(mp)


def votes_count_whatever_the_disk(mp):
    old = "sum(voters.get(name) == p.disk for", "if voters.get(sender) == message.disk:"
    without_in_methods(mp, old, ("sum(name in voters for", "if sender in voters:"), "on_promise", "on_accepted")


def votes_count_under_an_older_base(mp):
    cut("register", " or epoch(base) < epoch(register.base)", "", "register.accept")(mp)
    old = "        if promise.base is not None and epoch(promise.base) > epoch(self.base):\n            return Superseded(promise.base)\n"
    without_in_methods(mp, (old,), ("",), "on_promise")


def unconfirmed(kind):
    """An answer of this kind is given without asking the backups."""
    return cut(
        "replication",
        CONFIRMED,
        f"    elif all(told.result.encode()[0] == '{kind}' for told in answers):\n        commit(core, view, pending, now)\n{CONFIRMED}",
        "replication.begin",
    )


GUARDS = [
    ("no seal before the copy", "late change", 1, {"shown-old-with-proof", "acknowledged-lost"}, seal_is_not_kept),
    (
        "a sealed backup confirms",
        "late change",
        1,
        {"shown-old-with-proof", "acknowledged-lost"},
        cut("replication", " or state.sealed >= change.epoch:", ":", "replication.on_replicate"),
    ),
    ("a wiped witness votes twice", "wiped witness", 2, {"two-views"}, votes_count_whatever_the_disk),
    ("votes under an older base", "rivals", 1, {"two-views"}, votes_count_under_an_older_base),
    ("less than a majority", "rivals", 1, {"two-views"}, cut("register", "return n // 2 + 1", "return n // 2", "register.majority")),
    ("a read that nobody confirmed", "overtaken", 1, {"read-old"}, unconfirmed("ok")),
    ("a refusal that nobody confirmed", "overtaken", 1, {"read-old"}, unconfirmed("refuse")),
    (
        "a late copy is taken",
        "late copy",
        1,
        {"acknowledged-lost"},
        cut(
            "snapshots",
            "if state.store_epoch == view.epoch and newest < newest_version(state.store):",
            "if False:",
            "snapshots.admit_opening_snapshot",
        ),
    ),
    (
        "answered before the backups have synced",
        "a change",
        1,
        {"shown-old-with-proof", "acknowledged-lost"},
        cut(
            "replication",
            "        if succeeded:\n            replicate(core, view, pending)",
            "        if succeeded:\n            replicate(core, view, pending)\n            "
            "for told in pending.answers:\n                answer(core, told.client, told.result)",
            "replication.on_written_by_primary",
        ),
    ),
    (
        "a backup tells before its disk",
        "power and disk",
        2,
        {"acknowledged-lost"},
        cut(
            "replication",
            "    pruned = store.apply(state.store, change.items)\n",
            "    core.send_outgoing(confirmation)\n    pruned = store.apply(state.store, change.items)\n",
            "replication.on_replicate",
        ),
    ),
    (
        "answered when one of two backups has synced",
        "two backups",
        2,
        {"acknowledged-lost"},
        cut("replication", "pending.synced_by >= set(led.backups)", "pending.synced_by", "replication.on_replicated"),
    ),
    (
        "a change on a number that is not in force",
        "a change",
        1,
        {"both-won"},
        cut(
            "decisions",
            NUMBER_IN_FORCE,
            ANY_NUMBER,
            "decisions.decide_numbered_configuration",
        ),
    ),
]


@pytest.mark.parametrize("what,scenario,deviations,rules,guard", GUARDS, ids=[g[0] for g in GUARDS])
def test_a_guard_cut_out_is_found_and_its_trace_replays(what, scenario, deviations, rules, guard, monkeypatch):
    guard(monkeypatch)
    report = explore(STARTING[scenario], deviations=deviations, seconds=120)
    assert report.breach and report.breach.rule in rules, report.line()
    name, actions = act.from_json(act.to_json(scenario, report.trace))
    assert (name, actions) == (scenario, report.trace)
    assert replay(STARTING[name], actions) == (report.breach, actions)
    monkeypatch.undo()
    assert replay(STARTING[name], actions)[0] is None


SOUND = [
    ("a change", 1),
    ("late change", 1),
    ("late copy", 1),
    ("frozen", 2),
    ("overtaken", 2),
    ("rivals", 1),
    ("wiped witness", 2),
    ("two backups", 1),
]


@pytest.mark.parametrize("scenario,deviations", SOUND)
def test_the_program_is_sound_within_so_many_deviations(scenario, deviations):
    report = explore(STARTING[scenario], deviations=deviations, seconds=120)
    assert report.breach is None and report.complete, report.line()


@pytest.mark.parametrize("scenario", STARTING)
def test_the_program_is_sound_in_every_interleaving_of_a_few_steps_and_in_walks_beyond(scenario):
    report = explore(STARTING[scenario], depth=3, seconds=60)
    assert report.breach is None and report.complete, report.line()
    report = walks(STARTING[scenario], count=4, seed=7, seconds=60)
    assert report.breach is None, report.line()


def test_the_same_seed_walks_the_same_way():
    first, second = (walks(STARTING["overtaken"], count=3, seed=3) for _ in range(2))
    assert (first.states, first.transitions) == (second.states, second.transitions)


def test_a_trace_is_a_script_that_the_command_plays(tmp_path, capsys, monkeypatch):
    file = tmp_path / "trace.json"
    unconfirmed("ok")(monkeypatch)
    args = ["check-model", "--scenario", "overtaken", "--depth", "0", "--deviations", "1", "--walks", "0", "--json", str(file)]
    assert run_command(args) == 1
    assert json.loads(file.read_text())["scenario"] == "overtaken"
    assert run_command(["check-model", "--replay", str(file)]) == 1
    assert "read-old" in capsys.readouterr().out
    monkeypatch.undo()
    assert run_command(["check-model", "--replay", str(file)]) == 0


def test_a_shortest_trace_has_no_step_that_is_not_needed(monkeypatch):
    unconfirmed("ok")(monkeypatch)
    scenario = STARTING["overtaken"]
    report = explore(scenario, deviations=1)
    for n in range(len(report.trace)):
        breach, _ = replay(scenario, [*report.trace[:n], *report.trace[n + 1 :]])
        assert breach is None or breach.rule != report.breach.rule


def on_disks(world, state):
    nodes = [world.node[i] for i in state.nodes]
    return [(n.life, n.disk, world.machine.disks[n.data]) for n in nodes]


def test_remembered_steps_are_those_of_a_core_that_is_played_from_its_start():
    """Two worlds that went the same way agree, also when one of them remembers all that was explored before."""
    scenario = STARTING["a change"]
    used, fresh, rng = World(scenario), World(scenario), random.Random(5)
    a, b, limits = scenario.prepared(used), scenario.prepared(fresh), scenario.limits()
    for action in list(schedule.every(used, a, limits)):
        used.apply(a, action)
    for _ in range(60):
        able = list(schedule.every(fresh, b, limits))
        if not able:
            break
        action = rng.choice(able)
        (a, _), (b, _) = used.apply(a, action), fresh.apply(b, action)
        assert on_disks(used, a) == on_disks(fresh, b)
        assert (used.history[a.history], a.tick, a.spent) == (fresh.history[b.history], b.tick, b.spent)
        assert {used.message[i] for i in a.flight} == {fresh.message[i] for i in b.flight}


def test_the_oracle_knows_each_of_its_rules():
    one, other, read = STARTING["a change"].calls[1:4]
    past = invariants.sent(invariants.History(), 100)
    past, breach = invariants.answered(past, one, 100, ("ok", (1, 2)), "a", 1, 5)
    assert breach is None and past.revealed == 2
    late = invariants.sent(invariants.sent(past, 200), 300)

    def rule(call, attempt, answer, core="a", epoch=1):
        return invariants.answered(late, call, attempt, answer, core, epoch, 6)[1].rule

    assert rule(other, 200, ("ok", (1, 3))) == "both-won"
    assert rule(other, 200, ("refuse", 501, "in force is 1")) == "read-old"
    assert rule(one, 100, ("refuse", 501, "in force is 2")) == "refused-after-acknowledged"
    assert rule(read, 300, ("ok", (1, 1), "1/first")) == "read-old"
    assert rule(read, 300, ("ok", (1, 3), "3/foreign")) == "read-foreign"
    assert rule(read, 300, ("ok", (1, 2), "2/one"), "b") == "two-primaries"
    assert invariants.opened(late, "b", 2, "1/first")[1].rule == "acknowledged-lost"
    assert invariants.learnt(invariants.learnt(late, 2, ("a", "b"))[0], 2, ("b", "c"))[1].rule == "two-views"
    shown = invariants.told(late, "b", 1, invariants.Told((1, 2), 2, None))[0]
    assert invariants.told(shown, "b", 1, invariants.Told((1, 1), 1, None))[1].rule == "shown-went-back"
    assert invariants.told(late, "b", 1, invariants.Told((1, 1), 1, 5.5))[1].rule == "shown-old-with-proof"
    assert invariants.told(late, "b", 1, invariants.Told((1, 1), 1, 5.0))[1] is None


def test_every_scenario_begins_from_a_view_that_works():
    for scenario in STARTING.values():
        world = World(scenario)
        assert acknowledged(world, scenario.prepared(world), 1)
