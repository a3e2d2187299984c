"""Tenants' requests at the daemon that receives them from the client (design 6.5, 6.6)."""
