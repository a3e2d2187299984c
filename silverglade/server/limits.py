"""Limits of a daemon that several modules use."""

from __future__ import annotations

MAX_BUFFERED_BODY_BYTES = 64 * 1024 * 1024
"""Total size of clients' request bodies that a daemon holds in memory (design 2.1)."""
