"""What a model's world is made of: cores, messages in flight, and what a core's effects come to."""

from typing import NamedTuple

OPERATOR, DAEMON = "operator", "daemon"
MOST_BEATS = 4  # heartbeats from one core to another in one action; those beyond are lost
ATTEMPTS = 100  # an attempt's number is that of its call times this, and that of the sending


class Node(NamedTuple):
    """A core, up or down, with its disk."""

    state: int  # the machine's number, -1 while it is down
    life: int
    disk: str  # the disk's id
    data: int  # the machine's number of what is on it
    queue: tuple = ()  # writes under way: (token, number of the writes)
    frozen: int = -1  # the tick since when it stands still
    epoch: int = 0  # of the newest view that it said it knows
    opened: int = 0  # of the newest view that it opened in this life


class State(NamedTuple):
    """Everything. Fields that are numbers stand for interned records, so that states are small and quick to hash."""

    tick: int
    nodes: tuple  # numbers of Nodes, in the order of names
    flight: tuple  # numbers of messages, each once
    late: tuple  # of those, held back; and names of cores whose disk is slow
    cuts: tuple  # (sender, receiver) whose heartbeats are lost
    history: int  # number of a History
    spent: tuple  # of each budget, in the order of BUDGETS
    touched: int  # cores that the last action reached, a bit each: only after that can trouble at them differ


BUDGETS = ("ticks", "crashes", "losses", "cuts", "freezes", "holds", "repeats", "calls")


class Interned:
    """Records by number."""

    def __init__(self):
        self.records, self.numbers = [], {}

    def number(self, record):
        n = self.numbers.get(record)
        if n is None:
            n = self.numbers[record] = len(self.records)
            self.records.append(record)
        return n

    def __getitem__(self, n):
        return self.records[n]


class Message(NamedTuple):
    """A message in flight, named by a digest of its body; bodies hold dictionaries and are kept apart."""

    sender: str
    to: str
    kind: str
    digest: str


class Letter(NamedTuple):
    """A core sends a message, by its number; a heartbeat passes at once."""

    to: str
    message: int
    beat: bool


class Answer(NamedTuple):
    """A core answers an operator."""

    attempt: int
    answer: tuple


class Write(NamedTuple):
    """A core writes: the batch, by its number, and what it is told by when that is synced."""

    token: tuple
    batch: int


class Learnt(NamedTuple):
    """A core takes a view for chosen."""

    epoch: int
    members: tuple


class Opened(NamedTuple):
    """A primary opens its view."""

    epoch: int


class News(NamedTuple):
    """What a core tells a daemon; age in milliseconds, -1 without a proof."""

    version: tuple
    number: int
    age: int


class InapplicableError(Exception):
    """An action of a script cannot be taken here."""
