"""Membership (design 4): detects which daemons are live, and replicates the soft state that they publish."""
