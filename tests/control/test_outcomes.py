"""Recorded outcomes (design 5.3): a repeat of an accepted change is never refused, and the number of outcomes is bounded."""

import random

import pytest

from silverglade.control import outcomes, store
from silverglade.control.decisions import fencing_token, settle
from silverglade.control.operations import Evacuate, decode_operation
from silverglade.control.replicated_state import pruned_keys
from silverglade.runtime.effects import milliseconds
from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import SEC

from ..support.failure_scenarios import hamlet

RAW = {"zones": {z: {"region": z} for z in ("north", "middle", "south")}, "tenants": {}}


def put_table(s, base, number, *, at="edge-north-0", change="", text=""):
    got, raw = [], dict(s.t["config"], number=number)
    s.w.call(at, "table-put", (base, number, change or f"{base}/{number}{text}", raw, text or f"text {number}"), lambda c, _: got.append(c))
    s.w.run(0.5)
    return got


def evacuate_repeatedly(s, n):
    """Request `n` evacuations with the same value; all must be acknowledged."""
    got = []
    for i in range(n):
        s.w.after(milliseconds(40 * i), s.w.call, "core-north", "evac", ("north", False, f"e{i}.{s.w.num}"), lambda c, _: got.append(c))
    s.w.run(0.04 * n + 2)
    assert got == [100] * n


def test_a_repeated_change_is_acknowledged_again_after_300_others():
    s = hamlet()
    assert put_table(s, 0, 5) == [100]
    assert put_table(s, 5, 8) == [100]
    evacuate_repeatedly(s, 300)
    assert put_table(s, 0, 5) == [100] and put_table(s, 5, 8, at="edge-south-0") == [100]
    assert put_table(s, 0, 6) == [501] and put_table(s, 5, 9) == [501]  # never accepted, so certainly refused


def limit_outcomes(monkeypatch, most=40):
    monkeypatch.setattr(outcomes, "MAX_OUTCOMES", most)
    monkeypatch.setattr(outcomes, "EVICTION_BATCH", most // 4)


def member_outcomes(s):
    _, primary, backups, _ = s.w.nodes["core-north"].control.view
    return [{k: v for k, v in s.w.nodes[c].disk.data["book"].items() if outcomes.is_private(k)} for c in (primary, *backups)]


def test_a_forgotten_outcome_is_answered_as_unknown_by_every_primary(monkeypatch):
    limit_outcomes(monkeypatch)
    s = hamlet()
    numbers = [3 * i for i in range(8)]
    for base, number in zip(numbers, numbers[1:]):
        assert put_table(s, base, number) == [100]
    evacuate_repeatedly(s, 90)
    mine, *others = member_outcomes(s)
    assert outcomes.HORIZON_KEY in mine and others == [mine] * len(others) and len(mine) <= 42
    assert put_table(s, numbers[-2], numbers[-1]) == [100]  # the change in force is always remembered
    for base, number in zip(numbers, numbers[1:-1]):
        assert put_table(s, base, number) == [503]
    for name in (s.w.nodes["core-north"].control.view[1],) * 2:  # after its restart, and after a view change
        s.w.nodes[name].kill()
        s.w.run(0.5)
        s.w.nodes[name].boot()
        s.w.run(7)
        assert put_table(s, 0, 3) == [503] and put_table(s, numbers[-2], numbers[-1]) == [100]
        assert put_table(s, numbers[-1] + 1, 99, text=f"other {name}") == [501]
    assert put_table(s, numbers[-1], 40) == [100] and put_table(s, numbers[-1], 41) == [501]


def test_a_core_restored_from_a_snapshot_forgets_the_same_outcomes(monkeypatch):
    limit_outcomes(monkeypatch)
    s = hamlet()
    assert put_table(s, 0, 3) == [100] and put_table(s, 3, 4) == [100]
    evacuate_repeatedly(s, 60)
    for _ in range(2):
        primary = s.w.nodes["core-north"].control.view[1]
        s.w.empty_disk(primary)
        s.w.run(0.5)
        s.w.nodes[primary].boot()
        s.w.run(8)
    mine, *others = member_outcomes(s)
    assert others == [mine] * len(others)
    assert put_table(s, 0, 3) == [503] and put_table(s, 3, 4) == [100]


def test_a_change_refused_for_a_future_base_is_not_accepted_later():
    s = hamlet()
    assert put_table(s, 0, 5) == [100]
    assert put_table(s, 7, 9) == [501]
    assert put_table(s, 5, 7) == [100]
    assert put_table(s, 7, 9) == [501] and put_table(s, 7, 9, at="edge-south-0") == [501]
    assert put_table(s, 7, 9, text="another") == [100]


def test_a_change_is_identified_by_its_text_whichever_daemon_parsed_it():
    s = hamlet()
    assert put_table(s, 0, 5, change="c") == [100]
    s.t["config"] = dict(s.t["config"], body_cap=77777)  # another daemon with other settings would parse the text differently
    assert put_table(s, 0, 5, change="c") == [100]
    assert put_table(s, 0, 5, change="c", text="another text") == [514]


class Store:
    """A member's store, changed by the primary's own functions `settle` and `apply`."""

    def __init__(self):
        self.rows, self.n = {}, 0

    def settle_operation(self, change, op, key="", aged=(0, 0)):
        at = (1, self.n + 1)
        result, items = settle(
            self.rows,
            change_id=change,
            operation=decode_operation(op),
            digest=key or repr(op),
            version=at,
            previous=(1, self.n),
            aged=aged,
        )
        if items:
            self.n += 1
            store.apply(self.rows, items)
        return result.encode()

    def table(self, base, number, tag=""):
        return self.settle_operation(f"{base}/{number}{tag}", ("table", base, number, dict(RAW, number=number), f"{number}{tag}"))

    def zone(self, name, on, change):
        return self.settle_operation(change, ("evac", name, on, fencing_token(self.rows, Evacuate(name, on))), key=f"{name} {on}")


@pytest.mark.parametrize("seed", range(12))
def test_no_accepted_change_is_refused_and_no_refused_one_accepted(seed, monkeypatch):
    limit_outcomes(monkeypatch, most=12)
    rng, s, held = random.Random(seed), Store(), 0
    taken, refused, said, unknown, sure = set(), set(), [], 0, 0
    for i in range(1500):
        if said and rng.random() < 0.4:  # a repeat, early or late
            base, number, tag = rng.choice(said[-60:]) if rng.random() < 0.8 else rng.choice(said)
        else:
            base = rng.choice([held, held, max(0, held - rng.randint(1, 9)), held + rng.randint(1, 4)])
            number, tag = max(base, held) + rng.randint(1, 3), f"t{i % 5}"
            said.append((base, number, tag))
        if rng.random() < 0.5:
            assert s.zone(rng.choice(list(RAW["zones"])), rng.random() < 0.5, f"e{i}")[0] == "ok" or not held
        refused = {r for r in refused if f"{outcomes.OUTCOME_PREFIX}{r[0]}/{r[1]}{r[2]}" in s.rows}  # only while its outcome is kept
        was = s.n
        match s.table(base, number, tag), (base, number, tag):
            case ("ok", _), key:
                assert key not in refused
                held = held if key in taken else number
                taken.add(key)
            case ("refuse", 501, said_of), key:
                assert key not in taken and said_of == f"in force is {held}"
                if base > held:  # its base may come to exist later; that of the others cannot
                    refused.add(key)
            case ("stale",), key:
                unknown += 1
                assert s.n == was and base < held
            case other, _:
                raise AssertionError(other)
        kept = [k for k in s.rows if k.startswith(outcomes.OUTCOME_PREFIX)]
        assert len(kept) <= 13
        in_force = next((k for k in taken if k[1] == held), None)
        assert in_force is None or s.table(*in_force)[0] == "ok"  # the change in force is always acknowledged again
        sure += bool(refused)
    assert len(taken) > 100 and unknown > 20 and sure > 100


def test_outcomes_expire_with_running_time_but_not_during_a_pause():
    ages, keep = outcomes.VersionAges(), 8 * SEC
    olds = [ages.newest_aged(i * SEC, 0 * SEC, (1, i), keep) for i in range(20)]
    assert olds[:8] == [(0, 0)] * 8 and olds[8:] == [(1, i) for i in range(12)]
    assert ages.newest_aged(100 * SEC, 99 * SEC, (1, 20), keep) == (1, 11)  # after a pause or a view change the age is counted from zero
    assert ages.newest_aged(107 * SEC, 99 * SEC, (1, 21), keep) == (1, 19)
    s = Store()
    for i in range(10):
        s.table(i, i + 1)
    assert sum(k.startswith(outcomes.OUTCOME_PREFIX) for k in s.rows) == 10
    s.settle_operation("e", ("evac", "north", True, fencing_token(s.rows, Evacuate("north", True))), aged=(1, 6))
    assert sum(k.startswith(outcomes.OUTCOME_PREFIX) for k in s.rows) == 5 and s.rows[outcomes.HORIZON_KEY][1] == ((1, 6), 6)
    assert s.table(5, 6) == ("stale",) and s.table(6, 7)[0] == "ok" and s.table(6, 8)[0] == "refuse"


def test_an_operators_change_id_keeps_its_outcome_in_the_configuration_api_too():
    s = hamlet()
    got, raw = [], dict(s.t["config"], body_cap=54321)
    version = s.w.nodes["edge-north-0"].store["config"][0]

    def send(change="mine", raw=raw, base=version):
        s.w.call("edge-south-0", "config-put", (base, change, raw), lambda c, _: got.append(c))
        s.w.run(0.5)
        return got[-1]

    assert send() == 100
    evacuate_repeatedly(s, 300)
    assert send() == 100 and send(raw=dict(raw, body_cap=11111)) == 514
    assert send(change="another") == 501 and send(change="ahead", base=(99, 1)) == 501


def test_the_kept_outcomes_fit_in_a_tenth_of_a_frame():
    from silverglade.transport import framing as wire

    s = Store()
    s.table(0, 1)
    key = "k" * 32
    for i in range(3 * outcomes.MAX_OUTCOMES):
        s.rows.update({k: (v, x) for k, v, x in (outcomes.outcome_item(change_id=f"{i:0100d}", digest=key, version=(1, i + 2), number=1),)})
        if i % 64 == 0:
            s.rows.update({k: (v, x) for k, v, x in outcomes.advanced_horizon(s.rows, version=(1, i + 2), aged=(0, 0))})
            for k in pruned_keys(s.rows):
                del s.rows[k]
    rows = [(k, *v) for k, v in s.rows.items() if outcomes.is_private(k)]
    frame = wire.encode_frame(sender="", process_id="", body=("snap", rows))
    assert len(rows) <= outcomes.MAX_OUTCOMES + 65 and len(frame) < wire.MAX_FRAME_BYTES / 10
    assert tuning()["outcome_keep"] == 600 * SEC
