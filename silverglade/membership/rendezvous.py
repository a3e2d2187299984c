"""Rendezvous hashing (design 4.2): every daemon ranks the same nodes in the same order."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

SCORE_BYTES = 8


def hash_score(key: str, node: str) -> bytes:
    """Return the score of a node for a key; it is the same in every process."""
    return blake2b(f"{key}\0{node}".encode(), digest_size=SCORE_BYTES).digest()


def rank_nodes(key: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return the nodes sorted by their scores for a key, the highest first."""
    return tuple(sorted(nodes, key=lambda node: (hash_score(key, node), node), reverse=True))


def highest_ranked(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest score for a key, or None if there are no nodes."""
    return max(nodes, key=lambda node: (hash_score(key, node), node), default=None)
