"""Reload of settings by a running daemon (design 8.1): seeds are replaced, changes that need a restart are refused with one log line."""

import anyio
import pytest

from silverglade.runtime.effects import milliseconds
from silverglade.runtime.settings import checked
from silverglade.server.daemon import Daemon
from silverglade.testbed.simulator.scenario import Scene
from silverglade.testbed.sites import TOWNS

from ..membership.test_membership import member_counts, until

BASE = dict(name="e", zone="z", region="r", listen="127.0.0.1:1", http="127.0.0.1:2", seeds=["127.0.0.1:3"], cores=["a", "b", "c"])
NEW = dict(seeds=["127.0.0.1:4", "127.0.0.1:5"], cores=["a", "d", "f"], first=False)


class RecordingLogger:
    """A logger that keeps its lines."""

    def __init__(self):
        self.lines, self.level = [], None

    def info(self, text):
        self.lines.append(text)

    warning = error = info

    def setLevel(self, level):  # noqa: N802  the name in logging.Logger
        self.level = level


def reloaded(**changed):
    """Reload a daemon's settings with these changes -> the daemon, its log lines."""
    log = RecordingLogger()
    daemon = Daemon(logger=log, settings=checked(dict(BASE)), read_settings=lambda: checked(dict(BASE, **changed)))
    anyio.run(daemon.settings_reloader.reload)
    return daemon, log.lines


def queried_addresses(daemon, start_ms):
    """Addresses that a daemon without members queries in 20 s from `start_ms`."""
    to, now = set(), milliseconds(start_ms)
    for _ in range(400):
        now += daemon.tuning["pulse"]
        to |= {e[1] for e in daemon.machine.feed(now, ("pulse",)) if e[0] == "send" and e[2][0] == "get"}
    return to


def test_reloaded_seeds_replace_the_previous_ones():
    daemon, lines = reloaded(**NEW)
    assert daemon.queues.next_event() == (event := ("seeds", ("127.0.0.1:4", "127.0.0.1:5")))
    assert queried_addresses(daemon, 0) == {"@127.0.0.1:3"}
    daemon.machine.feed(milliseconds(20000), event)
    assert queried_addresses(daemon, 20000) == {"@127.0.0.1:4", "@127.0.0.1:5"}
    assert len(lines) == 1 and "event=settings " in lines[0] + " " and "127.0.0.1:4" in lines[0]
    anyio.run(daemon.settings_reloader.reload)
    assert daemon.queues.next_event() is None  # the same settings again change nothing


@pytest.mark.parametrize("changed", [dict(zone="y"), dict(listen="127.0.0.1:9", http="127.0.0.1:8"), dict(tolerance={"zones": 2})])
def test_a_change_that_needs_a_restart_is_refused_as_a_whole_with_one_log_line(changed):
    daemon, lines = reloaded(**NEW, **changed)
    assert len(lines) == 1 and "settings-refused" in lines[0]
    assert lines[0].endswith(f'why="needs a restart: {",".join(sorted(changed, key=list(daemon.settings).index))}"')
    assert daemon.queues.next_event() is None and daemon.settings["seeds"] == checked(dict(BASE))["seeds"]


# Guards against: a running daemon refuses a settings file that names fewer seeds than the first start needed, and keeps asking a gone core.
@pytest.mark.parametrize("seeds", [["127.0.0.1:4", "127.0.0.1:5"], ["127.0.0.1:4"]])
def test_fewer_seeds_than_at_the_first_start_are_taken_by_a_running_daemon(seeds):
    daemon, lines = reloaded(seeds=seeds, cores=["a", "d"][: len(seeds)], first=False)
    assert daemon.queues.next_event() == ("seeds", tuple(seeds))
    assert "event=settings " in lines[0]


# Guards against: a running daemon forgets the last seeds that it was given, when the file is written while no core is up.
def test_a_running_daemon_keeps_its_seeds_if_the_file_names_none():
    daemon, lines = reloaded(seeds=[], cores=[], first=False)
    assert daemon.queues.next_event() is None and daemon.settings["seeds"] == ("127.0.0.1:3",)
    assert "event=settings " in lines[0]


def test_settings_that_cannot_be_read_change_nothing():
    daemon, lines = reloaded(**NEW, colour=1)
    assert len(lines) == 1 and "settings-refused" in lines[0] and "code=701" in lines[0]
    assert daemon.queues.next_event() is None


def five_cores():
    """The hamlet with two more cores; the settings name the first three."""
    town = hamlet()
    town["daemons"] += [("core-second", "north", "n", True), ("core-third", "south", "s", True)]
    return town


hamlet = TOWNS["hamlet"]


@pytest.mark.parametrize("name", ["edge-south-0", "core-third"])
def test_a_daemon_whose_seeds_were_all_replaced_during_a_partition_finds_the_fleet_by_the_new_ones(name, monkeypatch):
    monkeypatch.setitem(TOWNS, "hamlet", five_cores)
    s = Scene(town="hamlet")
    n = s.w.nodes[name]
    n.kill()  # before it has sent a message, so that no daemon has it as a member
    s.settle(6)
    s.w.cut([name], [m for m in s.w.nodes if m != name])
    s.w.seeds = tuple(s.w.nodes[c].addr for c in ("core-north", "core-middle"))
    n.boot()
    for core in ("core-north", "core-middle"):  # one after the other, as in a replacement of cores
        s.w.run(8)
        s.w.nodes[core].kill()
    s.w.run(8)
    s.w.heal()
    s.w.run(8)
    assert len(n.members) == 1  # none of its old seeds is up
    n.feed(("seeds", tuple(s.w.nodes[c].addr for c in ("core-south", "core-second"))))
    assert until(s, lambda: member_counts(s) == {6}) < 6
    s.put(at=name)
    s.w.run(3)
    assert s.o.acked[-1][-1] == n.store["config"][0] and s.o.faults == []


def test_a_changed_settings_file_is_reloaded_without_a_signal(tmp_path):
    path = tmp_path / "settings"
    path.write_text("one")
    read = []

    def read_settings():
        read.append(path.read_text())
        return checked(dict(BASE))

    daemon = Daemon(logger=RecordingLogger(), settings=checked(dict(BASE)), read_settings=read_settings, settings_file=str(path))
    anyio.run(daemon.settings_reloader.reload_if_changed)
    assert read == []
    path.write_text("another")
    anyio.run(daemon.settings_reloader.reload_if_changed)
    anyio.run(daemon.settings_reloader.reload_if_changed)
    assert read == ["another"]
    path.unlink()  # absent while it is being replaced
    anyio.run(daemon.settings_reloader.reload_if_changed)
    path.write_text("third")
    anyio.run(daemon.settings_reloader.reload_if_changed)
    assert read == ["another", "third"]
