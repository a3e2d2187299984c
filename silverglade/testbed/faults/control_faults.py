"""Faults of the core (design 10.6), each tried on a council that works; and many of them, mixed."""

from datetime import timedelta

from ...control.register import majority
from ..simulator.control_cluster import SEC, Core, Operator, closing, losses, served, settled

BACK = 8.0  # seconds until control serves again, whatever failed within the tolerance


def lead(c):
    return c.cores[c.primary()]


def rest(c, x):
    return [n for n in c.cores if n != x.name]


def boot_later(c, x, secs):
    c.after(SEC * secs, lambda: x.gen or x.boot())


def primary_loses_power(c):
    x = lead(c)
    x.power()
    return lambda: x.gen or x.boot()


def backup_loses_power(c):
    x = c.cores[c.rng.choice(c.view()[2])]
    x.power()
    return lambda: x.gen or x.boot()


def primary_freezes(c):
    x = lead(c)
    x.freeze(True)
    return lambda: x.freeze(False)


def primary_blinks(c):
    """Frozen for a moment only, at the edge of takeover."""
    x = lead(c)
    x.freeze(True)
    c.run(c.rng.uniform(0.8, 2.4))
    x.freeze(False)
    return lambda: None


def disk(c, x, **kw):
    for k, v in kw.items():
        setattr(x.disk, k, v)

    def end():
        x.disk.slow, x.disk.stall, x.disk.full = 0 * SEC, False, False

    return end


def primarys_disk_stalls(c):
    return disk(c, lead(c), stall=True)


def primarys_disk_is_full(c):
    return disk(c, lead(c), full=True)


def primarys_disk_is_slow(c):
    return disk(c, lead(c), slow=timedelta(milliseconds=c.rng.choice([150, 400, 1500])))


def backups_disk_stalls(c):
    return disk(c, c.cores[c.rng.choice(c.view()[2])], stall=True)


def backups_disk_is_full(c):
    return disk(c, c.cores[c.rng.choice(c.view()[2])], full=True)


def primary_is_mute(c):
    x = lead(c)
    c.cut([x.name], rest(c, x), both=False)
    return c.cuts.clear


def primary_is_deaf(c):
    x = lead(c)
    c.cut(rest(c, x), [x.name], both=False)
    return c.cuts.clear


def primary_is_cut_off(c):
    x = lead(c)
    c.cut(rest(c, x), [x.name])
    return c.cuts.clear


def link_breaks(c):
    """One link between two cores, or one way of it."""
    a, b = c.rng.sample(sorted(c.cores), 2)
    c.cut([a], [b], both=c.rng.random() < 0.5)
    return c.cuts.clear


def core_is_cut_in_two(c):
    names = c.rng.sample(sorted(c.cores), len(c.cores))
    k = majority(len(names))
    c.cut(names[:k], names[k:])
    return c.cuts.clear


def a_region_is_lost(c):
    g = c.rng.choice(sorted({x.region for x in c.cores.values()}))
    xs = [x for x in c.cores.values() if x.region == g]
    for x in xs:
        x.power()
    return lambda: [x.gen or x.boot() for x in xs]


def blackout(c):
    for x in c.cores.values():
        x.power()
        boot_later(c, x, c.rng.uniform(0.5, 2.5))
    c.run(2.5)
    return lambda: None


def all_are_rolled(c):
    """One after the other, with the time that each has to come back."""
    for x in c.rng.sample(list(c.cores.values()), len(c.cores)):
        x.power()
        c.run(1)
        x.boot()
        if served(c, BACK) is None:
            break
        c.run(4)
    return lambda: None


def all_leave_in_turn(c):
    """Upgraded one after the other: each says that it leaves, ends a moment later and comes back."""
    for x in c.rng.sample(list(c.cores.values()), len(c.cores)):
        x.feed(("state", "leaving"))
        c.run(1.5)
        x.power()
        c.run(1)
        x.boot()
        if served(c, 1.0) is None:  # nobody waits for a takeover: it was before it ended
            break
        c.run(4)
    return lambda: None


def a_disk_is_lost(c):
    x = c.rng.choice(list(c.cores.values()))
    x.empty()
    return lambda: x.gen or x.boot()


def a_core_is_replaced(c):
    """Another machine in its zone, with another name; the old one never returns."""
    x = c.rng.choice(list(c.cores.values()))
    x.power()
    name = f"{x.name}'"
    c.run(c.rng.uniform(0.5, 2))
    del c.cores[x.name]
    c.cores[name] = Core(council=c, name=name, zone=x.zone, region=x.region, late=True)
    c.cores[name].boot()
    return lambda: None


TRIALS = (
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


def one(trial, *, seed, **kw):
    """One fault: service is back while it lasts; all is whole again after it. -> (council, seconds)."""
    c = settled(seed=seed, **kw)
    c.run(c.rng.random())
    end = trial(c)
    t = served(c, BACK)
    c.run(c.rng.uniform(0, 3))
    end()
    served(c, BACK)
    if c.run(20, until=c.sound) is None:
        c.bad("not-whole", c.view())
    return c, t


def last(*, seed, **kw):
    """The closing fault: the newest acknowledged change outlives any disks that the tolerance names."""
    c = settled(seed=seed, **kw)
    c.run(2 * c.rng.random())
    ways = list(losses(c))
    closing(c, ways[seed % len(ways)])
    t = served(c, 12)
    read_back(c)
    return c, t


def read_back(c):
    """Somebody who does nothing else reads what is in force, twice."""
    n = c.reads
    Operator(c, "reader", reads=1.0)
    if c.run(6, until=lambda: c.reads > n + 1) is None:
        c.bad("not-read-back")


def storm(*, seed, rounds=4, **kw):
    """Faults one after another, some before the last is over; then the closing fault."""
    c = settled(seed=seed, **kw)
    for _ in range(rounds):
        end = c.rng.choice(TRIALS)(c)
        c.run(c.rng.uniform(0.2, 4))
        if c.rng.random() < 0.4:  # a second one: never disks, or places beyond the tolerance
            more = (
                c.rng.choice((primary_freezes, primary_blinks, primary_is_mute, primary_is_deaf, link_breaks, primarys_disk_is_slow))(c)
                if c.primary() in c.cores and lead(c).gen
                else lambda: None
            )
            c.run(c.rng.uniform(0.2, 3))
            more()
        end()
        c.cuts.clear()
        if c.run(30, until=c.sound) is None:
            c.bad("not-whole", c.view())
            break
    ways = list(losses(c))
    closing(c, ways[seed % len(ways)])
    t = served(c, 12)
    read_back(c)
    return c, t
