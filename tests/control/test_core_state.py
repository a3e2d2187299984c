"""The messages of control on the wire; copies, invariants and fingerprints of a core's state."""

import copy
import os
import random
import subprocess
import sys
from datetime import timedelta

import pytest

from silverglade.control import disk_writes, state_copy
from silverglade.control import messages as control_messages
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


def types_in(value):
    """Return all types that occur in a nested value."""
    inner = value.values() if isinstance(value, dict) else value if isinstance(value, tuple | list) else ()
    return {type(value)}.union(*map(types_in, inner))


@pytest.mark.parametrize("body", BODIES, ids=IDS)
def test_a_message_survives_decoding_and_encoding_unchanged(body):
    message = decode(body)
    assert type(message) in control_messages.NAMES and encode(message) == body
    assert types_in(encode(message)) <= {tuple, int, str, bool, dict, type(None)}  # only built-in types reach the serialiser
    frame = wire.encode_frame(sender="a", process_id="1", body=encode(message))
    assert wire.decode_frame(frame[4:]) == ("a", "1", body) and frame == wire.encode_frame(sender="a", process_id="1", body=body)


@pytest.mark.parametrize("body", BODIES, ids=IDS)
def test_a_malformed_message_decodes_to_none(body):
    assert decode(body[:-1]) is None and decode((*body, 1)) is None
    for i in range(1, len(body)):
        if (body[0], i) != ("get", 3):  # control does not validate a daemon's position in soft state
            assert decode((*body[:i], 1.5, *body[i + 1 :])) is None


def test_control_decodes_every_kind_routed_to_it_and_all_have_a_schema():
    assert set(hub.MESSAGE_RECEIVERS["control"]) | {"opr", "fenced"} == set(control_messages.KINDS)  # messages that control only sends
    assert all(messages.is_valid_message(body) for body in BODIES)
    assert decode(("alive", 1, 2)) is None


def test_views_and_ballots_are_decoded_to_their_types():
    got = decode(("prom", (4, "a"), "1", (3, "b"), VIEW, VIEW))
    assert type(got.view) is type(got.base) is View and type(got.ballot) is type(got.accepted) is Ballot


def machines(council_):
    return [x.gen.machine for x in council_.cores.values() if x.gen]


class CopyChecker:
    """Wraps a control component: each event goes to a copy first, which must behave identically."""

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
        assert self.machine.fingerprint() == before  # a step of the copy leaves the original unchanged
        assert self.shell.send(value) == effects
        assert self.machine.fingerprint() == twin.fingerprint()
        self.seen |= {type(w.continuation) for w in twin.state.writes.in_progress.values()}
        return effects


def test_a_copy_behaves_the_same_and_leaves_the_original_unchanged(monkeypatch):
    seen = set()
    monkeypatch.setattr(council, "control_component", lambda **kw: CopyChecker(control_component(**kw), seen))
    for trial in (trials.primary_loses_power, trials.a_disk_is_lost):
        c, _ = trials.one(trial, seed=1, size=3, tolerance=(1, 1, 1))
        assert c.faults == []
    assert seen >= {
        disk_writes.SendIfSynced,
        disk_writes.WholeStoreWritten,
        disk_writes.ChangeWrittenByPrimary,
        disk_writes.ChangeWrittenByBackup,
        disk_writes.EpochSealed,
    }


class InvariantChecker:
    """Wraps a control component and checks the invariants documented in `CoreState` after each event."""

    def __init__(self, shell):
        self.shell, self.monotonic = shell, ()

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
        monotonic = (view.epoch if view else 0, s.sealed, s.recruited, s.store_epoch, s.committed_version, s.register.promised)
        assert all(now >= was for now, was in zip(monotonic, self.monotonic))
        self.monotonic = monotonic
        return effects


@pytest.mark.parametrize("seed", range(6))
def test_the_invariants_of_the_state_hold_after_every_event(seed, monkeypatch):
    monkeypatch.setattr(council, "control_component", lambda **kw: InvariantChecker(control_component(**kw)))
    size, tolerance = ((3, (1, 1, 1)), (5, (2, 1, 1)))[seed % 2]
    c, _ = trials.storm(seed=seed, size=size, tolerance=tolerance)
    assert c.faults == []


def test_a_fingerprint_includes_the_random_state_only_if_requested():
    c = council.settled(seed=1, size=3, tolerance=(1, 1, 1))
    names = {m.fingerprint() for m in machines(c)}
    assert len(names) == 3
    a = machines(c)[0]
    b = copy.deepcopy(a)
    b.rng.random()
    assert a.fingerprint() != b.fingerprint() and a.fingerprint(include_random_state=False) == b.fingerprint(include_random_state=False)
    b.state.sealed += 1
    assert a.fingerprint(include_random_state=False) != b.fingerprint(include_random_state=False)


def test_a_state_holds_only_values():
    """The state holds no functions and no objects identified by address, so it can be compared between processes."""
    c = council.settled(seed=1, size=3, tolerance=(1, 1, 1))
    trials.primary_loses_power(c)
    c.run(2)
    assert not any(" at 0x" in repr(state_copy.canonical_form(m.state)) for m in machines(c))


def make_machine():
    shell = control_component(name="a", disk="1", cores=("c", "a", "b"), saved={}, tuning=tuning(), rng=random.Random(4))
    shell.send(None)
    shell.send((ZERO, ("roll", [(n, "1", 1, 0, "z" + n, "r", "", "", True, "ready", (), ()) for n in "abc"])))
    for n in "bc":
        shell.send((timedelta(seconds=1), ("msg", n, ("hb", 0, (0, 0), True, n, 0, True, 5, 0, -1))))
    return shell.machine


def test_a_fingerprint_is_the_same_in_every_process():
    code = "from tests.control.test_core_state import make_machine; print(make_machine().fingerprint().hex())"
    got = {
        subprocess.run(
            [sys.executable, "-c", code], env={**os.environ, "PYTHONHASHSEED": s}, capture_output=True, text=True, check=True
        ).stdout
        for s in ("1", "2")
    }
    assert got == {make_machine().fingerprint().hex() + "\n"}


def test_the_control_component_behaves_like_any_component():
    shell = control_component(name="a", disk="1", cores=("a", "b", "c"), saved={}, tuning=tuning(), rng=random.Random(4))
    assert shell.send(None) == () and isinstance(shell.machine, ControlCore)
    with pytest.raises(KeyError):
        shell.throw(KeyError("x"))


def test_the_first_event_of_any_type_starts_a_core():
    """An event that the core does not handle starts it too, so its first effects do not wait for the next timer event."""
    shell = control_component(name="a", disk="1", cores=("a", "b", "c"), saved={}, tuning=tuning(), rng=random.Random(4))
    loaded = (("disk", "1"), ("epoch", 0), ("sealed", 0), ("store", (0, 0)), ("committed", (0, 0)))
    assert shell.send((ZERO, ("told", "replica", {}))) == (
        ("disk", ("control", 1), (("put", "meta", "first", True),)),
        ("log", "store-loaded", loaded),
    )
    assert shell.send((ZERO, ("told", "replica", {}))) == ()
