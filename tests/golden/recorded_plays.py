"""Plays of the simulators with all that leaves the simulated daemons recorded (effect_trace.py).

The hooks into the simulators are here alone: the class of a simulated daemon's parts (`World`), the control part of a simulated
core (`Council`), and the actions of a simulated front (`PolicyDay`). Messages that a daemon sends to itself do not leave it.
"""

import functools

from silverglade.control.core import ControlComponent
from silverglade.testbed.experiments import policy_day, policy_sites
from silverglade.testbed.experiments import second_loss as repairs
from silverglade.testbed.faults import control_faults as trials
from silverglade.testbed.faults import forwarding_faults as forward_faults
from silverglade.testbed.simulator import daemons as world
from silverglade.testbed.simulator import seeded_runs as seeds

from .effect_trace import EffectTrace


def recording_hub(trace):
    """A daemon's parts that record what they return."""

    class RecordingHub(world.DaemonMachine):
        def __init__(self, **settings):
            super().__init__(**settings)
            self.recorded_life = settings["process_id"]

        def feed(self, now, event):
            effects = super().feed(now, event)
            trace.effects(now, self.name, self.recorded_life, effects)
            return effects

    return RecordingHub


def town_play(run, monkeypatch, **settings):
    """A play of whole daemons -> its trace. Ends with what is on the disks."""
    trace = EffectTrace()
    monkeypatch.setattr(world, "DaemonMachine", recording_hub(trace))
    scene, broken = run(**settings)
    for name, node in sorted(scene.w.nodes.items()):
        if node.disk:
            trace.stored(scene.w.now, name, node.disk.data)
    return trace.result() | {"rules broken": len(broken)}


def orders(monkeypatch, **settings):
    """Tenants' requests."""
    return town_play(seeds.run, monkeypatch, **settings)


def forwarding(monkeypatch, **settings):
    """Requests that are forwarded to services."""
    return town_play(forward_faults.run, monkeypatch, **settings)


def control(monkeypatch, play, **settings):
    """The cores alone. Ends with what is on their disks."""
    trace, send = EffectTrace(), ControlComponent.send

    def recording_send(part, value):
        effects = send(part, value)
        if value is not None:
            name = part.machine.settings.name
            others = [effect for effect in effects if not (effect[0] == "send" and effect[1] == name)]
            trace.effects(value[0], name, part.machine.settings.disk, others)
        return effects

    monkeypatch.setattr(ControlComponent, "send", recording_send)
    council, served_after = CONTROL_PLAYS[play](**settings)
    for name, core in sorted(council.cores.items()):
        trace.stored(council.now, name, core.disk.data)
    return trace.result() | {"rules broken": len(council.faults), "served after": served_after}


SINGLE_FAULTS = {
    "primary loses power": trials.primary_loses_power,
    "backup loses power": trials.backup_loses_power,
    "primary freezes": trials.primary_freezes,
    "primary blinks": trials.primary_blinks,
    "primary's disk stalls": trials.primarys_disk_stalls,
    "primary's disk is full": trials.primarys_disk_is_full,
    "primary's disk is slow": trials.primarys_disk_is_slow,
    "backup's disk stalls": trials.backups_disk_stalls,
    "backup's disk is full": trials.backups_disk_is_full,
    "primary is mute": trials.primary_is_mute,
    "primary is deaf": trials.primary_is_deaf,
    "primary is cut off": trials.primary_is_cut_off,
    "link breaks": trials.link_breaks,
    "core is cut in two": trials.core_is_cut_in_two,
    "a region is lost": trials.a_region_is_lost,
    "blackout": trials.blackout,
    "all are rolled": trials.all_are_rolled,
    "all leave in turn": trials.all_leave_in_turn,
    "a disk is lost": trials.a_disk_is_lost,
    "a core is replaced": trials.a_core_is_replaced,
}
CONTROL_PLAYS = {
    "storm": trials.storm,
    "loss of disks": trials.last,
    "repairs": repairs.mixed,
    **{name: functools.partial(trials.one, trial) for name, trial in SINGLE_FAULTS.items()},
}


def policy(monkeypatch, *, day, seed, seconds, pace):
    """The fronts alone, with the troubles of a day."""
    trace, act = EffectTrace(), policy_day.PolicyDay.act

    def recording_act(day, front, effect):
        trace.effects(day.now, front.name, "", [effect])
        return act(day, front, effect)

    monkeypatch.setattr(policy_day.PolicyDay, "act", recording_act)
    _, troubles = policy_sites.DAYS[day]
    policy_day.PolicyDay(site=policy_sites.two_regions(), seed=seed, seconds=seconds, pace=pace, troubles=troubles).run()
    return trace.result()


def plays():
    """Name of each play -> (what plays it, its settings)."""
    table = {
        "orders hamlet 5": (orders, dict(town="hamlet", seed=5, secs_=10)),
        "orders navrang 7": (orders, dict(town="navrang", seed=7, secs_=6)),
        "orders banyan 100": (orders, dict(town="banyan", seed=100, secs_=10)),
        "forwarding hamlet 2": (forwarding, dict(town="hamlet", seed=2, secs_=5)),
        "forwarding navrang 1": (forwarding, dict(town="navrang", seed=1, secs_=4)),
        "forwarding banyan 2": (forwarding, dict(town="banyan", seed=2, secs_=4)),
        "policy hang 1": (policy, dict(day="hang", seed=1, seconds=9, pace=0.3)),
        "policy crash 2": (policy, dict(day="crash", seed=2, seconds=9, pace=0.3)),
    }
    large, small = dict(size=5, tolerance=(2, 1, 1)), dict(size=3, tolerance=(1, 1, 1))
    for seed in (100, 101, 102):
        table[f"control storm {seed}"] = (control, dict(play="storm", seed=seed, **large))
    table["control storm 103, three cores"] = (control, dict(play="storm", seed=103, **small))
    table["control loss of disks 1"] = (control, dict(play="loss of disks", seed=1, **large))
    table["control loss of disks 2"] = (control, dict(play="loss of disks", seed=2, size=9, tolerance=(2, 2, 1)))
    for seed in (1, 3):
        table[f"control repairs {seed}"] = (control, dict(play="repairs", seed=seed, **large))
    for name in SINGLE_FAULTS:
        table[f"control {name}"] = (control, dict(play=name, seed=1, **large))
    return table
