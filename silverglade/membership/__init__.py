"""Membership (design 4): which daemons are live, and the soft state that they publish."""
