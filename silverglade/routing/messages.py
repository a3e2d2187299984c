"""Messages between routers about prefill backlogs, one class per kind (design 15.11). All of them are advisory.

On the wire each message is an array of its kind and its fields in the order given here. transport/message_schemas.py checks the
shapes of all kinds before any component receives them. `decode` validates a body once; after that messages are matched by class.
"""

from __future__ import annotations

from typing import Any, NamedTuple

SharedParts = tuple[tuple[str, int], ...]
"""The parts of a prompt that are shared with other requests, (id, tokens) each, in order."""


class BacklogRequest(NamedTuple):
    """Asks the holder of a replica's backlog how many tokens would be prefilled there before this prompt's first token."""

    number: int
    replica: str
    shared: SharedParts
    own_tokens: int


class BacklogReply(NamedTuple):
    """Answers a `BacklogRequest` with the number of tokens."""

    number: int
    replica: str
    tokens: int


class PrefillStarted(NamedTuple):
    """Reports that a prompt was sent to the replica."""

    replica: str
    number: int
    shared: SharedParts
    own_tokens: int


class PrefillEnded(NamedTuple):
    """Reports that the prompt's first token arrived or its attempt ended."""

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
    """Return the message as an array for the wire."""
    return (NAMES[type(message)], *message)


def decode(body: tuple[Any, ...]) -> PrefillMessage | None:
    """Return the message of a body; None if its kind is unknown or it is malformed."""
    message_class = KINDS.get(body[0])
    if message_class is None or len(body) != 1 + len(message_class._fields):
        return None
    message = message_class(*body[1:])
    if isinstance(message, BacklogRequest | PrefillStarted) and not is_prompt(message.shared, message.own_tokens):
        return None
    return message


def is_prompt(shared: SharedParts, own_tokens: int) -> bool:
    """Return whether the shared parts and own tokens of a received prompt are valid."""
    return own_tokens >= 0 and all(
        type(part) is tuple and len(part) == 2 and type(part[0]) is str and type(part[1]) is int and part[1] >= 0 for part in shared
    )
