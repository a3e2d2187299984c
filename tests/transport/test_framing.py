"""Framing, message validation and event-stream parsing under random, damaged and malformed input (design 3)."""

import random

import pytest

from silverglade.runtime.errors import SilvergladeError
from silverglade.server.replica_calls import EventParser
from silverglade.transport import framing, message_schemas


def random_value(rng, depth=3):
    """Return a random value that can be encoded, nested up to `depth` levels."""
    choice = rng.randrange(7 if depth else 5)
    return [
        lambda: rng.getrandbits(40),
        lambda: "x" * rng.randrange(9),
        lambda: rng.random() < 0.5,
        lambda: rng.randbytes(rng.randrange(9)),
        lambda: None,
        lambda: tuple(random_value(rng, depth - 1) for _ in range(rng.randrange(4))),
        lambda: {"k": random_value(rng, depth - 1)},
    ][choice]()


def test_frames_round_trip_when_received_in_chunks_of_any_size():
    rng = random.Random(7)
    for _ in range(60):
        sent = [("kind", *[random_value(rng) for _ in range(rng.randrange(5))]) for _ in range(rng.randrange(1, 6))]
        raw = b"".join(framing.encode_frame(sender="a", process_id="l", body=body) for body in sent)
        splitter, received = framing.FrameSplitter(), []
        while raw:
            size = rng.randrange(1, 40)
            received += [framing.decode_frame(payload) for payload in splitter.feed(raw[:size])]
            raw = raw[size:]
        assert received == [("a", "l", body) for body in sent]


def test_damaged_frames_are_rejected_with_a_code_or_keep_a_text_kind():
    rng = random.Random(8)
    codes = set()
    for _ in range(3000):
        payload = bytearray(framing.encode_frame(sender="a", process_id="l", body=("ping", 1, (1, 2)))[4:])
        for _ in range(rng.randrange(1, 4)):
            payload[rng.randrange(len(payload))] = rng.getrandbits(8)
        try:
            _, _, body = framing.decode_frame(bytes(payload[: rng.randrange(len(payload) + 1)]))
            assert isinstance(body[0], str)
        except SilvergladeError as error:
            codes.add(error.code)
    assert codes == {601, 603}


def test_an_oversized_frame_and_an_unsupported_version_are_rejected_with_their_codes():
    splitter = framing.FrameSplitter(max_bytes=100)
    with pytest.raises(SilvergladeError) as raised:
        splitter.feed(framing.FRAME_HEADER.pack(101))
    assert raised.value.code == 602
    with pytest.raises(SilvergladeError) as raised:
        framing.decode_frame(framing.encode_frame(sender="a", process_id="l", body=("x",), version=99)[4:])
    assert raised.value.code == 603


def test_an_event_stream_is_parsed_the_same_in_chunks_of_any_size():
    rng = random.Random(9)
    raw = b"id: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\nevent: done\nid: 2\ndata:\n\n"
    for _ in range(50):
        parser, received, rest = EventParser(), [], raw
        while rest:
            size = rng.randrange(1, 9)
            received += parser.feed(rest[:size])
            rest = rest[size:]
        assert received == [("", 1, b"a\nb"), ("", 2, b"c"), ("done", 2, b"")]


def test_messages_without_the_declared_shape_are_invalid():
    assert message_schemas.is_valid_message(("get", 1, (0, 0)))
    for bad in (
        ("get", 1, (0,)),
        ("get", "1", (0, 0)),
        ("get", 1),
        ("nothing", 1),
        ("op", 1, "", ("evac", "z"), ""),
        ("news", 1, (1, 1), (("k", (1,), 0),), 5, 0),
    ):
        assert not message_schemas.is_valid_message(bad)


def test_large_bodies_are_compressed_and_damaged_ones_are_rejected():
    items = tuple((f"route-{i}", (1, i), {"host": "h", "prefix": f"/{i}/"}) for i in range(3000))
    raw = framing.encode_frame(sender="a", process_id="l", body=("news", 1, (1, 2), items, 0, 0))[4:]
    assert len(raw) < len(repr(items)) / 5
    assert framing.decode_frame(raw) == ("a", "l", ("news", 1, (1, 2), items, 0, 0))
    rng, codes = random.Random(3), set()
    for _ in range(200):
        damaged = bytearray(raw)
        damaged[rng.randrange(20, len(damaged))] ^= 1 << rng.randrange(8)
        try:
            assert framing.decode_frame(bytes(damaged)) == ("a", "l", ("news", 1, (1, 2), items, 0, 0))
        except SilvergladeError as error:
            codes.add(error.code)
    assert codes <= {601, 602} and codes
    with pytest.raises(SilvergladeError) as raised:  # a small frame that decompresses to more than the limit
        framing.decode_frame(
            framing.encode_frame(sender="a", process_id="l", body=("news", b"0" * (framing.MAX_DECOMPRESSED_BYTES + 1)))[4:]
        )
    assert raised.value.code == 602


def test_messages_with_values_that_components_cannot_handle_are_invalid():
    """Each of these messages crashed the daemon that received it: a number out of the range of a timedelta, or an operation
    whose kind is not a text. Validation must reject them before a component handles them.
    """
    heartbeat = ("hb", 3, (3, 4), True, "A", 0, False, 5, 5, 5)
    assert message_schemas.is_valid_message(heartbeat) and message_schemas.is_valid_message(("op", 1, "c", ("evac", "z", True), "k"))
    for bad in (
        *((*heartbeat[:field], number, *heartbeat[field + 1 :]) for field in (7, 8, 9) for number in (2**62, -(2**62))),
        ("news", 1, (3, 4), (), 2**62, 0, ()),
        ("news", 1, (3, 4), (), 0, -(2**62), ()),
        ("op", 1, "c", ({},), "k"),
        ("op", 1, "c", ((),), "k"),
        ("op", 1, "c", (), "k"),
    ):
        assert message_schemas.is_valid_message(bad) is False


def unusual_value(rng, letter):
    """Return a random value of the type of a shape's letter, including values that no daemon would send."""
    numbers = (0, 1, 3, -1, 7, 2**53, -(2**53), 2**62, -(2**62))
    return {
        "s": lambda: rng.choice(("", "a", "b", "c", "x y", "config")),
        "i": lambda: rng.choice(numbers),
        "m": lambda: rng.choice(numbers),
        "b": lambda: rng.random() < 0.5,
        "y": lambda: b"x",
        "t": lambda: tuple(random_value(rng) for _ in range(rng.randrange(4))),
        "v": lambda: rng.choice(((0, 0), (3, 1), (3, 4), (2**62, 1))),
        "o": lambda: (rng.choice(numbers), rng.choice("abc")),
        "?": lambda: random_value(rng),
    }[letter]()


def test_no_message_with_a_valid_shape_crashes_a_daemon():
    from datetime import timedelta

    from silverglade.control import register
    from silverglade.control.view import View
    from silverglade.runtime.daemon_machine import DaemonMachine
    from silverglade.runtime.settings import tuning

    for seed in range(150):
        rng, now = random.Random(seed), timedelta(seconds=5)
        disk = "C" if seed % 3 else ""
        view = (3, "c" if seed % 3 == 2 else "a", ("b",), (("a", "A"), ("b", "B"), ("c", "C")))
        machine = DaemonMachine(
            name="c",
            process_id="l",
            zone="z",
            region="r",
            peer_address="127.0.0.1:1",
            http_address="127.0.0.1:2",
            seeds=("127.0.0.1:3",),
            first_cores=("a", "b", "c"),
            tuning=tuning(),
            rng=rng,
            disk=disk,
            saved={"meta": {"reg": register.Register(base=View(*view)).stored()}} if disk else None,
        )
        for _ in range(150):
            now += timedelta(milliseconds=rng.randrange(100))
            kind = rng.choice(list(message_schemas.MESSAGE_SHAPES))
            body = (kind, *[unusual_value(rng, letter) for letter in message_schemas.MESSAGE_SHAPES[kind].removesuffix("...")])
            body += tuple(random_value(rng) for _ in range(rng.randrange(4)))
            machine.feed(now, ("msg", rng.choice("abx"), body) if rng.random() < 0.85 else ("pulse",))
