"""What the rules of the forwarding path know of requests, runs and answers, and the bounds that they are given (design 15)."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

SEC, MS = timedelta(seconds=1), timedelta(milliseconds=1)


class Bounds(NamedTuple):
    """By when and by how much; the sizes are those of a small deployment.

    :ivar contact: a daemon was in touch if nothing troubled it for so long.
    :ivar drain: no request reaches a replica so long after it was listed as draining.
    :ivar lost: after its last byte, a whole request that was read has to be answered.
    :ivar grace: from a SIGTERM to the kill.
    :ivar cut_streams_for: what is sent later after a SIGTERM ends whole, or is answered by the daemon.
    :ivar apply: an acknowledged configuration is in force after so long.
    :ivar revert: a daemon may still finish under the older configuration for so long.
    :ivar ratio: retries against first attempts.
    :ivar window: over which these are counted.
    :ivar slack: retries beyond that.
    :ivar cold_excess: factor on what a replica bears during slow start.
    :ivar cold_slack: requests beyond that.
    :ivar evacuate: no request reaches a drained zone after so long.
    :ivar recovery: service is back so long after everything returned.
    :ivar revoke: a key that was taken away is of no use to what is sent so long after; None: only at daemons in touch.
    :ivar due: what a replica is told to have may be older by a connection's coming up.
    """

    contact: timedelta = 5 * SEC
    drain: timedelta = 5 * SEC
    lost: timedelta = 200 * MS
    grace: timedelta = 8 * SEC
    cut_streams_for: timedelta = 3 * SEC
    apply: timedelta = 3 * SEC
    revert: timedelta = 250 * MS
    ratio: float = 0.2
    window: timedelta = 10 * SEC
    slack: float = 50.0
    cold_excess: float = 1.5
    cold_slack: float = 5.0
    evacuate: timedelta = 5 * SEC
    recovery: timedelta = 12 * SEC
    due: timedelta = 450 * MS
    revoke: timedelta | None = None


class Sent(NamedTuple):
    """A client's attempt.

    :ivar attempt: id of its own.
    :ivar at: when it was sent.
    :ivar life: the process of the daemon that it reached.
    :ivar stream: whether the answer is a stream.
    :ivar again: whether it may run more than once.
    :ivar due: its deadline, counted from `at`.
    :ivar tokens: of its prompt, and at most of its answer.
    :ivar last: number of the event behind which it resumes a stream; 0 for a new one.
    :ivar service: for which the client means it: what retry budgets count it under.
    :ivar key: that the client sends; None: none.
    :ivar claims: the tenant that it says it is, which nobody may believe.
    """

    attempt: str
    at: timedelta
    life: str
    host: str
    path: str
    body: bytes
    method: str = "POST"
    stream: bool = True
    again: bool = False
    due: timedelta = 10 * SEC
    tokens: tuple[int, int] = (100, 80)
    last: int = 0
    service: str = ""
    key: str | None = None
    claims: str | None = None


@dataclass(slots=True)
class Run:
    """A replica's work on an attempt.

    :ivar attempt: on which.
    :ivar seal: with which the replica vouches for it.
    :ivar status: of its answer.
    :ivar stride: tokens in one event.
    :ivar last: number of the event behind which it began.
    :ivar plain: whether its answer is no stream.
    :ivar body: of its plain answer.
    """

    attempt: str
    seal: str | None
    status: int
    stride: int
    last: int
    plain: bool
    body: bytes


class StreamPosition(NamedTuple):
    """The last event that a client has: its number, and the run that it came from."""

    number: int
    run: str


class End(NamedTuple):
    """When a client's answer ended, and whether it was complete."""

    at: timedelta
    complete: bool


@dataclass(slots=True)
class Received:
    """What a client has of the answer to an attempt."""

    status: int | None = None
    seal: str | None = None
    events: list[StreamPosition] = field(default_factory=list)
    body: bytes = b""
    ended: End | None = None

    @property
    def successful(self) -> bool:
        """Whether its status is that of a success."""
        return self.status is not None and 200 <= self.status < 300


class ReplicaAnswer(NamedTuple):
    """A failure or refusal by a replica."""

    status: int
    body: bytes


class DrainedZone(NamedTuple):
    """A zone that was drained.

    :ivar zone: which one.
    :ivar since: when that was acknowledged.
    :ivar until: when its end was asked for; None if it was not.
    """

    zone: str
    since: timedelta
    until: timedelta | None


@dataclass(slots=True)
class Outage:
    """A time during which the endpoint list did not answer; `until` is None while it lasts."""

    since: timedelta
    until: timedelta | None = None

    def overlap(self, begin: timedelta, end: timedelta) -> timedelta:
        """Return how much of a time it covers."""
        return max(timedelta(0), min(end, self.until or end) - max(begin, self.since))


class NumberInEffect(NamedTuple):
    """The highest number of a configuration that a daemon was seen to work under, and since when."""

    number: int
    since: timedelta
