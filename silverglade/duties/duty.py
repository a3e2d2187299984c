"""The duties: kinds of calls to the platform that one daemon at a time makes (design 18)."""

from enum import StrEnum


class Duty(StrEnum):
    """A duty; its value is the name of its role in the store and of its calls."""

    USAGE = "usage"
    SCALE = "scale"
