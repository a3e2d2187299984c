"""What a stand-in replica is, and what reaches it (design 15)."""

from datetime import timedelta
from hashlib import blake2b
from typing import NamedTuple

from ...runtime.effects import ZERO

SEC, MS = timedelta(seconds=1), timedelta(milliseconds=1)
CALM = 5  # urgency of who names none
KINDS = ("fail", "cut", "garbage", "again", "late", "lost", "unsealed")  # troubles of single answers


class Spec(NamedTuple):
    """What one kind of replica is. `work` above zero: no model, only time."""

    capacity: int = 64
    queue: int = 192
    cache_tokens: int = 250000
    step: timedelta = 3 * MS  # a token's time when one runs
    per_slot: timedelta = 0.1 * MS  # more for each that runs beside it
    read: float = 50.0  # prompt tokens a millisecond
    chunk: int = 2048  # prompt tokens between two tokens of others
    stride: int = 8  # tokens in one event
    work: timedelta = ZERO
    conns: int = 370
    cold: timedelta = 3 * SEC  # how long it stays cold after a start in traffic
    cold_per_s: float = 11.0  # what it bears then
    falls: float = 3.0  # at this many times that it falls over
    cold_x: float = 1.5  # how much slower it is
    speed: float = 1.0
    drops: bool = True  # work ends with the connection that asked for it


class Ask(NamedTuple):
    """A request as it arrived."""

    attempt: str
    body: bytes = b""
    parts: tuple = ()  # (id, tokens) of the prompt in order
    tokens: tuple = (100, 80)  # of the prompt; the most out
    urgency: int | None = None
    left: timedelta | None = None
    last: int = 0  # a stream goes on behind this event
    expect: str | None = None
    method: str = "POST"
    path: str = "/"


def word(*what):
    return blake2b(repr(what).encode(), digest_size=8).hexdigest()


def length(body, most):
    """How many tokens an answer has: as the request's own bytes want it, so in every run alike."""
    return 1 + int(word("out", body), 16) % max(1, most)


def pieces(body, most, stride):
    """How many events the whole stream of a request has."""
    return -(-length(body, most) // stride)


class Job:
    def __init__(self, *, key, a, n, now, out, trouble):
        self.key, self.a, self.n, self.at, self.out, self.trouble = key, a, n, now, out, trouble
        self.urgency = CALM if a.urgency is None else a.urgency
        self.till = None if a.left is None else now + a.left
        self.run = None  # the run's own word once it began
        self.unread, self.made, self.held, self.end = 0, 0, (), None

    def rank(self):
        return (self.urgency, self.n)


def answer(run, a):
    """A plain answer's bytes: which run it is, of which request, and as much again as was asked."""
    return f"{run} {a.attempt} {word(a.method, a.path, a.body)} ".encode() + b"." * max(0, a.tokens[1])
