"""A program error in the task of one request or call ends only that task (design 1.6); each test fails without the containment."""

import json
import logging

import anyio
import pytest

from silverglade.http.listener import TruncatedResponseError, with_faults_contained
from silverglade.runtime import result_codes
from silverglade.server.fault_containment import FaultLog

from .test_priority_queues import daemon

META = dict(tenant="t", cls="chat", due=1000, prefix="", stream=False)


class Lines(logging.Handler):
    """Collects log lines."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


@pytest.fixture
def log():
    logger, lines = logging.Logger("test"), Lines()
    logger.addHandler(lines)
    return logger, lines.lines


async def failing(*arguments, **named):
    raise ZeroDivisionError("planted")


EFFECTS = [
    ("_read_endpoint_list", ("list",), ("read", None)),
    ("_read_replica_report", ("ask", "r", "10.0.0.1:80"), ("asked", "r", None)),
    ("_test_reachability", ("reach", "r", "10.0.0.1:80", None), ("reached", "r", False)),
    ("_probe_replica", ("probe", "r", 3, "10.0.0.1:80"), ("probed", "r", 3, None)),
]


@pytest.mark.parametrize("task, effect, result", EFFECTS, ids=[task for task, *_ in EFFECTS])
def test_an_error_in_the_task_of_an_effect_is_reported_as_its_failure(monkeypatch, task, effect, result):
    async def go():
        d = daemon()
        monkeypatch.setattr(d, task, failing)
        d._effect_handlers = d._new_effect_handlers()
        async with anyio.create_task_group() as d.task_group:
            d.carry_out(effect)
            d.carry_out(effect)
        assert d.faults.counts == {"failing": 2}
        return d.queues.next_event()

    assert anyio.run(go) == result


def test_an_error_in_a_dispatch_is_reported_as_maybe_run(monkeypatch):
    monkeypatch.setattr("silverglade.server.replica_calls.dispatch", failing)

    async def go():
        d = daemon()
        async with anyio.create_task_group() as d.task_group:
            d.carry_out(("dispatch", "o.1", "r", "10.0.0.1:80", META, b""))
        assert d.tenant_requests.dispatches == {}
        return d.queues.next_event()

    assert anyio.run(go) == ("ran", "o.1", "fault", "maybe")


def test_an_error_in_the_state_machine_ends_the_daemon_and_logs_the_event(monkeypatch, log):
    logger, lines = log

    async def go():
        d = daemon()
        d.logger = logger
        monkeypatch.setattr(d.machine, "feed", lambda now, event: 1 / 0)
        d.queues.fire_timer()
        await d.run_machine()

    with pytest.raises(ZeroDivisionError):
        anyio.run(go)
    assert len(lines) == 1 and "state-machine-failed" in lines[0] and "event=pulse" in lines[0] and "daemon.py:" in lines[0]


def respond(inner):
    """Run an app with contained errors; return (messages sent, fault log, error raised)."""
    sent, faults = [], FaultLog(logging.getLogger("none"))

    async def send(message):
        sent.append(message)

    async def go():
        await with_faults_contained(inner, faults)({"type": "http"}, None, send)

    try:
        anyio.run(go)
        return sent, faults, None
    except TruncatedResponseError as error:
        return sent, faults, error


def test_an_error_in_a_call_is_answered_with_a_code_that_leaves_open_whether_it_ran():
    sent, faults, error = respond(failing)
    answer = json.loads(sent[1]["body"])
    assert (sent[0]["status"], answer["code"], answer["ran"], error) == (502, result_codes.LINK_LOST, "maybe", None)
    assert faults.counts == {"call": 1}


def test_an_error_breaks_off_a_response_that_has_started():
    async def inner(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        raise ZeroDivisionError

    sent, faults, error = respond(inner)
    assert [message["type"] for message in sent] == ["http.response.start"] and error is not None and faults.counts == {"call": 1}


def test_each_error_location_is_logged_once(log):
    logger, lines = log
    faults = FaultLog(logger)
    for _ in range(3):
        try:
            raise KeyError("x")
        except KeyError as error:
            faults.record("call", error)
    assert faults.counts["call"] == 3 and len(lines) == 1 and "test_fault_containment.py:" in lines[0]
