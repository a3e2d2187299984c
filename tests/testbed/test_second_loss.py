"""A second loss right after a repair (design 5.9, 10.6): every two steps, on machines held up, and a planted breach for each check."""

from itertools import product

import pytest

from silverglade.control import placement, view_policy
from silverglade.control.view import View
from silverglade.testbed.experiments import second_loss as repairs

from ..control import test_control_safety as safety
from ..support.source_mutation import without

SMALL = dict(size=3, tolerance=(1, 1, 1), catch_up=4.0)
GROWN = dict(size=5, tolerance=(2, 1, 1), catch_up=6.0)
HELD_UP = dict(stalls=0.02, sync_ms=60)  # processors by 50 to 300 ms, disks thirty times slower than a site's
PAIRS = list(product(repairs.STEPS, repeat=2))
PLACES = {"a": ("za", "x"), "b": ("zb", "y"), "c": ("zc", "z"), "d": ("zd", "x"), "e": ("ze", "y"), "f": ("zc", "z")}


def broken(steps, seed, **kw):
    """What a play broke, and how long it took to be whole again and to serve after the closing fault."""
    cluster, seconds = repairs.play(steps, seed=seed, **kw)
    return cluster.faults, cluster.whole_in, seconds


@pytest.mark.parametrize("site", [SMALL, GROWN], ids=["small", "grown"])
@pytest.mark.parametrize("steps", PAIRS, ids=["-".join(s.__name__ for s in p) for p in PAIRS])
def test_a_loss_that_comes_when_another_is_repaired_leaves_a_majority_and_all_that_was_acknowledged(steps, site):
    faults, whole_in, seconds = broken(steps, 1 + PAIRS.index(steps), **site, **HELD_UP)
    assert faults == []
    assert max(whole_in) < site["catch_up"] and seconds <= 8


@pytest.mark.parametrize("site", [SMALL, GROWN], ids=["small", "grown"])
@pytest.mark.parametrize("seed", range(6))
def test_the_grown_day_of_replacements_and_emptied_disks(seed, site):
    faults, whole_in, seconds = broken(repairs.REPLACEMENTS, seed, **site, **HELD_UP, megabits=86)
    assert faults == []
    assert max(whole_in) < site["catch_up"] and seconds <= 8


@pytest.mark.parametrize("size,tolerance", [(4, (1, 1, 1)), (7, (2, 1, 1))])
@pytest.mark.parametrize("first", repairs.STEPS, ids=[s.__name__ for s in repairs.STEPS])
def test_other_numbers_of_cores(first, size, tolerance):
    catch_up = 4.0 if size < 5 else 6.0
    for second in (repairs.leave, repairs.replace_planned):
        faults, _, seconds = broken((first, second), 3, size=size, tolerance=tolerance, catch_up=catch_up, **HELD_UP)
        assert faults == [] and seconds <= 8


@pytest.mark.parametrize("first", repairs.STEPS, ids=[s.__name__ for s in repairs.STEPS])
def test_two_losses_at_once_where_the_tolerance_names_two(first):
    for second in (repairs.replace, repairs.wipe, repairs.fill):
        faults, _, seconds = broken((first, second), 5, at_once=True, **GROWN, **HELD_UP)
        assert faults == [] and seconds <= 8


@pytest.mark.parametrize("site", [SMALL, GROWN], ids=["small", "grown"])
def test_two_that_leave_at_once_hold_what_they_hold_until_others_do(site):
    for seed in range(6):
        faults, _, seconds = broken((repairs.two_leave,), seed, **site)
        assert faults == [] and seconds <= 8


POLICY, PLACEMENT, PEERS, CHANGE = (f"silverglade.control.{m}" for m in ("view_policy", "placement", "peers", "view_change"))
BREACHES = [
    (
        "a witness that is gone for good counts on",
        (repairs.replace, repairs.replace_planned),
        GROWN,
        {"gap", "not-whole"},
        (PLACEMENT, "if tolerated(best or current) < full_tolerance:", "if False:", PLACEMENT + ".choose_witnesses"),
    ),
    (
        "a member ends before another holds what it holds",
        (repairs.leave,),
        SMALL,
        {"left-its-view"},
        (POLICY, "if own_name in members(view):\n        return False", "", POLICY + ".may_exit"),
    ),
    (
        "a witness ends before another has its place",
        (repairs.replace_planned,),
        SMALL,
        {"gap"},
        (
            POLICY,
            "    current = tuple(disks_of(view))\n    return own_name not in current or",
            "    return True or",
            POLICY + ".may_exit",
        ),
    ),
    (
        "one that is away is waited for too long",
        (repairs.replace,),
        SMALL,
        {"not-whole"},
        (
            PEERS,
            'self.table.get(name), self.tuning["takeover"]',
            'self.table.get(name), self.tuning["takeover"] * 3',
            "silverglade.control.state.Peers",
        ),
    ),
]


@pytest.mark.parametrize("what,steps,site,rules,cut", BREACHES, ids=[b[0] for b in BREACHES])
def test_without_its_guard_a_repair_fails(what, steps, site, rules, cut, monkeypatch):
    def fell(seeds):
        return {fault[1] for seed in seeds for fault in broken(steps, seed, **site)[0]}

    assert fell(range(3)) == set()
    without(monkeypatch, *cut)
    assert fell(range(24)) & rules


def test_a_full_disk_keeps_no_other_core_from_being_replaced(monkeypatch):
    def fell(seeds):
        return [fault[1] for seed in seeds for fault in repairs.replace_beside_a_full_disk(seed=seed)[0].faults]

    assert fell(range(8)) == []
    guard = "return peer.unhealthy_since is not None and"
    without(monkeypatch, PEERS, guard, "return False and", "silverglade.control.state.Peers")
    assert "not-back" in fell(range(24))


def test_a_copy_that_takes_longer_than_a_takeover_is_waited_for(monkeypatch):
    """The largest configuration on a link of 20 Mbit/s: slower than `catch_up` then, but whole again in the end."""

    def never_whole(seeds):
        slow = dict(megabits=20, padding=8 * 2**20, gap=4.0)
        faults = [f for s in seeds for f in broken((repairs.replace,), s, **{**GROWN, "catch_up": 12.0}, **slow)[0]]
        return [fault for fault in faults if fault[1] == "not-whole"]

    assert never_whole(range(4)) == []
    monkeypatch.setattr("silverglade.control.view_proposer.COPY_TIMEOUT_TAKEOVERS", 0)
    assert never_whole(range(8))


def leaver(*, copied_first):
    """c, no member of its view, gets a copy for the next one and SIGTERM, in either order; all the others stay."""
    c = safety.SingleCore(view=(3, "a", ("b",), (("a", "A"), ("b", "B"), ("d", "D"))))
    steps = [("msg", "a", ("snap", 4, 9, None, safety.OLD)), ("state", "leaving")]
    for event in steps if copied_first else reversed(steps):
        c.feed(event)
    c.feed(("roll", tuple((n, "l", 1, 0, "z" + n, "r" + n, "", "", True, "leaving" if n == "c" else "ready", (), ()) for n in "abcdef")))
    c.feed(("pulse",))
    return c


def test_a_recruit_that_leaves_stays_until_the_view_is_known_that_may_name_it():
    c = leaver(copied_first=True)
    assert c.last("snapok") and not c.gen.state.exit_allowed
    c.receive("a", "view", (4, "a", ("b",), (("a", "A"), ("b", "B"), ("d", "D"))))
    c.feed(("pulse",))
    assert c.gen.state.exit_allowed
    c = leaver(copied_first=False)
    assert not c.last("snapok") and c.gen.state.exit_allowed  # it is recruited no more


def test_a_member_that_has_met_nobody_yet_stays():
    b = safety.backup()
    b.gen.state.known_cores.clear()
    b.feed(("state", "leaving"))
    b.feed(("pulse",))
    assert not b.gen.state.exit_allowed
    b.feed(("roll", tuple((n, "l", 1, 0, "z" + n, "r" + n, "", "", True, "leaving", (), ()) for n in "abc")))
    b.feed(("pulse",))
    assert b.gen.state.exit_allowed  # all leave: nobody waits for anybody


def wanted(was, live, *, gone=(), leaving=(), tolerance=(2, 1, 1)):
    return "".join(
        placement.choose_witnesses(current=tuple(was), live=live, gone=gone, leaving=leaving, places=PLACES, tolerance=tolerance)
    )


def test_a_silent_witness_goes_at_once_where_the_others_bear_all_without_it():
    assert wanted("abcdef", "abcde") == "abcde"  # six need four: two more could not be lost
    assert wanted("abcdef", "abdef") == "abdef"
    assert wanted("abcde", "abcd") == "abcde"  # four bear no more than five of which one may be back
    assert wanted("abcde", "abcd", leaving="e") == "abcde"
    assert wanted("abcde", "bcde", tolerance=(1, 1, 1)) == "abcde"  # no live one goes for one that may be back
    assert wanted("abcde", "bcde", leaving="a", tolerance=(1, 1, 1)) == "bcd"  # but for one that leaves
    assert wanted("abcdf", "abdf", tolerance=(1, 1, 1)) == "abf"  # or in whose zone another is there
    assert wanted("abcd", "abcd", tolerance=(1, 1, 1)) == "abc"  # four in three regions could not lose the one with two


def test_who_leaves_ends_when_nothing_rests_on_it():
    def may_end(me, staying, members="ab", names="abc"):
        view = View(1, members[0], tuple(members[1:]), tuple((n, "d" + n) for n in names))
        return view_policy.may_exit(own_name=me, view=view, staying=staying, places=PLACES, tolerance=(1, 1, 1))

    assert not may_end("a", "bc") and not may_end("b", "ac") and not may_end("b", "c")  # members
    assert may_end("c", "ab")  # a witness whose place nobody can take
    assert not may_end("c", "abf")  # one whose place can be taken
    assert (
        may_end("f", "abc")
        and may_end("a", "")
        and view_policy.may_exit(own_name="a", view=None, staying="b", places={}, tolerance=(1, 1, 1))
    )


@pytest.mark.parametrize(
    "module,old,target",
    [
        ("core", " and state.recruited <= self.epoch", "tests.control.test_control_safety.control_component"),
        ("core", " and state.known_cores | state.leaving", "tests.control.test_control_safety.control_component"),
        ("snapshots", "    if state.writes.leaving:\n        return False\n", "silverglade.control.snapshots.admit_recruiting_snapshot"),
    ],
)
def test_without_its_guard_a_recruit_leaves_too_early(module, old, target, monkeypatch):
    without(monkeypatch, f"silverglade.control.{module}", old, "", target)
    with pytest.raises(AssertionError):
        test_a_recruit_that_leaves_stays_until_the_view_is_known_that_may_name_it()
        test_a_member_that_has_met_nobody_yet_stays()
