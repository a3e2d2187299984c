"""Checkers: what clients, replicas and operators saw, judged by code that shares none with what it judges (design 10.3, 10.6)."""
