"""The command line's verbs (design 8.5, 11, 12)."""
