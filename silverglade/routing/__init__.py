"""Forwarding of requests: routes, replica selection, attempts and retries (design 15, 16)."""
