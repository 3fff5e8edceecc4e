#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review/rig PYTHONDONTWRITEBYTECODE=1 exec python3 review/7/case.py
