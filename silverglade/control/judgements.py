"""What `decisions.decide` makes of one operation; a refusal or a stale operation is a result of its own (operation_results.py)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .operation_results import Refused, Stale

Values = tuple[tuple[str, Any], ...]
"""Keys and the values that they get."""


@dataclass(slots=True)
class Apply:
    """The operation is taken: the store gets these values."""

    values: Values


@dataclass(slots=True)
class Read:
    """The operation reads: its client is told this text, once the backups have confirmed the view."""

    source: Any


@dataclass(slots=True)
class FutureBase:
    """The operation rests on a base that is still to come, so it is refused."""


Decision = Apply | Read | FutureBase | Refused | Stale
