"""The updater alone (design 5.7): when it queries which daemon, and which answers it applies."""

import random

import pytest

from silverglade.configuration.core_selection import CoreSelector
from silverglade.configuration.messages import UpdateAnswer
from silverglade.configuration.updater import MAX_UNANSWERED_REQUESTS, Updater, version_before
from silverglade.membership.records import MemberRecord
from silverglade.runtime.effects import Broadcast, LogRecord, Post, Send, milliseconds
from silverglade.runtime.events import (
    AttributeSet,
    MembershipChanged,
    MessageReceived,
    ProcessPaused,
    ProofRenewed,
    SoftStateDeltaReceived,
    StoreUpdated,
    TimerFired,
    UpdateRequestReady,
)
from silverglade.runtime.settings import tuning

DELTA = (1, 2)
CONFIGURATION = ("config", (1, 1), {"number": 1})


def member(name, zone, region, *, is_core=True):
    return MemberRecord(name, "process", 1, 1, zone, region, f"{name}:1", f"{name}:2", is_core, "ready")


NEAR, SAME_REGION, FAR = member("near", "z", "r"), member("same-region", "y", "r"), member("far", "x", "q")
CORES = (FAR, NEAR, SAME_REGION)


class Daemon:
    """An updater, with cores whose answers the test supplies."""

    def __init__(self, members=CORES, seeds=("seed:1",), **settings):
        self.tuning = tuning(**settings)
        self.now = milliseconds(1000)
        self.updater = Updater(
            own_name="d",
            zone="z",
            region="r",
            is_core=False,
            own_address="d:1",
            seeds=seeds,
            tuning=self.tuning,
            rng=random.Random(7),
        )
        self.updater.on_start(self.now)
        self.step(MembershipChanged(members))

    def step(self, event, after_ms=0):
        self.now += milliseconds(after_ms)
        return self.updater.step(self.now, event)

    def request(self, after_ms=0):
        """Advance the time and fire the timer -> the request that is sent, or None."""
        effects = self.step(TimerFired(), after_ms)
        ready = [effect.event for effect in effects if isinstance(effect, Post) and isinstance(effect.event, UpdateRequestReady)]
        return ready[0] if ready else None

    def answer(self, request, *, version=(1, 1), items=(CONFIGURATION,), age_ms=0, held_ms=0, after_ms=10):
        body = ("news", request.number, version, items, age_ms, held_ms, DELTA)
        return self.step(MessageReceived(request.core, body), after_ms)


def of_class(effects, event_class):
    return [effect.event for effect in effects if isinstance(effect, Broadcast | Post) and isinstance(effect.event, event_class)]


def test_the_request_carries_the_version_held_and_the_position_of_the_table():
    d = Daemon()
    request = d.request()
    assert d.step(request) == [Send("near", ("get", request.number, (0, 0), ()))]
    assert d.updater.pending_request == (request.number, "near", d.now)


def test_an_answer_proved_after_the_start_is_applied_and_broadcast():
    d = Daemon()
    effects = d.answer(d.request(after_ms=100), age_ms=20)
    assert of_class(effects, StoreUpdated) == [StoreUpdated({"config": ((1, 1), {"number": 1})}, (1, 1))]
    assert of_class(effects, ProofRenewed) == [ProofRenewed(milliseconds(1000 + 100 - 20))]
    assert of_class(effects, SoftStateDeltaReceived) == [SoftStateDeltaReceived("near", DELTA)]
    assert d.updater.store_version == (1, 1) and d.updater.pending_request is None


@pytest.mark.parametrize("age_ms", [-1, 101])
def test_an_answer_not_proved_after_the_start_is_not_applied(age_ms):
    d = Daemon()
    effects = d.answer(d.request(after_ms=100), age_ms=age_ms)
    assert of_class(effects, StoreUpdated) == of_class(effects, ProofRenewed) == []
    assert d.updater.store == {} and d.updater.store_version == (0, 0)


def test_with_trust_an_old_proof_is_accepted_only_after_settle():
    d = Daemon(trust=True)
    old = to_ms(d.tuning["aged"]) + 1
    d.answer(d.request(), age_ms=old)
    assert d.updater.store == {}
    d.answer(d.request(after_ms=to_ms(d.tuning["settle"])), age_ms=old)
    assert "config" in d.updater.store


def test_with_trust_an_answer_without_a_proof_is_applied_at_once():
    d = Daemon(trust=True)
    d.answer(d.request(), age_ms=-1)
    assert "config" in d.updater.store and d.updater.proved_at is None


def test_an_outdated_answer_is_rejected_and_its_core_avoided():
    d = Daemon()
    d.answer(d.request(after_ms=100), version=(2, 5))
    effects = d.answer(d.request(), version=(2, 4))
    assert [effect.event for effect in effects if isinstance(effect, LogRecord)] == ["update-outdated"]
    assert d.updater.store_version == (2, 5)
    assert d.request().core == "same-region"


def test_an_item_is_applied_only_if_it_is_newer_than_the_one_held():
    d = Daemon()
    d.answer(d.request(after_ms=100), version=(1, 3), items=(("config", (1, 3), "new"), ("duty/shard/t", (1, 2), (1, "a", ""))))
    d.answer(d.request(), version=(1, 4), items=(("config", (1, 2), "old"), ("duty/shard/t", (1, 4), None)))
    assert d.updater.store == {"config": ((1, 3), "new")} and d.updater.store_version == (1, 4)


# Guards against a change of a record that is sent to cores only, upon which every daemon of the fleet advertised a new version.
def test_a_version_without_items_for_this_daemon_is_not_advertised():
    daemon = Daemon()
    effects = daemon.answer(daemon.request(), version=(1, 1))
    assert [posted.value for posted in posts_of(effects, AttributeSet)] == [(1, 1)]
    effects = daemon.answer(daemon.request(1100), version=(1, 2), items=())
    assert posts_of(effects, AttributeSet) == [] and daemon.updater.store_version == (1, 2)


def posts_of(effects, event_class):
    """The events of this class that are posted."""
    return [effect.event for effect in effects if isinstance(effect, Post) and isinstance(effect.event, event_class)]


def test_a_hedged_request_gives_the_version_before_the_one_held():
    d = Daemon()
    d.answer(d.request(after_ms=100), version=(1, 3))
    pending = d.request()
    assert pending.version == (1, 3)
    hedged = d.request(after_ms=to_ms(d.tuning["ask_wait"]) + 2 * to_ms(d.tuning["beat"]) + 1)
    assert hedged.core != pending.core and hedged.version == (1, 2)


def test_late_answers_to_the_latest_requests_are_accepted():
    d = Daemon()
    requests = [d.request(after_ms=5000) for _ in range(MAX_UNANSWERED_REQUESTS + 1)]
    assert None not in requests
    assert d.answer(requests[0]) == []  # no longer remembered
    assert of_class(d.answer(requests[1], age_ms=0), SoftStateDeltaReceived)


def test_after_a_pause_of_the_process_the_proof_is_dropped_and_a_core_is_queried():
    d = Daemon()
    d.answer(d.request(after_ms=100))
    effects = d.step(ProcessPaused(), after_ms=9000)
    assert of_class(effects, ProofRenewed) == [ProofRenewed(None)] and of_class(effects, UpdateRequestReady)
    assert d.updater.proved_at is None and "config" in d.updater.store


def test_without_members_the_seeds_are_queried_in_turn():
    d = Daemon(members=(), seeds=("seed:1", "d:1", "seed:2"))
    asked = [d.request(after_ms=5000).core for _ in range(4)]
    assert set(asked) == {"@seed:1", "@seed:2"} and asked[:2] == asked[2:]


# Guards against a newly started process that waits for a seed which is down as long as a process with a proved store would.
def test_a_process_that_has_just_started_asks_the_next_seed_as_soon_as_one_does_not_answer():
    d = Daemon(members=(), seeds=("a:1", "b:1"))
    first, gap = d.request(), to_ms(d.tuning["hedge_gap"])
    assert d.request(after_ms=gap) is None
    effects = d.step(TimerFired(), after_ms=1)
    assert [effect for effect in effects if isinstance(effect, LogRecord)] == []  # no update is overdue yet
    assert d.updater.pending_request.core != first.core
    assert d.request(after_ms=2 * gap) is None and d.request(after_ms=1).core == first.core  # the delay doubles each time


def test_the_nearest_core_that_is_not_avoided_is_selected():
    selector = CoreSelector(own_name="d", zone="z", region="r", is_core=False, own_address="d:1", seeds=(), rng=random.Random(7))
    selector.members = CORES
    selected = []
    now = milliseconds(0)
    for _ in CORES:
        selected.append(selector.select(now, last_queried=None))
        selector.avoid(selected[-1], milliseconds(1000 + len(selected)))
    assert selected == ["near", "same-region", "far"]
    assert selector.select(now, last_queried=None) == "near"  # all are avoided: the one with the earliest end of avoidance


def test_an_answer_without_a_delta_is_not_decoded():
    assert UpdateAnswer.decode(("news", 1, (1, 1), (), 0, 0)) is None
    assert UpdateAnswer.decode(("get", 1, (1, 1), ())) is None


@pytest.mark.parametrize("version,before", [((0, 0), (0, 0)), ((3, 0), (3, 0)), ((3, 5), (3, 4))])
def test_the_preceding_version_is_in_the_same_epoch(version, before):
    assert version_before(version) == before


def to_ms(duration):
    return duration // milliseconds(1)


def paused_daemon():
    """An updater with a proof, whose process then stood still for 5 s; its last request and the one that it sends when it wakes."""
    d = Daemon()
    d.answer(d.request(after_ms=100))
    before = d.request(after_ms=1000)
    effects = d.step(ProcessPaused(), after_ms=5000)
    assert of_class(effects, ProofRenewed) == [ProofRenewed(None)]
    return d, before, of_class(effects, UpdateRequestReady)[0]


# Guards against incident served-by-a-dropped-configuration: an answer that waited in a buffer during the pause brings the old proof back.
def test_an_answer_to_a_request_from_before_a_pause_brings_items_and_no_proof():
    d, before, _ = paused_daemon()
    effects = d.answer(before, version=(1, 2), items=(("config", (1, 2), {"number": 2}),), held_ms=900)
    assert of_class(effects, StoreUpdated) != [] and of_class(effects, ProofRenewed) == []
    assert d.updater.proved_at is None


# Guards against: a core that was cut off hands out a proof from before the pause.
def test_after_a_pause_only_a_recent_proof_counts():
    d, _, now = paused_daemon()
    assert of_class(d.answer(now, age_ms=to_ms(d.tuning["aged"]) + 1), ProofRenewed) == []
    assert of_class(d.answer(d.request(after_ms=700), age_ms=100), ProofRenewed) != []


# Guards against: a core holds the request of a daemon that wakes for a second, and the daemon refuses everything meanwhile.
def test_a_daemon_that_wakes_asks_for_an_answer_at_once():
    _, _, now = paused_daemon()
    assert now.version == version_before((1, 1))


def test_a_later_proof_counts_whatever_its_age_once_the_pause_is_covered():
    d, _, now = paused_daemon()
    d.answer(now, age_ms=100)
    age_ms = to_ms(d.tuning["aged"]) + 1
    assert of_class(d.answer(d.request(after_ms=age_ms + 100), age_ms=age_ms), ProofRenewed) != []
