"""The splitter of event streams (design 15.3) compared with an oracle, for streams received in pieces of any size."""

import itertools
import random

import pytest

from silverglade.http import event_stream
from silverglade.http.event_stream import EventSplitter, events_after, last_event_id


def split_lines(raw):
    """Return (line, position after it) of each complete line, byte by byte; CR LF is one line end."""
    out, cur, i = [], b"", 0
    while i < len(raw):
        c = raw[i : i + 1]
        i += 1
        if c == b"\r" and raw[i : i + 1] == b"\n":
            i += 1
        if c in (b"\r", b"\n"):
            out.append((cur, i))
            cur = b""
        else:
            cur += c
    return out


def complete_events(raw):
    """The oracle: all bytes up to the end of the last empty line."""
    return raw[: max((at for ln, at in split_lines(raw) if not ln), default=0)]


def separate_events(raw):
    """The oracle: the complete events, each with its empty line."""
    out, at = [], 0
    for ln, end in split_lines(raw):
        if not ln:
            out.append(raw[at:end])
            at = end
    return out


def event_id(e):
    ids = [ln[3:].removeprefix(b" ").decode() for ln, _ in split_lines(e) if ln.startswith(b"id:")]
    return ids[-1] if ids else None


def check_splitter(chunks):
    s, received, got = EventSplitter(), b"", b""
    for c in chunks:
        received += c
        got += s.feed(c)
        assert got == complete_events(received) and got + s.rest == received, chunks
    return got


def all_splits(raw):
    for random_pieces in itertools.product((0, 1), repeat=len(raw) - 1):
        chunk, out = raw[:1], []
        for b, cut in zip(raw[1:], random_pieces):
            if cut:
                out.append(chunk)
                chunk = b""
            chunk += bytes([b])
        yield [*out, chunk]


def test_short_streams_split_at_every_position():
    for n in range(1, 6):
        for raw in itertools.product(b"a\r\n", repeat=n):
            for chunks in all_splits(bytes(raw)):
                check_splitter(chunks)


def test_two_events_split_at_every_position():
    for end in (b"\n", b"\r", b"\r\n"):
        for chunks in all_splits(b"id:1" + end * 2 + b"d" + end * 2 + b"x"):
            check_splitter(chunks)


def random_stream(rng):
    """Random bytes of a stream, with mixed line ends."""
    out = b""
    for _ in range(rng.randrange(1, 12)):
        for _ in range(rng.randrange(0, 4)):
            out += rng.choice((b"id: %d", b"id:%d", b"data: x%d", b": %d", b"data: id: %d", b"%d")) % rng.randrange(99)
            out += rng.choice((b"\r", b"\n", b"\r\n"))
        out += rng.choice((b"\r", b"\n", b"\r\n"))
    return out[: rng.randrange(len(out) + 1)] if rng.random() < 0.3 else out


def random_pieces(rng, raw):
    at, out = 0, []
    while at < len(raw):
        n = rng.choice((1, 1, 2, 3, 7, 50))
        out.append(raw[at : at + n])
        at += n
    return out


def test_long_streams_split_at_random_positions():
    rng = random.Random(15)
    for _ in range(3000):
        check_splitter(random_pieces(rng, random_stream(rng)))


def test_last_event_id_of_complete_events():
    rng = random.Random(3)
    for _ in range(3000):
        raw = complete_events(random_stream(rng))
        ids = [i for e in separate_events(raw) if (i := event_id(e)) is not None]
        assert last_event_id(raw) == (ids[-1] if ids else None), raw


def test_events_up_to_the_last_id_are_omitted():
    rng = random.Random(4)
    for _ in range(3000):
        raw, last = complete_events(random_stream(rng)), rng.randrange(99)
        parts = separate_events(raw)
        new = [i for i, e in enumerate(parts) if (event_id(e) or "").isdigit() and int(event_id(e)) > last]
        assert events_after(raw, str(last)) == ((b"".join(parts[new[0] :]), True) if new else (b"", False))


def test_an_incomplete_event_over_the_limit_is_rejected():
    s = EventSplitter(max_bytes=100)
    s.feed(b"x" * 100)
    with pytest.raises(ValueError):
        s.feed(b"x")


@pytest.mark.parametrize(
    "bad",
    [
        lambda b, start=0: b.rfind(b"\n\n") + 2 if b"\n\n" in b else 0,  # only one kind of line end
        lambda b, start=0: len(b) if b[-1:] in b"\r\n" else 0,  # splits at line ends instead of event ends
        lambda b, start=0: len(b),  # everything that was received
        lambda b, start=0: real_end_of_last_event(b, start + 3),  # starts the search too late after a split
        lambda b, start=0: (lambda at: at - (at and b[at - 2 : at] == b"\r\n"))(real_end_of_last_event(b, start)),  # splits a CR LF
    ],
)
def test_planted_defects_of_the_splitter_are_detected(monkeypatch, bad):
    monkeypatch.setattr(event_stream, "end_of_last_event", bad)
    with pytest.raises(AssertionError):
        test_short_streams_split_at_every_position()
        test_two_events_split_at_every_position()
        test_long_streams_split_at_random_positions()


real_end_of_last_event = event_stream.end_of_last_event
