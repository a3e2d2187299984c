"""`python -m silverglade.rehearsal`: the former name of `python -m silverglade.testbed`."""

import sys

from ..testbed.__main__ import main

print("silverglade.rehearsal is now called silverglade.testbed; the old name goes with the next version", file=sys.stderr)
sys.exit(main())
