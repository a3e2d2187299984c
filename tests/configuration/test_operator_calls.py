"""Operators' calls in flight at one daemon (design 5.4): fencing tokens, retries, and callers that have disconnected."""

import random

import pytest

from silverglade.configuration.operator_calls import OperatorCalls
from silverglade.control.operation_results import decode_result
from silverglade.runtime.effects import milliseconds, to_tuple
from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import SEC

PRIMARY = "p"
EVACUATION = ("evac", "z", True)
TABLE = ("table", 1, 2, {}, "t")  # a change that carries its base version


class ScriptedPrimary:
    """Calls in flight, with a primary whose answers the test supplies. Each method returns the resulting effects as tuples."""

    def __init__(self):
        self.now = 100 * SEC
        self.calls = OperatorCalls(tuning=tuning(), rng=random.Random(1), primary=lambda: PRIMARY)

    def begin(self, call_id="c", operation=EVACUATION, **kw):
        return self.as_tuples(self.calls.begin(call_id, "id", operation, self.now, **kw))

    def deliver_token(self, number, version=(1, 1), after_ms=0):
        """Deliver the primary's answer to the request for a fencing token."""
        self.now += milliseconds(after_ms)
        return self.as_tuples(self.calls.on_fencing_token(number, version, self.now))

    def deliver_result(self, number, result, after_ms=0):
        """Deliver the primary's answer to the operation."""
        self.now += milliseconds(after_ms)
        return self.as_tuples(self.calls.on_result(number, PRIMARY, decode_result(result), self.now))

    def advance_time(self, after_ms):
        self.now += milliseconds(after_ms)
        return self.as_tuples(self.calls.on_timer(self.now))

    def process_paused(self):
        return self.as_tuples(self.calls.on_process_paused(self.now))

    @staticmethod
    def as_tuples(effects):
        return tuple([to_tuple(effect) for effect in effects])


@pytest.fixture
def daemon():
    return ScriptedPrimary()


def test_a_change_without_a_base_is_sent_only_with_a_token_that_arrived_while_the_caller_waited(daemon):
    ((_, to, (kind, number, op)),) = daemon.begin()
    assert (to, kind, op) == ("p", "fence", ("evac", "z", True))
    ((_, _, sent),) = daemon.deliver_token(number, after_ms=799)
    assert sent[0] == "op" and sent[3] == ("evac", "z", True, (1, 1))
    assert daemon.deliver_token(number, (9, 9)) == ()  # a late second answer
    ((_, _, (_, number, _)),) = daemon.begin("d")
    assert daemon.deliver_token(number, after_ms=801) == (("reply", "d", 503, {"change": "id"}),) and daemon.deliver_token(number) == ()
    ((_, _, (_, number, _)),) = daemon.begin("e", caller_timeout=milliseconds(3000))  # the caller announced how long it waits
    assert daemon.deliver_token(number, after_ms=2900)[0][2][0] == "op"
    assert daemon.begin("f", operation=TABLE)[0][2][0] == "op"  # it carries its base version


def test_a_stale_token_is_requested_again_only_while_the_caller_waits(daemon):
    ((_, _, (_, number, _)),) = daemon.begin()
    daemon.deliver_token(number)
    assert daemon.deliver_result(number, ("stale",), after_ms=300)[0][2][0] == "fence"
    assert daemon.deliver_token(number, (1, 7))[0][2][3][-1] == (1, 7)
    assert daemon.deliver_result(number, ("stale",), after_ms=600) == (("reply", "c", 503, {"change": "id"}),)
    ((_, _, (_, number, *_)),) = daemon.begin("d", operation=TABLE)
    assert daemon.deliver_result(number, ("stale",)) == (
        ("reply", "d", 503, {"change": "id"}),
    )  # the primary may have forgotten its outcome


def test_after_a_pause_calls_of_unknown_age_are_ended(daemon):
    ((_, _, (_, number, _)),) = daemon.begin()
    assert daemon.process_paused() == (("reply", "c", 503, {"change": "id"}),) and daemon.deliver_token(number) == ()
    assert daemon.begin("d") == (("reply", "d", 504, {"change": "id"}),)
    assert daemon.begin("e", operation=TABLE)[0][2][0] == "op"
    daemon.now += milliseconds(251)
    assert daemon.begin("f")[0][2][0] == "fence"


def test_the_call_of_a_disconnected_caller_is_dropped(daemon):
    ((_, _, (_, number, _)),) = daemon.begin()
    daemon.calls.on_caller_disconnected("c")
    assert daemon.deliver_token(number) == () and daemon.deliver_result(number, ("ok", (1, 1))) == () and not daemon.calls.in_flight


@pytest.mark.parametrize(
    "result,code,fields",
    [
        (("ok", (3, 4)), 100, {"version": [3, 4], "change": "id"}),
        (("ok", (3, 4), ""), 100, {"version": [3, 4], "change": "id", "source": ""}),
        (("refuse", 502, "zones: missing"), 502, {"detail": "zones: missing", "change": "id"}),
        (("stale",), 503, {"change": "id"}),
        (("a result of a later program",), 503, {"change": "id"}),
    ],
)
def test_a_result_of_the_primary_completes_the_call(daemon, result, code, fields):
    ((_, _, (_, number, *_)),) = daemon.begin(operation=TABLE)
    assert daemon.deliver_result(number, result) == (("reply", "c", code, fields),) and not daemon.calls.in_flight


def test_an_unknown_outcome_is_requested_again_with_the_same_change_id(daemon):
    ((_, _, first),) = daemon.begin(operation=TABLE)
    assert daemon.deliver_result(first[1], ("unknown",)) == ()
    assert daemon.advance_time(251) == (("send", PRIMARY, first),)
    assert daemon.advance_time(4000) == (("reply", "c", 503, {"change": "id"}),)


def test_a_core_that_is_not_primary_redirects_the_call_once(daemon):
    ((_, _, body),) = daemon.begin(operation=TABLE)
    assert daemon.deliver_result(body[1], ("elsewhere", "")) == ()
    assert daemon.deliver_result(body[1], ("elsewhere", PRIMARY)) == ()  # the sender itself
    assert daemon.deliver_result(body[1], ("elsewhere", "q")) == (("send", "q", body),)
    assert daemon.deliver_result(body[1], ("elsewhere", "q")) == ()  # the call was already sent there


def test_a_daemon_has_one_operation_of_its_own_in_flight_and_sends_no_reply_for_it(daemon):
    ((_, to, (kind, number, change_id, operation, _)),) = daemon.as_tuples(daemon.calls.begin_own(("duties", ()), daemon.now))
    assert (to, kind, change_id, operation) == (PRIMARY, "op", "", ("duties", ()))
    assert daemon.calls.begin_own(("duties", ()), daemon.now) == []
    assert daemon.deliver_result(number, ("ok", (1, 1))) == () and len(daemon.calls.begin_own(("duties", ()), daemon.now)) == 1
