"""Tenants' requests at the daemon where they came in (design 6.5, 6.6)."""
