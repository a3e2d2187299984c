"""Codecs under fuzz, with an oracle (design 3)."""

import random

import pytest

from silverglade.runtime.errors import SilvergladeError
from silverglade.server.replica_calls import EventParser
from silverglade.transport import framing as wire
from silverglade.transport import message_schemas as messages


def some(rng, d=3):
    k = rng.randrange(7 if d else 5)
    return [
        lambda: rng.getrandbits(40),
        lambda: "x" * rng.randrange(9),
        lambda: rng.random() < 0.5,
        lambda: rng.randbytes(rng.randrange(9)),
        lambda: None,
        lambda: tuple(some(rng, d - 1) for _ in range(rng.randrange(4))),
        lambda: {"k": some(rng, d - 1)},
    ][k]()


def test_frames_come_out_as_they_went_in_however_the_bytes_are_cut():
    rng = random.Random(7)
    for _ in range(60):
        sent = [("kind", *[some(rng) for _ in range(rng.randrange(5))]) for _ in range(rng.randrange(1, 6))]
        raw = b"".join(wire.encode_frame(sender="a", process_id="l", body=b) for b in sent)
        splitter, got = wire.FrameSplitter(), []
        while raw:
            n = rng.randrange(1, 40)
            got += [wire.decode_frame(p) for p in splitter.feed(raw[:n])]
            raw = raw[n:]
        assert got == [("a", "l", b) for b in sent]


def test_damaged_frames_are_refused_by_code_and_never_pass_as_another():
    rng = random.Random(8)
    codes = set()
    for _ in range(3000):
        b = bytearray(wire.encode_frame(sender="a", process_id="l", body=("ping", 1, (1, 2)))[4:])
        for _ in range(rng.randrange(1, 4)):
            b[rng.randrange(len(b))] = rng.getrandbits(8)
        try:
            _, _, body = wire.decode_frame(bytes(b[: rng.randrange(len(b) + 1)]))
            assert isinstance(body[0], str)
        except SilvergladeError as f:
            codes.add(f.code)
    assert codes == {601, 603}


def test_an_oversized_frame_and_a_strange_version_have_their_codes():
    splitter = wire.FrameSplitter(max_bytes=100)
    with pytest.raises(SilvergladeError) as e:
        splitter.feed(wire.FRAME_HEADER.pack(101))
    assert e.value.code == 602
    with pytest.raises(SilvergladeError) as e:
        wire.decode_frame(wire.encode_frame(sender="a", process_id="l", body=("x",), version=99)[4:])
    assert e.value.code == 603


def test_events_survive_any_cut():
    rng = random.Random(9)
    raw = b"id: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: c\r\n\r\nevent: done\nid: 2\ndata:\n\n"
    for _ in range(50):
        parser, got, r = EventParser(), [], raw
        while r:
            n = rng.randrange(1, 9)
            got += parser.feed(r[:n])
            r = r[n:]
        assert got == [("", 1, b"a\nb"), ("", 2, b"c"), ("done", 2, b"")]


def test_only_messages_of_the_stated_shape_reach_a_part():
    assert messages.is_valid_message(("get", 1, (0, 0)))
    for bad in (
        ("get", 1, (0,)),
        ("get", "1", (0, 0)),
        ("get", 1),
        ("nothing", 1),
        ("op", 1, "", ("evac", "z"), ""),
        ("news", 1, (1, 1), (("k", (1,), 0),), 5, 0),
    ):
        assert not messages.is_valid_message(bad)


def test_what_is_large_travels_small_and_unfolds_to_itself_or_is_refused():
    items = tuple((f"route-{i}", (1, i), {"host": "h", "prefix": f"/{i}/"}) for i in range(3000))
    raw = wire.encode_frame(sender="a", process_id="l", body=("news", 1, (1, 2), items, 0, 0))[4:]
    assert len(raw) < len(repr(items)) / 5
    assert wire.decode_frame(raw) == ("a", "l", ("news", 1, (1, 2), items, 0, 0))
    rng, codes = random.Random(3), set()
    for _ in range(200):
        b = bytearray(raw)
        b[rng.randrange(20, len(b))] ^= 1 << rng.randrange(8)
        try:
            assert wire.decode_frame(bytes(b)) == ("a", "l", ("news", 1, (1, 2), items, 0, 0))
        except SilvergladeError as f:
            codes.add(f.code)
    assert codes <= {601, 602} and codes
    with pytest.raises(SilvergladeError) as e:  # a little that unfolds to very much
        wire.decode_frame(wire.encode_frame(sender="a", process_id="l", body=("news", b"0" * (wire.MAX_DECOMPRESSED_BYTES + 1)))[4:])
    assert e.value.code == 602


def test_a_message_that_no_part_can_bear_is_refused_before_it():
    """Each of these ended the daemon that heard it: a number that no time holds, an operation that is no text."""
    hb = ("hb", 3, (3, 4), True, "A", 0, False, 5, 5, 5)
    assert messages.is_valid_message(hb) and messages.is_valid_message(("op", 1, "c", ("evac", "z", True), "k"))
    for bad in (
        *((*hb[:i], n, *hb[i + 1 :]) for i in (7, 8, 9) for n in (2**62, -(2**62))),
        ("news", 1, (3, 4), (), 2**62, 0, ()),
        ("news", 1, (3, 4), (), 0, -(2**62), ()),
        ("op", 1, "c", ({},), "k"),
        ("op", 1, "c", ((),), "k"),
        ("op", 1, "c", (), "k"),
    ):
        assert messages.is_valid_message(bad) is False


def wild(rng, letter):
    """A value of the stated shape that nobody would send."""
    numbers = (0, 1, 3, -1, 7, 2**53, -(2**53), 2**62, -(2**62))
    return {
        "s": lambda: rng.choice(("", "a", "b", "c", "x y", "config")),
        "i": lambda: rng.choice(numbers),
        "m": lambda: rng.choice(numbers),
        "b": lambda: rng.random() < 0.5,
        "y": lambda: b"x",
        "t": lambda: tuple(some(rng) for _ in range(rng.randrange(4))),
        "v": lambda: rng.choice(((0, 0), (3, 1), (3, 4), (2**62, 1))),
        "o": lambda: (rng.choice(numbers), rng.choice("abc")),
        "?": lambda: some(rng),
    }[letter]()


def test_no_message_of_a_stated_shape_ends_a_daemon():
    from datetime import timedelta

    from silverglade.control import register as rg
    from silverglade.control.view import View
    from silverglade.runtime.daemon_machine import DaemonMachine
    from silverglade.runtime.settings import tuning

    for seed in range(150):
        rng, now = random.Random(seed), timedelta(seconds=5)
        disk = "C" if seed % 3 else ""
        view = (3, "c" if seed % 3 == 2 else "a", ("b",), (("a", "A"), ("b", "B"), ("c", "C")))
        hub = DaemonMachine(
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
            saved={"meta": {"reg": rg.Register(base=View(*view)).stored()}} if disk else None,
        )
        for _ in range(150):
            now += timedelta(milliseconds=rng.randrange(100))
            kind = rng.choice(list(messages.MESSAGE_SHAPES))
            body = (kind, *[wild(rng, x) for x in messages.MESSAGE_SHAPES[kind].removesuffix("...")])
            body += tuple(some(rng) for _ in range(rng.randrange(4)))
            hub.feed(now, ("msg", rng.choice("abx"), body) if rng.random() < 0.85 else ("pulse",))
