"""The splitter of event streams (design 15.3) against an oracle, for every way of cutting the bytes."""

import itertools
import random

import pytest

from silverglade.http import event_stream as events
from silverglade.http.event_stream import EventSplitter, events_after, last_event_id


def lines(raw):
    """-> [(line, its end)] of whole lines, letter by letter; CR LF is one end."""
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


def whole(raw):
    """The oracle: all bytes up to the last empty line."""
    return raw[: max((at for ln, at in lines(raw) if not ln), default=0)]


def apart(raw):
    """The oracle's events, each with its end."""
    out, at = [], 0
    for ln, end in lines(raw):
        if not ln:
            out.append(raw[at:end])
            at = end
    return out


def named(e):
    ids = [ln[3:].removeprefix(b" ").decode() for ln, _ in lines(e) if ln.startswith(b"id:")]
    return ids[-1] if ids else None


def check(chunks):
    s, said, got = EventSplitter(), b"", b""
    for c in chunks:
        said += c
        got += s.feed(c)
        assert got == whole(said) and got + s.rest == said, chunks
    return got


def every_cut(raw):
    for cuts in itertools.product((0, 1), repeat=len(raw) - 1):
        chunk, out = raw[:1], []
        for b, cut in zip(raw[1:], cuts):
            if cut:
                out.append(chunk)
                chunk = b""
            chunk += bytes([b])
        yield [*out, chunk]


def test_every_short_text_cut_in_every_way():
    for n in range(1, 6):
        for raw in itertools.product(b"a\r\n", repeat=n):
            for chunks in every_cut(bytes(raw)):
                check(chunks)


def test_two_events_cut_in_every_way():
    for end in (b"\n", b"\r", b"\r\n"):
        for chunks in every_cut(b"id:1" + end * 2 + b"d" + end * 2 + b"x"):
            check(chunks)


def text(rng):
    """A stream's bytes, with all line ends mixed."""
    out = b""
    for _ in range(rng.randrange(1, 12)):
        for _ in range(rng.randrange(0, 4)):
            out += rng.choice((b"id: %d", b"id:%d", b"data: x%d", b": %d", b"data: id: %d", b"%d")) % rng.randrange(99)
            out += rng.choice((b"\r", b"\n", b"\r\n"))
        out += rng.choice((b"\r", b"\n", b"\r\n"))
    return out[: rng.randrange(len(out) + 1)] if rng.random() < 0.3 else out


def cuts(rng, raw):
    at, out = 0, []
    while at < len(raw):
        n = rng.choice((1, 1, 2, 3, 7, 50))
        out.append(raw[at : at + n])
        at += n
    return out


def test_long_texts_cut_at_random():
    rng = random.Random(15)
    for _ in range(3000):
        check(cuts(rng, text(rng)))


def test_the_last_id_of_whole_events():
    rng = random.Random(3)
    for _ in range(3000):
        raw = whole(text(rng))
        ids = [i for e in apart(raw) if (i := named(e)) is not None]
        assert last_event_id(raw) == (ids[-1] if ids else None), raw


def test_what_was_passed_on_before_is_left_out():
    rng = random.Random(4)
    for _ in range(3000):
        raw, last = whole(text(rng)), rng.randrange(99)
        es = apart(raw)
        new = [i for i, e in enumerate(es) if (named(e) or "").isdigit() and int(named(e)) > last]
        assert events_after(raw, str(last)) == ((b"".join(es[new[0] :]), True) if new else (b"", False))


def test_an_event_without_an_end_is_given_up():
    s = EventSplitter(max_bytes=100)
    s.feed(b"x" * 100)
    with pytest.raises(ValueError):
        s.feed(b"x")


@pytest.mark.parametrize(
    "bad",
    [
        lambda b, start=0: b.rfind(b"\n\n") + 2 if b"\n\n" in b else 0,  # one kind of line end only
        lambda b, start=0: len(b) if b[-1:] in b"\r\n" else 0,  # ends of lines, not of events
        lambda b, start=0: len(b),  # whatever came
        lambda b, start=0: real_end_of_last_event(b, start + 3),  # looks too late behind a cut
        lambda b, start=0: (lambda at: at - (at and b[at - 2 : at] == b"\r\n"))(real_end_of_last_event(b, start)),  # CR LF cut in two
    ],
)
def test_planted_breaches_of_the_splitter_are_seen(monkeypatch, bad):
    monkeypatch.setattr(events, "end_of_last_event", bad)
    with pytest.raises(AssertionError):
        test_every_short_text_cut_in_every_way()
        test_two_events_cut_in_every_way()
        test_long_texts_cut_at_random()


real_end_of_last_event = events.end_of_last_event
