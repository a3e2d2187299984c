"""Metrics in the Prometheus text format (design 8.4)."""

from collections import Counter
from types import SimpleNamespace

import anyio

from silverglade.http.metrics import exposition
from silverglade.server.cut_responses import CutReason

CALLS = {
    "status": {"age_ms": 3, "view": (1, "a"), "config": (1, 2)},
    "fleet": {"fleet": {}},
    "replicas": {"replicas": {}},
}


def test_cut_responses_are_counted_by_reason():
    """Guards against an incident in which nothing tells which of several mechanisms closed clients' connections."""

    async def call(operation, arguments):
        return 100, CALLS[operation]

    daemon = SimpleNamespace(
        call=call,
        event_counts=Counter(),
        faults=SimpleNamespace(counts={}),
        peers=SimpleNamespace(dropped=0),
        forwarder=SimpleNamespace(cut_responses=SimpleNamespace(counts=Counter({CutReason.ABORTED: 2, CutReason.DEADLINE_EXPIRED: 1}))),
    )
    lines = anyio.run(exposition, daemon).decode().splitlines()
    assert [line for line in lines if line.startswith("silverglade_responses_cut_total")] == [
        'silverglade_responses_cut_total{why="aborted"} 2.0',
        'silverglade_responses_cut_total{why="deadline"} 1.0',
    ]
