"""Removes each guard that test_every_byte.py covers, and checks that a test then fails."""

import pytest

from silverglade.http import connection_pool, forwarding_protocol
from silverglade.routing.request import Request
from silverglade.server import attempt_runner
from silverglade.server.attempt import Outcome

from ..routing import test_doubtful_replicas
from ..support import scripted_replicas as scripted
from . import test_every_byte

R, P, T = attempt_runner.AttemptRunner, connection_pool.ConnectionPool, connection_pool.ReplicaStream


async def undiscarded_write(self, buffer, timeout=None):
    if buffer:
        self._unwritten.append(buffer)


real_take, real_exchange = P.take, R.exchange


async def take_by_address_only(self, *, addr, replica, **kw):
    return await real_take(self, addr=addr, replica="any", **kw)


async def exchange_lost_as_not_run(self, attempt):
    """Reports any response that breaks off as a refusal."""
    result = await real_exchange(self, attempt)
    return result._replace(outcome=Outcome.NOT_RUN, details=(503, None)) if result.outcome is Outcome.LOST else result


CASES = [
    (
        "any response accepted",
        R,
        "is_for_attempt",
        lambda s, a, h: True,
        test_every_byte.test_a_surplus_response_at_any_position_answers_no_request,
    ),
    ("request sent again", T, "write", undiscarded_write, test_every_byte.test_a_surplus_response_at_any_position_answers_no_request),
    (
        "pool by address alone",
        P,
        "take",
        take_by_address_only,
        test_every_byte.test_another_replica_at_the_same_address_gets_its_own_connection,
    ),
    (
        "old connections",
        P,
        "close_idle",
        lambda p, r: None,
        test_every_byte.test_a_machine_that_failed_and_came_back_is_reached_on_a_new_connection,
    ),
    (
        "cut of another response",
        forwarding_protocol.ForwardingProtocol,
        "cut",
        lambda self, cycle: self.transport.abort(),
        test_every_byte.test_an_exception_after_a_response_does_not_affect_the_next_request,
    ),
    (
        "loss reported as not run",
        R,
        "exchange",
        exchange_lost_as_not_run,
        lambda: test_every_byte.test_a_request_cut_off_at_any_byte_is_sent_once_and_not_reported_as_not_run("close"),
    ),
    (
        "not run after silence",
        Request,
        "last_failure",
        property(lambda request: None, lambda request, outcome: None),
        test_doubtful_replicas.test_a_request_retried_after_silence_is_never_reported_as_not_run,
    ),
]


@pytest.mark.parametrize("name,owner,attribute,replacement,check", CASES, ids=[c[0].replace(" ", "-") for c in CASES])
def test_removing_a_check_is_detected(monkeypatch, name, owner, attribute, replacement, check):
    check()  # passes with the guard
    monkeypatch.setattr(scripted, "SECS", 1.5)
    monkeypatch.setattr(owner, attribute, replacement)
    with pytest.raises((AssertionError, TimeoutError, ValueError, pytest.fail.Exception)):
        check()
