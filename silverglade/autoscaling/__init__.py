"""How many replicas a region needs (design 9, 16.3)."""
