"""A core's control part as a value: its messages on the wire, its state copied, compared and named by a fingerprint."""

import copy
import os
import random
import subprocess
import sys
from datetime import timedelta

import pytest

from silverglade.control import messages as control_messages
from silverglade.control import values, writes
from silverglade.control.core import ControlComponent, ControlCore, control_component
from silverglade.control.messages import decode, encode
from silverglade.control.view import Ballot, View
from silverglade.runtime import daemon_machine as hub
from silverglade.runtime.effects import ZERO
from silverglade.runtime.settings import tuning
from silverglade.testbed.faults import control_faults as trials
from silverglade.testbed.simulator import control_cluster as council
from silverglade.transport import framing as wire
from silverglade.transport import message_schemas as messages

VIEW = (3, "a", ("b",), (("a", "1"), ("b", "2"), ("c", "3")))
ITEMS = (("config", (1, 2), {"number": 1}),)
BODIES = [
    ("hb", 3, (1, 2), True, "1", 2, False, 10, 9, -1),
    ("view", VIEW),
    ("view", None),
    ("prep", (4, "a")),
    ("acc", (4, "a"), None, VIEW),
    ("acc", (4, "a"), VIEW, VIEW),
    ("prom", (4, "a"), "1", (0, ""), None, VIEW),
    ("accd", (4, "a"), "1"),
    ("nack", (4, "a"), "1", (5, "b")),
    ("snap", 3, 77, VIEW, ITEMS),
    ("snap", 3, 77, None, ()),
    ("snapok", 3, 77, "2"),
    ("repl", 3, 78, (1, 2), (3, 1), ITEMS),
    ("repd", 3, 78),
    ("items", 3, (1, 2), (3, 1), ITEMS),
    ("pull", (1, 2)),
    ("get", 5, (1, 2), 0),
    ("op", 6, "c1", ("read",), "x"),
    ("fence", 7, ("evac", "z", True)),
    ("fenced", 7, (3, 1)),
    ("opr", 6, ("ok", (3, 1))),
]
IDS = [f"{b[0]}-{i}" for i, b in enumerate(BODIES)]


def kinds_of(value):
    """Every type in a value, to its bottom."""
    inner = value.values() if isinstance(value, dict) else value if isinstance(value, tuple | list) else ()
    return {type(value)}.union(*map(kinds_of, inner))


@pytest.mark.parametrize("body", BODIES, ids=IDS)
def test_a_message_is_the_very_array_on_the_wire_that_it_was(body):
    message = decode(body)
    assert type(message) in control_messages.NAMES and encode(message) == body
    assert kinds_of(encode(message)) <= {tuple, int, str, bool, dict, type(None)}  # no class of ours goes to the packer
    frame = wire.encode_frame(sender="a", process_id="1", body=encode(message))
    assert wire.decode_frame(frame[4:]) == ("a", "1", body) and frame == wire.encode_frame(sender="a", process_id="1", body=body)


@pytest.mark.parametrize("body", BODIES, ids=IDS)
def test_a_message_that_is_not_well_formed_is_none(body):
    assert decode(body[:-1]) is None and decode((*body, 1)) is None
    for i in range(1, len(body)):
        if (body[0], i) != ("get", 3):  # where a daemon stands in soft state is not control's to judge
            assert decode((*body[:i], 1.5, *body[i + 1 :])) is None


def test_control_hears_every_kind_that_the_daemon_hands_it_and_all_have_a_shape():
    assert set(hub.MESSAGE_RECEIVERS["control"]) | {"opr", "fenced"} == set(control_messages.KINDS)  # what it says to clients beside
    assert all(messages.is_valid_message(body) for body in BODIES)
    assert decode(("alive", 1, 2)) is None


def test_views_and_ballots_are_typed_at_the_door():
    got = decode(("prom", (4, "a"), "1", (3, "b"), VIEW, VIEW))
    assert type(got.view) is type(got.base) is View and type(got.ballot) is type(got.accepted) is Ballot


def machines(council_):
    return [x.gen.machine for x in council_.cores.values() if x.gen]


class Twin:
    """Stands beside a machine's shell: each event first goes to a copy, which must do the very same."""

    def __init__(self, shell, seen):
        self.shell, self.seen = shell, seen

    @property
    def machine(self):
        return self.shell.machine

    @property
    def state(self):
        return self.shell.state

    def send(self, value):
        if value is None:
            return self.shell.send(None)
        before = self.machine.fingerprint()
        twin = copy.deepcopy(self.machine)
        assert twin.fingerprint() == before
        effects = ControlComponent(twin).send(value)
        assert self.machine.fingerprint() == before  # a step of the copy is not felt
        assert self.shell.send(value) == effects
        assert self.machine.fingerprint() == twin.fingerprint()
        self.seen |= {type(w.continuation) for w in twin.state.writes.in_progress.values()}
        return effects


def test_a_copy_goes_the_same_way_and_leaves_the_original_as_it_was(monkeypatch):
    seen = set()
    monkeypatch.setattr(council, "control_component", lambda **kw: Twin(control_component(**kw), seen))
    for trial in (trials.primary_loses_power, trials.a_disk_is_lost):
        c, _ = trials.one(trial, seed=1, size=3, tolerance=(1, 1, 1))
        assert c.faults == []
    assert seen >= {
        writes.SendIfSynced,
        writes.WholeStoreWritten,
        writes.ChangeWrittenByPrimary,
        writes.ChangeWrittenByBackup,
        writes.EpochSealed,
    }


class Watched:
    """Stands beside a machine's shell: after each event the invariants that CoreState names must hold."""

    def __init__(self, shell):
        self.shell, self.risen = shell, ()

    @property
    def state(self):
        return self.shell.state

    def send(self, value):
        effects = self.shell.send(value)
        s, view = self.state, self.state.view
        assert s.register.base == view and s.register.accepted <= s.register.promised
        assert s.register.view is None or s.register.view.epoch == (view.epoch if view else 0) + 1
        assert s.open_epoch == 0 or s.open_epoch == view.epoch and view.primary == self.shell.machine.name
        assert all(version <= s.committed_version for version, _ in s.committed_items.values())
        assert s.proofs.keys() | s.snapshot_synced_by <= set(view.backups if view else ())
        assert s.pending is None or view.primary == self.shell.machine.name
        assert not self.shell.machine.effects
        risen = (view.epoch if view else 0, s.sealed, s.recruited, s.served, s.committed_version, s.register.promised)
        assert all(now >= was for now, was in zip(risen, self.risen))
        self.risen = risen
        return effects


@pytest.mark.parametrize("seed", range(6))
def test_what_the_state_says_of_itself_holds_after_every_event(seed, monkeypatch):
    monkeypatch.setattr(council, "control_component", lambda **kw: Watched(control_component(**kw)))
    size, tolerance = ((3, (1, 1, 1)), (5, (2, 1, 1)))[seed % 2]
    c, _ = trials.storm(seed=seed, size=size, tolerance=tolerance)
    assert c.faults == []


def test_a_fingerprint_tells_states_apart_and_chance_only_where_wanted():
    c = council.settled(seed=1, size=3, tolerance=(1, 1, 1))
    names = {m.fingerprint() for m in machines(c)}
    assert len(names) == 3
    a = machines(c)[0]
    b = copy.deepcopy(a)
    b.rng.random()
    assert a.fingerprint() != b.fingerprint() and a.fingerprint(include_random_state=False) == b.fingerprint(include_random_state=False)
    b.state.sealed += 1
    assert a.fingerprint(include_random_state=False) != b.fingerprint(include_random_state=False)


def test_a_state_holds_values_alone():
    """No function and no object known by its place in memory: so it can be compared between processes."""
    c = council.settled(seed=1, size=3, tolerance=(1, 1, 1))
    trials.primary_loses_power(c)
    c.run(2)
    assert not any(" at 0x" in repr(values.canonical_form(m.state)) for m in machines(c))


def a_machine():
    shell = control_component(name="a", disk="1", cores=("c", "a", "b"), saved={}, tuning=tuning(), rng=random.Random(4))
    shell.send(None)
    shell.send((ZERO, ("roll", [(n, "1", 1, 0, "z" + n, "r", "", "", True, "ready", (), ()) for n in "abc"])))
    for n in "bc":
        shell.send((timedelta(seconds=1), ("msg", n, ("hb", 0, (0, 0), True, n, 0, True, 5, 0, -1))))
    return shell.machine


def test_a_fingerprint_is_the_same_in_every_process():
    code = "from tests.control.test_core_state import a_machine; print(a_machine().fingerprint().hex())"
    got = {
        subprocess.run(
            [sys.executable, "-c", code], env={**os.environ, "PYTHONHASHSEED": s}, capture_output=True, text=True, check=True
        ).stdout
        for s in ("1", "2")
    }
    assert got == {a_machine().fingerprint().hex() + "\n"}


def test_the_shell_is_a_part_like_any_other():
    shell = control_component(name="a", disk="1", cores=("a", "b", "c"), saved={}, tuning=tuning(), rng=random.Random(4))
    assert shell.send(None) == () and isinstance(shell.machine, ControlCore)
    with pytest.raises(KeyError):
        shell.throw(KeyError("x"))


def test_the_first_event_of_any_kind_starts_a_core():
    """Also one that it does not handle: what it says and writes then does not wait for the next timer event."""
    shell = control_component(name="a", disk="1", cores=("a", "b", "c"), saved={}, tuning=tuning(), rng=random.Random(4))
    assert shell.send((ZERO, ("told", "replica", {}))) == (("disk", ("control", 1), (("put", "meta", "first", True),)),)
    assert shell.send((ZERO, ("told", "replica", {}))) == ()
