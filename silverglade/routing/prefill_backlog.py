"""Prefill backlogs: the tokens waiting for prefill at each replica, tracked by one daemon per replica (design 15.11).

The prefill of a long prompt delays all other requests at its replica: streams pause, and prompts that arrive meanwhile wait. In a
large fleet each daemon sees only a small part of a replica's requests, so none can tell which replica is busy with prefill. One
daemon per replica, its health checker, holds its backlog: the prompts sent there by all daemons that have no first token yet, and
the prompt parts that were sent recently and so are probably in its prefix cache. Before a daemon sends a long prompt, it queries
the backlogs of the first two replicas in its order and uses the one with less to prefill. The answers are advisory: without them
the first replica is used.

Pure state, as in outlier_ejection.py.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Sequence
from datetime import timedelta
from typing import NamedTuple

from .messages import SharedParts

PREFILL_EXPIRY = timedelta(seconds=4)
"""A prompt whose prefill is never reported as ended is dropped after this time."""
MAX_CACHED_PARTS = 4096
"""Maximum number of cached parts tracked per replica, whatever its memory."""
REQUESTS_PER_MEAN = 32
"""Number of requests over which the moving average of prompt lengths is taken."""


class Prompt(NamedTuple):
    """The size of a request's prompt.

    :ivar shared: its shared parts, (id, tokens) each, in order.
    :ivar own_tokens: number of tokens after the shared parts.
    """

    shared: SharedParts
    own_tokens: int

    @property
    def tokens(self) -> int:
        """Total number of tokens."""
        return self.own_tokens + sum(tokens for _, tokens in self.shared)


def prompt_of(prefix: Sequence[tuple[str, int]], tokens: tuple[int, int] | None) -> Prompt:
    """Build the prompt of a request.

    :param prefix: (id, tokens) of each part; the last part is the request's own.
    :param tokens: tokens of the prompt and the maximum of the response; None if unknown.
    """
    shared = tuple(prefix[:-1])
    total = tokens[0] if tokens else sum(part_tokens for _, part_tokens in prefix)
    return Prompt(shared, max(0, total - sum(part_tokens for _, part_tokens in shared)))


class PromptLengths:
    """Moving average of each service's prompt lengths at this daemon; a prompt above it counts as long."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}

    def is_long(self, service: str, tokens: int) -> bool:
        """Add a prompt to the average, and return whether it is long."""
        mean = self.means.setdefault(service, float(tokens))
        self.means[service] = mean + (tokens - mean) / REQUESTS_PER_MEAN
        return tokens > mean


class PrefillId(NamedTuple):
    """Identifies a prompt in prefill: the daemon that sent it, and its number there."""

    daemon: str
    number: int


class ExpectedPrefill(NamedTuple):
    """Uncached tokens of a prompt in prefill, and when the entry expires if the end of prefill is not reported."""

    tokens: int
    expires_at: timedelta


class ReplicaBacklog:
    """Prefill backlog and estimated prefix cache of one replica.

    :ivar prefills: prompts in prefill or waiting for it.
    :ivar cached: parts that are probably in its prefix cache: id to tokens, least recently used first.
    :ivar cached_tokens: total tokens of these parts.
    """

    __slots__ = ("prefills", "cached", "cached_tokens")

    def __init__(self) -> None:
        self.prefills: dict[PrefillId, ExpectedPrefill] = {}
        self.cached: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0

    def uncached_tokens(self, prompt: Prompt) -> int:
        """Return the prompt's tokens that need prefill: a part counts as cached only if all parts before it are."""
        cached = 0
        for part, tokens in prompt.shared:
            if part not in self.cached:
                break
            cached += tokens
        return prompt.tokens - cached

    def add_to_cache(self, prompt: Prompt, capacity: int) -> None:
        """Mark the prompt's shared parts as cached, and evict the least recently used parts beyond the capacity.

        :param capacity: tokens that fit in the replica's memory; 0 if unknown.
        """
        for part, tokens in prompt.shared:
            self.cached_tokens += tokens - self.cached.get(part, 0)
            self.cached[part] = tokens
            self.cached.move_to_end(part)
        while self.cached and (len(self.cached) > MAX_CACHED_PARTS or capacity and self.cached_tokens > capacity):
            self.cached_tokens -= self.cached.popitem(last=False)[1]


class PrefillBacklogs:
    """The prefill backlogs that this daemon holds, by replica id."""

    def __init__(self) -> None:
        self.replicas: dict[str, ReplicaBacklog] = {}

    def cost(self, now: timedelta, replica: str, prompt: Prompt) -> int:
        """Return the tokens to prefill there before this prompt's first token: the backlog and the prompt's own uncached tokens."""
        backlog = self.replicas.get(replica)
        if backlog is None:
            return prompt.tokens
        waiting = sum(expected.tokens for expected in backlog.prefills.values() if now < expected.expires_at)
        return waiting + backlog.uncached_tokens(prompt)

    def add(self, now: timedelta, replica: str, prefill: PrefillId, prompt: Prompt, capacity: int) -> None:
        """Add a prompt that was sent to the replica.

        :param capacity: tokens that fit in the replica's memory; 0 if unknown.
        """
        backlog = self.replicas.setdefault(replica, ReplicaBacklog())
        backlog.prefills[prefill] = ExpectedPrefill(backlog.uncached_tokens(prompt), now + PREFILL_EXPIRY)
        backlog.add_to_cache(prompt, capacity)

    def remove(self, replica: str, prefill: PrefillId) -> None:
        """Remove a prompt whose first token arrived or whose attempt ended."""
        backlog = self.replicas.get(replica)
        if backlog is not None:
            backlog.prefills.pop(prefill, None)

    def expire(self, now: timedelta, replicas: Collection[str]) -> None:
        """Drop the backlogs of unlisted replicas and expired prompts."""
        for replica in [replica for replica in self.replicas if replica not in replicas]:
            del self.replicas[replica]
        for backlog in self.replicas.values():
            for prefill in [prefill for prefill, expected in backlog.prefills.items() if now >= expected.expires_at]:
                del backlog.prefills[prefill]


class OngoingPrefill(NamedTuple):
    """A prompt of this daemon in prefill at a replica; the daemon `holder` tracks it in the replica's backlog by its number."""

    replica: str
    holder: str
    number: int


class BacklogQuery:
    """One request's query for the backlogs of two replicas.

    :ivar replicas: ids in order of preference.
    :ivar costs: replica to the number of tokens in the holder's reply.
    :ivar deadline: when the request is sent without waiting for further replies.
    """

    __slots__ = ("replicas", "costs", "deadline")

    def __init__(self, replicas: tuple[str, ...], deadline: timedelta) -> None:
        self.replicas = replicas
        self.costs: dict[str, int] = {}
        self.deadline = deadline

    @property
    def is_complete(self) -> bool:
        """Whether all replies have arrived."""
        return len(self.costs) == len(self.replicas)

    def on_answer(self, replica: str, cost: int) -> bool:
        """Record a reply, and return whether all replies have arrived."""
        if replica in self.replicas:
            self.costs[replica] = cost
        return self.is_complete

    def best(self) -> str:
        """Return the replica with the fewest tokens to prefill; the first replica while a reply is missing."""
        if not self.is_complete:
            return self.replicas[0]
        return min(self.replicas, key=lambda replica: (self.costs[replica], self.replicas.index(replica)))
