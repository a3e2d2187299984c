"""Bad input to control: a numbered code, a plain sentence, nothing changed; and calls whose callers have left."""

import json
import pathlib
import random
import sys

import anyio
import pytest

from silverglade.configuration import schema as config
from silverglade.control import replicated_state as bk
from silverglade.control import store as stores
from silverglade.control.decisions import settle
from silverglade.control.operation_results import Acknowledged, Refused
from silverglade.control.operations import TableChange
from silverglade.http.app import app
from silverglade.runtime.effects import milliseconds
from silverglade.runtime.errors import RESULT_CODES
from silverglade.server.daemon import Daemon as Real
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


class Place:
    zones = ZONES


class Control(Daemon):
    def new_change_id(self):
        return "minted"


def face(d, path, body=b"", head=(), more=()):
    """-> (status, answer), or None when nothing was answered."""
    sent, asked = [], [{"type": "http.request", "body": body, "more_body": bool(more)}, *more]

    async def receive():
        if asked:
            return asked.pop(0)
        await anyio.sleep_forever()

    async def send(m):
        sent.append(m)

    fields = [(k.lower().encode(), v.encode()) for k, v in head]
    anyio.run(api.app(d, Place), {"type": "http", "method": "POST", "path": path, "headers": fields}, receive, send)
    return (sent[0]["status"], json.loads(sent[1]["body"])) if sent else None


def replaced(d, body=TEXT, base="5", **kw):
    return face(d, words.REPLACE, body, [] if base is None else [("Base-Version", base)], **kw)


def changed(**kw):
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
def test_a_base_version_that_is_none_is_refused(base, code):
    d = Control()
    status, got = replaced(d, base=base)
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
        (changed(version=10**30), 506),
        (changed(version=-(10**30)), 506),
        (changed(routes=[dict(CONFIG["routes"][1], name="\ud800")]), 506),
        (changed(services=[dict(CONFIG["services"][0], cold_span_s=1e999)]), 502),
        (changed(version=1.5), 502),
        (changed(version="7"), 502),
        (changed(version=True), 502),
    ],
)
def test_a_text_that_is_no_configuration_is_refused_at_the_door(body, code):
    d = Control()
    status, got = replaced(d, body)
    assert (status, got["code"], got["error"]) == (400, code, RESULT_CODES[code][2]) and d.said == []


def test_a_body_cut_off_or_over_the_limit_is_refused_at_the_door():
    d = Control()
    status, got = replaced(d, TEXT[:50], more=[{"type": "http.disconnect"}])
    assert (status, got["code"]) == (400, 205)
    status, got = replaced(d, b" " * (5 << 20))
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
def test_the_products_face_refuses_at_the_door_what_daemons_cannot_send(body, head):
    d = Daemon()
    status, _, got, _ = http(d, "PUT", "/v1/config", body, [("If-Match", head)])
    assert status == 400 and json.loads(got)["code"] == 506 and d.said == []


@pytest.mark.parametrize("code,status", [(501, 412), (502, 400), (503, 503), (504, 503), (505, 404), (513, 413), (514, 409)])
def test_every_refusal_says_its_code_and_a_sentence(code, status):
    for got in (
        replaced(Control(reply=(code, {"detail": "why"}))),
        face(Control(reply=(code, {})), words.EVACUATION + "z1/" + words.BEGIN),
    ):
        assert got[0] == status and got[1]["code"] == code and got[1]["error"] == RESULT_CODES[code][2]


def test_an_unknown_zone_is_refused_and_nothing_is_changed():
    s = hamlet()
    was, got = [n.store_version for n in s.w.nodes.values()], []
    for name in s.w.nodes:
        s.w.call(name, "evac", ("nowhere", True, f"e.{name}"), lambda code, kw: got.append((code, kw["detail"])))
    s.w.run(2)
    assert got == [(505, "nowhere")] * 6 and [n.store_version for n in s.w.nodes.values()] == was


def route(i, name, **kw):
    return dict(
        {"name": name, "host": "h", "prefix": f"/{i}/", "kind": "pure", "due_ms": 9, "shares": [{"service": "s", "weight": 1}]}, **kw
    )


def spread(n):
    """Little text that unfolds to much: what is left out is filled in."""
    return dict(number=1, zones={"z": {"region": "r"}}, tenants={}, services={f"{i:x}": {} for i in range(n)})


def letters(n, size):
    """Routes whose names can't be compressed much."""
    rng = random.Random(n)
    names = ["".join(chr(rng.randrange(0x4E00, 0x9FFF)) for _ in range(size)) for _ in range(n)]
    return dict(spread(1), services={"s": {}}, routes=[route(i, x) for i, x in enumerate(names)])


def change(store, change_id, operation, *, number):
    """What the primary makes of a change in its first view: (result, items)."""
    previous = (1, number - 1) if number > 1 else (0, 0)
    return settle(store, change_id=change_id, operation=operation, digest="k", version=(1, number), previous=previous)


def put(store, raw, text=""):
    got, items = change(store, "c", TableChange(0, 1, raw, text or json.dumps(raw)), number=1)
    stores.apply(store, items)
    return got, items


def frames(store, items):
    rows = stores.newer_items(store)
    yield ("repl", 1, 1, (0, 0), (1, 1), items)
    yield ("snap", 1, 1, None, rows)
    yield ("items", 1, (0, 0), (1, 1), items)
    yield ("news", 1, (1, 1), bk.items_since(store, (0, 0)), 1, 1, (1, 2))


@pytest.mark.parametrize(
    "raw,fits",
    [
        (spread(1000), True),
        (spread(400000), False),
        (letters(3000, 180), True),
        (letters(8000, 200), False),
        (dict(letters(0, 1), routes=[route(i, f"route-{i}") for i in range(5000)]), True),
    ],
    ids=["few", "unfolds", "large", "larger", "routes"],
)
def test_what_is_taken_fits_every_frame_that_carries_it_and_the_rest_is_refused(raw, fits):
    assert config.parse_configuration(raw)[1] == ()
    store = {}
    got, items = put(store, raw)
    if not fits:
        assert got == Refused(513, "") and not items and not store
        return
    assert got == Acknowledged((1, 1))
    for body in frames(store, items):
        assert wire.decode_frame(wire.encode_frame(sender="a", process_id="l", body=body)[4:])[2] == wire.lists_to_tuples(body)


def test_a_configuration_at_the_bodys_limit_is_taken_and_the_next_one_too(monkeypatch):
    rows = [route(i, f"route-{i}-" + "x" * 150) for i in range(14500)]
    raw = dict(letters(0, 1), routes=rows)
    assert 3.8e6 < len(json.dumps(raw)) < 4 << 20
    store = {}
    assert isinstance(put(store, raw)[0], Acknowledged)
    got, _ = change(store, "d", TableChange(1, 2, dict(raw, number=2), "t"), number=2)
    assert got == Acknowledged((1, 2))
    monkeypatch.setattr(wire, "MAX_FRAME_BYTES", 3 << 20)  # smaller frames: refused, with the one in force untouched
    monkeypatch.setattr(wire, "MAX_DECOMPRESSED_BYTES", 6 << 20)
    got, items = change(store, "e", TableChange(1, 3, dict(raw, number=3), "t"), number=3)
    assert got == Refused(513, "") and not items


def test_what_fits_no_frame_is_refused_at_the_door_with_413(monkeypatch):
    monkeypatch.setattr(wire, "MAX_FRAME_BYTES", 3 << 20)
    monkeypatch.setattr(wire, "MAX_DECOMPRESSED_BYTES", 6 << 20)
    d = Control()
    status, got = replaced(d, changed(routes=[dict(CONFIG["routes"][1], name="x" * 200, path_prefix=f"/{i}/") for i in range(9000)]))
    assert (status, got["code"]) == (413, 513) and d.said == []


def test_a_message_that_cannot_be_packed_is_logged_and_the_daemon_lives():
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


def test_a_caller_that_leaves_is_not_answered_and_its_call_is_given_up():
    lanes = PriorityQueues()

    class Waiting(Control):
        _id_count, pending_calls = 0, {}
        call = Real.call

    for receive in ([], [{"type": "http.disconnect"}]):
        d = Waiting()
        d.queues = lanes
        got = []

        async def play(d=d, receive=receive, got=got):
            async def hear():
                if receive:
                    return receive[0]
                await anyio.sleep_forever()

            async def send(m):
                got.append(m["type"])

            with anyio.move_on_after(0.05) as scope:
                await api.app(d, Place)(
                    {"type": "http", "method": "POST", "path": words.EVACUATION + "z1/begin", "headers": []}, hear, send
                )
            return scope.cancelled_caught

        assert anyio.run(play) is not bool(receive) and got == []
    events = [lanes.next_event() for _ in range(3)]
    assert [e and e[0] for e in events] == ["call", "call-gone", None]  # of the one that left at once nothing was begun


def test_the_products_face_hands_on_how_long_its_caller_waits():
    d = Daemon(reply=(100, {"version": [1, 3]}))
    for head in ([], [("Silverglade-Wait", "2500")]):
        http(d, "PUT", "/v1/zones/z/evacuation", head=[("Silverglade-Change", "me"), *head])
    assert d.said == [("evac", ("z", True, "me")), ("evac", ("z", True, "me", milliseconds(2500)))]
    assert json.loads(http(d, "PUT", "/v1/zones/z/evacuation", head=[("Silverglade-Wait", "-1")])[2])["code"] == 506
    assert app and json.loads(http(Daemon(reply=(505, {"detail": "z"})), "DELETE", "/v1/zones/z/evacuation")[2])["code"] == 505
