"""Rendezvous hashing (design 4.2): every daemon ranks the same nodes alike."""

from hashlib import blake2b


def score(key, node):
    return blake2b(f"{key}\0{node}".encode(), digest_size=8).digest()


def ranked(key, nodes):
    return tuple(sorted(nodes, key=lambda n: (score(key, n), n), reverse=True))


def first(key, nodes):
    return max(nodes, key=lambda n: (score(key, n), n), default=None)
