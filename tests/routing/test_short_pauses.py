"""Streams at replicas that pause for half a second (design 15.3), in fleets of several sizes, on the instrument of policies.

Every replica is sound and nearly full, so a daemon that leaves one because of its silence may find no other that takes the stream.
"""

import dataclasses
from datetime import timedelta

import pytest

from silverglade.routing.attempts import DEADLINE_PASSED
from silverglade.runtime.settings import tuning
from silverglade.testbed.experiments import policy_day
from silverglade.testbed.experiments.policy_sites import Kind, Site, Trouble
from silverglade.testbed.fake_servers.request_format import ReplicaSpec

MS, SECOND = timedelta(milliseconds=1), timedelta(seconds=1)
ZONES = ("a1", "b1", "c1", "a2", "b2", "c2")
TRAFFIC_S = 10
PAUSES = [Trouble(what="hang", at=2 + 0.9 * number, lasts=0.5, share=0.1, name="model") for number in range(8)]
BUDGET_SLACK = 430

CHAT = Kind(
    name="chat",
    service="model",
    kind="streaming",
    per_s=40,
    aim=0.615 * SECOND,
    due=10.25 * SECOND,
    worth=3,
    late_worth=0.9,
    rank=0,
    tries=2,
    resumable=True,
    chain=((15, 119), (3077, 79)),
    own_tokens=628,
    out_tokens=290,
    gap_ms=600,
)
MODEL = ReplicaSpec(
    capacity=8, queue=1, cache_tokens=272536, step=3.09 * MS, per_slot=0.5 * MS, read=56.9, chunk=2048, stride=7, conns=1500
)


class PauseDay(policy_day.PolicyDay):
    """A day on which aborted streams are recorded with the reason."""

    def __init__(self, *, daemons_per_zone, per_s, seed):
        site = Site(
            zones={zone: (zone[0], daemons_per_zone) for zone in ZONES},
            specs={"model": MODEL},
            seats={"model": (2,) * len(ZONES)},
            kinds=(dataclasses.replace(CHAT, per_s=per_s),),
            far=55 * MS,
            between=1.4 * MS,
        )
        self.aborted = []
        super().__init__(site=site, seed=seed, seconds=TRAFFIC_S, troubles=PAUSES)

    def act(self, front, effect):
        if effect[:2] == ("log", "response-aborted"):
            self.aborted.append(dict(effect[2]))
        super().act(front, effect)


def streams_cut_before_their_deadline(monkeypatch, *, daemons_per_zone, seed, per_s=CHAT.per_s):
    monkeypatch.setattr(policy_day, "tuning", lambda **given: tuning(budget_slack=BUDGET_SLACK, **given))
    day = PauseDay(daemons_per_zone=daemons_per_zone, per_s=per_s, seed=seed)
    figures = day.run()
    assert figures.earned > 0
    return [fields for fields in day.aborted if fields["code"] != DEADLINE_PASSED.code]


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_no_stream_is_cut_in_a_large_fleet_because_its_replica_paused(monkeypatch, seed):
    """Guards against streams that 198 daemons cut (LOST) since they leave a replica that pauses for one that then refuses them."""
    assert streams_cut_before_their_deadline(monkeypatch, daemons_per_zone=33, seed=seed) == []


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_no_stream_is_cut_in_a_small_fleet_because_its_replica_paused(monkeypatch, seed):
    """Guards against the same in a fleet whose retry budget lets daemons leave a replica more often."""
    assert streams_cut_before_their_deadline(monkeypatch, daemons_per_zone=3, seed=seed) == []


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_no_stream_is_cut_because_its_replica_paused_while_replicas_refuse_a_third_of_all_attempts(monkeypatch, seed):
    """Guards against a stream that gives up its place at a silent replica, and finds it taken when it has to return."""
    assert streams_cut_before_their_deadline(monkeypatch, daemons_per_zone=3, per_s=50, seed=seed) == []
