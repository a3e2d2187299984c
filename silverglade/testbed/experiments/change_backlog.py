"""Hundreds of changes while a core is away, and back (design 5.7, 5.10): the cores alone.

It catches up while changes go on, in bounded time and bytes; what a core keeps does not grow with the changes.
"""

import ormsgpack

from ...control.register import members
from ..faults.control_faults import read_back
from ..simulator import control_cluster as council
from ..simulator.control_cluster import closing, losses, served
from .second_loss import Cluster

AWAY = ("down", "cut off", "disk full")


class Counted(Cluster):
    """counted: the core of which all bytes that are sent to it are added up."""

    counted, received = "", 0

    def deliver(self, frm, to, body):
        if to == self.counted:
            self.received += len(ormsgpack.packb(body))
        return super().deliver(frm, to, body)


def number_shown(x):
    """The operator's number of the configuration that a core tells daemons."""
    _, cfg = x.state.committed_items.get("config", (None, None))
    return cfg["number"] if cfg else 0


def store_bytes(x):
    """What the whole store would weigh as one message."""
    return len(ormsgpack.packb(tuple(x.state.committed_items.items())))


def rows(x):
    """How much a core keeps: rows on its disk, and in the tables of its memory."""
    state = x.state
    held = (state.store, state.committed_items, state.peers.table, state.heartbeat_sent, state.recruits_synced, state.writes.in_progress)
    return sum(map(len, x.disk.data.values())) + sum(map(len, held))


def play(role, way, *, seed, changes=500, catch_up=6.0, size=5, tolerance=(2, 1, 1), **kw):
    """-> (cluster, seconds until it told what the others do, bytes sent to it by then, bytes of the store)."""
    c = Counted(seed=seed, size=size, tolerance=tolerance, **kw)
    c.catch_up = catch_up
    council.Lead(c)
    for i in range(2):
        council.Operator(c, f"op{i}", gap=0.02, reads=0.05)
    if c.run(30, until=lambda: c.lacks() is None and c.acks) is None:
        c.bad("not-formed", c.view())
    view = c.view()
    name = {"primary": view.primary, "backup": view.backups[0]}.get(role) or next(n for n in sorted(c.cores) if n not in members(view))
    x, count = c.cores[name], len(c.acks)
    if way == "down":
        x.power()
    elif way == "cut off":
        c.cut([name], [n for n in c.cores if n != name])
    else:
        x.disk.full = True
    if c.run(600, until=lambda: len(c.acks) >= count + changes) is None:
        c.bad("no-service", len(c.acks) - count)
    c.counted, c.received = name, 0
    c.cuts.clear()
    x.disk.full = False
    if way == "down":
        x.boot()
    newest = c.newest()
    took = c.run(catch_up, until=lambda: x.gen and number_shown(x) >= newest)
    if took is None:
        c.bad("never-caught-up", number_shown(x), newest)
    received = c.received
    c.run(catch_up)
    if c.newest() <= newest or number_shown(x) < c.newest() - 20:
        c.bad("left-behind", number_shown(x), c.newest())
    closing(c, c.rng.choice(list(losses(c))))
    served(c, 12)
    read_back(c)
    return c, took, received, store_bytes(x)
