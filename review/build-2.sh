#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python with the standard library alone: they are only compiled.
set -e
cd "$(dirname "$0")"
for file in standins_2.py [4-8]/run.py; do
    [ -f "$file" ] && python3 -m py_compile "$file"
done
echo "review: stand-ins built"
