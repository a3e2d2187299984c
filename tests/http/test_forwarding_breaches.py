"""Removes each check of the forwarding path in turn: a test must fail without it (design 15.3)."""

import pytest

from silverglade.http import connection_pool, event_stream, forwarding_protocol
from silverglade.runtime.effects import CancelAttempt
from silverglade.server import attempt_runner, client_request, request_forwarding

from ..support import scripted_replicas as scripted
from ..support.scripted_replicas import DEFAULT_DIALECT
from . import test_connection_pool, test_forwarding, test_forwarding_ends
from .test_connection_pool import REUSE_CASES
from .test_forwarding import BROKEN_STREAM_CASES, RESPONSE_CASES

S, R, A, T, P, F = (
    request_forwarding.RequestForwarder,
    attempt_runner.AttemptRunner,
    client_request.ClientRequest,
    connection_pool.ReplicaStream,
    connection_pool.ConnectionPool,
    forwarding_protocol.ForwardingProtocol,
)


def plain_case(word):
    """The index of the first case of RESPONSE_CASES whose last report is `word`."""
    return next(i for i, (_, words, _) in enumerate(RESPONSE_CASES) if words[-1] == word)


def outcome_case(n):
    return lambda: test_forwarding.test_outcome_of_a_response(n)


def reuse_case(n):
    return lambda: test_connection_pool.test_when_a_connection_is_reused_for_a_second_request(n)


def broken_stream_case(n):
    return lambda: test_forwarding.test_a_broken_stream_has_complete_events_only_and_does_not_look_complete(n)


async def undiscarded_write(stream, buffer, timeout=None):
    if buffer:
        stream._unwritten.append(buffer)


def flush_unchecked(stream):
    pieces, stream._unwritten, stream.was_written = stream._unwritten, [], True
    stream.transport.write(b"".join(pieces))


def close_cleanly(connection):
    connection.transport.write(b"0\r\n\r\n")
    connection.transport.close()


def put_without_disconnect(a, e, put=client_request.ClientRequest.put):
    return None if e is client_request.RequestEnd.CLIENT_DISCONNECTED else put(a, e)


def put_without_cancel(a, e, put=client_request.ClientRequest.put):
    return None if isinstance(e, CancelAttempt) else put(a, e)


def release_without_attempt(pool, c, *, keep=None, last=None, release=connection_pool.ConnectionPool.release):
    release(pool, c, keep=keep)


def release_unwatched(pool, c, *, keep=None, last=None, release=connection_pool.ConnectionPool.release):
    release(pool, c, keep=keep, last=last)
    c.stream.on_idle_activity = None


def take_uncapped(pool, *, cap, take=connection_pool.ConnectionPool.take, **kw):
    return take(pool, cap=99, **kw)


SKIPPED = [i for i, (_, _, want) in enumerate(RESPONSE_CASES) if want == (200, b"ok")][1]  # the first such case has a 1xx response
CASES = [
    ("id", R, "is_for_attempt", lambda s, a, h: True, outcome_case(SKIPPED)),
    ("id missing", R, "is_for_attempt", lambda s, a, h: True, outcome_case(plain_case((1, "lost", "not-ours")))),
    (
        "seal",
        scripted,
        "DEFAULT_DIALECT",
        DEFAULT_DIALECT._replace(seal=DEFAULT_DIALECT.attempt),
        outcome_case(plain_case((1, "lost", "no-seal"))),
    ),
    (
        "not run header",
        scripted,
        "DEFAULT_DIALECT",
        DEFAULT_DIALECT._replace(not_run=b"x"),
        outcome_case(plain_case((1, "not-run", 503, 0.75))),
    ),
    ("length", R, "is_self_delimited", lambda s, a, r, h: True, outcome_case(plain_case((1, "lost", "no-length")))),
    ("skipping other responses", attempt_runner, "MAX_RESPONSES_READ", 1, outcome_case(SKIPPED)),
    (
        "skipping without limit",
        attempt_runner,
        "MAX_RESPONSES_READ",
        9,
        outcome_case(next(i for i, (_, w, _) in enumerate(RESPONSE_CASES) if w == [(1, "lost", "not-ours")] and i > SKIPPED)),
    ),
    ("discarded writes", T, "write", undiscarded_write, reuse_case(10)),
    (
        "hop-by-hop headers",
        client_request,
        "HOP_BY_HOP_HEADERS",
        frozenset(),
        test_forwarding.test_a_request_is_forwarded_unchanged_except_for_hop_by_hop_headers,
    ),
    ("surplus bytes", connection_pool.PooledConnection, "has_surplus", lambda c: False, reuse_case(8)),
    ("second response", connection_pool.PooledConnection, "has_surplus", lambda c: False, reuse_case(9)),
    ("keep-alive", P, "reuse_time", lambda p, h, trip: 9.0, reuse_case(2)),
    ("complete events", event_stream.EventSplitter, "feed", lambda s, b: b, broken_stream_case(0)),
    (
        "end between events",
        attempt_runner,
        "EventSplitter",
        lambda: type("All", (), {"rest": b"", "feed": lambda s, b: b})(),
        broken_stream_case(1),
    ),
    ("unclean end", F, "cut", close_cleanly, broken_stream_case(0)),
    (
        "length of a stream",
        attempt_runner,
        "without_content_length",
        lambda h: h,
        test_forwarding.test_a_stream_with_a_length_is_forwarded_in_chunks,
    ),
    (
        "events after the last one",
        attempt_runner,
        "events_after",
        lambda b, last: (b, True),
        test_forwarding.test_a_stream_resumes_at_another_replica_under_its_first_head,
    ),
    (
        "limit of unread bytes",
        connection_pool,
        "HIGH_WATER_BYTES",
        1 << 40,
        test_forwarding_ends.test_a_client_that_does_not_read_stops_the_replica,
    ),
    (
        "forget timer",
        S,
        "set_deadline_timer",
        lambda s, a, left: setattr(a, "deadline_timer", a.deadline_timer or type("No", (), {"cancel": lambda s: None})()),
        lambda: test_forwarding_ends.test_overload_and_a_deadline_that_the_router_misses_end_in_an_error(pytest.MonkeyPatch()),
    ),
    ("client gone", A, "put", put_without_disconnect, test_forwarding_ends.test_a_disconnect_ends_a_request_with_or_without_an_attempt),
    (
        "after a partial response",
        S,
        "may_attempt",
        lambda s, a, t: True,
        test_forwarding_ends.test_nothing_is_appended_to_a_partial_plain_response,
    ),
    ("cancelled attempt", A, "put", put_without_cancel, test_forwarding_ends.test_a_cancelled_attempt_ends_and_the_next_one_runs),
    ("draining", S, "is_draining", lambda s: False, test_forwarding_ends.test_responses_of_a_draining_daemon_close_the_connection),
    ("first byte", T, "_flush", flush_unchecked, test_connection_pool.test_a_connection_that_ends_before_the_first_byte_is_stale_not_lost),
    (
        "idle watch",
        P,
        "release",
        release_unwatched,
        lambda: test_connection_pool.test_any_activity_on_an_idle_connection_closes_it("bytes"),
    ),
    (
        "same attempt",
        P,
        "release",
        release_without_attempt,
        test_connection_pool.test_a_connection_that_carried_this_attempt_is_not_reused_for_it,
    ),
    ("removed replica", P, "remove_replica", lambda p, r: None, test_connection_pool.test_connections_to_a_removed_replica_are_closed),
    ("connection cap", P, "take", take_uncapped, test_forwarding.test_no_request_is_sent_beyond_the_connection_cap),
]


@pytest.mark.parametrize("name,owner,attribute,replacement,check", CASES, ids=[c[0].replace(" ", "-") for c in CASES])
def test_removing_a_check_is_detected(monkeypatch, name, owner, attribute, replacement, check):
    monkeypatch.setattr(scripted, "SECS", 1.5)
    monkeypatch.setattr(owner, attribute, replacement)
    with pytest.raises((AssertionError, TimeoutError, ValueError, pytest.fail.Exception)):
        check()


def test_the_tables_have_the_expected_cases():
    assert BROKEN_STREAM_CASES and len(REUSE_CASES) > 9 and RESPONSE_CASES[SKIPPED][1][-1] == (1, "done")
