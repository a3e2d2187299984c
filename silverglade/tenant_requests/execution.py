"""What is known of whether a request ran on a replica: the field "ran" of refusals (docs/faults.md, design 6.5)."""

from typing import Final

RAN_NO: Final = "no"
"""No replica had it: the client may safely send it again."""

RAN_MAYBE: Final = "maybe"

RAN_YES: Final = "yes"

RAN_UNKNOWN_TO_OWNER: Final = "?"
"""Between daemons only: the shard's owner knows of no other request with this key."""

RAN_KEY_NOT_CHECKED: Final = "blind"
"""Within a daemon only: no owner has looked for the key."""
