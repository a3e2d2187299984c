"""Values of the field "ran" of refusals: what is known of whether a request ran on a replica (docs/faults.md, design 6.5)."""

from typing import Final

RAN_NO: Final = "no"
"""No replica ran it: the client may safely retry."""

RAN_MAYBE: Final = "maybe"

RAN_YES: Final = "yes"

RAN_UNKNOWN_TO_OWNER: Final = "?"
"""Between daemons only: the shard's owner knows of no other request with this key."""

RAN_KEY_NOT_CHECKED: Final = "blind"
"""Within a daemon only: no owner has checked the key."""
