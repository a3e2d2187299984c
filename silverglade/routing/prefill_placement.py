"""Placement of long prompts by one daemon (design 15.11): the backlogs that it queries, reports to and holds itself."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol, TypeVar

from ..runtime.effects import Send
from ..runtime.outside_input import MAX_SENT_INTEGER
from .health_checks import LiveDaemon, health_checker
from .messages import BacklogReply, BacklogRequest, PrefillEnded, PrefillMessage, PrefillStarted, encode
from .prefill_backlog import BacklogQuery, OngoingPrefill, PrefillBacklogs, PrefillId, Prompt, PromptLengths, prompt_of
from .replicas import ReplicaState
from .request import Request

REPLY_TIMEOUT = timedelta(milliseconds=30)
"""Time-out of a holder's reply; the holder is in the local region."""
UNRESPONSIVE_HOLDER_BACKOFF = timedelta(seconds=2)
"""For how long a holder is not queried after it did not reply in time."""
REPLICAS_PER_QUERY = 2
"""Number of replicas whose backlogs are queried."""


class ReplicaOfService(Protocol):
    """The attribute of a replica that messages about it need."""

    @property
    def service(self) -> str:
        """The service that the replica serves."""


AnyReplica = TypeVar("AnyReplica", bound=ReplicaState)


class OpenQuery(NamedTuple):
    """A `BacklogRequest` without a reply: the request that it is for, and the daemon that it was sent to."""

    request: Request
    holder: str


def message_to(daemon: str, message: PrefillMessage) -> Send:
    """Return the effect that sends a message."""
    return Send(daemon, encode(message))


class PrefillPlacement:
    """Chooses where long prompts are prefilled.

    :ivar own_name: name of this daemon.
    :ivar region: its region; backlogs of other regions are not queried.
    :ivar is_enabled: whether backlogs are queried at all.
    :ivar backlogs: the backlogs that this daemon holds.
    :ivar lengths: average prompt lengths at this daemon.
    :ivar live: the daemons that forward requests, sorted.
    :ivar holders: replica to the daemon that holds its backlog (cache).
    :ivar silent_until: holder to until when it is not queried.
    :ivar open_queries: message number to the query that waits for a reply.
    :ivar cache_sizes: service to the tokens that fit in the memory of one of its replicas.
    :ivar last_number: number of the latest message sent by this daemon.
    """

    def __init__(self, *, own_name: str, region: str, is_enabled: bool = True) -> None:
        self.own_name = own_name
        self.region = region
        self.is_enabled = is_enabled
        self.backlogs = PrefillBacklogs()
        self.lengths = PromptLengths()
        self.live: tuple[LiveDaemon, ...] = ()
        self.holders: dict[str, str | None] = {}
        self.silent_until: dict[str, timedelta] = {}
        self.open_queries: dict[int, OpenQuery] = {}
        self.cache_sizes: Mapping[str, int] = {}
        self.last_number = 0

    def set_live_daemons(self, live: Iterable[LiveDaemon]) -> None:
        """Set the live daemons that forward requests."""
        live = tuple(sorted(live))
        if live != self.live:
            self.live = live
            self.holders = {}

    def holder_of(self, replica: ReplicaState) -> str | None:
        """Return the daemon that holds the replica's backlog: its health checker."""
        if replica.id not in self.holders:
            self.holders[replica.id] = health_checker(replica.id, replica.region, self.live)
        return self.holders[replica.id]

    def on_request(self, request: Request) -> None:
        """Count the prompt length of a new request; set `request.prompt` if it is long."""
        facts = request.facts
        if not self.is_enabled or not request.route["by_prefix"] or not facts["tokens"]:
            return
        prompt = prompt_of(facts["prefix"], facts["tokens"])
        if self.lengths.is_long(request.service, prompt.tokens):
            request.prompt = prompt

    # queries before a prompt is sent

    def ask(self, now: timedelta, request: Request, order: Sequence[ReplicaState]) -> list[Send]:
        """Query the backlogs of the first replicas in this order.

        :returns: the messages to send; if there are any, the request must wait for the replies.
        """
        prompt, choices = request.prompt, order[:REPLICAS_PER_QUERY]
        if prompt is None or request.backlog_query or len(choices) < REPLICAS_PER_QUERY:
            return []
        if any(not self.may_ask_about(now, replica) for replica in choices):
            return []
        query = request.backlog_query = BacklogQuery(tuple(replica.id for replica in choices), now + REPLY_TIMEOUT)
        messages = []
        for replica in choices:
            holder = self.holder_of(replica)
            if holder is None or holder == self.own_name:
                query.on_answer(replica.id, self.backlogs.cost(now, replica.id, prompt))
                continue
            self.last_number += 1
            self.open_queries[self.last_number] = OpenQuery(request, holder)
            messages.append(message_to(holder, BacklogRequest(self.last_number, replica.id, prompt.shared, prompt.own_tokens)))
        return messages

    def may_ask_about(self, now: timedelta, replica: ReplicaState) -> bool:
        """Return whether the replica's backlog may be queried: its holder replies, and it is local and not in slow start."""
        if replica.region != self.region or now < replica.slow_start_until:
            return False
        holder = self.holder_of(replica)
        return holder is not None and now >= self.silent_until.get(holder, now)

    def overdue(self, now: timedelta) -> list[Request]:
        """Return the requests whose replies are overdue; the holders that did not reply are not queried for a while."""
        late: list[Request] = []
        for number, (request, holder) in list(self.open_queries.items()):
            if request.backlog_query is not None and now >= request.backlog_query.deadline:
                del self.open_queries[number]
                self.silent_until[holder] = now + UNRESPONSIVE_HOLDER_BACKOFF
                if request not in late:
                    late.append(request)
        return late

    def preferred(self, request: Request, order: list[AnyReplica]) -> list[AnyReplica]:
        """Return the order with the replica that has the fewest tokens to prefill moved to the front."""
        query = request.backlog_query
        if query is None or not query.is_complete:
            return order
        best = query.best()
        return sorted(order, key=lambda replica: replica.id != best)

    # reports after a prompt is sent

    def on_sent(self, now: timedelta, request: Request, replica: ReplicaState) -> Send | None:
        """Add the prompt to the replica's backlog; return the message to its holder if that is another daemon."""
        prompt = request.prompt
        if prompt is None or replica.region != self.region:
            return None
        holder = self.holder_of(replica)
        if holder is None:
            return None
        self.last_number += 1
        number = self.last_number
        request.prefill = OngoingPrefill(replica.id, holder, number)
        if holder != self.own_name:
            return message_to(holder, PrefillStarted(replica.id, number, prompt.shared, prompt.own_tokens))
        cache_size = self.cache_sizes.get(request.service, 0)
        self.backlogs.add(now, replica.id, PrefillId(self.own_name, number), prompt, cache_size)
        return None

    def end_prefill(self, request: Request) -> Send | None:
        """Remove the prompt from the backlog at its first token or the attempt's end.

        :returns: the message to the holder if that is another daemon, else None.
        """
        if request.prefill is None:
            return None
        replica, holder, number = request.prefill
        request.prefill = None
        if holder != self.own_name:
            return message_to(holder, PrefillEnded(replica, number))
        self.backlogs.remove(replica, PrefillId(self.own_name, number))
        return None

    # messages of other daemons

    def on_backlog_request(self, now: timedelta, sender: str, message: BacklogRequest) -> Send:
        """Reply to another daemon's query."""
        cost = self.backlogs.cost(now, message.replica, Prompt(message.shared, message.own_tokens))
        return message_to(sender, BacklogReply(message.number, message.replica, min(cost, MAX_SENT_INTEGER)))

    def on_backlog_reply(self, sender: str, message: BacklogReply) -> Request | None:
        """Record a reply; return its request if all replies have now arrived, else None."""
        query = self.open_queries.get(message.number)
        if query is None or query.holder != sender:
            return None
        del self.open_queries[message.number]
        request = query.request
        if request.backlog_query is not None and request.backlog_query.on_answer(message.replica, message.tokens):
            return request
        return None

    def on_prefill_started(self, now: timedelta, sender: str, message: PrefillStarted, replica: ReplicaOfService) -> None:
        """Add a prompt that another daemon sent to the replica."""
        prefill = PrefillId(sender, message.number)
        prompt = Prompt(message.shared, message.own_tokens)
        self.backlogs.add(now, message.replica, prefill, prompt, self.cache_sizes.get(replica.service, 0))

    def on_prefill_ended(self, sender: str, message: PrefillEnded) -> None:
        """Remove another daemon's prompt after its first token or the attempt's end."""
        self.backlogs.remove(message.replica, PrefillId(sender, message.number))

    def expire(self, now: timedelta, replicas: Collection[str]) -> None:
        """Drop the state of unlisted replicas and expired state."""
        self.backlogs.expire(now, replicas)
        for replica in [replica for replica in self.holders if replica not in replicas]:
            del self.holders[replica]
        for holder in [holder for holder, until in self.silent_until.items() if now >= until]:
            del self.silent_until[holder]
