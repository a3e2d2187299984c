"""Where a long prompt is read: what waits to be read at each replica, known by one daemon a replica (design 15.11).

Reading a long prompt (prefill) delays everybody else at its replica: streams pause, and prompts that come meanwhile wait. In a
large fleet each daemon sees a small part of what goes to a replica, so none can tell which one is reading. One daemon a replica,
its health checker, holds its backlog: what the others have sent there to be read and hasn't been answered yet, and which parts of
prompts were sent lately, so that they are likely to be in its prefix cache. Before a daemon sends a long prompt it asks for the
backlogs of the first two replicas in its order, and takes the one with less to read. It is advice only: without an answer the
first goes.

Pure state, as in outlier_ejection.py.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Sequence
from datetime import timedelta
from typing import NamedTuple

from .messages import SharedParts

FORGOTTEN_AFTER = timedelta(seconds=4)
"""What was sent and never reported as read counts for so long."""
MOST_PARTS = 4096
"""Parts remembered of one replica, whatever its memory."""
SMOOTHING = 32
"""Requests over which the mean length of prompts is taken."""


class Prompt(NamedTuple):
    """What a request's prompt takes to read.

    :ivar shared: its shared parts, (id, tokens) each, in order.
    :ivar own_tokens: those behind them.
    """

    shared: SharedParts
    own_tokens: int

    @property
    def tokens(self) -> int:
        """All its tokens."""
        return self.own_tokens + sum(tokens for _, tokens in self.shared)


def prompt_of(prefix: Sequence[tuple[str, int]], tokens: tuple[int, int] | None) -> Prompt:
    """Build the prompt of a request.

    :param prefix: (id, tokens) of each part, the last part the request's own.
    :param tokens: those of the prompt, and the most of an answer; None where they are not known.
    """
    shared = tuple(prefix[:-1])
    total = tokens[0] if tokens else sum(part_tokens for _, part_tokens in prefix)
    return Prompt(shared, max(0, total - sum(part_tokens for _, part_tokens in shared)))


class PromptLengths:
    """The mean length of a service's prompts, as this daemon meets them: what is longer is long."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}

    def is_long(self, service: str, tokens: int) -> bool:
        """Count a prompt; whether it is among the long ones."""
        mean = self.means.setdefault(service, float(tokens))
        self.means[service] = mean + (tokens - mean) / SMOOTHING
        return tokens > mean


class PrefillId(NamedTuple):
    """A prompt that is being read: the daemon that sent it, and its number there."""

    daemon: str
    number: int


class ExpectedPrefill(NamedTuple):
    """What is to be read of a prompt, and until when it counts if nobody reports it as read."""

    tokens: int
    counts_until: timedelta


class ReplicaBacklog:
    """What is known of one replica.

    :ivar reading: what is to be read there.
    :ivar cached: parts that are likely to be in its prefix cache: id to tokens, oldest first.
    :ivar cached_tokens: their sum.
    """

    __slots__ = ("reading", "cached", "cached_tokens")

    def __init__(self) -> None:
        self.reading: dict[PrefillId, ExpectedPrefill] = {}
        self.cached: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0

    def missing(self, prompt: Prompt) -> int:
        """Tokens that are to be read: parts count as cached while all before them are."""
        cached = 0
        for part, tokens in prompt.shared:
            if part not in self.cached:
                break
            cached += tokens
        return prompt.tokens - cached

    def add_to_cache(self, prompt: Prompt, capacity: int) -> None:
        """Count the prompt's shared parts as cached, and drop the oldest parts that have no room.

        :param capacity: tokens that the replica's memory holds; 0: not known.
        """
        for part, tokens in prompt.shared:
            self.cached_tokens += tokens - self.cached.get(part, 0)
            self.cached[part] = tokens
            self.cached.move_to_end(part)
        while self.cached and (len(self.cached) > MOST_PARTS or capacity and self.cached_tokens > capacity):
            self.cached_tokens -= self.cached.popitem(last=False)[1]


class PrefillBacklogs:
    """The backlogs of the replicas that this daemon is asked about, by the replica's id."""

    def __init__(self) -> None:
        self.replicas: dict[str, ReplicaBacklog] = {}

    def cost(self, now: timedelta, replica: str, prompt: Prompt) -> int:
        """Tokens that would be read there until this prompt's first token: those of others, and its own that are not cached."""
        backlog = self.replicas.get(replica)
        if backlog is None:
            return prompt.tokens
        waiting = sum(expected.tokens for expected in backlog.reading.values() if now < expected.counts_until)
        return waiting + backlog.missing(prompt)

    def add(self, now: timedelta, replica: str, prefill: PrefillId, prompt: Prompt, capacity: int) -> None:
        """Note that the prompt was sent there.

        :param capacity: tokens that the replica's memory holds; 0: not known.
        """
        backlog = self.replicas.setdefault(replica, ReplicaBacklog())
        backlog.reading[prefill] = ExpectedPrefill(backlog.missing(prompt), now + FORGOTTEN_AFTER)
        backlog.add_to_cache(prompt, capacity)

    def remove(self, replica: str, prefill: PrefillId) -> None:
        """Note that the prompt's first token came, or that it is over."""
        backlog = self.replicas.get(replica)
        if backlog is not None:
            backlog.reading.pop(prefill, None)

    def expire(self, now: timedelta, replicas: Collection[str]) -> None:
        """Keep only what is listed, and what counts."""
        for replica in [replica for replica in self.replicas if replica not in replicas]:
            del self.replicas[replica]
        for backlog in self.replicas.values():
            for prefill in [prefill for prefill, expected in backlog.reading.items() if now >= expected.counts_until]:
                del backlog.reading[prefill]


class OngoingPrefill(NamedTuple):
    """A prompt of this daemon that is being read at a replica; `holder` has its backlog, and knows the prompt by its number."""

    replica: str
    holder: str
    number: int


class BacklogQuery:
    """One request's query for the backlogs of two replicas.

    :ivar replicas: in the order of preference.
    :ivar costs: replica to the tokens that its backlog's holder answered.
    :ivar deadline: the first replica is taken then, whatever was answered.
    """

    __slots__ = ("replicas", "costs", "deadline")

    def __init__(self, replicas: tuple[str, ...], deadline: timedelta) -> None:
        self.replicas = replicas
        self.costs: dict[str, int] = {}
        self.deadline = deadline

    @property
    def is_complete(self) -> bool:
        """Whether all answers are there."""
        return len(self.costs) == len(self.replicas)

    def on_answer(self, replica: str, cost: int) -> bool:
        """Take an answer; whether all are there."""
        if replica in self.replicas:
            self.costs[replica] = cost
        return self.is_complete

    def best(self) -> str:
        """The replica with least to read; the first of them while an answer lacks."""
        if not self.is_complete:
            return self.replicas[0]
        return min(self.replicas, key=lambda replica: (self.costs[replica], self.replicas.index(replica)))
