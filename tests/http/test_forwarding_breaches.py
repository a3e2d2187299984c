"""Each check of the forwarding path taken out in turn: a test must see it (design 15.3)."""

import pytest

from silverglade.http import connection_pool as upstream
from silverglade.http import event_stream as events
from silverglade.http import forwarding_protocol as forward
from silverglade.runtime.effects import CancelAttempt
from silverglade.server import attempt_runner
from silverglade.server import client_request as ask
from silverglade.server import request_forwarding as forwarding

from ..support import scripted_replicas as scripted
from ..support.scripted_replicas import OWN
from . import test_connection_pool as test_upstream
from . import test_forwarding, test_forwarding_ends
from .test_connection_pool import TWICE
from .test_forwarding import CUT, PLAIN

S, R, A, T, P, F = (
    forwarding.RequestForwarder,
    attempt_runner.AttemptRunner,
    ask.ClientRequest,
    upstream.ReplicaStream,
    upstream.ConnectionPool,
    forward.ForwardingProtocol,
)


def plain(word):
    """The first case of PLAIN that is to end so."""
    return next(i for i, (_, words, _) in enumerate(PLAIN) if words[-1] == word)


def looked(n):
    return lambda: test_forwarding.test_what_becomes_of_an_answer(n)


def again(n):
    return lambda: test_upstream.test_when_a_connection_carries_a_second_request(n)


def cut(n):
    return lambda: test_forwarding.test_a_cut_stream_passes_whole_events_only_and_does_not_look_complete(n)


async def not_muted(stream, buffer, timeout=None):
    if buffer:
        stream._unwritten.append(buffer)


def any_time(stream):
    pieces, stream._unwritten, stream.was_written = stream._unwritten, [], True
    stream.transport.write(b"".join(pieces))


def ended_well(face):
    face.transport.write(b"0\r\n\r\n")
    face.transport.close()


def deaf(a, e, put=ask.ClientRequest.put):
    return None if e is ask.RequestEnd.CLIENT_DISCONNECTED else put(a, e)


def no_drop(a, e, put=ask.ClientRequest.put):
    return None if isinstance(e, CancelAttempt) else put(a, e)


def unmarked(pool, c, *, keep=None, last=None, release=upstream.ConnectionPool.release):
    release(pool, c, keep=keep)


def unwatched(pool, c, *, keep=None, last=None, release=upstream.ConnectionPool.release):
    release(pool, c, keep=keep, last=last)
    c.stream.on_idle_activity = None


def no_cap(pool, *, cap, take=upstream.ConnectionPool.take, **kw):
    return take(pool, cap=99, **kw)


SKIPPED = [i for i, (_, _, want) in enumerate(PLAIN) if want == (200, b"ok")][1]  # the first of them has a 1xx
CASES = [
    ("id", R, "is_for_attempt", lambda s, a, h: True, looked(SKIPPED)),
    ("id missing", R, "is_for_attempt", lambda s, a, h: True, looked(plain((1, "lost", "not-ours")))),
    ("seal", scripted, "OWN", OWN._replace(seal=OWN.attempt), looked(plain((1, "lost", "no-seal")))),
    ("word of not having run", scripted, "OWN", OWN._replace(not_run=b"x"), looked(plain((1, "not-run", 503, 0.75)))),
    ("length", R, "is_self_delimited", lambda s, a, r, h: True, looked(plain((1, "lost", "no-length")))),
    ("skipping", attempt_runner, "MAX_RESPONSES_READ", 1, looked(SKIPPED)),
    (
        "skipping without end",
        attempt_runner,
        "MAX_RESPONSES_READ",
        9,
        looked(next(i for i, (_, w, _) in enumerate(PLAIN) if w == [(1, "lost", "not-ours")] and i > SKIPPED)),
    ),
    ("mute", T, "write", not_muted, again(10)),
    ("hops", ask, "HOP_BY_HOP_HEADERS", frozenset(), test_forwarding.test_a_request_reaches_the_replica_unchanged_but_for_its_hops),
    ("surplus bytes", upstream.PooledConnection, "has_surplus", lambda c: False, again(8)),
    ("a second answer", upstream.PooledConnection, "has_surplus", lambda c: False, again(9)),
    ("keep-alive", P, "reuse_time", lambda p, h, trip: 9.0, again(2)),
    ("whole events", events.EventSplitter, "feed", lambda s, b: b, cut(0)),
    ("end at a border", attempt_runner, "EventSplitter", lambda: type("All", (), {"rest": b"", "feed": lambda s, b: b})(), cut(1)),
    ("unclean end", F, "cut", ended_well, cut(0)),
    (
        "length of a stream",
        attempt_runner,
        "without_content_length",
        lambda h: h,
        test_forwarding.test_a_stream_with_a_length_is_passed_on_in_chunks,
    ),
    (
        "behind the last event",
        attempt_runner,
        "events_after",
        lambda b, last: (b, True),
        test_forwarding.test_a_stream_goes_on_at_another_replica_under_its_first_head,
    ),
    (
        "limit of what is held",
        upstream,
        "HIGH_WATER_BYTES",
        1 << 40,
        test_forwarding_ends.test_a_client_that_does_not_read_holds_the_replica_up,
    ),
    (
        "guard",
        S,
        "set_deadline_timer",
        lambda s, a, left: setattr(a, "deadline_timer", a.deadline_timer or type("No", (), {"cancel": lambda s: None})()),
        lambda: test_forwarding_ends.test_a_full_door_refuses_and_a_part_that_forgets_ends_in_a_refusal(pytest.MonkeyPatch()),
    ),
    ("gone", A, "put", deaf, test_forwarding_ends.test_a_client_that_goes_ends_its_try_and_one_that_waits_for_none),
    ("behind a part", S, "may_attempt", lambda s, a, t: True, test_forwarding_ends.test_nothing_goes_on_behind_a_part_of_a_plain_answer),
    ("drop", A, "put", no_drop, test_forwarding_ends.test_a_dropped_try_ends_and_the_next_one_runs),
    ("draining", S, "is_draining", lambda s: False, test_forwarding_ends.test_answers_of_a_daemon_that_drains_say_so),
    ("first byte", T, "_flush", any_time, test_upstream.test_what_ends_between_take_and_the_first_byte_is_stale_not_lost),
    ("idle watch", P, "release", unwatched, lambda: test_upstream.test_whatever_comes_on_an_idle_connection_ends_it("bytes")),
    ("same attempt", P, "release", unmarked, test_upstream.test_a_connection_that_carried_this_attempt_is_left_alone),
    ("forget", P, "forget", lambda p, r: None, test_upstream.test_a_replica_that_left_keeps_no_connection),
    ("most connections", P, "take", no_cap, test_forwarding.test_nothing_is_sent_beyond_the_most_connections),
]


@pytest.mark.parametrize("name,at,what,to,seen", CASES, ids=[c[0].replace(" ", "-") for c in CASES])
def test_a_check_taken_out_is_seen(monkeypatch, name, at, what, to, seen):
    monkeypatch.setattr(scripted, "SECS", 1.5)
    monkeypatch.setattr(at, what, to)
    with pytest.raises((AssertionError, TimeoutError, ValueError, pytest.fail.Exception)):
        seen()


def test_the_tables_have_the_cases_meant_here():
    assert CUT and len(TWICE) > 9 and PLAIN[SKIPPED][1][-1] == (1, "done")
