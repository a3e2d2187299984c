"""Operators' calls in flight at one daemon (design 5.4): fencing tokens, retries, and callers that have left."""

import random

import pytest

from silverglade.configuration.operator_calls import OperatorCalls
from silverglade.control.operation_results import decode_result
from silverglade.runtime.effects import milliseconds, to_tuple
from silverglade.runtime.settings import tuning
from silverglade.testbed.simulator.scenario import SEC

PRIMARY = "p"
EVACUATION = ("evac", "z", True)
TABLE = ("table", 1, 2, {}, "t")  # a change with a base of its own


class ScriptedPrimary:
    """Calls whose primary is played by the test. Each method returns the effects that follow, in tuple form."""

    def __init__(self):
        self.now = 100 * SEC
        self.calls = OperatorCalls(tuning=tuning(), rng=random.Random(1), primary=lambda: PRIMARY)

    def begin(self, call_id="c", operation=EVACUATION, **kw):
        return self.tuples(self.calls.begin(call_id, "id", operation, self.now, **kw))

    def fenced(self, number, version=(1, 1), after_ms=0):
        """The primary answers the request for a fencing token."""
        self.now += milliseconds(after_ms)
        return self.tuples(self.calls.on_fencing_token(number, version, self.now))

    def told(self, number, result, after_ms=0):
        """The primary answers the operation."""
        self.now += milliseconds(after_ms)
        return self.tuples(self.calls.on_result(number, PRIMARY, decode_result(result), self.now))

    def time_passes(self, after_ms):
        self.now += milliseconds(after_ms)
        return self.tuples(self.calls.on_timer(self.now))

    def process_paused(self):
        return self.tuples(self.calls.on_process_paused(self.now))

    @staticmethod
    def tuples(effects):
        return tuple([to_tuple(effect) for effect in effects])


@pytest.fixture
def a():
    return ScriptedPrimary()


def test_a_change_without_a_base_is_sent_only_with_one_that_came_while_its_caller_was_there(a):
    ((_, to, (kind, n, op)),) = a.begin()
    assert (to, kind, op) == ("p", "fence", ("evac", "z", True))
    ((_, _, sent),) = a.fenced(n, after_ms=799)
    assert sent[0] == "op" and sent[3] == ("evac", "z", True, (1, 1))
    assert a.fenced(n, (9, 9)) == ()  # a late second answer
    ((_, _, (_, n, _)),) = a.begin("d")
    assert a.fenced(n, after_ms=801) == (("reply", "d", 503, {"change": "id"}),) and a.fenced(n) == ()
    ((_, _, (_, n, _)),) = a.begin("e", caller_timeout=milliseconds(3000))  # it said that it waits
    assert a.fenced(n, after_ms=2900)[0][2][0] == "op"
    assert a.begin("f", operation=TABLE)[0][2][0] == "op"  # it has a base of its own


def test_a_stale_base_is_read_again_only_while_the_caller_is_there(a):
    ((_, _, (_, n, _)),) = a.begin()
    a.fenced(n)
    assert a.told(n, ("stale",), after_ms=300)[0][2][0] == "fence"
    assert a.fenced(n, (1, 7))[0][2][3][-1] == (1, 7)
    assert a.told(n, ("stale",), after_ms=600) == (("reply", "c", 503, {"change": "id"}),)
    ((_, _, (_, n, *_)),) = a.begin("d", operation=TABLE)
    assert a.told(n, ("stale",)) == (("reply", "d", 503, {"change": "id"}),)  # its outcome may be forgotten


def test_after_a_freeze_what_cannot_be_dated_is_given_up(a):
    ((_, _, (_, n, _)),) = a.begin()
    assert a.process_paused() == (("reply", "c", 503, {"change": "id"}),) and a.fenced(n) == ()
    assert a.begin("d") == (("reply", "d", 504, {"change": "id"}),)
    assert a.begin("e", operation=TABLE)[0][2][0] == "op"
    a.now += milliseconds(251)
    assert a.begin("f")[0][2][0] == "fence"


def test_a_caller_that_left_leaves_nothing_behind(a):
    ((_, _, (_, n, _)),) = a.begin()
    a.calls.on_caller_disconnected("c")
    assert a.fenced(n) == () and a.told(n, ("ok", (1, 1))) == () and not a.calls.in_flight


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
def test_a_result_of_the_primary_settles_the_call(a, result, code, fields):
    ((_, _, (_, n, *_)),) = a.begin(operation=TABLE)
    assert a.told(n, result) == (("reply", "c", code, fields),) and not a.calls.in_flight


def test_an_unknown_outcome_is_asked_for_again_by_the_change_id(a):
    ((_, _, first),) = a.begin(operation=TABLE)
    assert a.told(first[1], ("unknown",)) == ()
    assert a.time_passes(251) == (("send", PRIMARY, first),)
    assert a.time_passes(4000) == (("reply", "c", 503, {"change": "id"}),)


def test_a_core_that_is_not_primary_redirects_the_call_once(a):
    ((_, _, body),) = a.begin(operation=TABLE)
    assert a.told(body[1], ("elsewhere", "")) == ()
    assert a.told(body[1], ("elsewhere", PRIMARY)) == ()  # itself
    assert a.told(body[1], ("elsewhere", "q")) == (("send", "q", body),)
    assert a.told(body[1], ("elsewhere", "q")) == ()  # it was sent there already


def test_one_operation_of_the_daemon_itself_is_in_flight_at_a_time_and_nobody_is_told(a):
    ((_, to, (kind, n, change_id, operation, _)),) = a.tuples(a.calls.begin_own(("duties", ()), a.now))
    assert (to, kind, change_id, operation) == (PRIMARY, "op", "", ("duties", ()))
    assert a.calls.begin_own(("duties", ()), a.now) == []
    assert a.told(n, ("ok", (1, 1))) == () and len(a.calls.begin_own(("duties", ()), a.now)) == 1
