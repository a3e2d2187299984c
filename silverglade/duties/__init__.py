"""Calls to the platform that one daemon at a time makes (design 18): leases with fencing tokens, and usage reports."""
