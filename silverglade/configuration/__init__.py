"""The operators' configuration: its schema, the API calls that change it, and its distribution to every daemon (design 5.7, 8.2)."""
