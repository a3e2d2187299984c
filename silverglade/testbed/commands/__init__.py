"""The commands of `python -m silverglade.testbed`, one module a group of them.

Each module has a function for each command that adds its options to the parser; `run` among the parsed options is the function
that carries the command out and returns its exit status.
"""
