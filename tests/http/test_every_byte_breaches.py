"""Each guard of tests/http/test_every_byte.py taken out: the trouble becomes visible."""

import pytest

from silverglade.http import connection_pool as upstream
from silverglade.http import forwarding_protocol as front
from silverglade.routing.request import Request
from silverglade.server import attempt_runner
from silverglade.server.attempt import Outcome

from ..routing import test_doubtful_replicas as doubt
from ..support import scripted_replicas as scripted
from . import test_every_byte as bytes_

R, P, T = attempt_runner.AttemptRunner, upstream.ConnectionPool, upstream.ReplicaStream


async def unmuted(self, buffer, timeout=None):
    if buffer:
        self._unwritten.append(buffer)


real_take, real_exchange = P.take, R.exchange


async def one_pool(self, *, addr, replica, **kw):
    return await real_take(self, addr=addr, replica="any", **kw)


async def early(self, attempt):
    """Any answer that breaks off is taken for a refusal."""
    result = await real_exchange(self, attempt)
    return result._replace(outcome=Outcome.NOT_RUN, details=(503, None)) if result.outcome is Outcome.LOST else result


CASES = [
    ("anybody's answer", R, "is_for_attempt", lambda s, a, h: True, bytes_.test_a_surplus_answer_placed_anywhere_is_nobodys_answer),
    ("said again", T, "write", unmuted, bytes_.test_a_surplus_answer_placed_anywhere_is_nobodys_answer),
    ("the address alone", P, "take", one_pool, bytes_.test_an_address_used_again_by_another_replica_gets_a_connection_of_its_own),
    ("old connections", P, "renew", lambda p, r: None, bytes_.test_a_machine_that_went_dark_and_came_back_is_asked_on_a_new_connection),
    (
        "whose turn",
        front.ForwardingProtocol,
        "cut",
        lambda self, cycle: self.transport.abort(),
        bytes_.test_a_fault_after_an_answer_does_not_touch_the_request_behind_it,
    ),
    (
        "a loss taken for a promise",
        R,
        "exchange",
        early,
        lambda: bytes_.test_a_request_that_is_cut_off_at_any_byte_is_sent_once_and_never_promised_not_to_have_run("close"),
    ),
    (
        "a promise after silence",
        Request,
        "last_failure",
        property(lambda request: None, lambda request, outcome: None),
        doubt.test_a_request_that_left_a_silent_replica_is_never_promised_not_to_have_run,
    ),
]


@pytest.mark.parametrize("name,at,what,to,seen", CASES, ids=[c[0].replace(" ", "-") for c in CASES])
def test_a_check_taken_out_is_seen(monkeypatch, name, at, what, to, seen):
    seen()  # as it is
    monkeypatch.setattr(scripted, "SECS", 1.5)
    monkeypatch.setattr(at, what, to)
    with pytest.raises((AssertionError, TimeoutError, ValueError, pytest.fail.Exception)):
        seen()
