"""What the router holds of one request (design 15.3)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from datetime import timedelta
from typing import Any, NotRequired, TypedDict

from ..runtime.effects import milliseconds, to_milliseconds
from .attempt_outcomes import AttemptOutcome
from .callers import Caller, effective_rank
from .prefill_backlog import BacklogQuery, OngoingPrefill, Prompt
from .replicas import ReplicaState
from .route_table import Route, ServiceConfiguration

INPUT_TOKENS_PER_OUTPUT_TOKEN = 8
"""So many tokens of a prompt are read for the work of one token of an answer (design 15.5)."""

SHORTEST_PATIENCE_MS = 250
PATIENCE_PER_LATENCY_TARGET = 0.8
INPUT_TOKENS_PER_MS = 20
"""Of a prompt that is read, for how long a replica may be silent meanwhile."""
PATIENCE_PER_LONGEST_PAUSE = 0.6

MIDDLE_URGENCY = 4
LARGEST_URGENCY = 9


class RequestFacts(TypedDict):
    """What the HTTP layer read of a request's head (http/forwarding_protocol.py).

    `attempt` is the client's id of this attempt of its own; `prefix` holds the prompt's parts, (id, tokens) each, the last one the
    request's own; `tokens` are those of the prompt and the most of an answer; `key` is the digest of the client's key.
    """

    host: str
    path: str
    method: str
    attempt: str
    deadline_ms: int | None
    prefix: tuple[tuple[str, int], ...]
    tokens: tuple[int, int] | None
    model: str
    last_event: str | None
    version: NotRequired[str | None]
    key: NotRequired[str | None]
    size: int


class Request:
    """One request of a client, from its head to its end.

    :ivar id: its name in this daemon.
    :ivar facts: what the HTTP layer read of its head.
    :ivar received_at: when it arrived.
    :ivar route: the route that it takes; set once, before anything is sent.
    :ivar service: the service that its route chose for it.
    :ivar caller: who holds its key, if that is known; else None.
    :ivar is_counted: whether it was told to the usage counter.
    :ivar hides_key: no replica may be shown the key, since a configuration under which it was sent has callers.
    :ivar homes: the regions where it may be served, by its route and its caller; none: any.
    :ivar deadline: until when it is worked on.
    :ivar client_deadline: its own deadline, also beyond the daemon's end.
    :ivar tried_replicas: ids of the replicas that were tried.
    :ivar attempt_number: of the latest attempt; 0 before the first.
    :ivar counted_attempts: those that count towards the route's most: neither unsent nor refused by another incarnation.
    :ivar arrivals: attempts that reached any replica, also one that refused it: what the retry budget counts.
    :ivar unreachable_by_region: region to how many of its replicas took no connection for it.
    :ivar sent_at: when the latest replica got it.
    :ivar response_begun: whether the head of a streamed response was passed on.
    :ivar last_event_id: id of the last event that was passed on.
    :ivar open_attempts: number of an attempt under way to its replica's id.
    :ivar last_failure: how the latest attempt ended, if it failed.
    :ivar work: in tokens (`work_of`).
    :ivar prompt: what there is to read, of a long one; else None.
    :ivar backlog_query: to the holders of its replicas' prefill backlogs; None before it is asked.
    :ivar prefill: where its prompt is noted as being read, until its first token; else None.
    """

    __slots__ = (
        "id",
        "facts",
        "received_at",
        "route",
        "service",
        "caller",
        "is_counted",
        "hides_key",
        "homes",
        "deadline",
        "client_deadline",
        "tried_replicas",
        "attempt_number",
        "counted_attempts",
        "arrivals",
        "unreachable_by_region",
        "sent_at",
        "response_begun",
        "last_event_id",
        "open_attempts",
        "last_failure",
        "work",
        "prompt",
        "backlog_query",
        "prefill",
    )

    route: Route
    service: str

    def __init__(self, request_id: str, facts: RequestFacts, now: timedelta) -> None:
        self.id = request_id
        self.facts = facts
        self.received_at = now
        self.caller: Caller | None = None
        self.is_counted = False
        self.hides_key = False
        self.homes: Collection[str] = ()
        self.deadline = now
        self.client_deadline = now
        self.tried_replicas: set[str] = set()
        self.attempt_number = 0
        self.counted_attempts = 0
        self.arrivals = 0
        self.unreachable_by_region: Counter[str] = Counter()
        self.sent_at = now
        self.response_begun = False
        self.last_event_id = facts["last_event"]
        self.open_attempts: dict[int, str] = {}
        self.last_failure: AttemptOutcome | None = None
        self.work = 0.0
        self.prompt: Prompt | None = None
        self.backlog_query: BacklogQuery | None = None
        self.prefill: OngoingPrefill | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route["kind"] == "pure" or self.route["kind"] == "streaming" and self.route["resumable"]

    @property
    def is_streaming(self) -> bool:
        """Whether events are passed on as they come."""
        return self.route["kind"] == "streaming"

    @property
    def may_have_run(self) -> bool:
        """Whether a replica that got it may have run it, so that no promise can be given."""
        return self.last_failure in (AttemptOutcome.LOST, AttemptOutcome.CUT)


class AttemptTarget(TypedDict):
    """One attempt as the request forwarder is told of it (server/request_forwarding.py).

    :ivar expect: whether only this incarnation of the replica may run it.
    :ivar urgency: for the replica's queue, or None.
    :ivar resume: it goes on with a stream whose head was passed on.
    :ivar tenant: name of the caller that the replica is told instead of the key; empty: none; left out: headers pass as they came.
    :ivar connect: for how long a connection is waited for.
    :ivar patience: silence of the replica, on all connections, after which the router is told.
    :ivar pause: the same once events come.
    :ivar cap: most connections of this daemon to this replica.
    """

    replica: str
    addr: str
    service: str
    expect: bool
    urgency: int | None
    deadline_ms: int
    last_event: str | None
    resume: bool
    connect: timedelta
    patience: timedelta | None
    pause: timedelta | None
    cap: int
    stream: bool
    tenant: NotRequired[str]


def work_of(facts: RequestFacts) -> float:
    """Work in tokens: reading a prompt costs less a token than making an answer (design 15.5)."""
    input_tokens, output_tokens = facts["tokens"] or (0, 0)
    return input_tokens / INPUT_TOKENS_PER_OUTPUT_TOKEN + output_tokens or 1.0


def patience_before_response(request: Request) -> timedelta:
    """How long a replica may say nothing to anybody before others go first, and what is repeatable leaves it (15.3)."""
    input_tokens = (request.facts["tokens"] or (0, 0))[0]
    allowed = PATIENCE_PER_LATENCY_TARGET * request.route["aim_ms"] + input_tokens / INPUT_TOKENS_PER_MS
    return milliseconds(max(SHORTEST_PATIENCE_MS, allowed))


def patience_between_events(request: Request) -> timedelta | None:
    """How long a replica may say nothing once events come; None: as long as it likes."""
    longest_pause = request.route["gap_ms"]
    if not longest_pause:
        return None
    return milliseconds(max(SHORTEST_PATIENCE_MS, PATIENCE_PER_LONGEST_PAUSE * longest_pause))


def attempt_target(
    request: Request,
    replica: ReplicaState,
    service: ServiceConfiguration,
    *,
    remaining: timedelta,
    connect_timeout: timedelta,
    daemons: int,
    tuning: Mapping[str, Any],
) -> AttemptTarget:
    """Describe one attempt to the request forwarder.

    :param remaining: what is left of the deadline.
    :param daemons: how many share the replica's connections.
    """
    switched_off = tuning["without"]
    watches_silence = "silence" not in switched_off
    urgency = (
        None if "urgency" in switched_off else min(LARGEST_URGENCY, MIDDLE_URGENCY + effective_rank(request.route["rank"], request.caller))
    )
    target: AttemptTarget = {
        "replica": replica.id,
        "addr": replica.address,
        "service": request.service,
        "expect": True,
        "urgency": urgency,
        "deadline_ms": to_milliseconds(remaining),
        "last_event": request.last_event_id,
        "resume": request.response_begun,
        "connect": connect_timeout,
        "patience": patience_before_response(request) if watches_silence else None,
        "pause": patience_between_events(request) if watches_silence else None,
        "cap": max(1, service["conns"] // max(1, daemons)),
        "stream": request.is_streaming,
    }
    if request.hides_key:
        target["tenant"] = request.caller.name if request.caller else ""
    return target
