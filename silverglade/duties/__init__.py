"""Leases with fencing tokens for calls to the platform that only one daemon at a time may make, and usage reports (design 18)."""
