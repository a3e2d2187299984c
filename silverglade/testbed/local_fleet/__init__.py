"""Whole fleets as real processes on loopback addresses, with faults on the way (design 10.4)."""
