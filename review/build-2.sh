#!/bin/sh
# Builds what the scripts in review/4 to review/8 start, after the build of the deploy
# file. Their stand-ins are Python and need only the packages in target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:review/rig PYTHONDONTWRITEBYTECODE=1 python3 -c 'import rig'
