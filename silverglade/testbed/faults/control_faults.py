"""Faults of the core (design 10.6), each tried on a simulated control cluster that works; and many of them, mixed.

A fault is a function of the cluster that causes it and returns the function that ends it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ...control.register import majority
from ..simulator.control_cluster import SEC, Core, Council, Operator, closing, losses, served, settled

BACK = 8.0  # seconds until control serves again, whatever failed within the tolerance
REPAIRED = 20  # seconds until every core is back in its view behind one fault
REPAIRED_AFTER_STORM = 30  # the same behind several
SERVED_AFTER_CLOSING = 12  # seconds until control serves again behind the closing fault
SECOND_FAULT_RATE = 0.4
FROZEN_BRIEFLY_S = (0.8, 2.4)  # at the edge of takeover
SLOW_DISK_MS = (150, 400, 1500)
EndFault = Callable[[], object]
Fault = Callable[[Council], EndFault]


def lead(cluster: Council) -> Core:
    """Return the primary's core."""
    found: Core = cluster.cores[cluster.primary()]
    return found


def others(cluster: Council, core: Core) -> list[str]:
    """Return the names of all other cores."""
    return [name for name in cluster.cores if name != core.name]


def random_backup(cluster: Council) -> Core:
    """Return a backup of the newest view."""
    found: Core = cluster.cores[cluster.rng.choice(cluster.view().backups)]
    return found


def random_core(cluster: Council) -> Core:
    """Return any core."""
    found: Core = cluster.rng.choice(list(cluster.cores.values()))
    return found


def boot_if_down(core: Core) -> None:
    """Start a core unless it runs."""
    if not core.gen:
        core.boot()


def nothing_to_end() -> None:
    """End a fault that is over already."""


def _power_loss(core: Core) -> EndFault:
    core.power()
    return lambda: boot_if_down(core)


def primary_loses_power(cluster: Council) -> EndFault:
    """The primary loses power, until it is started again."""
    return _power_loss(lead(cluster))


def backup_loses_power(cluster: Council) -> EndFault:
    """A backup loses power, until it is started again."""
    return _power_loss(random_backup(cluster))


def primary_freezes(cluster: Council) -> EndFault:
    """The primary's process is paused."""
    core = lead(cluster)
    core.freeze(True)
    return lambda: core.freeze(False)


def primary_blinks(cluster: Council) -> EndFault:
    """The primary's process is paused for a moment only, at the edge of takeover."""
    core = lead(cluster)
    core.freeze(True)
    cluster.run(cluster.rng.uniform(*FROZEN_BRIEFLY_S))
    core.freeze(False)
    return nothing_to_end


def _disk_fault(core: Core, *, slow: timedelta = 0 * SEC, stall: bool = False, full: bool = False) -> EndFault:
    disk: Any = core.disk
    disk.slow, disk.stall, disk.full = slow or disk.slow, stall or disk.stall, full or disk.full

    def end() -> None:
        disk.slow, disk.stall, disk.full = 0 * SEC, False, False

    return end


def primarys_disk_stalls(cluster: Council) -> EndFault:
    """No write of the primary ends."""
    return _disk_fault(lead(cluster), stall=True)


def primarys_disk_is_full(cluster: Council) -> EndFault:
    """Every write of the primary fails."""
    return _disk_fault(lead(cluster), full=True)


def primarys_disk_is_slow(cluster: Council) -> EndFault:
    """Every write of the primary takes long."""
    core = lead(cluster)
    return _disk_fault(core, slow=timedelta(milliseconds=cluster.rng.choice(SLOW_DISK_MS)))


def backups_disk_stalls(cluster: Council) -> EndFault:
    """No write of a backup ends."""
    return _disk_fault(random_backup(cluster), stall=True)


def backups_disk_is_full(cluster: Council) -> EndFault:
    """Every write of a backup fails."""
    return _disk_fault(random_backup(cluster), full=True)


def primary_is_mute(cluster: Council) -> EndFault:
    """Nothing that the primary sends reaches another core."""
    core = lead(cluster)
    cluster.cut([core.name], others(cluster, core), both=False)
    return cluster.cuts.clear


def primary_is_deaf(cluster: Council) -> EndFault:
    """Nothing that another core sends reaches the primary."""
    core = lead(cluster)
    cluster.cut(others(cluster, core), [core.name], both=False)
    return cluster.cuts.clear


def primary_is_cut_off(cluster: Council) -> EndFault:
    """The primary is partitioned from all other cores."""
    core = lead(cluster)
    cluster.cut(others(cluster, core), [core.name])
    return cluster.cuts.clear


def link_breaks(cluster: Council) -> EndFault:
    """One link between two cores breaks, or one way of it."""
    one_end, other_end = cluster.rng.sample(sorted(cluster.cores), 2)
    cluster.cut([one_end], [other_end], both=cluster.rng.random() < 0.5)
    return cluster.cuts.clear


def core_is_cut_in_two(cluster: Council) -> EndFault:
    """The cores are partitioned into a majority and the rest."""
    names = cluster.rng.sample(sorted(cluster.cores), len(cluster.cores))
    size = majority(len(names))
    cluster.cut(names[:size], names[size:])
    return cluster.cuts.clear


def a_region_is_lost(cluster: Council) -> EndFault:
    """All cores of a region lose power."""
    region = cluster.rng.choice(sorted({core.region for core in cluster.cores.values()}))
    lost = [core for core in cluster.cores.values() if core.region == region]
    for core in lost:
        core.power()

    def end() -> None:
        for core in lost:
            boot_if_down(core)

    return end


def blackout(cluster: Council) -> EndFault:
    """All cores lose power at once, and come back at different times."""
    for core in cluster.cores.values():
        core.power()
        cluster.after(SEC * cluster.rng.uniform(0.5, 2.5), boot_if_down, core)
    cluster.run(2.5)
    return nothing_to_end


def all_are_rolled(cluster: Council) -> EndFault:
    """All cores are restarted one after the other, with the time that each has to come back."""
    for core in cluster.rng.sample(list(cluster.cores.values()), len(cluster.cores)):
        core.power()
        cluster.run(1)
        core.boot()
        if served(cluster, BACK) is None:
            break
        cluster.run(4)
    return nothing_to_end


def all_leave_in_turn(cluster: Council) -> EndFault:
    """All cores are upgraded one after the other: each says that it leaves, ends a moment later and comes back."""
    for core in cluster.rng.sample(list(cluster.cores.values()), len(cluster.cores)):
        core.feed(("state", "leaving"))
        cluster.run(1.5)
        core.power()
        cluster.run(1)
        core.boot()
        if served(cluster, 1.0) is None:  # nobody waits for a takeover: it was before it ended
            break
        cluster.run(4)
    return nothing_to_end


def a_disk_is_lost(cluster: Council) -> EndFault:
    """A core loses power and its disk, and comes back with an empty one."""
    core = random_core(cluster)
    core.empty()
    return lambda: boot_if_down(core)


def a_core_is_replaced(cluster: Council) -> EndFault:
    """Another machine takes a core's role in its zone, with another name; the old one never returns."""
    core = random_core(cluster)
    core.power()
    name = f"{core.name}'"
    cluster.run(cluster.rng.uniform(0.5, 2))
    del cluster.cores[core.name]
    cluster.cores[name] = Core(council=cluster, name=name, zone=core.zone, region=core.region, late=True)
    cluster.cores[name].boot()
    return nothing_to_end


TRIALS: tuple[Fault, ...] = (
    primary_loses_power,
    backup_loses_power,
    primary_freezes,
    primary_blinks,
    primarys_disk_stalls,
    primarys_disk_is_full,
    primarys_disk_is_slow,
    backups_disk_stalls,
    backups_disk_is_full,
    primary_is_mute,
    primary_is_deaf,
    primary_is_cut_off,
    link_breaks,
    core_is_cut_in_two,
    a_region_is_lost,
    blackout,
    all_are_rolled,
    all_leave_in_turn,
    a_disk_is_lost,
    a_core_is_replaced,
)
SECOND_FAULTS: tuple[Fault, ...] = (  # never of disks, or beyond the tolerance
    primary_freezes,
    primary_blinks,
    primary_is_mute,
    primary_is_deaf,
    link_breaks,
    primarys_disk_is_slow,
)


def one(trial: Fault, *, seed: int, **options: Any) -> tuple[Council, float | None]:
    """Play one fault: service is back while it lasts; every core is back in its view after it.

    :param options: of the cluster, see `settled`.
    :returns: the cluster, and seconds until control served again; None if it never did.
    """
    cluster = settled(seed=seed, **options)
    cluster.run(cluster.rng.random())
    end = trial(cluster)
    seconds = served(cluster, BACK)
    cluster.run(cluster.rng.uniform(0, 3))
    end()
    served(cluster, BACK)
    expect_whole(cluster, REPAIRED)
    return cluster, seconds


def last(*, seed: int, **options: Any) -> tuple[Council, float | None]:
    """Play the closing fault alone; see `storm` for what it returns."""
    cluster = settled(seed=seed, **options)
    cluster.run(2 * cluster.rng.random())
    return cluster, play_closing_fault(cluster, seed)


def play_closing_fault(cluster: Council, seed: int) -> float | None:
    """Check that the newest acknowledged change outlives the loss of any disks that the tolerance names.

    :returns: seconds until control served again; None if it never did.
    """
    choices = list(losses(cluster))
    closing(cluster, choices[seed % len(choices)])
    seconds: float | None = served(cluster, SERVED_AFTER_CLOSING)
    read_back(cluster)
    return seconds


def read_back(cluster: Council) -> None:
    """Let somebody who does nothing else read what is in force, twice."""
    before = cluster.reads
    Operator(cluster, "reader", reads=1.0)
    if cluster.run(6, until=lambda: cluster.reads > before + 1) is None:
        cluster.bad("not-read-back")


def expect_whole(cluster: Council, seconds: float) -> bool:
    """Check that all cores are admitted, with as many members as wanted, in time; return whether they are."""
    whole = cluster.run(seconds, until=cluster.sound) is not None
    if not whole:
        cluster.bad("not-whole", cluster.view())
    return whole


def storm(*, seed: int, rounds: int = 4, **options: Any) -> tuple[Council, float | None]:
    """Play faults one after another, some before the last is over; then the closing fault.

    :param options: of the cluster, see `settled`.
    :returns: the cluster, and seconds until control served again behind the closing fault; None if it never did.
    """
    cluster = settled(seed=seed, **options)
    rng: random.Random = cluster.rng
    for _ in range(rounds):
        end = rng.choice(TRIALS)(cluster)
        cluster.run(rng.uniform(0.2, 4))
        if rng.random() < SECOND_FAULT_RATE:
            end_second = _second_fault(cluster)
            cluster.run(rng.uniform(0.2, 3))
            end_second()
        end()
        cluster.cuts.clear()
        if not expect_whole(cluster, REPAIRED_AFTER_STORM):
            break
    return cluster, play_closing_fault(cluster, seed)


def _second_fault(cluster: Council) -> EndFault:
    """Cause a fault beside another, if there is a primary that runs."""
    if cluster.primary() in cluster.cores and lead(cluster).gen:
        fault: Fault = cluster.rng.choice(SECOND_FAULTS)
        return fault(cluster)
    return nothing_to_end
