"""Rendezvous hashing (design 4.2): every daemon ranks the same nodes alike."""

from hashlib import blake2b


def hash_score(key, node):
    return blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()


def rank_nodes(key, nodes):
    return tuple(sorted(nodes, key=lambda n: (hash_score(key, n), n), reverse=True))


def highest_ranked(key, nodes):
    return max(nodes, key=lambda n: (hash_score(key, n), n), default=None)
