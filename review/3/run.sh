#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:packages/kernel:packages/node:platform:packages/standins:review/lib
export PYTHONPATH
exec python3 -B review/3/case.py
