"""The configuration that operators put: its schema, the calls that change it, and how it reaches every daemon (design 5.7, 8.2)."""
