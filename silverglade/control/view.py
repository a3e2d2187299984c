"""A view and a ballot as values, and the checks of those that come from outside (design 5.2).

Both travel and are stored as plain arrays: `plain` makes them so, `decode_view` and `decode_ballot` take them in.
"""

from __future__ import annotations

from typing import Any, NamedTuple

MAX_WITNESSES = 9
MIN_WITNESSES = 3

Witness = tuple[str, str]
"""A core and the id of the disk with which it may vote."""


class View(NamedTuple):
    """Who holds control in one epoch: the members (primary and backups), and the witnesses who choose its successor."""

    epoch: int
    primary: str
    backups: tuple[str, ...]
    witnesses: tuple[Witness, ...]


class Ballot(NamedTuple):
    """The number of a proposal; ties are broken by the name of the proposer."""

    number: int
    proposer: str


NO_BALLOT = Ballot(0, "")


def epoch(view: View | None) -> int:
    """Return the epoch of a view; 0 before the first."""
    return view.epoch if view else 0


def members(view: View | None) -> tuple[str, ...]:
    """Return the primary, then the backups; none before the first view."""
    return (view.primary, *view.backups) if view else ()


def disks(view: View | None) -> dict[str, str]:
    """Return the disk of each witness."""
    return dict(view.witnesses) if view else {}


def is_text_tuple(value: Any, least: int, most: int) -> bool:
    """Tell whether a value is a tuple of texts, of a length within the bounds."""
    return isinstance(value, tuple) and least <= len(value) <= most and all(isinstance(x, str) for x in value)


def is_ballot(value: Any) -> bool:
    """Tell whether a value has the shape of a ballot."""
    if not isinstance(value, tuple) or len(value) != len(Ballot._fields):
        return False
    number, proposer = value
    return type(number) is int and isinstance(proposer, str)


def is_view(value: Any) -> bool:
    """Tell whether a value is a view: at least one backup, three to nine witnesses, all members among them."""
    if not isinstance(value, tuple) or len(value) != len(View._fields):
        return False
    number, primary, backups, witnesses = value
    return (
        type(number) is int
        and number > 0
        and isinstance(primary, str)
        and is_text_tuple(backups, 1, MAX_WITNESSES - 1)
        and len({primary, *backups}) == 1 + len(backups)
        and is_witness_tuple(witnesses)
        and {primary, *backups} <= {name for name, _ in witnesses}
    )


def is_witness_tuple(value: Any) -> bool:
    """Tell whether a value is a tuple of three to nine witnesses, each named once."""
    return (
        isinstance(value, tuple)
        and MIN_WITNESSES <= len(value) <= MAX_WITNESSES
        and all(is_text_tuple(pair, 2, 2) for pair in value)
        and len(dict(value)) == len(value)
    )


def is_view_or_none(value: Any) -> bool:
    """Tell whether a value is a view, or None for the time before the first."""
    return value is None or is_view(value)


def decode_view(value: Any) -> View | None:
    """Return the view of a checked array; None stays None."""
    return None if value is None else View(*value)


def decode_ballot(value: Any) -> Ballot:
    """Return the ballot of a checked array."""
    return Ballot(*value)


def to_array(value: Any) -> Any:
    """Return a view or a ballot as the array that travels and is stored; anything else as it is."""
    return tuple(value) if isinstance(value, View | Ballot) else value
