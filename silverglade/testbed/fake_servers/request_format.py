"""What a simulated replica is, what reaches it, and how its answers are made of the request alone (design 15)."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple, Protocol

from ...runtime.effects import ZERO

SEC, MS = timedelta(seconds=1), timedelta(milliseconds=1)
DEFAULT_URGENCY = 5  # of a request that names none; a lower number goes first
DIGEST_BYTES = 8


class AnswerFault(StrEnum):
    """A fault of a single answer."""

    FAIL = "fail"  # status 500
    CUT = "cut"  # the connection ends within the answer
    GARBAGE = "garbage"  # bytes that are no answer
    AGAIN = "again"  # a second answer at once behind the first
    LATE = "late"  # a second answer a while behind the first
    LOST = "lost"  # the connection ends before the answer
    UNSEALED = "unsealed"  # a success without the replica's seal


ANSWER_FAULTS = tuple(AnswerFault)  # in the order in which they are drawn


class ReplicaSpec(NamedTuple):
    """What one kind of replica is.

    :ivar capacity: requests that run at once.
    :ivar queue: requests that wait at most.
    :ivar cache_tokens: memory, in tokens of prompts and answers.
    :ivar step: time of one token when one request runs.
    :ivar per_slot: added to `step` for each request that runs.
    :ivar read: speed of prefill, prompt tokens a millisecond.
    :ivar chunk: prompt tokens read at most between two tokens of other requests.
    :ivar stride: tokens in one event of a stream.
    :ivar work: mean time of a request to a plain service; zero for a model.
    :ivar conns: connections that are accepted at once.
    :ivar cold: length of the slow start after the replica was started in traffic.
    :ivar cold_per_s: requests a second that it bears during slow start.
    :ivar falls: it crashes at this many times `cold_per_s`.
    :ivar cold_x: how much slower it is during slow start, a factor.
    :ivar speed: factor on all times.
    :ivar drops: whether work ends with the connection that asked for it.
    """

    capacity: int = 64
    queue: int = 192
    cache_tokens: int = 250000
    step: timedelta = 3 * MS
    per_slot: timedelta = 0.1 * MS
    read: float = 50.0
    chunk: int = 2048
    stride: int = 8
    work: timedelta = ZERO
    conns: int = 370
    cold: timedelta = 3 * SEC
    cold_per_s: float = 11.0
    falls: float = 3.0
    cold_x: float = 1.5
    speed: float = 1.0
    drops: bool = True


class ReplicaRequest(NamedTuple):
    """A request as it arrived at a replica.

    :ivar attempt: id of the attempt; empty if the request has none.
    :ivar body: its bytes.
    :ivar parts: (id, tokens) of each named part of the prompt, in order.
    :ivar tokens: tokens of the whole prompt, and the most tokens of the answer.
    :ivar urgency: a lower number goes first; None if it names none.
    :ivar left: time until its deadline; None without one.
    :ivar last: number of the event behind which a stream is resumed; 0 for a new one.
    :ivar expect: id of the only replica that may run it; None for any.
    :ivar method: of HTTP.
    :ivar path: of HTTP.
    """

    attempt: str
    body: bytes = b""
    parts: tuple[tuple[str, int], ...] = ()
    tokens: tuple[int, int] = (100, 80)
    urgency: int | None = None
    left: timedelta | None = None
    last: int = 0
    expect: str | None = None
    method: str = "POST"
    path: str = "/"


class AnswerableRequest(Protocol):
    """The fields of a request that its plain answer depends on."""

    @property
    def attempt(self) -> str:
        """Id of the attempt."""

    @property
    def body(self) -> bytes:
        """Bytes of the request."""

    @property
    def tokens(self) -> tuple[int, int]:
        """Tokens of the prompt, and the most tokens of the answer."""

    @property
    def method(self) -> str:
        """Method of HTTP."""

    @property
    def path(self) -> str:
        """Path of HTTP."""


def digest(*values: object) -> str:
    """Return a short digest of some values, the same in every process."""
    return blake2b(repr(values).encode(), digest_size=DIGEST_BYTES).hexdigest()


def seal(run: str, attempt: str) -> str:
    """Return the seal by which a replica vouches that an answer is of this run of this attempt."""
    return digest("seal", run, attempt)


def answer_tokens(body: bytes, most: int) -> int:
    """Return how many tokens the answer has, which the request's bytes decide, so that every run has as many.

    :param body: of the request.
    :param most: tokens of an answer.
    """
    return 1 + int(digest("out", body), 16) % max(1, most)


def event_count(body: bytes, most: int, stride: int) -> int:
    """Return how many events the whole stream of a request has.

    :param body: of the request.
    :param most: tokens of an answer.
    :param stride: tokens in one event.
    """
    return -(-answer_tokens(body, most) // stride)


def plain_answer(run: str, request: AnswerableRequest) -> bytes:
    """Return a plain answer's bytes: which run it is, of which request, and as much padding as was asked for."""
    padding = b"." * max(0, request.tokens[1])
    return f"{run} {request.attempt} {digest(request.method, request.path, request.body)} ".encode() + padding
