"""One daemon's side of placing long prompts (design 15.11): which backlogs it asks for, what it reports, and what it holds itself."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol, TypeVar

from ..runtime.effects import Send
from .health_checks import LiveDaemon, health_checker
from .messages import BacklogReply, BacklogRequest, PrefillEnded, PrefillMessage, PrefillStarted, encode
from .prefill_backlog import BacklogQuery, OngoingPrefill, PrefillBacklogs, PrefillId, Prompt, PromptLengths, prompt_of
from .replicas import ReplicaState
from .request import Request

ANSWER_WITHIN = timedelta(milliseconds=30)
"""A holder's answer; it is of the own region."""
SILENT_FOR = timedelta(seconds=2)
"""A holder that did not answer is not asked for so long."""
CHOICES = 2
"""Replicas whose backlogs are asked for."""


class ReplicaOfService(Protocol):
    """A replica, as far as a message about it needs it."""

    @property
    def service(self) -> str:
        """The service that it belongs to."""


AnyReplica = TypeVar("AnyReplica", bound=ReplicaState)


class OpenQuery(NamedTuple):
    """A `BacklogRequest` without an answer: for which request, and whom it was sent to."""

    request: Request
    holder: str


def message_to(daemon: str, message: PrefillMessage) -> Send:
    """The effect that sends a message."""
    return Send(daemon, encode(message))


class PrefillPlacement:
    """Where long prompts are read.

    :ivar own_name: this daemon.
    :ivar region: its region; no other region's backlogs are asked for.
    :ivar is_enabled: whether anything is asked for at all.
    :ivar backlogs: those that this daemon holds.
    :ivar lengths: of the prompts that it meets.
    :ivar live: the daemons that forward requests, sorted.
    :ivar holders: replica to the daemon that holds its backlog.
    :ivar silent_until: holder to until when it is not asked.
    :ivar open_queries: number of a message to what waits for its answer.
    :ivar cache_sizes: service to the tokens that its replicas' memory holds.
    :ivar last_number: of the messages that this daemon has sent.
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
        """Take the daemons that forward requests."""
        live = tuple(sorted(live))
        if live != self.live:
            self.live = live
            self.holders = {}

    def holder_of(self, replica: ReplicaState) -> str | None:
        """The daemon that holds the replica's backlog: its health checker."""
        if replica.id not in self.holders:
            self.holders[replica.id] = health_checker(replica.id, replica.region, self.live)
        return self.holders[replica.id]

    def on_request(self, request: Request) -> None:
        """Note a request that arrived, and its prompt if that is a long one."""
        facts = request.facts
        if not self.is_enabled or not request.route["by_prefix"] or not facts["tokens"]:
            return
        prompt = prompt_of(facts["prefix"], facts["tokens"])
        if self.lengths.is_long(request.service, prompt.tokens):
            request.prompt = prompt

    # before a prompt is sent

    def ask(self, now: timedelta, request: Request, order: Sequence[ReplicaState]) -> list[Send]:
        """Ask for the backlogs of the first replicas of this order.

        :returns: the messages; an answer is waited for if there are any.
        """
        prompt, choices = request.prompt, order[:CHOICES]
        if prompt is None or request.backlog_query or len(choices) < CHOICES:
            return []
        if any(not self.may_ask_about(now, replica) for replica in choices):
            return []
        query = request.backlog_query = BacklogQuery(tuple(replica.id for replica in choices), now + ANSWER_WITHIN)
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
        """Whether the replica's backlog may be asked for: its holder answers, and it stands here and bears everything."""
        if replica.region != self.region or now < replica.slow_start_until:
            return False
        holder = self.holder_of(replica)
        return holder is not None and now >= self.silent_until.get(holder, now)

    def overdue(self, now: timedelta) -> list[Request]:
        """The requests whose answers did not come in time; those who did not answer are left alone for a while."""
        late: list[Request] = []
        for number, (request, holder) in list(self.open_queries.items()):
            if request.backlog_query is not None and now >= request.backlog_query.deadline:
                del self.open_queries[number]
                self.silent_until[holder] = now + SILENT_FOR
                if request not in late:
                    late.append(request)
        return late

    def preferred(self, request: Request, order: list[AnyReplica]) -> list[AnyReplica]:
        """The order with the replica first that has least to read."""
        query = request.backlog_query
        if query is None or not query.is_complete:
            return order
        best = query.best()
        return sorted(order, key=lambda replica: replica.id != best)

    # once it is sent

    def on_sent(self, now: timedelta, request: Request, replica: ReplicaState) -> Send | None:
        """Note that the prompt is to be read there; a message if another daemon holds the backlog."""
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

    def on_read(self, request: Request) -> Send | None:
        """Note that the prompt is read, or nothing more of it will be; a message if another daemon holds the backlog."""
        if request.prefill is None:
            return None
        replica, holder, number = request.prefill
        request.prefill = None
        if holder != self.own_name:
            return message_to(holder, PrefillEnded(replica, number))
        self.backlogs.remove(replica, PrefillId(self.own_name, number))
        return None

    # what others say

    def on_backlog_request(self, now: timedelta, sender: str, message: BacklogRequest) -> Send:
        """Answer another daemon."""
        cost = self.backlogs.cost(now, message.replica, Prompt(message.shared, message.own_tokens))
        return message_to(sender, BacklogReply(message.number, message.replica, cost))

    def on_backlog_reply(self, sender: str, message: BacklogReply) -> Request | None:
        """Take an answer; the request that has all its answers now, or None."""
        query = self.open_queries.get(message.number)
        if query is None or query.holder != sender:
            return None
        del self.open_queries[message.number]
        request = query.request
        if request.backlog_query is not None and request.backlog_query.on_answer(message.replica, message.tokens):
            return request
        return None

    def on_prefill_started(self, now: timedelta, sender: str, message: PrefillStarted, replica: ReplicaOfService) -> None:
        """Note that another daemon sent the replica a prompt."""
        prefill = PrefillId(sender, message.number)
        prompt = Prompt(message.shared, message.own_tokens)
        self.backlogs.add(now, message.replica, prefill, prompt, self.cache_sizes.get(replica.service, 0))

    def on_prefill_ended(self, sender: str, message: PrefillEnded) -> None:
        """Note that another daemon's prompt is read, or over."""
        self.backlogs.remove(message.replica, PrefillId(sender, message.number))

    def expire(self, now: timedelta, replicas: Collection[str]) -> None:
        """Forget what is not listed any more, and what has grown old."""
        self.backlogs.expire(now, replicas)
        for replica in [replica for replica in self.holders if replica not in replicas]:
            del self.holders[replica]
        for holder in [holder for holder, until in self.silent_until.items() if now >= until]:
            del self.silent_until[holder]
