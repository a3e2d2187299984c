"""What the model of a replica says, one class a kind; `key` is the caller's name of one request on one connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run, and never will be. `retry_after_s`: when it may come again, if that is said."""

    key: int
    status: int
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class RunBegan:
    """Work on the request began: of a stream with its first token. `run`: id of the run."""

    key: int
    run: str


@dataclass(frozen=True, slots=True)
class Head:
    """The answer begins. `seal` is None when it is missing."""

    key: int
    status: int
    seal: str | None


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream, with several tokens in it; events are counted from 1."""

    key: int
    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Body:
    """Bytes of a plain answer."""

    key: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The answer is complete."""

    key: int


@dataclass(frozen=True, slots=True)
class Cut:
    """The connection ends here, whatever was said on it."""

    key: int


@dataclass(frozen=True, slots=True)
class Garbage:
    """Bytes that are no answer, then the connection ends."""

    key: int


@dataclass(frozen=True, slots=True)
class Surplus:
    """Behind a complete answer a second one is sent, at once or (`late`) a while later."""

    key: int
    late: bool


@dataclass(frozen=True, slots=True)
class Crashed:
    """The replica ended."""


RequestAnswer = Refused | RunBegan | Head | StreamEvent | Body | Ended | Cut | Garbage | Surplus
Answer = RequestAnswer | Crashed
LAST_ANSWERS = (Refused, Ended, Cut, Garbage)  # behind which nothing but a `Surplus` follows
