"""Names of the duties: kinds of platform calls that only one daemon at a time may make (design 18)."""

from enum import StrEnum


class Duty(StrEnum):
    """A kind of platform call made under a lease.

    The value names both the role in the control store and the kind of the calls.
    """

    USAGE = "usage"
    SCALE = "scale"
