"""Limits of one daemon that several modules share."""

from __future__ import annotations

MAX_BUFFERED_BODY_BYTES = 64 * 1024 * 1024
"""Bodies of clients' requests that a daemon holds at once (design 2.1)."""
