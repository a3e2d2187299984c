"""Behaviour recorded on one version of the program, with which later versions are compared byte for byte."""
