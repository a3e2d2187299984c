"""Where a long prompt is read: what waits to be read at each replica, known by one daemon a replica (design 15.11).

Reading a long prompt holds up everybody else at its replica: streams pause, and prompts that come meanwhile wait. In a large fleet
each daemon sees a small part of what goes to a replica, so none can tell which one is reading. One daemon a replica, its prober,
holds a ledger: what the others have sent there to be read and hasn't been answered yet, and which parts of prompts were sent
lately, so that they are likely to be kept. Before a daemon sends a long prompt it asks the ledgers of the first two replicas in its
order what there is to read, and takes the one with less. It is advice only: without an answer the first goes.

Pure state, as in suspicion.py.
"""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

FORGOTTEN_AFTER = timedelta(seconds=4)  # what was sent and never reported as read counts for so long
MOST_PARTS = 4096  # parts remembered of one replica, whatever its memory
SMOOTHING = 32  # requests over which the mean length of prompts is taken


class Prompt(NamedTuple):
    """What a request's prompt takes to read: its shared parts, (id, tokens) in order, and the tokens of its own."""

    shared: tuple
    own: int

    @property
    def tokens(self):
        return self.own + sum(tokens for _, tokens in self.shared)


def prompt_of(prefix, tokens):
    """prefix: ((id, tokens), ...), the last part the request's own; tokens: (of the prompt, most out) or None."""
    shared = tuple(prefix[:-1])
    total = tokens[0] if tokens else sum(n for _, n in prefix)
    return Prompt(shared, max(0, total - sum(n for _, n in shared)))


class Lengths:
    """The mean length of a service's prompts, as this daemon meets them: what is longer is long."""

    def __init__(self):
        self.means = {}

    def long(self, service, tokens):
        """Count one; is it among the long ones?"""
        mean = self.means.setdefault(service, float(tokens))
        self.means[service] = mean + (tokens - mean) / SMOOTHING
        return tokens > mean


class Book:
    """What is known of one replica. reading: (daemon, number) -> (tokens, until when it counts); kept: part -> tokens, oldest first."""

    __slots__ = ("reading", "kept", "size")

    def __init__(self):
        self.reading, self.kept, self.size = {}, OrderedDict(), 0

    def missing(self, prompt):
        """Tokens that are to be read: parts count as kept while all before them are."""
        kept = 0
        for part, tokens in prompt.shared:
            if part not in self.kept:
                break
            kept += tokens
        return prompt.tokens - kept

    def keep(self, prompt, room):
        for part, tokens in prompt.shared:
            self.size += tokens - self.kept.get(part, 0)
            self.kept[part] = tokens
            self.kept.move_to_end(part)
        while self.kept and (len(self.kept) > MOST_PARTS or room and self.size > room):
            self.size -= self.kept.popitem(last=False)[1]


class Ledger:
    """The books of the replicas that this daemon is asked about."""

    def __init__(self):
        self.books = {}

    def cost(self, now, replica, prompt):
        """-> tokens that would be read there until this prompt's first token: those of others, and its own that are not kept."""
        book = self.books.get(replica)
        if book is None:
            return prompt.tokens
        return sum(tokens for tokens, until in book.reading.values() if now < until) + book.missing(prompt)

    def put(self, now, replica, daemon, number, prompt, room):
        """The daemon sent it there. room: tokens that the replica's memory holds, 0 if it isn't known."""
        book = self.books.setdefault(replica, Book())
        book.reading[daemon, number] = (book.missing(prompt), now + FORGOTTEN_AFTER)
        book.keep(prompt, room)

    def read(self, replica, daemon, number):
        """Its first token came, or it is over."""
        book = self.books.get(replica)
        if book is not None:
            book.reading.pop((daemon, number), None)

    def tidy(self, now, replicas):
        """Keep what is listed, and what counts."""
        for i in [i for i in self.books if i not in replicas]:
            del self.books[i]
        for book in self.books.values():
            for key in [key for key, (_, until) in book.reading.items() if now >= until]:
                del book.reading[key]


class Question:
    """One request's question to two ledgers: the replicas in the order of preference, and what was answered."""

    __slots__ = ("replicas", "costs", "until")

    def __init__(self, replicas, until):
        self.replicas, self.costs, self.until = replicas, {}, until

    def answered(self, replica, cost):
        """-> are all answers there?"""
        if replica in self.replicas:
            self.costs[replica] = cost
        return len(self.costs) == len(self.replicas)

    def best(self):
        """The replica with least to read; the first of them while an answer lacks."""
        if len(self.costs) < len(self.replicas):
            return self.replicas[0]
        return min(self.replicas, key=lambda i: (self.costs[i], self.replicas.index(i)))


def sound_parts(parts):
    """Are these shared parts as a message should bring them?"""
    return all(type(p) is tuple and len(p) == 2 and type(p[0]) is str and type(p[1]) is int and p[1] >= 0 for p in parts)
