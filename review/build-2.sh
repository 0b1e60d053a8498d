#!/bin/sh
# Builds what the scripts 4 to 8 start, besides the build of the deploy file: the project's stand-ins and those of lib_2.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q packages/standins review/lib_2
