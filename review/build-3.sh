#!/bin/sh
# Build the stand-ins that the scripts of this review start: they are Python and run
# from the sources with the packages of the deploy file, so that a check is enough.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:.:review/harness-3" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 -c "import harness, mustardward.standin.estate.app"
