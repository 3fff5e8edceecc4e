"""Run an entry node with ``python -m mustardward.node``."""

from __future__ import annotations

from .main import main

if __name__ == "__main__":
    main()
