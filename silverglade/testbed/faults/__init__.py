"""Faults that seeded runs of the simulator cause, and the runs that mix them (design 10.3, 10.6)."""
