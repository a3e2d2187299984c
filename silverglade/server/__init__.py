"""The I/O layer of a daemon: its tasks, sockets and files (design 1.3).

httpcore imports trio whenever it is installed, although it does not use it under asyncio. The import costs a third of the
start-up time and several megabytes of memory in every daemon, so it is suppressed: an entry of None in `sys.modules` makes the
import fail as if trio were not installed.
"""

import sys

sys.modules.setdefault("trio", None)  # type: ignore[arg-type]
