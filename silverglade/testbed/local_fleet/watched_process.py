"""Runs a module as a process of a local fleet, and ends it when whoever started it has ended.

    python -m silverglade.testbed.local_fleet.watched_process MODULE [ARGUMENT...]

Standard input is a pipe whose other end the starter holds: at its end the process is told to stop, and after `GRACE_S` ends at once.
"""

from __future__ import annotations

import os
import runpy
import signal
import sys
import threading
import time

GRACE_S = 8.0


def stop_at_end_of_input() -> None:
    """Wait for the end of standard input, then stop this process."""
    while os.read(sys.stdin.fileno(), 1):
        pass
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(GRACE_S)
    os.kill(os.getpid(), signal.SIGKILL)


def main() -> None:
    """Run the module that the command line names."""
    threading.Thread(target=stop_at_end_of_input, daemon=True).start()
    module, *arguments = sys.argv[1:]
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
