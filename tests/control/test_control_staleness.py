"""The staleness bound that cores report (docs/control-safety.md, Bounded-staleness), with a different clock for each process.

Every core is polled for updates four times a second. An answer must include everything acknowledged before the time it proves.
"""

import random

import pytest

from silverglade.control.core import control_component
from silverglade.runtime.effects import milliseconds
from silverglade.testbed.faults import control_faults as trials
from silverglade.testbed.simulator import control_cluster as council

from ..support.source_mutation import without

HOUR = 3600


class CoreWithOwnClock:
    """A core whose monotonic clock has a random offset in each process; passes the updates that it sends to daemons to `on_update`."""

    def __init__(self, part, offset, on_update):
        self.part, self.offset, self.on_update = part, offset, on_update

    def send(self, value):
        if value is None:
            return self.part.send(None)
        now, event = value
        effects = self.part.send((now + self.offset, event))
        for effect in effects:
            if effect[:2] == ("post", "core_table") and effect[2][0] == "answer":
                self.on_update(now, effect[2][2])
        return effects

    @property
    def state(self):
        return self.part.state


class ProofMonitor:
    """Polls all cores of a cluster for updates and checks the proofs in their answers."""

    def __init__(self, monkeypatch, *, seed, clock=lambda rng, life: rng.uniform(1, 2 * HOUR)):
        self.acknowledged, self.proofs, self.c = [], 0, None
        rng, lives = random.Random(seed), {}

        def made(**kw):
            name = kw["name"]
            lives[name] = lives.get(name, 0) + 1
            return CoreWithOwnClock(control_component(**kw), council.SEC * clock(rng, lives[name]), self.on_update)

        monkeypatch.setattr(council, "control_component", made)

    def watch(self, c):
        self.c, answered = c, c.answered

        def record_acknowledged(client, frm, job, result):
            answered(client, frm, job, result)
            if result[0] == "ok" and len(result) == 2:
                self.acknowledged.append((c.now, result[1]))

        c.answered = record_acknowledged
        self.ask()

    def ask(self):
        for x in list(self.c.cores.values()):
            x.feed(("msg", "daemon", ("get", self.c.rng.getrandbits(40), (0, 0), None)))
        self.c.after(council.SEC / 4, self.ask)

    def on_update(self, now, update):
        _, _, version, items, age, _ = update
        if age < 0 or self.c is None:
            return
        self.proofs += 1
        before = now - milliseconds(age)
        newest = max((v for at, v in self.acknowledged if at < before), default=(0, 0))
        if newest > version:
            self.c.bad("proved-what-is-old", version, newest, age)
        newest_held = max((v for _, v, _ in items), default=(0, 0))
        if newest_held > version:
            self.c.bad("told-beyond-its-version", version, newest_held)


def settled(monkeypatch, *, seed, size=5, tolerance=(2, 1, 1), **kw):
    w = ProofMonitor(monkeypatch, seed=seed, **kw)
    c = council.settled(seed=seed, size=size, tolerance=tolerance)
    w.watch(c)
    return w, c


def storm(monkeypatch, seed, **kw):
    """Run a series of random faults; return the monitor and the cluster."""
    w, c = settled(monkeypatch, seed=seed, **kw)
    for _ in range(4):
        end = c.rng.choice(trials.TRIALS)(c)
        c.run(c.rng.uniform(0.5, 6))
        end()
        c.cuts.clear()
        if c.run(30, until=c.sound) is None:
            c.bad("not-whole", c.view())
            break
    return w, c


@pytest.mark.parametrize("size,tolerance", [(3, (1, 1, 1)), (5, (2, 1, 1)), (5, (1, 1, 1))])
def test_a_proved_update_holds_all_changes_acknowledged_before(size, tolerance, monkeypatch):
    proofs = 0
    for seed in range(8):
        w, c = storm(monkeypatch, seed, size=size, tolerance=tolerance)
        assert c.faults == [], seed
        proofs += w.proofs
    assert proofs > 1000


def restart_and_isolate_each_core(monkeypatch, seed):
    """Restart each core in turn with a clock some seconds behind, and isolate it shortly after while the others continue."""
    w, c = settled(monkeypatch, seed=seed, clock=lambda rng, life: 100 - life * rng.uniform(3, 8))
    for name in sorted(c.cores):
        x = c.cores[name]
        x.power()
        c.run(1)
        x.boot()
        c.run(c.rng.uniform(0.1, 1))
        c.cut([name], [n for n in c.cores if n != name])
        c.run(10)
        c.cuts.clear()
        c.run(4)
    assert w.proofs > 100
    return {b[1] for b in c.faults}


def run_with_message_loss(monkeypatch, seed):
    w, c = settled(monkeypatch, seed=seed)
    c.loss = 0.3
    c.run(20)
    return {b[1] for b in c.faults}


GUARDS = [
    (
        "stamps have no random offset per process",
        restart_and_isolate_each_core,
        "liveness",
        (
            "sent = echo - core.state.stamp_origin",
            "stamp=state.stamp_origin + to_milliseconds(now)",
            "return sent if 0 <= sent <= to_milliseconds(now) else -1",
        ),
        ("sent = echo", "stamp=to_milliseconds(now)", "return sent"),
        ("echoed_send_time_ms", "send_heartbeat"),
    ),
    (
        "a proof counts for a core that has committed less",
        run_with_message_loss,
        "liveness",
        "    elif heartbeat.age >= 0:",
        "    if heartbeat.age >= 0:",
        ("on_heartbeat",),
    ),
]


@pytest.mark.parametrize("what,play,module,old,new,targets", GUARDS, ids=[g[0] for g in GUARDS])
def test_without_its_guard_a_proof_is_wrong(what, play, module, old, new, targets, monkeypatch):
    for seed in range(3):
        assert play(monkeypatch, seed) == set()
    without(monkeypatch, f"silverglade.control.{module}", old, new, *(f"silverglade.control.{module}.{t}" for t in targets))
    assert any("proved-what-is-old" in play(monkeypatch, seed) for seed in range(16))
