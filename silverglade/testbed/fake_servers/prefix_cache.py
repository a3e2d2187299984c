"""The memory of a simulated replica: named parts of prompts that it has read, the one unused longest first (design 15.11)."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class CachedPart:
    """A part of prompts. `users`: running requests that have it; `complete`: it has been read to its end."""

    tokens: int
    users: int = 0
    complete: bool = False


class PrefixCache:
    """Parts of prompts by id, in the order of their last use."""

    def __init__(self) -> None:
        """Begin with an empty cache."""
        self.parts: OrderedDict[str, CachedPart] = OrderedDict()

    def __contains__(self, part_id: str) -> bool:
        return part_id in self.parts

    def pinned_tokens(self) -> int:
        """Return the memory of the parts that running requests use."""
        return sum(part.tokens for part in self.parts.values() if part.users)

    def unused_tokens(self) -> int:
        """Return the memory of the parts that no running request uses."""
        return sum(part.tokens for part in self.parts.values() if not part.users)

    def acquire(self, parts: Iterable[tuple[str, int]]) -> int:
        """Pin the parts of a prompt.

        :param parts: (id, tokens) in the order of the prompt.
        :returns: tokens that need not be read: of complete parts with none but complete ones before them.
        """
        hit, complete = 0, True
        for part_id, tokens in parts:
            part = self.parts.setdefault(part_id, CachedPart(tokens))
            complete = complete and part.complete
            hit += tokens if complete else 0
            part.users += 1
            self.parts.move_to_end(part_id)
        return hit

    def release(self, part_ids: Iterable[str]) -> None:
        """Unpin the parts of a prompt; a part that was never read to its end is forgotten with its last user."""
        for part_id in part_ids:
            part = self.parts.get(part_id)
            if part is None:
                continue
            part.users -= 1
            if part.users == 0 and not part.complete:
                del self.parts[part_id]

    def mark_complete(self, part_ids: Iterable[str]) -> None:
        """Note that these parts have been read to their end."""
        for part_id in part_ids:
            self.parts[part_id].complete = True

    def evict(self, used: int, limit: int) -> bool:
        """Drop unused parts, the one unused longest first, until the memory in use is within the limit.

        :param used: tokens of memory in use, with the unused parts.
        :param limit: tokens of memory.
        :returns: whether it was within the limit before every unused part was gone.
        """
        for part_id in [part_id for part_id, part in self.parts.items() if not part.users]:
            if used <= limit:
                return True
            used -= self.parts.pop(part_id).tokens
        return False
