"""Views and ballots as value types, and validation of those received from outside (design 5.2).

Both are sent and stored as plain arrays: `to_array` encodes them, `decode_view` and `decode_ballot` decode them.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from ..runtime.outside_input import is_sent_integer

MAX_WITNESSES = 9
MIN_WITNESSES = 3

Witness = tuple[str, str]
"""The name of a core, and the id of the disk with which its votes count."""


class View(NamedTuple):
    """The configuration of control in one epoch: the members (primary and backups), and the witnesses that vote on the next view."""

    epoch: int
    primary: str
    backups: tuple[str, ...]
    witnesses: tuple[Witness, ...]


class Ballot(NamedTuple):
    """The number of a proposal. Ties are broken by the name of the proposer."""

    number: int
    proposer: str


NO_BALLOT = Ballot(0, "")


def epoch(view: View | None) -> int:
    """Return the epoch of a view; 0 if there is no view yet."""
    return view.epoch if view else 0


def members(view: View | None) -> tuple[str, ...]:
    """Return the primary, then the backups; empty if there is no view yet."""
    return (view.primary, *view.backups) if view else ()


def disks(view: View | None) -> dict[str, str]:
    """Return the disk id of each witness, by core name; empty if there is no view yet."""
    return dict(view.witnesses) if view else {}


def is_text_tuple(value: Any, least: int, most: int) -> bool:
    """Return whether a value is a tuple of `least` to `most` strings."""
    return isinstance(value, tuple) and least <= len(value) <= most and all(isinstance(x, str) for x in value)


def is_ballot(value: Any) -> bool:
    """Return whether a value has the shape of a ballot."""
    if not isinstance(value, tuple) or len(value) != len(Ballot._fields):
        return False
    number, proposer = value
    return is_sent_integer(number) and isinstance(proposer, str)


def is_view(value: Any) -> bool:
    """Return whether a value is a valid view: at least one backup, three to nine witnesses, and every member is a witness."""
    if not isinstance(value, tuple) or len(value) != len(View._fields):
        return False
    number, primary, backups, witnesses = value
    return (
        is_sent_integer(number)
        and number > 0
        and isinstance(primary, str)
        and is_text_tuple(backups, 1, MAX_WITNESSES - 1)
        and len({primary, *backups}) == 1 + len(backups)
        and is_witness_tuple(witnesses)
        and {primary, *backups} <= {name for name, _ in witnesses}
    )


def is_witness_tuple(value: Any) -> bool:
    """Return whether a value is a tuple of three to nine witnesses with distinct names."""
    return (
        isinstance(value, tuple)
        and MIN_WITNESSES <= len(value) <= MAX_WITNESSES
        and all(is_text_tuple(pair, 2, 2) for pair in value)
        and len(dict(value)) == len(value)
    )


def is_view_or_none(value: Any) -> bool:
    """Return whether a value is a view, or None (no view yet)."""
    return value is None or is_view(value)


def decode_view(value: Any) -> View | None:
    """Decode an array that `is_view_or_none` accepted; None stays None."""
    return None if value is None else View(*value)


def decode_ballot(value: Any) -> Ballot:
    """Decode an array that `is_ballot` accepted."""
    return Ballot(*value)


def to_array(value: Any) -> Any:
    """Return a view or a ballot as the array that is sent and stored; any other value unchanged."""
    return tuple(value) if isinstance(value, View | Ballot) else value
