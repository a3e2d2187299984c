"""One daemon's side of placing long prompts (design 15.11): whom it asks, what it tells the ledgers' holders, what it holds itself.

Messages between daemons, all advice:
  ("load-ask", number, replica, shared parts, own tokens)   what is there to read?
  ("load-told", number, replica, tokens)                     the answer
  ("load-put", replica, number, shared parts, own tokens)    a prompt was sent there
  ("load-read", replica, number)                             its first token came, or it is over
"""

from datetime import timedelta

from ..runtime.effects import send
from .health_checks import prober
from .prefill_backlog import Ledger, Lengths, Prompt, Question, prompt_of, sound_parts

ANSWER_WITHIN = timedelta(milliseconds=30)  # a holder's answer; it is of the own region
SILENT_FOR = timedelta(seconds=2)  # a holder that did not answer is not asked for so long
CHOICES = 2  # replicas whose ledgers are asked


class Placement:
    """replicas are objects with `id`, `region` and `cold`; `rooms` is service -> tokens that a replica's memory holds."""

    def __init__(self, *, me, region, enabled=True):
        self.me, self.region, self.enabled = me, region, enabled
        self.ledger, self.lengths = Ledger(), Lengths()
        self.live, self.holders = (), {}  # live: ((daemon, region), ...) of those that forward
        self.silent = {}  # holder -> until when it is not asked
        self.asked = {}  # number -> the request that asks
        self.rooms = {}
        self.number = 0

    def known(self, live):
        """The daemons that forward requests: ((daemon, region), ...)."""
        live = tuple(sorted(live))
        if live != self.live:
            self.live, self.holders = live, {}

    def holder(self, replica):
        """Who holds the replica's ledger: its prober."""
        if replica.id not in self.holders:
            self.holders[replica.id] = prober(replica.id, replica.region, self.live)
        return self.holders[replica.id]

    def came(self, request):
        """A request arrived: is its prompt a long one?"""
        facts = request.f
        if not self.enabled or not request.route["by_prefix"] or not facts["tokens"]:
            return
        prompt = prompt_of(facts["prefix"], facts["tokens"])
        if self.lengths.long(request.service, prompt.tokens):
            request.prompt = prompt

    # before a prompt is sent
    def ask(self, now, request, order):
        """Ask the ledgers of the first replicas of this order -> (messages, is an answer waited for?)."""
        two = order[:CHOICES]
        if request.prompt is None or request.question or len(two) < CHOICES:
            return (), False
        if any(r.region != self.region or now < r.cold or not self.may_ask(now, self.holder(r)) for r in two):
            return (), False
        request.question = Question(tuple(r.id for r in two), now + ANSWER_WITHIN)
        out = []
        for r in two:
            if self.holder(r) == self.me:
                request.question.answered(r.id, self.ledger.cost(now, r.id, request.prompt))
                continue
            self.number += 1
            self.asked[self.number] = (request, self.holder(r))
            out.append(send(self.holder(r), "load-ask", self.number, r.id, request.prompt.shared, request.prompt.own))
        return out, bool(out)

    def may_ask(self, now, holder):
        return holder is not None and now >= self.silent.get(holder, now)

    def overdue(self, now):
        """-> the requests whose answers did not come in time; those who did not answer are left alone for a while."""
        late = []
        for number, (request, holder) in list(self.asked.items()):
            if now >= request.question.until:
                del self.asked[number]
                self.silent[holder] = now + SILENT_FOR
                if request not in late:
                    late.append(request)
        return late

    def preferred(self, request, order):
        """The order with the replica first whose ledger says least."""
        question = request.question
        if question is None or len(question.costs) < len(question.replicas):
            return order
        best = question.best()
        return sorted(order, key=lambda r: r.id != best)

    # once it is sent
    def sent(self, now, request, replica):
        """-> messages: the prompt is to be read there."""
        if request.prompt is None or replica.region != self.region or (holder := self.holder(replica)) is None:
            return ()
        self.number += 1
        request.reading = (replica.id, holder, self.number)
        if holder == self.me:
            self.ledger.put(now, replica.id, self.me, self.number, request.prompt, self.rooms.get(request.service, 0))
            return ()
        return (send(holder, "load-put", replica.id, self.number, request.prompt.shared, request.prompt.own),)

    def read(self, request):
        """-> messages: it is read, or nothing more will be."""
        if request.reading is None:
            return ()
        replica, holder, number = request.reading
        request.reading = None
        if holder == self.me:
            self.ledger.read(replica, self.me, number)
            return ()
        return (send(holder, "load-read", replica, number),)

    # what others say
    def heard(self, now, frm, body, replicas):
        """A message of another daemon -> (messages, a request that has all its answers or None). replicas: {id: replica}."""
        match body:
            case ("load-ask", number, replica, shared, own) if replica in replicas and own >= 0 and sound_parts(shared):
                return (send(frm, "load-told", number, replica, self.ledger.cost(now, replica, Prompt(shared, own))),), None
            case ("load-told", number, replica, cost) if number in self.asked and self.asked[number][1] == frm:
                request, _ = self.asked.pop(number)
                return (), request if request.question.answered(replica, cost) else None
            case ("load-put", replica, number, shared, own) if replica in replicas and own >= 0 and sound_parts(shared):
                room = self.rooms.get(replicas[replica].service, 0)
                self.ledger.put(now, replica, frm, number, Prompt(shared, own), room)
            case ("load-read", replica, number):
                self.ledger.read(replica, frm, number)
        return (), None

    def tidy(self, now, replicas):
        self.ledger.tidy(now, replicas)
        for i in [i for i in self.holders if i not in replicas]:
            del self.holders[i]
        for i in [i for i, until in self.silent.items() if now >= until]:
            del self.silent[i]
