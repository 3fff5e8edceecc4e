#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:.:review/harness-3" PYTHONDONTWRITEBYTECODE=1 \
    exec timeout 118 python3 review/13/case.py
