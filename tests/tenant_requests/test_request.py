"""A request at a daemon in its home zones: attempts, and the `ran` value reported to the client (design 6.5)."""

from datetime import timedelta

import pytest

from silverglade.runtime.effects import AbortDispatch, Broadcast, Dispatch, Send, TenantResult
from silverglade.runtime.settings import tuning
from silverglade.tenant_requests.admission import RequestFacts
from silverglade.tenant_requests.messages import Denial, Grant, OwnerMoved
from silverglade.tenant_requests.request import TenantRequest
from silverglade.tenant_requests.request_context import RequestContext

SECOND = timedelta(seconds=1)
TUNING = tuning()
GRANT = Grant("id", 1, "r", 1, "a:1", 7, False, False)
MEMBER = ("owner", "l", 1, 1, "z", "m", "", "", False, "ready", (), ())
REPLICA = ("r", 1, 1, "a:1", "z", "model", ("z",), (), 4, False)
STATUS = ("r", 1, 1, 1, "ready", 0.0, 0.0, 0, 4, 0)


@pytest.fixture
def context():
    """The context of a daemon with a recent proof, a shard owner and one usable replica."""
    known = RequestContext(tuning=TUNING)
    known.set_store({"config": ((1, 1), {"tenants": {"t": {"homes": ("z",)}}}), "duty/shard/t": ((1, 1), (7, "owner", "f"))})
    known.set_members((MEMBER,))
    known.replicas = {"r": (REPLICA, STATUS, 0 * SECOND)}
    known.proved_at = 0 * SECOND
    return known


def facts(**changes):
    given = dict(
        tenant="t", class_name="chat", key="k", key_is_generated=False, prefix="", time_left=SECOND, client_attempt=0, kind="model"
    )
    return RequestFacts(**{**given, **dict(is_streamed=True, is_resumable=False, homes=("z",)), **changes})


class Client:
    """A request driven step by step, with the effects of the last step."""

    def __init__(self, context, **changes):
        self.request = TenantRequest(
            request_id="id",
            facts=facts(**changes),
            body=b"",
            now=0 * SECOND,
            tuning=TUNING,
            context=context,
            counts_as_arrival=True,
            trace=None,
        )
        self.effects = list(self.request.start(0 * SECOND))

    def of(self, kind):
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def bodies(self):
        return [effect.body[0] for effect in self.of(Send)]

    def results(self):
        return [(effect.kind, *effect.details) for effect in self.of(TenantResult)]

    def after(self, seconds, method, *arguments):
        self.effects = list(getattr(self.request, method)(seconds * SECOND, *arguments))
        return self


def test_a_request_is_dispatched_once_its_owner_grants_it(context):
    client = Client(context)
    assert client.bodies() == ["ask"] and client.of(Send)[0].to == "owner"
    assert [effect.replica for effect in client.after(0.1, "on_owner_message", GRANT).of(Dispatch)] == ["r"]


def test_a_stream_is_relayed_piece_by_piece_and_ends_once(context):
    client = Client(context)
    client.after(0.1, "on_owner_message", GRANT)
    assert client.after(0.2, "on_dispatch_progress", ("piece", 1, b"a")).results() == [("piece", 1, b"a")]
    assert client.after(0.3, "on_dispatch_progress", ("done", 1)).results() == [("done", 1)]
    assert client.bodies() == ["fin"] and len(client.of(Broadcast)) == 1 and client.request.is_finished


@pytest.mark.parametrize("outcome", [("piece", 2, b"a"), ("done", 0), ("done", 1), ("whole", b"a"), ("fault", "yes")])
def test_an_answer_out_of_order_or_malformed_is_a_failure_that_ran(context, outcome):
    client = Client(context)
    client.after(0.1, "on_owner_message", GRANT)
    assert client.after(0.2, "on_dispatch_progress", outcome).results() == [("fault", 402, "yes", 1000)]
    assert client.of(AbortDispatch) and client.request.is_finished


def test_a_request_that_the_replica_refused_is_attempted_again(context):
    client = Client(context)
    client.after(0.1, "on_owner_message", GRANT)
    assert client.after(0.2, "on_dispatch_progress", ("refused",)).bodies() == ["fin", "ask"]
    assert client.results() == [] and not client.request.is_finished


@pytest.mark.parametrize("resumable,pieces,again", [(True, 0, True), (True, 1, False), (False, 0, False)])
def test_a_failed_request_runs_again_only_if_resumable_and_before_its_first_piece(context, resumable, pieces, again):
    client = Client(context, is_resumable=resumable)
    client.after(0.1, "on_owner_message", GRANT)
    for number in range(1, pieces + 1):
        client.after(0.1, "on_dispatch_progress", ("piece", number, b"a"))
    assert ("ask" in client.after(0.2, "on_dispatch_progress", ("fault", "maybe")).bodies()) == again


@pytest.mark.parametrize("change", [dict(proved_at=None), dict(replicas={}), dict(drained_zones={"z"})])
def test_a_granted_request_is_not_sent_if_the_replica_became_unusable(context, change):
    client = Client(context)
    for name, value in change.items():
        setattr(context, name, value)
    client.after(0.1, "on_owner_message", GRANT)
    assert not client.of(Dispatch) and client.of(Send)[0].body == ("fin", "id", 1, "barred")


@pytest.mark.parametrize("answer", [Denial("id", 1, 304, "?", 500), OwnerMoved("id", 1)])
def test_a_daemon_that_does_not_own_the_shard_is_queried_again_after_a_pause(context, answer):
    client = Client(context)
    assert client.after(0.01, "on_owner_message", answer).effects == []
    assert client.after(0.02, "on_timer").effects == []
    assert client.after(0.01 + TUNING["beat"] / SECOND, "on_timer").bodies() == ["ask"]


@pytest.mark.parametrize(
    "changes,seconds,ran,reported",
    [
        ({}, 0.1, "?", "maybe"),
        (dict(client_attempt=1), 0.1, "?", "no"),
        (dict(client_attempt=1), 0.1, "blind", "maybe"),
        (dict(client_attempt=1), 0.0, "blind", "no"),
        (dict(client_attempt=2), 0.0, "?", "maybe"),
        (dict(key_is_generated=True), 0.9, "blind", "no"),
        (dict(is_resumable=True), 0.1, "?", "no"),
        (dict(client_attempt=1), 0.1, "yes", "yes"),
    ],
)
def test_not_run_is_reported_only_while_it_is_certain(context, changes, seconds, ran, reported):
    client = Client(context, **changes)
    assert client.after(seconds, "on_owner_message", Denial("id", 1, 301, ran, 500)).results() == [("fault", 301, reported, 500)]


def test_an_arrival_is_retracted_once_if_the_owner_reports_a_retry(context):
    client = Client(context)
    known = Grant("id", 1, "r", 1, "a:1", 7, False, True)
    assert len(client.after(0.1, "on_owner_message", known).of(Broadcast)) == 1


def test_a_client_disconnect_aborts_the_dispatch_and_sends_no_result(context):
    client = Client(context)
    client.after(0.1, "on_owner_message", GRANT)
    client.after(0.2, "on_client_disconnected")
    assert client.of(AbortDispatch) and client.results() == [] and client.request.is_finished


def test_a_request_ends_at_its_deadline(context):
    waiting = Client(context)
    assert waiting.after(1, "on_timer").results() == [("fault", 207, "maybe", 1000)] and waiting.bodies()[-1] == "quit"
    running = Client(context)
    running.after(0.1, "on_owner_message", GRANT)
    assert running.after(1, "on_timer").results() == [("fault", 403, "maybe", 1000)]
