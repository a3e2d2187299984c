"""Keys of callers in the simulator (design 17): a series of configurations adds them and takes them away, clients use them."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any, NamedTuple

from ...configuration.schema import key_digest

CALLERS = ("ann", "bob", "cid", "dot")
CLAIMED = "mallory"
"""What every client says that it is."""
STRANGE_KEY = "strange"
"""Never held by any configuration."""
RECENT_KEYS = 6
"""Keys that were taken away or are to come, which some clients use."""


class KeyShares(NamedTuple):
    """How many clients use another key than one in force; the others use one that is."""

    strange: float = 0.02
    missing: float = 0.02
    recent: float = 0.2


class CallerKeys:
    """Callers of a run, and the keys that they have had.

    :ivar holders: key to its caller, of all keys that there ever were, oldest first.
    """

    def __init__(self, *, seed: int, shares: KeyShares = KeyShares()) -> None:  # noqa: B008  a tuple
        self.rng = random.Random(f"keys/{seed}")
        self.shares = shares
        self.holders: dict[str, str] = {}
        self._keys_by_digest: dict[str, str] = {}

    def first(self, regions: list[str]) -> dict[str, Any]:
        """Return the callers of the first configuration: one has homes, one a rank, one no key yet."""
        callers: dict[str, Any] = {name: {"keys": [self._new_key(name), self._new_key(name)]} for name in CALLERS[:-1]}
        callers[CALLERS[-1]] = {"keys": []}
        callers[CALLERS[0]]["rank"] = 3
        callers[CALLERS[1]]["homes"] = regions[:2]
        return callers

    def changed(self, callers: Mapping[str, Any]) -> dict[str, Any]:
        """Return the callers with a key more, or some fewer; now and then one that was taken away comes back."""
        changed = {name: dict(caller, keys=list(caller["keys"])) for name, caller in callers.items()}
        name = self.rng.choice(CALLERS)
        keys = changed[name]["keys"]
        held = {key for caller in changed.values() for key in caller["keys"]}
        gone = [key_digest(key) for key, holder in self.holders.items() if holder == name and key_digest(key) not in held]
        if keys and self.rng.random() < 0.6:
            changed[name]["keys"] = self.rng.sample(keys, self.rng.randrange(len(keys)))
        elif gone and self.rng.random() < 0.3:
            keys.append(self.rng.choice(gone))
        else:
            keys.append(self._new_key(name))
        return changed

    def _new_key(self, name: str) -> str:
        key = f"{name}-{len(self.holders)}"
        self.holders[key] = name
        self._keys_by_digest[key_digest(key)] = key
        return key_digest(key)

    def choose(self, callers: Mapping[str, Any]) -> str | None:
        """Return the key of a client: mostly one of the configuration that was acknowledged last."""
        share = self.rng.random()
        if share < self.shares.strange:
            return STRANGE_KEY
        if share < self.shares.strange + self.shares.missing:
            return None
        held = [self._keys_by_digest[digest] for caller in callers.values() for digest in caller["keys"]]
        recent = list(self.holders)[-RECENT_KEYS:]
        return self.rng.choice(recent if share > 1 - self.shares.recent or not held else held)
