"""One attempt to run a request on one replica (design 15.3): what the router wants, and what became of it."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple

from ..http.connection_pool import PooledConnection
from ..runtime.record import Record
from .client_request import ClientRequest


class AttemptTarget(NamedTuple):
    """An attempt as the router wants it; the fields are those of `StartAttempt.target`.

    :ivar addr: IP:PORT of the replica.
    :ivar expect: only this replica may run the request.
    :ivar last_event: the client's stream goes on behind this event.
    :ivar connect: how long a connection may take to come up.
    :ivar cap: the most connections of this daemon to this replica.
    :ivar stream: events are passed on as they come; else the response is held until it is complete.
    :ivar resume: goes on with a stream whose head was passed on.
    :ivar tenant: the caller that the replica is told instead of the key; empty: none; None: the client's headers pass as they came.
    :ivar patience: silence of the replica, on all its connections, that the router is told of.
    :ivar pause: the same once events come.
    """

    replica: str
    addr: str
    service: str
    expect: bool
    urgency: int | None
    deadline_ms: int
    last_event: str | None
    connect: timedelta
    cap: int
    stream: bool
    resume: bool
    patience: timedelta | None = None
    pause: timedelta | None = None
    tenant: str | None = None


class Outcome(StrEnum):
    """What the router is told of an attempt; details in parentheses."""

    BEGAN = "began"  # a successful response has begun (status)
    FIRST = "first"  # its first bytes were passed on
    SILENT = "silent"  # the replica says nothing (id of the last event that was passed on)
    DONE = "done"  # the response was passed on, complete
    UNSENT = "unsent"  # not one byte was sent (why)
    NOT_RUN = "not-run"  # the replica says that it did not run it (status, seconds until it may come again)
    FAILED = "failed"  # the replica answered with an error (status)
    LOST = "lost"  # no valid response (why)
    CUT = "cut"  # a successful response broke off (id of the last event that was passed on)
    GONE = "gone"  # the request is over without a word of the router


class LossReason(StrEnum):
    """Why an attempt has no valid response, besides the names of the client library's errors."""

    NOT_OURS = "not-ours"  # responses to other attempts came
    STATUS = "status"  # no status of HTTP
    NO_SEAL = "no-seal"  # a success without the replica's seal
    NO_LENGTH = "no-length"  # a success that does not say where it ends
    NO_STREAM = "no-stream"  # a stream should have gone on
    CUT = "cut"  # an error response broke off


class AttemptResult(NamedTuple):
    """What became of an attempt.

    :ivar details: as `Outcome` says.
    :ivar keep_s: for so many seconds its connection may be used again; None: not at all.
    """

    outcome: Outcome
    details: tuple[Any, ...] = ()
    keep_s: float | None = None


class Attempt(Record):
    """An attempt that runs.

    :ivar deadline: in seconds of the monotonic clock.
    """

    request: ClientRequest
    number: int
    target: AttemptTarget
    connection: PooledConnection
    deadline: float
