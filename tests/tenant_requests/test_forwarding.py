"""Requests that run at another daemon than the one that received them from the client (design 6.6)."""

from datetime import timedelta

import pytest

from silverglade.runtime.effects import SetBackpressure, TenantResult
from silverglade.runtime.settings import tuning
from silverglade.tenant_requests.admission import RequestFacts, RequestHead
from silverglade.tenant_requests.forwarding import ForwardedRequests, ReceivedRequests
from silverglade.tenant_requests.messages import ForwardedResult, PiecesConsumed
from silverglade.tenant_requests.request_context import RequestContext
from silverglade.tenant_requests.results import piece_result

SECOND = timedelta(seconds=1)
TUNING = tuning()
HEAD = RequestHead("b", "chat", "k", "", "", "")
FACTS = RequestFacts("t", "chat", "k", False, "", SECOND, 0, "model", True, False, ("z",))


@pytest.fixture
def context():
    """The context of a daemon whose only other live member is "home"."""
    known = RequestContext(tuning=TUNING)
    known.set_members((("home", "l", 1, 1, "z", "m", "", "", False, "ready", (), ()),))
    return known


@pytest.fixture
def forwarded(context):
    """One request that was forwarded to "home"."""
    requests = ForwardedRequests(tuning=TUNING, context=context)
    assert requests.forward("id", "home", HEAD, FACTS, b"", 0 * SECOND).to == "home"
    return requests


@pytest.fixture
def received(context):
    """One request that "home" forwarded here."""
    requests = ReceivedRequests(tuning=TUNING, context=context)
    requests.add("id", "home", 0 * SECOND)
    return requests


def test_results_are_relayed_in_order_until_the_last(forwarded):
    assert forwarded.on_result("home", ForwardedResult("id", 1, "piece", (1, b"a"))) == ([TenantResult("id", "piece", (1, b"a"))], None)
    assert forwarded.on_result("other", ForwardedResult("id", 2, "done", (1,))) == ([], None)
    assert forwarded.on_result("home", ForwardedResult("id", 2, "done", (1,))) == ([TenantResult("id", "done", (1,))], None)
    assert "id" not in forwarded


@pytest.mark.parametrize("pieces,reported", [(0, (405, "maybe")), (1, (404, "yes"))])
def test_a_gap_in_the_results_ends_the_request(forwarded, pieces, reported):
    for number in range(1, pieces + 1):
        forwarded.on_result("home", ForwardedResult("id", number, "piece", (number, b"a")))
    effects, lost = forwarded.on_result("home", ForwardedResult("id", pieces + 2, "piece", (pieces + 2, b"a")))
    assert [effect.body for effect in effects] == [("left", "id")]
    assert (lost.code, lost.ran) == reported and "id" not in forwarded


def test_a_request_is_lost_when_it_is_overdue_or_its_daemon_is_not_live(forwarded, context):
    assert forwarded.expire(SECOND) == []
    [(request_id, effects, lost)] = forwarded.expire(SECOND + TUNING["settle"])
    assert (request_id, [effect.body for effect in effects], lost.code, lost.ran) == ("id", [("left", "id")], 403, "maybe")
    forwarded.forward("id", "home", HEAD, FACTS, b"", 0 * SECOND)
    context.set_members(())
    [(request_id, effects, lost)] = forwarded.expire(0 * SECOND)
    assert (request_id, effects, lost.code, lost.ran) == ("id", [], 405, "maybe")


def test_reading_from_the_replica_is_paused_while_more_than_128_pieces_are_outstanding(received):
    sent = [effect for number in range(1, 140) for effect in received.send_back(piece_result("id", number, b"a"))]
    assert [(sent.index(effect), effect.should_read) for effect in sent if isinstance(effect, SetBackpressure)] == [(128, False)]
    assert received.on_pieces_consumed("other", PiecesConsumed("id", 139)) == []
    assert received.on_pieces_consumed("home", PiecesConsumed("id", 74)) == []
    assert received.on_pieces_consumed("home", PiecesConsumed("id", 75)) == [SetBackpressure("id", True)]


def test_a_request_whose_sender_is_not_live_is_orphaned(received, context):
    assert received.orphaned(10 * SECOND) == []
    context.set_members(())
    assert received.orphaned(TUNING["gone"]) == [] and received.orphaned(TUNING["gone"] + SECOND) == ["id"]
