"""Seeded runs with faults mixed (design 10.3): settle, traffic, storm, a last fault, peace, checks."""

from ..faults.daemon_faults import Faults
from .scenario import Scene

ALL = (
    "kill",
    "kill_holder",
    "kill_primary",
    "empty_disk",
    "ack_then_power",
    "freeze",
    "disk",
    "cut_machine",
    "cut_region",
    "cut_cores",
    "lose_region",
    "replica",
    "replica",
    "race",
    "quick",
    "large",
    "evacuate",
    "crowd",
    "repeat",
    "jump",
    "swing",
    "change",
    "change",
    "sleep",
    "blackout",
    "lose_emptied",
    "slow_crowd",
    "race_takeover",
    "roll",
)
LAST = ("blackout", "kill_primary", "lose_region", "sleep", "cut_cores", "freeze", "empty_disk", "disk")


def storm(scene, *, secs_=40, kinds=ALL, gap=2.5, most=1):
    """Faults at seeded times for a while, in seeded order, mixed; one last just before the end."""
    f = Faults(scene, most=most)
    t = 0.0
    while t < secs_:
        f.later(t, getattr(f, scene.rng.choice(kinds)))
        t += scene.rng.expovariate(1 / gap)
    last = [k for k in LAST if k in kinds]
    if last:
        f.later(secs_ - 0.3, getattr(f, scene.rng.choice(last)))
    return f


def run(*, town, seed, kinds=ALL, secs_=40, gap=2.5, most=0):
    """One seed: settle, traffic, storm, peace, checks -> (scene, faults found).

    most: places that may fail at once; 0: every second seed two, else one.
    """
    s = Scene(town=town, seed=seed, pace=0.6, loss=0.0 if seed % 3 else 0.005)
    most = most or 1 + seed % 2
    s.pairs = most > 1
    s.settle()
    s.traffic()
    storm(s, secs_=secs_, kinds=kinds, gap=gap, most=most)
    s.w.run(secs_)
    return s, s.finish()
