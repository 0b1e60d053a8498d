#!/bin/sh
# Checks that every stand-in of the cases loads; they are Python and need only the libraries of the runtime.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:packages/kernel:packages/node:platform:packages/standins:review/lib
export PYTHONPATH
exec python3 -B -c 'import harness, stand_ins, dahliaarch_standins.platform'
