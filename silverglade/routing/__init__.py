"""Forwarded requests: routes, replicas and attempts (design 15, 16)."""
