"""Tenants' replicas (design 7): their registration, their health, and leases of their slots."""
