"""Tasks, sockets and files of a daemon (design 1.3).

httpcore loads trio wherever that is installed, only to leave it unused under asyncio: a third of a start's time and
megabytes in every daemon. It takes a module that is None for one that is not there.
"""

import sys

sys.modules.setdefault("trio", None)  # type: ignore[arg-type]
