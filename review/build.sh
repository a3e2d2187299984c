#!/bin/sh
# The stand-ins are Python on the standard library: nothing is compiled but their bytecode.
set -e
python3 -m compileall -q "$(dirname "$0")"
