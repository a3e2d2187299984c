"""The decisions that `decisions.decide` returns for one operation, besides the results `Refused` and `Stale` (operation_results.py)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .operation_results import Refused, Stale

Values = tuple[tuple[str, Any], ...]
"""(key, new value) pairs."""


@dataclass(slots=True)
class Apply:
    """The operation is accepted; `values` are written to the store."""

    values: Values


@dataclass(slots=True)
class Read:
    """The operation is a read: the client gets `source` once the backups have confirmed the view."""

    source: Any


@dataclass(slots=True)
class FutureBase:
    """The operation names a base that does not exist yet, so it is refused."""


Decision = Apply | Read | FutureBase | Refused | Stale
