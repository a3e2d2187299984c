"""The subcommands of the command line (design 8.5, 11, 12)."""
