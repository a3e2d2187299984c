"""Invalid input to the control API: a result code, a readable message, no change; and calls of callers that have disconnected."""

import json
import pathlib
import random
import sys

import anyio
import pytest

from silverglade.configuration import schema as config
from silverglade.control import replicated_state
from silverglade.control import store as stores
from silverglade.control.decisions import settle
from silverglade.control.operation_results import Acknowledged, Refused
from silverglade.control.operations import NumberedConfigurationChange
from silverglade.http.app import app
from silverglade.runtime.effects import milliseconds
from silverglade.runtime.errors import RESULT_CODES
from silverglade.server.daemon import Daemon as RealDaemon
from silverglade.server.priority_queues import PriorityQueues
from silverglade.transport import framing as wire
from silverglade.transport.connections import PeerConnections

from ..http.test_http_app import Daemon, http
from ..support.failure_scenarios import hamlet
from ..support.scripted_replicas import Quiet

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent.parent / "platform"))

import api  # noqa: E402
import words  # noqa: E402

from ..system.test_platform import CONFIG, ZONES  # noqa: E402

TEXT = json.dumps(CONFIG).encode()
TOO_LONG = b'{"version": 1, "routes": [' + b"[" * 100000


class PlatformSettings:
    zones = ZONES


class Control(Daemon):
    def new_change_id(self):
        return "minted"


def call_platform_api(d, path, body=b"", head=(), more=()):
    """Call the platform API -> (status, answer), or None if there was no answer."""
    sent, asked = [], [{"type": "http.request", "body": body, "more_body": bool(more)}, *more]

    async def receive():
        if asked:
            return asked.pop(0)
        await anyio.sleep_forever()

    async def send(m):
        sent.append(m)

    fields = [(k.lower().encode(), v.encode()) for k, v in head]
    anyio.run(api.app(d, PlatformSettings), {"type": "http", "method": "POST", "path": path, "headers": fields}, receive, send)
    return (sent[0]["status"], json.loads(sent[1]["body"])) if sent else None


def replace_configuration(d, body=TEXT, base="5", **kw):
    return call_platform_api(d, words.CONFIG_REPLACE_PATH, body, [] if base is None else [("Base-Version", base)], **kw)


def changed_text(**kw):
    """The text of the configuration with these fields changed."""
    return json.dumps(dict(CONFIG, **kw)).encode()


@pytest.mark.parametrize(
    "base,code",
    [
        (None, 510),
        ("", 510),
        ("x", 515),
        ("-1", 515),
        ("1.5", 515),
        ("1e3", 515),
        ("0x10", 515),
        ("1_0", 515),
        ("9" * 30, 515),
        ("+5", 515),
    ],
)
def test_an_invalid_base_version_is_refused(base, code):
    d = Control()
    status, got = replace_configuration(d, base=base)
    assert (status, got["code"], got["error"]) == (400, code, RESULT_CODES[code][2]) and d.said == []


@pytest.mark.parametrize(
    "body,code",
    [
        (b"", 502),
        (TEXT[:-1], 502),
        (TEXT[: len(TEXT) // 2], 502),
        (b"null", 502),
        (b"[]", 502),
        (b"\xff\xfe", 502),
        (TEXT.decode().encode("utf-16"), 502),
        (TOO_LONG, 502),
        (b"[" * 100000, 502),
        (changed_text(version=10**30), 506),
        (changed_text(version=-(10**30)), 506),
        (changed_text(routes=[dict(CONFIG["routes"][1], name="\ud800")]), 506),
        (changed_text(services=[dict(CONFIG["services"][0], cold_span_s=1e999)]), 502),
        (changed_text(version=1.5), 502),
        (changed_text(version="7"), 502),
        (changed_text(version=True), 502),
    ],
)
def test_a_text_that_is_not_a_configuration_is_refused_before_it_reaches_the_daemon(body, code):
    d = Control()
    status, got = replace_configuration(d, body)
    assert (status, got["code"], got["error"]) == (400, code, RESULT_CODES[code][2]) and d.said == []


def test_a_truncated_or_oversized_body_is_refused_before_it_reaches_the_daemon():
    d = Control()
    status, got = replace_configuration(d, TEXT[:50], more=[{"type": "http.disconnect"}])
    assert (status, got["code"]) == (400, 205)
    status, got = replace_configuration(d, b" " * (5 << 20))
    assert (status, got["code"]) == (413, 204) and d.said == []


@pytest.mark.parametrize(
    "body,head",
    [
        (b"[" * 100000, "1.2"),
        (b'{"number": 1%s}' % (b"0" * 30), "1.2"),
        (b'{"a": "\\ud800"}', "1.2"),
        (b"{}", "1." + "9" * 30),
        (b"{}", "1.-2"),
    ],
)
def test_the_operator_api_refuses_values_that_daemons_cannot_encode(body, head):
    d = Daemon()
    status, _, got, _ = http(d, "PUT", "/v1/config", body, [("If-Match", head)])
    assert status == 400 and json.loads(got)["code"] == 506 and d.said == []


@pytest.mark.parametrize("code,status", [(501, 412), (502, 400), (503, 503), (504, 503), (505, 404), (513, 413), (514, 409)])
def test_every_refusal_has_its_code_and_message(code, status):
    for got in (
        replace_configuration(Control(reply=(code, {"detail": "why"}))),
        call_platform_api(Control(reply=(code, {})), words.EVACUATION_PATH_PREFIX + "z1/" + words.BEGIN),
    ):
        assert got[0] == status and got[1]["code"] == code and got[1]["error"] == RESULT_CODES[code][2]


def test_an_unknown_zone_is_refused_and_nothing_is_changed():
    s = hamlet()
    versions_before, got = [n.store_version for n in s.w.nodes.values()], []
    for name in s.w.nodes:
        s.w.call(name, "evac", ("nowhere", True, f"e.{name}"), lambda code, kw: got.append((code, kw["detail"])))
    s.w.run(2)
    assert got == [(505, "nowhere")] * 6 and [n.store_version for n in s.w.nodes.values()] == versions_before


def route(i, name, **kw):
    return dict(
        {"name": name, "host": "h", "prefix": f"/{i}/", "kind": "pure", "due_ms": 9, "shares": [{"service": "s", "weight": 1}]}, **kw
    )


def with_many_defaults(n):
    """A short text that becomes large when the defaults of its fields are filled in."""
    return dict(number=1, zones={"z": {"region": "r"}}, tenants={}, services={f"{i:x}": {} for i in range(n)})


def with_random_names(n, size):
    """Routes whose names compress badly."""
    rng = random.Random(n)
    names = ["".join(chr(rng.randrange(0x4E00, 0x9FFF)) for _ in range(size)) for _ in range(n)]
    return dict(with_many_defaults(1), services={"s": {}}, routes=[route(i, x) for i, x in enumerate(names)])


def change(store, change_id, operation, *, number):
    """Let the primary decide on a change in its first view -> (result, items)."""
    previous = (1, number - 1) if number > 1 else (0, 0)
    return settle(store, change_id=change_id, operation=operation, digest="k", version=(1, number), previous=previous)


def put(store, raw, text=""):
    got, items = change(store, "c", NumberedConfigurationChange(0, 1, raw, text or json.dumps(raw)), number=1)
    stores.apply(store, items)
    return got, items


def frames(store, items):
    """The bodies of all messages that carry the store or these items of it."""
    rows = stores.newer_items(store)
    yield ("repl", 1, 1, (0, 0), (1, 1), items)
    yield ("snap", 1, 1, None, rows)
    yield ("items", 1, (0, 0), (1, 1), items)
    yield ("news", 1, (1, 1), replicated_state.items_since(store, (0, 0)), 1, 1, (1, 2))


@pytest.mark.parametrize(
    "raw,fits",
    [
        (with_many_defaults(1000), True),
        (with_many_defaults(400000), False),
        (with_random_names(3000, 180), True),
        (with_random_names(8000, 200), False),
        (dict(with_random_names(0, 1), routes=[route(i, f"route-{i}") for i in range(5000)]), True),
    ],
    ids=["few-services", "many-defaults", "many-routes", "too-many-routes", "short-routes"],
)
def test_an_accepted_configuration_fits_every_frame_and_others_are_refused(raw, fits):
    assert config.parse_configuration(raw)[1] == ()
    store = {}
    got, items = put(store, raw)
    if not fits:
        assert got == Refused(513, "") and not items and not store
        return
    assert got == Acknowledged((1, 1))
    for body in frames(store, items):
        assert wire.decode_frame(wire.encode_frame(sender="a", process_id="l", body=body)[4:])[2] == wire.lists_to_tuples(body)


def test_a_configuration_near_the_body_limit_is_accepted_and_replaceable(monkeypatch):
    rows = [route(i, f"route-{i}-" + "x" * 150) for i in range(14500)]
    raw = dict(with_random_names(0, 1), routes=rows)
    assert 3.8e6 < len(json.dumps(raw)) < 4 << 20
    store = {}
    assert isinstance(put(store, raw)[0], Acknowledged)
    got, _ = change(store, "d", NumberedConfigurationChange(1, 2, dict(raw, number=2), "t"), number=2)
    assert got == Acknowledged((1, 2))
    monkeypatch.setattr(wire, "MAX_FRAME_BYTES", 3 << 20)  # smaller frames: refused, and the configuration in force is unchanged
    monkeypatch.setattr(wire, "MAX_DECOMPRESSED_BYTES", 6 << 20)
    got, items = change(store, "e", NumberedConfigurationChange(1, 3, dict(raw, number=3), "t"), number=3)
    assert got == Refused(513, "") and not items


def test_a_configuration_too_large_for_a_frame_is_refused_with_413_before_it_reaches_the_daemon(monkeypatch):
    monkeypatch.setattr(wire, "MAX_FRAME_BYTES", 3 << 20)
    monkeypatch.setattr(wire, "MAX_DECOMPRESSED_BYTES", 6 << 20)
    d = Control()
    status, got = replace_configuration(
        d, changed_text(routes=[dict(CONFIG["routes"][1], name="x" * 200, path_prefix=f"/{i}/") for i in range(9000)])
    )
    assert (status, got["code"]) == (413, 513) and d.said == []


def test_a_message_that_cannot_be_encoded_is_logged_and_does_not_stop_the_daemon():
    lg = Quiet()
    links = PeerConnections(own_name="a", process_id="l", address="127.0.0.1:1", on_message=None, logger=lg)
    links.addresses["b"], links.task_group = "127.0.0.1:2", type("Group", (), {"start_soon": lambda self, *a: None})()
    deep = []
    for _ in range(3000):
        deep = [deep]

    async def play():
        for value in (1 << 70, "\ud800", deep, object()):
            links.send("b", ("op", 1, "", ("evac", value, True), ""))

    anyio.run(play)
    assert len(lg.said) == 4


def test_a_caller_that_disconnects_gets_no_answer_and_its_call_is_dropped():
    queues = PriorityQueues()

    class Waiting(Control):
        _id_count, pending_calls = 0, {}
        call = RealDaemon.call

    for receive in ([], [{"type": "http.disconnect"}]):
        d = Waiting()
        d.queues = queues
        sent = []

        async def play(d=d, receive=receive, sent=sent):
            async def receive_or_wait():
                if receive:
                    return receive[0]
                await anyio.sleep_forever()

            async def send(m):
                sent.append(m["type"])

            with anyio.move_on_after(0.05) as scope:
                await api.app(d, PlatformSettings)(
                    {"type": "http", "method": "POST", "path": words.EVACUATION_PATH_PREFIX + "z1/begin", "headers": []},
                    receive_or_wait,
                    send,
                )
            return scope.cancelled_caught

        assert anyio.run(play) is not bool(receive) and sent == []
    events = [queues.next_event() for _ in range(3)]
    assert [e and e[0] for e in events] == ["call", "call-gone", None]  # no call was started for the caller that disconnected at once


def test_the_operator_api_passes_on_how_long_its_caller_waits():
    d = Daemon(reply=(100, {"version": [1, 3]}))
    for head in ([], [("Silverglade-Wait", "2500")]):
        http(d, "PUT", "/v1/zones/z/evacuation", head=[("Silverglade-Change", "me"), *head])
    assert d.said == [("evac", ("z", True, "me")), ("evac", ("z", True, "me", milliseconds(2500)))]
    assert json.loads(http(d, "PUT", "/v1/zones/z/evacuation", head=[("Silverglade-Wait", "-1")])[2])["code"] == 506
    assert app and json.loads(http(Daemon(reply=(505, {"detail": "z"})), "DELETE", "/v1/zones/z/evacuation")[2])["code"] == 505
