"""Calls to the platform that one daemon at a time makes (design 17): leases with fencing tokens, and usage reports."""
