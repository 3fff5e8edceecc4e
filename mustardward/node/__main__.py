"""Run an entry node with ``python -m mustardward.node``."""

from __future__ import annotations

from .signals import ProcessSignals


def run() -> None:
    """Handle signals, and only then import and run everything else."""
    signals = ProcessSignals()
    signals.install()
    try:
        from .main import main

        main(signals)
    finally:
        signals.ignore()


if __name__ == "__main__":
    run()
