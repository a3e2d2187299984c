"""Sizing of a region: how many replicas it requires, and orders for them (design 9, 16.3, 16.5)."""
