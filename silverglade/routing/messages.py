"""The messages between routers about prefill backlogs, one class a kind (design 15.11). All are advice.

On the wire each is an array of its kind and its fields in the order given here (transport/message_schemas.py checks the shapes
of all kinds before any component sees them). `decode` checks a body once; behind it messages are matched by class.
"""

from __future__ import annotations

from typing import Any, NamedTuple

SharedParts = tuple[tuple[str, int], ...]
"""The parts of a prompt that other requests share, (id, tokens) each, in order."""


class BacklogRequest(NamedTuple):
    """Asks the holder of a replica's backlog what would be read there until this prompt's first token."""

    number: int
    replica: str
    shared: SharedParts
    own_tokens: int


class BacklogReply(NamedTuple):
    """Answers a `BacklogRequest`: so many tokens."""

    number: int
    replica: str
    tokens: int


class PrefillStarted(NamedTuple):
    """A prompt was sent to the replica, to be read there."""

    replica: str
    number: int
    shared: SharedParts
    own_tokens: int


class PrefillEnded(NamedTuple):
    """The prompt's first token came, or the attempt is over."""

    replica: str
    number: int


PrefillMessage = BacklogRequest | BacklogReply | PrefillStarted | PrefillEnded

KINDS: dict[str, type[PrefillMessage]] = {
    "load-ask": BacklogRequest,
    "load-told": BacklogReply,
    "load-put": PrefillStarted,
    "load-read": PrefillEnded,
}
NAMES: dict[type[PrefillMessage], str] = {message_class: name for name, message_class in KINDS.items()}


def encode(message: PrefillMessage) -> tuple[Any, ...]:
    """The array that travels."""
    return (NAMES[type(message)], *message)


def decode(body: tuple[Any, ...]) -> PrefillMessage | None:
    """The message of a body; None for another kind, or one that is not well formed."""
    message_class = KINDS.get(body[0])
    if message_class is None or len(body) != 1 + len(message_class._fields):
        return None
    message = message_class(*body[1:])
    if isinstance(message, BacklogRequest | PrefillStarted) and not is_prompt(message.shared, message.own_tokens):
        return None
    return message


def is_prompt(shared: SharedParts, own_tokens: int) -> bool:
    """Whether a prompt's shared parts and the tokens of its own are as a message should bring them."""
    return own_tokens >= 0 and all(
        type(part) is tuple and len(part) == 2 and type(part[0]) is str and type(part[1]) is int and part[1] >= 0 for part in shared
    )
