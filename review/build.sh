#!/bin/sh
# The stand-ins are Python modules on the libraries of the deploy file's build; there is
# nothing to compile. This checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import standin.case"
