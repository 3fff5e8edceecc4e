"""Run the command-line interface with ``python -m mustardward``."""

from __future__ import annotations

from .cli import main

if __name__ == "__main__":
    main()
