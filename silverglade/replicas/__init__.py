"""Tenants' replicas (design 7): what they declared, how they do, who may use their slots."""
